#include <stdlib.h>
#include <string.h>

#include "membership/members_defs.h"
#include "membership/sync.h"
#include "membership/sync_defs.h"

enum {
	PAUSE_RUMORS_ITEMS = 32,
	OWNER_CHECKS_MAX = 8,
};

/**
 * struct entry - version of one record at the peer
 * @id: id of the node
 * @incarnation: incarnation of the peer's record
 * @sequence: sequence of the peer's record
 * @unreachable: whether the peer holds the node as unreachable
 */
struct entry {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	bool unreachable;
};

/**
 * struct difference - result of a comparison of entries, to be sent back
 * @newer: members whose record or status is newer here than at the peer
 * @newer_count: number of @newer
 * @wanted: ids of nodes whose records are newer at the peer
 * @wanted_count: number of @wanted
 * @removed: marks of nodes that were removed here and that the peer still holds
 * @removed_count: number of @removed
 */
struct difference {
	struct member **newer;
	uint32_t newer_count;
	uint64_t *wanted;
	uint32_t wanted_count;
	struct packet_mark *removed;
	uint32_t removed_count;
};

static struct entry entry_at(const uint8_t *bytes)
{
	return (struct entry){
		.id = sync_get_u64(bytes),
		.incarnation = sync_get_u64(bytes + 8),
		.sequence = sync_get_u64(bytes + 16),
		.unreachable = bytes[24],
	};
}

static struct packet_mark mark_of(const struct entry *entry,
				  enum member_status status)
{
	return (struct packet_mark){
		.id = entry->id,
		.incarnation = entry->incarnation,
		.sequence = entry->sequence,
		.status = status,
	};
}

static int entry_order(const struct entry *entry, const struct record *record)
{
	if (entry->incarnation != record->incarnation)
		return entry->incarnation > record->incarnation ? 1 : -1;
	if (entry->sequence != record->sequence)
		return entry->sequence > record->sequence ? 1 : -1;
	return 0;
}

static bool listed(const uint8_t *entries, uint32_t count, uint64_t id)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		if (sync_get_u64(entries + (size_t)i * SYNC_ENTRY_BYTES) == id)
			return true;
	return false;
}

static void add_removed(const struct members *members,
			struct difference *difference,
			const struct entry *entry)
{
	const struct tombstone *tombstone =
		table_find_tombstone(members, entry->id);

	difference->removed[difference->removed_count++] = (struct packet_mark){
		.id = entry->id,
		.incarnation = tombstone->incarnation,
		.sequence = tombstone->sequence,
		.status = MEMBER_GONE,
	};
}

static void compare_entry(const struct exchange *exchange,
			  const struct entry *entry, bool useful,
			  struct difference *difference)
{
	struct members *members = exchange->members;
	struct member *member = table_find(members, entry->id);
	struct packet_mark mark = mark_of(entry, MEMBER_UNREACHABLE);
	int order;

	if (!member &&
	    table_has_tombstone(members, entry->id, entry->incarnation,
				entry->sequence)) {
		add_removed(members, difference, entry);
		return;
	}
	order = member ? entry_order(entry, &member->record) : 1;
	if (order > 0 && useful)
		difference->wanted[difference->wanted_count++] = entry->id;
	if (order < 0 ||
	    (order == 0 && !table_live(member) && !entry->unreachable))
		difference->newer[difference->newer_count++] = member;
	if (order == 0 && entry->unreachable && useful)
		members_merge_mark(members, &mark,
				   exchange->home ? SOURCE_HOME
						  : SOURCE_REMOTE);
}

static void send_marks(const struct exchange *exchange,
		       const struct data_centre *centre,
		       const struct packet_mark *marks, uint32_t count)
{
	uint32_t i;

	sync_begin_records(exchange, centre, count);
	for (i = 0; i < count; i++)
		packet_encode_mark(&exchange->members->encoder, &marks[i]);
	sync_send_frame(exchange);
}

