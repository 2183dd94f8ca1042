#ifndef ROUTE_TENANTS_H
#define ROUTE_TENANTS_H

#include <uthash.h>

#include "profile/config.h"
#include "profile/key_set.h"

/**
 * DOC: tenants
 *
 * All tenants of a version of the configuration, found by the digest of a key
 * or by name.
 */

/** struct tenant_entry - a tenant, by name. */
struct tenant_entry {
	const struct tenant *tenant;
	UT_hash_handle hh;
};

/**
 * struct tenant_table - see DOC
 * @checks_keys: true if the version has a table of tenants, which may be empty
 * @has_ranks: true if a tenant has a priority
 * @keys: digests of all keys, each with the index in @tenants plus 1
 * @tenants: array of @count tenants, hashed in @by_name
 */
struct tenant_table {
	bool checks_keys;
	bool has_ranks;
	struct key_set keys;
	struct tenant_entry *tenants;
	struct tenant_entry *by_name;
	uint32_t count;
};

/**
 * tenants_build() - replaces the content of the table by that of @config
 *
 * Does nothing if the profiles with tenants are those of @before, the version
 * that the table was built from; may be NULL. The entries point into the
 * profiles of @config, which must outlive them. Of several tenants with one
 * name, or one key, the first one is used.
 */
void tenants_build(struct tenant_table *table, const struct config *config,
		   const struct config *before);

/** tenants_finish() - frees all entries and leaves an empty table. */
void tenants_finish(struct tenant_table *table);

/** tenants_by_digest() - returns the tenant with a key, or NULL. */
const struct tenant *tenants_by_digest(const struct tenant_table *table,
				       const struct key_digest *digest);

/** tenants_by_name() - returns the tenant @name, or NULL. */
const struct tenant *tenants_by_name(const struct tenant_table *table,
				     const char *name);

#endif
