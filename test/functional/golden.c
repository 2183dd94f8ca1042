#include "golden.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	LINES_MAX = 2000,
	FILE_MAX_BYTES = 256 * 1024,
	HEX_MIN = 12,
	DIGITS_MIN = 11,
	DIGITS_MAX = 20,
};

static void append(struct buffer *out, const char *text)
{
	buffer_append(out, text, strlen(text));
}

static size_t span_length(const char *text, int (*is)(int))
{
	size_t length = 0;

	while (is((unsigned char)text[length]))
		length++;
	return length;
}

/* Returns true if @text begins with @pattern, where 9 matches any digit. */
static bool matches_pattern(const char *text, const char *pattern)
{
	for (; *pattern; pattern++, text++) {
		if (*pattern == '9' ? !isdigit((unsigned char)*text)
				    : *pattern != *text)
			return false;
	}
	return true;
}

static size_t time_length(const char *text)
{
	static const char *const patterns[] = {
		"9999-99-99T99:99:99.999Z",
		"9999-99-99 99:99:99Z",
	};
	size_t i;

	for (i = 0; i < sizeof(patterns) / sizeof(patterns[0]); i++)
		if (matches_pattern(text, patterns[i]))
			return strlen(patterns[i]);
	return 0;
}

static size_t port_prefix_length(const char *text)
{
	size_t length = 0;

	if (strncmp(text, "127.", 4) != 0)
		return 0;
	while (isdigit((unsigned char)text[length]) || text[length] == '.')
		length++;
	if (text[length] != ':' || !isdigit((unsigned char)text[length + 1]))
		return 0;
	return length + 1;
}

/* Length of the reason why a call failed while the platform is down: its last
 * attempt was refused or, on a busy machine, the deadline passed first. */
static size_t reason_length(const char *text)
{
	static const char *const reasons[] = {
		"the service refuses calls",
		"the deadline has passed",
	};
	size_t i;

	for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++)
		if (!strncmp(text, reasons[i], strlen(reasons[i])))
			return strlen(reasons[i]);
	return 0;
}

/* Length of the number in a text like "90000 ms ago", otherwise 0. */
static size_t age_length(const char *text)
{
	size_t digits = span_length(text, isdigit);

	if (!digits || strncmp(text + digits, " ms ago", 7) != 0)
		return 0;
	return digits;
}

/* Appends the placeholder for a value that varies between runs and returns the
 * length of the value; returns 0 if @text does not begin with such a value. */
static size_t normalise_value(const char *text, struct buffer *out)
{
	size_t length = time_length(text);
	size_t hex = span_length(text, isxdigit);
	size_t digits = span_length(text, isdigit);

	if (length) {
		append(out, "TIME");
		return length;
	}
	length = age_length(text);
	if (length) {
		append(out, "N");
		return length;
	}
	length = reason_length(text);
	if (length) {
		append(out, "REASON");
		return length;
	}
	length = port_prefix_length(text);
	if (length) {
		buffer_append(out, text, length);
		append(out, "PORT");
		return length + span_length(text + length, isdigit);
	}
	if (digits >= DIGITS_MIN && digits <= DIGITS_MAX && hex == digits) {
		append(out, "NUMBER");
		return digits;
	}
	if (hex < HEX_MIN)
		return 0;
	append(out, "HASH");
	return hex;
}

/* Length of a log line about a long turn of the loop, otherwise 0. A busy
 * machine makes any program log it, also one that has nothing else to say. */
static size_t long_turn_length(const char *line)
{
	static const char event[] = "\"event\":\"long_turn\"";
	size_t length = strcspn(line, "\n");
	const char *at = strstr(line, event);

	if (strncmp(line, "{\"time\":", 8) != 0 || !at || at > line + length)
		return 0;
	return length + (line[length] == '\n');
}

void golden_normalise(const char *text, struct buffer *out)
{
	bool inside_word = false;
	bool line_begins = true;

	while (*text) {
		size_t length = line_begins ? long_turn_length(text) : 0;

		if (length) {
			text += length;
			continue;
		}
		line_begins = *text == '\n';
		length = inside_word ? 0 : normalise_value(text, out);
		if (!length) {
			buffer_append(out, text, 1);
			length = 1;
		}
		inside_word = isalnum((unsigned char)text[length - 1]);
		text += length;
	}
	buffer_append(out, "", 1);
}

