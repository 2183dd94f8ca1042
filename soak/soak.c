#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/random.h"
#include "common.h"
#include "fleet/load.h"
#include "os/clock.h"

/**
 * DOC: soak
 *
 * Real nodes, upstreams and a platform as processes, with faults drawn from a
 * seed: nodes are paused, killed, told to stop and started again, connections
 * fall silent, data centres and the platform are cut off, upstreams break
 * answers off, versions are accepted; in series and over each other. Callers
 * send requests that may not be repeated all the while. What they were told is
 * compared with what the upstreams ran, and at the end all nodes must agree
 * and serve.
 *
 * usage: soak BUILD [FIRST_SEED [SEEDS [STEPS]]]
 */

enum {
	CENTRES = 2,
	NODES = 6,
	RATE_PER_S = 250,
	STEP_MS = 50,
	STEPS = 100,
	/* A new fault in one step of so many. */
	FAULT_EVERY = 3,
	FAULT_LEAST_STEPS = 2,
	FAULT_MORE_STEPS = 25,
	DRAIN_STEPS = 120,
	TIMEOUT_MS = 20000,
	CALLER_TIMEOUT_MS = 4000,
	SETTLE_MS = 9000,
	IN_FLIGHT_MAX = 4000,
	LINE_SIZE = 4096,
};

static const char settings[] = "[call]\ndrain_ms = 3000\n";

enum fault {
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_STOP, /* told to, by a signal */
	FAULT_SILENCE,
	FAULT_CUT,
	FAULT_PLATFORM,
	FAULT_UPSTREAM,
	FAULT_ACCEPT,
	FAULTS,
};

/** enum node_state - how a node is; all but running ends after a while. */
enum node_state { NODE_RUNNING, NODE_PAUSED, NODE_GONE, NODE_STOPPING };

/**
 * struct soak - one seed
 * @until: step at which a node's or a data centre's fault ends
 * @version: the last that is known to be accepted
 */
struct soak {
	struct cluster cluster;
	struct load load;
	struct random random;
	uint32_t step;
	enum node_state nodes[NODES];
	uint32_t until[NODES];
	bool cut[CENTRES];
	uint32_t cut_until[CENTRES];
	bool alone[CENTRES]; /* without the platform */
	uint32_t alone_until[CENTRES];
	uint64_t version;
	uint32_t brought[FAULTS];
};

static uint32_t draw_end(struct soak *soak)
{
	return soak->step + FAULT_LEAST_STEPS +
	       random_below(&soak->random, FAULT_MORE_STEPS);
}

/* A paused node answers no operator, and the callers would stand still. */
static bool answers_operators(const struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < NODES; i++)
		if (soak->nodes[i] == NODE_PAUSED)
			return false;
	return true;
}

static void pause_node(struct soak *soak, uint32_t i)
{
	process_signal(&soak->cluster.nodes[i].process, SIGSTOP);
	soak->nodes[i] = NODE_PAUSED;
}

static void break_upstream(struct soak *soak, uint32_t i)
{
	static const char *const faults[] = {
		"{\"close_run\":2}", "{\"cut\":2}",	"{\"close_unrun\":2}",
		"{\"slow\":4}",	     "{\"slow\":1}",	"{\"stall_ms\":300}",
		"{\"stall_ms\":0}",  "{\"shed\":true}", "{\"shed\":false}",
	};
	uint32_t turn =
		random_below(&soak->random, sizeof(faults) / sizeof(faults[0]));
	char answer[256];

	fetch_simple("POST", soak->cluster.nodes[i].upstream_address,
		     "/standin/faults", faults[turn], answer, sizeof(answer));
}

/* Only where it can be done at once: the callers would stand still. */
static void accept_version(struct soak *soak, uint32_t i)
{
	uint32_t centre = soak->cluster.nodes[i].centre;
	uint64_t version;

	if (soak->alone[centre])
		return;
	version = cluster_accept(&soak->cluster, i, "default",
				 bench_profile(soak->step));
	if (version > soak->version)
		soak->version = version;
}

