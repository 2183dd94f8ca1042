#ifndef CALL_TENANT_CHECK_H
#define CALL_TENANT_CHECK_H

#include "call/caller.h"
#include "call/parsed_request.h"
#include "route/tenants.h"

/**
 * DOC: tenant check
 *
 * Decides beside the caller which tenant a request is from, by the version of
 * the configuration that also decides its route. A version without a table of
 * tenants changes nothing.
 */

/**
 * tenant_check_key() - finds the tenant of a key
 * @scheme: name in front of the key; its case is ignored
 * @field: value of the header field with scheme and key
 * @err: ERROR_AUTH if no tenant has the key or the field is malformed; the text
 *	shows no part of the field and names no tenant
 *
 * Return: the tenant, or NULL. Allocates nothing.
 */
const struct tenant *tenant_check_key(const struct tenant_table *table,
				      const char *scheme, const char *field,
				      struct error *err);

/**
 * call_admit_tenant() - finds the tenant of a request that has a route
 * @parsed: its context gets the tenant and the rank; the key is dropped
 * @match: gets the tenant; valid as long as @match->config
 * @err: reason of a refusal
 *
 * Return: CALL_REASON_NONE, or CALL_UNAUTHORIZED.
 */
enum call_reason call_admit_tenant(const struct caller *caller,
				   const struct http_exchange *exchange,
				   struct parsed_request *parsed,
				   struct route_match *match,
				   struct error *err);

#endif
