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
 * struct budget - one bucket
 * @rate_per_s: tokens that come back each second
 * @burst: tokens that it holds at most
 * @spent: calls that were let through
 * @refused: calls that found it empty
 */
struct budget {
	double rate_per_s;
	double burst;
	double tokens;
	int64_t at_us;
	uint64_t spent;
	uint64_t refused;
};

static inline void budget_init(struct budget *budget, double rate_per_s,
			       double burst, int64_t now_us)
{
	budget->rate_per_s = rate_per_s;
	budget->burst = burst;
	budget->tokens = burst;
	budget->at_us = now_us;
	budget->spent = 0;
	budget->refused = 0;
}

static inline void budget_refill(struct budget *budget, int64_t now_us)
{
	if (now_us <= budget->at_us)
		return;
	budget->tokens += (double)(now_us - budget->at_us) *
			  budget->rate_per_s / US_PER_S;
	if (budget->tokens > budget->burst)
		budget->tokens = budget->burst;
	budget->at_us = now_us;
}

/**
 * budget_take() - one call; false if the bucket is empty
 * @reserve: tokens that must be left for calls that matter more
 */
static inline bool budget_take(struct budget *budget, double reserve,
			       int64_t now_us)
{
	budget_refill(budget, now_us);
	if (budget->tokens < 1 + reserve) {
		budget->refused++;
		return false;
	}
	budget->tokens -= 1;
	budget->spent++;
	return true;
}

/** budget_wait_ms() - until budget_take() would succeed, rounded up. */
static inline int64_t budget_wait_ms(struct budget *budget, double reserve,
				     int64_t now_us)
{
	double lacking;

	budget_refill(budget, now_us);
	lacking = 1 + reserve - budget->tokens;
	if (lacking <= 0)
		return 0;
	return (int64_t)(lacking * MS_PER_S / budget->rate_per_s) + 1;
}

#endif
