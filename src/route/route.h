#ifndef ROUTE_ROUTE_H
#define ROUTE_ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>
#include <uthash.h>

#include "base/random.h"
#include "membership/record.h"
#include "profile/config.h"
#include "route/hosts.h"
#include "route/leaving.h"
#include "route/retry.h"
#include "route/speed.h"
#include "route/tenants.h"

/**
 * DOC: route
 *
 * The routing table for calls: for each service, the pool of its endpoints and
 * the profile that applies to it. A service without endpoints or without a
 * profile in the present configuration has no route, so that a route never
 * refers to something that this node does not have: the pool is created before
 * its route, and the route is removed first. Host routes name the services that
 * they lead to; a request to one that has no endpoints is refused. Does no I/O
 * and reads no clock; all times are passed in, in microseconds.
 */

/**
 * struct remote_centre - reachability of another data centre, as calls show it
 * @name: name of the data centre
 * @unanswered: number of consecutive calls to it without an answer or refusal
 * @unreachable_until_us: time until which it counts as unreachable
 * @by_name: handle in router.remote_centres
 *
 * Membership takes a second or more to detect a network partition. Without this
 * record a caller would lose one attempt to each endpoint of the unreachable
 * data centre in that time.
 */
struct remote_centre {
	char name[NAME_SIZE];
	uint32_t unanswered;
	int64_t unreachable_until_us;
	UT_hash_handle by_name;
};

/**
 * struct endpoint - an upstream instance, as this node sees it
 * @record: latest record that the instance has published
 * @split_member: true if the endpoint serves the share of the target in the
 *	split of its pool
 * @reachable: false while membership considers the instance unreachable
 * @suspect: true while some node gets no answer from the instance; the endpoint
 *	is then chosen only if no other is left
 * @told_leaving: true if the upstream said in an answer that it leaves; the
 *	endpoint is then not chosen
 * @listed: false after membership has dropped the instance
 * @local: true if the endpoint is in the data centre of the router
 * @remote_centre: data centre of the endpoint; NULL if it is local or if the
 *	router does not track remote data centres
 * @references: number of references; an endpoint that is not listed is freed
 *	when the last one is released
 * @in_flight: number of calls of this node that are at the endpoint now
 * @load: calls per slot at the endpoint, from its last answer or refusal
 * @load_in_flight: number of calls of this node that @load includes
 * @load_at_us: time at which @load was received
 * @service_us: moving average of the service time, without the wait at the
 *	gate, in microseconds; 0 while unknown
 * @service_at_us: time of the last sample in @service_us
 * @serving_since_us: time at which the upstream began to serve
 * @refusals: number of consecutive refusals
 * @failures: number of consecutive failures
 * @error_rate: moving average of the share of answers that are errors, 0 to 1
 * @reports_errors: true if @error_rate comes from the node of the endpoint,
 *	which counts the requests of all callers
 * @usable_share: share of its slots that the rate limit of the upstream can
 *	keep busy, as last reported
 * @usable_share_at_us: time of that report; 0 for never
 * @limited_at_us: time of the last report of a share below 1; 0 for never
 * @limit_ended_at_us: time of the first report of a share of 1 after that
 * @speed: how fast the upstream is, as the node beside it reports
 * @avoid_until_us: time before which the endpoint is chosen only if no other
 *	is left
 * @pool: pool of the service; NULL while the instance has no upstream
 * @pool_index: index in pool.endpoints
 * @next: next element of router.removed_endpoints
 * @prev: previous element of router.removed_endpoints
 * @by_instance: handle in router.endpoints
 *
 * An endpoint stays the same object when the configuration changes.
 */
struct endpoint {
	struct record record;
	bool split_member;
	bool reachable;
	bool suspect;
	bool told_leaving;
	bool listed;
	bool local;
	struct remote_centre *remote_centre;
	uint32_t references;
	uint32_t in_flight;
	double load;
	uint32_t load_in_flight;
	int64_t load_at_us;
	double service_us;
	int64_t service_at_us;
	int64_t serving_since_us;
	uint32_t refusals;
	uint32_t failures;
	double error_rate;
	bool reports_errors;
	double usable_share;
	int64_t usable_share_at_us;
	int64_t limited_at_us;
	int64_t limit_ended_at_us;
	struct endpoint_speed speed;
	int64_t avoid_until_us;
	struct pool *pool;
	uint32_t pool_index;
	struct endpoint *next;
	struct endpoint *prev;
	UT_hash_handle by_instance;
};

