#include "profile/records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ENCODE_FLAGS = JSON_COMPACT | JSON_SORT_KEYS };

char *key_body(const uint8_t hash[CONTENT_HASH_BYTES], char key[STORE_KEY_SIZE])
{
	char text[HASH_TEXT_SIZE];

	snprintf(key, STORE_KEY_SIZE, "body/%s", hash_format(hash, text));
	return key;
}

char *key_change(const uint8_t chain[CHAIN_HASH_BYTES],
		 char key[STORE_KEY_SIZE])
{
	char text[HASH_TEXT_SIZE];

	snprintf(key, STORE_KEY_SIZE, "change/%s", hash_format(chain, text));
	return key;
}

char *key_history(const char *name, char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, "history/%s", name);
	return key;
}

static uint8_t *encode_json(json_t *json, size_t *size)
{
	char *text = json_dumps(json, ENCODE_FLAGS);

	json_decref(json);
	if (!text)
		abort();
	*size = strlen(text);
	return (uint8_t *)text;
}

static json_t *decode_json(const void *bytes, size_t size, struct error *err)
{
	json_t *json = NULL;

	if (size <= RECORD_BYTES_MAX)
		json = json_loadb(bytes, size, JSON_REJECT_DUPLICATES, NULL);
	if (!json)
		error_set(err, ERROR_INVALID,
			  "the record is not valid JSON or is too large");
	return json;
}

static json_t *hash_json(const uint8_t hash[CONTENT_HASH_BYTES])
{
	char text[HASH_TEXT_SIZE];

	return json_string(hash_format(hash, text));
}

static bool read_hash(const json_t *json, const char *name,
		      uint8_t hash[CONTENT_HASH_BYTES])
{
	const char *text = json_string_value(json_object_get(json, name));

	return text && hash_parse(text, hash);
}

static bool read_text(const json_t *json, const char *name, char *out,
		      size_t size)
{
	const char *text = json_string_value(json_object_get(json, name));

	if (!text || strlen(text) >= size)
		return false;
	snprintf(out, size, "%s", text);
	return true;
}

static bool read_number(const json_t *json, const char *name, int64_t *number)
{
	const json_t *value = json_object_get(json, name);

	*number = json_integer_value(value);
	return json_is_integer(value);
}

static bool read_version(const json_t *json, const char *name,
			 uint64_t *version)
{
	int64_t number;

	if (!read_number(json, name, &number) || number < 0)
		return false;
	*version = (uint64_t)number;
	return true;
}

/* Returns @items with capacity for one more item. The capacity doubles, so that
 * appending n items takes O(n) time. */
static void *grow_list(void *items, uint32_t count, size_t item_size)
{
	if (count & (count - 1))
		return items;
	items = realloc(items, (count ? (size_t)count * 2 : 1) * item_size);
	if (!items)
		abort();
	return items;
}

void drafts_finish(struct drafts *drafts)
{
	free(drafts->items);
	memset(drafts, 0, sizeof(*drafts));
}

static json_t *draft_json(const struct editor_draft *draft)
{
	return json_pack("{s:s, s:s, s:o, s:b, s:I, s:o, s:I}", "name",
			 draft->name, "author", draft->author, "hash",
			 hash_json(draft->hash), "removes", draft->removes,
			 "base_version", (json_int_t)draft->base_version,
			 "base_hash", hash_json(draft->base_hash), "stored_ms",
			 (json_int_t)draft->stored_ms);
}

static bool read_draft(const json_t *json, struct editor_draft *draft)
{
	const json_t *removes = json_object_get(json, "removes");

	memset(draft, 0, sizeof(*draft));
	draft->removes = json_is_true(removes);
	return json_is_boolean(removes) &&
	       read_text(json, "name", draft->name, sizeof(draft->name)) &&
	       profile_name_valid(draft->name, sizeof(draft->name)) &&
	       read_text(json, "author", draft->author,
			 sizeof(draft->author)) &&
	       read_hash(json, "hash", draft->hash) &&
	       read_hash(json, "base_hash", draft->base_hash) &&
	       read_version(json, "base_version", &draft->base_version) &&
	       read_number(json, "stored_ms", &draft->stored_ms);
}

uint8_t *drafts_encode(const struct drafts *drafts, size_t *size)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < drafts->count; i++)
		json_array_append_new(list, draft_json(&drafts->items[i]));
	return encode_json(json_pack("{s:o}", "drafts", list), size);
}

bool drafts_decode(struct drafts *drafts, const void *bytes, size_t size,
		   struct error *err)
{
	json_t *json = decode_json(bytes, size, err);
	const json_t *list = json_object_get(json, "drafts");
	size_t i;

