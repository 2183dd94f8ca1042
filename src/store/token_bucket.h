#ifndef STORE_TOKEN_BUCKET_H
#define STORE_TOKEN_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

#include "os/clock.h"

/**
 * DOC: token bucket
 *
 * Limits the rate of the calls of one node to the platform's service and allows
 * a burst after an idle time. The service scales more slowly than the number of
 * nodes, and a faulty node must not use the capacity of the other nodes.
 */

/**
 * struct token_bucket - one bucket
 * @rate_per_s: tokens added per second
 * @burst: maximum number of tokens
 * @tokens: number of tokens at @refilled_us
 * @refilled_us: monotonic time of the last refill
 * @taken_count: number of calls that got a token
 * @refused_count: number of calls that got no token
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
 * token_bucket_take() - take a token; false if there are too few tokens
 * @reserve: number of tokens to leave for calls of higher priority
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

/**
 * token_bucket_wait_ms() - time until token_bucket_take() can succeed
 *
 * Return: milliseconds, rounded up; 0 if a token can be taken now.
 */
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
