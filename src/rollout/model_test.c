#include "rollout/record.h"
#include "rollout/table.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Model check of two controllers that advance one roll-out: all interleavings
 * of their calls to the platform, in which an answer may be lost, a write may
 * take effect late, a node may crash and lose its state, a node may find the
 * version bad, and the operator may order another version. Each state is
 * visited once.
 */

enum {
	NODES = 2,
	CRASHES_MAX = 1,
	LOSSES_MAX = 1,
	STATES_MAX = 1 << 21,
	UNKNOWN = UINT8_MAX,
};

/* A call to the platform in flight. */
struct call {
	uint8_t action; /* RECORD_NOTHING: no call */
	bool answered;	/* carried out; the answer is on its way */
	bool ok;
	uint8_t compared; /* revision that a write compares */
	uint8_t order;
	uint8_t phase;	  /* written, or read */
	uint8_t revision; /* revision of the record in the answer */
};

struct node {
	uint8_t order; /* known order; 0: none yet */
	uint8_t phase;
	uint8_t revision; /* known revision of the record, or UNKNOWN */
	bool finds_bad;	  /* this node has received reports of bad answers */
	struct call call;
	struct call late; /* write from before a crash; may still take effect */
};

struct state {
	uint8_t order; /* revision of the operator's order */
	uint8_t record_revision;
	uint8_t record_order;
	uint8_t record_phase;
	uint8_t crashes;
	uint8_t losses;
	struct node nodes[NODES];
};

/* Last phases that the record has held, by order. */
struct seen {
	bool done[3];
	bool rolled_back[3];
};

static struct state *queue;
static uint32_t queue_count;
static uint32_t *slots;

static uint64_t hash_of(const struct state *state)
{
	const uint8_t *bytes = (const uint8_t *)state;
	uint64_t hash = 1469598103934665603ull;
	size_t i;

	for (i = 0; i < sizeof(*state); i++)
		hash = (hash ^ bytes[i]) * 1099511628211ull;
	return hash;
}

/* Queues a state unless it has been visited. */
static void visit(const struct state *state)
{
	uint64_t at = hash_of(state) % (2 * STATES_MAX);

	while (slots[at]) {
		if (!memcmp(&queue[slots[at] - 1], state, sizeof(*state)))
			return;
		at = (at + 1) % (2 * STATES_MAX);
	}
	cr_assert_lt(queue_count, STATES_MAX);
	queue[queue_count++] = *state;
	slots[at] = queue_count;
}

static struct rollout known_of(const struct node *node)
{
	struct rollout known = { .order = { .service = "s",
					    .target = "v2",
					    .revision = node->order },
				 .phase = node->phase,
				 .record_revision = node->revision };

	if (node->revision == UNKNOWN)
		known.record_revision = ROLLOUT_REVISION_UNKNOWN;
	return known;
}

/* Merges a state through the real table. */
static void merge(struct node *node, const struct rollout *received)
{
	struct rollout known = known_of(node);
	struct rollout_table table;
	struct rollout_entry *entry;

	rollout_table_init(&table);
	if (node->order)
		rollout_table_merge(&table, &known, 0);
	rollout_table_merge(&table, received, 0);
	entry = rollout_table_find(&table, "s");
	node->order = (uint8_t)entry->rollout.order.revision;
	node->phase = (uint8_t)entry->rollout.phase;
	node->revision = (uint8_t)entry->rollout.record_revision;
	rollout_table_finish(&table);
}

static enum rollout_phase wanted_of(const struct node *node)
{
	if (rollout_is_finished(node->phase))
		return node->phase;
	if (node->phase == ROLLOUT_CONDEMNED)
		return ROLLOUT_ROLLED_BACK;
	if (node->finds_bad)
		return ROLLOUT_CONDEMNED;
	/* The phases between ROLLOUT_CANARY and ROLLOUT_DONE make no difference
	 * here, nor do the later phases of the second order. */
	if (node->phase == ROLLOUT_ORDERED)
		return ROLLOUT_CANARY;
	return node->order == 1 ? ROLLOUT_DONE : ROLLOUT_CANARY;
}

