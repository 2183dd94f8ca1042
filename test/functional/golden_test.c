#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "golden.h"
#include "golden_session.h"

static const char cellar[] = "services = [\"cellar-view\"]\n"
			     "[kind.today]\n"
			     "weight = 5\n"
			     "repeatable = true\n"
			     "[[route]]\n"
			     "method = \"GET\"\n"
			     "path = \"/cellars/*\"\n"
			     "kind = \"today\"\n";

static const char cellar_heavier[] = "services = [\"cellar-view\"]\n"
				     "[kind.today]\n"
				     "weight = 6\n"
				     "repeatable = true\n"
				     "[[route]]\n"
				     "method = \"GET\"\n"
				     "path = \"/cellars/*\"\n"
				     "kind = \"today\"\n";

static const char cellar_lighter[] = "services = [\"cellar-view\"]\n"
				     "[kind.today]\n"
				     "weight = 4\n"
				     "repeatable = true\n"
				     "[[route]]\n"
				     "method = \"GET\"\n"
				     "path = \"/cellars/*\"\n"
				     "kind = \"today\"\n";

static const char faulty[] = "services = [\"cellar-view\"]\n"
			     "[kind.today]\n"
			     "wieght = 5\n"
			     "deadline_ms = 0\n"
			     "[[route]]\n"
			     "path = \"/cellars/*\"\n"
			     "kind = \"to-day\"\n";

static char oversized[PROFILE_TEXT_MAX + 2];
static struct session session;

static void setup(void)
{
	session_init(&session);
	session_file(&session, "cellar.toml", cellar);
	session_file(&session, "heavier.toml", cellar_heavier);
	session_file(&session, "lighter.toml", cellar_lighter);
	session_file(&session, "faulty.toml", faulty);
	memset(oversized, '#', sizeof(oversized) - 1);
	session_file(&session, "oversized.toml", oversized);
}

static void teardown(void)
{
	session_finish(&session);
}

