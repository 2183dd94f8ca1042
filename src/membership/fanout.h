#ifndef MEMBERSHIP_FANOUT_H
#define MEMBERSHIP_FANOUT_H

#include "membership/members.h"
#include "wire/hub.h"

/**
 * DOC: fanout
 *
 * Sends frames to some reachable members, for components that spread small
 * states through all nodes: a node to which a state is new sends it on. Each
 * node has a few fixed targets in each data centre: its successor on a ring, so
 * that each node is reached, and others by rendezvous hashing. So it keeps few
 * connections. What crosses data centres does not
 * grow with the number of nodes: of those that only send a state on, a few of
 * each data centre send it to others.
 */

enum { FANOUT_TARGETS_MAX = 16 };

/**
 * struct fanout - what the functions work with; the owner keeps all pointers
 *	valid
 * @random: source of the random choices
 */
struct fanout {
	struct wire_hub *hub;
	const struct members *members;
	struct random *random;
};

/**
 * struct fanout_reach - who gets a frame
 * @local_max: most members of the own data centre
 * @remote_max: most members of each other data centre
 * @always_remote: this node sends it to other data centres in any case
 */
struct fanout_reach {
	uint32_t local_max;
	uint32_t remote_max;
	bool always_remote;
};

/** struct fanout_frame - a frame as encoder_end() returns it. */
struct fanout_frame {
	const void *data;
	size_t size;
};

/**
 * fanout_choose() - chooses the targets of this node in a data centre
 * @count_max: most targets, at most FANOUT_TARGETS_MAX
 *
 * Return: number of reachable members written to @targets.
 */
uint32_t fanout_choose(const struct members *members,
		       const struct data_centre *centre, uint32_t count_max,
		       const struct member *targets[FANOUT_TARGETS_MAX]);

/**
 * fanout_is_sent_abroad() - draws whether this node sends a state that it only
 *	sends on to other data centres
 * @nearby: number of nodes of the data centre
 */
bool fanout_is_sent_abroad(struct random *random, uint32_t nearby);

/**
 * fanout_to_all() - sends a frame to members of every data centre
 *
 * Return: number of members that got it.
 */
uint32_t fanout_to_all(const struct fanout *fanout,
		       const struct fanout_reach *reach,
		       const struct fanout_frame *frame);

/** fanout_to_one() - sends a frame to one member, mostly of this data centre
 *	if it is large. */
uint32_t fanout_to_one(const struct fanout *fanout,
		       const struct fanout_frame *frame);

#endif
