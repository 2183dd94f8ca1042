#include <criterion/criterion.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/address.h"
#include "base/buffer.h"
#include "fleet/fetch.h"
#include "fleet/process.h"
#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: odd entry
 *
 * Another writer leaves values in the platform's store that no node has
 * written, beside real nodes with the interface of the target platform. Node 0
 * is beside the upstream.
 */

enum {
	NODES = 2,
	POLL_MS = 20,
	WAIT_MS = BACKGROUND_WAIT_MS,
	PATH_SIZE = 192,
	TEXT_SIZE = 2048,
	NESTED = 100000,
	VALUE_MAX_BYTES = 1024 * 1024, /* the store takes no larger one */
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define TEXT(text) text, sizeof(text) - 1

struct entry_node {
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
	struct entry_node nodes[NODES];
	int64_t sequence; /* of the last heartbeat */
	int version;	  /* of the last sound document */
} odd;

static const char settings_format[] =
	"[node]\ndeployment = \"test\"\ndata_centre = \"hall\"\n"
	"instance = \"side-%d\"\ninterface = \"platform\"\n"
	"service = \"huvo\"\n"
	"[listen]\npeer = \"127.0.0.1:0\"\ncaller = \"127.0.0.1:0\"\n"
	"upstream = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n"
	"[peers]\nsecret = \"a secret of the tests\"\n"
	"[platform]\naddress = \"%s\"\ntimeout_ms = 1000\n"
	"[call]\nlinger_ms = 0\nkeep_upstream_ms = 0\n";

/* Each start takes another port, so that nodes find each other by the store. */
static void start_node(int i)
{
	struct entry_node *node = &odd.nodes[i];
	char path[PATH_SIZE + 32];
	char log[PATH_SIZE + 32];
	const char *args[] = { "node", "--settings", path, NULL };
	FILE *file;

	snprintf(path, sizeof(path), "%s/node-%d.toml", odd.directory, i);
	snprintf(log, sizeof(log), "%s/node-%d.log", odd.directory, i);
	file = fopen(path, "we");
	cr_assert_not_null(file);
	fprintf(file, settings_format, i, odd.metadata_address);
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

static void start_standin(struct process *process, const char *const args[],
			  char address[ADDRESS_TEXT_SIZE])
{
	char log[PATH_SIZE + 32];

	snprintf(log, sizeof(log), "%s/%s.log", odd.directory, args[0]);
	cr_assert(process_start(process, "standin", args, log));
	cr_assert(process_wait_ready(process, WAIT_MS));
	process_ready_text(process, "address", address, ADDRESS_TEXT_SIZE);
}

static void start(void)
{
	static const char *const metadata[] = { "metadata", NULL };
	static const char *const upstream[] = { "upstream", "--service",
						"huvo",	    "--announce",
						"",	    NULL };

	memset(&odd, 0, sizeof(odd));
	snprintf(odd.directory, PATH_SIZE, "/tmp/geraniumplank-XXXXXX");
	cr_assert_not_null(mkdtemp(odd.directory));
	start_standin(&odd.metadata, metadata, odd.metadata_address);
	start_standin(&odd.upstream, upstream, odd.upstream_address);
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

static void write_value(const char *key, const void *value, size_t size)
{
	size_t length =
		sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
	struct buffer body = { .bytes = NULL };
	char *text = malloc(length);

	cr_assert_not_null(text);
	sodium_bin2base64(text, length, value, size,
			  sodium_base64_VARIANT_ORIGINAL);
	buffer_append_format(&body,
			     "{\"precondition\":[],\"deletes\":[],\"writes\":"
			     "[{\"key\":\"%s\",\"value\":\"%s\","
			     "\"lease\":0}]}",
			     key, text);
	buffer_append(&body, "", 1);
	cr_assert_eq(post(odd.metadata_address, "/-/kv-txn",
			  (const char *)buffer_data(&body)),
		     200, "%s", key);
	buffer_finish(&body);
	free(text);
}

static void write_text(const char *key, const char *text)
{
	write_value(key, text, strlen(text));
}

static void write_next_document(void)
{
	char text[TEXT_SIZE];

	snprintf(text, sizeof(text),
		 "{\"version\":\"r%d\",\"routes\":{\"r-1\":{\"host\":"
		 "\"h.example\",\"prefix\":\"/lepu/\",\"kind\":\"safe\","
		 "\"timeout_s\":5,\"target_latency_s\":1,\"priority\":0,"
		 "\"service\":\"huvo\",\"max_attempts\":2}},\"services\":"
		 "{\"huvo\":{\"health_path\":\"/healthz\","
		 "\"max_connections\":50}}}",
		 ++odd.version);
	write_text("op/config", text);
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

static long call(int node)
{
	struct fetch fetch = { .method = "GET",
			       .headers = { "Host: h.example",
					    "X-Request-Id: 9c41d07be2a35f68",
					    "X-Deadline-Ms: 2000" } };
	long status;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s/lepu/2f",
		 odd.nodes[node].caller);
	fetch_run(&fetch);
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

static bool wait_served(int node)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		send_heartbeat();
		if (call(node) == 200)
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

static bool wait_version(int node)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		if (counter(node, "config.version") == odd.version)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

/* The text @unit, @times times, between @before and @after. */
struct odd_value {
	const char *name;
	const char *before;
	const char *unit;
	size_t unit_size;
	int times;
	const char *after;
};

static const struct odd_value values[] = {
	{ "empty", "", TEXT(""), 0, "" },
	{ "arrays without end", "", TEXT("["), NESTED, "" },
	{ "nested arrays", "", TEXT("["), NESTED,
	  "0]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]]" },
	{ "objects without end", "", TEXT("{\"version\":"),
	  VALUE_MAX_BYTES / 11, "" },
	{ "nested routes",
	  "{\"version\":\"r999999\",\"routes\":", TEXT("{\"r\":"), NESTED, "" },
	{ "a number past 64 bits", "{\"version\":", TEXT("9"), 400, "}" },
	{ "a version past 64 bits", "{\"version\":\"r", TEXT("9"), 400,
	  "\",\"routes\":{},\"services\":{}}" },
	{ "a number past a double", "{\"order\":1e999,\"share\":", TEXT("1"), 1,
	  "e999}" },
	{ "a negative order",
	  "{\"order\":-1,\"phase\":\"done\",\"share\":1,\"elapsed_s\":0}",
	  TEXT(""), 0, "" },
	{ "a later order",
	  "{\"order\":9223372036854775807,\"phase\":\"done\",\"share\":1,"
	  "\"elapsed_s\":0}",
	  TEXT(""), 0, "" },
	{ "wrong types",
	  "{\"version\":[],\"routes\":7,\"services\":\"\",\"order\":{},"
	  "\"service\":null,\"phase\":[[]]}",
	  TEXT(""), 0, "" },
	{ "the same member many times", "{", TEXT("\"version\":\"r1\","), 1000,
	  "\"version\":\"r1\"}" },
	{ "NUL", "hall ", TEXT("\0"), 1000, " 10.0.0.1:1\n" },
	{ "invalid UTF-8", "{\"service\":\"", TEXT("\xff\xc0\x80\xed\xa0\x80"),
	  100, "\"}" },
	{ "ports out of range", "hall 127.0.0.1:65536\n",
	  TEXT("hall 127.0.0.1:-1\nhall 127.0.0.1:99999999999999999999\n"
	       "hall 127.0.0.1:0\nnodes 99999999999999999999\nnodes -1\n"),
	  10, "" },
	{ "addresses of no node", "",
	  TEXT("hall 0.0.0.0:1\nhall 255.255.255.255:1\nhall 224.0.0.1:1\n"
	       "hall [::]:1\nhall [ff02::1]:1\nnodes 1000000\n"),
	  1, "" },
	{ "a long list", "", TEXT("odd 127.0.0.1:1\n"), 20000, "" },
	{ "one long line", "hall ", TEXT("1"), 500000, "" },
	{ "odd findings", "",
	  TEXT("11 4294967295 -9223372036854775808 1,2,3\n"
	       "12 4294967295 9223372036854775807 1,2,3\n"
	       "-1 -1 99999999999999999999 -1,fffffffffffffffff\n"),
	  1, "13 0 1700000000000 1,2,3\n" },
};

/* Everything that nodes read, and keys that they only pass over. */
static const char *const keys[] = {
	"geraniumplank/directory",
	"geraniumplank/quarantine",
	"geraniumplank/odd",
	"status/rollout/huvo",
	"status/rollout/odd",
	"op/rollout/huvo",
	"op/rollout/odd",
	"op/rollout/",
	"op/odd",
	"op/config",
};

static void write_odd(const struct odd_value *value)
{
	struct buffer text = { .bytes = NULL };
	size_t i;
	int j;

	buffer_append_text(&text, value->before);
	for (j = 0; j < value->times; j++)
		buffer_append(&text, value->unit, value->unit_size);
	buffer_append_text(&text, value->after);
	cr_assert_leq(buffer_size(&text), VALUE_MAX_BYTES);
	for (i = 0; i < COUNT(keys); i++)
		write_value(keys[i], buffer_data(&text), buffer_size(&text));
	buffer_finish(&text);
}

/* Checks that the nodes run, answer calls and take the next version. */
static void expect_sound(const char *name)
{
	int i;

	write_next_document();
	for (i = 0; i < NODES; i++) {
		cr_expect(wait_version(i), "%s: node %d, version", name, i);
		cr_expect(wait_served(i), "%s: node %d, call", name, i);
		cr_expect_not(process_wait(&odd.nodes[i].process, 0),
			      "%s: node %d ended", name, i);
	}
}

static void start_nodes(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		start_node(i);
}

static void kill_nodes(void)
{
	int i;

	for (i = 0; i < NODES; i++)
		process_kill(&odd.nodes[i].process);
}

/* Guards against nodes that end, or that do not find each other or the
 * configuration, because of an odd value that is there as they start. */
Test(odd_entry, nodes_start_beside_it, .init = start, .fini = stop,
     .timeout = 300)
{
	size_t i;

	for (i = 0; i < COUNT(values); i++) {
		write_odd(&values[i]);
		start_nodes();
		expect_sound(values[i].name);
		kill_nodes();
	}
}

/* Guards against nodes that end or no longer follow the store once an odd value
 * is written. */
Test(odd_entry, nodes_go_on_beside_it, .init = start, .fini = stop,
     .timeout = 300)
{
	size_t i;

	write_next_document();
	start_nodes();
	cr_assert(wait_served(0) && wait_served(1));
	for (i = 0; i < COUNT(values); i++) {
		write_odd(&values[i]);
		expect_sound(values[i].name);
	}
}

/* Guards against a node that ends or stays alone when it starts again beside an
 * odd value, while the other node goes on. */
Test(odd_entry, a_node_starts_again_beside_it, .init = start, .fini = stop,
     .timeout = 300)
{
	size_t i;

	write_next_document();
	start_nodes();
	cr_assert(wait_served(0) && wait_served(1));
	for (i = 0; i < COUNT(values); i++) {
		write_odd(&values[i]);
		process_kill(&odd.nodes[i % NODES].process);
		start_node((int)(i % NODES));
		expect_sound(values[i].name);
	}
}

/* Returns true if the published status of the roll-out contains @wanted. */
static bool rollout_status_contains(const char *wanted)
{
	struct fetch fetch = { .method = "GET" };
	char text[TEXT_SIZE] = "";
	const char *value;
	json_t *json;
	size_t size = 0;

	snprintf(fetch.url, sizeof(fetch.url),
		 "http://%s/-/kv-key?key=status/rollout/huvo",
		 odd.metadata_address);
	if (fetch_run(&fetch)) {
		json = json_loads(fetch.answer, 0, NULL);
		value = json_string_value(json_object_get(json, "value"));
		if (value)
			sodium_base642bin((uint8_t *)text, sizeof(text) - 1,
					  value, strlen(value), NULL, &size,
					  NULL, sodium_base64_VARIANT_ORIGINAL);
		text[size] = '\0';
		json_decref(json);
	}
	fetch_finish(&fetch);
	return strstr(text, wanted) != NULL;
}

static bool wait_done(void)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		send_heartbeat();
		call(0);
		call(1);
		if (rollout_status_contains("\"state\":\"done\""))
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

/* Guards against a roll-out that never begins, because another writer has left
 * a record about a later order. */
Test(odd_entry, a_roll_out_follows_its_order, .init = start, .fini = stop,
     .timeout = 120)
{
	static const char *const records[] = {
		"{\"order\":-1,\"phase\":\"done\",\"share\":1,\"elapsed_s\":0}",
		"{\"order\":9223372036854775807,\"phase\":\"canary\","
		"\"share\":0.1,\"elapsed_s\":0}",
	};
	size_t i;

	write_next_document();
	start_nodes();
	cr_assert(wait_served(0) && wait_served(1));
	for (i = 0; i < COUNT(records); i++) {
		write_text("status/rollout/huvo", records[i]);
		write_text("op/rollout/huvo",
			   "{\"service\":\"huvo\",\"target_version\":\"v1\","
			   "\"over_s\":1}");
		cr_expect(wait_done(), "%s", records[i]);
	}
}
