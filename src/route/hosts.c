#include "route/hosts.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

/* The golden section: of all steps around a circle the one that fills every
 * arc most evenly, however few or many steps were taken. */
#define TURN_STEP 0.61803398874989485

static void fold_host(const char *host, char name[HOST_SIZE])
{
	size_t i;

	memset(name, 0, HOST_SIZE);
	for (i = 0; i + 1 < HOST_SIZE && host[i] && host[i] != ':'; i++)
		name[i] = (char)tolower((unsigned char)host[i]);
}

static struct host *host_get(struct host_table *table, const char *name)
{
	struct host *host;

	HASH_FIND_STR(table->hosts, name, host);
	if (host)
		return host;
	host = calloc(1, sizeof(*host));
	if (!host)
		abort();
	memcpy(host->name, name, strlen(name) + 1);
	HASH_ADD_STR(table->hosts, name, host);
	return host;
}

static void host_add(struct host *host, const struct profile *profile,
		     const struct host_route *route, double turn)
{
	const struct host_slot slot = { profile, route, turn };
	size_t length = strlen(route->prefix);
	uint32_t place;

	if (host->count == host->capacity) {
		host->capacity = host->capacity ? host->capacity * 2 : 4;
		host->slots = realloc(host->slots,
				      host->capacity * sizeof(*host->slots));
		if (!host->slots)
			abort();
	}
	for (place = host->count;
	     place && strlen(host->slots[place - 1].route->prefix) < length;
	     place--)
		host->slots[place] = host->slots[place - 1];
	host->slots[place] = slot;
	host->count++;
}

static void add_profile(struct host_table *table, const struct profile *profile,
			struct random *random)
{
	uint32_t i;

	for (i = 0; i < profile->host_route_count; i++) {
		const struct host_route *route = &profile->host_routes[i];
		char name[HOST_SIZE];

		fold_host(route->host, name);
		/* Nodes begin at different places, or all of them would send
		 * their first requests to the same part. */
		host_add(host_get(table, name), profile, route,
			 random_share(random));
	}
}

void hosts_build(struct host_table *table, const struct config *config,
		 struct random *random)
{
	uint32_t i;

	hosts_finish(table);
	for (i = 0; i < config->profile_count; i++)
		add_profile(table, config->profiles[i].profile, random);
}

void hosts_finish(struct host_table *table)
{
	struct host *host = table->hosts;

	HASH_CLEAR(hh, table->hosts);
	while (host) {
		struct host *next = host->hh.next;

		free(host->slots);
		free(host);
		host = next;
	}
	table->hosts = NULL;
}

struct host_slot *hosts_find(const struct host_table *table, const char *host,
			     const char *path)
{
	char name[HOST_SIZE];
	struct host *found;
	uint32_t i;

	fold_host(host, name);
	HASH_FIND_STR(table->hosts, name, found);
	for (i = 0; found && i < found->count; i++) {
		const char *prefix = found->slots[i].route->prefix;

		if (!strncmp(path, prefix, strlen(prefix)))
			return &found->slots[i];
	}
	return NULL;
}

const struct route_part *host_slot_turn(struct host_slot *slot)
{
	const struct host_route *route = slot->route;
	double at = slot->turn * route->weight_sum;
	const struct route_part *last = NULL;
	uint32_t i;

	slot->turn += TURN_STEP;
	if (slot->turn >= 1)
		slot->turn -= 1;
	for (i = 0; i < route->part_count; i++) {
		const struct route_part *part = &route->parts[i];

		if (part->weight <= 0)
			continue;
		last = part;
		if (at < part->weight)
			break;
		at -= part->weight;
	}
	return last;
}
