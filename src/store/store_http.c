#include "store/store_http.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "store/store_result.h"

enum {
	STATUS_OK = 200,
	STATUS_NOT_MODIFIED = 304,
	STATUS_CONFLICT = 409,
	ANSWER_MAX_BYTES = STORE_VALUE_MAX + 4096,
};

static const char *const lease_verbs[STORE_KINDS] = {
	[STORE_ACQUIRE] = "acquire",
	[STORE_RENEW] = "renew",
	[STORE_RELEASE] = "release",
};

static void write_lease(struct store_message *message,
			const struct store_request *request)
{
	json_t *json = json_pack("{s:s, s:I, s:I}", "holder", request->holder,
				 "ttl_ms", (json_int_t)request->ttl_ms, "token",
				 (json_int_t)request->token);
	size_t size = json_dumpb(json, message->lease, sizeof(message->lease),
				 JSON_COMPACT);

	json_decref(json);
	message->http.method = "POST";
	message->http.body = message->lease;
	message->http.body_size = size < sizeof(message->lease) ? size : 0;
}

static void write_put(struct store_message *message,
		      const struct store_request *request)
{
	snprintf(message->revision, sizeof(message->revision), "%llu",
		 (unsigned long long)request->revision);
	message->header.name = "If-Match";
	message->header.value = message->revision;
	message->http.headers = &message->header;
	message->http.header_count = 1;
	message->http.method = "PUT";
	message->http.body = request->value;
	message->http.body_size = request->size;
	/* The HTTP client resends a request when a kept connection turns out
	 * to be closed. The second copy of a compare-and-swap that took effect
	 * would conflict with the first copy. */
	message->http.new_connection = true;
}

void store_message_begin(struct store_message *message,
			 int64_t attempt_timeout_ms, size_t max_bytes)
{
	message->http = (struct http_request){
		.method = "GET",
		.url = message->url,
		.timeout_ms = attempt_timeout_ms,
		.connect_timeout_ms = attempt_timeout_ms,
		.max_answer_bytes = max_bytes,
	};
}

void store_http_encode(struct store_message *message,
		       const struct store_request *request,
		       const struct address *address,
		       int64_t attempt_timeout_ms)
{
	char text[ADDRESS_TEXT_SIZE];
	char key[STORE_KEY_SIZE * 3];

	store_message_begin(message, attempt_timeout_ms, ANSWER_MAX_BYTES);
	address_format(address, text);
	store_result_escape(request->key, key, sizeof(key));
	snprintf(message->url, sizeof(message->url), "http://%s/v1/kv/%s", text,
		 key);
	switch (request->kind) {
	case STORE_GET:
	case STORE_LIST:
	case STORE_KINDS:
		return;
	case STORE_PUT:
		write_put(message, request);
		return;
	case STORE_WATCH:
		snprintf(message->url, sizeof(message->url),
			 "http://%s/v1/kv/%s?after=%llu&wait_ms=%lld", text,
			 key, (unsigned long long)request->revision,
			 (long long)request->wait_ms);
		message->http.timeout_ms += request->wait_ms;
		return;
	case STORE_ACQUIRE:
	case STORE_RENEW:
	case STORE_RELEASE:
		snprintf(message->url, sizeof(message->url),
			 "http://%s/v1/lease/%s?do=%s", text, key,
			 lease_verbs[request->kind]);
		write_lease(message, request);
		return;
	}
}

/* Returns 0 if the header field is missing or is not a number. */
static uint64_t read_revision(const struct http_answer *answer)
{
	const char *text = http_answer_header(answer, "Revision");
	uint64_t revision;
	char *end;

	if (!text || !isdigit((unsigned char)*text))
		return 0;
	errno = 0;
	revision = strtoull(text, &end, 10);
	return errno || *end ? 0 : revision;
}

static void read_value(struct store_result *result,
		       const struct http_answer *answer)
{
	if (!result->revision) {
		store_result_fail(result, STORE_NO_EFFECT, STORE_REJECTED,
				  ERROR_PROTOCOL,
				  "the answer has a value but no revision");
		return;
	}
	result->value = answer->body;
	result->size = answer->body_size;
}

static void read_token(struct store_result *result,
		       const struct http_answer *answer)
{
	json_t *json = json_loadb((const char *)answer->body, answer->body_size,
				  JSON_REJECT_DUPLICATES, NULL);
	json_int_t token = json_integer_value(json_object_get(json, "token"));

	json_decref(json);
	if (token > 0)
		result->token = (uint64_t)token;
	else
		store_result_fail(result, STORE_UNKNOWN, STORE_REJECTED,
				  ERROR_PROTOCOL,
				  "the answer has a lease but no token");
}

static void read_holder(struct store_result *result,
			const struct http_answer *answer)
{
	json_t *json = json_loadb((const char *)answer->body, answer->body_size,
				  JSON_REJECT_DUPLICATES, NULL);
	const char *holder = json_string_value(json_object_get(json, "holder"));

	snprintf(result->holder, sizeof(result->holder), "%s",
		 holder ? holder : "");
	result->remaining_ms =
		json_integer_value(json_object_get(json, "remaining_ms"));
	json_decref(json);
	store_result_fail(result, STORE_NO_EFFECT, STORE_HELD, ERROR_CONFLICT,
			  "the lease has another holder");
}

static void read_success(struct store_result *result, enum store_kind kind,
			 const struct http_answer *answer)
{
	switch (kind) {
	case STORE_GET:
	case STORE_LIST:
	case STORE_WATCH:
		read_value(result, answer);
		return;
	case STORE_ACQUIRE:
	case STORE_RENEW:
		read_token(result, answer);
		return;
	case STORE_PUT:
	case STORE_RELEASE:
	case STORE_KINDS:
		return;
	}
}

static void read_status(struct store_result *result, enum store_kind kind,
			const struct http_answer *answer)
{
	switch (answer->status) {
	case STATUS_OK:
		read_success(result, kind, answer);
		return;
	case STATUS_NOT_MODIFIED:
		store_result_fail(result, STORE_NO_EFFECT, STORE_NOT_NEWER,
				  ERROR_TIMEOUT, "nothing newer");
		return;
	case STATUS_CONFLICT:
		read_holder(result, answer);
		return;
	default:
		store_result_from_status(result, kind, answer->status);
		return;
	}
}

void store_http_decode(struct store_result *result,
		       const struct store_request *request,
		       const struct http_answer *answer)
{
	memset(result, 0, sizeof(*result));
	if (!store_result_check_delivery(result, request->kind, answer))
		return;
	if (!answer->delimited) {
		/* The answer may be truncated. */
		store_result_lost(result, request->kind, ERROR_PROTOCOL,
				  "the answer has no length");
		return;
	}
	result->revision = read_revision(answer);
	read_status(result, request->kind, answer);
}
