#ifndef ROUTE_SPLIT_H
#define ROUTE_SPLIT_H

#include "route/route.h"

/**
 * DOC: split
 *
 * How the requests of a service are divided between the version that its
 * endpoints run and one that is being rolled out. Of the endpoints of the new
 * one as many take part as its share calls for, wherever they are, and three at
 * the least. Each of them then carries about what it will carry in the end, so
 * that a version which only fails under load does so while few requests go
 * there. Chosen in each data centre they would be two or three times as many,
 * with as much less to do.
 */

/** split_set() - @credit: where to begin, 0 to 1; nodes must not begin alike. */
void split_set(struct pool *pool, const struct split *split, double credit);

/** split_select_members() - the endpoints that take part, after any change of
 * them. */
void split_select_members(struct pool *pool);

/** split_next_versions() - see router_next_versions(). */
enum route_versions split_next_versions(struct pool *pool, int64_t now_us);

/** split_allows() - whether an endpoint is on the side that @pick is for. */
bool split_allows(const struct pick *pick, const struct endpoint *endpoint);

#endif
