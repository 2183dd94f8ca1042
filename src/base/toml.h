#ifndef BASE_TOML_H
#define BASE_TOML_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/error.h"

/**
 * DOC: toml
 *
 * Parses TOML into a tree of C structs. Each value has its line, so that faults
 * can be reported with a line. The parser is toml++; C++ types and exceptions
 * do not leave toml.cc.
 */

#ifdef __cplusplus
extern "C" {
#endif

enum toml_type {
	TOML_TABLE,
	TOML_ARRAY,
	TOML_STRING,
	TOML_INTEGER,
	TOML_FLOAT,
	TOML_BOOLEAN,
	TOML_OTHER, /* dates and times, which no key accepts */
};

/**
 * struct toml_node - one value
 * @type: type of the value
 * @line: 1-based line of the value
 * @key: key in the parent table; NULL for elements of arrays and the root
 * @first_child: first child of a table or array, in the order of the document
 * @next: next child of the same parent, or NULL
 * @string: value of a TOML_STRING
 * @integer: value of a TOML_INTEGER
 * @real: value of a TOML_FLOAT
 * @boolean: value of a TOML_BOOLEAN
 */
struct toml_node {
	enum toml_type type;
	uint32_t line;
	char *key;
	struct toml_node *first_child;
	struct toml_node *next;
	union {
		char *string;
		int64_t integer;
		double real;
		bool boolean;
	};
};

/**
 * toml_parse() - parse a document
 * @line: set to the line of a syntax error, if it is known; may be NULL
 * @err: set to ERROR_INVALID on a syntax error, or to ERROR_MEMORY
 *
 * Return: the root table, to be freed by toml_free(); NULL on failure.
 */
struct toml_node *toml_parse(const char *text, size_t size_bytes,
			     uint32_t *line, struct error *err);

/** toml_free() - free a node, its children and its next nodes; may be NULL. */
void toml_free(struct toml_node *node);

/** toml_find() - find the child of a table with the given key, or NULL. */
const struct toml_node *toml_find(const struct toml_node *table,
				  const char *key);

#ifdef __cplusplus
}
#endif

#endif
