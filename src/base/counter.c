#include "base/counter.h"

#include <stddef.h>

static struct counter *counters;
static struct histogram *histograms;

void counter_register(struct counter *counter)
{
	counter->next = counters;
	counters = counter;
}

void histogram_register(struct histogram *histogram)
{
	histogram->next = histograms;
	histograms = histogram;
}

struct counter *counter_first(void)
{
	return counters;
}

struct histogram *histogram_first(void)
{
	return histograms;
}

static uint32_t bucket_index(uint64_t value)
{
	uint32_t shift;
	uint32_t bucket;

	if (value < HISTOGRAM_SUB_BUCKETS)
		return (uint32_t)value;
	shift = 63 - (uint32_t)__builtin_clzll(value) - 4;
	bucket = (shift + 1) * HISTOGRAM_SUB_BUCKETS +
		 (uint32_t)(value >> shift) - HISTOGRAM_SUB_BUCKETS;
	if (bucket >= HISTOGRAM_BUCKETS)
		return HISTOGRAM_BUCKETS - 1;
	return bucket;
}

static int64_t bucket_upper_bound(uint32_t bucket)
{
	uint32_t shift;

	if (bucket < HISTOGRAM_SUB_BUCKETS)
		return bucket;
	shift = bucket / HISTOGRAM_SUB_BUCKETS - 1;
	return (int64_t)((((uint64_t)HISTOGRAM_SUB_BUCKETS +
			   bucket % HISTOGRAM_SUB_BUCKETS + 1)
			  << shift) -
			 1);
}

void histogram_add(struct histogram *histogram, int64_t value)
{
	histogram->buckets[bucket_index(value < 0 ? 0 : (uint64_t)value)]++;
	histogram->count++;
}

int64_t histogram_quantile(const struct histogram *histogram, double quantile)
{
	uint64_t rank = (uint64_t)((double)histogram->count * quantile);
	uint64_t cumulative = 0;
	uint32_t i;

	if (!histogram->count)
		return 0;
	if (rank >= histogram->count)
		rank = histogram->count - 1;
	for (i = 0; i < HISTOGRAM_BUCKETS; i++) {
		cumulative += histogram->buckets[i];
		if (cumulative > rank)
			return bucket_upper_bound(i);
	}
	return bucket_upper_bound(HISTOGRAM_BUCKETS - 1);
}
