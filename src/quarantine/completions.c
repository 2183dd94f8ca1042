#include "quarantine/completions.h"

/* Short, so that a request that has become harmful is not taken for harmless
 * because of what it did before. */
enum { RECENT_US = 3 * 1000 * 1000 };

void completions_add(struct completions *completions, uint64_t hash,
		     int64_t now_us)
{
	uint64_t slot = hash % COMPLETIONS_SLOTS;

	completions->slots[slot].hash = hash;
	completions->slots[slot].at_us = now_us;
}

bool completions_has(const struct completions *completions, uint64_t hash,
		     int64_t now_us)
{
	uint64_t slot = hash % COMPLETIONS_SLOTS;

	return completions->slots[slot].hash == hash &&
	       now_us - completions->slots[slot].at_us < RECENT_US;
}
