#include <criterion/criterion.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "fleet/fetch.h"
#include "fleet/process.h"
#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: odd answer
 *
 * An upstream that sends bytes without end or odd answers, with real nodes and
 * the interface of the target platform. Node 0 is beside the upstream.
 */

enum {
	NODES = 2,
	POLL_MS = 20,
	WAIT_MS = BACKGROUND_WAIT_MS,
	PATH_SIZE = 192,
	TEXT_SIZE = 2048,
	READ_MAX_BYTES = 256 * 1024,
	BODY_MAX_BYTES = 32 * 1024,
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

struct odd_node {
	struct process process;
	char caller[ADDRESS_TEXT_SIZE];
	char upstream[ADDRESS_TEXT_SIZE];
	char operator_address[ADDRESS_TEXT_SIZE];
};

static struct {
	char directory[PATH_SIZE];
	struct process metadata;
	char metadata_address[ADDRESS_TEXT_SIZE];
	struct process upstream;
	char upstream_address[ADDRESS_TEXT_SIZE];
	struct odd_node nodes[NODES];
	int64_t sequence; /* of the last heartbeat */
} odd;

static const char settings_format[] =
	"[node]\ndeployment = \"test\"\ndata_centre = \"hall\"\n"
	"instance = \"side-%d\"\ninterface = \"platform\"\n"
	"service = \"huvo\"\n"
	"[listen]\npeer = \"127.0.0.1:0\"\ncaller = \"127.0.0.1:0\"\n"
	"upstream = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n"
	"[peers]\nsecret = \"a secret of the tests\"\n"
	"[platform]\naddress = \"%s\"\ntimeout_ms = 1000\n"
	"[call]\nlinger_ms = 0\nkeep_upstream_ms = 0\nmax_body_bytes = %d\n"
	"%s";

static const char document[] =
	"{\"version\":\"r1\",\"routes\":{\"r-1\":{\"host\":\"h.example\","
	"\"prefix\":\"/lepu/\",\"kind\":\"safe\",\"timeout_s\":5,"
	"\"target_latency_s\":1,\"priority\":0,\"service\":\"huvo\","
	"\"max_attempts\":1},\"r-2\":{\"host\":\"h.example\","
	"\"prefix\":\"/kafi/\",\"kind\":\"unsafe\",\"timeout_s\":5,"
	"\"target_latency_s\":1,\"priority\":0,\"service\":\"huvo\","
	"\"max_attempts\":1}},\"services\":{\"huvo\":{\"health_path\":"
	"\"/healthz\",\"max_connections\":50}}}";

static const char safe_path[] = "/lepu/2f";
static const char unsafe_path[] = "/kafi/2f";

/* Node 0 asks for the health of the upstream as it starts. */
static void start_node(int i)
{
	struct odd_node *node = &odd.nodes[i];
	char path[PATH_SIZE + 32];
	char log[PATH_SIZE + 32];
	char upstream[ADDRESS_TEXT_SIZE + 64] = "";
	const char *args[] = { "node", "--settings", path, NULL };
	FILE *file;

	snprintf(path, sizeof(path), "%s/node-%d.toml", odd.directory, i);
	snprintf(log, sizeof(log), "%s/node-%d.log", odd.directory, i);
	if (i == 0)
		snprintf(upstream, sizeof(upstream),
			 "[upstream]\naddress = \"%s\"\n",
			 odd.upstream_address);
	file = fopen(path, "we");
	cr_assert_not_null(file);
	fprintf(file, settings_format, i, odd.metadata_address, BODY_MAX_BYTES,
		upstream);
	cr_assert_eq(fclose(file), 0);
	cr_assert(process_start(&node->process, "geraniumplank", args, log));
	cr_assert(process_wait_ready(&node->process, WAIT_MS));
	process_ready_text(&node->process, "caller", node->caller,
			   ADDRESS_TEXT_SIZE);
	process_ready_text(&node->process, "upstream", node->upstream,
			   ADDRESS_TEXT_SIZE);
	process_ready_text(&node->process, "operator", node->operator_address,
			   ADDRESS_TEXT_SIZE);
}

static long post(const char *address, const char *path, const char *body)
{
	struct fetch fetch = { .method = "POST",
			       .body = body,
			       .headers = {
				       "Content-Type: application/json" } };
	long status;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s%s", address, path);
	fetch_run(&fetch);
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

static void write_configuration(void)
{
	char value[TEXT_SIZE];
	char body[2 * TEXT_SIZE];

	sodium_bin2base64(value, sizeof(value), (const uint8_t *)document,
			  strlen(document), sodium_base64_VARIANT_ORIGINAL);
	snprintf(body, sizeof(body),
		 "{\"precondition\":[],\"deletes\":[],\"writes\":[{\"key\":"
		 "\"op/config\",\"value\":\"%s\",\"lease\":0}]}",
		 value);
	cr_assert_eq(post(odd.metadata_address, "/-/kv-txn", body), 200);
}

static void start_standin(struct process *process, const char *const args[],
			  char address[ADDRESS_TEXT_SIZE])
{
	char log[PATH_SIZE + 32];

	snprintf(log, sizeof(log), "%s/%s.log", odd.directory, args[0]);
	cr_assert(process_start(process, "standin", args, log));
	cr_assert(process_wait_ready(process, WAIT_MS));
	process_ready_text(process, "address", address, ADDRESS_TEXT_SIZE);
}

static void start_upstream(const char *kind)
{
	const char *const args[] = { "upstream",   "--service", "huvo",
				     "--announce", "",		"--odd",
				     kind,	   NULL };

	start_standin(&odd.upstream, args, odd.upstream_address);
}

static void start_metadata(void)
{
	static const char *const args[] = { "metadata", NULL };

	memset(&odd, 0, sizeof(odd));
	snprintf(odd.directory, PATH_SIZE, "/tmp/geraniumplank-XXXXXX");
	cr_assert_not_null(mkdtemp(odd.directory));
	start_standin(&odd.metadata, args, odd.metadata_address);
	write_configuration();
}

static void stop(void)
{
	char command[PATH_SIZE + 16];
	int i;

	for (i = 0; i < NODES; i++)
		process_kill(&odd.nodes[i].process);
	process_kill(&odd.upstream);
	process_kill(&odd.metadata);
	snprintf(command, sizeof(command), "rm -r %s", odd.directory);
	cr_expect_eq(system(command), 0);
}

static void set_kind(const char *kind)
{
	char body[TEXT_SIZE];

	snprintf(body, sizeof(body), "{\"odd\":\"%s\"}", kind);
	cr_assert_eq(post(odd.upstream_address, "/standin/faults", body), 200,
		     "%s", kind);
}

static void send_heartbeat(void)
{
	char body[TEXT_SIZE];

	snprintf(body, sizeof(body),
		 "{\"address\":\"%s\",\"born\":1764720000000,"
		 "\"info\":{\"service\":\"huvo\",\"version\":\"v1\","
		 "\"zone\":\"hall\",\"slots\":6},\"status\":{\"state\":"
		 "\"ready\",\"seq\":%lld,\"cold_left_s\":0}}",
		 odd.upstream_address, (long long)++odd.sequence);
	post(odd.nodes[0].upstream, "/-/Instances.Heartbeat/i-1", body);
}

static long call(int node, const char *path, size_t *size)
{
	struct fetch fetch = { .method = "GET",
			       .headers = { "Host: h.example",
					    "X-Request-Id: 9c41d07be2a35f68",
					    "X-Deadline-Ms: 4000" } };
	long status;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s%s",
		 odd.nodes[node].caller, path);
	fetch_run(&fetch);
	status = fetch.status;
	*size = fetch.answer_size;
	fetch_finish(&fetch);
	return status;
}

/* Waits until a usual answer comes through node @node. */
static bool wait_served(int node)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;
	size_t size;

