#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call/path_test.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const char long_value[] =
	"0123456789012345678901234567890123456789012345678901234567890123456789";

/* What callers send, and what they are told. */
static const struct {
	const char *name;
	const char *method;
	const char *path;
	struct http_header header;
	size_t body_size;
	unsigned int status;
	const char *verdict;
	const char *reason;
} cases[] = {
	{ "known", "POST", "/seal", { "X-Any", "1" }, 0, 200, "ran", "" },
	{ "unknown method",
	  "TRACE",
	  "/seal",
	  { "X-Any", "1" },
	  0,
	  501,
	  "not-run",
	  "bad-method" },
	{ "odd method",
	  "SEAL",
	  "/seal",
	  { "X-Any", "1" },
	  0,
	  501,
	  "not-run",
	  "bad-method" },
	{ "no route",
	  "POST",
	  "/nothing",
	  { "X-Any", "1" },
	  0,
	  404,
	  "not-run",
	  "no-route" },
	{ "no such service",
	  "POST",
	  "/seal",
	  { HEADER_SERVICE, "other" },
	  0,
	  404,
	  "not-run",
	  "no-route" },
	{ "service by header",
	  "POST",
	  "/seal",
	  { HEADER_SERVICE, "seal-desk" },
	  0,
	  200,
	  "ran",
	  "" },
	{ "deadline of text",
	  "POST",
	  "/seal",
	  { HEADER_DEADLINE, "soon" },
	  0,
	  400,
	  "not-run",
	  "bad-request" },
	{ "deadline negative",
	  "POST",
	  "/seal",
	  { HEADER_DEADLINE, "-1" },
	  0,
	  400,
	  "not-run",
	  "bad-request" },
	{ "deadline over",
	  "POST",
	  "/seal",
	  { HEADER_DEADLINE, "0" },
	  0,
	  504,
	  "not-run",
	  "deadline" },
	{ "weight not a number",
	  "POST",
	  "/seal",
	  { HEADER_WEIGHT, "nan" },
	  0,
	  400,
	  "not-run",
	  "bad-request" },
	{ "weight too large",
	  "POST",
	  "/seal",
	  { HEADER_WEIGHT, "1e9" },
	  0,
	  400,
	  "not-run",
	  "bad-request" },
	{ "attempts too many",
	  "POST",
	  "/seal",
	  { HEADER_ATTEMPTS, "99" },
	  0,
	  400,
	  "not-run",
	  "bad-request" },
	{ "deep chain",
	  "POST",
	  "/seal",
	  { HEADER_HOPS, "15" },
	  0,
	  200,
	  "ran",
	  "" },
	{ "chain too deep",
	  "POST",
	  "/seal",
	  { HEADER_HOPS, "16" },
	  0,
	  508,
	  "not-run",
	  "hops" },
	{ "tenant too long",
	  "POST",
	  "/seal",
	  { HEADER_TENANT, long_value },
	  0,
	  400,
	  "not-run",
	  "bad-request" },
	{ "tenant not ASCII",
	  "POST",
	  "/seal",
	  { HEADER_TENANT, "\xff" },
	  0,
	  400,
	  "not-run",
	  "bad-request" },
	{ "value not UTF-8",
	  "POST",
	  "/seal",
	  { "X-Any", "a\xff\xfe" },
	  0,
	  200,
	  "ran",
	  "" },
	{ "body at the limit",
	  "PUT",
	  "/seal",
	  { "X-Any", "1" },
	  1024 * 1024,
	  200,
	  "ran",
	  "" },
	{ "body too large for the node",
	  "PUT",
	  "/seal",
	  { "X-Any", "1" },
	  1024 * 1024 + 1,
	  503,
	  "not-run",
	  "overload" },
	{ "body too large for anybody",
	  "PUT",
	  "/seal",
	  { "X-Any", "1" },
	  PATH_BODY_SIZE + 1,
	  413,
	  "not-run",
	  "too-large" },
};

