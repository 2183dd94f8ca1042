#include "profile/profile_parse.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Limits of upstreams as read from the text. */
struct upstream_text {
	char service[SERVICE_NAME_SIZE];
	int64_t connections_max;
	char health_check[HEALTH_CHECK_MAX_BYTES + 1];
};

/* A route as read from the text, with the name of the kind. */
struct route_text {
	char method[METHOD_SIZE];
	char path[ROUTE_PATH_SIZE];
	char kind[KIND_NAME_SIZE];
	bool is_public;
};

static const struct schema_field profile_fields[] = {
	{ .name = "services",
	  .type = SCHEMA_ARRAY,
	  .help = "Services that may run under this profile; \"*\" is all" },
	SCHEMA_FIELD_REAL(struct profile, retry_share, "retry_share", 0, 1,
			  "0.1", "Retries allowed for each first try"),
	SCHEMA_FIELD_INTEGER(struct profile, retry_burst, "retry_burst", 0,
			     1000, "10",
			     "Retries that a quiet node may make at once"),
	SCHEMA_FIELD_INTEGER(struct profile, drain_ms, "drain_ms", 0, 600000,
			     "10000",
			     "Milliseconds that work in progress may take when "
			     "an upstream leaves"),
	SCHEMA_FIELD_INTEGER(struct profile, cold_start_ms, "cold_start_ms", 0,
			     600000, "5000",
			     "Milliseconds until a new upstream has its full "
			     "share"),
	SCHEMA_FIELD_BOOLEAN(struct profile, spill, "spill", "true",
			     "Whether calls may go to other data centres"),
	SCHEMA_FIELD_INTEGER(struct profile, spill_wait_ms, "spill_wait_ms", 0,
			     60000, "2",
			     "Milliseconds that the wait here must be longer "
			     "than there"),
	{ .name = "kind",
	  .type = SCHEMA_TABLE,
	  .help = "Kinds of request, one table each" },
	{ .name = "route",
	  .type = SCHEMA_ARRAY,
	  .help = "Which requests are of which kind" },
	{ .name = "host_route",
	  .type = SCHEMA_ARRAY,
	  .fallback = "",
	  .help = "Which services get the requests for a host and its "
		  "prefixes" },
	{ .name = "limits",
	  .type = SCHEMA_TABLE,
	  .fallback = "",
	  .help = "What callers may send, and how long they may take" },
	{ .name = "upstream",
	  .type = SCHEMA_ARRAY,
	  .fallback = "",
	  .help = "What the upstreams of a service bear" },
	{ .name = "tenant",
	  .type = SCHEMA_TABLE,
	  .fallback = "",
	  .help = "Client accounts, one table each; requests then need a "
		  "key" },
};

/* Keys that a profile must have, unless the profile holds host routes, limits,
 * upstreams or tenants. */
static const char *const service_keys[] = { "services", "kind", "route" };

static const struct schema_field kind_fields[] = {
	SCHEMA_FIELD_REAL(struct kind, weight, "weight", 0, KIND_WEIGHT_MAX,
			  "1", "Share under overload; 0 for background"),
	SCHEMA_FIELD_INTEGER(struct kind, priority, "priority", 0,
			     KIND_PRIORITY_MAX, "0",
			     "Rank among kinds of the same weight, 0 the "
			     "highest"),
	SCHEMA_FIELD_INTEGER(struct kind, timeout_ms, "timeout_ms", 0,
			     KIND_TIME_MAX_MS, "0",
			     "Milliseconds that a caller waits at most, "
			     "whatever deadline it names; 0 for no such bound"),
	SCHEMA_FIELD_INTEGER(struct kind, target_ms, "target_ms", 0,
			     KIND_TIME_MAX_MS, "0",
			     "Milliseconds within which an answer is worth the "
			     "most; 0 if all are alike"),
	SCHEMA_FIELD_INTEGER(struct kind, deadline_ms, "deadline_ms", 1,
			     KIND_TIME_MAX_MS, "2000",
			     "Milliseconds for an answer, if the caller names "
			     "no deadline"),
	SCHEMA_FIELD_BOOLEAN(struct kind, repeatable, "repeatable", "false",
			     "Whether a try that may have run may be sent "
			     "again"),
	SCHEMA_FIELD_INTEGER(struct kind, attempts_max, "attempts_max", 1,
			     KIND_ATTEMPTS_MAX, "3",
			     "Tries of one request, the first included"),
	SCHEMA_FIELD_INTEGER(struct kind, queue_max, "queue_max", 0, 100000,
			     "100", "Requests that wait at one gate"),
};

