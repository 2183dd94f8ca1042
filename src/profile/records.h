#ifndef PROFILE_RECORDS_H
#define PROFILE_RECORDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"
#include "store/store.h"
#include "profile/editor.h"
#include "profile/head.h"

/**
 * DOC: records
 *
 * What the editor keeps in the platform's service beside the head, as
 * canonical JSON:
 *
 *	body/HASH	text of a profile, immutable
 *	drafts		all drafts, by compare-and-swap
 *	change/CHAIN	what one version changed, immutable, by its chain hash
 *	history/NAME	last versions of one profile, newest first; written
 *			after the version, and mended from the head by the next
 *			writer when that write was lost
 */

enum { RECORD_BYTES_MAX = 512 * 1024 };

#define KEY_DRAFTS "drafts"

/** key_body() - where the text of @hash is stored; returns @key. */
char *key_body(const uint8_t hash[CONTENT_HASH_BYTES],
	       char key[STORE_KEY_SIZE]);

/** key_change() - where the change of a version is stored. */
char *key_change(const uint8_t chain[CHAIN_HASH_BYTES],
		 char key[STORE_KEY_SIZE]);

/** key_history() - where the history of a profile is stored. */
char *key_history(const char *name, char key[STORE_KEY_SIZE]);

/** struct drafts - all drafts; caller-owned, DRAFTS_MAX of them at most. */
struct drafts {
	struct editor_draft *items;
	uint32_t count;
};

void drafts_finish(struct drafts *drafts);
bool drafts_decode(struct drafts *drafts, const void *bytes, size_t size,
		   struct error *err);
uint8_t *drafts_encode(const struct drafts *drafts, size_t *size);

/** drafts_find() - the draft of an author for a profile, or NULL. */
struct editor_draft *drafts_find(const struct drafts *drafts, const char *name,
				 const char *author);

/** drafts_set() - add or replace; false with ERROR_LIMIT if there is no room */
bool drafts_set(struct drafts *drafts, const struct editor_draft *draft,
		struct error *err);

void drafts_remove(struct drafts *drafts, struct editor_draft *draft);

/**
 * struct changes - what versions did, newest first
 * @previous: chain hash of the version before, for a record of one version
 */
struct changes {
	struct editor_change *items;
	uint32_t count;
	uint8_t previous[CHAIN_HASH_BYTES];
};

void changes_finish(struct changes *changes);
void changes_add(struct changes *changes, const struct editor_change *change);

/** changes_encode() - a record of one version, or a profile's history. */
uint8_t *changes_encode(const struct changes *changes, size_t *size);
bool changes_decode(struct changes *changes, const void *bytes, size_t size,
		    struct error *err);

#endif
