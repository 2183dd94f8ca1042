#ifndef OPERATOR_TARGET_H
#define OPERATOR_TARGET_H

#include <stdbool.h>

/**
 * DOC: target
 *
 * The paths of the operators' interface: "/v1/RESOURCE",
 * "/v1/RESOURCE/NAME" and "/v1/profiles/NAME/RESOURCE", and the methods that
 * each takes.
 */

enum { TARGET_NAME_SIZE = 128 };

/** enum resource - what a path names. */
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

/** struct target - a path taken apart; @name is empty if there is none. */
struct target {
	enum resource resource;
	char name[TARGET_NAME_SIZE];
};

/** target_parse() - read a decoded path; false if there is no such path. */
bool target_parse(const char *path, struct target *target);

/** target_methods() - what a resource takes, as "GET, PUT". */
const char *target_methods(enum resource resource);

/** target_allows_method() - whether a resource takes a method. */
bool target_allows_method(enum resource resource, const char *method);

#endif
