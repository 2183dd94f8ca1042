#include <string.h>
#include <utlist.h>

#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Handling of received datagrams. The head of a datagram states the sender's
 * incarnation and sequence. If they differ from the record held here, the
 * answer carries a mark of the sender; if the sender holds an outdated status
 * of this node, the answer carries this node's record. Both ends agree after
 * at most three datagrams.
 */

enum {
	DIFFERING_PINGS = 3,
	SETTLED_PINGS = 4,
	EQUAL_PINGS = 16,
	STARTUP_INTERVALS = 5,
	ANNOUNCE_TURNS_MAX = 4,
};

/**
 * struct datagram - a datagram being handled
 * @head: decoded first fields
 * @from: address of the sender
 * @update_source: whether the sender belongs to this data centre or another
 * @extra: field PACKET_EXTRA
 * @needs_own_record: the sender holds an outdated status of this node, so the
 *	answer carries this node's record
 * @sender_is_new: the sender's own record has changed the table
 * @mark: status of the sender as held here, to be sent to the sender; id 0 if
 *	it agrees with the head
 */
struct datagram {
	struct packet_head head;
	const struct address *from;
	enum update_source update_source;
	const msgpack_object *extra;
	bool needs_own_record;
	bool sender_is_new;
	struct packet_mark mark;
};

static enum update_source source_of(const struct datagram *datagram,
				    const struct packet_item *item)
{
	if (item->kind == RUMOR_RECORD &&
	    packet_member_id(item->record.data_centre, item->record.instance) ==
		    datagram->head.id)
		return SOURCE_OWNER;
	return datagram->update_source;
}

/* A node of another data centre may update only records and marks of its own
 * data centre, and marks of this node, which refutes them. */
static bool accepts_item(const struct members *members,
			 const struct datagram *datagram,
			 const struct packet_item *item)
{
	const struct member *member;

	if (datagram->update_source != SOURCE_REMOTE)
		return true;
	switch (item->kind) {
	case RUMOR_RECORD:
		return packet_centre_id(item->record.data_centre) ==
		       datagram->head.data_centre;
	case RUMOR_MARK:
		if (item->mark.id == members->id)
			return true;
		member = table_find(members, item->mark.id);
		return member &&
		       member->data_centre->id == datagram->head.data_centre;
	case RUMOR_DATA_CENTRE:
		return false;
	}
	return false;
}

static bool merge_items(struct members *members, struct datagram *datagram,
			const msgpack_object *field, struct error *err)
{
	const msgpack_object *items;
	struct packet_item item;
	uint32_t count;
	uint32_t i;

	if (!decode_array(field, &items, &count, "items", err))
		return false;
	for (i = 0; i < count; i++) {
		enum update_source update_source;
		enum merge_result merge_result;

		if (!packet_item_decode(&items[i], &item, err))
			return false;
		if (!accepts_item(members, datagram, &item))
			continue;
		update_source = source_of(datagram, &item);
		merge_result = members_merge(members, &item, update_source);
		if (merge_result == MERGE_SELF)
			datagram->needs_own_record = true;
		if (merge_result == MERGE_CHANGED &&
		    update_source == SOURCE_OWNER)
			datagram->sender_is_new = true;
		members->counts.stale_refused += merge_result ==
						 MERGE_TOMBSTONED;
	}
	return true;
}

static bool head_newer(const struct packet_head *head,
		       const struct record *record)
{
	if (head->incarnation != record->incarnation)
		return head->incarnation > record->incarnation;
	return head->sequence > record->sequence;
}

/* Prepares the mark for a sender whose head differs from the record held here.
 * The mark makes the sender refute it and so send its record. An unknown
 * sender gets MEMBER_GONE, with the incarnation and sequence of its tombstone
 * if there is one. */
