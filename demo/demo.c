#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common.h"
#include "fleet/cluster.h"
#include "os/clock.h"

/**
 * DOC: demo
 *
 * Shows the main functions of the system in under a minute: three data centres
 * of two nodes each, two services with a profile each, the commands of
 * operators, two conflicting changes, a partition, and a graceful stop under
 * load. Each step prints its result. At the end the number of calls sent is
 * compared with the number of calls that the upstreams report as run. The demo
 * fails if one of the checks fails.
 */

enum {
	CENTRES = 3,
	NODES = 6,
	WAIT_MS = 15000,
	OUTPUT_SIZE = 8192,
	PROFILE_SIZE = 16384,
	CALL_INTERVAL_MS = 4,
	LOAD_MS = 1500,
	PARTITIONED_CENTRE = 2,
	EXIT_CONFLICT = 3,
};

static struct cluster cluster;
static int failed_checks;
static uint32_t calls_sent;

static void print(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void print(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	putchar('\n');
	fflush(stdout);
}

static bool check(bool holds, const char *condition)
{
	if (holds)
		return true;
	failed_checks++;
	print("   FAILED: %s", condition);
	return false;
}

static void sleep_ms(int64_t ms)
{
	struct timespec wait = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&wait, NULL);
}

static double elapsed_ms(int64_t started_us)
{
	return (double)(clock_monotonic_us() - started_us) / US_PER_MS;
}

/* Runs "geraniumplank profile" with @words at node @i, and prints the command
 * and its exit status. */
static int profile_command(uint32_t i, const char *const words[])
{
	const char *args[PROCESS_ARGS_MAX] = { "profile" };
	static char output[OUTPUT_SIZE];
	char line[512] = "geraniumplank profile";
	size_t count = 1;
	size_t used = strlen(line);
	int status;

	for (; words[count - 1]; count++) {
		args[count] = words[count - 1];
		used += (size_t)snprintf(line + used, sizeof(line) - used,
					 " %s", words[count - 1]);
	}
	args[count++] = "--node";
	args[count++] = cluster.nodes[i].operator_address;
	status = process_run("geraniumplank", args, output, sizeof(output));
	print("   $ %s   -> exit %d", line, status);
	return status;
}

/* Runs "geraniumplank status" with the option @wait at node @i, and prints the
 * command, its exit status and its output. */
static void status_command(uint32_t i, const char *wait)
{
	const char *const args[] = { "status", wait, "--node",
				     cluster.nodes[i].operator_address, NULL };
	static char output[OUTPUT_SIZE];
	int status = process_run("geraniumplank", args, output, sizeof(output));
	char *remaining = output;
	char *line;

	print("   $ geraniumplank status %s   -> exit %d", wait, status);
	while ((line = strsep(&remaining, "\n")))
		if (*line)
			print("     %s", line);
	check(status == 0, "the version is in force everywhere");
}

static uint64_t highest_version(void)
{
	uint64_t highest = 0;
	uint32_t i;

	for (i = 0; i < NODES; i++)
		if (cluster_version(&cluster, i) > highest)
			highest = cluster_version(&cluster, i);
	return highest;
}

static void accept_first_version(void)
{
	const char *const put_cellar[] = { "put", "--author=linh", "cellar",
					   "examples/cellar/profile.toml",
					   NULL };
	const char *const put_quill[] = { "put", "--author=linh", "quillgate",
					  "examples/quillgate/profile.toml",
					  NULL };
	const char *const accept[] = { "accept", "--author=linh", NULL };
	int64_t started_us;

	print("2. An operator puts two profiles and accepts them as one "
	      "version.");
	check(profile_command(0, put_cellar) == 0, "put of the cellar profile");
	check(profile_command(0, put_quill) == 0,
	      "put of the quillgate profile");
	started_us = clock_monotonic_us();
	check(profile_command(0, accept) == 0, "accept succeeds");
	check(cluster_wait_version(&cluster, -1, 1, WAIT_MS),
	      "version 1 in force on all six nodes");
	print("   version 1 in force on all %d nodes %.0f ms after the "
	      "command began",
	      NODES, elapsed_ms(started_us));
	status_command(3, "--wait=1");
	check(cluster_wait_routes(&cluster, WAIT_MS),
	      "all nodes have routes to both services");
}

static bool call(uint32_t i, const char *service, const char *method,
		 const char *path, struct fetch *fetch)
{
	char id[64];

	snprintf(id, sizeof(id), "X-Request-Id: demo-%u", calls_sent++);
	fetch->method = method;
	fetch->headers[0] = id;
	if (!strcmp(method, "POST"))
		fetch->body = "{}";
	return cluster_call(&cluster, i, service, fetch, path);
}

