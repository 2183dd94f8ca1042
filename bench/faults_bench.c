#include <stdio.h>
#include <string.h>

#include "common.h"
#include "fleet/load.h"

/**
 * DOC: faults
 *
 * Sends 10,000 requests that are not idempotent through real nodes while faults
 * are injected: connections stall, nodes are killed and restarted at the same
 * address, a network partition separates a data centre, and upstreams close,
 * truncate or delay their answers. Runs twice: with the default settings, and
 * as baseline with call.ask_back = false, so that no node queries the result of
 * an attempt whose connection was lost.
 *
 * The upstreams count the requests that ran. They keep running while the nodes
 * beside them are killed.
 */

enum {
	CENTRES = 2,
	NODES = 6,
	REQUESTS = 10000,
	RATE_PER_S = 650,
	STEP_MS = 250,
	TIMEOUT_MS = 20000,
	CALLER_TIMEOUT_MS = 8000,
	SETTLE_MS = 9000,
	IN_FLIGHT_MAX = 4000,
	/* Period of each fault in steps, and the steps of a period at which
	 * the fault begins and ends. */
	CONNECTION_STALL_PERIOD = 2,
	UPSTREAM_PERIOD = 8,
	UPSTREAM_AT = 7,
	KILL_PERIOD = 16,
	KILL_AT = 5,
	RESTART_AT = 8,
	RESTARTED_AT = 11,
	PARTITION_PERIOD = 32,
	PARTITION_AT = 14,
	PARTITIONED_CENTRE = 1,
	STALL_PERIOD = 16,
	STALL_AT = 2,
	STALL_END_AT = 4,
	MIN_GAIN = 5,
};

/* Callers use only nodes that are never killed: a caller whose own node is
 * killed cannot learn the result of its request. */
static const uint32_t called_nodes[] = { 0, 1, 3, 4 };
static const uint32_t killed_nodes[] = { 2, 5 };

static const char *const upstream_faults[] = {
	"{\"close_run\":1}",
	"{\"cut\":1}",
	"{\"close_unrun\":1}",
};

/**
 * struct injected - number of faults injected in one run
 * @connection_stalls: nodes whose connections were stalled
 * @kills: killed nodes
 * @partitions: partitions
 * @stalls: periods in which an upstream delayed its answers
 * @upstream_faults: closed or truncated answers
 */
struct injected {
	uint32_t connection_stalls;
	uint32_t kills;
	uint32_t partitions;
	uint32_t stalls;
	uint32_t upstream_faults;
};

/**
 * struct figures - results of one run
 * @summary: outcomes that the callers saw
 * @audit: comparison of the outcomes with the requests that ran
 * @injected: injected faults
 * @unknown_ratio: fraction of the requests that may have run or were aborted
 */
struct figures {
	struct load_summary summary;
	struct load_audit audit;
	struct injected injected;
	double unknown_ratio;
};

static void set_upstream_fault(struct cluster *cluster, uint32_t i,
			       const char *fault)
{
	char answer[256];

	fetch_simple("POST", cluster->nodes[i].upstream_address,
		     "/standin/faults", fault, answer, sizeof(answer));
}

static void stall_connections(struct cluster *cluster,
			      struct injected *injected)
{
	uint32_t i = injected->connection_stalls % NODES;

	if (cluster->nodes[i].process.pid <= 0)
		i = (i + 1) % NODES;
	cluster_stall_connections(cluster, i);
	injected->connection_stalls++;
}

/* Kills a node and restarts it, depending on @step. Its upstream keeps
 * running. Returns false if the node does not start. */
static bool kill_and_restart(struct cluster *cluster, uint32_t step,
			     struct injected *injected)
{
	uint32_t turn = step / KILL_PERIOD;
	uint32_t i = killed_nodes[turn % (sizeof(killed_nodes) /
					  sizeof(killed_nodes[0]))];

	switch (step % KILL_PERIOD) {
	case KILL_AT:
		process_kill(&cluster->nodes[i].process);
		injected->kills++;
		return true;
	case RESTART_AT:
		return cluster_spawn_node(cluster, i);
	case RESTARTED_AT:
		return cluster_wait_node(cluster, i);
	default:
		return true;
	}
}

