#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "store/store_http.h"

static const struct address address = { .ip = { 127, 0, 0, 1 },
					.port = 80,
					.family = 4 };

Test(store_http, calls_are_written_as_the_service_reads_them)
{
	static const struct {
		struct store_request request;
		const char *method;
		const char *target;
		const char *body;
		const char *if_match;
		int64_t timeout_ms;
	} cases[] = {
		{ { .kind = STORE_GET, .key = "head" },
		  "GET",
		  "/v1/kv/head",
		  "",
		  NULL,
		  1000 },
		{ { .kind = STORE_WATCH,
		    .key = "head",
		    .revision = 7,
		    .wait_ms = 5000 },
		  "GET",
		  "/v1/kv/head?after=7&wait_ms=5000",
		  "",
		  NULL,
		  6000 },
		{ { .kind = STORE_PUT,
		    .key = "members/dc 1?",
		    .revision = 3,
		    .value = "abc",
		    .size = 3 },
		  "PUT",
		  "/v1/kv/members/dc%201%3F",
		  "abc",
		  "3",
		  1000 },
		{ { .kind = STORE_ACQUIRE,
		    .key = "reader/a/0",
		    .holder = "h\"1",
		    .ttl_ms = 6000 },
		  "POST",
		  "/v1/lease/reader/a/0?do=acquire",
		  "{\"holder\":\"h\\\"1\",\"ttl_ms\":6000,\"token\":0}",
		  NULL,
		  1000 },
		{ { .kind = STORE_RENEW,
		    .key = "reader/a/0",
		    .holder = "h",
		    .ttl_ms = 6000,
		    .token = 9 },
		  "POST",
		  "/v1/lease/reader/a/0?do=renew",
		  "{\"holder\":\"h\",\"ttl_ms\":6000,\"token\":9}",
		  NULL,
		  1000 },
		{ { .kind = STORE_RELEASE,
		    .key = "k",
		    .holder = "h",
		    .token = 9 },
		  "POST",
		  "/v1/lease/k?do=release",
		  "{\"holder\":\"h\",\"ttl_ms\":0,\"token\":9}",
		  NULL,
		  1000 },
	};
	struct store_message message;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const struct http_request *http = &message.http;
		char url[STORE_URL_SIZE];

		store_http_encode(&message, &cases[i].request, &address, 1000);
		snprintf(url, sizeof(url), "http://127.0.0.1:80%s",
			 cases[i].target);
		cr_expect_str_eq(http->method, cases[i].method);
		cr_expect_str_eq(http->url, url);
		cr_expect_eq(http->timeout_ms, cases[i].timeout_ms);
		cr_expect_eq(http->body_size, strlen(cases[i].body));
		cr_expect_eq(memcmp(http->body_size ? http->body : "",
				    cases[i].body, http->body_size),
			     0, "%s", (const char *)http->body);
		cr_expect_eq(http->header_count, cases[i].if_match ? 1 : 0);
		if (cases[i].if_match)
			cr_expect_str_eq(http->headers[0].value,
					 cases[i].if_match);
	}
}

/* An answer and the result expected for it. */
struct answer_case {
	enum store_kind kind;
	enum http_delivery delivery;
	int64_t status;
	const char *revision;
	const char *body;
	bool cut;
	enum store_outcome outcome;
	enum store_reason reason;
	uint32_t wanted; /* revision or token */
};

