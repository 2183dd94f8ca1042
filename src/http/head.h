#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

/**
 * DOC: head
 *
 * Header fields of one message, assembled from the pieces that the parser
 * passes to its callbacks. Each field is stored as "name\0value\0".
 */

enum {
	HTTP_FIELDS_MAX = 128,
	/* Names and values with their terminating NULs. */
	HTTP_FIELDS_MAX_BYTES = 64 * 1024,
	/* Limit of the parser, which is the same for all its uses in a process;
	 * those of servers and clients are smaller. */
	HTTP_PARSER_MAX_BYTES = 1024 * 1024,
};

/** struct http_header - one header field. */
struct http_header {
	const char *name;
	const char *value;
};

/**
 * struct http_head - header fields of a message
 * @fields: names and values, each terminated by NUL
 * @count: number of complete fields
 * @value_offset: offset of the value of the last field in @fields
 * @in_value: whether the last piece belonged to a value
 * @in_field: whether the last field is incomplete
 * @invalid: whether a name is not a token or a value has control characters;
 *	the fields must not be read then
 */
struct http_head {
	struct buffer fields;
	uint32_t count;
	size_t value_offset;
	bool in_value;
	bool in_field;
	bool invalid;
};

/** http_head_reset() - removes all fields, keeps the memory. */
void http_head_reset(struct http_head *head);

void http_head_finish(struct http_head *head);

/** http_head_append_name() - appends a piece of a field name. */
void http_head_append_name(struct http_head *head, const char *at, size_t size);

/** http_head_append_value() - appends a piece of a field value. */
void http_head_append_value(struct http_head *head, const char *at,
			    size_t size);

/** http_head_end() - completes the last field. */
void http_head_end(struct http_head *head);

/** http_is_token_part() - returns true for bytes that may form a field name. */
bool http_is_token_part(const char *at, size_t size);

/**
 * http_is_value_part() - returns true for bytes that may be in a field value
 *
 * Bytes above ASCII may. Control characters other than the tab may not: they
 * could end a field here or begin another one elsewhere.
 */
bool http_is_value_part(const char *at, size_t size);

/** http_head_fits() - returns false if the fields exceed a limit. */
bool http_head_fits(const struct http_head *head);

/**
 * http_head_find() - returns the first value of a field
 *
 * The case of @name is ignored.
 *
 * Return: NULL if the field is missing.
 */
const char *http_head_find(const struct http_head *head, const char *name);

/**
 * http_head_is_ambiguous() - returns true if an upstream could read the head in
 *	another way than this process does
 */
bool http_head_is_ambiguous(const struct http_head *head);

/** http_head_count() - returns the number of fields named @name. */
uint32_t http_head_count(const struct http_head *head, const char *name);

/**
 * http_head_split() - fills an array of fields that point into @head
 *
 * Return: number of fields in the array, at most HTTP_FIELDS_MAX.
 */
size_t http_head_split(const struct http_head *head,
		       struct http_header headers[HTTP_FIELDS_MAX]);

#endif
