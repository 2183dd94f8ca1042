#include <criterion/criterion.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "functional/background.h"
#include "functional/profile.h"
#include "os/clock.h"

/**
 * DOC: watching
 *
 * Monitoring of a deployment: metrics that collectors can parse, logs that do
 * not block a node, and changes of the settings file.
 */

enum {
	WAIT_MS = BACKGROUND_WAIT_MS,
	NODES = 2,
	CALLS = 40,
	PATH_SIZE = 320,
	LINE_SIZE = 8192,
	POLL_MS = 20,
	/* A pipe holds 64 kB, a call logs about 0.5 kB. */
	MANY_CALLS = 400,
};

static struct cluster cluster;

static void start(void)
{
	const struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "alpha", "beta" },
		.profile = "default",
		/* Without log rate limits, so that the pipe fills. */
		.settings = "[log]\nrequests_per_s = 0\nrate_per_s = 0\n",
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert_eq(cluster_accept(&cluster, 0, "default", functional_profile),
		     1);
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_routes(&cluster, WAIT_MS));
	cr_assert(call_wait_status(&cluster, 1, "beta", 200));
}

static void stop(void)
{
	cluster_stop(&cluster);
}

static void call_repeatedly(uint32_t node, const char *service, int count)
{
	int i;

	for (i = 0; i < count; i++) {
		struct fetch fetch;

		cr_assert_eq(call_once(&cluster, node, service, &fetch), 200,
			     "call %d", i);
		fetch_finish(&fetch);
	}
}

/* Saves the metrics of a node as a file, as a collector gets them. */
static void save_metrics(uint32_t node, char path[PATH_SIZE])
{
	struct fetch fetch = { .method = "GET" };
	FILE *file;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s/v1/metrics",
		 cluster.nodes[node].operator_address);
	cr_assert(fetch_run(&fetch));
	cr_assert_eq(fetch.status, 200);
	snprintf(path, PATH_SIZE, "%s/metrics", cluster.dir);
	file = fopen(path, "we");
	cr_assert_not_null(file);
	fwrite(fetch.answer, 1, fetch.answer_size, file);
	cr_assert_eq(fclose(file), 0);
	fetch_finish(&fetch);
}

/* Guards against metrics that collectors cannot parse, or whose histograms do
 * not add up. */
Test(watching, a_client_library_reads_the_metrics, .init = start, .fini = stop,
     .timeout = 120)
{
	char path[PATH_SIZE];
	char command[PATH_SIZE * 2];

	call_repeatedly(0, "beta", CALLS);
	save_metrics(0, path);
	snprintf(command, sizeof(command),
		 "/usr/bin/python3 test/functional/read_metrics.py "
		 "%s beta %d",
		 path, CALLS);
	cr_expect_eq(system(command), 0, "%s", command);
}

/* Restarts node @i with a pipe as its log, of which only the first line is
 * read. */
static void restart_with_log_pipe(uint32_t i)
{
	struct process *process = &cluster.nodes[i].process;

	process_kill(process);
	cr_assert_eq(unlink(process->log_path), 0);
	cr_assert_eq(mkfifo(process->log_path, 0600), 0);
	cr_assert(cluster_start_node(&cluster, i));
}

/* Returns true if a blocking write to the pipe would block. */
static bool pipe_is_full(const char *path)
{
	static const char block[PIPE_BUF];
	int fd = open(path, O_WRONLY | O_NONBLOCK | O_CLOEXEC);
	bool full;

	cr_assert_geq(fd, 0);
	full = write(fd, block, sizeof(block)) < 0 && errno == EAGAIN;
	close(fd);
	return full;
}

/* Guards against a node that blocks on a write to its log because the pipe is
 * full. */
Test(watching, a_full_log_pipe_does_not_block_calls, .init = start,
     .fini = stop, .timeout = 120)
{
	restart_with_log_pipe(0);
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
	call_repeatedly(0, "beta", MANY_CALLS);
	cr_assert(pipe_is_full(cluster.nodes[0].process.log_path));
	call_repeatedly(0, "beta", CALLS);
}

static int count_lines(const char *path, const char *text)
{
	FILE *file = fopen(path, "re");
	static char line[LINE_SIZE];
	int count = 0;

	cr_assert_not_null(file);
	while (fgets(line, sizeof(line), file))
		count += strstr(line, text) != NULL;
	fclose(file);
	return count;
}

static bool wait_log_lines(uint32_t node, const char *text, int times)
{
	const char *path = cluster.nodes[node].process.log_path;
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		if (count_lines(path, text) == times)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

static void append_to_settings(uint32_t node, const char *text)
{
	FILE *file = fopen(cluster.nodes[node].settings_path, "ae");

	cr_assert_not_null(file);
	fputs(text, file);
	cr_assert_eq(fclose(file), 0);
}

/* Guards against a node that reloads its settings only on SIGHUP, and against
 * one that exits because the changed file has a fault. */
Test(watching, settings_changed_without_a_signal_are_reloaded, .init = start,
     .fini = stop, .timeout = 120)
{
	append_to_settings(0, "# a remark\n");
	cr_assert(wait_log_lines(0, "\"event\":\"reloaded\"", 1));
	append_to_settings(0, "[no_such_table]\n");
	cr_assert(wait_log_lines(0, "\"event\":\"reload_refused\"", 1));
	cr_expect_eq(count_lines(cluster.nodes[0].process.log_path,
				 "\"event\":\"reloaded\""),
		     1);
	call_repeatedly(0, "beta", CALLS);
}