Test(golden, values_that_vary_between_runs_are_replaced)
{
	static const struct {
		const char *text;
		const char *normal;
	} cases[] = {
		{ "on 127.0.0.1:43211.", "on 127.0.0.1:PORT." },
		{ "at 2026-12-02T19:33:43.997Z", "at TIME" },
		{ "at 2026-12-02 19:33:43Z!", "at TIME!" },
		{ "hash 0123456789abcdef0", "hash HASH" },
		{ "1764701623123 ms", "NUMBER ms" },
		{ "heard 12 ms ago", "heard N ms ago" },
		{ "version 12 of 345", "version 12 of 345" },
		{ "feedback", "feedback" },
		{ "p: the service refuses calls", "p: REASON" },
		{ "p: the deadline has passed", "p: REASON" },
		{ "x127.0.0.1:1", "x127.0.0.1:1" },
		{ "a\n{\"time\":1,\"event\":\"long_turn\"}\nb", "a\nb" },
		{ "{\"time\":1,\"event\":\"long_turn\"}", "" },
		{ "{\"time\":1,\"event\":\"drained\"}\nb",
		  "{\"time\":1,\"event\":\"drained\"}\nb" },
		{ "a {\"time\":1,\"event\":\"long_turn\"}",
		  "a {\"time\":1,\"event\":\"long_turn\"}" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct buffer out = { 0 };

		golden_normalise(cases[i].text, &out);
		cr_assert_str_eq((const char *)buffer_data(&out),
				 cases[i].normal);
		buffer_finish(&out);
	}
}

Test(golden, a_difference_is_readable)
{
	struct buffer out = { 0 };

	golden_difference("a\nb\nc\n", "a\nx\nc\nd\n", &out);
	cr_assert_str_eq((const char *)buffer_data(&out),
			 "  a\n- b\n+ x\n  c\n+ d\n");
	buffer_finish(&out);
}

Test(golden, an_operator_edits_and_accepts, .init = setup, .fini = teardown,
     .timeout = 60)
{
	session_run(&session, "profile list");
	session_note(&session, "a profile with faults is not stored");
	session_run(&session, "profile put cellar @faulty.toml");
	session_run(&session, "profile show cellar --draft");
	session_run(&session, "profile put cellar @oversized.toml");
	session_note(&session, "a good one is, and changes nothing yet");
	session_run(&session, "profile put cellar @cellar.toml");
	session_run(&session, "profile diff cellar");
	session_run(&session, "profile show cellar");
	session_run(&session, "profile accept cellar --id first");
	session_note(&session, "the same id again takes effect once");
	session_run(&session, "profile accept cellar --id first");
	session_run(&session, "profile show cellar");
	session_run(&session, "profile put cellar @heavier.toml");
	session_run(&session, "profile diff cellar");
	session_run(&session, "profile list");
	session_run(&session, "profile accept --id second --expect 1");
	session_run(&session, "profile history");
	session_run(&session, "profile revert cellar --to 1 --id third");
	session_run(&session, "profile show cellar");
	session_run(&session, "profile show cellar --version 2");
	session_run(&session, "profile remove cellar");
	session_run(&session, "profile discard cellar");
	session_run(&session, "profile accept cellar --id fourth");
	session_expect(&session, "edit");
}

/* Guards against a lost update when two operators edit the same version of a
 * profile and both accept. */
Test(golden, two_operators_race, .init = setup, .fini = teardown, .timeout = 60)
{
	session_run(&session, "profile put cellar @cellar.toml");
	session_run(&session, "profile accept cellar --id base");
	session_run(&session, "profile put cellar @heavier.toml --author linh");
	session_run(&session, "profile put cellar @lighter.toml --author mai");
	session_run(&session,
		    "profile accept cellar --author linh --id of-linh");
	session_note(&session, "the second is told what changed meanwhile");
	session_run(&session, "profile accept cellar --author mai --id of-mai");
	session_note(&session, "and has lost nothing");
	session_run(&session, "profile show cellar --draft --author mai");
	session_run(&session, "profile list");
	session_run(&session, "profile discard cellar --author mai");
	session_run(&session, "profile put cellar @lighter.toml --author mai");
	session_run(&session, "profile diff cellar --author mai");
	session_run(&session,
		    "profile accept cellar --author mai --id of-mai-2");
	session_run(&session, "profile history cellar");
	session_expect(&session, "race");
}

/* Guards against an acceptance that is reported as failed although it is in
 * force: if the answer is lost, only the head shows the outcome. */
Test(golden, the_platform_fails, .init = setup, .fini = teardown, .timeout = 60)
{
	session_run(&session, "profile put cellar @cellar.toml");
	session_note(&session, "answers of writes are lost");
	session_faults(&session, "{\"lose_answers\":2}");
	session_run(&session, "profile accept cellar --id lost");
	session_run(&session, "profile accept cellar --id lost");
	session_run(&session, "profile history");
	session_note(&session, "the platform is down");
	session_faults(&session, "{\"down\":true,\"lose_answers\":0}");
	session_run(&session, "profile put cellar @heavier.toml");
	session_run(&session, "profile accept cellar --id down");
	session_run(&session, "profile list");
	session_note(&session, "and back");
	session_faults(&session, "{\"down\":false}");
	session_run(&session, "profile put cellar @heavier.toml");
	session_run(&session, "profile accept cellar --id down");
	session_expect(&session, "platform");
}

static void set_data_centre(const char *name, bool reachable, uint64_t lowest,
			    uint64_t highest, const char *lagging_node)
{
	struct operator_status *status = &session.status;
	struct status_data_centre *dc =
		&status->data_centres[status->data_centre_count++];

	snprintf(dc->name, sizeof(dc->name), "%s", name);
	dc->reachable = reachable;
	dc->nodes = 3;
	dc->lowest = lowest;
	dc->highest = highest;
	dc->versions[dc->version_count++] =
		(struct status_version){ highest, lowest == highest ? 3 : 2 };
	if (lowest != highest)
		dc->versions[dc->version_count++] =
			(struct status_version){ lowest, 1 };
	if (lagging_node)
		snprintf(dc->lagging[dc->lagging_count++], NAME_SIZE, "%s",
			 lagging_node);
	dc->heard_ms = 90000;
}

static void set_status(void)
{
	struct operator_status *status = &session.status;

	snprintf(status->deployment, NAME_SIZE, "cellar");
	snprintf(status->data_centre, NAME_SIZE, "hcm-1");
	snprintf(status->instance, NAME_SIZE, "cellar-view-1");
	status->version = 7;
	status->seen_version = 7;
	status->platform_reachable = true;
}

Test(golden, an_operator_watches_a_version, .init = setup, .fini = teardown,
     .timeout = 60)
{
	set_status();
	set_data_centre("hcm-1", true, 7, 7, NULL);
	set_data_centre("hcm-2", true, 6, 7, "seal-desk-2");
	set_data_centre("hcm-3", false, 4, 4, NULL);
	session_run(&session, "status");
	session_run(&session, "status --wait 6");
	session_run(&session, "status --wait 7 --timeout-ms 250");
	session_note(&session, "the straggler catches up");
	session.status.data_centre_count = 0;
	memset(session.status.data_centres, 0,
	       sizeof(session.status.data_centres));
	set_data_centre("hcm-1", true, 7, 7, NULL);
	set_data_centre("hcm-2", true, 7, 7, NULL);
	set_data_centre("hcm-3", false, 4, 4, NULL);
	session_run(&session, "status --wait 7");
	session_run(&session, "status --json");
	session_note(&session, "the node itself is behind and leaving");
	session.status.version = 6;
	session.status.leaving = true;
	session.status.platform_reachable = false;
	snprintf(session.status.reason, sizeof(session.status.reason),
		 "version 7 was refused: kind.today.weight must be 0 to 100");
	session_run(&session, "status");
	session_expect(&session, "status");
}

Test(golden, an_operator_looks_into_a_node, .init = setup, .fini = teardown,
     .timeout = 60)
{
	session_run(&session, "health");
	health_set(&session.finding, HEALTH_WARN,
		   "the platform has not answered for 12 s",
		   "calls go on; changes wait until it is back");
	session_run(&session, "health");
	health_set(&session.finding, HEALTH_BAD, "no configuration is in force",
		   "accept a profile");
	session_run(&session, "health");
	session_run(&session, "health --json");
	session_run(&session, "dump config");
	session_run(&session, "dump confg");
	session_expect(&session, "node");
}

/* Lines as log collectors store them: from several nodes, not sorted by time,
 * with a prefix before an object, and one truncated. */
#define CALL_LINE                                                              \
	"node-c-1 {\"time\":\"2026-03-10T06:09:10.427Z\",\"level\":\"info\","  \
	"\"slice\":\"call\",\"event\":\"call\",\"data_centre\":\"dc-c\","      \
	"\"instance\":\"node-c-1\",\"request\":\"44ca850ec3a52351\","          \
	"\"end\":\"late\",\"verdict\":\"not-run\",\"status\":0,"               \
	"\"service\":\"cellar-view\",\"kind\":\"today\",\"version\":73,"       \
	"\"took_ms\":4,\"upstream_ms\":0,\"left_ms\":896,"                     \
	"\"pass\":\"refused\",\"tries\":1,\"tried\":\"node-b-5 late take=2 "   \
	"load=3.33@27 in=7 fails=0 far\",\"retry_tokens\":2,"                  \
	"\"upstreams\":2}\n"
#define TURNED_AWAY_LINE                                                       \
	"{\"time\":\"2026-03-10T06:09:10.423Z\",\"level\":\"info\","           \
	"\"slice\":\"call\",\"event\":\"turned_away\","                        \
	"\"data_centre\":\"dc-b\",\"instance\":\"node-b-5\","                  \
	"\"request\":\"44ca850ec3a52351\",\"from\":\"node-c-1\","              \
	"\"end\":\"late\",\"verdict\":\"not-run\",\"kind\":\"today\","         \
	"\"back_in_ms\":412,\"running\":6,\"waiting\":16,\"limit\":6,"         \
	"\"due_in_ms\":892}\n"
#define SERVED_LINE                                                            \
	"{\"time\":\"2026-03-10T06:08:41.018Z\",\"level\":\"info\","           \
	"\"slice\":\"call\",\"event\":\"served\",\"data_centre\":\"dc-c\","    \
	"\"instance\":\"node-c-1\",\"request\":\"71365a7de574db4b\","          \
	"\"from\":\"itself\",\"attempt\":12,\"start\":\"i-8\","                \
	"\"end\":\"upstream-failed\","                                         \
	"\"verdict\":\"may-have-run\",\"status\":0,"                           \
	"\"text\":\"connection reset\",\"kind\":\"today\",\"queued_ms\":101,"  \
	"\"upstream_ms\":0,\"connection\":\"kept\",\"running\":5,"             \
	"\"waiting\":3,\"limit\":5}\n"

#define REFUSED_LINE                                                           \
	"{\"time\":\"2026-03-10T06:09:11.000Z\",\"level\":\"info\","           \
	"\"slice\":\"call\",\"event\":\"call\",\"data_centre\":\"dc-c\","      \
	"\"instance\":\"node-c-1\",\"request\":\"9a0ce20cab0c2711\","          \
	"\"end\":\"no-route\",\"verdict\":\"not-run\","                        \
	"\"host\":\"cellar-view\",\"target\":\"/barrels\",\"version\":73,"     \
	"\"text\":\"no route of the profile matches\"}\n"

#define HELD_LINES                                                             \
	"{\"time\":\"2026-03-10T06:08:52.100Z\",\"level\":\"info\","           \
	"\"slice\":\"call\",\"event\":\"call\",\"data_centre\":\"dc-a\","      \
	"\"instance\":\"node-a-2\",\"request\":\"5ce19b0a77d1e380\","          \
	"\"end\":\"answered\",\"verdict\":\"ran\",\"status\":200,"             \
	"\"service\":\"cellar-view\",\"kind\":\"today\",\"version\":73,"       \
	"\"took_ms\":130,\"upstream_ms\":120,\"late_ms\":0,"                   \
	"\"left_ms\":870,\"pass\":\"in-time\",\"tries\":1}\n"                  \
	"{\"time\":\"2026-03-10T06:08:52.940Z\",\"level\":\"info\","           \
	"\"slice\":\"call\",\"event\":\"answer_held\","                        \
	"\"data_centre\":\"dc-a\",\"instance\":\"node-a-2\","                  \
	"\"request\":\"5ce19b0a77d1e380\",\"end\":\"sent\","                   \
	"\"ahead\":\"90d2c4aa81b6e7f3\",\"service\":\"cellar-view\","          \
	"\"kind\":\"today\",\"status\":200,\"held_ms\":840,"                   \
	"\"late_ms\":470,\"ready_late_ms\":0}\n"

/* Two attempts of one node at one upstream, and a request that was not read. */
#define REJECTED_LINE(time, attempt, named)                                    \
	"{\"time\":\"2026-03-10T06:09:12." time "Z\",\"level\":\"info\","      \
	"\"slice\":\"call\",\"event\":\"served\",\"data_centre\":\"dc-b\","    \
	"\"instance\":\"node-b-5\",\"request\":\"aff540c39f52bbee\","          \
	"\"from\":\"node-c-1\",\"attempt\":" attempt ",\"start\":\"i-8\","     \
	"\"end\":\"shed\",\"verdict\":\"not-run\",\"proof\":\"field\","        \
	"\"status\":429,\"named\":\"" named "\",\"queued_ms\":0,"              \
	"\"upstream_ms\":1,\"connection\":\"kept\"}\n"
#define UNREAD_LINE                                                            \
	"{\"time\":\"2026-03-10T06:09:13.000Z\",\"level\":\"info\","           \
	"\"slice\":\"http\",\"event\":\"refused\",\"data_centre\":\"dc-c\","   \
	"\"instance\":\"node-c-1\",\"request\":\"0f1e2d3c4b5a6978\","          \
	"\"end\":\"body-timeout\",\"verdict\":\"not-run\",\"status\":408}\n"

Test(golden, a_request_is_explained, .init = setup, .fini = teardown,
     .timeout = 60)
{
	session_file(&session, "nodes.log",
		     CALL_LINE
		     "not a line of a node\n" SERVED_LINE
		     "{\"time\":\"2026-03-1\n" TURNED_AWAY_LINE REFUSED_LINE
			     HELD_LINES REJECTED_LINE("100", "7", "yes")
				     REJECTED_LINE("104", "9", "no")
					     UNREAD_LINE);
	session_note(&session, "refused where it was asked");
	session_run(&session, "explain 44ca850ec3a52351 @nodes.log");
	session_note(&session, "the caller's node has written nothing");
	session_run(&session, "explain 71365a7de574db4b @nodes.log");
	session_note(&session, "refused before it became a call");
	session_run(&session, "explain 9a0ce20cab0c2711 @nodes.log");
	session_note(&session, "its answer waited on the caller's connection");
	session_run(&session, "explain 5ce19b0a77d1e380 @nodes.log");
	session_note(&session, "what proves that two attempts have not run");
	session_run(&session, "explain aff540c39f52bbee @nodes.log");
	session_note(&session, "refused before it was read");
	session_run(&session, "explain 0f1e2d3c4b5a6978 @nodes.log");
	session_note(&session, "nobody has a line of it");
	session_run(&session, "explain 0000000000000000 @nodes.log");
	session_note(&session, "for machines");
	session_run(&session, "explain --json 71365a7de574db4b @nodes.log");
	session_note(&session, "a file that is not there");
	session_run(&session, "explain 71365a7de574db4b /nonexistent");
	session_expect(&session, "explain");
}

#define LATE_LINE                                                              \
	"{\"time\":\"2026-03-10T06:09:21.020Z\",\"level\":\"info\","           \
	"\"slice\":\"call\",\"event\":\"call\",\"data_centre\":\"dc-a\","      \
	"\"instance\":\"node-a-2\",\"request\":\"0c1\",\"end\":\"answered\","  \
	"\"verdict\":\"ran\",\"status\":200,\"service\":\"cellar-view\","      \
	"\"kind\":\"today\",\"tenant\":\"shop\",\"version\":73,"               \
	"\"took_ms\":540,"                                                     \
	"\"upstream_ms\":120,\"late_ms\":40,\"left_ms\":360,"                  \
	"\"pass\":\"in-time\",\"tries\":1}\n"
#define CHANGE_LINE                                                            \
	"{\"time\":\"2026-03-10T06:09:12.500Z\",\"level\":\"info\","           \
	"\"slice\":\"config\",\"event\":\"version_in_force\","                 \
	"\"version\":73}\n"

Test(golden, failed_requests_are_reported, .init = setup, .fini = teardown,
     .timeout = 60)
{
	session_file(&session, "nodes.log",
		     CALL_LINE
		     "not a line of a node\n" SERVED_LINE LATE_LINE
		     "{\"time\":\"2026-03-1\n" CHANGE_LINE TURNED_AWAY_LINE);
	session_file(&session, "empty.log", "");
	session_note(&session, "who was not served in time, why and when");
	session_run(&session, "report @nodes.log");
	session_note(&session, "by the minute, for machines");
	session_run(&session, "report --json --every 60 @nodes.log");
	session_note(&session, "nothing to account for");
	session_run(&session, "report @empty.log");
	session_note(&session, "a span that is none");
	session_run(&session, "report --every 0 @nodes.log");
	session_note(&session, "a file that is not there");
	session_run(&session, "report /nonexistent");
	session_expect(&session, "report");
}
