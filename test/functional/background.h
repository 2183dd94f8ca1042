#ifndef FUNCTIONAL_BACKGROUND_H
#define FUNCTIONAL_BACKGROUND_H

#include <pthread.h>

#include "fleet/cluster.h"

/**
 * DOC: background
 *
 * Calls that are in progress while a functional test brings a fault about,
 * and the waiting for what it is about to see.
 */

enum { BACKGROUND_WAIT_MS = 20000 };

/** struct background_call - one call in a thread of its own. */
struct background_call {
	struct fetch fetch;
	char host[96];
	char id[64];
	pthread_t thread;
	bool complete;
};

/**
 * background_begin() - POST to @service by node @i
 * @id: X-Request-Id, by which the upstream counts it
 */
void background_begin(struct background_call *call,
		      const struct cluster *cluster, uint32_t i,
		      const char *service, const char *path, const char *id);

/** background_wait() - wait for its end; true if a whole answer came. */
bool background_wait(struct background_call *call);

/** background_finish() - free what the answer holds. */
void background_finish(struct background_call *call);

/** upstream_stat() - a count of the upstream of node @i. */
int64_t upstream_stat(const struct cluster *cluster, uint32_t i,
		      const char *name);

/** upstream_wait_stat() - until that count is @wanted at least. */
bool upstream_wait_stat(const struct cluster *cluster, uint32_t i,
			const char *name, int64_t wanted);

/** upstream_run_count() - how often the upstream of node @i ran an id. */
int64_t upstream_run_count(const struct cluster *cluster, uint32_t i,
			   const char *id);

/** call_once() - POST to @service by node @i; the status, 0 if none. */
long call_once(struct cluster *cluster, uint32_t i, const char *service,
	       struct fetch *fetch);

/** call_wait_status() - POST to @service by node @i until it gets @status. */
bool call_wait_status(struct cluster *cluster, uint32_t i, const char *service,
		      long status);

/** sleep_ms() - between two looks at a condition. */
void sleep_ms(int64_t ms);

#endif