static void call_each_kind(void)
{
	static const struct {
		const char *caller, *service, *method, *path;
	} kinds[] = {
		{ "publican", "seal-desk", "GET", "/cellars/7" },
		{ "brewer", "seal-desk", "GET", "/reviews/2" },
		{ "publican", "seal-desk", "POST", "/seals" },
		{ "author", "decision-desk", "GET", "/calls/3" },
		{ "agent", "decision-desk", "POST", "/offers" },
		{ "agent", "decision-desk", "POST", "/rejections" },
	};
	size_t i;

	print("3. One call of each of several kinds, from a node beside an "
	      "instance of another service.");
	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		struct fetch fetch = { 0 };

		call(i % NODES, kinds[i].service, kinds[i].method,
		     kinds[i].path, &fetch);
		print("   %-9s %-4s %-12s -> %ld, %s by %s, %.1f ms",
		      kinds[i].caller, kinds[i].method, kinds[i].path,
		      fetch.status, fetch.verdict, fetch.upstream,
		      (double)fetch.took_us / US_PER_MS);
		check(fetch.status == 200 && !strcmp(fetch.verdict, "ran"),
		      "the call is answered");
		fetch_finish(&fetch);
	}
}

/* Writes a copy of the cellar profile that differs by a comment with @remark,
 * and returns its path. */
static const char *changed_profile(const char *remark)
{
	static char path[256];
	static char text[PROFILE_SIZE];
	FILE *source = fopen("examples/cellar/profile.toml", "re");
	size_t size = source ? fread(text, 1, sizeof(text), source) : 0;
	FILE *target;

	snprintf(path, sizeof(path), "%s/%s.toml", cluster.dir, remark);
	target = fopen(path, "we");
	if (target) {
		fprintf(target, "# %s\n", remark);
		fwrite(text, 1, size, target);
		fclose(target);
	}
	if (source)
		fclose(source);
	return path;
}

static int put_and_accept(uint32_t node, const char *author, const char *remark,
			  bool accept)
{
	char flag[64];
	const char *put_args[] = { "put", flag, "cellar",
				   changed_profile(remark), NULL };
	const char *accept_args[] = { "accept", flag, "cellar", NULL };

	snprintf(flag, sizeof(flag), "--author=%s", author);
	return profile_command(node, accept ? accept_args : put_args);
}

static void accept_concurrently(void)
{
	int linh;
	int tuan;

	print("4. Two operators change the same profile from different data "
	      "centres.");
	check(!put_and_accept(0, "linh", "change-of-linh", false),
	      "put succeeds");
	check(!put_and_accept(5, "tuan", "change-of-tuan", false),
	      "put succeeds");
	linh = put_and_accept(0, "linh", "change-of-linh", true);
	tuan = put_and_accept(5, "tuan", "change-of-tuan", true);
	check(linh == 0 && tuan == EXIT_CONFLICT,
	      "one accept succeeds and the other gets a conflict");
	check(cluster_wait_version(&cluster, -1, 2, WAIT_MS),
	      "version 2 in force on all nodes");
	print("   one accept succeeded (version 2), the other got a "
	      "conflict; its draft is kept");
}

struct caller {
	const char *service, *method, *path;
	uint32_t node;
	atomic_bool stop;
	uint32_t sent;
	uint32_t answered;
	uint32_t not_run;
	uint32_t aborted;
};

static void *run_caller(void *data)
{
	struct caller *caller = data;

	while (!atomic_load(&caller->stop)) {
		struct fetch fetch = { .method = caller->method };
		char id[64];

		snprintf(id, sizeof(id), "X-Request-Id: %s-%u-%u",
			 caller->service, caller->node, caller->sent++);
		fetch.headers[0] = id;
		if (!strcmp(caller->method, "POST"))
			fetch.body = "{}";
		if (cluster_call(&cluster, caller->node, caller->service,
				 &fetch, caller->path) &&
		    fetch.status == 200)
			caller->answered++;
		else if (!strcmp(fetch.verdict, "not-run"))
			caller->not_run++;
		else
			caller->aborted++;
		fetch_finish(&fetch);
		sleep_ms(CALL_INTERVAL_MS);
	}
	return NULL;
}

static void partition(void)
{
	struct caller caller = { .service = "seal-desk",
				 .method = "GET",
				 .path = "/cellars/7",
				 .node = NODES - 1 };
	uint64_t before = highest_version();
	pthread_t thread;
	int64_t started_us;

	print("5. Data centre dc-3 is cut off from the others and from the "
	      "platform.");
	pthread_create(&thread, NULL, run_caller, &caller);
	cluster_partition(&cluster, PARTITIONED_CENTRE, true);
	cluster_partition_platform(&cluster, PARTITIONED_CENTRE, true);
	put_and_accept(0, "linh", "during-the-cut-1", false);
	check(!put_and_accept(0, "linh", "", true), "accept succeeds");
	put_and_accept(0, "linh", "during-the-cut-2", false);
	check(!put_and_accept(0, "linh", "", true), "accept succeeds");
	check(cluster_wait_version(&cluster, 0, before + 2, WAIT_MS),
	      "dc-1 and dc-2 apply the new versions");
	check(cluster_version(&cluster, NODES - 1) == before,
	      "dc-3 keeps its version");
	print("   dc-1 and dc-2 have version %u, dc-3 still serves with %u",
	      (unsigned int)before + 2, (unsigned int)before);
	started_us = clock_monotonic_us();
	cluster_partition(&cluster, PARTITIONED_CENTRE, false);
	cluster_partition_platform(&cluster, PARTITIONED_CENTRE, false);
	check(cluster_wait_version(&cluster, PARTITIONED_CENTRE, before + 2,
				   WAIT_MS),
	      "dc-3 applies the new versions");
	print("   reconnected: dc-3 has the new version after %.0f ms",
	      elapsed_ms(started_us));
	sleep_ms(LOAD_MS / 3);
	atomic_store(&caller.stop, true);
	pthread_join(thread, NULL);
	print("   calls in dc-3 during this step: %u, answered %u", caller.sent,
	      caller.answered);
	calls_sent += caller.sent;
	check(caller.answered == caller.sent, "every call in dc-3 is answered");
}

