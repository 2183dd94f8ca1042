#include "rollout/plan.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { OVER_MS = 16000, PASS = 1, MARGINAL = 0, BAD = -1 };

static struct plan_input input_of(enum rollout_phase phase, int64_t elapsed_ms,
				  int64_t phase_ms, int verdict,
				  uint32_t samples)
{
	struct plan_input input = { .phase = phase,
				    .over_ms = OVER_MS,
				    .elapsed_ms = elapsed_ms,
				    .phase_ms = phase_ms,
				    .target_known = 8,
				    .target_reporting = 8,
				    .old_known = 8,
				    .old_reporting = true };

	input.judgement.bad = verdict == BAD;
	input.judgement.pass = verdict == PASS;
	input.judgement.samples = samples;
	return input;
}

/* Guards against phases that begin or end at the wrong time: a roll-out would
 * advance without enough answers, or a good version would not advance. */
Test(plan, each_phase_needs_its_time_and_its_samples)
{
	static const struct {
		const char *name;
		enum rollout_phase phase;
		int32_t elapsed_ms;
		int32_t phase_ms;
		int32_t verdict;
		uint32_t samples;
		enum rollout_phase next;
	} cases[] = {
		{ "no reports yet", ROLLOUT_ORDERED, 500, 500, PASS, 0,
		  ROLLOUT_ORDERED },
		{ "instances of the target are serving", ROLLOUT_ORDERED, 1500,
		  1500, PASS, 0, ROLLOUT_CANARY },
		{ "too early for the ramp", ROLLOUT_CANARY, 8000, 6000, PASS,
		  100, ROLLOUT_CANARY },
		{ "time for the ramp", ROLLOUT_CANARY, 13000, 11000, PASS, 100,
		  ROLLOUT_RAMP },
		{ "too few answers", ROLLOUT_CANARY, 13000, 11000, PASS, 5,
		  ROLLOUT_CANARY },
		{ "marginal", ROLLOUT_CANARY, 13000, 11000, MARGINAL, 100,
		  ROLLOUT_CANARY },
		{ "bad", ROLLOUT_CANARY, 5000, 3000, BAD, 100,
		  ROLLOUT_CONDEMNED },
		{ "never enough answers", ROLLOUT_CANARY, 38000, 36000, PASS, 2,
		  ROLLOUT_CONDEMNED },
		{ "too early for the switch", ROLLOUT_RAMP, 13500, 500, PASS,
		  100, ROLLOUT_RAMP },
		{ "time for the switch", ROLLOUT_RAMP, 14000, 1000, PASS, 100,
		  ROLLOUT_SWITCHED },
		{ "bad under load", ROLLOUT_RAMP, 13400, 400, BAD, 100,
		  ROLLOUT_CONDEMNED },
		{ "the switch has not lasted long enough", ROLLOUT_SWITCHED,
		  14500, 500, PASS, 100, ROLLOUT_SWITCHED },
		{ "done", ROLLOUT_SWITCHED, 15000, 1500, PASS, 100,
		  ROLLOUT_DONE },
		{ "bad at the last moment", ROLLOUT_SWITCHED, 15000, 1500, BAD,
		  100, ROLLOUT_CONDEMNED },
		{ "marginal for too long", ROLLOUT_SWITCHED, 17000, 3100,
		  MARGINAL, 100, ROLLOUT_CONDEMNED },
		{ "condemned", ROLLOUT_CONDEMNED, 5000, 10, BAD, 100,
		  ROLLOUT_ROLLED_BACK },
		{ "finished", ROLLOUT_DONE, 20000, 10, BAD, 100, ROLLOUT_DONE },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct plan_input input = input_of(
			cases[i].phase, cases[i].elapsed_ms, cases[i].phase_ms,
			cases[i].verdict, cases[i].samples);

		cr_expect_eq(plan_next(&input), cases[i].next, "%s: %s",
			     cases[i].name,
			     rollout_phase_name(plan_next(&input)));
	}
}

/* Guards against a data centre without contact that advances a bad version: the
 * few reports that arrive are good, and the failures are reported elsewhere. */
Test(plan, too_few_reports_do_not_advance_a_rollout)
{
	static const struct {
		const char *name;
		uint32_t target_reporting;
		bool old_reporting;
		bool advances;
	} cases[] = {
		{ "all report", 8, true, true },
		{ "most report", 5, true, true },
		{ "half of them report", 4, true, false },
		{ "only the own data centre reports", 2, true, false },
		{ "the old version does not report", 8, false, false },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct plan_input input =
			input_of(ROLLOUT_CANARY, 13000, 10000, PASS, 100);

		input.target_reporting = cases[i].target_reporting;
		input.old_reporting = cases[i].old_reporting;
		cr_expect_eq(plan_next(&input) == ROLLOUT_RAMP,
			     cases[i].advances, "%s", cases[i].name);
	}
}

Test(plan, a_version_that_all_instances_run_is_done)
{
	struct plan_input input =
		input_of(ROLLOUT_ORDERED, 1500, 1500, PASS, 0);

	input.old_known = 0;
	cr_expect_eq(plan_next(&input), ROLLOUT_DONE);
	input.target_known = 0;
	cr_expect_eq(plan_next(&input), ROLLOUT_ORDERED);
	input.elapsed_ms = OVER_MS * 2 + 6000;
	cr_expect_eq(plan_next(&input), ROLLOUT_CONDEMNED);
}

/* With fewer requests the canary needs a larger share for enough answers. */
Test(plan, the_canary_share_grows_with_fewer_requests)
{
	static const struct {
		double rate_per_s;
		double min_share;
		double max_share;
	} cases[] = {
		{ 0, 0.03, 0.03 },
		{ 1000, 0.03, 0.04 },
		{ 50, 0.05, 0.1 },
		{ 1, 0.2, 0.2 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		double share = plan_canary_share(cases[i].rate_per_s, OVER_MS);

		cr_expect_geq(share, cases[i].min_share - 1e-9);
		cr_expect_leq(share, cases[i].max_share + 1e-9);
	}
}