static void check_sender(struct members *members, struct datagram *datagram,
			 const struct member *sender)
{
	const struct packet_head *head = &datagram->head;
	const struct tombstone *tombstone;
	struct packet_mark *mark = &datagram->mark;
	const struct record *record;

	if (!sender) {
		tombstone = table_find_tombstone(members, head->id);
		mark->id = head->id;
		mark->status = MEMBER_GONE;
		if (tombstone) {
			mark->incarnation = tombstone->incarnation;
			mark->sequence = tombstone->sequence;
		}
		return;
	}
	record = &sender->record;
	if (head->incarnation == record->incarnation &&
	    head->sequence == record->sequence &&
	    sender->status == MEMBER_ALIVE)
		return;
	mark->id = head->id;
	mark->incarnation = record->incarnation;
	mark->sequence = record->sequence;
	mark->status = head_newer(head, record) ? MEMBER_ALIVE : sender->status;
}

static void compare_heads(struct members *members,
			  const struct datagram *datagram)
{
	const struct head_digest *head = &datagram->head.head;
	struct members_action *action;

	if (head->version == members->head.version) {
		members->counts.head_conflicts += head->chain !=
						  members->head.chain;
		return;
	}
	if (head->version < members->head.version)
		return;
	action = members_push(members, MEMBERS_EVENT);
	action->event.type = MEMBERS_HEAD;
	action->event.head = *head;
	action->event.from = *datagram->from;
}

/* Updates in transit make digests differ for a moment, so only a lasting
 * difference starts a synchronization. A node that has just started lacks many
 * records and does not wait. */
static void compare_digests(struct members *members,
			    const struct datagram *datagram)
{
	int64_t startup_us =
		STARTUP_INTERVALS * members->options.probe_interval_us;
	bool starting_up = members->now_us < members->started_us + startup_us;
	bool probing = datagram->head.type == PACKET_PING ||
		       datagram->head.type == PACKET_ACK;

	if (!probing && !starting_up)
		return;
	if (datagram->head.digest == table_digest(members)) {
		members->joined = true;
		members->digests_differing = 0;
		members->digests_equal++;
		if (members->digests_equal == SETTLED_PINGS)
			rumor_drop_settled(members);
		if (members->digests_equal >= EQUAL_PINGS)
			members->sync.wait_us = 0;
		return;
	}
	members->digests_equal = 0;
	members->digests_differing++;
	if (starting_up || members->digests_differing >= DIFFERING_PINGS)
		sync_begin(members, datagram->from);
}

/* Stores the version that the sender has refused and the reason. An empty field
 * means that the sender refuses none. */
static void receive_refused(struct members *members,
			    const struct datagram *datagram,
			    struct member *sender)
{
	char reason[MEMBERS_REASON_SIZE];
	struct error err = ERROR_INIT;
	const msgpack_object *f;
	uint64_t version;
	uint32_t count;

	if (!sender || sender->data_centre != members->home ||
	    !decode_array(datagram->extra, &f, &count, "refused", &err))
		return;
	if (count != 2)
		collect_refused(members, sender, 0, "");
	else if (decode_uint(&f[0], UINT64_MAX, &version, "version", &err) &&
		 decode_text(&f[1], reason, sizeof(reason), "reason", &err))
		collect_refused(members, sender, version, reason);
}

static void relay_request(struct members *members,
			  const struct datagram *datagram)
{
	struct error err = ERROR_INIT;
	struct address target;
	const msgpack_object *f;
	uint32_t count;

	if (decode_array(datagram->extra, &f, &count, "ping request", &err) &&
	    count == 2 && packet_address_decode(f, &target, &err))
		swim_relay(members, datagram->from, &datagram->head, &target);
	else
		members->counts.malformed++;
}

static void reply(struct members *members, const struct datagram *datagram,
		  enum packet_type type)
{
	struct packet_out out = {
		.type = type,
		.nonce = datagram->head.nonce,
		.with_own_record = datagram->needs_own_record ||
				   datagram->sender_is_new,
		.mark = datagram->mark,
		.to_remote_centre = datagram->update_source == SOURCE_REMOTE,
		.same_digest = datagram->head.digest == table_digest(members),
	};

