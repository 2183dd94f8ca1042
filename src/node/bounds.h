#ifndef NODE_BOUNDS_H
#define NODE_BOUNDS_H

#include "http/server.h"
#include "profile/config.h"

/**
 * DOC: bounds
 *
 * What callers may send here: the bounds that the profiles in force set, and
 * never more than this process's settings allow it to hold.
 */

/**
 * bounds_from_config() - the bounds for callers under a configuration
 * @config: in force; NULL while there is none
 * @most: bytes that this process may hold for one request, and the idle time
 *	where no profile says any
 *
 * A bound that no profile sets is 0 for a head: the server's own default.
 *
 * All services are called over one address, so where several profiles set a
 * bound the loosest holds: a caller that keeps to its own is never refused.
 */
struct http_server_limits
bounds_from_config(const struct config *config,
		   const struct http_server_limits *most);

#endif
