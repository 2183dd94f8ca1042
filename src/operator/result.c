#include "operator/result.h"

#include <string.h>

#include "operator/faults.h"
#include "operator/reply.h"

unsigned int result_status(enum editor_outcome outcome)
{
	switch (outcome) {
	case EDITOR_DONE:
		return HTTP_OK;
	case EDITOR_INVALID:
		return HTTP_UNPROCESSABLE;
	case EDITOR_CONFLICT:
		return HTTP_CONFLICT;
	case EDITOR_NOT_FOUND:
		return HTTP_NOT_FOUND;
	case EDITOR_UNAVAILABLE:
		return HTTP_UNAVAILABLE;
	case EDITOR_UNKNOWN:
		return HTTP_GATEWAY_TIMEOUT;
	}
	return HTTP_INTERNAL_ERROR;
}

const char *result_todo(enum editor_outcome outcome)
{
	switch (outcome) {
	case EDITOR_DONE:
		return "";
	case EDITOR_INVALID:
		return "mend what is named and put it again; nothing was "
		       "changed";
	case EDITOR_CONFLICT:
		return "nothing was changed and your draft is kept: take in "
		       "what changed, then profile discard, put and accept";
	case EDITOR_NOT_FOUND:
		return "profile list shows what there is";
	case EDITOR_UNAVAILABLE:
		return "nothing was changed; what is in force stays so; try "
		       "again when the platform is back";
	case EDITOR_UNKNOWN:
		return "it may have taken effect: run it again with the same "
		       "--id, through any node, until the answer is clear";
	}
	return "";
}

static json_t *hash_json(const uint8_t hash[CONTENT_HASH_BYTES])
{
	char text[HASH_TEXT_SIZE];

	return json_string(hash_format(hash, text));
}

static json_t *profiles_json(const struct editor_result *result)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < result->profile_count; i++) {
		const struct editor_profile *item = &result->profiles[i];

		json_array_append_new(
			list, json_pack("{s:s,s:o,s:I}", "name", item->name,
					"hash", hash_json(item->hash), "set_in",
					(json_int_t)item->set_in));
	}
	return list;
}

static json_t *drafts_json(const struct editor_result *result)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < result->draft_count; i++) {
		const struct editor_draft *item = &result->drafts[i];

		json_array_append_new(
			list,
			json_pack("{s:s,s:o,s:o,s:b,s:I,s:I,s:b}", "name",
				  item->name, "author",
				  reply_string(item->author), "hash",
				  hash_json(item->hash), "removes",
				  item->removes, "base_version",
				  (json_int_t)item->base_version, "stored_ms",
				  (json_int_t)item->stored_ms, "stale",
				  item->stale));
	}
	return list;
}

static json_t *changes_json(const struct editor_result *result)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < result->change_count; i++) {
		const struct editor_change *item = &result->changes[i];

		json_array_append_new(
			list,
			json_pack("{s:I,s:s,s:o,s:s,s:I,s:b,s:o}", "version",
				  (json_int_t)item->version, "name", item->name,
				  "author", reply_string(item->author), "id",
				  item->accept_id, "accepted_ms",
				  (json_int_t)item->accepted_ms, "removed",
				  item->removed, "hash",
				  hash_json(item->hash)));
	}
	return list;
}

static void set_failure(json_t *json, const struct editor_result *result)
{
	json_object_set_new(json, "error",
			    json_string(editor_outcome_name(result->outcome)));
	json_object_set_new(json, "todo",
			    json_string(result_todo(result->outcome)));
	json_object_set_new(json, "text", reply_string(result->err.text));
	if (result->text)
		json_object_set_new(json, "difference",
				    json_stringn(result->text, result->size));
	if (!result->faults)
		return;
	json_object_set_new(json, "faults", faults_to_json(result->faults));
	json_object_set_new(
		json, "faults_name",
		reply_string(result->faults_name ? result->faults_name : ""));
}

json_t *result_to_json(const struct editor_result *result)
{
	json_t *json = json_pack("{s:s,s:I}", "outcome",
				 editor_outcome_name(result->outcome),
				 "version", (json_int_t)result->version);

	if (result->outcome != EDITOR_DONE)
		set_failure(json, result);
	else if (result->text)
		json_object_set_new(json, "text",
				    json_stringn(result->text, result->size));
	if (result->profiles)
		json_object_set_new(json, "profiles", profiles_json(result));
	if (result->drafts)
		json_object_set_new(json, "drafts", drafts_json(result));
	if (result->changes)
		json_object_set_new(json, "changes", changes_json(result));
	return json;
}

void result_reply(struct http_exchange *exchange,
		  const struct editor_result *result)
{
	reply_json(exchange, result_status(result->outcome),
		   result_to_json(result));
}
