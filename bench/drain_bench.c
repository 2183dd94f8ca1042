#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"
#include "fleet/load.h"
#include "os/clock.h"

/**
 * DOC: drain
 *
 * A rolling graceful shutdown of every upstream and every node under steady
 * load. Each upstream receives SIGTERM, announces that it is leaving, finishes
 * its work and exits, and is started again; then its node receives SIGTERM and
 * is started again. Callers keep calling all nodes, also the one that stops.
 *
 * drain.cut_calls counts the calls that were sent and whose caller got neither
 * an answer of status 200 nor the verdict "not-run". drain.new_work_after_ms is
 * the longest time after an upstream announced that it was leaving until it got
 * its last work; each upstream logs this time.
 */

enum {
	CENTRES = 2,
	NODES = 6,
	RATE_PER_S = 1500,
	POLL_MS = 20,
	WARM_UP_MS = 500,
	BETWEEN_MS = 150,
	TIMEOUT_MS = 20000,
	CALLER_TIMEOUT_MS = 8000,
	SETTLE_MS = 9000,
	IN_FLIGHT_MAX = 4000,
	MAX_NEW_WORK_MS = 2000,
	STATUS_OK = 200,
	LINE_SIZE = 4096,
};

/**
 * struct window - period in which a process was stopped
 * @from_us: time of SIGTERM, monotonic clock
 * @until_us: time when the process had ended, monotonic clock
 */
struct window {
	int64_t from_us;
	int64_t until_us;
};

/* Periods in which the upstream and the node of each index were stopped. */
struct stops {
	struct window upstreams[NODES];
	struct window nodes[NODES];
};

static bool is_failed(const struct load_record *record)
{
	return record->outcome == LOAD_ABORTED ||
	       record->outcome == LOAD_MAY_HAVE_RUN ||
	       record->outcome == LOAD_RAN_NO_ANSWER ||
	       (record->outcome == LOAD_ANSWERED &&
		record->status != STATUS_OK);
}

static void load_options(const struct cluster *cluster,
			 struct load_options *options)
{
	static const struct load_kind kinds[] = {
		{ .name = "read",
		  .method = "GET",
		  .path = "/today",
		  .service = "seal-desk",
		  .share = 1,
		  .weight = 1 },
		{ .name = "seal",
		  .method = "POST",
		  .path = "/seal",
		  .service = "seal-desk",
		  .share = 1,
		  .weight = 4,
		  .body_bytes = 64,
		  .non_idempotent = true },
	};
	uint32_t i;

	memset(options, 0, sizeof(*options));
	memcpy(options->kinds, kinds, sizeof(kinds));
	options->kind_count = sizeof(kinds) / sizeof(kinds[0]);
	for (i = 0; i < NODES; i++)
		options->targets[options->target_count++] =
			cluster->nodes[i].caller;
	options->rate_per_s = RATE_PER_S;
	options->poisson = true;
	options->in_flight_max = IN_FLIGHT_MAX;
	options->timeout_ms = CALLER_TIMEOUT_MS;
	options->seed = 1;
	options->prefix = "drain";
}

/* Sends SIGTERM and continues the load until the process has ended. Returns
 * false on a timeout. */
static bool stop_process(struct load *load, struct process *process,
			 struct window *window)
{
	int64_t until_us = clock_monotonic_us() + TIMEOUT_MS * US_PER_MS;

	window->from_us = clock_monotonic_us();
	process_signal(process, SIGTERM);
	while (!process_wait(process, 0)) {
		if (clock_monotonic_us() >= until_us)
			return false;
		load_run(load, POLL_MS);
	}
	window->until_us = clock_monotonic_us();
	return true;
}

/* Continues the load until node @i routes a service again. Returns false on a
 * timeout. */
static bool wait_routes(struct load *load, struct cluster *cluster, uint32_t i)
{
	int64_t until_us = clock_monotonic_us() + TIMEOUT_MS * US_PER_MS;

	while (cluster_node_status(cluster, i, "services") < 1) {
		if (clock_monotonic_us() >= until_us)
			return false;
		load_run(load, POLL_MS);
	}
	load_run(load, BETWEEN_MS);
	return true;
}

static bool stop_and_start(struct load *load, struct cluster *cluster,
			   uint32_t i, struct stops *stops)
{
	struct cluster_node *node = &cluster->nodes[i];

	return bench_must(stop_process(load, &node->upstream,
				       &stops->upstreams[i]),
			  "an upstream ends after SIGTERM") &&
	       cluster_start_upstream(cluster, i) &&
	       wait_routes(load, cluster, i) &&
	       bench_must(stop_process(load, &node->process, &stops->nodes[i]),
			  "a node ends after SIGTERM") &&
	       cluster_spawn_node(cluster, i) &&
	       cluster_wait_node(cluster, i) && wait_routes(load, cluster, i);
}

/* Returns the highest new_work_after_ms in the logs of stopped upstreams and
 * counts these upstreams in @upstreams. */
