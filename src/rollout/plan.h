#ifndef ROLLOUT_PLAN_H
#define ROLLOUT_PLAN_H

#include "rollout/judge.h"
#include "rollout/rollout_defs.h"

/**
 * DOC: rollout plan
 *
 * How the requests that a version which may be bad can be given are spent over
 * the time of its roll-out. A small share tells for most of the time of
 * failures, also of those that begin late. Near the end a quarter, on a quarter
 * of the instances, tells of failures under load. Only then all requests move,
 * for as long as the old version's instances need to end what they have, while
 * they could still take the requests back. A version that turns bad at the
 * worst moment gets what it is given in a second or two at most. Decision core.
 */

/**
 * struct plan_input - what is known of a roll-out in progress
 * @elapsed_ms: since its order
 * @phase_ms: since it reached its phase
 * @target_known: serving instances of the new version
 * @target_reporting: of these, those that reported within the last second
 * @old_known: serving instances of other versions
 * @old_reporting: whether most of the old version's instances did
 * @old_busy: requests that run or wait at instances of the old version
 * @rate_per_s: requests that reach the service; 0: unknown
 */
struct plan_input {
	enum rollout_phase phase;
	int64_t over_ms;
	int64_t elapsed_ms;
	int64_t phase_ms;
	uint32_t target_known;
	uint32_t target_reporting;
	uint32_t old_known;
	bool old_reporting;
	uint32_t old_busy;
	double rate_per_s;
	struct judgement judgement;
};

/** plan_next() - the phase that it should be in; its own if it is to wait. */
enum rollout_phase plan_next(const struct plan_input *input);

/** plan_canary_share() - of the requests, for ROLLOUT_CANARY. */
double plan_canary_share(double rate_per_s, int64_t over_ms);

/** plan_report_delay_us() - how long reports on the new version wait in a
 * phase. */
int64_t plan_report_delay_us(enum rollout_phase phase);

#endif
