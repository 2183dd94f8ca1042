#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "common.h"
#include "fleet/load.h"
#include "os/clock.h"

/**
 * DOC: overload
 *
 * Twice the slots' worth of load on four nodes with an upstream each: three
 * kinds, five tenants, one of which sends ten times what each other sends.
 * Once with the gate, once with gate.fair = false (first come, first served,
 * no early refusal), the same requests at the same moments.
 *
 * Weighted goodput: weights of requests answered before their deadline, over
 * those due in the middle of a run, so that what the queues hold at its
 * begin and at its end cancels out.
 *
 * Best share: that goodput over what the slots could do at most, their time
 * given to the highest weight per slot time first, without any loss between
 * two requests.
 *
 * Tenant fairness: of each kind, what was answered on time is shared out
 * among the tenants as max-min fairness would, each by what it asked for.
 * Jain's index over what each tenant got in weights over that share.
 */

enum {
	NODES = 4,
	SLOTS = 9,
	TENANTS = 5,
	KINDS = 3,
	FLOOD = 10, /* times what another tenant sends */
	LOAD_FACTOR = 2,
	WARM_MS = 2000,
	LENGTH_MS = 10000,
	REST_MS = 500,
	SETTLE_MS = 5000,
	TIMEOUT_MS = 4000,
	IN_FLIGHT_MAX = 8000,
};

#define RATIO_LEAST 2.0
#define FAIRNESS_LEAST 0.95

/* What each kind takes of a slot. Each asks for a third of the load, in slot
 * time. */
static const struct {
	struct load_kind kind;
	int64_t service_us;
} rows[KINDS] = {
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
 * struct result - one run
 * @asked: requests due in the measured part
 * @got: those answered on time
 * @used_us: slot time of those that ran, by the mean of their kind
 */
struct result {
	double asked[KINDS][TENANTS];
	double got[KINDS][TENANTS];
	double goodput;
	double used_us;
	uint32_t outcomes[LOAD_OUTCOMES];
	struct load_audit audit;
};

static double slots_rate_per_s(uint32_t kind)
{
	return (double)NODES * SLOTS * US_PER_S / (double)rows[kind].service_us;
}

static void set_options(struct load_options *options, struct cluster *cluster)
{
	uint32_t i;

	memset(options, 0, sizeof(*options));
	for (i = 0; i < NODES; i++)
		options->targets[i] = cluster->nodes[i].caller;
	options->target_count = NODES;
	for (i = 0; i < KINDS; i++) {
		options->kinds[i] = rows[i].kind;
		options->kinds[i].service = "alpha";
		options->kinds[i].share =
			slots_rate_per_s(i) * LOAD_FACTOR / KINDS;
		options->rate_per_s += options->kinds[i].share;
	}
	options->kind_count = KINDS;
	for (i = 0; i < TENANTS; i++) {
		options->tenants[i].name = tenants[i];
		options->tenants[i].share = i == TENANTS - 1 ? FLOOD : 1;
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
		       rows[record->kind].kind.deadline_ms * US_PER_MS;
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
	int64_t from_us = load->records[0].due_us + WARM_MS * US_PER_MS;
	int64_t until_us = from_us + LENGTH_MS * US_PER_MS;
	uint32_t i;

	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];

		if (record->due_us < from_us || record->due_us >= until_us)
			continue;
		result->asked[record->kind][record->tenant]++;
		result->outcomes[record->outcome]++;
		if (has_run(stats, load_id(load, i, id)))
			result->used_us +=
				(double)rows[record->kind].service_us;
		if (!on_time(load, record))
			continue;
		result->got[record->kind][record->tenant]++;
		result->goodput += rows[record->kind].kind.weight;
	}
}

