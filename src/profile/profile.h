#ifndef PROFILE_PROFILE_H
#define PROFILE_PROFILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/schema.h"
#include "profile/tenant.h"

/**
 * DOC: profile
 *
 * A profile is configuration that operators write in TOML. This struct holds
 * the parsed and checked text. A profile lists the services that may run under
 * the profile, the kinds of request that these services serve, and how requests
 * of each kind are handled. A profile may also hold host routes, which route
 * requests to services by Host field and path, and limits for callers and
 * upstreams. A parsed profile does not change and is reference-counted:
 * versions with the same text of a profile share the struct.
 */

enum {
	PROFILE_NAME_SIZE = 64,
	SERVICE_NAME_SIZE = 160,
	KIND_NAME_SIZE = 32,
	ROUTE_PATH_SIZE = 160,
	METHOD_SIZE = 16,
	/* The name of a host has at most 253 bytes (RFC 1035). */
	HOST_SIZE = 256,
	HOST_ROUTE_NAME_SIZE = 64,
	/* The target of a call is not longer. */
	HOST_PREFIX_MAX_BYTES = 8 * 1024 - 1,
	HOST_ROUTE_PARTS_MAX = 1024,
	HEALTH_CHECK_MAX_BYTES = 8 * 1024 - 1,
	/* A text of PROFILE_TEXT_MAX bytes has room for fewer kinds, host
	 * routes and upstreams than these. */
	PROFILE_KINDS_MAX = 1024,
	PROFILE_HOST_ROUTES_MAX = 8192,
	PROFILE_UPSTREAMS_MAX = 4096,
	PROFILE_ROUTES_MAX = 256,
	PROFILE_SERVICES_MAX = 64,
	PROFILE_TENANTS_MAX = 2048,
	KIND_PRIORITY_MAX = 9,
	KIND_ATTEMPTS_MAX = 10,
	KIND_TIME_MAX_MS = 10 * 60 * 1000,
	PART_WEIGHT_MAX = 1000000,
	LIMIT_HEADER_MIN_BYTES = 256,
	LIMIT_HEADER_MAX_BYTES = 1024 * 1024,
	LIMIT_BODY_MAX_BYTES = 1024 * 1024 * 1024,
	LIMIT_HEADER_TIMEOUT_MAX_MS = 10 * 60 * 1000,
	LIMIT_IDLE_TIMEOUT_MAX_MS = 60 * 60 * 1000,
	UPSTREAM_CONNECTIONS_MAX = 1000000,
	/* Also the maximum weight that a call may pass on to nested calls. */
	KIND_WEIGHT_MAX = 1000,
	PROFILE_TEXT_MAX = 64 * 1024,
};

/**
 * struct kind - how requests of one kind are handled
 * @name: name of the kind
 * @weight: share under overload, and value of an answer; 0 for background work
 * @priority: rank among kinds of the same weight; 0 is the highest
 * @deadline_ms: time for an answer in milliseconds, if the caller sets no
 *	deadline
 * @timeout_ms: maximum wait of a caller in milliseconds, also if the caller
 *	sets a later deadline; 0: no such limit
 * @target_ms: an answer within this time in milliseconds has the full value;
 *	0: no target
 * @repeatable: true if requests of this kind are idempotent: an attempt that
 *	may have run may be followed by a retry
 * @attempts_max: maximum number of attempts of one request, including the first
 * @queue_max: maximum number of requests of this kind that wait at one gate
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
 * struct profile_route - assigns requests to a kind by method and path
 * @method: method in upper case, or "*" for any method
 * @path: complete path, or a prefix followed by "*"
 * @kind: index into profile.kinds
 * @is_public: true if requests need no key, also where there are tenants
 * @line: line of the route in the text, from 1
 */
struct profile_route {
	char method[METHOD_SIZE];
	char path[ROUTE_PATH_SIZE];
	uint32_t kind;
	bool is_public;
	uint32_t line;
};

/**
 * struct route_part - a service that receives a part of a host route's requests
 * @service: name of the service
 * @weight: weight relative to host_rule.weight_sum
 */
struct route_part {
	char service[SERVICE_NAME_SIZE];
	double weight;
};

/**
 * struct host_rule - the common settings of the host routes of one table
 * @host: host name, compared with the Host field ignoring case and port
 * @kind: index into profile.kinds
 * @is_public: true if requests need no key, also where there are tenants
 * @closed: true if requests are rejected: @parts may be empty
 * @parts: services among which the requests are divided by weight
 * @part_count: number of entries in @parts
 * @weight_sum: sum of the weights of all parts
 */
