#ifndef PROFILE_HEAD_H
#define PROFILE_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "profile/config.h"
#include "profile/profile.h"

/**
 * DOC: head
 *
 * The one value that orders all versions: its number, the chain hash, and
 * for each profile the hash of its text and the version that set it. It is
 * written as canonical JSON (sorted keys, no spaces). The chain hash covers
 * the head's whole content, which includes the chain hash of the version
 * before: two heads with the same chain hash have the same history.
 */

enum {
	HEAD_ACCEPT_IDS_MAX = 64,
	HEAD_REMOVED_MAX = 64,
	HEAD_PROFILES_MAX = 2048,
	HEAD_BYTES_MAX = 512 * 1024,
	AUTHOR_SIZE = 64,
	HASH_TEXT_SIZE = CONTENT_HASH_BYTES * 2 + 1,
};

/** struct head_profile - a profile by the hash of its text. */
struct head_profile {
	char name[PROFILE_NAME_SIZE];
	uint8_t hash[CONTENT_HASH_BYTES];
	uint64_t set_in;
};

/** struct head_removed - a profile that a version took away. */
struct head_removed {
	char name[PROFILE_NAME_SIZE];
	uint64_t removed_in;
};

/**
 * struct head - one version, without the texts
 * @chain: hash of everything else in here
 * @previous: chain hash of the version before
 * @author: operator who accepted it
 * @accepted_ms: wall clock, for people only
 * @accept_ids: of this version and those before, this one's first
 * @removed: newest first, so that a node that missed it learns of it
 * @profiles: sorted by name
 */
struct head {
	uint64_t version;
	uint8_t chain[CHAIN_HASH_BYTES];
	uint8_t previous[CHAIN_HASH_BYTES];
	char author[AUTHOR_SIZE];
	int64_t accepted_ms;
	char accept_ids[HEAD_ACCEPT_IDS_MAX][ACCEPT_ID_SIZE];
	struct head_removed removed[HEAD_REMOVED_MAX];
	uint32_t accept_id_count;
	uint32_t removed_count;
	struct head_profile *profiles;
	uint32_t profile_count;
	uint32_t profile_capacity;
};

/** head_init() - version 0: nothing was ever accepted. */
void head_init(struct head *head);
void head_finish(struct head *head);
void head_copy(struct head *head, const struct head *from);

/**
 * head_decode() - read a whole head, strictly
 * @err: ERROR_INVALID, ERROR_LIMIT; @head is then version 0
 */
bool head_decode(struct head *head, const void *bytes, size_t size,
		 struct error *err);

/** head_encode() - canonical bytes, to be freed by the caller. */
uint8_t *head_encode(const struct head *head, size_t *size);

/**
 * head_encode_since() - only what has changed after @version
 *
 * Return: to be freed by the caller; a whole head if the changes since
 * @version are no longer all known.
 */
uint8_t *head_encode_since(const struct head *head, uint64_t version,
			   size_t *size);

/**
 * head_decode_onto() - read a whole head, or changes onto @base
 * @base: what is in force here
 * @err: ERROR_NOT_FOUND if the changes start from a version after @base
 */
bool head_decode_onto(struct head *head, const struct head *base,
		      const void *bytes, size_t size, struct error *err);

/**
 * head_has_no_previous() - whether nothing is known of the version before
 *
 * So are the first version, and those made of an operator's document that
 * lies in the platform's service as a whole.
 */
bool head_has_no_previous(const struct head *head);

/** head_seal() - compute the chain hash over the rest of the content. */
void head_seal(struct head *head);

/** head_find() - a profile by name, or NULL. */
const struct head_profile *head_find(const struct head *head, const char *name);

/** head_accepted_in() - the version that an acceptance made, 0 if unknown. */
uint64_t head_accepted_in(const struct head *head, const char *accept_id);

/**
 * head_advance() - begin the version after this one
 *
 * The caller then sets and removes profiles and ends with head_seal().
 */
void head_advance(struct head *head, const char *accept_id, const char *author,
		  int64_t accepted_ms);

/** head_set() - this version gives a profile another text. */
bool head_set(struct head *head, const char *name,
	      const uint8_t hash[CONTENT_HASH_BYTES], struct error *err);

/** head_remove() - this version takes a profile away. */
void head_remove(struct head *head, const char *name);

/** content_hash() - the hash under which a text is stored. */
void content_hash(const void *text, size_t size,
		  uint8_t hash[CONTENT_HASH_BYTES]);

/** hash_format() - as lower-case hexadecimal; returns @text. */
char *hash_format(const uint8_t hash[CONTENT_HASH_BYTES],
		  char text[HASH_TEXT_SIZE]);

/** hash_parse() - false if @text is not what hash_format() writes. */
bool hash_parse(const char *text, uint8_t hash[CONTENT_HASH_BYTES]);

/** accept_id_valid() - whether @id can name an acceptance. */
bool accept_id_valid(const char *id);

#endif
