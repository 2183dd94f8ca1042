#include "replay/world.h"

#include <stdlib.h>

/* The nodes beside upstreams, and these. */

static void reply(struct world *world, struct try_there *there,
		  const struct reply *what)
{
	struct event event = { .type = EVENT_REPLY, .as.reply = *what };
	const struct gate *gate = &world->upstreams[there->upstream].gate;

	event.as.reply.call = there->call;
	event.as.reply.number = there->number;
	event.as.reply.load = gate_load(gate);
	event.at_us = world->now_us + world_way_us(world,
						   there->call->client.caller,
						   there->upstream);
	world_push(world, &event);
	free(there);
}

static void refuse(struct world *world, struct gate_request *request)
{
	const struct reply what = {
		.verdict = VERDICT_NOT_RUN,
		.reason = call_reason_of_gate(request->refusal),
		.retry_after_ms = (uint32_t)request->retry_after_ms,
	};

	reply(world, request->user, &what);
}

static void run(struct world *world, struct gate_request *request)
{
	struct try_there *there = request->user;
	struct node_call *call = there->call;
	struct event event = { .type = EVENT_RUN_ENDS, .as.run = there };

	there->run_us = world->now_us;
	there->work_us =
		world_work_us(world, call->client.kind, there->upstream);
	event.at_us = world->now_us + there->work_us;
	if (event.at_us > there->deadline_us)
		event.at_us = there->deadline_us;
	world->result->runs++;
	world->result->again += call->runs++ > 0;
	world->result->remote +=
		world->callers[call->client.caller].data_centre !=
		world->upstreams[there->upstream].data_centre;
	world->wait_sum_us += (double)(world->now_us - call->started_us);
	world->busy_sum_us += (double)(event.at_us - world->now_us);
	world_push(world, &event);
}

void upstream_run_gate(struct world *world, uint32_t place)
{
	struct replay_upstream *upstream = &world->upstreams[place];
	struct event event = { .type = EVENT_WAKE, .as.wake = place };
	struct gate_request *request;
	int64_t wake_us;

	while ((request = gate_next_refused(&upstream->gate, world->now_us)))
		refuse(world, request);
	while ((request = gate_next(&upstream->gate, world->now_us)))
		run(world, request);
	wake_us = gate_wake_us(&upstream->gate, world->now_us);
	if (wake_us == INT64_MAX || wake_us == upstream->wake_us)
		return;
	upstream->wake_us = wake_us;
	event.at_us = wake_us > world->now_us ? wake_us : world->now_us + 1;
	world_push(world, &event);
}

void upstream_arrive(struct world *world, struct try_there *there)
{
	uint32_t place = there->upstream;
	struct gate_request *request = &there->gate;

	switch (gate_offer(&world->upstreams[place].gate, request,
			   world->now_us)) {
	case GATE_ADMITTED:
		run(world, request);
		break;
	case GATE_QUEUED:
		break;
	case GATE_REFUSED:
		refuse(world, request);
		break;
	}
	upstream_run_gate(world, place);
}

void upstream_run_ends(struct world *world, struct try_there *there)
{
	struct replay_upstream *upstream = &world->upstreams[there->upstream];
	const struct replay_trouble *trouble = &world->setup->trouble;
	uint32_t place = there->upstream;
	int64_t took_us = world->now_us - there->run_us;
	bool late = took_us < there->work_us;
	bool lost = upstream->troubled && world_in_trouble(world) &&
		    random_share(&world->random) < trouble->lost;
	const struct reply what = {
		.answered = !late && !lost,
		.verdict = VERDICT_MAY_HAVE_RUN,
		.reason = late ? CALL_DEADLINE : CALL_UPSTREAM_FAILED,
	};

	gate_done(&upstream->gate, &there->gate,
		  late ? GATE_TIMED_OUT : (lost ? GATE_FAILED : GATE_OK),
		  took_us, world->now_us);
	reply(world, there, &what);
	upstream_run_gate(world, place);
}
