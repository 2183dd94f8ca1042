#include <criterion/criterion.h>

#include "call/outbound_call.h"
#include "call/path_test.h"
#include "os/clock.h"

enum { PAUSE_MS = 3000 };

/* Makes the budget one that seems open and refuses the next retry. */
static void refuse_next_retry(struct retry_budget *budget)
{
	uint64_t seed = 0;
	struct random random;

	do {
		retry_budget_make_shared(budget, ++seed);
		budget->chance = 0.5;
		random = budget->random;
	} while (random_share(&random) < budget->chance);
}

/* Guards against 502 for an idempotent request that runs beside a node that is
 * paused, if the budget refuses the attempt elsewhere. */
Test(link, an_attempt_is_resumed_if_its_retry_is_refused)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "GET",
					      .path = "/view",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	int64_t before;
	struct path_result *result;
	int i;

	path_setup();
	/* The node beside the upstream does not close the connection. */
	path.b.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	before = path_counter("call.resumed");
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	refuse_next_retry(&path.a.calls.caller.calls->match.pool->budget);
	for (i = 0; i < PATH_TURNS && !result->answers &&
		    path_counter("call.resumed") == before;
	     i++) {
		path_stall(true, true);
		path_run_turns(1);
	}
	cr_expect_eq(result->answers, 0, "%u %s", result->status,
		     result->reason);
	path_stall(false, false);
	path_release("one");
	path_wait(&result->answers, 1, "an answer");
	cr_expect_eq(result->status, 200, "%u %s", result->status,
		     result->reason);
	cr_expect_eq(path.upstream.ran, 1);
	path_teardown();
}

/* Guards against 502 for a request that runs and must not be sent again, while
 * the node beside its upstream is paused for longer than the queries take. */
Test(link, a_running_request_is_not_given_up_while_its_node_is_paused)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	int64_t paused_until_us;
	struct path_result *result;

	path_setup();
	/* The node beside the upstream does not close the connection. */
	path.b.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	paused_until_us = clock_monotonic_us() + PAUSE_MS * US_PER_MS;
	while (!result->answers && clock_monotonic_us() < paused_until_us) {
		path_stall(true, true);
		path_run_turns(1);
	}
	cr_expect_eq(result->answers, 0, "%u %s", result->status,
		     result->reason);
	path_stall(false, false);
	path_release("one");
	path_wait(&result->answers, 1, "an answer");
	cr_expect_eq(result->status, 200, "%u %s", result->status,
		     result->reason);
	cr_expect_eq(path.upstream.ran, 1);
	path_teardown();
}

/* Guards against a repeatable request that is given up while it runs, although
 * no other endpoint can take it, when its node is paused. */
Test(link,
     a_repeatable_request_without_another_endpoint_waits_for_a_paused_node)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "GET",
					      .path = "/view",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	int64_t paused_until_us;
	struct path_result *result;

	path_setup();
	/* The node beside the upstream does not close the connection. */
	path.b.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	paused_until_us = clock_monotonic_us() + PAUSE_MS * US_PER_MS;
	while (!result->answers && clock_monotonic_us() < paused_until_us) {
		path_stall(true, true);
		path_run_turns(1);
	}
	cr_expect_eq(result->answers, 0, "%u %s", result->status,
		     result->reason);
	path_stall(false, false);
	path_release("one");
	path_wait(&result->answers, 1, "an answer");
	cr_expect_eq(result->status, 200, "%u %s", result->status,
		     result->reason);
	path_teardown();
}

/* Guards against an answer that is dropped because it comes on the silent
 * connection while its call waits to send the next query. */
