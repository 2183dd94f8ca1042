#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/head.h"

/*
 * {"accept_ids":[ID,...],"accepted_ms":N,"author":S,"chain":HEX,
 *  "previous":HEX,"profiles":{NAME:[HEX,SET_IN],...},
 *  "removed":[[NAME,VERSION],...],"version":N}
 *
 * An encoding of changes has the additional member "since":V, and of
 * accept_ids, profiles and removed only the entries newer than version V.
 */

enum { ENCODE_FLAGS = JSON_COMPACT | JSON_SORT_KEYS };

static json_t *hash_json(const uint8_t hash[CONTENT_HASH_BYTES])
{
	char text[HASH_TEXT_SIZE];

	return json_string(hash_format(hash, text));
}

static json_t *ids_json(const struct head *head, uint64_t since)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < head->accept_id_count && head->version - i > since; i++)
		json_array_append_new(list, json_string(head->accept_ids[i]));
	return list;
}

static json_t *profiles_json(const struct head *head, uint64_t since)
{
	json_t *object = json_object();
	uint32_t i;

	for (i = 0; i < head->profile_count; i++) {
		const struct head_profile *profile = &head->profiles[i];

		if (profile->set_in <= since)
			continue;
		json_object_set_new(object, profile->name,
				    json_pack("[o, I]",
					      hash_json(profile->hash),
					      (json_int_t)profile->set_in));
	}
	return object;
}

static json_t *removed_json(const struct head *head, uint64_t since)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < head->removed_count; i++) {
		const struct head_removed *removed = &head->removed[i];

		if (removed->removed_in > since)
			json_array_append_new(
				list,
				json_pack("[s, I]", removed->name,
					  (json_int_t)removed->removed_in));
	}
	return list;
}

static json_t *content_json(const struct head *head, uint64_t since)
{
	json_t *json = json_object();

	json_object_set_new(json, "accept_ids", ids_json(head, since));
	json_object_set_new(json, "accepted_ms",
			    json_integer(head->accepted_ms));
	json_object_set_new(json, "author", json_string(head->author));
	json_object_set_new(json, "previous", hash_json(head->previous));
	json_object_set_new(json, "profiles", profiles_json(head, since));
	json_object_set_new(json, "removed", removed_json(head, since));
	json_object_set_new(json, "version",
			    json_integer((json_int_t)head->version));
	return json;
}

static void hash_number(crypto_generichash_state *state, uint64_t number)
{
	uint8_t bytes[8];
	size_t i;

	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)(number >> (8 * i));
	crypto_generichash_update(state, bytes, sizeof(bytes));
}

/* Hashes the length as well: otherwise "ab", "c" would equal "a", "bc". */
static void hash_text(crypto_generichash_state *state, const char *text)
{
	size_t size = strlen(text);

	hash_number(state, size);
	crypto_generichash_update(state, (const uint8_t *)text, size);
}

static void hash_lists(crypto_generichash_state *state, const struct head *head)
{
	uint32_t i;

	hash_number(state, head->accept_id_count);
	for (i = 0; i < head->accept_id_count; i++)
		hash_text(state, head->accept_ids[i]);
	hash_number(state, head->removed_count);
	for (i = 0; i < head->removed_count; i++) {
		hash_text(state, head->removed[i].name);
		hash_number(state, head->removed[i].removed_in);
	}
	hash_number(state, head->profile_count);
	for (i = 0; i < head->profile_count; i++) {
		hash_text(state, head->profiles[i].name);
		hash_number(state, head->profiles[i].set_in);
		crypto_generichash_update(state, head->profiles[i].hash,
					  CONTENT_HASH_BYTES);
	}
}

/* Hashes the fields in a fixed order and form instead of the JSON, so that a
 * check of the chain hash needs no encoding. */
