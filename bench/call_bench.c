#include <stdio.h>
#include <string.h>

#include "common.h"
#include "fleet/load.h"
#include "os/clock.h"

/**
 * DOC: call
 *
 * Measures the latency that two nodes add to a call. An open-loop generator
 * alternates between direct requests to the upstream and requests through the
 * mesh (the caller's node, TCP, the node beside the upstream), so that other
 * load on the machine affects both alike. The figure is the difference of
 * their quantiles. Latency is counted from the moment when a request is sent,
 * because the loop's timers have a resolution of 1 ms: a late start would hide
 * the difference.
 *
 * Then measures the highest rate that one pair of nodes answers in time. Here
 * latency is counted from the scheduled time and includes the time that a
 * request waits in the generator.
 */

enum {
	RATE_PER_S = 800, /* half of the requests are direct */
	WARM_UP_MS = 1500,
	READ_LENGTH_MS = 20000,
	SEAL_LENGTH_MS = 5000,
	STEP_MS = 2000,
	FIRST_STEP_PER_S = 2000,
	TIMEOUT_MS = 2000,
	IN_FLIGHT_MAX = 1000,
	ADDED_P99_MAX_US = 620,
	STEP_P99_MAX_US = 20000,
};

#define STEP_FACTOR 1.25
#define STEP_ANSWERED_MIN 0.999

enum target { TARGET_DIRECT, TARGET_MESH, TARGETS };

static const struct load_kind read_kind = {
	.name = "read",
	.method = "GET",
	.path = "/today",
	.service = "beta",
	.share = 1,
};

/* Not idempotent: each request uses its own connection to the upstream. */
static const struct load_kind seal_kind = {
	.name = "seal",
	.method = "POST",
	.path = "/seal",
	.service = "beta",
	.share = 1,
	.body_bytes = 60,
	.non_idempotent = true,
};

static bool is_good(const struct load_record *record)
{
	return record->outcome == LOAD_ANSWERED && record->status == 200 &&
	       !record->mismatched;
}

static void set_options(struct load_options *options, struct cluster *cluster,
			const struct load_kind *kind)
{
	memset(options, 0, sizeof(*options));
	options->targets[TARGET_DIRECT] = cluster->nodes[1].upstream_address;
	options->targets[TARGET_MESH] = cluster->nodes[0].caller;
	options->target_count = TARGETS;
	options->kinds[0] = *kind;
	options->kind_count = 1;
	options->rate_per_s = RATE_PER_S;
	options->poisson = true;
	options->in_flight_max = IN_FLIGHT_MAX;
	options->timeout_ms = TIMEOUT_MS;
	options->seed = 1;
	options->prefix = kind->name;
}

/* Collects latencies by target, of the requests due after the warm-up.
 * Returns false if any of these requests failed. */
static bool collect(const struct load *load, struct samples samples[TARGETS])
{
	int64_t from_us = load->records[0].due_us + WARM_UP_MS * US_PER_MS;
	uint32_t failed = 0;
	uint32_t i;

	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];

		if (record->due_us < from_us)
			continue;
		if (is_good(record))
			samples_add(&samples[record->target],
				    (double)record->latency_us);
		else
			failed++;
	}
	if (failed)
		fprintf(stderr,
			"bench: %u requests failed or got a wrong answer\n",
			failed);
	return failed == 0;
}

static double report(const char *prefix, const char *name, double value,
		     uint32_t count)
{
	char full_name[64];
	char extra[64];

	snprintf(full_name, sizeof(full_name), "%s%s", prefix, name);
	snprintf(extra, sizeof(extra), "\"calls\":%u", count);
	bench_report(full_name, value, "us", extra);
	return value;
}

/* Returns the latency that the mesh adds to the 99th percentile, in us. */
static double report_quantiles(struct samples samples[TARGETS],
			       const char *prefix)
{
	uint32_t count = samples[TARGET_MESH].count;
	double direct_p50 = samples_quantile(&samples[TARGET_DIRECT], 0.5);
	double direct_p99 = samples_quantile(&samples[TARGET_DIRECT], 0.99);
	double mesh_p50 = samples_quantile(&samples[TARGET_MESH], 0.5);
	double mesh_p99 = samples_quantile(&samples[TARGET_MESH], 0.99);

	report(prefix, "direct_p50_us", direct_p50, count);
	report(prefix, "direct_p99_us", direct_p99, count);
	report(prefix, "mesh_p50_us", mesh_p50, count);
	report(prefix, "mesh_p99_us", mesh_p99, count);
	report(prefix, "added_p50_us", mesh_p50 - direct_p50, count);
	return report(prefix, "added_p99_us", mesh_p99 - direct_p99, count);
}

