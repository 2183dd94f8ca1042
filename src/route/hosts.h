#ifndef ROUTE_HOSTS_H
#define ROUTE_HOSTS_H

#include <uthash.h>

#include "base/random.h"
#include "profile/config.h"

/**
 * DOC: hosts
 *
 * The host routes of one version, found by host and longest prefix, and the
 * choice among the parts of a route. The parts get their weights' shares of
 * the requests by an even sequence and not by chance: with a few requests a
 * second, chance would leave the shares off by a tenth for many seconds.
 */

/**
 * struct host_entry - one route
 * @key: hash of its host, in lower case, and its prefix
 * @profile: that holds it
 * @rule: of @route
 * @turn: where the sequence stands, from 0 to 1
 */
struct host_entry {
	uint64_t key;
	const struct profile *profile;
	const struct host_route *route;
	const struct host_rule *rule;
	double turn;
	UT_hash_handle hh;
};

/** struct host_table - all routes of a version, by @key. */
struct host_table {
	struct host_entry *slots;
	struct host_entry *memory;
};

/** hosts_build() - replace the table by that of @config. */
void hosts_build(struct host_table *table, const struct config *config,
		 struct random *random);

/** hosts_finish() - free it; the table is empty then. */
void hosts_finish(struct host_table *table);

/**
 * hosts_find() - the route of a request, or NULL
 * @host: with or without a port, any case
 * @path: without the query
 */
struct host_entry *hosts_find(const struct host_table *table, const char *host,
			      const char *path);

/** host_entry_next_part() - the part whose turn it is; never one of no weight. */
const struct route_part *host_entry_next_part(struct host_entry *slot);

#endif
