#include <stdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

/**
 * DOC: callgrind
 *
 * A fixed number of calls through one pair of nodes, one after another, for
 * scripts/callgrind.sh: the nodes end by SIGTERM, so that the tool they run
 * under writes its counts. With "quiet" as third argument a line a second
 * is written about calls: the difference is what the log costs.
 */

enum { STOP_TIMEOUT_MS = 60000, GAP_MS = 2 };

static void call_many(struct cluster *cluster, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct fetch fetch = { .method = "GET" };

		cluster_call(cluster, 0, "beta", &fetch, "/today");
		bench_must(fetch.status == 200, "every call answered");
		fetch_finish(&fetch);
		bench_sleep_ms(GAP_MS);
	}
}

static void stop_nodes(struct cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < cluster->node_count; i++)
		process_signal(&cluster->nodes[i].process, SIGTERM);
	for (i = 0; i < cluster->node_count; i++)
		bench_must(process_wait(&cluster->nodes[i].process,
					STOP_TIMEOUT_MS),
			   "node ended");
}

/* Under the tool everything takes fifty times as long. */
#define PATIENT                                                                \
	"[membership]\nprobe_timeout_ms = 2000\nprobe_interval_ms = 5000\n"    \
	"[call]\nsilence_ms = 10000\nconnect_timeout_ms = 5000\n"
/* What nobody limits, so that each call has its line. */
#define LINES "[log]\nrequests_per_s = 0\n"
#define NO_LINES "[log]\nrequests_per_s = 1\n"

int main(int argc, char **argv)
{
	bool quiet = argc > 3 && !strcmp(argv[3], "quiet");
	struct cluster_options options = {
		.centres = 1,
		.nodes = 2,
		.services = { "alpha", "beta" },
		.profile = "default",
		.settings = quiet ? PATIENT NO_LINES : PATIENT LINES,
	};
	static struct cluster cluster;
	uint32_t calls = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 100;

	bench_build(argc, argv);
	if (bench_must(cluster_start(&cluster, &options), "start") &&
	    bench_must(bench_ready(&cluster), "all nodes in force")) {
		call_many(&cluster, calls);
		stop_nodes(&cluster);
	}
	cluster_stop(&cluster);
	return bench_status();
}
