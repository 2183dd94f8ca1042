#include "operator/arguments.h"

#include <assert.h>
#include <ctype.h>
#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "operator/command.h"

enum { ERRORS_MAX = 8 };

const char *exit_status_text(enum exit_status status)
{
	switch (status) {
	case EXIT_STATUS_OK:
		return "done, and as it was asked for";
	case EXIT_STATUS_FAILED:
		return "failed, or not as it was asked for";
	case EXIT_STATUS_USAGE:
		return "wrong command line";
	case EXIT_STATUS_CONFLICT:
		return "somebody else changed it first; nothing was changed";
	case EXIT_STATUS_UNREACHABLE:
		return "the node or the platform cannot be reached";
	case EXIT_STATUS_INVALID:
		return "the input breaks its rules";
	case EXIT_STATUS_TIMEOUT:
		return "not reached in the time given";
	case EXIT_STATUS_UNKNOWN:
		return "may have taken effect; run it again with the same --id";
	}
	return "";
}

void arguments_init(struct arguments *arguments, const char *command,
		    const char *summary, enum arguments_kind kind)
{
	memset(arguments, 0, sizeof(*arguments));
	arguments->command = command;
	arguments->summary = summary;
	arguments->help = arg_lit0("h", "help", "print this help");
	arguments->json = arg_lit0(NULL, "json", "print JSON for machines");
	arguments->end = arg_end(ERRORS_MAX);
	arguments_add(arguments, arguments->help);
	arguments_add(arguments, arguments->json);
	if (kind == ARGUMENTS_LOCAL)
		return;
	arguments->node = arg_str0(
		"n", "node", "IP:PORT",
		"operator address of a node; else $GERANIUMPLANK_NODE, "
		"else 127.0.0.1:7103");
	arguments->token_file = arg_str0(
		NULL, "token-file", "FILE",
		"file with the operators' token; else $GERANIUMPLANK_TOKEN");
	arguments_add(arguments, arguments->node);
	arguments_add(arguments, arguments->token_file);
}

void arguments_finish(struct arguments *arguments)
{
	arg_freetable(arguments->table, arguments->count);
	if (arguments->end)
		free(arguments->end);
}

void arguments_add(struct arguments *arguments, void *option)
{
	assert(arguments->count < ARGUMENTS_MAX - 1);
	if (!option)
		abort();
	arguments->table[arguments->count++] = option;
}

static void print_help(struct arguments *arguments)
{
	enum exit_status status;

	printf("usage: geraniumplank %s", arguments->command);
	arg_print_syntaxv(stdout, arguments->table, "\n\n");
	printf("%s\n\n", arguments->summary);
	arg_print_glossary(stdout, arguments->table, "  %-26s %s\n");
	printf("\nexit status:\n");
	for (status = EXIT_STATUS_OK; status <= EXIT_STATUS_UNKNOWN; status++)
		printf("  %d  %s\n", status, exit_status_text(status));
}

bool arguments_parse(struct arguments *arguments, int argc, char **argv,
		     int *status)
{
	int errors;

	/* The end must be the last entry; the table owns it from here on. */
	arguments->table[arguments->count++] = arguments->end;
	arguments->end = NULL;
	errors = arg_parse(argc, argv, arguments->table);
	if (arguments->help->count) {
		print_help(arguments);
		*status = EXIT_STATUS_OK;
		return false;
	}
	if (!errors)
		return true;
	arg_print_errors(stderr, arguments->table[arguments->count - 1],
			 arguments->command);
	fprintf(stderr, "try: geraniumplank %s --help\n", arguments->command);
	*status = EXIT_STATUS_USAGE;
	return false;
}

bool arguments_number(const struct arguments *arguments,
		      const struct arg_str *option, uint64_t max,
		      uint64_t fallback, uint64_t *value)
{
	const char *text;
	char *end;

	*value = fallback;
	if (!option->count)
		return true;
	text = option->sval[0];
	errno = 0;
	*value = strtoull(text, &end, 10);
	if (isdigit((unsigned char)*text) && !*end && !errno && *value <= max)
		return true;
	arguments_usage(arguments, "--%s must be a whole number up to %llu",
			option->hdr.longopts, (unsigned long long)max);
	return false;
}

int arguments_usage(const struct arguments *arguments, const char *fmt, ...)
{
	va_list args;

	fprintf(stderr, "%s: ", arguments->command);
	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fprintf(stderr, "\ntry: geraniumplank %s --help\n", arguments->command);
	return EXIT_STATUS_USAGE;
}
