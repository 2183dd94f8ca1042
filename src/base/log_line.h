#ifndef BASE_LOG_LINE_H
#define BASE_LOG_LINE_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: log line
 *
 * One JSON object on one line, written into memory of fixed size. What has no
 * room any more is left out whole, so that the line stays valid JSON.
 */

/* Also the most that a pipe takes in one piece. */
enum { LOG_LINE_SIZE = 4096 };

/** struct log_line - a line in the making. */
struct log_line {
	char text[LOG_LINE_SIZE];
	size_t size;
};

void log_line_begin(struct log_line *line);

/** log_line_text() - add a member; bytes that are not UTF-8 are replaced. */
void log_line_text(struct log_line *line, const char *name, const char *text);

void log_line_number(struct log_line *line, const char *name, int64_t number);

/** log_line_end() - close the object and the line. */
void log_line_end(struct log_line *line);

#endif
