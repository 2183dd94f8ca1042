#include "membership/members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "membership/members_defs.h"
#include "os/clock.h"

enum {
	DEFAULT_PROBE_MS = 1000,
	DEFAULT_PING_TIMEOUT_MS = 300,
	DEFAULT_SUSPICION_MS = 3000,
	DEFAULT_LINK_MS = 1000,
	DEFAULT_LINK_TIMEOUT_MS = 5000,
	DEFAULT_SYNC_MIN_MS = 250,
	DEFAULT_SYNC_MAX_MS = 8000,
	DEFAULT_FLOOR_HOLD_MS = 60 * 1000,
	DEFAULT_RECONNECT_MIN_MS = 500,
	DEFAULT_RECONNECT_MAX_MS = 60 * 1000,
	DEFAULT_EXPIRY_MS = 6 * 3600 * 1000,
	INITIAL_ACTIONS = 32,
	PAUSE_INTERVALS = 3,
};

void members_options_init(struct members_options *options)
{
	*options = (struct members_options){
		.probe_interval_us = DEFAULT_PROBE_MS * US_PER_MS,
		.ping_timeout_us = DEFAULT_PING_TIMEOUT_MS * US_PER_MS,
		.indirect = 3,
		.suspicion_us = DEFAULT_SUSPICION_MS * US_PER_MS,
		.suspicion_spread = 3,
		.health_max = 8,
		.retransmit_factor = 2,
		.links = 2,
		.link_interval_us = DEFAULT_LINK_MS * US_PER_MS,
		.link_timeout_us = DEFAULT_LINK_TIMEOUT_MS * US_PER_MS,
		.sync_min_us = DEFAULT_SYNC_MIN_MS * US_PER_MS,
		.sync_interval_us = DEFAULT_SYNC_MAX_MS * US_PER_MS,
		.reconnect_min_us = DEFAULT_RECONNECT_MIN_MS * US_PER_MS,
		.reconnect_max_us = DEFAULT_RECONNECT_MAX_MS * US_PER_MS,
		.expiry_us = (int64_t)DEFAULT_EXPIRY_MS * US_PER_MS,
		.floor_share = 0.5,
		.floor_hold_us = DEFAULT_FLOOR_HOLD_MS * US_PER_MS,
		.tombstones_max = 8192,
		.serve_bytes_per_s = 1024 * 1024,
		.eager_bytes_per_s = 8 * 1024,
		.eager = true,
	};
}

void members_init(struct members *members,
		  const struct members_options *options,
		  const struct record *own, int64_t now_us)
{
	memset(members, 0, sizeof(*members));
	members->options = *options;
	random_init(&members->random, options->seed);
	members->now_us = now_us;
	members->last_tick_us = now_us;
	members->started_us = now_us;
	members->reconnect_wait_us = options->reconnect_min_us;
	members->eager_tokens = options->eager_bytes_per_s;
	members->serve_tokens = options->serve_bytes_per_s;
	members->serve_us = now_us;
	members->eager_last_us = now_us;
	encoder_init(&members->encoder);
	members->home = table_centre_named(members, own->data_centre);
	members->id = packet_member_id(own->data_centre, own->instance);
	members->self = table_put(members, own, MEMBER_ALIVE);
	/* Random times, so that nodes that start together do not send their
	 * pings at the same moments. */
	members->next_probe_us =
		now_us +
		random_jitter(&members->random, options->probe_interval_us);
	members->next_link_us =
		now_us +
		random_jitter(&members->random, options->link_interval_us);
	members->next_reconnect_us = now_us;
	members->next_expiry_us = now_us + options->expiry_us / 16;
}

void members_finish(struct members *members)
{
	table_free(members);
	rumor_free(members);
	encoder_finish(&members->encoder);
	buffer_finish(&members->bytes);
	free(members->actions);
	free(members->probe_order);
}

void members_add_seed(struct members *members, const struct address *seed)
{
	uint32_t i;

	for (i = 0; i < members->seed_count; i++)
		if (address_equal(&members->seeds[i], seed))
			return;
	if (members->seed_count < MEMBERS_SEEDS_MAX)
		members->seeds[members->seed_count++] = *seed;
	swim_reconnect_soon(members);
	/* A node without peers needs no wait between its attempts to join. */
	if (HASH_COUNT(members->table) <= 1)
		members->next_reconnect_us = members->now_us;
}

struct members_action *members_push(struct members *members,
				    enum members_action_type type)
{
	struct members_action *action;

	if (members->action_first == members->action_count) {
		members->action_first = 0;
		members->action_count = 0;
		buffer_consume(&members->bytes, buffer_size(&members->bytes));
	}
	if (members->action_count == members->action_capacity) {
		uint32_t capacity = members->action_capacity
					    ? members->action_capacity * 2
					    : INITIAL_ACTIONS;

		members->actions =
			realloc(members->actions, capacity * sizeof(*action));
		if (!members->actions)
			abort();
		members->action_capacity = capacity;
	}
	action = &members->actions[members->action_count++];
	memset(action, 0, sizeof(*action));
	action->type = type;
	return action;
}

static bool fill_event(struct members *members, struct members_action *action)
{
	struct member *member;

	if (action->event.type != MEMBERS_RECORD)
		return true;
	/* A member removed meanwhile has a MEMBERS_DROPPED event that follows
	 * in the queue. */
	member = table_find(members, action->id);
	if (!member)
		return false;
	action->event.record = &member->record;
	action->event.reachable = members_reachable(members, member);
	action->event.suspect = member->status == MEMBER_SUSPECT;
	return true;
}