static double measure_added(struct cluster *cluster,
			    const struct load_kind *kind, int64_t length_ms,
			    const char *prefix)
{
	struct samples samples[TARGETS] = { 0 };
	struct error err = ERROR_INIT;
	struct load_options options;
	double added_p99_us = 0;
	struct load load;

	set_options(&options, cluster, kind);
	if (!bench_must(load_begin(&load, &options, &err),
			"the load generator starts"))
		return 0;
	load_run(&load, WARM_UP_MS + length_ms);
	load_drain(&load, TIMEOUT_MS);
	if (bench_must(collect(&load, samples), "every call answered"))
		added_p99_us = report_quantiles(samples, prefix);
	load_finish(&load);
	samples_finish(&samples[TARGET_DIRECT]);
	samples_finish(&samples[TARGET_MESH]);
	return added_p99_us;
}

/**
 * struct step - result of one request rate
 * @answered: fraction of the requests that got the right answer
 * @p99_us: 99th percentile of the latency since the scheduled time, in us
 * @lateness_p99_us: 99th percentile of the delay between the scheduled time
 *	and the sending, in us; a high value means that the generator is the
 *	limit, not the nodes
 */
struct step {
	double answered;
	double p99_us;
	double lateness_p99_us;
};

static void summarize(const struct load *load, struct step *step)
{
	struct samples lateness = { 0 };
	struct samples latencies = { 0 };
	uint32_t i;

	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];
		int64_t late_us = record->sent_us - record->due_us;

		if (!is_good(record))
			continue;
		samples_add(&lateness, (double)late_us);
		samples_add(&latencies, (double)(late_us + record->latency_us));
	}
	step->answered = (double)latencies.count / load->count;
	step->p99_us = samples_quantile(&latencies, 0.99);
	step->lateness_p99_us = samples_quantile(&lateness, 0.99);
	samples_finish(&lateness);
	samples_finish(&latencies);
}

static bool run_step(struct cluster *cluster, double rate_per_s,
		     struct step *step)
{
	struct error err = ERROR_INIT;
	struct load_options options;
	struct load load;

	set_options(&options, cluster, &read_kind);
	options.targets[0] = cluster->nodes[0].caller;
	options.target_count = 1;
	options.rate_per_s = rate_per_s;
	if (!load_begin(&load, &options, &err))
		return false;
	load_run(&load, STEP_MS);
	load_drain(&load, TIMEOUT_MS);
	summarize(&load, step);
	load_finish(&load);
	return step->answered >= STEP_ANSWERED_MIN &&
	       step->p99_us <= STEP_P99_MAX_US;
}

/* Runs a failed rate a second time, because other load on the machine may have
 * caused the first failure. */
static bool rate_is_sustained(struct cluster *cluster, double rate_per_s,
			      struct step *step)
{
	if (run_step(cluster, rate_per_s, step))
		return true;
	return run_step(cluster, rate_per_s, step);
}

static void measure_max_rate(struct cluster *cluster)
{
	double rate_per_s = FIRST_STEP_PER_S;
	double max_rate_per_s = 0;
	struct step step = { 0 };
	char extra[128];

	while (rate_is_sustained(cluster, rate_per_s, &step)) {
		max_rate_per_s = rate_per_s;
		rate_per_s *= STEP_FACTOR;
	}
	snprintf(extra, sizeof(extra),
		 "\"next_answered\":%.4f,\"next_p99_us\":%.0f,"
		 "\"next_generator_behind_p99_us\":%.0f",
		 step.answered, step.p99_us, step.lateness_p99_us);
	bench_report("call.max_per_s", max_rate_per_s, "calls/s", extra);
	bench_must(max_rate_per_s > 0, "call.max_per_s");
}

int main(int argc, char **argv)
{
	struct cluster_options options = {
		.centres = 1,
		.nodes = 2,
		.services = { "alpha", "beta" },
		.profile = "default",
	};
	static struct cluster cluster;
	double added_p99_us;

	bench_build(argc, argv);
	if (bench_must(cluster_start(&cluster, &options),
		       "the cluster starts") &&
	    bench_must(bench_ready(&cluster),
		       "first version in force on all nodes")) {
		added_p99_us = measure_added(&cluster, &read_kind,
					     READ_LENGTH_MS, "call.");
		bench_must(added_p99_us <= ADDED_P99_MAX_US,
			   "call.added_p99_us");
		measure_added(&cluster, &seal_kind, SEAL_LENGTH_MS,
			      "call.seal_");
		measure_max_rate(&cluster);
	}
	cluster_stop(&cluster);
	return bench_status();
}
