#ifndef CALL_WARM_H
#define CALL_WARM_H

#include "event/loop.h"
#include "route/route.h"
#include "wire/hub.h"

/**
 * DOC: warm
 *
 * Opens connections to the nodes beside upstreams of the local data centre
 * before calls need them, a few at a time. Opening a connection takes both ends
 * several times the processor time of a call: if many calls start at the same
 * time, the first calls of all nodes are delayed by the opening of connections.
 */

enum { WARM_CONNECTIONS_MAX = 1000 };

/**
 * struct warm - state of the warming of connections
 * @connections_max: maximum number of warm connections; 0 disables warming
 */
struct warm {
	struct loop *loop;
	struct wire_hub *hub;
	struct router *router;
	uint32_t connections_max;
	struct timer timer;
};

/**
 * warm_init() - start to open connections
 *
 * @loop, @hub and @router must remain valid until warm_finish().
 */
void warm_init(struct warm *warm, struct loop *loop, struct wire_hub *hub,
	       struct router *router, uint32_t connections_max);

void warm_finish(struct warm *warm);

/**
 * warm_choose() - choose the upstreams to open connections to
 * @self: own instance, which is left out
 * @max: most upstreams
 *
 * Of each service those that this node prefers, see route/subset.h.
 *
 * Return: their number
 */
uint32_t warm_choose(const struct router *router, const char *self,
		     struct endpoint **chosen, uint32_t max);

#endif
