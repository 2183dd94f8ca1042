#ifndef OPERATOR_TABLE_H
#define OPERATOR_TABLE_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/**
 * DOC: table
 *
 * A text table. Each column is as wide as its widest cell.
 */

enum { TABLE_COLUMNS_MAX = 12, TABLE_CELL_SIZE = 256 };

/**
 * struct table - a table of text
 * @columns: number of columns
 * @rows: number of complete rows, with the titles
 * @used: number of cells in the incomplete row
 * @widths: width of each column in characters
 * @cells: the cells, row by row; owned
 */
struct table {
	uint32_t columns;
	uint32_t rows;
	uint32_t used;
	uint32_t widths[TABLE_COLUMNS_MAX];
	char **cells;
};

/** table_init() - creates a table; @titles is terminated by NULL. */
void table_init(struct table *table, const char *const titles[]);
void table_finish(struct table *table);

/**
 * table_cell() - appends a cell; cells are filled row by row
 *
 * Truncates the text to TABLE_CELL_SIZE - 1 bytes.
 */
void table_cell(struct table *table, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

void table_print(const struct table *table, FILE *out);

#endif