static void cut(struct soak *soak, uint32_t centre)
{
	if (soak->cut[centre])
		return;
	cluster_cut(&soak->cluster, centre, true);
	soak->cut[centre] = true;
	soak->cut_until[centre] = draw_end(soak);
}

static void cut_platform(struct soak *soak, uint32_t centre)
{
	if (soak->alone[centre])
		return;
	cluster_cut_platform(&soak->cluster, centre, true);
	soak->alone[centre] = true;
	soak->alone_until[centre] = draw_end(soak);
}

static bool asks_operators(enum fault fault)
{
	return fault == FAULT_SILENCE || fault == FAULT_CUT ||
	       fault == FAULT_ACCEPT;
}

static void bring_about(struct soak *soak)
{
	enum fault fault = (enum fault)random_below(&soak->random, FAULTS);
	uint32_t i = random_below(&soak->random, NODES);
	uint32_t centre = random_below(&soak->random, CENTRES);
	struct process *process = &soak->cluster.nodes[i].process;

	if (soak->nodes[i] != NODE_RUNNING ||
	    (asks_operators(fault) && !answers_operators(soak)))
		return;
	soak->brought[fault]++;
	soak->until[i] = draw_end(soak);
	switch (fault) {
	case FAULT_PAUSE:
		pause_node(soak, i);
		return;
	case FAULT_KILL:
		process_kill(process);
		soak->nodes[i] = NODE_GONE;
		return;
	case FAULT_STOP:
		process_signal(process, SIGTERM);
		soak->nodes[i] = NODE_STOPPING;
		soak->until[i] = soak->step + DRAIN_STEPS;
		return;
	case FAULT_SILENCE:
		cluster_silence(&soak->cluster, i);
		return;
	case FAULT_CUT:
		cut(soak, centre);
		return;
	case FAULT_PLATFORM:
		cut_platform(soak, centre);
		return;
	case FAULT_UPSTREAM:
		break_upstream(soak, i);
		return;
	case FAULT_ACCEPT:
		accept_version(soak, i);
		return;
	case FAULTS:
		return;
	}
}

/* The files go with the cluster. */
static void print_last_line(const struct process *process)
{
	FILE *file = fopen(process->log_path, "re");
	char line[LINE_SIZE];
	char last[LINE_SIZE] = "";

	while (file && fgets(line, sizeof(line), file))
		memcpy(last, line, sizeof(last));
	if (file)
		fclose(file);
	fprintf(stderr, "its last line: %s\n", last);
}

static bool start_again(struct soak *soak, uint32_t i)
{
	soak->nodes[i] = NODE_RUNNING;
	if (cluster_start_node(&soak->cluster, i))
		return true;
	print_last_line(&soak->cluster.nodes[i].process);
	return bench_must(false, "a node starts again");
}

static bool stopped(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;

	if (!process_wait(process, 0))
		return bench_must(soak->step < soak->until[i],
				  "a node that is told to stop ends in time");
	return bench_must(process->exit_status == 0,
			  "a node that is told to stop ends well") &&
	       start_again(soak, i);
}

/* A node that nobody has killed or stopped must still run. */
static bool end_node_fault(struct soak *soak, uint32_t i)
{
	struct process *process = &soak->cluster.nodes[i].process;
	bool over = soak->step >= soak->until[i];

	switch (soak->nodes[i]) {
	case NODE_RUNNING:
		return bench_must(!process_wait(process, 0), "nodes run on");
	case NODE_PAUSED:
		if (over) {
			process_signal(process, SIGCONT);
			soak->nodes[i] = NODE_RUNNING;
		}
		return true;
	case NODE_GONE:
		return !over || start_again(soak, i);
	case NODE_STOPPING:
		return stopped(soak, i);
	}
	return true;
}

