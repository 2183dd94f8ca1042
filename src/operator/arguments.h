#ifndef OPERATOR_ARGUMENTS_H
#define OPERATOR_ARGUMENTS_H

#include <argtable2.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: arguments
 *
 * The command line of one command: the options that all commands share, the
 * options of the command, and the help text generated from both.
 */

enum { ARGUMENTS_MAX = 16 };

/** enum arguments_kind - which shared options a command accepts. */
enum arguments_kind {
	ARGUMENTS_LOCAL,  /* works on local files: --help and --json */
	ARGUMENTS_REMOTE, /* calls a node: also --node and --token-file */
};

/**
 * struct arguments - one command line
 * @command: name of the command as typed, such as "profile put"; not owned
 * @summary: description of the command for its help; not owned
 * @table: the options; owned
 * @count: number of entries in @table
 * @help: the option --help
 * @json: the option --json
 * @node: the option --node; NULL for ARGUMENTS_LOCAL
 * @token_file: the option --token-file; NULL for ARGUMENTS_LOCAL
 * @end: parse errors; NULL once arguments_parse() has moved it to @table
 */
struct arguments {
	const char *command;
	const char *summary;
	void *table[ARGUMENTS_MAX];
	size_t count;
	struct arg_lit *help;
	struct arg_lit *json;
	struct arg_str *node;
	struct arg_str *token_file;
	struct arg_end *end;
};

void arguments_init(struct arguments *arguments, const char *command,
		    const char *summary, enum arguments_kind kind);

/** arguments_finish() - frees all options, including the added ones. */
void arguments_finish(struct arguments *arguments);

/** arguments_add() - adds an option and takes ownership of it. */
void arguments_add(struct arguments *arguments, void *option);

/**
 * arguments_parse() - parses the command line; prints the help or the errors
 * @status: set to the exit status if the function returns false
 *
 * Return: true if the command must run; false if it must exit with @status.
 */
bool arguments_parse(struct arguments *arguments, int argc, char **argv,
		     int *status);

/**
 * arguments_number() - reads the value of an option as a whole number
 * @max: highest number that is accepted
 * @fallback: value if the option was not given
 * @value: set to the number
 *
 * Return: false, with a message printed, if the value is not a whole number
 * of at most @max.
 */
bool arguments_number(const struct arguments *arguments,
		      const struct arg_str *option, uint64_t max,
		      uint64_t fallback, uint64_t *value);

/**
 * arguments_usage() - prints a message about a wrong command line
 *
 * Return: EXIT_STATUS_USAGE.
 */
int arguments_usage(const struct arguments *arguments, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

#endif
