#ifndef PROFILE_KEEPER_H
#define PROFILE_KEEPER_H

#include <stdbool.h>
#include <stddef.h>
#include <jansson.h>
#include <stdint.h>

#include "base/error.h"
#include "profile/config.h"
#include "profile/head.h"

/**
 * DOC: keeper
 *
 * Holds the version in force together with the bytes it was made of, and
 * takes a newer one whole or not at all: head, every missing body by hash,
 * hashes checked, parsed, references checked; then one pointer is swapped.
 * A version at or below the one in force is ignored. No I/O: whoever has the
 * bytes (the reader of the platform's service, a peer) hands them in.
 */

/**
 * typedef keeper_changed_fn - a newer version has come into force
 *
 * Called as the last thing that keeper_offer_head() or keeper_offer_body()
 * does, pools before routes is up to the order of the observers. It must not
 * offer anything to the keeper itself.
 */
typedef void keeper_changed_fn(struct config *config, void *data);

/** struct keeper_observer - who wants to know; memory owned by the observer */
struct keeper_observer {
	keeper_changed_fn *changed;
	void *data;
	struct keeper_observer *next;
};

struct keeper_body;

/**
 * struct keeper - what is in force and what is in the making
 * @head_bytes: of @head, once somebody has asked for them
 * @bodies: by hash, of the version in force and of the one in the making
 * @missing_count: bodies that the version in the making lacks
 * @refused_version: newest version that was refused, 0 if none since
 * @refusal: why
 * @older_heads: heads that came from the platform's service and were older
 *	than what is in force
 * @forks: heads whose history is not the one in force here
 * @offered_version: of the head that was offered last
 */
struct keeper {
	struct config *config;
	struct head head;
	uint8_t *head_bytes;
	size_t head_size;
	struct head pending;
	bool is_pending;
	struct keeper_body *bodies;
	uint32_t body_count;
	size_t body_bytes;
	uint32_t missing_count;
	struct keeper_observer *observers;
	uint64_t refused_version;
	uint8_t refused_chain[CHAIN_HASH_BYTES];
	struct error refusal;
	uint64_t older_heads;
	uint64_t forks;
	uint64_t offered_version;
};

void keeper_init(struct keeper *keeper);

/** keeper_finish() - free it; versions that others hold live on. */
void keeper_finish(struct keeper *keeper);

/** keeper_observe() - call @observer with each version from now on. */
void keeper_observe(struct keeper *keeper, struct keeper_observer *observer);

/** enum keeper_offer_result - what became of a head that was handed in. */
enum keeper_offer_result {
	KEEPER_IGNORED, /* not newer than what is in force or in the making */
	KEEPER_INCOMPLETE, /* taken up; bodies are missing, see keeper_missing()
			    */
	KEEPER_IN_FORCE,   /* nothing was missing: it is in force now */
	KEEPER_REFUSED,	   /* invalid; the node stays where it is, see @err */
};

/**
 * keeper_offer_head() - a head has come, from the platform or from a peer
 *
 * Takes a whole head or what keeper_head_since() made. The latter is refused
 * with ERROR_NOT_FOUND if it starts from a version that is not in force here
 * yet: ask for the whole head then.
 */
enum keeper_offer_result keeper_offer_head(struct keeper *keeper,
					   const void *head, size_t size,
					   struct error *err);

/**
 * keeper_offer_body() - a body has come; hash and need are checked
 *
 * Bytes whose hash is not missing are ignored, whoever sent them.
 */
enum keeper_offer_result keeper_offer_body(struct keeper *keeper,
					   const void *body, size_t size,
					   struct error *err);

/**
 * keeper_missing() - hashes of bodies that the version in the making lacks
 *
 * Return: how many there are, of which up to @most are written.
 */
uint32_t keeper_missing(const struct keeper *keeper,
			uint8_t (*hashes)[CONTENT_HASH_BYTES], uint32_t most);

/** keeper_pending_version() - the version in the making, 0 if none. */
uint64_t keeper_pending_version(const struct keeper *keeper);

/** keeper_config() - the version in force, NULL before the first. */
struct config *keeper_config(const struct keeper *keeper);

/**
 * keeper_head() - the bytes of the head in force, NULL before the first
 *
 * Written when they are first asked for; valid until the next version.
 */
const uint8_t *keeper_head(struct keeper *keeper, size_t *size);

/**
 * keeper_head_since() - what a node at @version lacks of the head in force
 *
 * Some hundred bytes in place of tens of kilobytes. The result is checked
 * by the chain hash like a whole head.
 *
 * Return: to be freed by the caller; NULL if nothing newer is in force. It
 * is the whole head where @version is too old or 0.
 */
uint8_t *keeper_head_since(const struct keeper *keeper, uint64_t version,
			   size_t *size);

/** keeper_count_older_head() - the platform's service has returned an older
 * head. */
void keeper_count_older_head(struct keeper *keeper, uint64_t version);

/** keeper_dump() - its state for people, to be freed by json_decref(). */
json_t *keeper_dump(const struct keeper *keeper);

/**
 * keeper_packed() - as keeper_body(), but packed for the network
 * @size: of the body itself
 */
const uint8_t *keeper_packed(const struct keeper *keeper,
			     const uint8_t hash[CONTENT_HASH_BYTES],
			     size_t *packed_size, size_t *size);

/** keeper_body() - a body in force by its hash, NULL if it is not held. */
const uint8_t *keeper_body(const struct keeper *keeper,
			   const uint8_t hash[CONTENT_HASH_BYTES],
			   size_t *size);

#endif
