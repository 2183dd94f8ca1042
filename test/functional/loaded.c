#include "functional/loaded.h"

#include <criterion/criterion.h>
#include <string.h>

#include "functional/background.h"
#include "functional/profile.h"

enum {
	WAIT_MS = BACKGROUND_WAIT_MS,
	IN_FLIGHT_MAX = 1000,
	SERVED_MIN_PERCENT = 98,
};

static void start_cluster(struct cluster *cluster,
			  const char *const upstream_args[])
{
	struct cluster_options options = {
		.centres = LOADED_CENTRES,
		.nodes = LOADED_NODES,
		.services = { "alpha" },
		.profile = "default",
		.settings = "[membership]\nprobe_interval_ms = 100\n"
			    "probe_timeout_ms = 50\nsuspicion_ms = 300\n",
	};
	uint32_t i;

	for (i = 0; upstream_args[i]; i++)
		options.upstream_args[i] = upstream_args[i];
	cr_assert(cluster_start(cluster, &options));
	cr_assert(cluster_wait_members(cluster, LOADED_NODES, WAIT_MS));
	cr_assert_eq(cluster_accept(cluster, 0, "default", functional_profile),
		     1);
	cr_assert(cluster_wait_version(cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_routes(cluster, WAIT_MS));
}

void loaded_start(struct loaded *loaded, const char *const upstream_args[],
		  const struct load_kind *kinds, uint32_t kind_count,
		  double rate_per_s)
{
	struct load_options options = {
		.kind_count = kind_count,
		.rate_per_s = rate_per_s,
		.in_flight_max = IN_FLIGHT_MAX,
		.timeout_ms = WAIT_MS,
		.seed = 1,
		.prefix = "loaded",
	};
	struct error err = ERROR_INIT;
	uint32_t i;

	start_cluster(&loaded->cluster, upstream_args);
	memcpy(options.kinds, kinds, kind_count * sizeof(*kinds));
	for (i = 0; i < LOADED_NODES; i++)
		options.targets[options.target_count++] =
			loaded->cluster.nodes[i].caller;
	cr_assert(load_begin(&loaded->load, &options, &err), "%s", err.text);
}

void loaded_stop(struct loaded *loaded)
{
	load_finish(&loaded->load);
	cluster_stop(&loaded->cluster);
}

void loaded_post_upstream(struct loaded *loaded, uint32_t i, const char *faults)
{
	const char *address = loaded->cluster.nodes[i].upstream_address;
	char answer[64];

	cr_assert_eq(fetch_simple("POST", address, "/standin/faults", faults,
				  answer, sizeof(answer)),
		     200);
}

static void restart_node(struct loaded *loaded, uint32_t i)
{
	process_kill(&loaded->cluster.nodes[i].process);
	cr_assert(cluster_start_node(&loaded->cluster, i));
	load_run(&loaded->load, LOADED_RESTART_GAP_MS);
}

static void restart_all_nodes(struct loaded *loaded)
{
	uint32_t i;

	for (i = 0; i < LOADED_NODES; i++)
		process_kill(&loaded->cluster.nodes[i].process);
	for (i = 0; i < LOADED_NODES; i++)
		cr_assert(cluster_start_node(&loaded->cluster, i));
}

void loaded_disturb(struct loaded *loaded, enum disturbance disturbance)
{
	struct cluster *cluster = &loaded->cluster;
	uint32_t i;

	switch (disturbance) {
	case UNDISTURBED:
		break;
	case DATA_CENTRE_CUT:
		cluster_partition(cluster, 1, true);
		break;
	case DATA_CENTRE_CUT_AND_BACK:
		cluster_partition(cluster, 1, true);
		load_run(&loaded->load, LOADED_RESTART_GAP_MS);
		cluster_partition(cluster, 1, false);
		break;
	case CONNECTIONS_SILENT:
		cluster_stall_connections(cluster, 0);
		break;
	case OTHER_NODES_RESTART:
		for (i = 1; i < LOADED_NODES; i++)
			restart_node(loaded, i);
		break;
	case ALL_NODES_RESTART:
		restart_all_nodes(loaded);
		break;
	case FIRST_NODE_RESTARTS:
		restart_node(loaded, 0);
		break;
	case PLATFORM_DOWN:
		cr_assert(cluster_platform_faults(cluster, "{\"down\":true}"));
		break;
	}
}

void loaded_check_served(const struct loaded *loaded, uint32_t from,
			 int except_kind)
{
	const struct load *load = &loaded->load;
	uint32_t answered = 0;
	uint32_t served = 0;
	uint32_t i;

	for (i = from; i < load->count; i++) {
		const struct load_record *record = &load->records[i];

		if ((int)record->kind == except_kind ||
		    record->outcome == LOAD_ABORTED ||
		    record->outcome == LOAD_NOT_SENT)
			continue;
		answered++;
		served += record->outcome == LOAD_ANSWERED;
	}
	cr_expect_gt(answered, 0);
	cr_expect_geq(served * 100, answered * SERVED_MIN_PERCENT,
		      "%u of %u requests were served", served, answered);
}
