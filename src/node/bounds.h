#ifndef NODE_BOUNDS_H
#define NODE_BOUNDS_H

#include "http/server.h"
#include "profile/config.h"

/**
 * DOC: bounds
 *
 * Computes the limits for the requests of callers: the limits of the profiles
 * in force, capped by the settings of this node.
 */

/**
 * bounds_from_config() - compute the limits for callers
 * @config: configuration in force; NULL while there is none
 * @maximum: largest sizes of a request in bytes, and the idle timeout in
 *	milliseconds that applies if no profile sets one
 *
 * All services are called over one address. If several profiles set a limit,
 * the largest value applies, so that a caller that respects the limits of its
 * own profile is never refused. If no profile sets the size or the timeout of a
 * head, that limit is 0: the default of the HTTP server. If no profile sets the
 * size of a body, the size in @maximum applies.
 *
 * Return: the limits.
 */
struct http_server_limits
bounds_from_config(const struct config *config,
		   const struct http_server_limits *maximum);

#endif
