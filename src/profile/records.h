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
 * Records that the editor stores in the platform's service in addition to the
 * head. All but the body are canonical JSON:
 *
 *	body/HASH	text of a profile under its hash, immutable
 *	drafts		all drafts, written by compare-and-swap
 *	change/CHAIN	changes of one version under its chain hash, immutable
 *	history/NAME	last versions of one profile, newest first; written
 *			after the version; if this write is lost, the next
 *			writer completes the history from the head
 */

enum { RECORD_BYTES_MAX = 512 * 1024 };

#define KEY_DRAFTS "drafts"

/** key_body() - format the key of the text with @hash; returns @key. */
char *key_body(const uint8_t hash[CONTENT_HASH_BYTES],
	       char key[STORE_KEY_SIZE]);

/**
 * key_change() - format the key of the changes of a version
 * @chain: chain hash of the version
 *
 * Return: @key
 */
char *key_change(const uint8_t chain[CHAIN_HASH_BYTES],
		 char key[STORE_KEY_SIZE]);

/** key_history() - format the key of a profile's history; returns @key. */
char *key_history(const char *name, char key[STORE_KEY_SIZE]);

/**
 * struct drafts - all drafts
 * @items: drafts, owned by the struct; freed by drafts_finish()
 * @count: number of @items, at most DRAFTS_MAX
 */
struct drafts {
	struct editor_draft *items;
	uint32_t count;
};

void drafts_finish(struct drafts *drafts);
bool drafts_decode(struct drafts *drafts, const void *bytes, size_t size,
		   struct error *err);
uint8_t *drafts_encode(const struct drafts *drafts, size_t *size);

/** drafts_find() - return the draft of @author for profile @name, or NULL. */
struct editor_draft *drafts_find(const struct drafts *drafts, const char *name,
				 const char *author);

/**
 * drafts_set() - add a draft, or replace the author's draft of the profile
 * @err: ERROR_LIMIT if there are already DRAFTS_MAX drafts
 *
 * Return: false if @err was set
 */
bool drafts_set(struct drafts *drafts, const struct editor_draft *draft,
		struct error *err);

void drafts_remove(struct drafts *drafts, struct editor_draft *draft);

/**
 * struct changes - changes of profiles: of one version, or the history of one
 * profile with the newest change first
 * @items: changes, owned by the struct; freed by changes_finish()
 * @count: number of @items
 * @previous: chain hash of the previous version in a record of one version;
 *	all zero in a history
 */
struct changes {
	struct editor_change *items;
	uint32_t count;
	uint8_t previous[CHAIN_HASH_BYTES];
};

void changes_finish(struct changes *changes);
void changes_add(struct changes *changes, const struct editor_change *change);

/**
 * changes_encode() - encode a record of one version or a profile's history
 *
 * Return: canonical JSON of @size bytes, to be freed by the caller
 */
uint8_t *changes_encode(const struct changes *changes, size_t *size);
bool changes_decode(struct changes *changes, const void *bytes, size_t size,
		    struct error *err);

#endif
