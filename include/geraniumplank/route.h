#ifndef ROUTE_H
#define ROUTE_H

/**
 * DOC: route
 *
 * Chooses the endpoint of a service for each attempt. The caller passes in
 * records of endpoints and versions of the configuration. router_match() and
 * router_pick() return where a request goes; endpoint_done() reports the result
 * of the attempt. The caller owns struct router; tables are allocated as
 * records are added and freed by router_finish(). The caller passes the current
 * time in; random choices follow from the seed of the router.
 *
 * A configuration consists of profiles, which profile_parse() reads from TOML:
 * see config_new().
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "route/report.h"
#include "route/route.h"
#include "profile/config.h"
#include "profile/profile.h"

#ifdef __cplusplus
}
#endif

#endif
