#ifndef OPERATOR_TARGET_H
#define OPERATOR_TARGET_H

#include <stdbool.h>

/**
 * DOC: target
 *
 * The paths of the operators' interface ("/v1/RESOURCE",
 * "/v1/RESOURCE/NAME" and "/v1/profiles/NAME/RESOURCE") and the HTTP methods
 * that each resource allows.
 */

enum { TARGET_NAME_SIZE = 128 };

/** enum resource - resource of a path. */
enum resource {
	RESOURCE_STATUS,
	RESOURCE_HEALTH,
	RESOURCE_DUMP,
	RESOURCE_COUNTERS,
	RESOURCE_METRICS,
	RESOURCE_DRILL,
	RESOURCE_PROFILES,
	RESOURCE_DRAFT,
	RESOURCE_DIFF,
	RESOURCE_REMOVE,
	RESOURCE_ACCEPT,
	RESOURCE_REVERT,
	RESOURCE_HISTORY,
};

/**
 * struct target - a parsed path
 * @resource: resource of the path
 * @name: name of a section or profile; empty if the path has none
 */
struct target {
	enum resource resource;
	char name[TARGET_NAME_SIZE];
};

/** target_parse() - parses a decoded path; false if the path is unknown. */
bool target_parse(const char *path, struct target *target);

/** target_methods() - methods that a resource allows, as "GET, PUT". */
const char *target_methods(enum resource resource);

/** target_allows_method() - whether a resource allows a method. */
bool target_allows_method(enum resource resource, const char *method);

#endif
