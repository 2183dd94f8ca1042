#include "soak/soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

/*
 * usage: soak BUILD [FIRST_SEED [SEEDS [STEPS [NODES [FILE]]]]]
 *
 * FILE has seeds that are played first: "SEED STEPS NODES" in a line, "#"
 * begins a comment. A seed draws the same faults again; whether each can be
 * brought about hangs on how far the nodes are.
 */

enum {
	NODES = 6,
	RATE_PER_S = 250,
	STEPS = 100,
	/* A new fault in one step of so many. */
	FAULT_EVERY = 3,
	CALLER_TIMEOUT_MS = 4000,
	KEPT_PER_NODE = 4,
	/* Mean pause of a caller, for each node: all callers together send 0.8
	 * requests a ms at most, whatever the number of nodes. */
	KEPT_GAP_PER_NODE_MS = 5,
	IN_FLIGHT_MAX = 4000,
	SETTINGS_SIZE = 256,
	LINE_SIZE = 256,
};

static bool begin_load(struct soak *soak, uint64_t seed)
{
	static const struct load_kind kinds[] = {
		{ .name = "kept seal",
		  .method = "POST",
		  .path = "/seal",
		  .service = "seal-desk",
		  .body_bytes = 64,
		  .non_idempotent = true,
		  .deadline_ms = SOAK_DEADLINE_MS,
		  .keepalive = true },
		{ .name = "kept read",
		  .method = "GET",
		  .path = "/read",
		  .service = "seal-desk",
		  .deadline_ms = SOAK_DEADLINE_MS,
		  .keepalive = true },
		{ .name = "brief seal",
		  .method = "POST",
		  .path = "/seal",
		  .service = "seal-desk",
		  .body_bytes = 64,
		  .non_idempotent = true,
		  .deadline_ms = SOAK_BRIEF_DEADLINE_MS,
		  .keepalive = true },
		{ .name = "seal",
		  .method = "POST",
		  .path = "/seal",
		  .service = "seal-desk",
		  .share = 3,
		  .weight = 4,
		  .body_bytes = 64,
		  .non_idempotent = true,
		  .deadline_ms = SOAK_DEADLINE_MS },
		{ .name = "read",
		  .method = "GET",
		  .path = "/read",
		  .service = "seal-desk",
		  .share = 1,
		  .weight = 1,
		  .deadline_ms = SOAK_DEADLINE_MS },
	};
	struct load_options options = {
		.rate_per_s = RATE_PER_S,
		.poisson = true,
		.in_flight_max = IN_FLIGHT_MAX,
		.timeout_ms = CALLER_TIMEOUT_MS,
		.seed = seed,
		.prefix = "soak",
		.keepalive_per_target = KEPT_PER_NODE,
		.keepalive_gap_ms = (int64_t)KEPT_GAP_PER_NODE_MS * soak->count,
		.keepalive_timeout_ms = SOAK_HANG_MS,
	};
	struct error err = ERROR_INIT;
	uint32_t i;

	memcpy(options.kinds, kinds, sizeof(kinds));
	options.kind_count = sizeof(kinds) / sizeof(kinds[0]);
	for (i = 0; i < soak->count; i++)
		options.targets[options.target_count++] =
			soak->cluster.nodes[i].caller;
	return bench_must(load_begin(&soak->load, &options, &err), "load");
}

static bool play(struct soak *soak, uint32_t steps)
{
	bool good = true;
	uint32_t i;

	for (i = 0; good && i < steps; i++, soak->step++) {
		load_run(&soak->load, SOAK_STEP_MS);
		if (!random_below(&soak->random, FAULT_EVERY))
			soak_bring_about(soak);
		soak_go_on(soak);
		good = soak_end_faults(soak);
	}
	return good && soak_end_all_faults(soak);
}

static void run(struct soak *soak, uint64_t seed, uint32_t steps)
{
	bool good = begin_load(soak, seed) && play(soak, steps);

	if (good) {
		load_run(&soak->load, SOAK_GUARD_MS);
		soak->planned = true;
		soak->planned_us = clock_monotonic_us();
		good = play(soak, steps);
	}
	if (good) {
		bench_must(load_drain(&soak->load, SOAK_HANG_MS),
			   "every request ends");
		soak_check_answers(soak);
		soak_check_nodes(soak);
	}
	load_finish(&soak->load);
}

