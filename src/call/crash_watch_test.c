#include <criterion/criterion.h>
#include <stdio.h>

#include "call/inbound.h"
#include "call/path_test.h"
#include "membership/gossip.h"
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

		/* What was sent in the same microsecond counts as sent to the
		 * present incarnation. */
		while (clock_monotonic_us() == before_us)
			;
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

/* What an upstream does, as the node beside it sees it. */
enum step {
	STEP_NONE,
	STEP_LOSES, /* the run ends without an answer */
	STEP_ANSWERS,
	STEP_FAILS, /* answers with 500 */
	STEP_ENDS,  /* refuses connections, and starts again */
	STEP_LEAVES,
	STEP_NODE_STOPS,
	STEP_RETURNS,	   /* starts again, unseen before the run is lost */
	STEP_LOSES_LATE,   /* as STEP_LOSES, sent to the former incarnation */
	STEP_RUNS_ABORTED, /* the node gives the run up */
	STEP_RUNS_TIMED_OUT,
};

enum { STEPS_MAX = 12 };

static struct quarantine_net quarantine;
static struct gossip alone; /* a node that knows no other node */

static void set_incarnation(uint64_t incarnation)
{
	struct error err = ERROR_INIT;
	struct address address;
	char id[32];

	snprintf(id, sizeof(id), "i-%llu", (unsigned long long)incarnation);
	address_parse("127.0.0.1:80", &address, &err);
	calls_set_upstream(&path.b.calls, "s", id, incarnation, &address);
}

static void watching_setup(void)
{
	const struct quarantine_options options = { .loop = &path.loop,
						    .hub = &path.b.hub,
						    .gossip = &alone,
						    .enabled = true };

	path_setup();
	quarantine_net_init(&quarantine, &options);
	path.b.calls.server.crash_watch.options.quarantine = &quarantine;
	set_incarnation(1);
}

static void watching_teardown(void)
{
	quarantine_net_finish(&quarantine);
	path_teardown();
}

static void observe(const struct fingerprint *fingerprint, int64_t sent_us,
		    unsigned int status)
{
	const struct inbound inbound = { .server = &path.b.calls.server,
					 .fingerprint = *fingerprint,
					 .sent_us = sent_us };
	const struct http_answer answer = {
		.delivery = status ? HTTP_ANSWERED : HTTP_MAY_BE_SENT,
		.status = status,
		.delimited = true,
	};
	const struct upstream_result result = { .answered = status != 0,
						.gate_feedback = GATE_FAILED };

	upstream_observe(&inbound, &result, &answer);
}

static void observe_timeout(const struct fingerprint *fingerprint,
			    int64_t sent_us)
{
	const struct inbound inbound = { .server = &path.b.calls.server,
					 .fingerprint = *fingerprint,
					 .sent_us = sent_us };
	const struct http_answer answer = { .delivery = HTTP_MAY_BE_SENT,
					    .timed_out = true };
	const struct upstream_result result = { .gate_feedback =
							GATE_TIMED_OUT };

	upstream_observe(&inbound, &result, &answer);
}

static void set_gate(enum gate_state state)
{
	gate_set_state(&path.b.gate, state, loop_now_us(&path.loop));
}

static void set_leaving(bool leaving)
{
	calls_set_upstream_leaving(&path.b.calls, leaving);
	set_gate(leaving ? GATE_LEAVING : GATE_OPEN);
}

static void end_upstream(uint64_t next_incarnation)
{
	struct crash_watch *watch = &path.b.calls.server.crash_watch;
	uint32_t i;

	for (i = 0; i < CRASH_REFUSED_MAX; i++)
		crash_watch_refused(watch);
	set_incarnation(next_incarnation);
	set_leaving(false);
}

/* A request that crashes upstreams would be sent on, or a harmless one be
 * blocked, because of what the node beside an upstream makes of its end. */
