#include "base/usage.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

struct entry {
	struct usage usage;
	UT_hash_handle hh;
};

static const char other_tenants[] = "other";
static struct entry *entries;
static struct usage others;

static struct entry *find(const char *tenant)
{
	struct entry *entry;

	HASH_FIND_STR(entries, tenant, entry);
	return entry;
}

static struct entry *add(const char *tenant)
{
	struct entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	snprintf(entry->usage.tenant, sizeof(entry->usage.tenant), "%s",
		 tenant);
	HASH_ADD_STR(entries, usage.tenant, entry);
	return entry;
}

void usage_add(const char *tenant, enum usage_event event)
{
	struct entry *entry = find(tenant);

	if (!entry && HASH_COUNT(entries) < USAGE_TENANTS_MAX)
		entry = add(tenant);
	if (entry)
		entry->usage.counts[event]++;
	else
		others.counts[event]++;
}

struct usage usage_of(const char *tenant)
{
	const struct entry *entry = find(tenant);
	struct usage none = { 0 };

	return entry ? entry->usage : none;
}

/* Orders by descending number of requests, then by name. */
static int by_requests(const struct entry *a, const struct entry *b)
{
	uint64_t left = a->usage.counts[USAGE_REQUESTS];
	uint64_t right = b->usage.counts[USAGE_REQUESTS];

	if (left != right)
		return left < right ? 1 : -1;
	return strcmp(a->usage.tenant, b->usage.tenant);
}

static bool has_counts(const struct usage *usage)
{
	uint32_t i;

	for (i = 0; i < USAGE_EVENTS; i++)
		if (usage->counts[i])
			return true;
	return false;
}

static void add_counts(struct usage *sum, const struct usage *usage)
{
	uint32_t i;

	for (i = 0; i < USAGE_EVENTS; i++)
		sum->counts[i] += usage->counts[i];
}

uint32_t usage_busiest(struct usage list[USAGE_LISTED_MAX + 1])
{
	struct usage rest = others;
	const struct entry *entry;
	uint32_t count = 0;

	HASH_SORT(entries, by_requests);
	for (entry = entries; entry; entry = entry->hh.next) {
		if (count < USAGE_LISTED_MAX &&
		    strcmp(entry->usage.tenant, other_tenants) != 0)
			list[count++] = entry->usage;
		else
			add_counts(&rest, &entry->usage);
	}
	if (!has_counts(&rest))
		return count;
	snprintf(rest.tenant, sizeof(rest.tenant), "%s", other_tenants);
	list[count++] = rest;
	return count;
}

void usage_reset(void)
{
	struct entry *entry = entries;
	struct entry *next;

	HASH_CLEAR(hh, entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
	memset(&others, 0, sizeof(others));
}
