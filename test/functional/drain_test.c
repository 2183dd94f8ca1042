#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "functional/background.h"
#include "functional/profile.h"
#include "os/clock.h"

enum {
	WAIT_MS = BACKGROUND_WAIT_MS,
	NODES = 2,
	POLL_MS = 20,
	LINE_SIZE = 8192,
	/* A round takes at least 50 us; a node ends within seconds. */
	SIGNAL_ROUNDS_MAX = 1000 * 1000,
};

static const char slow_path[] = "/seal?service_us=3000000";
static const char slow_long_path[] = "/seal?service_us=4500000";

static struct cluster cluster;

/* Starts one data centre; node 0 serves alpha, node 1 serves beta. */
static void start_with(const char *settings)
{
	const struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "alpha", "beta" },
		.profile = "default",
		.settings = settings,
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert_eq(cluster_accept(&cluster, 0, "default", functional_profile),
		     1);
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_routes(&cluster, WAIT_MS));
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
	cr_assert(call_wait_status(&cluster, 1, "beta", 200));
}

static void start(void)
{
	start_with(NULL);
}

/* Starts nodes whose linger time is longer than any test. */
static void start_with_long_linger(void)
{
	start_with("[call]\nlinger_ms = 600000\nkeep_upstream_ms = 600000\n");
}

static void start_with_short_drain(void)
{
	start_with("[call]\ndrain_ms = 1000\n");
}

/* Starts nodes that serve their callers for a while and cancel work before the
 * requests of slow_long_path can end. */
static void start_with_short_work(void)
{
	start_with("[call]\nlinger_ms = 1500\nkeep_upstream_ms = 1500\n"
		   "drain_ms = 1000\n");
}

static void stop(void)
{
	cluster_stop(&cluster);
}

static void signal_and_wait_leaving(uint32_t i)
{
	int64_t until_ms = clock_monotonic_us() / US_PER_MS + WAIT_MS;

	process_signal(&cluster.nodes[i].process, SIGTERM);
	while (cluster_node_status(&cluster, i, "leaving") != 1)
		cr_assert_lt(clock_monotonic_us() / US_PER_MS, until_ms);
}

/* Waits until a line of the log of @process contains @text. Returns false on a
 * timeout. A line is written after the event that it reports. */
static bool log_contains(const struct process *process, const char *text)
{
	int64_t until_ms = clock_monotonic_us() / US_PER_MS + WAIT_MS;
	bool found = false;

	while (!found && clock_monotonic_us() / US_PER_MS < until_ms) {
		FILE *file = fopen(process->log_path, "re");
		char line[LINE_SIZE];

		while (file && !found && fgets(line, sizeof(line), file))
			found = strstr(line, text) != NULL;
		if (file)
			fclose(file);
	}
	return found;
}

static void assert_completes(struct background_call *call)
{
	cr_assert(background_wait(call));
	cr_assert_eq(call->fetch.status, 200, "%ld %s", call->fetch.status,
		     call->fetch.verdict);
	cr_assert_str_eq(call->fetch.verdict, "ran");
	background_finish(call);
}

/* Guards against a node that exits on SIGTERM before the calls in progress have
 * ended, and so aborts them. */
Test(drain, a_stopping_node_completes_its_calls_in_progress, .init = start,
     .fini = stop, .timeout = 120)
{
	struct process *process = &cluster.nodes[1].process;
	struct background_call remote;
	struct background_call local;
	struct fetch fetch;

	background_begin(&remote, &cluster, 0, "beta", slow_path, "elsewhere");
	background_begin(&local, &cluster, 1, "beta", slow_path, "here");
	cr_assert(upstream_wait_stat(&cluster, 1, "running", 2));
	process_signal(process, SIGTERM);
	cr_assert(call_wait_status(&cluster, 1, "alpha", 503));
	cr_assert_eq(call_once(&cluster, 1, "alpha", &fetch), 503);
	cr_assert_str_eq(fetch.verdict, "not-run");
	fetch_finish(&fetch);
	assert_completes(&remote);
	assert_completes(&local);
	cr_assert(process_wait(process, WAIT_MS));
	cr_assert_eq(process->exit_status, 0);
	cr_assert_eq(upstream_run_count(&cluster, 1, "elsewhere"), 1);
	cr_assert_eq(upstream_run_count(&cluster, 1, "here"), 1);
}

/* Guards against 502 from a stopping node for a request that runs, while the
 * node beside the upstream is paused for longer than the queries take. */
Test(drain, a_stopping_node_waits_for_a_paused_node, .init = start,
     .fini = stop, .timeout = 120)
{
	enum { PAUSE_MS = 2000 };
	struct process *stopping = &cluster.nodes[0].process;
	struct process *paused = &cluster.nodes[1].process;
	struct background_call call;

	background_begin(&call, &cluster, 0, "beta", slow_path, "one");
	cr_assert(upstream_wait_stat(&cluster, 1, "running", 1));
	process_signal(stopping, SIGTERM);
	process_signal(paused, SIGSTOP);
	sleep_ms(PAUSE_MS);
	process_signal(paused, SIGCONT);
	assert_completes(&call);
	cr_assert(process_wait(stopping, WAIT_MS));
	cr_expect_eq(stopping->exit_status, 0);
	cr_expect_eq(upstream_run_count(&cluster, 1, "one"), 1);
}

