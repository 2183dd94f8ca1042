#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "functional/background.h"
#include "functional/profile.h"
#include "os/clock.h"

/**
 * DOC: stop
 *
 * Requests that are at any point of their way when their node stops: half of
 * the body, an answer that its client reads slowly, several requests on one
 * connection. Each gets a whole answer.
 */

enum {
	WAIT_MS = BACKGROUND_WAIT_MS,
	NODES = 2,
	TEXT_SIZE = 512,
	ANSWER_MAX_BYTES = 512 * 1024,
	/* The kernel holds the rest of a larger answer for the client. */
	SMALL_BUFFER_BYTES = 4096,
};

static struct cluster cluster;

static void start(void)
{
	const struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "alpha", "beta" },
		.profile = "default",
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert_eq(cluster_accept(&cluster, 0, "default", functional_profile),
		     1);
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_routes(&cluster, WAIT_MS));
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
}

static void stop(void)
{
	cluster_stop(&cluster);
}

/* Connects to node @i as a client with a receive buffer of the given size, or
 * of the usual size if it is 0. */
static int connect_to(uint32_t i, int buffer_bytes)
{
	struct sockaddr_in to = { .sin_family = AF_INET };
	char host[ENDPOINT_SIZE];
	char *colon;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_geq(fd, 0);
	snprintf(host, sizeof(host), "%s", cluster.nodes[i].caller);
	colon = strchr(host, ':');
	cr_assert_not_null(colon);
	*colon = '\0';
	cr_assert_eq(inet_pton(AF_INET, host, &to.sin_addr), 1);
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	if (buffer_bytes)
		cr_assert_eq(setsockopt(fd, SOL_SOCKET, SO_RCVBUF,
					&buffer_bytes, sizeof(buffer_bytes)),
			     0);
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	return fd;
}

static void send_text(int fd, const char *text)
{
	cr_assert_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
		     (ssize_t)strlen(text));
}

/* Reads until the end of the connection. Returns the number of bytes, or -1 if
 * the connection was reset. */
static ssize_t read_all(int fd, char *bytes)
{
	size_t size = 0;

	for (;;) {
		ssize_t got =
			recv(fd, bytes + size, ANSWER_MAX_BYTES - size - 1, 0);

		if (got < 0)
			return -1;
		if (!got)
			break;
		size += (size_t)got;
	}
	bytes[size] = '\0';
	return (ssize_t)size;
}

static uint32_t count_text(const char *bytes, const char *text)
{
	uint32_t count = 0;

	for (bytes = strstr(bytes, text); bytes; bytes = strstr(bytes, text)) {
		count++;
		bytes += strlen(text);
	}
	return count;
}

static bool log_contains(uint32_t i, const char *text)
{
	FILE *file = fopen(cluster.nodes[i].process.log_path, "re");
	char line[8192];
	bool found = false;

	while (file && !found && fgets(line, sizeof(line), file))
		found = strstr(line, text) != NULL;
	if (file)
		fclose(file);
	return found;
}

static void wait_log(uint32_t i, const char *text)
{
	int64_t until_ms = clock_monotonic_us() / US_PER_MS + WAIT_MS;

	while (!log_contains(i, text)) {
		cr_assert_lt(clock_monotonic_us() / US_PER_MS, until_ms, "%s",
			     text);
		sleep_ms(5);
	}
}

/* Guards against an answer that is cut because the process ends while the
 * kernel holds bytes of it and the client sends another request. */
