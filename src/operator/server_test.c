#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "http/client.h"
#include "operator/server.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { TURNS_MAX = 400, TURN_US = 5000, ANSWER_SIZE = 4096 };

static struct loop loop;
static struct operator_server server;
static struct http_client client;
static enum health_state check_state;
static bool answered;
static unsigned int last_status;
static char last_body[ANSWER_SIZE];

static json_t *dump_limits(void *data)
{
	return json_pack("{s:i}", "slots", 9);
}

static json_t *dump_nothing(void *data)
{
	return NULL;
}

static void check_platform(struct health_finding *finding, void *data)
{
	if (check_state != HEALTH_OK)
		health_set(finding, check_state, "the platform is not in reach",
			   "look at it");
}

static void fill_status(struct operator_status *status, void *data)
{
	snprintf(status->data_centre, NAME_SIZE, "dc1");
	status->version = 7;
}

static struct wire_filter last_filter;

static void record_filter(const struct wire_filter *filter, void *data)
{
	last_filter = *filter;
}

static void start(const char *token)
{
	struct operator_options options = {
		.token = token,
		.instance = "node-1",
	};
	struct error err = ERROR_INIT;

	apr_initialize();
	address_parse("127.0.0.1:0", &options.address, &err);
	cr_assert(loop_init(&loop, &err));
	cr_assert(operator_server_init(&server, &loop, &options, &err));
	cr_assert(http_client_init(&client, &loop, &err));
	operator_add_section(&server, "limits", dump_limits, NULL);
	operator_add_section(&server, "empty", dump_nothing, NULL);
	operator_add_check(&server, "platform", check_platform, NULL);
	operator_set_status(&server, fill_status, NULL);
}

static void setup(void)
{
	start(NULL);
}

static void setup_with_token(void)
{
	start("the token");
}

static void teardown(void)
{
	http_client_finish(&client);
	operator_server_finish(&server);
	loop_finish(&loop);
}

static void on_answer(const struct http_answer *answer, void *data)
{
	answered = true;
	last_status = answer->status;
	snprintf(last_body, sizeof(last_body), "%.*s", (int)answer->body_size,
		 (const char *)answer->body);
}

struct request {
	const char *method;
	const char *path;
	const char *type;
	const char *token;
	const char *body;
};

static void request(const struct request *request)
{
	char address[ADDRESS_TEXT_SIZE];
	char url[512];
	struct http_header headers[2];
	struct http_request http = {
		.method = request->method,
		.url = url,
		.headers = headers,
		.body = request->body,
		.body_size = request->body ? strlen(request->body) : 0,
		.timeout_ms = 5000,
		.max_answer_bytes = ANSWER_SIZE * 16,
		.new_connection = true,
	};
	int i;

	if (request->type)
		headers[http.header_count++] =
			(struct http_header){ "Content-Type", request->type };
	if (request->token)
		headers[http.header_count++] =
			(struct http_header){ "Authorization", request->token };
	snprintf(url, sizeof(url), "http://%s%s",
		 address_format(operator_server_address(&server), address),
		 request->path);
	answered = false;
	http_client_send(&client, &http, on_answer, NULL);
	for (i = 0; i < TURNS_MAX && !answered; i++)
		loop_turn(&loop, TURN_US);
	cr_assert(answered, "%s %s", request->method, request->path);
}

Test(operator_server, paths_methods_and_bodies_are_checked, .init = setup,
     .fini = teardown)
{
	static const struct {
		struct request request;
		unsigned int status;
		const char *text;
	} cases[] = {
		{ { "GET", "/v1/status", NULL, NULL, NULL },
		  200,
		  "\"version\":7" },
		{ { "GET", "/v1/health", NULL, NULL, NULL },
		  200,
		  "\"state\":\"ok\"" },
		{ { "GET", "/v1/dump", NULL, NULL, NULL }, 200, "\"slots\":9" },
		{ { "GET", "/v1/dump", NULL, NULL, NULL },
		  200,
		  "cannot be written as JSON" },
		{ { "GET", "/v1/dump/limits", NULL, NULL, NULL },
		  200,
		  "{\"limits\":" },
		{ { "GET", "/v1/dump/limit", NULL, NULL, NULL },
		  404,
		  "limits empty" },
		{ { "GET", "/v1/dump/a/b", NULL, NULL, NULL },
		  404,
		  "no such path" },
		{ { "GET", "/v1/dump/", NULL, NULL, NULL },
		  404,
		  "no such path" },
		{ { "GET", "/v1/counters", NULL, NULL, NULL },
		  200,
		  "operator.requests" },
		{ { "GET", "/", NULL, NULL, NULL }, 404, "no such path" },
		{ { "GET", "/v1", NULL, NULL, NULL }, 404, "no such path" },
		{ { "GET", "/v2/status", NULL, NULL, NULL },
		  404,
		  "no such path" },
		{ { "GET", "/v1/statu", NULL, NULL, NULL },
		  404,
		  "no such path" },
		{ { "GET", "/v1/statuss", NULL, NULL, NULL },
		  404,
		  "no such path" },
		{ { "GET", "/v1/status/x", NULL, NULL, NULL },
		  404,
		  "no such path" },
		{ { "GET", "/v1/draft", NULL, NULL, NULL },
		  404,
		  "no such path" },
		{ { "GET", "/v1/dump/%ff%fe", NULL, NULL, NULL },
		  400,
		  "not UTF-8" },
		{ { "GET", "/v1/status%00/x", NULL, NULL, NULL },
		  400,
		  "not UTF-8" },
		{ { "POST", "/v1/status", NULL, NULL, NULL }, 405, "takes GET" },
		{ { "PATCH", "/v1/profiles/a/draft", NULL, NULL, NULL },
		  405,
		  "GET, PUT, DELETE" },
		{ { "HEAD2", "/v1/status", NULL, NULL, NULL },
		  501,
		  "bad-method" },
		{ { "GET", "/v1/accept", NULL, NULL, NULL }, 405, "takes POST" },
		{ { "GET", "/v1/status", NULL, NULL, "x" },
		  400,
		  "takes no body" },
		{ { "POST", "/v1/accept", NULL, NULL, "{}" },
		  415,
		  "application/json" },
		{ { "POST", "/v1/accept", "text/plain", NULL, "{}" },
		  415,
		  "application/json" },
		{ { "POST", "/v1/accept", "application/json", NULL, "{}" },
		  503,
		  "no platform" },
		{ { "GET", "/v1/profiles", NULL, NULL, NULL },
		  503,
		  "no platform" },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		request(&cases[i].request);
		cr_assert_eq(last_status, cases[i].status, "case %zu: %u %s", i,
			     last_status, last_body);
		cr_assert_not_null(strstr(last_body, cases[i].text),
				   "case %zu: %s", i, last_body);
	}
}

