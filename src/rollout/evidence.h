#ifndef ROLLOUT_REQUEST_STATS_H
#define ROLLOUT_REQUEST_STATS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: rollout evidence
 *
 * How the requests at one upstream ended, by kind, counted by the node beside
 * it. Only that node sees all of them. Times are counted by the edges that
 * they have reached, while a request still runs: of a version that has become
 * eight times slower the first answers come seconds too late to stop it.
 * Decision core.
 */

enum {
	REQUEST_STATS_KINDS_MAX = 8,
	REQUEST_STATS_EDGES = 24,
};

/**
 * struct request_stats_kind - requests of one kind since the evidence began
 * @kind: hash of its name
 * @finished: answered by the upstream, or broken off by it
 * @failed: of these, those that told of a failure or were broken off
 * @timed: of these, those whose time counts
 * @reached: requests whose time counts and has reached each edge, those that
 *	still run among them
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
 * @epoch: differs each time that the counts begin anew
 * @started: requests handed to the upstream
 */
struct request_stats {
	uint64_t epoch;
	uint32_t started;
	uint32_t kind_count;
	struct request_stats_kind kinds[REQUEST_STATS_KINDS_MAX];
};

/** request_stats_edge_us() - of times, growing by a third from edge to edge. */
int64_t request_stats_edge_us(uint32_t edge);

/** request_stats_init() - begin anew, for another start of the upstream. */
void request_stats_init(struct request_stats *request_stats, uint64_t epoch);

/** request_stats_kind_hash() - the hash of a kind's name. */
uint64_t request_stats_kind_hash(const char *kind);

/** request_stats_add_started() - a request was handed to the upstream. */
void request_stats_add_started(struct request_stats *request_stats);

/**
 * request_stats_add_elapsed() - a request has run for @took_us
 * @edges: those that were counted for it before; brought up to date
 */
void request_stats_add_elapsed(struct request_stats *request_stats,
			       uint64_t kind, uint8_t *edges, int64_t took_us);

/**
 * request_stats_add_finished() - a request has ended, after
 * request_stats_add_elapsed()
 * @timed: its time counts
 */
void request_stats_add_finished(struct request_stats *request_stats,
				uint64_t kind, bool failed, bool timed);

/** request_stats_find() - by the hash of a kind, or NULL. */
const struct request_stats_kind *
request_stats_find(const struct request_stats *request_stats, uint64_t kind);

#endif
