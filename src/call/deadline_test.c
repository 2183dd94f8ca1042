#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "call/path_test.h"
#include "call/inbound.h"
#include "http/client_conn.h"
#include "os/clock.h"
#include "os/net.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { DEADLINE_MS = 1000, SILENCE_US = 60 * 1000 * 1000 };

/*
 * A running request must not be aborted before its deadline. Only a waiting
 * request is refused early, because its refusal proves "not run"; an early
 * abort of a run only leads to a retry that is refused as late, and to a 502.
 * Sign: "served" with the end "deadline", and in "tried" an entry "deadline"
 * with a few milliseconds left, followed by "late".
 */
static const struct {
	const char *name;
	const char *path;
	bool own; /* the upstream beside the caller's node */
} cases[] = {
	{ "idempotent, with a second attempt left", "/view", false },
	{ "not idempotent", "/seal", false },
	{ "own upstream", "/seal", true },
};

/* Prevents links from becoming silent while the machine is paused. */
static void set_up(bool own)
{
	path_setup();
	path.a.calls.caller.options.silence_us = SILENCE_US;
	path.a.calls.server.options.silence_us = SILENCE_US;
	path.b.calls.server.options.silence_us = SILENCE_US;
	path.upstream.first = path.upstream.then = BEHAVE_HOLD;
	if (own)
		path_route_to_own();
}

static struct path_result *send_within(const char *where, const char *wait_ms)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, wait_ms } };
	const struct path_request request = { .method = "POST",
					      .path = where,
					      .headers = headers,
					      .header_count = COUNT(headers) };

	return path_send(&request);
}

static const uint64_t *ended(bool own)
{
	return own ? path.a.gate.totals.ended : path.b.gate.totals.ended;
}

static void check(size_t i)
{
	int64_t sent_us = clock_monotonic_us();
	struct path_result *result = send_within(cases[i].path, "1000");
	int64_t waited_us;
	int turns;

	for (turns = 0; turns < PATH_TURNS && !result->answers &&
			!path.upstream.closed_by_node;
	     turns++)
		path_run_turns(1);
	waited_us = clock_monotonic_us() - sent_us;
	cr_expect_geq(waited_us, DEADLINE_MS * US_PER_MS,
		      "%s: %s after %lld us", cases[i].name,
		      result->answers ? "answered" : "aborted",
		      (long long)waited_us);
	path_wait(&result->answers, 1, "an answer");
	path_wait(&path.upstream.closed_by_node, 1, "aborted");
	cr_expect_eq(result->status, 504, "%s: %u", cases[i].name,
		     result->status);
	cr_expect_str_eq(result->verdict, "may-have-run");
	cr_expect_str_eq(result->reason, "deadline");
	cr_expect_eq(path.upstream.ran, 1, "%s: ran %u times", cases[i].name,
		     path.upstream.ran);
	cr_expect_eq(ended(cases[i].own)[GATE_TIMED_OUT], 1,
		     "%s: outcome at the gate", cases[i].name);
}

Test(deadline, a_run_is_not_aborted_before_the_callers_deadline)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		set_up(cases[i].own);
		check(i);
		path_teardown();
	}
}

/* A caller that hangs up shortly before its deadline must not count as a
 * timeout of the upstream at the gate. */
Test(deadline, a_caller_that_hangs_up_is_no_timeout)
{
	struct path_result *result;

	set_up(false);
	result = send_within("/view", "1000");
	path_wait(&path.upstream.ran, 1, "running");
	/* Moves the deadline close, independent of the time taken so far. */
	path.b.calls.server.inbound_attempts->context.deadline_us =
		loop_now_us(&path.loop) + US_PER_MS;
	http_client_cancel(result->transfer);
	path_wait(&path.upstream.closed_by_node, 1, "aborted");
	cr_expect_eq(ended(false)[GATE_TIMED_OUT], 0);
	cr_expect_eq(ended(false)[GATE_CANCELLED], 1);
	path_teardown();
}

/* Opens a listener with a full accept queue: further connections hang. */
static void full_listener(struct address *address)
{
	enum { FILLED = 3 }; /* a backlog of 0 accepts one connection */
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t size = sizeof(at);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char text[ADDRESS_TEXT_SIZE];
	int i;

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	cr_assert(!bind(fd, (struct sockaddr *)&at, sizeof(at)));
	cr_assert(!listen(fd, 0));
	cr_assert(!getsockname(fd, (struct sockaddr *)&at, &size));
	snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(at.sin_port));
	cr_assert(address_parse(text, address, NULL));
	for (i = 0; i < FILLED; i++)
		cr_assert_neq(net_connect(address, NULL, NULL), NET_NONE);
}

/*
 * A request of which no byte was sent must get the verdict "not run", also if
 * its deadline passes while the connection to the upstream is being opened. The
 * connect timeout therefore ends before the deadline, so that the verdict
 * reaches the caller's node in time.
 */
