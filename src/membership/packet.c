#include "membership/packet.h"

#include <string.h>
#include <xxhash.h>

enum {
	RECORD_FIELDS = 16,
	MARK_FIELDS = 6,
	CENTRE_FIELDS = 4,
	RECORD_FIXED_BYTES = 105, /* at most, without the texts */
	SUMMARY_FIELDS = 5,
	STATES = UPSTREAM_GONE,
	SLOTS_MAX = 1000000,
};

uint64_t packet_centre_id(const char *data_centre)
{
	return XXH3_64bits(data_centre, strlen(data_centre));
}

uint64_t packet_member_id(const char *data_centre, const char *instance)
{
	return XXH3_64bits_withSeed(instance, strlen(instance),
				    packet_centre_id(data_centre));
}

void packet_begin(struct encoder *encoder, const struct packet_head *head)
{
	encoder_begin(encoder, (uint8_t)head->type, PACKET_FIELDS);
	encode_uint(encoder, head->nonce);
	encode_uint(encoder, head->data_centre);
	encode_uint(encoder, head->id);
	encode_uint(encoder, head->incarnation);
	encode_uint(encoder, head->sequence);
	encode_uint(encoder, head->head.version);
	encode_uint(encoder, head->head.chain);
	encode_uint(encoder, head->digest);
	encode_uint(encoder, head->source_age_ms);
}

bool packet_head_decode(const struct message *message, struct packet_head *head,
			struct error *err)
{
	const msgpack_object *f = message->fields;
	uint64_t nonce;
	uint64_t age_ms;

	if (message->type < PACKET_PING || message->type > PACKET_LINK_ACK) {
		error_set(err, ERROR_PROTOCOL, "unknown datagram type %u",
			  message->type);
		return false;
	}
	if (!decode_count(message, PACKET_FIELDS, "datagram", err) ||
	    !decode_uint(&f[0], UINT32_MAX, &nonce, "nonce", err) ||
	    !decode_uint(&f[1], UINT64_MAX, &head->data_centre, "data centre",
			 err) ||
	    !decode_uint(&f[2], UINT64_MAX, &head->id, "id", err) ||
	    !decode_uint(&f[3], UINT64_MAX, &head->incarnation, "incarnation",
			 err) ||
	    !decode_uint(&f[4], UINT64_MAX, &head->sequence, "sequence", err) ||
	    !decode_uint(&f[5], UINT64_MAX, &head->head.version, "version",
			 err) ||
	    !decode_uint(&f[6], UINT64_MAX, &head->head.chain, "chain", err) ||
	    !decode_uint(&f[7], UINT64_MAX, &head->digest, "digest", err) ||
	    !decode_uint(&f[8], UINT32_MAX, &age_ms, "source age", err))
		return false;
	head->type = (enum packet_type)message->type;
	head->nonce = (uint32_t)nonce;
	head->source_age_ms = (uint32_t)age_ms;
	return true;
}

void packet_encode_address(struct encoder *encoder,
			   const struct address *address)
{
	encode_bytes(encoder, address->ip, address->family == 6 ? 16 : 4);
	encode_uint(encoder, address->port);
}

bool packet_address_decode(const msgpack_object *fields,
			   struct address *address, struct error *err)
{
	const uint8_t *ip;
	uint64_t port;
	size_t size;

	memset(address, 0, sizeof(*address));
	if (!decode_bytes(&fields[0], &ip, &size, "IP number", err) ||
	    !decode_uint(&fields[1], UINT16_MAX, &port, "port", err))
		return false;
	if (size != 4 && size != 16) {
		error_set(err, ERROR_PROTOCOL, "IP address of %zu bytes", size);
		return false;
	}
	memcpy(address->ip, ip, size);
	address->family = size == 4 ? 4 : 6;
	address->port = (uint16_t)port;
	return true;
}

uint32_t packet_record_size(const struct record *record)
{
	return (uint32_t)(RECORD_FIXED_BYTES + strlen(record->instance) +
			  strlen(record->data_centre) +
			  strlen(record->service) + strlen(record->profile) +
			  strlen(record->version));
}

