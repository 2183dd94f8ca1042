#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "fleet/cluster.h"
#include "functional/profile.h"

enum { CENTRES = 3, NODES = 6, CUT_CENTRE = 2, LAST_NODE = 5, WAIT_MS = 30000 };

static struct cluster cluster;
static uint32_t generation;

static uint64_t accept_next_version(void)
{
	char text[2048];

	snprintf(text, sizeof(text), "# generation %u\n%s", ++generation,
		 functional_profile);
	return cluster_accept(&cluster, 0, "default", text);
}

static void start(void)
{
	struct cluster_options options = {
		.centres = CENTRES,
		.nodes = NODES,
		.services = { "cellar-view" },
		.profile = "default",
		.settings = "[membership]\nlink_interval_ms = 200\n"
			    "link_timeout_ms = 1500\n",
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert_eq(accept_next_version(), 1);
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_routes(&cluster, WAIT_MS));
}

static void stop(void)
{
	cluster_stop(&cluster);
}

static void assert_call_runs(uint32_t node)
{
	struct fetch fetch = { .method = "GET" };

	cr_assert(
		cluster_call(&cluster, node, "cellar-view", &fetch, "/today"));
	cr_assert_eq(fetch.status, 200, "node %u: %ld %s", node, fetch.status,
		     fetch.answer ? fetch.answer : "");
	fetch_finish(&fetch);
}

/*
 * Symptom: a data centre runs on an old version although somebody it can
 * reach has the new one, or goes back, or does not agree after the cut.
 * Sequence: it is cut off from the platform, from the other data centres, or
 * from both, versions are accepted elsewhere, the cuts heal.
 * Cause: one way only for versions to come in, or state taken from whoever
 * speaks first.
 */
Test(partition, a_data_centre_that_is_cut_off, .init = start, .fini = stop,
     .timeout = 200)
{
	static const struct {
		const char *name;
		bool platform, other_centres, gets_version;
	} cases[] = {
		{ "from the platform only", true, false, true },
		{ "from the others only", false, true, true },
		{ "from both", true, true, false },
	};
	uint64_t version = 1;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		uint64_t before = version;

		cluster_cut_platform(&cluster, CUT_CENTRE, cases[i].platform);
		cluster_cut(&cluster, CUT_CENTRE, cases[i].other_centres);
		version = accept_next_version();
		cr_assert_eq(version, before + 1, "%s", cases[i].name);
		cr_assert(cluster_wait_version(&cluster, 0, version, WAIT_MS),
			  "%s", cases[i].name);
		if (cases[i].gets_version)
			cr_assert(cluster_wait_version(&cluster, CUT_CENTRE,
						       version, WAIT_MS),
				  "%s", cases[i].name);
		else
			cr_assert_eq(cluster_version(&cluster, LAST_NODE),
				     before, "%s", cases[i].name);
		assert_call_runs(LAST_NODE);
		cluster_cut(&cluster, CUT_CENTRE, false);
		cluster_cut_platform(&cluster, CUT_CENTRE, false);
		cr_assert(cluster_wait_version(&cluster, -1, version, WAIT_MS),
			  "%s", cases[i].name);
		cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS), "%s",
			  cases[i].name);
		assert_call_runs(LAST_NODE);
	}
}

/*
 * Symptom: a data centre that was replaced whole stays empty for hours.
 * Sequence: all its nodes die at once while the platform's service is down;
 * they return under their addresses. Cause: configuration and members could
 * only be had from the platform.
 */
Test(partition, a_data_centre_dies_and_returns_with_the_platform_down,
     .init = start, .fini = stop, .timeout = 200)
{
	uint32_t i;

	for (i = 0; i < CENTRES; i++)
		cluster_cut_platform(&cluster, i, true);
	for (i = 0; i < NODES; i++)
		if (cluster.nodes[i].centre == CUT_CENTRE)
			process_kill(&cluster.nodes[i].process);
	for (i = 0; i < NODES; i++)
		if (cluster.nodes[i].centre == CUT_CENTRE)
			cr_assert(cluster_start_node(&cluster, i));
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert(cluster_wait_routes(&cluster, WAIT_MS));
	assert_call_runs(LAST_NODE);
	for (i = 0; i < CENTRES; i++)
		cluster_cut_platform(&cluster, i, false);
	cr_assert_eq(accept_next_version(), 2);
	cr_assert(cluster_wait_version(&cluster, -1, 2, WAIT_MS));
}

/*
 * Symptom: a node that was paused is left out for good, or stays behind.
 * Sequence: a node is stopped for longer than its suspicion while a version
 * is accepted, then goes on. Cause: others hold it unreachable and it never
 * hears of that, so it cannot refute it.
 */
Test(partition, a_node_paused_longer_than_its_suspicion_comes_back,
     .init = start, .fini = stop, .timeout = 200)
{
	process_signal(&cluster.nodes[1].process, SIGSTOP);
	while (cluster_node_status(&cluster, 0, "members") == NODES)
		assert_call_runs(0);
	cr_assert_eq(accept_next_version(), 2);
	process_signal(&cluster.nodes[1].process, SIGCONT);
	cr_assert(cluster_wait_version(&cluster, -1, 2, WAIT_MS));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	assert_call_runs(1);
}

/*
 * Symptom: a data centre that is built anew stays a heap of single nodes.
 * Sequence: its nodes start at once, none has the address of another.
 * Cause: the members that readers write down are not looked for, or two
 * readers who do not know of each other write over each other for ever.
 */
Test(partition, nodes_without_seeds_find_each_other_by_the_platform,
     .fini = stop, .timeout = 200)
{
	struct cluster_options options = { .centres = 1,
					   .nodes = 4,
					   .no_seeds = true };

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, 4, WAIT_MS));
}