static void stall_upstream(struct cluster *cluster, uint32_t step,
			   struct injected *injected)
{
	uint32_t i = step / STALL_PERIOD % NODES;

	if (step % STALL_PERIOD == STALL_AT) {
		set_upstream_fault(cluster, i, "{\"stall_ms\":400}");
		injected->stalls++;
	} else if (step % STALL_PERIOD == STALL_END_AT) {
		set_upstream_fault(cluster, i, "{\"stall_ms\":0}");
	}
}

/* Makes an upstream close the connection after or before it runs a request, or
 * truncate its answer. */
static void inject_upstream_fault(struct cluster *cluster,
				  struct injected *injected)
{
	uint32_t count = sizeof(upstream_faults) / sizeof(upstream_faults[0]);
	uint32_t turn = injected->upstream_faults++;

	set_upstream_fault(cluster, turn % NODES,
			   upstream_faults[turn % count]);
}

static bool inject_faults(struct cluster *cluster, uint32_t step,
			  struct injected *injected)
{
	if (step % CONNECTION_STALL_PERIOD == 0)
		stall_connections(cluster, injected);
	if (step % UPSTREAM_PERIOD == UPSTREAM_AT)
		inject_upstream_fault(cluster, injected);
	if (step % PARTITION_PERIOD == PARTITION_AT) {
		cluster_partition(cluster, PARTITIONED_CENTRE, true);
		injected->partitions++;
	} else if (step % PARTITION_PERIOD == PARTITION_AT + 1) {
		cluster_partition(cluster, PARTITIONED_CENTRE, false);
	}
	stall_upstream(cluster, step, injected);
	return kill_and_restart(cluster, step, injected);
}

static void load_options(const struct cluster *cluster, const char *prefix,
			 struct load_options *options)
{
	const struct load_kind seal = {
		.name = "seal",
		.method = "POST",
		.path = "/seal",
		.service = "seal-desk",
		.share = 1,
		.weight = 4,
		.body_bytes = 64,
		.non_idempotent = true,
	};
	size_t i;

	memset(options, 0, sizeof(*options));
	options->kinds[options->kind_count++] = seal;
	for (i = 0; i < sizeof(called_nodes) / sizeof(called_nodes[0]); i++)
		options->targets[options->target_count++] =
			cluster->nodes[called_nodes[i]].caller;
	options->rate_per_s = RATE_PER_S;
	options->poisson = true;
	options->in_flight_max = IN_FLIGHT_MAX;
	options->timeout_ms = CALLER_TIMEOUT_MS;
	options->seed = 1;
	options->prefix = prefix;
}

static void audit(const struct cluster *cluster, const struct load *load,
		  struct figures *figures)
{
	const struct load_filter all = { -1, -1 };
	json_t *stats[NODES];
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		stats[i] = cluster_upstream_stats(cluster, i);
		bench_must(stats[i] != NULL, "statistics of an upstream");
	}
	load_check(load, stats, NODES, &figures->audit);
	for (i = 0; i < NODES; i++)
		json_decref(stats[i]);
	load_summarize(load, &all, &figures->summary);
	figures->unknown_ratio =
		(double)(figures->summary.outcomes[LOAD_MAY_HAVE_RUN] +
			 figures->summary.outcomes[LOAD_ABORTED]) /
		figures->summary.count;
}

/* Fails the bench if a node ended by itself. */
static void check_nodes_run(struct cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		struct process *process = &cluster->nodes[i].process;

		if (process->pid <= 0 || !process_wait(process, 0))
			continue;
		fprintf(stderr,
			"bench: node %u ended by itself, wait status %d\n", i,
			process->exit_status);
		bench_must(false, "nodes keep running");
	}
}

static bool send_all(struct cluster *cluster, const char *prefix,
		     struct figures *figures)
{
	struct load_options options;
	struct error err = ERROR_INIT;
	struct load load;
	uint32_t step = 0;

