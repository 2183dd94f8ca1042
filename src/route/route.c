#include "route/route.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "route/balance.h"
#include "route/split.h"
#include "route/subset.h"

/* Retries that a pool may make at once until a profile sets the number. */
enum { BUDGET_TOKENS_MAX = 10 };

/* Fraction of the retry budget for retries after an error answer. Such a retry
 * repeats the calls that the service made to other services before it answered,
 * so fewer of these retries are allowed. */
#define ERROR_BUDGET_SHARE (1.0 / 3)
#define ERROR_BUDGET_TOKENS_MAX 1.0

void router_init(struct router *router, const char *data_centre, uint64_t seed)
{
	memset(router, 0, sizeof(*router));
	random_init(&router->random, seed);
	router->avoid_faulty_endpoints = true;
	router->avoid_unreachable_centres = true;
	router->subset_seed = seed;
	snprintf(router->data_centre, NAME_SIZE, "%s", data_centre);
}

static void endpoint_free(struct endpoint *endpoint)
{
	assert(!endpoint->references);
	free(endpoint);
}

static void free_pools(struct pool *pool)
{
	struct pool *next;

	for (; pool; pool = next) {
		next = pool->by_service.next;
		free(pool->endpoints);
		free(pool);
	}
}

static void free_centres(struct remote_centre *remote_centre)
{
	struct remote_centre *next;

	for (; remote_centre; remote_centre = next) {
		next = remote_centre->by_name.next;
		free(remote_centre);
	}
}

static void free_endpoints(struct endpoint *endpoint)
{
	struct endpoint *next;

	for (; endpoint; endpoint = next) {
		next = endpoint->by_instance.next;
		endpoint_free(endpoint);
	}
}

void router_finish(struct router *router)
{
	struct endpoint *endpoints = router->endpoints;
	struct pool *pools = router->pools;
	struct remote_centre *remote_centres = router->remote_centres;

	assert(!router->removed_endpoints);
	HASH_CLEAR(by_instance, router->endpoints);
	HASH_CLEAR(by_service, router->pools);
	HASH_CLEAR(by_name, router->remote_centres);
	free_endpoints(endpoints);
	free_pools(pools);
	free_centres(remote_centres);
	hosts_finish(&router->hosts);
	tenants_finish(&router->tenants);
	config_unref(router->config);
}

/* Returns the pool of a service; creates the pool if it does not exist. */
static struct pool *pool_get(struct router *router, const char *service)
{
	struct pool *pool;

	HASH_FIND(by_service, router->pools, service, strlen(service), pool);
	if (pool)
		return pool;
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		abort();
	snprintf(pool->service, SERVICE_NAME_SIZE, "%s", service);
	pool->free_slot_share = 1;
	retry_budget_init(&pool->budget, 0, BUDGET_TOKENS_MAX);
	retry_budget_init(&pool->error_budget, 0, ERROR_BUDGET_TOKENS_MAX);
	subset_init(&pool->local_subset, router->local_subset);
	subset_init(&pool->remote_subset, router->remote_subset);
	pool->subset_seed = router->subset_seed;
	if (router->shared_retries) {
		retry_budget_make_shared(&pool->budget,
					 random_below(&router->random,
						      UINT32_MAX));
		retry_budget_make_shared(&pool->error_budget,
					 random_below(&router->random,
						      UINT32_MAX));
	}
	HASH_ADD(by_service, router->pools, service[0], strlen(service), pool);
	return pool;
}

static void pool_set_endpoint(struct pool *pool, uint32_t pool_index,
			      struct endpoint *endpoint)
{
	pool->endpoints[pool_index] = endpoint;
	endpoint->pool_index = pool_index;
}

/* Adds the endpoint to the array, in which local endpoints come first. */
static void pool_add(struct pool *pool, struct endpoint *endpoint)
{
	subset_changed(pool);
	if (pool->count == pool->capacity) {
		pool->capacity = pool->capacity ? pool->capacity * 2 : 8;
		pool->endpoints =
			realloc(pool->endpoints,
				pool->capacity * sizeof(*pool->endpoints));
		if (!pool->endpoints)
			abort();
	}
	endpoint->pool = pool;
	pool_set_endpoint(pool, pool->count++, endpoint);
	if (!endpoint->local)
		return;
	pool_set_endpoint(pool, pool->count - 1,
			  pool->endpoints[pool->local_count]);
	pool_set_endpoint(pool, pool->local_count++, endpoint);
}

