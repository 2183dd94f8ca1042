#ifndef BASE_USAGE_H
#define BASE_USAGE_H

#include <stdint.h>

/**
 * DOC: usage
 *
 * Requests by tenant and event, counted since the process started. The counts
 * are process-wide and not thread-safe. Their number is bounded: once there are
 * USAGE_TENANTS_MAX tenants, further ones are counted as "other".
 */

/** enum usage_event - what is counted. */
enum usage_event {
	USAGE_REQUESTS, /* requests with a key of the tenant */
	USAGE_REFUSED,	/* of these, refused because of the tenant's limit */
	USAGE_EVENTS,
};

enum {
	USAGE_TENANT_SIZE = 64,
	USAGE_TENANTS_MAX = 2048,
	/* Number of tenants that metrics list by name. */
	USAGE_LISTED_MAX = 32,
};

/**
 * struct usage - counts of one tenant
 * @tenant: its name; "other" for tenants that are counted together
 * @counts: number of requests by event
 */
struct usage {
	char tenant[USAGE_TENANT_SIZE];
	uint64_t counts[USAGE_EVENTS];
};

/** usage_add() - count one request of a tenant. */
void usage_add(const char *tenant, enum usage_event event);

/** usage_of() - returns the counts of a tenant; zero if there are none. */
struct usage usage_of(const char *tenant);

/**
 * usage_busiest() - copies the tenants with the most requests
 * @list: receives at most USAGE_LISTED_MAX tenants, the busiest first, and the
 *	sum of all others, and of a tenant that is named so, as "other" if
 *	there are any
 *
 * Return: number of entries in @list.
 */
uint32_t usage_busiest(struct usage list[USAGE_LISTED_MAX + 1]);

/** usage_reset() - forget all counts. */
void usage_reset(void);

#endif