/*
 * Guards against a stranger on the network who accepts a configuration: a
 * change without the token, or with a prefix or an extension of the token, is
 * refused.
 */
Test(operator_server, changes_need_the_token_and_reading_does_not,
     .init = setup_with_token, .fini = teardown)
{
	static const struct {
		struct request request;
		unsigned int status;
	} cases[] = {
		{ { "GET", "/v1/status", NULL, NULL, NULL }, 200 },
		{ { "POST", "/v1/accept", "application/json", NULL, "{}" },
		  401 },
		{ { "POST", "/v1/accept", "application/json", "Bearer the toke",
		    "{}" },
		  401 },
		{ { "POST", "/v1/accept", "application/json",
		    "Bearer the token2", "{}" },
		  401 },
		{ { "POST", "/v1/accept", "application/json", "the token",
		    "{}" },
		  401 },
		{ { "DELETE", "/v1/profiles/a/draft?author=x", NULL, NULL,
		    NULL },
		  401 },
		{ { "POST", "/v1/accept", "application/json",
		    "Bearer the token", "{}" },
		  503 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		request(&cases[i].request);
		cr_assert_eq(last_status, cases[i].status, "case %zu: %u %s", i,
			     last_status, last_body);
	}
}

Test(operator_server, health_reports_the_worst_finding, .init = setup,
     .fini = teardown)
{
	static const struct {
		enum health_state state;
		unsigned int status;
		const char *text;
	} cases[] = {
		{ HEALTH_OK, 200, "\"state\":\"ok\"" },
		{ HEALTH_WARN, 200, "\"state\":\"warn\"" },
		{ HEALTH_BAD, 503, "\"todo\":\"look at it\"" },
	};
	const struct request health = { "GET", "/v1/health", NULL, NULL, NULL };
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		check_state = cases[i].state;
		request(&health);
		cr_assert_eq(last_status, cases[i].status);
		cr_assert_not_null(strstr(last_body, cases[i].text), "%s",
				   last_body);
	}
}

Test(operator_server, metrics_are_in_prometheus_text_format, .init = setup,
     .fini = teardown)
{
	const struct request metrics = { "GET", "/v1/metrics", NULL, NULL,
					 NULL };

	request(&metrics);
	cr_assert_eq(last_status, 200);
	cr_assert_not_null(strstr(last_body, "# HELP geraniumplank_"), "%s",
			   last_body);
}

Test(operator_server, a_drill_is_applied_entirely_or_not_at_all, .init = setup,
     .fini = teardown)
{
	static const struct {
		const char *body;
		const char *text;
		unsigned int status;
		uint32_t networks; /* number blocked afterwards */
	} cases[] = {
		{ "{\"networks\":[\"10.2.0.0/16\"]}", "10.2.0.0/16", 200, 1 },
		{ "{\"networks\":[\"10.3.0.0/16\",\"x\"]}", "", 400, 1 },
		{ "{\"networks\":[3]}", "must be a text", 400, 1 },
		{ "{\"networks\":[],\"a\":1}", "the body must be", 400, 1 },
		{ "[]", "the body must be", 400, 1 },
		{ "{\"networks\":[\"\xff\"]}", "the body must be", 400, 1 },
		{ "", "the body must be", 400, 1 },
		{ "{\"networks\":[]}", "[]", 200, 0 },
	};
	struct request drill = { "PUT", "/v1/drill", NULL, NULL, "{}" };
	const struct request health = { "GET", "/v1/health", NULL, NULL, NULL };
	size_t i;

	request(&drill);
	cr_assert_eq(last_status, 404);
	operator_set_drill(&server, record_filter, NULL);
	for (i = 0; i < COUNT(cases); i++) {
		drill.body = cases[i].body;
		request(&drill);
		cr_assert_eq(last_status, cases[i].status, "case %zu: %u %s", i,
			     last_status, last_body);
		cr_assert_not_null(strstr(last_body, cases[i].text));
		cr_assert_eq(last_filter.count, cases[i].networks);
		request(&health);
		cr_assert_eq(!strstr(last_body, "a drill cuts"),
			     !cases[i].networks);
	}
}
