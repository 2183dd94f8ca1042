#ifndef ROUTE_LEAVING_H
#define ROUTE_LEAVING_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: leaving
 *
 * Incarnations of upstreams that have said in an answer that they leave. The
 * node beside an upstream may restart and forget it, so each node remembers
 * what it has passed on itself. Bounded: the oldest entry is replaced.
 */

enum { LEAVING_MAX = 256 };

/**
 * struct leaving_set - see DOC; all zero is empty
 * @starts: ids of incarnations, as record.upstream_start
 * @next: index of the entry that is replaced next
 */
struct leaving_set {
	uint64_t starts[LEAVING_MAX];
	uint32_t next;
};

/** leaving_add() - adds an incarnation; returns false if it was known. */
bool leaving_add(struct leaving_set *leaving, uint64_t start);

bool leaving_has(const struct leaving_set *leaving, uint64_t start);

#endif
