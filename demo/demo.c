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
 * The main job of the system in under a minute: three data centres of two
 * nodes each, two services of two deployments, the operators' commands, a
 * race, a partition, a graceful stop under load. Each step prints what
 * happened with its figure; the end counts what the upstreams ran, by their
 * own word, and fails if one promise was not kept.
 */

enum {
	CENTRES = 3,
	NODES = 6,
	WAIT_MS = 15000,
	OUTPUT_SIZE = 8192,
	PROFILE_SIZE = 16384,
	CALL_EVERY_MS = 4,
	LOAD_MS = 1500,
	CUT_CENTRE = 2,
	CONFLICT = 3,
};

static struct cluster cluster;
static int broken;
static uint32_t calls_sent;

static void say(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

static void say(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	putchar('\n');
	fflush(stdout);
}

static bool must(bool holds, const char *what)
{
	if (holds)
		return true;
	broken++;
	say("   NOT AS PROMISED: %s", what);
	return false;
}

static void sleep_ms(int64_t ms)
{
	struct timespec wait = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&wait, NULL);
}

static double since_ms(int64_t started_us)
{
	return (double)(clock_monotonic_us() - started_us) / US_PER_MS;
}

/* "geraniumplank profile ..." at node @i; prints the command itself. */
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
	say("   $ %s   -> exit %d", line, status);
	return status;
}

/* "geraniumplank status --wait"; prints its table too. */
static void status_command(uint32_t i, const char *wait)
{
	const char *const args[] = { "status", wait, "--node",
				     cluster.nodes[i].operator_address, NULL };
	static char output[OUTPUT_SIZE];
	int status = process_run("geraniumplank", args, output, sizeof(output));
	char *rest = output;
	char *line;

	say("   $ geraniumplank status %s   -> exit %d", wait, status);
	while ((line = strsep(&rest, "\n")))
		if (*line)
			say("     %s", line);
	must(status == 0, "in force everywhere");
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

static void edit_and_accept(void)
{
	const char *const put_cellar[] = { "put", "--author=linh", "cellar",
					   "examples/cellar/profile.toml",
					   NULL };
	const char *const put_quill[] = { "put", "--author=linh", "quillgate",
					  "examples/quillgate/profile.toml",
					  NULL };
	const char *const accept[] = { "accept", "--author=linh", NULL };
	int64_t started_us;

	say("2. An operator puts two profiles and accepts them as one version.");
	must(profile_command(0, put_cellar) == 0, "put cellar");
	must(profile_command(0, put_quill) == 0, "put quillgate");
	started_us = clock_monotonic_us();
	must(profile_command(0, accept) == 0, "accept");
	must(cluster_wait_version(&cluster, -1, 1, WAIT_MS),
	     "version 1 in force on all six nodes");
	say("   version 1 in force on all %d nodes %.0f ms after the command "
	    "began",
	    NODES, since_ms(started_us));
	status_command(3, "--wait=1");
	must(cluster_wait_routes(&cluster, WAIT_MS), "both services routed");
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
		const char *who, *service, *method, *path;
	} kinds[] = {
		{ "publican", "seal-desk", "GET", "/cellars/7" },
		{ "brewer", "seal-desk", "GET", "/reviews/2" },
		{ "publican", "seal-desk", "POST", "/seals" },
		{ "author", "decision-desk", "GET", "/calls/3" },
		{ "agent", "decision-desk", "POST", "/offers" },
		{ "agent", "decision-desk", "POST", "/rejections" },
	};
	size_t i;

	say("3. One call of several kinds, through a node beside another "
	    "service.");
	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		struct fetch fetch = { 0 };

		call(i % NODES, kinds[i].service, kinds[i].method,
		     kinds[i].path, &fetch);
		say("   %-9s %-4s %-12s -> %ld, %s by %s, %.1f ms",
		    kinds[i].who, kinds[i].method, kinds[i].path, fetch.status,
		    fetch.verdict, fetch.upstream,
		    (double)fetch.took_us / US_PER_MS);
		must(fetch.status == 200 && !strcmp(fetch.verdict, "ran"),
		     "answered");
		fetch_finish(&fetch);
	}
}

/* A copy of the cellar profile with a remark, so that it is a change. */
static const char *changed_profile(const char *remark)
{
	static char path[256];
	static char text[PROFILE_SIZE];
	FILE *from = fopen("examples/cellar/profile.toml", "re");
	size_t size = from ? fread(text, 1, sizeof(text), from) : 0;
	FILE *to;

	snprintf(path, sizeof(path), "%s/%s.toml", cluster.dir, remark);
	to = fopen(path, "we");
	if (to) {
		fprintf(to, "# %s\n", remark);
		fwrite(text, 1, size, to);
		fclose(to);
	}
	if (from)
		fclose(from);
	return path;
}

static int put_and_accept(uint32_t node, const char *author, const char *remark,
			  bool accept)
{
	char flag[64];
	const char *put[] = { "put", flag, "cellar", changed_profile(remark),
			      NULL };
	const char *take[] = { "accept", flag, "cellar", NULL };

	snprintf(flag, sizeof(flag), "--author=%s", author);
	return profile_command(node, accept ? take : put);
}

