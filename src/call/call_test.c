#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "call/path_test.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Failures of an upstream must not run a request twice, pass an incomplete
 * answer on, or give the verdict "not run" for a request that ran. */
static const struct behaviour_case {
	const char *name;
	const char *method;
	const char *path;
	enum behaviour first;
	enum behaviour then;
	unsigned int status;
	const char *verdict;
	const char *reason;
	uint32_t ran_min;
	uint32_t ran_max;
} behaviours[] = {
	{ "complete answer", "POST", "/seal", BEHAVE_ANSWER, BEHAVE_ANSWER, 200,
	  "ran", "", 1, 1 },
	{ "chunked answer", "POST", "/seal", BEHAVE_CHUNKED, BEHAVE_ANSWER, 200,
	  "ran", "", 1, 1 },
	{ "reads and closes", "POST", "/seal", BEHAVE_CLOSE, BEHAVE_CLOSE, 502,
	  "may-have-run", "upstream-failed", 1, 1 },
	{ "closes at the first byte", "POST", "/seal", BEHAVE_CLOSE_UNRUN,
	  BEHAVE_ANSWER, 502, "may-have-run", "upstream-failed", 0, 0 },
	{ "truncated answer", "POST", "/seal", BEHAVE_TRUNCATE, BEHAVE_ANSWER,
	  502, "may-have-run", "upstream-failed", 1, 1 },
	{ "truncated chunked answer", "POST", "/seal", BEHAVE_TRUNCATE_CHUNKED,
	  BEHAVE_ANSWER, 502, "may-have-run", "upstream-failed", 1, 1 },
	{ "answers without a length", "POST", "/seal", BEHAVE_NO_LENGTH,
	  BEHAVE_ANSWER, 502, "may-have-run", "upstream-failed", 1, 1 },
	{ "answers after the deadline", "POST", "/short", BEHAVE_HOLD,
	  BEHAVE_ANSWER, 504, "may-have-run", "deadline", 1, 1 },
	{ "rejects with proof", "POST", "/seal", BEHAVE_SHED, BEHAVE_SHED, 503,
	  "not-run", "shed", 0, 0 },
	{ "rejects with proof, then answers", "POST", "/seal", BEHAVE_SHED,
	  BEHAVE_ANSWER, 0, "", "", 0, 1 },
	{ "a 503 without proof", "POST", "/seal", BEHAVE_SHED_PLAIN,
	  BEHAVE_ANSWER, 503, "ran", "", 0, 0 },
	{ "answers with an error", "POST", "/seal", BEHAVE_ERROR, BEHAVE_ANSWER,
	  500, "ran", "", 1, 1 },
	{ "claims a verdict", "POST", "/seal", BEHAVE_FORGED_VERDICT,
	  BEHAVE_ANSWER, 200, "ran", "", 1, 1 },
	{ "idempotent, always closes", "GET", "/view", BEHAVE_CLOSE,
	  BEHAVE_CLOSE, 502, "may-have-run", "upstream-failed", 1, 3 },
};

static void check_behaviour(const struct behaviour_case *row)
{
	const struct path_request request = { .method = row->method,
					      .path = row->path,
					      .id = "one" };
	struct path_result *result;

	path_setup();
	path.upstream.first = row->first;
	path.upstream.then = row->then;
	result = path_send(&request);
	path_wait(&result->answers, 1, row->name);
	/* A request sent again by mistake would arrive in this time. */
	path_run_turns(20);
	if (row->status) {
		cr_expect_eq(result->status, row->status, "%s: status %u",
			     row->name, result->status);
		cr_expect_str_eq(result->verdict, row->verdict, "%s: %s",
				 row->name, result->verdict);
		cr_expect_str_eq(result->reason, row->reason, "%s: %s",
				 row->name, result->reason);
	}
	cr_expect(path.upstream.ran >= row->ran_min &&
			  path.upstream.ran <= row->ran_max,
		  "%s: ran %u times", row->name, path.upstream.ran);
	path_teardown();
}

Test(call, each_upstream_behaviour_gives_its_verdict)
{
	size_t i;

	for (i = 0; i < COUNT(behaviours); i++)
		check_behaviour(&behaviours[i]);
}

static void send_and_wait(const char *method, const char *target)
{
	const struct path_request request = { .method = method,
					      .path = target };
	struct path_result *result = path_send(&request);

	path_wait(&result->answers, 1, target);
	cr_expect_eq(result->status, 200, "%s: %u", target, result->status);
}

/* If the upstream closes a kept-alive connection while a request is written,
 * the HTTP client repeats the request. A request that is not idempotent would
 * run twice. */
Test(call, non_idempotent_requests_never_reuse_a_connection)
{
	path_setup();
	send_and_wait("GET", "/view");
	send_and_wait("GET", "/view");
	cr_expect_eq(path.upstream.connections, 1);
	send_and_wait("POST", "/seal");
	send_and_wait("POST", "/seal");
	path_run_turns(5);
	/* Spare connections have been opened by now. */
	send_and_wait("POST", "/seal");
	send_and_wait("POST", "/seal");
	cr_expect_geq(path_counter("http.spare_connections_taken"), 1);
	cr_expect_eq(path.upstream.reused, 0);
	/* The kept connection of the next request is closed by the upstream. */
	path.upstream.requests = 0;
	path.upstream.first = BEHAVE_CLOSE_UNRUN;
	send_and_wait("GET", "/view");
	send_and_wait("POST", "/seal");
	cr_expect_eq(path.upstream.reused, 0);
	cr_expect_eq(path.upstream.ran, 8);
	path_teardown();
}

