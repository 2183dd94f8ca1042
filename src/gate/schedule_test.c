#include <criterion/criterion.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate/gate.h"
#include "route/fixture.h"

/*
 * Random schedules of routers, gates and retries. Requests arrive, run, fail,
 * are cancelled and retried while upstreams and versions change. The invariants
 * are checked after each step; a seed that violates an invariant prints its
 * last steps.
 */

enum {
	MS = 1000,
	ROUTERS = 2,
	UPSTREAMS = 4,
	CALLS = 96,
	STEPS = 3000,
	SEEDS = 60,
	TRACE_LINES = 40,
	TRACE_SIZE = 100,
	ATTEMPTS_MAX = 3,
};

struct upstream {
	struct gate gate;
	struct record record;
	enum gate_state state;
	uint32_t running;
};

/* One request, which may make several attempts in sequence. */
struct call {
	struct gate_request request;
	struct endpoint *endpoint;
	struct endpoint *tried[ATTEMPTS_MAX];
	uint32_t tried_count;
	struct retry_chain chain;
	uint32_t attempts;
	uint32_t router;
	uint32_t upstream;
	uint32_t taken;
	bool busy;
	bool repeatable;
	bool ran; /* during the current attempt */
};

struct world {
	uint64_t seed;
	struct random random;
	struct router routers[ROUTERS];
	struct upstream upstreams[UPSTREAMS];
	struct call calls[CALLS];
	int64_t now_us;
	char trace[TRACE_LINES][TRACE_SIZE];
	uint32_t steps;
	uint32_t ends;
};

static void trace(struct world *world, const char *fmt, ...)
{
	char *line = world->trace[world->steps++ % TRACE_LINES];
	int used = snprintf(line, TRACE_SIZE, "%8ld us ", (long)world->now_us);
	va_list args;

	va_start(args, fmt);
	vsnprintf(line + used, TRACE_SIZE - used, fmt, args);
	va_end(args);
}

static void require(const struct world *world, bool holds, const char *what)
{
	uint32_t first;
	uint32_t i;

	if (holds)
		return;
	first = world->steps > TRACE_LINES ? world->steps - TRACE_LINES : 0;
	for (i = first; i < world->steps; i++)
		fprintf(stderr, "%s\n", world->trace[i % TRACE_LINES]);
	cr_assert_fail("seed %lu: %s", (unsigned long)world->seed, what);
}

static uint32_t index_of(const struct world *world, const struct call *call)
{
	return (uint32_t)(call - world->calls);
}

static void attempt(struct world *world, struct call *call);

static void end_call(struct world *world, struct call *call)
{
	uint32_t i;

	for (i = 0; i < call->tried_count; i++)
		endpoint_unref(&world->routers[call->router], call->tried[i]);
	call->busy = false;
	world->ends++;
	trace(world, "call %u ends", index_of(world, call));
}

/* Reports the end of an attempt to the router and retries if allowed. */
static void end_attempt(struct world *world, struct call *call,
			enum endpoint_result result, enum verdict verdict)
{
	struct router *router = &world->routers[call->router];
	struct retry_request retry = { .verdict = verdict,
				       .repeatable = call->repeatable,
				       .deadline_us = call->request.deadline_us,
				       .now_us = world->now_us };
	struct endpoint *endpoint = call->endpoint;
	double load = gate_load(&world->upstreams[call->upstream].gate);

	require(world, !(call->ran && verdict == VERDICT_NOT_RUN),
		"a request that ran is reported as not run");
	call->endpoint = NULL;
	endpoint_ref(endpoint);
	call->tried[call->tried_count++] = endpoint;
	endpoint_done(router, endpoint, result,
		      result == ENDPOINT_FAILED ? -1 : load, 5 * MS,
		      world->now_us);
	if (result == ENDPOINT_REFUSED)
		retry_chain_return(&call->chain, call->taken - 1);
	retry.attempts_left = call->chain.remaining_attempts;
	if (result == ENDPOINT_ANSWERED || result == ENDPOINT_CANCELLED ||
	    retry_decide(&router->pools->budget, &retry) != RETRY_AGAIN) {
		end_call(world, call);
		return;
	}
	attempt(world, call);
}

