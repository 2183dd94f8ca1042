#ifndef PROFILE_CONFIG_H
#define PROFILE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "profile/profile.h"

/**
 * DOC: config
 *
 * One accepted version of the configuration: all profiles, parsed and checked.
 * The struct is reference-counted, so that a call keeps the version with which
 * the call began after a newer version is applied.
 */

enum { CONTENT_HASH_BYTES = 32, CHAIN_HASH_BYTES = 32, ACCEPT_ID_SIZE = 40 };

/**
 * struct config_profile - a profile of a version, with the hash of its text
 * @profile: the parsed profile; the config holds one reference
 * @hash: hash of the text, under which the text is stored
 * @set_in: version that last set the profile, according to the head
 * @unchanged_since: version from which on this node has had this text without a
 *	change
 */
struct config_profile {
	struct profile *profile;
	uint8_t hash[CONTENT_HASH_BYTES];
	uint64_t set_in;
	uint64_t unchanged_since;
};

/**
 * struct config - a version of the configuration
 * @references: number of references; the last config_unref() frees the struct
 * @version: number of the version
 * @chain: chain hash: hash of the content of the version and of the chain hash
 *	of the previous version
 * @profiles: array of @profile_count entries, sorted by name
 */
struct config {
	uint32_t references;
	uint64_t version;
	uint8_t chain[CHAIN_HASH_BYTES];
	struct config_profile *profiles;
	uint32_t profile_count;
};

/**
 * config_new() - allocates a config with @count empty profile entries
 *
 * Return: a config with one reference, for config_unref(). The caller fills the
 * entries.
 */
struct config *config_new(uint32_t count);

struct config *config_ref(struct config *config);

/**
 * config_unref() - drops a reference; the last one frees the config
 * @config: may be NULL
 */
void config_unref(struct config *config);

/** config_find_entry() - returns the entry of the profile @name, or NULL. */
const struct config_profile *config_find_entry(const struct config *config,
					       const char *name);

/** config_find() - returns the profile @name, or NULL. */
const struct profile *config_find(const struct config *config,
				  const char *name);

#endif
