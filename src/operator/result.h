#ifndef OPERATOR_RESULT_H
#define OPERATOR_RESULT_H

#include "http/server.h"
#include "profile/editor.h"

/**
 * DOC: result
 *
 * Converts the result of a command on profiles to an HTTP answer: the result,
 * or the reason of the failure with advice for the operator.
 */

/** result_reply() - replies to an exchange with a result. */
void result_reply(struct http_exchange *exchange,
		  const struct editor_result *result);

/** result_status() - HTTP status of an outcome. */
unsigned int result_status(enum editor_outcome outcome);

/** result_todo() - what an operator can do; "" for nothing. */
const char *result_todo(enum editor_outcome outcome);

/** result_to_json() - body of the answer; a new reference. */
json_t *result_to_json(const struct editor_result *result);

#endif
