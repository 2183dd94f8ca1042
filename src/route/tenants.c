#include "route/tenants.h"

#include <stdlib.h>
#include <string.h>

#include "profile/config_tenants.h"

static uint32_t count_digests(const struct config *config)
{
	uint32_t count = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < config->profile_count; i++) {
		const struct profile *profile = config->profiles[i].profile;

		for (j = 0; j < profile->tenant_count; j++)
			count += profile->tenants[j].digest_count;
	}
	return count;
}

static uint32_t count_tenants(const struct config *config)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->profile_count; i++)
		count += config->profiles[i].profile->tenant_count;
	return count;
}

static void *alloc_array(uint32_t count, size_t size)
{
	void *array = calloc(count + 1, size);

	if (!array)
		abort();
	return array;
}

static bool add_tenant(struct tenant_table *table, const struct tenant *tenant)
{
	struct tenant_entry *entry = &table->tenants[table->count];

	if (tenants_by_name(table, tenant->name))
		return false;
	entry->tenant = tenant;
	table->has_ranks |= tenant->priority != TENANT_PRIORITY_NONE;
	HASH_ADD_KEYPTR(hh, table->by_name, tenant->name, strlen(tenant->name),
			entry);
	table->count++;
	return true;
}

/* Adds the keys of the tenant that was added last. */
static void add_keys(struct tenant_table *table, const struct tenant *tenant)
{
	uint32_t i;

	for (i = 0; i < tenant->digest_count; i++)
		key_set_add(&table->keys, &tenant->digests[i], table->count);
}

void tenants_build(struct tenant_table *table, const struct config *config,
		   const struct config *before)
{
	uint32_t i;
	uint32_t j;

	if (config_same_tenants(config, before))
		return;
	tenants_finish(table);
	key_set_reserve(&table->keys, count_digests(config));
	table->tenants =
		alloc_array(count_tenants(config), sizeof(*table->tenants));
	for (i = 0; i < config->profile_count; i++) {
		const struct profile *profile = config->profiles[i].profile;

		table->checks_keys |= profile->checks_keys;
		for (j = 0; j < profile->tenant_count; j++)
			if (add_tenant(table, &profile->tenants[j]))
				add_keys(table, &profile->tenants[j]);
	}
}

void tenants_finish(struct tenant_table *table)
{
	HASH_CLEAR(hh, table->by_name);
	key_set_finish(&table->keys);
	free(table->tenants);
	memset(table, 0, sizeof(*table));
}

const struct tenant *tenants_by_digest(const struct tenant_table *table,
				       const struct key_digest *digest)
{
	uint32_t owner = key_set_find(&table->keys, digest);

	return owner ? table->tenants[owner - 1].tenant : NULL;
}

const struct tenant *tenants_by_name(const struct tenant_table *table,
				     const char *name)
{
	struct tenant_entry *entry;

	HASH_FIND(hh, table->by_name, name, strlen(name), entry);
	return entry ? entry->tenant : NULL;
}
