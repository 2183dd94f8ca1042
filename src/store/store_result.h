#ifndef STORE_STORE_RESULT_H
#define STORE_STORE_RESULT_H

#include "store/store_http.h"

/**
 * DOC: store result
 *
 * What the ends of HTTP exchanges mean for a call of a store, as far as that
 * is the same whatever the store's own form: whether a write may have taken
 * effect, and which statuses say why it did not.
 */

/** store_result_fail() - the call did not bring what it was for. */
void store_result_fail(struct store_result *result, enum store_outcome outcome,
		       enum store_reason reason, enum error_code code,
		       const char *text);

/** store_result_lost() - the answer is lost; a write may have taken effect. */
void store_result_lost(struct store_result *result, enum store_kind kind,
		       enum error_code code, const char *text);

/**
 * store_result_check_delivery() - whether an answer has come
 *
 * If not, @result says what that means.
 */
bool store_result_check_delivery(struct store_result *result,
				 enum store_kind kind,
				 const struct http_answer *answer);

/** store_result_from_status() - what a status that is no success says. */
void store_result_from_status(struct store_result *result, enum store_kind kind,
			      unsigned int status);

/** store_result_escape() - @key as a part of a URL; it may hold anything. */
void store_result_escape(const char *key, char *out, size_t size);

#endif
