#ifndef ROUTE_BALANCE_H
#define ROUTE_BALANCE_H

#include "route/route.h"

/**
 * DOC: balance
 *
 * The load balancer of the router: chooses the endpoint of a pool for an
 * attempt, and records the outcome of each attempt. The choice depends on the
 * reported load, the calls in flight, the service time and the error rate of
 * each endpoint.
 */

/**
 * balance_pick() - chooses an endpoint, see router_pick()
 *
 * Takes no reference and counts no call in flight.
 *
 * Return: the endpoint, or NULL if none can be chosen.
 */
struct endpoint *balance_pick(struct random *random, const struct pick *pick);

/** balance_has_healthy() - see router_has_healthy(). */
bool balance_has_healthy(const struct pick *pick);

/** balance_has_serving() - see router_has_serving(). */
bool balance_has_serving(const struct pick *pick);

/** balance_record_result() - records the outcome, see endpoint_done(). */
void balance_record_result(struct random *random, struct endpoint *endpoint,
			   enum endpoint_result result, double load,
			   int64_t latency_us, int64_t now_us);

#endif
