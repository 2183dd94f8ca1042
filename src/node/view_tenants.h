#ifndef NODE_VIEW_TENANTS_H
#define NODE_VIEW_TENANTS_H

#include <jansson.h>

#include "quota/net.h"
#include "route/tenants.h"

/**
 * DOC: view of tenants
 *
 * What operators see of the tenants of the version in force: limits, ranks,
 * numbers of keys, what each has sent here, and how this node keeps their
 * limits. It has neither keys nor their digests.
 */

/**
 * view_tenants() - describe all tenants, sorted by name
 * @version: version of the configuration that @table was built from; 0 without
 *	one
 * @quota: how limits are kept here
 *
 * Return: JSON object, owned by the caller.
 */
json_t *view_tenants(const struct tenant_table *table, uint64_t version,
		     struct quota_net *quota);

#endif
