#ifndef MEMBERSHIP_FANOUT_H
#define MEMBERSHIP_FANOUT_H

#include "membership/members.h"
#include "wire/hub.h"

/**
 * DOC: fanout
 *
 * Sends frames to random reachable members, for components that spread small
 * states through all nodes: a node to which a state is new sends it on.
 */

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

/** struct fanout_frame - a frame as encoder_end() returns it. */
struct fanout_frame {
	const void *data;
	size_t size;
};

/**
 * fanout_to_centre() - sends a frame to members of one data centre
 * @count_max: most members that get it
 *
 * Return: number of members that got it.
 */
uint32_t fanout_to_centre(const struct fanout *fanout,
			  const struct data_centre *centre, uint32_t count_max,
			  const struct fanout_frame *frame);

/**
 * fanout_to_all() - sends a frame to members of every data centre
 * @local_max: most members of the own data centre
 * @remote_max: most members of each other data centre
 *
 * Return: number of members that got it.
 */
uint32_t fanout_to_all(const struct fanout *fanout, uint32_t local_max,
		       uint32_t remote_max, const struct fanout_frame *frame);

/** fanout_to_one() - sends a frame to one member of a random data centre. */
uint32_t fanout_to_one(const struct fanout *fanout,
		       const struct fanout_frame *frame);

#endif
