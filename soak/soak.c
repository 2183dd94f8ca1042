#include "soak/soak.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

/*
 * usage: soak BUILD [FIRST_SEED [SEEDS [STEPS [NODES [FILE]]]]]
 *
 * FILE holds seeds that are run first, one "SEED STEPS NODES
 * [upstreams|tenants|target|deployed]" a line; "upstreams" adds the faults of
 * upstreams that other seeds have, "tenants" these and the tenants, and
 * "target" replaces both by the interface of the target platform. "deployed"
 * adds the silence times of a deployment and nodes with a part of a core; of
 * the seeds on the command line, every third one is played so. A line that
 * begins with "#" is a comment. A seed always draws the same faults. Which of
 * these faults are injected depends on the state of the nodes at that time.
 */

enum {
	NODES = 6,
	RATE_PER_S = 250,
	STEPS = 100,
	/* On average a fault is drawn once in this number of steps. */
	FAULT_INTERVAL_STEPS = 3,
	CALLER_TIMEOUT_MS = 4000,
	KEEPALIVE_PER_NODE = 4,
	/* Mean pause between two requests on a persistent connection, for each
	 * node. The pause grows with the number of nodes, so that the total
	 * rate does not: at most 0.8 requests per ms. */
	KEEPALIVE_GAP_PER_NODE_MS = 5,
	IN_FLIGHT_MAX = 4000,
	SETTINGS_SIZE = 512,
	/* Bodies and buffers of the target platform's seeds. */
	TARGET_BODY_BYTES = 6000,
	SMALL_BUFFER_BYTES = 4096,
	/* Callers of the deployed seeds. */
	DEPLOYED_KEEPALIVE_PER_NODE = 6,
	LONG_BODY_BYTES = 24000,
	PIECE_BYTES = 4000,
	PIECE_GAP_US = 2 * US_PER_MS,
	GIVE_UP_MAX_MS = 1000,
	LINE_SIZE = 256,
	NUMBER_SIZE = 16,
};

static const double give_up_share = 0.1;

static void add_crashing_kinds(struct load_options *options)
{
	static const char *const paths[SOAK_CRASHING_KINDS] = {
		"/bad/1?crash_us=5000",
		"/bad/2?crash_us=20000",
	};
	uint32_t i;

	for (i = 0; i < SOAK_CRASHING_KINDS; i++)
		options->kinds[options->kind_count++] =
			(struct load_kind){ .name = "crashing",
					    .method = "GET",
					    .path = paths[i],
					    .service = "seal-desk",
					    .share = 0.5,
					    .deadline_ms = SOAK_DEADLINE_MS };
}

/* Routes of the target platform have prefixes that end with a slash. */
static void use_target_platform(struct load_options *options)
{
	uint32_t i;

	options->deadline_field = "X-Deadline-Ms";
	for (i = 0; i < options->kind_count; i++) {
		struct load_kind *kind = &options->kinds[i];

		kind->path = kind->non_idempotent ? "/seal/1?bytes=4000"
						  : "/read/1?bytes=12000";
		if (kind->body_bytes)
			kind->body_bytes = TARGET_BODY_BYTES;
	}
}

/* Requests that run long, with large bodies and answers. Kinds of connections
 * that are kept precede the others. */
static void use_deployed_callers(struct load_options *options)
{
	static const struct load_kind kinds[] = {
		{ .name = "long seal",
		  .method = "POST",
		  .path = "/seal/2?bytes=30000&service_us=200000",
		  .service = "seal-desk",
		  .body_bytes = LONG_BODY_BYTES,
		  .non_idempotent = true,
		  .deadline_ms = SOAK_DEADLINE_MS,
		  .keepalive = true },
		{ .name = "long read",
		  .method = "GET",
		  .path = "/read/2?bytes=30000&service_us=200000",
		  .service = "seal-desk",
		  .deadline_ms = SOAK_DEADLINE_MS,
		  .keepalive = true },
	};
	const uint32_t count = sizeof(kinds) / sizeof(kinds[0]);

	memmove(&options->kinds[count], options->kinds,
		options->kind_count * sizeof(options->kinds[0]));
	memcpy(options->kinds, kinds, sizeof(kinds));
	options->kind_count += count;
	options->keepalive_per_target = DEPLOYED_KEEPALIVE_PER_NODE;
	options->piece_bytes = PIECE_BYTES;
	options->piece_gap_us = PIECE_GAP_US;
	options->receive_bytes = SMALL_BUFFER_BYTES;
	options->give_up_share = give_up_share;
	options->give_up_max_ms = GIVE_UP_MAX_MS;
}