static void race(void)
{
	int linh;
	int tuan;

	say("4. Two operators change the same profile from different data "
	    "centres.");
	must(!put_and_accept(0, "linh", "change-of-linh", false), "put");
	must(!put_and_accept(5, "tuan", "change-of-tuan", false), "put");
	linh = put_and_accept(0, "linh", "change-of-linh", true);
	tuan = put_and_accept(5, "tuan", "change-of-tuan", true);
	must(linh == 0 && tuan == CONFLICT,
	     "one wins, the other is told and keeps its draft");
	must(cluster_wait_version(&cluster, -1, 2, WAIT_MS), "version 2");
	say("   one won (version 2), the other got a conflict; its draft "
	    "stays");
}

struct caller {
	const char *service, *method, *path;
	uint32_t node;
	atomic_bool stop;
	uint32_t sent;
	uint32_t answered;
	uint32_t not_run;
	uint32_t cut;
};

static void *call_on(void *data)
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
			caller->cut++;
		fetch_finish(&fetch);
		sleep_ms(CALL_EVERY_MS);
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

	say("5. Data centre dc-3 is cut off from the others and from the "
	    "platform.");
	pthread_create(&thread, NULL, call_on, &caller);
	cluster_partition(&cluster, CUT_CENTRE, true);
	cluster_partition_platform(&cluster, CUT_CENTRE, true);
	put_and_accept(0, "linh", "during-the-cut-1", false);
	must(!put_and_accept(0, "linh", "", true), "accept");
	put_and_accept(0, "linh", "during-the-cut-2", false);
	must(!put_and_accept(0, "linh", "", true), "accept");
	must(cluster_wait_version(&cluster, 0, before + 2, WAIT_MS),
	     "the others go on");
	must(cluster_version(&cluster, NODES - 1) == before,
	     "dc-3 keeps its version");
	say("   dc-1 and dc-2 run version %u, dc-3 still serves under %u",
	    (unsigned int)before + 2, (unsigned int)before);
	started_us = clock_monotonic_us();
	cluster_partition(&cluster, CUT_CENTRE, false);
	cluster_partition_platform(&cluster, CUT_CENTRE, false);
	must(cluster_wait_version(&cluster, CUT_CENTRE, before + 2, WAIT_MS),
	     "dc-3 agrees");
	say("   reconnected: dc-3 agrees after %.0f ms", since_ms(started_us));
	sleep_ms(LOAD_MS / 3);
	atomic_store(&caller.stop, true);
	pthread_join(thread, NULL);
	say("   calls in dc-3 meanwhile: %u, answered %u", caller.sent,
	    caller.answered);
	calls_sent += caller.sent;
	must(caller.answered == caller.sent, "no call lost in dc-3");
}

static void graceful_stop(void)
{
	struct caller caller = { .service = "decision-desk",
				 .method = "POST",
				 .path = "/offers",
				 .node = 0 };
	pthread_t thread;

	say("6. An upstream and its node are stopped while offers come in.");
	pthread_create(&thread, NULL, call_on, &caller);
	sleep_ms(LOAD_MS / 3);
	process_signal(&cluster.nodes[1].upstream, SIGTERM);
	must(process_wait(&cluster.nodes[1].upstream, WAIT_MS),
	     "the upstream ends");
	process_signal(&cluster.nodes[1].process, SIGTERM);
	must(process_wait(&cluster.nodes[1].process, WAIT_MS), "the node ends");
	sleep_ms(LOAD_MS / 3);
	atomic_store(&caller.stop, true);
	pthread_join(thread, NULL);
	say("   offers: %u sent, %u answered, %u refused unrun, %u cut",
	    caller.sent, caller.answered, caller.not_run, caller.cut);
	calls_sent += caller.sent;
	must(caller.cut == 0, "a graceful stop cuts nothing");
}

/* What an upstream says that it ran; one that has ended said so last. */
static json_t *stats_of(uint32_t i)
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

static void count_up(uint32_t calls)
{
	int64_t reverted = bench_versions_reverted(&cluster);
	int64_t total = 0;
	int64_t doubled = 0;
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		json_t *stats = stats_of(i);

		total += json_integer_value(json_object_get(stats, "total"));
		doubled +=
			json_integer_value(json_object_get(stats, "doubled"));
		json_decref(stats);
	}
	say("7. Counts: %u calls sent; by the upstreams' own word %lld ran, "
	    "%lld of them twice; %lld versions reverted.",
	    calls, (long long)total, (long long)doubled, (long long)reverted);
	must(total == calls, "every call ran");
	must(doubled == 0, "nothing ran twice");
	must(reverted == 0, "no version reverted");
}

static bool start_all(void)
{
	struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "seal-desk", "decision-desk" },
		.profiles = { "cellar", "quillgate" },
	};
	int64_t started_us = clock_monotonic_us();

	say("1. Three data centres with two nodes each, an upstream beside "
	    "every node.");
	if (!must(cluster_start(&cluster, &options), "all processes start") ||
	    !must(cluster_wait_members(&cluster, NODES, WAIT_MS),
		  "all nodes know each other"))
		return false;
	say("   %d nodes know each other %.0f ms after the first was started",
	    NODES, since_ms(started_us));
	return true;
}

int main(int argc, char **argv)
{
	int64_t started_us = clock_monotonic_us();

	if (argc > 1)
		setenv("GERANIUMPLANK_BUILD", argv[1], 1);
	if (start_all()) {
		edit_and_accept();
		call_each_kind();
		race();
		partition();
		graceful_stop();
		count_up(calls_sent);
	}
	cluster_stop(&cluster);
	say("%s in %.1f s", broken ? "FAILED" : "All as promised",
	    since_ms(started_us) / MS_PER_S);
	return broken ? 1 : 0;
}