static int64_t new_work_after_ms(const struct cluster *cluster,
				 uint32_t *upstreams)
{
	int64_t latest_ms = 0;
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		FILE *file = fopen(cluster->nodes[i].upstream.log_path, "re");
		char line[LINE_SIZE];

		while (file && fgets(line, sizeof(line), file)) {
			const char *at = strstr(line, "new_work_after_ms");
			int64_t after_ms;

			if (!strstr(line, "\"event\":\"stopped\"") || !at)
				continue;
			(*upstreams)++;
			after_ms = strtoll(strpbrk(at, "0123456789"), NULL, 10);
			if (after_ms > latest_ms)
				latest_ms = after_ms;
		}
		if (file)
			fclose(file);
	}
	return latest_ms;
}

static const char *describe_stop(const struct load_record *record,
				 const struct stops *stops)
{
	int64_t end_us = record->sent_us + record->latency_us;
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		const struct window *upstream = &stops->upstreams[i];
		const struct window *node = &stops->nodes[i];

		if (end_us >= upstream->from_us &&
		    record->sent_us <= upstream->until_us)
			return "the stop of an upstream";
		if (end_us >= node->from_us &&
		    record->sent_us <= node->until_us)
			return record->target == i
				       ? "the stop of the node that was called"
				       : "the stop of another node";
	}
	return "no stop";
}

/* Counts the verdicts "not-run" of nodes that were not stopping. */
static uint32_t refused_by_others(const struct load *load,
				  const struct stops *stops)
{
	uint32_t refused = 0;
	uint32_t i;

	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];
		const struct window *own = &stops->nodes[record->target];

		refused +=
			record->outcome == LOAD_NOT_RUN &&
			(record->sent_us + record->latency_us < own->from_us ||
			 record->sent_us > own->until_us);
	}
	return refused;
}

static uint32_t count_failed(const struct load *load, const struct stops *stops)
{
	static const char *const names[LOAD_OUTCOMES] = {
		"pending",	"answered",	      "not run",
		"may have run", "ran without answer", "aborted",
		"not sent",
	};
	uint32_t failed = 0;
	uint32_t i;

	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];

		if (!is_failed(record))
			continue;
		failed++;
		fprintf(stderr,
			"bench: call failed: kind %s, %s, status %u, "
			"during %s\n",
			load->options.kinds[record->kind].name,
			names[record->outcome], record->status,
			describe_stop(record, stops));
	}
	return failed;
}

static void report(struct cluster *cluster, const struct load *load,
		   const struct stops *stops)
{
	const struct load_filter all = { -1, -1 };
	uint32_t failed = count_failed(load, stops);
	struct load_summary summary;
	uint32_t upstreams = 0;
	int64_t after_ms = new_work_after_ms(cluster, &upstreams);
	char extra[256];

	load_summarize(load, &all, &summary);
	snprintf(extra, sizeof(extra),
		 "\"requests\":%u,\"answered\":%u,\"not_run\":%u,"
		 "\"not_run_by_others\":%u,\"not_sent\":%u,\"crossed\":%u",
		 summary.count, summary.outcomes[LOAD_ANSWERED],
		 summary.outcomes[LOAD_NOT_RUN], refused_by_others(load, stops),
		 summary.outcomes[LOAD_NOT_SENT], summary.mismatched);
	bench_report("drain.cut_calls", failed, "calls", extra);
	snprintf(extra, sizeof(extra), "\"upstreams\":%u", upstreams);
	bench_report("drain.new_work_after_ms", (double)after_ms, "ms", extra);
	bench_must(failed == 0, "drain.cut_calls");
	bench_must(summary.mismatched == 0,
		   "no answer belongs to another request");
	bench_must(upstreams == NODES, "every upstream logged its stop");
	bench_must(after_ms <= MAX_NEW_WORK_MS, "new_work_after_ms");
}

static void measure(struct cluster *cluster)
{
	struct stops stops = { 0 };
	struct load_options options;
	struct error err = ERROR_INIT;
	struct load load;
	bool succeeded = true;
	uint32_t i;

	load_options(cluster, &options);
	if (!bench_must(load_begin(&load, &options, &err),
			"the load generator starts"))
		return;
	load_run(&load, WARM_UP_MS);
	for (i = 0; succeeded && i < NODES; i++)
		succeeded =
			bench_must(stop_and_start(&load, cluster, i, &stops),
				   "an upstream and its node restart");
	load_drain(&load, SETTLE_MS);
	report(cluster, &load, &stops);
	load_finish(&load);
}

int main(int argc, char **argv)
{
	const struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "seal-desk" },
		.profile = "default",
		.upstream_args = { "--service-us", "20000", "--spread",
				   "exponential" },
	};
	static struct cluster cluster;

	bench_build(argc, argv);
	if (bench_must(cluster_start(&cluster, &options),
		       "the cluster starts") &&
	    bench_must(bench_begin(&cluster, NODES),
		       "first version in force on all nodes"))
		measure(&cluster);
	cluster_stop(&cluster);
	return bench_status();
}
