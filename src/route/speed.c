#include "route/speed.h"

#include <string.h>

#include <xxhash.h>

/* Weight of one report in the factor of an endpoint. A report is an average
 * over many requests already. */
#define FACTOR_WEIGHT (1.0 / 4)
#define FACTOR_MIN 0.05
#define FACTOR_MAX 20

enum {
	/* Time without reports after which a factor is back at 1. */
	FACTOR_AGE_US = 10 * 1000 * 1000,
	/* Time over which the reports of one endpoint replace an average. */
	POOL_AVERAGE_US = 10 * 1000 * 1000,
};

static uint64_t hash_of(const char *kind)
{
	return XXH3_64bits(kind, strlen(kind));
}

static struct speed_kind *find(const struct pool_speed *pool, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < pool->count; i++)
		if (pool->kinds[i].kind == hash)
			return (struct speed_kind *)&pool->kinds[i];
	return NULL;
}

/* Returns the entry of a kind; a new one holds no time yet. */
static struct speed_kind *get(struct pool_speed *pool, uint64_t hash)
{
	struct speed_kind *entry = find(pool, hash);
	uint32_t i;

	if (entry)
		return entry;
	entry = pool->kinds;
	if (pool->count < SPEED_KINDS_MAX) {
		entry = &pool->kinds[pool->count++];
	} else {
		for (i = 1; i < SPEED_KINDS_MAX; i++)
			if (pool->kinds[i].at_us < entry->at_us)
				entry = &pool->kinds[i];
	}
	*entry = (struct speed_kind){ .kind = hash };
	return entry;
}

/*
 * Each endpoint counts by the time since its last report and not by the number
 * of its reports. Otherwise the endpoints that are chosen most, which are the
 * fast ones, would determine the average, and the factors would rise the more
 * the slow endpoints are avoided.
 */
static double pool_weight(const struct endpoint_speed *endpoint, int64_t now_us)
{
	double gap_us = (double)(now_us - endpoint->at_us);

	if (!endpoint->at_us || gap_us > POOL_AVERAGE_US)
		gap_us = POOL_AVERAGE_US;
	return gap_us / (gap_us + POOL_AVERAGE_US);
}

static double clamp(double factor)
{
	if (factor < FACTOR_MIN)
		return FACTOR_MIN;
	return factor > FACTOR_MAX ? FACTOR_MAX : factor;
}

void speed_record(struct pool_speed *pool, struct endpoint_speed *endpoint,
		  const char *kind, const struct speed_report *report,
		  int64_t now_us)
{
	struct speed_kind *entry;
	double factor;

	pace_set(&endpoint->pace, report->work_pct, now_us);
	if (!report->usual_us)
		return;
	entry = get(pool, hash_of(kind));
	if (entry->usual_us <= 0)
		entry->usual_us = report->usual_us;
	entry->usual_us += (report->usual_us - entry->usual_us) *
			   pool_weight(endpoint, now_us);
	entry->at_us = now_us;
	factor = clamp(report->usual_us / entry->usual_us);
	if (endpoint->factor <= 0)
		endpoint->factor = factor;
	endpoint->factor += (factor - endpoint->factor) * FACTOR_WEIGHT;
	endpoint->at_us = now_us ? now_us : 1;
}

double speed_usual_us(const struct pool_speed *pool, const char *kind)
{
	const struct speed_kind *entry;

	if (!pool->count)
		return 0;
	entry = find(pool, hash_of(kind));
	return entry ? entry->usual_us : 0;
}

double speed_factor(const struct endpoint_speed *endpoint, int64_t now_us)
{
	int64_t age_us = now_us - endpoint->at_us;
	double factor = 1;

	if (endpoint->factor > 0 && age_us < FACTOR_AGE_US)
		factor += (endpoint->factor - 1) *
			  (1 - (double)age_us / FACTOR_AGE_US);
	return factor * pace_factor(&endpoint->pace, now_us);
}
