#ifndef ROUTE_SUBSET_H
#define ROUTE_SUBSET_H

#include "route/route.h"

/**
 * DOC: subset
 *
 * The endpoints that this node calls: some of its own data centre and some of
 * others. Each node chooses them for each service by rendezvous hashing, so
 * that the number of its connections does not grow with the number of nodes,
 * the choice changes little as endpoints come and go, and each endpoint is in
 * the subsets of about as many nodes as any other one. Endpoints that serve and
 * are reachable come first. A subset grows with the calls of this node in
 * flight, so that a node with many calls spreads them over many endpoints.
 */

/** struct range - endpoints to choose from; valid until the pool changes. */
struct range {
	struct endpoint **endpoints;
	uint32_t count;
};

/**
 * subset_init() - choose nothing yet
 * @size_min: least number of endpoints; 0: all of them
 */
void subset_init(struct subset *subset, uint32_t size_min);

/** subset_changed() - an endpoint of the pool, or its state, has changed. */
void subset_changed(struct pool *pool);

/**
 * subset_local() - returns the endpoints of the own data centre to choose from
 *
 * All of them while a split needs endpoints of certain versions.
 */
struct range subset_local(struct pool *pool);

/** subset_remote() - subset_local() of the other data centres. */
struct range subset_remote(struct pool *pool);

#endif