static const struct answer_case answers[] = {
	{ STORE_GET, HTTP_ANSWERED, 200, "5", "v", false, STORE_TOOK_EFFECT,
	  STORE_OK, 5 },
	{ STORE_GET, HTTP_ANSWERED, 200, NULL, "v", false, STORE_NO_EFFECT,
	  STORE_REJECTED, 0 },
	{ STORE_GET, HTTP_ANSWERED, 200, "5x", "v", false, STORE_NO_EFFECT,
	  STORE_REJECTED, 0 },
	{ STORE_GET, HTTP_ANSWERED, 200, "5", "v", true, STORE_NO_EFFECT,
	  STORE_UNREACHABLE, 0 },
	{ STORE_GET, HTTP_ANSWERED, 404, "0", "", false, STORE_NO_EFFECT,
	  STORE_ABSENT, 0 },
	{ STORE_GET, HTTP_MAY_BE_SENT, 0, NULL, "", false, STORE_NO_EFFECT,
	  STORE_UNREACHABLE, 0 },
	{ STORE_GET, HTTP_ANSWERED, 500, NULL, "", false, STORE_NO_EFFECT,
	  STORE_UNREACHABLE, 0 },
	{ STORE_WATCH, HTTP_ANSWERED, 304, "5", "", false, STORE_NO_EFFECT,
	  STORE_NOT_NEWER, 5 },
	{ STORE_WATCH, HTTP_ANSWERED, 200, "6", "v", false, STORE_TOOK_EFFECT,
	  STORE_OK, 6 },
	{ STORE_PUT, HTTP_ANSWERED, 200, "6", "", false, STORE_TOOK_EFFECT,
	  STORE_OK, 6 },
	{ STORE_PUT, HTTP_ANSWERED, 200, "6", "", true, STORE_UNKNOWN,
	  STORE_UNREACHABLE, 0 },
	{ STORE_PUT, HTTP_ANSWERED, 412, "8", "", false, STORE_NO_EFFECT,
	  STORE_CONFLICT, 8 },
	{ STORE_PUT, HTTP_ANSWERED, 503, NULL, "", false, STORE_NO_EFFECT,
	  STORE_UNREACHABLE, 0 },
	{ STORE_PUT, HTTP_ANSWERED, 429, NULL, "", false, STORE_NO_EFFECT,
	  STORE_UNREACHABLE, 0 },
	{ STORE_PUT, HTTP_ANSWERED, 500, NULL, "", false, STORE_UNKNOWN,
	  STORE_UNREACHABLE, 0 },
	{ STORE_PUT, HTTP_ANSWERED, 504, NULL, "", false, STORE_UNKNOWN,
	  STORE_UNREACHABLE, 0 },
	{ STORE_PUT, HTTP_ANSWERED, 400, NULL, "", false, STORE_NO_EFFECT,
	  STORE_REJECTED, 0 },
	{ STORE_PUT, HTTP_NOT_SENT, 0, NULL, "", false, STORE_NO_EFFECT,
	  STORE_UNREACHABLE, 0 },
	{ STORE_PUT, HTTP_MAY_BE_SENT, 0, NULL, "", false, STORE_UNKNOWN,
	  STORE_UNREACHABLE, 0 },
	{ STORE_ACQUIRE, HTTP_ANSWERED, 200, NULL, "{\"token\":4}", false,
	  STORE_TOOK_EFFECT, STORE_OK, 4 },
	{ STORE_ACQUIRE, HTTP_ANSWERED, 200, NULL, "{}", false, STORE_UNKNOWN,
	  STORE_REJECTED, 0 },
	{ STORE_ACQUIRE, HTTP_ANSWERED, 409, NULL, "no JSON", false,
	  STORE_NO_EFFECT, STORE_HELD, 0 },
	{ STORE_RENEW, HTTP_ANSWERED, 200, NULL, "{\"token\":4}", false,
	  STORE_TOOK_EFFECT, STORE_OK, 4 },
	{ STORE_RENEW, HTTP_ANSWERED, 409, NULL, "{}", false, STORE_NO_EFFECT,
	  STORE_HELD, 0 },
	{ STORE_RENEW, HTTP_MAY_BE_SENT, 0, NULL, "", false, STORE_UNKNOWN,
	  STORE_UNREACHABLE, 0 },
	{ STORE_RELEASE, HTTP_ANSWERED, 200, NULL, "", false, STORE_TOOK_EFFECT,
	  STORE_OK, 0 },
};

Test(store_http, each_end_of_an_exchange_has_its_outcome)
{
	size_t i;

	for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		const struct answer_case *row = &answers[i];
		struct store_request request = { .kind = row->kind };
		struct http_header header = { "revision", row->revision };
		struct error err = ERROR_INIT;
		struct http_answer answer = {
			.delivery = row->delivery,
			.status = (unsigned int)row->status,
			.headers = &header,
			.header_count = row->revision ? 1 : 0,
			.body = (const uint8_t *)row->body,
			.body_size = strlen(row->body),
			.delimited = !row->cut,
			.err = &err,
		};
		struct store_result result;

		if (row->delivery != HTTP_ANSWERED)
			error_set(&err, ERROR_IO, "reset");
		store_http_decode(&result, &request, &answer);
		cr_expect_eq(result.outcome, row->outcome, "row %zu", i);
		cr_expect_eq(result.reason, row->reason, "row %zu: %s", i,
			     store_reason_name(result.reason));
		cr_expect_eq(result.token + result.revision, row->wanted,
			     "row %zu", i);
		cr_expect_eq(error_is_set(&result.err),
			     row->outcome != STORE_TOOK_EFFECT, "row %zu", i);
	}
}

Test(store_http, a_held_lease_names_its_holder)
{
	static const char body[] = "{\"holder\":\"n7\",\"remaining_ms\":812}";
	struct store_request request = { .kind = STORE_ACQUIRE };
	struct http_answer answer = {
		.delivery = HTTP_ANSWERED,
		.status = 409,
		.body = (const uint8_t *)body,
		.body_size = strlen(body),
		.delimited = true,
	};
	struct store_result result;

	store_http_decode(&result, &request, &answer);
	cr_assert_str_eq(result.holder, "n7");
	cr_assert_eq(result.remaining_ms, 812);
}