static void judge(struct cluster *cluster, const struct load *load,
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
	load_run(&load, WARM_MS + LENGTH_MS + REST_MS);
	load_drain(&load, SETTLE_MS);
	/* What a caller hung up on may be running still. */
	bench_sleep_ms(REST_MS);
	judge(cluster, &load, result);
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

	if (bench_must(cluster_start(&cluster, &options), "start") &&
	    bench_must(bench_ready(&cluster), "all nodes in force"))
		done = bench_must(run_load(&cluster, result), "load");
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

/* The kinds stand in the order of weight per slot time. */
static double best_goodput(const struct result *result)
{
	double time_us = slot_time_us();
	double goodput = 0;
	uint32_t i;

	for (i = 0; i < KINDS; i++) {
		double service_us = (double)rows[i].service_us;
		double asked_us = sum(result->asked[i]) * service_us;
		double given_us = asked_us < time_us ? asked_us : time_us;

		goodput += given_us / service_us * rows[i].kind.weight;
		time_us -= given_us;
	}
	return goodput;
}

/* Share @total out so that nobody gets more than it asked for and nobody
 * gets less than another but for having asked for less. */
static void max_min_shares(double total, const double asked[TENANTS],
			   double shares[TENANTS])
{
	bool met[TENANTS] = { false };
	uint32_t open = TENANTS;
	bool changed = true;
	uint32_t i;

	while (open && changed) {
		double level = total / open;

		changed = false;
		for (i = 0; i < TENANTS; i++) {
			if (met[i])
				continue;
			shares[i] = level;
			if (asked[i] > level)
				continue;
			shares[i] = asked[i];
			total -= asked[i];
			met[i] = true;
			open--;
			changed = true;
			break;
		}
	}
}

static double tenant_fairness(const struct result *result)
{
	double due[TENANTS] = { 0 };
	double got[TENANTS] = { 0 };
	double shares[TENANTS];
	double total = 0;
	double squares = 0;
	uint32_t i, j;

	for (i = 0; i < KINDS; i++) {
		max_min_shares(sum(result->got[i]), result->asked[i], shares);
		for (j = 0; j < TENANTS; j++) {
			due[j] += shares[j] * rows[i].kind.weight;
			got[j] += result->got[i][j] * rows[i].kind.weight;
		}
	}
	for (j = 0; j < TENANTS; j++) {
		double share = due[j] > 0 ? got[j] / due[j] : 0;

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
			 rows[i].kind.name);
		bench_report("overload.answered_on_time",
			     sum(result->got[i]) / sum(result->asked[i]),
			     "share", extra);
	}
	snprintf(extra, sizeof(extra), "\"policy\":\"%s\"", policy);
	bench_report("overload.weighted_goodput_per_s",
		     result->goodput * MS_PER_S / LENGTH_MS, "weights/s",
		     extra);
	bench_report("overload.slot_time_used",
		     result->used_us / slot_time_us(), "share", extra);
	bench_report("overload.may_have_run",
		     result->outcomes[LOAD_MAY_HAVE_RUN], "calls", extra);
	bench_report("overload.not_sent", result->outcomes[LOAD_NOT_SENT],
		     "calls", extra);
}

int main(int argc, char **argv)
{
	struct result fair = { 0 };
	struct result plain = { 0 };
	double false_not_run;
	double fairness;
	double ratio;

	bench_build(argc, argv);
	if (!run(NULL, &fair) || !run("[gate]\nfair = false\n", &plain))
		return bench_status();
	report_run("gate", &fair);
	report_run("arrival", &plain);
	ratio = plain.goodput > 0 ? fair.goodput / plain.goodput : 0;
	fairness = tenant_fairness(&fair);
	false_not_run = fair.audit.false_not_run + plain.audit.false_not_run;
	bench_report("overload.weighted_goodput_ratio", ratio, "ratio", NULL);
	bench_report("overload.best_share", fair.goodput / best_goodput(&fair),
		     "share", NULL);
	bench_report("overload.tenant_fairness", fairness, "index", NULL);
	bench_report("overload.tenant_fairness_baseline",
		     tenant_fairness(&plain), "index", NULL);
	bench_report("overload.false_not_run", false_not_run, "calls", NULL);
	bench_report("overload.doubled",
		     fair.audit.duplicate_runs + plain.audit.duplicate_runs,
		     "calls", NULL);
	bench_must(ratio >= RATIO_LEAST, "overload.weighted_goodput_ratio");
	bench_must(fairness >= FAIRNESS_LEAST, "overload.tenant_fairness");
	bench_must(false_not_run == 0, "overload.false_not_run");
	return bench_status();
}