static void pool_remove(struct endpoint *endpoint)
{
	struct pool *pool = endpoint->pool;
	uint32_t index = endpoint->pool_index;

	subset_changed(pool);
	if (endpoint->local) {
		pool->local_count--;
		pool_set_endpoint(pool, index,
				  pool->endpoints[pool->local_count]);
		index = pool->local_count;
	}
	pool->count--;
	/* The place of the last endpoint is free already. */
	if (index < pool->count)
		pool_set_endpoint(pool, index, pool->endpoints[pool->count]);
	endpoint->pool = NULL;
}

/* Counts the endpoints that announce the same profile as the endpoint at
 * @index. With @serving set, only serving endpoints count. */
static uint32_t count_votes(const struct pool *pool, uint32_t index,
			    bool serving)
{
	const char *profile = pool->endpoints[index]->record.profile;
	uint32_t votes = 0;
	uint32_t i;

	for (i = 0; i < pool->count; i++) {
		const struct record *record = &pool->endpoints[i]->record;

		if (serving && record->state != UPSTREAM_SERVING)
			continue;
		votes += !strcmp(record->profile, profile);
	}
	return votes;
}

static const char *elect_profile(const struct pool *pool, bool serving)
{
	const char *winner = NULL;
	uint32_t most = 0;
	uint32_t i;

	for (i = 0; i < pool->count; i++) {
		const char *name;
		uint32_t votes;

		assert(pool->endpoints[i]);
		name = pool->endpoints[i]->record.profile;
		if (winner && !strcmp(name, winner))
			continue;
		votes = count_votes(pool, i, serving);
		if (votes < most || !votes)
			continue;
		if (winner && votes == most && strcmp(name, winner) > 0)
			continue;
		winner = name;
		most = votes;
	}
	return winner;
}

static void set_budget(struct pool *pool, const struct profile *profile)
{
	retry_budget_set(&pool->budget, profile->retry_share,
			 (double)profile->retry_burst);
	retry_budget_set(&pool->error_budget,
			 profile->retry_share * ERROR_BUDGET_SHARE,
			 ERROR_BUDGET_TOKENS_MAX);
}

/* Sets the active profile of a pool, or NULL if no profile applies. */
static void pool_set_active_profile(const struct router *router,
				    struct pool *pool)
{
	const struct config *config = router->config;
	const struct config_profile *entry = NULL;

	if (config && pool->count)
		entry = config_find_entry(config, pool->profile);
	if (entry && !profile_covers(entry->profile, pool->service))
		entry = NULL;
	pool->active_profile = entry ? entry->profile : NULL;
	if (!entry)
		return;
	pool->profile_index = (uint32_t)(entry - config->profiles);
	set_budget(pool, entry->profile);
}

/* Consecutive versions share the objects of unchanged profiles: the profile has
 * not changed if the same object is at the same index. */
static bool active_profile_unchanged(const struct pool *pool,
				     const struct config *config)
{
	return pool->active_profile &&
	       pool->profile_index < config->profile_count &&
	       config->profiles[pool->profile_index].profile ==
		       pool->active_profile;
}

static void pool_update(const struct router *router, struct pool *pool)
{
	const char *profile = elect_profile(pool, true);

	if (!profile)
		profile = elect_profile(pool, false);
	if (profile)
		snprintf(pool->profile, PROFILE_NAME_SIZE, "%s", profile);
	pool_set_active_profile(router, pool);
	split_select_members(pool);
}

void router_set_config(struct router *router, struct config *config)
{
	struct config *old = router->config;
	struct pool *pool;
	struct pool *next;

	router->config = config_ref(config);
	HASH_ITER(by_service, router->pools, pool, next)
		if (!active_profile_unchanged(pool, config))
			pool_set_active_profile(router, pool);
	hosts_build(&router->hosts, config, &router->random);
	tenants_build(&router->tenants, config, old);
	/* Released last: active_profile_unchanged() compares the addresses of
	 * its profiles. */
	config_unref(old);
}

/* Resets the statistics, which do not apply to a new incarnation. */
static void endpoint_reset(struct endpoint *endpoint)
{
	endpoint->load = 0;
	endpoint->load_at_us = 0;
	endpoint->service_us = 0;
	endpoint->refusals = 0;
	endpoint->failures = 0;
	endpoint->error_rate = 0;
	endpoint->reports_errors = false;
	memset(&endpoint->speed, 0, sizeof(endpoint->speed));
	endpoint->avoid_until_us = 0;
}

