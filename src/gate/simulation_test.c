#include "gate/simulation.h"

#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

/* A request on its way through gate and upstream. */
struct sim_call {
	struct gate_request request;
	uint32_t source;
	int64_t arrive_us;
	double work_us;
	int64_t end_us;
	bool sheds;
	bool hung_up;
	struct sim_call *next;
	struct sim_call *prev;
};

struct sim {
	const struct sim_setup *setup;
	struct sim_result *result;
	struct random random;
	struct gate gate;
	struct sim_call *running;
	int64_t now_us;
	int64_t next_us[SIM_SOURCES_MAX];
};

static double exponential(struct random *random, double mean)
{
	return -mean * log(1 - random_share(random));
}

static void schedule(struct sim *sim, uint32_t source)
{
	double gap_us = 1e6 / sim->setup->sources[source].per_s;

	sim->next_us[source] += 1 + (int64_t)exponential(&sim->random, gap_us);
}

static bool is_middle(const struct sim *sim)
{
	int64_t third = sim->setup->length_us / 3;

	return sim->now_us >= third && sim->now_us < 2 * third;
}

static bool is_grey(struct sim *sim)
{
	double share = sim->setup->upstream.error_rate;

	return share > 0 && is_middle(sim) &&
	       random_share(&sim->random) < share;
}

static double slowness(const struct sim *sim)
{
	return is_middle(sim) && sim->setup->upstream.slow_factor > 0
		       ? sim->setup->upstream.slow_factor
		       : 1;
}

static bool is_leaving(const struct sim *sim)
{
	return sim->setup->leave_at_us &&
	       sim->now_us >= sim->setup->leave_at_us;
}

static void begin(struct sim *sim, struct gate_request *request)
{
	struct sim_call *call = request->user;
	double crowd =
		(double)sim->gate.running_count / sim->setup->upstream.capacity;

	if (crowd < 1)
		crowd = 1;
	if (sim->setup->upstream.thrashes)
		crowd *= crowd;
	call->sheds = (crowd > 1 && sim->setup->upstream.sheds) || is_grey(sim);
	call->end_us = sim->now_us + (int64_t)(call->work_us * slowness(sim) *
					       (crowd > 1 ? crowd : 1));
	if (call->sheds)
		call->end_us = sim->now_us + 200;
	DL_APPEND(sim->running, call);
}

static void refused(struct sim *sim, struct gate_request *request)
{
	struct sim_call *call = request->user;

	sim->result->refused[call->source]++;
	free(call);
}

static void pump(struct sim *sim)
{
	struct gate_request *request;

	while ((request = gate_next_refused(&sim->gate, sim->now_us)))
		refused(sim, request);
	while ((request = gate_next(&sim->gate, sim->now_us)))
		begin(sim, request);
}

static void arrive(struct sim *sim, uint32_t source)
{
	const struct sim_source *from = &sim->setup->sources[source];
	struct sim_call *call = calloc(1, sizeof(*call));
	struct gate_request *request = &call->request;

	snprintf(request->kind, KIND_NAME_SIZE, "%s", from->kind);
	snprintf(request->tenant, TENANT_SIZE, "%s", from->tenant);
	request->weight = from->weight;
	request->deadline_us = sim->now_us + from->deadline_us;
	request->user = call;
	call->source = source;
	/* Between half and one and a half of the mean. */
	call->work_us =
		(double)from->service_us * (0.5 + random_share(&sim->random));
	sim->result->offered[source]++;
	switch (gate_offer(&sim->gate, request, sim->now_us)) {
	case GATE_ADMITTED:
		sim->result->admitted_leaving += is_leaving(sim);
		begin(sim, request);
		break;
	case GATE_REFUSED:
		refused(sim, request);
		break;
	case GATE_QUEUED:
		sim->result->admitted_leaving += is_leaving(sim);
		break;
	}
}

static enum gate_outcome outcome_of(const struct sim *sim,
				    const struct sim_call *call)
{
	if (!call->sheds)
		return GATE_OK;
	return sim->setup->upstream.resets ? GATE_FAILED : GATE_SHED;
}

