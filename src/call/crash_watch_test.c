#include <criterion/criterion.h>

#include "call/inbound.h"
#include "call/path_test.h"
#include "os/clock.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* What the former incarnation said of itself would limit the next one, or keep
 * it from getting requests, and its crash would hide that of the next one. */
Test(crash_watch, another_incarnation_starts_anew)
{
	static const struct {
		const char *name;
		const char *id;
		uint64_t start;
		const char *address;
		bool crashed;
		bool was_listed;
		bool is_kept;
	} cases[] = {
		{ "the same", "i-1", 7, "127.0.0.1:80", false, true, true },
		{ "listed again", "i-1", 7, "127.0.0.1:80", false, false,
		  true },
		{ "listed again after a crash", "i-1", 7, "127.0.0.1:80", true,
		  false, false },
		{ "another id", "i-2", 8, "127.0.0.1:80", false, true, false },
		{ "another start under the same id", "i-1", 8, "127.0.0.1:80",
		  false, true, false },
		{ "another address", "i-1", 7, "127.0.0.1:81", false, true,
		  false },
	};
	size_t i;

	path_setup();
	for (i = 0; i < COUNT(cases); i++) {
		struct server *server = &path.b.calls.server;
		struct error err = ERROR_INIT;
		struct address address;

		address_parse("127.0.0.1:80", &address, &err);
		calls_set_upstream(&path.b.calls, "s", "i-1", 7, &address);
		server->notice.leaving = true;
		gate_set_rate_limit(server->options.gate, 1, 0);
		server->crash_watch.losses.crash_id = cases[i].crashed;
		if (!cases[i].was_listed)
			calls_set_upstream(&path.b.calls, "", "", 0, NULL);
		address_parse(cases[i].address, &address, &err);
		calls_set_upstream(&path.b.calls, "s", cases[i].id,
				   cases[i].start, &address);
		cr_expect_eq(server->notice.leaving, cases[i].is_kept, "%s",
			     cases[i].name);
		cr_expect_eq(server->options.gate->rate.limited,
			     cases[i].is_kept, "%s", cases[i].name);
		cr_expect_eq(crash_watch_has_ended(&server->crash_watch), false,
			     "%s", cases[i].name);
	}
	path_teardown();
}

/* The next incarnation would get no requests because the former one, whose
 * answer comes late, was leaving. */
Test(crash_watch, a_late_answer_says_nothing_about_the_next_incarnation)
{
	static const struct {
		const char *name;
		bool sent_before;
	} cases[] = {
		{ "sent to the present incarnation", false },
		{ "sent to the former incarnation", true },
	};
	const struct http_header headers[] = { { HEADER_LEAVING, "1" },
					       { HEADER_RATE_LIMIT, "1" } };
	const struct http_answer answer = { .delivery = HTTP_ANSWERED,
					    .status = 200,
					    .headers = headers,
					    .header_count = COUNT(headers),
					    .delimited = true };
	const struct upstream_result result = { .answered = true,
						.gate_feedback = GATE_OK };
	size_t i;

	path_setup();
	for (i = 0; i < COUNT(cases); i++) {
		struct server *server = &path.b.calls.server;
		struct inbound inbound = { .server = server };
		struct error err = ERROR_INIT;
		struct address address;
		int64_t before_us = clock_monotonic_us();

		address_parse("127.0.0.1:80", &address, &err);
		calls_set_upstream(&path.b.calls, "s", "i-1", i, &address);
		calls_set_upstream(&path.b.calls, "s", "i-2", i, &address);
		inbound.sent_us = cases[i].sent_before ? before_us
						       : clock_monotonic_us();
		upstream_observe(&inbound, &result, &answer);
		cr_expect_eq(server->notice.leaving, !cases[i].sent_before,
			     "%s", cases[i].name);
		cr_expect_eq(server->options.gate->rate.limited,
			     !cases[i].sent_before, "%s", cases[i].name);
	}
	path_teardown();
}
