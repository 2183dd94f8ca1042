#ifndef PROFILE_PROFILE_H
#define PROFILE_PROFILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/schema.h"

/**
 * DOC: profile
 *
 * A profile as operators write it in TOML, parsed and checked. It says which
 * services may run under it, which kinds of request they serve and how each
 * kind is to be treated. It may also hold host routes, which send requests to
 * services by their Host field and path, and limits for callers and upstreams.
 * Immutable once parsed, and shared by counted references: versions that do
 * not change a profile share it.
 */

enum {
	PROFILE_NAME_SIZE = 64,
	SERVICE_NAME_SIZE = 64,
	KIND_NAME_SIZE = 32,
	ROUTE_PATH_SIZE = 160,
	METHOD_SIZE = 16,
	HOST_SIZE = 128,
	HOST_ROUTE_NAME_SIZE = 64,
	HOST_ROUTE_PARTS_MAX = 16,
	HEALTH_CHECK_SIZE = 128,
	PROFILE_KINDS_MAX = 256,
	PROFILE_ROUTES_MAX = 256,
	PROFILE_HOST_ROUTES_MAX = 1024,
	PROFILE_SERVICES_MAX = 64,
	PROFILE_UPSTREAMS_MAX = 1024,
	KIND_PRIORITY_MAX = 9,
	PART_WEIGHT_MAX = 1000000,
	/* Also the most that a call may carry down its chain. */
	KIND_WEIGHT_MAX = 1000,
	PROFILE_TEXT_MAX = 64 * 1024,
};

/**
 * struct kind - how requests of one kind are treated
 * @weight: share under overload, and worth of an answer; 0 for background
 * @priority: rank under overload, 0 the highest; orders kinds that have the
 *	same weight
 * @deadline_ms: from the caller's side, when it names none itself
 * @timeout_ms: longest wait of a caller, whatever deadline it names; 0: none
 * @target_ms: an answer within this time is worth the most; 0: not told
 * @repeatable: whether an attempt that may have run may be sent again
 * @attempts_max: tries of one request, the first one included
 * @queue_max: requests of this kind waiting at one gate
 */
struct kind {
	char name[KIND_NAME_SIZE];
	double weight;
	int64_t priority;
	int64_t deadline_ms;
	int64_t timeout_ms;
	int64_t target_ms;
	bool repeatable;
	int64_t attempts_max;
	int64_t queue_max;
};

/**
 * struct profile_route - which requests are of which kind
 * @method: upper case, or "*" for any
 * @path: a whole path, or a prefix if it ends with "*"
 * @kind: index into the profile's kinds
 */
struct profile_route {
	char method[METHOD_SIZE];
	char path[ROUTE_PATH_SIZE];
	uint32_t kind;
	uint32_t line;
};

/** struct route_part - one of the services that share a host route. */
struct route_part {
	char service[SERVICE_NAME_SIZE];
	double weight;
};

/**
 * struct host_rule - what is the same for the host routes of one table
 * @host: compared without case and without a port
 * @kind: index into the profile's kinds
 * @weight_sum: of all parts
 */
struct host_rule {
	char host[HOST_SIZE];
	uint32_t kind;
	struct route_part parts[HOST_ROUTE_PARTS_MAX];
	uint32_t part_count;
	double weight_sum;
};

/**
 * struct host_route - which services get the requests for a host and prefix
 * @prefix: begins and ends with "/"; the longest that fits wins
 * @rule: index into the profile's host rules
 */
struct host_route {
	char name[HOST_ROUTE_NAME_SIZE];
	char prefix[ROUTE_PATH_SIZE];
	uint32_t rule;
};

/**
 * struct caller_limits - what a caller may send, and how long it may take
 * @present: whether the profile sets them
 */
struct caller_limits {
	bool present;
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct upstream_limits - what the upstreams of a service bear
 * @connections_max: of all callers together
 * @health_check: answers GET with 200 while the upstream takes work
 */
struct upstream_limits {
	char service[SERVICE_NAME_SIZE];
	int64_t connections_max;
	char health_check[HEALTH_CHECK_SIZE];
};

/**
 * struct profile - one profile
 * @references: holders besides the first; profile_free() gives one back
 * @services: names of the services that may pick it; "*" covers all
 * @retry_share: retries allowed for each first try, 0 to 1
 * @retry_burst: retries that a quiet node may make at once
 * @drain_ms: how long work in progress may take when an upstream leaves
 * @cold_start_ms: time over which a new upstream gets its full share
 * @spill: whether calls may go to other data centres
 * @spill_wait_ms: how much longer the wait here must be than there
 */
struct profile {
	uint32_t references;
	char name[PROFILE_NAME_SIZE];
	char (*services)[SERVICE_NAME_SIZE];
	uint32_t service_count;
	struct kind *kinds;
	uint32_t kind_count;
	struct profile_route *routes;
	uint32_t route_count;
	struct host_rule *host_rules;
	struct host_route *host_routes;
	uint32_t host_rule_count;
	uint32_t host_route_count;
	struct caller_limits limits;
	struct upstream_limits *upstreams;
	uint32_t upstream_count;
	double retry_share;
	int64_t retry_burst;
	int64_t drain_ms;
	int64_t cold_start_ms;
	bool spill;
	int64_t spill_wait_ms;
};

/**
 * profile_parse() - read and check a profile
 * @name: what it is stored under
 * @faults: everything that is wrong, with lines
 *
 * Return: to be freed by profile_free(), or NULL if there are faults.
 */
struct profile *profile_parse(const char *name, const char *text, size_t size,
			      struct faults *faults);

struct profile *profile_ref(struct profile *profile);

/** profile_free() - give back a reference; NULL is allowed. */
void profile_free(struct profile *profile);

/**
 * profile_name_valid() - whether profiles, services and kinds may be so named
 *
 * Lower-case letters, digits, "-", "_" and ".", a letter or digit first.
 */
bool profile_name_valid(const char *name, size_t most);

/** profile_covers() - whether a service may run under this profile. */
bool profile_covers(const struct profile *profile, const char *service);

/**
 * profile_match() - the kind of a request
 *
 * The longest matching path wins; among equals, a named method.
 *
 * Return: NULL if no route matches.
 */
const struct kind *profile_match(const struct profile *profile,
				 const char *method, const char *path);

#endif
