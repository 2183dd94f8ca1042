#include "rollout/plan.h"

#include "os/clock.h"

/* A bad version may get a tenth of the requests of the roll-out plus 50. The
 * canary gets a third of the tenth and two thirds of the 50. The rest is left
 * for the last two phases, in which a fault hits the most requests. */
#define CANARY_SHARE 0.03
#define CANARY_REQUESTS 35
#define CANARY_SHARE_MAX 0.2
/* Shares of the time of the roll-out for its last two phases. */
#define RAMP_TIME_SHARE 0.06
#define SWITCH_TIME_SHARE 0.06

enum {
	/* By then the reports of the old version give the request rate. */
	ORDERED_MIN_MS = 1000,
	/* A fault shows after each instance has reported a few answers. */
	RAMP_MIN_MS = 600,
	RAMP_MAX_MS = 1000,
	/* Time for the writes of the last phases, and for waiting while the
	 * answers of both versions fail or are slow: the versions cannot be
	 * compared during that time. */
	MARGIN_MS = 1200,
	/* Most requests end within this time, so that a fault of all instances
	 * shows before the roll-out is done: a version that becomes bad later
	 * stays in use. The phase does not begin earlier, because the new
	 * version gets all requests in this phase. */
	SWITCH_MIN_MS = 900,
	SWITCH_MAX_MS = 1300,
	/* Minimum number of answers of the new version for each kind of request
	 * before the phase ends. If every second answer fails, at least four
	 * failures are among six answers with probability 0.34, among ten with
	 * 0.83 and among 20 with 0.999. A later phase gets more requests, so
	 * that more answers arrive in the same time. */
	RAMP_SAMPLES = 6,
	SWITCH_SAMPLES = 10,
	DONE_SAMPLES = 20,
	/* Time after which the roll-out no longer waits for requests at the old
	 * version. */
	OLD_BUSY_MAX_MS = 2500,
	/* Maximum time without a pass in ROLLOUT_SWITCHED, in which the new
	 * version gets all requests. */
	MARGINAL_MAX_MS = 3000,
	/* A version that has not shown enough good answers is condemned when
	 * this time, in addition to the time of the roll-out, has passed after
	 * its end. */
	GIVE_UP_MS = 5000,
	/* An instance whose counts change reports within this time. */
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

/* Returns true if enough instances report, and their reports show no fault. A
 * node that is cut off receives only the reports of a few instances; it must
 * not advance the roll-out by these. */
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
	/* If all instances run the new version, there is no traffic to move. */
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
	/* In ROLLOUT_SWITCHED all requests go to the new version, so that a
	 * delay would expose many requests to a fault. */
	return phase == ROLLOUT_CANARY || phase == ROLLOUT_RAMP
		       ? REPORT_DELAY_US
		       : 0;
}
