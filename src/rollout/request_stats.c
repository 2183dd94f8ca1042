#include "rollout/request_stats.h"

#include <math.h>
#include <string.h>

#include <xxhash.h>

/* The first edge is below the time of any answer worth comparing. The last edge
 * is beyond the timeouts of interactive routes. */
#define FIRST_EDGE_US 4000.0
#define EDGE_RATIO 1.36

int64_t request_stats_edge_us(uint32_t edge)
{
	return (int64_t)(FIRST_EDGE_US * pow(EDGE_RATIO, edge));
}

void request_stats_init(struct request_stats *request_stats, uint64_t epoch)
{
	memset(request_stats, 0, sizeof(*request_stats));
	request_stats->epoch = epoch;
}

uint64_t request_stats_kind_hash(const char *kind)
{
	return XXH3_64bits(kind, strlen(kind));
}

void request_stats_add_started(struct request_stats *request_stats)
{
	request_stats->started++;
}

const struct request_stats_kind *
request_stats_find(const struct request_stats *request_stats, uint64_t kind)
{
	uint32_t i;

	for (i = 0; i < request_stats->kind_count; i++)
		if (request_stats->kinds[i].kind == kind)
			return &request_stats->kinds[i];
	return NULL;
}

/* Kinds beyond REQUEST_STATS_KINDS_MAX are counted in the last entry. */
static struct request_stats_kind *get_kind(struct request_stats *request_stats,
					   uint64_t kind)
{
	struct request_stats_kind *found =
		(struct request_stats_kind *)request_stats_find(request_stats,
								kind);

	if (found)
		return found;
	if (request_stats->kind_count == REQUEST_STATS_KINDS_MAX)
		return &request_stats->kinds[REQUEST_STATS_KINDS_MAX - 1];
	found = &request_stats->kinds[request_stats->kind_count++];
	found->kind = kind;
	return found;
}

void request_stats_add_elapsed(struct request_stats *request_stats,
			       uint64_t kind, uint8_t *edges, int64_t took_us)
{
	struct request_stats_kind *counts = get_kind(request_stats, kind);

	while (*edges < REQUEST_STATS_EDGES &&
	       took_us >= request_stats_edge_us(*edges))
		counts->reached[(*edges)++]++;
}

void request_stats_add_finished(struct request_stats *request_stats,
				uint64_t kind, bool failed, bool timed)
{
	struct request_stats_kind *counts = get_kind(request_stats, kind);

	counts->finished++;
	counts->failed += failed;
	counts->timed += timed;
}