static void compute_chain(const struct head *head,
			  uint8_t chain[CHAIN_HASH_BYTES])
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, CHAIN_HASH_BYTES);
	hash_number(&state, head->version);
	crypto_generichash_update(&state, head->previous, CHAIN_HASH_BYTES);
	hash_text(&state, head->author);
	hash_number(&state, (uint64_t)head->accepted_ms);
	hash_lists(&state, head);
	crypto_generichash_final(&state, chain, CHAIN_HASH_BYTES);
}

void head_seal(struct head *head)
{
	compute_chain(head, head->chain);
}

static uint8_t *encode(const struct head *head, uint64_t since, size_t *size)
{
	json_t *json = content_json(head, since);
	char *text;

	json_object_set_new(json, "chain", hash_json(head->chain));
	if (since)
		json_object_set_new(json, "since",
				    json_integer((json_int_t)since));
	text = json_dumps(json, ENCODE_FLAGS);
	json_decref(json);
	if (!text)
		abort();
	*size = strlen(text);
	return (uint8_t *)text;
}

uint8_t *head_encode(const struct head *head, size_t *size)
{
	return encode(head, 0, size);
}

bool head_has_no_previous(const struct head *head)
{
	static const uint8_t zeros[CHAIN_HASH_BYTES];

	return !memcmp(head->previous, zeros, sizeof(zeros));
}

/* Returns true if @head still lists every removal and every acceptance id after
 * @version, so that the changes can be sent instead of the whole head. */
static bool has_changes_since(const struct head *head, uint64_t version)
{
	uint32_t last = head->removed_count - 1;

	if (!version || version >= head->version ||
	    head_has_no_previous(head) ||
	    head->version - version > head->accept_id_count)
		return false;
	return head->removed_count < HEAD_REMOVED_MAX ||
	       head->removed[last].removed_in <= version;
}

uint8_t *head_encode_since(const struct head *head, uint64_t version,
			   size_t *size)
{
	return encode(head, has_changes_since(head, version) ? version : 0,
		      size);
}

static bool fail_invalid(struct error *err, const char *reason)
{
	error_set(err, ERROR_INVALID, "head: %s", reason);
	return false;
}

static bool read_version(const json_t *json, uint64_t max, uint64_t *version)
{
	json_int_t value = json_integer_value(json);

	if (value < 1 || (uint64_t)value > max)
		return false;
	*version = (uint64_t)value;
	return true;
}

static bool read_hash(const json_t *json, uint8_t hash[CONTENT_HASH_BYTES])
{
	const char *text = json_string_value(json);

	return text && hash_parse(text, hash);
}

static bool read_ids(struct head *head, const json_t *list)
{
	size_t count = json_array_size(list);
	size_t i;

	if (!count || count > HEAD_ACCEPT_IDS_MAX || count > head->version)
		return false;
	for (i = 0; i < count; i++) {
		const char *id = json_string_value(json_array_get(list, i));

		if (!id || !accept_id_valid(id))
			return false;
		snprintf(head->accept_ids[i], ACCEPT_ID_SIZE, "%s", id);
	}
	head->accept_id_count = (uint32_t)count;
	return true;
}

static bool read_removed(struct head *head, const json_t *list)
{
	size_t count = json_array_size(list);
	size_t i;

	if (!json_is_array(list) || count > HEAD_REMOVED_MAX)
		return false;
	for (i = 0; i < count; i++) {
		const json_t *pair = json_array_get(list, i);
		const char *name = json_string_value(json_array_get(pair, 0));
		struct head_removed *removed = &head->removed[i];

		if (json_array_size(pair) != 2 || !name ||
		    !profile_name_valid(name, PROFILE_NAME_SIZE) ||
		    !read_version(json_array_get(pair, 1), head->version,
				  &removed->removed_in))
			return false;
		snprintf(removed->name, sizeof(removed->name), "%s", name);
	}
	head->removed_count = (uint32_t)count;
	return true;
}

