#ifndef STANDIN_PLATFORM_STORE_H
#define STANDIN_PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

/**
 * DOC: platform store
 *
 * State of the stand-in of the platform's service: keys with revisions and
 * leases with fencing tokens. Does no I/O; callers pass the time.
 */

enum {
	PLATFORM_KEY_SIZE = 200,
	PLATFORM_HOLDER_SIZE = 200,
	PLATFORM_VALUE_MAX = 1024 * 1024,
};

/**
 * struct platform_value - a value of a key
 * @bytes: the value, owned; NULL if there is none
 * @size: size of @bytes
 * @revision: revision of the store that wrote the value
 */
struct platform_value {
	uint8_t *bytes;
	size_t size;
	uint64_t revision;
};

/**
 * struct platform_key - a key and its values
 * @name: name of the key
 * @current: latest value
 * @previous: value before the latest, for the fault "older"
 * @hh: entry in the table of keys
 */
struct platform_key {
	char name[PLATFORM_KEY_SIZE];
	struct platform_value current;
	struct platform_value previous;
	UT_hash_handle hh;
};

/**
 * struct platform_lease - a lease
 * @name: name of the lease
 * @holder: latest holder
 * @token: fencing token of the latest holder
 * @until_us: time at which the lease expires and is free
 * @hh: entry in the table of leases
 */
struct platform_lease {
	char name[PLATFORM_KEY_SIZE];
	char holder[PLATFORM_HOLDER_SIZE];
	uint64_t token;
	int64_t until_us;
	UT_hash_handle hh;
};

/**
 * struct platform_store - keys and leases
 * @keys: table of keys by name
 * @leases: table of leases by name
 * @revision: revision of the latest write
 * @token: latest fencing token
 */
struct platform_store {
	struct platform_key *keys;
	struct platform_lease *leases;
	uint64_t revision;
	uint64_t token;
};

void platform_store_finish(struct platform_store *store);

/** platform_store_find() - find a key; NULL if it does not exist. */
struct platform_key *platform_store_find(const struct platform_store *store,
					 const char *name);

/**
 * platform_store_put() - compare-and-swap the value of a key
 * @expected: revision that the key must have; 0 if it must not exist
 * @revision: receives the new revision, or on failure the current one
 *
 * Return: false if the key has another revision.
 */
bool platform_store_put(struct platform_store *store, const char *name,
			uint64_t expected, const void *bytes, size_t size,
			uint64_t *revision);

/**
 * platform_store_acquire() - acquire or extend a lease
 *
 * A lease of another holder must have expired.
 *
 * Return: the lease; acquired only if its holder is @holder.
 */
struct platform_lease *platform_store_acquire(struct platform_store *store,
					      const char *name,
					      const char *holder,
					      int64_t ttl_ms, int64_t now_us);

/** platform_store_renew() - false if expired or not held by @holder, @token. */
bool platform_store_renew(struct platform_store *store, const char *name,
			  const char *holder, uint64_t token, int64_t ttl_ms,
			  int64_t now_us);

/** platform_store_release() - false if not held by @holder with @token. */
bool platform_store_release(struct platform_store *store, const char *name,
			    const char *holder, uint64_t token);

#endif
