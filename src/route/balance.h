#ifndef ROUTE_BALANCE_H
#define ROUTE_BALANCE_H

#include "route/route.h"

/**
 * DOC: balance
 *
 * Which endpoint of a pool takes an attempt, and what each attempt teaches
 * about its endpoint. The part of the router that chooses.
 */

/** balance_pick() - the choice itself, without counting; NULL if none can. */
struct endpoint *balance_pick(struct random *random, const struct pick *pick);

/** balance_has_healthy() - see router_has_healthy(). */
bool balance_has_healthy(const struct pick *pick);

/** balance_has_serving() - see router_has_serving(). */
bool balance_has_serving(const struct pick *pick);

/** balance_record_result() - take in how an attempt ended. */
void balance_record_result(struct random *random, struct endpoint *endpoint,
			   enum endpoint_result result, double load,
			   int64_t latency_us, int64_t now_us);

#endif