static void end(struct sim *sim, struct sim_call *call)
{
	bool late = sim->now_us > call->request.deadline_us;

	DL_DELETE(sim->running, call);
	sim->result->ended_leaving += is_leaving(sim);
	gate_done(&sim->gate, &call->request, outcome_of(sim, call),
		  sim->now_us - call->request.started_us, sim->now_us);
	if (call->sheds) {
		sim->result->shed++;
	} else if (late) {
		sim->result->late[call->source]++;
	} else {
		sim->result->on_time[call->source]++;
		sim->result->goodput +=
			sim->setup->sources[call->source].weight;
	}
	free(call);
}

static struct sim_call *first_to_end(const struct sim *sim)
{
	struct sim_call *first = sim->running;
	struct sim_call *call;

	DL_FOREACH(sim->running, call) {
		if (call->end_us < first->end_us)
			first = call;
	}
	return first;
}

static void note_limit(struct sim *sim)
{
	uint32_t limit = gate_limit(&sim->gate, sim->now_us);

	sim->result->limit_sum += limit;
	sim->result->limit_count++;
	if (limit < sim->result->limit_least)
		sim->result->limit_least = limit;
}

/* One event: the earliest of an arrival, an end and the gate's own time. */
static bool step(struct sim *sim, bool open)
{
	struct sim_call *call = first_to_end(sim);
	int64_t wake_us = gate_wake_us(&sim->gate, sim->now_us);
	int64_t at_us = call ? call->end_us : INT64_MAX;
	uint32_t source = SIM_SOURCES_MAX;
	uint32_t i;

	for (i = 0; open && i < sim->setup->source_count; i++) {
		if (sim->next_us[i] >= at_us)
			continue;
		at_us = sim->next_us[i];
		source = i;
	}
	if (wake_us < at_us) {
		at_us = wake_us;
		source = SIM_SOURCES_MAX;
		call = NULL;
	}
	if (at_us == INT64_MAX)
		return false;
	sim->now_us = at_us > sim->now_us ? at_us : sim->now_us;
	if (is_leaving(sim))
		gate_set_state(&sim->gate, GATE_LEAVING,
			       sim->setup->leave_at_us);
	if (source < SIM_SOURCES_MAX) {
		arrive(sim, source);
		schedule(sim, source);
	} else if (call) {
		end(sim, call);
	}
	pump(sim);
	note_limit(sim);
	return true;
}

void sim_run(const struct sim_setup *setup, struct sim_result *result)
{
	struct sim sim = { .setup = setup, .result = result };
	uint32_t i;

	memset(result, 0, sizeof(*result));
	result->limit_least = UINT32_MAX;
	random_init(&sim.random, setup->seed);
	gate_init(&sim.gate, &setup->options);
	gate_set_state(&sim.gate, GATE_OPEN, 0);
	for (i = 0; i < setup->source_count; i++)
		schedule(&sim, i);
	while (sim.now_us < setup->length_us)
		step(&sim, true);
	while (step(&sim, false))
		;
	gate_finish(&sim.gate);
}

double sim_best(const struct sim_setup *setup)
{
	double room_us = (double)setup->length_us * setup->upstream.capacity;
	bool used[SIM_SOURCES_MAX] = { false };
	double best = 0;
	uint32_t round;

	for (round = 0; round < setup->source_count; round++) {
		const struct sim_source *s = setup->sources;
		uint32_t pick = SIM_SOURCES_MAX;
		double need_us;
		uint32_t i;

		for (i = 0; i < setup->source_count; i++) {
			if (used[i])
				continue;
			if (pick == SIM_SOURCES_MAX ||
			    s[i].weight / (double)s[i].service_us >
				    s[pick].weight / (double)s[pick].service_us)
				pick = i;
		}
		used[pick] = true;
		need_us = s[pick].per_s * (double)setup->length_us / 1e6 *
			  (double)s[pick].service_us;
		if (need_us > room_us)
			need_us = room_us;
		room_us -= need_us;
		best += need_us / (double)s[pick].service_us * s[pick].weight;
	}
	return best;
}
