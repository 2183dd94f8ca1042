#include "standin/platform_store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

void platform_store_finish(struct platform_store *store)
{
	struct platform_key *key = store->keys;
	struct platform_lease *lease = store->leases;

	/* Frees the tables; hh.next still links the entries. */
	HASH_CLEAR(hh, store->keys);
	HASH_CLEAR(hh, store->leases);
	while (key) {
		struct platform_key *next = key->hh.next;

		free(key->current.bytes);
		free(key->previous.bytes);
		free(key);
		key = next;
	}
	while (lease) {
		struct platform_lease *next = lease->hh.next;

		free(lease);
		lease = next;
	}
}

struct platform_key *platform_store_find(const struct platform_store *store,
					 const char *name)
{
	struct platform_key *key;

	HASH_FIND_STR(store->keys, name, key);
	return key;
}

static struct platform_key *add_key(struct platform_store *store,
				    const char *name)
{
	struct platform_key *key = calloc(1, sizeof(*key));

	if (!key)
		abort();
	snprintf(key->name, sizeof(key->name), "%s", name);
	HASH_ADD_STR(store->keys, name, key);
	return key;
}

bool platform_store_put(struct platform_store *store, const char *name,
			uint64_t expected, const void *bytes, size_t size,
			uint64_t *revision)
{
	struct platform_key *key = platform_store_find(store, name);

	*revision = key ? key->current.revision : 0;
	if (*revision != expected)
		return false;
	if (!key)
		key = add_key(store, name);
	free(key->previous.bytes);
	key->previous = key->current;
	key->current.bytes = malloc(size + 1);
	if (!key->current.bytes)
		abort();
	memcpy(key->current.bytes, bytes, size);
	key->current.size = size;
	key->current.revision = ++store->revision;
	*revision = key->current.revision;
	return true;
}

static struct platform_lease *find_lease(const struct platform_store *store,
					 const char *name)
{
	struct platform_lease *lease;

	HASH_FIND_STR(store->leases, name, lease);
	return lease;
}

static bool held_by(const struct platform_lease *lease, const char *holder,
		    uint64_t token)
{
	return lease && lease->token == token && !strcmp(lease->holder, holder);
}

struct platform_lease *platform_store_acquire(struct platform_store *store,
					      const char *name,
					      const char *holder,
					      int64_t ttl_ms, int64_t now_us)
{
	struct platform_lease *lease = find_lease(store, name);
	bool ours;

	if (!lease) {
		lease = calloc(1, sizeof(*lease));
		if (!lease)
			abort();
		snprintf(lease->name, sizeof(lease->name), "%s", name);
		HASH_ADD_STR(store->leases, name, lease);
	}
	ours = !strcmp(lease->holder, holder);
	if (lease->until_us > now_us && !ours)
		return lease;
	if (lease->until_us <= now_us || !ours)
		lease->token = ++store->token;
	snprintf(lease->holder, sizeof(lease->holder), "%s", holder);
	lease->until_us = now_us + ttl_ms * US_PER_MS;
	return lease;
}

bool platform_store_renew(struct platform_store *store, const char *name,
			  const char *holder, uint64_t token, int64_t ttl_ms,
			  int64_t now_us)
{
	struct platform_lease *lease = find_lease(store, name);

	if (!held_by(lease, holder, token) || lease->until_us <= now_us)
		return false;
	lease->until_us = now_us + ttl_ms * US_PER_MS;
	return true;
}

bool platform_store_release(struct platform_store *store, const char *name,
			    const char *holder, uint64_t token)
{
	struct platform_lease *lease = find_lease(store, name);

	if (!held_by(lease, holder, token))
		return false;
	lease->until_us = 0;
	return true;
}
