#ifndef NODE_COMMANDS_H
#define NODE_COMMANDS_H

/**
 * DOC: commands
 *
 * All commands of the program by name. Those that work on this machine (node,
 * check, settings) stand here; those that ask a node stand in the operator
 * slice.
 */

/**
 * commands_run() - run the command that the command line names
 *
 * Return: an enum exit_status.
 */
int commands_run(int argc, char **argv);

/** command_node() - be a node until told to stop. */
int command_node(int argc, char **argv);

/** command_check() - check a file of settings or a profile. */
int command_check(int argc, char **argv);

/** command_explain() - the story of one request, from log lines. */
int command_explain(int argc, char **argv);

/** command_report() - the account of many requests, from log lines. */
int command_report(int argc, char **argv);

/** command_settings() - print the reference of all settings. */
int command_settings(int argc, char **argv);

#endif
