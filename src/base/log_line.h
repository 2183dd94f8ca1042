#ifndef BASE_LOG_LINE_H
#define BASE_LOG_LINE_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: log line
 *
 * One JSON object on one line, in memory of fixed size. A member that does not
 * fit is omitted, or a long text replaced, so that the line stays valid JSON.
 */

/* At most PIPE_BUF, so that a pipe takes a line in one atomic write. */
enum { LOG_LINE_SIZE = 4096 };

/**
 * struct log_line - a line under construction
 * @text: the line, without a terminator
 * @size: number of bytes in @text
 */
struct log_line {
	char text[LOG_LINE_SIZE];
	size_t size;
};

void log_line_begin(struct log_line *line);

/**
 * log_line_add_text() - add a member with a string value
 * @text: value; NULL adds nothing. A text that is not UTF-8 or that is too long
 *	is replaced by a short note.
 */
void log_line_add_text(struct log_line *line, const char *name,
		       const char *text);

void log_line_add_number(struct log_line *line, const char *name,
			 int64_t number);

/** log_line_end() - close the object and end the line. */
void log_line_end(struct log_line *line);

#endif