static int compare_profiles(const void *a, const void *b)
{
	const struct head_profile *left = a;
	const struct head_profile *right = b;

	return strcmp(left->name, right->name);
}

static bool read_profiles(struct head *head, json_t *object)
{
	const char *name;
	json_t *pair;

	if (!json_is_object(object) ||
	    json_object_size(object) > HEAD_PROFILES_MAX)
		return false;
	head->profile_capacity = (uint32_t)json_object_size(object) + 1;
	head->profiles =
		calloc(head->profile_capacity, sizeof(*head->profiles));
	if (!head->profiles)
		abort();
	json_object_foreach(object, name, pair) {
		struct head_profile *profile =
			&head->profiles[head->profile_count];

		if (!profile_name_valid(name, PROFILE_NAME_SIZE) ||
		    json_array_size(pair) != 2 ||
		    !read_hash(json_array_get(pair, 0), profile->hash) ||
		    !read_version(json_array_get(pair, 1), head->version,
				  &profile->set_in))
			return false;
		snprintf(profile->name, sizeof(profile->name), "%s", name);
		head->profile_count++;
	}
	qsort(head->profiles, head->profile_count, sizeof(*head->profiles),
	      compare_profiles);
	return true;
}

static bool read_content(struct head *head, const json_t *json,
			 struct error *err)
{
	const json_t *ms = json_object_get(json, "accepted_ms");
	const char *author = json_string_value(json_object_get(json, "author"));

	if (!read_version(json_object_get(json, "version"), INT64_MAX,
			  &head->version))
		return fail_invalid(err, "version");
	if (!read_hash(json_object_get(json, "chain"), head->chain) ||
	    !read_hash(json_object_get(json, "previous"), head->previous))
		return fail_invalid(err, "chain or previous");
	if (!author || strlen(author) >= AUTHOR_SIZE || !json_is_integer(ms))
		return fail_invalid(err, "author or accepted_ms");
	snprintf(head->author, sizeof(head->author), "%s", author);
	head->accepted_ms = json_integer_value(ms);
	if (!read_ids(head, json_object_get(json, "accept_ids")))
		return fail_invalid(err, "accept_ids");
	if (!read_removed(head, json_object_get(json, "removed")))
		return fail_invalid(err, "removed");
	if (!read_profiles(head, json_object_get(json, "profiles")))
		return fail_invalid(err, "profiles");
	return true;
}

enum { WHOLE_HEAD_MEMBERS = 8, CHANGES_MEMBERS = 9 };

/* Sets @since to the version after which the changes start; 0: a whole head. */
static bool read_json(struct head *head, const void *bytes, size_t size,
		      uint64_t *since, struct error *err)
{
	json_t *json;
	const json_t *since_json;
	bool ok;

	*since = 0;
	if (size > HEAD_BYTES_MAX) {
		error_set(err, ERROR_LIMIT,
			  "head has %zu bytes, at most %d are allowed", size,
			  HEAD_BYTES_MAX);
		return false;
	}
	json = json_loadb(bytes, size, JSON_REJECT_DUPLICATES, NULL);
	since_json = json_object_get(json, "since");
	ok = json_object_size(json) ==
	     (since_json ? CHANGES_MEMBERS : WHOLE_HEAD_MEMBERS);
	if (!ok)
		fail_invalid(err, "not an object with the expected members");
	ok = ok && read_content(head, json, err);
	if (ok && since_json &&
	    !read_version(since_json, head->version - 1, since))
		ok = fail_invalid(err, "since");
	json_decref(json);
	return ok;
}

static bool check_chain(const struct head *head, struct error *err)
{
	uint8_t chain[CHAIN_HASH_BYTES];

	compute_chain(head, chain);
	if (!memcmp(chain, head->chain, CHAIN_HASH_BYTES))
		return true;
	return fail_invalid(err, "the chain hash does not match the content");
}

bool head_decode(struct head *head, const void *bytes, size_t size,
		 struct error *err)
{
	struct head empty;

