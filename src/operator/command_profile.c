#include <stdio.h>
#include <string.h>

#include "operator/arguments.h"
#include "operator/command.h"
#include "operator/command_profile.h"

enum profile_command {
	PROFILE_LIST,
	PROFILE_SHOW,
	PROFILE_PUT,
	PROFILE_REMOVE,
	PROFILE_DISCARD,
	PROFILE_DIFF,
	PROFILE_ACCEPT,
	PROFILE_HISTORY,
	PROFILE_REVERT,
	PROFILE_COUNT,
};

static const struct {
	const char *name;
	const char *summary;
} commands[PROFILE_COUNT] = {
	[PROFILE_LIST] = { "list", "profiles in force and drafts" },
	[PROFILE_SHOW] = { "show", "the text of a profile or of a draft" },
	[PROFILE_PUT] = { "put", "store a draft from a file" },
	[PROFILE_REMOVE] = { "remove",
			     "store a draft that takes the profile away" },
	[PROFILE_DISCARD] = { "discard", "drop a draft" },
	[PROFILE_DIFF] = { "diff", "a draft against what is in force" },
	[PROFILE_ACCEPT] = { "accept", "make drafts the next version" },
	[PROFILE_HISTORY] = { "history", "versions, newest first" },
	[PROFILE_REVERT] = { "revert",
			     "accept the text that a version had, as a new "
			     "version" },
};

static void print_usage(FILE *out)
{
	size_t i;

	fputs("usage: geraniumplank profile COMMAND [ARGUMENTS]\n"
	      "       geraniumplank profile COMMAND --help\n\n"
	      "A change goes: put a draft, look at its diff, accept it, and\n"
	      "wait with \"status --wait VERSION\" until it is in force.\n\n",
	      out);
	for (i = 0; i < PROFILE_COUNT; i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
}

static int run(enum profile_command command, int argc, char **argv)
{
	switch (command) {
	case PROFILE_LIST:
		return profile_list(argc, argv);
	case PROFILE_SHOW:
		return profile_show(argc, argv);
	case PROFILE_PUT:
		return profile_put(argc, argv);
	case PROFILE_REMOVE:
		return profile_remove(argc, argv);
	case PROFILE_DISCARD:
		return profile_discard(argc, argv);
	case PROFILE_DIFF:
		return profile_diff(argc, argv);
	case PROFILE_ACCEPT:
		return profile_accept(argc, argv);
	case PROFILE_HISTORY:
		return profile_history(argc, argv);
	case PROFILE_REVERT:
		return profile_revert(argc, argv);
	case PROFILE_COUNT:
		break;
	}
	return EXIT_STATUS_USAGE;
}

int command_profile(int argc, char **argv)
{
	size_t i;

	if (argc < 2) {
		print_usage(stderr);
		return EXIT_STATUS_USAGE;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_usage(stdout);
		return EXIT_STATUS_OK;
	}
	for (i = 0; i < PROFILE_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return run((enum profile_command)i, argc - 1, argv + 1);
	fprintf(stderr, "profile: unknown command \"%s\"\n\n", argv[1]);
	print_usage(stderr);
	return EXIT_STATUS_USAGE;
}
