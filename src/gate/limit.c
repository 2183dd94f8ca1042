#include "gate/limit.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* Share of the slots that a cold upstream gets at once. */
#define COLD_SHARE 0.25
/* What remains of the limit after each kind of sign. */
#define CUT_SHED 0.7
#define CUT_FAILED 0.9
#define CUT_SLOW 0.75
/* Share of the slots below which each sign cuts no further. */
#define FLOOR_FAILED 0.25
#define FLOOR_SLOW 0.5
/* Pace above which service times are a sign, and that a cut must gain. */
#define SLOWDOWN_HIGH 1.75
#define SLOWDOWN_GAIN 0.85
#define SLOWDOWN_WEIGHT (1.0 / 16)
/* Standard errors that a gain must exceed. */
#define CHANCE_ERRORS 2.0
/* Growth near the concurrency that was turned away, as share of the usual. */
#define GROWTH_NEAR_CEILING (1.0 / 16)

enum {
	TRIAL_ROUNDS = 8, /* answers of a phase, over the limit */
	SETTLE_ROUNDS = 4,
	NO_TRIAL_US = 10 * 1000 * 1000,
	NO_GROWTH_US = 10 * 1000 * 1000,
	/* Turned away while it ran alone: once may be another cause's chance,
	 * twice within the time for which a finding is trusted is not. */
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

/* Requests that were running together when the limit was too high all bring
 * the same news; only those started after the last cut bring news. */
static bool is_news(const struct limit *limit,
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
	/* A limit that is not in use has not been shown to hold. */
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

/* Variance of the mean of a phase's answers. */
static double phase_variance(const struct limit_trial *trial, double slowdown)
{
	double variance =
		trial->slowdown_squares / trial->answers - slowdown * slowdown;

	return variance > 0 ? variance / trial->answers : 0;
}

static void try_fewer(struct limit *limit, double slowdown, int64_t now_us)
{
	limit->trial.slowdown_before = slowdown;
	limit->trial.variance_before = phase_variance(&limit->trial, slowdown);
	limit->trial.current_before = limit->current;
	cut(limit, limit->current * CUT_SLOW, limit->slots * FLOOR_SLOW,
	    now_us);
	begin_phase(limit, TRIAL_SETTLE);
}

/*
 * Fewer at once and no faster: the upstream is slow, not overloaded. Without
 * this a slow but healthy upstream would be cut again and again. Where service
 * times vary much, two phases differ by chance; a gain must be more than that,
 * or every few trials would keep a cut that gained nothing.
 */
static void judge_trial(struct limit *limit, double slowdown, int64_t now_us)
{
	double error = phase_variance(&limit->trial, slowdown);
	double gain = limit->trial.slowdown_before - slowdown;
	double chance =
		CHANCE_ERRORS * sqrt(error + limit->trial.variance_before);

	begin_phase(limit, TRIAL_NONE);
	if (slowdown < limit->trial.slowdown_before * SLOWDOWN_GAIN &&
	    gain > chance) {
		limit->no_growth_until_us = now_us + NO_GROWTH_US;
		return;
	}
	limit->current = limit->trial.current_before;
	limit->no_trial_until_us = now_us + NO_TRIAL_US;
}

static void feed_trial(struct limit *limit, const struct limit_sample *sample)
{
	struct limit_trial *trial = &limit->trial;
	double slowdown;

	/* The first answers to requests that began after the cut are the
	 * quickest of them. Measured, they would look like a gain. */
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
		try_fewer(limit, slowdown, sample->now_us);
	else
		judge_trial(limit, slowdown, sample->now_us);
}

static void watch_slowdown(struct limit *limit,
			   const struct limit_sample *sample)
{
	limit->slowdown +=
		(sample->slowdown - limit->slowdown) * SLOWDOWN_WEIGHT;
	if (limit->trial.phase != TRIAL_NONE) {
		feed_trial(limit, sample);
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
	if (!is_news(limit, sample))
		return;
	/* Cold upstreams are slow for another reason, and the ramp is there. */
	if (sample->slowdown > 0 && !is_cold(limit, sample->now_us))
		watch_slowdown(limit, sample);
	grow(limit, sample);
}

/*
 * An upstream that turns away one that runs alone, or breaks answers off with
 * as few as a cut for those would leave, does so for another reason than
 * concurrency. Without this its limit would go down and stay there although
 * fewer at once gain nothing, and its node would refuse work that free slots
 * could take. Returns whether the sign is used up.
 */
static bool is_doubtful(struct limit *limit, const struct limit_sample *sample,
			double least)
{
	struct limit_rejects *history = &limit->rejects;

	if (sample->now_us < history->ignore_until_us)
		return true;
	if (sample->running > 1 && sample->running > least)
		return false;
	if (sample->now_us - history->low_concurrency_at_us > NO_TRIAL_US)
		history->low_concurrency_count = 0;
	history->low_concurrency_at_us = sample->now_us;
	if (++history->low_concurrency_count < LOW_CONCURRENCY_REJECTS)
		return false;
	history->low_concurrency_count = 0;
	history->ignore_until_us = sample->now_us + NO_TRIAL_US;
	if (limit->current < history->current_before)
		limit->current = history->current_before;
	limit->ceiling = limit->slots + 1;
	return true;
}

/* Remember the limit before the first of a row of cuts. */
static void note_before_cut(struct limit *limit, int64_t now_us)
{
	struct limit_rejects *history = &limit->rejects;

	if (!history->cut_at_us || now_us - history->cut_at_us > NO_TRIAL_US ||
	    limit->current > history->current_before)
		history->current_before = limit->current;
	history->cut_at_us = now_us;
}

void limit_shed(struct limit *limit, const struct limit_sample *sample)
{
	double held = sample->running;

	if (!is_news(limit, sample) || is_doubtful(limit, sample, 1))
		return;
	note_before_cut(limit, sample->now_us);
	if (held > limit->current)
		held = limit->current;
	limit->ceiling = held;
	limit->trial.phase = TRIAL_NONE;
	cut(limit, held * CUT_SHED, 1, sample->now_us);
}

void limit_timed_out(struct limit *limit, const struct limit_sample *sample)
{
	if (!is_news(limit, sample) || is_cold(limit, sample->now_us))
		return;
	/* Less than the usual time says nothing. */
	if (sample->slowdown > limit->slowdown)
		watch_slowdown(limit, sample);
}

void limit_failed(struct limit *limit, const struct limit_sample *sample)
{
	double least = limit->slots * FLOOR_FAILED;

	if (!is_news(limit, sample) || is_doubtful(limit, sample, least))
		return;
	note_before_cut(limit, sample->now_us);
	cut(limit, limit->current * CUT_FAILED, least, sample->now_us);
}
