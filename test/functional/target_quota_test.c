#include <criterion/criterion.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fetch.h"
#include "fleet/load.h"
#include "fleet/process.h"
#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: target quota
 *
 * A limit over all nodes, kept by real nodes with the interface of the target
 * platform, which end or are paused together. Demand is far above the limit.
 */

enum {
	NODES = 6,
	CENTRES = 2,
	PER_S = 40,
	BURST = 40,
	DEMAND_PER_S = 150,
	IN_FLIGHT_MAX = 1000,
	WAIT_MS = BACKGROUND_WAIT_MS,
	POLL_MS = 20,
	HEARTBEAT_MS = 250,
	WINDOW_US = 5000 * 1000,
	ROUNDS = 3,
	ROUND_MS = 5000,
	PAUSE_MS = 2500,
	/* A longer time without a request is one in which this process did not
	 * run: nothing of the limit was asked for then. */
	DEMAND_GAP_MAX_US = 100 * 1000,
	SERVED_MIN_PERCENT = 85,
	PATH_SIZE = 192,
	TEXT_SIZE = 2048,
};

/* (5 s at the rate + burst) x 1.1 + 20 */
static const uint32_t window_max = (5 * PER_S + BURST) * 11 / 10 + 20;

/**
 * struct quota_node - a node and the upstream beside it
 * @peer: address for other nodes; kept after a restart, as the next two
 * @is_paused: the node does not run and cannot answer
 */
struct quota_node {
	struct process process;
	struct process upstream;
	char upstream_address[ADDRESS_TEXT_SIZE];
	char peer[ADDRESS_TEXT_SIZE];
	char caller[ADDRESS_TEXT_SIZE];
	char announce[ADDRESS_TEXT_SIZE];
	bool is_paused;
};

static struct {
	char directory[PATH_SIZE];
	struct process metadata;
	char metadata_address[ADDRESS_TEXT_SIZE];
	struct quota_node nodes[NODES];
	int64_t sequence; /* of the last heartbeat */
	struct load load;
	int64_t *runs_us;
	uint32_t run_count;
} quota;

static const char settings_format[] =
	"[node]\ndeployment = \"test\"\ndata_centre = \"hall-%d\"\n"
	"instance = \"side-%d\"\ninterface = \"platform\"\n"
	"service = \"huvo\"\n"
	"[listen]\npeer = \"%s\"\ncaller = \"%s\"\nupstream = \"%s\"\n"
	"operator = \"127.0.0.1:0\"\n"
	"[peers]\nsecret = \"a secret of the tests\"\n"
	"[platform]\naddress = \"%s\"\ntimeout_ms = 1000\n"
	"[membership]\nprobe_interval_ms = 400\nprobe_timeout_ms = 120\n"
	"suspicion_ms = 800\nlink_interval_ms = 400\nlink_timeout_ms = 1500\n"
	"[call]\nlinger_ms = 0\nkeep_upstream_ms = 0\n";

static const char document[] =
	"{\"version\":\"r1\",\"routes\":{\"r-1\":{\"host\":\"h.example\","
	"\"prefix\":\"/lepu/\",\"kind\":\"safe\",\"timeout_s\":5,"
	"\"target_latency_s\":0.5,\"priority\":0,\"service\":\"huvo\","
	"\"max_attempts\":2}},\"services\":{\"huvo\":{\"health_path\":"
	"\"/healthz\",\"max_connections\":50}},\"tenants\":{\"pub-12\":"
	"{\"api_keys\":[\"key-of-pub\"],\"per_s\":40,\"burst\":40}}}";

static void spawn(struct process *process, const char *program,
		  const char *const args[], const char *name, int i)
{
	char log[PATH_SIZE + 48];

	snprintf(log, sizeof(log), "%s/%s-%d.log", quota.directory, name, i);
	cr_assert(process_start(process, program, args, log));
}

static const char *listen_address(const char *address)
{
	return *address ? address : "127.0.0.1:0";
}

/* @moves: the node takes another address for other nodes. */
static void spawn_node(int i, bool moves)
{
	struct quota_node *node = &quota.nodes[i];
	char path[PATH_SIZE + 48];
	const char *args[] = { "node", "--settings", path, NULL };
	FILE *file;

	snprintf(path, sizeof(path), "%s/node-%d.toml", quota.directory, i);
	file = fopen(path, "we");
	cr_assert_not_null(file);
	fprintf(file, settings_format, i % CENTRES, i,
		listen_address(moves ? "" : node->peer),
		listen_address(node->caller), listen_address(node->announce),
		quota.metadata_address);
	cr_assert_eq(fclose(file), 0);
	spawn(&node->process, "geraniumplank", args, "node", i);
}

