#include <stdio.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#include "common.h"

/**
 * DOC: callgrind
 *
 * Sends a fixed number of calls through one pair of nodes, one after another,
 * for scripts/callgrind.sh. The nodes are ended by SIGTERM, so that callgrind
 * writes its counts. With "quiet" as third argument, a node logs at most one
 * call a second; the difference between both runs is the cost of the log.
 */

enum { STOP_TIMEOUT_MS = 60000, CALL_INTERVAL_MS = 2 };

static void call_many(struct cluster *cluster, uint32_t count)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct fetch fetch = { .method = "GET" };

		cluster_call(cluster, 0, "beta", &fetch, "/today");
		bench_must(fetch.status == 200, "every call answered");
		fetch_finish(&fetch);
		bench_sleep_ms(CALL_INTERVAL_MS);
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
			   "a node ends after SIGTERM");
}

/* Code runs about fifty times slower under callgrind. */
#define LONG_TIMEOUTS                                                          \
	"[membership]\nprobe_timeout_ms = 2000\nprobe_interval_ms = 5000\n"    \
	"[call]\nsilence_ms = 10000\nconnect_timeout_ms = 5000\n"
/* 0 means no limit: the log has a line for each call. */
#define LOG_ALL_CALLS "[log]\nrequests_per_s = 0\n"
#define LOG_ONE_CALL_PER_S "[log]\nrequests_per_s = 1\n"

int main(int argc, char **argv)
{
	bool quiet = argc > 3 && !strcmp(argv[3], "quiet");
	struct cluster_options options = {
		.centres = 1,
		.nodes = 2,
		.services = { "alpha", "beta" },
		.profile = "default",
		.settings = quiet ? LONG_TIMEOUTS LOG_ONE_CALL_PER_S
				  : LONG_TIMEOUTS LOG_ALL_CALLS,
	};
	static struct cluster cluster;
	uint32_t calls = argc > 2 ? (uint32_t)strtoul(argv[2], NULL, 10) : 100;

	bench_build(argc, argv);
	if (bench_must(cluster_start(&cluster, &options),
		       "the cluster starts") &&
	    bench_must(bench_ready(&cluster),
		       "first version in force on all nodes")) {
		call_many(&cluster, calls);
		stop_nodes(&cluster);
	}
	cluster_stop(&cluster);
	return bench_status();
}
