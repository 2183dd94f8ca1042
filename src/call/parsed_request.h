#ifndef CALL_PARSED_REQUEST_H
#define CALL_PARSED_REQUEST_H

#include "base/buffer.h"
#include "base/error.h"
#include "call/call_defs.h"
#include "call/names.h"
#include "http/server.h"

/**
 * DOC: parsed request
 *
 * Parses the HTTP request of a caller. A Geraniumplank header with an invalid
 * value is an error: if it were ignored, the call would run without the
 * deadline or weight that the caller set.
 */

/**
 * struct parsed_request - a parsed request of a caller
 * @names: header names of the interface
 * @context: values that the call inherits; its deadline_us is 0 if the request
 *	has no deadline
 * @has_weight: true if the request sets @context.weight
 * @service: name of the requested service; "" if the route selects it
 * @headers: "name\0value\0" for each header field that is passed on
 * @headers_invalid: true if a header is malformed or a limit is exceeded
 * @connection: value of the Connection header, which lists further hop-by-hop
 *	fields; NULL if there is none
 */
struct parsed_request {
	const struct call_names *names;
	struct call_context context;
	bool has_weight;
	char service[SERVICE_NAME_SIZE];
	struct buffer headers;
	uint32_t header_count;
	bool headers_invalid;
	const char *connection;
};

/**
 * parsed_request_read() - parse and check a request
 * @parsed: result; free it with parsed_request_finish(), also after an error
 * @names: header names of the interface
 * @caller_service: name of the local service, sent to the upstream if @names
 *	has a header for it
 * @now_us: current monotonic time in microseconds
 * @err: ERROR_INVALID
 *
 * Return: CALL_REASON_NONE, or the reason for which the request is refused.
 */
enum call_reason parsed_request_read(struct parsed_request *parsed,
				     const struct call_names *names,
				     const char *caller_service,
				     const struct http_exchange *exchange,
				     int64_t now_us, struct error *err);

/** parsed_request_drop() - drops all header fields @name, in any case. */
void parsed_request_drop(struct parsed_request *parsed, const char *name);

/** parsed_request_finish() - free the buffers. */
void parsed_request_finish(struct parsed_request *parsed);

#endif
