#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common.h"
#include "fleet/load.h"
#include "os/clock.h"

/**
 * DOC: overload
 *
 * Sends twice the load that the slots can run to four nodes with one upstream
 * each: three kinds and five tenants, one of which sends ten times as much as
 * each other tenant. The same schedule runs once with the gate and once with
 * gate.fair = false (first come, first served, no early refusal).
 *
 * Weighted goodput: sum of the weights of the requests answered before their
 * deadline. Only requests due in the middle of a run count, so that the
 * queues at its start and at its end have no effect.
 *
 * Best share: weighted goodput divided by the highest possible value, which is
 * reached if the slots run the kinds with the highest weight per slot time
 * first and are never idle between two requests.
 *
 * Tenant fairness: the requests of each kind that were answered in time are
 * divided among the tenants by max-min fairness, according to the requests that
 * each tenant sent. The figure is Jain's index of the ratio between the weights
 * that each tenant received and its max-min share.
 */

enum {
	NODES = 4,
	SLOTS = 9,
	TENANTS = 5,
	KINDS = 3,
	FLOOD_FACTOR = 10, /* times the load of another tenant */
	LOAD_FACTOR = 2,
	WARM_UP_MS = 2000,
	LENGTH_MS = 10000,
	TAIL_MS = 500,
	SETTLE_MS = 5000,
	TIMEOUT_MS = 4000,
	IN_FLIGHT_MAX = 8000,
};

#define RATIO_MIN 2.0
#define FAIRNESS_MIN 0.95

/* Requests of each kind and their average time in a slot. Each kind has a third
 * of the load, counted in slot time. best_goodput() expects the order of weight
 * per slot time, highest first. */
static const struct {
	struct load_kind kind;
	int64_t service_us;
} kind_specs[KINDS] = {
	{ { .name = "seal",
	    .method = "POST",
	    .path = "/seal?service_us=50000",
	    .weight = 4,
	    .body_bytes = 60,
	    .non_idempotent = true,
	    .deadline_ms = 500 },
	  50000 },
	{ { .name = "read",
	    .method = "GET",
	    .path = "/today?service_us=50000",
	    .weight = 1,
	    .deadline_ms = 500 },
	  50000 },
	{ { .name = "review",
	    .method = "GET",
	    .path = "/review?service_us=100000",
	    .weight = 0.3,
	    .deadline_ms = 1000 },
	  100000 },
};

static const char *const tenants[TENANTS] = { "agency-a", "agency-b",
					      "agency-c", "agency-d",
					      "agency-e" };

/**
 * struct result - result of one run
 * @offered: number of requests due in the measured part
 * @answered: number of these requests that were answered in time
 * @goodput: sum of the weights of the requests answered in time
 * @slot_used_us: slot time of the requests that ran, computed with the average
 *	of their kind
 * @outcomes: number of requests due in the measured part with each outcome
 * @audit: comparison of all outcomes with the requests that ran
 */
struct result {
	double offered[KINDS][TENANTS];
	double answered[KINDS][TENANTS];
	double goodput;
	double slot_used_us;
	uint32_t outcomes[LOAD_OUTCOMES];
	struct load_audit audit;
};

static double capacity_per_s(uint32_t kind)
{
	return (double)NODES * SLOTS * US_PER_S /
	       (double)kind_specs[kind].service_us;
}

static void set_options(struct load_options *options, struct cluster *cluster)
{
	uint32_t i;

	memset(options, 0, sizeof(*options));
	for (i = 0; i < NODES; i++)
		options->targets[i] = cluster->nodes[i].caller;
	options->target_count = NODES;
	for (i = 0; i < KINDS; i++) {
		options->kinds[i] = kind_specs[i].kind;
		options->kinds[i].service = "alpha";
		options->kinds[i].share =
			capacity_per_s(i) * LOAD_FACTOR / KINDS;
		options->rate_per_s += options->kinds[i].share;
	}
	options->kind_count = KINDS;
	for (i = 0; i < TENANTS; i++) {
		options->tenants[i].name = tenants[i];
		options->tenants[i].share = i == TENANTS - 1 ? FLOOD_FACTOR : 1;
	}
	options->tenant_count = TENANTS;
	options->poisson = true;
	options->in_flight_max = IN_FLIGHT_MAX;
	options->timeout_ms = TIMEOUT_MS;
	options->seed = 1;
	options->prefix = "load";
}

