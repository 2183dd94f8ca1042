#ifndef BASE_RANDOM_H
#define BASE_RANDOM_H

#include <stdint.h>
#include <stdlib.h>

/**
 * DOC: random
 *
 * Seeded pseudo-random numbers for decisions such as jitter or the choice among
 * equal candidates. The same seed and events give the same decisions, so that a
 * failing randomized test can be repeated. Not for cryptography.
 */

struct random {
	unsigned short state[3];
};

/**
 * random_init() - start the sequence that @seed determines
 *
 * The seed is mixed with splitmix64. Without it, the first numbers for adjacent
 * seeds hardly differ, and nodes that are seeded with a counter or the time
 * would all make the same first decisions.
 */
static inline void random_init(struct random *random, uint64_t seed)
{
	seed += 0x9e3779b97f4a7c15;
	seed = (seed ^ (seed >> 30)) * 0xbf58476d1ce4e5b9;
	seed = (seed ^ (seed >> 27)) * 0x94d049bb133111eb;
	seed ^= seed >> 31;
	random->state[0] = (unsigned short)seed;
	random->state[1] = (unsigned short)(seed >> 16);
	random->state[2] = (unsigned short)(seed >> 32);
}

/** random_share() - uniformly distributed in [0, 1). */
static inline double random_share(struct random *random)
{
	return erand48(random->state);
}

/** random_below() - uniformly distributed in [0, @bound); 0 if @bound is 0. */
static inline uint32_t random_below(struct random *random, uint32_t bound)
{
	return (uint32_t)(random_share(random) * bound);
}

/** random_jitter() - uniform in [0, @max], for backoff with full jitter. */
static inline int64_t random_jitter(struct random *random, int64_t max)
{
	return (int64_t)(random_share(random) * (double)(max + 1));
}

#endif
