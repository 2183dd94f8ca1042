#include "replay/world.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>

#include <utlist.h>

/* Clients, and the nodes beside them. */

enum {
	/* How long a client waits after a failure that names no time. */
	CLIENT_PAUSE_US = 20 * MS,
	/* Of the time left, the longest that a client waits as told. */
	CLIENT_WAIT_SHARE = 3,
};

static void earn(struct world *world, const struct node_call *call)
{
	const struct replay_kind *kind = world_kind(world, &call->client);
	bool in_time = world->now_us <= call->client.asked_us + kind->target_us;

	if (in_time)
		world->result->in_time++;
	else
		world->result->late++;
	world->earned_worth += in_time ? kind->weight : kind->weight / 2;
}

/* Without an answer: once more, or that was it. */
static void client_told(struct world *world, const struct node_call *call,
			enum verdict verdict)
{
	const struct replay_kind *kind = world_kind(world, &call->client);
	int64_t left_us =
		call->client.asked_us + kind->deadline_us - world->now_us;
	bool not_run = verdict == VERDICT_NOT_RUN;
	int64_t wait_us = not_run ? (int64_t)call->retry_after_ms * MS
				  : CLIENT_PAUSE_US;
	struct event event = { .type = EVENT_ASK, .as.ask = call->client };

	if (wait_us > left_us / CLIENT_WAIT_SHARE)
		wait_us = left_us / CLIENT_WAIT_SHARE;
	if (call->client.retries_left && left_us > 0 &&
	    (not_run || kind->repeatable)) {
		event.at_us = world->now_us + wait_us;
		event.as.ask.retries_left--;
		world_push(world, &event);
	} else if (not_run) {
		world->result->refused++;
	} else {
		world->result->failed++;
	}
}

static void leave_endpoint(struct world *world, struct node_call *call,
			   enum endpoint_result result, double load)
{
	struct router *router = &world->callers[call->client.caller].router;

	if (!call->endpoint)
		return;
	placement_tried(&call->placement, call->endpoint);
	endpoint_done(router, call->endpoint, result, load,
		      world->now_us - call->began_us, world->now_us);
	call->endpoint = NULL;
}

static void end_call(struct world *world, struct node_call *call)
{
	placement_finish(&call->placement,
			 &world->callers[call->client.caller].router);
	call->ended = true;
}

static void begin_try(struct world *world, struct node_call *call);

static void act(struct world *world, struct node_call *call,
		const struct attempt_action *action)
{
	switch (action->type) {
	case ATTEMPT_TRY:
		begin_try(world, call);
		break;
	case ATTEMPT_REPLY:
		earn(world, call);
		end_call(world, call);
		break;
	case ATTEMPT_FAIL:
		leave_endpoint(world, call,
			       action->reason == CALL_DEADLINE
				       ? ENDPOINT_FAILED
				       : ENDPOINT_CANCELLED,
			       -1);
		client_told(world, call, action->verdict);
		end_call(world, call);
		break;
	case ATTEMPT_NOTHING:
	case ATTEMPT_SEND:
	case ATTEMPT_QUERY:
	case ATTEMPT_RECONNECT:
	case ATTEMPT_RESUME:
		break;
	}
}

static void step(struct world *world, struct node_call *call,
		 const struct attempt_event *event)
{
	struct attempt_action action =
		call_attempts_step(&call->call_attempts, event, world->now_us);

	act(world, call, &action);
}

static void fill_gate_request(const struct world *world,
			      const struct node_call *call,
			      struct try_there *there)
{
	const struct replay_kind *kind = world_kind(world, &call->client);
	struct gate_request *gate = &there->gate;

	snprintf(gate->kind, sizeof(gate->kind), "%s", kind->name);
	gate->weight = placement_weight(&call->placement, kind->weight);
	gate->queue_max = QUEUE_MAX;
	gate->deadline_us = there->deadline_us;
	if (call->placement.pass != PLACEMENT_LATE)
		gate->deadline_us = call->placement.due_us;
	gate->wait_max_us = call->placement.wait_max_us;
	gate->user = there;
}