Test(crash_watch, only_what_an_upstream_ran_and_never_completes_is_blocked,
     .init = watching_setup, .fini = watching_teardown)
{
	static const struct {
		const char *name;
		enum step steps[STEPS_MAX];
		enum quarantine_state state;
	} cases[] = {
		{ "three ends",
		  { STEP_LOSES, STEP_ENDS, STEP_LOSES, STEP_ENDS, STEP_LOSES,
		    STEP_ENDS },
		  QUARANTINE_BLOCKED },
		{ "runs are lost, and the upstream goes on",
		  { STEP_LOSES, STEP_ANSWERS, STEP_LOSES, STEP_ANSWERS,
		    STEP_LOSES, STEP_ANSWERS, STEP_ENDS },
		  QUARANTINE_NONE },
		{ "it completes between the ends",
		  { STEP_LOSES, STEP_ENDS, STEP_LOSES, STEP_ENDS, STEP_ANSWERS,
		    STEP_LOSES, STEP_ENDS },
		  QUARANTINE_NONE },
		{ "an upstream fails it between the ends",
		  { STEP_LOSES, STEP_ENDS, STEP_LOSES, STEP_ENDS, STEP_FAILS,
		    STEP_LOSES, STEP_ENDS },
		  QUARANTINE_BLOCKED },
		{ "two upstreams end as they leave",
		  { STEP_LOSES, STEP_ENDS, STEP_LEAVES, STEP_LOSES, STEP_ENDS,
		    STEP_LEAVES, STEP_LOSES, STEP_ENDS },
		  QUARANTINE_SUSPECT },
		{ "the node stops before the third end",
		  { STEP_LOSES, STEP_ENDS, STEP_LOSES, STEP_ENDS,
		    STEP_NODE_STOPS, STEP_LOSES, STEP_ENDS },
		  QUARANTINE_BLOCKED },
		{ "the third one has returned before its run is lost",
		  { STEP_LOSES, STEP_ENDS, STEP_LOSES, STEP_ENDS, STEP_RETURNS,
		    STEP_LOSES_LATE, STEP_LOSES_LATE },
		  QUARANTINE_BLOCKED },
		{ "one returned, two of its runs are lost",
		  { STEP_RETURNS, STEP_LOSES_LATE, STEP_LOSES_LATE,
		    STEP_LOSES_LATE },
		  QUARANTINE_SUSPECT },
		{ "its runs are given up before the ends",
		  { STEP_RUNS_ABORTED, STEP_ENDS, STEP_RUNS_ABORTED, STEP_ENDS,
		    STEP_RUNS_ABORTED, STEP_ENDS },
		  QUARANTINE_BLOCKED },
		{ "its runs time out before the ends",
		  { STEP_RUNS_TIMED_OUT, STEP_ENDS, STEP_RUNS_TIMED_OUT,
		    STEP_ENDS, STEP_RUNS_TIMED_OUT, STEP_ENDS },
		  QUARANTINE_BLOCKED },
		{ "runs are given up, and the upstreams leave",
		  { STEP_RUNS_ABORTED, STEP_LEAVES, STEP_ENDS,
		    STEP_RUNS_ABORTED, STEP_LEAVES, STEP_ENDS,
		    STEP_RUNS_ABORTED, STEP_LEAVES, STEP_ENDS },
		  QUARANTINE_NONE },
		{ "they return after they left",
		  { STEP_LEAVES, STEP_RETURNS, STEP_LOSES_LATE, STEP_LEAVES,
		    STEP_RETURNS, STEP_LOSES_LATE, STEP_LEAVES, STEP_RETURNS,
		    STEP_LOSES_LATE },
		  QUARANTINE_NONE },
		{ "an upstream fails it after the ends",
		  { STEP_LOSES, STEP_ENDS, STEP_LOSES, STEP_ENDS, STEP_LOSES,
		    STEP_ENDS, STEP_FAILS },
		  QUARANTINE_BLOCKED },
	};
	uint64_t incarnation = 1;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const struct fingerprint fingerprint = { 100 + i, 200 + i };
		int64_t before_us = clock_monotonic_us() - 1;
		uint32_t at;

		for (at = 0; at < STEPS_MAX; at++) {
			int64_t now_us = clock_monotonic_us();

			switch (cases[i].steps[at]) {
			case STEP_NONE:
				break;
			case STEP_LOSES:
				observe(&fingerprint, now_us, 0);
				break;
			case STEP_ANSWERS:
				observe(&fingerprint, now_us, 200);
				break;
			case STEP_FAILS:
				observe(&fingerprint, now_us, 500);
				break;
			case STEP_ENDS:
				end_upstream(++incarnation);
				break;
			case STEP_LEAVES:
				set_leaving(true);
				break;
			case STEP_NODE_STOPS:
				set_gate(GATE_LEAVING);
				break;
			case STEP_RETURNS:
				set_incarnation(++incarnation);
				set_leaving(false);
				break;
			case STEP_LOSES_LATE:
				observe(&fingerprint, before_us, 0);
				break;
			case STEP_RUNS_ABORTED:
				crash_watch_aborted(
					&path.b.calls.server.crash_watch,
					&fingerprint);
				break;
			case STEP_RUNS_TIMED_OUT:
				observe_timeout(&fingerprint, now_us);
				break;
			}
		}
		cr_expect_eq(quarantine_table_state(&quarantine.table,
						    &fingerprint,
						    loop_now_us(&path.loop)),
			     cases[i].state, "%s", cases[i].name);
	}
}
