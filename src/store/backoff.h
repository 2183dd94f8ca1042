#ifndef STORE_BACKOFF_H
#define STORE_BACKOFF_H

#include <stdint.h>

#include "base/random.h"

/**
 * DOC: backoff
 *
 * Exponential backoff with full jitter: each wait is uniform between nothing
 * and a limit that doubles. Without jitter, all nodes that failed together
 * would come back together, and again.
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

/** backoff_reset() - it worked. */
static inline void backoff_reset(struct backoff *backoff)
{
	backoff->failures = 0;
}

/** backoff_limit_ms() - the longest that the next wait can be. */
static inline int64_t backoff_limit_ms(const struct backoff *backoff)
{
	int64_t limit_ms = backoff->base_ms;
	uint32_t i;

	for (i = 0; i < backoff->failures && limit_ms < backoff->max_ms; i++)
		limit_ms *= 2;
	return limit_ms < backoff->max_ms ? limit_ms : backoff->max_ms;
}

/** backoff_next_ms() - it failed: how long to wait. */
static inline int64_t backoff_next_ms(struct backoff *backoff,
				      struct random *random)
{
	int64_t limit_ms = backoff_limit_ms(backoff);

	backoff->failures++;
	return random_jitter(random, limit_ms);
}

#endif
