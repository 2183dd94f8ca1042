#ifndef MEMBERSHIP_RECORD_H
#define MEMBERSHIP_RECORD_H

#include <stdbool.h>
#include <stdint.h>

#include "base/address.h"
#include "profile/profile.h"
#include "wire/identity.h"

/**
 * DOC: record
 *
 * What a node publishes about itself and its upstream. Only the owner changes
 * a record. Of two copies of a record the one with the higher (incarnation,
 * sequence) is newer, so that merging gives the same result in any order.
 */

/** Size of the text of a software version, such as "v12"; "" if unknown. */
enum { UPSTREAM_VERSION_SIZE = 32 };

/** enum upstream_state - whether the upstream of a node accepts calls. */
enum upstream_state {
	UPSTREAM_NONE, /* no upstream has announced itself */
	UPSTREAM_STARTING,
	UPSTREAM_SERVING,
	UPSTREAM_LEAVING,
	UPSTREAM_GONE, /* the node itself has left the deployment */
};

/**
 * struct record - one node and its upstream
 * @instance: name of the instance, unique in its data centre
 * @data_centre: name of the data centre
 * @service: service that the upstream belongs to; "" for none
 * @profile: profile of the upstream
 * @address: address at which the node listens for peers, with TCP and UDP
 * @incarnation: number of the incarnation of the node; grows with each start
 * @sequence: number of the record within the incarnation; raised by the owner
 *	with each change
 * @state: whether the upstream accepts calls
 * @version: version of the software that the upstream runs; may be ""
 * @upstream_start: identifies the incarnation of the upstream; 0 if the
 *	interface to the upstream has no ids of incarnations
 * @slots: number of requests that the upstream runs at once
 * @fitness: suitability for duties of the data centre, 0 to FITNESS_MAX; nodes
 *	with a higher value are chosen first
 * @serving_age_ms: how long the upstream had been serving when the record was
 *	written, in milliseconds
 */
struct record {
	char instance[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char service[SERVICE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	struct address address;
	uint64_t incarnation;
	uint64_t sequence;
	enum upstream_state state;
	char version[UPSTREAM_VERSION_SIZE];
	uint64_t upstream_start;
	uint32_t slots;
	uint8_t fitness;
	int64_t serving_age_ms;
};

enum { FITNESS_MAX = 15 };

/** record_newer() - Returns true if @a replaces @b. */
static inline bool record_newer(const struct record *a, const struct record *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->sequence > b->sequence;
}

/** upstream_state_name() - Returns "none", "starting", "serving", ... */
const char *upstream_state_name(enum upstream_state state);

#endif
