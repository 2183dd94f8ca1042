#include "common.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "os/clock.h"

enum {
	LINE_SIZE = 4096,
	PROFILE_SIZE = 4096,
	SEAL_DEADLINE_MS = 5000,
	READY_TIMEOUT_MS = 20000,
	BEGIN_TIMEOUT_MS = 30000,
	LOG_WAIT_US = 2 * 1000 * 1000,
	LOG_POLL_MS = 1,
};

static int failures;

void samples_add(struct samples *samples, double value)
{
	if (samples->count == samples->capacity) {
		samples->capacity = samples->capacity ? samples->capacity * 2
						      : 1024;
		samples->values =
			realloc(samples->values,
				samples->capacity * sizeof(*samples->values));
		if (!samples->values)
			abort();
	}
	samples->values[samples->count++] = value;
}

static int compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

double samples_quantile(struct samples *samples, double fraction)
{
	uint32_t i;

	if (!samples->count)
		return 0;
	qsort(samples->values, samples->count, sizeof(double), compare_doubles);
	i = (uint32_t)((double)samples->count * fraction);
	if (i >= samples->count)
		i = samples->count - 1;
	return samples->values[i];
}

void samples_finish(struct samples *samples)
{
	free(samples->values);
	memset(samples, 0, sizeof(*samples));
}

static double cpu_seconds(pid_t pid)
{
	unsigned long user = 0;
	unsigned long system = 0;
	char line[LINE_SIZE];
	char path[64];
	char *after;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)pid);
	file = fopen(path, "re");
	if (!file)
		return 0;
	if (fgets(line, sizeof(line), file)) {
		/* The process name in parentheses may contain spaces. */
		after = strrchr(line, ')');
		if (after)
			sscanf(after + 2,
			       "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u "
			       "%lu %lu",
			       &user, &system);
	}
	fclose(file);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static double rss_mb(pid_t pid)
{
	char line[LINE_SIZE];
	char path[64];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "re");
	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file))
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	fclose(file);
	return (double)kb / 1024;
}

struct usage usage_of(pid_t pid)
{
	struct usage usage = { cpu_seconds(pid), rss_mb(pid) };

	return usage;
}

void bench_build(int argc, char **argv)
{
	if (argc > 1)
		setenv("GERANIUMPLANK_BUILD", argv[1], 1);
}

void bench_report(const char *name, double value, const char *unit,
		  const char *extra)
{
	printf("{\"name\":\"%s\",\"value\":%.6g,\"unit\":\"%s\"%s%s}\n", name,
	       value, unit, extra ? "," : "", extra ? extra : "");
	fflush(stdout);
}

bool bench_must(bool holds, const char *what)
{
	if (holds)
		return true;
	failures++;
	fprintf(stderr, "bench: failed: %s\n", what);
	return false;
}

int bench_status(void)
{
	return failures ? 1 : 0;
}

size_t bench_profile_print(char *text, size_t size, const char *service,
			   uint32_t generation, uint32_t added_ms)
{
	return (size_t)snprintf(
		text, size,
		"# generation %u\n"
		"services = [\"%s\"]\n"
		"drain_ms = 5000\n"
		"cold_start_ms = 0\n"
		"[kind.read]\nweight = 1.0\ndeadline_ms = 2000\n"
		"repeatable = true\nattempts_max = 3\nqueue_max = 64\n"
		"[kind.review]\nweight = 0.3\ndeadline_ms = 2000\n"
		"repeatable = true\nattempts_max = 3\nqueue_max = 64\n"
		"[kind.seal]\nweight = 4.0\ndeadline_ms = %u\n"
		"repeatable = false\nattempts_max = 3\nqueue_max = 64\n"
		"[[route]]\nmethod = \"GET\"\npath = \"/review*\"\n"
		"kind = \"review\"\n"
		"[[route]]\nmethod = \"GET\"\npath = \"/*\"\nkind = \"read\"\n"
		"[[route]]\nmethod = \"POST\"\npath = \"/*\"\n"
		"kind = \"seal\"\n",
		generation, service, SEAL_DEADLINE_MS + added_ms);
}

const char *bench_profile(uint32_t generation)
{
	static char text[PROFILE_SIZE];

	bench_profile_print(text, sizeof(text), "*", generation, generation);
	return text;
}

bool bench_ready(struct cluster *cluster)
{
	uint64_t version;

	if (!cluster_wait_members(cluster, cluster->node_count,
				  READY_TIMEOUT_MS))
		return false;
	version = cluster_accept(cluster, 0, "default", bench_profile(0));
	return version &&
	       cluster_wait_version(cluster, -1, version, READY_TIMEOUT_MS) &&
	       cluster_wait_routes(cluster, READY_TIMEOUT_MS);
}

