#include "call/path_test.h"

#include <criterion/criterion.h>
#include <string.h>

#include "call/call_defs.h"
#include "os/net.h"

#define REQUEST(id)                                                            \
	"GET /view HTTP/1.1\r\nHost: seal-desk\r\nX-Request-Id: " id "\r\n\r\n"

#define VIEW                                                                   \
	"GET /view HTTP/1.1\r\nHost: seal-desk\r\nX-Request-Id: head\r\n\r\n"
#define SEAL                                                                   \
	"POST /seal HTTP/1.1\r\nHost: seal-desk\r\nX-Request-Id: head\r\n"     \
	"Content-Length: 0\r\n\r\n"
#define SEAL_SOON                                                              \
	"POST /seal HTTP/1.1\r\nHost: seal-desk\r\n" HEADER_DEADLINE           \
	": 500\r\nContent-Length: 0\r\n\r\n"

enum { TURNS = 50, PAST_DEADLINE_TURNS = 400 };

/* Guards against an answer that waits behind a slower one on its connection and
 * that no metric tells of. */
Test(held_answer, an_answer_behind_a_slower_one_is_counted, .init = path_setup,
     .fini = path_teardown)
{
	static const struct {
		const char *name;
		bool hangs_up;
		int64_t lost;
	} cases[] = {
		{ "sent in its turn", false, 0 },
		{ "its caller hangs up", true, 1 },
	};
	static const char text[] = REQUEST("first") REQUEST("second");
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int64_t held = path_counter("call.answers_held");
		int64_t lost = path_counter("call.answers_held_lost");
		uint32_t ran = path.upstream.ran;
		size_t size = strlen(text);
		struct error err = ERROR_INIT;
		int fd = net_connect(http_server_address(&path.a.callers), NULL,
				     &err);

		cr_assert_neq(fd, NET_NONE, "%s", err.text);
		path.upstream.first = BEHAVE_HOLD;
		path.upstream.requests = 0;
		cr_assert_eq(net_write(fd, text, &size), NET_OK);
		path_wait(&path.upstream.ran, ran + 2, cases[i].name);
		path_run_turns(TURNS);
		cr_expect_eq(path_counter("call.answers_held"), held, "%s",
			     cases[i].name);
		if (cases[i].hangs_up)
			net_close(fd);
		else
			path_release("first");
		path_run_turns(TURNS);
		cr_expect_eq(path_counter("call.answers_held"), held + 1, "%s",
			     cases[i].name);
		cr_expect_eq(path_counter("call.answers_held_lost"),
			     lost + cases[i].lost, "%s", cases[i].name);
		if (!cases[i].hangs_up)
			net_close(fd);
	}
}

static void send_text(int fd, const char *text)
{
	size_t size = strlen(text);

	cr_assert_eq(net_write(fd, text, &size), NET_OK);
	cr_assert_eq(size, strlen(text));
}

/* Guards against an answer that is lost behind a slow head that its caller
 * could repeat, and against a head that is ended although it may run only once
 * or this node stops: a planned stop cuts nothing. */
Test(held_answer, a_head_of_less_value_is_ended, .init = path_setup,
     .fini = path_teardown)
{
	static const struct {
		const char *name;
		const char *head;
		bool enabled;
		bool leaving;
		int64_t ended;
	} cases[] = {
		{ "repeatable", VIEW, true, false, 1 },
		{ "switched off", VIEW, false, false, 0 },
		{ "not repeatable", SEAL, true, false, 0 },
		{ "this node stops", VIEW, true, true, 0 },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int64_t ended = path_counter("call.heads_ended");
		uint32_t ran = path.upstream.ran;
		char answer[4096] = "";
		size_t size = sizeof(answer) - 1;
		struct error err = ERROR_INIT;
		int fd = net_connect(http_server_address(&path.a.callers), NULL,
				     &err);

		cr_assert_neq(fd, NET_NONE, "%s", err.text);
		path.a.calls.caller.options.end_heads = cases[i].enabled;
		path.upstream.first = BEHAVE_HOLD;
		path.upstream.requests = 0;
		send_text(fd, cases[i].head);
		path_wait(&path.upstream.ran, ran + 1, cases[i].name);
		send_text(fd, SEAL_SOON);
		path_wait(&path.upstream.ran, ran + 2, cases[i].name);
		if (cases[i].leaving)
			calls_begin_leaving(&path.a.calls, INT64_MAX);
		path_run_turns(PAST_DEADLINE_TURNS);
		cr_expect_eq(path_counter("call.heads_ended"),
			     ended + cases[i].ended, "%s", cases[i].name);
		if (cases[i].ended) {
			cr_assert_eq(net_read(fd, answer, &size), NET_OK);
			cr_expect(strstr(answer, " 504 "), "%s", answer);
			cr_expect(strstr(answer, "holds-others"), "%s", answer);
			cr_expect(strstr(answer, " 200 "), "%s", answer);
		} else {
			path_release("head");
			path_run_turns(TURNS);
		}
		net_close(fd);
		path_run_turns(TURNS);
	}
}
