#include "replay/world.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

enum { EVENTS_INITIAL_CAPACITY = 1024 };

static void handle(struct world *world, const struct event *event)
{
	switch (event->type) {
	case EVENT_REQUEST:
		caller_receive_request(world, &event->as.request);
		break;
	case EVENT_ARRIVE:
		upstream_receive_attempt(world, event->as.arrive);
		break;
	case EVENT_WAKE:
		world->upstreams[event->as.wake].wake_us = 0;
		upstream_run_gate(world, event->as.wake);
		break;
	case EVENT_RUN_END:
		upstream_end_run(world, event->as.run);
		break;
	case EVENT_REPLY:
		caller_receive_reply(world, &event->as.reply);
		break;
	case EVENT_DEADLINE:
		caller_deadline(world, event->as.deadline);
		break;
	}
}

static void *allocate_zeroed(size_t count, size_t size)
{
	void *memory = calloc(count, size);

	if (!memory)
		abort();
	return memory;
}

static void finish(struct world *world)
{
	struct node_call *call;
	struct node_call *next;
	uint32_t i;

	LL_FOREACH_SAFE(world->calls, call, next)
		free(call);
	for (i = 0; i < world->caller_count; i++)
		router_finish(&world->callers[i].router);
	for (i = 0; i < world->upstream_count; i++)
		gate_finish(&world->upstreams[i].gate);
	config_unref(world->config);
	free(world->callers);
	free(world->upstreams);
	free(world->events);
}

void replay_run(const struct replay_setup *setup, struct replay_result *result)
{
	struct world world = { .setup = setup, .result = result };
	double slots;

	memset(result, 0, sizeof(*result));
	random_init(&world.random, setup->seed);
	world.caller_count = setup->data_centres * setup->callers;
	world.upstream_count = setup->data_centres * setup->upstreams;
	world.callers =
		allocate_zeroed(world.caller_count, sizeof(*world.callers));
	world.upstreams =
		allocate_zeroed(world.upstream_count, sizeof(*world.upstreams));
	world.event_capacity = EVENTS_INITIAL_CAPACITY;
	world.events =
		allocate_zeroed(EVENTS_INITIAL_CAPACITY, sizeof(*world.events));
	world_set_up(&world);
	while (world.event_count) {
		struct event event = world_pop(&world);

		world.now_us = event.at_us;
		handle(&world, &event);
	}
	slots = (double)world.upstream_count * setup->slots;
	result->worth = world.earned_worth / world.total_worth;
	result->wait_mean_us = world.wait_sum_us / (double)result->runs;
	result->utilization =
		world.run_time_sum_us / (slots * (double)setup->length_us);
	finish(&world);
}
