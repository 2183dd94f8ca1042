#include "profile/diff.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"

enum {
	CONTEXT_LINES = 3,
	/* Maximum number of cells of the table for the lines between the
	 * common start and the common end. If these lines need more cells, all
	 * of them are shown as replaced, which bounds time and memory. */
	TABLE_CELLS_MAX = 1024 * 1024,
};

struct line {
	const char *text;
	size_t size; /* without the line feed */
};

struct lines {
	struct line *items;
	uint32_t count;
};

struct edit {
	char sign; /* ' ' unchanged, '-' removed, '+' added */
	struct line line;
	uint32_t before; /* line number in the old text, 1-based */
	uint32_t after;	 /* line number in the new text, 1-based */
};

struct edits {
	struct edit *items;
	uint32_t count;
};

static void *allocate(size_t count, size_t size)
{
	void *items = calloc(count + 1, size);

	if (!items)
		abort();
	return items;
}

static struct lines split_lines(const char *text, size_t size)
{
	const char *end = text + size;
	struct lines lines = { NULL, 0 };
	const char *at;
	size_t count = 1;

	for (at = text; at < end; at++)
		count += *at == '\n';
	lines.items = allocate(count, sizeof(*lines.items));
	while (text < end) {
		const char *newline = memchr(text, '\n', (size_t)(end - text));
		struct line *line = &lines.items[lines.count++];

		line->text = text;
		line->size = (size_t)((newline ? newline : end) - text);
		text = newline ? newline + 1 : end;
	}
	return lines;
}

static bool lines_equal(const struct line *a, const struct line *b)
{
	return a->size == b->size && !memcmp(a->text, b->text, a->size);
}

static void add_edit(struct edits *edits, char sign, const struct line *line,
		     uint32_t before, uint32_t after)
{
	struct edit *edit = &edits->items[edits->count++];

	edit->sign = sign;
	edit->line = *line;
	edit->before = before + 1;
	edit->after = after + 1;
}

/* Returns a table of @n + 1 rows and @m + 1 columns, for free(). Cell (i, j) is
 * the length of the longest common subsequence of a[i..n) and b[j..m). */
static uint16_t *common_table(const struct line *a, uint32_t n,
			      const struct line *b, uint32_t m)
{
	uint16_t *table = allocate((size_t)(n + 1) * (m + 1), sizeof(*table));
	size_t row = m + 1;
	uint32_t i;
	uint32_t j;

	for (i = n; i-- > 0;)
		for (j = m; j-- > 0;) {
			uint16_t *cell = &table[i * row + j];

			if (lines_equal(&a[i], &b[j]))
				*cell = (uint16_t)(cell[row + 1] + 1);
			else
				*cell = cell[row] > cell[1] ? cell[row]
							    : cell[1];
		}
	return table;
}

/* Adds the edits for the lines between the common start and the common end. */
static void compare_middle(struct edits *edits, const struct lines *a,
			   const struct lines *b, uint32_t start,
			   uint32_t a_end, uint32_t b_end)
{
	uint32_t n = a_end - start;
	uint32_t m = b_end - start;
	size_t row = (size_t)m + 1;
	uint16_t *table = NULL;
	uint32_t i = 0;
	uint32_t j = 0;

	if (n < UINT16_MAX && (size_t)(n + 1) * row <= TABLE_CELLS_MAX)
		table = common_table(a->items + start, n, b->items + start, m);
	while (i < n || j < m) {
		const struct line *old = &a->items[start + i];
		const struct line *new = &b->items[start + j];

		if (table && i < n && j < m && lines_equal(old, new))
			add_edit(edits, ' ', old, start + i++, start + j++);
		else if (i < n &&
			 (j == m || !table ||
			  table[(i + 1) * row + j] >= table[i * row + j + 1]))
			add_edit(edits, '-', old, start + i++, start + j);
		else
			add_edit(edits, '+', new, start + i, start + j++);
	}
	free(table);
}

static struct edits compare_lines(const struct lines *a, const struct lines *b)
{
	struct edits edits = { NULL, 0 };
	uint32_t a_end = a->count;
	uint32_t b_end = b->count;
	uint32_t start = 0;
	uint32_t i;

	edits.items =
		allocate((size_t)a->count + b->count, sizeof(*edits.items));
	while (start < a_end && start < b_end &&
	       lines_equal(&a->items[start], &b->items[start]))
		start++;
	while (a_end > start && b_end > start &&
	       lines_equal(&a->items[a_end - 1], &b->items[b_end - 1])) {
		a_end--;
		b_end--;
	}
	for (i = 0; i < start; i++)
		add_edit(&edits, ' ', &a->items[i], i, i);
	compare_middle(&edits, a, b, start, a_end, b_end);
	for (i = 0; a_end + i < a->count; i++)
		add_edit(&edits, ' ', &a->items[a_end + i], a_end + i,
			 b_end + i);
	return edits;
}

static bool is_near_change(const struct edits *edits, uint32_t index)
{
	uint32_t from = index > CONTEXT_LINES ? index - CONTEXT_LINES : 0;
	uint32_t i;

	for (i = from; i < edits->count && i <= index + CONTEXT_LINES; i++)
		if (edits->items[i].sign != ' ')
			return true;
	return false;
}

static void print_edit(struct buffer *out, const struct edit *edit, bool first)
{
	char hunk_header[64];

	if (first) {
		int size = snprintf(hunk_header, sizeof(hunk_header),
				    "@@ -%u +%u @@\n", edit->before,
				    edit->after);

		buffer_append(out, hunk_header, (size_t)size);
	}
	buffer_append(out, &edit->sign, 1);
	buffer_append(out, edit->line.text, edit->line.size);
	buffer_append(out, "\n", 1);
}

char *diff_text(const char *before, size_t before_size, const char *after,
		size_t after_size)
{
	struct lines a = split_lines(before, before_size);
	struct lines b = split_lines(after, after_size);
	struct edits edits = compare_lines(&a, &b);
	struct buffer out = { 0 };
	bool shown = false;
	char *text;
	uint32_t i;

	for (i = 0; i < edits.count; i++) {
		bool show = is_near_change(&edits, i);

		if (show)
			print_edit(&out, &edits.items[i], !shown);
		shown = show;
	}
	buffer_append(&out, "", 1);
	text = strdup((char *)buffer_data(&out));
	if (!text)
		abort();
	buffer_finish(&out);
	free(edits.items);
	free(a.items);
	free(b.items);
	return text;
}
