#include <string.h>
#include <utlist.h>

#include "membership/members_defs.h"
#include "membership/sync.h"
#include "membership/sync_defs.h"
#include "os/clock.h"

/*
 * Status for operators on any node. Only the linking nodes have the versions in
 * force at all nodes. Other nodes query a linking node, and only when an
 * operator requests the status.
 */

enum {
	QUERY_INTERVAL_MS = 100,
	STATUS_FIELDS = 3,
	REFUSAL_FIELDS = 3,
	STATUS_VALID_MS = 10 * 1000,
};

bool members_status_current(const struct members *members)
{
	return members->linking ||
	       members->now_us < members->home->summary.received_us +
					 STATUS_VALID_MS * US_PER_MS;
}

void members_query_status(struct members *members, int64_t now_us)
{
	uint32_t start = random_below(&members->random, MEMBERS_COLLECTORS);
	uint32_t i;

	members->now_us = now_us;
	if (members->linking ||
	    now_us < members->status_query_us + QUERY_INTERVAL_MS * US_PER_MS)
		return;
	members->status_query_us = now_us;
	for (i = 0; i < MEMBERS_COLLECTORS; i++) {
		const struct member *member = table_find(
			members,
			members->collectors[(start + i) % MEMBERS_COLLECTORS]
				.id);

		if (!member)
			continue;
		encoder_begin(&members->encoder, FRAME_STATUS_QUERY, 0);
		members_push_frame(members, 0, &member->record.address);
		return;
	}
}

static void encode_status(struct members *members,
			  const struct data_centre *centre)
{
	struct encoder *encoder = &members->encoder;
	struct summary summary = centre->summary;

	if (centre == members->home)
		members_summary(members, NULL, &summary);
	encode_array(encoder, STATUS_FIELDS);
	encode_text(encoder, centre->name);
	encode_uint(encoder, (uint64_t)(members->now_us - summary.received_us) /
				     US_PER_MS);
	packet_encode_summary(encoder, &summary);
}

static void encode_refusals(struct members *members)
{
	struct refusal list[MEMBERS_REFUSALS_MAX];
	uint32_t count = members_refusals(members, list, MEMBERS_REFUSALS_MAX);
	uint32_t i;

	encode_array(&members->encoder, count);
	for (i = 0; i < count; i++) {
		encode_array(&members->encoder, REFUSAL_FIELDS);
		encode_text(&members->encoder, list[i].instance);
		encode_uint(&members->encoder, list[i].version);
		encode_text(&members->encoder, list[i].reason);
	}
}

static bool decode_refusals(struct members *members,
			    const msgpack_object *object, struct error *err)
{
	const msgpack_object *items;
	const msgpack_object *f;
	uint32_t fields;
	uint32_t count;
	uint32_t i;

	members->refusal_count = 0;
	if (!decode_array(object, &items, &count, "refusals", err))
		return false;
	for (i = 0; i < count && i < MEMBERS_REFUSALS_MAX; i++) {
		struct refusal *refusal = &members->refusals[i];

		if (!decode_array(&items[i], &f, &fields, "refusal", err))
			return false;
		if (fields != REFUSAL_FIELDS) {
			error_set(err, ERROR_PROTOCOL, "refusal has %u fields",
				  fields);
			return false;
		}
		if (!decode_text(&f[0], refusal->instance, NAME_SIZE,
				 "instance", err) ||
		    !decode_uint(&f[1], UINT64_MAX, &refusal->version,
				 "version", err) ||
		    !decode_text(&f[2], refusal->reason, MEMBERS_REASON_SIZE,
				 "reason", err))
			return false;
		members->refusal_count++;
	}
	return true;
}

void status_answer(const struct exchange *exchange)
{
	struct members *members = exchange->members;
	const struct data_centre *centre;
	uint32_t count = 0;

	LL_FOREACH(members->data_centres, centre)
		count += centre == members->home || centre->summary.received_us;
	encoder_begin(&members->encoder, FRAME_STATUS, 2);
	encode_array(&members->encoder, count);
	LL_FOREACH(members->data_centres, centre)
		if (centre == members->home || centre->summary.received_us)
			encode_status(members, centre);
	encode_refusals(members);
	sync_send_frame(exchange);
}

static bool decode_status(struct members *members, const msgpack_object *object,
			  struct error *err)
{
	struct data_centre *centre;
	const msgpack_object *f;
	struct summary summary;
	char name[NAME_SIZE];
	uint64_t age_ms;
	uint32_t count;

	if (!decode_array(object, &f, &count, "status", err))
		return false;
	if (count != STATUS_FIELDS) {
		error_set(err, ERROR_PROTOCOL, "status has %u fields", count);
		return false;
	}
	if (!decode_text(&f[0], name, NAME_SIZE, "name", err) ||
	    !decode_uint(&f[1], UINT32_MAX, &age_ms, "age", err) ||
	    !packet_summary_decode(&f[2], &summary, err))
		return false;
	centre = table_centre_named(members, name);
	summary.received_us = members->now_us - (int64_t)age_ms * US_PER_MS;
	if (centre && summary.received_us > centre->summary.received_us)
		centre->summary = summary;
	return true;
}

bool status_receive(const struct exchange *exchange,
		    const struct message *message, struct error *err)
{
	const msgpack_object *items;
	uint32_t count;
	uint32_t i;

	if (!decode_count(message, 2, "status", err) ||
	    !decode_array(&message->fields[0], &items, &count, "items", err))
		return false;
	if (!exchange->home)
		return true;
	for (i = 0; i < count; i++)
		if (!decode_status(exchange->members, &items[i], err))
			return false;
	return decode_refusals(exchange->members, &message->fields[1], err);
}