	head_init(&empty);
	return head_decode_onto(head, &empty, bytes, size, err);
}

/* Replaces the profiles of @head, which are only the changed ones, with the
 * profiles of @base after all changes. Returns false if there are too many. */
static bool merge_profiles(struct head *head, const struct head *base)
{
	struct head merged = { .profile_count = 0 };
	struct error err = ERROR_INIT;
	bool ok = true;
	uint32_t i;

	head_copy(&merged, base);
	for (i = 0; i < head->removed_count; i++)
		if (head->removed[i].removed_in > base->version)
			head_remove(&merged, head->removed[i].name);
	for (i = 0; i < head->profile_count && ok; i++) {
		merged.version = head->profiles[i].set_in;
		ok = head_set(&merged, head->profiles[i].name,
			      head->profiles[i].hash, &err);
	}
	free(head->profiles);
	head->profiles = merged.profiles;
	head->profile_count = merged.profile_count;
	head->profile_capacity = merged.profile_capacity;
	return ok;
}

static void merge_ids(struct head *head, const struct head *base)
{
	uint64_t new_count = head->version - base->version;
	uint32_t i;

	head->accept_id_count = (uint32_t)new_count;
	for (i = 0; i < base->accept_id_count &&
		    head->accept_id_count < HEAD_ACCEPT_IDS_MAX;
	     i++)
		memcpy(head->accept_ids[head->accept_id_count++],
		       base->accept_ids[i], ACCEPT_ID_SIZE);
}

/* Keeps the removals of @head that are newer than @base and appends those of
 * @base, without profiles that exist again or are already listed. */
static void merge_removed(struct head *head, const struct head *base)
{
	uint32_t i;
	uint32_t k;

	for (k = 0; k < head->removed_count; k++)
		if (head->removed[k].removed_in <= base->version)
			break;
	head->removed_count = k;
	for (i = 0; i < base->removed_count; i++) {
		const struct head_removed *old = &base->removed[i];

		if (head->removed_count == HEAD_REMOVED_MAX)
			return;
		for (k = 0; k < head->removed_count; k++)
			if (!strcmp(head->removed[k].name, old->name))
				break;
		if (k < head->removed_count || head_find(head, old->name))
			continue;
		head->removed[head->removed_count++] = *old;
	}
}

static bool merge_changes(struct head *head, const struct head *base,
			  uint64_t since, struct error *err)
{
	if (base->version < since || head->version <= base->version) {
		error_set(err, ERROR_NOT_FOUND,
			  "changes from version %llu to %llu do not apply to "
			  "version %llu",
			  (unsigned long long)since,
			  (unsigned long long)head->version,
			  (unsigned long long)base->version);
		return false;
	}
	if (head->version - base->version > head->accept_id_count)
		return fail_invalid(err, "too few accept_ids in the changes");
	if (!merge_profiles(head, base))
		return fail_invalid(err, "too many profiles");
	merge_ids(head, base);
	merge_removed(head, base);
	return true;
}

/* Merged changes that do not match their chain hash were made from another
 * history than that of the base. The error is then ERROR_NOT_FOUND instead of
 * ERROR_INVALID: the caller needs the whole head. */
static bool check_merged(const struct head *head, uint64_t since,
			 struct error *err)
{
	struct error chain_err = ERROR_INIT;

	if (check_chain(head, &chain_err))
		return true;
	error_set(err, since ? ERROR_NOT_FOUND : chain_err.code, "%s",
		  chain_err.text);
	return false;
}

bool head_decode_onto(struct head *head, const struct head *base,
		      const void *bytes, size_t size, struct error *err)
{
	uint64_t since;

	head_init(head);
	if (read_json(head, bytes, size, &since, err) &&
	    (!since || merge_changes(head, base, since, err)) &&
	    check_merged(head, since, err))
		return true;
	head_finish(head);
	return false;
}
