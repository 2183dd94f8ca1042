#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleet/load.h"
#include "functional/background.h"
#include "functional/profile.h"
#include "os/clock.h"

/**
 * DOC: crash
 *
 * One request ends each upstream that runs it and is sent again and again, at
 * all nodes, among requests that do no harm. A supervisor restarts upstreams.
 */

enum {
	CENTRES = 2,
	NODES = 6,
	WAIT_MS = BACKGROUND_WAIT_MS,
	STEP_MS = 20,
	RATE_PER_S = 80,
	RESTART_US = 500 * US_PER_MS,
	/* Time after the third crash in which nodes may still learn of it. */
	LEARN_US = 3000 * US_PER_MS,
	OBSERVE_US = 6000 * US_PER_MS,
	/* The first trial of a block, and two turns of nodes that make it. */
	TRIAL_WAIT_US = (30 + 20) * US_PER_S,
	CRASHES_LEARNED_FROM = 3,
	/* Crashes allowed later than that. */
	LATER_CRASHES_MAX = 3,
	/* Harmless requests served, in 100 of those that a node answered. */
	SERVED_MIN_PERCENT = 98,
};

/* Kinds of requests of the load; further ones are harmless and rare. */
enum kind { KIND_HARMLESS, KIND_CRASHING, KINDS = 8 };

enum disturbance {
	UNDISTURBED,
	DATA_CENTRE_CUT,
	NODES_RESTART,
	PLATFORM_DOWN,
};

static struct cluster cluster;
static struct load load;
static struct {
	int64_t restart_at_us[NODES]; /* 0 while the upstream runs */
	uint32_t crashes;
	int64_t third_crash_us;
	uint32_t later_crashes;
} state;

static void add_rare_kinds(struct load_options *options)
{
	static const char *const paths[KINDS] = {
		[2] = "/rare/1", "/rare/2", "/rare/3",
		"/rare/4",	 "/rare/5", "/rare/6",
	};
	uint32_t i;

	for (i = options->kind_count; i < KINDS; i++)
		options->kinds[i] = (struct load_kind){ .name = "rare",
							.method = "GET",
							.path = paths[i],
							.service = "alpha",
							.share = 0.2 };
	options->kind_count = KINDS;
}

static void start_with(double crashing_share, const char *service_us)
{
	const struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "alpha" },
		.profile = "default",
		.settings = "[membership]\nprobe_interval_ms = 100\n"
			    "probe_timeout_ms = 50\nsuspicion_ms = 300\n",
		.upstream_args = { "--service-us", service_us },
	};
	struct load_options load_options = {
		.kinds = { { .name = "harmless",
			     .method = "GET",
			     .path = "/read",
			     .service = "alpha",
			     .share = 9 },
			   { .name = "crashing",
			     .method = "GET",
			     .path = "/bad?crash_us=20000",
			     .service = "alpha",
			     .share = crashing_share } },
		.kind_count = 2,
		.rate_per_s = RATE_PER_S,
		.in_flight_max = 1000,
		.timeout_ms = WAIT_MS,
		.seed = 1,
		.prefix = "crash",
	};
	struct error err = ERROR_INIT;
	uint32_t i;

	add_rare_kinds(&load_options);
	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert_eq(cluster_accept(&cluster, 0, "default", functional_profile),
		     1);
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_routes(&cluster, WAIT_MS));
	for (i = 0; i < NODES; i++)
		load_options.targets[load_options.target_count++] =
			cluster.nodes[i].caller;
	cr_assert(load_begin(&load, &load_options, &err), "%s", err.text);
}

static void start(void)
{
	start_with(1, "5000");
}

static void start_without_crashing_request(void)
{
	/* So that several requests run at each crash. */
	start_with(0, "50000");
}

static void stop(void)
{
	load_finish(&load);
	cluster_stop(&cluster);
}

static void note_crash(uint32_t i, int64_t now_us)
{
	state.restart_at_us[i] = now_us + RESTART_US;
	state.crashes++;
	if (state.crashes == CRASHES_LEARNED_FROM)
		state.third_crash_us = now_us;
	if (state.third_crash_us && now_us > state.third_crash_us + LEARN_US)
		state.later_crashes++;
}

static void supervise(void)
{
	int64_t now_us = clock_monotonic_us();
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		struct process *upstream = &cluster.nodes[i].upstream;

		if (!state.restart_at_us[i] && process_wait(upstream, 0)) {
			note_crash(i, now_us);
		} else if (state.restart_at_us[i] &&
			   now_us >= state.restart_at_us[i]) {
			cr_assert(cluster_start_upstream(&cluster, i));
			state.restart_at_us[i] = 0;
		}
	}
}

static void run_until(int64_t until_us)
{
	while (clock_monotonic_us() < until_us) {
		load_run(&load, STEP_MS);
		supervise();
	}
}

static void wait_third_crash(void)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (!state.third_crash_us && clock_monotonic_us() < until_us) {
		load_run(&load, STEP_MS);
		supervise();
	}
	cr_assert(state.third_crash_us);
}

static void restart_nodes(void)
{
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		process_kill(&cluster.nodes[i].process);
		cr_assert(cluster_start_node(&cluster, i));
		run_until(clock_monotonic_us() + RESTART_US);
	}
}

