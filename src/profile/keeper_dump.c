#include "profile/keeper.h"

json_t *keeper_dump(const struct keeper *keeper)
{
	char chain[HASH_TEXT_SIZE];
	json_t *dump = json_pack(
		"{s:I, s:s, s:s, s:I, s:i, s:i, s:I, s:I, s:i, s:I, s:I}",
		"version", (json_int_t)keeper->head.version, "chain",
		hash_format(keeper->head.chain, chain), "author",
		keeper->head.author, "accepted_ms",
		(json_int_t)keeper->head.accepted_ms, "profiles",
		(int)keeper->head.profile_count, "bodies",
		(int)keeper->body_count, "body_bytes",
		(json_int_t)keeper->body_bytes, "pending_version",
		(json_int_t)keeper_pending_version(keeper), "missing_bodies",
		(int)keeper->missing_count, "older_heads",
		(json_int_t)keeper->older_heads, "forks",
		(json_int_t)keeper->forks);

	if (keeper->refused_version)
		json_object_set_new(
			dump, "refused",
			json_pack("{s:I, s:s}", "version",
				  (json_int_t)keeper->refused_version, "reason",
				  keeper->refusal.text));
	return dump;
}
