#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <jansson.h>
#include <netinet/in.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet/fetch.h"
#include "functional/target.h"
#include "os/clock.h"

/* Nodes start with an empty store and get a first document; an upstream
 * registers, drains and deregisters; the route moves to a service without
 * upstreams. */
Test(target, from_an_empty_store_to_a_served_request, .init = target_start,
     .fini = target_stop, .timeout = 120)
{
	cr_expect_eq(target_call(1), 503, "no document yet");
	target_write_document(7, "huvo");
	target_assert_version(7);
	cr_expect_eq(target_call(1), 503, "no upstream yet");
	cr_expect_eq(target_send_heartbeat(0, "i-1", "ready"), 200);
	cr_expect(target_call_until(0, 200, "ready"),
		  "through the node of the upstream");
	cr_expect(target_call_until(1, 200, "ready"), "through the other node");
	cr_expect_eq(target_send_heartbeat(0, "i-1", "draining"), 200);
	cr_expect(target_call_until(1, 503, "draining"));
	cr_expect_eq(target_post(target.nodes[0].upstream,
				 "/-/Instances.Deregister/i-1", ""),
		     200);
	cr_expect_eq(target_call(0), 503);
	target_write_document(9, "kafi");
	target_assert_version(9);
	cr_expect_eq(target_call(0), 503);
}

static int64_t arrivals_after_leaving(void)
{
	return target_read_number(target.upstream_address, "/standin/stats",
				  NULL, "after_leaving");
}

/* Sends heartbeats and calls through the node of the caller for a while. */
static void call_for(int64_t time_ms, const char *state)
{
	int64_t until_us = clock_monotonic_us() + time_ms * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		target_send_heartbeat(0, "i-1", state);
		target_call(1);
		sleep_ms(POLL_MS);
	}
}

/* Guards against a node beside an upstream that forgets with a restart what
 * the upstream has told: the node of the caller has to remember it. */
Test(target, a_told_leaving_outlasts_the_node_beside_the_upstream,
     .init = target_start, .fini = target_stop, .timeout = 120)
{
	target_write_document(7, "huvo");
	target_assert_version(7);
	cr_expect(target_call_until(1, 200, "ready"));
	cr_assert_eq(target_post(target.upstream_address, "/standin/faults",
				 "{\"leaving\":true}"),
		     200);
	call_for(2500, "ready");
	cr_expect_eq(arrivals_after_leaving(), 0);
	process_kill(&target.nodes[0].process);
	target_start_node(0);
	call_for(2500, "ready");
	cr_expect_eq(arrivals_after_leaving(), 0);
	/* The next incarnation has told nothing. */
	cr_assert_eq(target_post(target.upstream_address, "/standin/faults",
				 "{\"leaving\":false}"),
		     200);
	target_set_health("i-2", 0);
	cr_expect_eq(target_send_heartbeat(0, "i-2", "ready"), 200);
	cr_expect(target_call_until(1, 200, NULL));
}

/* Guards against an overload of the store when all nodes start at once: a node
 * without peers reads a possibly stale directory first, which costs less. */
Test(target, a_start_reads_an_old_directory_first, .init = target_start,
     .fini = target_stop, .timeout = 120)
{
	int i;

	for (i = 0; i < NODES; i++) {
		cr_assert(target_wait_counter(i, "node.directory_reads", 1));
		cr_expect_eq(target_counter(i, "node.directory_old_reads"), 1);
	}
}

/* Guards against an upstream that restarts with the same id and gets no
 * requests, because heartbeats are compared by sequence number across
 * incarnations. */
Test(target, a_new_incarnation_with_the_same_id_gets_requests_at_once,
     .init = target_start, .fini = target_stop, .timeout = 120)
{
	target_write_document(7, "huvo");
	target_assert_version(7);
	target.sequence = 40;
	cr_assert(target_call_until(0, 200, "ready"));
	cr_expect_eq(target_send_heartbeat(0, "i-1", "draining"), 200);
	cr_expect_eq(target_call(0), 503, "draining");
	target.start_time_ms += 60000;
	target.sequence = 0;
	cr_expect_eq(target_send_heartbeat(0, "i-1", "ready"), 200);
	cr_expect_eq(target_call(0), 200, "after one heartbeat");
	target.start_time_ms -= 60000;
	target.sequence = 50;
	cr_expect_eq(target_send_heartbeat(0, "i-1", "draining"), 200);
	cr_expect_eq(target_call(0), 200,
		     "late heartbeat of the previous incarnation");
}

