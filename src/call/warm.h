#ifndef CALL_WARM_H
#define CALL_WARM_H

#include "event/loop.h"
#include "route/route.h"
#include "wire/hub.h"

/**
 * DOC: warm
 *
 * Opens connections to the nodes beside upstreams of the own data centre
 * before calls need them, a few at a time. Where calls begin all at once, each
 * new connection costs both ends several times what a call costs, and on slow
 * processors the first calls of all nodes wait behind one another's
 * connections.
 */

/**
 * struct warm - the connections kept ready
 * @connections_max: as many at the most; 0 for none
 */
struct warm {
	struct loop *loop;
	struct wire_hub *hub;
	struct router *router;
	uint32_t connections_max;
	struct timer timer;
};

/** warm_init() - begin to open connections; all pointers outlive it. */
void warm_init(struct warm *warm, struct loop *loop, struct wire_hub *hub,
	       struct router *router, uint32_t connections_max);

void warm_finish(struct warm *warm);

#endif
