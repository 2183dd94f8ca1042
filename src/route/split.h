#ifndef ROUTE_SPLIT_H
#define ROUTE_SPLIT_H

#include "route/route.h"

/**
 * DOC: split
 *
 * Divides the requests of a service between the present version and a version
 * that is being rolled out, the target. Only some of the endpoints that run the
 * target receive requests: a number of members in proportion to the target's
 * share, at least three. Each member then carries about the load that it will
 * carry after the roll-out, so that a version which fails only under load fails
 * while it serves a small share of the requests. The members are selected
 * across all data centres: a selection in each data centre would give several
 * times as many members with less load each.
 */

/**
 * split_set() - begins, changes or ends the split of a pool
 * @split: new split; its @credit is ignored
 * @credit: credit to begin with, 0 to 1; random, so that the nodes do not all
 *	send their first requests to the same version
 *
 * A split with the same target as before keeps its credit.
 */
void split_set(struct pool *pool, const struct split *split, double credit);

/**
 * split_select_members() - selects the endpoints that serve the target's share
 *
 * Sets endpoint.split_member; to be called after each change of the endpoints
 * of the pool. All nodes select the same endpoints.
 */
void split_select_members(struct pool *pool);

/** split_next_versions() - see router_next_versions(). */
enum route_versions split_next_versions(struct pool *pool, int64_t now_us);

/** split_allows() - returns true if @pick->versions admits the endpoint. */
bool split_allows(const struct pick *pick, const struct endpoint *endpoint);

#endif