/**
 * struct split - division of the requests of a service between versions
 * @target: version that receives @share of the requests; empty: no split
 * @share: share of the requests that go to the target, 0 to 1
 * @strict: true if requests beyond @share are kept from the target even when
 *	no other version is left to serve them
 * @until_us: time at which the split ends; 0: no end
 * @credit: accumulator that grows by @share with each request; a request goes
 *	to the target when @credit reaches 1
 */
struct split {
	char target[UPSTREAM_VERSION_SIZE];
	double share;
	bool strict;
	int64_t until_us;
	double credit;
};

enum { ROUTE_SUBSET_MAX = 64 };

/** enum route_versions - versions that a request may be sent to. */
enum route_versions {
	ROUTE_ANY_VERSION,
	ROUTE_OTHER_VERSIONS, /* all except the target of the split */
	ROUTE_TARGET_VERSION, /* the target, on the members of the split */
};

/**
 * struct subset - the endpoints of a range of a pool that this node calls
 * @endpoints: the endpoints, first those that this node prefers
 * @count: number of entries of @endpoints
 * @size_min: least number of entries; 0: all endpoints of the range are called
 * @size: wanted number of entries, grows with the calls in flight
 * @spare_calls: number of calls since more than half of @size was needed
 * @is_old: @endpoints must be chosen again
 */
struct subset {
	struct endpoint *endpoints[ROUTE_SUBSET_MAX];
	uint32_t count;
	uint32_t size_min;
	uint32_t size;
	uint32_t spare_calls;
	bool is_old;
};

/**
 * struct pool - the endpoints of one service
 * @service: name of the service
 * @profile: name of the profile that most of the serving endpoints announce
 * @active_profile: the profile @profile in the configuration of the router;
 *	NULL: the pool has no route
 * @profile_index: index of @active_profile in the configuration
 * @endpoints: array of the endpoints, local ones first
 * @count: number of endpoints
 * @local_count: number of endpoints in the data centre of the router
 * @capacity: number of endpoints for which @endpoints has space
 * @service_us: moving average of the service time over all endpoints, in
 *	microseconds; 0 while unknown
 * @load: moving average of the reported load, in calls per slot; used for an
 *	endpoint whose own report is missing or too old
 * @load_at_us: time of the last report in @load
 * @error_rate: moving average of the error rate over all endpoints, 0 to 1
 * @speed: usual times of the kinds, from the reports of all endpoints
 * @free_slot_share: moving average of the share of attempts that found a free
 *	slot, among those that asked for one
 * @probe_after_us: time before which no request probes an endpoint that counts
 *	as unreachable
 * @probe_failures: number of consecutive probes that failed
 * @split: division of the requests between versions during a roll-out
 * @local_subset: endpoints of the own data centre that this node calls
 * @remote_subset: endpoints of other data centres that this node calls
 * @subset_seed: seed by which this node chooses both
 * @budget: budget of the retries of calls to the service
 * @error_budget: smaller budget for the retries after an error answer, which
 *	take a token from both budgets
 * @by_service: handle in router.pools
 *
 * A pool exists until router_finish(), also while it is empty, so that a call
 * may keep a pointer to it.
 */
