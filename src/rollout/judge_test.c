#include "rollout/judge.h"

#include <criterion/criterion.h>
#include <string.h>

#include "os/clock.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { KIND = 7, EVERY_US = 200 * 1000 };

/* Adds a report of an instance with @finished requests, @failed of them failed.
 */
static void report(struct judge *judge, uint64_t instance, bool runs_target,
		   uint32_t finished, uint32_t failed, int64_t now_us)
{
	struct judge_report message = { .instance = instance,
					.runs_target = runs_target };
	uint32_t i;

	request_stats_init(&message.request_stats, 1);
	for (i = 0; i < finished; i++) {
		request_stats_add_started(&message.request_stats);
		request_stats_add_finished(&message.request_stats, KIND,
					   i < failed, true);
	}
	judge_add_report(judge, &message, now_us);
}

/* Guards against a canary share that is too large because the measured rate is
 * too low: instances begin to report at different times, so each rate must
 * cover only the time since the first report of its instance. */
Test(judge, the_rate_covers_only_the_reported_time)
{
	struct judge judge;
	int64_t now_us;

	judge_init(&judge);
	for (now_us = 0; now_us <= US_PER_S; now_us += EVERY_US) {
		uint32_t done = (uint32_t)(now_us / 10000);

		report(&judge, 1, false, 5000 + done, 0, US_PER_S + now_us);
		if (now_us >= 600 * US_PER_MS)
			report(&judge, 2, false, 9000 + done, 0,
			       US_PER_S + now_us);
	}
	cr_expect_float_eq(judge_rate(&judge), 200, 1, "%g",
			   judge_rate(&judge));
	judge_finish(&judge);
}

/* Each case adds 100 answers of the old version, and @finished answers of each
 * instance of the new version. */
Test(judge, one_faulty_instance_does_not_condemn_its_version)
{
	static const struct {
		const char *name;
		uint32_t instances;
		uint32_t finished;
		uint32_t failed[3]; /* by instance */
		uint32_t old_failed;
		bool bad;
		bool pass;
	} cases[] = {
		{ "no failures", 3, 20, { 0, 0, 0 }, 0, false, true },
		{ "one failure each", 3, 20, { 1, 1, 1 }, 0, false, true },
		{ "all fail", 3, 20, { 8, 8, 8 }, 0, true, false },
		{ "one instance fails, the others do not",
		  3,
		  20,
		  { 10, 0, 0 },
		  0,
		  false,
		  false },
		{ "the only instance fails", 1, 20, { 10 }, 0, true, false },
		{ "the old version fails as often",
		  3,
		  20,
		  { 8, 8, 8 },
		  40,
		  false,
		  false },
	};
	size_t i;
	uint32_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct judgement judgement;
		struct judge judge;

		judge_init(&judge);
		report(&judge, 99, false, 100, 0, 1);
		report(&judge, 99, false, 200, cases[i].old_failed, EVERY_US);
		for (j = 0; j < cases[i].instances; j++)
			report(&judge, j, true, cases[i].finished,
			       cases[i].failed[j], EVERY_US);
		judge_decide(&judge, 0, EVERY_US, &judgement);
		cr_expect_eq(judgement.bad, cases[i].bad, "%s: %s",
			     cases[i].name, judgement.reason);
		cr_expect_eq(judgement.pass, cases[i].pass, "%s",
			     cases[i].name);
		cr_expect_eq(judgement.samples,
			     cases[i].instances * cases[i].finished);
		judge_finish(&judge);
	}
}