Test(call, the_length_in_an_answer_to_head_is_passed_on)
{
	const struct path_request request = { .method = "HEAD",
					      .path = "/view" };
	struct path_result *result;

	path_setup();
	path.upstream.first = BEHAVE_HEAD;
	result = path_send(&request);
	path_wait(&result->answers, 1, "HEAD");
	cr_expect_eq(result->status, 200);
	cr_expect_str_eq(result->length, "77");
	cr_expect_eq(result->body_size, 0);
	path_teardown();
}

/* After an upstream ran a request and died, the HTTP client's second connection
 * is refused. This must not give the verdict "not run". */
Test(call, a_refused_second_connection_does_not_prove_that_nothing_ran)
{
	const struct path_request request = { .method = "GET",
					      .path = "/view" };
	struct path_result *result;

	path_setup();
	send_and_wait("GET", "/view");
	path.upstream.requests = 0;
	path.upstream.first = BEHAVE_CLOSE;
	path_stop_listening();
	result = path_send(&request);
	path_wait(&result->answers, 1, "died");
	cr_expect_eq(path.upstream.ran, 2);
	cr_expect_str_eq(result->verdict, "may-have-run");
	path_teardown();
}

/* Requests that arrive before a starting node knows its routes must not be
 * refused, for example after a power failure of all nodes. */
Test(call, a_starting_node_queues_requests_without_a_route)
{
	const struct path_request request = { .method = "POST",
					      .path = "/seal" };
	struct path_result *kept;
	struct path_result *refused;

	path_setup();
	router_drop_record(&path.a.router, "b");
	kept = path_send(&request);
	while (!path.a.calls.caller.startup_queue.count && !kept->answers)
		path_run_turns(1);
	cr_assert_eq(kept->answers, 0);
	path_route_to_b();
	path_wait(&kept->answers, 1, "kept");
	cr_expect_eq(kept->status, 200, "%u %s %s", kept->status, kept->verdict,
		     kept->reason);

	router_drop_record(&path.a.router, "b");
	path.a.calls.caller.startup_queue.startup_ends_us = 0;
	refused = path_send(&request);
	path_wait(&refused->answers, 1, "no longer just started");
	cr_expect_eq(refused->status, 404);
	cr_expect_str_eq(refused->verdict, "not-run");
	path_teardown();
}

static void note_unreachable(void *data)
{
	uint32_t *count = data;

	(*count)++;
}

/* Without this, requests keep failing at an upstream that was killed until its
 * announcement expires. */
Test(call, refused_connections_report_an_upstream_unreachable)
{
	const struct path_request request = { .method = "POST",
					      .path = "/seal" };
	uint32_t lost = 0;
	uint32_t i;

	path_setup();
	path.b.calls.server.options.callbacks.on_unreachable = note_unreachable;
	path.b.calls.server.options.callbacks.data = &lost;
	send_and_wait("POST", "/seal");
	path_stop_listening();
	path.upstream.first = BEHAVE_CLOSE;
	for (i = 0; i <= CRASH_REFUSED_MAX; i++) {
		struct path_result *result = path_send(&request);

		path_wait(&result->answers, 1, "refused");
	}
	cr_expect_eq(lost, 1, "%u", lost);
	path_teardown();
}

Test(call, an_upstream_that_cannot_be_reached_has_run_nothing)
{
	static const struct path_request requests[] = {
		{ .method = "GET", .path = "/view" },
		{ .method = "POST", .path = "/seal" },
	};
	size_t i;

	path_setup();
	path_stop_listening();
	for (i = 0; i < COUNT(requests); i++) {
		struct path_result *result = path_send(&requests[i]);

		path_wait(&result->answers, 1, requests[i].path);
		cr_expect_eq(result->status, 503, "%u", result->status);
		cr_expect_str_eq(result->verdict, "not-run");
		cr_expect_str_eq(result->reason, "upstream-failed");
	}
	path_teardown();
}

/* A caller must not get a 502 of the node because a retry was refused after an
 * upstream answered 500. Sign in the log: "tried" ends with "upstream-error"
 * and "late". */
Test(call, an_upstream_error_is_returned_if_no_retry_succeeds)
{
	const struct path_request request = { .method = "GET",
					      .path = "/view" };
	struct path_result *result;

	path_setup();
	path.upstream.first = BEHAVE_ERROR;
	path.upstream.then = BEHAVE_SHED;
	result = path_send(&request);
	path_wait(&result->answers, 1, "an answer");
	cr_expect_geq(path.upstream.requests, 2, "no retry");
	cr_expect_eq(result->status, 500, "%u", result->status);
	cr_expect_str_eq(result->verdict, "ran");
	cr_expect_str_eq(result->upstream, "b");
	cr_expect_eq(path.a.calls.caller.held_bytes, 0);
	path_teardown();
}
