#include <criterion/criterion.h>
#include <stdio.h>

#include "replay/replay.h"

enum { SEEDS = 3 };

static void run(struct replay_setup *setup, bool seeks_free_slot,
		struct replay_result *result)
{
	setup->policy.seeks_free_slot = seeks_free_slot;
	replay_run(setup, result);
}

/*
 * Guards against requests that wait at one upstream while others have free
 * slots, since the load that a caller knows is as old as the last answer.
 */
Test(replay, many_callers_find_free_slots, .timeout = 600)
{
	struct replay_result without, with;
	struct replay_setup setup;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		replay_large(&setup);
		setup.load = 0.95;
		setup.seed = seed;
		run(&setup, false, &without);
		run(&setup, true, &with);
		printf("seed %lu: wait %.1f ms, %.1f without; late %u, %u; "
		       "worth %.4f, %.4f\n",
		       (unsigned long)seed, with.wait_mean_us / 1000,
		       without.wait_mean_us / 1000, with.late, without.late,
		       with.worth, without.worth);
		cr_expect_lt(4 * with.wait_mean_us, without.wait_mean_us);
		cr_expect_lt(with.late, 0.8 * without.late);
		cr_expect_gt(with.worth, without.worth);
	}
}

/*
 * Guards against waits that grow with the number of callers at the same load,
 * since each caller then has older information about the upstreams.
 */
Test(replay, fifty_callers_wait_as_little_as_two, .timeout = 600)
{
	struct replay_result few, many;
	struct replay_setup setup;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		replay_large(&setup);
		setup.load = 0.85;
		setup.seed = seed;
		setup.callers = 2;
		run(&setup, true, &few);
		setup.callers = 50;
		run(&setup, true, &many);
		printf("seed %lu: wait %.2f ms with two callers, %.2f with "
		       "fifty\n",
		       (unsigned long)seed, few.wait_mean_us / 1000,
		       many.wait_mean_us / 1000);
		cr_expect_lt(many.wait_mean_us, 1.1 * few.wait_mean_us);
	}
}

/*
 * Guards against a loss of worth through the search for a free slot in other
 * deployments, and against requests that never end.
 */
Test(replay, drawn_deployments_lose_nothing, .timeout = 600)
{
	enum { DEPLOYMENTS = 20 };
	struct replay_result without, with;
	struct replay_setup setup;
	double gain = 0;
	uint64_t seed;

	for (seed = 1; seed <= DEPLOYMENTS; seed++) {
		replay_draw(&setup, seed);
		setup.load = 0.7 + 0.02 * (double)seed;
		run(&setup, false, &without);
		run(&setup, true, &with);
		gain += with.worth - without.worth;
		cr_expect_gt(with.worth, without.worth - 0.004, "seed %lu",
			     (unsigned long)seed);
		cr_expect_eq(with.in_time + with.late + with.refused +
				     with.failed,
			     with.request_count);
	}
	printf("mean gain over %d deployments: %.4f\n", DEPLOYMENTS,
	       gain / DEPLOYMENTS);
	cr_expect_gt(gain, 0);
}

/*
 * Guards against a search for a free slot that continues under overload: each
 * request would be sent to several full gates, and the bodies fill slow links.
 */
Test(replay, nobody_asks_on_in_vain, .timeout = 600)
{
	struct replay_result without, with;
	struct replay_setup setup;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		replay_large(&setup);
		setup.load = 1.7;
		setup.length_us /= 2;
		setup.seed = seed;
		run(&setup, false, &without);
		run(&setup, true, &with);
		printf("seed %lu: attempts per request %.2f, %.2f without\n",
		       (unsigned long)seed,
		       (double)with.attempt_count / with.client_attempts,
		       (double)without.attempt_count / without.client_attempts);
		cr_expect_lt((double)with.attempt_count / with.client_attempts,
			     (double)without.attempt_count /
					     without.client_attempts +
				     0.7);
		cr_expect_gt(with.worth, without.worth - 0.005);
	}
}
