#ifndef QUARANTINE_COMPLETIONS_H
#define QUARANTINE_COMPLETIONS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: completions
 *
 * Requests that the upstream beside a node completed recently. A popular
 * harmless request is found here when it runs beside a crash. Bounded: a slot
 * holds the last of the hashes that fall into it.
 */

enum { COMPLETIONS_SLOTS = 2048 };

/** struct completions - slots by hash; all zero is empty */
struct completions {
	struct {
		uint64_t hash;
		int64_t at_us;
	} slots[COMPLETIONS_SLOTS];
};

void completions_add(struct completions *completions, uint64_t hash,
		     int64_t now_us);

/** completions_has() - returns true if the request completed recently. */
bool completions_has(const struct completions *completions, uint64_t hash,
		     int64_t now_us);

#endif
