#include <criterion/criterion.h>
#include <stdio.h>

#include "gate/simulation.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, S = 1000 * MS };

static const struct gate_options gate_of_nine = {
	.slots = 9, .queue_max = 512, .cold_start_us = 0, .fair = true
};

/* Offered load of twice the nine slots, in kinds of different service times. */
static const struct sim_source mixed[] = {
	{ "today", "pub-a", 10, 450, 5 * MS, 60 * MS },
	{ "today", "pub-b", 10, 450, 5 * MS, 60 * MS },
	{ "week", "brewer", 5, 450, 10 * MS, 120 * MS },
	{ "season", "inspector", 1, 225, 20 * MS, 300 * MS },
	{ "digest", "night", 0, 112, 40 * MS, 1000 * MS },
};

/* The same load with equal service times and deadlines, so that only the order
 * of the requests can improve the goodput. */
static const struct sim_source alike[] = {
	{ "today", "pub-a", 10, 450, 10 * MS, 100 * MS },
	{ "week", "brewer", 5, 450, 10 * MS, 100 * MS },
	{ "season", "inspector", 1, 450, 10 * MS, 100 * MS },
	{ "digest", "night", 0, 450, 10 * MS, 100 * MS },
};

static double goodput(struct sim_setup setup, bool fair,
		      struct sim_result *result)
{
	setup.options.fair = fair;
	sim_run(&setup, result);
	return result->goodput;
}

Test(gate_overload, weighted_goodput_is_twice_the_baseline)
{
	static const struct {
		const char *name;
		const struct sim_source *sources;
		uint32_t count;
		uint64_t seed;
	} cases[] = {
		{ "mixed", mixed, COUNT(mixed), 1 },
		{ "mixed", mixed, COUNT(mixed), 2 },
		{ "alike", alike, COUNT(alike), 3 },
		{ "alike", alike, COUNT(alike), 4 },
	};
	struct sim_result fair, plain;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct sim_setup setup = { .options = gate_of_nine,
					   .upstream = { .capacity = 9 },
					   .sources = cases[i].sources,
					   .source_count = cases[i].count,
					   .length_us = 20 * S,
					   .seed = cases[i].seed };
		double best = sim_best(&setup);
		double with = goodput(setup, true, &fair);
		double without = goodput(setup, false, &plain);

		printf("%s, seed %lu: weighted goodput %.0f, baseline %.0f,"
		       " ratio %.1f, share of the best possible %.3f\n",
		       cases[i].name, (unsigned long)cases[i].seed, with,
		       without, with / without, with / best);
		cr_assert_geq(with, 0.95 * best);
		cr_assert_geq(with, 2 * without);
	}
}

/* Returns Jain's fairness index of the tenants: the share of its offered load
 * that each got, with the offered load bounded by an equal share. */
static double jain(const struct sim_setup *setup,
		   const struct sim_result *result, double share_per_s)
{
	double sum = 0;
	double squares = 0;
	uint32_t i;

	for (i = 0; i < setup->source_count; i++) {
		double asked = setup->sources[i].per_s;
		double got =
			result->on_time[i] * 1e6 / (double)setup->length_us;

		if (asked > share_per_s)
			asked = share_per_s;
		got = got < asked ? got / asked : 1;
		sum += got;
		squares += got * got;
	}
	return sum * sum / (setup->source_count * squares);
}

/* Guards against refusals of tenants within their share while another tenant
 * sends ten times its share. */
