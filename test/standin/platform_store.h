#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/**
 * DOC: platform store
 *
 * What the stand-in of the platform's service remembers: keys with revisions
 * and leases with fencing tokens. No I/O; the time is passed in.
 */

enum {
	PLATFORM_KEY_SIZE = 200,
	PLATFORM_HOLDER_SIZE = 200,
	PLATFORM_VALUE_MAX = 1024 * 1024,
};

struct platform_value {
	uint8_t *bytes;
	size_t size;
	uint64_t revision;
};

/**
 * struct platform_key - one key
 * @previous: the value before the present one, for the fault "older"
 */
struct platform_key {
	char name[PLATFORM_KEY_SIZE];
	struct platform_value current;
	struct platform_value previous;
	UT_hash_handle hh;
};

/** struct platform_lease - one lease; free if @until_us has passed. */
struct platform_lease {
	char name[PLATFORM_KEY_SIZE];
	char holder[PLATFORM_HOLDER_SIZE];
	uint64_t token;
	int64_t until_us;
	UT_hash_handle hh;
};

struct platform_store {
	struct platform_key *keys;
	struct platform_lease *leases;
	uint64_t revision;
	uint64_t token;
};

void platform_store_finish(struct platform_store *store);

/** platform_store_find() - the key, or NULL. */
struct platform_key *platform_store_find(const struct platform_store *store,
					 const char *name);

/**
 * platform_store_put() - compare-and-swap
 * @expected: revision that the key must have; 0: it must not exist
 * @revision: the new revision, or on failure the present one
 */
bool platform_store_put(struct platform_store *store, const char *name,
			uint64_t expected, const void *bytes, size_t size,
			uint64_t *revision);

/**
 * platform_store_acquire() - take a lease that is free or already ours
 *
 * Return: the lease; it is ours only if its holder is @holder.
 */
struct platform_lease *platform_store_acquire(struct platform_store *store,
					      const char *name,
					      const char *holder,
					      int64_t ttl_ms, int64_t now_us);

/** platform_store_renew() - false if it lapsed or is somebody else's. */
bool platform_store_renew(struct platform_store *store, const char *name,
			  const char *holder, uint64_t token, int64_t ttl_ms,
			  int64_t now_us);

/** platform_store_release() - false if it was not held by @holder. */
bool platform_store_release(struct platform_store *store, const char *name,
			    const char *holder, uint64_t token);

#endif
