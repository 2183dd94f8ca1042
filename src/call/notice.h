#ifndef CALL_NOTICE_H
#define CALL_NOTICE_H

#include "call/names.h"
#include "http/client.h"

/**
 * DOC: notice
 *
 * What an upstream says of itself in the header of an answer.
 */

/**
 * struct upstream_notice - see DOC
 * @has_rate_limit: the answer names a limit
 * @rate_limit_per_s: requests that the upstream takes in a second, finite and
 *	not negative; valid if @has_rate_limit
 * @leaving: the upstream stops soon and takes no new requests
 */
struct upstream_notice {
	bool has_rate_limit;
	double rate_limit_per_s;
	bool leaving;
};

/**
 * notice_read() - reads the notice of an answer
 * @err: ERROR_INVALID; the text names the field and its rule
 *
 * Return: false if a field is invalid or occurs more than once; the answer then
 * says nothing about the upstream.
 */
bool notice_read(const struct call_names *names,
		 const struct http_answer *answer,
		 struct upstream_notice *notice, struct error *err);

#endif
