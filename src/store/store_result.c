#include "store/store_result.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

enum {
	STATUS_NOT_FOUND = 404,
	STATUS_PRECONDITION_FAILED = 412,
	STATUS_TOO_MANY = 429,
	STATUS_SERVER_ERROR = 500,
	STATUS_UNAVAILABLE = 503,
};

static bool is_read(enum store_kind kind)
{
	return kind == STORE_GET || kind == STORE_WATCH;
}

void store_result_fail(struct store_result *result, enum store_outcome outcome,
		       enum store_reason reason, enum error_code code,
		       const char *text)
{
	result->outcome = outcome;
	result->reason = reason;
	error_set(&result->err, code, "platform: %s", text);
}

/* A read has no effect, even if its answer is lost. */
void store_result_lost(struct store_result *result, enum store_kind kind,
		       enum error_code code, const char *text)
{
	store_result_fail(result,
			  is_read(kind) ? STORE_NO_EFFECT : STORE_UNKNOWN,
			  STORE_UNREACHABLE, code, text);
}

bool store_result_check_delivery(struct store_result *result,
				 enum store_kind kind,
				 const struct http_answer *answer)
{
	switch (answer->delivery) {
	case HTTP_NOT_SENT:
		store_result_fail(result, STORE_NO_EFFECT, STORE_UNREACHABLE,
				  answer->err->code, answer->err->text);
		return false;
	case HTTP_MAY_BE_SENT:
		store_result_lost(result, kind, answer->err->code,
				  answer->err->text);
		return false;
	case HTTP_ANSWERED:
		break;
	}
	return true;
}

void store_result_from_status(struct store_result *result, enum store_kind kind,
			      unsigned int status)
{
	switch (status) {
	case STATUS_NOT_FOUND:
		store_result_fail(result, STORE_NO_EFFECT, STORE_ABSENT,
				  ERROR_NOT_FOUND, "no such key");
		return;
	case STATUS_PRECONDITION_FAILED:
		store_result_fail(result, STORE_NO_EFFECT, STORE_CONFLICT,
				  ERROR_CONFLICT,
				  "the key has another revision");
		return;
	case STATUS_TOO_MANY:
	case STATUS_UNAVAILABLE:
		store_result_fail(result, STORE_NO_EFFECT, STORE_UNREACHABLE,
				  ERROR_BUSY, "the service refuses calls");
		return;
	default:
		if (status >= STATUS_SERVER_ERROR)
			store_result_lost(result, kind, ERROR_IO,
					  "the service failed");
		else
			store_result_fail(result, STORE_NO_EFFECT,
					  STORE_REJECTED, ERROR_INVALID,
					  "the service rejects the call");
		return;
	}
}

void store_result_escape(const char *key, char *out, size_t size)
{
	size_t used = 0;

	for (; *key && used + 4 < size; key++) {
		unsigned char c = (unsigned char)*key;

		if (isalnum(c) || strchr("-_./", c))
			out[used++] = (char)c;
		else
			used += (size_t)snprintf(out + used, size - used,
						 "%%%02X", c);
	}
	out[used] = '\0';
}
