#include "gate/limit.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* Share of the slots in use at the start of the cold start ramp. */
#define COLD_SHARE 0.25
/* Factors by which signs of overload decrease the limit: CUT_FAILED for a
 * failed answer, CUT_SLOW for long service times. CUT_SHED is the factor of the
 * concurrency at which the upstream rejected a request. */
#define CUT_SHED 0.7
#define CUT_FAILED 0.9
#define CUT_SLOW 0.75
/* Lowest limit to which failed answers and long service times decrease it, as a
 * share of the slots. Rejects may decrease it to 1. */
#define FLOOR_FAILED 0.25
#define FLOOR_SLOW 0.5
/* Slowdown that starts a trial, and factor of the slowdown below which a trial
 * is kept. */
#define SLOWDOWN_HIGH 1.75
#define SLOWDOWN_GAIN 0.85
/* Weight of one answer in the moving average. */
#define SLOWDOWN_WEIGHT (1.0 / 16)
/* Number of standard errors that the gain of a trial must exceed. */
#define GAIN_STANDARD_ERRORS 2.0
/* Factor of the growth near the concurrency of the latest reject. */
#define GROWTH_NEAR_CEILING (1.0 / 16)

enum {
	/* Answers per phase, as a multiple of the limit. */
	TRIAL_ROUNDS = 8,
	SETTLE_ROUNDS = 4,
	/* Time for which a finding holds. After an undone trial, no other trial
	 * starts. Rejects at low concurrency with shorter gaps are counted as
	 * one series, and are ignored once the series is long enough. */
	FINDING_VALID_US = 10 * 1000 * 1000,
	NO_GROWTH_US = 10 * 1000 * 1000,
	/* Number of rejects at low concurrency after which rejects are ignored;
	 * a single reject may be a coincidence. */
	LOW_CONCURRENCY_REJECTS = 2,
	RAMP_STEP_US = 1000,
};

void limit_init(struct limit *limit, uint32_t slots, int64_t cold_start_us)
{
	memset(limit, 0, sizeof(*limit));
	limit->slots = slots ? slots : 1;
	limit->cold_start_us = cold_start_us;
	limit_start(limit, 0);
}

void limit_set_slots(struct limit *limit, uint32_t slots)
{
	double factor;

	if (!slots)
		slots = 1;
	factor = (double)slots / limit->slots;
	limit->slots = slots;
	limit->ceiling *= factor;
	limit->current *= factor;
	limit->rejects.current_before *= factor;
	if (limit->current < 1)
		limit->current = 1;
}

void limit_start(struct limit *limit, int64_t since_us)
{
	limit->current = limit->slots;
	limit->ceiling = limit->slots + 1;
	limit->slowdown = 1;
	limit->cold_since_us = since_us;
	limit->cut_at_us = since_us;
	limit->no_trial_until_us = since_us;
	limit->no_growth_until_us = since_us;
	limit->trial.phase = TRIAL_NONE;
	memset(&limit->rejects, 0, sizeof(limit->rejects));
}

static bool is_cold(const struct limit *limit, int64_t now_us)
{
	return now_us - limit->cold_since_us < limit->cold_start_us;
}

static double warm_share(const struct limit *limit, int64_t now_us)
{
	int64_t age_us = now_us - limit->cold_since_us;

	if (!is_cold(limit, now_us))
		return 1;
	if (age_us < 0)
		age_us = 0;
	return COLD_SHARE +
	       (1 - COLD_SHARE) * (double)age_us / (double)limit->cold_start_us;
}

uint32_t limit_at(const struct limit *limit, int64_t now_us)
{
	double most = limit->slots * warm_share(limit, now_us);
	double bound = limit->current < most ? limit->current : most;

	return bound < 1 ? 1 : (uint32_t)bound;
}

int64_t limit_step_us(const struct limit *limit, int64_t now_us)
{
	int64_t step_us;

	if (!is_cold(limit, now_us))
		return INT64_MAX;
	step_us = (int64_t)((double)limit->cold_start_us /
			    (limit->slots * (1 - COLD_SHARE)));
	return now_us + (step_us < RAMP_STEP_US ? RAMP_STEP_US : step_us);
}

