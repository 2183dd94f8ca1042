#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * What becomes of a record or mark that somebody tells: the order of
 * (incarnation, sequence, status) decides, whoever tells it, except for those
 * that were forgotten and for the own data centre, which is judged from
 * inside only.
 */

enum { CONFLICT_WAIT_US = 5 * US_PER_S, NUDGES = 3 };

/* Whether (incarnation, sequence) of a mark is above, at or below those of a
 * record. */
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
 * Somebody holds something of this node that is newer than what it wrote
 * itself, or holds it for dead. A pause longer than the suspicion, a clock
 * that went back between two starts or a partition ends like this; without a
 * higher word of the owner the node would stay unreachable for good. Two
 * processes under one name would outbid each other: bounded in rate.
 *
 * Returns whether the teller is to be sent the own record.
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
	members_raise(members);
	return true;
}

/* The owner learns at once that it is held for dead, and can refute. A few
 * of those who hear of it tell it; all of them would be a herd. */
static void nudge(struct members *members, const struct member *member,
		  const struct packet_mark *mark)
{
	struct packet_out out = { .type = PACKET_ANNOUNCE, .mark = *mark };

	if (member->data_centre != members->home ||
	    random_below(&members->random, members->home->count) >= NUDGES)
		return;
	packet_send(members, &member->record.address, &out);
}

enum take take_gone(struct members *members, struct member *member,
		    const struct packet_mark *mark)
{
	bool known = table_is_forgotten(members, mark->id, mark->incarnation,
					mark->sequence);
	struct address address = { 0 };
	bool departs = false;

	if (!mark->incarnation ||
	    (member && mark_order(mark, &member->record) < 0))
		return TAKE_OLD;
	if (member) {
		departs = member->data_centre == members->home &&
			  table_live(member);
		address = member->record.address;
		nudge(members, member, mark);
		table_drop(members, member);
	}
	if (departs)
		departed_add(members, mark->id, &address);
	table_forget(members, mark->id, mark->incarnation, mark->sequence);
	if (known)
		return TAKE_OLD;
	if (member)
		rumor_mark(members, mark);
	return member ? TAKE_NEW : TAKE_OLD;
}

static void take_unreachable(struct members *members, struct member *member,
			     const struct packet_mark *mark)
{
	if (member->data_centre == members->home) {
		nudge(members, member, mark);
		swim_knock_soon(members);
		members->counts.unreachable++;
	}
	table_set_status(members, member, MEMBER_UNREACHABLE);
	rumor_mark(members, mark);
}

enum take members_take_mark(struct members *members,
			    const struct packet_mark *mark, enum source source)
{
	struct member *member = table_find(members, mark->id);

	if (mark->id == members->id) {
		return refute(members, mark) ? TAKE_SELF : TAKE_OLD;
	}
	/* The own data centre is judged from inside only; but a member that
	 * others hold for dead must hear of it. */
	if (source == SOURCE_OUTSIDE && member &&
	    member->data_centre == members->home) {
		nudge(members, member, mark);
		return TAKE_REFUSED;
	}
	if (mark->status == MEMBER_GONE)
		return take_gone(members, member, mark);
	if (!member || mark_order(mark, &member->record) != 0)
		return TAKE_OLD;
	if (mark->status == MEMBER_SUSPECT &&
	    member->status <= MEMBER_SUSPECT &&
	    member->data_centre == members->home) {
		swim_suspect(members, member, mark->reporter);
		return TAKE_OLD;
	}
	if (mark->status != MEMBER_UNREACHABLE || !table_live(member))
		return TAKE_OLD;
	take_unreachable(members, member, mark);
	return TAKE_NEW;
}

static struct knock *find_knock(struct members *members, uint64_t id,
				const struct record *record)
{
	uint32_t i;

	for (i = 0; i < MEMBERS_KNOCKS; i++) {
		struct knock *knock = &members->knocks[i];

		if (knock->id == id &&
		    knock->incarnation == record->incarnation &&
		    knock->sequence == record->sequence)
			return knock;
	}
	return NULL;
}

/* A record of the own data centre that only others carry: without a word of
 * its owner it does not come (back) to life. The owner is asked; if it has
 * not answered when the record comes again, it is remembered as gone, so that
 * those who carry it hear so. */
static enum take knock(struct members *members, const struct record *record,
		       uint64_t id)
{
	struct packet_out out = { .type = PACKET_PING, .own = true };
	struct knock *knock = find_knock(members, id, record);

	if (knock &&
	    members->now_us < knock->at_us + members->options.probe_interval_us)
		return TAKE_REFUSED;
	if (knock) {
		table_forget(members, id, record->incarnation,
			     record->sequence);
		return TAKE_DEAD;
	}
	members->knocks[members->knock_at++ % MEMBERS_KNOCKS] =
		(struct knock){ .id = id,
				.incarnation = record->incarnation,
				.sequence = record->sequence,
				.at_us = members->now_us };
	out.nonce = members_nonce(members);
	packet_send(members, &record->address, &out);
	return TAKE_REFUSED;
}

static enum take take_known(struct members *members, struct member *member,
			    const struct packet_item *item, enum source source)
{
	struct packet_mark mark = { .id = member->id,
				    .incarnation = item->record.incarnation,
				    .sequence = item->record.sequence,
				    .status = item->status };

	if (item->status == MEMBER_ALIVE)
		return TAKE_OLD;
	return members_take_mark(members, &mark, source);
}

static enum take take_record(struct members *members,
			     const struct packet_item *item, enum source source)
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
		return refute(members, &mark) ? TAKE_SELF : TAKE_OLD;
	}
	if (table_is_forgotten(members, id, record->incarnation,
			       record->sequence))
		return TAKE_DEAD;
	if (record->state == UPSTREAM_GONE) {
		mark.status = MEMBER_GONE;
		return take_gone(members, member, &mark);
	}
	if (member && !record_newer(record, &member->record))
		return take_known(members, member, item, source);
	if (home && source == SOURCE_OUTSIDE) {
		if (!member)
			return knock(members, record, id);
		status = member->status;
	}
	member = table_put(members, record, status);
	if (!member)
		return TAKE_REFUSED;
	rumor_record(members, member);
	if (home && item->status == MEMBER_SUSPECT)
		swim_suspect(members, member, 0);
	return TAKE_NEW;
}

enum take members_take(struct members *members, const struct packet_item *item,
		       enum source source)
{
	switch (item->kind) {
	case RUMOR_RECORD:
		return take_record(members, item, source);
	case RUMOR_MARK:
		return members_take_mark(members, &item->mark, source);
	case RUMOR_DATA_CENTRE:
		if (source == SOURCE_OUTSIDE)
			return TAKE_REFUSED;
		link_take_centre(members, &item->centre);
		return TAKE_OLD;
	}
	return TAKE_OLD;
}