Test(stop, a_slow_reader_gets_its_whole_answer, .init = start, .fini = stop,
     .timeout = 120)
{
	static const char request[] =
		"GET /view?bytes=300000 HTTP/1.1\r\nHost: beta\r\n\r\n";
	static char bytes[ANSWER_MAX_BYTES];
	struct process *process = &cluster.nodes[0].process;
	int fd = connect_to(0, SMALL_BUFFER_BYTES);
	ssize_t size;

	send_text(fd, request);
	wait_log(0, "\"event\":\"call\"");
	process_signal(process, SIGTERM);
	wait_log(0, "\"event\":\"drained\"");
	/* The least time after which a drained process ends. */
	process_wait(process, 300);
	send(fd, request, strlen(request), MSG_NOSIGNAL);
	size = read_all(fd, bytes);
	close(fd);
	cr_assert(process_wait(process, WAIT_MS));
	/* A client that is too slow for the longest wait is named in the log.
	 */
	cr_expect(size > 300000 || log_contains(0, "\"event\":\"left_open\""),
		  "%zd bytes", size);
	cr_expect_eq(process->exit_status, 0);
}

/* Guards against a process that waits for a client which never reads. */
Test(stop, a_client_that_does_not_read_holds_up_no_stop, .init = start,
     .fini = stop, .timeout = 120)
{
	struct process *process = &cluster.nodes[0].process;
	int fd = connect_to(0, SMALL_BUFFER_BYTES);

	send_text(fd, "GET /view?bytes=300000 HTTP/1.1\r\nHost: beta\r\n\r\n");
	wait_log(0, "\"event\":\"call\"");
	process_signal(process, SIGTERM);
	cr_assert(process_wait(process, WAIT_MS));
	cr_expect_eq(process->exit_status, 0);
	/* The second if the answer had ended the connection. */
	cr_expect(log_contains(0, "\"event\":\"left_open\"") ||
		  log_contains(0, "\"event\":\"closed_undelivered\""));
	close(fd);
}

/* Guards against pipelined requests that a stop leaves without an answer. */
Test(stop, pipelined_requests_are_all_answered, .init = start, .fini = stop,
     .timeout = 120)
{
	static const char format[] =
		"GET /view?service_us=%d HTTP/1.1\r\nHost: beta\r\n\r\n";
	static char bytes[ANSWER_MAX_BYTES];
	char text[3 * TEXT_SIZE];
	struct process *process = &cluster.nodes[0].process;
	int fd = connect_to(0, 0);
	int used = snprintf(text, sizeof(text), format, 1500000);

	used += snprintf(text + used, sizeof(text) - (size_t)used, format, 10);
	snprintf(text + used, sizeof(text) - (size_t)used, format, 500000);
	send_text(fd, text);
	cr_assert(upstream_wait_stat(&cluster, 1, "running", 2));
	process_signal(process, SIGTERM);
	cr_assert_gt(read_all(fd, bytes), 0);
	cr_expect_eq(count_text(bytes, "HTTP/1.1 200"), 3, "%s", bytes);
	cr_expect_eq(count_text(bytes, "Connection: close"), 1);
	close(fd);
	cr_assert(process_wait(process, WAIT_MS));
	cr_expect_eq(process->exit_status, 0);
}

/* Guards against a request without an answer whose body ends during the stop. */
Test(stop, a_body_that_ends_during_the_stop_is_refused_whole, .init = start,
     .fini = stop, .timeout = 120)
{
	static char bytes[ANSWER_MAX_BYTES];
	struct process *process = &cluster.nodes[0].process;
	int fd = connect_to(0, 0);

	send_text(fd, "POST /seal HTTP/1.1\r\nHost: beta\r\n"
		      "X-Request-Id: half\r\nContent-Length: 8\r\n\r\nhalf");
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
	process_signal(process, SIGTERM);
	cr_assert(call_wait_status(&cluster, 0, "beta", 503));
	send_text(fd, "half");
	cr_assert_gt(read_all(fd, bytes), 0);
	cr_expect_eq(count_text(bytes, "HTTP/1.1 503"), 1, "%s", bytes);
	cr_expect_eq(count_text(bytes, "\"error\":\"draining\""), 1, "%s",
		     bytes);
	close(fd);
	cr_assert(process_wait(process, WAIT_MS));
	cr_expect_eq(process->exit_status, 0);
	cr_expect_eq(upstream_run_count(&cluster, 1, "half"), 0);
}