void packet_encode_record(struct encoder *encoder, const struct record *record,
			  enum member_status status)
{
	encode_array(encoder, RECORD_FIELDS);
	encode_uint(encoder, RUMOR_RECORD);
	encode_uint(encoder, status);
	encode_text(encoder, record->instance);
	encode_text(encoder, record->data_centre);
	encode_text(encoder, record->service);
	encode_text(encoder, record->profile);
	packet_encode_address(encoder, &record->address);
	encode_uint(encoder, record->incarnation);
	encode_uint(encoder, record->sequence);
	encode_uint(encoder, record->state);
	encode_uint(encoder, record->slots);
	encode_int(encoder, record->serving_age_ms);
	encode_uint(encoder, record->fitness);
	encode_text(encoder, record->version);
	encode_uint(encoder, record->upstream_start);
}

static bool decode_status(const msgpack_object *object,
			  enum member_status *status, struct error *err)
{
	uint64_t value;

	if (!decode_uint(object, MEMBER_GONE, &value, "status", err))
		return false;
	*status = (enum member_status)value;
	return true;
}

static bool decode_record(const msgpack_object *f, struct packet_item *item,
			  struct error *err)
{
	struct record *record = &item->record;
	uint64_t state;
	uint64_t slots;
	uint64_t fitness;

	if (!decode_status(&f[1], &item->status, err) ||
	    !decode_text(&f[2], record->instance, NAME_SIZE, "instance", err) ||
	    !decode_text(&f[3], record->data_centre, NAME_SIZE, "data centre",
			 err) ||
	    !decode_text(&f[4], record->service, SERVICE_NAME_SIZE, "service",
			 err) ||
	    !decode_text(&f[5], record->profile, PROFILE_NAME_SIZE, "profile",
			 err) ||
	    !packet_address_decode(&f[6], &record->address, err) ||
	    !decode_uint(&f[8], UINT64_MAX - 1, &record->incarnation,
			 "incarnation", err) ||
	    !decode_uint(&f[9], UINT64_MAX - 1, &record->sequence, "sequence",
			 err) ||
	    !decode_uint(&f[10], STATES, &state, "state", err) ||
	    !decode_uint(&f[11], SLOTS_MAX, &slots, "slots", err) ||
	    !decode_ms(&f[12], &record->serving_age_ms, "age", err) ||
	    !decode_uint(&f[13], FITNESS_MAX, &fitness, "fitness", err) ||
	    !decode_text(&f[14], record->version, UPSTREAM_VERSION_SIZE,
			 "version", err) ||
	    !decode_uint(&f[15], UINT64_MAX, &record->upstream_start,
			 "start of the upstream", err))
		return false;
	record->fitness = (uint8_t)fitness;
	record->state = (enum upstream_state)state;
	record->slots = (uint32_t)slots;
	if (record->instance[0] && record->data_centre[0])
		return true;
	error_set(err, ERROR_PROTOCOL,
		  "record lacks its instance or data centre");
	return false;
}

void packet_encode_mark(struct encoder *encoder, const struct packet_mark *mark)
{
	encode_array(encoder, MARK_FIELDS);
	encode_uint(encoder, RUMOR_MARK);
	encode_uint(encoder, mark->status);
	encode_uint(encoder, mark->id);
	encode_uint(encoder, mark->incarnation);
	encode_uint(encoder, mark->sequence);
	encode_uint(encoder, mark->reporter);
}

static bool decode_mark(const msgpack_object *f, struct packet_mark *mark,
			struct error *err)
{
	return decode_status(&f[1], &mark->status, err) &&
	       decode_uint(&f[2], UINT64_MAX, &mark->id, "id", err) &&
	       decode_uint(&f[3], UINT64_MAX - 1, &mark->incarnation,
			   "incarnation", err) &&
	       decode_uint(&f[4], UINT64_MAX - 1, &mark->sequence, "sequence",
			   err) &&
	       decode_uint(&f[5], UINT64_MAX, &mark->reporter, "accuser", err);
}

void packet_encode_centre(struct encoder *encoder,
			  const struct packet_centre *centre)
{
	encode_array(encoder, CENTRE_FIELDS);
	encode_uint(encoder, RUMOR_DATA_CENTRE);
	encode_uint(encoder, centre->id);
	encode_bool(encoder, centre->reachable);
	encode_uint(encoder, centre->stamp);
}

static bool decode_centre(const msgpack_object *f, struct packet_centre *centre,
			  struct error *err)
{
	uint64_t stamp;

