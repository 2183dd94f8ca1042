#include "retries/account.h"

#include <math.h>
#include <string.h>

#include "os/clock.h"

enum {
	/* Times over which requests and wanted retries are averaged: trouble
	 * must show soon, and requests are reported every second or two. */
	FIRSTS_US = 4 * 1000 * 1000,
	WANTED_US = 1000 * 1000,
	/* Time in which what is saved may be spent, or what is owed is paid
	 * back. */
	SETTLE_US = 1000 * 1000,
	/* An account owes at most what this time adds to it, so that a service
	 * is not without retries for long after all nodes have restarted. */
	DEBT_US = 10 * 1000 * 1000,
};

/* Of the slack, a quarter may be saved and a half is given out over the window;
 * the rest is for what nodes retry before they hear of the trouble. */
void retries_limits_set(struct retries_limits *limits, double slack,
			double window_s, uint32_t centres)
{
	uint32_t parts = centres ? centres : 1;

	limits->saved_max = RETRIES_SAVED_MAX;
	limits->extra_per_s = 0;
	if (slack > 0 && window_s > 0) {
		limits->saved_max = slack / 4;
		limits->extra_per_s = slack / 2 / window_s;
	}
	limits->saved_max /= parts;
	limits->extra_per_s /= parts;
}

void retries_sum_init(struct retries_sum *sum)
{
	memset(sum, 0, sizeof(*sum));
}

static double decay(int64_t elapsed_us, int64_t constant_us)
{
	return exp(-(double)elapsed_us / (double)constant_us);
}

static void age(struct retries_sum *sum, int64_t now_us)
{
	int64_t elapsed_us = now_us - sum->at_us;

	if (sum->at_us && elapsed_us <= 0)
		return;
	sum->firsts *= decay(elapsed_us, FIRSTS_US);
	sum->wanted *= decay(elapsed_us, WANTED_US);
	sum->at_us = now_us;
}

/* Returns the retries that a second adds. */
static double added_per_s(const struct retries_sum *sum)
{
	return sum->share * sum->firsts * US_PER_S / FIRSTS_US +
	       sum->extra_per_s;
}

static void add_extra(struct retries_sum *sum,
		      const struct retries_limits *limits, int64_t elapsed_us)
{
	sum->extra_per_s = limits->extra_per_s;
	sum->tokens += limits->extra_per_s * (double)elapsed_us / US_PER_S;
}

void retries_sum_add(struct retries_sum *sum, const struct retry_use *use,
		     double share, const struct retries_limits *limits,
		     int64_t now_us)
{
	if (sum->at_us)
		add_extra(sum, limits, now_us - sum->at_us);
	else
		sum->tokens = limits->saved_max;
	age(sum, now_us);
	sum->share = share;
	sum->firsts += use->firsts;
	sum->wanted += use->wanted;
	sum->tokens += share * use->firsts;
	sum->tokens = fmin(sum->tokens, limits->saved_max) - use->taken;
	sum->tokens = fmax(sum->tokens, -added_per_s(sum) * DEBT_US / US_PER_S);
}

double retries_sum_chance(struct retries_sum *sum, int64_t now_us)
{
	double allowed_per_s;
	double wanted_per_s;

	age(sum, now_us);
	wanted_per_s = sum->wanted * US_PER_S / WANTED_US;
	allowed_per_s = added_per_s(sum) + sum->tokens * US_PER_S / SETTLE_US;
	if (wanted_per_s <= allowed_per_s)
		return 1;
	return allowed_per_s > 0 ? allowed_per_s / wanted_per_s : 0;
}
