#ifndef HTTP_TARGET_H
#define HTTP_TARGET_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: target
 *
 * Percent-decoded parts of a request target: the path and the arguments of the
 * query.
 */

/** http_target_path() - returns the decoded path; the caller frees it. */
char *http_target_path(const char *target);

/**
 * http_target_argument() - returns the decoded value of a query argument
 *
 * Return: a string that the caller frees; NULL if the argument is missing.
 */
char *http_target_argument(const char *target, const char *name);

#endif