struct pool {
	char service[SERVICE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	const struct profile *active_profile;
	uint32_t profile_index;
	struct endpoint **endpoints;
	uint32_t count;
	uint32_t local_count;
	uint32_t capacity;
	double service_us;
	double load;
	int64_t load_at_us;
	double error_rate;
	struct pool_speed speed;
	double free_slot_share;
	int64_t probe_after_us;
	uint32_t probe_failures;
	struct split split;
	struct subset local_subset;
	struct subset remote_subset;
	uint64_t subset_seed;
	struct retry_budget budget;
	struct retry_budget error_budget;
	UT_hash_handle by_service;
};

/** enum route_result - ROUTE_FOUND, or the reason why there is no route. */
enum route_result {
	ROUTE_FOUND,
	ROUTE_NO_CONFIG,  /* no configuration is in force yet */
	ROUTE_NO_SERVICE, /* no upstream of the service is known */
	ROUTE_NO_PROFILE, /* the profile of the service is not in force */
	ROUTE_NO_KIND,	  /* the profile has no route for method and path */
	ROUTE_NO_HOST,	  /* no host route matches host and path */
	ROUTE_CLOSED,	  /* the host route rejects all requests */
};

/**
 * struct route_match - the route of a request
 * @config: version in force; a user that keeps the match takes a reference
 * @profile: profile of the service or of the host route
 * @kind: kind of the request; sets its deadline and retries
 * @pool: pool of the service
 * @is_public: true if the request needs no key, also where there are tenants
 * @tenant: tenant of the request, set by call_admit_tenant(); NULL without one
 */
struct route_match {
	struct config *config;
	const struct profile *profile;
	const struct kind *kind;
	struct pool *pool;
	bool is_public;
	const struct tenant *tenant;
};

/**
 * struct router - routing table and state of the load balancer
 * @random: source of the random choices
 * @data_centre: data centre of this node
 * @avoid_faulty_endpoints: send fewer requests to an endpoint whose error rate
 *	is well above that of its pool
 * @by_speed: choose endpoints by the speed that is reported of them
 * @avoid_unreachable_centres: avoid a data centre whose calls get no answer
 * @remote_subset: most endpoints of other data centres that are called for a
 *	service; 0: all
 * @local_subset: the same for endpoints of the own data centre
 * @subset_seed: seed of both choices
 * @shared_retries: the budgets of retries are shared by many nodes
 * @leaving: incarnations of upstreams that said in an answer that they leave
 * @config: version in force, with a reference; NULL before the first one
 * @hosts: host routes of @config
 * @tenants: tenants of @config
 * @pools: hash table of all pools, by service
 * @remote_centres: hash table of the other data centres, by name; entries are
 *	never removed
 * @endpoints: hash table of the listed endpoints, by instance
 * @removed_endpoints: list of the endpoints that are no longer listed but to
 *	which there are references
 */
struct router {
	struct random random;
	char data_centre[NAME_SIZE];
	bool avoid_faulty_endpoints;
	bool by_speed;
	bool avoid_unreachable_centres;
	uint32_t remote_subset;
	uint32_t local_subset;
	uint64_t subset_seed;
	bool shared_retries;
	struct leaving_set leaving;
	struct config *config;
	struct host_table hosts;
	struct tenant_table tenants;
	struct pool *pools;
	struct remote_centre *remote_centres;
	struct endpoint *endpoints;
	struct endpoint *removed_endpoints;
};

/**
 * router_init() - initializes a router without endpoints or configuration
 * @data_centre: data centre of this node, whose endpoints are preferred
 * @seed: seed of the random choices; must differ between nodes
 */
void router_init(struct router *router, const char *data_centre, uint64_t seed);

/** router_finish() - frees the router; no endpoint may be held any more. */
void router_finish(struct router *router);

/** router_set_config() - puts a version in force; takes its own reference. */
void router_set_config(struct router *router, struct config *config);

/** router_set_record() - adds or updates the endpoint of a record. */
void router_set_record(struct router *router, const struct record *record,
		       bool reachable, int64_t now_us);

/** router_set_suspect() - marks or unmarks an instance as suspect. */
void router_set_suspect(struct router *router, const char *instance,
			bool suspect);

/**
 * router_set_leaving() - an upstream said in an answer that it leaves
 * @start: its incarnation, as record.upstream_start; not 0
 *
 * Its endpoint is not chosen any more, whatever later records say.
 */
void router_set_leaving(struct router *router, uint64_t start);

/** router_drop_record() - removes the endpoint of an instance. */
void router_drop_record(struct router *router, const char *instance);

/** router_find() - returns the listed endpoint of an instance, or NULL. */
struct endpoint *router_find(struct router *router, const char *instance);

/**
 * router_set_split() - sets the split of the requests of a service
 * @split: new split; its @credit is ignored, and an empty target ends the split
 */
void router_set_split(struct router *router, const char *service,
		      const struct split *split);

/**
 * router_next_versions() - chooses the versions that the next request may go to
 *
 * To be called once for each request. Over any run of requests, the number of
 * those that go to the target differs from its share by less than one.
 */
enum route_versions router_next_versions(struct pool *pool, int64_t now_us);

/** router_match() - finds the route of a request; fills @match if found. */
enum route_result router_match(struct router *router, const char *service,
			       const char *method, const char *path,
			       struct route_match *match);

/**
 * router_match_host() - finds the host route of a request
 * @host: Host field of the request
 * @path: path without the query, as the caller sent it
 *
 * Each call chooses the next of the weighted parts of the route. Fills @match
 * if a route is found.
 */
enum route_result router_match_host(struct router *router, const char *host,
				    const char *path,
				    struct route_match *match);

/** route_result_text() - returns a text for error messages. */
const char *route_result_text(enum route_result result);

/**
 * struct pick - constraints on the choice of an endpoint for one attempt
 * @match: route of the request
 * @versions: versions that the endpoint may run
 * @tried: endpoints of earlier attempts, chosen only if no other is left
 * @tried_count: number of endpoints in @tried
 * @untried_only: never choose an endpoint of @tried, nor an unreachable one
 * @local_only: choose no endpoint of another data centre
 * @among: if not NULL, choose the least loaded healthy endpoint of this array
 * @among_count: number of endpoints in @among
 * @local_wait_max_us: expected wait, in microseconds, up to which a local
 *	endpoint is preferred to any remote one; 0: only the spill settings of
 *	the profile apply
 * @due_us: time after which the answer loses value; 0 if there is none
 * @now_us: present time, in microseconds
 */
struct pick {
	const struct route_match *match;
	enum route_versions versions;
	struct endpoint *const *tried;
	uint32_t tried_count;
	bool untried_only;
	bool local_only;
	struct endpoint *const *among;
	uint32_t among_count;
	int64_t local_wait_max_us;
	int64_t due_us;
	int64_t now_us;
};

/**
 * router_pick() - chooses the endpoint for one attempt
 *
 * Return: an endpoint that the caller holds until it calls endpoint_done();
 * NULL if no endpoint can be chosen.
 */
struct endpoint *router_pick(struct router *router, const struct pick *pick);

/**
 * endpoint_pick_again() - picks an endpoint to which the caller has a reference
 *
 * For an earlier attempt that goes on, also if the endpoint has left the
 * routes. To be ended by endpoint_done(), like router_pick().
 */
void endpoint_pick_again(struct endpoint *endpoint);

/**
 * router_has_healthy() - returns true if a healthy endpoint fits @pick
 *
 * An endpoint that is avoided, suspect, unreachable or tried is not healthy.
 */
bool router_has_healthy(const struct pick *pick);

/**
 * router_has_serving() - returns true if an endpoint serves @pick->versions
 *
 * Endpoints that are avoided, suspect or tried count as well, unreachable ones
 * do not.
 */
bool router_has_serving(const struct pick *pick);

/** enum endpoint_result - outcome of an attempt at an endpoint. */
enum endpoint_result {
	ENDPOINT_ANSWERED,
	ENDPOINT_ERROR,	  /* answered with an error of the upstream */
	ENDPOINT_REFUSED, /* refused by the gate: reachable, but no capacity */
	ENDPOINT_FAILED,  /* no answer */
	ENDPOINT_CANCELLED, /* says nothing about the endpoint */
};

/**
 * endpoint_ref() - takes a reference to an endpoint
 *
 * Keeps an endpoint of pick.tried valid after endpoint_done(). Does not count
 * as a call in flight.
 */
void endpoint_ref(struct endpoint *endpoint);

/** endpoint_unref() - releases a reference taken by endpoint_ref(). */
void endpoint_unref(struct router *router, struct endpoint *endpoint);

/**
 * endpoint_done() - records the end of an attempt and releases the endpoint
 * @endpoint: endpoint from router_pick(), or picked by endpoint_pick_again()
 * @result: outcome of the attempt
 * @load: load in calls per slot, as the answer or refusal reported it; negative
 *	if there was no report
 * @latency_us: time from the start of the attempt to its end
 * @now_us: present time
 */
void endpoint_done(struct router *router, struct endpoint *endpoint,
		   enum endpoint_result result, double load, int64_t latency_us,
		   int64_t now_us);

/** router_dump() - returns the table as JSON, owned by the caller. */
json_t *router_dump(const struct router *router, int64_t now_us);

#endif
