#ifndef FLEET_CLUSTER_H
#define FLEET_CLUSTER_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "fleet/fetch.h"
#include "fleet/process.h"

/**
 * DOC: cluster
 *
 * Real nodes on loopback with the stand-ins around them: one platform, and
 * beside each node one upstream. Each data centre has a network of its own,
 * 127.0.N.0/24, so that the nodes' drill can cut data centres apart.
 */

enum {
	CLUSTER_NODES_MAX = 128,
	CLUSTER_CENTRES_MAX = 11,
	CLUSTER_SERVICES_MAX = 8,
	ENDPOINT_SIZE = 64,
};

/**
 * struct cluster_options - what to start
 * @nodes: in all, spread evenly; the i-th of a data centre serves
 *	services[i % count]
 * @services: NULL-terminated; none starts nodes without upstreams
 * @profile: the profile that all services pick
 * @profiles: in its place, one for each of @services
 * @settings: TOML appended to each node's settings
 * @upstream_args: NULL-terminated, given to each upstream stand-in
 * @no_seeds: nodes start without the address of any other
 * @no_platform: start without the platform's service
 */
struct cluster_options {
	uint32_t centres;
	uint32_t nodes;
	const char *services[CLUSTER_SERVICES_MAX];
	const char *profile;
	const char *profiles[CLUSTER_SERVICES_MAX];
	const char *settings;
	const char *upstream_args[PROCESS_ARGS_MAX / 2];
	bool no_seeds;
	bool no_platform;
};

/** struct cluster_node - one node, its upstream and their addresses. */
struct cluster_node {
	struct process process;
	struct process upstream;
	uint32_t centre;
	uint32_t index_in_centre; /* among those of its data centre */
	char instance[ENDPOINT_SIZE];
	char service[ENDPOINT_SIZE];
	const char *profile;
	char peer[ENDPOINT_SIZE];
	char caller[ENDPOINT_SIZE];
	char announce[ENDPOINT_SIZE];
	char operator_address[ENDPOINT_SIZE];
	char upstream_address[ENDPOINT_SIZE];
	char settings_path[256];
};

struct cluster {
	struct cluster_options options;
	char dir[128];
	struct process platform;
	struct process links[CLUSTER_CENTRES_MAX]; /* to the platform */
	char platform_address[ENDPOINT_SIZE];
	char link_address[CLUSTER_CENTRES_MAX][ENDPOINT_SIZE];
	char link_control[CLUSTER_CENTRES_MAX][ENDPOINT_SIZE];
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	uint32_t node_count;
	uint32_t accepts; /* so far, for ids */
};

/** cluster_start() - start all and wait until each process is ready. */
bool cluster_start(struct cluster *cluster,
		   const struct cluster_options *options);

/** cluster_stop() - kill all and remove the files. */
void cluster_stop(struct cluster *cluster);

/** cluster_start_node() - start node @i again, under its old address. */
bool cluster_start_node(struct cluster *cluster, uint32_t i);

/** cluster_spawn_node() - as cluster_start_node(), without waiting. */
bool cluster_spawn_node(struct cluster *cluster, uint32_t i);

/** cluster_wait_node() - until a spawned node is ready. */
bool cluster_wait_node(struct cluster *cluster, uint32_t i);

/** cluster_start_upstream() - start the upstream of node @i (again). */
bool cluster_start_upstream(struct cluster *cluster, uint32_t i);

/** cluster_wait_members() - until each live node knows @count members. */
bool cluster_wait_members(struct cluster *cluster, uint32_t count,
			  int64_t timeout_ms);

/** cluster_wait_routes() - until each live node routes every service. */
bool cluster_wait_routes(struct cluster *cluster, int64_t timeout_ms);

/**
 * cluster_accept() - put a profile by node @i's operator and accept it
 *
 * Return: the version it became, 0 on failure.
 */
uint64_t cluster_accept(struct cluster *cluster, uint32_t i, const char *name,
			const char *text);

/** cluster_version() - what node @i has in force, 0 if nothing. */
uint64_t cluster_version(struct cluster *cluster, uint32_t i);

/** cluster_wait_version() - until all nodes of @centre (or -1) have it. */
bool cluster_wait_version(struct cluster *cluster, int centre, uint64_t version,
			  int64_t timeout_ms);

/** cluster_partition() - cut data centre @centre off from all others, or heal. */
void cluster_partition(struct cluster *cluster, uint32_t centre, bool cut);

/**
 * cluster_stall_connections() - the peer connections open now at node @i, to
 * all data centres, fall silent for good; new ones work
 */
void cluster_stall_connections(struct cluster *cluster, uint32_t i);

/** cluster_partition_platform() - cut @centre off from the platform, or heal. */
void cluster_partition_platform(struct cluster *cluster, uint32_t centre,
				bool cut);

/** cluster_platform_faults() - POST faults to the platform's stand-in. */
bool cluster_platform_faults(struct cluster *cluster, const char *faults);

/**
 * cluster_upstream_stats() - what the upstream of node @i has counted
 *
 * Return: owned by the caller, with the runs of each id; NULL if it is gone.
 */
json_t *cluster_upstream_stats(const struct cluster *cluster, uint32_t i);

/** cluster_node_status() - a number of node @i's own dump section; a switch is
 * 0 or 1. */
int64_t cluster_node_status(struct cluster *cluster, uint32_t i,
			    const char *name);

/** cluster_counter() - a counter of node @i by name; -1 if unknown. */
int64_t cluster_counter(struct cluster *cluster, uint32_t i, const char *name);

/** cluster_call() - one call through node @i; as fetch_run(). */
bool cluster_call(struct cluster *cluster, uint32_t i, const char *service,
		  struct fetch *fetch, const char *path);

#endif