static void start_node(int i)
{
	struct quota_node *node = &quota.nodes[i];

	spawn_node(i, false);
	cr_assert(process_wait_ready(&node->process, WAIT_MS));
	process_ready_text(&node->process, "peer", node->peer,
			   ADDRESS_TEXT_SIZE);
	process_ready_text(&node->process, "caller", node->caller,
			   ADDRESS_TEXT_SIZE);
	process_ready_text(&node->process, "upstream", node->announce,
			   ADDRESS_TEXT_SIZE);
}

static void start_upstream(int i)
{
	static const char *const args[] = { "upstream", "--service",
					    "huvo",	"--announce",
					    "",		"--service-us",
					    "2000",	NULL };
	struct quota_node *node = &quota.nodes[i];

	spawn(&node->upstream, "standin", args, "upstream", i);
	cr_assert(process_wait_ready(&node->upstream, WAIT_MS));
	process_ready_text(&node->upstream, "address", node->upstream_address,
			   ADDRESS_TEXT_SIZE);
}

static void write_document(void)
{
	char value[TEXT_SIZE];
	char body[TEXT_SIZE * 2];
	char answer[TEXT_SIZE];

	sodium_bin2base64(value, sizeof(value), (const uint8_t *)document,
			  strlen(document), sodium_base64_VARIANT_ORIGINAL);
	snprintf(body, sizeof(body),
		 "{\"precondition\":[],\"deletes\":[],\"writes\":[{\"key\":"
		 "\"op/config\",\"value\":\"%s\",\"lease\":0}]}",
		 value);
	cr_assert_eq(fetch_simple("POST", quota.metadata_address, "/-/kv-txn",
				  body, answer, sizeof(answer)),
		     200);
}

/* A node that is down does not hear its upstream. */
static void send_heartbeat(int i)
{
	const struct quota_node *node = &quota.nodes[i];
	char answer[TEXT_SIZE];
	char body[TEXT_SIZE];
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/-/Instances.Heartbeat/i-%d", i);
	snprintf(
		body, sizeof(body),
		"{\"address\":\"%s\",\"born\":1764720000000,\"info\":"
		"{\"service\":\"huvo\",\"version\":\"v1\",\"zone\":\"hall-%d\","
		"\"slots\":6},\"status\":{\"state\":\"ready\",\"seq\":%lld,"
		"\"cold_left_s\":0}}",
		node->upstream_address, i % CENTRES,
		(long long)++quota.sequence);
	fetch_simple("POST", node->announce, path, body, answer,
		     sizeof(answer));
}

static void run_load(int64_t time_ms)
{
	int64_t until_us = clock_monotonic_us() + time_ms * US_PER_MS;
	int i;

	while (clock_monotonic_us() < until_us) {
		for (i = 0; i < NODES; i++)
			if (!quota.nodes[i].is_paused)
				send_heartbeat(i);
		load_run(&quota.load, HEARTBEAT_MS);
	}
}

static void begin_load(void)
{
	struct load_options options = {
		.kinds = { { .name = "read",
			     .method = "GET",
			     .path = "/lepu/2f",
			     .service = "h.example",
			     .share = 1 } },
		.kind_count = 1,
		.tenants = { { .key = "key-of-pub", .share = 1 } },
		.tenant_count = 1,
		.key_scheme = "Token",
		.rate_per_s = DEMAND_PER_S,
		.in_flight_max = IN_FLIGHT_MAX,
		.timeout_ms = WAIT_MS,
		.seed = 1,
		.prefix = "quota",
	};
	struct error err = ERROR_INIT;
	int i;

	for (i = 0; i < NODES; i++)
		options.targets[options.target_count++] = quota.nodes[i].caller;
	cr_assert(load_begin(&quota.load, &options, &err), "%s", err.text);
}

static void start(void)
{
	static const char *const args[] = { "metadata", NULL };
	int i;

	memset(&quota, 0, sizeof(quota));
	snprintf(quota.directory, PATH_SIZE, "/tmp/geraniumplank-XXXXXX");
	cr_assert_not_null(mkdtemp(quota.directory));
	spawn(&quota.metadata, "standin", args, "metadata", 0);
	cr_assert(process_wait_ready(&quota.metadata, WAIT_MS));
	process_ready_text(&quota.metadata, "address", quota.metadata_address,
			   ADDRESS_TEXT_SIZE);
	write_document();
	for (i = 0; i < NODES; i++) {
		start_upstream(i);
		start_node(i);
	}
	begin_load();
}

static void stop(void)
{
	char command[PATH_SIZE + 16];
	int i;

	free(quota.runs_us);
	load_finish(&quota.load);
	for (i = 0; i < NODES; i++) {
		process_kill(&quota.nodes[i].process);
		process_kill(&quota.nodes[i].upstream);
	}
	process_kill(&quota.metadata);
	snprintf(command, sizeof(command), "rm -r %s", quota.directory);
	cr_expect_eq(system(command), 0);
}

static int compare_times(const void *a, const void *b)
{
	const int64_t *first = a;
	const int64_t *second = b;

	return (*first > *second) - (*first < *second);
}

