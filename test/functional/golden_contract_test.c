#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "golden_session.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { ANSWER_SIZE = 8192, TURN_US = 2000, TIMEOUT_MS = 20000 };

#define PROFILE                                                                \
	"services = [\"cellar-view\"]\n[kind.today]\n[[route]]\n"              \
	"path = \"/\"\nkind = \"today\"\n"

static struct session session;
static unsigned int last_status;
static char last_body[ANSWER_SIZE];
static bool answered;

static void setup(void)
{
	session_init(&session);
}

static void teardown(void)
{
	session_finish(&session);
}

static void store_answer(const struct http_answer *answer, void *data)
{
	answered = true;
	last_status = answer->status;
	snprintf(last_body, sizeof(last_body), "%.*s", (int)answer->body_size,
		 (const char *)answer->body);
}

static struct http_transfer *send_request(const char *method, const char *path,
					  const char *type, const char *body,
					  size_t size)
{
	const struct http_header header = { "Content-Type", type };
	char url[1024];
	struct http_request request = {
		.method = method,
		.url = url,
		.headers = &header,
		.header_count = type ? 1 : 0,
		.body = body,
		.body_size = size,
		.timeout_ms = TIMEOUT_MS,
		.max_answer_bytes = ANSWER_SIZE * 16,
		.new_connection = true,
	};

	snprintf(url, sizeof(url), "http://%s%s", session.node, path);
	answered = false;
	return http_client_send(&session.client, &request, store_answer, NULL);
}

static void request_and_wait(const char *method, const char *path,
			     const char *type, const char *body, size_t size)
{
	send_request(method, path, type, body, size);
	while (!answered)
		loop_turn(&session.loop, TURN_US);
}

/* The order of the cases matters: later cases use what earlier cases stored. */
Test(contract, profiles_over_http, .init = setup, .fini = teardown,
     .timeout = 60)
{
	static const char json[] = "application/json";
	static const char toml[] = "application/toml";
	static const struct {
		const char *method;
		const char *path;
		const char *type;
		const char *body;
		unsigned int status;
		const char *text;
	} cases[] = {
		{ "GET", "/v1/profiles", NULL, NULL, 200, "\"version\":0" },
		{ "GET", "/v1/profiles/cellar", NULL, NULL, 404, "not-found" },
		{ "GET", "/v1/profiles/CELLAR", NULL, NULL, 400, "lower-case" },
		{ "GET", "/v1/profiles/a%2e%2e%2fb", NULL, NULL, 404, "" },
		{ "GET", "/v1/profiles/cellar?version=x", NULL, NULL, 400,
		  "version must be a whole number" },
		{ "GET", "/v1/profiles/cellar?version=-1", NULL, NULL, 400,
		  "version must be a whole number" },
		{ "GET", "/v1/profiles/cellar?version=99999999999999999999",
		  NULL, NULL, 400, "version must be a whole number" },
		{ "GET", "/v1/profiles/cellar/draft?author=%ff", NULL, NULL,
		  400, "author must be UTF-8" },
		{ "GET", "/v1/history?limit=0x10", NULL, NULL, 400,
		  "limit must be" },
		{ "PUT", "/v1/profiles/cellar/draft", toml, "a = = 1", 422,
		  "\"line\":1" },
		{ "PUT", "/v1/profiles/cellar/draft", toml, "\xff\xfe", 422,
		  "\"faults\"" },
		{ "PUT", "/v1/profiles/cellar/draft", toml, "", 422,
		  "services is missing" },
		{ "PUT", "/v1/profiles/cellar/draft", toml, PROFILE, 200,
		  "\"outcome\":\"done\"" },
		{ "POST", "/v1/accept", json, "", 400, "bad_json" },
		{ "POST", "/v1/accept", json, "[]", 400, "must be an object" },
		{ "POST", "/v1/accept", json, "{\"id\":\"a\"", 400, "line 1" },
		{ "POST", "/v1/accept", json, "{\"id\":\"\xff\"}", 400,
		  "bad_json" },
		{ "POST", "/v1/accept", json, "{\"id\":\"a\",\"id\":\"b\"}",
		  400, "duplicate" },
		{ "POST", "/v1/accept", json, "{\"ids\":\"a\"}", 400,
		  "unknown member \\\"ids\\\"" },
		{ "POST", "/v1/accept", json, "{\"id\":3}", 400,
		  "\\\"id\\\" must be a text" },
		{ "POST", "/v1/accept", json, "{\"id\":\"a\\u0000b\"}", 400,
		  "" },
		{ "POST", "/v1/accept", json, "{}", 400, "id is missing" },
		{ "POST", "/v1/accept", json, "{\"id\":\"a b\"}", 400,
		  "letters, digits" },
		{ "POST", "/v1/accept", json,
		  "{\"id\":\"a\",\"expected_version\":-1}", 400,
		  "must be a whole number" },
		{ "POST", "/v1/accept", json,
		  "{\"id\":\"a\",\"expected_version\":1.5}", 400,
		  "must be a whole number" },
		{ "POST", "/v1/accept", json,
		  "{\"id\":\"a\",\"expected_version\":7}", 409,
		  "\"outcome\":\"conflict\"" },
		{ "POST", "/v1/profiles/other/accept", json, "{\"id\":\"b\"}",
		  404, "\"outcome\":\"not-found\"" },
		{ "POST", "/v1/profiles/cellar/accept", json, "{\"id\":\"c\"}",
		  200, "\"version\":1" },
		{ "POST", "/v1/profiles/cellar/accept", json, "{\"id\":\"c\"}",
		  200, "\"version\":1" },
		{ "GET", "/v1/profiles/cellar", NULL, NULL, 200, "kind.today" },
		{ "POST", "/v1/profiles/cellar/revert", json, "{\"id\":\"d\"}",
		  400, "version is missing" },
		{ "POST", "/v1/profiles/cellar/remove", json, "{}", 200,
		  "done" },
		{ "DELETE", "/v1/profiles/cellar/draft", NULL, NULL, 200,
		  "done" },
		{ "DELETE", "/v1/profiles/cellar/draft", NULL, NULL, 404, "" },
		{ "GET", "/v1/profiles/cellar/diff", NULL, NULL, 404, "" },
		{ "GET", "/v1/profiles/cellar/history?limit=5", NULL, NULL, 200,
		  "\"id\":\"c\"" },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		request_and_wait(cases[i].method, cases[i].path, cases[i].type,
				 cases[i].body,
				 cases[i].body ? strlen(cases[i].body) : 0);
		cr_assert_eq(last_status, cases[i].status,
			     "case %zu, %s %s: %u %s", i, cases[i].method,
			     cases[i].path, last_status, last_body);
		cr_assert_not_null(strstr(last_body, cases[i].text),
				   "case %zu: %s", i, last_body);
	}
}

