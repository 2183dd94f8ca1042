#ifndef PROFILE_KEY_SET_H
#define PROFILE_KEY_SET_H

#include "profile/tenant.h"

/**
 * DOC: key set
 *
 * A set of digests of keys, each with a number that says whose key it is. Finds
 * a key that is given twice in a time that does not depend on the number of
 * keys.
 */

/** struct key_set_entry - a digest; free if @owner is 0. */
struct key_set_entry {
	struct key_digest digest;
	uint32_t owner;
};

/**
 * struct key_set - see DOC; all zero is an empty set
 * @entries: array of @capacity entries, a power of two
 * @count: number of digests in the set
 */
struct key_set {
	struct key_set_entry *entries;
	uint32_t capacity;
	uint32_t count;
};

/**
 * key_set_add() - adds a digest
 * @owner: number of the tenant, above 0
 *
 * Return: 0 if the digest is new, otherwise the owner with which the digest is
 * in the set already; that owner is kept.
 */
uint32_t key_set_add(struct key_set *set, const struct key_digest *digest,
		     uint32_t owner);

/** key_set_reserve() - allocates memory for @count digests in all. */
void key_set_reserve(struct key_set *set, uint32_t count);

/** key_set_find() - returns the owner of a digest, or 0. */
uint32_t key_set_find(const struct key_set *set,
		      const struct key_digest *digest);

/** key_set_finish() - frees the memory and leaves an empty set. */
void key_set_finish(struct key_set *set);

#endif