static struct endpoint *endpoint_get(struct router *router,
				     const char *instance)
{
	struct endpoint *endpoint = router_find(router, instance);

	if (endpoint)
		return endpoint;
	endpoint = calloc(1, sizeof(*endpoint));
	if (!endpoint)
		abort();
	snprintf(endpoint->record.instance, NAME_SIZE, "%s", instance);
	endpoint->listed = true;
	HASH_ADD(by_instance, router->endpoints, record.instance[0],
		 strlen(instance), endpoint);
	return endpoint;
}

static struct remote_centre *centre_get(struct router *router, const char *name)
{
	struct remote_centre *remote_centre;

	HASH_FIND(by_name, router->remote_centres, name, strlen(name),
		  remote_centre);
	if (remote_centre)
		return remote_centre;
	remote_centre = calloc(1, sizeof(*remote_centre));
	if (!remote_centre)
		abort();
	snprintf(remote_centre->name, NAME_SIZE, "%s", name);
	HASH_ADD(by_name, router->remote_centres, name[0], strlen(name),
		 remote_centre);
	return remote_centre;
}

static void leave_pool(const struct router *router, struct endpoint *endpoint)
{
	struct pool *pool = endpoint->pool;

	if (!pool)
		return;
	pool_remove(endpoint);
	pool_update(router, pool);
}

static bool has_upstream(const struct record *record)
{
	return record->service[0] && record->state != UPSTREAM_NONE &&
	       record->state != UPSTREAM_GONE;
}

static void replace_record(struct endpoint *endpoint,
			   const struct record *record, int64_t now_us)
{
	if (record->incarnation != endpoint->record.incarnation)
		endpoint_reset(endpoint);
	if (record->state == UPSTREAM_SERVING &&
	    (endpoint->record.state != UPSTREAM_SERVING ||
	     record->incarnation != endpoint->record.incarnation))
		endpoint->serving_since_us =
			now_us - record->serving_age_ms * 1000;
	endpoint->record = *record;
}

/* Returns true if the new record keeps the endpoint in its pool with the same
 * state, version, service, profile and data centre. Most records are such
 * updates; they skip the election of the profile, which scans the pool. */
static bool stays_in_pool(const struct endpoint *endpoint,
			  const struct record *record)
{
	const struct record *old = &endpoint->record;

	return endpoint->pool && has_upstream(record) &&
	       old->state == record->state &&
	       !strcmp(old->version, record->version) &&
	       !strcmp(old->service, record->service) &&
	       !strcmp(old->profile, record->profile) &&
	       !strcmp(old->data_centre, record->data_centre);
}

void router_set_record(struct router *router, const struct record *record,
		       bool reachable, int64_t now_us)
{
	struct endpoint *endpoint = endpoint_get(router, record->instance);
	bool was_reachable = endpoint->reachable;

	endpoint->reachable = reachable;
	endpoint->told_leaving =
		leaving_has(&router->leaving, record->upstream_start);
	if (stays_in_pool(endpoint, record)) {
		replace_record(endpoint, record, now_us);
		if (reachable != was_reachable) {
			split_select_members(endpoint->pool);
			subset_changed(endpoint->pool);
		}
		return;
	}
	leave_pool(router, endpoint);
	replace_record(endpoint, record, now_us);
	endpoint->local = !strcmp(record->data_centre, router->data_centre);
	endpoint->remote_centre =
		endpoint->local || !router->avoid_unreachable_centres
			? NULL
			: centre_get(router, record->data_centre);
	if (!has_upstream(record))
		return;
	pool_add(pool_get(router, record->service), endpoint);
	pool_update(router, endpoint->pool);
}

void router_set_leaving(struct router *router, uint64_t start)
{
	struct endpoint *endpoint;

	if (!leaving_add(&router->leaving, start))
		return;
	for (endpoint = router->endpoints; endpoint;
	     endpoint = endpoint->by_instance.next)
		if (endpoint->record.upstream_start == start) {
			endpoint->told_leaving = true;
			if (endpoint->pool)
				subset_changed(endpoint->pool);
		}
}

void router_set_suspect(struct router *router, const char *instance,
			bool suspect)
{
	struct endpoint *endpoint = router_find(router, instance);

	if (endpoint)
		endpoint->suspect = suspect;
}

