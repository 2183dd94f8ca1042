#include "call/placement.h"

#include <math.h>
#include <string.h>

/* Factor on the mean service time, so that most answers come in time. */
#define SERVICE_MARGIN 1.5

/* Factor on the weight of late requests: they are served after requests of the
 * same weight that can be answered in time, but before requests of a weight
 * below nine tenths of theirs. */
#define LATE_WEIGHT 0.9

/* Weight of one attempt in the moving average of found free slots. */
#define FREE_SLOT_WEIGHT (1.0 / 8)
/* With a lower share of found free slots, nearly all gates are full. Further
 * searches would only add load to the nodes and fill slow links: with 86 nodes
 * and rolling stops under load, 0.43 of the worth of two seconds was earned
 * with them, and 0.68 without. */
#define FREE_SLOT_SHARE_MIN 0.3
/* Share of requests that still search once while nearly all gates are full, to
 * detect when slots become free again. */
#define FREE_SLOT_PROBE_SHARE 0.25

enum {
	/* Three attempts find a free slot 96 times in 100 if two of three
	 * upstreams have one. Each attempt costs a round trip. */
	FREE_SLOT_ATTEMPTS_MAX = 3,
	/* After this many round trips a late answer is better. */
	IN_TIME_ATTEMPTS_MAX = 4,
	/* About a round trip, the cost of another attempt. */
	FREE_SLOT_WAIT_MAX_US = 2 * 1000,
};

void placement_init(struct placement *placement, int64_t due_us,
		    bool seeks_free_slot)
{
	memset(placement, 0, sizeof(*placement));
	placement->due_us = due_us;
	placement->pass = seeks_free_slot && due_us ? PLACEMENT_FREE_SLOT
						    : PLACEMENT_IN_TIME;
}

void placement_finish(struct placement *placement, struct router *router)
{
	uint32_t i;

	for (i = 0; i < placement->tried_count; i++)
		endpoint_unref(router, placement->tried[i]);
	placement->tried_count = 0;
}

/* Returns how long a request may wait and still be answered in time. */
static int64_t local_wait_max_us(const struct placement *placement,
				 const struct pool *pool, int64_t now_us)
{
	int64_t left_us = placement->due_us - now_us;
	int64_t wait_us =
		left_us - (int64_t)(pool->service_us * SERVICE_MARGIN);

	return wait_us > 0 ? wait_us : 0;
}

static struct endpoint *pick_in_time(const struct placement *placement,
				     struct router *router, struct pick *pick,
				     uint32_t attempt_count)
{
	if (placement->pass != PLACEMENT_IN_TIME ||
	    placement->due_us <= pick->now_us ||
	    attempt_count - placement->free_slot_attempts >=
		    IN_TIME_ATTEMPTS_MAX)
		return NULL;
	pick->untried_only = true;
	pick->local_wait_max_us =
		local_wait_max_us(placement, pick->match->pool, pick->now_us);
	return router_pick(router, pick);
}

static uint32_t free_slot_attempts_max(const struct pool *pool,
				       struct router *router)
{
	if (pool->free_slot_share >= FREE_SLOT_SHARE_MIN)
		return FREE_SLOT_ATTEMPTS_MAX;
	return random_share(&router->random) < FREE_SLOT_PROBE_SHARE;
}

/* Counts the attempt as one that found a free slot. placement_gate_full()
 * corrects this. Counting at the answer would be too late. */
static void count_free_slot_attempt(struct placement *placement,
				    struct pool *pool)
{
	placement->free_slot_pool = pool;
	pool->free_slot_share += (1 - pool->free_slot_share) * FREE_SLOT_WEIGHT;
}

/* Returns an untried endpoint of the own data centre that may have a free slot,
 * or, after the allowed attempts, the best of the tried endpoints. Other data
 * centres are not searched: each attempt would send its body over expensive
 * links for nothing. */