/* Guards against a gate that closes on SIGTERM while the node still serves its
 * callers: a rolling restart then refuses calls of a healthy upstream. */
Test(drain, a_lingering_node_still_sends_calls_to_its_upstream,
     .init = start_with_long_linger, .fini = stop, .timeout = 120)
{
	struct fetch fetch;
	int i;

	signal_and_wait_leaving(1);
	for (i = 0; i < 10; i++) {
		cr_assert_eq(call_once(&cluster, i % NODES, "beta", &fetch),
			     200);
		fetch_finish(&fetch);
	}
}

/* Guards against 502 from a stopping node for an unsafe request that it took
 * although the request could outlast the stop. */
Test(drain, a_stopping_node_takes_no_request_that_it_could_cut,
     .init = start_with_short_work, .fini = stop, .timeout = 120)
{
	struct background_call call;

	signal_and_wait_leaving(0);
	background_begin(&call, &cluster, 0, "beta", slow_long_path, "long");
	cr_assert(background_wait(&call));
	cr_expect_eq(call.fetch.status, 503, "%ld", call.fetch.status);
	cr_expect_str_eq(call.fetch.verdict, "not-run");
	background_finish(&call);
	cr_expect_eq(upstream_run_count(&cluster, 1, "long"), 0);
}

/* Guards against 502 for an unsafe request that a stopping node gives to its
 * upstream although the request could outlast the stop. */
Test(drain, a_stopping_node_gives_its_upstream_nothing_that_it_could_cut,
     .init = start_with_short_work, .fini = stop, .timeout = 120)
{
	struct background_call call;

	signal_and_wait_leaving(1);
	background_begin(&call, &cluster, 0, "beta", slow_long_path, "long");
	cr_assert(background_wait(&call));
	cr_expect_eq(call.fetch.status, 503, "%ld", call.fetch.status);
	cr_expect_str_eq(call.fetch.verdict, "not-run");
	background_finish(&call);
	cr_expect_eq(upstream_run_count(&cluster, 1, "long"), 0);
}

/* Guards against routes that keep a leaving upstream: it gets new requests, or
 * its requests in progress are aborted. */
Test(drain, a_leaving_upstream_gets_no_new_requests, .init = start,
     .fini = stop, .timeout = 120)
{
	struct process *process = &cluster.nodes[1].upstream;
	struct background_call call;
	struct fetch fetch;
	int64_t total;

	background_begin(&call, &cluster, 0, "beta", slow_path, "slow");
	cr_assert(upstream_wait_stat(&cluster, 1, "running", 1));
	process_signal(process, SIGTERM);
	cr_assert(call_wait_status(&cluster, 0, "beta", 503));
	cr_assert(call_wait_status(&cluster, 1, "beta", 503));
	total = upstream_stat(&cluster, 1, "total");
	cr_assert_eq(call_once(&cluster, 0, "beta", &fetch), 503);
	cr_assert_str_eq(fetch.verdict, "not-run");
	fetch_finish(&fetch);
	cr_assert_eq(upstream_stat(&cluster, 1, "total"), total);
	assert_completes(&call);
	cr_assert(process_wait(process, WAIT_MS));
	cr_assert_eq(process->exit_status, 0);
}

/* Guards against an upstream that keeps running a request after its caller has
 * closed the connection. */
Test(drain, a_caller_that_disconnects_cancels_its_request, .init = start,
     .fini = stop, .timeout = 120)
{
	/* The deadline is long so that it does not cancel the request. */
	struct fetch fetch = {
		.method = "POST",
		.body = "{}",
		.headers = { "Geraniumplank-Deadline-Ms: 30000",
			     "Geraniumplank-Request-Id: impatient" },
		.timeout_ms = 500,
	};

	cr_assert_not(cluster_call(&cluster, 0, "beta", &fetch,
				   "/seal?service_us=60000000"));
	fetch_finish(&fetch);
	cr_assert(upstream_wait_stat(&cluster, 1, "cancelled", 1));
	/* The request failed for its caller, so the log gives the reason. */
	cr_assert(log_contains(
		&cluster.nodes[0].process,
		"\"request\":\"impatient\",\"end\":\"cancelled\""));
	cr_assert_eq(upstream_stat(&cluster, 1, "running"), 0);
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
}

/* Returns the first log line with @event of a process that has ended; the
 * caller releases it with json_decref(). */
static json_t *find_event(const struct process *process, const char *event)
{
	FILE *file = fopen(process->log_path, "re");
	char line[LINE_SIZE];
	json_t *json = NULL;

	cr_assert_not_null(file);
	while (!json && fgets(line, sizeof(line), file)) {
		json_t *read = json_loads(line, 0, NULL);
		const char *name =
			json_string_value(json_object_get(read, "event"));

		if (name && !strcmp(name, event))
			json = json_incref(read);
		json_decref(read);
	}
	fclose(file);
	cr_assert_not_null(json, "no log line of event %s", event);
	return json;
}

