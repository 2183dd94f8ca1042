#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Dissemination of updates. Every datagram carries queued rumors, and a rumor
 * is dropped after a number of transmissions that grows with the logarithm of
 * the number of members (infection-style dissemination of SWIM). In addition,
 * updates are sent without waiting for a ping ("eager") to neighbours on a
 * ring of all live members, at distances 1, 4, 16, ... in both directions.
 * Each receiver forwards what is new to it, so that all members receive an
 * update after a few hops. The bytes sent this way are limited in rate; above
 * the limit only pings carry updates, and a node that has missed one detects
 * that by the digest.
 */

enum {
	RUMORS_MAX = 256,
	ITEMS_MAX = 48,
	EAGER_DELAY_US = 5 * US_PER_MS,
	EAGER_INTERVAL_US = 40 * US_PER_MS,
	EAGER_RETRY_US = 100 * US_PER_MS,
	RING_STEP = 4,
	RING_MAX = 16,
	/* Nodes that the first version is announced to: all nodes of a data
	 * centre of usual size, at about 100 bytes each. */
	FIRST_ANNOUNCE_MAX = 64,
	PACKET_FIXED_BYTES = 96, /* head, extra and array headers */
	PACKET_PAYLOAD_BYTES = MEMBERS_DATAGRAM_BYTES - MAC_BYTES,
};

uint32_t members_nonce(struct members *members)
{
	members->nonce++;
	if (!members->nonce)
		members->nonce++;
	return members->nonce;
}

static uint32_t retransmits(const struct members *members)
{
	return members->options.retransmit_factor *
	       swim_bit_length(members->home->count + 1);
}

static void rumor_remove(struct members *members, struct rumor *rumor)
{
	DL_DELETE(members->rumors, rumor);
	members->rumor_count--;
	free(rumor);
}

/* Returns true if a rumor replaces an older one of the same node or data
 * centre. Suspicions by different reporters are kept, since they confirm each
 * other. */
static bool supersedes(const struct rumor *rumor, const struct rumor *old)
{
	if (old->id != rumor->id)
		return false;
	if (rumor->kind != RUMOR_MARK || rumor->status != MEMBER_SUSPECT)
		return true;
	return old->kind == RUMOR_MARK && (old->status != MEMBER_SUSPECT ||
					   old->reporter == rumor->reporter);
}

static void rumor_add(struct members *members, const struct rumor *update)
{
	struct rumor *rumor;
	struct rumor *next;

	DL_FOREACH_SAFE(members->rumors, rumor, next)
		if (supersedes(update, rumor))
			rumor_remove(members, rumor);
	/* Drops the last rumor of the queue. A node that misses the update
	 * detects that by the digest and synchronizes. */
	if (members->rumor_count >= RUMORS_MAX)
		rumor_remove(members, members->rumors->prev);
	rumor = malloc(sizeof(*rumor));
	if (!rumor)
		abort();
	*rumor = *update;
	DL_PREPEND(members->rumors, rumor);
	members->rumor_count++;
}

void rumor_schedule_eager(struct members *members)
{
	int64_t at_us = members->now_us + EAGER_DELAY_US;

	if (!members->options.eager || members->eager_at_us)
		return;
	if (at_us < members->eager_last_us + EAGER_INTERVAL_US)
		at_us = members->eager_last_us + EAGER_INTERVAL_US;
	members->eager_at_us = at_us;
}

void rumor_record(struct members *members, const struct member *member)
{
	struct rumor rumor = { .kind = RUMOR_RECORD, .id = member->id };

	if (members->rumors_paused)
		return;
	rumor_add(members, &rumor);
	rumor_schedule_eager(members);
}

void rumor_mark(struct members *members, const struct packet_mark *mark)
{
	struct rumor rumor = {
		.kind = RUMOR_MARK,
		.id = mark->id,
		.incarnation = mark->incarnation,
		.sequence = mark->sequence,
		.status = mark->status,
		.reporter = mark->reporter,
	};

	if (members->rumors_paused)
		return;
	rumor_add(members, &rumor);
	if (mark->status != MEMBER_SUSPECT)
		rumor_schedule_eager(members);
}

void rumor_centre(struct members *members, const struct data_centre *centre)
{
	struct rumor rumor = { .kind = RUMOR_DATA_CENTRE, .id = centre->id };

	rumor_add(members, &rumor);
	rumor_schedule_eager(members);
}

void rumor_free(struct members *members)
{
	while (members->rumors)
		rumor_remove(members, members->rumors);
}

static uint32_t rumor_size(const struct members *members,
			   const struct rumor *rumor)
{
	const struct member *member;

	switch (rumor->kind) {
	case RUMOR_RECORD:
		member = table_find(members, rumor->id);
		return member ? packet_record_size(&member->record) : 0;
	case RUMOR_MARK:
		return PACKET_MARK_BYTES;
	case RUMOR_DATA_CENTRE:
		return PACKET_CENTRE_BYTES;
	}
	return 0;
}

/* Other data centres get only updates that this data centre is the authority
 * for: its own records, and which of its nodes are unreachable. */
