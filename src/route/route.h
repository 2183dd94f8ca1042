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
#include "route/retry.h"

/**
 * DOC: route
 *
 * The table that calls are routed by: for each service the pool of its
 * endpoints and the profile it runs under. A service without a pool or
 * without a known profile has no route, so that no route points at something
 * this node lacks: adding makes the pool first and then the route, removing
 * takes the route away first. Host routes are another way in: they name their
 * services themselves, and what they send to a service without endpoints is
 * refused. Decision core: no sockets, no clock.
 */

/**
 * struct remote_centre - another data centre, as calls to it went
 * @unanswered: calls there that nothing came back from, in a row
 * @unreachable_until_us: taken for unreachable before
 *
 * A cut takes membership a second or more to judge. Until then a caller would
 * try one endpoint there after the other, and there may be a hundred.
 */
struct remote_centre {
	char name[NAME_SIZE];
	uint32_t unanswered;
	int64_t unreachable_until_us;
	UT_hash_handle by_name;
};

/**
 * struct endpoint - an upstream as seen from here; lives across versions
 * @record: latest word of its owner
 * @split_member: it runs the version that a split of its pool moves to, and is
 *	one of those that requests of that share go to
 * @reachable: false while membership holds it unreachable
 * @suspect: some node gets no answer from it; not chosen while others are left
 * @listed: false once membership has dropped it
 * @local: in the router's own data centre
 * @remote_centre: the one that it is in, if that is not the own
 * @references: calls that hold it; freed with the last one once not listed
 * @in_flight: calls that this node has there now
 * @load: calls there per slot as last carried back by an answer
 * @load_in_flight: calls of this node that were part of @load
 * @load_at_us: when that was
 * @service_us: moving average of answer times, the wait at its gate taken out
 * @service_at_us: when that was last fed
 * @serving_since_us: when it began to serve
 * @refusals: in a row
 * @failures: in a row
 * @error_rate: of its answers those that told of a failure; moving average
 * @reports_errors: its own node tells of them, over all requests there
 * @avoid_until_us: not chosen before, while others are left
 * @pool: of its service; NULL while it has no upstream
 * @pool_index: index in the pool
 */
struct endpoint {
	struct record record;
	bool split_member;
	bool reachable;
	bool suspect;
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
	int64_t avoid_until_us;
	struct pool *pool;
	uint32_t pool_index;
	struct endpoint *next; /* among those dropped but held */
	struct endpoint *prev;
	UT_hash_handle by_instance;
};

/**
 * struct split - requests of a service divided between versions
 * @target: version that gets @share of them; "": they are not divided
 * @strict: it gets none, also if no other version is left
 * @until_us: afterwards they are not divided any more; 0: no such time
 * @credit: moves by @share with each request; at 1 it is the target's turn
 */
struct split {
	char target[UPSTREAM_VERSION_SIZE];
	double share;
	bool strict;
	int64_t until_us;
	double credit;
};

/** enum route_versions - which versions a request may go to. */
enum route_versions {
	ROUTE_ANY_VERSION,
	ROUTE_OTHER_VERSIONS, /* all but the target of the split */
	ROUTE_TARGET_VERSION, /* the target, on those endpoints that take part */
};

/**
 * struct pool - the endpoints of one service
 * @profile: name that most of its serving endpoints announce
 * @active_profile: that profile in the router's version; NULL: no route
 * @profile_index: where that version has it
 * @endpoints: those of the own data centre first
 * @local_count: how many of them
 * @service_us: moving average over all endpoints
 * @load: likewise, of what they told; what is taken of one that is silent
 * @load_at_us: when one last told
 * @error_rate: moving average over all endpoints
 * @free_slot_share: of the tries that asked for a free slot those that were not
 *told that there is none; moving average
 * @probe_after_us: no request finds out before whether those that membership
 *	cannot reach are
 * @probe_failures: of such requests, in a row
 * @split: between versions, while one is rolled out
 * @budget: of retries for calls to this service
 * @error_budget: of those after an answer that told of a failure, a part of
 *	@budget
 *
 * Lives until router_finish(), also while it is empty, so that a call may
 * keep the pointer.
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
	double free_slot_share;
	int64_t probe_after_us;
	uint32_t probe_failures;
	struct split split;
	struct retry_budget budget;
	struct retry_budget error_budget;
	UT_hash_handle by_service;
};

/** enum route_result - why a request has no route. */
enum route_result {
	ROUTE_FOUND,
	ROUTE_NO_CONFIG,  /* no configuration is in force yet */
	ROUTE_NO_SERVICE, /* no upstream of the service is known */
	ROUTE_NO_PROFILE, /* the service's profile is not in force */
	ROUTE_NO_KIND,	  /* the profile has no route for method and path */
	ROUTE_NO_HOST,	  /* no host route fits host and path */
};

/**
 * struct route_match - where a request may go
 * @config: the version in force; take a reference to keep it
 */
struct route_match {
	struct config *config;
	const struct profile *profile;
	const struct kind *kind;
	struct pool *pool;
};

/**
 * struct router - see DOC
 * @data_centre: our own
 * @avoid_faulty_endpoints: endpoints with more errors than their pool get less
 * @avoid_unreachable_centres: a data centre that calls get nothing back from is
 * avoided
 * @hosts: host routes of the version in force, by host
 * @pools: by service
 * @remote_centres: other data centres, by name; they stay
 * @endpoints: listed ones, by instance
 * @dropped: no longer listed, but held by calls
 */