static bool on_time(const struct load *load, const struct load_record *record)
{
	return record->outcome == LOAD_ANSWERED && record->status == 200 &&
	       !record->mismatched &&
	       record->latency_us <=
		       kind_specs[record->kind].kind.deadline_ms * US_PER_MS;
}

static bool has_run(json_t *const stats[NODES], const char *id)
{
	uint32_t i;

	for (i = 0; i < NODES; i++)
		if (json_object_get(json_object_get(stats[i], "runs"), id))
			return true;
	return false;
}

static void count(const struct load *load, json_t *const stats[NODES],
		  struct result *result)
{
	char id[LOAD_ID_SIZE];
	int64_t from_us = load->records[0].due_us + WARM_UP_MS * US_PER_MS;
	int64_t until_us = from_us + LENGTH_MS * US_PER_MS;
	uint32_t i;

	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];

		if (record->due_us < from_us || record->due_us >= until_us)
			continue;
		result->offered[record->kind][record->tenant]++;
		result->outcomes[record->outcome]++;
		if (has_run(stats, load_id(load, i, id)))
			result->slot_used_us +=
				(double)kind_specs[record->kind].service_us;
		if (!on_time(load, record))
			continue;
		result->answered[record->kind][record->tenant]++;
		result->goodput += kind_specs[record->kind].kind.weight;
	}
}

static void evaluate(struct cluster *cluster, const struct load *load,
		     struct result *result)
{
	json_t *stats[NODES];
	uint32_t i;

	for (i = 0; i < NODES; i++)
		stats[i] = bench_upstream_stats(cluster, i);
	count(load, stats, result);
	load_check(load, stats, NODES, &result->audit);
	for (i = 0; i < NODES; i++)
		json_decref(stats[i]);
}

static bool run_load(struct cluster *cluster, struct result *result)
{
	struct error err = ERROR_INIT;
	struct load_options options;
	struct load load;

	set_options(&options, cluster);
	if (!load_begin(&load, &options, &err))
		return false;
	load_run(&load, WARM_UP_MS + LENGTH_MS + TAIL_MS);
	load_drain(&load, SETTLE_MS);
	/* Requests whose caller closed the connection may still be running. */
	bench_sleep_ms(TAIL_MS);
	evaluate(cluster, &load, result);
	load_finish(&load);
	return true;
}

static bool run(const char *settings, struct result *result)
{
	struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "alpha" },
		.profile = "default",
		.settings = settings,
		.upstream_args = { "--spread", "exponential" },
	};
	static struct cluster cluster;
	bool done = false;

	if (bench_must(cluster_start(&cluster, &options),
		       "the cluster starts") &&
	    bench_must(bench_ready(&cluster),
		       "first version in force on all nodes"))
		done = bench_must(run_load(&cluster, result),
				  "the load generator starts");
	cluster_stop(&cluster);
	return done;
}

static double slot_time_us(void)
{
	return (double)NODES * SLOTS * LENGTH_MS * US_PER_MS;
}

static double sum(const double values[TENANTS])
{
	double total = 0;
	uint32_t i;

	for (i = 0; i < TENANTS; i++)
		total += values[i];
	return total;
}

/* Returns the highest possible sum of weights in the slot time of a run. */
static double best_goodput(const struct result *result)
{
	double time_us = slot_time_us();
	double goodput = 0;
	uint32_t i;

	for (i = 0; i < KINDS; i++) {
		double service_us = (double)kind_specs[i].service_us;
		double offered_us = sum(result->offered[i]) * service_us;
		double granted_us = offered_us < time_us ? offered_us : time_us;

		goodput += granted_us / service_us * kind_specs[i].kind.weight;
		time_us -= granted_us;
	}
	return goodput;
}

/* Divides @total by max-min fairness: no tenant gets more than its entry
 * in @offered, and a tenant gets less than another only if its entry is lower.
 */
