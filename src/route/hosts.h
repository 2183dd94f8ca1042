#ifndef ROUTE_HOSTS_H
#define ROUTE_HOSTS_H

#include <uthash.h>

#include "base/random.h"
#include "profile/config.h"

/**
 * DOC: hosts
 *
 * Finds the host route of a request by its host and longest matching path
 * prefix, and chooses among the weighted parts of the route. A low-discrepancy
 * sequence takes the place of random numbers, so that each part receives its
 * share of the requests also over a short run of requests.
 */

/**
 * struct host_entry - one host route in the table
 * @key: hash of the host, in lower case, and of the path prefix
 * @profile: profile that holds the route
 * @route: the route: path prefix and number of its rule
 * @rule: rule of @route: host and weighted parts
 * @position: present value of the low-discrepancy sequence, 0 to 1
 * @hh: handle in host_table.by_key
 */
struct host_entry {
	uint64_t key;
	const struct profile *profile;
	const struct host_route *route;
	const struct host_rule *rule;
	double position;
	UT_hash_handle hh;
};

/**
 * struct host_table - all host routes of a version
 * @by_key: hash table of the entries, by host_entry.key
 * @entries: array that holds the entries; owned by the table
 */
struct host_table {
	struct host_entry *by_key;
	struct host_entry *entries;
};

/**
 * hosts_build() - replaces the content of the table by the routes of @config
 *
 * The entries point into the profiles of @config, which must outlive them. Of
 * several routes with the same host and prefix the first one is used.
 */
void hosts_build(struct host_table *table, const struct config *config,
		 struct random *random);

/** hosts_finish() - frees all entries and leaves an empty table. */
void hosts_finish(struct host_table *table);

/**
 * hosts_find() - finds the route of a request
 * @host: Host field of the request, with or without a port, in any case
 * @path: path of the request without the query
 *
 * Return: the entry with the longest matching prefix, or NULL.
 */
struct host_entry *hosts_find(const struct host_table *table, const char *host,
			      const char *path);

/**
 * host_entry_next_part() - chooses the part for the next request
 *
 * Return: a part with a weight above 0; NULL if the route has none.
 */
const struct route_part *host_entry_next_part(struct host_entry *entry);

#endif