struct router {
	struct random random;
	char data_centre[NAME_SIZE];
	bool avoid_faulty_endpoints;
	bool avoid_unreachable_centres;
	struct config *config;
	struct host_table hosts;
	struct pool *pools;
	struct remote_centre *remote_centres;
	struct endpoint *endpoints;
	struct endpoint *dropped;
};

/**
 * router_init() - a router without endpoints and without a version
 * @data_centre: our own; its endpoints are preferred
 * @seed: of random choices; two nodes must not share it
 */
void router_init(struct router *router, const char *data_centre, uint64_t seed);

/** router_finish() - frees all; no endpoint may be held any more. */
void router_finish(struct router *router);

/** router_set_config() - put a version in force; takes its own reference. */
void router_set_config(struct router *router, struct config *config);

/** router_set_record() - a record is new or has changed. */
void router_set_record(struct router *router, const struct record *record,
		       bool reachable, int64_t now_us);

/** router_set_suspect() - membership has begun or ceased to doubt a node. */
void router_set_suspect(struct router *router, const char *instance,
			bool suspect);

/** router_drop_record() - membership has forgotten a node. */
void router_drop_record(struct router *router, const char *instance);

/** router_find() - a listed endpoint by instance, or NULL. */
struct endpoint *router_find(struct router *router, const char *instance);

/**
 * router_set_split() - divide the requests of a service between versions
 * @split: its @credit is ignored; an empty target ends the division
 */
void router_set_split(struct router *router, const char *service,
		      const struct split *split);

/**
 * router_next_versions() - whose turn it is, for one request of a caller
 *
 * The shares hold exactly over any run of requests.
 */
enum route_versions router_next_versions(struct pool *pool, int64_t now_us);

/** router_match() - where a request goes; fills @match if found. */
enum route_result router_match(struct router *router, const char *service,
			       const char *method, const char *path,
			       struct route_match *match);

/**
 * router_match_host() - where a request goes by its host and path
 * @host: its Host field
 * @path: without the query, as the caller wrote it
 *
 * Each call takes the next turn among the parts of the route.
 */
enum route_result router_match_host(struct router *router, const char *host,
				    const char *path,
				    struct route_match *match);

/** route_result_text() - the reason for people. */
const char *route_result_text(enum route_result miss);

/**
 * struct pick - what to choose an endpoint for
 * @versions: none of other versions
 * @tried: endpoints of earlier attempts, avoided while others are left
 * @untried_only: take none of @tried, whatever else is left
 * @local_only: none of another data centre
 * @among: if not NULL, the best of these that can take work
 * @local_wait_max_us: a wait up to this in the own data centre is no reason to
 *	leave it; 0: see the profile
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
	int64_t now_us;
};

/**
 * router_pick() - choose the endpoint for one attempt
 *
 * Return: an endpoint held for the caller, to be given back by
 * endpoint_done(); NULL if none can take work.
 */
struct endpoint *router_pick(struct router *router, const struct pick *pick);

/**
 * router_pick_instance() - a call goes on at an endpoint that it had left
 *
 * Return: as router_pick(); NULL if the instance is not known any more.
 */
struct endpoint *router_pick_instance(struct router *router,
				      const char *instance);

/** router_has_healthy() - whether a sound endpoint is there for @pick. */
bool router_has_healthy(const struct pick *pick);

/** router_has_serving() - whether any endpoint of the side of @pick is up. */
bool router_has_serving(const struct pick *pick);

/**
 * struct endpoint_report - what the node beside an upstream tells of it
 * @error_rate: of its answers of late those that told of a failure, 0 to 1
 */
struct endpoint_report {
	double error_rate;
};

/**
 * router_report() - take in what came with an answer
 *
 * That node sees all requests of its upstream, a caller only its own: with
 * many callers each would need minutes to learn what one answer tells.
 */
void router_report(const struct router *router, struct endpoint *endpoint,
		   const struct endpoint_report *report);

/** enum endpoint_result - what an attempt taught about an endpoint. */
enum endpoint_result {
	ENDPOINT_ANSWERED,
	ENDPOINT_ERROR,	    /* answered, with a failure of its own */
	ENDPOINT_REFUSED,   /* its gate said no: it is alive and full */
	ENDPOINT_FAILED,    /* no answer */
	ENDPOINT_CANCELLED, /* nothing to learn */
};

/**
 * endpoint_hold() - keep an endpoint beyond endpoint_done()
 *
 * For those in pick.tried; does not count as a call in flight.
 */
void endpoint_hold(struct endpoint *endpoint);

/** endpoint_release() - give back what endpoint_hold() took. */
void endpoint_release(struct router *router, struct endpoint *endpoint);

/**
 * endpoint_done() - an attempt has ended; gives back what router_pick() held
 * @load: carried back by the answer or refusal; negative if there was none
 */
void endpoint_done(struct router *router, struct endpoint *endpoint,
		   enum endpoint_result result, double load, int64_t latency_us,
		   int64_t now_us);

/** router_dump() - the table as JSON; owned by the caller. */
json_t *router_dump(const struct router *router, int64_t now_us);

#endif