static void disturb(enum disturbance disturbance)
{
	switch (disturbance) {
	case UNDISTURBED:
		break;
	case DATA_CENTRE_CUT:
		cluster_partition(&cluster, 1, true);
		break;
	case NODES_RESTART:
		restart_nodes();
		break;
	case PLATFORM_DOWN:
		cr_assert(cluster_platform_faults(&cluster, "{\"down\":true}"));
		break;
	}
}

static void check_harmless(int64_t from_us)
{
	uint32_t answered = 0;
	uint32_t served = 0;
	uint32_t i;

	for (i = 0; i < load.count; i++) {
		const struct load_record *record = &load.records[i];

		if (record->kind == KIND_CRASHING ||
		    record->sent_us < from_us ||
		    record->outcome == LOAD_ABORTED ||
		    record->outcome == LOAD_NOT_SENT)
			continue;
		answered++;
		served += record->outcome == LOAD_ANSWERED;
	}
	cr_expect_gt(answered, 0);
	cr_expect_geq(served * 100, answered * SERVED_MIN_PERCENT,
		      "%u of %u harmless requests were served", served,
		      answered);
}

static void check_crashing_request(enum disturbance disturbance)
{
	int64_t from_us;

	memset(&state, 0, sizeof(state));
	wait_third_crash();
	run_until(state.third_crash_us + LEARN_US / 3);
	disturb(disturbance);
	from_us = state.third_crash_us + LEARN_US;
	run_until(from_us);
	run_until(clock_monotonic_us() + OBSERVE_US);
	load_drain(&load, WAIT_MS);
	supervise();
	cr_expect_leq(state.later_crashes, LATER_CRASHES_MAX,
		      "%u upstreams ended later, %u in all",
		      state.later_crashes, state.crashes);
	check_harmless(from_us);
}

/* Guards against a request that ends one upstream after the other, because no
 * node recognizes its repetitions. */
Test(crash, a_request_that_ends_upstreams_is_not_sent_on, .init = start,
     .fini = stop, .timeout = 120)
{
	check_crashing_request(UNDISTURBED);
}

/* Guards against a data centre that forgets such a request, or that can hear
 * of it from another data centre only. */
Test(crash, a_data_centre_cut_off_does_not_send_it_on, .init = start,
     .fini = stop, .timeout = 120)
{
	check_crashing_request(DATA_CENTRE_CUT);
}

/* Guards against nodes that send such a request on after a restart. */
Test(crash, restarted_nodes_do_not_send_it_on, .init = start, .fini = stop,
     .timeout = 120)
{
	check_crashing_request(NODES_RESTART);
}

/* Guards against a memory of such requests that needs the platform. */
Test(crash, it_is_not_sent_on_while_the_platform_is_down, .init = start,
     .fini = stop, .timeout = 120)
{
	check_crashing_request(PLATFORM_DOWN);
}

/* Returns true if every node lets the formerly crashing request through. */
static bool is_released(void)
{
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		struct fetch fetch = { .method = "GET" };
		long status;

		cluster_call(&cluster, i, "alpha", &fetch,
			     "/bad?crash_us=20000");
		status = fetch.status;
		fetch_finish(&fetch);
		if (status != 200)
			return false;
	}
	return true;
}

/* Guards against a block that never ends although the upstreams have been
 * corrected. */
Test(crash, a_block_ends_once_upstreams_complete_the_request, .init = start,
     .fini = stop, .timeout = 180)
{
	int64_t until_us;
	uint32_t i;

	memset(&state, 0, sizeof(state));
	wait_third_crash();
	run_until(state.third_crash_us + LEARN_US);
	for (i = 0; i < NODES; i++) {
		char answer[64];

		cr_assert_eq(
			fetch_simple("POST", cluster.nodes[i].upstream_address,
				     "/standin/faults", "{\"corrected\":true}",
				     answer, sizeof(answer)),
			200);
	}
	until_us = clock_monotonic_us() + TRIAL_WAIT_US;
	while (!is_released() && clock_monotonic_us() < until_us)
		run_until(clock_monotonic_us() + RESTART_US);
	cr_expect(is_released());
	load_drain(&load, WAIT_MS);
	supervise();
	cr_expect_leq(state.later_crashes, 0);
}

static uint32_t count_quarantined(void)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < load.count; i++)
		count += !strcmp(load.records[i].reason, "quarantined");
	return count;
}

/* Guards against harmless requests, frequent or rare, that are blocked because
 * they ran when upstreams crashed for another reason. */
Test(crash, harmless_requests_beside_crashes_are_not_blocked,
     .init = start_without_crashing_request, .fini = stop, .timeout = 120)
{
	int64_t until_us = clock_monotonic_us() + OBSERVE_US;
	uint32_t i;

	memset(&state, 0, sizeof(state));
	for (i = 0; clock_monotonic_us() < until_us; i++) {
		process_signal(&cluster.nodes[i % NODES].upstream, SIGKILL);
		run_until(clock_monotonic_us() + RESTART_US / 3);
	}
	run_until(clock_monotonic_us() + RESTART_US);
	load_drain(&load, WAIT_MS);
	cr_expect_gt(state.crashes, 2 * NODES);
	cr_expect_eq(count_quarantined(), 0);
}
