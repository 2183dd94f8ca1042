#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Merges received records and marks into the table. The order of (incarnation,
 * sequence, status) decides, whoever the sender is, with two exceptions:
 * updates not newer than a tombstone are rejected, and only members of this
 * data centre may judge its nodes.
 */

enum { CONFLICT_WAIT_US = 5 * US_PER_S, OWNER_NOTIFIERS = 3 };

/* Compares (incarnation, sequence) of a mark with those of a record. Returns 1
 * if the mark is newer, 0 if both are equal, -1 if the mark is older. */
static int mark_order(const struct packet_mark *mark,
		      const struct record *record)
{
	if (mark->incarnation != record->incarnation)
		return mark->incarnation > record->incarnation ? 1 : -1;
	if (mark->sequence != record->sequence)
		return mark->sequence > record->sequence ? 1 : -1;
	return 0;
}

/*
 * Refutes an update about this node that is newer than the own record, or that
 * marks this node as suspect, unreachable or gone. Such updates follow a pause
 * longer than the suspicion, a clock that was set back between two
 * incarnations, or a partition. Unless the owner raises its sequence or
 * incarnation, the node stays unreachable. The rate of raising the incarnation
 * is bounded, since two processes with one name would do so in turn.
 *
 * Returns true if the sender must be sent the own record.
 */
static bool refute(struct members *members, const struct packet_mark *mark)
{
	struct record *own = &members->self->record;
	int order = mark_order(mark, own);

	if (order < 0)
		return true;
	if (order == 0 && mark->status == MEMBER_ALIVE)
		return false;
	if (mark->incarnation > own->incarnation) {
		members->counts.name_conflicts++;
		if (members->conflict_us &&
		    members->now_us - members->conflict_us < CONFLICT_WAIT_US)
			return false;
		members->conflict_us = members->now_us;
		own->incarnation = mark->incarnation + 1;
	} else {
		own->sequence = mark->sequence;
	}
	members->counts.refuted++;
	swim_adjust_health(members, 1);
	members_raise_sequence(members);
	return true;
}

/* Sends the mark to the node that the mark is about, so that the node can
 * refute the mark at once. Only a few randomly chosen members send the mark; if
 * all members did, their datagrams would overload the node. */
static void notify_owner(struct members *members, const struct member *member,
			 const struct packet_mark *mark)
{
	struct packet_out out = { .type = PACKET_ANNOUNCE, .mark = *mark };

	if (member->data_centre != members->home ||
	    random_below(&members->random, members->home->count) >=
		    OWNER_NOTIFIERS)
		return;
	packet_send(members, &member->record.address, &out);
}

enum merge_result merge_gone(struct members *members, struct member *member,
			     const struct packet_mark *mark)
{
	bool known = table_has_tombstone(members, mark->id, mark->incarnation,
					 mark->sequence);
	struct address address = { 0 };
	bool departs = false;

	if (!mark->incarnation ||
	    (member && mark_order(mark, &member->record) < 0))
		return MERGE_UNCHANGED;
	if (member) {
		departs = member->data_centre == members->home &&
			  table_live(member);
		address = member->record.address;
		notify_owner(members, member, mark);
		table_drop(members, member);
	}
	if (departs)
		departed_add(members, mark->id, &address);
	table_add_tombstone(members, mark->id, mark->incarnation,
			    mark->sequence);
	if (known)
		return MERGE_UNCHANGED;
	if (member)
		rumor_mark(members, mark);
	return member ? MERGE_CHANGED : MERGE_UNCHANGED;
}

static void merge_unreachable(struct members *members, struct member *member,
			      const struct packet_mark *mark)
{
	if (member->data_centre == members->home) {
		notify_owner(members, member, mark);
		swim_reconnect_soon(members);
		members->counts.unreachable++;
	}
	table_set_status(members, member, MEMBER_UNREACHABLE);
	rumor_mark(members, mark);
}

enum merge_result members_merge_mark(struct members *members,
				     const struct packet_mark *mark,
				     enum update_source update_source)
{
	struct member *member = table_find(members, mark->id);

	if (mark->id == members->id) {
		return refute(members, mark) ? MERGE_SELF : MERGE_UNCHANGED;
	}
	/* Only members of this data centre judge its nodes, but the marked
	 * node must learn of the mark in order to refute it. */
	if (update_source == SOURCE_REMOTE && member &&
	    member->data_centre == members->home) {
		notify_owner(members, member, mark);
		return MERGE_REFUSED;
	}
	if (mark->status == MEMBER_GONE)
		return merge_gone(members, member, mark);
	if (!member || mark_order(mark, &member->record) != 0)
		return MERGE_UNCHANGED;
	if (mark->status == MEMBER_SUSPECT &&
	    member->status <= MEMBER_SUSPECT &&
	    member->data_centre == members->home) {
		swim_suspect(members, member, mark->reporter);
		return MERGE_UNCHANGED;
	}
	if (mark->status != MEMBER_UNREACHABLE || !table_live(member))
		return MERGE_UNCHANGED;
	merge_unreachable(members, member, mark);
	return MERGE_CHANGED;
}