static struct endpoint *pick_free_slot(struct placement *placement,
				       struct router *router,
				       const struct pick *pick)
{
	struct endpoint *endpoint = NULL;
	struct pick untried = *pick;
	struct pick among = *pick;

	if (placement->pass != PLACEMENT_FREE_SLOT)
		return NULL;
	if (!placement->free_slot_attempts)
		placement->free_slot_attempts_max =
			free_slot_attempts_max(pick->match->pool, router);
	untried.untried_only = true;
	untried.local_only = true;
	if (placement->free_slot_attempts < placement->free_slot_attempts_max &&
	    placement->due_us > pick->now_us)
		endpoint = router_pick(router, &untried);
	if (endpoint) {
		placement->free_slot_attempts++;
		count_free_slot_attempt(placement, pick->match->pool);
		placement->wait_max_us = FREE_SLOT_WAIT_MAX_US;
		return endpoint;
	}
	placement->pass = PLACEMENT_IN_TIME;
	if (!placement->tried_count)
		return NULL;
	among.among = placement->tried;
	among.among_count = placement->tried_count;
	among.tried_count = 0;
	return router_pick(router, &among);
}

/*
 * Returns the versions that the next attempt may be sent to. A version that is
 * being rolled out gets at most one attempt of a request; retries go to the
 * other versions. Otherwise a faulty version would increase its own share by
 * the retries it causes, or leave requests unanswered.
 */
static enum route_versions side_of(struct placement *placement,
				   const struct pick *pick)
{
	struct pool *pool = pick->match->pool;
	struct pick new_side = *pick;

	if (!placement->versions_chosen)
		placement->versions = router_next_versions(pool, pick->now_us);
	placement->versions_chosen = true;
	if (placement->versions != ROUTE_TARGET_VERSION)
		return placement->versions;
	new_side.versions = ROUTE_TARGET_VERSION;
	if (pool->split.share >= 1)
		return router_has_serving(&new_side) ? ROUTE_TARGET_VERSION
						     : ROUTE_ANY_VERSION;
	if (!placement->tried_count && router_has_healthy(&new_side))
		return ROUTE_TARGET_VERSION;
	placement->versions = ROUTE_OTHER_VERSIONS;
	return placement->versions;
}

struct endpoint *placement_pick(struct placement *placement,
				struct router *router,
				const struct route_match *match,
				uint32_t attempt_count, int64_t now_us)
{
	struct pick pick = { .match = match,
			     .tried = placement->tried,
			     .tried_count = placement->tried_count,
			     .due_us = placement->due_us,
			     .now_us = now_us };
	struct endpoint *endpoint;

	if (placement->pass == PLACEMENT_EXHAUSTED)
		return NULL;
	placement->wait_max_us = 0;
	placement->free_slot_pool = NULL;
	pick.versions = side_of(placement, &pick);
	endpoint = pick_free_slot(placement, router, &pick);
	if (endpoint)
		return endpoint;
	endpoint = pick_in_time(placement, router, &pick, attempt_count);
	if (endpoint)
		return endpoint;
	if (placement->due_us)
		placement->pass = PLACEMENT_LATE;
	pick.untried_only = false;
	pick.local_wait_max_us = 0;
	return router_pick(router, &pick);
}

void placement_tried(struct placement *placement, struct endpoint *endpoint)
{
	if (placement->tried_count == CALL_ATTEMPTS_MAX)
		return;
	endpoint_ref(endpoint);
	placement->tried[placement->tried_count++] = endpoint;
}

void placement_gate_full(struct placement *placement)
{
	struct pool *pool = placement->free_slot_pool;

	if (pool)
		pool->free_slot_share =
			fmax(0, pool->free_slot_share - FREE_SLOT_WEIGHT);
	placement->free_slot_pool = NULL;
	if (placement->pass == PLACEMENT_LATE)
		placement->pass = PLACEMENT_EXHAUSTED;
}

double placement_weight(const struct placement *placement, double weight)
{
	switch (placement->pass) {
	case PLACEMENT_FREE_SLOT:
	case PLACEMENT_IN_TIME:
		break;
	case PLACEMENT_LATE:
	case PLACEMENT_EXHAUSTED:
		return weight * LATE_WEIGHT;
	}
	return weight;
}

const char *placement_pass_name(enum placement_pass pass)
{
	static const char *const names[] = { "room", "in-time", "late",
					     "refused" };

	return names[pass];
}