bool bench_begin(struct cluster *cluster, uint32_t nodes)
{
	uint64_t version;

	if (!cluster_wait_members(cluster, nodes, BEGIN_TIMEOUT_MS))
		return false;
	version = cluster_accept(cluster, 0, "default", bench_profile(0));
	return version &&
	       cluster_wait_version(cluster, -1, version, BEGIN_TIMEOUT_MS) &&
	       cluster_wait_routes(cluster, BEGIN_TIMEOUT_MS);
}

int64_t bench_control_bytes(struct cluster *cluster, uint32_t i)
{
	return cluster_node_status(cluster, i, "control_sent_bytes") +
	       cluster_node_status(cluster, i, "control_received_bytes");
}

int64_t bench_store_calls(struct cluster *cluster, const char *member)
{
	char answer[4096];
	int64_t value;
	json_t *json;

	fetch_simple("GET", cluster->platform_address, "/v1/stats", NULL,
		     answer, sizeof(answer));
	json = json_loads(answer, 0, NULL);
	value = json_integer_value(json_object_get(json, member));
	json_decref(json);
	return value;
}

json_t *bench_upstream_stats(struct cluster *cluster, uint32_t i)
{
	struct fetch fetch = { .method = "GET" };
	json_t *stats = NULL;

	snprintf(fetch.url, sizeof(fetch.url), "http://%s/standin/stats?list=1",
		 cluster->nodes[i].upstream_address);
	if (fetch_run(&fetch) && fetch.status == 200)
		stats = json_loadb(fetch.answer, fetch.answer_size, 0, NULL);
	fetch_finish(&fetch);
	return stats;
}

void bench_sleep_ms(int64_t ms)
{
	struct timespec wait = { ms / 1000, (ms % 1000) * 1000000 };

	nanosleep(&wait, NULL);
}

/* Parses "2026-01-02T03:04:05.678Z" as ms since 1970; 0 on failure. */
static int64_t parse_time_ms(const char *text)
{
	struct tm parts = { 0 };
	const char *rest = strptime(text, "%Y-%m-%dT%H:%M:%S", &parts);

	if (!rest || *rest != '.')
		return 0;
	return (int64_t)timegm(&parts) * MS_PER_S + strtol(rest + 1, NULL, 10);
}

/* Returns the version of the next event "version_in_force"; 0 at the end. */
static uint64_t next_version(FILE *file, int64_t *at_ms)
{
	char line[LINE_SIZE];
	uint64_t version = 0;

	while (!version && fgets(line, sizeof(line), file)) {
		json_t *json;

		if (!strstr(line, "\"version_in_force\""))
			continue;
		json = json_loads(line, 0, NULL);
		version = (uint64_t)json_integer_value(
			json_object_get(json, "version"));
		*at_ms = parse_time_ms(
			json_string_value(json_object_get(json, "time")));
		json_decref(json);
	}
	return version;
}

static int64_t find_in_force_ms(const struct cluster *cluster, uint32_t i,
				uint64_t version)
{
	FILE *file = fopen(cluster->nodes[i].process.log_path, "re");
	uint64_t found = 0;
	int64_t at_ms = 0;

	if (!file)
		return 0;
	do
		found = next_version(file, &at_ms);
	while (found && found < version);
	fclose(file);
	return found ? at_ms : 0;
}

int64_t bench_in_force_ms(struct cluster *cluster, uint32_t i, uint64_t version)
{
	int64_t until_us = clock_monotonic_us() + LOG_WAIT_US;
	int64_t at_ms = find_in_force_ms(cluster, i, version);

	/* The node writes its log asynchronously: the line may come late. */
	while (!at_ms && clock_monotonic_us() < until_us) {
		bench_sleep_ms(LOG_POLL_MS);
		at_ms = find_in_force_ms(cluster, i, version);
	}
	return at_ms;
}

int64_t bench_versions_reverted(struct cluster *cluster)
{
	int64_t reverted = 0;
	uint32_t i;

	for (i = 0; i < cluster->node_count; i++) {
		FILE *file = fopen(cluster->nodes[i].process.log_path, "re");
		uint64_t previous = 0;
		uint64_t version;
		int64_t at_ms;

		while (file && (version = next_version(file, &at_ms))) {
			if (version < previous)
				reverted++;
			previous = version;
		}
		if (file)
			fclose(file);
	}
	return reverted;
}
