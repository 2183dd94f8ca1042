#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "call/path_test.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/*
 * Symptom: a doubled seal, half an answer taken for a whole one, or a caller
 * told "not run" of a request that ran.
 * Sequence: the upstream fails in one of these ways while it has a request.
 * Cause: the end of a connection taken for more than it says; the HTTP
 * library sending again by itself on a kept connection that proved dead.
 */
static const struct behaviour_case {
	const char *name;
	const char *method;
	const char *path;
	enum behaviour first;
	enum behaviour then;
	unsigned int status;
	const char *verdict;
	const char *reason;
	uint32_t ran_least;
	uint32_t ran_most;
} behaviours[] = {
	{ "whole answer", "POST", "/seal", BEHAVE_ANSWER, BEHAVE_ANSWER, 200,
	  "ran", "", 1, 1 },
	{ "chunked answer", "POST", "/seal", BEHAVE_CHUNKED, BEHAVE_ANSWER, 200,
	  "ran", "", 1, 1 },
	{ "reads and closes", "POST", "/seal", BEHAVE_CLOSE, BEHAVE_CLOSE, 502,
	  "may-have-run", "upstream-failed", 1, 1 },
	{ "closes at the first byte", "POST", "/seal", BEHAVE_CLOSE_UNRUN,
	  BEHAVE_ANSWER, 502, "may-have-run", "upstream-failed", 0, 0 },
	{ "answers in part", "POST", "/seal", BEHAVE_TRUNCATE, BEHAVE_ANSWER,
	  502, "may-have-run", "upstream-failed", 1, 1 },
	{ "answers in part, chunked", "POST", "/seal", BEHAVE_TRUNCATE_CHUNKED,
	  BEHAVE_ANSWER, 502, "may-have-run", "upstream-failed", 1, 1 },
	{ "answers without a length", "POST", "/seal", BEHAVE_NO_LENGTH,
	  BEHAVE_ANSWER, 502, "may-have-run", "upstream-failed", 1, 1 },
	{ "answers late", "POST", "/short", BEHAVE_HOLD, BEHAVE_ANSWER, 504,
	  "may-have-run", "deadline", 1, 1 },
	{ "sheds with proof", "POST", "/seal", BEHAVE_SHED, BEHAVE_SHED, 503,
	  "not-run", "shed", 0, 0 },
	{ "sheds with proof, then answers", "POST", "/seal", BEHAVE_SHED,
	  BEHAVE_ANSWER, 0, "", "", 0, 1 },
	{ "a 503 without proof", "POST", "/seal", BEHAVE_SHED_PLAIN,
	  BEHAVE_ANSWER, 503, "ran", "", 0, 0 },
	{ "its own error", "POST", "/seal", BEHAVE_ERROR, BEHAVE_ANSWER, 500,
	  "ran", "", 1, 1 },
	{ "claims a verdict", "POST", "/seal", BEHAVE_FORGED_VERDICT,
	  BEHAVE_ANSWER, 200, "ran", "", 1, 1 },
	{ "repeatable, always closes", "GET", "/view", BEHAVE_CLOSE,
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
	/* Whatever is sent again by mistake would come now. */
	path_run_turns(20);
	if (row->status) {
		cr_expect_eq(result->status, row->status, "%s: status %u",
			     row->name, result->status);
		cr_expect_str_eq(result->verdict, row->verdict, "%s: %s",
				 row->name, result->verdict);
		cr_expect_str_eq(result->reason, row->reason, "%s: %s",
				 row->name, result->reason);
	}
	cr_expect(path.upstream.ran >= row->ran_least &&
			  path.upstream.ran <= row->ran_most,
		  "%s: ran %u times", row->name, path.upstream.ran);
	path_teardown();
}

Test(call, verdicts_on_what_an_upstream_does)
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

/*
 * Symptom: a doubled seal although no node retried it.
 * Sequence: the upstream closes a kept connection just as the next request
 * is written to it; the HTTP library writes that request again elsewhere.
 * Cause: a request that may not be repeated on a connection that was kept.
 */
Test(call, what_may_not_be_repeated_never_goes_on_a_kept_connection)
{
	path_setup();
	send_and_wait("GET", "/view");
	send_and_wait("GET", "/view");
	cr_expect_eq(path.upstream.connections, 1);
	send_and_wait("POST", "/seal");
	send_and_wait("POST", "/seal");
	path_run_turns(5);
	/* By now there are connections made beforehand. */
	send_and_wait("POST", "/seal");
	send_and_wait("POST", "/seal");
	cr_expect_geq(path_counter("http.spare_connections_taken"), 1);
	cr_expect_eq(path.upstream.reused, 0);
	/* The next request finds its kept connection closed under it. */
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

/*
 * Symptom: a caller is told "not run" of a request that ran.
 * Sequence: a request goes on a kept connection, the upstream runs it and
 * dies; the HTTP library tries it again by itself and cannot connect.
 * Cause: the last error taken for the whole story.
 */
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

/*
 * Symptom: after all nodes have lost power at once, everything that comes
 * within the first second is refused.
 * Sequence: a node starts; requests come before it knows where they may go.
 * Cause: what it does not know yet was taken for what is not there.
 */
Test(call, a_node_that_has_just_started_keeps_what_it_cannot_route_yet)
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

/*
 * Symptom: one request in a few fails on its first attempt for as long as the
 * announcement of an upstream that was killed holds.
 * Sequence: an upstream dies without a word; its node goes on listing it.
 * Cause: refused connections told nothing beyond their own attempt.
 */
Test(call, refused_connections_tell_that_the_upstream_is_gone)
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
	for (i = 0; i <= SERVE_REFUSED_MAX; i++) {
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

/*
 * Callers got 502 of the node's own although an upstream had answered: with
 * 500, after which the request was tried elsewhere and refused there. In the
 * log the last entries of "tried" were "upstream-error" and "late". What an
 * upstream has said tells a caller more than that a second try was refused.
 */
Test(call, an_upstreams_failure_is_handed_on_if_nothing_better_comes)
{
	const struct path_request request = { .method = "GET",
					      .path = "/view" };
	struct path_result *result;

	path_setup();
	path.upstream.first = BEHAVE_ERROR;
	path.upstream.then = BEHAVE_SHED;
	result = path_send(&request);
	path_wait(&result->answers, 1, "an answer");
	cr_expect_geq(path.upstream.requests, 2, "it is tried again");
	cr_expect_eq(result->status, 500, "%u", result->status);
	cr_expect_str_eq(result->verdict, "ran");
	cr_expect_str_eq(result->upstream, "b");
	cr_expect_eq(path.a.calls.caller.held_bytes, 0);
	path_teardown();
}
