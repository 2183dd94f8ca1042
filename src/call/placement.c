#include "call/placement.h"

#include <math.h>
#include <string.h>

/* Service times vary; half as much again lets most answers come in time. */
#define SERVICE_MARGIN 1.5

/* Late answers go behind those in time of the same weight, and before those of
 * the next lower one where that is less than nine tenths of theirs. */
#define LATE_WEIGHT 0.9

/* Weight of one try in the share of those that found a free slot. */
#define ROOM_WEIGHT (1.0 / 8)
/* Below it nearly all are full, and to ask only adds to what they have to do:
 * beside rolling stops under load every request asked in vain, links of a few
 * Mbit/s filled with it, and 0.43 of what was owed was earned in two seconds
 * where 0.68 is without asking (86 nodes). */
#define ROOM_SHARE_LEAST 0.3
/* Of the requests then, those that ask all the same, once: they find out when
 * there is room again. */
#define ROOM_SAMPLE_SHARE 0.25

enum {
	/* Three find a free slot 96 times in 100 where two of three upstreams
	 * have one; each costs a way there and back. */
	ROOM_TRIES_MAX = 3,
	/* After so many ways a late answer is better. */
	IN_TIME_TRIES_MAX = 4,
	/* About a way there and back: to look elsewhere costs as much. */
	ROOM_PATIENCE_US = 2 * 1000,
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
		endpoint_release(router, placement->tried[i]);
	placement->tried_count = 0;
}

/* How long a request may wait and still be answered in time. */
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
	    attempt_count - placement->free_slot_attempts >= IN_TIME_TRIES_MAX)
		return NULL;
	pick->untried_only = true;
	pick->local_wait_max_us =
		local_wait_max_us(placement, pick->match->pool, pick->now_us);
	return router_pick(router, pick);
}

static uint32_t free_slot_attempts_max(const struct pool *pool,
				       struct router *router)
{
	if (pool->free_slot_share >= ROOM_SHARE_LEAST)
		return ROOM_TRIES_MAX;
	return random_share(&router->random) < ROOM_SAMPLE_SHARE;
}

/* Counted as found until the gate says otherwise: an answer comes too late to
 * learn from. */
static void count_room_try(struct placement *placement, struct pool *pool)
{
	placement->free_slot_pool = pool;
	pool->free_slot_share += (1 - pool->free_slot_share) * ROOM_WEIGHT;
}

/* One more of the own data centre that may have room; after a few, the best of
 * them. To look farther than that would send each body over dear ways for
 * nothing: a fifth to a half more bytes between data centres that have two or
 * three upstreams each. */
static struct endpoint *pick_room(struct placement *placement,
				  struct router *router,
				  const struct pick *pick)
{
	struct endpoint *endpoint = NULL;
	struct pick room = *pick;
	struct pick among = *pick;

	if (placement->pass != PLACEMENT_FREE_SLOT)
		return NULL;
	if (!placement->free_slot_attempts)
		placement->free_slot_attempts_max =
			free_slot_attempts_max(pick->match->pool, router);
	room.untried_only = true;
	room.local_only = true;
	if (placement->free_slot_attempts < placement->free_slot_attempts_max &&
	    placement->due_us > pick->now_us)
		endpoint = router_pick(router, &room);
	if (endpoint) {
		placement->free_slot_attempts++;
		count_room_try(placement, pick->match->pool);
		placement->wait_max_us = ROOM_PATIENCE_US;
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
 * A version that may be bad gets one try of a request at most, and whatever it
 * does not take goes to the others: its share must neither grow by the retries
 * that it causes nor leave requests unanswered.
 */
static enum route_versions side_of(struct placement *placement,
				   const struct pick *pick)
{
	struct pool *pool = pick->match->pool;
	struct pick fresh = *pick;

	if (!placement->sided)
		placement->versions = router_next_versions(pool, pick->now_us);
	placement->sided = true;
	if (placement->versions != ROUTE_TARGET_VERSION)
		return placement->versions;
	fresh.versions = ROUTE_TARGET_VERSION;
	if (pool->split.share >= 1)
		return router_has_serving(&fresh) ? ROUTE_TARGET_VERSION
						  : ROUTE_ANY_VERSION;
	if (!placement->tried_count && router_has_healthy(&fresh))
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
			     .now_us = now_us };
	struct endpoint *endpoint;

	if (placement->pass == PLACEMENT_REFUSED)
		return NULL;
	placement->wait_max_us = 0;
	placement->free_slot_pool = NULL;
	pick.versions = side_of(placement, &pick);
	endpoint = pick_room(placement, router, &pick);
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
	endpoint_hold(endpoint);
	placement->tried[placement->tried_count++] = endpoint;
}

void placement_gate_full(struct placement *placement)
{
	struct pool *pool = placement->free_slot_pool;

	if (pool)
		pool->free_slot_share =
			fmax(0, pool->free_slot_share - ROOM_WEIGHT);
	placement->free_slot_pool = NULL;
	if (placement->pass == PLACEMENT_LATE)
		placement->pass = PLACEMENT_REFUSED;
}

double placement_weight(const struct placement *placement, double weight)
{
	switch (placement->pass) {
	case PLACEMENT_FREE_SLOT:
	case PLACEMENT_IN_TIME:
		break;
	case PLACEMENT_LATE:
	case PLACEMENT_REFUSED:
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