static void send_want(const struct exchange *exchange, const uint64_t *ids,
		      uint32_t count)
{
	struct encoder *encoder = &exchange->members->encoder;
	uint32_t i;

	encoder_begin(encoder, FRAME_SYNC_WANT, 1);
	encode_array(encoder, count);
	for (i = 0; i < count; i++)
		encode_uint(encoder, ids[i]);
	sync_send_frame(exchange);
}

static void send_difference(const struct exchange *exchange,
			    const struct data_centre *centre, uint64_t age_ms,
			    const struct difference *difference)
{
	if (sync_peer_accepts(exchange, centre, age_ms)) {
		if (difference->newer_count)
			sync_send_members(exchange, centre, difference->newer,
					  difference->newer_count);
		if (difference->removed_count)
			send_marks(exchange, centre, difference->removed,
				   difference->removed_count);
	}
	if (difference->wanted_count)
		send_want(exchange, difference->wanted,
			  difference->wanted_count);
}

static void *allocate(size_t count, size_t size)
{
	void *memory = calloc(count + 1, size);

	if (!memory)
		abort();
	return memory;
}

static void compare(const struct exchange *exchange, struct data_centre *centre,
		    uint64_t age_ms, uint64_t mask, const uint8_t *entries,
		    uint32_t count)
{
	struct members *members = exchange->members;
	bool useful =
		sync_accepts(members, centre, exchange->peer_centre, age_ms);
	struct difference difference = {
		.newer = allocate(count + centre->count,
				  sizeof(*difference.newer)),
		.wanted = allocate(count, sizeof(*difference.wanted)),
		.removed = allocate(count, sizeof(*difference.removed)),
	};
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct entry entry =
			entry_at(entries + (size_t)i * SYNC_ENTRY_BYTES);

		if (sync_in_mask(mask, entry.id))
			compare_entry(exchange, &entry, useful, &difference);
	}
	for (i = 0; i < centre->count; i++)
		if (sync_in_mask(mask, centre->members[i]->id) &&
		    !listed(entries, count, centre->members[i]->id))
			difference.newer[difference.newer_count++] =
				centre->members[i];
	send_difference(exchange, centre, age_ms, &difference);
	free(difference.newer);
	free(difference.wanted);
	free(difference.removed);
}

bool sync_entries(const struct exchange *exchange,
		  const struct message *message, struct error *err)
{
	struct data_centre *centre;
	const uint8_t *entries;
	uint64_t age_ms;
	uint64_t mask;
	size_t size;

	if (!decode_count(message, 4, "entries", err) ||
	    !sync_decode_centre(exchange, message, &centre, &age_ms, err) ||
	    !decode_uint(&message->fields[2], UINT64_MAX, &mask, "mask", err) ||
	    !decode_bytes(&message->fields[3], &entries, &size, "entries", err))
		return false;
	if (size % SYNC_ENTRY_BYTES) {
		error_set(err, ERROR_PROTOCOL,
			  "entries of %zu bytes are malformed", size);
		return false;
	}
	compare(exchange, centre, age_ms, mask, entries,
		(uint32_t)(size / SYNC_ENTRY_BYTES));
	return true;
}

/**
 * struct batch - the records of one frame while they are merged
 * @exchange: peer that has sent the frame
 * @centre: data centre of the records
 * @owner_checks: number of records that need a check with their owners
 * @removed: marks of nodes that were removed here, to be sent back
 * @removed_count: number of @removed
 */
struct batch {
	const struct exchange *exchange;
	struct data_centre *centre;
	uint32_t owner_checks;
	struct packet_mark *removed;
	uint32_t removed_count;
};

