#include "operator/table.h"

#include <assert.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/* Width in UTF-8 characters: names may contain non-ASCII letters. */
static uint32_t text_width(const char *text)
{
	uint32_t width = 0;

	for (; *text; text++)
		if (((unsigned char)*text & 0xC0) != 0x80)
			width++;
	return width;
}

static void add_cell(struct table *table, const char *text)
{
	uint32_t width = text_width(text);
	uint32_t at = table->rows * table->columns + table->used;

	if (table->used == 0)
		table->cells = realloc(table->cells,
				       (at + table->columns) * sizeof(char *));
	if (!table->cells)
		abort();
	table->cells[at] = strdup(text);
	if (!table->cells[at])
		abort();
	if (width > table->widths[table->used])
		table->widths[table->used] = width;
	if (++table->used < table->columns)
		return;
	table->used = 0;
	table->rows++;
}

void table_init(struct table *table, const char *const titles[])
{
	uint32_t i;

	memset(table, 0, sizeof(*table));
	while (titles[table->columns])
		table->columns++;
	assert(table->columns <= TABLE_COLUMNS_MAX);
	for (i = 0; i < table->columns; i++)
		add_cell(table, titles[i]);
}

void table_finish(struct table *table)
{
	uint32_t i;

	for (i = 0; i < table->rows * table->columns + table->used; i++)
		free(table->cells[i]);
	free(table->cells);
}

void table_cell(struct table *table, const char *fmt, ...)
{
	char text[TABLE_CELL_SIZE];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	add_cell(table, text);
}

static void print_row(const struct table *table, uint32_t row, FILE *out)
{
	char **cells = &table->cells[row * table->columns];
	uint32_t count = table->columns;
	uint32_t i;

	/* Skips empty cells at the end, to print no trailing spaces. */
	while (count && !*cells[count - 1])
		count--;
	for (i = 0; i < count; i++) {
		uint32_t gap = table->widths[i] - text_width(cells[i]) + 2;

		if (i + 1 == count)
			(void)fputs(cells[i], out);
		else
			(void)fprintf(out, "%s%*s", cells[i], (int)gap, "");
	}
	(void)fputc('\n', out);
}

void table_print(const struct table *table, FILE *out)
{
	uint32_t i;

	for (i = 0; i < table->rows; i++)
		print_row(table, i, out);
}
