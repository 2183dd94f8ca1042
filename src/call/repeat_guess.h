#ifndef CALL_REPEAT_GUESS_H
#define CALL_REPEAT_GUESS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: repeat guess
 *
 * Guesses whether a caller sends a request for the first time. A caller that
 * repeats a request has less time left than it gives its first requests, so a
 * deadline shorter than the longest of the same kind may belong to a repeat.
 * The guess errs to the side of a repeat: a caller may as well use short
 * deadlines. Does no I/O and reads no clock.
 */

enum { REPEAT_GUESS_KINDS = 64 };

/**
 * struct repeat_guess - longest deadlines by kind
 * @kind_hash: hash of the kind of an entry; 0: unused
 * @longest_us: longest time until the deadline, which falls slowly while
 *	shorter ones come
 *
 * Kinds beyond the size of the table share entries.
 */
struct repeat_guess {
	struct {
		uint64_t kind_hash;
		double longest_us;
	} entries[REPEAT_GUESS_KINDS];
};

/**
 * repeat_guess_add() - takes in a request
 * @kind: name of its kind
 * @given_us: time from its arrival until its deadline, in microseconds
 *
 * Return: true if the request may be a repeat.
 */
bool repeat_guess_add(struct repeat_guess *guess, const char *kind,
		      int64_t given_us);

#endif