/* Both ways of each setting come by turns of the seed. */
static void write_settings(struct soak *soak, uint64_t seed, char *settings)
{
	bool lingers = seed / 2 % 2 == 0;

	soak->patient = seed % 2 == 0;
	snprintf(
		settings, SETTINGS_SIZE,
		"[call]\ndrain_ms = %d\nlinger_ms = %d\nkeep_upstream_ms = %d\n"
		"%s",
		SOAK_DRAIN_MS, lingers ? SOAK_LINGER_MS : 0,
		lingers ? SOAK_LINGER_MS / 2 : 0,
		soak->patient ? "silence_ms = 60000\n" : "");
}

/* Of the first seed that fails the nodes' logs stay, to be traced by. */
static void stop_cluster(struct cluster *cluster, bool keep)
{
	if (!keep) {
		cluster_stop(cluster);
		return;
	}
	fprintf(stderr, "its logs are in %s\n", cluster->dir);
	setenv("GERANIUMPLANK_KEEP", "1", 1);
	cluster_stop(cluster);
	unsetenv("GERANIUMPLANK_KEEP");
}

static void run_seed(uint64_t seed, uint32_t steps, uint32_t nodes)
{
	static struct soak soak;
	char settings[SETTINGS_SIZE];
	const struct cluster_options options = {
		.centres = SOAK_CENTRES,
		.nodes = nodes,
		.services = { "seal-desk" },
		.profile = "default",
		.settings = settings,
		.upstream_args = { "--service-us", "10000", "--spread",
				   "exponential" },
	};
	bool failed_before = bench_status() != 0;

	printf("seed %llu, %u steps, %u nodes\n", (unsigned long long)seed,
	       steps, nodes);
	fflush(stdout);
	memset(&soak, 0, sizeof(soak));
	soak.count = nodes;
	random_init(&soak.random, seed);
	write_settings(&soak, seed, settings);
	if (bench_must(cluster_start(&soak.cluster, &options), "start") &&
	    bench_must(bench_begin(&soak.cluster, soak.count), "all in force"))
		run(&soak, seed, steps);
	stop_cluster(&soak.cluster, !failed_before && bench_status());
}

static uint64_t argument(int argc, char **argv, int place, uint64_t fallback)
{
	return argc > place ? strtoull(argv[place], NULL, 10) : fallback;
}

static bool fits(uint32_t nodes)
{
	return bench_must(nodes >= SOAK_NODES_LEAST && nodes <= SOAK_NODES_MOST,
			  "4 to 48 nodes");
}

static void run_line(const char *line)
{
	unsigned long long seed;
	uint32_t steps;
	uint32_t nodes;

	if (line[0] == '#')
		return;
	if (bench_must(sscanf(line, "%llu %u %u", &seed, &steps, &nodes) == 3,
		       "a line of the file has SEED STEPS NODES") &&
	    fits(nodes))
		run_seed(seed, steps, nodes);
}

static void run_file(const char *path)
{
	FILE *file = fopen(path, "re");
	char line[LINE_SIZE];

	if (!bench_must(file != NULL, "the file of seeds is there"))
		return;
	while (fgets(line, sizeof(line), file))
		run_line(line);
	fclose(file);
}

int main(int argc, char **argv)
{
	uint64_t seed = argument(argc, argv, 2, 1);
	uint64_t seeds = argument(argc, argv, 3, 2);
	uint32_t steps = (uint32_t)argument(argc, argv, 4, STEPS);
	uint32_t nodes = (uint32_t)argument(argc, argv, 5, NODES);
	uint64_t i;

	bench_build(argc, argv);
	if (argc > 6)
		run_file(argv[6]);
	for (i = 0; fits(nodes) && i < seeds; i++)
		run_seed(seed + i, steps, nodes);
	return bench_status();
}