static bool belongs(const struct batch *batch, const struct packet_item *item)
{
	const struct member *member;

	switch (item->kind) {
	case RUMOR_RECORD:
		return packet_centre_id(item->record.data_centre) ==
		       batch->centre->id;
	case RUMOR_MARK:
		member = table_find(batch->exchange->members, item->mark.id);
		return item->mark.id == batch->exchange->members->id ||
		       (member && member->data_centre == batch->centre);
	case RUMOR_DATA_CENTRE:
		return false;
	}
	return false;
}

static void merge_item(struct batch *batch, const struct packet_item *item)
{
	struct members *members = batch->exchange->members;
	const struct record *record = &item->record;
	const struct tombstone *tombstone;
	uint64_t id;

	if (members_merge(members, item,
			  batch->exchange->home
				  ? SOURCE_HOME
				  : SOURCE_REMOTE) != MERGE_TOMBSTONED ||
	    item->kind != RUMOR_RECORD)
		return;
	id = packet_member_id(record->data_centre, record->instance);
	tombstone = table_find_tombstone(members, id);
	members->counts.stale_refused++;
	batch->removed[batch->removed_count++] = (struct packet_mark){
		.id = id,
		.incarnation = tombstone->incarnation,
		.sequence = tombstone->sequence,
		.status = MEMBER_GONE,
	};
}

/* Each unknown record of the own data centre that comes from another one causes
 * a ping to its owner. Returns true for records above the limit per frame,
 * which a later synchronization transfers again. */
static bool too_many_owner_checks(struct batch *batch,
				  const struct packet_item *item)
{
	struct members *members = batch->exchange->members;

	if (batch->exchange->home || batch->centre != members->home ||
	    item->kind != RUMOR_RECORD ||
	    table_find(members, packet_member_id(item->record.data_centre,
						 item->record.instance)))
		return false;
	return batch->owner_checks++ >= OWNER_CHECKS_MAX;
}

static bool merge_items(struct batch *batch, const msgpack_object *items,
			uint32_t count, struct error *err)
{
	struct packet_item item;
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!packet_item_decode(&items[i], &item, err))
			return false;
		if (belongs(batch, &item) &&
		    !too_many_owner_checks(batch, &item))
			merge_item(batch, &item);
	}
	return true;
}

bool sync_records(const struct exchange *exchange,
		  const struct message *message, struct error *err)
{
	struct members *members = exchange->members;
	struct batch batch = { .exchange = exchange };
	const msgpack_object *items;
	uint64_t age_ms;
	uint32_t count;
	bool complete;

	if (!decode_count(message, 3, "records", err) ||
	    !sync_decode_centre(exchange, message, &batch.centre, &age_ms,
				err) ||
	    !decode_array(&message->fields[2], &items, &count, "items", err))
		return false;
	if (!sync_accepts(members, batch.centre, exchange->peer_centre, age_ms))
		return true;
	batch.removed = allocate(count, sizeof(*batch.removed));
	members->rumors_paused = count > PAUSE_RUMORS_ITEMS ||
				 (exchange->home && !members->joined);
	complete = merge_items(&batch, items, count, err);
	members->rumors_paused = false;
	members->counts.records_synced += count;
	if (batch.centre != members->home)
		sync_confirm_current(members, batch.centre, age_ms);
	if (batch.removed_count)
		send_marks(exchange, batch.centre, batch.removed,
			   batch.removed_count);
	free(batch.removed);
	return complete;
}

bool sync_want(const struct exchange *exchange, const struct message *message,
	       struct error *err)
{
	struct members *members = exchange->members;
	const msgpack_object *ids;
	uint32_t count;
	uint32_t i;

	if (!decode_count(message, 1, "want", err) ||
	    !decode_array(&message->fields[0], &ids, &count, "ids", err))
		return false;
	for (i = 0; i < count; i++) {
		struct member *member;
		uint64_t id;

		if (!decode_uint(&ids[i], UINT64_MAX, &id, "id", err))
			return false;
		member = table_find(members, id);
		if (member)
			sync_send_members(exchange, member->data_centre,
					  &member, 1);
	}
	return true;
}