/* Reads when an upstream ran requests of the tenant. */
static void collect_runs_of(int i)
{
	struct fetch fetch = { .method = "GET" };
	const char *id;
	json_t *seen;
	json_t *run;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s/standin/tenants",
		 quota.nodes[i].upstream_address);
	cr_assert(fetch_run(&fetch));
	seen = json_loadb(fetch.answer, fetch.answer_size, 0, NULL);
	cr_assert_not_null(seen);
	json_object_foreach(json_object_get(seen, "runs"), id, run) {
		cr_assert_lt(quota.run_count, quota.load.count);
		quota.runs_us[quota.run_count++] =
			json_integer_value(json_array_get(run, 1));
	}
	json_decref(seen);
	fetch_finish(&fetch);
}

static void collect_runs(void)
{
	int i;

	load_drain(&quota.load, WAIT_MS);
	quota.runs_us = calloc(quota.load.count + 1, sizeof(*quota.runs_us));
	cr_assert_not_null(quota.runs_us);
	for (i = 0; i < NODES; i++)
		collect_runs_of(i);
	qsort(quota.runs_us, quota.run_count, sizeof(*quota.runs_us),
	      compare_times);
}

static uint32_t worst_window(void)
{
	const int64_t *runs_us = quota.runs_us;
	uint32_t worst = 0;
	uint32_t first = 0;
	uint32_t i;

	for (i = 0; i < quota.run_count; i++) {
		while (runs_us[i] - runs_us[first] >= WINDOW_US)
			first++;
		if (i - first + 1 > worst)
			worst = i - first + 1;
	}
	return worst;
}

static uint32_t runs_since(int64_t from_us)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < quota.run_count; i++)
		count += quota.runs_us[i] >= from_us;
	return count;
}

/* Returns the time since @from_us in which requests were sent. */
static int64_t demand_us(int64_t from_us)
{
	int64_t last_us = from_us;
	int64_t sum_us = 0;
	uint32_t i;

	for (i = 0; i < quota.load.count; i++) {
		int64_t sent_us = quota.load.records[i].sent_us;

		if (sent_us < last_us)
			continue;
		sum_us += sent_us - last_us < DEMAND_GAP_MAX_US
				  ? sent_us - last_us
				  : DEMAND_GAP_MAX_US;
		last_us = sent_us;
	}
	return sum_us;
}

/* Checks the bound in each window, and how much of the limit was served. */
static void check_runs(int64_t from_us)
{
	uint32_t limit = (uint32_t)(demand_us(from_us) * PER_S / US_PER_S);

	collect_runs();
	cr_log_info("at most %u in a window, allowed %u; %u of %u served",
		    worst_window(), window_max, runs_since(from_us), limit);
	cr_expect_leq(worst_window(), window_max,
		      "%u requests ran in 5 s, allowed %u", worst_window(),
		      window_max);
	cr_expect_geq(runs_since(from_us) * 100, limit * SERVED_MIN_PERCENT,
		      "%u of %u requests within the limit ran",
		      runs_since(from_us), limit);
}

static void restart_all(bool move)
{
	int i;

	for (i = 0; i < NODES; i++)
		process_kill(&quota.nodes[i].process);
	for (i = 0; i < NODES; i++)
		spawn_node(i, move);
}

/* Restarts all nodes in each of several rounds. */
static void check_restarts(bool move)
{
	int64_t from_us;
	int round;

	run_load(ROUND_MS);
	from_us = clock_monotonic_us();
	for (round = 0; round < ROUNDS; round++) {
		restart_all(move);
		run_load(ROUND_MS);
	}
	check_runs(from_us);
}

Test(target_quota, limit_holds_when_all_nodes_restart, .init = start,
     .fini = stop, .timeout = 120)
{
	check_restarts(false);
}

/* Guards against nodes that do not find each other after a restart, each of
 * which takes itself for one of few and makes a large part of the limit. */
Test(target_quota, limit_holds_when_all_nodes_restart_at_other_addresses,
     .init = start, .fini = stop, .timeout = 120)
{
	check_restarts(true);
}

static void pause_half(bool paused)
{
	int i;

	for (i = 0; i < NODES; i += 2) {
		quota.nodes[i].is_paused = paused;
		process_signal(&quota.nodes[i].process,
			       paused ? SIGSTOP : SIGCONT);
	}
}

/* Guards against a limit that is not served while half of the nodes, owners
 * among them, do not run for a while. */
Test(target_quota, limit_is_served_while_half_of_the_nodes_pause, .init = start,
     .fini = stop, .timeout = 120)
{
	int64_t from_us;
	int round;

	run_load(ROUND_MS);
	from_us = clock_monotonic_us();
	for (round = 0; round < ROUNDS; round++) {
		pause_half(true);
		run_load(PAUSE_MS);
		pause_half(false);
		run_load(ROUND_MS - PAUSE_MS);
	}
	check_runs(from_us);
}
