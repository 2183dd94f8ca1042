#ifndef CALL_PARSED_REQUEST_H
#define CALL_PARSED_REQUEST_H

#include "base/buffer.h"
#include "base/error.h"
#include "call/call_defs.h"
#include "call/names.h"
#include "http/server.h"

/**
 * DOC: terms
 *
 * What a caller's HTTP request says, read strictly: a header of ours that is
 * misspelt in its value is refused, because a deadline or weight that is
 * silently ignored is none.
 */

/**
 * struct parsed_request - a request of a caller, read
 * @names: of the fields
 * @context: deadline_us is 0 if the caller named none
 * @has_weight: whether @context.weight was inherited
 * @service: asked for; "" where the route decides
 * @headers: "name\0value\0" for each field that passes on
 */
struct parsed_request {
	const struct call_names *names;
	struct call_context context;
	bool has_weight;
	char service[SERVICE_NAME_SIZE];
	struct buffer headers;
	uint32_t header_count;
	bool headers_invalid;
	const char *connection; /* names of more fields of one connection */
};

/**
 * parsed_request_read() - read a request
 * @parsed: to be ended by parsed_request_finish() in any case
 * @caller_service: service beside this node, for upstreams that ask for it
 * @err: ERROR_INVALID
 *
 * Return: CALL_REASON_NONE, or why the request is refused.
 */
enum call_reason parsed_request_read(struct parsed_request *parsed,
				     const struct call_names *names,
				     const char *caller_service,
				     const struct http_exchange *exchange,
				     int64_t now_us, struct error *err);

void parsed_request_finish(struct parsed_request *parsed);

#endif
