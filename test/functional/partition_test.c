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

static void assert_members(uint32_t count)
{
	bool found = cluster_wait_members(&cluster, count, WAIT_MS);

	if (!found)
		cluster_print_logs(&cluster);
	cr_assert(found, "each node knows all %u nodes", count);
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

/* Guards against a data centre that keeps an old version although the platform
 * or a reachable peer has a newer one, reverts, or stays split after a cut. */
Test(partition, a_partitioned_centre_gets_the_newest_reachable_version,
     .init = start, .fini = stop, .timeout = 200)
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

		cluster_partition_platform(&cluster, CUT_CENTRE,
					   cases[i].platform);
		cluster_partition(&cluster, CUT_CENTRE, cases[i].other_centres);
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
		cluster_partition(&cluster, CUT_CENTRE, false);
		cluster_partition_platform(&cluster, CUT_CENTRE, false);
		cr_assert(cluster_wait_version(&cluster, -1, version, WAIT_MS),
			  "%s", cases[i].name);
		cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS), "%s",
			  cases[i].name);
		assert_call_runs(LAST_NODE);
	}
}

/* Guards against nodes that get configuration and members only from the
 * platform: a data centre that restarts in an outage of it stays empty. */
Test(partition, a_data_centre_restarts_while_the_platform_is_down,
     .init = start, .fini = stop, .timeout = 200)
{
	uint32_t i;

	for (i = 0; i < CENTRES; i++)
		cluster_partition_platform(&cluster, i, true);
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
		cluster_partition_platform(&cluster, i, false);
	cr_assert_eq(accept_next_version(), 2);
	cr_assert(cluster_wait_version(&cluster, -1, 2, WAIT_MS));
}

/* Guards against a paused node that stays unreachable or lagging, because it
 * does not receive the suspicion and so cannot refute it. */
Test(partition, a_node_paused_past_its_suspicion_rejoins, .init = start,
     .fini = stop, .timeout = 200)
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

/* Guards against nodes that start without seeds and never form a mesh: the
 * directory is not read, or two readers keep overwriting the entries
 * of each other. */
Test(partition, nodes_without_seeds_find_each_other_by_the_platform,
     .fini = stop, .timeout = 200)
{
	struct cluster_options options = { .centres = 1,
					   .nodes = 4,
					   .no_seeds = true };

	cr_assert(cluster_start(&cluster, &options));
	assert_members(options.nodes);
}

/* Guards against groups of nodes that stay apart: each knows other nodes, so
 * that none of them reads the addresses that the platform holds. */
Test(partition, groups_with_seeds_of_their_own_find_each_other_by_the_platform,
     .fini = stop, .timeout = 200)
{
	struct cluster_options options = { .centres = 1,
					   .nodes = 4,
					   .seeds_in_pairs = true };

	cr_assert(cluster_start(&cluster, &options));
	assert_members(options.nodes);
}
