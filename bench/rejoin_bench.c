#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "common.h"
#include "os/clock.h"

/**
 * DOC: rejoin
 *
 * One data centre is cut off from the others and from the platform while 50
 * versions are accepted elsewhere and calls go on in it; then the cuts heal.
 * Measured: how long until it agrees, what that costs, whether a call was
 * lost or a version went back.
 */

enum {
	CENTRES = 3,
	NODES = 12,
	CUT_CENTRE = 2,
	VERSIONS = 50,
	TIMEOUT_MS = 30000,
	CALL_EVERY_MS = 5,
	MAX_AGREE_MS = 3000,
	AFTER_MS = 1000,
};

struct callers {
	struct cluster *cluster;
	uint32_t node;
	atomic_bool stop;
	atomic_uint sent;
	atomic_uint lost;
};

static void *call_on(void *data)
{
	struct callers *callers = data;

	while (!atomic_load(&callers->stop)) {
		struct fetch fetch = { .method = "GET", .timeout_ms = 3000 };

		atomic_fetch_add(&callers->sent, 1);
		if (!cluster_call(callers->cluster, callers->node, "alpha",
				  &fetch, "/today") ||
		    fetch.status != 200)
			atomic_fetch_add(&callers->lost, 1);
		fetch_finish(&fetch);
		bench_sleep_ms(CALL_EVERY_MS);
	}
	return NULL;
}

static int64_t centre_bytes(struct cluster *cluster)
{
	int64_t bytes = 0;
	uint32_t i;

	for (i = 0; i < cluster->node_count; i++)
		if (cluster->nodes[i].centre == CUT_CENTRE)
			bytes += bench_control_bytes(cluster, i);
	return bytes;
}

static uint64_t accept_many(struct cluster *cluster)
{
	uint64_t version = 0;
	uint32_t i;

	for (i = 1; i <= VERSIONS; i++) {
		version =
			cluster_accept(cluster, 0, "default", bench_profile(i));
		if (!version)
			return 0;
	}
	return version;
}

static void measure(struct cluster *cluster)
{
	struct callers callers = { .cluster = cluster, .node = NODES - 1 };
	int64_t healed_us;
	uint64_t version;
	pthread_t thread;
	int64_t bytes;
	double agree_ms;

	pthread_create(&thread, NULL, call_on, &callers);
	bench_sleep_ms(AFTER_MS);
	cluster_partition(cluster, CUT_CENTRE, true);
	cluster_partition_platform(cluster, CUT_CENTRE, true);
	version = accept_many(cluster);
	bench_must(version > 0, "accept during the cut");
	bench_must(cluster_version(cluster, NODES - 1) < version,
		   "the cut data centre stays behind");
	bench_sleep_ms(AFTER_MS);
	bytes = centre_bytes(cluster);
	healed_us = clock_monotonic_us();
	cluster_partition(cluster, CUT_CENTRE, false);
	cluster_partition_platform(cluster, CUT_CENTRE, false);
	bench_must(cluster_wait_version(cluster, CUT_CENTRE, version,
					TIMEOUT_MS),
		   "agreement after the cut");
	agree_ms = (double)(clock_monotonic_us() - healed_us) / US_PER_MS;
	bytes = centre_bytes(cluster) - bytes;
	bench_sleep_ms(AFTER_MS);
	atomic_store(&callers.stop, true);
	pthread_join(thread, NULL);
	bench_report("rejoin.agree_ms", agree_ms, "ms", NULL);
	bench_report("rejoin.bytes_per_node",
		     (double)bytes / ((double)NODES / CENTRES), "bytes", NULL);
	bench_report("rejoin.calls_sent", atomic_load(&callers.sent), "calls",
		     NULL);
	bench_report("rejoin.calls_lost", atomic_load(&callers.lost), "calls",
		     NULL);
	bench_must(agree_ms <= MAX_AGREE_MS, "agree_ms");
	bench_must(atomic_load(&callers.lost) == 0, "no call lost");
}

int main(int argc, char **argv)
{
	struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "alpha", "beta" },
		.profile = "default",
	};
	static struct cluster cluster;
	int64_t reverted;

	bench_build(argc, argv);
	if (bench_must(cluster_start(&cluster, &options), "start") &&
	    bench_must(bench_begin(&cluster, NODES), "all nodes in force")) {
		measure(&cluster);
		reverted = bench_versions_reverted(&cluster);
		bench_report("rejoin.versions_reverted", (double)reverted,
			     "versions", NULL);
		bench_must(reverted == 0, "no version reverted");
	}
	cluster_stop(&cluster);
	return bench_status();
}
