#ifndef CALL_REPLY_H
#define CALL_REPLY_H

#include "call/frames.h"
#include "call/names.h"
#include "http/server.h"

/**
 * DOC: reply
 *
 * What a caller is told over HTTP: the upstream's whole answer, or a refusal
 * with its verdict and reason.
 */

/** struct reply_answer - a whole answer of an upstream. */
struct reply_answer {
	uint32_t status;
	struct call_bytes headers;
	struct call_bytes body;
	const char *upstream;
	const char *request_id;
};

/** reply_answer() - pass an upstream's answer on. */
void reply_answer(struct http_exchange *exchange,
		  const struct call_names *names,
		  const struct reply_answer *answer);

/**
 * reply_refusal() - tell a caller that there is no answer, and why
 * @text: what is wrong, for people; NULL for the reason's own text
 */
void reply_refusal(struct http_exchange *exchange,
		   const struct call_names *names,
		   const struct call_outcome *outcome, const char *request_id,
		   const char *text);

#endif