static void end_centre_faults(struct soak *soak, uint32_t centre, bool all)
{
	if (soak->cut[centre] && answers_operators(soak) &&
	    (all || soak->step >= soak->cut_until[centre])) {
		cluster_cut(&soak->cluster, centre, false);
		soak->cut[centre] = false;
	}
	if (soak->alone[centre] &&
	    (all || soak->step >= soak->alone_until[centre])) {
		cluster_cut_platform(&soak->cluster, centre, false);
		soak->alone[centre] = false;
	}
}

static bool end_faults(struct soak *soak)
{
	bool good = true;
	uint32_t i;

	for (i = 0; i < NODES; i++)
		good &= end_node_fault(soak, i);
	for (i = 0; i < CENTRES; i++)
		end_centre_faults(soak, i, false);
	return good;
}

static bool all_running(const struct soak *soak)
{
	uint32_t i;

	for (i = 0; i < NODES; i++)
		if (soak->nodes[i] != NODE_RUNNING)
			return false;
	return true;
}

/* No new faults, and an end to all that there are. */
static bool end_all_faults(struct soak *soak)
{
	bool good = true;
	uint32_t i;

	while (good && !all_running(soak)) {
		soak->step++;
		load_run(&soak->load, STEP_MS);
		good = end_faults(soak);
	}
	for (i = 0; i < CENTRES; i++)
		end_centre_faults(soak, i, true);
	for (i = 0; i < NODES; i++) {
		char answer[256];

		fetch_simple("POST", soak->cluster.nodes[i].upstream_address,
			     "/standin/faults",
			     "{\"slow\":1,\"stall_ms\":0,\"shed\":false,"
			     "\"cut\":0,\"close_run\":0,"
			     "\"close_unrun\":0}",
			     answer, sizeof(answer));
	}
	return good;
}

static bool begin_load(struct soak *soak, uint64_t seed)
{
	static const struct load_kind kinds[] = {
		{ .name = "seal",
		  .method = "POST",
		  .path = "/seal",
		  .service = "seal-desk",
		  .share = 3,
		  .weight = 4,
		  .body_bytes = 64,
		  .once = true },
		{ .name = "read",
		  .method = "GET",
		  .path = "/read",
		  .service = "seal-desk",
		  .share = 1,
		  .weight = 1 },
	};
	struct load_options options = { .rate_per_s = RATE_PER_S,
					.poisson = true,
					.in_flight_max = IN_FLIGHT_MAX,
					.timeout_ms = CALLER_TIMEOUT_MS,
					.seed = seed,
					.prefix = "soak" };
	struct error err = ERROR_INIT;
	uint32_t i;

	memcpy(options.kinds, kinds, sizeof(kinds));
	options.kind_count = sizeof(kinds) / sizeof(kinds[0]);
	for (i = 0; i < NODES; i++)
		options.targets[options.target_count++] =
			soak->cluster.nodes[i].caller;
	return bench_must(load_begin(&soak->load, &options, &err), "load");
}

static void check_answers(struct soak *soak)
{
	const struct load_filter all = { -1, -1 };
	struct load_summary summary;
	struct load_audit audit;
	json_t *stats[NODES];
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		stats[i] = cluster_upstream_stats(&soak->cluster, i);
		bench_must(stats[i] != NULL, "the count of an upstream");
	}
	load_check(&soak->load, stats, NODES, &audit);
	for (i = 0; i < NODES; i++)
		json_decref(stats[i]);
	load_summarize(&soak->load, &all, &summary);
	bench_must(!audit.doubled, "nothing that may not be repeated is");
	bench_must(!audit.false_not_run, "every \"not run\" is true");
	bench_must(!audit.lost, "every answer was run");
	bench_must(!summary.crossed, "no answer is another request's");
	printf("  %u requests, %u answered, %u not run, %u may have run, %u "
	       "cut, %u not sent; pauses %u, kills %u, stops %u, silences %u, "
	       "cuts %u, platform %u, upstreams %u, versions %u\n",
	       summary.count, summary.ends[LOAD_ANSWERED],
	       summary.ends[LOAD_NOT_RUN], summary.ends[LOAD_MAY_HAVE_RUN],
	       summary.ends[LOAD_CUT], summary.ends[LOAD_NOT_SENT],
	       soak->brought[FAULT_PAUSE], soak->brought[FAULT_KILL],
	       soak->brought[FAULT_STOP], soak->brought[FAULT_SILENCE],
	       soak->brought[FAULT_CUT], soak->brought[FAULT_PLATFORM],
	       soak->brought[FAULT_UPSTREAM], soak->brought[FAULT_ACCEPT]);
}

