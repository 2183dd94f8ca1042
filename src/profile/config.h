#ifndef PROFILE_CONFIG_H
#define PROFILE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "profile/profile.h"

/**
 * DOC: config
 *
 * One accepted version of the configuration, whole: all profiles, parsed and
 * checked. Shared by counted references: a call keeps the version that it
 * began with while newer ones come into force.
 */

enum { CONTENT_HASH_BYTES = 32, CHAIN_HASH_BYTES = 32, ACCEPT_ID_SIZE = 40 };

/**
 * struct config_profile - a profile and where its text is found
 * @hash: of the text
 * @set_in: version that last changed it, as the head says
 * @unchanged_since: version since which this node has had this text without a
 *	change
 */
struct config_profile {
	struct profile *profile;
	uint8_t hash[CONTENT_HASH_BYTES];
	uint64_t set_in;
	uint64_t unchanged_since;
};

/**
 * struct config - a version
 * @chain: hash over this version's content and the chain of the one before
 * @profiles: sorted by name
 */
struct config {
	uint32_t references;
	uint64_t version;
	uint8_t chain[CHAIN_HASH_BYTES];
	struct config_profile *profiles;
	uint32_t profile_count;
};

/** config_new() - room for @count profiles; one reference. */
struct config *config_new(uint32_t count);

struct config *config_ref(struct config *config);

/** config_unref() - free it with the last reference; NULL is allowed. */
void config_unref(struct config *config);

/** config_find_entry() - a profile and where its text is found, or NULL. */
const struct config_profile *config_find_entry(const struct config *config,
					       const char *name);

/** config_find() - a profile by name, or NULL. */
const struct profile *config_find(const struct config *config,
				  const char *name);

#endif