/* The node condemns the version or sends its next call. */
static void act(const struct state *from, int i)
{
	struct state state = *from;
	struct node *node = &state.nodes[i];
	struct rollout known = known_of(node);
	struct record_call record = { .action = node->call.action };
	uint8_t wanted = (uint8_t)wanted_of(node);

	if (!node->order)
		return;
	if (wanted == ROLLOUT_CONDEMNED) {
		known.phase = ROLLOUT_CONDEMNED;
		merge(node, &known);
		visit(&state);
		return;
	}
	memset(&node->call, 0, sizeof(node->call));
	switch (record_next(&record, &known, wanted)) {
	case RECORD_NOTHING:
		return;
	case RECORD_READ:
		node->call.action = RECORD_READ;
		break;
	case RECORD_WRITE:
		node->call.action = RECORD_WRITE;
		node->call.compared = node->revision;
		node->call.order = node->order;
		node->call.phase = wanted;
		break;
	}
	visit(&state);
}

/* The platform carries out a call. */
static void carry_out(struct state *state, struct call *call)
{
	call->answered = true;
	if (call->action == RECORD_READ) {
		call->ok = true;
		call->order = state->record_order;
		call->phase = state->record_phase;
		call->revision = state->record_revision;
		return;
	}
	call->ok = call->compared == state->record_revision;
	if (!call->ok)
		return;
	/* For one order the phase only advances. */
	if (call->order == state->record_order)
		cr_assert_gt(call->phase, state->record_phase);
	state->record_revision++;
	state->record_order = call->order;
	state->record_phase = call->phase;
	call->revision = state->record_revision;
}

/* The answer to a call arrives or is lost. */
static void answer(const struct state *from, int i, bool lost)
{
	struct state state = *from;
	struct node *node = &state.nodes[i];
	struct call call = node->call;
	struct rollout known = known_of(node);
	struct rollout received = known;
	struct record_call record = { .action = call.action };
	struct store_result result = { .outcome = STORE_TOOK_EFFECT,
				       .revision = call.revision };
	bool merges;

	if (call.action == RECORD_NOTHING || (!lost && !call.answered) ||
	    (lost && state.losses == LOSSES_MAX))
		return;
	/* A lost read is sent again; the state does not change. */
	if (lost && call.action == RECORD_READ)
		return;
	memset(&node->call, 0, sizeof(node->call));
	state.losses += lost;
	/* A write that was not carried out yet may still take effect. */
	if (lost && !call.answered)
		node->late = call;
	if (lost) {
		result.outcome = STORE_UNKNOWN;
		result.reason = STORE_UNREACHABLE;
	} else if (!call.ok) {
		result.outcome = STORE_NO_EFFECT;
		result.reason = STORE_CONFLICT;
	} else if (call.action == RECORD_READ && !call.revision) {
		result.outcome = STORE_NO_EFFECT;
		result.reason = STORE_ABSENT;
	}
	received.phase = call.phase;
	received.record_revision = call.revision;
	received.order.revision = call.order;
	if (call.action == RECORD_READ) {
		merges = record_was_read(&record, &known, &result,
					 call.order >= node->order ? &received
								   : NULL);
	} else {
		record.written = received;
		merges = record_was_written(&record, &known, &result);
	}
	/* The controller drops the result of a write for an earlier order. */
	if (call.action == RECORD_READ || call.order == node->order)
		node->revision = (uint8_t)known.record_revision;
	if (merges)
		merge(node, &received);
	visit(&state);
}

static void serve(const struct state *from, int i)
{
	struct state state = *from;

	if (state.nodes[i].call.action == RECORD_NOTHING ||
	    state.nodes[i].call.answered)
		return;
	carry_out(&state, &state.nodes[i].call);
	/* Nothing depends on when the answer to a read arrives. */
	if (state.nodes[i].call.action == RECORD_READ) {
		answer(&state, i, false);
		return;
	}
	visit(&state);
}

