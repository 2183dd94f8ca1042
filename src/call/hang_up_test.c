#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "call/path_test.h"
#include "os/clock.h"
#include "os/net.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define REQUEST "GET /view HTTP/1.1\r\nHost: seal-desk\r\n\r\n"

/* Longer than the age from which on the loop polls its descriptors again. */
enum { LONG_CALLBACK_MS = 50, CALLERS_MAX = 90 };

/* What keeps the node from reading before the caller has hung up. */
enum occasion {
	STOPPED_BEFORE,	     /* the node does nothing until then */
	STOPPED_BY_DEFERRED, /* a deferred call between reading and handling */
	STOPPED_BY_TIMER,
	STOPPED_BY_DESCRIPTOR,
};

static const struct {
	const char *name;
	const char *sent;
	uint32_t callers;
	bool accepted; /* connected before the node is stopped */
	bool own;      /* the upstream beside the caller's node */
	enum occasion occasion;
} cases[] = {
	{ "new connection", REQUEST, 1, false, false, STOPPED_BEFORE },
	{ "many new connections", REQUEST, CALLERS_MAX, false, false,
	  STOPPED_BEFORE },
	{ "kept connection", REQUEST, 1, true, false, STOPPED_BEFORE },
	{ "kept connection, own upstream", REQUEST, 1, true, true,
	  STOPPED_BEFORE },
	{ "pipelined requests", REQUEST REQUEST REQUEST, 1, true, false,
	  STOPPED_BEFORE },
	{ "long deferred call", REQUEST, 1, true, false, STOPPED_BY_DEFERRED },
	{ "long timer", REQUEST, 1, true, true, STOPPED_BY_TIMER },
	{ "long event", REQUEST, 1, true, false, STOPPED_BY_DESCRIPTOR },
};

static int callers[CALLERS_MAX];
static size_t caller_count;
static int pipe_ends[2];

static void hang_up(void)
{
	size_t i;

	for (i = 0; i < caller_count; i++)
		net_close(callers[i]);
	caller_count = 0;
}

static void hang_up_and_take_long(void)
{
	hang_up();
	usleep(LONG_CALLBACK_MS * US_PER_MS);
}

static void deferred_run(void *data)
{
	hang_up_and_take_long();
}

static void timer_expired(struct timer *timer, void *data)
{
	hang_up_and_take_long();
}

static void pipe_ready(struct watch *watch, int ready, void *data)
{
	char byte;

	cr_assert_eq(read(watch->fd, &byte, 1), 1);
	hang_up_and_take_long();
}

static void connect_callers(uint32_t count)
{
	struct error err = ERROR_INIT;

	for (caller_count = 0; caller_count < count; caller_count++) {
		callers[caller_count] = net_connect(
			http_server_address(&path.a.callers), NULL, &err);
		cr_assert_neq(callers[caller_count], NET_NONE, "%s", err.text);
	}
}

static void send_requests(const char *text)
{
	size_t i;

	for (i = 0; i < caller_count; i++) {
		size_t size = strlen(text);

		cr_assert_eq(net_write(callers[i], text, &size), NET_OK);
		cr_assert_eq(size, strlen(text));
	}
}

/* Runs one turn of the loop in which the callers hang up. */
static void run_turn(enum occasion occasion)
{
	struct deferred deferred;
	struct timer timer;
	struct watch watch;
	struct error err = ERROR_INIT;

	deferred_init(&deferred, deferred_run, NULL);
	timer_init(&timer, timer_expired, NULL);
	cr_assert_eq(pipe(pipe_ends), 0);
	cr_assert(watch_start(&watch, &path.loop, pipe_ends[0], LOOP_READ,
			      pipe_ready, NULL, &err));
	switch (occasion) {
	case STOPPED_BEFORE:
		hang_up();
		break;
	case STOPPED_BY_DEFERRED:
		loop_defer(&path.loop, &deferred);
		break;
	case STOPPED_BY_TIMER:
		timer_set(&path.loop, &timer, 0);
		break;
	case STOPPED_BY_DESCRIPTOR:
		cr_assert_eq(write(pipe_ends[1], "x", 1), 1);
		break;
	}
	loop_turn(&path.loop, 0);
	watch_stop(&watch);
	net_close(pipe_ends[0]);
	net_close(pipe_ends[1]);
}

/* Sends a request, so that the connection between the nodes is open. */
static void set_up(bool own)
{
	const struct path_request request = { .method = "GET",
					      .path = "/view" };

	path_setup();
	if (own)
		path_route_to_own();
	path_wait(&path_send(&request)->answers, 1, "an answer");
}

/*
 * Guards against a request that is passed on to an upstream after its caller
 * has hung up, because the node decides before it reads the end of the
 * connection.
 */
Test(hang_up, a_request_whose_caller_has_hung_up_is_not_passed_on)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t served_before;
		uint32_t requests_before;

		set_up(cases[i].own);
		served_before = path_counter("call.served");
		requests_before = path.upstream.requests;
		connect_callers(cases[i].callers);
		if (cases[i].accepted)
			path_run_turns(3);
		send_requests(cases[i].sent);
		run_turn(cases[i].occasion);
		path_run_turns(20);
		cr_expect_eq(path_counter("call.served") - served_before, 0,
			     "%s: %lld calls were passed on", cases[i].name,
			     (long long)(path_counter("call.served") -
					 served_before));
		cr_expect_eq(path.upstream.requests, requests_before,
			     "%s: reached the upstream", cases[i].name);
		path_teardown();
	}
}

/* The requests of the test above are passed on if their caller stays. */
Test(hang_up, a_request_whose_caller_waits_is_passed_on)
{
	set_up(false);
	connect_callers(1);
	send_requests(REQUEST);
	path_wait(&path.upstream.ran, 2, "running");
	hang_up();
	path_teardown();
}
