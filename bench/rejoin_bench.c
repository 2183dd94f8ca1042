#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "common.h"
#include "os/clock.h"

/**
 * DOC: rejoin
 *
 * A network partition separates one data centre from the others and from the
 * platform while 50 versions are accepted elsewhere and calls to one of its
 * nodes go on.
 * Measures how long the data centre takes to get the newest version after the
 * partition has healed, the control bytes that this costs, lost calls, and
 * versions that decreased.
 */

enum {
	CENTRES = 3,
	NODES = 12,
	PARTITIONED_CENTRE = 2,
	VERSIONS = 50,
	TIMEOUT_MS = 30000,
	CALL_EVERY_MS = 5,
	MAX_AGREE_MS = 3000,
	SETTLE_MS = 1000,
};

/**
 * struct caller - thread that sends calls one after another
 * @cluster: cluster that the calls go to
 * @node: index of the node that receives the calls
 * @stop: ends the thread
 * @sent: number of calls sent
 * @lost: number of calls without an answer of status 200
 */
struct caller {
	struct cluster *cluster;
	uint32_t node;
	atomic_bool stop;
	atomic_uint sent;
	atomic_uint lost;
};

static void *caller_thread(void *data)
{
	struct caller *caller = data;

	while (!atomic_load(&caller->stop)) {
		struct fetch fetch = { .method = "GET", .timeout_ms = 3000 };

		atomic_fetch_add(&caller->sent, 1);
		if (!cluster_call(caller->cluster, caller->node, "alpha",
				  &fetch, "/today") ||
		    fetch.status != 200)
			atomic_fetch_add(&caller->lost, 1);
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
		if (cluster->nodes[i].centre == PARTITIONED_CENTRE)
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
	struct caller caller = { .cluster = cluster, .node = NODES - 1 };
	int64_t healed_us;
	uint64_t version;
	pthread_t thread;
	int64_t bytes;
	double agree_ms;

	pthread_create(&thread, NULL, caller_thread, &caller);
	bench_sleep_ms(SETTLE_MS);
	cluster_partition(cluster, PARTITIONED_CENTRE, true);
	cluster_partition_platform(cluster, PARTITIONED_CENTRE, true);
	version = accept_many(cluster);
	bench_must(version > 0, "versions are accepted during the partition");
	bench_must(cluster_version(cluster, NODES - 1) < version,
		   "the partitioned data centre keeps an older version");
	bench_sleep_ms(SETTLE_MS);
	bytes = centre_bytes(cluster);
	healed_us = clock_monotonic_us();
	cluster_partition(cluster, PARTITIONED_CENTRE, false);
	cluster_partition_platform(cluster, PARTITIONED_CENTRE, false);
	bench_must(cluster_wait_version(cluster, PARTITIONED_CENTRE, version,
					TIMEOUT_MS),
		   "newest version in force after the partition");
	agree_ms = (double)(clock_monotonic_us() - healed_us) / US_PER_MS;
	bytes = centre_bytes(cluster) - bytes;
	bench_sleep_ms(SETTLE_MS);
	atomic_store(&caller.stop, true);
	pthread_join(thread, NULL);
	bench_report("rejoin.agree_ms", agree_ms, "ms", NULL);
	bench_report("rejoin.bytes_per_node",
		     (double)bytes / ((double)NODES / CENTRES), "bytes", NULL);
	bench_report("rejoin.calls_sent", atomic_load(&caller.sent), "calls",
		     NULL);
	bench_report("rejoin.calls_lost", atomic_load(&caller.lost), "calls",
		     NULL);
	bench_must(agree_ms <= MAX_AGREE_MS, "agree_ms");
	bench_must(atomic_load(&caller.lost) == 0, "no call lost");
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
	if (bench_must(cluster_start(&cluster, &options),
		       "the cluster starts") &&
	    bench_must(bench_begin(&cluster, NODES),
		       "first version in force on all nodes")) {
		measure(&cluster);
		reverted = bench_versions_reverted(&cluster);
		bench_report("rejoin.versions_reverted", (double)reverted,
			     "versions", NULL);
		bench_must(reverted == 0, "no version reverted");
	}
	cluster_stop(&cluster);
	return bench_status();
}
