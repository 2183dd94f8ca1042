#include "http/carried.h"

#include <string.h>
#include <xxhash.h>

/* A request whose ID has the same hash only costs another connection. */
struct carried_entry {
	uint64_t hash;
	int64_t until_us;
};

static uint64_t hash_of(const char *id)
{
	return XXH3_64bits(id, strlen(id));
}

static const struct carried_entry *entries_of(const struct carried *carried,
					      size_t *count)
{
	*count = buffer_size(&carried->entries) / sizeof(struct carried_entry);
	return (const void *)buffer_data(&carried->entries);
}

void carried_init(struct carried *carried)
{
	memset(carried, 0, sizeof(*carried));
}

void carried_finish(struct carried *carried)
{
	buffer_finish(&carried->entries);
}

void carried_add(struct carried *carried, const char *id, int64_t until_us)
{
	const struct carried_entry entry = { hash_of(id), until_us };

	buffer_append(&carried->entries, &entry, sizeof(entry));
}

bool carried_has(const struct carried *carried, const char *id, int64_t now_us)
{
	size_t count;
	const struct carried_entry *entries = entries_of(carried, &count);
	uint64_t hash = hash_of(id);
	size_t i;

	for (i = 0; i < count; i++)
		if (entries[i].hash == hash &&
		    (entries[i].until_us > now_us || i + CARRIED_LAST >= count))
			return true;
	return false;
}

bool carried_is_full(struct carried *carried, int64_t now_us)
{
	size_t count;
	const struct carried_entry *entries = entries_of(carried, &count);
	size_t ended = 0;

	while (ended + CARRIED_LAST < count &&
	       entries[ended].until_us <= now_us)
		ended++;
	buffer_consume(&carried->entries, ended * sizeof(*entries));
	return count - ended >= CARRIED_MAX;
}
