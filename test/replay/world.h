#ifndef REPLAY_WORLD_H
#define REPLAY_WORLD_H

#include "call/attempt.h"
#include "call/placement.h"
#include "replay/replay.h"

/**
 * DOC: world
 *
 * What a replay consists of: nodes beside callers and beside upstreams, calls
 * and tries on their way, and the events to come. Private to the replay.
 */

enum {
	MS = 1000,
	S = 1000 * MS,
	/* Requests that wait at one gate. */
	QUEUE_MAX = 64,
};

struct replay_caller {
	struct router router;
	uint32_t data_centre;
};

struct replay_upstream {
	struct gate gate;
	uint32_t data_centre;
	uint32_t place;
	double speed;
	bool troubled;
	int64_t wake_us;
};

/* A request of a client: all its attempts. */
struct client_request {
	uint32_t kind;
	uint32_t caller;
	int64_t asked_us;
	uint32_t retries_left;
};

/* One attempt of a client, as its node carries it. */
struct node_call {
	struct client_request client;
	struct call_attempts call_attempts;
	struct placement placement;
	struct route_match match;
	struct endpoint *endpoint;
	uint32_t upstream;
	int64_t began_us;
	int64_t started_us;
	uint32_t runs;
	uint32_t retry_after_ms;
	bool ended;
	struct node_call *next; /* of all of a run, which frees them */
};

/* One try, beside its upstream. */
struct try_there {
	struct gate_request gate;
	struct node_call *call;
	uint32_t upstream;
	uint32_t number;
	int64_t deadline_us;
	int64_t run_us;
	int64_t work_us;
};

enum event_type {
	EVENT_ASK,	/* a client sends its request */
	EVENT_ARRIVE,	/* a try is at its gate */
	EVENT_WAKE,	/* a gate is looked at again */
	EVENT_RUN_ENDS, /* an upstream is done with a try */
	EVENT_REPLY,	/* what became of a try is back at its node */
	EVENT_DEADLINE, /* of a call */
};

struct reply {
	struct node_call *call;
	uint32_t number;
	bool answered;
	enum verdict verdict;
	enum call_reason reason;
	double load;
	uint32_t retry_after_ms;
};

struct event {
	int64_t at_us;
	uint64_t order;
	enum event_type type;
	union {
		struct client_request ask;
		struct try_there *arrive;
		uint32_t wake;
		struct try_there *run;
		struct reply reply;
		struct node_call *deadline;
	} as;
};

struct world {
	const struct replay_setup *setup;
	struct replay_result *result;
	struct random random;
	struct config *config;
	struct replay_caller *callers;
	uint32_t caller_count;
	struct replay_upstream *upstreams;
	uint32_t upstream_count;
	struct event *events;
	size_t event_count;
	size_t event_capacity;
	uint64_t order;
	struct node_call *calls;
	int64_t now_us;
	double wait_sum_us;
	double busy_sum_us;
	double asked_worth;
	double earned_worth;
};

/** world_push() - have an event come at its time. */
void world_push(struct world *world, const struct event *event);

/** world_pop() - the next event; of those at the same time the older one. */
struct event world_pop(struct world *world);

/** world_in_trouble() - whether the trouble of the setup lasts now. */
bool world_in_trouble(const struct world *world);

/** world_kind() - what a client asks for. */
const struct replay_kind *world_kind(const struct world *world,
				     const struct client_request *client);

/** world_exponential() - a random time of this mean. */
double world_exponential(struct random *random, double mean);

/** world_work_us() - how long an upstream will take for a request. */
int64_t world_work_us(struct world *world, uint32_t kind, uint32_t upstream);

/** world_way_us() - one way between the nodes beside these two. */
int64_t world_way_us(const struct world *world, uint32_t caller,
		     uint32_t upstream);

/** world_set_up() - all nodes, and the requests that clients will make. */
void world_set_up(struct world *world);

/** caller_ask() - a client sends its request. */
void caller_ask(struct world *world, const struct client_request *client);

/** caller_take_reply() - what became of a try is back at its node. */
void caller_take_reply(struct world *world, const struct reply *reply);

/** caller_deadline() - that of a call has come. */
void caller_deadline(struct world *world, struct node_call *call);

/** upstream_arrive() - a try is at its gate. */
void upstream_arrive(struct world *world, struct try_there *there);

/** upstream_run_ends() - the upstream is done with a try. */
void upstream_run_ends(struct world *world, struct try_there *there);

/** upstream_run_gate() - let in and refuse what is due. */
void upstream_run_gate(struct world *world, uint32_t place);

#endif