static const struct schema_field route_fields[] = {
	SCHEMA_FIELD_STRING(struct route_text, method, "method", 1, "*",
			    "Method in upper case; \"*\" is any"),
	SCHEMA_FIELD_STRING(struct route_text, path, "path", 1, NULL,
			    "Whole path, or a prefix that ends with \"*\""),
	SCHEMA_FIELD_STRING(struct route_text, kind, "kind", 1, NULL,
			    "Name of a kind of this profile"),
	SCHEMA_FIELD_BOOLEAN(struct route_text, is_public, "public", "false",
			     "Whether requests need no key"),
};

static const struct schema_field limit_fields[] = {
	SCHEMA_FIELD_INTEGER(struct caller_limits, header_bytes, "header_bytes",
			     LIMIT_HEADER_MIN_BYTES, LIMIT_HEADER_MAX_BYTES,
			     "16384", "Bytes of a request's head"),
	SCHEMA_FIELD_INTEGER(struct caller_limits, body_bytes, "body_bytes", 0,
			     LIMIT_BODY_MAX_BYTES, "1048576",
			     "Bytes of a request's body"),
	SCHEMA_FIELD_INTEGER(struct caller_limits, header_timeout_ms,
			     "header_timeout_ms", 1,
			     LIMIT_HEADER_TIMEOUT_MAX_MS, "10000",
			     "Milliseconds that a request's head may take"),
	SCHEMA_FIELD_INTEGER(struct caller_limits, idle_timeout_ms,
			     "idle_timeout_ms", 1, LIMIT_IDLE_TIMEOUT_MAX_MS,
			     "75000",
			     "Milliseconds that a connection may stay idle"),
};

static const struct schema_field upstream_fields[] = {
	SCHEMA_FIELD_STRING(struct upstream_text, service, "service", 1, NULL,
			    "Service whose upstreams these are"),
	SCHEMA_FIELD_INTEGER(struct upstream_text, connections_max,
			     "connections_max", 1, UPSTREAM_CONNECTIONS_MAX,
			     "110", "Connections that one upstream accepts"),
	SCHEMA_FIELD_STRING(struct upstream_text, health_check, "health_check",
			    0, "", "Path of its health check; empty for none"),
};

enum {
	PROFILE_FIELD_COUNT =
		sizeof(profile_fields) / sizeof(profile_fields[0]),
	KIND_FIELD_COUNT = sizeof(kind_fields) / sizeof(kind_fields[0]),
	ROUTE_FIELD_COUNT = sizeof(route_fields) / sizeof(route_fields[0]),
	LIMIT_FIELD_COUNT = sizeof(limit_fields) / sizeof(limit_fields[0]),
	UPSTREAM_FIELD_COUNT =
		sizeof(upstream_fields) / sizeof(upstream_fields[0]),
	SERVICE_KEY_COUNT = sizeof(service_keys) / sizeof(service_keys[0]),
	/* Kinds that are compared with a name that is unknown. */
	NEAREST_KINDS_MAX = 256,
};

uint32_t parse_count_children(const struct toml_node *node)
{
	const struct toml_node *child;
	uint32_t count = 0;

	for (child = node ? node->first_child : NULL; child;
	     child = child->next)
		count++;
	return count;
}

void *parse_alloc_items(const struct toml_node *node, const char *name,
			uint32_t max_count, size_t item_size,
			struct faults *faults)
{
	uint32_t count = parse_count_children(node);
	void *items;

	if (count > max_count)
		fault_add(faults, node->line,
			  "%s may have at most %u entries, has %u", name,
			  max_count, count);
	if (!count)
		fault_add(faults, node ? node->line : 0,
			  "%s must have at least one entry", name);
	items = calloc(max_count < count ? max_count : count + 1, item_size);
	if (!items)
		abort();
	return items;
}

static void read_service(struct profile *profile, const struct toml_node *node,
			 struct faults *faults)
{
	uint32_t i;

	if (node->type != TOML_STRING) {
		fault_add(faults, node->line, "services must hold strings");
		return;
	}
	if (strcmp(node->string, "*") &&
	    !profile_name_valid(node->string, SERVICE_NAME_SIZE)) {
		fault_add(faults, node->line,
			  "\"%.80s\" is no service name: letters a-z, digits, "
			  "- _ . and at most %d bytes",
			  node->string, SERVICE_NAME_SIZE - 1);
		return;
	}
	for (i = 0; i < profile->service_count; i++)
		if (!strcmp(profile->services[i], node->string)) {
			fault_add(faults, node->line,
				  "service \"%s\" is listed twice",
				  node->string);
			return;
		}
	snprintf(profile->services[profile->service_count++], SERVICE_NAME_SIZE,
		 "%s", node->string);
}

static void read_services(struct profile *profile, const struct toml_node *list,
			  struct faults *faults)
{
	const struct toml_node *node;

	if (!list || list->type != TOML_ARRAY)
		return;
	profile->services =
		parse_alloc_items(list, "services", PROFILE_SERVICES_MAX,
				  sizeof(*profile->services), faults);
	for (node = list->first_child;
	     node && profile->service_count < PROFILE_SERVICES_MAX;
	     node = node->next)
		read_service(profile, node, faults);
}

