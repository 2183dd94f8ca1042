#include <criterion/criterion.h>
#include <string.h>

#include "fleet/load.h"
#include "functional/background.h"
#include "functional/profile.h"
#include "os/clock.h"

/**
 * DOC: told leaving
 *
 * An upstream says in its answers that it leaves, while its heartbeats still
 * say that it serves.
 */

enum {
	CENTRES = 2,
	NODES = 6,
	WAIT_MS = BACKGROUND_WAIT_MS,
	RATE_PER_S = 90,
	TOLD_MS = 2000 + 4000,
	RESTART_GAP_MS = 500,
	SERVED_MIN_PERCENT = 98,
};

enum disturbance {
	UNDISTURBED,
	DATA_CENTRE_CUT,
	CONNECTIONS_SILENT,
	OTHER_NODES_RESTART,
	PLATFORM_DOWN,
};

static struct cluster cluster;
static struct load load;

static void start(void)
{
	static const struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "alpha" },
		.profile = "default",
		.settings = "[membership]\nprobe_interval_ms = 100\n"
			    "probe_timeout_ms = 50\nsuspicion_ms = 300\n",
		.upstream_args = { "--service-us", "20000" },
	};
	struct load_options load_options = {
		.kinds = { { .name = "read",
			     .method = "GET",
			     .path = "/read",
			     .service = "alpha",
			     .share = 1 } },
		.kind_count = 1,
		.rate_per_s = RATE_PER_S,
		.in_flight_max = 1000,
		.timeout_ms = WAIT_MS,
		.seed = 1,
		.prefix = "told",
	};
	struct error err = ERROR_INIT;
	uint32_t i;

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
	load_run(&load, 1000);
}

static void stop(void)
{
	load_finish(&load);
	cluster_stop(&cluster);
}

static void restart_other_nodes(void)
{
	uint32_t i;

	for (i = 1; i < NODES; i++) {
		process_kill(&cluster.nodes[i].process);
		cr_assert(cluster_start_node(&cluster, i));
		load_run(&load, RESTART_GAP_MS);
	}
}

static void disturb(enum disturbance disturbance)
{
	switch (disturbance) {
	case UNDISTURBED:
		break;
	case DATA_CENTRE_CUT:
		cluster_partition(&cluster, 1, true);
		load_run(&load, RESTART_GAP_MS);
		cluster_partition(&cluster, 1, false);
		break;
	case CONNECTIONS_SILENT:
		cluster_stall_connections(&cluster, 0);
		break;
	case OTHER_NODES_RESTART:
		restart_other_nodes();
		break;
	case PLATFORM_DOWN:
		cr_assert(cluster_platform_faults(&cluster, "{\"down\":true}"));
		break;
	}
}

static void check_served(uint32_t from)
{
	uint32_t answered = 0;
	uint32_t served = 0;
	uint32_t i;

	for (i = from; i < load.count; i++) {
		const struct load_record *record = &load.records[i];

		if (record->outcome == LOAD_ABORTED ||
		    record->outcome == LOAD_NOT_SENT)
			continue;
		answered++;
		served += record->outcome == LOAD_ANSWERED;
	}
	cr_expect_gt(answered, 0);
	cr_expect_geq(served * 100, answered * SERVED_MIN_PERCENT,
		      "%u of %u requests were served", served, answered);
}

static void check_told_leaving(enum disturbance disturbance)
{
	uint32_t from = load.count;
	char answer[64];

	cr_assert_eq(fetch_simple("POST", cluster.nodes[0].upstream_address,
				  "/standin/faults", "{\"leaving\":true}",
				  answer, sizeof(answer)),
		     200);
	load_run(&load, RESTART_GAP_MS);
	disturb(disturbance);
	load_run(&load, TOLD_MS);
	load_drain(&load, WAIT_MS);
	cr_expect_eq(upstream_stat(&cluster, 0, "after_leaving"), 0, "%lld",
		     (long long)upstream_stat(&cluster, 0, "after_leaving"));
	check_served(from);
}

/* Guards against new work for an upstream that has said in its answers, and not
 * in a heartbeat, that it leaves. */
Test(told_leaving, it_gets_no_new_work, .init = start, .fini = stop,
     .timeout = 120)
{
	check_told_leaving(UNDISTURBED);
}

/* Guards against a data centre that was cut off while it was told. */
Test(told_leaving, nor_from_a_data_centre_that_was_cut_off, .init = start,
     .fini = stop, .timeout = 120)
{
	check_told_leaving(DATA_CENTRE_CUT);
}

Test(told_leaving, nor_over_new_connections_after_silence, .init = start,
     .fini = stop, .timeout = 120)
{
	check_told_leaving(CONNECTIONS_SILENT);
}

Test(told_leaving, nor_from_nodes_that_restart, .init = start, .fini = stop,
     .timeout = 120)
{
	check_told_leaving(OTHER_NODES_RESTART);
}

Test(told_leaving, nor_while_the_platform_is_down, .init = start, .fini = stop,
     .timeout = 120)
{
	check_told_leaving(PLATFORM_DOWN);
}