static bool start_load(struct soak *soak, uint64_t seed)
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
		  .deadline_ms = SOAK_SHORT_DEADLINE_MS,
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
		.keepalive_per_target = KEEPALIVE_PER_NODE,
		.keepalive_gap_ms =
			(int64_t)KEEPALIVE_GAP_PER_NODE_MS * soak->count,
		.keepalive_timeout_ms = SOAK_ANSWER_MAX_MS,
	};
	struct error err = ERROR_INIT;
	uint32_t i;

	memcpy(options.kinds, kinds, sizeof(kinds));
	options.kind_count = sizeof(kinds) / sizeof(kinds[0]);
	if (soak->target_platform)
		use_target_platform(&options);
	if (soak->deployed)
		use_deployed_callers(&options);
	if (soak->upstream_faults)
		add_crashing_kinds(&options);
	if (soak->tenants.on)
		soak_begin_tenants(soak, seed, &options);
	for (i = 0; i < soak->count; i++)
		options.targets[options.target_count++] =
			soak->cluster.nodes[i].caller;
	return bench_must(load_begin(&soak->load, &options, &err),
			  "the load generator starts");
}

static bool run_steps(struct soak *soak, uint32_t steps)
{
	bool ok = true;
	uint32_t i;

	for (i = 0; ok && i < steps; i++, soak->step++) {
		soak_run_step(soak);
		if (!random_below(&soak->random, FAULT_INTERVAL_STEPS))
			soak_inject_fault(soak);
		soak_disturb_upstreams(soak);
		soak_disturb_answers(soak);
		soak_disturb_planned(soak);
		soak_continue_series(soak);
		soak_count_forgotten(soak);
		ok = soak_end_faults(soak);
	}
	return ok && soak_end_all_faults(soak);
}

static void run_parts(struct soak *soak, uint64_t seed, uint32_t steps)
{
	bool ok = start_load(soak, seed) && run_steps(soak, steps);

	if (ok) {
		soak->tenants.faults_end_us = clock_monotonic_us();
		load_run(&soak->load, SOAK_SETTLE_MS);
		soak->planned = true;
		soak->planned_from_us = clock_monotonic_us();
		ok = run_steps(soak, steps);
	}
	if (ok) {
		bench_must(load_drain(&soak->load, SOAK_ANSWER_MAX_MS),
			   "every request completes in time");
		soak_check_answers(soak);
		soak_check_crashes(soak);
		soak_check_tenants(soak);
		soak_check_nodes(soak);
	}
	load_finish(&soak->load);
}

/* The seed determines the settings: eight consecutive seeds cover all
 * combinations of a long silence timeout, of lingering, and of budgets and
 * endpoints that are chosen for large deployments. */
static void write_settings(struct soak *soak, uint64_t seed, char *settings)
{
	bool linger = seed / 2 % 2 == 0;
	bool large = seed / 4 % 2 == 0;

	soak->tolerates_silence = seed % 2 == 0 && !soak->deployed;
	snprintf(
		settings, SETTINGS_SIZE,
		"[call]\ndrain_ms = %d\nlinger_ms = %d\nkeep_upstream_ms = %d\n"
		"%s%s%s",
		SOAK_DRAIN_MS, linger ? SOAK_LINGER_MS : 0,
		linger ? SOAK_LINGER_MS / 2 : 0,
		soak->tolerates_silence ? "silence_ms = 60000\n" : "",
		soak->deployed ? "silence_ms = 250\nconnect_timeout_ms = 500\n"
			       : "",
		large ? "shared_retries = true\n[route]\nlocal_subset = 2\n"
			"remote_subset = 2\n"
		      : "");
}

/* @keep_logs: do not delete the logs of the nodes, for the analysis of a
 * failure. */
static void stop_cluster(struct cluster *cluster, bool keep_logs)
{
	if (!keep_logs) {
		cluster_stop(cluster);
		return;
	}
	fprintf(stderr, "the logs of the failed seed are in %s\n",
		cluster->dir);
	setenv("GERANIUMPLANK_KEEP", "1", 1);
	cluster_stop(cluster);
	unsetenv("GERANIUMPLANK_KEEP");
}

static bool begin_cluster(struct soak *soak)
{
	uint64_t version;

	if (soak->target_platform) {
		version = soak_write_document(soak);
		return bench_must(
			version &&
				cluster_wait_members(&soak->cluster,
						     soak->count,
						     SOAK_CONVERGE_MS) &&
				cluster_wait_version(&soak->cluster, -1,
						     version,
						     SOAK_CONVERGE_MS) &&
				cluster_wait_routes(&soak->cluster,
						    SOAK_CONVERGE_MS),
			"the first version is in force on all nodes");
	}
	if (!bench_must(bench_begin(&soak->cluster, soak->count),
			"the first version is in force on all nodes"))
		return false;
	if (!soak->tenants.on)
		return true;
	version = soak_accept(soak, 0);
	return bench_must(version && cluster_wait_version(&soak->cluster, -1,
							  version,
							  SOAK_CONVERGE_MS),
			  "a version with tenants is in force on all nodes");
}