static void read_kind(struct profile *profile, const struct toml_node *node,
		      struct faults *faults)
{
	struct kind *kind = &profile->kinds[profile->kind_count];
	char path[PROFILE_NAME_SIZE + 16];

	if (!profile_name_valid(node->key, KIND_NAME_SIZE)) {
		fault_add(faults, node->line,
			  "\"%.80s\" is no kind name: letters a-z, digits, "
			  "- _ . and at most %d bytes",
			  node->key, KIND_NAME_SIZE - 1);
		return;
	}
	if (node->type != TOML_TABLE) {
		fault_add(faults, node->line, "kind.%s must be a table",
			  node->key);
		return;
	}
	snprintf(kind->name, sizeof(kind->name), "%s", node->key);
	profile->kind_count++;
	snprintf(path, sizeof(path), "kind.%s", node->key);
	schema_read(node, path, kind_fields, KIND_FIELD_COUNT, kind, faults);
}

static void read_kinds(struct profile *profile, const struct toml_node *table,
		       struct faults *faults)
{
	const struct toml_node *node;

	if (!table || table->type != TOML_TABLE)
		return;
	profile->kinds = parse_alloc_items(table, "kind", PROFILE_KINDS_MAX,
					   sizeof(*profile->kinds), faults);
	for (node = table->first_child;
	     node && profile->kind_count < PROFILE_KINDS_MAX; node = node->next)
		read_kind(profile, node, faults);
}

static bool method_valid(const char *method)
{
	if (!strcmp(method, "*"))
		return true;
	for (; *method; method++)
		if (!isupper((unsigned char)*method))
			return false;
	return true;
}

static bool path_valid(const char *path)
{
	const char *star = strchr(path, '*');

	if (*path != '/' || (star && star[1]))
		return false;
	for (; *path; path++)
		if (!isgraph((unsigned char)*path) || strchr("?#", *path))
			return false;
	return true;
}

static const char *nearest_kind(const struct profile *profile, const char *name)
{
	struct schema_field names[NEAREST_KINDS_MAX] = { 0 };
	uint32_t count = 0;

	for (; count < profile->kind_count && count < NEAREST_KINDS_MAX;
	     count++)
		names[count].name = profile->kinds[count].name;
	return schema_nearest(name, names, count);
}

void parse_find_kind(const struct profile *profile, uint32_t *kind,
		     uint32_t line, const char *name, struct faults *faults)
{
	const char *nearest;
	uint32_t i;

	for (i = 0; i < profile->kind_count; i++)
		if (!strcmp(profile->kinds[i].name, name)) {
			*kind = i;
			return;
		}
	nearest = nearest_kind(profile, name);
	fault_add(faults, line,
		  "route to kind \"%s\", which this profile lacks%s%s%s", name,
		  nearest ? ", did you mean " : "", nearest ? nearest : "",
		  nearest ? "?" : "");
}

static void check_duplicate(const struct profile *profile,
			    const struct profile_route *route,
			    struct faults *faults)
{
	uint32_t i;

	for (i = 0; i < profile->route_count; i++) {
		const struct profile_route *other = &profile->routes[i];

		if (strcmp(other->method, route->method) ||
		    strcmp(other->path, route->path))
			continue;
		fault_add(faults, route->line,
			  "route %s %s is already given in line %u",
			  route->method, route->path, other->line);
		return;
	}
}

static void read_route(struct profile *profile, const struct toml_node *node,
		       struct faults *faults)
{
	struct profile_route *route = &profile->routes[profile->route_count];
	struct route_text text = { 0 };

	if (node->type != TOML_TABLE) {
		fault_add(faults, node->line, "route must be a table");
		return;
	}
	schema_read(node, "route", route_fields, ROUTE_FIELD_COUNT, &text,
		    faults);
	route->line = node->line;
	route->is_public = text.is_public;
	snprintf(route->method, sizeof(route->method), "%s", text.method);
	snprintf(route->path, sizeof(route->path), "%s", text.path);
	if (!method_valid(text.method))
		fault_add(faults, node->line,
			  "route.method must be upper case or \"*\", is \"%s\"",
			  text.method);
	if (*text.path && !path_valid(text.path))
		fault_add(faults, node->line,
			  "route.path must begin with / and may have * only at "
			  "its end, is \"%s\"",
			  text.path);
	if (*text.kind)
		parse_find_kind(profile, &route->kind, node->line, text.kind,
				faults);
	if (*text.path)
		check_duplicate(profile, route, faults);
	profile->route_count++;
}

static void read_routes(struct profile *profile, const struct toml_node *list,
			struct faults *faults)
{
	const struct toml_node *node;

