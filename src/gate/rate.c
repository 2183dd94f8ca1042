#include "gate/rate.h"

#include <math.h>

/* The lowest rate: the upstream's answers are the only sign of the limit's
 * end. */
#define PER_S_MIN 0.5

/* Tokens that are saved for requests that arrive together, as a time at the
 * limit. */
#define BURST_S 0.25
#define BURST_MIN 1.0

#define SECOND_US 1e6

void rate_init(struct rate *rate)
{
	rate->limited = false;
}

static double burst_of(double per_s)
{
	return fmax(BURST_MIN, per_s * BURST_S);
}

static double tokens_at(const struct rate *rate, int64_t now_us)
{
	double added = (double)(now_us - rate->at_us) / SECOND_US * rate->per_s;

	return fmin(rate->tokens + added, burst_of(rate->per_s));
}

void rate_set(struct rate *rate, double per_s, int64_t now_us)
{
	rate->tokens = rate->limited ? tokens_at(rate, now_us) : BURST_MIN;
	rate->limited = true;
	rate->per_s = fmax(per_s, PER_S_MIN);
	rate->at_us = now_us;
}

void rate_clear(struct rate *rate)
{
	rate->limited = false;
}

int64_t rate_ready_us(const struct rate *rate, int64_t now_us)
{
	double missing;

	if (!rate->limited)
		return now_us;
	missing = 1 - tokens_at(rate, now_us);
	if (missing <= 0)
		return now_us;
	return now_us + 1 + (int64_t)(missing / rate->per_s * SECOND_US);
}

void rate_take(struct rate *rate, int64_t now_us)
{
	if (!rate->limited)
		return;
	rate->tokens = tokens_at(rate, now_us) - 1;
	rate->at_us = now_us;
}

double rate_interval_us(const struct rate *rate)
{
	return rate->limited ? SECOND_US / rate->per_s : 0;
}
