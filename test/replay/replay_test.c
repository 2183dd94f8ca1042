#include <criterion/criterion.h>
#include <stdio.h>

#include "replay/replay.h"

enum { SEEDS = 3 };

static void run(struct replay_setup *setup, bool seek_room,
		struct replay_result *result)
{
	setup->policy.seek_room = seek_room;
	replay_run(setup, result);
}

/*
 * Symptom: requests wait and come late while other upstreams of their data
 * centre have free slots; the larger the fleet, the more.
 * Sequence: fifty callers in each data centre, 18 upstreams of five slots,
 * nearly full.
 * Cause: what a caller knows of an upstream's load is as old as its last
 * answer from there.
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
 * Symptom: the same fleet of upstreams serves worse the more nodes call it.
 * Sequence: two callers in each data centre, then fifty, at the same load.
 * Cause: as above.
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
 * Deployments of many shapes: to look for a free slot first never serves
 * worse by more than chance, and all requests end.
 */
Test(replay, drawn_deployments_lose_nothing, .timeout = 600)
{
	enum { DRAWN = 20 };
	struct replay_result without, with;
	struct replay_setup setup;
	double gain = 0;
	uint64_t seed;

	for (seed = 1; seed <= DRAWN; seed++) {
		replay_draw(&setup, seed);
		setup.load = 0.7 + 0.02 * (double)seed;
		run(&setup, false, &without);
		run(&setup, true, &with);
		gain += with.worth - without.worth;
		cr_expect_gt(with.worth, without.worth - 0.004, "seed %lu",
			     (unsigned long)seed);
		cr_expect_eq(with.in_time + with.late + with.refused +
				     with.failed,
			     with.asked);
	}
	printf("mean gain over %d deployments: %.4f\n", DRAWN, gain / DRAWN);
	cr_expect_gt(gain, 0);
}

/*
 * Symptom: beside rolling stops under load everything is late or refused, where
 * it was not before free slots were asked for: each request asks three gates in
 * vain, and fills links of a few Mbit/s with its body.
 * Sequence: half as much again as all slots can do.
 * Cause: asking on where nearly all are full.
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
		printf("seed %lu: tries for each request %.2f, %.2f without\n",
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
