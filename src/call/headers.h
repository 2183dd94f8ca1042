#ifndef CALL_HEADERS_H
#define CALL_HEADERS_H

#include "call/frames.h"
#include "http/server.h"

/**
 * DOC: headers
 *
 * The fields of a request or an answer as they travel between nodes:
 * "name\0value\0" for each, checked when they come in.
 */

/**
 * headers_split() - fields as an array
 * @headers: room for CALL_HEADERS_MAX; points into @bytes
 *
 * Return: how many there are.
 */
size_t headers_split(const struct call_bytes *bytes,
		     struct http_header *headers);

#endif