static struct owner_check *find_owner_check(struct members *members,
					    uint64_t id,
					    const struct record *record)
{
	uint32_t i;

	for (i = 0; i < MEMBERS_OWNER_CHECKS; i++) {
		struct owner_check *owner_check = &members->owner_checks[i];

		if (owner_check->id == id &&
		    owner_check->incarnation == record->incarnation &&
		    owner_check->sequence == record->sequence)
			return owner_check;
	}
	return NULL;
}

/* Handles an unknown record of the own data centre that was sent by a node of
 * another data centre. Such a record is not merged, since its owner may have
 * failed long ago. The owner is pinged. If the owner has not answered when the
 * record arrives again, a tombstone is added, which the senders of the record
 * receive. */
static enum merge_result owner_check(struct members *members,
				     const struct record *record, uint64_t id)
{
	struct packet_out out = { .type = PACKET_PING,
				  .with_own_record = true };
	struct owner_check *owner_check = find_owner_check(members, id, record);

	if (owner_check &&
	    members->now_us <
		    owner_check->at_us + members->options.probe_interval_us)
		return MERGE_REFUSED;
	if (owner_check) {
		table_add_tombstone(members, id, record->incarnation,
				    record->sequence);
		return MERGE_TOMBSTONED;
	}
	members->owner_checks[members->owner_check_next++ %
			      MEMBERS_OWNER_CHECKS] =
		(struct owner_check){ .id = id,
				      .incarnation = record->incarnation,
				      .sequence = record->sequence,
				      .at_us = members->now_us };
	out.nonce = members_nonce(members);
	packet_send(members, &record->address, &out);
	return MERGE_REFUSED;
}

static enum merge_result merge_known(struct members *members,
				     struct member *member,
				     const struct packet_item *item,
				     enum update_source update_source)
{
	struct packet_mark mark = { .id = member->id,
				    .incarnation = item->record.incarnation,
				    .sequence = item->record.sequence,
				    .status = item->status };

	if (item->status == MEMBER_ALIVE)
		return MERGE_UNCHANGED;
	return members_merge_mark(members, &mark, update_source);
}

static enum merge_result merge_record(struct members *members,
				      const struct packet_item *item,
				      enum update_source update_source)
{
	const struct record *record = &item->record;
	uint64_t id = packet_member_id(record->data_centre, record->instance);
	struct member *member = table_find(members, id);
	struct packet_mark mark = { .id = id,
				    .incarnation = record->incarnation,
				    .sequence = record->sequence,
				    .status = item->status };
	enum member_status status = item->status == MEMBER_UNREACHABLE
					    ? MEMBER_UNREACHABLE
					    : MEMBER_ALIVE;
	bool home = packet_centre_id(record->data_centre) == members->home->id;

	if (id == members->id) {
		return refute(members, &mark) ? MERGE_SELF : MERGE_UNCHANGED;
	}
	if (table_has_tombstone(members, id, record->incarnation,
				record->sequence))
		return MERGE_TOMBSTONED;
	if (record->state == UPSTREAM_GONE) {
		mark.status = MEMBER_GONE;
		return merge_gone(members, member, &mark);
	}
	if (member && !record_newer(record, &member->record))
		return merge_known(members, member, item, update_source);
	if (home && update_source == SOURCE_REMOTE) {
		if (!member)
			return owner_check(members, record, id);
		status = member->status;
	}
	member = table_put(members, record, status);
	if (!member)
		return MERGE_REFUSED;
	rumor_record(members, member);
	if (home && item->status == MEMBER_SUSPECT)
		swim_suspect(members, member, 0);
	return MERGE_CHANGED;
}

enum merge_result members_merge(struct members *members,
				const struct packet_item *item,
				enum update_source update_source)
{
	switch (item->kind) {
	case RUMOR_RECORD:
		return merge_record(members, item, update_source);
	case RUMOR_MARK:
		return members_merge_mark(members, &item->mark, update_source);
	case RUMOR_DATA_CENTRE:
		if (update_source == SOURCE_REMOTE)
			return MERGE_REFUSED;
		link_merge_centre(members, &item->centre);
		return MERGE_UNCHANGED;
	}
	return MERGE_UNCHANGED;
}
