#include "gate/rate.h"

#include <criterion/criterion.h>
#include <string.h>

#include "gate/gate.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { REQUESTS_MAX = 4000 };

static const int64_t second_us = 1000 * 1000;
static const int64_t millisecond_us = 1000;
static const int64_t run_us = 20 * 1000;

/**
 * struct world - a gate whose upstream runs each request for run_us
 * @starts: times of the starts
 */
struct world {
	struct gate gate;
	struct gate_request requests[REQUESTS_MAX];
	uint32_t offered;
	int64_t starts[REQUESTS_MAX];
	uint32_t started;
	uint32_t refused;
};

static struct world world;

static void init_world(void)
{
	const struct gate_options options = {
		.slots = 9,
		.queue_max = 100,
		.fair = true,
		.strict = true,
		.trust_slots = true,
	};

	memset(&world, 0, sizeof(world));
	gate_init(&world.gate, &options);
	gate_set_state(&world.gate, GATE_OPEN, 0);
}

static void note_start(int64_t now_us)
{
	world.starts[world.started++] = now_us;
}

static void offer(int64_t now_us, double weight)
{
	struct gate_request *request = &world.requests[world.offered++];

	strcpy(request->kind, "read");
	request->weight = weight;
	request->deadline_us = now_us + second_us;
	switch (gate_offer(&world.gate, request, now_us)) {
	case GATE_ADMITTED:
		note_start(now_us);
		break;
	case GATE_REFUSED:
		world.refused++;
		break;
	case GATE_QUEUED:
		break;
	}
}

static void end_runs(int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < world.offered; i++) {
		struct gate_request *request = &world.requests[i];

		if (request->phase == GATE_RUNNING &&
		    now_us >= request->started_us + run_us)
			gate_done(&world.gate, request, GATE_OK, run_us,
				  now_us);
	}
}

static void step(int64_t now_us)
{
	end_runs(now_us);
	while (gate_next_refused(&world.gate, now_us))
		world.refused++;
	while (gate_next(&world.gate, now_us))
		note_start(now_us);
}

static uint32_t most_starts_within(int64_t window_us)
{
	uint32_t most = 0;
	uint32_t from = 0;
	uint32_t i;

	for (i = 0; i < world.started; i++) {
		while (world.starts[i] - world.starts[from] >= window_us)
			from++;
		if (i - from + 1 > most)
			most = i - from + 1;
	}
	return most;
}

/* Limits would not be kept, or waste what the upstream still takes. */
Test(rate, starts_follow_the_limit)
{
	static const struct {
		const char *name;
		double per_s;
		uint32_t offered_per_s;
		uint32_t most_in_4_s;
		uint32_t least_in_20_s;
	} cases[] = {
		{ "a tenth of the load", 10, 100, 44, 195 },
		{ "a fraction", 10.6, 100, 46, 205 },
		{ "less than one", 0.6, 100, 4, 11 },
		{ "zero: a few, to learn of its end", 0, 100, 3, 9 },
		{ "above the load", 200, 50, 201, 990 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t gap_us = second_us / cases[i].offered_per_s;
		int64_t now_us = second_us;
		int64_t next_us = now_us;

		init_world();
		gate_set_rate_limit(&world.gate, cases[i].per_s, now_us);
		for (; now_us < 21 * second_us; now_us += millisecond_us) {
			step(now_us);
			for (; next_us <= now_us; next_us += gap_us)
				offer(now_us, 1);
		}
		cr_expect_leq(most_starts_within(4 * second_us),
			      cases[i].most_in_4_s, "%s: %u in 4 s",
			      cases[i].name, most_starts_within(4 * second_us));
		cr_expect_geq(world.started, cases[i].least_in_20_s,
			      "%s: %u in 20 s", cases[i].name, world.started);
	}
}

/* The more urgent requests would lose their places to the less urgent ones. */
Test(rate, more_urgent_requests_start_first)
{
	int64_t now_us = second_us;
	uint32_t urgent = 0;
	uint32_t i;

	init_world();
	gate_set_rate_limit(&world.gate, 10, now_us);
	for (i = 0; i < 400; i++, now_us += 10 * millisecond_us) {
		step(now_us);
		offer(now_us, i % 10 ? 1 : 4);
	}
	for (i = 0; i < world.offered; i++)
		urgent += world.requests[i].weight > 1 &&
			  world.requests[i].started_us;
	cr_expect_geq(urgent, 36, "%u of 40", urgent);
}

/* A caller that is held at a limited gate until its deadline could have been
 * served elsewhere. */
Test(rate, what_cannot_start_in_time_is_refused_at_once)
{
	int64_t now_us = second_us;
	uint32_t i;

	init_world();
	gate_set_rate_limit(&world.gate, 5, now_us);
	for (i = 0; i < 50; i++)
		offer(now_us, 1);
	cr_expect_geq(world.refused, 44, "%u", world.refused);
	cr_expect_geq(world.requests[49].retry_after_ms, 800, "%lld",
		      (long long)world.requests[49].retry_after_ms);
}

/* Callers whose requests are queued when a limit begins would be held for
 * nothing until their deadlines. */
Test(rate, a_queue_that_a_new_limit_cannot_serve_is_refused_at_once)
{
	int64_t now_us = second_us;
	uint32_t waiting = 0;
	uint32_t i;

	init_world();
	for (i = 0; i < 9; i++)
		offer(now_us, 1);
	end_runs(now_us + run_us);
	now_us += run_us;
	for (i = 0; i < 39; i++)
		offer(now_us, 1);
	cr_assert_eq(world.gate.waiting_count, 30);
	gate_set_rate_limit(&world.gate, 10, now_us);
	while (gate_next_refused(&world.gate, now_us))
		world.refused++;
	for (i = 0; i < world.offered; i++)
		waiting += world.requests[i].phase == GATE_WAITING;
	cr_expect_geq(world.refused, 19, "%u", world.refused);
	cr_expect_eq(world.refused + waiting, 30);
}

/* Without a wake-up the queue would stand until the next request arrives. */
Test(rate, a_waiting_request_starts_when_the_limit_allows)
{
	int64_t now_us = second_us;
	int64_t wake_us;

	init_world();
	gate_set_rate_limit(&world.gate, 4, now_us);
	offer(now_us, 1);
	offer(now_us, 1);
	cr_assert_eq(world.started, 1);
	end_runs(now_us + run_us);
	wake_us = gate_wake_us(&world.gate, now_us + run_us);
	cr_expect_leq(wake_us, now_us + second_us / 4 + 2);
	step(wake_us);
	cr_expect_eq(world.started, 2);
}

/* Callers would choose a limited upstream as often as any other. */
Test(rate, the_usable_share_follows_the_limit)
{
	static const struct {
		double per_s;
		double share; /* of 9 slots that run a request in 20 ms */
	} cases[] = {
		{ 450, 1 },
		{ 1000, 1 },
		{ 45, 0.1 },
		{ 4.5, 0.01 },
	};
	int64_t now_us = second_us;
	size_t i;

	init_world();
	cr_expect_eq(gate_usable_share(&world.gate), 1);
	offer(now_us, 1);
	end_runs(now_us + run_us);
	for (i = 0; i < COUNT(cases); i++) {
		gate_set_rate_limit(&world.gate, cases[i].per_s, now_us);
		cr_expect_float_eq(gate_usable_share(&world.gate),
				   cases[i].share, 1e-6, "%g a second",
				   cases[i].per_s);
	}
	gate_clear_rate_limit(&world.gate);
	cr_expect_eq(gate_usable_share(&world.gate), 1);
}