static void serve_late(const struct state *from, int i)
{
	struct state state = *from;

	if (state.nodes[i].late.action == RECORD_NOTHING)
		return;
	carry_out(&state, &state.nodes[i].late);
	memset(&state.nodes[i].late, 0, sizeof(struct call));
	visit(&state);
}

/* A node sends its known state to the other node. */
static void send_known(const struct state *from, int i)
{
	struct state state = *from;
	struct rollout known = known_of(&state.nodes[i]);

	if (!state.nodes[i].order)
		return;
	merge(&state.nodes[1 - i], &known);
	visit(&state);
}

static void read_order(const struct state *from, int i)
{
	struct state state = *from;
	struct rollout received = { .order = { .service = "s",
					       .target = "v2",
					       .revision = state.order },
				    .record_revision =
					    ROLLOUT_REVISION_UNKNOWN };

	merge(&state.nodes[i], &received);
	if (state.nodes[i].order != from->nodes[i].order)
		state.nodes[i].finds_bad = false;
	visit(&state);
}

static void crash(const struct state *from, int i)
{
	struct state state = *from;
	struct call call = state.nodes[i].call;

	if (state.crashes == CRASHES_MAX)
		return;
	state.crashes++;
	memset(&state.nodes[i], 0, sizeof(state.nodes[i]));
	state.nodes[i].revision = UNKNOWN;
	if (call.action == RECORD_WRITE && !call.answered)
		state.nodes[i].late = call;
	visit(&state);
}

static void find_bad(const struct state *from, int i)
{
	struct state state = *from;

	if (state.nodes[i].order != 1)
		return;
	state.nodes[i].finds_bad = true;
	visit(&state);
}

static void order_again(const struct state *from)
{
	struct state state = *from;

	if (state.order != 1)
		return;
	state.order = 2;
	visit(&state);
}

static void note(const struct state *state, struct seen *seen)
{
	seen->done[state->record_order] |= state->record_phase == ROLLOUT_DONE;
	seen->rolled_back[state->record_order] |= state->record_phase ==
						  ROLLOUT_ROLLED_BACK;
}

/* Checks that no node is ahead of the record, except in ROLLOUT_CONDEMNED. */
static void check(const struct state *state)
{
	int i;

	for (i = 0; i < NODES; i++) {
		const struct node *node = &state->nodes[i];

		if (node->order != state->record_order ||
		    node->phase == ROLLOUT_CONDEMNED)
			continue;
		cr_assert_leq(node->phase, state->record_phase);
	}
}

static void expand(const struct state *state)
{
	int i;

	for (i = 0; i < NODES; i++) {
		act(state, i);
		serve(state, i);
		serve_late(state, i);
		answer(state, i, false);
		answer(state, i, true);
		send_known(state, i);
		read_order(state, i);
	}
	/* The nodes are symmetric, so only node 0 crashes or finds a fault. */
	crash(state, 0);
	find_bad(state, 0);
	order_again(state);
}

/* Guards against a version that is rolled back after its roll-out was done or
 * advances after it was rolled back, and a node that applies a phase that the
 * record never held. */
Test(model, two_rollout_controllers_never_contradict_each_other)
{
	struct state first;
	struct seen seen;
	uint32_t at;
	int i;

	queue = calloc(STATES_MAX, sizeof(*queue));
	slots = calloc(2 * (size_t)STATES_MAX, sizeof(*slots));
	cr_assert(queue && slots);
	memset(&first, 0, sizeof(first));
	memset(&seen, 0, sizeof(seen));
	first.order = 1;
	for (i = 0; i < NODES; i++)
		first.nodes[i].revision = UNKNOWN;
	visit(&first);
	for (at = 0; at < queue_count; at++) {
		struct state state = queue[at];

		check(&state);
		note(&state, &seen);
		expand(&state);
	}
	printf("%u states\n", queue_count);
	/* Both last phases were reached, so check() has covered them. */
	cr_expect(seen.done[1]);
	cr_expect(seen.rolled_back[1]);
	free(queue);
	free(slots);
}