static void begin_run(struct world *world, struct call *call)
{
	struct upstream *upstream = &world->upstreams[call->upstream];

	upstream->running++;
	call->ran = true;
	require(world, call->request.phase == GATE_RUNNING,
		"a request runs that is not running at the gate");
	require(world,
		upstream->running <= gate_limit(&upstream->gate, world->now_us),
		"more run than the limit");
}

static void refused(struct world *world, struct call *call)
{
	trace(world, "call %u refused: %s", index_of(world, call),
	      gate_refusal_name(call->request.refusal));
	require(world, call->request.refusal != GATE_REFUSED_NONE,
		"a refusal without a reason");
	require(world, !call->ran, "a request both ran and was refused");
	require(world, call->request.phase == GATE_IDLE,
		"a refused request is still at the gate");
	end_attempt(world, call, ENDPOINT_REFUSED, VERDICT_NOT_RUN);
}

static void attempt(struct world *world, struct call *call)
{
	struct router *router = &world->routers[call->router];
	struct route_match match;
	struct pick pick = { .match = &match,
			     .tried = call->tried,
			     .tried_count = call->tried_count,
			     .now_us = world->now_us };
	struct gate *gate;

	if (router_match(router, "s", "GET", "/r", &match) == ROUTE_FOUND)
		call->endpoint = router_pick(router, &pick);
	if (!call->endpoint) {
		end_call(world, call);
		return;
	}
	require(world, call->endpoint->listed,
		"picked an endpoint that is no longer listed");
	require(world, call->endpoint->record.state == UPSTREAM_SERVING,
		"picked an endpoint that does not serve");
	require(world, ++call->attempts <= ATTEMPTS_MAX, "too many attempts");
	call->taken = retry_chain_take(&call->chain);
	call->ran = false;
	call->upstream = (uint32_t)(call->endpoint->record.instance[0] - 'a');
	gate = &world->upstreams[call->upstream].gate;
	trace(world, "call %u to %c", index_of(world, call),
	      'a' + call->upstream);
	switch (gate_offer(gate, &call->request, world->now_us)) {
	case GATE_ADMITTED:
		begin_run(world, call);
		break;
	case GATE_QUEUED:
		break;
	case GATE_REFUSED:
		refused(world, call);
		break;
	}
}

static void new_call(struct world *world)
{
	struct call *call = &world->calls[random_below(&world->random, CALLS)];
	struct gate_request *request = &call->request;

	if (call->busy)
		return;
	memset(call, 0, sizeof(*call));
	call->busy = true;
	call->router = random_below(&world->random, ROUTERS);
	call->repeatable = random_below(&world->random, 2);
	retry_chain_init(&call->chain, ATTEMPTS_MAX, 0);
	snprintf(request->kind, KIND_NAME_SIZE, "kind-%u",
		 random_below(&world->random, 3));
	snprintf(request->tenant, TENANT_SIZE, "tenant-%u",
		 random_below(&world->random, 5));
	request->weight = random_below(&world->random, 4);
	request->queue_max = random_below(&world->random, 8);
	request->deadline_us =
		world->now_us + random_below(&world->random, 120) * MS;
	request->user = call;
	retry_budget_deposit(&world->routers[call->router].pools->budget);
	attempt(world, call);
}

static void finish_run(struct world *world, struct call *call)
{
	struct upstream *upstream = &world->upstreams[call->upstream];
	enum gate_outcome outcome =
		(enum gate_outcome)random_below(&world->random, 3);

	trace(world, "call %u ran, outcome %d", index_of(world, call),
	      (int)outcome);
	upstream->running--;
	gate_done(&upstream->gate, &call->request, outcome,
		  world->now_us - call->request.started_us, world->now_us);
	if (outcome == GATE_FAILED)
		end_attempt(world, call, ENDPOINT_FAILED, VERDICT_MAY_HAVE_RUN);
	else
		end_attempt(world, call, ENDPOINT_ANSWERED, VERDICT_RAN);
}