struct lines {
	const char *start[LINES_MAX];
	size_t length[LINES_MAX];
	size_t count;
};

static void split_lines(const char *text, struct lines *lines)
{
	lines->count = 0;
	while (*text && lines->count < LINES_MAX) {
		size_t length = strcspn(text, "\n");

		lines->start[lines->count] = text;
		lines->length[lines->count++] = length;
		text += length + (text[length] == '\n');
	}
}

static bool lines_equal(const struct lines *a, size_t i, const struct lines *b,
			size_t j)
{
	return a->length[i] == b->length[j] &&
	       !memcmp(a->start[i], b->start[j], a->length[i]);
}

static void append_line(struct buffer *out, char mark,
			const struct lines *lines, size_t i)
{
	buffer_append(out, &mark, 1);
	append(out, " ");
	buffer_append(out, lines->start[i], lines->length[i]);
	append(out, "\n");
}

/* Returns the lengths of the longest common subsequences of the lines from
 * (i, j) to the ends; the caller frees the table. */
static uint16_t *common_subsequence_lengths(const struct lines *a,
					    const struct lines *b)
{
	size_t width = b->count + 1;
	uint16_t *table = calloc((a->count + 1) * width, sizeof(*table));
	size_t i;
	size_t j;

	if (!table)
		abort();
	for (i = a->count; i-- > 0;) {
		for (j = b->count; j-- > 0;) {
			uint16_t down = table[(i + 1) * width + j];
			uint16_t right = table[i * width + j + 1];

			table[i * width + j] =
				lines_equal(a, i, b, j)
					? table[(i + 1) * width + j + 1] + 1
				: down > right ? down
					       : right;
		}
	}
	return table;
}

void golden_difference(const char *expected, const char *got,
		       struct buffer *out)
{
	struct lines *a = calloc(1, sizeof(*a));
	struct lines *b = calloc(1, sizeof(*b));
	uint16_t *table;
	size_t width;
	size_t i = 0;
	size_t j = 0;

	if (!a || !b)
		abort();
	split_lines(expected, a);
	split_lines(got, b);
	table = common_subsequence_lengths(a, b);
	width = b->count + 1;
	while (i < a->count || j < b->count) {
		if (i < a->count && j < b->count && lines_equal(a, i, b, j)) {
			append_line(out, ' ', a, i);
			i++;
			j++;
		} else if (j == b->count ||
			   (i < a->count && table[(i + 1) * width + j] >=
						    table[i * width + j + 1])) {
			append_line(out, '-', a, i++);
		} else {
			append_line(out, '+', b, j++);
		}
	}
	buffer_append(out, "", 1);
	free(table);
	free(a);
	free(b);
}

static char *read_file(const char *path)
{
	FILE *file = fopen(path, "re");
	char *text = calloc(1, FILE_MAX_BYTES + 1);

	if (!text)
		abort();
	if (file) {
		size_t size = fread(text, 1, FILE_MAX_BYTES, file);

		text[size] = '\0';
		fclose(file);
	}
	return text;
}

static void write_file(const char *path, const char *text)
{
	FILE *file = fopen(path, "we");

	if (!file)
		return;
	fputs(text, file);
	fclose(file);
}

bool golden_matches(const char *name, const char *transcript,
		    struct buffer *difference)
{
	struct buffer got = { 0 };
	char path[256];
	char *expected;
	bool matches;

	snprintf(path, sizeof(path), "test/functional/golden/%s.txt", name);
	golden_normalise(transcript, &got);
	if (getenv("GOLDEN_UPDATE"))
		write_file(path, (const char *)buffer_data(&got));
	expected = read_file(path);
	matches = !strcmp(expected, (const char *)buffer_data(&got));
	if (!matches)
		golden_difference(expected, (const char *)buffer_data(&got),
				  difference);
	free(expected);
	buffer_finish(&got);
	return matches;
}
