#include "operator/target.h"

#include <stdio.h>
#include <string.h>

/** enum name_rule - whether a name may follow the resource in the path. */
enum name_rule { NAME_NONE, NAME_OPTIONAL };

struct resource_row {
	const char *segment;
	enum resource resource;
	enum name_rule rule;
};

/* /v1/RESOURCE and /v1/RESOURCE/NAME */
static const struct resource_row top_resources[] = {
	{ "status", RESOURCE_STATUS, NAME_NONE },
	{ "health", RESOURCE_HEALTH, NAME_NONE },
	{ "dump", RESOURCE_DUMP, NAME_OPTIONAL },
	{ "counters", RESOURCE_COUNTERS, NAME_NONE },
	{ "metrics", RESOURCE_METRICS, NAME_NONE },
	{ "drill", RESOURCE_DRILL, NAME_NONE },
	{ "profiles", RESOURCE_PROFILES, NAME_OPTIONAL },
	{ "accept", RESOURCE_ACCEPT, NAME_NONE },
	{ "history", RESOURCE_HISTORY, NAME_NONE },
};

/* /v1/profiles/NAME/RESOURCE */
static const struct resource_row profile_resources[] = {
	{ "draft", RESOURCE_DRAFT, NAME_NONE },
	{ "diff", RESOURCE_DIFF, NAME_NONE },
	{ "remove", RESOURCE_REMOVE, NAME_NONE },
	{ "accept", RESOURCE_ACCEPT, NAME_NONE },
	{ "revert", RESOURCE_REVERT, NAME_NONE },
	{ "history", RESOURCE_HISTORY, NAME_NONE },
};

#define ROWS(a) (sizeof(a) / sizeof((a)[0]))

static const struct resource_row *find(const struct resource_row *rows,
				       size_t count, const char *segment,
				       size_t length)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (strlen(rows[i].segment) == length &&
		    !strncmp(rows[i].segment, segment, length))
			return &rows[i];
	return NULL;
}

/* Copies the first segment of @path to the name of @target. Sets *@rest to the
 * path after the next slash, NULL if there is none. Returns false if the
 * segment is empty or too long. */
static bool read_name(const char *path, struct target *target,
		      const char **rest)
{
	size_t length = strcspn(path, "/");

	if (!length || length >= sizeof(target->name))
		return false;
	memcpy(target->name, path, length);
	target->name[length] = '\0';
	*rest = path[length] ? path + length + 1 : NULL;
	return true;
}

static bool parse_name(const struct resource_row *row, const char *path,
		       struct target *target)
{
	const char *rest;

	if (row->rule == NAME_NONE || !read_name(path, target, &rest))
		return false;
	if (!rest)
		return true;
	if (row->resource != RESOURCE_PROFILES)
		return false;
	row = find(profile_resources, ROWS(profile_resources), rest,
		   strlen(rest));
	if (!row)
		return false;
	target->resource = row->resource;
	return true;
}

bool target_parse(const char *path, struct target *target)
{
	static const char prefix[] = "/v1/";
	const struct resource_row *row;
	size_t length;

	if (strncmp(path, prefix, strlen(prefix)) != 0)
		return false;
	path += strlen(prefix);
	length = strcspn(path, "/");
	row = find(top_resources, ROWS(top_resources), path, length);
	if (!row)
		return false;
	target->resource = row->resource;
	target->name[0] = '\0';
	if (!path[length])
		return true;
	return parse_name(row, path + length + 1, target);
}

const char *target_methods(enum resource resource)
{
	switch (resource) {
	case RESOURCE_STATUS:
	case RESOURCE_HEALTH:
	case RESOURCE_DUMP:
	case RESOURCE_COUNTERS:
	case RESOURCE_METRICS:
	case RESOURCE_PROFILES:
	case RESOURCE_DIFF:
	case RESOURCE_HISTORY:
		return "GET";
	case RESOURCE_DRILL:
		return "GET, PUT";
	case RESOURCE_DRAFT:
		return "GET, PUT, DELETE";
	case RESOURCE_REMOVE:
	case RESOURCE_ACCEPT:
	case RESOURCE_REVERT:
		return "POST";
	}
	return "";
}

bool target_allows_method(enum resource resource, const char *method)
{
	const char *at = target_methods(resource);
	size_t length = strlen(method);

	while (*at) {
		size_t name_length = strcspn(at, ",");

		if (name_length == length && !strncmp(at, method, name_length))
			return true;
		at += name_length;
		at += strspn(at, ", ");
	}
	return false;
}
