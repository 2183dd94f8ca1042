#include "node/commands.h"

#include <stdio.h>
#include <string.h>

#include "operator/command.h"

enum command {
	COMMAND_NODE,
	COMMAND_PROFILE,
	COMMAND_STATUS,
	COMMAND_HEALTH,
	COMMAND_DUMP,
	COMMAND_COUNTERS,
	COMMAND_TENANTS,
	COMMAND_DRILL,
	COMMAND_CHECK,
	COMMAND_SETTINGS,
	COMMAND_EXPLAIN,
	COMMAND_REPORT,
	COMMAND_KEY,
	COMMAND_COUNT,
};

static const struct {
	const char *name;
	const char *summary;
} commands[COMMAND_COUNT] = {
	[COMMAND_NODE] = { "node", "be the node beside an upstream" },
	[COMMAND_PROFILE] = { "profile",
			      "list, show, edit, accept and compare profiles" },
	[COMMAND_STATUS] = { "status",
			     "which version is in force where; wait for one" },
	[COMMAND_HEALTH] = { "health", "what is wrong and what to do" },
	[COMMAND_DUMP] = { "dump", "the whole state of a node as JSON" },
	[COMMAND_COUNTERS] = { "counters", "counters and latencies of a node" },
	[COMMAND_TENANTS] = { "tenants", "limits and use of tenants" },
	[COMMAND_DRILL] = { "drill", "rehearse a partition" },
	[COMMAND_CHECK] = { "check", "check a file of settings or a profile" },
	[COMMAND_SETTINGS] = { "settings", "print all settings of a node" },
	[COMMAND_EXPLAIN] = { "explain",
			      "tell the story of one request from logs" },
	[COMMAND_REPORT] = { "report",
			     "account for late, refused and failed requests "
			     "from logs" },
	[COMMAND_KEY] = { "key", "make the digest of a tenant's key" },
};

static void print_usage(FILE *out)
{
	enum exit_status status;
	size_t i;

	fputs("usage: geraniumplank COMMAND [ARGUMENTS]\n"
	      "       geraniumplank COMMAND --help\n"
	      "       geraniumplank --version\n\n",
	      out);
	for (i = 0; i < COMMAND_COUNT; i++)
		fprintf(out, "  %-10s %s\n", commands[i].name,
			commands[i].summary);
	fputs("\nexit status:\n", out);
	for (status = EXIT_STATUS_OK; status <= EXIT_STATUS_UNKNOWN; status++)
		fprintf(out, "  %d  %s\n", status, exit_status_text(status));
}

static int run(enum command command, int argc, char **argv)
{
	switch (command) {
	case COMMAND_NODE:
		return command_node(argc, argv);
	case COMMAND_PROFILE:
		return command_profile(argc, argv);
	case COMMAND_STATUS:
		return command_status(argc, argv);
	case COMMAND_HEALTH:
		return command_health(argc, argv);
	case COMMAND_DUMP:
		return command_dump(argc, argv);
	case COMMAND_COUNTERS:
		return command_counters(argc, argv);
	case COMMAND_TENANTS:
		return command_tenants(argc, argv);
	case COMMAND_DRILL:
		return command_drill(argc, argv);
	case COMMAND_CHECK:
		return command_check(argc, argv);
	case COMMAND_SETTINGS:
		return command_settings(argc, argv);
	case COMMAND_EXPLAIN:
		return command_explain(argc, argv);
	case COMMAND_REPORT:
		return command_report(argc, argv);
	case COMMAND_KEY:
		return command_key(argc, argv);
	case COMMAND_COUNT:
		break;
	}
	return EXIT_STATUS_USAGE;
}

int commands_run(int argc, char **argv)
{
	size_t i;

	if (argc < 2) {
		print_usage(stderr);
		return EXIT_STATUS_USAGE;
	}
	if (!strcmp(argv[1], "--version")) {
		puts("geraniumplank " GERANIUMPLANK_VERSION);
		return EXIT_STATUS_OK;
	}
	if (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h")) {
		print_usage(stdout);
		return EXIT_STATUS_OK;
	}
	for (i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(argv[1], commands[i].name))
			return run((enum command)i, argc - 1, argv + 1);
	fprintf(stderr, "geraniumplank: unknown command \"%s\"\n\n", argv[1]);
	print_usage(stderr);
	return EXIT_STATUS_USAGE;
}
