#ifndef STORE_STORE_RESULT_H
#define STORE_STORE_RESULT_H

#include "store/store_http.h"

/**
 * DOC: store result
 *
 * Converts ends of HTTP exchanges to results, for the cases that are the same
 * in all wire forms: whether a write may have taken effect, and the reasons
 * that follow from the status.
 */

/** store_result_fail() - set outcome, reason and error of a failed call. */
void store_result_fail(struct store_result *result, enum store_outcome outcome,
		       enum store_reason reason, enum error_code code,
		       const char *text);

/**
 * store_result_lost() - set the result of a call whose answer is lost
 *
 * A write may have taken effect.
 */
void store_result_lost(struct store_result *result, enum store_kind kind,
		       enum error_code code, const char *text);

/**
 * store_result_check_delivery() - true if an answer has arrived
 *
 * Otherwise sets @result.
 */
bool store_result_check_delivery(struct store_result *result,
				 enum store_kind kind,
				 const struct http_answer *answer);

/** store_result_from_status() - set the result for a status of failure. */
void store_result_from_status(struct store_result *result, enum store_kind kind,
			      unsigned int status);

/** store_result_escape() - percent-encode any @key for the path of a URL. */
void store_result_escape(const char *key, char *out, size_t size);

#endif
