#include <stdio.h>
#include <string.h>

#include "common.h"
#include "fleet/load.h"

/**
 * DOC: faults
 *
 * Ten thousand requests that may not be repeated go through real nodes while
 * connections fall silent, nodes die and return under the same address, a
 * data centre is cut off briefly and upstreams close, cut or hold back their
 * answers. Done twice: as shipped, and without asking back about a request
 * whose connection was lost.
 *
 * What ran is counted by the upstreams, which outlive the nodes beside them.
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
	/* The periods, in steps, and the step in each at which it happens. */
	SILENCE_PERIOD = 2,
	UPSTREAM_PERIOD = 8,
	UPSTREAM_AT = 7,
	KILL_PERIOD = 16,
	KILL_AT = 5,
	RESTART_AT = 8,
	RESTARTED_AT = 11,
	CUT_PERIOD = 32,
	CUT_AT = 14,
	CUT_CENTRE = 1,
	STALL_PERIOD = 16,
	STALL_AT = 2,
	STALLED_AT = 4,
	MIN_GAIN = 5,
};

/* Callers call the nodes that stay: what a caller whose own node dies under
 * it can know is no question to the system. */
static const uint32_t callers_at[] = { 0, 1, 3, 4 };
static const uint32_t killed[] = { 2, 5 };

static const char *const upstream_faults[] = {
	"{\"close_run\":1}",
	"{\"cut\":1}",
	"{\"close_unrun\":1}",
};

/* What was brought about in one run. */
struct brought {
	uint32_t silences;
	uint32_t kills;
	uint32_t cuts;
	uint32_t stalls;
	uint32_t upstream_faults;
};

struct figures {
	struct load_summary summary;
	struct load_audit audit;
	struct brought brought;
	double unknown_ratio;
};

static void upstream_fault(struct cluster *cluster, uint32_t i,
			   const char *fault)
{
	char answer[256];

	fetch_simple("POST", cluster->nodes[i].upstream_address,
		     "/standin/faults", fault, answer, sizeof(answer));
}

static void silence(struct cluster *cluster, struct brought *brought)
{
	uint32_t i = brought->silences % NODES;

	if (cluster->nodes[i].process.pid <= 0)
		i = (i + 1) % NODES;
	cluster_stall_connections(cluster, i);
	brought->silences++;
}

/* Kill a node and start it again, while its upstream lives on. */
static bool kill_and_restart(struct cluster *cluster, uint32_t step,
			     struct brought *brought)
{
	uint32_t turn = step / KILL_PERIOD;
	uint32_t i = killed[turn % (sizeof(killed) / sizeof(killed[0]))];

	switch (step % KILL_PERIOD) {
	case KILL_AT:
		process_kill(&cluster->nodes[i].process);
		brought->kills++;
		return true;
	case RESTART_AT:
		return cluster_spawn_node(cluster, i);
	case RESTARTED_AT:
		return cluster_wait_node(cluster, i);
	default:
		return true;
	}
}

static void stall(struct cluster *cluster, uint32_t step,
		  struct brought *brought)
{
	uint32_t i = step / STALL_PERIOD % NODES;

	if (step % STALL_PERIOD == STALL_AT) {
		upstream_fault(cluster, i, "{\"stall_ms\":400}");
		brought->stalls++;
	} else if (step % STALL_PERIOD == STALLED_AT) {
		upstream_fault(cluster, i, "{\"stall_ms\":0}");
	}
}

/* An upstream closes, cuts its answer or closes before it ran anything. */
static void break_answer(struct cluster *cluster, struct brought *brought)
{
	uint32_t count = sizeof(upstream_faults) / sizeof(upstream_faults[0]);
	uint32_t turn = brought->upstream_faults++;

	upstream_fault(cluster, turn % NODES, upstream_faults[turn % count]);
}

static bool bring_about(struct cluster *cluster, uint32_t step,
			struct brought *brought)
{
	if (step % SILENCE_PERIOD == 0)
		silence(cluster, brought);
	if (step % UPSTREAM_PERIOD == UPSTREAM_AT)
		break_answer(cluster, brought);
	if (step % CUT_PERIOD == CUT_AT) {
		cluster_partition(cluster, CUT_CENTRE, true);
		brought->cuts++;
	} else if (step % CUT_PERIOD == CUT_AT + 1) {
		cluster_partition(cluster, CUT_CENTRE, false);
	}
	stall(cluster, step, brought);
	return kill_and_restart(cluster, step, brought);
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
	for (i = 0; i < sizeof(callers_at) / sizeof(callers_at[0]); i++)
		options->targets[options->target_count++] =
			cluster->nodes[callers_at[i]].caller;
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
		bench_must(stats[i] != NULL, "the count of an upstream");
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

/* A node that nobody killed must still run. */
static void must_run(struct cluster *cluster)
{
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		struct process *process = &cluster->nodes[i].process;

		if (process->pid <= 0 || !process_wait(process, 0))
			continue;
		fprintf(stderr, "bench: node %u ended, wait status %d\n", i,
			process->exit_status);
		bench_must(false, "nodes run on");
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
	if (!bench_must(load_begin(&load, &options, &err), "load"))
		return false;
	while (load.count < REQUESTS) {
		load_run(&load, STEP_MS);
		if (!bench_must(bring_about(cluster, step, &figures->brought),
				"a node restarts"))
			break;
		step++;
	}
	load_drain(&load, SETTLE_MS);
	must_run(cluster);
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
	done = bench_must(cluster_start(&cluster, &options), "start") &&
	       bench_must(bench_begin(&cluster, NODES), "all nodes in force") &&
	       send_all(&cluster, prefix, figures);
	cluster_stop(&cluster);
	return done;
}

static void report(const char *name, double value, const char *unit,
		   const struct figures *figures)
{
	const struct load_summary *summary = &figures->summary;
	const struct brought *brought = &figures->brought;
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
		 summary->outcomes[LOAD_NOT_SENT], brought->silences,
		 brought->kills, brought->cuts, brought->stalls,
		 brought->upstream_faults);
	bench_report(name, value, unit, extra);
}

static void must_be_safe(const struct figures *figures, const char *which)
{
	char what[96];

	snprintf(what, sizeof(what), "%s: nothing doubled", which);
	bench_must(figures->audit.duplicate_runs == 0, what);
	snprintf(what, sizeof(what), "%s: every \"not run\" true", which);
	bench_must(figures->audit.false_not_run == 0, what);
	snprintf(what, sizeof(what), "%s: nothing crossed", which);
	bench_must(figures->summary.mismatched == 0, what);
	snprintf(what, sizeof(what), "%s: every answer was run", which);
	bench_must(figures->audit.answered_not_run == 0, what);
	snprintf(what, sizeof(what), "%s: all requests were sent", which);
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
	must_be_safe(&figures, "asking back");
	must_be_safe(&baseline, "baseline");
	bench_must(figures.unknown_ratio <= baseline.unknown_ratio / MIN_GAIN,
		   "unknown_ratio");
	return bench_status();
}
