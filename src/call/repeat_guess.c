#include "call/repeat_guess.h"

#include <string.h>

#include <xxhash.h>

/* Weight of one shorter deadline in the fall of the longest. */
#define FALL_WEIGHT (1.0 / 1024)
/* Least part of its time that a caller has lost when it repeats a request.
 * First requests of one kind differ by less. */
#define LOST_SHARE_MIN 0.1

bool repeat_guess_add(struct repeat_guess *guess, const char *kind,
		      int64_t given_us)
{
	uint64_t hash = XXH64(kind, strlen(kind), 0) | 1;
	uint32_t at = (uint32_t)(hash >> 32) % REPEAT_GUESS_KINDS;
	double *longest_us = &guess->entries[at].longest_us;

	if (guess->entries[at].kind_hash != hash ||
	    (double)given_us >= *longest_us) {
		guess->entries[at].kind_hash = hash;
		*longest_us = (double)given_us;
		return false;
	}
	*longest_us -= (*longest_us - (double)given_us) * FALL_WEIGHT;
	return (double)given_us < *longest_us * (1 - LOST_SHARE_MIN);
}
