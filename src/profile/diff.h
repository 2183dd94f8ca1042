#ifndef PROFILE_DIFF_H
#define PROFILE_DIFF_H

#include <stddef.h>

/**
 * DOC: diff
 *
 * Compares two texts line by line. The result resembles a unified diff, without
 * file names and without line counts in the hunk headers.
 */

/**
 * diff_text() - compares two texts by lines
 *
 * Return: the differences with lines of context, or "" if all lines are equal.
 * A missing line feed at the end is no difference. The caller frees the text.
 */
char *diff_text(const char *before, size_t before_size, const char *after,
		size_t after_size);

#endif
