#include "base/log_line.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

enum {
	END_SIZE = 2,	  /* "}\n" */
	ESCAPED_SIZE = 6, /* "\u001f" */
	NUMBER_SIZE = 20, /* length of INT64_MIN */
};

void log_line_begin(struct log_line *line)
{
	line->text[0] = '{';
	line->size = 1;
}

static bool fits(const struct log_line *line, size_t size)
{
	return line->size + size + END_SIZE <= sizeof(line->text);
}

/* Returns the size of the UTF-8 character at @at, or 0 if it is not valid. */
static size_t character_size(const unsigned char *at)
{
	size_t size = *at < 0x80   ? 1
		      : *at < 0xc2 ? 0
		      : *at < 0xe0 ? 2
		      : *at < 0xf0 ? 3
		      : *at < 0xf5 ? 4
				   : 0;
	size_t i;

	for (i = 1; i < size; i++)
		if ((at[i] & 0xc0) != 0x80)
			return 0;
	return size;
}

/* Text from outside may be invalid UTF-8, which JSON does not allow. */
static bool is_utf8(const char *text)
{
	const unsigned char *at = (const unsigned char *)text;

	while (*at) {
		size_t size = character_size(at);

		if (!size)
			return false;
		at += size;
	}
	return true;
}

static void put(struct log_line *line, const char *bytes, size_t size)
{
	memcpy(line->text + line->size, bytes, size);
	line->size += size;
}

static bool needs_no_escape(char c)
{
	return c != '"' && c != '\\' && (unsigned char)c >= ' ';
}

static void put_escaped(struct log_line *line, char c)
{
	char escaped[ESCAPED_SIZE + 1];

	if (c == '"' || c == '\\') {
		put(line, "\\", 1);
		put(line, &c, 1);
		return;
	}
	snprintf(escaped, sizeof(escaped), "\\u%04x", (unsigned int)c);
	put(line, escaped, ESCAPED_SIZE);
}

/* Copies each run of characters that need no escape at once. */
static void put_text(struct log_line *line, const char *text, size_t size)
{
	const char *end = text + size;

	while (text < end) {
		const char *run = text;

		while (text < end && needs_no_escape(*text))
			text++;
		put(line, run, (size_t)(text - run));
		if (text < end)
			put_escaped(line, *text++);
	}
}

/* Formats a number faster than snprintf(). Returns the first character, which
 * is within @text; the number ends at the end of @text. */
static const char *format_number(int64_t number, char text[NUMBER_SIZE],
				 size_t *size)
{
	uint64_t rest = number < 0 ? 0 - (uint64_t)number : (uint64_t)number;
	char *at = text + NUMBER_SIZE;

	do {
		*--at = (char)('0' + rest % 10);
		rest /= 10;
	} while (rest);
	if (number < 0)
		*--at = '-';
	*size = (size_t)(text + NUMBER_SIZE - at);
	return at;
}

static void put_name(struct log_line *line, const char *name)
{
	if (line->size > 1)
		put(line, ",", 1);
	put(line, "\"", 1);
	put(line, name, strlen(name));
	put(line, "\":", 2);
}

void log_line_add_text(struct log_line *line, const char *name,
		       const char *text)
{
	size_t size;

	if (!text)
		return;
	if (!is_utf8(text))
		text = "(not UTF-8)";
	size = strlen(text);
	if (!fits(line, strlen(name) + 6 + size * ESCAPED_SIZE)) {
		if (!fits(line, strlen(name) + 16))
			return;
		text = "(cut)";
		size = strlen(text);
	}
	put_name(line, name);
	put(line, "\"", 1);
	put_text(line, text, size);
	put(line, "\"", 1);
}

void log_line_add_number(struct log_line *line, const char *name,
			 int64_t number)
{
	char digits[NUMBER_SIZE];
	size_t size;
	const char *text = format_number(number, digits, &size);

	if (!fits(line, strlen(name) + 4 + size))
		return;
	put_name(line, name);
	put(line, text, size);
}

void log_line_end(struct log_line *line)
{
	put(line, "}\n", END_SIZE);
}