	if (!decode_uint(&f[1], UINT64_MAX, &centre->id, "id", err) ||
	    !decode_bool(&f[2], &centre->reachable, "reachable", err) ||
	    !decode_uint(&f[3], UINT32_MAX - 1, &stamp, "stamp", err))
		return false;
	centre->stamp = (uint32_t)stamp;
	return true;
}

bool packet_item_decode(const msgpack_object *object, struct packet_item *item,
			struct error *err)
{
	static const uint32_t fields[] = { RECORD_FIELDS, MARK_FIELDS,
					   CENTRE_FIELDS };
	const msgpack_object *f;
	uint64_t kind;
	uint32_t count;

	memset(item, 0, sizeof(*item));
	if (!decode_array(object, &f, &count, "item", err))
		return false;
	if (count == 0 ||
	    !decode_uint(&f[0], RUMOR_DATA_CENTRE, &kind, "kind", err) ||
	    count != fields[kind]) {
		error_set(err, ERROR_PROTOCOL, "item of %u fields is malformed",
			  count);
		return false;
	}
	item->kind = (enum rumor_kind)kind;
	switch (item->kind) {
	case RUMOR_RECORD:
		return decode_record(f, item, err);
	case RUMOR_MARK:
		return decode_mark(f, &item->mark, err);
	case RUMOR_DATA_CENTRE:
		return decode_centre(f, &item->centre, err);
	}
	return false;
}

void packet_encode_summary(struct encoder *encoder,
			   const struct summary *summary)
{
	uint32_t i;

	encode_array(encoder, SUMMARY_FIELDS);
	encode_uint(encoder, summary->lowest);
	encode_uint(encoder, summary->nodes);
	encode_array(encoder, summary->count);
	for (i = 0; i < summary->count; i++)
		encode_uint(encoder, summary->versions[i]);
	encode_array(encoder, summary->count);
	for (i = 0; i < summary->count; i++)
		encode_uint(encoder, summary->nodes_at[i]);
	encode_array(encoder, summary->lagging_count);
	for (i = 0; i < summary->lagging_count; i++)
		encode_text(encoder, summary->lagging[i]);
}

static bool decode_summary_lists(const msgpack_object *f,
				 struct summary *summary, struct error *err)
{
	const msgpack_object *versions;
	const msgpack_object *nodes;
	const msgpack_object *names;
	uint32_t node_count;
	uint64_t at;
	uint32_t i;

	if (!decode_array(&f[2], &versions, &summary->count, "versions", err) ||
	    !decode_array(&f[3], &nodes, &node_count, "nodes", err) ||
	    !decode_array(&f[4], &names, &summary->lagging_count, "stragglers",
			  err))
		return false;
	if (summary->count > MEMBERS_SUMMARY_VERSIONS ||
	    node_count != summary->count ||
	    summary->lagging_count > MEMBERS_LAGGING_MAX) {
		error_set(err, ERROR_PROTOCOL,
			  "summary has lists of wrong length");
		return false;
	}
	for (i = 0; i < summary->count; i++) {
		if (!decode_uint(&versions[i], UINT64_MAX,
				 &summary->versions[i], "version", err) ||
		    !decode_uint(&nodes[i], UINT32_MAX, &at, "nodes", err))
			return false;
		summary->nodes_at[i] = (uint32_t)at;
	}
	for (i = 0; i < summary->lagging_count; i++)
		if (!decode_text(&names[i], summary->lagging[i], NAME_SIZE,
				 "straggler", err))
			return false;
	return true;
}

bool packet_summary_decode(const msgpack_object *object,
			   struct summary *summary, struct error *err)
{
	const msgpack_object *f;
	uint32_t count;
	uint64_t nodes;

	memset(summary, 0, sizeof(*summary));
	if (!decode_array(object, &f, &count, "summary", err))
		return false;
	if (count != SUMMARY_FIELDS) {
		error_set(err, ERROR_PROTOCOL,
			  "summary of %u fields is malformed", count);
		return false;
	}
	if (!decode_uint(&f[0], UINT64_MAX, &summary->lowest, "lowest", err) ||
	    !decode_uint(&f[1], UINT32_MAX, &nodes, "nodes", err))
		return false;
	summary->nodes = (uint32_t)nodes;
	return decode_summary_lists(f, summary, err);
}
