#include <string.h>
#include <utlist.h>

#include "membership/members_defs.h"
#include "os/clock.h"

/*
 * Links between data centres: each linking node pings one node of every other
 * data centre per interval. Pings and answers carry the summary of the
 * sender's data centre; answers also carry, for each data centre, the digest
 * and the age of the sender's records. A data centre that does not answer is
 * one event: linking nodes judge whether the data centre is reachable and
 * gossip their judgement inside their own data centre.
 */

enum {
	LINK_FIELDS = 2,
	CENTRE_FIELDS = 3,
	UNANSWERED_BACKOFF = 10, /* pings before they become less frequent */
	UNREACHABLE_AFTER_FACTOR_MAX = 8,
	RECENT_CONTACT_INTERVALS = 2,
	AGE_UNKNOWN_MS = UINT32_MAX,
};

static const char duty[] = "link";

bool members_is_link(const struct members *members)
{
	return members_rank(members, duty) < members->options.links;
}

static void encode_centres(struct members *members, struct encoder *encoder)
{
	const struct data_centre *centre;
	uint32_t count;

	LL_COUNT(members->data_centres, centre, count);
	encode_array(encoder, count);
	LL_FOREACH(members->data_centres, centre) {
		encode_array(encoder, CENTRE_FIELDS);
		encode_uint(encoder, centre->id);
		encode_uint(encoder, centre->digest);
		encode_uint(encoder, sync_age_ms(members, centre));
	}
}

/* Only the sender of a ping compares digests, so a ping carries none. */
void link_extra_encode(struct members *members, struct encoder *encoder,
		       bool answer)
{
	struct summary summary;

	encode_array(encoder, LINK_FIELDS);
	if (answer)
		encode_centres(members, encoder);
	else
		encode_array(encoder, 0);
	members_summary(members, NULL, &summary);
	if (!members->linking)
		summary.nodes = 0; /* incomplete; the receiver ignores it */
	packet_encode_summary(encoder, &summary);
}

static void stamp(struct members *members, struct data_centre *centre,
		  bool reachable, uint32_t stamp)
{
	bool changed = centre->reachable != reachable;

	centre->stamp = stamp;
	centre->judged_us = members->now_us;
	centre->reachable = reachable;
	rumor_centre(members, centre);
	if (changed)
		table_report_centre(members, centre);
}

void link_contact(struct members *members, struct data_centre *centre)
{
	centre->contact_us = members->now_us;
	centre->current_at_us = members->now_us;
	centre->unanswered_pings = 0;
	centre->unreachable_after_us = members->options.link_timeout_us;
	if (!centre->reachable)
		stamp(members, centre, true, centre->stamp + 1);
}

/* Of two judgements with the same stamp, "reachable" wins. */
static bool newer(const struct data_centre *centre,
		  const struct packet_centre *judgement)
{
	if (judgement->stamp != centre->stamp)
		return judgement->stamp > centre->stamp;
	return judgement->reachable && !centre->reachable;
}

void link_merge_centre(struct members *members,
		       const struct packet_centre *judgement)
{
	struct data_centre *centre = table_centre(members, judgement->id);
	int64_t since_contact_us;

	if (!centre || centre == members->home || !newer(centre, judgement))
		return;
	since_contact_us = members->now_us - centre->contact_us;
	/* Another linking node lost contact and this one has recent contact:
	 * a newer judgement overrules the received one and makes the other
	 * node wait longer next time. Without recent contact, this node
	 * accepts the judgement although its own timeout has not expired;
	 * otherwise the two nodes would overrule each other in turn. */
	if (!judgement->reachable && members->linking &&
	    since_contact_us < RECENT_CONTACT_INTERVALS *
				       members->options.link_interval_us) {
		stamp(members, centre, true, judgement->stamp + 1);
		return;
	}
	if (judgement->reachable && !centre->reachable && members->linking &&
	    centre->unreachable_after_us <
		    UNREACHABLE_AFTER_FACTOR_MAX *
			    members->options.link_timeout_us)
		centre->unreachable_after_us *= 2;
	stamp(members, centre, judgement->reachable, judgement->stamp);
}

static void check_contact(struct members *members, struct data_centre *centre)
{
	int64_t since_us = centre->contact_us;

	if (centre->judged_us > since_us && centre->reachable)
		since_us = centre->judged_us;
	if (centre->reachable && centre->count &&
	    members->now_us - since_us > centre->unreachable_after_us)
		stamp(members, centre, false, centre->stamp + 1);
}

/* Chooses a linking node of the data centre while pings are answered,
 * otherwise any node there: the linking nodes may have changed without this
 * node's knowledge. Returns NULL if no node is known. */
static const struct member *choose_node(struct members *members,
					const struct data_centre *centre)
{
	struct member *top[MEMBERS_LINKS_MAX];
	uint32_t count = 0;

	if (!centre->count)
		return NULL;
	if (!centre->unanswered_pings)
		count = table_top(members, centre, duty, top,
				  members->options.links);
	if (count)
		return top[random_below(&members->random, count)];
	return centre->members[random_below(&members->random, centre->count)];
}

