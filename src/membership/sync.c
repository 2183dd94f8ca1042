#include "membership/sync.h"

#include <string.h>
#include <utlist.h>

#include "membership/members_defs.h"
#include "membership/sync_defs.h"
#include "os/clock.h"

enum {
	BUCKETS_BYTES = MEMBERS_BUCKETS * 8,
	RECORDS_BYTES = 48 * 1024, /* of records per frame, about */
	AGE_MARGIN_MS = 2000,
	BUSY_PEERS = 2,
};

void members_push_frame(struct members *members, uint64_t conn,
			const struct address *to)
{
	struct members_action *action = members_push(members, MEMBERS_FRAME);
	const void *frame;
	size_t size;

	frame = encoder_end(&members->encoder, &size);
	action->conn = conn;
	action->to = *to;
	action->offset = (uint32_t)buffer_size(&members->bytes);
	action->size = (uint32_t)size;
	buffer_append(&members->bytes, frame, size);
	members->serve_tokens -= (double)size;
}

void sync_send_frame(const struct exchange *exchange)
{
	members_push_frame(exchange->members, exchange->conn,
			   &exchange->peer->address);
}

uint64_t sync_age_ms(const struct members *members,
		     const struct data_centre *centre)
{
	int64_t age_ms;

	if (centre == members->home)
		return 0;
	if (!centre->current_at_us)
		return UINT32_MAX;
	age_ms = (members->now_us - centre->current_at_us) / US_PER_MS;
	return age_ms < UINT32_MAX ? (uint64_t)age_ms : UINT32_MAX;
}

/* Called when the digests are equal: the records here are then as current as
 * the peer's, whose age is @age_ms. */
void sync_confirm_current(struct members *members, struct data_centre *centre,
			  uint64_t age_ms)
{
	int64_t current_at_us = members->now_us - (int64_t)age_ms * US_PER_MS;

	if (age_ms < UINT32_MAX && current_at_us > centre->current_at_us)
		centre->current_at_us = current_at_us;
}

/*
 * Returns whether records of a data centre are accepted from a node of
 * @sender_centre whose records of it are @age_ms old. A node that was
 * partitioned for hours still holds records of nodes that have died since; if
 * they were accepted, these nodes would reappear as alive. So a node of
 * another data centre may update records of a third, known data centre only if
 * the sender's records are more current than those held here.
 */
bool sync_accepts(const struct members *members,
		  const struct data_centre *centre, uint64_t sender_centre,
		  uint64_t age_ms)
{
	if (sender_centre == members->home->id || !centre ||
	    centre == members->home || centre->id == sender_centre)
		return true;
	return age_ms + AGE_MARGIN_MS < sync_age_ms(members, centre);
}

/* Returns whether the peer, whose records are @age_ms old, accepts the records
 * held here. */
bool sync_peer_accepts(const struct exchange *exchange,
		       const struct data_centre *centre, uint64_t age_ms)
{
	if (exchange->home || centre == exchange->members->home ||
	    centre->id == exchange->peer_centre)
		return true;
	return sync_age_ms(exchange->members, centre) + AGE_MARGIN_MS < age_ms;
}

static bool is_busy(struct members *members)
{
	double rate = members->options.serve_bytes_per_s;

	members->serve_tokens +=
		rate * (double)(members->now_us - members->serve_us) / US_PER_S;
	if (members->serve_tokens > rate)
		members->serve_tokens = rate;
	members->serve_us = members->now_us;
	return members->serve_tokens <= 0;
}

/* Answers a request that exceeds the rate limit with the time after which to
 * retry and the addresses of random peers, which a joining node may ask at
 * once. Many nodes that join at the same time thus spread over all nodes that
 * hold the state. */
