#include "os/delivery.h"

#include "os/clock.h"

enum delivery_state delivery_update(struct delivery *delivery,
				    size_t undelivered_bytes, int64_t now_us)
{
	/* More bytes could be written only because some were taken. */
	if (undelivered_bytes != delivery->undelivered_bytes) {
		delivery->undelivered_bytes = undelivered_bytes;
		delivery->progress_us = now_us;
	}
	if (!undelivered_bytes)
		return DELIVERY_COMPLETE;
	if (now_us - delivery->progress_us >= DELIVERY_SILENCE_MS * US_PER_MS)
		return DELIVERY_STALLED;
	return DELIVERY_ACTIVE;
}
