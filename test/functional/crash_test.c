#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "functional/background.h"
#include "functional/loaded.h"
#include "os/clock.h"

/**
 * DOC: crash
 *
 * One request ends each upstream that runs it and is sent again and again, at
 * all nodes, among requests that do no harm. A supervisor restarts upstreams.
 */

enum {
	NODES = LOADED_NODES,
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
};

/* Kinds of requests of the load; further ones are harmless and rare. */
enum kind { KIND_HARMLESS, KIND_CRASHING, KINDS = 8 };

static struct loaded loaded;
static struct {
	int64_t restart_at_us[NODES]; /* 0 while the upstream runs */
	uint32_t crashes;
	int64_t third_crash_us;
	uint32_t later_crashes;
} state;

static void start_with(double crashing_share, const char *service_us)
{
	const char *const args[] = { "--service-us", service_us, NULL };
	static const char *const rare_paths[KINDS] = {
		[2] = "/rare/1", "/rare/2", "/rare/3",
		"/rare/4",	 "/rare/5", "/rare/6",
	};
	struct load_kind kinds[KINDS] = {
		[KIND_HARMLESS] = { .name = "harmless",
				    .path = "/read",
				    .share = 9 },
		[KIND_CRASHING] = { .name = "crashing",
				    .path = "/bad?crash_us=20000",
				    .share = crashing_share },
	};
	uint32_t i;

	for (i = 0; i < KINDS; i++) {
		kinds[i].method = "GET";
		kinds[i].service = "alpha";
		if (!rare_paths[i])
			continue;
		kinds[i].name = "rare";
		kinds[i].path = rare_paths[i];
		kinds[i].share = 0.2;
	}
	loaded_start(&loaded, args, kinds, KINDS, RATE_PER_S);
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
	loaded_stop(&loaded);
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
		struct process *upstream = &loaded.cluster.nodes[i].upstream;

		if (!state.restart_at_us[i] && process_wait(upstream, 0)) {
			note_crash(i, now_us);
		} else if (state.restart_at_us[i] &&
			   now_us >= state.restart_at_us[i]) {
			cr_assert(cluster_start_upstream(&loaded.cluster, i));
			state.restart_at_us[i] = 0;
		}
	}
}

static void run_until(int64_t until_us)
{
	while (clock_monotonic_us() < until_us) {
		load_run(&loaded.load, STEP_MS);
		supervise();
	}
}

static void wait_third_crash(void)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (!state.third_crash_us && clock_monotonic_us() < until_us) {
		load_run(&loaded.load, STEP_MS);
		supervise();
	}
	cr_assert(state.third_crash_us);
}

/* Restarts all nodes in turn; the supervisor goes on meanwhile. */
static void restart_nodes(void)
{
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		process_kill(&loaded.cluster.nodes[i].process);
		cr_assert(cluster_start_node(&loaded.cluster, i));
		run_until(clock_monotonic_us() + RESTART_US);
	}
}

/* Ends all nodes at the same moment, twice. */
static void restart_all_nodes(void)
{
	uint32_t times;

	for (times = 0; times < 2; times++) {
		loaded_disturb(&loaded, ALL_NODES_RESTART);
		run_until(clock_monotonic_us() + LEARN_US);
	}
}

static uint32_t first_record_from(int64_t from_us)
{
	uint32_t i = 0;

	while (i < loaded.load.count &&
	       loaded.load.records[i].sent_us < from_us)
		i++;
	return i;
}

static void check_crashing_request(enum disturbance disturbance)
{
	int64_t from_us = 0;

	memset(&state, 0, sizeof(state));
	wait_third_crash();
	run_until(state.third_crash_us + LEARN_US / 3);
	if (disturbance == OTHER_NODES_RESTART) {
		restart_nodes();
	} else if (disturbance == ALL_NODES_RESTART) {
		run_until(state.third_crash_us + LEARN_US);
		restart_all_nodes();
		from_us = clock_monotonic_us();
	} else {
		loaded_disturb(&loaded, disturbance);
	}
	if (from_us < state.third_crash_us + LEARN_US)
		from_us = state.third_crash_us + LEARN_US;
	run_until(from_us);
	run_until(clock_monotonic_us() + OBSERVE_US);
	load_drain(&loaded.load, WAIT_MS);
	supervise();
	cr_expect_leq(state.later_crashes, LATER_CRASHES_MAX,
		      "%u upstreams ended later, %u in all",
		      state.later_crashes, state.crashes);
	loaded_check_served(&loaded, first_record_from(from_us), KIND_CRASHING);
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
	check_crashing_request(OTHER_NODES_RESTART);
}

/* Guards against findings that end with the nodes if all of them end at once. */
Test(crash, nodes_that_all_ended_at_once_do_not_send_it_on, .init = start,
     .fini = stop, .timeout = 120)
{
	check_crashing_request(ALL_NODES_RESTART);
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

		cluster_call(&loaded.cluster, i, "alpha", &fetch,
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
			fetch_simple("POST",
				     loaded.cluster.nodes[i].upstream_address,
				     "/standin/faults", "{\"corrected\":true}",
				     answer, sizeof(answer)),
			200);
	}
	until_us = clock_monotonic_us() + TRIAL_WAIT_US;
	while (!is_released() && clock_monotonic_us() < until_us)
		run_until(clock_monotonic_us() + RESTART_US);
	cr_expect(is_released());
	load_drain(&loaded.load, WAIT_MS);
	supervise();
	cr_expect_leq(state.later_crashes, 0);
}

static uint32_t count_quarantined(void)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < loaded.load.count; i++)
		count += !strcmp(loaded.load.records[i].reason, "quarantined");
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
		process_signal(&loaded.cluster.nodes[i % NODES].upstream,
			       SIGKILL);
		run_until(clock_monotonic_us() + RESTART_US / 3);
	}
	run_until(clock_monotonic_us() + RESTART_US);
	load_drain(&loaded.load, WAIT_MS);
	cr_expect_gt(state.crashes, 2 * NODES);
	cr_expect_eq(count_quarantined(), 0);
}
