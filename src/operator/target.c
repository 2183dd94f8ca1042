#include "operator/target.h"

#include <stdio.h>
#include <string.h>

/** enum name_rule - whether a name follows the resource. */
enum name_rule { NAME_NONE, NAME_OPTIONAL };

struct resource_row {
	const char *word;
	enum resource resource;
	enum name_rule rule;
};

/* /v1/WORD and /v1/WORD/NAME */
static const struct resource_row top[] = {
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

/* /v1/profiles/NAME/WORD */
static const struct resource_row of_profile[] = {
	{ "draft", RESOURCE_DRAFT, NAME_NONE },
	{ "diff", RESOURCE_DIFF, NAME_NONE },
	{ "remove", RESOURCE_REMOVE, NAME_NONE },
	{ "accept", RESOURCE_ACCEPT, NAME_NONE },
	{ "revert", RESOURCE_REVERT, NAME_NONE },
	{ "history", RESOURCE_HISTORY, NAME_NONE },
};

#define ROWS(a) (sizeof(a) / sizeof((a)[0]))

static const struct resource_row *find(const struct resource_row *rows,
				       size_t count, const char *word,
				       size_t length)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (strlen(rows[i].word) == length &&
		    !strncmp(rows[i].word, word, length))
			return &rows[i];
	return NULL;
}

/* Copy one segment; *@rest is what follows its slash, NULL if none does. */
static bool take_name(const char *path, struct target *target,
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

static bool parse_under(const struct resource_row *row, const char *path,
			struct target *target)
{
	const char *rest;

	if (row->rule == NAME_NONE || !take_name(path, target, &rest))
		return false;
	if (!rest)
		return true;
	if (row->resource != RESOURCE_PROFILES)
		return false;
	row = find(of_profile, ROWS(of_profile), rest, strlen(rest));
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
	row = find(top, ROWS(top), path, length);
	if (!row)
		return false;
	target->resource = row->resource;
	target->name[0] = '\0';
	if (!path[length])
		return true;
	return parse_under(row, path + length + 1, target);
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
		size_t word = strcspn(at, ",");

		if (word == length && !strncmp(at, method, word))
			return true;
		at += word;
		at += strspn(at, ", ");
	}
	return false;
}
