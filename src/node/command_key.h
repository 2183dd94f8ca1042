#ifndef NODE_COMMAND_KEY_H
#define NODE_COMMAND_KEY_H

#include <stdio.h>

/**
 * DOC: command key
 *
 * Makes the digest of a tenant's key, as profiles hold it. The key is read from
 * the standard input: arguments can be seen by other users of the machine and
 * stay in the history of the shell.
 */

/**
 * key_command_digest() - reads one key from @in and prints its digest to @out
 * @messages: receives the reason if the key is invalid; never the key
 *
 * The key is the first line without its end of line.
 *
 * Return: an enum exit_status.
 */
int key_command_digest(FILE *in, FILE *out, FILE *messages);

#endif
