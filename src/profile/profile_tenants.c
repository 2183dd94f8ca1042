#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/key_set.h"
#include "profile/profile_parse.h"

/**
 * DOC: tenants of a profile
 *
 * Reads the table "tenant" of a profile, which holds a table for each tenant.
 */

static const struct schema_field tenant_fields[] = {
	{ .name = "keys",
	  .type = SCHEMA_ARRAY,
	  .fallback = "",
	  .help = "Digests of its keys, as \"geraniumplank key digest\" prints "
		  "them" },
	SCHEMA_FIELD_REAL(struct tenant, per_s, "per_s", 0, TENANT_LIMIT_MAX,
			  "0",
			  "Requests in a second over all nodes; 0 for no "
			  "limit"),
	SCHEMA_FIELD_REAL(struct tenant, burst, "burst", 0, TENANT_LIMIT_MAX,
			  "0", "Requests above that rate at once"),
	SCHEMA_FIELD_INTEGER(struct tenant, priority, "priority",
			     TENANT_PRIORITY_NONE, KIND_PRIORITY_MAX, "-1",
			     "Rank in place of that of the kind, 0 the "
			     "highest; -1 for the kind's"),
};

enum {
	TENANT_FIELD_COUNT = sizeof(tenant_fields) / sizeof(tenant_fields[0]),
};

/* Reports a key that @tenant and the tenant with the number @owner have. */
static void report_key_given_twice(const struct profile *profile,
				   const struct tenant *tenant, uint32_t owner,
				   uint32_t line, struct faults *faults)
{
	const struct tenant *other = &profile->tenants[owner - 1];

	if (other == tenant)
		fault_add(faults, line,
			  "tenant %s has a key that is already given",
			  tenant->name);
	else
		fault_add(faults, line,
			  "tenant %s has a key that is already given to "
			  "tenant %s",
			  tenant->name, other->name);
}

/* Adds a digest to the last tenant of the profile. */
static void add_digest(struct profile *profile, struct key_set *keys,
		       const struct toml_node *node, struct faults *faults)
{
	struct tenant *tenant = &profile->tenants[profile->tenant_count - 1];
	struct key_digest digest;
	uint32_t owner;

	if (node->type != TOML_STRING ||
	    !key_digest_parse(node->string, &digest)) {
		fault_add(faults, node->line,
			  "tenant %s: a key is given by the %d hexadecimal "
			  "digits of its digest",
			  tenant->name, KEY_DIGEST_TEXT_SIZE - 1);
		return;
	}
	owner = key_set_add(keys, &digest, profile->tenant_count);
	if (owner) {
		report_key_given_twice(profile, tenant, owner, node->line,
				       faults);
		return;
	}
	tenant->digests[tenant->digest_count++] = digest;
}

static void read_keys(struct profile *profile, struct key_set *keys,
		      const struct toml_node *list, struct faults *faults)
{
	struct tenant *tenant = &profile->tenants[profile->tenant_count - 1];
	const struct toml_node *node;

	if (!list || list->type != TOML_ARRAY)
		return;
	tenant->digests = calloc(parse_count_children(list) + 1,
				 sizeof(*tenant->digests));
	if (!tenant->digests)
		abort();
	for (node = list->first_child; node; node = node->next)
		add_digest(profile, keys, node, faults);
}

static void read_tenant(struct profile *profile, struct key_set *keys,
			const struct toml_node *node, struct faults *faults)
{
	struct tenant *tenant = &profile->tenants[profile->tenant_count];
	char path[TENANT_SIZE + 16];

	if (!tenant_name_valid(node->key)) {
		fault_add(faults, node->line,
			  "\"%.80s\" is no name of a tenant: printable ASCII "
			  "without quotes, at most %d bytes",
			  node->key, TENANT_SIZE - 1);
		return;
	}
	if (node->type != TOML_TABLE) {
		fault_add(faults, node->line, "tenant.%s must be a table",
			  node->key);
		return;
	}
	snprintf(tenant->name, sizeof(tenant->name), "%s", node->key);
	profile->tenant_count++;
	snprintf(path, sizeof(path), "tenant.%s", node->key);
	schema_read(node, path, tenant_fields, TENANT_FIELD_COUNT, tenant,
		    faults);
	if (!isfinite(tenant->per_s) || !isfinite(tenant->burst))
		fault_add(faults, node->line,
			  "tenant %s: per_s and burst must be finite",
			  tenant->name);
	read_keys(profile, keys, toml_find(node, "keys"), faults);
}

void parse_tenants(struct profile *profile, const struct toml_node *table,
		   struct faults *faults)
{
	const struct toml_node *node;
	uint32_t count = parse_count_children(table);
	struct key_set keys = { 0 };

	if (!table || table->type != TOML_TABLE)
		return;
	profile->checks_keys = true;
	if (count > PROFILE_TENANTS_MAX) {
		fault_add(faults, table->line,
			  "a profile may have at most %d tenants, has %u",
			  PROFILE_TENANTS_MAX, count);
		return;
	}
	profile->tenants = calloc(count + 1, sizeof(*profile->tenants));
	if (!profile->tenants)
		abort();
	for (node = table->first_child; node; node = node->next)
		read_tenant(profile, &keys, node, faults);
	key_set_finish(&keys);
}
