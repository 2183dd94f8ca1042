#ifndef FUZZ_MUTATE_H
#define FUZZ_MUTATE_H

#include "base/buffer.h"
#include "base/random.h"

/**
 * DOC: mutate
 *
 * Deterministic mutations of an input: the same seed gives the same mutations.
 */

/** mutate() - applies a few random mutations to @input. */
void mutate(struct buffer *input, struct random *random);

#endif
