#ifndef GATE_RATE_H
#define GATE_RATE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: rate
 *
 * Rate limit that an upstream names for itself: a token bucket, of which each
 * started request takes one token. The rate limit does no I/O.
 */

/**
 * struct rate - see DOC
 * @limited: false if the upstream names no limit
 * @per_s: tokens added in a second
 * @tokens: tokens available at @at_us
 */
struct rate {
	bool limited;
	double per_s;
	double tokens;
	int64_t at_us;
};

void rate_init(struct rate *rate);

/**
 * rate_set() - Sets or changes the limit.
 * @per_s: not negative; a very low limit is raised, so that some answers show
 *	when it ends
 */
void rate_set(struct rate *rate, double per_s, int64_t now_us);

void rate_clear(struct rate *rate);

/** rate_ready_us() - Returns when a request may start; @now_us: at once. */
int64_t rate_ready_us(const struct rate *rate, int64_t now_us);

/** rate_take() - Takes the token of a request that starts. */
void rate_take(struct rate *rate, int64_t now_us);

/** rate_interval_us() - Returns the mean time between starts; 0: no limit. */
double rate_interval_us(const struct rate *rate);

#endif