static void answer_busy(const struct exchange *exchange)
{
	struct members *members = exchange->members;
	struct encoder *encoder = &members->encoder;
	const struct data_centre *home = members->home;
	double wait_ms = -members->serve_tokens * MS_PER_S /
			 members->options.serve_bytes_per_s;
	uint32_t i;

	members->counts.busy_sent++;
	encoder_begin(encoder, FRAME_SYNC_BUSY, 2);
	encode_uint(encoder, (uint64_t)wait_ms + 1 +
				     random_below(&members->random, 100));
	encode_array(encoder, 2 * BUSY_PEERS);
	for (i = 0; i < BUSY_PEERS; i++)
		packet_encode_address(
			encoder, &home->members[random_below(&members->random,
							     home->count)]
					  ->record.address);
	sync_send_frame(exchange);
}

void sync_begin_records(const struct exchange *exchange,
			const struct data_centre *centre, uint32_t count)
{
	struct encoder *encoder = &exchange->members->encoder;

	encoder_begin(encoder, FRAME_SYNC_RECORDS, 3);
	encode_text(encoder, centre->name);
	encode_uint(encoder, sync_age_ms(exchange->members, centre));
	encode_array(encoder, count);
}

/* Splits the records into frames of bounded size, so that other frames can be
 * sent in between. */
void sync_send_members(const struct exchange *exchange,
		       const struct data_centre *centre,
		       struct member *const *list, uint32_t count)
{
	uint32_t from = 0;

	while (from < count) {
		uint32_t size = 0;
		uint32_t to = from;
		uint32_t i;

		while (to < count && size < RECORDS_BYTES)
			size += packet_record_size(&list[to++]->record);
		sync_begin_records(exchange, centre, to - from);
		for (i = from; i < to; i++)
			packet_encode_record(&exchange->members->encoder,
					     &list[i]->record, list[i]->status);
		sync_send_frame(exchange);
		from = to;
	}
}

static void send_buckets(const struct exchange *exchange,
			 const struct data_centre *centre)
{
	struct encoder *encoder = &exchange->members->encoder;
	uint8_t buckets[BUCKETS_BYTES];
	uint32_t i;

	for (i = 0; i < MEMBERS_BUCKETS; i++)
		sync_put_u64(buckets + 8 * (size_t)i, centre->buckets[i]);
	encoder_begin(encoder, FRAME_SYNC_BUCKETS, 3);
	encode_text(encoder, centre->name);
	encode_uint(encoder, sync_age_ms(exchange->members, centre));
	encode_bytes(encoder, buckets, BUCKETS_BYTES);
	sync_send_frame(exchange);
}

/**
 * struct offer - state of one data centre at the peer
 * @name: name of the data centre
 * @digest: digest of the peer's records
 * @age_ms: age of the peer's records in milliseconds; UINT32_MAX if unknown
 * @reachable: the peer's judgement on whether the data centre is reachable
 * @stamp: orders judgements; the highest is the newest
 * @count: number of the peer's records
 */
struct offer {
	char name[NAME_SIZE];
	uint64_t digest;
	uint64_t age_ms;
	bool reachable;
	uint64_t stamp;
	uint64_t count;
};

static bool decode_offer(const msgpack_object *object, struct offer *offer,
			 struct error *err)
{
	const msgpack_object *f;
	uint32_t count;

	if (!decode_array(object, &f, &count, "data centre", err))
		return false;
	if (count != SYNC_CENTRE_FIELDS) {
		error_set(err, ERROR_PROTOCOL,
			  "unexpected number of fields in an offer: %u", count);
		return false;
	}
	return decode_text(&f[0], offer->name, NAME_SIZE, "name", err) &&
	       decode_uint(&f[1], UINT64_MAX, &offer->digest, "digest", err) &&
	       decode_uint(&f[2], UINT32_MAX, &offer->age_ms, "age", err) &&
	       decode_bool(&f[3], &offer->reachable, "reachable", err) &&
	       decode_uint(&f[4], UINT32_MAX - 1, &offer->stamp, "stamp",
			   err) &&
	       decode_uint(&f[5], UINT32_MAX, &offer->count, "count", err);
}