/* Guards against a watch that is not restarted after a fault of the store, and
 * against calls that fail while the store is down. */
Test(target, nodes_recover_from_faults_of_the_store, .init = target_start,
     .fini = target_stop, .timeout = 120)
{
	static const struct {
		const char *begin;
		const char *end;
	} cases[] = {
		{ "{\"forget\":1}", "{}" },
		{ "{\"down\":1}", "{\"down\":0}" },
		{ "{\"silent\":1}", "{\"silent\":0}" },
	};
	int version = 1;
	size_t i;

	target_write_document(version, "huvo");
	target_assert_version(version);
	cr_assert(target_call_until(1, 200, "ready"));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		target_set_faults(cases[i].begin);
		cr_expect(target_call_until(0, 200, "ready"), "case %zu", i);
		cr_expect(target_call_until(1, 200, "ready"), "case %zu", i);
		target_set_faults(cases[i].end);
		target_write_document(++version, "huvo");
		target_assert_version(version);
		cr_expect_eq(target_call(1), 200, "case %zu", i);
	}
}

/* Guards against a node that restarts while the store is down and serves
 * nothing, because only the store could connect it to its peers. */
Test(target, peers_find_a_node_that_restarts_in_a_store_outage,
     .init = target_start, .fini = target_stop, .timeout = 120)
{
	struct process *process = &target.nodes[1].process;

	target_write_document(3, "huvo");
	target_assert_version(3);
	cr_assert(target_call_until(1, 200, "ready"));
	target_set_faults("{\"down\":1}");
	process_signal(process, SIGTERM);
	cr_assert(process_wait(process, WAIT_MS));
	target_start_node(1);
	cr_expect(target_call_until(1, 200, "ready"));
}

/* Guards against nodes that never find each other, because a directory write
 * with a lost answer is taken for a failed write, or for a successful one. */
Test(target, directory_writes_recover_from_lost_answers, .init = target_start,
     .fini = target_stop, .timeout = 120)
{
	process_kill(&target.nodes[1].process);
	target_set_faults("{\"lose_answers\":2}");
	target_start_node(1);
	target_write_document(5, "huvo");
	target_assert_version(5);
	cr_assert(target_call_until(1, 200, "ready"));
}

/* The second upstream of the service, with @version, beside node 1. */
static struct {
	struct process process;
	char address[ADDRESS_SIZE];
	const char *version;
} second;

static void start_second(const char *version, const char *faults)
{
	static const char *const args[] = { "upstream",	  "--service", "huvo",
					    "--announce", "",	       NULL };

	second.version = version;
	target_start_child(&second.process, "standin", args, "second");
	process_ready_text(&second.process, "address", second.address,
			   ADDRESS_SIZE);
	cr_assert_eq(target_post(second.address, "/standin/faults", faults),
		     200);
}

/* Sends one heartbeat of each upstream, then @requests calls spread over the
 * nodes. */
static void send_heartbeats_and_calls(int requests)
{
	const struct heartbeat heartbeat = { second.address, "i-2",
					     second.version, "ready" };
	int i;

	target_send_heartbeat(0, "i-1", "ready");
	target_post_heartbeat(1, &heartbeat);
	for (i = 0; i < requests; i++)
		target_call(i % NODES);
}

/* Returns true if the published status of the roll-out contains @wanted. */
static bool rollout_status_contains(const char *wanted)
{
	struct fetch fetch = { .method = "GET" };
	char text[DOCUMENT_SIZE] = "";
	const char *value;
	json_t *json;
	size_t size = 0;

	snprintf(fetch.url, sizeof(fetch.url),
		 "http://%s/-/kv-key?key=status/rollout/huvo",
		 target.metadata_address);
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

static bool wait_rollout_status(const char *wanted)
{
	int64_t until_us = clock_monotonic_us() + 2 * WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		send_heartbeats_and_calls(20);
		if (rollout_status_contains(wanted))
			return true;
	}
	return false;
}

/* Returns the number of requests that the second upstream has run, -1 if it
 * does not answer. */
static int64_t second_run_count(void)
{
	return target_read_number(second.address, "/standin/stats", NULL,
				  "total");
}

static void write_rollout_order(const char *version)
{
	char text[DOCUMENT_SIZE];

	snprintf(text, sizeof(text),
		 "{\"service\":\"huvo\",\"target_version\":\"%s\","
		 "\"over_s\":4}",
		 version);
	target_write_key("op/rollout/huvo", text);
}