/* Returns the time of the first log line with @event, in ms since 1970. */
static int64_t event_time_ms(const struct process *process, const char *event)
{
	json_t *line = find_event(process, event);
	struct tm parts = { .tm_isdst = 0 };
	const char *rest =
		strptime(json_string_value(json_object_get(line, "time")),
			 "%Y-%m-%dT%H:%M:%S.", &parts);
	int64_t at_ms;

	cr_assert_not_null(rest);
	at_ms = (int64_t)timegm(&parts) * MS_PER_S + atoi(rest);
	json_decref(line);
	return at_ms;
}

/* Sends the header and a part of the body of a request to node @i. Returns the
 * open connection. */
static int send_partial_request(uint32_t i)
{
	static const char head[] = "POST /seal HTTP/1.1\r\nHost: beta\r\n"
				   "Content-Length: 9\r\n\r\nhalf";
	struct sockaddr_in to = { .sin_family = AF_INET };
	const char *colon = strchr(cluster.nodes[i].caller, ':');
	char host[ENDPOINT_SIZE];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_not_null(colon);
	snprintf(host, sizeof(host), "%.*s",
		 (int)(colon - cluster.nodes[i].caller),
		 cluster.nodes[i].caller);
	cr_assert_eq(inet_pton(AF_INET, host, &to.sin_addr), 1);
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	cr_assert_geq(fd, 0);
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	cr_assert_eq(write(fd, head, sizeof(head) - 1), sizeof(head) - 1);
	return fd;
}

/*
 * Guards against waits that start one after another at shutdown, so that the
 * platform kills the node: all must count from the signal. The bounds are in
 * src/node/leaving_test.c.
 */
Test(drain, no_wait_starts_after_the_drain_time, .init = start_with_short_drain,
     .fini = stop, .timeout = 120)
{
	int connections[NODES];
	uint32_t i;

	for (i = 0; i < NODES; i++)
		connections[i] = send_partial_request(i);
	for (i = 0; i < NODES; i++)
		cr_assert(call_wait_status(&cluster, i, "beta", 200));
	cr_assert(cluster_platform_faults(&cluster, "{\"silent\":true}"));
	for (i = 0; i < NODES; i++)
		process_signal(&cluster.nodes[i].process, SIGTERM);
	for (i = 0; i < NODES; i++) {
		struct process *process = &cluster.nodes[i].process;
		json_t *line;

		cr_assert(process_wait(process, WAIT_MS));
		cr_expect_eq(process->exit_status, 0);
		cr_expect_geq(event_time_ms(process, "drained") -
				      event_time_ms(process, "leaving"),
			      1000, "node %u waits for its caller", i);
		line = find_event(process, "left_open");
		cr_expect_eq(
			json_integer_value(json_object_get(line, "unanswered")),
			1);
		json_decref(line);
		close(connections[i]);
	}
}

static void signal_until_exit(uint32_t i)
{
	const struct timespec pause = { .tv_nsec = 50000 };
	struct process *process = &cluster.nodes[i].process;
	int rounds;

	for (rounds = 0; rounds < SIGNAL_ROUNDS_MAX; rounds++) {
		process_signal(process, SIGTERM);
		if (process_wait(process, 0))
			break;
		nanosleep(&pause, NULL);
	}
	cr_assert_lt(rounds, SIGNAL_ROUNDS_MAX, "node %u does not end", i);
	cr_expect_eq(process->exit_status, 0, "node %u ends with %d", i,
		     process->exit_status);
}

/* Guards against a crash at exit: a signal arrives after the event loop is
 * freed, and its handler wakes that loop. */
Test(drain, signals_during_exit_do_not_crash_the_node,
     .init = start_with_short_drain, .fini = stop, .timeout = 120)
{
	enum { TIMES = 10 };
	uint32_t times;
	uint32_t i;

	for (times = 0; times < TIMES; times++) {
		for (i = 0; i < NODES; i++)
			signal_until_exit(i);
		for (i = 0; i < NODES; i++)
			cr_assert(cluster_start_node(&cluster, i));
	}
}

/* Guards against a stop that waits for the query of a node that has the answer
 * and has ended. */
Test(drain, nodes_that_stop_in_turn_end_soon, .init = start, .fini = stop,
     .timeout = 120)
{
	int64_t from_us;
	struct fetch fetch;

	cr_assert_eq(call_once(&cluster, 0, "beta", &fetch), 200);
	fetch_finish(&fetch);
	from_us = clock_monotonic_us();
	process_signal(&cluster.nodes[0].process, SIGTERM);
	cr_assert(process_wait(&cluster.nodes[0].process, WAIT_MS));
	process_signal(&cluster.nodes[1].process, SIGTERM);
	cr_assert(process_wait(&cluster.nodes[1].process, WAIT_MS));
	cr_expect_lt(clock_monotonic_us() - from_us, 2500 * US_PER_MS,
		     "%lld ms",
		     (long long)(clock_monotonic_us() - from_us) / 1000);
}
