#include "quota/frames.h"

enum {
	ASK_FIELDS = 5,
	GRANT_FIELDS = 3,
	MOVE_FIELDS = 3,
	ITEM_FIELDS = 3,
	MEMBERS_MAX = 1000 * 1000,
};

/* Each item has a tenant and two amounts, whose meaning depends on the frame. */
struct item {
	uint64_t tenant;
	uint32_t first;
	uint32_t second;
};

struct item_limits {
	uint64_t first_max;
	uint64_t second_max;
};

static void encode_item(struct encoder *encoder, uint64_t tenant,
			uint32_t first, uint32_t second)
{
	encode_array(encoder, ITEM_FIELDS);
	encode_uint(encoder, tenant);
	encode_uint(encoder, first);
	encode_uint(encoder, second);
}

static bool decode_item(const msgpack_object *object,
			const struct item_limits *limits, struct item *item,
			struct error *err)
{
	const msgpack_object *fields;
	uint32_t count;

	if (!decode_array(object, &fields, &count, "item", err))
		return false;
	if (count != ITEM_FIELDS) {
		error_set(err, ERROR_PROTOCOL,
			  "item has a wrong number of fields: %u", count);
		return false;
	}
	return decode_uint(&fields[0], UINT64_MAX, &item->tenant, "tenant",
			   err) &&
	       decode_uint32(&fields[1], limits->first_max, &item->first,
			     "first amount", err) &&
	       decode_uint32(&fields[2], limits->second_max, &item->second,
			     "second amount", err);
}

static bool decode_items(const msgpack_object *object,
			 const struct item_limits *limits,
			 struct item items[QUOTA_ITEMS_MAX], uint32_t *count,
			 struct error *err)
{
	const msgpack_object *list;
	uint32_t i;

	if (!decode_array(object, &list, count, "items", err))
		return false;
	if (*count > QUOTA_ITEMS_MAX) {
		error_set(err, ERROR_PROTOCOL, "too many items: %u", *count);
		return false;
	}
	for (i = 0; i < *count; i++)
		if (!decode_item(&list[i], limits, &items[i], err))
			return false;
	return true;
}

static bool decode_head(const struct message *message, uint32_t fields,
			uint32_t *group, uint32_t *sequence, struct error *err)
{
	return decode_count(message, fields, "quota", err) &&
	       decode_uint32(&message->fields[0], QUOTA_GROUPS - 1, group,
			     "group", err) &&
	       decode_uint32(&message->fields[1], UINT32_MAX, sequence,
			     "sequence", err);
}

void quota_ask_encode(struct encoder *encoder, const struct quota_ask *ask)
{
	uint32_t i;

	encoder_begin(encoder, FRAME_QUOTA_ASK, ASK_FIELDS);
	encode_uint(encoder, ask->group);
	encode_uint(encoder, ask->sequence);
	encode_uint(encoder, ask->elapsed_ms);
	encode_uint(encoder, ask->members);
	encode_array(encoder, ask->count);
	for (i = 0; i < ask->count; i++)
		encode_item(encoder, ask->items[i].tenant, ask->items[i].wanted,
			    ask->items[i].returned);
}

bool quota_ask_decode(const struct message *message, struct quota_ask *ask,
		      struct error *err)
{
	static const struct item_limits limits = { QUOTA_WANTED_MAX,
						   QUOTA_WANTED_MAX };
	struct item items[QUOTA_ITEMS_MAX];
	uint32_t i;

	if (!decode_head(message, ASK_FIELDS, &ask->group, &ask->sequence,
			 err) ||
	    !decode_uint32(&message->fields[2], QUOTA_ELAPSED_MAX_MS,
			   &ask->elapsed_ms, "elapsed_ms", err) ||
	    !decode_uint32(&message->fields[3], MEMBERS_MAX, &ask->members,
			   "members", err) ||
	    !decode_items(&message->fields[4], &limits, items, &ask->count,
			  err))
		return false;
	for (i = 0; i < ask->count; i++) {
		ask->items[i].tenant = items[i].tenant;
		ask->items[i].wanted = items[i].first;
		ask->items[i].returned = items[i].second;
	}
	return true;
}

void quota_grant_encode(struct encoder *encoder,
			const struct quota_grant *grant)
{
	uint32_t i;

	encoder_begin(encoder, FRAME_QUOTA_GRANT, GRANT_FIELDS);
	encode_uint(encoder, grant->group);
	encode_uint(encoder, grant->sequence);
	encode_array(encoder, grant->count);
	for (i = 0; i < grant->count; i++)
		encode_item(encoder, grant->items[i].tenant,
			    grant->items[i].granted, grant->items[i].due_ms);
}

bool quota_grant_decode(const struct message *message,
			struct quota_grant *grant, struct error *err)
{
	static const struct item_limits limits = { QUOTA_WANTED_MAX,
						   QUOTA_DUE_MAX_MS };
	struct item items[QUOTA_ITEMS_MAX];
	uint32_t i;

	if (!decode_head(message, GRANT_FIELDS, &grant->group, &grant->sequence,
			 err) ||
	    !decode_items(&message->fields[2], &limits, items, &grant->count,
			  err))
		return false;
	for (i = 0; i < grant->count; i++) {
		grant->items[i].tenant = items[i].tenant;
		grant->items[i].granted = items[i].first;
		grant->items[i].due_ms = items[i].second;
	}
	return true;
}

void quota_move_encode(struct encoder *encoder, enum frame_quota type,
		       const struct quota_move *move)
{
	uint32_t i;

	encoder_begin(encoder, type, MOVE_FIELDS);
	encode_uint(encoder, move->group);
	encode_uint(encoder, move->sequence);
	encode_array(encoder, move->count);
	for (i = 0; i < move->count; i++)
		encode_item(encoder, move->items[i].tenant,
			    move->items[i].millis, move->items[i].held_millis);
}

bool quota_move_decode(const struct message *message, struct quota_move *move,
		       struct error *err)
{
	static const struct item_limits limits = { QUOTA_MILLIS_MAX,
						   QUOTA_MILLIS_MAX };
	struct item items[QUOTA_ITEMS_MAX];
	uint32_t i;

	if (!decode_head(message, MOVE_FIELDS, &move->group, &move->sequence,
			 err) ||
	    !decode_items(&message->fields[2], &limits, items, &move->count,
			  err))
		return false;
	for (i = 0; i < move->count; i++) {
		move->items[i].tenant = items[i].tenant;
		move->items[i].millis = items[i].first;
		move->items[i].held_millis = items[i].second;
	}
	return true;
}
