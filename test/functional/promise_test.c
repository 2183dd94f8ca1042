#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleet/cluster.h"
#include "fleet/load.h"
#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: promise
 *
 * Requests that may run at most once, through real nodes with the interface of
 * the target platform, while their upstream rejects, repeats and loses answers
 * and processes are disturbed. A caller that gets 408, 421, 429 or 503 takes it
 * for a promise that its request has not run and never will. What ran is
 * counted by the stand-in of the upstream.
 */

enum {
	NODES = 2,
	BESIDE = 0, /* the node beside the upstream */
	CALLER = 1,
	WAIT_MS = BACKGROUND_WAIT_MS,
	POLL_MS = 20,
	ROUNDS = 5,
	DISTURBED_MS = 400,
	CALM_MS = 300,
	DEADLINE_MS = 1200,
	BODY_BYTES = 1200,
	RATE_PER_S = 150,
	IN_FLIGHT_MAX = 500,
	ANSWERED_MIN = 40,
};

/** enum disturbed - what happens again and again while requests are sent. */
enum disturbed {
	NOTHING,
	BESIDE_PAUSED,
	CALLER_PAUSED,
	BOTH_PAUSED,
	UPSTREAM_PAUSED,
	UPSTREAM_REPLACED, /* by another incarnation at its address */
	BESIDE_KILLED,
	BESIDE_STOPPED, /* by SIGTERM */
	CALLER_STOPPED,
	BOTH_RELOADED,
	CONNECTIONS_STALLED,
};

/**
 * struct promise_case - one way to an answer that may be taken for a promise
 * @faults: faults of the upstream
 * @rejected_min: least number of rejections that the upstream has to send
 */
struct promise_case {
	const char *name;
	const char *faults;
	enum disturbed disturbed;
	int64_t rejected_min;
};

#define REJECTS "\"reject\":0.2"
#define REJECTS_AND_REPEATS REJECTS ",\"again\":0.3"

static const struct promise_case cases[] = {
	{ "rejections", "{" REJECTS "}", NOTHING, 20 },
	{ "rejections with 503", "{" REJECTS ",\"reject_status\":503}", NOTHING,
	  20 },
	{ "answers sent again", "{" REJECTS_AND_REPEATS "}", NOTHING, 20 },
	{ "answers without the ID of their request",
	  "{" REJECTS_AND_REPEATS ",\"unnamed\":0.3}", NOTHING, 20 },
	{ "answers lost after the run", "{" REJECTS ",\"lose\":0.2}", NOTHING,
	  20 },
	{ "run and answered 503 without proof",
	  "{" REJECTS ",\"unavailable\":0.2}", NOTHING, 20 },
	{ "another incarnation at the address", "{" REJECTS_AND_REPEATS "}",
	  UPSTREAM_REPLACED, 20 },
	{ "the node beside the upstream paused", "{" REJECTS_AND_REPEATS "}",
	  BESIDE_PAUSED, 5 },
	{ "the caller's node paused", "{" REJECTS_AND_REPEATS "}",
	  CALLER_PAUSED, 5 },
	{ "both nodes paused", "{" REJECTS_AND_REPEATS "}", BOTH_PAUSED, 5 },
	{ "the upstream paused", "{" REJECTS_AND_REPEATS "}", UPSTREAM_PAUSED,
	  5 },
	{ "the node beside the upstream killed",
	  "{" REJECTS_AND_REPEATS ",\"lose\":0.1}", BESIDE_KILLED, 5 },
	{ "the node beside the upstream stopped", "{" REJECTS_AND_REPEATS "}",
	  BESIDE_STOPPED, 5 },
	{ "the caller's node stopped", "{" REJECTS_AND_REPEATS "}",
	  CALLER_STOPPED, 5 },
	{ "both nodes reloaded", "{" REJECTS_AND_REPEATS "}", BOTH_RELOADED,
	  20 },
	{ "connections between the nodes stalled",
	  "{" REJECTS_AND_REPEATS ",\"lose\":0.1}", CONNECTIONS_STALLED, 5 },
	{ "the node beside the upstream paused, nothing sent again",
	  "{" REJECTS ",\"lose\":0.1}", BESIDE_PAUSED, 5 },
	{ "the caller's node paused, nothing sent again",
	  "{" REJECTS ",\"lose\":0.1}", CALLER_PAUSED, 5 },
	{ "the node beside the upstream killed, nothing sent again",
	  "{" REJECTS ",\"lose\":0.1}", BESIDE_KILLED, 5 },
	{ "another incarnation at the address, nothing sent again",
	  "{" REJECTS ",\"lose\":0.1}", UPSTREAM_REPLACED, 20 },
	{ "connections between the nodes stalled, nothing sent again",
	  "{" REJECTS ",\"lose\":0.1}", CONNECTIONS_STALLED, 5 },
};

