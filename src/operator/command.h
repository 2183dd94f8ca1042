#ifndef OPERATOR_COMMAND_H
#define OPERATOR_COMMAND_H

/**
 * DOC: command
 *
 * The operators' commands that call a running node. Each command is a thin
 * client of the node's HTTP interface: it sends a request, prints a table or,
 * with --json, the node's answer, and exits with a status for scripts.
 */

/** enum exit_status - exit status of a command. */
enum exit_status {
	EXIT_STATUS_OK = 0,
	EXIT_STATUS_FAILED = 1,	     /* failed, or not in the requested state */
	EXIT_STATUS_USAGE = 2,	     /* invalid command line */
	EXIT_STATUS_CONFLICT = 3,    /* another author changed it first */
	EXIT_STATUS_UNREACHABLE = 4, /* node or platform unreachable */
	EXIT_STATUS_INVALID = 5,     /* invalid input */
	EXIT_STATUS_TIMEOUT = 6,     /* timed out */
	EXIT_STATUS_UNKNOWN = 7,     /* may have taken effect; repeat it */
};

/** exit_status_text() - one-line description of a status for help texts. */
const char *exit_status_text(enum exit_status status);

/*
 * Each command gets its name in argv[0] and its arguments after that, and
 * returns an enum exit_status.
 */
int command_status(int argc, char **argv);
int command_health(int argc, char **argv);
int command_dump(int argc, char **argv);
int command_counters(int argc, char **argv);
int command_tenants(int argc, char **argv);
int command_drill(int argc, char **argv);

/** command_profile() - runs the subcommand in argv[1]; see command_profile.h */
int command_profile(int argc, char **argv);

#endif
