#include "call/path_test.h"

#include <criterion/criterion.h>

#include "call/names.h"
#include "os/clock.h"

/* Guards against a request that waits beside a leaving upstream until it is too
 * late to run there, and whose caller learns so only then. */
Test(leaving_gate, a_request_that_cannot_start_in_time_is_refused_unrun,
     .init = path_setup, .fini = path_teardown)
{
	const struct path_request first = { .method = "POST",
					    .path = "/seal",
					    .id = "first" };
	const struct path_request second = { .method = "POST",
					     .path = "/seal",
					     .id = "second" };
	struct path_result *running;
	struct path_result *waiting;

	path.upstream.first = BEHAVE_HOLD;
	path.b.gate.options.start_after_leaving_us = 50 * US_PER_MS;
	gate_set_slots(&path.b.gate, 1);
	running = path_send(&first);
	path_wait(&path.upstream.ran, 1, "running");
	waiting = path_send(&second);
	path_wait(&path.b.gate.waiting_count, 1, "waiting");
	gate_set_state(&path.b.gate, GATE_LEAVING,
		       loop_now_us(&path.loop) - 50 * US_PER_MS);
	calls_gate_changed(&path.b.calls);
	path_release("first");
	path_wait(&waiting->answers, 1, "refused");
	cr_expect_eq(waiting->status, 503, "%u", waiting->status);
	cr_expect_str_eq(waiting->verdict, "not-run");
	cr_expect_str_eq(waiting->reason, "leaving");
	path_wait(&running->answers, 1, "answered");
	cr_expect_eq(running->status, 200, "%u", running->status);
	cr_expect_eq(path.upstream.ran, 1);
}

/* Guards against an answer that is lost because the process ends before the
 * caller's node, which was paused or unreachable for a moment, can query it. */
Test(leaving_node, an_answer_that_was_not_delivered_is_kept_for_a_query,
     .init = path_setup, .fini = path_teardown)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	const int64_t drain_ms = 10000;
	struct path_result *result;

	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	/* Both nodes close the silent connection, and no query arrives. */
	while (path.b.calls.server.peers) {
		path_stall(true, true);
		path_run_turns(1);
	}
	path_release("one");
	while (path.b.calls.server.inbound_count) {
		path_stall(true, true);
		path_run_turns(1);
	}
	calls_drain(&path.b.calls, drain_ms);
	path_stall(true, true);
	path_run_turns(1);
	cr_expect_eq(path.b.drained, 0, "drained before the query");
	path_stall(false, false);
	path_wait(&result->answers, 1, "an answer");
	cr_expect_eq(result->status, 200, "%u %s", result->status,
		     result->reason);
	cr_expect_eq(path.upstream.ran, 1);
	path_wait(&path.b.drained, 1, "drained after the query");
}
