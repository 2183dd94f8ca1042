#include "node/leaving.h"

#include "call/calls.h"
#include "os/clock.h"

static int64_t max_us(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t min_us(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

void leaving_begin(struct leaving *leaving, int64_t linger_ms, int64_t drain_ms,
		   int64_t now_us)
{
	leaving->signalled_us = now_us;
	leaving->work_until_us = now_us + (linger_ms + drain_ms) * US_PER_MS;
	leaving->drained_us = 0;
}

void leaving_drained(struct leaving *leaving, int64_t now_us)
{
	leaving->drained_us = now_us;
}

/* The wait for callers ends at the latest CALLS_DRAIN_FLUSH_MS after the end of
 * the drain time. A longer wait would add to the earlier waits, and the process
 * could be killed before it ends. */
static int64_t callers_until_us(const struct leaving *leaving, bool receiving)
{
	int64_t last_us =
		leaving->work_until_us + CALLS_DRAIN_FLUSH_MS * US_PER_MS;

	if (receiving)
		return last_us;
	return min_us(leaving->drained_us + LEAVING_CALLERS_MS * US_PER_MS,
		      last_us);
}

int64_t leaving_until_us(const struct leaving *leaving,
			 const struct leaving_open *open)
{
	int64_t until_us =
		leaving->drained_us + LEAVING_DATAGRAMS_MS * US_PER_MS;

	/* The release of the lease starts with the signal. If the store has not
	 * answered within this time, the process does not wait for the store.
	 */
	if (open->store)
		until_us = max_us(until_us,
				  leaving->signalled_us +
					  LEAVING_LEASE_RELEASE_MS * US_PER_MS);
	if (open->callers || open->peers)
		until_us = max_us(until_us,
				  callers_until_us(leaving, open->receiving));
	return until_us;
}