static void graceful_stop(void)
{
	struct caller caller = { .service = "decision-desk",
				 .method = "POST",
				 .path = "/offers",
				 .node = 0 };
	pthread_t thread;

	print("6. An upstream and its node are stopped under load.");
	pthread_create(&thread, NULL, run_caller, &caller);
	sleep_ms(LOAD_MS / 3);
	process_signal(&cluster.nodes[1].upstream, SIGTERM);
	check(process_wait(&cluster.nodes[1].upstream, WAIT_MS),
	      "the upstream exits");
	process_signal(&cluster.nodes[1].process, SIGTERM);
	check(process_wait(&cluster.nodes[1].process, WAIT_MS),
	      "the node exits");
	sleep_ms(LOAD_MS / 3);
	atomic_store(&caller.stop, true);
	pthread_join(thread, NULL);
	print("   calls: %u sent, %u answered, %u refused before they ran, "
	      "%u aborted",
	      caller.sent, caller.answered, caller.not_run, caller.aborted);
	calls_sent += caller.sent;
	check(caller.aborted == 0, "a graceful shutdown aborts no call");
}

/* Returns the statistics of an upstream. If the upstream has exited, they are
 * in its "stopped" log line. The caller owns the result. */
static json_t *upstream_stats(uint32_t i)
{
	struct process *upstream = &cluster.nodes[i].upstream;
	static char text[OUTPUT_SIZE];
	json_t *stats;
	json_t *line;
	FILE *file;

	if (upstream->pid > 0) {
		fetch_simple("GET", cluster.nodes[i].upstream_address,
			     "/standin/stats", NULL, text, sizeof(text));
		return json_loads(text, 0, NULL);
	}
	file = fopen(upstream->log_path, "re");
	while (file && fgets(text, sizeof(text), file))
		if (strstr(text, "\"event\":\"stopped\""))
			break;
	if (file)
		fclose(file);
	line = json_loads(text, 0, NULL);
	stats = json_loads(json_string_value(json_object_get(line, "stats")), 0,
			   NULL);
	json_decref(line);
	return stats;
}

static void check_counts(uint32_t calls)
{
	int64_t reverted = bench_versions_reverted(&cluster);
	int64_t total = 0;
	int64_t duplicate_count = 0;
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		json_t *stats = upstream_stats(i);

		total += json_integer_value(json_object_get(stats, "total"));
		duplicate_count +=
			json_integer_value(json_object_get(stats, "doubled"));
		json_decref(stats);
	}
	print("7. Counts: %u calls sent; the upstreams report %lld runs, "
	      "%lld of them duplicates; %lld versions reverted.",
	      calls, (long long)total, (long long)duplicate_count,
	      (long long)reverted);
	check(total == calls, "every call ran");
	check(duplicate_count == 0, "no call ran twice");
	check(reverted == 0, "no version reverted");
}

static bool start_cluster(void)
{
	struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "seal-desk", "decision-desk" },
		.profiles = { "cellar", "quillgate" },
	};
	int64_t started_us = clock_monotonic_us();

	print("1. Three data centres with two nodes each, an upstream beside "
	      "every node.");
	if (!check(cluster_start(&cluster, &options), "all processes start") ||
	    !check(cluster_wait_members(&cluster, NODES, WAIT_MS),
		   "all nodes know each other"))
		return false;
	print("   %d nodes know each other %.0f ms after the start "
	      "of the first",
	      NODES, elapsed_ms(started_us));
	return true;
}

int main(int argc, char **argv)
{
	int64_t started_us = clock_monotonic_us();

	if (argc > 1)
		setenv("GERANIUMPLANK_BUILD", argv[1], 1);
	if (start_cluster()) {
		accept_first_version();
		call_each_kind();
		accept_concurrently();
		partition();
		graceful_stop();
		check_counts(calls_sent);
	}
	cluster_stop(&cluster);
	print("%s in %.1f s", failed_checks ? "FAILED" : "All checks passed",
	      elapsed_ms(started_us) / MS_PER_S);
	return failed_checks ? 1 : 0;
}
