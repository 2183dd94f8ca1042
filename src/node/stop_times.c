#include "node/stop_times.h"

#include "node/leaving.h"

static int64_t min_ms(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t max_ms(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Within a grace period that is shorter than twice the overhead, work gets half
 * of the time. */
int64_t stop_times_work_ms(int64_t grace_ms)
{
	return max_ms(grace_ms - LEAVING_OVERHEAD_MAX_MS, grace_ms / 2);
}

/* Requests that are taken at the end of the linger time need time to complete,
 * too. */
int64_t stop_times_linger_ms(int64_t grace_ms)
{
	return min_ms(STOP_LINGER_MAX_MS, stop_times_work_ms(grace_ms) / 2);
}

int64_t stop_times_keep_upstream_ms(int64_t linger_ms)
{
	return max_ms(linger_ms - STOP_KEEP_MARGIN_MS, 0);
}

int64_t stop_times_drain_ms(int64_t grace_ms, int64_t linger_ms)
{
	return max_ms(stop_times_work_ms(grace_ms) - linger_ms, 0);
}
