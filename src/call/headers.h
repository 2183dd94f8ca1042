#ifndef CALL_HEADERS_H
#define CALL_HEADERS_H

#include "call/frames.h"
#include "http/server.h"

/**
 * DOC: headers
 *
 * Header fields of a request or an answer in the form that nodes exchange:
 * "name\0value\0" for each field. The form is validated on receipt.
 */

/**
 * headers_split() - splits encoded header fields into an array
 * @bytes: validated fields
 * @headers: array with room for CALL_HEADERS_MAX entries; the entries point
 *	into @bytes
 *
 * Return: number of entries written.
 */
size_t headers_split(const struct call_bytes *bytes,
		     struct http_header *headers);

/**
 * headers_find() - returns the first value of a header field
 *
 * The case of @name is ignored.
 *
 * Return: "" if the field is missing.
 */
const char *headers_find(const struct call_bytes *bytes, const char *name);

#endif