static void answer_offer(const struct exchange *exchange,
			 struct data_centre *centre, const struct offer *offer)
{
	struct members *members = exchange->members;
	struct packet_centre judgement = { .id = centre->id,
					   .reachable = offer->reachable,
					   .stamp = (uint32_t)offer->stamp };
	bool peer_owns = centre->id == exchange->peer_centre;

	if (exchange->home)
		link_merge_centre(members, &judgement);
	if (centre->digest == offer->digest) {
		sync_confirm_current(members, centre, offer->age_ms);
		return;
	}
	if (!sync_peer_accepts(exchange, centre, offer->age_ms) &&
	    !sync_accepts(members, centre, exchange->peer_centre,
			  offer->age_ms))
		return;
	/* A peer that has no records of the data centre, or only its own, gets
	 * all records; there is nothing to compare by buckets. */
	if (offer->count <= peer_owns)
		sync_send_members(exchange, centre, centre->members,
				  centre->count);
	else
		send_buckets(exchange, centre);
}

/* The judgements on reachability are sent only inside the own data centre. */
static void send_end(const struct exchange *exchange)
{
	struct members *members = exchange->members;
	const struct data_centre *centre;
	uint32_t count = 0;

	if (exchange->home)
		LL_COUNT(members->data_centres, centre, count);
	encoder_begin(&members->encoder, FRAME_SYNC_END, 1);
	encode_array(&members->encoder, count);
	LL_FOREACH(exchange->home ? members->data_centres : NULL, centre)
		packet_encode_centre(&members->encoder,
				     &(struct packet_centre){
					     .id = centre->id,
					     .reachable = centre->reachable,
					     .stamp = centre->stamp,
				     });
	sync_send_frame(exchange);
}

static bool handle_sync(const struct exchange *exchange,
			const struct message *message, struct error *err)
{
	struct members *members = exchange->members;
	bool named[MEMBERS_DATA_CENTRES_MAX] = { 0 };
	const msgpack_object *offers;
	struct data_centre *centre;
	struct offer offer;
	uint32_t count;
	uint32_t i;

	if (!decode_count(message, 1, "sync", err) ||
	    !decode_array(&message->fields[0], &offers, &count, "offers", err))
		return false;
	if (is_busy(members)) {
		answer_busy(exchange);
		return true;
	}
	for (i = 0; i < count; i++) {
		if (!decode_offer(&offers[i], &offer, err))
			return false;
		centre = table_centre_named(members, offer.name);
		if (!centre)
			continue;
		named[centre->index] = true;
		answer_offer(exchange, centre, &offer);
	}
	LL_FOREACH(members->data_centres, centre)
		if (!named[centre->index] &&
		    sync_peer_accepts(exchange, centre, UINT32_MAX))
			sync_send_members(exchange, centre, centre->members,
					  centre->count);
	send_end(exchange);
	return true;
}

/* Decodes the first two fields of a frame of buckets, entries or records: the
 * name of the data centre and the age of the records. */
bool sync_decode_centre(const struct exchange *exchange,
			const struct message *message,
			struct data_centre **centre, uint64_t *age_ms,
			struct error *err)
{
	char name[NAME_SIZE];

	if (message->count < 3 ||
	    !decode_text(&message->fields[0], name, NAME_SIZE, "name", err) ||
	    !decode_uint(&message->fields[1], UINT32_MAX, age_ms, "age", err)) {
		error_set(err, ERROR_PROTOCOL,
			  "name of the data centre or age of its records "
			  "is missing or malformed");
		return false;
	}
	*centre = table_centre_named(exchange->members, name);
	if (*centre)
		return true;
	error_set(err, ERROR_LIMIT, "too many data centres");
	return false;
}

