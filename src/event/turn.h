#ifndef EVENT_TURN_H
#define EVENT_TURN_H

#include <stdint.h>

/**
 * DOC: turn
 *
 * Measures how long the turns of an event loop take and which callback of a
 * turn took longest. Nothing else is done during a callback, so a long one
 * delays every call of the process. All turns are counted in a histogram; a
 * long turn is logged with the name of its longest callback.
 */

/**
 * struct turn - measurements of the present turn
 * @started_us: monotonic time at which the wait for events ended
 * @callback_us: monotonic time at which the last callback ended, or @started_us
 * @callbacks: number of callbacks that ended in this turn
 * @longest_us: duration of the longest callback
 * @longest: name of the longest callback; NULL before the first one
 * @longest_work: work that the longest callback named, or NULL
 * @work: work that the running callback has named, or NULL
 */
struct turn {
	int64_t started_us;
	int64_t callback_us;
	uint32_t callbacks;
	int64_t longest_us;
	const char *longest;
	const char *longest_work;
	const char *work;
};

/** turn_begin() - a wait for events has ended. */
void turn_begin(struct turn *turn, int64_t now_us);

/**
 * turn_callback_ended() - a callback has returned
 * @name: name of the callback; a string literal
 */
void turn_callback_ended(struct turn *turn, const char *name, int64_t now_us);

/** turn_end() - counts the turn, and logs it if it was long. */
void turn_end(struct turn *turn, int64_t now_us);

#endif
