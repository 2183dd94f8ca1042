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
 * A rolling stop of every upstream and every node under steady load: each
 * upstream gets SIGTERM, says that it is leaving, ends its work and goes;
 * then its node gets SIGTERM; both are started again before the next. Callers
 * stay on all nodes, the stopping one included.
 *
 * A call counts as cut if its caller got neither its answer nor a "not run".
 * When the last work came to an upstream after it had said that it was
 * leaving is in the upstream's own record.
 */

enum {
	CENTRES = 2,
	NODES = 6,
	RATE_PER_S = 1500,
	SLICE_MS = 20,
	BEFORE_MS = 500,
	BETWEEN_MS = 150,
	TIMEOUT_MS = 20000,
	CALLER_TIMEOUT_MS = 8000,
	SETTLE_MS = 9000,
	IN_FLIGHT_MAX = 4000,
	MAX_NEW_WORK_MS = 2000,
	STATUS_OK = 200,
	LINE_SIZE = 4096,
};

/* The stop that is going on, to tell which one cut a call. */
struct window {
	int64_t from_us;
	int64_t until_us;
};

struct stops {
	struct window upstreams[NODES];
	struct window nodes[NODES];
};

static bool is_cut(const struct load_record *record)
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

/* Go on sending until the process has ended by itself. */
static bool stop(struct load *load, struct process *process,
		 struct window *window)
{
	int64_t until_us = clock_monotonic_us() + TIMEOUT_MS * US_PER_MS;

	window->from_us = clock_monotonic_us();
	process_signal(process, SIGTERM);
	while (!process_wait(process, 0)) {
		if (clock_monotonic_us() >= until_us)
			return false;
		load_run(load, SLICE_MS);
	}
	window->until_us = clock_monotonic_us();
	return true;
}

/* Go on sending until all live nodes route the service again. */
static bool settle(struct load *load, struct cluster *cluster, uint32_t i)
{
	int64_t until_us = clock_monotonic_us() + TIMEOUT_MS * US_PER_MS;

	while (cluster_node_status(cluster, i, "services") < 1) {
		if (clock_monotonic_us() >= until_us)
			return false;
		load_run(load, SLICE_MS);
	}
	load_run(load, BETWEEN_MS);
	return true;
}

static bool stop_and_start(struct load *load, struct cluster *cluster,
			   uint32_t i, struct stops *stops)
{
	struct cluster_node *node = &cluster->nodes[i];

	return bench_must(stop(load, &node->upstream, &stops->upstreams[i]),
			  "an upstream ends by itself") &&
	       cluster_start_upstream(cluster, i) && settle(load, cluster, i) &&
	       bench_must(stop(load, &node->process, &stops->nodes[i]),
			  "a node ends by itself") &&
	       cluster_spawn_node(cluster, i) &&
	       cluster_wait_node(cluster, i) && settle(load, cluster, i);
}

/* The latest new work of all upstreams that have stopped, by their logs. */
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

static const char *where(const struct load_record *record,
			 const struct stops *stops)
{
	int64_t end_us = record->sent_us + record->latency_us;
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		const struct window *upstream = &stops->upstreams[i];
		const struct window *node = &stops->nodes[i];

		if (end_us >= upstream->from_us &&
		    record->sent_us <= upstream->until_us)
			return "an upstream's stop";
		if (end_us >= node->from_us &&
		    record->sent_us <= node->until_us)
			return record->target == i ? "its own node's stop"
						   : "another node's stop";
	}
	return "no stop";
}

/* Told "not run" by a node that was not stopping itself. */
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

static uint32_t count_cut(const struct load *load, const struct stops *stops)
{
	static const char *const names[LOAD_OUTCOMES] = {
		"open", "answered", "not run",	"may have run",
		"ran",	"cut",	    "not sent",
	};
	uint32_t cut = 0;
	uint32_t i;

	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];

		if (!is_cut(record))
			continue;
		cut++;
		fprintf(stderr, "bench: %s, %s, status %u, in %s\n",
			load->options.kinds[record->kind].name,
			names[record->outcome], record->status,
			where(record, stops));
	}
	return cut;
}

static void report(struct cluster *cluster, const struct load *load,
		   const struct stops *stops)
{
	const struct load_filter all = { -1, -1 };
	uint32_t cut = count_cut(load, stops);
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
	bench_report("drain.cut_calls", cut, "calls", extra);
	snprintf(extra, sizeof(extra), "\"upstreams\":%u", upstreams);
	bench_report("drain.new_work_after_ms", (double)after_ms, "ms", extra);
	bench_must(cut == 0, "no call cut");
	bench_must(summary.mismatched == 0, "no answer crossed");
	bench_must(upstreams == NODES, "every upstream left its record");
	bench_must(after_ms <= MAX_NEW_WORK_MS, "new_work_after_ms");
}

static void measure(struct cluster *cluster)
{
	struct stops stops = { 0 };
	struct load_options options;
	struct error err = ERROR_INIT;
	struct load load;
	bool whole = true;
	uint32_t i;

	load_options(cluster, &options);
	if (!bench_must(load_begin(&load, &options, &err), "load"))
		return;
	load_run(&load, BEFORE_MS);
	for (i = 0; whole && i < NODES; i++)
		whole = bench_must(stop_and_start(&load, cluster, i, &stops),
				   "stop and start");
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
	if (bench_must(cluster_start(&cluster, &options), "start") &&
	    bench_must(bench_begin(&cluster, NODES), "all nodes in force"))
		measure(&cluster);
	cluster_stop(&cluster);
	return bench_status();
}
