#include "functional/target.h"

#include <criterion/criterion.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/fetch.h"
#include "os/clock.h"

struct target target;
char target_directory[PATH_SIZE];

static const char settings_format[] =
	"[node]\ndeployment = \"test\"\ndata_centre = \"hall\"\n"
	"instance = \"side-%d\"\ninterface = \"platform\"\n"
	"service = \"huvo\"\n"
	"[listen]\npeer = \"%s\"\ncaller = \"127.0.0.1:0\"\n"
	"upstream = \"127.0.0.1:0\"\noperator = \"127.0.0.1:0\"\n"
	"[peers]\nsecret = \"a secret of the tests\"\n"
	"[platform]\naddress = \"%s\"\ntimeout_ms = 1000\n"
	"[call]\nlinger_ms = 0\nkeep_upstream_ms = 0\n";

void target_start_child(struct process *process, const char *program,
			const char *const args[], const char *name)
{
	char log[PATH_SIZE + 32];

	snprintf(log, sizeof(log), "%s/%s.log", target_directory, name);
	cr_assert(process_start(process, program, args, log));
	cr_assert(process_wait_ready(process, WAIT_MS), "%s", name);
}

void target_write_settings(int i, const char *more)
{
	struct target_node *node = &target.nodes[i];
	FILE *file;

	snprintf(node->settings, PATH_SIZE, "%.150s/node-%d.toml",
		 target_directory, i);
	file = fopen(node->settings, "we");
	cr_assert_not_null(file);
	fprintf(file, settings_format, i,
		*node->peer ? node->peer : "127.0.0.1:0",
		target.metadata_address);
	fputs(more, file);
	cr_assert_eq(fclose(file), 0);
}

void target_start_node(int i)
{
	struct target_node *node = &target.nodes[i];
	const char *args[] = { "node", "--settings", node->settings, NULL };
	char name[16];

	snprintf(name, sizeof(name), "node-%d", i);
	target_write_settings(i, "");
	target_start_child(&node->process, "geraniumplank", args, name);
	process_ready_text(&node->process, "peer", node->peer, ADDRESS_SIZE);
	process_ready_text(&node->process, "caller", node->caller,
			   ADDRESS_SIZE);
	process_ready_text(&node->process, "upstream", node->upstream,
			   ADDRESS_SIZE);
	process_ready_text(&node->process, "operator", node->operator_address,
			   ADDRESS_SIZE);
}

void target_start(void)
{
	static const char *const metadata[] = { "metadata", NULL };
	static const char *const upstream[] = { "upstream", "--service",
						"huvo",	    "--announce",
						"",	    NULL };
	int i;

	target.start_time_ms = 1764720000000;
	snprintf(target_directory, PATH_SIZE, "/tmp/geraniumplank-XXXXXX");
	cr_assert_not_null(mkdtemp(target_directory));
	target_start_child(&target.metadata, "standin", metadata, "metadata");
	process_ready_text(&target.metadata, "address", target.metadata_address,
			   ADDRESS_SIZE);
	target_start_child(&target.upstream, "standin", upstream, "upstream");
	process_ready_text(&target.upstream, "address", target.upstream_address,
			   ADDRESS_SIZE);
	target_set_health("i-1", 0);
	for (i = 0; i < NODES; i++)
		target_start_node(i);
}

void target_stop(void)
{
	char command[PATH_SIZE + 16];
	int i;

	for (i = 0; i < NODES; i++)
		process_kill(&target.nodes[i].process);
	process_kill(&target.upstream);
	process_kill(&target.metadata);
	snprintf(command, sizeof(command), "rm -r %s", target_directory);
	cr_expect_eq(system(command), 0);
}

long target_post(const char *address, const char *path, const char *body)
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

void target_set_health(const char *id, int status)
{
	char faults[TEXT_SIZE];

	snprintf(faults, sizeof(faults), "{\"health_id\":\"%s\",\"health\":%d}",
		 id, status);
	cr_assert_eq(target_post(target.upstream_address, "/standin/faults",
				 faults),
		     200);
}

void target_set_faults(const char *faults)
{
	cr_assert_eq(target_post(target.metadata_address, "/faults", faults),
		     200);
}

