#ifndef NODE_LEAVING_H
#define NODE_LEAVING_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: leaving
 *
 * How long a process that was told to stop goes on once its calls have
 * drained. Whoever told it kills it after a time, so its waits must not add up:
 * they count from the signal, and the process ends at most
 * LEAVING_OVERHEAD_MAX_MS after the times that its settings give to callers and
 * to work in progress.
 */

enum {
	/* Datagrams that tell of the end have to leave before the end. */
	LEAVING_DATAGRAMS_MS = 100,
	/* Of the store, from the signal on, to take a lease back. */
	LEAVING_LEASE_RELEASE_MS = 1000,
	/* Of callers, once calls have drained, to read a last answer. */
	LEAVING_CALLERS_MS = 1000,
	/* The largest of what may follow linger and drain. */
	LEAVING_OVERHEAD_MAX_MS = 1000,
};

/**
 * struct leaving - the stop of one process
 * @signalled_us: when the signal came
 * @work_until_us: when the last work in progress is cancelled
 * @drained_us: when calls had drained
 */
struct leaving {
	int64_t signalled_us;
	int64_t work_until_us;
	int64_t drained_us;
};

/** struct leaving_open - what a drained process could still wait for. */
struct leaving_open {
	bool store;
	bool callers;
};

/** leaving_begin() - the signal came; see the settings of these names. */
void leaving_begin(struct leaving *leaving, int64_t linger_ms, int64_t drain_ms,
		   int64_t now_us);

/** leaving_drained() - calls have drained. */
void leaving_drained(struct leaving *leaving, int64_t now_us);

/** leaving_until_us() - when a drained process ends if @open stays so. */
int64_t leaving_until_us(const struct leaving *leaving,
			 const struct leaving_open *open);

#endif
