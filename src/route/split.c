#include "route/split.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

/* Endpoints that take part at the least: by a single one nobody could tell
 * whether it or its version fails. */
enum { PART_MIN = 3 };

static bool is_target(const struct pool *pool, const struct endpoint *endpoint)
{
	return *pool->split.target &&
	       !strcmp(endpoint->record.version, pool->split.target);
}

static bool is_up(const struct endpoint *endpoint)
{
	return endpoint->reachable &&
	       endpoint->record.state == UPSTREAM_SERVING;
}

static uint64_t place_of(const struct endpoint *endpoint)
{
	const char *name = endpoint->record.instance;

	return XXH3_64bits(name, strlen(name));
}

/**
 * struct peers - endpoints of the target
 * @count: of them that are up
 * @before: of these, those that take part before a given one
 */
struct peers {
	uint32_t count;
	uint32_t before;
};

static struct peers peers_of(const struct pool *pool,
			     const struct endpoint *endpoint)
{
	uint64_t place = place_of(endpoint);
	struct peers peers = { .count = 0 };
	uint32_t i;

	for (i = 0; i < pool->count; i++) {
		const struct endpoint *other = pool->endpoints[i];

		if (!is_target(pool, other) || !is_up(other))
			continue;
		peers.count++;
		peers.before += place_of(other) < place;
	}
	return peers;
}

/* All nodes choose the same ones, as all hash the same names. */
void split_select_members(struct pool *pool)
{
	uint32_t i;

	if (!*pool->split.target)
		return;
	for (i = 0; i < pool->count; i++) {
		struct endpoint *endpoint = pool->endpoints[i];
		struct peers peers;

		endpoint->split_member = false;
		if (!is_target(pool, endpoint))
			continue;
		peers = peers_of(pool, endpoint);
		endpoint->split_member =
			peers.before < PART_MIN ||
			peers.before < ceil(peers.count * pool->split.share);
	}
}

void split_set(struct pool *pool, const struct split *split, double credit)
{
	/* Word of the same roll-out must not begin the run of turns anew: of
	 * few requests none would then ever go to the target. */
	if (!strcmp(pool->split.target, split->target))
		credit = pool->split.credit;
	pool->split = *split;
	pool->split.credit = credit;
	split_select_members(pool);
}

static bool others_serve(const struct pool *pool)
{
	uint32_t i;

	for (i = 0; i < pool->count; i++)
		if (!is_target(pool, pool->endpoints[i]) &&
		    pool->endpoints[i]->record.state == UPSTREAM_SERVING)
			return true;
	return false;
}

enum route_versions split_next_versions(struct pool *pool, int64_t now_us)
{
	struct split *split = &pool->split;

	if (!*split->target)
		return ROUTE_ANY_VERSION;
	if (split->until_us && now_us >= split->until_us) {
		split->target[0] = '\0';
		return ROUTE_ANY_VERSION;
	}
	if (split->share >= 1)
		return ROUTE_TARGET_VERSION;
	if (!split->strict && !others_serve(pool))
		return ROUTE_ANY_VERSION;
	split->credit += split->share;
	if (split->credit < 1)
		return ROUTE_OTHER_VERSIONS;
	split->credit -= 1;
	return ROUTE_TARGET_VERSION;
}

bool split_allows(const struct pick *pick, const struct endpoint *endpoint)
{
	switch (pick->versions) {
	case ROUTE_ANY_VERSION:
		break;
	case ROUTE_OTHER_VERSIONS:
		return !is_target(pick->match->pool, endpoint);
	case ROUTE_TARGET_VERSION:
		return endpoint->split_member;
	}
	return true;
}