void target_write_key(const char *key, const char *text)
{
	char value[DOCUMENT_SIZE * 2];
	char body[DOCUMENT_SIZE * 3];

	sodium_bin2base64(value, sizeof(value), (const uint8_t *)text,
			  strlen(text), sodium_base64_VARIANT_ORIGINAL);
	snprintf(body, sizeof(body),
		 "{\"precondition\":[],\"deletes\":[],\"writes\":[{\"key\":"
		 "\"%s\",\"value\":\"%s\",\"lease\":0}]}",
		 key, value);
	cr_assert_eq(target_post(target.metadata_address, "/-/kv-txn", body),
		     200);
}

void target_write_document_with(int version, const char *service,
				const char *more)
{
	char text[DOCUMENT_SIZE];

	snprintf(text, sizeof(text),
		 "{\"version\":\"r%d\",\"routes\":{\"r-1\":{\"host\":"
		 "\"h.example\",\"prefix\":\"/lepu/\",\"kind\":\"safe\","
		 "\"timeout_s\":5,\"target_latency_s\":1,\"priority\":0,"
		 "\"service\":\"%s\",\"max_attempts\":2}},\"services\":"
		 "{\"huvo\":{\"health_path\":\"/healthz\","
		 "\"max_connections\":50}}%s}",
		 version, service, more);
	target_write_key("op/config", text);
}

void target_write_document(int version, const char *service)
{
	target_write_document_with(version, service, "");
}

long target_post_heartbeat(int node, const struct heartbeat *heartbeat)
{
	char path[PATH_SIZE];
	char body[TEXT_SIZE];

	snprintf(path, sizeof(path), "/-/Instances.Heartbeat/%s",
		 heartbeat->id);
	snprintf(body, sizeof(body),
		 "{\"address\":\"%s\",\"born\":%lld,"
		 "\"info\":{\"service\":\"huvo\","
		 "\"version\":\"%s\",\"zone\":\"hall\",\"slots\":6},"
		 "\"status\":{\"state\":\"%s\",\"seq\":%lld,"
		 "\"cold_left_s\":0}}",
		 heartbeat->address, (long long)target.start_time_ms,
		 heartbeat->version, heartbeat->state,
		 (long long)++target.sequence);
	return target_post(target.nodes[node].upstream, path, body);
}

long target_send_heartbeat(int node, const char *id, const char *state)
{
	const struct heartbeat heartbeat = { target.upstream_address, id, "v1",
					     state };

	return target_post_heartbeat(node, &heartbeat);
}

long target_call(int node)
{
	struct fetch fetch = { .method = "GET",
			       .headers = { "Host: h.example",
					    "X-Request-Id: 9c41d07be2a35f68",
					    "X-Deadline-Ms: 2000" } };
	long status;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s/lepu/2f",
		 target.nodes[node].caller);
	fetch_run(&fetch);
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

bool target_call_until(int node, long wanted, const char *state)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		if (state)
			target_send_heartbeat(0, "i-1", state);
		if (target_call(node) == wanted)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

int64_t target_read_number(const char *address, const char *path,
			   const char *section, const char *name)
{
	struct fetch fetch = { .method = "GET" };
	int64_t value = -1;
	json_t *json;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s%s", address, path);
	if (fetch_run(&fetch)) {
		json = json_loads(fetch.answer, 0, NULL);
		value = json_integer_value(json_object_get(
			section ? json_object_get(json, section) : json, name));
		json_decref(json);
	}
	fetch_finish(&fetch);
	return value;
}

int64_t target_counter(int node, const char *name)
{
	return target_read_number(target.nodes[node].operator_address,
				  "/v1/counters", "counters", name);
}

bool target_wait_counter(int node, const char *name, int64_t value)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		if (target_counter(node, name) >= value)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

bool target_wait_version(int node, int64_t version)
{
	return target_wait_counter(node, "config.version", version) &&
	       target_counter(node, "config.version") == version;
}

void target_assert_version(int64_t version)
{
	int i;

	for (i = 0; i < NODES; i++)
		cr_assert(target_wait_version(i, version),
			  "node %d, version %lld", i, (long long)version);
}
