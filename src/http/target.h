#ifndef HTTP_TARGET_H
#define HTTP_TARGET_H

#include <stdbool.h>
#include <stddef.h>

/**
 * DOC: target
 *
 * Parts of a request's target: the path and the arguments of the query,
 * percent-decoded.
 */

/** http_target_path() - the path of @target, decoded; to be freed. */
char *http_target_path(const char *target);

/** http_target_argument() - value of an argument, to be freed, or NULL. */
char *http_target_argument(const char *target, const char *name);

#endif
