#ifndef CALL_REPLY_H
#define CALL_REPLY_H

#include "call/frames.h"
#include "call/names.h"
#include "http/server.h"

/**
 * DOC: reply
 *
 * Replies to callers over HTTP: the complete answer of an upstream, or a
 * refusal with its verdict and reason.
 */

/**
 * struct reply_answer - a complete answer of an upstream
 * @headers: "name\0value\0" for each field
 * @upstream: name of the instance beside the upstream
 * @request_id: ID of the request, empty if it has none
 */
struct reply_answer {
	uint32_t status;
	struct call_bytes headers;
	struct call_bytes body;
	const char *upstream;
	const char *request_id;
};

/** reply_answer() - sends the answer of an upstream to the caller. */
void reply_answer(struct http_exchange *exchange,
		  const struct call_names *names,
		  const struct reply_answer *answer);

/**
 * reply_refusal() - sends the caller a refusal with its verdict and reason
 * @request_id: ID of the request, empty if it has none
 * @text: human-readable description; NULL selects the text of the reason
 */
void reply_refusal(struct http_exchange *exchange,
		   const struct call_names *names,
		   const struct call_outcome *outcome, const char *request_id,
		   const char *text);

#endif