Test(gate_overload, tenant_at_ten_times_its_share)
{
	enum { SHARE_PER_S = 120 }; /* six slots run 600 requests per second */
	static const struct {
		const char *name;
		double others_per_s;
		const char *flood_kind;
		double flood_weight;
	} cases[] = {
		{ "others at their share", SHARE_PER_S, "browse", 1 },
		{ "others below", 0.8 * SHARE_PER_S, "browse", 1 },
		{ "flood of another kind", SHARE_PER_S, "other", 1 },
	};
	struct sim_result result;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		double rate = cases[i].others_per_s;
		const struct sim_source sources[] = {
			{ "browse", "a", 1, rate, 10 * MS, 150 * MS },
			{ "browse", "b", 1, rate, 10 * MS, 150 * MS },
			{ "browse", "c", 1, rate, 10 * MS, 150 * MS },
			{ "browse", "d", 1, rate, 10 * MS, 150 * MS },
			{ cases[i].flood_kind, "e", cases[i].flood_weight,
			  10 * SHARE_PER_S, 10 * MS, 150 * MS },
		};
		struct sim_setup setup = { .options = gate_of_nine,
					   .upstream = { .capacity = 6 },
					   .sources = sources,
					   .source_count = COUNT(sources),
					   .length_us = 20 * S,
					   .seed = i };
		double index;

		setup.options.slots = 6;
		sim_run(&setup, &result);
		index = jain(&setup, &result, SHARE_PER_S);
		printf("%s: Jain's index %.3f, others got %.3f of what they"
		       " asked for\n",
		       cases[i].name, index,
		       (double)result.on_time[0] / result.offered[0]);
		cr_expect_geq(index, 0.95, "%s", cases[i].name);
	}
}

/* Guards against late weighted requests at low load, because long background
 * requests occupy every free slot: running requests are not preempted. */
Test(gate_overload, background_takes_what_is_left)
{
	static const struct {
		const char *name;
		double today_per_s;
		double today_least;  /* share answered on time */
		double digest_least; /* share of the capacity of nine slots */
	} cases[] = {
		{ "half of the slots are in use", 900, 0.97, 0.45 },
		{ "a tenth", 180, 0.97, 0.7 },
		{ "none", 0.01, 0, 0.95 },
	};
	struct sim_result result;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const struct sim_source sources[] = {
			{ "today", "pub", 10, cases[i].today_per_s, 5 * MS,
			  15 * MS },
			{ "digest", "night", 0, 1000, 40 * MS, 2 * S },
		};
		struct sim_setup setup = { .options = gate_of_nine,
					   .upstream = { .capacity = 9 },
					   .sources = sources,
					   .source_count = COUNT(sources),
					   .length_us = 20 * S,
					   .seed = i };
		double today, digest;

		sim_run(&setup, &result);
		today = (double)result.on_time[0] / (result.offered[0] + 1);
		digest = result.on_time[1] / (20 * 9 / 0.04);
		printf("%s: %.3f on time, background runs %.2f of all\n",
		       cases[i].name, today, digest);
		cr_expect_geq(today, cases[i].today_least, "%s", cases[i].name);
		cr_expect_geq(digest, cases[i].digest_least, "%s",
			      cases[i].name);
	}
}

/* Guards against a limit that is too low for a slow but healthy upstream, or
 * too high for an upstream that rejects or slows down above its capacity. */
Test(gate_overload, limit_follows_what_the_upstream_can_take)
{
	static const struct sim_source busy[] = {
		{ "today", "pub-a", 10, 1500, 5 * MS, 100 * MS },
	};
	static const struct {
		const char *name;
		struct sim_upstream upstream;
		double limit_low;
		double limit_high;
		double shed_share;
	} cases[] = {
		{ "healthy", { .capacity = 9 }, 8.5, 9, 0 },
		{ "slow but healthy",
		  { .capacity = 9, .slow_factor = 5 },
		  8.2,
		  9,
		  0 },
		{ "sheds above four",
		  { .capacity = 4, .sheds = true },
		  3,
		  4.3,
		  0.01 },
		{ "thrashes above four",
		  { .capacity = 4, .thrashes = true },
		  4,
		  6.5,
		  0 },
	};
	struct sim_result result;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct sim_setup setup = { .options = gate_of_nine,
					   .upstream = cases[i].upstream,
					   .sources = busy,
					   .source_count = COUNT(busy),
					   .length_us = 30 * S,
					   .seed = i };
		double limit;

		setup.options.cold_start_us = 2 * S;
		sim_run(&setup, &result);
		limit = result.limit_sum / result.limit_count;
		printf("%s: mean limit %.2f, least %u, on time %u, late %u,"
		       " rejected %u of %u\n",
		       cases[i].name, limit, result.limit_least,
		       result.on_time[0], result.late[0], result.shed,
		       result.offered[0]);
		cr_expect_geq(limit, cases[i].limit_low, "%s", cases[i].name);
		cr_expect_leq(limit, cases[i].limit_high, "%s", cases[i].name);
		cr_expect_leq(result.shed,
			      cases[i].shed_share * result.offered[0]);
	}
}