static void send_try(struct world *world, struct node_call *call)
{
	struct try_there *there = calloc(1, sizeof(*there));
	struct event event = { .type = EVENT_ARRIVE, .as.arrive = there };

	if (!there)
		abort();
	there->call = call;
	there->upstream = call->upstream;
	there->number = call->call_attempts.attempt_count;
	there->deadline_us = call->call_attempts.deadline_us;
	fill_gate_request(world, call, there);
	event.at_us = world->now_us +
		      world_way_us(world, call->client.caller, call->upstream);
	world_push(world, &event);
}

static void begin_try(struct world *world, struct node_call *call)
{
	struct router *router = &world->callers[call->client.caller].router;
	const struct attempt_event none = {
		.type = ATTEMPT_EVENT_NO_ENDPOINT,
		.reason = CALL_NO_UPSTREAM,
	};
	const struct attempt_event opened = { .type = ATTEMPT_EVENT_OPENED };

	call->endpoint = placement_pick(&call->placement, router, &call->match,
					call->call_attempts.attempt_count,
					world->now_us);
	if (!call->endpoint) {
		step(world, call, &none);
		return;
	}
	call->upstream = (uint32_t)strtoul(call->endpoint->record.instance + 1,
					   NULL, 10);
	call->began_us = world->now_us;
	call_attempts_begin(&call->call_attempts);
	step(world, call, &opened);
	world->result->attempt_count++;
	send_try(world, call);
}

void caller_ask(struct world *world, const struct client_request *client)
{
	const struct replay_kind *kind = world_kind(world, client);
	struct router *router = &world->callers[client->caller].router;
	struct node_call *call = calloc(1, sizeof(*call));
	struct event event = { .type = EVENT_DEADLINE, .as.deadline = call };
	struct attempt_options options = {
		.repeatable = kind->repeatable,
		.attempts_max = kind->attempts_max,
		.deadline_us = client->asked_us + kind->deadline_us,
	};
	enum route_result miss;

	if (!call)
		abort();
	call->client = *client;
	call->started_us = world->now_us;
	LL_PREPEND(world->calls, call);
	miss = router_match(router, "s", "GET", "/", &call->match);
	assert(miss == ROUTE_FOUND);
	(void)miss;
	options.budget = &call->match.pool->budget;
	options.error_budget = &call->match.pool->error_budget;
	call_attempts_init(&call->call_attempts, &options);
	placement_init(&call->placement, client->asked_us + kind->target_us,
		       world->setup->policy.seek_room);
	event.at_us = options.deadline_us;
	world_push(world, &event);
	world->result->client_attempts++;
	begin_try(world, call);
}

static enum endpoint_result lesson_of(const struct reply *reply)
{
	if (reply->answered)
		return ENDPOINT_ANSWERED;
	return reply->verdict == VERDICT_NOT_RUN ? ENDPOINT_REFUSED
						 : ENDPOINT_FAILED;
}

void caller_take_reply(struct world *world, const struct reply *reply)
{
	struct node_call *call = reply->call;
	struct attempt_event event = {
		.type = reply->answered ? ATTEMPT_EVENT_ANSWERED
					: ATTEMPT_EVENT_REFUSED,
		.verdict = reply->verdict,
		.reason = reply->reason,
	};

	if (!call->ended &&
	    call->call_attempts.attempt_count == reply->number) {
		call->retry_after_ms = reply->retry_after_ms;
		if (!reply->answered && reply->verdict == VERDICT_NOT_RUN)
			placement_gate_full(&call->placement);
		leave_endpoint(world, call, lesson_of(reply), reply->load);
		step(world, call, &event);
	}
}

void caller_deadline(struct world *world, struct node_call *call)
{
	const struct attempt_event event = { .type = ATTEMPT_EVENT_DEADLINE };

	if (!call->ended)
		step(world, call, &event);
}
