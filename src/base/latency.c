#include "base/latency.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

enum { KEY_SIZE = LATENCY_SERVICE_SIZE + LATENCY_OUTCOME_SIZE + 8 };

/* A histogram and its handle in the hash table of all histograms. */
struct entry {
	struct latency latency;
	char key[KEY_SIZE];
	UT_hash_handle hh;
};

/* From the latency that one hop adds to the longest deadline of a caller. */
const int64_t latency_bounds_us[LATENCY_BOUNDS] = {
	500,	1000,	2500,	5000,	 10000,	  25000,    50000,
	100000, 250000, 500000, 1000000, 2500000, 10000000,
};

static const char other_services[] = "other";
static struct entry *entries;
static struct latency *first;

static void make_key(enum latency_metric metric, const char *service,
		     const char *outcome, char key[KEY_SIZE])
{
	memset(key, 0, KEY_SIZE);
	snprintf(key, KEY_SIZE, "%d %.*s %.*s", metric,
		 LATENCY_SERVICE_SIZE - 1, service, LATENCY_OUTCOME_SIZE - 1,
		 outcome);
}

static struct latency *new_latency(const char key[KEY_SIZE],
				   enum latency_metric metric,
				   const char *service, const char *outcome)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	memcpy(entry->key, key, KEY_SIZE);
	entry->latency.metric = metric;
	snprintf(entry->latency.service, LATENCY_SERVICE_SIZE, "%s", service);
	snprintf(entry->latency.outcome, LATENCY_OUTCOME_SIZE, "%s", outcome);
	entry->latency.next = first;
	first = &entry->latency;
	HASH_ADD(hh, entries, key, KEY_SIZE, entry);
	return &entry->latency;
}

static struct latency *find(enum latency_metric metric, const char *service,
			    const char *outcome)
{
	char key[KEY_SIZE];
	struct entry *entry;

	make_key(metric, service, outcome, key);
	HASH_FIND(hh, entries, key, KEY_SIZE, entry);
	if (entry)
		return &entry->latency;
	/* Histograms of "other" are created even if the table is full. */
	if (HASH_COUNT(entries) >= LATENCY_SERIES_MAX &&
	    strcmp(service, other_services))
		return find(metric, other_services, outcome);
	return new_latency(key, metric, service, outcome);
}

void latency_add(enum latency_metric metric, const char *service,
		 const char *outcome, int64_t took_us)
{
	struct latency *latency = find(metric, service, outcome);
	uint32_t bucket = 0;

	if (took_us < 0)
		took_us = 0;
	while (bucket < LATENCY_BOUNDS && took_us > latency_bounds_us[bucket])
		bucket++;
	latency->counts[bucket]++;
	latency->count++;
	latency->sum_us += took_us;
}

const struct latency *latency_first(void)
{
	return first;
}
