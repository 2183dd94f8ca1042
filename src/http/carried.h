#ifndef HTTP_CARRIED_H
#define HTTP_CARRIED_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"

/**
 * DOC: carried requests
 *
 * IDs of the requests that a connection has carried. A server may send a second
 * copy of an answer, which arrives where the next answer is expected and is
 * told apart by the ID of its request alone. A further attempt at the same
 * request has the same ID and therefore needs another connection. Has no I/O
 * and no clock.
 */

enum {
	/* A connection that has carried more requests than this, all of which
	 * may still be repeated, is not reused. */
	CARRIED_MAX = 256,
	/* Number of the latest requests that count beyond their time: a copy
	 * is due before one of the next answers, however late these are. */
	CARRIED_LAST = 8,
};

/**
 * struct carried - requests of one connection, the oldest first
 * @entries: hash of each ID and the end of its time
 */
struct carried {
	struct buffer entries;
};

void carried_init(struct carried *carried);
void carried_finish(struct carried *carried);

/**
 * carried_add() - adds a request
 * @id: value of the field that answers repeat
 * @until_us: time after which no attempt at the request begins, in microseconds
 */
void carried_add(struct carried *carried, const char *id, int64_t until_us);

/** carried_has() - returns true if another attempt at a request was carried. */
bool carried_has(const struct carried *carried, const char *id, int64_t now_us);

/** carried_is_full() - returns true if no further request can be added. */
bool carried_is_full(struct carried *carried, int64_t now_us);

#endif
