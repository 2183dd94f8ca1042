#ifndef OPERATOR_REPLY_H
#define OPERATOR_REPLY_H

#include <jansson.h>

#include "http/server.h"

/**
 * DOC: reply
 *
 * Answers of the operators' interface. Every error has the same form: a
 * stable name, one line that describes the error, and one line of advice.
 */

enum http_status {
	HTTP_OK = 200,
	HTTP_BAD_REQUEST = 400,
	HTTP_UNAUTHORIZED = 401,
	HTTP_NOT_FOUND = 404,
	HTTP_METHOD_NOT_ALLOWED = 405,
	HTTP_CONFLICT = 409,
	HTTP_UNSUPPORTED_TYPE = 415,
	HTTP_UNPROCESSABLE = 422,
	HTTP_INTERNAL_ERROR = 500,
	HTTP_BAD_GATEWAY = 502,
	HTTP_UNAVAILABLE = 503,
	HTTP_GATEWAY_TIMEOUT = 504,
};

/** reply_json() - replies with @json and releases it; NULL gives status 500. */
void reply_json(struct http_exchange *exchange, unsigned int status,
		json_t *json);

/** reply_text() - replies with plain text, typed as Prometheus metrics. */
void reply_text(struct http_exchange *exchange, const char *text, size_t size);

/**
 * reply_error() - replies with an error
 * @name: stable name of the error
 * @text: description of the error
 * @todo: what the operator can do; "" for nothing
 */
void reply_error(struct http_exchange *exchange, unsigned int status,
		 const char *name, const char *text, const char *todo);

/** reply_method() - replies 405; @allowed is the value of Allow. */
void reply_method(struct http_exchange *exchange, const char *allowed);

/**
 * reply_string() - JSON string of any bytes; a new reference
 *
 * If @text is not valid UTF-8, each of its bytes outside ASCII becomes "?".
 */
json_t *reply_string(const char *text);

#endif
