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
 * The head describes one version of the configuration without the texts: the
 * number of the version, the chain hash, and for each profile the hash of its
 * text and the version that set the profile. A head is encoded as canonical
 * JSON (sorted keys, no spaces). The chain hash covers the whole content of the
 * head, including the chain hash of the previous version. For that reason two
 * heads with the same chain hash have the same history.
 */

enum {
	HEAD_ACCEPT_IDS_MAX = 64,
	HEAD_REMOVED_MAX = 64,
	HEAD_PROFILES_MAX = 2048,
	HEAD_BYTES_MAX = 512 * 1024,
	AUTHOR_SIZE = 64,
	HASH_TEXT_SIZE = CONTENT_HASH_BYTES * 2 + 1,
};

/**
 * struct head_profile - a profile of a version
 * @name: name of the profile
 * @hash: hash of the text of the profile, from content_hash()
 * @set_in: version that last set the profile
 */
struct head_profile {
	char name[PROFILE_NAME_SIZE];
	uint8_t hash[CONTENT_HASH_BYTES];
	uint64_t set_in;
};

/**
 * struct head_removed - a profile that was removed
 * @name: name of the profile
 * @removed_in: version that removed the profile
 */
struct head_removed {
	char name[PROFILE_NAME_SIZE];
	uint64_t removed_in;
};

/**
 * struct head - one version, without the texts of the profiles
 * @version: number of the version; 0 if no version was ever accepted
 * @chain: chain hash, over all other content of the head
 * @previous: chain hash of the previous version; all zeros if there is none
 * @author: operator who accepted the version
 * @accepted_ms: wall clock time of the acceptance in milliseconds; only shown
 *	to operators
 * @accept_ids: acceptance ids of this version and of the versions before,
 *	newest first: accept_ids[i] belongs to the version @version - i
 * @removed: removed profiles, newest first; a node that missed a version finds
 *	the removals of that version here
 * @accept_id_count: number of entries in @accept_ids
 * @removed_count: number of entries in @removed
 * @profiles: array of @profile_count entries, sorted by name
 * @profile_count: number of profiles
 * @profile_capacity: number of entries allocated for @profiles
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

/** head_init() - sets @head to version 0, the head without any acceptance. */
void head_init(struct head *head);

/** head_finish() - frees the profiles of @head and resets it to version 0. */
void head_finish(struct head *head);

/** head_copy() - copies @from into @head, which must hold no profiles. */
void head_copy(struct head *head, const struct head *from);

/**
 * head_decode() - decodes a whole head and checks its chain hash
 * @head: receives the head, for head_finish(); version 0 after an error
 * @err: ERROR_INVALID, ERROR_LIMIT, or ERROR_NOT_FOUND if @bytes hold changes
 *	instead of a whole head
 *
 * Members that are unknown, missing or listed twice are errors.
 */
bool head_decode(struct head *head, const void *bytes, size_t size,
		 struct error *err);

/**
 * head_encode() - encodes a whole head as canonical JSON
 * @size: receives the number of bytes
 *
 * Return: the bytes; the caller frees them.
 */
uint8_t *head_encode(const struct head *head, size_t *size);

/**
 * head_encode_since() - encodes the changes made after @version
 * @size: receives the number of bytes
 *
 * Return: the bytes; the caller frees them. They hold the whole head if @head
 * does not list all changes made after @version.
 */
uint8_t *head_encode_since(const struct head *head, uint64_t version,
			   size_t *size);

/**
 * head_decode_onto() - decodes a whole head, or changes relative to @base
 * @head: receives the whole head, for head_finish(); version 0 after an error
 * @base: the head to which changes are applied
 * @err: ERROR_INVALID or ERROR_LIMIT as in head_decode(); ERROR_NOT_FOUND if
 *	the changes do not apply to @base: they start after its version, are
 *	not newer, or belong to another history
 */
bool head_decode_onto(struct head *head, const struct head *base,
		      const void *bytes, size_t size, struct error *err);

/**
 * head_has_no_previous() - returns true if @head names no previous version
 *
 * This holds for the first version, and for versions that the platform builds
 * from one document, which has no history.
 */
bool head_has_no_previous(const struct head *head);

/** head_seal() - computes the chain hash and stores it in @head. */
void head_seal(struct head *head);

/** head_find() - returns the profile @name, or NULL. */
const struct head_profile *head_find(const struct head *head, const char *name);

/**
 * head_accepted_in() - finds the version that an acceptance created
 *
 * Return: the version, or 0 if @accept_id is not in head.accept_ids.
 */
uint64_t head_accepted_in(const struct head *head, const char *accept_id);

/**
 * head_advance() - turns @head into the next version
 * @accept_id: id of the acceptance; must satisfy accept_id_valid()
 * @accepted_ms: wall clock time of the acceptance in milliseconds
 *
 * The caller then sets and removes profiles and calls head_seal().
 */
void head_advance(struct head *head, const char *accept_id, const char *author,
		  int64_t accepted_ms);

/**
 * head_set() - sets the text of the profile @name, or adds the profile
 * @hash: hash of the text
 * @err: ERROR_LIMIT if @head already has HEAD_PROFILES_MAX profiles
 */
bool head_set(struct head *head, const char *name,
	      const uint8_t hash[CONTENT_HASH_BYTES], struct error *err);

/** head_remove() - removes the profile @name; no effect if there is none. */
void head_remove(struct head *head, const char *name);

/** content_hash() - computes the hash under which a text is stored. */
void content_hash(const void *text, size_t size,
		  uint8_t hash[CONTENT_HASH_BYTES]);

/** hash_format() - writes @hash as lower-case hexadecimal; returns @text. */
char *hash_format(const uint8_t hash[CONTENT_HASH_BYTES],
		  char text[HASH_TEXT_SIZE]);

/**
 * hash_parse() - parses a hash
 *
 * Return: false if @text is not in the form that hash_format() writes.
 */
bool hash_parse(const char *text, uint8_t hash[CONTENT_HASH_BYTES]);

/**
 * accept_id_valid() - returns true if @id is a valid acceptance id
 *
 * Valid are 1 to ACCEPT_ID_SIZE - 1 letters, digits and "-".
 */
bool accept_id_valid(const char *id);

#endif
