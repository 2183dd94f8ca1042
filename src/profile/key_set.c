#include "profile/key_set.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

enum { CAPACITY_MIN = 64 };

/* A digest is evenly distributed, so any of its bytes serve as hash. */
static uint32_t position_of(const struct key_set *set,
			    const struct key_digest *digest)
{
	uint32_t hash;

	memcpy(&hash, digest->bytes, sizeof(hash));
	return hash & (set->capacity - 1);
}

/* Returns the entry of the digest, or the free entry where it belongs. */
static struct key_set_entry *find_entry(const struct key_set *set,
					const struct key_digest *digest)
{
	uint32_t at = position_of(set, digest);

	while (set->entries[at].owner &&
	       !key_digest_equal(&set->entries[at].digest, digest))
		at = (at + 1) & (set->capacity - 1);
	return &set->entries[at];
}

static void grow(struct key_set *set, uint32_t capacity)
{
	struct key_set larger = { .capacity = capacity, .count = set->count };
	uint32_t i;

	larger.entries = calloc(larger.capacity, sizeof(*larger.entries));
	if (!larger.entries)
		abort();
	for (i = 0; i < set->capacity; i++)
		if (set->entries[i].owner)
			*find_entry(&larger, &set->entries[i].digest) =
				set->entries[i];
	free(set->entries);
	*set = larger;
}

void key_set_reserve(struct key_set *set, uint32_t count)
{
	uint32_t capacity = set->capacity ? set->capacity : CAPACITY_MIN;

	while (capacity < 2 * count)
		capacity *= 2;
	if (capacity != set->capacity)
		grow(set, capacity);
}

uint32_t key_set_find(const struct key_set *set,
		      const struct key_digest *digest)
{
	return set->capacity ? find_entry(set, digest)->owner : 0;
}

uint32_t key_set_add(struct key_set *set, const struct key_digest *digest,
		     uint32_t owner)
{
	struct key_set_entry *entry;

	assert(owner);
	key_set_reserve(set, set->count + 1);
	entry = find_entry(set, digest);
	if (entry->owner)
		return entry->owner;
	entry->digest = *digest;
	entry->owner = owner;
	set->count++;
	return 0;
}

void key_set_finish(struct key_set *set)
{
	free(set->entries);
	memset(set, 0, sizeof(*set));
}
