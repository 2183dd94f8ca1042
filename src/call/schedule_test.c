#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "call/schedule_test.h"

/*
 * Random schedules over both cores: callers' tries, connections that close,
 * fall silent and speak again, nodes that are started anew, a memory so
 * small that it forgets. Whatever the order, three things hold: what may not
 * be repeated runs at most once, "not run" is true to the end of all
 * messages under way, and nobody gets the answer to another's request.
 */

enum { SEEDS = 1500, STEPS = 1200, DRAIN_STEPS = 20000 };

static void random_step(void)
{
	int conn = (int)random_below(&played.random, played.conn_count);
	uint32_t server = random_below(&played.random, SERVERS);
	uint32_t call = random_below(&played.random, CALLS);

	switch (random_below(&played.random, 40)) {
	case 0:
		model_close(conn);
		break;
	case 1:
	case 2:
		played.conns[conn].silent = !played.conns[conn].silent;
		break;
	case 3:
	case 4:
		model_find_silent(conn);
		break;
	case 5:
		if (random_below(&played.random, 16) == 0)
			model_restart(server);
		else
			model_stranger(server);
		break;
	case 6:
		if (random_below(&played.random, 8) == 0)
			model_step(call, ATTEMPT_EVENT_DEADLINE);
		break;
	case 7:
	case 8:
	case 9:
	case 10:
		model_open(conn);
		break;
	case 11:
	case 12:
	case 13:
	case 14:
	case 15:
		if (played.servers[server].running_count)
			model_finish_one(&played.servers[server]);
		break;
	default:
		model_deliver(conn, random_below(&played.random, 2));
		break;
	}
}

/* All that is under way arrives in the end, on every open connection. */
static void drain(void)
{
	uint32_t i;
	uint32_t steps;
	bool moved = true;

	for (i = 0; i < CALLS; i++)
		model_step(i, ATTEMPT_EVENT_DEADLINE);
	for (i = 0; i < played.conn_count; i++)
		played.conns[i].silent = false;
	for (steps = 0; moved && steps < DRAIN_STEPS; steps++) {
		moved = false;
		for (i = 0; i < played.conn_count; i++)
			moved |= model_deliver((int)i, true) ||
				 model_deliver((int)i, false);
	}
}

static void check(bool repeatable[CALLS])
{
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		const struct call_model *call = &played.calls[i];

		if (!call->told)
			model_violated("no answer", i);
		if (!repeatable[i] && call->runs > 1)
			model_violated("ran twice", i);
		if (call->verdict == VERDICT_NOT_RUN && call->runs)
			model_violated("a false not-run", i);
		if (call->answered && !call->runs)
			model_violated("an answer of nobody", i);
	}
}

static uint32_t run_seed(uint64_t seed)
{
	bool repeatable[CALLS];
	uint32_t unknown = 0;
	uint32_t i;

	memset(&played, 0, sizeof(played));
	random_init(&played.random, seed);
	retry_budget_init(&played.budget, 1, 100);
	for (i = 0; i < SERVERS; i++) {
		played.preferred[i] = -1;
		model_restart(i);
	}
	for (i = 0; i < CALLS; i++) {
		struct attempt_options options = {
			.ask_back = true,
			.attempts_max = 4,
			.budget = &played.budget,
			.deadline_us = DEADLINE_US,
		};

		repeatable[i] = random_below(&played.random, 3) == 0;
		options.repeatable = repeatable[i];
		played.calls[i].conn = -1;
		call_attempts_init(&played.calls[i].call_attempts, &options);
	}
	for (i = 0; i < CALLS; i++)
		model_begin(i);
	for (i = 0; i < STEPS; i++)
		random_step();
	drain();
	check(repeatable);
	for (i = 0; i < SERVERS; i++)
		recent_finish(&played.servers[i].recent);
	for (i = 0; i < CALLS; i++)
		unknown += played.calls[i].verdict == VERDICT_MAY_HAVE_RUN;
	return unknown;
}

Test(schedule, no_order_of_events_breaks_a_promise)
{
	uint32_t unknown = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		unknown += run_seed(seed);
		if (played.violations) {
			fputs(played.log, stderr);
			cr_assert_fail("seed %llu", (unsigned long long)seed);
		}
	}
	/* Unknown is the honest answer at times, but not the usual one. */
	cr_expect_lt(unknown, SEEDS * CALLS / 2, "%u", unknown);
}