	if (type == PACKET_ANNOUNCE) {
		/* The nonce of an announcement counts the turns, so that two
		 * nodes that cannot agree do not answer each other without
		 * end. */
		out.nonce = datagram->head.type == PACKET_ANNOUNCE
				    ? datagram->head.nonce + 1
				    : 1;
		if ((!out.with_own_record && !out.mark.id) ||
		    out.nonce > ANNOUNCE_TURNS_MAX)
			return;
	}
	packet_send(members, datagram->from, &out);
}

static void handle(struct members *members, struct datagram *datagram,
		   struct member *sender)
{
	switch (datagram->head.type) {
	case PACKET_PING:
		receive_refused(members, datagram, sender);
		reply(members, datagram, PACKET_ACK);
		return;
	case PACKET_ACK:
		swim_receive_ack(members, datagram->head.nonce);
		collect_acked(members, datagram->head.nonce);
		datagram->sender_is_new = false;
		reply(members, datagram, PACKET_ANNOUNCE);
		return;
	case PACKET_NACK:
		swim_receive_nack(members, datagram->head.nonce);
		return;
	case PACKET_PING_REQ:
		relay_request(members, datagram);
		return;
	case PACKET_ANNOUNCE:
		datagram->sender_is_new = false;
		reply(members, datagram, PACKET_ANNOUNCE);
		return;
	case PACKET_LINK_PING:
		link_packet(members, datagram->from, &datagram->head,
			    datagram->extra);
		reply(members, datagram, PACKET_LINK_ACK);
		return;
	case PACKET_LINK_ACK:
		link_packet(members, datagram->from, &datagram->head,
			    datagram->extra);
		datagram->sender_is_new = false;
		reply(members, datagram, PACKET_ANNOUNCE);
		return;
	}
}

/* Takes over the time at which the source of configuration was last read, as
 * known to the sender. */
static void receive_source_age(struct members *members,
			       const struct packet_head *head)
{
	if (head->source_age_ms != PACKET_AGE_UNKNOWN)
		members_source_read(members,
				    members->now_us -
					    head->source_age_ms * US_PER_MS);
}

static void process(struct members *members, struct datagram *datagram,
		    const msgpack_object *fields, struct error *err)
{
	struct data_centre *centre =
		table_centre(members, datagram->head.data_centre);
	struct member *sender;

	members->received_us = members->now_us;
	if (!merge_items(members, datagram, &fields[PACKET_ITEMS], err))
		members->counts.malformed++;
	datagram->extra = &fields[PACKET_EXTRA];
	sender = table_find(members, datagram->head.id);
	check_sender(members, datagram, sender);
	compare_heads(members, datagram);
	if (datagram->update_source == SOURCE_HOME && sender)
		collect_applied(members, sender, &datagram->head);
	if (datagram->update_source == SOURCE_HOME)
		receive_source_age(members, &datagram->head);
	if (datagram->update_source == SOURCE_HOME)
		compare_digests(members, datagram);
	else if (centre && sender)
		link_contact(members, centre);
	if (!members->joined && datagram->update_source == SOURCE_REMOTE)
		sync_begin(members, datagram->from);
	handle(members, datagram, sender);
}

void members_datagram(struct members *members, const struct address *from,
		      const void *data, size_t size, int64_t now_us)
{
	struct datagram datagram = { .from = from };
	struct error err = ERROR_INIT;
	struct message message;

	members->now_us = now_us;
	if (members->self->record.state == UPSTREAM_GONE)
		return;
	if (!message_decode(&message, data, size, &err)) {
		members->counts.malformed++;
		return;
	}
	if (!packet_head_decode(&message, &datagram.head, &err)) {
		members->counts.malformed++;
	} else if (datagram.head.id == members->id) {
		/* Sent by this node, or by another process of the same name. */
		members->counts.name_conflicts +=
			datagram.head.incarnation !=
			members->self->record.incarnation;
	} else {
		datagram.update_source = datagram.head.data_centre ==
							 members->home->id
						 ? SOURCE_HOME
						 : SOURCE_REMOTE;
		process(members, &datagram, message.fields, &err);
	}
	message_finish(&message);
}