/* An invalid order is counted, a good version gets all requests, and a bad
 * version is rolled back and gets none. */
Test(target, a_good_version_is_completed_and_a_bad_one_rolled_back,
     .init = target_start, .fini = target_stop, .timeout = 240)
{
	static const struct {
		const char *version;
		const char *faults;
		const char *state;
	} cases[] = {
		{ "v2", "{\"fail\":0}", "\"done\"" },
		{ "v3", "{\"fail\":1000000}", "\"rolled_back\"" },
	};
	int64_t before;
	size_t i;

	target_write_document(7, "huvo");
	target_assert_version(7);
	target_write_key("op/rollout/huvo", "{\"service\":\"huvo\"}");
	cr_assert(target_wait_counter(0, "rollout.orders_invalid", 1) ||
		  target_wait_counter(1, "rollout.orders_invalid", 1));
	cr_assert(target_call_until(1, 200, "ready"));
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		target.start_time_ms++;
		start_second(cases[i].version, cases[i].faults);
		write_rollout_order(cases[i].version);
		cr_expect(wait_rollout_status(cases[i].state), "%s",
			  cases[i].version);
		sleep_ms(POLL_MS);
		before = second_run_count();
		send_heartbeats_and_calls(20);
		cr_expect_eq(second_run_count() - before, i ? 0 : 20,
			     "%s after the roll-out", cases[i].version);
		process_kill(&second.process);
	}
}

#define CLIENT_KEY "kept-secret-0123456789"
#define OTHER_KEY "other-secret-9876543210"

enum { DUMP_SIZE = 1 << 20 };

static const char with_key[] =
	",\"tenants\":{\"pub-12\":{\"api_keys\":[\"" CLIENT_KEY
	"\",\"" OTHER_KEY "\"],\"per_s\":0}}";
static const char without_key[] =
	",\"tenants\":{\"pub-12\":{\"api_keys\":[\"" OTHER_KEY "\"]}}";