Test(link, an_answer_between_two_queries_is_taken)
{
	enum { LONG_GAP_QUERIES = 3 };
	const struct http_header headers[] = { { HEADER_DEADLINE, "60000" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	struct path_result *result;
	const struct call *call;
	int i;

	path_setup();
	/* The node beside the upstream does not close the connection. */
	path.b.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	path.a.calls.caller.options.retire_us = 60 * 1000 * US_PER_MS;
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	call = path.a.calls.caller.calls;
	for (i = 0;
	     i < PATH_TURNS && !result->answers &&
	     (call->peer || call->call_attempts.query_count < LONG_GAP_QUERIES);
	     i++) {
		path_stall(true, true);
		path_run_turns(1);
	}
	cr_assert_eq(result->answers, 0);
	cr_assert_null(call->peer);
	path_release("one");
	for (i = 0; i < PATH_TURNS / 4 && !result->answers; i++) {
		path_stall(true, true);
		watch_change(&path.relay.conns[0].watches[1], LOOP_READ);
		path_run_turns(1);
	}
	cr_expect_eq(result->answers, 1);
	cr_expect_eq(result->status, 200, "%u %s", result->status,
		     result->reason);
	path_teardown();
}

/* Guards against 502 for a request whose answer a stopping node keeps for its
 * caller's node, if that node is paused until the stopping node has ended. */
Test(link, a_drain_waits_for_the_query_of_an_answer_that_was_not_delivered)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	struct path_result *result;
	int i;

	path_setup();
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	/* The caller's node is paused: it neither sends nor queries. */
	path.a.calls.caller.options.silence_us = 60 * 1000 * US_PER_MS;
	for (i = 0; i < PATH_TURNS && path.b.calls.server.peers; i++) {
		path_stall(true, true);
		path_run_turns(1);
	}
	cr_assert_null(path.b.calls.server.peers, "it is silent");
	path_release("one");
	calls_drain(&path.b.calls, 60000);
	for (i = 0; i < PATH_TURNS / 4; i++) {
		path_stall(true, true);
		path_run_turns(1);
	}
	cr_expect_eq(path.b.drained, 0);
	path_stall(false, false);
	path_wait(&result->answers, 1, "an answer");
	cr_expect_eq(result->status, 200, "%u %s", result->status,
		     result->reason);
	path_wait(&path.b.drained, 1, "drained");
	path_teardown();
}

/* Guards against 502 for a request that runs, because the endpoint of its
 * paused node has left the routes. */
Test(link, a_repeatable_request_waits_for_a_node_out_of_the_routes)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "GET",
					      .path = "/view",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	int64_t paused_until_us;
	struct path_result *result;

	path_setup();
	path.b.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	router_drop_record(&path.a.router, "b");
	paused_until_us = clock_monotonic_us() + PAUSE_MS * US_PER_MS;
	while (!result->answers && clock_monotonic_us() < paused_until_us) {
		path_stall(true, true);
		path_run_turns(1);
	}
	cr_expect_eq(result->answers, 0, "%u %s", result->status,
		     result->reason);
	path_stall(false, false);
	path_release("one");
	path_wait(&result->answers, 1, "an answer");
	cr_expect_eq(result->status, 200, "%u %s", result->status,
		     result->reason);
	path_teardown();
}

/* Guards against 502 for a request that runs, because its node ended one
 * connection after several that timed out. */
Test(link, one_reset_after_a_pause_ends_no_request)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "20000" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .id = "one",
					      .headers = headers,
					      .header_count = 1 };
	int64_t paused_until_us;
	struct path_result *result;
	struct call *call;
	bool closed = false;

	path_setup();
	path.b.calls.server.options.silence_us = 60 * 1000 * US_PER_MS;
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	result = path_send(&request);
	path_wait(&path.upstream.ran, 1, "it runs");
	call = path.a.calls.caller.calls;
	paused_until_us = clock_monotonic_us() + PAUSE_MS * US_PER_MS;
	while (!result->answers && clock_monotonic_us() < paused_until_us) {
		path_stall(true, true);
		path_run_turns(1);
		if (!closed && !result->answers &&
		    call->call_attempts.query_count >= 4 && call->peer) {
			wire_conn_close(call->peer->link.conn, ERROR_IO,
					"connection reset");
			closed = true;
		}
	}
	cr_expect(closed);
	cr_expect_eq(result->answers, 0, "%u %s", result->status,
		     result->reason);
	path_teardown();
}
