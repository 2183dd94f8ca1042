#ifndef NODE_LEAVING_H
#define NODE_LEAVING_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: leaving
 *
 * Computes how long a stopping process waits after its calls have drained. The
 * platform kills a process that takes too long to stop, so the waits must not
 * add up: the process ends at most LEAVING_OVERHEAD_MAX_MS after the linger
 * time and the drain time of its settings, counted from the signal.
 */

enum {
	/* Wait after draining, for the datagrams that announce the end of the
	 * node to be sent. */
	LEAVING_DATAGRAMS_MS = 100,
	/* Maximum time from the signal for the release of the lease. */
	LEAVING_LEASE_RELEASE_MS = 1000,
	/* Maximum time after draining for callers without a complete answer,
	 * and for callers and peers that take no bytes of one. */
	LEAVING_CALLERS_MS = 1000,
	/* Maximum time of a stop beyond the linger time and the drain time. */
	LEAVING_OVERHEAD_MAX_MS = 1000,
};

/**
 * struct leaving - times of a graceful shutdown, in microseconds
 * @signalled_us: time of the signal
 * @work_until_us: time at which work in progress is cancelled
 * @drained_us: time at which all calls had drained; 0 before
 */
struct leaving {
	int64_t signalled_us;
	int64_t work_until_us;
	int64_t drained_us;
};

/**
 * struct leaving_open - work that remains after all calls have drained
 * @store: true while the lease is being released in the store
 * @callers: true while a caller has a request without a complete answer, or has
 *	not received all bytes of one
 * @peers: true while a peer has not received all bytes of an answer
 * @receiving: true while one of them still takes bytes
 */
struct leaving_open {
	bool store;
	bool callers;
	bool peers;
	bool receiving;
};

/**
 * leaving_begin() - record the signal
 * @linger_ms: setting linger_ms, in milliseconds
 * @drain_ms: setting drain_ms, in milliseconds
 * @now_us: time of the signal, in microseconds
 */
void leaving_begin(struct leaving *leaving, int64_t linger_ms, int64_t drain_ms,
		   int64_t now_us);

/** leaving_drained() - record that all calls have drained. */
void leaving_drained(struct leaving *leaving, int64_t now_us);

/**
 * leaving_until_us() - compute the end of a drained process
 * @open: remaining work; call again when it changes
 *
 * Return: time at which the process ends if @open does not change, in
 * microseconds.
 */
int64_t leaving_until_us(const struct leaving *leaving,
			 const struct leaving_open *open);

#endif
