#ifndef ROLLOUT_DEFS_H
#define ROLLOUT_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "membership/record.h"
#include "profile/profile.h"

/**
 * DOC: rollout definitions
 *
 * A roll-out moves the traffic of a service from the versions that its
 * instances run (the old version) to the target version of an operator's order
 * (the new version). The roll-out advances or stops according to the answers of
 * the instances of the new version, compared with the answers of the old
 * version at the same time.
 */

/** The revision of the record at the platform is not known. */
#define ROLLOUT_REVISION_UNKNOWN UINT64_MAX

/**
 * enum rollout_phase - phase of a roll-out; for one order the phase only
 * advances in this order
 *
 * A node applies ROLLOUT_CONDEMNED as soon as it receives that phase, without
 * the platform. Every other phase after ROLLOUT_ORDERED is applied only once
 * the record at the platform holds that phase.
 */
enum rollout_phase {
	ROLLOUT_ORDERED,   /* the new version gets no requests yet */
	ROLLOUT_CANARY,	   /* the new version gets a small share of requests */
	ROLLOUT_RAMP,	   /* a part of the instances of the new version gets
			      the load that each instance gets later */
	ROLLOUT_SWITCHED,  /* the new version gets all requests; the old version
			      finishes its requests in flight */
	ROLLOUT_CONDEMNED, /* the new version is bad and gets no requests; the
			      record may not hold this yet */
	ROLLOUT_ROLLED_BACK, /* the record holds that the version is bad */
	ROLLOUT_DONE,
	ROLLOUT_PHASES,
};

/**
 * struct rollout_order - an operator's order to move a service to a version
 * @target: version that the traffic moves to
 * @revision: revision of the order at the platform; an order with a higher
 *	revision replaces this order
 * @over_ms: time that the roll-out has, in ms after the order
 */
struct rollout_order {
	char service[SERVICE_NAME_SIZE];
	char target[UPSTREAM_VERSION_SIZE];
	uint64_t revision;
	int64_t over_ms;
};

/**
 * struct rollout - an order and the state of its roll-out
 * @share: share of the requests, 0 to 1, that the new version gets in
 *	ROLLOUT_CANARY
 * @elapsed_ms: time in ms between the order and the moment at which @phase was
 *	reached or sent
 * @record_revision: revision of the record at the platform; 0 if there is no
 *	record yet; ROLLOUT_REVISION_UNKNOWN if the revision is not known
 */
struct rollout {
	struct rollout_order order;
	enum rollout_phase phase;
	double share;
	int64_t elapsed_ms;
	uint64_t record_revision;
};

/** rollout_phase_name() - Returns the stable name for logs and dumps. */
const char *rollout_phase_name(enum rollout_phase phase);

/** rollout_is_finished() - Returns true if the phase cannot change again. */
static inline bool rollout_is_finished(enum rollout_phase phase)
{
	return phase == ROLLOUT_ROLLED_BACK || phase == ROLLOUT_DONE;
}

/** rollout_is_bad() - Returns true if the new version was found to be bad. */
static inline bool rollout_is_bad(enum rollout_phase phase)
{
	return phase == ROLLOUT_CONDEMNED || phase == ROLLOUT_ROLLED_BACK;
}

/** rollout_share() - Returns the new version's share of requests, 0 to 1. */
double rollout_share(const struct rollout *rollout);

#endif
