#ifndef CALL_TERMS_H
#define CALL_TERMS_H

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
 * struct call_intake - a request of a caller, read
 * @names: of the fields
 * @terms: deadline_us is 0 if the caller named none
 * @has_weight: whether @terms.weight was inherited
 * @service: asked for; "" where the route decides
 * @headers: "name\0value\0" for each field that passes on
 */
struct call_intake {
	const struct call_names *names;
	struct call_terms terms;
	bool has_weight;
	char service[SERVICE_NAME_SIZE];
	struct buffer headers;
	uint32_t header_count;
	bool headers_wrong;
	const char *connection; /* names of more fields of one connection */
};

/**
 * intake_read() - read a request
 * @intake: to be ended by intake_finish() in any case
 * @caller_service: service beside this node, for upstreams that ask for it
 * @err: ERROR_INVALID
 *
 * Return: CALL_REASON_NONE, or why the request is refused.
 */
enum call_reason intake_read(struct call_intake *intake,
			     const struct call_names *names,
			     const char *caller_service,
			     const struct http_exchange *exchange,
			     int64_t now_us, struct error *err);

void intake_finish(struct call_intake *intake);

#endif
