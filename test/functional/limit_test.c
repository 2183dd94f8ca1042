#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/load.h"
#include "functional/background.h"
#include "functional/profile.h"
#include "os/clock.h"

/**
 * DOC: limit
 *
 * Upstreams name in their answers how many requests a second they take.
 */

enum {
	CENTRES = 2,
	NODES = 6,
	WAIT_MS = BACKGROUND_WAIT_MS,
	RATE_PER_S = 90,
	/* Time to learn of the limit, and two windows of the rule. */
	NAMED_MS = 3000 + 2 * 4000,
	LEARN_MS = 3000,
	RESTART_GAP_MS = 500,
	SERVED_MIN_PERCENT = 98,
	/* Of what all limits together allow, if all upstreams are limited. */
	USED_MIN_PERCENT = 80,
	TEXT_SIZE = 128,
};

enum disturbance {
	UNDISTURBED,
	DATA_CENTRE_CUT,
	NODES_RESTART,
	NODE_BESIDE_RESTARTS,
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
		.upstream_args = { "--service-us", "40000" },
	};
	struct load_options load_options = {
		.kinds = { { .name = "read",
			     .method = "GET",
			     .path = "/read",
			     .service = "alpha",
			     .share = 1,
			     .deadline_ms = 1000 } },
		.kind_count = 1,
		.rate_per_s = RATE_PER_S,
		.in_flight_max = 1000,
		.timeout_ms = WAIT_MS,
		.seed = 1,
		.prefix = "limit",
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

static void name_limit(uint32_t i, const char *limit)
{
	char answer[TEXT_SIZE];
	char body[TEXT_SIZE];

	snprintf(body, sizeof(body), "{\"rate_limit\":\"%s\"}", limit);
	cr_assert_eq(fetch_simple("POST", cluster.nodes[i].upstream_address,
				  "/standin/faults", body, answer,
				  sizeof(answer)),
		     200);
}

static int64_t allowed(const char *limit)
{
	return (int64_t)floor(1.5 * strtod(limit, NULL) * 4 + 5);
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
		break;
	case NODES_RESTART:
		restart_other_nodes();
		break;
	case NODE_BESIDE_RESTARTS:
		/* Until the first requests count. */
		load_run(&load, LEARN_MS);
		process_kill(&cluster.nodes[0].process);
		cr_assert(cluster_start_node(&cluster, 0));
		break;
	case PLATFORM_DOWN:
		cr_assert(cluster_platform_faults(&cluster, "{\"down\":true}"));
		break;
	}
}

/* Requests to a node while it was down do not count. */
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

static void check_limit(const char *limit, enum disturbance disturbance)
{
	uint32_t from = load.count;
	int64_t peak;

	name_limit(0, limit);
	load_run(&load, RESTART_GAP_MS);
	disturb(disturbance);
	load_run(&load, NAMED_MS);
	load_drain(&load, WAIT_MS);
	peak = upstream_stat(&cluster, 0, "limit_peak");
	cr_expect_leq(peak, allowed(limit),
		      "limit %s: %lld requests in 4 s, allowed %lld", limit,
		      (long long)peak, (long long)allowed(limit));
	check_served(from);
}

/* Guards against an upstream in need that gets more than it can take, while
 * others of its service have room. */
Test(limit, an_upstream_gets_no_more_than_it_names, .init = start, .fini = stop,
     .timeout = 120)
{
	check_limit("4", UNDISTURBED);
}

Test(limit, a_limit_holds_in_a_data_centre_cut_off, .init = start, .fini = stop,
     .timeout = 120)
{
	check_limit("4", DATA_CENTRE_CUT);
}

/* Guards against a limit that other nodes have to remember. */
Test(limit, a_limit_holds_while_nodes_restart, .init = start, .fini = stop,
     .timeout = 120)
{
	check_limit("2.5", NODES_RESTART);
}

/* Guards against a limit that the node beside the upstream has forgotten. */
Test(limit, a_limit_holds_when_the_node_beside_restarts, .init = start,
     .fini = stop, .timeout = 120)
{
	check_limit("2.5", NODE_BESIDE_RESTARTS);
}

Test(limit, a_limit_holds_while_the_platform_is_down, .init = start,
     .fini = stop, .timeout = 120)
{
	check_limit("4", PLATFORM_DOWN);
}

/* Guards against a limit of zero that leaves no answers, so that its end would
 * not be noticed. */
Test(limit, a_limit_of_zero_is_kept_and_ends, .init = start, .fini = stop,
     .timeout = 120)
{
	int64_t total;

	check_limit("0", UNDISTURBED);
	name_limit(0, "");
	load_run(&load, 5000);
	total = upstream_stat(&cluster, 0, "total");
	load_run(&load, 4000);
	total = upstream_stat(&cluster, 0, "total") - total;
	cr_expect_geq(total, 4 * RATE_PER_S / NODES / 2, "%lld",
		      (long long)total);
}

/* Guards against a broken text that limits an upstream or disturbs its node. */
Test(limit, a_broken_text_is_no_limit, .init = start, .fini = stop,
     .timeout = 120)
{
	static const char *const texts[] = { "abc", "-1", "nan", "1e9", "1/s" };
	uint32_t from = load.count;
	int64_t total = upstream_stat(&cluster, 0, "total");
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		name_limit(0, texts[i]);
		load_run(&load, 1000);
	}
	load_drain(&load, WAIT_MS);
	cr_expect_geq(upstream_stat(&cluster, 0, "total") - total,
		      5 * RATE_PER_S / NODES / 2);
	cr_expect_gt(cluster_counter(&cluster, 0, "call.notices_invalid"), 0);
	check_served(from);
}

/* Guards against limits that waste what the upstreams still take, if all of
 * them name one. */
Test(limit, a_limited_service_serves_what_its_limits_allow, .init = start,
     .fini = stop, .timeout = 120)
{
	static const char limit[] = "6";
	uint32_t from;
	uint32_t served = 0;
	uint32_t i;

	for (i = 0; i < NODES; i++)
		name_limit(i, limit);
	load_run(&load, 3000);
	from = load.count;
	load_run(&load, NAMED_MS);
	load_drain(&load, WAIT_MS);
	for (i = 0; i < NODES; i++)
		cr_expect_leq(upstream_stat(&cluster, i, "limit_peak"),
			      allowed(limit), "upstream %u", i);
	for (i = from; i < load.count; i++)
		served += load.records[i].outcome == LOAD_ANSWERED;
	cr_expect_geq(served * 100,
		      NODES * 6 * NAMED_MS / 1000 * USED_MIN_PERCENT,
		      "%u served", served);
}
