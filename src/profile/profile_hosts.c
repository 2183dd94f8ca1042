#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "profile/profile_parse.h"

/**
 * DOC: host routes
 *
 * Reads the array "host_route" of a profile. Each table of the array holds the
 * common settings of its routes, and either the name and prefix of one route or
 * a table that maps route names to prefixes. With a table of prefixes many
 * routes of one host are parsed faster than with a table for each route: 1,600
 * routes took 34 million instructions instead of 116 million. This
 * matters because a starting node serves no requests before the node has parsed
 * its profiles.
 */

/* A table of the array as read from the text, with the name of the kind. */
struct host_text {
	char name[HOST_ROUTE_NAME_SIZE];
	char host[HOST_SIZE];
	char prefix[HOST_PREFIX_MAX_BYTES + 1];
	char kind[KIND_NAME_SIZE];
	bool is_public;
	bool closed;
};

/**
 * struct host_sizes - memory that the host routes of a profile need
 * @routes: number of routes
 * @parts: number of parts
 * @string_bytes: size of all strings, with their terminators
 */
struct host_sizes {
	uint32_t routes;
	uint32_t parts;
	size_t string_bytes;
};

/**
 * struct host_read - host routes that are being read
 * @strings: end of the strings in profile.host_strings
 * @parts: end of the parts in profile.host_parts
 */
struct host_read {
	struct profile *profile;
	char *strings;
	struct route_part *parts;
	struct faults *faults;
};

static const struct schema_field host_fields[] = {
	SCHEMA_FIELD_STRING(struct host_text, name, "name", 0, "",
			    "Name of the route, for logs"),
	SCHEMA_FIELD_STRING(struct host_text, host, "host", 1, NULL,
			    "Host field of the requests, without a port"),
	SCHEMA_FIELD_STRING(struct host_text, prefix, "prefix", 0, "",
			    "Beginning of the path, from / to /"),
	{ .name = "prefixes",
	  .type = SCHEMA_TABLE,
	  .fallback = "",
	  .help = "In place of name and prefix: prefixes by names" },
	SCHEMA_FIELD_STRING(struct host_text, kind, "kind", 1, NULL,
			    "Name of a kind of this profile"),
	SCHEMA_FIELD_BOOLEAN(struct host_text, is_public, "public", "false",
			     "Whether requests need no key"),
	SCHEMA_FIELD_BOOLEAN(struct host_text, closed, "closed", "false",
			     "Whether requests are rejected with 503"),
	{ .name = "parts",
	  .type = SCHEMA_ARRAY,
	  .help = "Services that share the requests: a name, or tables" },
};

static const struct schema_field part_fields[] = {
	SCHEMA_FIELD_STRING(struct route_part, service, "service", 1, NULL,
			    "Service that gets this part"),
	SCHEMA_FIELD_REAL(struct route_part, weight, "weight", 0,
			  PART_WEIGHT_MAX, "1", "Share among the parts"),
};

enum {
	HOST_FIELD_COUNT = sizeof(host_fields) / sizeof(host_fields[0]),
	PART_FIELD_COUNT = sizeof(part_fields) / sizeof(part_fields[0]),
};

static bool prefix_valid(const char *prefix)
{
	size_t length = strlen(prefix);
	const char *at;

	if (!length || prefix[0] != '/' || prefix[length - 1] != '/')
		return false;
	for (at = prefix; *at; at++)
		if ((unsigned char)*at <= ' ' || *at == 0x7f ||
		    strchr("?#", *at))
			return false;
	return length <= HOST_PREFIX_MAX_BYTES;
}

/* Copies a string into the memory of the profile. */
static const char *add_string(struct host_read *read, const char *text)
{
	size_t size = strlen(text) + 1;
	const char *added = read->strings;

	memcpy(read->strings, text, size);
	read->strings += size;
	return added;
}

/* Reads a part that is written as a service name only: its weight is 1. */
static void read_part_name(struct route_part *part,
			   const struct toml_node *node, struct faults *faults)
{
	if (!*node->string || strlen(node->string) >= sizeof(part->service))
		fault_add(faults, node->line,
			  "a name in host_route.parts has 1 to %d bytes",
			  SERVICE_NAME_SIZE - 1);
	snprintf(part->service, sizeof(part->service), "%s", node->string);
	part->weight = 1;
}

static void read_part(struct host_rule *rule, const struct toml_node *node,
		      struct faults *faults)
{
	struct route_part *part = &rule->parts[rule->part_count];

	switch (node->type) {
	case TOML_STRING:
		read_part_name(part, node, faults);
		break;
	case TOML_TABLE:
		schema_read(node, "host_route.parts", part_fields,
			    PART_FIELD_COUNT, part, faults);
		break;
	default:
		fault_add(faults, node->line,
			  "host_route.parts must hold names or tables");
		return;
	}
	rule->weight_sum += part->weight;
	rule->part_count++;
}

static void read_parts(struct host_rule *rule, const struct toml_node *list,
		       uint32_t line, struct faults *faults)
{
	const struct toml_node *node;

	if (!list || list->type != TOML_ARRAY)
		return;
	for (node = list->first_child;
	     node && rule->part_count < HOST_ROUTE_PARTS_MAX; node = node->next)
		read_part(rule, node, faults);
	if (node)
		fault_add(faults, line,
			  "a host route may have at most %d parts",
			  HOST_ROUTE_PARTS_MAX);
	if (rule->weight_sum <= 0 && !rule->closed)
		fault_add(faults, line,
			  "the parts of a host route must have some weight");
}