static void cancel(struct world *world, struct call *call)
{
	struct upstream *upstream = &world->upstreams[call->upstream];

	trace(world, "call %u cancelled", index_of(world, call));
	upstream->running -= call->request.phase == GATE_RUNNING;
	gate_cancel(&upstream->gate, &call->request, world->now_us);
	end_attempt(world, call, ENDPOINT_CANCELLED,
		    call->ran ? VERDICT_MAY_HAVE_RUN : VERDICT_NOT_RUN);
}

static void update_routers(struct world *world, struct upstream *upstream)
{
	bool reachable = random_below(&world->random, 8) > 0;
	uint32_t i;

	upstream->record.sequence++;
	for (i = 0; i < ROUTERS; i++)
		router_set_record(&world->routers[i], &upstream->record,
				  reachable, world->now_us);
}

static void change_upstream(struct world *world)
{
	static const enum upstream_state reported[] = { UPSTREAM_STARTING,
							UPSTREAM_SERVING,
							UPSTREAM_LEAVING };
	uint32_t which = random_below(&world->random, UPSTREAMS);
	struct upstream *upstream = &world->upstreams[which];

	upstream->state = (enum gate_state)random_below(&world->random, 3);
	trace(world, "upstream %c %s", 'a' + which,
	      gate_state_name(upstream->state));
	gate_set_state(&upstream->gate, upstream->state, world->now_us);
	gate_set_slots(&upstream->gate, 1 + random_below(&world->random, 6));
	upstream->record.state = reported[upstream->state];
	upstream->record.slots = upstream->gate.limit.slots;
	/* At random the routers miss the change or drop the record. */
	if (!random_below(&world->random, 4))
		return;
	if (!random_below(&world->random, 4))
		router_drop_record(&world->routers[which % ROUTERS],
				   upstream->record.instance);
	else
		update_routers(world, upstream);
}

static void change_config(struct world *world)
{
	const char *names = random_below(&world->random, 4) ? "p" : "q";
	struct config *config = fixture_config(world->steps + 1, names);
	uint32_t i;

	trace(world, "version with %s", names);
	for (i = 0; i < ROUTERS; i++)
		router_set_config(&world->routers[i], config);
	config_unref(config);
}

/* Runs one gate. A refused request may be offered to another gate. */
static bool run_gate(struct world *world, struct gate *gate)
{
	struct gate_request *request;
	bool any = false;

	while ((request = gate_next_refused(gate, world->now_us))) {
		refused(world, request->user);
		any = true;
	}
	while ((request = gate_next(gate, world->now_us))) {
		begin_run(world, request->user);
		any = true;
	}
	return any;
}

static void run_all_gates(struct world *world)
{
	bool any;
	uint32_t i;

	do {
		any = false;
		for (i = 0; i < UPSTREAMS; i++)
			any |= run_gate(world, &world->upstreams[i].gate);
	} while (any);
}

static void check(struct world *world)
{
	uint32_t running[UPSTREAMS] = { 0 };
	uint32_t waiting[UPSTREAMS] = { 0 };
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		const struct call *call = &world->calls[i];

		if (!call->busy)
			continue;
		running[call->upstream] += call->request.phase == GATE_RUNNING;
		if (call->request.phase != GATE_WAITING)
			continue;
		waiting[call->upstream]++;
		require(world,
			gate_wake_us(&world->upstreams[call->upstream].gate,
				     world->now_us) <=
				call->request.deadline_us + 1,
			"a request would wait beyond its deadline");
	}
	for (i = 0; i < UPSTREAMS; i++) {
		const struct upstream *upstream = &world->upstreams[i];

		require(world,
			running[i] == upstream->gate.running_count &&
				running[i] == upstream->running,
			"the gate miscounts running requests");
		require(world, waiting[i] == upstream->gate.waiting_count,
			"the gate miscounts queued requests");
		require(world, !waiting[i] || upstream->state != GATE_CLOSED,
			"a request is queued at a closed gate");
	}
}