bool members_next_action(struct members *members, struct members_action *action)
{
	while (members->action_first < members->action_count) {
		*action = members->actions[members->action_first++];
		if (action->type == MEMBERS_EVENT) {
			if (fill_event(members, action))
				return true;
			continue;
		}
		action->bytes = buffer_data(&members->bytes) + action->offset;
		return true;
	}
	return false;
}

void members_raise_sequence(struct members *members)
{
	struct member *self = members->self;
	struct record record = self->record;

	record.sequence++;
	table_put(members, &record, MEMBER_ALIVE);
	rumor_record(members, self);
	rumor_schedule_eager(members);
}

static bool upstream_differs(const struct record *record,
			     const struct members_upstream *own)
{
	return strcmp(record->service, own->service) ||
	       strcmp(record->profile, own->profile) ||
	       strcmp(record->version, own->version) ||
	       record->upstream_start != own->upstream_start ||
	       record->state != own->state || record->slots != own->slots;
}

void members_set_upstream(struct members *members,
			  const struct members_upstream *own, int64_t now_us)
{
	struct record *record = &members->self->record;

	members->now_us = now_us;
	record->serving_age_ms = own->serving_age_ms;
	/* An unchanged record is not sent again, since every node would gossip
	 * the record. A node that has left does not come back. */
	if (!upstream_differs(record, own) || record->state == UPSTREAM_GONE)
		return;
	memcpy(record->service, own->service, sizeof(record->service));
	memcpy(record->profile, own->profile, sizeof(record->profile));
	memcpy(record->version, own->version, sizeof(record->version));
	record->state = own->state;
	record->upstream_start = own->upstream_start;
	record->slots = own->slots;
	members_raise_sequence(members);
}

void members_leave(struct members *members, int64_t now_us)
{
	struct packet_out out = { .type = PACKET_ANNOUNCE,
				  .with_own_record = true };
	struct data_centre *home = members->home;
	uint32_t remaining = MEMBERS_RELAYS;
	uint32_t i;

	members->now_us = now_us;
	members->self->record.state = UPSTREAM_GONE;
	members_raise_sequence(members);
	rumor_send_to_ring(members);
	for (i = 0; i < home->count && remaining; i++) {
		struct member *member = home->members[random_below(
			&members->random, home->count)];

		if (member == members->self || !table_live(member))
			continue;
		packet_send(members, &member->record.address, &out);
		remaining--;
	}
}

void members_set_head(struct members *members, const struct head_digest *head,
		      int64_t now_us)
{
	members->now_us = now_us;
	members->head = *head;
	collect_changed(members);
}

void members_ask_source_read(struct members *members, const char *duty,
			     int64_t now_us)
{
	struct packet_out out = { .type = PACKET_PING };
	struct member *reader;

	members->now_us = now_us;
	if (!table_top(members, members->home, duty, &reader, 1) ||
	    reader == members->self)
		return;
	out.nonce = members_nonce(members);
	packet_send(members, &reader->record.address, &out);
}

void members_source_read(struct members *members, int64_t at_us)
{
	if (at_us > members->source_read_us)
		members->source_read_us = at_us;
}

void members_set_refused(struct members *members, uint64_t version,
			 const char *reason, int64_t now_us)
{
	members->now_us = now_us;
	members->refused_version = version;
	snprintf(members->refused_reason, MEMBERS_REASON_SIZE, "%.*s",
		 MEMBERS_REASON_SIZE - 1, reason);
	collect_changed(members);
}

static void expire_members(struct members *members, struct data_centre *centre)
{
	int64_t before_us = members->now_us - members->options.expiry_us;
	uint32_t i = 0;

	while (i < centre->count) {
		struct member *member = centre->members[i];
		struct packet_mark mark = {
			.id = member->id,
			.incarnation = member->record.incarnation,
			.sequence = member->record.sequence,
			.status = MEMBER_GONE,
		};

		i++;
		if (table_live(member) || member->changed_us > before_us)
			continue;
		merge_gone(members, member, &mark);
		i--;
	}
}

/* Only records of the own data centre expire here. Records of another data
 * centre are removed when that data centre reports so, since only members of a
 * data centre know which of its nodes are lost. */
static void expire(struct members *members)
{
	if (members->now_us < members->next_expiry_us)
		return;
	members->next_expiry_us =
		members->now_us + members->options.expiry_us / 16;
	expire_members(members, members->home);
}

/* A tick that is far too late means that this process was paused. Answers may
 * have arrived unread, so timers are extended by the pause and no node becomes
 * unreachable because of the pause. */
static void check_pause(struct members *members)
{
	int64_t gap_us = members->now_us - members->last_tick_us;

	members->last_tick_us = members->now_us;
	if (gap_us <= PAUSE_INTERVALS * members->options.probe_interval_us)
		return;
	swim_paused(members, gap_us);
	link_paused(members, gap_us);
}

void members_tick(struct members *members, int64_t now_us)
{
	members->now_us = now_us;
	if (members->self->record.state == UPSTREAM_GONE)
		return;
	check_pause(members);
	swim_tick(members);
	link_tick(members);
	sync_tick(members);
	collect_tick(members);
	expire(members);
	departed_tick(members);
	rumor_tick(members);
}

int64_t members_next_us(const struct members *members)
{
	int64_t next_us;

	/* members_tick() does nothing once this node has left: a due time in
	 * the past would make the event loop spin until the process exits. */
	if (members->self->record.state == UPSTREAM_GONE)
		return INT64_MAX;
	next_us = swim_next_us(members);
	if (members->next_link_us < next_us)
		next_us = members->next_link_us;
	if (members->eager_at_us && members->eager_at_us < next_us)
		next_us = members->eager_at_us;
	if (members->departed_at_us && members->departed_at_us < next_us)
		next_us = members->departed_at_us;
	if (members->collect_at_us && members->collect_at_us < next_us)
		next_us = members->collect_at_us;
	return next_us;
}
