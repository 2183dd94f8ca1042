#ifndef GATE_LIMIT_H
#define GATE_LIMIT_H

#include <stdint.h>

/**
 * DOC: limit
 *
 * Adaptive concurrency limit: at most the slots that the upstream announces,
 * fewer while its answers show that it is overloaded. The limit follows
 * additive increase, multiplicative decrease (AIMD). Rejects by the upstream
 * are the strongest sign of overload and may lower the limit to one. Long
 * service times are a weak sign, because an upstream may be slow without
 * being overloaded. A decrease for long service times is therefore a trial: if
 * the service times did not fall with the concurrency, the decrease is undone.
 * A decrease for rejects is undone once the upstream rejects requests that run
 * alone, and a decrease for failed answers is undone likewise. The limit does
 * no I/O.
 */

/** enum limit_phase - what the answers during a trial are used for. */
enum limit_phase {
	TRIAL_NONE,
	TRIAL_BEFORE, /* measure at the limit before the decrease */
	TRIAL_SETTLE, /* ignore: the first answers are the shortest ones */
	TRIAL_AFTER,  /* measure at the decreased limit */
};

/**
 * struct limit_trial - a decrease for long service times, under test
 * @phase: current phase
 * @answers: number of answers in the current phase
 * @slowdown_sum: sum of the slowdown of these answers
 * @slowdown_squares: sum of the squares of their slowdown
 * @slowdown_before: mean slowdown in TRIAL_BEFORE
 * @variance_before: variance of @slowdown_before, as an estimate of the mean
 * @current_before: limit before the decrease, restored if the trial fails
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
 * struct limit_rejects - history of rejects and failed answers
 * @current_before: limit before the first of the latest series of decreases
 * @cut_at_us: time of the latest decrease; 0: none
 * @low_concurrency_count: number of rejects and failed answers at a
 *	concurrency that no further decrease would lower
 * @low_concurrency_at_us: time of the latest of these
 * @ignore_until_us: rejects and failed answers before this time are ignored,
 *	because they do not depend on concurrency
 */
struct limit_rejects {
	double current_before;
	int64_t cut_at_us;
	uint32_t low_concurrency_count;
	int64_t low_concurrency_at_us;
	int64_t ignore_until_us;
};

/**
 * struct limit - an adaptive concurrency limit
 * @slots: number of slots that the upstream announces
 * @current: the limit, without the cold start ramp; between one and @slots
 * @ceiling: concurrency of the latest reject, initially @slots + 1; the limit
 *	grows slowly near it
 * @slowdown: moving average of the service time over the best service time of
 *	the class
 * @cold_start_us: duration of the ramp after the upstream begins to serve
 * @cold_since_us: time at which the upstream began to serve
 * @cut_at_us: time of the latest decrease; answers to requests that started
 *	before are ignored
 * @no_trial_until_us: no trial starts before this time, because the latest
 *	trial was undone
 * @no_growth_until_us: the limit does not grow before this time, because the
 *	latest trial was kept
 * @trial: the running trial, if any
 * @rejects: history of rejects and failed answers
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
 * struct limit_sample - what one ended request shows
 * @running: number of requests that ran concurrently, including this one
 * @started_us: time at which the request began to run
 * @now_us: time at which the request ended
 * @slowdown: its service time over the best service time of its class; 0:
 *	unknown
 */
struct limit_sample {
	uint32_t running;
	int64_t started_us;
	int64_t now_us;
	double slowdown;
};

void limit_init(struct limit *limit, uint32_t slots, int64_t cold_start_us);

/** limit_set_slots() - Sets the slots and scales the learned limit. */
void limit_set_slots(struct limit *limit, uint32_t slots);

/** limit_start() - Resets the limit and starts the cold start ramp. */
void limit_start(struct limit *limit, int64_t since_us);

/** limit_at() - Returns how many requests may run at @now_us; at least one. */
uint32_t limit_at(const struct limit *limit, int64_t now_us);

/**
 * limit_step_us() - Returns when the ramp next admits one more request.
 *
 * Return: a time, or INT64_MAX if the ramp is over.
 */
int64_t limit_step_us(const struct limit *limit, int64_t now_us);

/** limit_answered() - Takes a sample of a complete answer. */
void limit_answered(struct limit *limit, const struct limit_sample *sample);

/** limit_shed() - Takes a sample of a request that the upstream rejected. */
void limit_shed(struct limit *limit, const struct limit_sample *sample);

/**
 * limit_timed_out() - Takes a sample of a request that ended at its deadline.
 * @sample: holds the time that the request ran as a lower bound of its service
 *	time
 *
 * A request that was queued for long has little time left to run, so a timeout
 * is no stronger a sign of overload than a long service time.
 */
void limit_timed_out(struct limit *limit, const struct limit_sample *sample);

/** limit_failed() - Takes a sample of a request without a complete answer. */
void limit_failed(struct limit *limit, const struct limit_sample *sample);

#endif
