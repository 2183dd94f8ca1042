#ifndef STORE_DEFS_H
#define STORE_DEFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: store definitions
 *
 * Requests to the platform's key-value service and their results, without the
 * client: decision cores need only these definitions, and a program that embeds
 * a decision core has its own client.
 */

enum {
	STORE_KEY_SIZE = 200,
	STORE_HOLDER_SIZE = 192,
	STORE_VALUE_MAX = 1024 * 1024,
};

/** Key of the head of the newest version. */
#define KEY_HEAD "head"
/** Prefix of the keys of roll-outs ordered by operators, one per service. */
#define KEY_ORDERS "rollout-orders/"
/** Prefix of the keys of the progress of these roll-outs, one per service. */
#define KEY_ROLLOUTS "rollouts/"

/** enum store_kind - operation of a call. */
enum store_kind {
	STORE_GET,
	STORE_PUT,   /* compare-and-swap */
	STORE_WATCH, /* wait for a newer revision of the key */
	STORE_LIST,  /* one page of the keys with prefix @key */
	STORE_ACQUIRE,
	STORE_RENEW,
	STORE_RELEASE,
	STORE_KINDS,
};

/** enum store_outcome - whether a call took effect. */
enum store_outcome {
	STORE_TOOK_EFFECT, /* reads: the answer has arrived */
	STORE_NO_EFFECT,
	STORE_UNKNOWN, /* the answer was lost; the call may still take effect */
};

/** enum store_reason - why a call did not succeed. */
enum store_reason {
	STORE_OK,
	STORE_ABSENT,	 /* no such key */
	STORE_CONFLICT,	 /* the key has another revision, see @revision */
	STORE_NOT_NEWER, /* a watch timed out, see @revision */
	STORE_COMPACTED, /* a watch from a revision no longer stored */
	STORE_HELD, /* another holder has the lease, or the lease expired */
	STORE_UNREACHABLE, /* the service is down or refuses calls */
	STORE_TIMED_OUT,   /* deadline passed or no token available */
	STORE_REJECTED,	   /* the service found the request invalid */
};

/**
 * struct store_request - one call; store_send() copies everything
 * @key: key, prefix of the keys for LIST, name of a lease
 * @value: PUT: new value of the key
 * @size: size of @value, in bytes
 * @revision: PUT: revision that the key must have, 0 if the key must not exist;
 *	WATCH: wait for a revision newer than this revision
 * @wait_ms: WATCH: how long the service may hold the call, in milliseconds
 * @holder: leases: unique for each incarnation of a process, so that a
 *	successor does not regard the lease of its predecessor as its own
 * @ttl_ms: leases: requested time to live, in milliseconds
 * @token: leases: fencing token, 0 for none
 * @deadline_ms: time for all attempts together, in milliseconds; 0 for the
 *	default of the store
 * @with_orders: WATCH of the head: also wait for changes of keys with prefix
 *	KEY_ORDERS, which are returned as items; saves a second waiting call
 * @after: LIST: start after this key; NULL to start from the first key
 * @allow_stale: GET, LIST: a value that was replaced seconds ago is acceptable;
 *	a service with cheaper stale reads uses such a read
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
 * struct store_item - one of several keys in an answer
 * @value: value of the key; not set if @removed
 * @size: size of @value, in bytes
 * @revision: revision of the key
 * @removed: the key has been removed
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
 * @value: GET and WATCH that took effect: value of the key
 * @size: size of @value, in bytes
 * @items: LIST, and WATCH with_orders whatever its outcome: keys in the order
 *	of their changes
 * @item_count: number of @items
 * @more: LIST: there are further keys after the last item
 * @revision: revision of the key, 0 if the service did not send a revision
 * @token: fencing token of the acquired or renewed lease
 * @holder: STORE_HELD: current holder, may be ""
 * @remaining_ms: STORE_HELD: remaining time of the lease, in milliseconds; 0 if
 *	unknown
 * @sent_us: monotonic time before the last attempt was sent
 * @err: error text, set unless the call took effect
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
