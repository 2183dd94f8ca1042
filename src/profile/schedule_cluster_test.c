#include "profile/schedule_test.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

struct cluster cluster;

void schedule_log(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	cluster.log_length +=
		(size_t)vsnprintf(cluster.log + cluster.log_length,
				  LOG_SIZE - cluster.log_length, fmt, args);
	va_end(args);
	if (cluster.log_length > LOG_SIZE - 1024)
		cluster.log_length = 0; /* discards the older steps */
}

uint32_t schedule_random(uint32_t bound)
{
	return random_below(&cluster.random, bound);
}

/* Returns true in one of @n cases, but never after the faults were stopped. */
bool schedule_fault(uint32_t n)
{
	return !cluster.faults_stopped && schedule_random(n) == 0;
}

void schedule_text_of(uint32_t number, char text[TEXT_SIZE])
{
	snprintf(text, TEXT_SIZE,
		 "services = [\"*\"]\ndrain_ms = %u\n[kind.k]\n"
		 "[[route]]\npath = \"/\"\nkind = \"k\"\n",
		 number);
}

/* Records each new head by version and checks that the history has no fork. */
void schedule_record_head(void)
{
	const struct memory_key *key = memory_find(&cluster.memory, KEY_HEAD);
	struct error err = ERROR_INIT;
	struct head *head;

	if (!key || key->revision == cluster.head_revision)
		return;
	cluster.head_revision = key->revision;
	head = &cluster.heads[cluster.head_count];
	CHECK(head_decode(head, key->value, key->size, &err), "%s", err.text);
	CHECK(head->version == cluster.head_count + 1, "version %llu after %u",
	      (unsigned long long)head->version, cluster.head_count);
	if (cluster.head_count)
		CHECK(!memcmp(head->previous, head[-1].chain, CHAIN_HASH_BYTES),
		      "history forked");
	cluster.head_count++;
	schedule_log("  version %llu by %s\n",
		     (unsigned long long)head->version, head->accept_ids[0]);
	CHECK(cluster.head_count < VERSIONS, "too many versions");
}

static void check_config(const struct node *node)
{
	const struct config *config = keeper_config(&node->keeper);
	const struct head *head;
	uint32_t i;

	if (!config)
		return;
	CHECK(config->version >= node->highest_version,
	      "a node reverted to an older version");
	CHECK(config->version <= cluster.head_count,
	      "the version was never accepted");
	head = &cluster.heads[config->version - 1];
	CHECK(!memcmp(config->chain, head->chain, CHAIN_HASH_BYTES),
	      "the content is not that of the version");
	CHECK(config->profile_count == head->profile_count,
	      "the version is not complete");
	for (i = 0; i < config->profile_count; i++) {
		const struct config_profile *entry = &config->profiles[i];
		uint8_t hash[CONTENT_HASH_BYTES];
		char text[TEXT_SIZE];

		schedule_text_of((uint32_t)entry->profile->drain_ms, text);
		content_hash(text, strlen(text), hash);
		CHECK(!strcmp(entry->profile->name, head->profiles[i].name) &&
			      hash_equal(hash, head->profiles[i].hash),
		      "the profile is from another version");
	}
}

static void check_leases(void)
{
	int holders[2] = { 0, 0 };
	int i;

	for (i = 0; i < NODES; i++) {
		const struct node *node = &cluster.nodes[i];
		uint32_t slot = node->core.lease.slot;

		if (!reader_core_is_reader(&node->core, cluster.now_us))
			continue;
		CHECK(++holders[slot] == 1, "two holders of slot %u", slot);
	}
}

void schedule_check(void)
{
	int i;

	schedule_record_head();
	for (i = 0; i < NODES; i++) {
		struct node *node = &cluster.nodes[i];
		const struct config *config = keeper_config(&node->keeper);

		check_config(node);
		if (config)
			node->highest_version = config->version;
	}
	check_leases();
}

void schedule_start_node(uint32_t index)
{
	struct node *node = &cluster.nodes[index];
	struct lease_options options;

	lease_options_default(&options);
	memset(node, 0, sizeof(*node));
	keeper_init(&node->keeper);
	reader_core_init(&node->core, READER_BY_LEASE, &options,
			 cluster.seed * 100 + schedule_random(1000));
	snprintf(node->holder, sizeof(node->holder), "n%u-%u", index,
		 cluster.next_id++);
	reader_core_set_rank(&node->core, index, cluster.now_us);
}

struct call *schedule_new_call(enum call_kind kind, uint32_t node)
{
	struct call *call = NULL;
	int i;

	for (i = 0; i < CALLS_MAX && !call; i++)
		if (!cluster.calls[i].used)
			call = &cluster.calls[i];
	CHECK(call, "too many calls in progress");
	memset(call, 0, sizeof(*call));
	call->used = true;
	call->kind = kind;
	call->node = node;
	memcpy(call->holder, cluster.nodes[node].holder, sizeof(call->holder));
	call->sent_us = cluster.now_us;
	call->run_us = cluster.now_us +
		       schedule_random(schedule_fault(10) ? 20000 : 20) *
			       (int64_t)US_PER_MS;
	call->end_us = call->run_us +
		       schedule_random(schedule_fault(10) ? 20000 : 20) *
			       (int64_t)US_PER_MS;
	return call;
}