struct host_rule {
	const char *host;
	uint32_t kind;
	bool is_public;
	bool closed;
	struct route_part *parts;
	uint32_t part_count;
	double weight_sum;
};

/**
 * struct host_route - a route by host and path prefix
 * @name: name of the route, for logs
 * @prefix: path prefix, begins and ends with "/"; the longest matching prefix
 *	wins
 * @rule: index into profile.host_rules, which holds the host and the services
 */
struct host_route {
	const char *name;
	const char *prefix;
	uint32_t rule;
};

/**
 * struct caller_limits - limits for the requests and connections of callers
 * @present: true if the profile sets these limits
 * @header_bytes: maximum size of a request's head in bytes
 * @body_bytes: maximum size of a request's body in bytes
 * @header_timeout_ms: maximum time to receive a request's head, in milliseconds
 * @idle_timeout_ms: maximum time in milliseconds that a connection stays idle
 */
struct caller_limits {
	bool present;
	int64_t header_bytes;
	int64_t body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct upstream_limits - limits of the upstreams of a service
 * @service: name of the service
 * @connections_max: maximum number of connections that one upstream accepts
 *	from all callers together
 * @health_check: path of the health check, to which an upstream that accepts
 *	requests answers GET with 200; "": no health check
 */
struct upstream_limits {
	char service[SERVICE_NAME_SIZE];
	int64_t connections_max;
	char *health_check;
};

/**
 * struct profile - one profile
 * @references: number of references in addition to the first
 * @name: name under which the profile is stored
 * @services: names of the services that may run under this profile; "*" stands
 *	for all services
 * @kinds: array of @kind_count entries, in the order of the text
 * @routes: array of @route_count entries
 * @host_rules: array of @host_rule_count entries
 * @host_routes: array of @host_route_count entries
 * @host_parts: the parts of all host rules
 * @host_strings: the strings of the host rules and host routes
 * @limits: limits for callers
 * @upstreams: array of @upstream_count entries
 * @checks_keys: true if the text has a table of tenants, which may be empty:
 *	requests then need a key
 * @tenants: array of @tenant_count entries
 * @retry_share: retries allowed per first attempt, 0 to 1
 * @retry_burst: maximum number of retries that a node may make at once after a
 *	time without retries
 * @drain_ms: time in milliseconds for requests in progress when an upstream
 *	leaves
 * @cold_start_ms: time in milliseconds after which a new upstream receives its
 *	full share of requests
 * @spill: true if calls may go to other data centres
 * @spill_wait_ms: a call goes to another data centre only if the expected wait
 *	in the local one is longer by more than this, in milliseconds
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
	struct route_part *host_parts;
	char *host_strings;
	uint32_t host_rule_count;
	uint32_t host_route_count;
	struct caller_limits limits;
	struct upstream_limits *upstreams;
	uint32_t upstream_count;
	bool checks_keys;
	struct tenant *tenants;
	uint32_t tenant_count;
	double retry_share;
	int64_t retry_burst;
	int64_t drain_ms;
	int64_t cold_start_ms;
	bool spill;
	int64_t spill_wait_ms;
};

/**
 * profile_parse() - parses and checks the text of a profile
 * @name: name under which the profile is stored
 * @faults: receives all faults of the name and the text, with line numbers
 *
 * Return: a profile with one reference, for profile_free(), or NULL if there
 * are faults.
 */
struct profile *profile_parse(const char *name, const char *text, size_t size,
			      struct faults *faults);

struct profile *profile_ref(struct profile *profile);

/**
 * profile_free() - drops a reference; the last one frees the profile
 * @profile: may be NULL
 */
void profile_free(struct profile *profile);

/**
 * profile_name_valid() - returns true if @name is a valid name for profiles,
 *	services and kinds
 * @max_size: size of the field for the name in bytes, including the terminator
 *
 * Valid names have lower-case letters, digits, "-", "_" and ".", and begin with
 * a letter or digit.
 */
bool profile_name_valid(const char *name, size_t max_size);

/** profile_covers() - returns true if @service may run under @profile. */
bool profile_covers(const struct profile *profile, const char *service);

/**
 * profile_match_route() - finds the route of a request
 *
 * The route with the longest matching path wins. Among paths of the same length
 * a complete path precedes a prefix, and then a named method precedes "*".
 *
 * Return: the route, or NULL if none matches.
 */
const struct profile_route *profile_match_route(const struct profile *profile,
						const char *method,
						const char *path);

/** profile_match() - returns the kind of the matching route, or NULL. */
const struct kind *profile_match(const struct profile *profile,
				 const char *method, const char *path);

#endif