static const char no_faults[] =
	"{\"reject\":0,\"reject_status\":429,\"again\":0,\"unnamed\":0,"
	"\"lose\":0,\"unavailable\":0}";

static const char document[] =
	"{\"version\":\"r1\",\"routes\":{\"r-1\":{\"host\":\"h.example\","
	"\"prefix\":\"/seal/\",\"kind\":\"unsafe\",\"timeout_s\":1.2,"
	"\"target_latency_s\":0.3,\"priority\":0,\"service\":\"huvo\","
	"\"max_attempts\":3}},\"services\":{\"huvo\":{\"health_path\":"
	"\"/healthz\",\"max_connections\":100},\"kafi\":{\"health_path\":"
	"\"/healthz\",\"max_connections\":100}}}";

/* The first line belongs to [platform], the last section of the cluster. */
static const char settings[] = "timeout_ms = 1000\n"
			       "[call]\nlinger_ms = 0\nkeep_upstream_ms = 0\n"
			       "silence_ms = 250\n"
			       "[upstream]\nannounce_ttl_ms = 5000\n";

static struct cluster cluster;

static void post_faults(const char *faults)
{
	char answer[64];

	cr_assert_eq(
		fetch_simple("POST", cluster.nodes[BESIDE].upstream_address,
			     "/standin/faults", faults, answer, sizeof(answer)),
		200);
}

static bool wait_served(uint32_t node)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (clock_monotonic_us() < until_us) {
		struct fetch fetch = { .method = "PUT", .body = "{}" };
		long status;

		cluster_call(&cluster, node, "h.example", &fetch, "/seal/1");
		status = fetch.status;
		fetch_finish(&fetch);
		if (status == 200)
			return true;
		sleep_ms(POLL_MS);
	}
	return false;
}

static void start(void)
{
	const struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "huvo", "kafi" },
		.profile = "default",
		.settings = settings,
		.upstream_args = { "--service-us", "10000" },
		.target_platform = true,
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_write_document(&cluster, document));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert(wait_served(BESIDE) && wait_served(CALLER));
}

static void stop(void)
{
	cluster_stop(&cluster);
}

static void begin_load(struct load *load, const char *prefix)
{
	const struct load_options options = {
		.targets = { cluster.nodes[CALLER].caller,
			     cluster.nodes[BESIDE].caller },
		.target_count = NODES,
		.kinds = { { .name = "kept seal",
			     .method = "PUT",
			     .path = "/seal/1",
			     .service = "h.example",
			     .body_bytes = BODY_BYTES,
			     .non_idempotent = true,
			     .keepalive = true,
			     .deadline_ms = DEADLINE_MS },
			   { .name = "seal",
			     .method = "PUT",
			     .path = "/seal/2",
			     .service = "h.example",
			     .share = 1,
			     .body_bytes = BODY_BYTES,
			     .non_idempotent = true,
			     .deadline_ms = DEADLINE_MS } },
		.kind_count = 2,
		.deadline_field = "X-Deadline-Ms",
		.rate_per_s = RATE_PER_S,
		.poisson = true,
		.in_flight_max = IN_FLIGHT_MAX,
		.timeout_ms = WAIT_MS,
		.seed = 1,
		.prefix = prefix,
		.keepalive_per_target = 4,
		.keepalive_gap_ms = 20,
		.keepalive_timeout_ms = WAIT_MS,
	};
	struct error err = ERROR_INIT;

	cr_assert(load_begin(load, &options, &err), "%s", err.text);
}

static void signal_both(int number)
{
	process_signal(&cluster.nodes[BESIDE].process, number);
	process_signal(&cluster.nodes[CALLER].process, number);
}

static void pause_for(struct load *load, struct process *process)
{
	process_signal(process, SIGSTOP);
	load_run(load, DISTURBED_MS);
	process_signal(process, SIGCONT);
}

