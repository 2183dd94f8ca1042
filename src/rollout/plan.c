#include "rollout/plan.h"

#include "os/clock.h"

/* A bad version may be given a tenth of the requests and 50. The canary takes
 * a third of the tenth and two thirds of the 50, so that all of the rest is
 * left for the end, when a fault costs most. */
#define CANARY_SHARE 0.03
#define CANARY_REQUESTS 35
#define CANARY_SHARE_MAX 0.2
/* Of the time of the roll-out, for its last two phases. */
#define RAMP_TIME_SHARE 0.06
#define SWITCH_TIME_SHARE 0.06

enum {
	/* Reports of the old version tell the rate of requests by then. */
	ORDERED_MIN_MS = 1000,
	/* A fault shows after a round of reports and a few answers. */
	RAMP_MIN_MS = 600,
	RAMP_MAX_MS = 1000,
	/* For the writes of the last phases, and to wait for calm: while all
	 * answers fail or are slow nobody can tell the versions apart. */
	MARGIN_MS = 1200,
	/* Most requests end within it, and a fault of all shows. No sooner than
	 * that before the end: a version that turns bad after it is done stays
	 * in use, and all requests that it was given count. */
	SWITCH_MIN_MS = 900,
	SWITCH_MAX_MS = 1300,
	/* Of each kind. Of failures in every second answer four are among six
	 * with 0.34, among ten with 0.83 and among 20 with 0.999; the more
	 * requests move, the sooner the next ones come. */
	RAMP_SAMPLES = 6,
	SWITCH_SAMPLES = 10,
	DONE_SAMPLES = 20,
	/* All of what the old version had has ended or was given up. */
	OLD_BUSY_MAX_MS = 2500,
	/* All requests go to a version that something speaks against: it is not
	 * left in doubt for longer. */
	MARGINAL_MAX_MS = 3000,
	/* Without enough answers for so long after its time a version is given
	 * up: nobody knows whether it is good. */
	GIVE_UP_MS = 5000,
	/* Two rounds of reports. */
	REPORT_DELAY_US = 300 * 1000,
};

static int64_t clamp_ms(double value_ms, int64_t min_ms, int64_t max_ms)
{
	if (value_ms < (double)min_ms)
		return min_ms;
	return value_ms > (double)max_ms ? max_ms : (int64_t)value_ms;
}

static int64_t ramp_ms(const struct plan_input *input)
{
	return clamp_ms((double)input->over_ms * RAMP_TIME_SHARE, RAMP_MIN_MS,
			RAMP_MAX_MS);
}

static int64_t switch_ms(const struct plan_input *input)
{
	return clamp_ms((double)input->over_ms * SWITCH_TIME_SHARE,
			SWITCH_MIN_MS, SWITCH_MAX_MS);
}

static int64_t last_phases_ms(const struct plan_input *input)
{
	return ramp_ms(input) + switch_ms(input) + MARGIN_MS;
}

/* Whether this node hears enough to say that nothing is wrong: one that is cut
 * off hears good of the few that it reaches. */
static bool may_advance(const struct plan_input *input, uint32_t samples)
{
	return input->judgement.pass && input->judgement.samples >= samples &&
	       input->old_reporting && input->target_known &&
	       input->target_reporting * 2 > input->target_known;
}

static enum rollout_phase next_after_order(const struct plan_input *input)
{
	if (input->elapsed_ms > input->over_ms * 2 + GIVE_UP_MS)
		return ROLLOUT_CONDEMNED;
	if (!input->target_known || input->elapsed_ms < ORDERED_MIN_MS)
		return ROLLOUT_ORDERED;
	/* All instances run it already: there is nothing to move. */
	return input->old_known ? ROLLOUT_CANARY : ROLLOUT_DONE;
}

static enum rollout_phase next_after_canary(const struct plan_input *input)
{
	int64_t remaining_ms = input->over_ms - input->elapsed_ms;

	if (-remaining_ms > input->over_ms + GIVE_UP_MS)
		return ROLLOUT_CONDEMNED;
	if (remaining_ms > last_phases_ms(input))
		return ROLLOUT_CANARY;
	return may_advance(input, RAMP_SAMPLES) ? ROLLOUT_RAMP : ROLLOUT_CANARY;
}

static enum rollout_phase next_after_ramp(const struct plan_input *input)
{
	if (-(input->over_ms - input->elapsed_ms) > input->over_ms + GIVE_UP_MS)
		return ROLLOUT_CONDEMNED;
	if (input->phase_ms < ramp_ms(input))
		return ROLLOUT_RAMP;
	return may_advance(input, SWITCH_SAMPLES) ? ROLLOUT_SWITCHED
						  : ROLLOUT_RAMP;
}

static enum rollout_phase next_after_switch(const struct plan_input *input)
{
	if (!input->judgement.pass && input->phase_ms > MARGINAL_MAX_MS)
		return ROLLOUT_CONDEMNED;
	if (input->phase_ms < SWITCH_MIN_MS ||
	    !may_advance(input, DONE_SAMPLES))
		return ROLLOUT_SWITCHED;
	if (input->old_busy && input->phase_ms < OLD_BUSY_MAX_MS)
		return ROLLOUT_SWITCHED;
	return ROLLOUT_DONE;
}

enum rollout_phase plan_next(const struct plan_input *input)
{
	if (input->judgement.bad && input->phase < ROLLOUT_CONDEMNED)
		return ROLLOUT_CONDEMNED;
	switch (input->phase) {
	case ROLLOUT_ORDERED:
		return next_after_order(input);
	case ROLLOUT_CANARY:
		return next_after_canary(input);
	case ROLLOUT_RAMP:
		return next_after_ramp(input);
	case ROLLOUT_SWITCHED:
		return next_after_switch(input);
	case ROLLOUT_CONDEMNED:
		return ROLLOUT_ROLLED_BACK;
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_DONE:
	case ROLLOUT_PHASES:
		break;
	}
	return input->phase;
}

double plan_canary_share(double rate_per_s, int64_t over_ms)
{
	double requests = rate_per_s * (double)over_ms / MS_PER_S;
	double share = CANARY_SHARE;

	if (requests > 0)
		share += CANARY_REQUESTS / requests;
	return share < CANARY_SHARE_MAX ? share : CANARY_SHARE_MAX;
}

int64_t plan_report_delay_us(enum rollout_phase phase)
{
	/* While all requests go to the new version there is nothing to wait
	 * for, and each tenth of a second costs a hundred requests in a
	 * thousand a second. */
	return phase == ROLLOUT_CANARY || phase == ROLLOUT_RAMP
		       ? REPORT_DELAY_US
		       : 0;
}