/* Guards against a limit that falls to one when a share of the requests is
 * rejected or reset at any concurrency, and recovers only slowly. */
Test(gate_overload, random_rejects_and_resets_keep_the_limit)
{
	static const struct sim_source calm[] = {
		{ "today", "pub-a", 10, 100, 25 * MS, 200 * MS },
	};
	static const struct {
		double share;
		bool resets;
	} cases[] = { { 0.1, false }, { 0.4, false }, { 0.8, false },
		      { 0.1, true },  { 0.4, true },  { 0.8, true } };
	struct sim_result result;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct sim_setup setup = {
			.options = gate_of_nine,
			.upstream = { .capacity = 9,
				      .error_rate = cases[i].share,
				      .resets = cases[i].resets },
			.sources = calm,
			.source_count = COUNT(calm),
			.length_us = 30 * S,
			.seed = i
		};

		sim_run(&setup, &result);
		printf("error rate %.1f, resets %d: refused %u,"
		       " failed %u of %u\n",
		       cases[i].share, cases[i].resets, result.refused[0],
		       result.shed, result.offered[0]);
		cr_expect_leq(result.refused[0], 0.06 * result.offered[0],
			      "error rate %.1f, resets %d", cases[i].share,
			      cases[i].resets);
	}
}

/* Guards against lost requests or a drain without end when the upstream leaves
 * during overload, slowness, a cold start, rejects or a flood. */
Test(gate_overload, a_drain_ends_and_loses_no_request_under_any_load)
{
	static const struct sim_source flood[] = {
		{ "browse", "a", 1, 600, 10 * MS, 150 * MS },
		{ "browse", "b", 1, 6000, 10 * MS, 150 * MS },
	};
	static const struct {
		const char *name;
		const struct sim_source *sources;
		uint32_t count;
		int64_t cold_start_us;
		struct sim_upstream upstream;
	} cases[] = {
		{ "overload", mixed, COUNT(mixed), 0, { .capacity = 9 } },
		{ "slow",
		  mixed,
		  COUNT(mixed),
		  0,
		  { .capacity = 9, .slow_factor = 5 } },
		{ "cold", mixed, COUNT(mixed), 20 * S, { .capacity = 9 } },
		{ "sheds",
		  mixed,
		  COUNT(mixed),
		  0,
		  { .capacity = 4, .sheds = true } },
		{ "flood", flood, COUNT(flood), 0, { .capacity = 9 } },
	};
	struct sim_result result;
	size_t i, j;

	for (i = 0; i < COUNT(cases); i++) {
		struct sim_setup setup = { .options = gate_of_nine,
					   .upstream = cases[i].upstream,
					   .sources = cases[i].sources,
					   .source_count = cases[i].count,
					   .length_us = 6 * S,
					   .leave_at_us = 3 * S,
					   .seed = i };
		uint32_t offered = 0;
		uint32_t ended = 0;

		setup.options.cold_start_us = cases[i].cold_start_us;
		sim_run(&setup, &result);
		ended = result.shed;
		for (j = 0; j < cases[i].count; j++) {
			offered += result.offered[j];
			ended += result.on_time[j] + result.late[j] +
				 result.refused[j];
		}
		cr_expect_eq(result.admitted_leaving, 0, "%s", cases[i].name);
		cr_expect_gt(result.ended_leaving, 0, "%s", cases[i].name);
		cr_expect_eq(offered, ended, "%s", cases[i].name);
	}
}
