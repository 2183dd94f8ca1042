#ifndef FUNCTIONAL_GOLDEN_H
#define FUNCTIONAL_GOLDEN_H

#include <stdbool.h>
#include <stddef.h>

#include "base/buffer.h"

/**
 * DOC: golden
 *
 * Compares the transcript of a session with a file in test/functional/golden.
 * Values that vary between runs (ports, times, hashes) are replaced by
 * placeholders, and a difference is printed line by line. With the environment
 * variable GOLDEN_UPDATE the files are rewritten; review their diff before a
 * commit.
 */

/**
 * golden_normalise() - replace values that vary between runs by placeholders
 * @out: receives the text, terminated by a zero byte
 */
void golden_normalise(const char *text, struct buffer *out);

/**
 * golden_difference() - line-by-line difference of two texts
 * @out: receives the difference, terminated by a zero byte
 *
 * Lines with "-" are expected and missing, lines with "+" are unexpected.
 */
void golden_difference(const char *expected, const char *got,
		       struct buffer *out);

/**
 * golden_matches() - compare a transcript with the golden file @name
 * @difference: receives the difference, terminated by a zero byte; unchanged if
 *	there is none
 *
 * Return: true if the normalised transcript equals the file.
 */
bool golden_matches(const char *name, const char *transcript,
		    struct buffer *difference);

#endif
