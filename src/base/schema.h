#ifndef BASE_SCHEMA_H
#define BASE_SCHEMA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/toml.h"

/**
 * DOC: schema
 *
 * Reads TOML tables into structs, as described by arrays of fields. Collects
 * all faults of a document with their lines, so that an operator can correct
 * all of them at once. An unknown key is a fault, reported with the most
 * similar known key: otherwise a misspelt limit would silently have no effect.
 */

enum { FAULTS_MAX = 64, FAULT_TEXT_SIZE = 240 };

/**
 * struct fault - one fault of a document
 * @line: 1-based line; 0 if there is none
 * @text: description for operators
 */
struct fault {
	uint32_t line;
	char text[FAULT_TEXT_SIZE];
};

/**
 * struct faults - faults of a document
 * @count: number of faults found, including those that are not stored
 * @items: the first FAULTS_MAX faults
 */
struct faults {
	uint32_t count;
	struct fault items[FAULTS_MAX];
};

/** fault_add() - add a fault; @line is 0 if there is none. */
void fault_add(struct faults *faults, uint32_t line, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * faults_to_error() - set @err to the first fault and the number of faults
 * @source: name of the document in the text of the error
 *
 * Does nothing if there is no fault.
 */
void faults_to_error(const struct faults *faults, const char *source,
		     struct error *err);

enum schema_type {
	SCHEMA_STRING,	/* char[size] */
	SCHEMA_INTEGER, /* int64_t, between min and max */
	SCHEMA_REAL,	/* double, between min and max */
	SCHEMA_BOOLEAN, /* bool */
	SCHEMA_TABLE,	/* table that the caller reads */
	SCHEMA_ARRAY,	/* array that the caller reads */
};

/**
 * struct schema_field - one key of a table
 * @name: key
 * @type: type of the value
 * @offset: offset of the member in the struct; unused for tables and arrays
 * @size: size of a string member in bytes, including the terminator
 * @min: minimum value; for a string, minimum length in bytes
 * @max: maximum value; unused for strings
 * @fallback: default value as text; NULL makes the key required
 * @help: one sentence with the unit, for the reference of settings
 */
struct schema_field {
	const char *name;
	enum schema_type type;
	size_t offset;
	size_t size;
	double min;
	double max;
	const char *fallback;
	const char *help;
};

#define SCHEMA_FIELD_STRING(s, member, key, min_value, def, text)              \
	{                                                                      \
		.name = (key), .type = SCHEMA_STRING,                          \
		.offset = offsetof(s, member),                                 \
		.size = sizeof(((s *)0)->member), .min = (min_value),          \
		.fallback = (def), .help = (text)                              \
	}
#define SCHEMA_FIELD_INTEGER(s, member, key, min_value, max_value, def, text)  \
	{                                                                      \
		.name = (key), .type = SCHEMA_INTEGER,                         \
		.offset = offsetof(s, member), .min = (min_value),             \
		.max = (max_value), .fallback = (def), .help = (text)          \
	}
#define SCHEMA_FIELD_REAL(s, member, key, min_value, max_value, def, text)     \
	{                                                                      \
		.name = (key), .type = SCHEMA_REAL,                            \
		.offset = offsetof(s, member), .min = (min_value),             \
		.max = (max_value), .fallback = (def), .help = (text)          \
	}
#define SCHEMA_FIELD_BOOLEAN(s, member, key, def, text)                        \
	{                                                                      \
		.name = (key), .type = SCHEMA_BOOLEAN,                         \
		.offset = offsetof(s, member), .fallback = (def),              \
		.help = (text)                                                 \
	}

/**
 * schema_read() - read a table into the struct at @out
 * @table: table to read; NULL, for an absent table, sets only the defaults
 * @path: dotted name of the table for messages; "" for the root
 * @faults: the faults of the table are added here
 *
 * The member of a faulty value is set to its default.
 */
void schema_read(const struct toml_node *table, const char *path,
		 const struct schema_field *fields, size_t count, void *out,
		 struct faults *faults);

/**
 * schema_nearest() - find the name of a field that is most similar to @name
 *
 * Return: NULL if no name is similar.
 */
const char *schema_nearest(const char *name, const struct schema_field *fields,
			   size_t count);

#endif