Test(deadline, a_request_that_was_never_sent_is_not_run)
{
	const struct http_header headers[] = { { HEADER_DEADLINE, "4000" },
					       { HEADER_ATTEMPTS, "1" } };
	const struct path_request request = { .method = "POST",
					      .path = "/seal",
					      .headers = headers,
					      .header_count = 2 };
	const struct http_transfer *transfer;
	struct inbound *inbound;
	struct path_result *result;
	struct address full;

	set_up(false);
	full_listener(&full);
	path.b.calls.server.options.connect_timeout_ms = 60 * 1000;
	calls_set_upstream(&path.b.calls, "seal-desk", "", 0, &full);
	result = path_send(&request);
	path_wait(&path.b.gate.running_count, 1, "admitted");
	inbound = path.b.calls.server.inbound_attempts;
	transfer = inbound->transfer;
	cr_expect_lt(transfer->connect_deadline_us,
		     inbound->context.deadline_us);
	cr_expect_geq(transfer->exchange_deadline_us,
		      inbound->context.deadline_us);
	inbound_abort_and_run_gate(inbound, CALL_DEADLINE);
	path_wait(&result->answers, 1, "an answer");
	cr_expect_str_eq(result->verdict, "not-run");
	cr_expect_eq(ended(false)[GATE_TIMED_OUT], 0);
	path_teardown();
}

/* Extends the current turn of the loop to @ms milliseconds. */
static void let_turn_last(int64_t ms)
{
	int64_t until_us = loop_now_us(&path.loop) + ms * US_PER_MS;

	while (clock_monotonic_us() < until_us)
		;
}

/*
 * The deadline of a request counts from when the request is read, not from the
 * beginning of the loop's turn. After a long turn, for example when a large
 * configuration is applied, the run would be aborted early and the caller get
 * 502. Sign: "served" with the end "deadline" right after "version_in_force" or
 * "ready", and time left in the log line of the call.
 */
Test(deadline, a_long_loop_turn_does_not_shorten_the_deadline)
{
	static const uint8_t target[] = "/view";
	struct call_frame frame = {
		.type = FRAME_CALL,
		.request = { .method = "GET",
			     .service = "seal-desk",
			     .context = { .weight = 1, .kind = "view" },
			     .target = { target, sizeof(target) - 1 },
			     .repeatable = true,
			     .wait_us = 500 * US_PER_MS },
	};
	struct server *server;
	int64_t arrived_us;

	set_up(false);
	server = &path.b.calls.server;
	frame.id.incarnation = path.b.hub.self.incarnation;
	frame.id.sequence = 1;
	let_turn_last(300);
	arrived_us = clock_monotonic_us();
	serve_frame(server, &server->local, &frame);
	path_wait(&path.upstream.closed_by_node, 1, "aborted");
	cr_expect_geq(clock_monotonic_us() - arrived_us, 500 * US_PER_MS,
		      "aborted after %lld us",
		      (long long)(clock_monotonic_us() - arrived_us));
	path_teardown();
}

/*
 * A run whose connection was lost must go on until its deadline: the caller's
 * node may only have been paused, and queries the attempt later. An abort would
 * give the caller 502 with time left. Sign: "cancelled" in "tried" and
 * "peer_silent" for that node, without a log line beside the upstream.
 */
Test(deadline, a_run_whose_connection_was_lost_goes_on)
{
	struct server *server;
	struct path_result *result;
	int64_t deadline_us;

	set_up(false);
	server = &path.b.calls.server;
	server->options.reconnect_max_us = 10 * US_PER_MS;
	result = send_within("/view", "1000");
	path_wait(&path.upstream.ran, 1, "running");
	deadline_us = server->inbound_attempts->context.deadline_us;
	inbound_connection_lost(server->inbound_attempts);
	path_run_turns(50);
	cr_expect(!path.upstream.closed_by_node ||
			  loop_now_us(&path.loop) >= deadline_us,
		  "aborted");
	path_wait(&result->answers, 1, "an answer");
	path_teardown();
}

/*
 * A request that arrives with no time left must not be started and aborted at
 * once. The deadline counts from the clock, but the gate compares the deadline
 * with the beginning of the loop's turn, which may be earlier.
 */
Test(deadline, a_request_without_time_is_not_started)
{
	static const uint8_t target[] = "/seal";
	const struct path_request first = { .method = "POST", .path = "/seal" };
	struct call_frame frame = {
		.type = FRAME_CALL,
		.request = { .method = "POST",
			     .service = "seal-desk",
			     .context = { .weight = 9, .kind = "seal" },
			     .target = { target, sizeof(target) - 1 } },
	};
	struct server *server;
	struct path_result *result;

	set_up(false);
	path.upstream.first = BEHAVE_ANSWER;
	server = &path.b.calls.server;
	/* Gives the gate a service time estimate. */
	result = path_send(&first);
	path_wait(&result->answers, 1, "the first");
	frame.id.incarnation = path.b.hub.self.incarnation;
	frame.id.sequence = 1;
	let_turn_last(2);
	serve_frame(server, &server->local, &frame);
	cr_expect_eq(path.b.gate.running_count, 0, "started");
	path_run_turns(20);
	cr_expect_eq(path.upstream.ran, 1, "ran");
	path_teardown();
}
