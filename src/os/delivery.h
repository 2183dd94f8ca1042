#ifndef OS_DELIVERY_H
#define OS_DELIVERY_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: delivery
 *
 * Decides whether the other end of a connection still receives what was written
 * to it, from the number of bytes that it has not acknowledged. It acknowledges
 * in steps: one that reads all the time may keep silent for as long as it takes
 * to read half of its window. Does no I/O; net_undelivered_bytes() counts.
 */

enum {
	/* Time without any acknowledgement after which nobody receives. A
	 * window of 64 KiB that is read at 25 kB/s is silent for 1.4 s. */
	DELIVERY_SILENCE_MS = 4000,
};

/**
 * struct delivery - what the other end has received; all zeros is nothing yet
 * @undelivered_bytes: bytes that it had not acknowledged at the last update
 * @progress_us: time of the last change of that number, in microseconds
 */
struct delivery {
	size_t undelivered_bytes;
	int64_t progress_us;
};

/** enum delivery_state - state of a delivery, in ascending order of urgency. */
enum delivery_state {
	DELIVERY_COMPLETE, /* all bytes were acknowledged */
	DELIVERY_STALLED,  /* no progress for DELIVERY_SILENCE_MS */
	DELIVERY_ACTIVE,
};

/**
 * delivery_update() - process the present number of bytes
 * @undelivered_bytes: from net_undelivered_bytes()
 * @now_us: present time, in microseconds
 */
enum delivery_state delivery_update(struct delivery *delivery,
				    size_t undelivered_bytes, int64_t now_us);

#endif
