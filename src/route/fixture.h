#ifndef ROUTE_FIXTURE_H
#define ROUTE_FIXTURE_H

#include "route/route.h"

/**
 * DOC: fixture
 *
 * Configurations and records for tests of the router.
 */

/**
 * fixture_config() - creates a configuration with one profile for each letter
 * @version: number of the version
 * @names: names of the profiles, one letter each, for example "ab"
 *
 * Each profile covers all services, has one kind "read" for "GET /r*", allows
 * to spill for a gain of 5 ms, and has a warm-up time of one second.
 *
 * Return: the configuration with one reference, which the caller releases with
 * config_unref().
 */
struct config *fixture_config(uint64_t version, const char *names);

/** fixture_record() - returns a record of a warm upstream with four slots. */
struct record fixture_record(const char *instance, const char *data_centre,
			     const char *service, const char *profile);

#endif