Test(request, each_is_answered_or_refused_with_its_reason)
{
	size_t i;

	path_setup();
	for (i = 0; i < COUNT(cases); i++) {
		const struct path_request request = {
			.method = cases[i].method,
			.path = cases[i].path,
			.headers = &cases[i].header,
			.header_count = 1,
			.body_size = cases[i].body_size,
		};
		uint32_t ran = path.upstream.ran;
		struct path_result *result = path_send(&request);

		path_wait(&result->answers, 1, cases[i].name);
		cr_expect_eq(result->status, cases[i].status, "%s: %u",
			     cases[i].name, result->status);
		cr_expect_str_eq(result->verdict, cases[i].verdict, "%s: %s",
				 cases[i].name, result->verdict);
		cr_expect_str_eq(result->reason, cases[i].reason, "%s: %s",
				 cases[i].name, result->reason);
		cr_expect_eq(path.upstream.ran - ran,
			     !strcmp(cases[i].verdict, "ran"), "%s",
			     cases[i].name);
	}
	path_teardown();
}

static bool saw(const char *line)
{
	if (strstr(path.upstream.seen, line))
		return true;
	fprintf(stderr, "not in:\n%s\n", path.upstream.seen);
	return false;
}

/* What the upstream was told to have left; -1 if nothing. */
static long told_deadline_ms(void)
{
	static const char name[] = "Geraniumplank-Deadline-Ms: ";
	const char *at = strstr(path.upstream.seen, name);

	return at ? strtol(at + strlen(name), NULL, 10) : -1;
}

/*
 * Symptom: look-ups that a publican's request is made of are refused first.
 * Sequence: an upstream calls on with the headers that it was handed.
 * Cause: weight, tenant, deadline, tries or depth lost on the way.
 */
Test(request, terms_are_inherited_down_the_chain)
{
	const struct http_header headers[] = {
		{ HEADER_WEIGHT, "7.5" },    { HEADER_TENANT, "pub-12" },
		{ HEADER_DEADLINE, "4000" }, { HEADER_HOPS, "3" },
		{ HEADER_ATTEMPTS, "1" },    { HEADER_REQUEST_ID, "r-1" },
		{ "X-Own", "kept" },	     { "Connection", "X-Mine" },
		{ "X-Mine", "of this hop" },
	};
	const struct path_request request = { .method = "GET",
					      .path = "/view",
					      .headers = headers,
					      .header_count = COUNT(headers) };
	struct path_result *result;

	path_setup();
	result = path_send(&request);
	path_wait(&result->answers, 1, "inherited");
	cr_expect_eq(result->status, 200);
	cr_expect(saw("Geraniumplank-Weight: 7.5\r\n"));
	cr_expect(saw("Geraniumplank-Tenant: pub-12\r\n"));
	cr_expect_leq(told_deadline_ms(), 4000);
	cr_expect_geq(told_deadline_ms(), 3000);
	cr_expect(saw("Geraniumplank-Hops: 4\r\n"));
	cr_expect(saw("Geraniumplank-Attempts: 1\r\n"));
	cr_expect(saw("Geraniumplank-Request-Id: r-1\r\n"));
	cr_expect(saw("Geraniumplank-Kind: view\r\n"));
	cr_expect(saw("X-Own: kept\r\n"));
	cr_expect(saw("Host: seal-desk\r\n"));
	cr_expect_null(strstr(path.upstream.seen, "X-Mine"));
	path_teardown();
}

/*
 * Symptom: an upstream is listed that is not there, or serves under a name
 * that breaks a log or a header.
 * Sequence: an upstream announces itself wrongly, or stops doing so.
 * Cause: members taken unchecked; no end to an announcement.
 */
Test(announce, malformed_ones_are_refused_by_member)
{
	static const struct {
		const char *text;
		const char *fault; /* part of the error, NULL if it is right */
	} texts[] = {
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"127.0.0.1:80\",\"slots\":9,\"state\":\"serving\"}",
		  NULL },
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"127.0.0.1:80\",\"slots\":9,\"state\":\"leaving\","
		  "\"load\":0.5}",
		  NULL },
		{ "", "JSON" },
		{ "[]", "JSON" },
		{ "{\"service\":\"s\",\"service\":\"s\"}", "JSON" },
		{ "{\"services\":\"s\"}", "services" },
		{ "{}", "service" },
		{ "{\"service\":\"\"}", "service" },
		{ "{\"service\":\"a b\"}", "service" },
		{ "{\"service\":\"s\",\"profile\":7}", "profile" },
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"localhost:80\"}",
		  "address" },
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"127.0.0.1:0\"}",
		  "address" },
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"127.0.0.1:80\",\"slots\":0}",
		  "slots" },
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"127.0.0.1:80\",\"slots\":1.5}",
		  "slots" },
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"127.0.0.1:80\",\"slots\":9,\"state\":\"gone\"}",
		  "state" },
		{ "{\"service\":\"s\",\"profile\":\"p\",\"address\":"
		  "\"127.0.0.1:80\",\"slots\":9,\"state\":\"serving\","
		  "\"load\":-1}",
		  "load" },
	};
	size_t i;

	for (i = 0; i < COUNT(texts); i++) {
		struct announcement announcement;
		struct error err = ERROR_INIT;
		bool valid = announce_parse(texts[i].text,
					    strlen(texts[i].text),
					    &announcement, &err);

		cr_expect_eq(valid, !texts[i].fault, "%s: %s", texts[i].text,
			     err.text);
		if (texts[i].fault)
			cr_expect_not_null(strstr(err.text, texts[i].fault),
					   "%s: %s", texts[i].text, err.text);
	}
}

