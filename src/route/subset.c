#include "route/subset.h"

#include <string.h>

#include <xxhash.h>

/* Calls after which a subset that is twice as large as needed is halved. */
enum { SPARE_CALLS = 1000 };

void subset_init(struct subset *subset, uint32_t size_min)
{
	subset->count = 0;
	subset->size_min = size_min;
	subset->size = size_min;
	subset->spare_calls = 0;
	subset->is_old = true;
}

void subset_changed(struct pool *pool)
{
	pool->local_subset.is_old = true;
	pool->remote_subset.is_old = true;
}

static bool is_serving(const struct endpoint *endpoint)
{
	return endpoint->reachable && !endpoint->told_leaving &&
	       endpoint->record.state == UPSTREAM_SERVING;
}

static uint64_t affinity(const struct pool *pool,
			 const struct endpoint *endpoint)
{
	const char *instance = endpoint->record.instance;

	return XXH64(instance, strlen(instance), pool->subset_seed);
}

/* Returns true if @a comes before @b. */
static bool precedes(const struct pool *pool, const struct endpoint *a,
		     const struct endpoint *b)
{
	if (is_serving(a) != is_serving(b))
		return is_serving(a);
	return affinity(pool, a) < affinity(pool, b);
}

/* Inserts the endpoint at its place if it is among the first. */
static void consider(const struct pool *pool, struct subset *subset,
		     struct endpoint *endpoint)
{
	uint32_t i = subset->count;

	if (i == subset->size) {
		if (!precedes(pool, endpoint, subset->endpoints[i - 1]))
			return;
		i--;
	} else {
		subset->count++;
	}
	for (; i && precedes(pool, endpoint, subset->endpoints[i - 1]); i--)
		subset->endpoints[i] = subset->endpoints[i - 1];
	subset->endpoints[i] = endpoint;
}

static uint32_t calls_in_flight(const struct subset *subset)
{
	uint32_t calls = 0;
	uint32_t i;

	for (i = 0; i < subset->count; i++)
		calls += subset->endpoints[i]->in_flight;
	return calls;
}

/* Returns the size at which the next call finds an endpoint without a call of
 * this node. */
static uint32_t size_needed(const struct subset *subset)
{
	uint32_t size = calls_in_flight(subset) + 1;

	if (size < subset->size_min)
		return subset->size_min;
	return size < ROUTE_SUBSET_MAX ? size : ROUTE_SUBSET_MAX;
}

static void choose_again(const struct pool *pool, struct subset *subset,
			 struct range range)
{
	uint32_t i;

	subset->count = 0;
	for (i = 0; i < range.count; i++)
		consider(pool, subset, range.endpoints[i]);
	subset->is_old = false;
}

/* Halves the subset after many calls that needed no more than half of it. */
static void shrink(struct subset *subset, uint32_t needed)
{
	if (needed > subset->size / 2 || subset->size == subset->size_min) {
		subset->spare_calls = 0;
		return;
	}
	if (++subset->spare_calls < SPARE_CALLS)
		return;
	subset->spare_calls = 0;
	subset->size /= 2;
	if (subset->size < subset->size_min)
		subset->size = subset->size_min;
	if (subset->count > subset->size)
		subset->count = subset->size;
}

static void resize(const struct pool *pool, struct subset *subset,
		   struct range range)
{
	uint32_t needed = size_needed(subset);

	if (needed <= subset->size) {
		shrink(subset, needed);
		return;
	}
	subset->spare_calls = 0;
	subset->size = needed;
	choose_again(pool, subset, range);
}

static struct range subset_of(const struct pool *pool, struct subset *subset,
			      struct range range)
{
	if (!subset->size_min || pool->split.target[0] ||
	    range.count <= subset->size_min)
		return range;
	/* An old subset may name endpoints that do not exist any more. */
	if (subset->is_old)
		choose_again(pool, subset, range);
	resize(pool, subset, range);
	return (struct range){ subset->endpoints, subset->count };
}

struct range subset_local(struct pool *pool)
{
	struct range range = { pool->endpoints, pool->local_count };

	return subset_of(pool, &pool->local_subset, range);
}

struct range subset_remote(struct pool *pool)
{
	struct range range = { pool->endpoints + pool->local_count,
			       pool->count - pool->local_count };

	return subset_of(pool, &pool->remote_subset, range);
}
