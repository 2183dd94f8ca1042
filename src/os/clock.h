#ifndef OS_CLOCK_H
#define OS_CLOCK_H

#include <stdint.h>

/**
 * DOC: clock
 *
 * Durations, deadlines and leases use the monotonic clock: the wall clock may
 * jump, and a lease measured with the wall clock could expire early or never.
 */

enum { US_PER_MS = 1000, MS_PER_S = 1000, US_PER_S = 1000000 };

/**
 * clock_monotonic_us() - returns microseconds since an arbitrary start
 *
 * The time while the machine is suspended counts.
 */
int64_t clock_monotonic_us(void);

/**
 * clock_wall_ms() - returns milliseconds since 1970 by the wall clock
 *
 * The wall clock may jump: for timestamps, not for durations.
 */
int64_t clock_wall_ms(void);

#endif
