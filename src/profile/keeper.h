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
 * Holds the version in force together with the bytes from which the version
 * was built, and applies a newer version atomically: the keeper takes the head
 * and every missing body, checks the hashes, parses the profiles, checks their
 * references, and then swaps one pointer. A version at or below the version in
 * force is ignored. The keeper does no I/O: its callers (the reader of the
 * platform's service, the exchange with peers) offer the bytes.
 */

/**
 * typedef keeper_changed_fn - callback for a newer version in force
 *
 * Called as the last step of keeper_offer_head() or keeper_offer_body(), in
 * the order in which the observers were added. The callback must not offer
 * anything to the keeper.
 */
typedef void keeper_changed_fn(struct config *config, void *data);

/** struct keeper_observer - list entry; its memory belongs to the observer. */
struct keeper_observer {
	keeper_changed_fn *changed;
	void *data;
	struct keeper_observer *next;
};

struct keeper_body;

/**
 * struct keeper - the version in force and the pending version
 * @config: version in force; NULL before the first version
 * @head: head of the version in force
 * @head_bytes: encoded @head; NULL until keeper_head() encodes it
 * @head_size: size of @head_bytes in bytes
 * @pending: head of the pending version, valid if @is_pending
 * @is_pending: a version is pending: some of its bodies are missing
 * @bodies: bodies of the version in force and of the pending version, by hash
 * @body_count: number of entries in @bodies, with the missing bodies
 * @body_bytes: total size of @bodies in bytes
 * @missing_count: number of bodies that the pending version lacks
 * @observers: observers in the order in which they were added
 * @refused_version: version that was refused last; 0 if no version was refused
 *	since the version in force was applied
 * @refused_chain: chain hash of @refused_version
 * @refusal: reason why @refused_version was refused
 * @older_heads: number of heads from the platform's service that were older
 *	than the version in force
 * @forks: number of heads whose history differs from the history of the
 *	version in force
 * @offered_version: version of the head that was offered last
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

/**
 * keeper_finish() - frees what the keeper holds
 *
 * A version to which other holders have references stays valid.
 */
void keeper_finish(struct keeper *keeper);

/** keeper_observe() - calls @observer for each version applied from now on. */
void keeper_observe(struct keeper *keeper, struct keeper_observer *observer);

/** enum keeper_offer_result - result of an offer to the keeper. */
enum keeper_offer_result {
	KEEPER_IGNORED,	   /* the head is older, the body not missing */
	KEEPER_INCOMPLETE, /* bodies of the pending version are missing */
	KEEPER_IN_FORCE,   /* the version is complete and was applied */
	KEEPER_REFUSED,	   /* invalid, see @err; the version in force stays */
};

/**
 * keeper_offer_head() - takes a head from the platform or from a peer
 *
 * @head holds a full head or the result of keeper_head_since(). The latter is
 * refused with ERROR_NOT_FOUND if its changes start from a version newer than
 * the version in force; the caller then requests the full head.
 */
enum keeper_offer_result keeper_offer_head(struct keeper *keeper,
					   const void *head, size_t size,
					   struct error *err);

/**
 * keeper_offer_body() - takes a body of the pending version
 *
 * A body whose computed hash is not among the missing hashes is ignored.
 */
enum keeper_offer_result keeper_offer_body(struct keeper *keeper,
					   const void *body, size_t size,
					   struct error *err);

/**
 * keeper_missing() - lists hashes of bodies that the pending version lacks
 *
 * Return: number of missing bodies; at most @max of their hashes are written.
 */
uint32_t keeper_missing(const struct keeper *keeper,
			uint8_t (*hashes)[CONTENT_HASH_BYTES], uint32_t max);

/** keeper_pending_version() - returns the pending version, 0 if none. */
uint64_t keeper_pending_version(const struct keeper *keeper);

/** keeper_config() - returns the version in force, NULL before the first. */
struct config *keeper_config(const struct keeper *keeper);

/**
 * keeper_head() - returns the encoded head of the version in force
 *
 * The first call for a version encodes the head.
 *
 * Return: bytes that stay valid until the next version is applied; NULL before
 * the first version.
 */
const uint8_t *keeper_head(struct keeper *keeper, size_t *size);

/**
 * keeper_head_since() - encodes the changes of the head since @version
 *
 * The changes are much smaller than the full head. The receiver checks them by
 * the chain hash, as a full head.
 *
 * Return: bytes to be freed by the caller; NULL if the version in force is not
 * newer than @version. The result is the full head if @version is 0 or too
 * old.
 */
uint8_t *keeper_head_since(const struct keeper *keeper, uint64_t version,
			   size_t *size);

/**
 * keeper_count_older_head() - counts and logs an older head
 * @version: of the head that the platform's service returned
 */
void keeper_count_older_head(struct keeper *keeper, uint64_t version);

/** keeper_dump() - returns the state, to be freed by json_decref(). */
json_t *keeper_dump(const struct keeper *keeper);

/**
 * keeper_compressed_body() - as keeper_body(), but compressed by
 * compress_bytes()
 * @compressed_size: set to the size of the compressed body in bytes
 * @size: set to the size of the uncompressed body in bytes
 */
const uint8_t *keeper_compressed_body(const struct keeper *keeper,
				      const uint8_t hash[CONTENT_HASH_BYTES],
				      size_t *compressed_size, size_t *size);

/**
 * keeper_set_compressed() - stores the compressed form of a body that is held
 * @compressed: result of compress_bytes() for the body; copied
 *
 * Without it, the first keeper_compressed_body() compresses the body.
 */
void keeper_set_compressed(struct keeper *keeper,
			   const uint8_t hash[CONTENT_HASH_BYTES],
			   const void *compressed, size_t compressed_size);

/** keeper_body() - returns a body by its hash, NULL if it is not held. */
const uint8_t *keeper_body(const struct keeper *keeper,
			   const uint8_t hash[CONTENT_HASH_BYTES],
			   size_t *size);

#endif
