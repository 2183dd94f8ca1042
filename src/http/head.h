#ifndef HTTP_HEAD_H
#define HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

/**
 * DOC: head
 *
 * The header fields of one message, put together from the pieces that the
 * parser hands out: "name\0value\0" for each.
 */

enum { HTTP_FIELDS_MAX = 128 };

/** struct http_header - one field. */
struct http_header {
	const char *name;
	const char *value;
};

/**
 * struct http_head - fields so far
 * @value_offset: where the value of the last field begins
 * @in_value: pieces of a value are coming, not of a name
 */
struct http_head {
	struct buffer fields;
	uint32_t count;
	size_t value_offset;
	bool in_value;
	bool in_field;
};

/** http_head_reset() - forget all fields, keep the memory. */
void http_head_reset(struct http_head *head);

void http_head_finish(struct http_head *head);

/** http_head_append_name() - a piece of a name. */
void http_head_append_name(struct http_head *head, const char *at, size_t size);

/** http_head_append_value() - a piece of a value. */
void http_head_append_value(struct http_head *head, const char *at,
			    size_t size);

/** http_head_end() - no more pieces come. */
void http_head_end(struct http_head *head);

/** http_head_find() - the first value of a field, or NULL; any case. */
const char *http_head_find(const struct http_head *head, const char *name);

/** http_head_count() - how often a field is there. */
uint32_t http_head_count(const struct http_head *head, const char *name);

/**
 * http_head_split() - the fields as an array that points into the head
 *
 * Return: how many there are, HTTP_FIELDS_MAX at most.
 */
size_t http_head_split(const struct http_head *head,
		       struct http_header headers[HTTP_FIELDS_MAX]);

#endif
