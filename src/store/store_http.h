#ifndef STORE_HTTP_H
#define STORE_HTTP_H

#include <stddef.h>

#include "http/client.h"
#include "store/store.h"

/**
 * DOC: store http
 *
 * Wire form of the platform's key-value service. Support for another service
 * changes only this module and its contract test.
 *
 *	GET  /v1/kv/KEY			200 and Revision, or 404
 *	GET  /v1/kv/KEY?after=R&wait_ms=N	200 once newer than R, else 304
 *	PUT  /v1/kv/KEY, If-Match: R	200, or 412; both with Revision
 *	POST /v1/lease/KEY?do=acquire|renew|release
 *		{"holder":H,"ttl_ms":N,"token":T}	200 {"token":T}, or
 *		409 {"holder":H,"remaining_ms":N}
 */

enum {
	STORE_URL_SIZE = STORE_KEY_SIZE * 3 + 320,
	STORE_LEASE_TEXT_SIZE = STORE_HOLDER_SIZE * 6 + 96,
	STORE_REVISION_SIZE = 24,
};

/**
 * struct store_message - a call as an HTTP request, with memory for its parts
 * @body: freed by the sender after the request has been sent; may be NULL
 */
struct store_message {
	struct http_request http;
	struct http_header header;
	char url[STORE_URL_SIZE];
	char revision[STORE_REVISION_SIZE];
	char lease[STORE_LEASE_TEXT_SIZE];
	char *body;
};

/**
 * store_message_begin() - initialize a GET without header fields and URL
 * @attempt_timeout_ms: timeout of the request, in milliseconds
 * @max_bytes: maximum size of the answer, in bytes
 */
void store_message_begin(struct store_message *message,
			 int64_t attempt_timeout_ms, size_t max_bytes);

/**
 * store_http_encode() - encode a call as an HTTP request
 * @attempt_timeout_ms: timeout of this attempt, without the wait of a watch, in
 *	milliseconds
 */
void store_http_encode(struct store_message *message,
		       const struct store_request *request,
		       const struct address *address,
		       int64_t attempt_timeout_ms);

/** store_http_decode() - convert the end of an exchange to a result. */
void store_http_decode(struct store_result *result,
		       const struct store_request *request,
		       const struct http_answer *answer);

#endif
