#ifndef NODE_STOP_TIMES_H
#define NODE_STOP_TIMES_H

#include <stdint.h>

/**
 * DOC: stop times
 *
 * Derives the times of a graceful shutdown from the grace period, after which
 * the platform kills the process.
 */

enum {
	/* Longest linger time: callers learn from two failed readiness checks,
	 * one a second, that a node is stopping. */
	STOP_LINGER_MAX_MS = 2300,
	/* Time for which callers are served after the upstream beside the node
	 * has stopped getting new work. */
	STOP_KEEP_MARGIN_MS = 300,
	/* Grace period of the target platform, where it does not name one. */
	STOP_GRACE_DEFAULT_MS = 6000,
};

/** stop_times_work_ms() - time from the signal until work is cancelled, so that
 * a process ends within @grace_ms. */
int64_t stop_times_work_ms(int64_t grace_ms);

/** stop_times_linger_ms() - linger time for a grace period of @grace_ms. */
int64_t stop_times_linger_ms(int64_t grace_ms);

/** stop_times_keep_upstream_ms() - keep_upstream_ms for a linger time. */
int64_t stop_times_keep_upstream_ms(int64_t linger_ms);

/** stop_times_drain_ms() - drain time for a grace period and a linger time. */
int64_t stop_times_drain_ms(int64_t grace_ms, int64_t linger_ms);

#endif