/* Guards against a lost 413 answer: if the server closes with unread bytes, the
 * kernel resets the connection and the caller discards the answer. */
Test(contract, a_body_over_the_limit_is_refused, .init = setup,
     .fini = teardown, .timeout = 60)
{
	size_t size = OPERATOR_BODY_MAX_BYTES + 1;
	char *body = malloc(size);

	memset(body, '#', size);
	request_and_wait("PUT", "/v1/profiles/cellar/draft", "application/toml",
			 body, size);
	cr_assert_eq(last_status, 413, "%u %s", last_status, last_body);
	cr_assert_not_null(strstr(last_body, "too-large"), "%s", last_body);
	free(body);
}

/* Guards against a revert to a version that does not exist and is reported as
 * done, because the newest change at or before it belongs to version 1. */
Test(contract, a_version_that_never_existed_is_not_found, .init = setup,
     .fini = teardown, .timeout = 60)
{
	static const char accept[] = "{\"id\":\"c\"}";
	static const char revert[] = "{\"id\":\"d\",\"version\":9}";

	request_and_wait("PUT", "/v1/profiles/cellar/draft", "application/toml",
			 PROFILE, strlen(PROFILE));
	request_and_wait("POST", "/v1/accept", "application/json", accept,
			 strlen(accept));
	cr_assert_eq(last_status, 200, "%s", last_body);
	request_and_wait("GET", "/v1/profiles/cellar?version=9", NULL, NULL, 0);
	cr_expect_eq(last_status, 404, "%u %s", last_status, last_body);
	request_and_wait("POST", "/v1/profiles/cellar/revert",
			 "application/json", revert, strlen(revert));
	cr_expect_eq(last_status, 404, "%u %s", last_status, last_body);
}

/* Guards against an incomplete acceptance: it consists of several writes, and
 * the operator may disconnect between them. */
Test(contract, a_caller_that_disconnects_does_not_stop_an_acceptance,
     .init = setup, .fini = teardown, .timeout = 60)
{
	static const char accept[] = "{\"id\":\"gone\"}";
	struct http_transfer *transfer;
	int i;

	request_and_wait("PUT", "/v1/profiles/cellar/draft", "application/toml",
			 PROFILE, strlen(PROFILE));
	cr_assert_eq(last_status, 200);
	session_faults(&session, "{\"slow_ms\":100}");
	transfer = send_request("POST", "/v1/accept", "application/json",
				accept, strlen(accept));
	for (i = 0; i < 1000 && !session.server.tasks; i++)
		loop_turn(&session.loop, TURN_US);
	cr_assert_not_null(session.server.tasks);
	http_client_cancel(transfer);
	for (i = 0; i < 5000 && session.editor.task_count; i++)
		loop_turn(&session.loop, TURN_US);
	cr_assert_null(session.server.tasks);
	session_faults(&session, "{\"slow_ms\":0}");
	request_and_wait("GET", "/v1/history", NULL, NULL, 0);
	cr_assert_not_null(strstr(last_body, "\"id\":\"gone\""), "%s",
			   last_body);
}

/* Guards against a leak, or the use of freed memory, when the server is freed
 * while a command is in progress. */
Test(contract, the_server_is_freed_with_commands_in_progress, .init = setup,
     .fini = teardown, .timeout = 60)
{
	struct http_transfer *transfer;
	int i;

	session_faults(&session, "{\"slow_ms\":200}");
	transfer = send_request("GET", "/v1/profiles", NULL, NULL, 0);
	for (i = 0; i < 1000 && !session.server.tasks; i++)
		loop_turn(&session.loop, TURN_US);
	cr_assert_not_null(session.server.tasks);
	http_client_cancel(transfer);
}
