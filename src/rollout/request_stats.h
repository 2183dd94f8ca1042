#ifndef ROLLOUT_REQUEST_STATS_H
#define ROLLOUT_REQUEST_STATS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: rollout request statistics
 *
 * Counts how the requests at one upstream ended, by kind. The node beside the
 * upstream keeps the counts, because only that node sees all requests. Elapsed
 * times are counted in a cumulative histogram while a request still runs: if a
 * version becomes much slower, its first answers would come too late to stop
 * the version in time. No sockets, no clock.
 */

enum {
	REQUEST_STATS_KINDS_MAX = 8,
	REQUEST_STATS_EDGES = 24,
};

/**
 * struct request_stats_kind - requests of one kind since the epoch began
 * @kind: hash of the name of the kind
 * @finished: number of requests that the upstream answered or aborted
 * @failed: number of finished requests that were aborted or whose answer was a
 *	failure
 * @timed: number of finished requests whose time counts
 * @reached: number of requests, also of running ones, whose time counts and
 *	has reached each edge
 */
struct request_stats_kind {
	uint64_t kind;
	uint32_t finished;
	uint32_t failed;
	uint32_t timed;
	uint32_t reached[REQUEST_STATS_EDGES];
};

/**
 * struct request_stats - see DOC
 * @epoch: changes each time the counts restart from 0
 * @started: number of requests sent to the upstream
 * @kind_count: number of entries in @kinds
 * @kinds: counts by kind; kinds beyond REQUEST_STATS_KINDS_MAX are counted in
 *	the last entry
 */
struct request_stats {
	uint64_t epoch;
	uint32_t started;
	uint32_t kind_count;
	struct request_stats_kind kinds[REQUEST_STATS_KINDS_MAX];
};

/**
 * request_stats_edge_us() - Returns an edge of the histogram in microseconds.
 *
 * The edges grow geometrically.
 */
int64_t request_stats_edge_us(uint32_t edge);

/** request_stats_init() - Resets all counts and sets the epoch. */
void request_stats_init(struct request_stats *request_stats, uint64_t epoch);

/** request_stats_kind_hash() - Returns the hash of the name of a kind. */
uint64_t request_stats_kind_hash(const char *kind);

/** request_stats_add_started() - Counts a request sent to the upstream. */
void request_stats_add_started(struct request_stats *request_stats);

/**
 * request_stats_add_elapsed() - Counts the edges that a request has reached.
 * @edges: number of edges counted for the request so far; updated
 * @took_us: time since the request began, in microseconds
 */
void request_stats_add_elapsed(struct request_stats *request_stats,
			       uint64_t kind, uint8_t *edges, int64_t took_us);

/**
 * request_stats_add_finished() - Counts a request that has ended.
 * @failed: whether the request was aborted or its answer was a failure
 * @timed: whether the time of the request counts
 *
 * Call request_stats_add_elapsed() first for a request whose time counts.
 */
void request_stats_add_finished(struct request_stats *request_stats,
				uint64_t kind, bool failed, bool timed);

/** request_stats_find() - Returns the counts of a kind by hash, or NULL. */
const struct request_stats_kind *
request_stats_find(const struct request_stats *request_stats, uint64_t kind);

#endif