	memset(drafts, 0, sizeof(*drafts));
	if (!json_is_array(list) || json_array_size(list) > DRAFTS_MAX)
		error_set(err, ERROR_INVALID, "the drafts record is malformed");
	for (i = 0; !error_is_set(err) && i < json_array_size(list); i++) {
		struct editor_draft draft;

		if (!read_draft(json_array_get(list, i), &draft))
			error_set(err, ERROR_INVALID, "draft %zu is malformed",
				  i);
		else
			drafts_set(drafts, &draft, err);
	}
	json_decref(json);
	if (error_is_set(err))
		drafts_finish(drafts);
	return !error_is_set(err);
}

struct editor_draft *drafts_find(const struct drafts *drafts, const char *name,
				 const char *author)
{
	uint32_t i;

	for (i = 0; i < drafts->count; i++)
		if (!strcmp(drafts->items[i].name, name) &&
		    !strcmp(drafts->items[i].author, author))
			return &drafts->items[i];
	return NULL;
}

bool drafts_set(struct drafts *drafts, const struct editor_draft *draft,
		struct error *err)
{
	struct editor_draft *old =
		drafts_find(drafts, draft->name, draft->author);

	if (old) {
		*old = *draft;
		return true;
	}
	if (drafts->count == DRAFTS_MAX) {
		error_set(err, ERROR_LIMIT,
			  "the limit of %d drafts is reached: discard some",
			  DRAFTS_MAX);
		return false;
	}
	drafts->items =
		grow_list(drafts->items, drafts->count, sizeof(*drafts->items));
	drafts->items[drafts->count++] = *draft;
	return true;
}

void drafts_remove(struct drafts *drafts, struct editor_draft *draft)
{
	size_t index = (size_t)(draft - drafts->items);

	drafts->count--;
	memmove(draft, draft + 1,
		(drafts->count - index) * sizeof(*drafts->items));
}

void changes_finish(struct changes *changes)
{
	free(changes->items);
	memset(changes, 0, sizeof(*changes));
}

void changes_add(struct changes *changes, const struct editor_change *change)
{
	changes->items = grow_list(changes->items, changes->count,
				   sizeof(*changes->items));
	changes->items[changes->count++] = *change;
}

static json_t *change_json(const struct editor_change *change)
{
	return json_pack("{s:I, s:s, s:s, s:s, s:I, s:b, s:o}", "version",
			 (json_int_t)change->version, "name", change->name,
			 "author", change->author, "accept_id",
			 change->accept_id, "accepted_ms",
			 (json_int_t)change->accepted_ms, "removed",
			 change->removed, "hash", hash_json(change->hash));
}

static bool read_change(const json_t *json, struct editor_change *change)
{
	const json_t *removed = json_object_get(json, "removed");

	memset(change, 0, sizeof(*change));
	change->removed = json_is_true(removed);
	return json_is_boolean(removed) &&
	       read_version(json, "version", &change->version) &&
	       read_text(json, "name", change->name, sizeof(change->name)) &&
	       read_text(json, "author", change->author,
			 sizeof(change->author)) &&
	       read_text(json, "accept_id", change->accept_id,
			 sizeof(change->accept_id)) &&
	       read_number(json, "accepted_ms", &change->accepted_ms) &&
	       read_hash(json, "hash", change->hash);
}

uint8_t *changes_encode(const struct changes *changes, size_t *size)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < changes->count; i++)
		json_array_append_new(list, change_json(&changes->items[i]));
	return encode_json(json_pack("{s:o, s:o}", "changes", list, "previous",
				     hash_json(changes->previous)),
			   size);
}

bool changes_decode(struct changes *changes, const void *bytes, size_t size,
		    struct error *err)
{
	json_t *json = decode_json(bytes, size, err);
	const json_t *list = json_object_get(json, "changes");
	size_t i;

	memset(changes, 0, sizeof(*changes));
	if (!json_is_array(list) || json_array_size(list) > HEAD_PROFILES_MAX ||
	    !read_hash(json, "previous", changes->previous))
		error_set(err, ERROR_INVALID,
			  "the changes record is malformed");
	for (i = 0; !error_is_set(err) && i < json_array_size(list); i++) {
		struct editor_change change;

		if (read_change(json_array_get(list, i), &change))
			changes_add(changes, &change);
		else
			error_set(err, ERROR_INVALID, "change %zu is malformed",
				  i);
	}
	json_decref(json);
	if (error_is_set(err))
		changes_finish(changes);
	return !error_is_set(err);
}
