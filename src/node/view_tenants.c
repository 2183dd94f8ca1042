#include "node/view_tenants.h"

#include <stdlib.h>
#include <string.h>

#include "base/usage.h"

static int by_name(const void *a, const void *b)
{
	const struct tenant *const *left = a;
	const struct tenant *const *right = b;

	return strcmp((*left)->name, (*right)->name);
}

static const struct tenant **sorted(const struct tenant_table *table)
{
	const struct tenant **list = calloc(table->count + 1, sizeof(*list));
	uint32_t i;

	if (!list)
		abort();
	for (i = 0; i < table->count; i++)
		list[i] = table->tenants[i].tenant;
	qsort((void *)list, table->count, sizeof(*list), by_name);
	return list;
}

static void add_quota(json_t *json, const char *name, struct quota_net *quota)
{
	struct quota_tenant_view view = { 0 };

	quota_net_tenant_view(quota, name, &view);
	json_object_set_new(json, "used_per_s", json_real(view.used_per_s));
	json_object_set_new(json, "waiting",
			    json_integer((json_int_t)view.waiting));
	json_object_set_new(json, "due_ms", json_integer(view.due_ms));
	json_object_set_new(json, "owner", json_string(view.owner));
}

static json_t *view_tenant(const struct tenant *tenant, struct quota_net *quota)
{
	struct usage usage = usage_of(tenant->name);
	json_t *json =
		json_pack("{s:s,s:f,s:f,s:i,s:I,s:I}", "name", tenant->name,
			  "per_s", tenant->per_s, "burst", tenant->burst,
			  "keys", (int)tenant->digest_count, "requests",
			  (json_int_t)usage.counts[USAGE_REQUESTS], "refused",
			  (json_int_t)usage.counts[USAGE_REFUSED]);

	json_object_set_new(json, "priority",
			    tenant->priority == TENANT_PRIORITY_NONE
				    ? json_null()
				    : json_integer(tenant->priority));
	add_quota(json, tenant->name, quota);
	return json;
}

json_t *view_tenants(const struct tenant_table *table, uint64_t version,
		     struct quota_net *quota)
{
	const struct tenant **tenants = sorted(table);
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < table->count; i++)
		json_array_append_new(list, view_tenant(tenants[i], quota));
	free((void *)tenants);
	return json_pack("{s:I,s:b,s:b,s:b,s:o}", "version",
			 (json_int_t)version, "checks_keys", table->checks_keys,
			 "keeps_limits", quota->options.enabled,
			 "own_shares_only", quota->is_alone, "tenants", list);
}