/* Guards against answers that are lost when the caller's node and the node
 * beside the upstream stop together. */
Test(stop, two_nodes_that_stop_together_cut_nothing, .init = start,
     .fini = stop, .timeout = 120)
{
	enum { CALLS = 12 };
	static const char *const paths[] = {
		"/seal?service_us=400000&bytes=30000",
		"/seal?service_us=900000&bytes=300000",
		"/seal?service_us=1400000&bytes=30000",
	};
	struct background_call calls[CALLS];
	char ids[CALLS][16];
	uint32_t i;

	for (i = 0; i < CALLS; i++) {
		snprintf(ids[i], sizeof(ids[i]), "r%u", i);
		background_begin(&calls[i], &cluster, 0, "beta", paths[i % 3],
				 ids[i]);
	}
	cr_assert(upstream_wait_stat(&cluster, 1, "running", 1));
	cr_assert(upstream_wait_stat(&cluster, 1, "total", CALLS));
	process_signal(&cluster.nodes[1].process, SIGTERM);
	process_signal(&cluster.nodes[0].process, SIGTERM);
	for (i = 0; i < CALLS; i++) {
		cr_expect(background_wait(&calls[i]));
		cr_expect_eq(calls[i].fetch.status, 200, "%u: %ld %s", i,
			     calls[i].fetch.status, calls[i].fetch.verdict);
		cr_expect_eq(upstream_run_count(&cluster, 1, ids[i]), 1);
		background_finish(&calls[i]);
	}
	for (i = 0; i < NODES; i++) {
		cr_assert(process_wait(&cluster.nodes[i].process, WAIT_MS));
		cr_expect_eq(cluster.nodes[i].process.exit_status, 0);
	}
}

/* Guards against a reload of the settings that disturbs a stop. */
Test(stop, a_reload_during_the_stop_cuts_nothing, .init = start, .fini = stop,
     .timeout = 120)
{
	enum { RELOADS = 10, RELOAD_MS = 50 };
	struct process *process = &cluster.nodes[0].process;
	struct background_call call;
	int i;

	background_begin(&call, &cluster, 0, "beta",
			 "/seal?service_us=1500000&bytes=30000", "one");
	cr_assert(upstream_wait_stat(&cluster, 1, "running", 1));
	process_signal(process, SIGHUP);
	process_signal(process, SIGTERM);
	for (i = 0; i < RELOADS; i++) {
		process_signal(process, SIGHUP);
		sleep_ms(RELOAD_MS);
	}
	cr_assert(background_wait(&call));
	cr_expect_eq(call.fetch.status, 200, "%ld", call.fetch.status);
	background_finish(&call);
	cr_assert(process_wait(process, WAIT_MS));
	cr_expect_eq(process->exit_status, 0);
}

/* Guards against a request without an answer that a node which has just started
 * keeps until it can route it, and that is signalled meanwhile. */
Test(stop, a_request_kept_at_the_start_is_answered, .init = start, .fini = stop,
     .timeout = 120)
{
	static char bytes[ANSWER_MAX_BYTES];
	struct process *process = &cluster.nodes[0].process;
	int fd;

	process_signal(process, SIGTERM);
	cr_assert(process_wait(process, WAIT_MS));
	cr_assert(cluster_spawn_node(&cluster, 0));
	cr_assert(cluster_wait_node(&cluster, 0));
	fd = connect_to(0, 0);
	send_text(fd, "GET /view HTTP/1.1\r\nHost: nobody\r\n"
		      "Connection: close\r\n\r\n");
	process_signal(process, SIGTERM);
	cr_assert_gt(read_all(fd, bytes), 0);
	cr_expect_eq(count_text(bytes, "HTTP/1.1 "), 1, "%s", bytes);
	close(fd);
	cr_assert(process_wait(process, WAIT_MS));
	cr_expect_eq(process->exit_status, 0);
}