	while (clock_monotonic_us() < until_us) {
		send_heartbeat();
		if (call(node, safe_path, &size) == 200)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

static int64_t counter(int node, const char *name)
{
	struct fetch fetch = { .method = "GET" };
	int64_t value = -1;
	json_t *json;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s/v1/counters",
		 odd.nodes[node].operator_address);
	if (fetch_run(&fetch)) {
		json = json_loads(fetch.answer, 0, NULL);
		value = json_integer_value(json_object_get(
			json_object_get(json, "counters"), name));
		json_decref(json);
	}
	fetch_finish(&fetch);
	return value;
}

static void start(void)
{
	int i;

	start_metadata();
	start_upstream("");
	for (i = 0; i < NODES; i++)
		start_node(i);
}

struct odd_case {
	const char *kind;
	long status;
	size_t body_size; /* of an answer that is passed on */
	bool over_limit;
};

static const struct odd_case cases[] = {
	{ "noise", 502, 0, false },
	{ "blank-lines", 502, 0, true },
	{ "endless-field", 502, 0, true },
	{ "endless-fields", 502, 0, true },
	{ "endless-body", 502, 0, true },
	{ "endless-chunks", 502, 0, true },
	{ "endless-extension", 502, 0, true },
	{ "endless-trailers", 502, 0, true },
	{ "informational", 502, 0, true },
	{ "other-answers", 502, 0, true },
	{ "many-fields", 200, 4, false },
	{ "too-many-fields", 502, 0, true },
	{ "empty-fields", 200, 4, false },
	{ "long-field", 200, 4, false },
	{ "too-long-field", 502, 0, true },
	{ "trailers", 200, 4, false },
	{ "two-lengths", 502, 0, false },
	{ "switching", 502, 0, false },
	{ "body-of-none", 204, 0, false },
	{ "head-stops", 502, 0, false },
	{ "head-stops-early", 502, 0, false },
	{ "head-stops-late", 502, 0, false },
	{ "status-000", 502, 0, false },
	{ "status-099", 502, 0, false },
	{ "status-600", 502, 0, false },
	{ "status-999", 502, 0, false },
	{ "wild-load", 200, 4, false },
	{ "wild-wait", 503, 0, false },
};

static void play(const struct odd_case *odd_case, int node, const char *path)
{
	const char *kind = odd_case->kind;
	int64_t bytes = counter(0, "http.answer_bytes");
	int64_t over_limit = counter(0, "http.answers_over_limit");
	size_t size;
	long status;

	set_kind(kind);
	status = call(node, path, &size);
	cr_expect_eq(status, odd_case->status, "%s, node %d, %s: %ld", kind,
		     node, path, status);
	if (odd_case->body_size)
		cr_expect_eq(size, odd_case->body_size, "%s, node %d", kind,
			     node);
	bytes = counter(0, "http.answer_bytes") - bytes;
	cr_expect_leq(bytes, READ_MAX_BYTES, "%s, node %d: %lld bytes", kind,
		      node, (long long)bytes);
	cr_expect_eq(counter(0, "http.answers_over_limit") - over_limit,
		     odd_case->over_limit, "%s, node %d", kind, node);
	set_kind("");
	cr_expect(wait_served(node), "%s, node %d", kind, node);
}

/* Guards against a faulty upstream whose bytes end or occupy the process beside
 * it, close the connection between two nodes, or reach a caller as an answer. */
Test(odd_answer, is_judged_beside_the_upstream, .init = start, .fini = stop,
     .timeout = 120)
{
	int64_t opened;
	size_t i;

	cr_assert(wait_served(0) && wait_served(1));
	opened = counter(0, "wire.connections_opened");
	for (i = 0; i < COUNT(cases); i++) {
		play(&cases[i], 0, safe_path);
		play(&cases[i], 1, safe_path);
		play(&cases[i], 0, unsafe_path);
		play(&cases[i], 1, unsafe_path);
	}
	cr_expect_eq(counter(0, "wire.connections_opened"), opened);
	cr_expect_eq(counter(0, "call.frames_invalid"), 0);
}

/* Guards against bytes without end in place of the answer to a health check. */
Test(odd_answer, a_health_check_is_bounded, .init = start_metadata,
     .fini = stop, .timeout = 120)
{
	static const char *const kinds[] = { "blank-lines", "endless-field",
					     "endless-body", "informational" };
	size_t i;

	for (i = 0; i < COUNT(kinds); i++) {
		int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

		start_upstream(kinds[i]);
		start_node(0);
		while (!counter(0, "http.answers_over_limit") &&
		       clock_monotonic_us() < until_us)
			sleep_ms(POLL_MS);
		cr_expect_eq(counter(0, "http.answers_over_limit"), 1, "%s",
			     kinds[i]);
		cr_expect_eq(counter(0, "call.recalls"), 1, "%s", kinds[i]);
		set_kind("");
		cr_expect(wait_served(0), "%s", kinds[i]);
		process_kill(&odd.nodes[0].process);
		process_kill(&odd.upstream);
	}
}
