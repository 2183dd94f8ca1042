#include "call/path_test.h"

#include <criterion/criterion.h>

#include "call/names.h"
#include "os/clock.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

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

/* Guards against requests that a stopping node takes and then cuts, and against
 * refusals of requests that would have completed. */
Test(leaving_work, a_stopping_node_takes_what_it_does_not_cut)
{
	static const struct {
		const char *path;
		const char *deadline_ms; /* NULL: 5 s, as the kinds have it */
		const char *hops;
		int64_t work_ms; /* until work is cancelled; 0: no stop */
		unsigned int status;
	} cases[] = {
		{ "/seal", NULL, "0", 0, 200 },
		{ "/seal", NULL, "0", 60000, 200 },
		{ "/seal", NULL, "0", 4000, 503 },
		{ "/seal", "3000", "0", 4000, 200 },
		{ "/seal", "4500", "0", 4000, 503 },
		{ "/seal", "60000", "0", 40000, 503 },
		/* A request in progress would fail without it. */
		{ "/seal", NULL, "1", 4000, 200 },
		/* May be repeated; the target time is not known, 0.1 s, 0.1 s. */
		{ "/view", NULL, "0", 4000, 503 },
		{ "/view", "3000", "0", 4000, 200 },
		{ "/aimed", NULL, "0", 4000, 200 },
		{ "/aimed", NULL, "0", 300, 503 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const struct http_header headers[] = {
			{ HEADER_HOPS, cases[i].hops },
			{ HEADER_DEADLINE, cases[i].deadline_ms },
		};
		const struct path_request request = {
			.method = "POST",
			.path = cases[i].path,
			.id = "one",
			.headers = headers,
			.header_count = cases[i].deadline_ms ? 2 : 1,
		};
		struct path_result *result;

		path_setup();
		if (cases[i].work_ms)
			calls_begin_leaving(&path.a.calls,
					    clock_monotonic_us() +
						    cases[i].work_ms *
							    US_PER_MS);
		result = path_send(&request);
		path_wait(&result->answers, 1, "an answer");
		cr_expect_eq(result->status, cases[i].status, "case %zu: %u %s",
			     i, result->status, result->reason);
		if (cases[i].status != 200) {
			cr_expect_str_eq(result->verdict, "not-run");
			cr_expect_str_eq(result->reason, "draining");
			cr_expect_neq(*result->retry_after, '\0');
		}
		cr_expect_eq(path.upstream.ran, cases[i].status == 200,
			     "case %zu", i);
		path_teardown();
	}
}

/* Guards against attempts that the node beside an upstream takes while it stops
 * and cuts, although its peer could have sent them elsewhere. */
Test(leaving_work, a_stopping_node_refuses_attempts_that_it_could_cut)
{
	static const struct {
		const char *path;
		const char *deadline_ms;
		int64_t work_ms; /* until work is cancelled; 0: no stop */
		unsigned int status;
	} cases[] = {
		{ "/seal", "5000", 0, 200 },
		{ "/seal", "5000", 60000, 200 },
		{ "/seal", "5000", 4000, 503 },
		{ "/seal", "3000", 4000, 200 },
		/* The caller's node may repeat it. */
		{ "/view", "5000", 4000, 200 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const struct http_header headers[] = {
			{ HEADER_DEADLINE, cases[i].deadline_ms },
		};
		const struct path_request request = { .method = "POST",
						      .path = cases[i].path,
						      .id = "one",
						      .headers = headers,
						      .header_count = 1 };
		struct path_result *result;

		path_setup();
		if (cases[i].work_ms)
			calls_begin_leaving(&path.b.calls,
					    clock_monotonic_us() +
						    cases[i].work_ms *
							    US_PER_MS);
		result = path_send(&request);
		path_wait(&result->answers, 1, "an answer");
		cr_expect_eq(result->status, cases[i].status, "case %zu: %u %s",
			     i, result->status, result->reason);
		if (cases[i].status != 200) {
			cr_expect_str_eq(result->verdict, "not-run");
			cr_expect_str_eq(result->reason, "leaving");
		}
		cr_expect_eq(path.upstream.ran, cases[i].status == 200,
			     "case %zu", i);
		path_teardown();
	}
}

/* Guards against an answer of which only a part was delivered before the
 * process ended. */
Test(leaving_node, a_long_answer_cut_on_its_way_is_kept_for_a_query,
     .init = path_setup, .fini = path_teardown)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	struct path_result *result;
	int64_t until_us;

	path.a.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	path.b.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	path.a.calls.caller.options.silence_us = 60 * 1000 * US_PER_MS;
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	path_stall(true, true);
	path_release("one");
	while (path.b.calls.server.inbound_count) {
		path_stall(true, true);
		path_run_turns(1);
	}
	until_us = clock_monotonic_us() + 400 * US_PER_MS;
	while (clock_monotonic_us() < until_us) {
		path_stall(true, true);
		path_run_turns(1);
	}
	/* The link is lost with the answer in it, 400 ms after it was sent. */
	cr_assert_not_null(path.b.calls.server.peers);
	wire_conn_close(path.b.calls.server.peers->link.conn, ERROR_TIMEOUT,
			"connection has fallen silent");
	path_run_turns(1);
	cr_assert_null(path.b.calls.server.peers);
	calls_drain(&path.b.calls, 10000);
	path_run_turns(10);
	cr_expect_eq(path.b.drained, 0, "drained before the query");
	(void)result;
}

/* Guards against a stop that waits for an answer that was delivered. */
Test(leaving_node, a_drain_does_not_wait_for_a_delivered_answer,
     .init = path_setup, .fini = path_teardown)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "5000" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	struct path_result *result = path_send(&request);
	int64_t from_us;

	path_wait(&result->answers, 1, "an answer");
	cr_assert_eq(result->status, 200);
	wire_conn_close(path.a.calls.caller.peers->link.conn, ERROR_IO,
			"the process ends");
	while (path.b.calls.server.peers)
		path_run_turns(1);
	from_us = clock_monotonic_us();
	calls_drain(&path.b.calls, 10000);
	path_wait(&path.b.drained, 1, "drained");
	cr_expect_lt(clock_monotonic_us() - from_us, 1000 * US_PER_MS,
		     "took %lld ms",
		     (long long)(clock_monotonic_us() - from_us) / 1000);
}
