#ifndef STORE_BUDGET_H
#define STORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "os/clock.h"

/**
 * DOC: budget
 *
 * A token bucket: so many calls a second, and so many at once after a quiet
 * time. The platform's service grows more slowly than the fleet; a node that
 * goes wrong must not take the share of the others.
 */

/**
 * struct token_bucket - one bucket
 * @rate_per_s: tokens that come back each second
 * @burst: tokens that it holds at most
 * @taken_count: calls that were let through
 * @refused_count: calls that found it empty
 */
struct token_bucket {
	double rate_per_s;
	double burst;
	double tokens;
	int64_t refilled_us;
	uint64_t taken_count;
	uint64_t refused_count;
};

static inline void token_bucket_init(struct token_bucket *token_bucket,
				     double rate_per_s, double burst,
				     int64_t now_us)
{
	token_bucket->rate_per_s = rate_per_s;
	token_bucket->burst = burst;
	token_bucket->tokens = burst;
	token_bucket->refilled_us = now_us;
	token_bucket->taken_count = 0;
	token_bucket->refused_count = 0;
}

static inline void token_bucket_refill(struct token_bucket *token_bucket,
				       int64_t now_us)
{
	if (now_us <= token_bucket->refilled_us)
		return;
	token_bucket->tokens += (double)(now_us - token_bucket->refilled_us) *
				token_bucket->rate_per_s / US_PER_S;
	if (token_bucket->tokens > token_bucket->burst)
		token_bucket->tokens = token_bucket->burst;
	token_bucket->refilled_us = now_us;
}

/**
 * token_bucket_take() - one call; false if the bucket is empty
 * @reserve: tokens that must be left for calls that matter more
 */
static inline bool token_bucket_take(struct token_bucket *token_bucket,
				     double reserve, int64_t now_us)
{
	token_bucket_refill(token_bucket, now_us);
	if (token_bucket->tokens < 1 + reserve) {
		token_bucket->refused_count++;
		return false;
	}
	token_bucket->tokens -= 1;
	token_bucket->taken_count++;
	return true;
}

/** token_bucket_wait_ms() - until token_bucket_take() would succeed, rounded
 * up. */
static inline int64_t token_bucket_wait_ms(struct token_bucket *token_bucket,
					   double reserve, int64_t now_us)
{
	double lacking;

	token_bucket_refill(token_bucket, now_us);
	lacking = 1 + reserve - token_bucket->tokens;
	if (lacking <= 0)
		return 0;
	return (int64_t)(lacking * MS_PER_S / token_bucket->rate_per_s) + 1;
}

#endif
