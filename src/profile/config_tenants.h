#ifndef PROFILE_CONFIG_TENANTS_H
#define PROFILE_CONFIG_TENANTS_H

#include "base/error.h"
#include "profile/config.h"

/**
 * DOC: tenants of a version
 *
 * Checks the tenants of all profiles of a version together. Each profile has
 * been checked on its own when it was parsed.
 */

/**
 * config_check_tenants() - checks that no two profiles share a key or a tenant
 * @before: a version that was checked already, or NULL; nothing is checked if
 *	the profiles with tenants are the same
 * @err: ERROR_INVALID; the text names the tenants, never a key
 */
bool config_check_tenants(const struct config *config,
			  const struct config *before, struct error *err);

/**
 * config_same_tenants() - true if all profiles with tenants of two versions are
 * the same
 * @before: may be NULL
 */
bool config_same_tenants(const struct config *config,
			 const struct config *before);

#endif