static uint32_t changes;
static uint32_t losses;

static void changed(const struct announcement *now, void *data)
{
	changes++;
	losses += !now;
}

static void announce_done(const struct http_answer *answer, void *data)
{
	*(unsigned int *)data = answer->status;
}

static void announce_once(const struct http_server *server, const char *method,
			  const char *body, unsigned int wanted)
{
	char address[ADDRESS_TEXT_SIZE];
	char url[ADDRESS_TEXT_SIZE + 32];
	const struct http_request request = {
		.method = method,
		.url = url,
		.body = body,
		.body_size = strlen(body),
		.max_answer_bytes = 4096,
	};
	unsigned int status = 0;

	snprintf(url, sizeof(url), "http://%s/v1/upstream",
		 address_format(http_server_address(server), address));
	http_client_send(&path.client, &request, announce_done, &status);
	path_wait(&status, 1, method);
	cr_expect_eq(status, wanted, "%s %s: %u", method, body, status);
}

Test(announce, one_that_is_not_renewed_ends)
{
	static const char text[] = "{\"service\":\"s\",\"profile\":\"p\","
				   "\"address\":\"127.0.0.1:80\",\"slots\":9,"
				   "\"state\":\"serving\"}";
	struct announce announce;
	struct announce_options options = { .loop = &path.loop,
					    .ttl_ms = 600000,
					    .changed = changed };
	struct http_server_options serve = { .max_body_bytes = 4096,
					     .max_connections = 10,
					     .idle_timeout_ms = 60000,
					     .handler = announce_handle,
					     .data = &announce };
	struct http_server server;
	struct error err = ERROR_INIT;

	path_setup();
	announce_init(&announce, &options);
	address_parse("127.0.0.1:0", &serve.address, &err);
	cr_assert(http_server_init(&server, &path.loop, &serve, &err));
	announce_once(&server, "PUT", text, 200);
	announce_once(&server, "PUT", text, 200);
	cr_expect_eq(changes, 1);
	cr_expect_not_null(announce_current(&announce));
	announce_once(&server, "PUT", "{}", 400);
	cr_expect_eq(changes, 1);
	announce.options.ttl_ms = 20;
	announce_once(&server, "PUT", text, 200);
	path_wait(&losses, 1, "not renewed");
	cr_expect_null(announce_current(&announce));
	announce.options.ttl_ms = 600000;
	announce_once(&server, "PUT", text, 200);
	announce_once(&server, "DELETE", "", 204);
	cr_expect_eq(losses, 2);
	announce_once(&server, "POST", "", 405);
	http_server_finish(&server);
	announce_finish(&announce);
	path_teardown();
}

/*
 * Symptom: a node takes more and more until the kernel kills it.
 * Sequence: callers send faster than upstreams answer.
 * Cause: no bound on what is in progress.
 */
Test(request, calls_in_progress_are_bounded)
{
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one" };
	struct path_result *first;
	struct path_result *second;

	path_setup();
	path.upstream.first = BEHAVE_HOLD;
	path.a.calls.caller.options.calls_max = 1;
	first = path_send(&request);
	path_wait(&path.upstream.ran, 1, "runs");
	second = path_send(&request);
	path_wait(&second->answers, 1, "refused");
	cr_expect_eq(second->status, 503);
	cr_expect_str_eq(second->verdict, "not-run");
	cr_expect_str_eq(second->reason, "overload");
	path_release("one");
	path_wait(&first->answers, 1, "answered");
	cr_expect_eq(first->status, 200);
	path_teardown();
}