static void max_min_shares(double total, const double offered[TENANTS],
			   double shares[TENANTS])
{
	bool satisfied[TENANTS] = { false };
	uint32_t unsatisfied = TENANTS;
	bool changed = true;
	uint32_t i;

	while (unsatisfied && changed) {
		double level = total / unsatisfied;

		changed = false;
		for (i = 0; i < TENANTS; i++) {
			if (satisfied[i])
				continue;
			shares[i] = level;
			if (offered[i] > level)
				continue;
			shares[i] = offered[i];
			total -= offered[i];
			satisfied[i] = true;
			unsatisfied--;
			changed = true;
			break;
		}
	}
}

static double tenant_fairness(const struct result *result)
{
	double entitled[TENANTS] = { 0 };
	double answered[TENANTS] = { 0 };
	double shares[TENANTS];
	double total = 0;
	double squares = 0;
	uint32_t i, j;

	for (i = 0; i < KINDS; i++) {
		max_min_shares(sum(result->answered[i]), result->offered[i],
			       shares);
		for (j = 0; j < TENANTS; j++) {
			entitled[j] += shares[j] * kind_specs[i].kind.weight;
			answered[j] += result->answered[i][j] *
				       kind_specs[i].kind.weight;
		}
	}
	for (j = 0; j < TENANTS; j++) {
		double share = entitled[j] > 0 ? answered[j] / entitled[j] : 0;

		total += share;
		squares += share * share;
	}
	return squares > 0 ? total * total / (TENANTS * squares) : 0;
}

static void report_run(const char *policy, const struct result *result)
{
	char extra[64];
	uint32_t i;

	for (i = 0; i < KINDS; i++) {
		snprintf(extra, sizeof(extra),
			 "\"policy\":\"%s\",\"kind\":\"%s\"", policy,
			 kind_specs[i].kind.name);
		bench_report("overload.answered_on_time",
			     sum(result->answered[i]) / sum(result->offered[i]),
			     "share", extra);
	}
	snprintf(extra, sizeof(extra), "\"policy\":\"%s\"", policy);
	bench_report("overload.weighted_goodput_per_s",
		     result->goodput * MS_PER_S / LENGTH_MS, "weights/s",
		     extra);
	bench_report("overload.slot_time_used",
		     result->slot_used_us / slot_time_us(), "share", extra);
	bench_report("overload.may_have_run",
		     result->outcomes[LOAD_MAY_HAVE_RUN], "calls", extra);
	bench_report("overload.not_sent", result->outcomes[LOAD_NOT_SENT],
		     "calls", extra);
}

int main(int argc, char **argv)
{
	struct result with_gate = { 0 };
	struct result baseline = { 0 };
	double false_not_run;
	double fairness;
	double ratio;

	bench_build(argc, argv);
	if (!run(NULL, &with_gate) || !run("[gate]\nfair = false\n", &baseline))
		return bench_status();
	report_run("gate", &with_gate);
	report_run("arrival", &baseline);
	ratio = baseline.goodput > 0 ? with_gate.goodput / baseline.goodput : 0;
	fairness = tenant_fairness(&with_gate);
	false_not_run =
		with_gate.audit.false_not_run + baseline.audit.false_not_run;
	bench_report("overload.weighted_goodput_ratio", ratio, "ratio", NULL);
	bench_report("overload.best_share",
		     with_gate.goodput / best_goodput(&with_gate), "share",
		     NULL);
	bench_report("overload.tenant_fairness", fairness, "index", NULL);
	bench_report("overload.tenant_fairness_baseline",
		     tenant_fairness(&baseline), "index", NULL);
	bench_report("overload.false_not_run", false_not_run, "calls", NULL);
	bench_report("overload.doubled",
		     with_gate.audit.duplicate_runs +
			     baseline.audit.duplicate_runs,
		     "calls", NULL);
	bench_must(ratio >= RATIO_MIN, "overload.weighted_goodput_ratio");
	bench_must(fairness >= FAIRNESS_MIN, "overload.tenant_fairness");
	bench_must(false_not_run == 0, "overload.false_not_run");
	return bench_status();
}
