#include "route/hosts.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* The golden section: of all steps around a circle the one that fills every
 * arc most evenly, however few or many steps were taken. */
#define TURN_STEP 0.61803398874989485

static size_t fold_host(const char *host, char name[HOST_SIZE])
{
	size_t i;

	memset(name, 0, HOST_SIZE);
	for (i = 0; i + 1 < HOST_SIZE && host[i] && host[i] != ':'; i++)
		name[i] = (char)tolower((unsigned char)host[i]);
	return i;
}

static uint64_t key_of(uint64_t host_hash, const char *prefix, size_t size)
{
	return XXH3_64bits_withSeed(prefix, size, host_hash);
}

static uint64_t hash_host(const char *host)
{
	char name[HOST_SIZE];
	size_t size = fold_host(host, name);

	return XXH3_64bits(name, size);
}

static void add_route(struct host_table *table, struct host_entry *slot,
		      const struct profile *profile,
		      const struct host_route *route, struct random *random)
{
	const struct host_rule *rule = &profile->host_rules[route->rule];
	struct host_entry *other;

	slot->key = key_of(hash_host(rule->host), route->prefix,
			   strlen(route->prefix));
	slot->profile = profile;
	slot->route = route;
	slot->rule = rule;
	/* Nodes begin at different places, or all of them would send their
	 * first requests to the same part. */
	slot->turn = random_share(random);
	/* Of two routes for the same host and prefix the first one holds. */
	HASH_FIND(hh, table->slots, &slot->key, sizeof(slot->key), other);
	if (!other)
		HASH_ADD(hh, table->slots, key, sizeof(slot->key), slot);
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
	struct host_entry *slot;
	uint32_t i;
	uint32_t j;

	hosts_finish(table);
	table->memory = calloc(count_routes(config) + 1, sizeof(*slot));
	if (!table->memory)
		abort();
	slot = table->memory;
	for (i = 0; i < config->profile_count; i++) {
		const struct profile *profile = config->profiles[i].profile;

		for (j = 0; j < profile->host_route_count; j++)
			add_route(table, slot++, profile,
				  &profile->host_routes[j], random);
	}
}

void hosts_finish(struct host_table *table)
{
	HASH_CLEAR(hh, table->slots);
	free(table->memory);
	table->memory = NULL;
}

static bool is_route(const struct host_entry *slot, const char *host,
		     const char *path, size_t size)
{
	char names[2][HOST_SIZE];

	fold_host(slot->rule->host, names[0]);
	fold_host(host, names[1]);
	return !strcmp(names[0], names[1]) &&
	       strlen(slot->route->prefix) == size &&
	       !strncmp(slot->route->prefix, path, size);
}

/* Prefixes end with a slash, so only those of the path's own can fit: one look
 * for each, the longest first, however many routes a host has. */
struct host_entry *hosts_find(const struct host_table *table, const char *host,
			      const char *path)
{
	uint64_t host_hash = hash_host(host);
	size_t size = strlen(path);

	for (; size; size--) {
		struct host_entry *slot;
		uint64_t key;

		if (path[size - 1] != '/')
			continue;
		key = key_of(host_hash, path, size);
		HASH_FIND(hh, table->slots, &key, sizeof(key), slot);
		if (slot && is_route(slot, host, path, size))
			return slot;
	}
	return NULL;
}

const struct route_part *host_entry_next_part(struct host_entry *slot)
{
	const struct host_rule *rule = slot->rule;
	double at = slot->turn * rule->weight_sum;
	const struct route_part *last = NULL;
	uint32_t i;

	slot->turn += TURN_STEP;
	if (slot->turn >= 1)
		slot->turn -= 1;
	for (i = 0; i < rule->part_count; i++) {
		const struct route_part *part = &rule->parts[i];

		if (part->weight <= 0)
			continue;
		last = part;
		if (at < part->weight)
			break;
		at -= part->weight;
	}
	return last;
}