void router_drop_record(struct router *router, const char *instance)
{
	struct endpoint *endpoint = router_find(router, instance);

	if (!endpoint)
		return;
	leave_pool(router, endpoint);
	HASH_DELETE(by_instance, router->endpoints, endpoint);
	endpoint->listed = false;
	if (endpoint->references)
		DL_APPEND(router->removed_endpoints, endpoint);
	else
		endpoint_free(endpoint);
}

void router_set_split(struct router *router, const char *service,
		      const struct split *split)
{
	struct pool *pool = pool_get(router, service);

	split_set(pool, split, random_share(&router->random));
}

enum route_versions router_next_versions(struct pool *pool, int64_t now_us)
{
	return split_next_versions(pool, now_us);
}

bool router_has_healthy(const struct pick *pick)
{
	return balance_has_healthy(pick);
}

bool router_has_serving(const struct pick *pick)
{
	return balance_has_serving(pick);
}

struct endpoint *router_find(struct router *router, const char *instance)
{
	struct endpoint *endpoint;

	HASH_FIND(by_instance, router->endpoints, instance, strlen(instance),
		  endpoint);
	return endpoint;
}

enum route_result router_match(struct router *router, const char *service,
			       const char *method, const char *path,
			       struct route_match *match)
{
	const struct profile_route *route;
	struct pool *pool;

	if (!router->config)
		return ROUTE_NO_CONFIG;
	HASH_FIND(by_service, router->pools, service, strlen(service), pool);
	if (!pool || !pool->count)
		return ROUTE_NO_SERVICE;
	if (!pool->active_profile)
		return ROUTE_NO_PROFILE;
	route = profile_match_route(pool->active_profile, method, path);
	if (!route)
		return ROUTE_NO_KIND;
	match->kind = &pool->active_profile->kinds[route->kind];
	match->is_public = route->is_public;
	match->tenant = NULL;
	match->config = router->config;
	match->profile = pool->active_profile;
	match->pool = pool;
	return ROUTE_FOUND;
}

enum route_result router_match_host(struct router *router, const char *host,
				    const char *path, struct route_match *match)
{
	struct host_entry *entry;

	if (!router->config)
		return ROUTE_NO_CONFIG;
	entry = hosts_find(&router->hosts, host, path);
	if (!entry)
		return ROUTE_NO_HOST;
	if (entry->rule->closed)
		return ROUTE_CLOSED;
	match->config = router->config;
	match->profile = entry->profile;
	match->kind = &entry->profile->kinds[entry->rule->kind];
	match->is_public = entry->rule->is_public;
	match->tenant = NULL;
	match->pool = pool_get(router, host_entry_next_part(entry)->service);
	/* A service without a profile of its own takes the limits of retries
	 * from the profile of the host route. */
	if (!match->pool->active_profile)
		set_budget(match->pool, entry->profile);
	return ROUTE_FOUND;
}

const char *route_result_text(enum route_result result)
{
	static const char *const texts[] = {
		"found",
		"no configuration is in force here yet",
		"no upstream of the service is known here",
		"the profile of the service is not in force here",
		"the profile has no route for this method and path",
		"no route fits this host and path",
		"the route names no usable service",
	};

	return texts[result];
}

void endpoint_ref(struct endpoint *endpoint)
{
	endpoint->references++;
}

void endpoint_unref(struct router *router, struct endpoint *endpoint)
{
	assert(endpoint->references);
	if (--endpoint->references || endpoint->listed)
		return;
	DL_DELETE(router->removed_endpoints, endpoint);
	endpoint_free(endpoint);
}

struct endpoint *router_pick(struct router *router, const struct pick *pick)
{
	struct endpoint *endpoint = balance_pick(&router->random, pick);

	if (!endpoint)
		return NULL;
	endpoint_ref(endpoint);
	endpoint->in_flight++;
	return endpoint;
}

void endpoint_pick_again(struct endpoint *endpoint)
{
	endpoint_ref(endpoint);
	endpoint->in_flight++;
}

void endpoint_done(struct router *router, struct endpoint *endpoint,
		   enum endpoint_result result, double load, int64_t latency_us,
		   int64_t now_us)
{
	assert(endpoint->in_flight);
	endpoint->in_flight--;
	if (result == ENDPOINT_ERROR && !router->avoid_faulty_endpoints)
		result = ENDPOINT_ANSWERED;
	balance_record_result(&router->random, endpoint, result, load,
			      latency_us, now_us);
	endpoint_unref(router, endpoint);
}