/* Requests that ran concurrently while the limit was too high all show the same
 * overload. Only requests that started after the latest decrease show whether
 * a further decrease is needed. */
static bool started_after_cut(const struct limit *limit,
			      const struct limit_sample *sample)
{
	return sample->started_us >= limit->cut_at_us;
}

static void cut(struct limit *limit, double to, double least, int64_t now_us)
{
	if (to < least)
		to = least;
	if (to < 1)
		to = 1;
	if (to < limit->current)
		limit->current = to;
	limit->cut_at_us = now_us;
}

static void grow(struct limit *limit, const struct limit_sample *sample)
{
	double step = 1 / limit->current;

	if (limit->trial.phase != TRIAL_NONE ||
	    sample->now_us < limit->no_growth_until_us)
		return;
	/* A limit that was not reached is not known to be sustainable. */
	if (sample->running + 1 < limit->current)
		return;
	if (limit->current + 1 > limit->ceiling)
		step *= GROWTH_NEAR_CEILING;
	limit->current += step;
	if (limit->current > limit->slots)
		limit->current = limit->slots;
}

static void begin_phase(struct limit *limit, enum limit_phase phase)
{
	limit->trial.phase = phase;
	limit->trial.answers = 0;
	limit->trial.slowdown_sum = 0;
	limit->trial.slowdown_squares = 0;
}

/* Returns the variance of the mean slowdown of a phase. */
static double phase_variance(const struct limit_trial *trial, double slowdown)
{
	double variance =
		trial->slowdown_squares / trial->answers - slowdown * slowdown;

	return variance > 0 ? variance / trial->answers : 0;
}

static void decrease_for_trial(struct limit *limit, double slowdown,
			       int64_t now_us)
{
	limit->trial.slowdown_before = slowdown;
	limit->trial.variance_before = phase_variance(&limit->trial, slowdown);
	limit->trial.current_before = limit->current;
	cut(limit, limit->current * CUT_SLOW, limit->slots * FLOOR_SLOW,
	    now_us);
	begin_phase(limit, TRIAL_SETTLE);
}

/*
 * Undoes the decrease if the slowdown did not fall: the upstream is slow, not
 * overloaded. Otherwise the limit of a slow but healthy upstream would
 * decrease again and again. If service times vary much, the slowdown of two
 * phases differs by chance, so the gain must exceed the standard error;
 * otherwise some trials would keep a decrease that has no effect.
 */
static void end_trial(struct limit *limit, double slowdown, int64_t now_us)
{
	double variance = phase_variance(&limit->trial, slowdown);
	double gain = limit->trial.slowdown_before - slowdown;
	double chance = GAIN_STANDARD_ERRORS *
			sqrt(variance + limit->trial.variance_before);

	begin_phase(limit, TRIAL_NONE);
	if (slowdown < limit->trial.slowdown_before * SLOWDOWN_GAIN &&
	    gain > chance) {
		limit->no_growth_until_us = now_us + NO_GROWTH_US;
		return;
	}
	limit->current = limit->trial.current_before;
	limit->no_trial_until_us = now_us + FINDING_VALID_US;
}

static void add_to_trial(struct limit *limit, const struct limit_sample *sample)
{
	struct limit_trial *trial = &limit->trial;
	double slowdown;

	/* The first answers to requests that started after the decrease
	 * belong to the shortest of these requests. If they were measured, the
	 * decrease would seem to shorten the service times. */
	if (trial->phase == TRIAL_SETTLE) {
		if (++trial->answers >= SETTLE_ROUNDS * limit->current)
			begin_phase(limit, TRIAL_AFTER);
		return;
	}
	trial->slowdown_sum += sample->slowdown;
	trial->slowdown_squares += sample->slowdown * sample->slowdown;
	if (++trial->answers < TRIAL_ROUNDS * limit->current)
		return;
	slowdown = trial->slowdown_sum / trial->answers;
	if (trial->phase == TRIAL_BEFORE)
		decrease_for_trial(limit, slowdown, sample->now_us);
	else
		end_trial(limit, slowdown, sample->now_us);
}