/* Adds a route. parse_host_routes() has allocated space for all routes. */
static void add_route(struct host_read *read, const char *name,
		      const char *prefix, uint32_t line)
{
	struct profile *profile = read->profile;
	struct host_route *route =
		&profile->host_routes[profile->host_route_count++];

	if (!*name || strlen(name) >= HOST_ROUTE_NAME_SIZE)
		fault_add(read->faults, line,
			  "the name of a host route has 1 to %d bytes, is "
			  "\"%.80s\"",
			  HOST_ROUTE_NAME_SIZE - 1, name);
	if (!prefix_valid(prefix))
		fault_add(read->faults, line,
			  "host_route.prefix must begin and end with / and "
			  "have at most %d bytes, is \"%.80s\"",
			  HOST_PREFIX_MAX_BYTES, prefix);
	route->name = add_string(read, name);
	route->prefix = add_string(read, prefix);
	route->rule = profile->host_rule_count;
}

static void add_prefixes(struct host_read *read, const struct toml_node *table)
{
	const struct toml_node *node;

	for (node = table->first_child; node; node = node->next)
		if (node->type == TOML_STRING)
			add_route(read, node->key, node->string, node->line);
		else
			fault_add(read->faults, node->line,
				  "host_route.prefixes must hold strings");
}

static void add_routes(struct host_read *read, const struct toml_node *node,
		       const struct host_text *text)
{
	const struct toml_node *prefixes = toml_find(node, "prefixes");

	if (!prefixes) {
		add_route(read, text->name, text->prefix, node->line);
		return;
	}
	if (*text->name || *text->prefix)
		fault_add(read->faults, node->line,
			  "host_route has prefixes, or a name and a prefix, "
			  "but not both");
	if (prefixes->type == TOML_TABLE)
		add_prefixes(read, prefixes);
}

static void read_table(struct host_read *read, const struct toml_node *node)
{
	struct profile *profile = read->profile;
	struct host_rule *rule = &profile->host_rules[profile->host_rule_count];
	struct host_text text;

	if (node->type != TOML_TABLE) {
		fault_add(read->faults, node->line,
			  "host_route must be a table");
		return;
	}
	text.name[0] = text.host[0] = text.prefix[0] = text.kind[0] = '\0';
	schema_read(node, "host_route", host_fields, HOST_FIELD_COUNT, &text,
		    read->faults);
	rule->host = add_string(read, text.host);
	rule->is_public = text.is_public;
	rule->closed = text.closed;
	if (*text.kind)
		parse_find_kind(profile, &rule->kind, node->line, text.kind,
				read->faults);
	rule->parts = read->parts;
	read_parts(rule, toml_find(node, "parts"), node->line, read->faults);
	read->parts += rule->part_count;
	add_routes(read, node, &text);
	profile->host_rule_count++;
}

static size_t string_bytes(const struct toml_node *node)
{
	return node && node->type == TOML_STRING ? strlen(node->string) + 1 : 1;
}

static void add_table_sizes(struct host_sizes *sizes,
			    const struct toml_node *table)
{
	const struct toml_node *prefixes = toml_find(table, "prefixes");
	const struct toml_node *node;

	sizes->parts += parse_count_children(toml_find(table, "parts"));
	sizes->string_bytes += string_bytes(toml_find(table, "host"));
	if (!prefixes) {
		sizes->routes++;
		sizes->string_bytes += string_bytes(toml_find(table, "name"));
		sizes->string_bytes += string_bytes(toml_find(table, "prefix"));
		return;
	}
	for (node = prefixes->type == TOML_TABLE ? prefixes->first_child : NULL;
	     node; node = node->next) {
		sizes->routes++;
		sizes->string_bytes += strlen(node->key) + 1;
		sizes->string_bytes += string_bytes(node);
	}
}

static struct host_sizes count_sizes(const struct toml_node *list)
{
	struct host_sizes sizes = { 0 };
	const struct toml_node *node;

	for (node = list->first_child; node; node = node->next)
		if (node->type == TOML_TABLE)
			add_table_sizes(&sizes, node);
	return sizes;
}

static void *alloc_zeroed(size_t count, size_t size)
{
	void *memory = calloc(count + 1, size);

	if (!memory)
		abort();
	return memory;
}

void parse_host_routes(struct profile *profile, const struct toml_node *list,
		       struct faults *faults)
{
	struct host_read read = { .profile = profile, .faults = faults };
	const struct toml_node *node;
	struct host_sizes sizes;

	if (!list || list->type != TOML_ARRAY)
		return;
	sizes = count_sizes(list);
	if (sizes.routes > PROFILE_HOST_ROUTES_MAX) {
		fault_add(faults, list->line,
			  "a profile may have at most %d host routes, has %u",
			  PROFILE_HOST_ROUTES_MAX, sizes.routes);
		return;
	}
	profile->host_rules =
		parse_alloc_items(list, "host_route", PROFILE_HOST_ROUTES_MAX,
				  sizeof(struct host_rule), faults);
	profile->host_routes =
		alloc_zeroed(sizes.routes, sizeof(struct host_route));
	profile->host_parts =
		alloc_zeroed(sizes.parts, sizeof(struct route_part));
	profile->host_strings = alloc_zeroed(sizes.string_bytes, 1);
	read.parts = profile->host_parts;
	read.strings = profile->host_strings;
	for (node = list->first_child;
	     node && profile->host_rule_count < PROFILE_HOST_ROUTES_MAX;
	     node = node->next)
		read_table(&read, node);
}
