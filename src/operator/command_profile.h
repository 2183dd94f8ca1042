#ifndef OPERATOR_COMMAND_PROFILE_H
#define OPERATOR_COMMAND_PROFILE_H

/**
 * DOC: profile commands
 *
 * Each subcommand of "profile" gets its name in argv[0] and returns an enum
 * exit_status. command_read.c holds the subcommands that only read,
 * command_draft.c those that store or delete a draft, and command_accept.c
 * those that create a version.
 */

int profile_list(int argc, char **argv);
int profile_show(int argc, char **argv);
int profile_diff(int argc, char **argv);
int profile_history(int argc, char **argv);

int profile_put(int argc, char **argv);
int profile_remove(int argc, char **argv);
int profile_discard(int argc, char **argv);

int profile_accept(int argc, char **argv);
int profile_revert(int argc, char **argv);

#endif
