#ifndef OPERATOR_EXCHANGE_H
#define OPERATOR_EXCHANGE_H

#include <jansson.h>
#include <stdbool.h>

#include "operator/arguments.h"
#include "operator/remote.h"

/**
 * DOC: exchange
 *
 * Shared code of the commands that send one request to a node: the option
 * for the author, the path, the request itself, and access to the answer.
 */

enum { EXCHANGE_PATH_SIZE = 768 };

/** typedef exchange_print_fn - prints an answer in readable form. */
typedef void exchange_print_fn(const json_t *json);

/** exchange_author_option() - creates the option --author. */
struct arg_str *exchange_author_option(void);

/**
 * exchange_author() - the author of a change
 *
 * Return: the value of --author or, without that option, of
 * $GERANIUMPLANK_AUTHOR, then of $USER, then "operator"; not owned.
 */
const char *exchange_author(const struct arg_str *option);

/**
 * exchange_path() - builds "/v1/profiles/NAME", @suffix and "?author=AUTHOR"
 * @name: name of the profile, percent-encoded here
 * @suffix: end of the path, such as "/draft"; may be empty
 * @author: author for the query; NULL for a path without a query
 *
 * Return: false, with a message printed, if @name is empty or the path is too
 * long.
 */
bool exchange_path(const struct arguments *arguments,
		   char path[EXCHANGE_PATH_SIZE], const char *name,
		   const char *suffix, const char *author);

/**
 * exchange_run() - sends a request and prints the answer or the failure
 * @print: prints the answer unless --json was given
 *
 * Return: the exit status.
 */
int exchange_run(const struct arguments *arguments,
		 const struct remote_request *request,
		 exchange_print_fn *print);

/** exchange_text() - string member of an answer; "" if there is none. */
const char *exchange_text(const json_t *json, const char *name);

/** exchange_number() - integer member of an answer; 0 if there is none. */
long long exchange_number(const json_t *json, const char *name);

/** exchange_date() - formats a wall-clock time in UTC; returns @text. */
char *exchange_date(long long wall_ms, char text[32]);

#endif
