#ifndef NODE_COMMANDS_H
#define NODE_COMMANDS_H

/**
 * DOC: commands
 *
 * Runs the commands of the program by name. The commands that work locally
 * (node, check, explain, key, report, settings) are declared here; the commands
 * that connect to a node are declared in the component operator.
 */

/**
 * commands_run() - run the command in @argv[1]
 *
 * Return: an enum exit_status.
 */
int commands_run(int argc, char **argv);

/** command_node() - run a node until SIGTERM or SIGINT. */
int command_node(int argc, char **argv);

/** command_check() - check a settings file or a profile. */
int command_check(int argc, char **argv);

/** command_explain() - explain the result of one request from log lines. */
int command_explain(int argc, char **argv);

/** command_report() - summarize many requests from log lines. */
int command_report(int argc, char **argv);

/** command_key() - make the digest of a tenant's key. */
int command_key(int argc, char **argv);

/** command_settings() - print a reference of all settings. */
int command_settings(int argc, char **argv);

#endif
