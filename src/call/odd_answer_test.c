#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "call/path_test.h"

/* Answers of an upstream with many or long header fields, on the way to the
 * caller. */

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { SCRIPT_SIZE = 128 * 1024, NODE_FIELDS_MAX = 8 };

struct shape {
	const char *name;
	uint32_t fields;
	uint32_t value_bytes;
	uint32_t trailers;
	unsigned int status; /* that the caller gets */
};

static const struct shape shapes[] = {
	{ "as many fields as a frame of earlier versions", 64, 4, 0, 200 },
	{ "one field more", 65, 4, 0, 200 },
	{ "many fields", 110, 4, 0, 200 },
	{ "more fields than the limit", 129, 4, 0, 502 },
	{ "empty fields", 70, 0, 0, 200 },
	{ "a long field", 1, 17000, 0, 200 },
	{ "a very long field", 1, 60000, 0, 200 },
	{ "a field over the limit", 1, 66000, 0, 502 },
	{ "fields over the limit together", 10, 7000, 0, 502 },
	{ "trailers", 1, 4, 70, 200 },
	{ "more trailers than the limit", 1, 4, 129, 502 },
};

static char script[SCRIPT_SIZE];

static void append(const char *text)
{
	size_t used = strlen(script);

	snprintf(script + used, SCRIPT_SIZE - used, "%s", text);
}

static void append_fields(const char *name, uint32_t count,
			  uint32_t value_bytes)
{
	size_t used = strlen(script);
	uint32_t i;

	for (i = 0; i < count; i++) {
		used += (size_t)snprintf(script + used, SCRIPT_SIZE - used,
					 "%s-%u: ", name, i);
		memset(script + used, 'v', value_bytes);
		used += value_bytes;
		used += (size_t)snprintf(script + used, SCRIPT_SIZE - used,
					 "\r\n");
	}
}

static void write_script(const struct shape *shape)
{
	script[0] = '\0';
	append("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n");
	append_fields("X-Field", shape->fields - 1, shape->value_bytes);
	append_fields("X-Last", 1, shape->value_bytes);
	append("\r\n2\r\nok\r\n0\r\n");
	append_fields("X-Trailer", shape->trailers, 4);
	append("\r\n");
	path.upstream.script = script;
	path.upstream.script_size = strlen(script);
}

static struct path_result *send_seal(const char *id)
{
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = id };

	return path_send(&request);
}

/* Plays an odd answer while another request runs on the same link. */
static void play(const struct shape *shape, bool own)
{
	struct path_result *held;
	struct path_result *odd;
	uint32_t ran;

	path_setup();
	if (own)
		path_route_to_own();
	write_script(shape);
	path.upstream.first = BEHAVE_HOLD;
	path.upstream.then = BEHAVE_SCRIPT;
	held = send_seal("held");
	path_wait(&path.upstream.ran, 1, shape->name);
	odd = send_seal("odd");
	path_wait(&odd->answers, 1, shape->name);
	cr_expect_eq(odd->status, shape->status, "%s: %u %s", shape->name,
		     odd->status, odd->reason);
	if (shape->status == 200) {
		cr_expect_str_eq(odd->body, "ok", "%s", shape->name);
		cr_expect_geq(odd->header_count, shape->fields, "%s",
			      shape->name);
		cr_expect_leq(odd->header_count,
			      shape->fields + NODE_FIELDS_MAX, "%s",
			      shape->name);
	} else {
		cr_expect_str_eq(odd->verdict, "may-have-run", "%s",
				 shape->name);
	}
	ran = path.upstream.ran;
	path_release("held");
	path_wait(&held->answers, 1, shape->name);
	cr_expect_eq(held->status, 200, "%s: %u", shape->name, held->status);
	cr_expect_eq(path.upstream.ran, ran, "%s", shape->name);
	if (!own)
		cr_expect_eq(path.relay.accepted, 1, "%s: %u connections",
			     shape->name, path.relay.accepted);
	path_teardown();
}

/* Guards against an answer that the HTTP client accepts and a frame cannot
 * carry: it ended the process, or closed the connection between two nodes. */
Test(odd_answer, an_accepted_answer_reaches_the_caller, .timeout = 60)
{
	size_t i;

	for (i = 0; i < COUNT(shapes); i++) {
		play(&shapes[i], true);
		play(&shapes[i], false);
	}
}

/* Guards against a field that the frame decoder refuses or that reaches the
 * caller as another one: the process beside the upstream ended, or the caller
 * got a length that the body does not have. */
Test(odd_answer, a_malformed_field_is_no_answer, .timeout = 60)
{
	static const struct {
		const char *name;
		const char *field;
		size_t size;
	} cases[] = {
		{ "NUL", "X-Field: \0v\r\n", 13 },
		{ "NUL alone", "X-Field: \0\r\n", 12 },
		{ "control byte", "X-Field: \x01\r\n", 12 },
		{ "blank in front of the colon", "Content-Length : 9\r\n", 20 },
	};
	size_t i;

	for (i = 0; i < 2 * COUNT(cases); i++) {
		size_t row = i / 2;
		struct path_result *result;
		size_t used;

		path_setup();
		if (i % 2)
			path_route_to_own();
		used = (size_t)snprintf(script, SCRIPT_SIZE,
					"HTTP/1.1 200 OK\r\n");
		memcpy(script + used, cases[row].field, cases[row].size);
		used += cases[row].size;
		used += (size_t)snprintf(script + used, SCRIPT_SIZE - used,
					 "Content-Length: 2\r\n\r\nok");
		path.upstream.script = script;
		path.upstream.script_size = used;
		path.upstream.first = BEHAVE_SCRIPT;
		result = send_seal("odd");
		path_wait(&result->answers, 1, cases[row].name);
		cr_expect_eq(result->status, 502, "%s: %u", cases[row].name,
			     result->status);
		cr_expect_str_eq(result->verdict, "may-have-run", "%s",
				 cases[row].name);
		path_teardown();
	}
}

/* Guards against a refusal that is proved by a field behind the body: whatever
 * made the answer had begun to run the request. */
Test(odd_answer, a_trailer_proves_nothing, .timeout = 60)
{
	struct path_result *result;

	path_setup();
	path.upstream.script = "HTTP/1.1 503 Busy\r\n"
			       "Transfer-Encoding: chunked\r\n\r\n0\r\n"
			       "Geraniumplank-Shed: not-run\r\n"
			       "X-Last: v\r\n\r\n";
	path.upstream.script_size = strlen(path.upstream.script);
	path.upstream.first = BEHAVE_SCRIPT;
	result = send_seal("odd");
	path_wait(&result->answers, 1, "answer");
	cr_expect_str_neq(result->verdict, "not-run");
	cr_expect_eq(path.upstream.requests, 1);
	path_teardown();
}
