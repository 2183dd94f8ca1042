#include "call/tenant_check.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/counter.h"

COUNTER(unauthorized, "call.unauthorized",
	"Requests refused because they had no key of a tenant");

static const char blanks[] = " \t";

/* Returns the key in @field and its size; NULL if @field has another scheme or
 * no key. */
static const char *find_key(const char *scheme, const char *field, size_t *size)
{
	size_t length = strlen(scheme);
	const char *key;

	if (strncasecmp(field, scheme, length) != 0 || !field[length] ||
	    !strchr(blanks, field[length]))
		return NULL;
	key = field + length + strspn(field + length, blanks);
	*size = strlen(key);
	while (*size && strchr(blanks, key[*size - 1]))
		(*size)--;
	return *size ? key : NULL;
}

const struct tenant *tenant_check_key(const struct tenant_table *table,
				      const char *scheme, const char *field,
				      struct error *err)
{
	const struct tenant *tenant;
	struct key_digest digest;
	const char *key;
	size_t size;

	key = find_key(scheme, field, &size);
	if (!key) {
		error_set(err, ERROR_AUTH, "the key must be given as %s KEY",
			  scheme);
		return NULL;
	}
	if (size > KEY_MAX_BYTES) {
		error_set(err, ERROR_AUTH, "a key has at most %d bytes",
			  KEY_MAX_BYTES);
		return NULL;
	}
	digest = key_digest_of(key, size);
	tenant = tenants_by_digest(table, &digest);
	if (!tenant)
		error_set(err, ERROR_AUTH, "no tenant has this key");
	return tenant;
}

/* Fields of a request with one name. */
struct found_fields {
	const char *name;
	const char *value;
	uint32_t count;
};

static void count_field(const char *name, const char *value, void *data)
{
	struct found_fields *found = data;

	if (strcasecmp(name, found->name) != 0)
		return;
	found->value = value;
	found->count++;
}

static const struct tenant *tenant_of_key(const struct caller *caller,
					  const struct http_exchange *exchange,
					  struct error *err)
{
	const struct call_names *names = caller->options.names;
	struct found_fields found = { .name = names->key };

	http_exchange_each_header(exchange, count_field, &found);
	if (found.count == 1)
		return tenant_check_key(&caller->options.router->tenants,
					names->key_scheme, found.value, err);
	error_set(err, ERROR_AUTH,
		  found.count ? "the field %s is given more than once"
			      : "the field %s with a key is missing",
		  names->key);
	return NULL;
}

/* Returns true if the upstream beside this node has sent the request: its own
 * request came from another node, which knew the tenant. */
static bool is_from_own_upstream(const struct caller *caller,
				 const struct http_exchange *exchange)
{
	const char *hops = http_exchange_header(exchange, HEADER_HOPS);
	struct address address;

	if (!hops || strtoul(hops, NULL, 10) == 0)
		return false;
	http_exchange_caller_address(exchange, &address);
	return address_equal(&address, &caller->upstream_ip);
}

/* Returns the tenant that a nested call names, or NULL. */
static const struct tenant *tenant_named(const struct caller *caller,
					 const struct http_exchange *exchange,
					 const struct parsed_request *parsed)
{
	if (!parsed->names->reads_tenant ||
	    !is_from_own_upstream(caller, exchange))
		return NULL;
	return tenants_by_name(&caller->options.router->tenants,
			       parsed->context.tenant);
}

/* Names no tenant where none is known, so that the upstream is told of none. */
static void set_tenant(struct parsed_request *parsed, struct route_match *match,
		       const struct tenant *tenant)
{
	struct call_context *context = &parsed->context;

	match->tenant = tenant;
	memset(context->tenant, 0, sizeof(context->tenant));
	if (!tenant)
		return;
	memcpy(context->tenant, tenant->name, sizeof(context->tenant));
	context->rank = tenant->priority;
}

enum call_reason call_admit_tenant(const struct caller *caller,
				   const struct http_exchange *exchange,
				   struct parsed_request *parsed,
				   struct route_match *match, struct error *err)
{
	const struct tenant *tenant;

	if (!caller->options.router->tenants.checks_keys)
		return CALL_REASON_NONE;
	parsed_request_drop(parsed, parsed->names->key);
	tenant = match->is_public ? tenant_named(caller, exchange, parsed)
				  : tenant_of_key(caller, exchange, err);
	if (!tenant && !match->is_public && caller->options.require_keys) {
		counter_add(&unauthorized, 1);
		return CALL_UNAUTHORIZED;
	}
	set_tenant(parsed, match, tenant);
	return CALL_REASON_NONE;
}
