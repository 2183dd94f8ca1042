#ifndef STORE_DEFS_H
#define STORE_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: store definitions
 *
 * Calls to the platform's key-value service and how they end, apart from the
 * client that makes them: decision cores need no more, and whoever embeds one
 * has a client of their own.
 */

enum {
	STORE_KEY_SIZE = 200,
	STORE_HOLDER_SIZE = 192,
	STORE_VALUE_MAX = 1024 * 1024,
};

/** The key of the newest version's head. */
#define KEY_HEAD "head"
/** Below it, by service, the orders of roll-outs that operators have given. */
#define KEY_ORDERS "rollout-orders/"
/** Below it, by service, how far the roll-out that was ordered has come. */
#define KEY_ROLLOUTS "rollouts/"

/** enum store_kind - what a call does. */
enum store_kind {
	STORE_GET,
	STORE_PUT,   /* compare-and-swap */
	STORE_WATCH, /* wait until the key is newer than a revision */
	STORE_LIST,  /* all keys that begin with @key, a page at a time */
	STORE_ACQUIRE,
	STORE_RENEW,
	STORE_RELEASE,
	STORE_KINDS,
};

/** enum store_outcome - what is known of a call's effect. */
enum store_outcome {
	STORE_TOOK_EFFECT, /* for reads: it was answered */
	STORE_NO_EFFECT,
	STORE_UNKNOWN, /* the answer was lost; it may yet take effect */
};

/** enum store_reason - why a call did not take effect. */
enum store_reason {
	STORE_OK,
	STORE_ABSENT,	   /* no such key */
	STORE_CONFLICT,	   /* the revision is another: see @revision */
	STORE_NOT_NEWER,   /* a watch ended: see @revision */
	STORE_COMPACTED,   /* a watch from a revision that is forgotten */
	STORE_HELD,	   /* the lease is somebody else's, or lapsed */
	STORE_UNREACHABLE, /* down, or refuses */
	STORE_TIMED_OUT,   /* deadline or budget ran out */
	STORE_REJECTED,	   /* the service finds the request invalid */
};

/**
 * struct store_request - one call; everything is copied
 * @revision: PUT: what the key must have, 0 for none; WATCH: newer than this
 * @wait_ms: WATCH: how long the service may hold the call
 * @holder: leases: unique for each start of a process, so that a successor
 *	does not take its predecessor's lease for its own
 * @deadline_ms: for all tries together; 0 for the store's default
 * @with_orders: WATCH of the head: also wait for changes below KEY_ORDERS,
 *	which come as items; one waiting call is paid for and not two
 * @after: LIST: go on behind this key; NULL: from the first
 * @allow_stale: GET, LIST: what was replaced seconds ago will do; services
 *	that have cheaper reads of this kind use one
 */
struct store_request {
	enum store_kind kind;
	const char *key;
	const void *value;
	size_t size;
	uint64_t revision;
	int64_t wait_ms;
	const char *holder;
	int64_t ttl_ms;
	uint64_t token;
	int64_t deadline_ms;
	bool with_orders;
	const char *after;
	bool allow_stale;
};

/**
 * struct store_item - one key of several that an answer tells of
 * @removed: it is no longer there; there is no value
 */
struct store_item {
	char key[STORE_KEY_SIZE];
	const uint8_t *value;
	size_t size;
	uint64_t revision;
	bool removed;
};

/**
 * struct store_result - how a call ended; valid during the callback
 * @value: GET and WATCH that took effect
 * @items: LIST, and WATCH with_orders whatever its outcome; in order of change
 * @more: LIST: there are further keys behind the last one
 * @revision: of the key, where the service told it
 * @token: fencing token of a lease that is held
 * @holder: STORE_HELD: who holds it, may be ""
 * @remaining_ms: STORE_HELD: how long yet, 0 if not told
 * @sent_us: monotonic time before the last try was sent
 */
struct store_result {
	enum store_outcome outcome;
	enum store_reason reason;
	const uint8_t *value;
	size_t size;
	const struct store_item *items;
	uint32_t item_count;
	bool more;
	uint64_t revision;
	uint64_t token;
	char holder[STORE_HOLDER_SIZE];
	int64_t remaining_ms;
	int64_t sent_us;
	struct error err;
};

#endif
