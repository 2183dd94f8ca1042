#ifndef ROLLOUT_PLAN_H
#define ROLLOUT_PLAN_H

#include "rollout/judge.h"
#include "rollout/rollout_defs.h"

/**
 * DOC: rollout plan
 *
 * Decides when a roll-out advances. A version that may be bad must get few
 * requests, so the plan spends these requests over the time of the roll-out:
 *
 * - The canary phase takes most of the time. A small share of the requests
 * shows failures, also failures that begin late.
 * - The ramp phase near the end sends a quarter of the requests to a quarter of
 *   the instances, to show failures under load.
 * - Then all requests go to the new version while the instances of the old
 *   version finish their requests. Until the roll-out is done, these instances
 *   can take the requests back.
 *
 * A version that becomes bad in the last two phases is stopped after a short
 * time. No sockets, no clock.
 */

/**
 * struct plan_input - state of a roll-out in progress
 * @phase: phase of the roll-out
 * @over_ms: planned duration of the roll-out in ms, counted from the order of
 *	the operator
 * @elapsed_ms: time in ms since the order
 * @phase_ms: time in ms since the roll-out reached @phase
 * @target_known: number of serving instances of the new version
 * @target_reporting: number of instances of the new version that have reported
 *	recently
 * @old_known: number of serving instances of other versions
 * @old_reporting: whether at least half of the old version's instances in the
 *	own data centre have reported recently
 * @old_busy: number of requests that run or wait at instances of the old
 *	version
 * @rate_per_s: requests per second that reach the service; 0 if not known
 * @judgement: comparison of the new version with the old version
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

/**
 * plan_next() - Returns the phase that the roll-out should be in.
 *
 * Return: the present phase if the roll-out must wait.
 */
enum rollout_phase plan_next(const struct plan_input *input);

/**
 * plan_canary_share() - Returns the new version's share of the requests in
 * ROLLOUT_CANARY, 0 to 1.
 * @rate_per_s: requests per second that reach the service; 0 if not known
 * @over_ms: planned duration of the roll-out in ms
 */
double plan_canary_share(double rate_per_s, int64_t over_ms);

/**
 * plan_report_delay_us() - Returns the delay in microseconds before a report on
 * the new version counts in a phase.
 */
int64_t plan_report_delay_us(enum rollout_phase phase);

#endif