/* Whether all have the same version, none older than what was accepted. */
static bool agree(struct soak *soak)
{
	uint64_t version = cluster_version(&soak->cluster, 0);
	uint32_t i;

	for (i = 1; i < NODES; i++)
		if (cluster_version(&soak->cluster, i) != version)
			return false;
	return version >= soak->version;
}

static bool agree_in_time(struct soak *soak)
{
	int64_t until_us = clock_monotonic_us() + TIMEOUT_MS * US_PER_MS;

	while (!agree(soak)) {
		if (clock_monotonic_us() > until_us)
			return false;
		bench_sleep_ms(STEP_MS);
	}
	return true;
}

static void check_nodes(struct soak *soak)
{
	uint32_t i;

	bench_must(cluster_wait_members(&soak->cluster, NODES, TIMEOUT_MS),
		   "all know each other again");
	bench_must(agree_in_time(soak),
		   "all have the same version, the last that was accepted");
	bench_must(cluster_wait_routes(&soak->cluster, TIMEOUT_MS),
		   "all route again");
	for (i = 0; i < NODES; i++) {
		struct fetch fetch = { .method = "GET",
				       .timeout_ms = TIMEOUT_MS };

		cluster_call(&soak->cluster, i, "seal-desk", &fetch, "/read");
		bench_must(fetch.status == 200, "a node serves again");
		fetch_finish(&fetch);
	}
}

static void run(struct soak *soak, uint64_t seed, uint32_t steps)
{
	bool good = begin_load(soak, seed);

	if (!good)
		return;
	for (soak->step = 0; good && soak->step < steps; soak->step++) {
		load_run(&soak->load, STEP_MS);
		if (!random_below(&soak->random, FAULT_EVERY))
			bring_about(soak);
		good = end_faults(soak);
	}
	if (good && end_all_faults(soak)) {
		load_settle(&soak->load, SETTLE_MS);
		check_answers(soak);
		check_nodes(soak);
	}
	load_finish(&soak->load);
}

static void run_seed(uint64_t seed, uint32_t steps)
{
	static struct soak soak;
	const struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "seal-desk" },
		.profile = "default",
		.settings = settings,
		.upstream_args = { "--service-us", "10000", "--spread",
				   "exponential" },
	};

	printf("seed %llu\n", (unsigned long long)seed);
	fflush(stdout);
	memset(&soak, 0, sizeof(soak));
	random_init(&soak.random, seed);
	if (bench_must(cluster_start(&soak.cluster, &options), "start") &&
	    bench_must(bench_begin(&soak.cluster, NODES), "all in force"))
		run(&soak, seed, steps);
	cluster_stop(&soak.cluster);
}

static uint64_t argument(int argc, char **argv, int place, uint64_t fallback)
{
	return argc > place ? strtoull(argv[place], NULL, 10) : fallback;
}

int main(int argc, char **argv)
{
	uint64_t seed = argument(argc, argv, 2, 1);
	uint64_t seeds = argument(argc, argv, 3, 2);
	uint32_t steps = (uint32_t)argument(argc, argv, 4, STEPS);
	uint64_t i;

	bench_build(argc, argv);
	for (i = 0; i < seeds && !bench_status(); i++)
		run_seed(seed + i, steps);
	return bench_status();
}