static void stop_and_start(struct load *load, uint32_t node)
{
	struct process *process = &cluster.nodes[node].process;

	process_signal(process, SIGTERM);
	load_run(load, DISTURBED_MS);
	process_kill(process);
	cr_assert(cluster_start_node(&cluster, node));
}

static void disturb(struct load *load, enum disturbed disturbed)
{
	struct cluster_node *beside = &cluster.nodes[BESIDE];

	switch (disturbed) {
	case NOTHING:
		break;
	case BESIDE_PAUSED:
		pause_for(load, &beside->process);
		break;
	case CALLER_PAUSED:
		pause_for(load, &cluster.nodes[CALLER].process);
		break;
	case BOTH_PAUSED:
		signal_both(SIGSTOP);
		load_run(load, DISTURBED_MS);
		signal_both(SIGCONT);
		break;
	case UPSTREAM_PAUSED:
		pause_for(load, &beside->upstream);
		break;
	case UPSTREAM_REPLACED:
		post_faults("{\"replace\":true}");
		break;
	case BESIDE_KILLED:
		process_kill(&beside->process);
		cr_assert(cluster_start_node(&cluster, BESIDE));
		break;
	case BESIDE_STOPPED:
		stop_and_start(load, BESIDE);
		break;
	case CALLER_STOPPED:
		stop_and_start(load, CALLER);
		break;
	case BOTH_RELOADED:
		signal_both(SIGHUP);
		break;
	case CONNECTIONS_STALLED:
		cluster_stall_connections(&cluster, BESIDE);
		break;
	}
}

static int64_t rejected_count(void)
{
	return upstream_stat(&cluster, BESIDE, "rejected");
}

static uint32_t answered_count(const struct load *load)
{
	const struct load_filter all = { .kind = -1, .tenant = -1 };
	struct load_summary summary;

	load_summarize(load, &all, &summary);
	return summary.outcomes[LOAD_ANSWERED];
}

/* Returns whether the requests so far can show the failure. */
static bool has_played(const struct promise_case *played,
		       const struct load *load, int64_t rejected_before)
{
	return answered_count(load) >= ANSWERED_MIN &&
	       rejected_count() - rejected_before >= played->rejected_min;
}

static void check(const struct promise_case *played, struct load *load,
		  int64_t rejected_before)
{
	json_t *stats = cluster_upstream_stats(&cluster, BESIDE);
	int64_t rejected = rejected_count() - rejected_before;
	struct load_audit audit;

	load_check(load, &stats, 1, &audit);
	cr_log_info("%s: %u requests, %u answered, %lld rejections, %u false "
		    "promises, %u ran twice",
		    played->name, load->count, answered_count(load),
		    (long long)rejected, audit.false_promises,
		    audit.duplicate_runs);
	cr_expect_eq(audit.false_promises, 0,
		     "%s: %u requests were refused and ran", played->name,
		     audit.false_promises);
	cr_expect_eq(audit.duplicate_runs, 0, "%s: %u requests ran twice",
		     played->name, audit.duplicate_runs);
	cr_expect(has_played(played, load, rejected_before),
		  "%s: %u answered, %lld rejections", played->name,
		  answered_count(load), (long long)rejected);
	json_decref(stats);
}

static void play(const struct promise_case *played, const char *prefix)
{
	int64_t rejected = rejected_count();
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;
	uint32_t round = 0;
	struct load load;

	begin_load(&load, prefix);
	post_faults(played->faults);
	do {
		disturb(&load, played->disturbed);
		load_run(&load, CALM_MS);
		round++;
	} while (round < ROUNDS || (!has_played(played, &load, rejected) &&
				    clock_monotonic_us() < until_us));
	cr_expect(load_drain(&load, WAIT_MS), "%s", played->name);
	check(played, &load, rejected);
	load_finish(&load);
	post_faults(no_faults);
	cr_assert(wait_served(BESIDE) && wait_served(CALLER), "%s",
		  played->name);
}

/* Guards against a request that runs although its caller was told by the status
 * that it had not run. */
Test(promise, a_refused_request_never_runs, .init = start, .fini = stop,
     .timeout = 300)
{
	char prefix[16];
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		snprintf(prefix, sizeof(prefix), "promise%zu", i);
		play(&cases[i], prefix);
	}
}
