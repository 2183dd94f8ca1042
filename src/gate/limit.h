#ifndef GATE_LIMIT_H
#define GATE_LIMIT_H

#include <stdint.h>

/**
 * DOC: limit
 *
 * How many requests may run at once: the slots that the upstream announces,
 * or fewer if its answers show that it cannot take so many. Additive
 * increase, multiplicative decrease. What the upstream turns away is the
 * surest sign and may bring the limit down to one. Long service times are a
 * weak one: an upstream may be slow and healthy. So a cut made for them is a
 * trial: if the times did not fall with the concurrency, so that less gets
 * done, it is taken back. So is a cut for what the upstream turned away, once
 * it turns away requests that run alone, and so on for answers broken off.
 * Decision core.
 */

/** enum limit_phase - what the answers of a trial are for. */
enum limit_phase {
	TRIAL_NONE,
	TRIAL_BEFORE, /* measured at the limit as it was */
	TRIAL_SETTLE, /* cut, but only the quickest have ended so far */
	TRIAL_AFTER,  /* measured at the limit as cut */
};

/**
 * struct limit_trial - a cut made for long service times, under test
 * @answers: taken in this phase
 * @slowdown_sum: of those
 * @slowdown_squares: sum of their squares
 * @slowdown_before: mean of the first phase
 * @variance_before: variance of that mean
 * @current_before: limit to go back to
 */
struct limit_trial {
	enum limit_phase phase;
	uint32_t answers;
	double slowdown_sum;
	double slowdown_squares;
	double slowdown_before;
	double variance_before;
	double current_before;
};

/**
 * struct limit_rejects - what refusals and broken answers have shown
 * @current_before: limit before the first of the latest row of cuts
 * @cut_at_us: the latest of them; 0: none
 * @low_concurrency_count: those with as few at once as no cut would make fewer
 * @low_concurrency_at_us: the latest of them
 * @ignore_until_us: they do not depend on concurrency: they say
 *	nothing before
 */
struct limit_rejects {
	double current_before;
	int64_t cut_at_us;
	uint32_t low_concurrency_count;
	int64_t low_concurrency_at_us;
	int64_t ignore_until_us;
};

/**
 * struct limit - a learned bound on concurrency
 * @current: the bound, between one and @slots
 * @ceiling: concurrency that was last turned away; approached slowly
 * @slowdown: moving average of service time over the best of its class
 * @cold_since_us: when the upstream began to serve
 * @cut_at_us: last decrease; answers of requests from before teach no more
 * @no_trial_until_us: after a trial that was taken back: long service times
 *	start no other before
 * @no_growth_until_us: after a trial that was kept: no growth before
 */
struct limit {
	uint32_t slots;
	double current;
	double ceiling;
	double slowdown;
	int64_t cold_start_us;
	int64_t cold_since_us;
	int64_t cut_at_us;
	int64_t no_trial_until_us;
	int64_t no_growth_until_us;
	struct limit_trial trial;
	struct limit_rejects rejects;
};

/**
 * struct limit_sample - what one answer says
 * @running: requests that ran with it, itself included
 * @started_us: when it began
 * @slowdown: its service time over the best of its class; 0 if not known
 */
struct limit_sample {
	uint32_t running;
	int64_t started_us;
	int64_t now_us;
	double slowdown;
};

void limit_init(struct limit *limit, uint32_t slots, int64_t cold_start_us);

/** limit_set_slots() - another number of slots; what was learned scales. */
void limit_set_slots(struct limit *limit, uint32_t slots);

/** limit_start() - a new upstream: forget what was learned, start cold. */
void limit_start(struct limit *limit, int64_t since_us);

/** limit_at() - requests that may run at once at @now_us; at least one. */
uint32_t limit_at(const struct limit *limit, int64_t now_us);

/** limit_step_us() - when the ramp next allows one more; INT64_MAX: never. */
int64_t limit_step_us(const struct limit *limit, int64_t now_us);

/** limit_answered() - the upstream answered in full. */
void limit_answered(struct limit *limit, const struct limit_sample *sample);

/** limit_shed() - the upstream turned a request away. */
void limit_shed(struct limit *limit, const struct limit_sample *sample);

/**
 * limit_timed_out() - given up at its deadline; @sample tells the time it had
 *
 * A request that waited long has little time left to run, so this says no
 * more than a long service time does.
 */
void limit_timed_out(struct limit *limit, const struct limit_sample *sample);

/** limit_failed() - the upstream gave no whole answer. */
void limit_failed(struct limit *limit, const struct limit_sample *sample);

#endif