static bool may_send(const struct members *members, const struct rumor *rumor,
		     bool to_remote_centre)
{
	const struct member *member;

	if (rumor->kind == RUMOR_DATA_CENTRE)
		return !to_remote_centre;
	member = table_find(members, rumor->id);
	if (rumor->kind == RUMOR_RECORD && !member)
		return false;
	if (!to_remote_centre)
		return true;
	if (rumor->status == MEMBER_GONE || rumor->status == MEMBER_SUSPECT)
		return false;
	return member && member->data_centre == members->home;
}

static bool in_digest(const struct rumor *rumor)
{
	return rumor->kind != RUMOR_MARK || rumor->status != MEMBER_SUSPECT;
}

/* Called after several nodes in a row had the same digest. Drops the rumors
 * that the digest covers: a node that has missed one detects that by the
 * digest, which costs less than further transmissions. */
void rumor_drop_settled(struct members *members)
{
	struct rumor *rumor;
	struct rumor *next;

	DL_FOREACH_SAFE(members->rumors, rumor, next)
		if (in_digest(rumor))
			rumor_remove(members, rumor);
}

static uint32_t choose_rumors(struct members *members, struct rumor **chosen,
			      uint32_t available_bytes,
			      const struct packet_out *out)
{
	struct rumor *rumor;
	uint32_t count = 0;

	DL_FOREACH(members->rumors, rumor) {
		uint32_t size = rumor_size(members, rumor);

		if (!size || size > available_bytes ||
		    (out->same_digest && in_digest(rumor)) ||
		    !may_send(members, rumor, out->to_remote_centre))
			continue;
		available_bytes -= size;
		chosen[count++] = rumor;
		if (count == ITEMS_MAX)
			break;
	}
	return count;
}

static void encode_rumor(struct members *members, const struct rumor *rumor)
{
	const struct member *member;
	const struct data_centre *centre;

	switch (rumor->kind) {
	case RUMOR_RECORD:
		member = table_find(members, rumor->id);
		packet_encode_record(&members->encoder, &member->record,
				     member->status);
		return;
	case RUMOR_MARK:
		packet_encode_mark(&members->encoder,
				   &(struct packet_mark){
					   .id = rumor->id,
					   .incarnation = rumor->incarnation,
					   .sequence = rumor->sequence,
					   .status = rumor->status,
					   .reporter = rumor->reporter,
				   });
		return;
	case RUMOR_DATA_CENTRE:
		centre = table_centre(members, rumor->id);
		packet_encode_centre(&members->encoder,
				     &(struct packet_centre){
					     .id = rumor->id,
					     .reachable = centre->reachable,
					     .stamp = centre->stamp,
				     });
		return;
	}
}

/* Moves a transmitted rumor to the end of the queue, or removes the rumor
 * after enough transmissions. */
static void rumor_transmitted(struct members *members, struct rumor *rumor)
{
	rumor->transmits++;
	if (rumor->transmits >= retransmits(members)) {
		rumor_remove(members, rumor);
		return;
	}
	DL_DELETE(members->rumors, rumor);
	DL_APPEND(members->rumors, rumor);
}

static void encode_items(struct members *members, const struct packet_out *out)
{
	struct encoder *encoder = &members->encoder;
	uint32_t available_bytes = PACKET_PAYLOAD_BYTES;
	struct rumor *chosen[ITEMS_MAX];
	uint32_t used = (uint32_t)encoder->buffer.size + 8;
	uint32_t count = 0;
	uint32_t i;

	if (out->with_own_record)
		used += packet_record_size(&members->self->record);
	if (out->mark.id)
		used += PACKET_MARK_BYTES;
	if (used < available_bytes)
		count = choose_rumors(members, chosen, available_bytes - used,
				      out);
	encode_array(encoder,
		     count + out->with_own_record + (out->mark.id != 0));
	if (out->with_own_record)
		packet_encode_record(encoder, &members->self->record,
				     MEMBER_ALIVE);
	if (out->mark.id)
		packet_encode_mark(encoder, &out->mark);
	for (i = 0; i < count; i++)
		encode_rumor(members, chosen[i]);
	for (i = 0; i < count; i++)
		rumor_transmitted(members, chosen[i]);
}

static void encode_extra(struct members *members, const struct packet_out *out)
{
	struct encoder *encoder = &members->encoder;

	switch (out->type) {
	case PACKET_LINK_PING:
	case PACKET_LINK_ACK:
		link_extra_encode(members, encoder,
				  out->type == PACKET_LINK_ACK);
		return;
	case PACKET_PING_REQ:
		encode_array(encoder, 2);
		packet_encode_address(encoder, &out->target_address);
		return;
	case PACKET_PING:
		if (members->refused_version)
			break;
		encode_array(encoder, 0);
		return;
	case PACKET_ACK:
	case PACKET_NACK:
	case PACKET_ANNOUNCE:
		encode_array(encoder, 0);
		return;
	}
	encode_array(encoder, 2);
	encode_uint(encoder, members->refused_version);
	encode_text(encoder, members->refused_reason);
}

