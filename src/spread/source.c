#include "spread/spread_defs.h"

/*
 * A short list of nodes that are known to have a higher version. After a failed
 * pull the source is not asked for a while, and another source is asked.
 */

struct spread_source *source_choose(struct spread *spread)
{
	struct spread_source *best = NULL;
	uint32_t i;

	for (i = 0; i < SPREAD_SOURCES_MAX; i++) {
		struct spread_source *source = &spread->sources[i];

		if (source->version <= spread_version(spread) ||
		    source->not_before_us > spread->now_us)
			continue;
		if (!best || source->version > best->version)
			best = source;
	}
	return best;
}

struct spread_source *source_find(struct spread *spread,
				  const struct address *address)
{
	uint32_t i;

	for (i = 0; i < SPREAD_SOURCES_MAX; i++)
		if (spread->sources[i].version &&
		    address_equal(&spread->sources[i].address, address))
			return &spread->sources[i];
	return NULL;
}

/* A new source replaces the source with the lowest version. */
void source_add(struct spread *spread, const struct address *address,
		uint64_t version)
{
	struct spread_source *source = source_find(spread, address);
	struct spread_source *lowest = &spread->sources[0];
	uint32_t i;

	if (source) {
		if (version > source->version)
			source->version = version;
		return;
	}
	for (i = 1; i < SPREAD_SOURCES_MAX; i++)
		if (spread->sources[i].version < lowest->version)
			lowest = &spread->sources[i];
	if (lowest->version > version)
		return;
	*lowest = (struct spread_source){ .address = *address,
					  .version = version };
}