static void ping(struct members *members, struct data_centre *centre)
{
	struct packet_out out = { .type = PACKET_LINK_PING,
				  .to_remote_centre = true };
	const struct member *target;

	if (members->now_us < centre->ping_at_us)
		return;
	target = choose_node(members, centre);
	if (!target)
		return;
	out.nonce = members_nonce(members);
	centre->unanswered_pings++;
	if (centre->unanswered_pings > UNANSWERED_BACKOFF)
		centre->ping_at_us =
			members->now_us + members->options.link_interval_us;
	packet_send(members, &target->record.address, &out);
}

/* Sends queued updates and the version in force to one node of each other data
 * centre that is reachable, without waiting for the next ping. */
void link_announce(struct members *members)
{
	struct packet_out out = { .type = PACKET_ANNOUNCE,
				  .to_remote_centre = true };
	struct data_centre *centre;
	const struct member *target;

	LL_FOREACH(members->data_centres, centre) {
		if (centre == members->home || !centre->reachable)
			continue;
		target = choose_node(members, centre);
		if (target)
			packet_send(members, &target->record.address, &out);
	}
}

static void start_linking(struct members *members)
{
	struct data_centre *centre;

	LL_FOREACH(members->data_centres, centre) {
		if (centre->contact_us < members->now_us)
			centre->contact_us = members->now_us;
		centre->unanswered_pings = 0;
		centre->ping_at_us = 0;
	}
}

void link_tick(struct members *members)
{
	int64_t interval_us = members->options.link_interval_us;
	struct data_centre *centre;
	bool linking;

	if (members->now_us < members->next_link_us)
		return;
	members->next_link_us =
		members->now_us + interval_us * 9 / 10 +
		random_jitter(&members->random, interval_us / 5);
	/* An isolated node cannot determine the linking nodes, or whether any
	 * of them works, so it links itself. */
	linking = members_is_link(members) || table_is_isolated(members);
	if (linking && !members->linking)
		start_linking(members);
	members->linking = linking;
	if (!linking)
		return;
	LL_FOREACH(members->data_centres, centre) {
		if (centre == members->home)
			continue;
		check_contact(members, centre);
		ping(members, centre);
	}
}

void link_paused(struct members *members, int64_t gap_us)
{
	struct data_centre *centre;

	LL_FOREACH(members->data_centres, centre) {
		centre->contact_us += gap_us;
		centre->judged_us += gap_us;
	}
}

/* Returns true if the peer's records of a data centre differ from the records
 * held here and are accepted. If the digests are equal, the age of the peer's
 * records is applied to the records held here. */
static bool compare_centre(struct members *members,
			   const struct packet_head *head,
			   const msgpack_object *object, struct error *err)
{
	struct data_centre *centre;
	const msgpack_object *f;
	uint64_t id;
	uint64_t digest;
	uint64_t age_ms;
	uint32_t count;

	if (!decode_array(object, &f, &count, "data centre", err))
		return false;
	if (count != CENTRE_FIELDS ||
	    !decode_uint(&f[0], UINT64_MAX, &id, "id", err) ||
	    !decode_uint(&f[1], UINT64_MAX, &digest, "digest", err) ||
	    !decode_uint(&f[2], UINT32_MAX, &age_ms, "age", err)) {
		error_set(err, ERROR_PROTOCOL, "data centre is malformed");
		return false;
	}
	centre = table_centre(members, id);
	if (centre && centre->digest == digest) {
		sync_confirm_current(members, centre, age_ms);
		return false;
	}
	return sync_accepts(members, centre, head->data_centre, age_ms);
}

void link_packet(struct members *members, const struct address *from,
		 const struct packet_head *head, const msgpack_object *extra)
{
	struct data_centre *peer = table_centre(members, head->data_centre);
	struct error err = ERROR_INIT;
	const msgpack_object *centres;
	const msgpack_object *f;
	struct summary summary;
	bool differs = false;
	uint32_t count;
	uint32_t i;

	if (!decode_array(extra, &f, &count, "link", &err) ||
	    count != LINK_FIELDS ||
	    !decode_array(&f[0], &centres, &count, "data centres", &err) ||
	    !packet_summary_decode(&f[1], &summary, &err)) {
		members->counts.malformed++;
		return;
	}
	if (peer && summary.nodes) {
		peer->summary = summary;
		peer->summary.received_us = members->now_us;
	}
	for (i = 0; i < count; i++)
		differs |= compare_centre(members, head, &centres[i], &err);
	if (error_is_set(&err))
		members->counts.malformed++;
	/* Only the sender of the ping, which receives the answer, starts a
	 * synchronization. */
	if (!differs || head->type != PACKET_LINK_ACK || !peer ||
	    members->now_us < peer->sync_us + members->options.link_interval_us)
		return;
	peer->sync_us = members->now_us;
	sync_send(members, from);
}
