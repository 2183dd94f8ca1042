#ifndef STORE_BACKOFF_H
#define STORE_BACKOFF_H

#include <stdint.h>

#include "base/random.h"

/**
 * DOC: backoff
 *
 * Exponential backoff with full jitter: each wait is uniformly distributed
 * between 0 and a limit that doubles with each failure. Without jitter, nodes
 * that failed at the same time would also retry at the same time.
 */

/**
 * struct backoff - state of one sequence of retries
 * @base_ms: limit of the first wait, in milliseconds
 * @max_ms: maximum of the limit, in milliseconds
 * @failures: number of failures since the last success
 */
struct backoff {
	int64_t base_ms;
	int64_t max_ms;
	uint32_t failures;
};

static inline void backoff_init(struct backoff *backoff, int64_t base_ms,
				int64_t max_ms)
{
	backoff->base_ms = base_ms;
	backoff->max_ms = max_ms;
	backoff->failures = 0;
}

/** backoff_reset() - start over after a success. */
static inline void backoff_reset(struct backoff *backoff)
{
	backoff->failures = 0;
}

/** backoff_limit_ms() - upper bound of the next wait, in milliseconds. */
static inline int64_t backoff_limit_ms(const struct backoff *backoff)
{
	int64_t limit_ms = backoff->base_ms;
	uint32_t i;

	for (i = 0; i < backoff->failures && limit_ms < backoff->max_ms; i++)
		limit_ms *= 2;
	return limit_ms < backoff->max_ms ? limit_ms : backoff->max_ms;
}

/** backoff_next_ms() - count a failure; returns the wait, in milliseconds. */
static inline int64_t backoff_next_ms(struct backoff *backoff,
				      struct random *random)
{
	int64_t limit_ms = backoff_limit_ms(backoff);

	backoff->failures++;
	return random_jitter(random, limit_ms);
}

#endif