/* Returns a connection to the caller's address of a node. */
static int open_connection(int node)
{
	struct timeval timeout = { .tv_sec = WAIT_MS / MS_PER_S };
	struct sockaddr_in to = { .sin_family = AF_INET };
	const char *address = target.nodes[node].caller;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	to.sin_port =
		htons((uint16_t)strtoul(strrchr(address, ':') + 1, NULL, 10));
	cr_assert_geq(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

/* Sends a request with the client's key on an open connection. Returns the
 * status of the answer; 0 if the connection was closed. The answer must fit one
 * read, with its body. */
static long call_on(int fd)
{
	static const char request[] =
		"GET /lepu/2f HTTP/1.1\r\nHost: h.example\r\n"
		"X-Request-Id: 9c41d07be2a35f68\r\nX-Deadline-Ms: 2000\r\n"
		"X-Tenant: pub-13\r\n"
		"Authorization: Token " CLIENT_KEY "\r\n\r\n";
	char answer[TEXT_SIZE];
	ssize_t size;

	if (send(fd, request, sizeof(request) - 1, MSG_NOSIGNAL) < 0)
		return 0;
	size = recv(fd, answer, sizeof(answer) - 1, 0);
	if (size <= 0)
		return 0;
	answer[size] = '\0';
	return strtol(answer + strlen("HTTP/1.1 "), NULL, 10);
}

static bool wait_call_on(int fd, long wanted)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		target_send_heartbeat(0, "i-1", "ready");
		if (call_on(fd) == wanted)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

/* Returns the number of bytes of a file that were read into @text. */
static size_t read_file(const char *path, char *text, size_t size)
{
	FILE *file = fopen(path, "re");
	size_t count;

	cr_assert_not_null(file, "%s", path);
	count = fread(text, 1, size - 1, file);
	text[count] = '\0';
	cr_assert_eq(fclose(file), 0);
	return count;
}

static void expect_no_key(const char *text, const char *where)
{
	cr_expect_null(strstr(text, CLIENT_KEY), "%s", where);
	cr_expect_null(strstr(text, OTHER_KEY), "%s", where);
}

static bool log_contains(int node, const char *wanted)
{
	static char text[DUMP_SIZE];
	char log[PATH_SIZE + 32];

	snprintf(log, sizeof(log), "%s/node-%d.log", target_directory, node);
	read_file(log, text, sizeof(text));
	return strstr(text, wanted);
}

/* Waits until the log of the node that has read a document holds @wanted. */
static bool wait_log_of_reader(const char *wanted)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;
	int node;

	for (node = 0; clock_monotonic_us() < until_us;
	     node = (node + 1) % NODES) {
		if (log_contains(node, wanted))
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

/* Looks for the keys in what a node logs and shows to operators. */
static void expect_no_key_at(int node)
{
	static const char *const paths[] = { "/v1/dump", "/v1/status",
					     "/v1/counters", "/v1/health" };
	static char text[DUMP_SIZE];
	char log[PATH_SIZE + 32];
	size_t i;

	snprintf(log, sizeof(log), "%s/node-%d.log", target_directory, node);
	cr_expect_gt(read_file(log, text, sizeof(text)), 0);
	expect_no_key(text, log);
	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		cr_expect_eq(fetch_simple("GET",
					  target.nodes[node].operator_address,
					  paths[i], NULL, text, sizeof(text)),
			     200, "%s", paths[i]);
		expect_no_key(text, paths[i]);
	}
}

/* Guards against a key that still serves after the version that takes it away:
 * on a connection that is open already, and at a node that the store turns
 * away, which hears of the version from the other node. */
Test(target, a_key_that_is_taken_away_is_refused_at_all_nodes,
     .init = target_start, .fini = target_stop, .timeout = 120)
{
	char store_address[ADDRESS_SIZE];
	int fds[NODES];
	int i;

	target_write_document_with(7, "huvo", with_key);
	target_assert_version(7);
	/* From now on node 1 does not reach the store. */
	memcpy(store_address, target.metadata_address, ADDRESS_SIZE);
	snprintf(target.metadata_address, ADDRESS_SIZE, "127.0.0.1:1");
	process_kill(&target.nodes[1].process);
	target_start_node(1);
	memcpy(target.metadata_address, store_address, ADDRESS_SIZE);
	target_assert_version(7);
	for (i = 0; i < NODES; i++) {
		fds[i] = open_connection(i);
		cr_expect(wait_call_on(fds[i], 200), "node %d", i);
		cr_expect_eq(target_call(i), 401, "without a key");
	}
	target_write_document_with(9, "huvo", without_key);
	for (i = 0; i < NODES; i++) {
		cr_expect(target_wait_version(i, 9), "node %d", i);
		cr_expect_eq(call_on(fds[i]), 401, "node %d", i);
		cr_expect_eq(close(fds[i]), 0);
	}
	/* The last tenant goes: nobody has a key any more. */
	target_write_document_with(11, "huvo", ",\"tenants\":{}");
	target_assert_version(11);
	for (i = 0; i < NODES; i++) {
		cr_expect_eq(target_call(i), 401, "node %d", i);
		expect_no_key_at(i);
	}
}

/* Guards against 401 for a valid key, which callers do not send again, at a
 * node that knows no version yet. */
Test(target, a_node_without_a_version_refuses_no_key, .init = target_start,
     .fini = target_stop, .timeout = 120)
{
	int fd;

	cr_expect_eq(target_call(1), 503, "without a key");
	fd = open_connection(1);
	cr_expect_eq(call_on(fd), 503, "with a key");
	cr_expect_eq(close(fd), 0);
	target_write_document_with(7, "huvo", with_key);
	target_assert_version(7);
	cr_expect_eq(target_call(1), 401);
	cr_expect(target_call_until(1, 401, "ready"));
	fd = open_connection(1);
	cr_expect(wait_call_on(fd, 200));
	cr_expect_eq(close(fd), 0);
}

/* Guards against a version that is kept out by tenants that contradict each
 * other, and against a key whose tenant is open: it is the first one's. The log
 * names both, but no key. */
Test(target, contradicting_tenants_affect_themselves_alone,
     .init = target_start, .fini = target_stop, .timeout = 120)
{
	int fd;

	target_write_document_with(7, "huvo", without_key);
	target_assert_version(7);
	target_write_document_with(
		9, "huvo",
		",\"tenants\":{\"pub-12\":{\"api_keys\":[\"" CLIENT_KEY
		"\"]},\"pub-13\":{\"api_keys\":[\"" CLIENT_KEY "\"]}}");
	target_assert_version(9);
	cr_expect(wait_log_of_reader("a key that tenant pub-12 has, too"));
	cr_expect_eq(target_send_heartbeat(0, "i-1", "ready"), 200);
	fd = open_connection(1);
	cr_expect(wait_call_on(fd, 200));
	cr_expect_eq(close(fd), 0);
	expect_no_key_at(0);
	expect_no_key_at(1);
}
