#include "route/hosts.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Golden ratio minus 1. Multiples of this number modulo 1 form a sequence that
 * covers [0, 1) evenly at every length. */
#define POSITION_STEP 0.61803398874989485

/* Writes the host in lower case and without its port. Returns its length; 0 if
 * it is longer than the host of any route, since a shortened name could be that
 * of another host. */
static size_t normalize_host(const char *host, char name[HOST_SIZE])
{
	size_t size = strcspn(host, ":");
	size_t i;

	if (size >= HOST_SIZE)
		size = 0;
	for (i = 0; i < size; i++)
		name[i] = (char)tolower((unsigned char)host[i]);
	name[size] = '\0';
	return size;
}

static uint64_t hash_key(uint64_t host_hash, const char *prefix, size_t size)
{
	return XXH3_64bits_withSeed(prefix, size, host_hash);
}

static uint64_t hash_host(const char *host)
{
	char name[HOST_SIZE];
	size_t size = normalize_host(host, name);

	return XXH3_64bits(name, size);
}

static bool host_valid(const char *host)
{
	char name[HOST_SIZE];

	return normalize_host(host, name) > 0;
}

static void add_route(struct host_table *table, struct host_entry *entry,
		      const struct profile *profile,
		      const struct host_route *route, struct random *random)
{
	const struct host_rule *rule = &profile->host_rules[route->rule];
	struct host_entry *other;

	entry->key = hash_key(hash_host(rule->host), route->prefix,
			      strlen(route->prefix));
	entry->profile = profile;
	entry->route = route;
	entry->rule = rule;
	/* A random initial position on each node spreads the first requests of
	 * all nodes over the weighted services. */
	entry->position = random_share(random);
	/* The first of several routes with the same host and prefix wins. A
	 * collision of two keys drops the later route as well. */
	HASH_FIND(hh, table->by_key, &entry->key, sizeof(entry->key), other);
	if (!other)
		HASH_ADD(hh, table->by_key, key, sizeof(entry->key), entry);
}

static uint32_t count_routes(const struct config *config)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->profile_count; i++)
		count += config->profiles[i].profile->host_route_count;
	return count;
}

void hosts_build(struct host_table *table, const struct config *config,
		 struct random *random)
{
	struct host_entry *entry;
	uint32_t i;
	uint32_t j;

	hosts_finish(table);
	table->entries = calloc(count_routes(config) + 1, sizeof(*entry));
	if (!table->entries)
		abort();
	entry = table->entries;
	for (i = 0; i < config->profile_count; i++) {
		const struct profile *profile = config->profiles[i].profile;

		for (j = 0; j < profile->host_route_count; j++)
			add_route(table, entry++, profile,
				  &profile->host_routes[j], random);
	}
}

void hosts_finish(struct host_table *table)
{
	HASH_CLEAR(hh, table->by_key);
	free(table->entries);
	table->entries = NULL;
}

static bool entry_matches(const struct host_entry *entry, const char *host,
			  const char *path, size_t size)
{
	char names[2][HOST_SIZE];

	normalize_host(entry->rule->host, names[0]);
	normalize_host(host, names[1]);
	return !strcmp(names[0], names[1]) &&
	       strlen(entry->route->prefix) == size &&
	       !strncmp(entry->route->prefix, path, size);
}

/* A prefix always ends with a slash. One hash lookup for each slash of the
 * path, from the last to the first, finds the longest matching prefix, and the
 * cost does not depend on the number of routes. */
struct host_entry *hosts_find(const struct host_table *table, const char *host,
			      const char *path)
{
	uint64_t host_hash = hash_host(host);
	size_t size = host_valid(host) ? strlen(path) : 0;

	for (; size; size--) {
		struct host_entry *entry;
		uint64_t key;

		if (path[size - 1] != '/')
			continue;
		key = hash_key(host_hash, path, size);
		HASH_FIND(hh, table->by_key, &key, sizeof(key), entry);
		if (entry && entry_matches(entry, host, path, size))
			return entry;
	}
	return NULL;
}

const struct route_part *host_entry_next_part(struct host_entry *entry)
{
	const struct host_rule *rule = entry->rule;
	double offset = entry->position * rule->weight_sum;
	const struct route_part *last = NULL;
	uint32_t i;

	entry->position += POSITION_STEP;
	if (entry->position >= 1)
		entry->position -= 1;
	for (i = 0; i < rule->part_count; i++) {
		const struct route_part *part = &rule->parts[i];

		if (part->weight <= 0)
			continue;
		last = part;
		if (offset < part->weight)
			break;
		offset -= part->weight;
	}
	return last;
}