static void update_slowdown(struct limit *limit,
			    const struct limit_sample *sample)
{
	limit->slowdown +=
		(sample->slowdown - limit->slowdown) * SLOWDOWN_WEIGHT;
	if (limit->trial.phase != TRIAL_NONE) {
		add_to_trial(limit, sample);
		return;
	}
	if (limit->slowdown < SLOWDOWN_HIGH ||
	    sample->now_us < limit->no_trial_until_us)
		return;
	if (limit->current >= 2 && limit->current > limit->slots * FLOOR_SLOW)
		begin_phase(limit, TRIAL_BEFORE);
}

void limit_answered(struct limit *limit, const struct limit_sample *sample)
{
	if (!started_after_cut(limit, sample))
		return;
	/* A cold upstream is slow because it is cold, and the ramp already
	 * limits its concurrency. */
	if (sample->slowdown > 0 && !is_cold(limit, sample->now_us))
		update_slowdown(limit, sample);
	grow(limit, sample);
}

/*
 * Counts rejects and failed answers at low concurrency. From the second of a
 * series on, ignores them for FINDING_VALID_US and restores the limit. Returns
 * true if the reject or failed answer is to be ignored. An upstream that rejects
 * a request that runs alone, or fails at a concurrency of at most @least, to
 * which failures may lower the limit, does so for another reason than
 * concurrency. Otherwise the limit would fall and stay low without any effect
 * on the errors, and the node would refuse requests although slots are free.
 */
static bool ignore_if_unrelated_to_concurrency(
	struct limit *limit, const struct limit_sample *sample, double least)
{
	struct limit_rejects *history = &limit->rejects;

	if (sample->now_us < history->ignore_until_us)
		return true;
	if (sample->running > 1 && sample->running > least)
		return false;
	if (sample->now_us - history->low_concurrency_at_us > FINDING_VALID_US)
		history->low_concurrency_count = 0;
	history->low_concurrency_at_us = sample->now_us;
	if (++history->low_concurrency_count < LOW_CONCURRENCY_REJECTS)
		return false;
	history->low_concurrency_count = 0;
	history->ignore_until_us = sample->now_us + FINDING_VALID_US;
	if (limit->current < history->current_before)
		limit->current = history->current_before;
	limit->ceiling = limit->slots + 1;
	return true;
}

/* Stores the limit before the first of a series of decreases. */
static void store_limit_before_cut(struct limit *limit, int64_t now_us)
{
	struct limit_rejects *history = &limit->rejects;

	if (!history->cut_at_us ||
	    now_us - history->cut_at_us > FINDING_VALID_US ||
	    limit->current > history->current_before)
		history->current_before = limit->current;
	history->cut_at_us = now_us;
}

void limit_shed(struct limit *limit, const struct limit_sample *sample)
{
	double reject_concurrency = sample->running;

	if (!started_after_cut(limit, sample) ||
	    ignore_if_unrelated_to_concurrency(limit, sample, 1))
		return;
	store_limit_before_cut(limit, sample->now_us);
	if (reject_concurrency > limit->current)
		reject_concurrency = limit->current;
	limit->ceiling = reject_concurrency;
	limit->trial.phase = TRIAL_NONE;
	cut(limit, reject_concurrency * CUT_SHED, 1, sample->now_us);
}

void limit_timed_out(struct limit *limit, const struct limit_sample *sample)
{
	if (!started_after_cut(limit, sample) || is_cold(limit, sample->now_us))
		return;
	/* A lower bound below the usual service time shows nothing. */
	if (sample->slowdown > limit->slowdown)
		update_slowdown(limit, sample);
}

void limit_failed(struct limit *limit, const struct limit_sample *sample)
{
	double least = limit->slots * FLOOR_FAILED;

	if (!started_after_cut(limit, sample) ||
	    ignore_if_unrelated_to_concurrency(limit, sample, least))
		return;
	store_limit_before_cut(limit, sample->now_us);
	cut(limit, limit->current * CUT_FAILED, least, sample->now_us);
}
