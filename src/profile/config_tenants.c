#include "profile/config_tenants.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "profile/key_set.h"

/* A tenant of a version, by name. */
struct named_tenant {
	const struct tenant *tenant;
	const char *profile;
	UT_hash_handle hh;
};

/**
 * struct check - a check in progress
 * @tenants: array of @count tenants, hashed in @by_name
 * @keys: all keys, each with the index of its tenant in @tenants plus 1
 */
struct check {
	struct named_tenant *tenants;
	struct named_tenant *by_name;
	uint32_t count;
	struct key_set keys;
};

/* Returns the next profile from @index on that has tenants, or NULL. */
static const struct profile *next_with_tenants(const struct config *config,
					       uint32_t *index)
{
	while (config && *index < config->profile_count) {
		const struct profile *profile =
			config->profiles[(*index)++].profile;

		if (profile->checks_keys)
			return profile;
	}
	return NULL;
}

bool config_same_tenants(const struct config *config,
			 const struct config *before)
{
	const struct profile *profile;
	uint32_t old = 0;
	uint32_t new = 0;

	if (!before)
		return false;
	do {
		profile = next_with_tenants(config, &new);
		if (profile != next_with_tenants(before, &old))
			return false;
	} while (profile);
	return true;
}

static uint32_t count_tenants(const struct config *config)
{
	const struct profile *profile;
	uint32_t count = 0;
	uint32_t at = 0;

	while ((profile = next_with_tenants(config, &at)))
		count += profile->tenant_count;
	return count;
}

static bool add_name(struct check *check, const struct tenant *tenant,
		     const char *profile, struct error *err)
{
	struct named_tenant *added = &check->tenants[check->count++];
	struct named_tenant *other;

	HASH_FIND(hh, check->by_name, tenant->name, strlen(tenant->name),
		  other);
	if (other) {
		error_set(err, ERROR_INVALID,
			  "tenant %s stands in the profiles %s and %s",
			  tenant->name, other->profile, profile);
		return false;
	}
	added->tenant = tenant;
	added->profile = profile;
	HASH_ADD_KEYPTR(hh, check->by_name, tenant->name, strlen(tenant->name),
			added);
	return true;
}

static bool add_keys(struct check *check, const struct tenant *tenant,
		     struct error *err)
{
	uint32_t i;

	for (i = 0; i < tenant->digest_count; i++) {
		uint32_t owner = key_set_add(&check->keys, &tenant->digests[i],
					     check->count);

		if (!owner)
			continue;
		error_set(err, ERROR_INVALID,
			  "tenant %s has a key that is already given to "
			  "tenant %s",
			  tenant->name, check->tenants[owner - 1].tenant->name);
		return false;
	}
	return true;
}

static bool add_profile(struct check *check, const struct profile *profile,
			struct error *err)
{
	uint32_t i;

	for (i = 0; i < profile->tenant_count; i++) {
		const struct tenant *tenant = &profile->tenants[i];

		if (!add_name(check, tenant, profile->name, err) ||
		    !add_keys(check, tenant, err))
			return false;
	}
	return true;
}

static bool check_all(const struct config *config, struct error *err)
{
	const struct profile *profile;
	struct check check = { 0 };
	uint32_t at = 0;
	bool ok = true;

	check.tenants =
		calloc(count_tenants(config) + 1, sizeof(*check.tenants));
	if (!check.tenants)
		abort();
	while (ok && (profile = next_with_tenants(config, &at)))
		ok = add_profile(&check, profile, err);
	HASH_CLEAR(hh, check.by_name);
	free(check.tenants);
	key_set_finish(&check.keys);
	return ok;
}

bool config_check_tenants(const struct config *config,
			  const struct config *before, struct error *err)
{
	return config_same_tenants(config, before) || check_all(config, err);
}