static uint32_t source_age_ms(const struct members *members)
{
	int64_t age_ms =
		(members->now_us - members->source_read_us) / US_PER_MS;

	if (!members->source_read_us || age_ms >= PACKET_AGE_UNKNOWN)
		return PACKET_AGE_UNKNOWN;
	return age_ms > 0 ? (uint32_t)age_ms : 0;
}

void packet_send(struct members *members, const struct address *to,
		 const struct packet_out *out)
{
	const struct record *own = &members->self->record;
	struct packet_head head = {
		.type = out->type,
		.nonce = out->nonce,
		.data_centre = members->home->id,
		.id = members->id,
		.incarnation = own->incarnation,
		.sequence = own->sequence,
		.head = members->head,
		.digest = table_digest(members),
		.source_age_ms = source_age_ms(members),
	};
	struct members_action *action;
	const void *bytes;
	size_t size;

	packet_begin(&members->encoder, &head);
	encode_extra(members, out);
	encode_items(members, out);
	bytes = encoder_body(&members->encoder, &size);
	action = members_push(members, MEMBERS_SEND);
	action->to = *to;
	action->offset = (uint32_t)buffer_size(&members->bytes);
	action->size = (uint32_t)size;
	members->packet_bytes += size;
	buffer_append(&members->bytes, bytes, size);
}

/* Lists the live members of the data centre by id and sets @self to the index
 * of this node. Returns their number. */
static uint32_t list_ring(const struct members *members, struct member **live,
			  uint32_t *self)
{
	const struct data_centre *home = members->home;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < home->count; i++) {
		if (!table_live(home->members[i]))
			continue;
		if (home->members[i] == members->self)
			*self = count;
		live[count++] = home->members[i];
	}
	return count;
}

static bool add_target(struct member **targets, uint32_t count,
		       struct member *target)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (targets[i] == target)
			return false;
	targets[count] = target;
	return true;
}

static uint32_t ring_targets(const struct members *members,
			     struct member **targets)
{
	struct member **live =
		malloc((members->home->count + 1) * sizeof(*live));
	uint32_t self = 0;
	uint32_t count = 0;
	uint32_t n;
	uint32_t step;

	if (!live)
		abort();
	n = list_ring(members, live, &self);
	for (step = 1; step <= n / 2 && count + 2 <= RING_MAX;
	     step *= RING_STEP) {
		count += add_target(targets, count, live[(self + step) % n]);
		count +=
			add_target(targets, count, live[(self + n - step) % n]);
	}
	free(live);
	return count;
}

static void refill_eager(struct members *members)
{
	double max = members->options.eager_bytes_per_s * 2.0;

	members->eager_tokens +=
		members->options.eager_bytes_per_s *
		(double)(members->now_us - members->eager_last_us) / US_PER_S;
	if (members->eager_tokens > max)
		members->eager_tokens = max;
	members->eager_last_us = members->now_us;
}

void rumor_send_to_ring(struct members *members)
{
	struct packet_out out = { .type = PACKET_ANNOUNCE };
	struct member *targets[RING_MAX];
	uint32_t count = ring_targets(members, targets);
	uint64_t before = members->packet_bytes;
	uint32_t i;

	for (i = 0; i < count; i++)
		packet_send(members, &targets[i]->record.address, &out);
	if (members->linking)
		link_announce(members);
	/* packet_bytes only grows; the size of the queue of actions may shrink
	 * in between. */
	members->eager_tokens -= (double)(members->packet_bytes - before);
	members->counts.eager_sent += count;
}

void rumor_tick(struct members *members)
{
	if (!members->eager_at_us || members->now_us < members->eager_at_us)
		return;
	members->eager_at_us = 0;
	if (!members->rumors)
		return;
	refill_eager(members);
	if (members->eager_tokens > 0)
		rumor_send_to_ring(members);
	else
		members->eager_at_us = members->now_us + EAGER_RETRY_US;
}

/*
 * After a power loss all nodes wait for a first version, and each node takes
 * long to put it in force. Forwarded from neighbour to neighbour, the version
 * would reach the last nodes after several such delays, and they answer no
 * calls meanwhile. So the node that has read the version announces it directly
 * to the live members of its data centre.
 */
static void announce_first(struct members *members)
{
	const struct data_centre *home = members->home;
	struct packet_out out = { .type = PACKET_ANNOUNCE };
	uint32_t start = random_below(&members->random, home->count);
	uint32_t sent = 0;
	uint32_t i;

	for (i = 0; i < home->count && sent < FIRST_ANNOUNCE_MAX; i++) {
		struct member *member =
			home->members[(start + i) % home->count];

		if (member == members->self || !table_live(member))
			continue;
		packet_send(members, &member->record.address, &out);
		sent++;
	}
	members->counts.eager_sent += sent;
}

void members_announce(struct members *members, bool origin, int64_t now_us)
{
	members->now_us = now_us;
	refill_eager(members);
	if (origin && !members->first_announced)
		announce_first(members);
	else
		rumor_send_to_ring(members);
	members->first_announced = true;
	if (origin && !members->linking)
		link_announce(members);
}