	load_options(cluster, prefix, &options);
	if (!bench_must(load_begin(&load, &options, &err),
			"the load generator starts"))
		return false;
	while (load.count < REQUESTS) {
		load_run(&load, STEP_MS);
		if (!bench_must(inject_faults(cluster, step,
					      &figures->injected),
				"a killed node restarts"))
			break;
		step++;
	}
	load_drain(&load, SETTLE_MS);
	check_nodes_run(cluster);
	audit(cluster, &load, figures);
	load_finish(&load);
	return true;
}

static bool run(const char *settings, const char *prefix,
		struct figures *figures)
{
	const struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "seal-desk" },
		.profile = "default",
		.settings = settings,
		.upstream_args = { "--service-us", "15000", "--spread",
				   "exponential" },
	};
	static struct cluster cluster;
	bool done;

	memset(figures, 0, sizeof(*figures));
	done = bench_must(cluster_start(&cluster, &options),
			  "the cluster starts") &&
	       bench_must(bench_begin(&cluster, NODES),
			  "first version in force on all nodes") &&
	       send_all(&cluster, prefix, figures);
	cluster_stop(&cluster);
	return done;
}

static void report(const char *name, double value, const char *unit,
		   const struct figures *figures)
{
	const struct load_summary *summary = &figures->summary;
	const struct injected *injected = &figures->injected;
	char extra[512];

	snprintf(extra, sizeof(extra),
		 "\"requests\":%u,\"answered\":%u,\"not_run\":%u,"
		 "\"may_have_run\":%u,\"ran_unanswered\":%u,\"cut\":%u,"
		 "\"not_sent\":%u,\"silences\":%u,\"kills\":%u,\"cuts\":%u,"
		 "\"stalls\":%u,\"upstream_faults\":%u",
		 summary->count, summary->outcomes[LOAD_ANSWERED],
		 summary->outcomes[LOAD_NOT_RUN],
		 summary->outcomes[LOAD_MAY_HAVE_RUN],
		 summary->outcomes[LOAD_RAN_NO_ANSWER],
		 summary->outcomes[LOAD_ABORTED],
		 summary->outcomes[LOAD_NOT_SENT], injected->connection_stalls,
		 injected->kills, injected->partitions, injected->stalls,
		 injected->upstream_faults);
	bench_report(name, value, unit, extra);
}

static void check_safety(const struct figures *figures, const char *run_name)
{
	char what[96];

	snprintf(what, sizeof(what), "%s: no request ran twice", run_name);
	bench_must(figures->audit.duplicate_runs == 0, what);
	snprintf(what, sizeof(what), "%s: every verdict \"not-run\" is true",
		 run_name);
	bench_must(figures->audit.false_not_run == 0, what);
	snprintf(what, sizeof(what), "%s: no answer belongs to another request",
		 run_name);
	bench_must(figures->summary.mismatched == 0, what);
	snprintf(what, sizeof(what), "%s: every answered request ran",
		 run_name);
	bench_must(figures->audit.answered_not_run == 0, what);
	snprintf(what, sizeof(what), "%s: all requests were sent", run_name);
	bench_must(figures->summary.count -
				   figures->summary.outcomes[LOAD_NOT_SENT] >=
			   REQUESTS,
		   what);
}

int main(int argc, char **argv)
{
	struct figures baseline;
	struct figures figures;

	bench_build(argc, argv);
	if (!run(NULL, "ask", &figures) ||
	    !run("[call]\nask_back = false\n", "base", &baseline))
		return 1;
	report("faults.doubled", figures.audit.duplicate_runs, "requests",
	       &figures);
	bench_report("faults.false_not_run", figures.audit.false_not_run,
		     "requests", NULL);
	bench_report("faults.crossed", figures.summary.mismatched, "answers",
		     NULL);
	bench_report("faults.unknown_ratio", figures.unknown_ratio, "ratio",
		     NULL);
	report("faults.unknown_ratio_baseline", baseline.unknown_ratio, "ratio",
	       &baseline);
	check_safety(&figures, "default settings");
	check_safety(&baseline, "baseline");
	bench_must(figures.unknown_ratio <= baseline.unknown_ratio / MIN_GAIN,
		   "faults.unknown_ratio");
	return bench_status();
}
