#ifndef FUNCTIONAL_BACKGROUND_H
#define FUNCTIONAL_BACKGROUND_H

#include <pthread.h>

#include "fleet/cluster.h"

/**
 * DOC: background
 *
 * Calls that are in progress while a functional test injects a fault, and
 * functions that wait for the state of an upstream or the status of a call.
 */

enum { BACKGROUND_WAIT_MS = 20000 };

/**
 * struct background_call - a call that runs in its own thread
 * @fetch: request and answer
 * @host: header "Host"
 * @id: header "X-Request-Id"
 * @complete: the answer was received completely; valid after
 *	background_wait()
 */
struct background_call {
	struct fetch fetch;
	char host[96];
	char id[64];
	pthread_t thread;
	bool complete;
};

/**
 * background_begin() - start a POST to @service through node @i
 * @id: X-Request-Id, under which the upstream counts the call
 */
void background_begin(struct background_call *call,
		      const struct cluster *cluster, uint32_t i,
		      const char *service, const char *path, const char *id);

/**
 * background_wait() - wait until the call has ended
 *
 * Return: true if a complete answer was received.
 */
bool background_wait(struct background_call *call);

/** background_finish() - free the answer. */
void background_finish(struct background_call *call);

/**
 * upstream_stat() - read a statistic of the upstream of node @i
 *
 * Return: the value of @name; 0 if the upstream does not have it or does not
 * answer.
 */
int64_t upstream_stat(const struct cluster *cluster, uint32_t i,
		      const char *name);

/**
 * upstream_wait_stat() - wait until a statistic is @wanted or more
 *
 * Return: false if BACKGROUND_WAIT_MS passed first.
 */
bool upstream_wait_stat(const struct cluster *cluster, uint32_t i,
			const char *name, int64_t wanted);

/** upstream_run_count() - how often the upstream of node @i ran request @id. */
int64_t upstream_run_count(const struct cluster *cluster, uint32_t i,
			   const char *id);

/**
 * call_once() - POST to @service through node @i
 * @fetch: receives the answer; the caller frees it with fetch_finish()
 *
 * Return: the HTTP status, 0 without an answer.
 */
long call_once(struct cluster *cluster, uint32_t i, const char *service,
	       struct fetch *fetch);

/**
 * call_wait_status() - repeat a POST to @service through node @i until its
 * HTTP status is @status
 *
 * Return: false if BACKGROUND_WAIT_MS passed first.
 */
bool call_wait_status(struct cluster *cluster, uint32_t i, const char *service,
		      long status);

void sleep_ms(int64_t ms);

#endif