/** enum extras - what a seed has besides the faults of nodes. */
enum extras {
	EXTRAS_NONE,
	EXTRAS_UPSTREAMS,
	EXTRAS_TENANTS,
	EXTRAS_TARGET,	 /* the target platform and faults of answers alone */
	EXTRAS_DEPLOYED, /* these, and what DOC: soak says of deployed seeds */
};

static void run_seed(uint64_t seed, uint32_t steps, uint32_t nodes,
		     enum extras extras)
{
	static struct soak soak;
	char settings[SETTINGS_SIZE];
	char down_ms[NUMBER_SIZE];
	char buffer_bytes[NUMBER_SIZE];
	bool target = extras == EXTRAS_TARGET || extras == EXTRAS_DEPLOYED;
	bool small_buffers = target && seed / 6 % 2;
	const struct cluster_options options = {
		.centres = SOAK_CENTRES,
		.nodes = nodes,
		.services = { "seal-desk" },
		.profile = "default",
		.settings = settings,
		.target_platform = target,
		.accounts = true,
		.upstream_args = { "--service-us", "10000", "--spread",
				   "exponential", "--down-ms", down_ms,
				   "--buffer-bytes", buffer_bytes },
	};
	struct cluster_options few = options;
	bool failed_before = bench_status() != 0;

	printf("seed %llu, %u steps, %u nodes\n", (unsigned long long)seed,
	       steps, nodes);
	fflush(stdout);
	memset(&soak, 0, sizeof(soak));
	soak.count = nodes;
	soak.seed = seed;
	soak.target_platform = target;
	soak.deployed = extras == EXTRAS_DEPLOYED;
	soak.upstream_faults = extras == EXTRAS_UPSTREAMS ||
			       extras == EXTRAS_TENANTS;
	soak.tenants.on = extras == EXTRAS_TENANTS;
	random_init(&soak.random, seed);
	random_init(&soak.upstream_random, ~seed);
	random_init(&soak.pause_random, seed ^ INT32_MAX);
	snprintf(down_ms, sizeof(down_ms), "%d", SOAK_DOWN_MS);
	snprintf(buffer_bytes, sizeof(buffer_bytes), "%d",
		 small_buffers ? SMALL_BUFFER_BYTES : 0);
	write_settings(&soak, seed, settings);
	/* With few upstreams, a further attempt often meets the one that the
	 * first attempt was sent to. */
	if (soak.target_platform && seed / 3 % 2) {
		few.services[1] = "tally";
		few.services[2] = "print";
	}
	if (bench_must(cluster_start(&soak.cluster, &few),
		       "all processes start") &&
	    begin_cluster(&soak))
		run_parts(&soak, seed, steps);
	stop_cluster(&soak.cluster, !failed_before && bench_status());
}

static uint64_t argument(int argc, char **argv, int index, uint64_t fallback)
{
	return argc > index ? strtoull(argv[index], NULL, 10) : fallback;
}

static bool check_node_count(uint32_t nodes)
{
	return bench_must(nodes >= SOAK_NODES_MIN && nodes <= SOAK_NODES_MAX,
			  "the number of nodes is between 4 and 68");
}

static bool parse_extras(const char *word, enum extras *extras)
{
	*extras = EXTRAS_NONE;
	if (!strcmp(word, "upstreams"))
		*extras = EXTRAS_UPSTREAMS;
	else if (!strcmp(word, "tenants"))
		*extras = EXTRAS_TENANTS;
	else if (!strcmp(word, "target"))
		*extras = EXTRAS_TARGET;
	else if (!strcmp(word, "deployed"))
		*extras = EXTRAS_DEPLOYED;
	return !*word || *extras;
}

static void run_line(const char *line)
{
	unsigned long long seed;
	uint32_t steps;
	uint32_t nodes;
	char word[NUMBER_SIZE] = "";
	enum extras extras = EXTRAS_NONE;
	int count;

	if (line[0] == '#')
		return;
	count = sscanf(line, "%llu %u %u %15s", &seed, &steps, &nodes, word);
	if (bench_must(count >= 3 && parse_extras(word, &extras),
		       "each line of the seed file is \"SEED STEPS NODES "
		       "[upstreams|tenants|target|deployed]\"") &&
	    check_node_count(nodes))
		run_seed(seed, steps, nodes, extras);
}

static void run_file(const char *path)
{
	FILE *file = fopen(path, "re");
	char line[LINE_SIZE];

	if (!bench_must(file != NULL, "the seed file can be opened"))
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
	for (i = 0; check_node_count(nodes) && i < seeds; i++)
		run_seed(seed + i, steps, nodes,
			 (seed + i) % 3 ? EXTRAS_TENANTS : EXTRAS_DEPLOYED);
	return bench_status();
}
