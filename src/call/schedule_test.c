#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "call/schedule_test.h"

/*
 * Guards against requests that run twice, false "not run" verdicts and answers
 * to another request, in random orders of attempts, lost and stalled
 * connections, node restarts and evictions from the memory of recent attempts.
 */

enum { SEEDS = 1500, STEPS = 1200, DRAIN_STEPS = 20000 };

static void random_step(void)
{
	int conn = (int)random_below(&simulation.random, simulation.conn_count);
	uint32_t server = random_below(&simulation.random, SERVERS);
	uint32_t call = random_below(&simulation.random, CALLS);

	switch (random_below(&simulation.random, 40)) {
	case 0:
		model_close(conn);
		break;
	case 1:
	case 2:
		simulation.conns[conn].silent = !simulation.conns[conn].silent;
		break;
	case 3:
	case 4:
		model_detect_silence(conn);
		break;
	case 5:
		if (random_below(&simulation.random, 16) == 0)
			model_restart(server);
		else
			model_other_call(server);
		break;
	case 6:
		if (random_below(&simulation.random, 8) == 0)
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
		if (simulation.servers[server].running_count)
			model_finish_one(&simulation.servers[server]);
		break;
	default:
		model_deliver(conn, random_below(&simulation.random, 2));
		break;
	}
}

/* Delivers all remaining messages on the open connections. */
static void drain(void)
{
	uint32_t i;
	uint32_t steps;
	bool moved = true;

	for (i = 0; i < CALLS; i++)
		model_step(i, ATTEMPT_EVENT_DEADLINE);
	for (i = 0; i < simulation.conn_count; i++)
		simulation.conns[i].silent = false;
	for (steps = 0; moved && steps < DRAIN_STEPS; steps++) {
		moved = false;
		for (i = 0; i < simulation.conn_count; i++)
			moved |= model_deliver((int)i, true) ||
				 model_deliver((int)i, false);
	}
}

static void check(bool repeatable[CALLS])
{
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		const struct call_model *call = &simulation.calls[i];

		if (!call->completed)
			model_violation("no answer", i);
		if (!repeatable[i] && call->runs > 1)
			model_violation("ran twice", i);
		if (call->verdict == VERDICT_NOT_RUN && call->runs)
			model_violation("reported as not run, but ran", i);
		if (call->answered && !call->runs)
			model_violation("answered, but did not run", i);
	}
}

static uint32_t run_seed(uint64_t seed)
{
	bool repeatable[CALLS];
	uint32_t unknown = 0;
	uint32_t i;

	memset(&simulation, 0, sizeof(simulation));
	random_init(&simulation.random, seed);
	retry_budget_init(&simulation.budget, 1, 100);
	for (i = 0; i < SERVERS; i++) {
		simulation.preferred[i] = -1;
		model_restart(i);
	}
	for (i = 0; i < CALLS; i++) {
		struct attempt_options options = {
			.ask_back = true,
			.attempts_max = 4,
			.budget = &simulation.budget,
			.deadline_us = DEADLINE_US,
		};

		repeatable[i] = random_below(&simulation.random, 3) == 0;
		options.repeatable = repeatable[i];
		simulation.calls[i].conn = -1;
		call_attempts_init(&simulation.calls[i].call_attempts,
				   &options);
	}
	for (i = 0; i < CALLS; i++)
		model_begin(i);
	for (i = 0; i < STEPS; i++)
		random_step();
	drain();
	check(repeatable);
	for (i = 0; i < SERVERS; i++)
		recent_finish(&simulation.servers[i].recent);
	for (i = 0; i < CALLS; i++)
		unknown += simulation.calls[i].verdict == VERDICT_MAY_HAVE_RUN;
	return unknown;
}

Test(schedule, guarantees_hold_in_any_order_of_events)
{
	uint32_t unknown = 0;
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		unknown += run_seed(seed);
		if (simulation.violations) {
			fputs(simulation.log, stderr);
			cr_assert_fail("seed %llu", (unsigned long long)seed);
		}
	}
	/* Most calls must end with a known outcome. */
	cr_expect_lt(unknown, SEEDS * CALLS / 2, "%u", unknown);
}
