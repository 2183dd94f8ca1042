#include <criterion/criterion.h>
#include <stdio.h>

#include "gate/simulation.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, S = 1000 * MS, SEEDS = 3 };

static const struct gate_options strict_of_twelve = {
	.slots = 12, .queue_max = 64, .fair = true, .strict = true
};

/* Offered load of nine tenths of twelve slots. */
static const struct sim_source reads[] = {
	{ "read", "a", 2, 49, 220 * MS, 600 * MS },
};

/* Guards against refusals while slots are free: with trust_slots, rejects and
 * lost answers that do not depend on concurrency must not lower the limit. */
Test(gate_worst_load, faults_independent_of_concurrency_keep_the_limit)
{
	static const struct {
		const char *name;
		struct sim_upstream upstream;
	} cases[] = {
		{ "rejected", { .capacity = 12, .error_rate = 0.55 } },
		{ "answers lost",
		  { .capacity = 12, .error_rate = 0.3, .resets = true } },
	};
	struct sim_result trusting, learning;
	uint64_t seed;
	size_t i;

	for (i = 0; i < COUNT(cases); i++)
		for (seed = 1; seed <= SEEDS; seed++) {
			struct sim_setup setup = { .options = strict_of_twelve,
						   .upstream =
							   cases[i].upstream,
						   .sources = reads,
						   .source_count = COUNT(reads),
						   .length_us = 30 * S,
						   .seed = seed };

			sim_run(&setup, &learning);
			setup.options.trust_slots = true;
			sim_run(&setup, &trusting);
			printf("%s, seed %lu: refused of %u: %u, learning the "
			       "limit %u; least limit %u and %u\n",
			       cases[i].name, (unsigned long)seed,
			       trusting.offered[0], trusting.refused[0],
			       learning.refused[0], trusting.limit_least,
			       learning.limit_least);
			cr_expect_eq(trusting.limit_least, 12);
			cr_expect_lt(learning.limit_least, 12);
			cr_expect_lt(2 * trusting.refused[0],
				     learning.refused[0]);
		}
}

/* Offered load of more than twelve slots: long requests take ten, look-ups for
 * requests of other instances four more. */
static const struct sim_source ledger[] = {
	{ "certify", "a", 8, 60, 170 * MS, 600 * MS },
	{ "look-up", "a", 4, 60, 61 * MS, 250 * MS },
};

/* Guards against failed requests of other instances whose short look-ups are
 * refused because longer requests of greater weight always start first. */
Test(gate_worst_load, short_requests_do_not_wait_behind_long_ones)
{
	struct sim_result by_work, by_weight;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_setup setup = { .options = strict_of_twelve,
					   .upstream = { .capacity = 12 },
					   .sources = ledger,
					   .source_count = COUNT(ledger),
					   .length_us = 30 * S,
					   .seed = seed };

		sim_run(&setup, &by_weight);
		setup.options.by_work = true;
		sim_run(&setup, &by_work);
		printf("seed %lu: on time: certify %.2f and %.2f, look-up %.2f "
		       "and %.2f; weighted goodput %.0f and %.0f\n",
		       (unsigned long)seed,
		       (double)by_work.on_time[0] / by_work.offered[0],
		       (double)by_weight.on_time[0] / by_weight.offered[0],
		       (double)by_work.on_time[1] / by_work.offered[1],
		       (double)by_weight.on_time[1] / by_weight.offered[1],
		       by_work.goodput, by_weight.goodput);
		cr_expect_gt(by_work.on_time[1], 0.95 * by_work.offered[1]);
		cr_expect_lt(by_weight.on_time[1], 0.6 * by_weight.offered[1]);
		cr_expect_gt(by_work.on_time[0], 0.7 * by_work.offered[0]);
		cr_expect_gt(by_work.goodput, by_weight.goodput);
	}
}

/* Offered load of four upstreams on one: look-ups, which views make in pairs,
 * take seven of nine slots, other requests sixteen. */
static const struct sim_source desk[] = {
	{ "seal", "a", 2, 87, 182 * MS, 1100 * MS },
	{ "look-up", "a", 2, 205, 31 * MS, 250 * MS },
};

/* Returns the value of the answers: two for a seal, one for a view whose two
 * look-ups were both answered. */
static double value_of_answers(const struct sim_result *result)
{
	double views = result->offered[1] / 2.0;
	double met = (double)result->on_time[1] / result->offered[1];

	return 2.0 * result->on_time[0] + views * met * met;
}

/* Guards against views that fail because one of their two look-ups is refused
 * when one of four upstreams must serve the load of all. */
Test(gate_worst_load, the_last_upstream_serves_the_most_valuable_requests)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct sim_setup setup = { .options = strict_of_twelve,
					   .upstream = { .capacity = 9 },
					   .sources = desk,
					   .source_count = COUNT(desk),
					   .length_us = 30 * S,
					   .seed = seed };
		struct sim_result by_work, by_weight;

		setup.options.slots = 9;
		setup.options.trust_slots = true;
		sim_run(&setup, &by_weight);
		setup.options.by_work = true;
		sim_run(&setup, &by_work);
		printf("seed %lu: value %.0f and %.0f\n", (unsigned long)seed,
		       value_of_answers(&by_work),
		       value_of_answers(&by_weight));
		cr_expect_gt(by_work.on_time[1], 0.95 * by_work.offered[1]);
		cr_expect_gt(value_of_answers(&by_work),
			     value_of_answers(&by_weight));
	}
}
