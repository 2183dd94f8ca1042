#ifndef SPREAD_SPREAD_NET_H
#define SPREAD_SPREAD_NET_H

#include "membership/gossip.h"
#include "spread/spread.h"

/**
 * DOC: spread net
 *
 * Drives the spread core: passes versions from gossip and frames from the hub
 * to the core, sends the frames of the core through the hub, and reports the
 * version in force to gossip.
 */

struct spread_net {
	struct spread spread;
	struct loop *loop;
	struct wire_hub *hub;
	struct gossip *gossip;
	struct keeper_observer observer;
	struct timer timer;
	struct deferred drain;
};

/**
 * spread_net_init() - start to observe the keeper and gossip
 * @options: NULL for the defaults; a seed of 0 is replaced by a random one
 *
 * @net must stay valid until the last event of @keeper and of @gossip.
 */
void spread_net_init(struct spread_net *net,
		     const struct spread_options *options, struct loop *loop,
		     struct wire_hub *hub, struct gossip *gossip,
		     struct keeper *keeper);

/** spread_net_finish() - stop; call before gossip_finish(). */
void spread_net_finish(struct spread_net *net);

/** spread_net_dump() - state for operators; owned by the caller. */
json_t *spread_net_dump(const struct spread_net *net);

#endif
