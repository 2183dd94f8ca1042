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
 * A caller got 502 while an upstream was at work on its request and the caller
 * still waited for the answer. It had come back after a refusal and named only
 * the time that it had left. The node beside the upstream ended the run 5 ms
 * before that time was over, as it does for requests that wait, whose refusal
 * proves that they did not run; ending a run proves nothing. The caller's node
 * tried elsewhere with what was left, was refused there as too late, and had to
 * say that the request may have run. Lines that settled it: "served" with the
 * end "deadline", in "tried" the same with left=4 and behind it "late" with
 * left=2.
 */
static const struct {
	const char *name;
	const char *path;
	bool own; /* the upstream beside the caller's node */
} cases[] = {
	{ "may be repeated, and has a second try left", "/view", false },
	{ "may not be repeated", "/seal", false },
	{ "own upstream", "/seal", true },
};

/* Where the machine stands still, no link is to fall silent. */
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
		      result->answers ? "answered" : "broken off",
		      (long long)waited_us);
	path_wait(&result->answers, 1, "an answer");
	path_wait(&path.upstream.closed_by_node, 1, "broken off");
	cr_expect_eq(result->status, 504, "%s: %u", cases[i].name,
		     result->status);
	cr_expect_str_eq(result->verdict, "may-have-run");
	cr_expect_str_eq(result->reason, "deadline");
	cr_expect_eq(path.upstream.ran, 1, "%s: ran %u times", cases[i].name,
		     path.upstream.ran);
	cr_expect_eq(ended(cases[i].own)[GATE_TIMED_OUT], 1,
		     "%s: what it taught", cases[i].name);
}

Test(deadline, a_run_is_not_broken_off_before_its_callers_time_is_over)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		set_up(cases[i].own);
		check(i);
		path_teardown();
	}
}

/* A caller that hangs up says nothing of how fast the upstream is, also if its
 * time would have been over soon. */
Test(deadline, a_caller_that_hangs_up_teaches_nothing)
{
	struct path_result *result;

	set_up(false);
	result = send_within("/view", "1000");
	path_wait(&path.upstream.ran, 1, "it runs");
	/* As if its time were nearly over, however long that took. */
	path.b.calls.server.inbound_attempts->context.deadline_us =
		loop_now_us(&path.loop) + US_PER_MS;
	http_client_cancel(result->transfer);
	path_wait(&path.upstream.closed_by_node, 1, "broken off");
	cr_expect_eq(ended(false)[GATE_TIMED_OUT], 0);
	cr_expect_eq(ended(false)[GATE_CANCELLED], 1);
	path_teardown();
}

/* A listener whose queue of connections is full: a further one hangs. */
static void full_listener(struct address *address)
{
	enum { FILLED = 3 }; /* a queue of 0 takes one */
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
 * A caller could be told "may have run" of a request of which no byte had left:
 * the connection to the upstream was still being made when the caller's time
 * was over, and whatever is ended while it runs counts as begun. So a
 * connection is given up while there is time for the proof to arrive, and a
 * request of which nothing has left has not run.
 */
Test(deadline, what_never_left_is_told_as_not_run)
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
	calls_set_upstream(&path.b.calls, "seal-desk", "", &full);
	result = path_send(&request);
	path_wait(&path.b.gate.running_count, 1, "it is let in");
	inbound = path.b.calls.server.inbound_attempts;
	transfer = inbound->transfer;
	cr_expect_lt(transfer->connect_by_us, inbound->context.deadline_us);
	cr_expect_geq(transfer->end_by_us, inbound->context.deadline_us);
	inbound_abort_and_run_gate(inbound, CALL_DEADLINE);
	path_wait(&result->answers, 1, "an answer");
	cr_expect_str_eq(result->verdict, "not-run");
	cr_expect_eq(ended(false)[GATE_TIMED_OUT], 0);
	path_teardown();
}

/* The present turn of the loop goes on until it has lasted so long. */
static void let_turn_last(int64_t ms)
{
	int64_t until_us = loop_now_us(&path.loop) + ms * US_PER_MS;

	while (clock_monotonic_us() < until_us)
		;
}

/*
 * Runs were broken off up to 94 ms before their caller's time was over, and the
 * caller was told 502. The node beside the upstream had been in a turn of its
 * loop for so long, taking over a configuration of many routes, when it read
 * the request; it added the time that the request had left to the beginning of
 * that turn. Seen: "served" with the end "deadline" right behind
 * "version_in_force" or "ready", and in the caller's line left_ms=92.
 */
Test(deadline, a_long_turn_does_not_end_a_run_early)
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
	path_wait(&path.upstream.closed_by_node, 1, "broken off");
	cr_expect_geq(clock_monotonic_us() - arrived_us, 500 * US_PER_MS,
		      "broken off after %lld us",
		      (long long)(clock_monotonic_us() - arrived_us));
	path_teardown();
}

/*
 * A caller was told 502 with 509 ms left, and its upstream was at work. Its
 * node had stood still for 0.7 s, taking over configurations of 5,000 routes
 * one after the other; the node beside the upstream had closed the silent
 * connection, given the run up 500 ms later, as nobody had asked for it, and
 * told so when the caller's node came back. Seen: "cancelled take=985" in
 * "tried", "peer_silent" of that node, no line beside the upstream.
 */
Test(deadline, a_run_whose_connection_was_lost_goes_on)
{
	struct server *server;
	struct path_result *result;
	int64_t deadline_us;

	set_up(false);
	server = &path.b.calls.server;
	server->options.orphan_us = 10 * US_PER_MS;
	result = send_within("/view", "1000");
	path_wait(&path.upstream.ran, 1, "it runs");
	deadline_us = server->inbound_attempts->context.deadline_us;
	inbound_orphan(server->inbound_attempts);
	path_run_turns(50);
	cr_expect(!path.upstream.closed_by_node ||
			  loop_now_us(&path.loop) >= deadline_us,
		  "broken off");
	path_wait(&result->answers, 1, "an answer");
	path_teardown();
}

/*
 * A request that may not be repeated could be begun and broken off after 1 ms:
 * its caller's node had sent it in the turn in which its time ended, so that it
 * told 0, and the other node was some way into a turn of its own. Its end
 * counts from the clock, and the gate looks at the beginning of the turn.
 */
Test(deadline, a_request_without_time_is_not_begun)
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
	/* The gate knows how long one takes. */
	result = path_send(&first);
	path_wait(&result->answers, 1, "the first");
	frame.id.incarnation = path.b.hub.self.incarnation;
	frame.id.sequence = 1;
	let_turn_last(2);
	serve_frame(server, &server->local, &frame);
	cr_expect_eq(path.b.gate.running_count, 0, "it was begun");
	path_run_turns(20);
	cr_expect_eq(path.upstream.ran, 1, "it ran");
	path_teardown();
}
