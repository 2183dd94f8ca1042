#ifndef NODE_LOG_FILES_H
#define NODE_LOG_FILES_H

#include <stdbool.h>

/**
 * DOC: log files
 *
 * Reads log files line by line, for the commands that take log files as
 * arguments.
 */

enum { LOG_FILES_MAX = 1000 };

/** typedef log_line_fn - receives one line, including its newline. */
typedef void log_line_fn(const char *line, void *data);

/**
 * log_files_read() - call a function for each line, file by file
 * @command: name of the command, for the message about an unreadable file
 * @paths: paths of the files
 * @count: number of @paths; 0: read standard input
 * @on_line: called with each line
 * @data: passed to @on_line
 *
 * Return: false if a file cannot be opened, after printing a message to
 * standard error.
 */
bool log_files_read(const char *command, const char *const *paths, int count,
		    log_line_fn *on_line, void *data);

#endif
