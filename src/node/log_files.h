#ifndef NODE_LOG_FILES_H
#define NODE_LOG_FILES_H

#include <stdbool.h>

/**
 * DOC: log files
 *
 * Lines of log files named on the command line, for the commands that read
 * them.
 */

enum { LOG_FILES_MAX = 1000 };

/** typedef log_line_fn - one line, with its end. */
typedef void log_line_fn(const char *line, void *data);

/**
 * log_files_read() - hand over all lines, file by file
 * @command: for the message about a file that cannot be read
 * @count: of @paths; 0: standard input
 *
 * Return: false after a message on standard error.
 */
bool log_files_read(const char *command, const char *const *paths, int count,
		    log_line_fn *on_line, void *data);

#endif