void schedule_free_call(struct call *call)
{
	free(call->step.value);
	free(call->value);
	call->used = false;
}

void schedule_fail(struct store_result *result, enum store_outcome outcome,
		   enum store_reason reason)
{
	memset(result, 0, sizeof(*result));
	result->outcome = outcome;
	result->reason = reason;
	error_set(&result->err, ERROR_IO, "%s", store_reason_name(reason));
}

static void run_lease(struct call *call)
{
	struct lease_entry *entry = &cluster.leases[call->slot];
	struct store_result *result = &call->result;
	bool ours = !strcmp(entry->holder, call->holder);
	bool held = entry->until_us > cluster.now_us;

	if ((held && !ours) ||
	    (call->action != LEASE_ACQUIRE &&
	     (!held || !ours || entry->token != call->token))) {
		schedule_fail(result, STORE_NO_EFFECT, STORE_HELD);
		result->remaining_ms =
			(entry->until_us - cluster.now_us) / US_PER_MS;
		return;
	}
	if (!held)
		entry->token = ++cluster.lease_token;
	memcpy(entry->holder, call->holder, sizeof(entry->holder));
	entry->until_us = cluster.now_us + 6000 * US_PER_MS;
	if (call->action == LEASE_RELEASE)
		entry->until_us = 0;
	result->token = entry->token;
}

static void serve_older_head(struct call *call)
{
	uint32_t version = schedule_random(cluster.head_count);

	free(call->value);
	call->value = head_encode(&cluster.heads[version], &call->result.size);
	call->result.value = call->value;
	call->result.revision = version + 1;
	call->result.outcome = STORE_TOOK_EFFECT;
	call->result.reason = STORE_OK;
}

static void run_read(struct call *call)
{
	struct store_result *result = &call->result;
	uint64_t after = call->step.revision;

	memory_call(&cluster.memory, &call->step, result);
	if (call->kind == CALL_HEAD && cluster.serves_older_heads &&
	    cluster.head_count)
		serve_older_head(call);
	else if (call->kind == CALL_HEAD && result->revision <= after) {
		uint64_t revision = result->revision;

		schedule_fail(result, STORE_NO_EFFECT, STORE_NOT_NEWER);
		result->revision = revision;
		call->end_us += 5000 * US_PER_MS;
	}
	if (!result->value || call->value)
		return;
	call->value = malloc(result->size + 1);
	memcpy(call->value, result->value, result->size);
	result->value = call->value;
}

static void run_call(struct call *call)
{
	call->has_run = true;
	if (cluster.memory.down) {
		schedule_fail(&call->result, STORE_NO_EFFECT,
			      STORE_UNREACHABLE);
		return;
	}
	switch (call->kind) {
	case CALL_LEASE:
		run_lease(call);
		break;
	case CALL_HEAD:
	case CALL_BODY:
		run_read(call);
		break;
	case CALL_WRITE:
		schedule_log("  delayed write arrives: %s\n", call->step.key);
		memory_call(&cluster.memory, &call->step, &call->result);
		break;
	}
	if (schedule_fault(10))
		schedule_fail(&call->result,
			      call->kind == CALL_LEASE ? STORE_UNKNOWN
						       : STORE_NO_EFFECT,
			      STORE_UNREACHABLE);
}

static void flip_random_bit(uint8_t *bytes, size_t size)
{
	if (size && schedule_fault(15))
		bytes[schedule_random((uint32_t)size)] ^= 4;
}

static enum reader_head_result offer_head(struct keeper *keeper, uint8_t *bytes,
					  size_t size)
{
	struct error err = ERROR_INIT;
	enum keeper_offer_result offer;

	flip_random_bit(bytes, size);
	offer = keeper_offer_head(keeper, bytes, size, &err);
	if (offer == KEEPER_IN_FORCE || offer == KEEPER_INCOMPLETE)
		return READER_HEAD_NEWER;
	return offer == KEEPER_IGNORED && keeper_config(keeper) &&
			       keeper->offered_version <
				       keeper_config(keeper)->version
		       ? READER_HEAD_OLDER
		       : READER_HEAD_KNOWN;
}

static void offer_body(struct keeper *keeper, uint8_t *bytes, size_t size)
{
	struct error err = ERROR_INIT;

	flip_random_bit(bytes, size);
	keeper_offer_body(keeper, bytes, size, &err);
}

