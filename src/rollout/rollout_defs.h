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
 * instances run to a new one. An operator orders it; whether it goes on is
 * decided by what the instances of the new version answer, compared with the
 * others at the same time.
 */

/** No write has told the revision of the record yet. */
#define ROLLOUT_REVISION_UNKNOWN UINT64_MAX

/**
 * enum rollout_phase - how far a roll-out has come; it only ever moves down
 * this list
 *
 * ROLLOUT_CONDEMNED needs no word of the platform: it stops the new version
 * wherever it is heard. All others stand in the record there before they are
 * acted upon.
 */
enum rollout_phase {
	ROLLOUT_ORDERED,  /* nothing goes to the new version yet */
	ROLLOUT_CANARY,	  /* a small share of requests does, to be judged by */
	ROLLOUT_RAMP,	  /* as many as its instances may have to carry later,
			     on a part of them */
	ROLLOUT_SWITCHED, /* all do; the others end what they have */
	ROLLOUT_CONDEMNED,
	ROLLOUT_ROLLED_BACK,
	ROLLOUT_DONE,
	ROLLOUT_PHASES,
};

/**
 * struct rollout_order - what an operator asks for
 * @target: version that the traffic is to move to
 * @revision: of the order at the platform; a later one replaces it
 * @over_ms: time in which it is to be done
 */
struct rollout_order {
	char service[SERVICE_NAME_SIZE];
	char target[UPSTREAM_VERSION_SIZE];
	uint64_t revision;
	int64_t over_ms;
};

/**
 * struct rollout - an order and how far it has come
 * @share: of the requests that goes to the new version in ROLLOUT_CANARY
 * @elapsed_ms: since the order, when @phase was reached or told
 * @record_revision: of the record at the platform; 0: there is none yet;
 *	ROLLOUT_REVISION_UNKNOWN
 */
struct rollout {
	struct rollout_order order;
	enum rollout_phase phase;
	double share;
	int64_t elapsed_ms;
	uint64_t record_revision;
};

/** rollout_phase_name() - the stable name, for logs and dumps. */
const char *rollout_phase_name(enum rollout_phase phase);

/** rollout_is_finished() - whether nothing is to be decided any more. */
static inline bool rollout_is_finished(enum rollout_phase phase)
{
	return phase == ROLLOUT_ROLLED_BACK || phase == ROLLOUT_DONE;
}

/** rollout_is_bad() - whether the new version was found to be bad. */
static inline bool rollout_is_bad(enum rollout_phase phase)
{
	return phase == ROLLOUT_CONDEMNED || phase == ROLLOUT_ROLLED_BACK;
}

/** rollout_share() - of the requests that goes to the new version, 0 to 1. */
double rollout_share(const struct rollout *rollout);

#endif
