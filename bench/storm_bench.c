#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "common.h"
#include "os/clock.h"

/**
 * DOC: storm
 *
 * Half of 64 nodes are killed and restarted at once while the platform's
 * service is down. Measures how long each restarted node takes to get the
 * configuration and the records of all members, and, also after the service is
 * up again, the highest rate of calls to it.
 */

enum {
	CENTRES = 2,
	NODES = 64,
	TIMEOUT_MS = 20000,
	DOWN_MS = 1000,
	UP_MS = 4000,
	POLL_MS = 10,
	MAX_READY_MS = 5000,
	MAX_PEAK = 50,
};

static bool is_killed(uint32_t i)
{
	return i % 2 == 1;
}

static void set_platform_down(struct cluster *cluster, bool down)
{
	char answer[256];

	fetch_simple("POST", cluster->platform_address, "/v1/faults",
		     down ? "{\"down\":true}" : "{\"down\":false}", answer,
		     sizeof(answer));
}

static bool is_ready(struct cluster *cluster, uint32_t i, uint64_t version)
{
	return cluster_version(cluster, i) >= version &&
	       cluster_node_status(cluster, i, "members") >= NODES;
}

static void wait_ready(struct cluster *cluster, uint64_t version,
		       const int64_t *started_us, struct samples *ready_ms)
{
	int64_t until_us = clock_monotonic_us() + TIMEOUT_MS * US_PER_MS;
	static bool done[NODES];
	uint32_t remaining = NODES / 2;
	uint32_t i;

	while (remaining && clock_monotonic_us() < until_us) {
		for (i = 0; i < NODES; i++) {
			if (!is_killed(i) || done[i] ||
			    !is_ready(cluster, i, version))
				continue;
			done[i] = true;
			remaining--;
			samples_add(ready_ms, (double)(clock_monotonic_us() -
						       started_us[i]) /
						      US_PER_MS);
		}
		bench_sleep_ms(POLL_MS);
	}
	bench_must(remaining == 0, "every node ready again");
}

static void measure(struct cluster *cluster, uint64_t version)
{
	struct samples ready_ms = { 0 };
	int64_t started_us[NODES];
	char answer[256];
	double p99_ms;
	double peak;
	uint32_t i;

	set_platform_down(cluster, true);
	for (i = 0; i < NODES; i++)
		if (is_killed(i))
			process_kill(&cluster->nodes[i].process);
	bench_sleep_ms(DOWN_MS);
	fetch_simple("POST", cluster->platform_address, "/v1/stats", "{}",
		     answer, sizeof(answer));
	for (i = 0; i < NODES; i++) {
		started_us[i] = clock_monotonic_us();
		if (is_killed(i))
			cluster_spawn_node(cluster, i);
	}
	for (i = 0; i < NODES; i++)
		if (is_killed(i))
			bench_must(cluster_wait_node(cluster, i),
				   "a killed node restarts");
	wait_ready(cluster, version, started_us, &ready_ms);
	set_platform_down(cluster, false);
	bench_sleep_ms(UP_MS);
	p99_ms = samples_quantile(&ready_ms, 0.99);
	peak = (double)bench_store_calls(cluster, "peak_per_s");
	bench_report("storm.ready_p99_ms", p99_ms, "ms", NULL);
	bench_report("storm.store_calls_peak_per_s", peak, "calls/s", NULL);
	bench_must(p99_ms <= MAX_READY_MS, "ready_p99_ms");
	bench_must(peak <= MAX_PEAK, "store_calls_peak_per_s");
	samples_finish(&ready_ms);
}

int main(int argc, char **argv)
{
	struct cluster_options options = { .centres = CENTRES, .nodes = NODES };
	static struct cluster cluster;
	uint64_t version = 0;

	bench_build(argc, argv);
	if (bench_must(cluster_start(&cluster, &options),
		       "the cluster starts") &&
	    bench_must(cluster_wait_members(&cluster, NODES, TIMEOUT_MS),
		       "all nodes are members"))
		version = cluster_accept(&cluster, 0, "default",
					 bench_profile(1));
	if (bench_must(version && cluster_wait_version(&cluster, -1, version,
						       TIMEOUT_MS),
		       "version in force on all nodes"))
		measure(&cluster, version);
	cluster_stop(&cluster);
	return bench_status();
}