static void deliver(struct call *call)
{
	struct node *node = &cluster.nodes[call->node];
	struct store_result *result = &call->result;
	enum reader_head_result head_result = READER_HEAD_KNOWN;

	result->sent_us = call->sent_us;
	if (strcmp(node->holder, call->holder)) {
		schedule_free_call(call); /* the caller restarted */
		return;
	}
	switch (call->kind) {
	case CALL_LEASE:
		reader_core_lease_ended(&node->core, result, cluster.now_us);
		break;
	case CALL_HEAD:
		if (result->outcome == STORE_TOOK_EFFECT)
			head_result = offer_head(&node->keeper, call->value,
						 result->size);
		reader_core_watch_ended(&node->core, result, head_result,
					cluster.now_us);
		break;
	case CALL_BODY:
		if (result->outcome == STORE_TOOK_EFFECT)
			offer_body(&node->keeper, call->value, result->size);
		break;
	case CALL_WRITE:
		break;
	}
	schedule_free_call(call);
}

static bool times_out(const struct call *call)
{
	return call->kind == CALL_LEASE &&
	       cluster.now_us >= call->sent_us + CALL_TIMEOUT_MS * US_PER_MS;
}

/* Reports a call as timed out; the call may still take effect later. */
static void time_out(struct call *call)
{
	struct node *node = &cluster.nodes[call->node];
	struct store_result result;

	schedule_fail(&result, STORE_UNKNOWN, STORE_UNREACHABLE);
	result.sent_us = call->sent_us;
	if (!strcmp(node->holder, call->holder))
		reader_core_lease_ended(&node->core, &result, cluster.now_us);
	call->sent_us = INT64_MAX / 2; /* marks the result as reported */
}

void schedule_run_calls(void)
{
	int i;

	for (i = 0; i < CALLS_MAX; i++) {
		struct call *call = &cluster.calls[i];
		bool paused = cluster.nodes[call->node].paused_until_us >
			      cluster.now_us;

		if (!call->used)
			continue;
		if (!call->has_run && cluster.now_us >= call->run_us)
			run_call(call);
		schedule_record_head();
		if (paused)
			continue;
		if (times_out(call))
			time_out(call);
		if (!call->has_run || cluster.now_us < call->end_us)
			continue;
		if (call->sent_us == INT64_MAX / 2)
			schedule_free_call(call);
		else
			deliver(call);
		schedule_check();
	}
}

static void read_bodies(uint32_t index)
{
	struct node *node = &cluster.nodes[index];
	uint8_t hashes[NAMES][CONTENT_HASH_BYTES];
	uint32_t count = keeper_missing(&node->keeper, hashes, NAMES);
	struct call *call;

	if (!count || !reader_core_is_reader(&node->core, cluster.now_us) ||
	    schedule_random(2))
		return;
	call = schedule_new_call(CALL_BODY, index);
	key_body(hashes[schedule_random(count < NAMES ? count : NAMES)],
		 call->step.key);
}

void schedule_run_reader(uint32_t index)
{
	struct node *node = &cluster.nodes[index];
	struct reader_command command;
	struct call *call;

	if (node->paused_until_us > cluster.now_us)
		return;
	for (;;) {
		reader_core_next(&node->core, cluster.now_us, &command);
		switch (command.action) {
		case READER_NOTHING:
		case READER_STOP_WATCH: /* with READER_BY_RANK only */
		case READER_PROBE:
			read_bodies(index);
			return;
		case READER_LEASE:
			call = schedule_new_call(CALL_LEASE, index);
			call->action = command.lease;
			call->slot = node->core.lease.slot;
			call->token = node->core.lease.token;
			break;
		case READER_WATCH_HEAD:
			call = schedule_new_call(CALL_HEAD, index);
			call->step.revision = command.revision;
			snprintf(call->step.key, STORE_KEY_SIZE, KEY_HEAD);
			break;
		case READER_GET_MEMBERS:
			reader_core_members_ended(&node->core, cluster.now_us);
			break;
		}
	}
}

/* Offers a node a head from a peer, of any age, complete or as changes, and the
 * texts of the peer. */
void schedule_gossip(void)
{
	struct node *node = &cluster.nodes[schedule_random(NODES)];
	const struct node *peer = &cluster.nodes[schedule_random(NODES)];
	const struct config *config = keeper_config(&node->keeper);
	const struct head *head = &peer->keeper.head;
	uint8_t *bytes;
	size_t size;
	uint32_t i;

	if (cluster.head_count && schedule_fault(3))
		head = &cluster.heads[schedule_random(cluster.head_count)];
	if (!head->version || node->paused_until_us > cluster.now_us)
		return;
	bytes = head_encode_since(head,
				  config && schedule_random(2)
					  ? config->version
					  : schedule_random(20),
				  &size);
	offer_head(&node->keeper, bytes, size);
	free(bytes);
	for (i = 0; i < head->profile_count; i++) {
		const uint8_t *body = keeper_body(
			&peer->keeper, head->profiles[i].hash, &size);

		if (!body || schedule_fault(3))
			continue;
		bytes = malloc(size + 1);
		memcpy(bytes, body, size);
		offer_body(&node->keeper, bytes, size);
		free(bytes);
	}
}