	if (!list || list->type != TOML_ARRAY)
		return;
	profile->routes = parse_alloc_items(list, "route", PROFILE_ROUTES_MAX,
					    sizeof(*profile->routes), faults);
	for (node = list->first_child;
	     node && profile->route_count < PROFILE_ROUTES_MAX;
	     node = node->next)
		read_route(profile, node, faults);
}

static void read_limits(struct profile *profile, const struct toml_node *table,
			struct faults *faults)
{
	if (!table || table->type != TOML_TABLE)
		return;
	profile->limits.present = true;
	schema_read(table, "limits", limit_fields, LIMIT_FIELD_COUNT,
		    &profile->limits, faults);
}

static void read_upstream(struct profile *profile, const struct toml_node *node,
			  struct faults *faults)
{
	struct upstream_limits *limits =
		&profile->upstreams[profile->upstream_count];
	struct upstream_text text;

	if (node->type != TOML_TABLE) {
		fault_add(faults, node->line, "upstream must be a table");
		return;
	}
	text.service[0] = '\0';
	schema_read(node, "upstream", upstream_fields, UPSTREAM_FIELD_COUNT,
		    &text, faults);
	snprintf(limits->service, sizeof(limits->service), "%s", text.service);
	limits->connections_max = text.connections_max;
	limits->health_check = strdup(text.health_check);
	if (!limits->health_check)
		abort();
	profile->upstream_count++;
}

static void read_upstreams(struct profile *profile,
			   const struct toml_node *list, struct faults *faults)
{
	const struct toml_node *node;

	if (!list || list->type != TOML_ARRAY)
		return;
	profile->upstreams =
		parse_alloc_items(list, "upstream", PROFILE_UPSTREAMS_MAX,
				  sizeof(*profile->upstreams), faults);
	for (node = list->first_child;
	     node && profile->upstream_count < PROFILE_UPSTREAMS_MAX;
	     node = node->next)
		read_upstream(profile, node, faults);
}

static bool is_service_key(const char *name)
{
	size_t i;

	for (i = 0; i < SERVICE_KEY_COUNT; i++)
		if (!strcmp(name, service_keys[i]))
			return true;
	return false;
}

/* Copies the fields of the root table into @fields. The keys of service_keys
 * become optional if the text has host routes, limits, upstreams or tenants. */
static void copy_root_fields(const struct toml_node *root,
			     struct schema_field fields[PROFILE_FIELD_COUNT])
{
	size_t i;

	memcpy(fields, profile_fields, sizeof(profile_fields));
	if (!toml_find(root, "host_route") && !toml_find(root, "limits") &&
	    !toml_find(root, "upstream") && !toml_find(root, "tenant"))
		return;
	for (i = 0; i < PROFILE_FIELD_COUNT; i++)
		if (is_service_key(fields[i].name))
			fields[i].fallback = "";
}

static struct toml_node *read_text(const char *name, const char *text,
				   size_t size, struct faults *faults)
{
	struct error err = ERROR_INIT;
	struct toml_node *root;
	uint32_t line = 0;

	if (!profile_name_valid(name, PROFILE_NAME_SIZE))
		fault_add(faults, 0,
			  "\"%.80s\" is no profile name: letters a-z, digits, "
			  "- _ . and at most %d bytes",
			  name, PROFILE_NAME_SIZE - 1);
	if (size > PROFILE_TEXT_MAX) {
		fault_add(faults, 0,
			  "a profile may have at most %d bytes, has %zu",
			  PROFILE_TEXT_MAX, size);
		return NULL;
	}
	root = toml_parse(text, size, &line, &err);
	if (!root)
		fault_add(faults, line, "%s", err.text);
	return root;
}

struct profile *profile_parse(const char *name, const char *text, size_t size,
			      struct faults *faults)
{
	uint32_t faults_before = faults->count;
	struct toml_node *root = read_text(name, text, size, faults);
	struct schema_field fields[PROFILE_FIELD_COUNT];
	struct profile *profile;

	if (!root)
		return NULL;
	profile = calloc(1, sizeof(*profile));
	if (!profile)
		abort();
	snprintf(profile->name, sizeof(profile->name), "%s", name);
	copy_root_fields(root, fields);
	schema_read(root, "", fields, PROFILE_FIELD_COUNT, profile, faults);
	read_services(profile, toml_find(root, "services"), faults);
	read_kinds(profile, toml_find(root, "kind"), faults);
	read_routes(profile, toml_find(root, "route"), faults);
	parse_host_routes(profile, toml_find(root, "host_route"), faults);
	read_limits(profile, toml_find(root, "limits"), faults);
	read_upstreams(profile, toml_find(root, "upstream"), faults);
	parse_tenants(profile, toml_find(root, "tenant"), faults);
	toml_free(root);
	if (faults->count == faults_before)
		return profile;
	profile_free(profile);
	return NULL;
}