static void step(struct world *world)
{
	struct call *call = &world->calls[random_below(&world->random, CALLS)];
	uint32_t event = random_below(&world->random, 100);

	world->now_us += random_below(&world->random, 2 * MS);
	if (event < 45)
		new_call(world);
	else if (event < 90 && call->busy &&
		 call->request.phase == GATE_RUNNING)
		finish_run(world, call);
	else if (event < 94 && call->busy)
		cancel(world, call);
	else if (event < 96)
		change_upstream(world);
	else if (event < 97)
		change_config(world);
	run_all_gates(world);
	check(world);
}

static void set_up(struct world *world, uint64_t seed)
{
	struct gate_options options = { .slots = 4,
					.queue_max = 12,
					.cold_start_us = 50 * MS,
					.fair = seed % 4 != 3 };
	char name[2] = "a";
	uint32_t i;

	memset(world, 0, sizeof(*world));
	world->seed = seed;
	random_init(&world->random, seed);
	for (i = 0; i < ROUTERS; i++)
		router_init(&world->routers[i], i ? "there" : "here", seed);
	change_config(world);
	for (i = 0; i < UPSTREAMS; i++) {
		struct upstream *upstream = &world->upstreams[i];

		name[0] = (char)('a' + i);
		upstream->record = fixture_record(
			name, i % 2 ? "there" : "here", "s", "p");
		gate_init(&upstream->gate, &options);
		upstream->state = GATE_OPEN;
		gate_set_state(&upstream->gate, GATE_OPEN, 0);
		update_routers(world, upstream);
	}
}

/* Checks that all requests end without further events: running requests end,
 * queued ones start or are refused by the time of gate_wake_us(). */
static void run_until_idle(struct world *world)
{
	uint32_t rounds;
	uint32_t i;

	for (rounds = 0; rounds < 10000; rounds++) {
		int64_t wake_us = INT64_MAX;
		bool busy = false;

		for (i = 0; i < CALLS; i++) {
			struct call *call = &world->calls[i];

			busy |= call->busy;
			if (call->busy && call->request.phase == GATE_RUNNING &&
			    !random_below(&world->random, 4))
				finish_run(world, call);
		}
		if (!busy)
			return;
		run_all_gates(world);
		check(world);
		for (i = 0; i < UPSTREAMS; i++) {
			int64_t at_us = gate_wake_us(&world->upstreams[i].gate,
						     world->now_us);

			require(world, at_us > world->now_us,
				"the wake-up time of the gate is in the past");
			if (at_us < wake_us)
				wake_us = at_us;
		}
		if (wake_us < INT64_MAX)
			world->now_us = wake_us;
	}
	require(world, false, "a request never ends");
}

static void tear_down(struct world *world)
{
	const struct endpoint *endpoint;
	uint32_t i;

	for (i = 0; i < UPSTREAMS; i++)
		gate_finish(&world->upstreams[i].gate);
	for (i = 0; i < ROUTERS; i++) {
		require(world, !world->routers[i].removed_endpoints,
			"a removed endpoint is never freed");
		for (endpoint = world->routers[i].endpoints; endpoint;
		     endpoint = endpoint->by_instance.next)
			require(world,
				!endpoint->references && !endpoint->in_flight,
				"an endpoint still has references");
		router_finish(&world->routers[i]);
	}
}

Test(schedule, random_schedules_keep_the_invariants)
{
	struct world *world = malloc(sizeof(*world));
	uint64_t ends = 0;
	uint64_t seed;
	int i;

	for (seed = 0; seed < SEEDS; seed++) {
		set_up(world, seed);
		for (i = 0; i < STEPS; i++)
			step(world);
		run_until_idle(world);
		ends += world->ends;
		tear_down(world);
	}
	printf("%d schedules of %d steps, %lu calls ended\n", SEEDS, STEPS,
	       (unsigned long)ends);
	free(world);
}