static void send_entries(const struct exchange *exchange,
			 const struct data_centre *centre, uint64_t mask)
{
	struct members *members = exchange->members;
	struct encoder *encoder = &members->encoder;
	struct buffer entries = { 0 };
	uint8_t entry[SYNC_ENTRY_BYTES];
	uint32_t i;

	for (i = 0; i < centre->count; i++) {
		const struct member *member = centre->members[i];

		if (!sync_in_mask(mask, member->id))
			continue;
		sync_put_u64(entry, member->id);
		sync_put_u64(entry + 8, member->record.incarnation);
		sync_put_u64(entry + 16, member->record.sequence);
		entry[24] = !table_live(member);
		buffer_append(&entries, entry, SYNC_ENTRY_BYTES);
	}
	encoder_begin(encoder, FRAME_SYNC_ENTRIES, 4);
	encode_text(encoder, centre->name);
	encode_uint(encoder, sync_age_ms(members, centre));
	encode_uint(encoder, mask);
	encode_bytes(encoder, buffer_data(&entries), buffer_size(&entries));
	sync_send_frame(exchange);
	buffer_finish(&entries);
}

static bool handle_buckets(const struct exchange *exchange,
			   const struct message *message, struct error *err)
{
	uint8_t peer_buckets[BUCKETS_BYTES];
	struct data_centre *centre;
	uint64_t mask = 0;
	uint64_t age_ms;
	uint32_t i;

	if (!decode_count(message, 3, "buckets", err) ||
	    !sync_decode_centre(exchange, message, &centre, &age_ms, err) ||
	    !decode_fixed(&message->fields[2], peer_buckets, BUCKETS_BYTES,
			  "buckets", err))
		return false;
	for (i = 0; i < MEMBERS_BUCKETS; i++)
		if (sync_get_u64(peer_buckets + 8 * (size_t)i) !=
		    centre->buckets[i])
			mask |= (uint64_t)1 << i;
	if (mask)
		send_entries(exchange, centre, mask);
	return true;
}

static void handle_end(const struct exchange *exchange,
		       const struct message *message, struct error *err)
{
	const msgpack_object *items;
	struct packet_item item;
	uint32_t count;
	uint32_t i;

	if (!decode_count(message, 1, "end", err) ||
	    !decode_array(&message->fields[0], &items, &count, "items", err) ||
	    !exchange->home)
		return;
	for (i = 0; i < count; i++) {
		if (!packet_item_decode(&items[i], &item, err))
			return;
		if (item.kind == RUMOR_DATA_CENTRE)
			link_merge_centre(exchange->members, &item.centre);
	}
	exchange->members->joined = true;
}

void members_frame(struct members *members, uint64_t conn,
		   const struct identity *peer, const struct message *message,
		   int64_t now_us)
{
	struct exchange exchange = { .members = members,
				     .conn = conn,
				     .peer = peer };
	struct error err = ERROR_INIT;

	members->now_us = now_us;
	sync_peer_answered(members, &peer->address);
	exchange.peer_centre = packet_centre_id(peer->data_centre);
	exchange.home = exchange.peer_centre == members->home->id;
	switch ((enum frame_membership)message->type) {
	case FRAME_SYNC:
		handle_sync(&exchange, message, &err);
		break;
	case FRAME_SYNC_BUCKETS:
		handle_buckets(&exchange, message, &err);
		break;
	case FRAME_SYNC_ENTRIES:
		sync_entries(&exchange, message, &err);
		break;
	case FRAME_SYNC_RECORDS:
		sync_records(&exchange, message, &err);
		break;
	case FRAME_SYNC_WANT:
		sync_want(&exchange, message, &err);
		break;
	case FRAME_SYNC_BUSY:
		sync_busy(members, message, &err);
		break;
	case FRAME_SYNC_END:
		handle_end(&exchange, message, &err);
		break;
	case FRAME_STATUS_QUERY:
		status_answer(&exchange);
		break;
	case FRAME_STATUS:
		status_receive(&exchange, message, &err);
		break;
	default:
		error_set(&err, ERROR_PROTOCOL,
			  "unknown membership frame type %u", message->type);
	}
	members->counts.malformed += error_is_set(&err);
}
