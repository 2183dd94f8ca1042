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
 * Starts real nodes on the loopback interface, one stand-in of the platform's
 * service and, if services are given, one stand-in of an upstream for each
 * node. Each data centre uses its own network, 127.0.N.0/24, so that the
 * nodes' drill endpoint can partition data centres.
 */

enum {
	CLUSTER_NODES_MAX = 300,
	CLUSTER_CENTRES_MAX = 11,
	CLUSTER_SERVICES_MAX = 8,
	ENDPOINT_SIZE = 64,
};

/**
 * struct cluster_options - the processes of a cluster and their settings
 * @centres: number of data centres
 * @nodes: number of nodes in all data centres, spread evenly; node i of a
 *	data centre serves services[i % number of services]
 * @services: names of the services, ended by NULL unless the array is full;
 *	without any, no upstreams are started
 * @profile: name of the profile of each service without an entry in @profiles
 * @profiles: names of profiles, in the order of @services; NULL selects
 *	@profile
 * @settings: TOML text appended to each node's settings; NULL for none
 * @upstream_args: further arguments of each upstream stand-in, ended by NULL
 * @target_platform: nodes, upstreams and the stand-in of the service use the
 *	interface of the target platform
 * @accounts: each upstream writes its arrivals and runs to a file, see
 *	cluster_account_path()
 * @no_seeds: nodes start without addresses of other nodes
 * @seeds_in_pairs: a node starts with the address of the other node of its pair
 *	alone: nodes 0 and 1, 2 and 3 and so on
 * @no_platform: starts no stand-in of the platform's service
 * @no_upstreams: starts no upstreams; nodes have a service nevertheless
 * @node_program: full path of the program of the nodes; NULL selects the one of
 *	the build
 */
struct cluster_options {
	uint32_t centres;
	uint32_t nodes;
	const char *services[CLUSTER_SERVICES_MAX];
	const char *profile;
	const char *profiles[CLUSTER_SERVICES_MAX];
	const char *settings;
	const char *upstream_args[PROCESS_ARGS_MAX / 2];
	bool target_platform;
	bool accounts;
	bool no_seeds;
	bool seeds_in_pairs;
	bool no_platform;
	bool no_upstreams;
	const char *node_program;
};

/**
 * struct cluster_node - one node, its upstream and their addresses
 * @process: the node's process
 * @upstream: process of the node's upstream
 * @centre: index of the node's data centre
 * @index_in_centre: index among the nodes of the data centre
 * @instance: name of the instance
 * @service: service of the upstream; empty for no upstream
 * @profile: profile of the service; may be NULL
 * @peer: address for other nodes, "IP:port"; empty until the first start
 * @caller: address for callers, as @peer
 * @announce: address that the upstream sends its heartbeats to, as @peer
 * @operator_address: address for operators, as @peer
 * @upstream_address: address of the upstream, "IP:port"
 * @settings_path: path of the settings file
 */
struct cluster_node {
	struct process process;
	struct process upstream;
	uint32_t centre;
	uint32_t index_in_centre;
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

/**
 * struct cluster - the running processes of a cluster
 * @options: copy of the options; the texts stay the caller's
 * @dir: temporary directory of the settings and log files
 * @platform: stand-in of the platform's service
 * @links: for each data centre, the relay between its nodes and the platform
 * @platform_address: address of the platform's service, "IP:port"
 * @link_address: address at which a relay accepts connections, "IP:port"
 * @link_control: address at which a relay accepts faults, "IP:port"
 * @nodes: the nodes, ordered by data centre
 * @node_count: number of entries of @nodes
 * @accepts: number of accepts requested so far; makes their ids unique
 */
struct cluster {
	struct cluster_options options;
	char dir[128];
	struct process platform;
	struct process links[CLUSTER_CENTRES_MAX];
	char platform_address[ENDPOINT_SIZE];
	char link_address[CLUSTER_CENTRES_MAX][ENDPOINT_SIZE];
	char link_control[CLUSTER_CENTRES_MAX][ENDPOINT_SIZE];
	struct cluster_node nodes[CLUSTER_NODES_MAX];
	uint32_t node_count;
	uint32_t accepts;
};

/**
 * cluster_start() - start all processes and wait until each is ready
 *
 * Return: false if a process did not become ready; cluster_stop() ends the
 * others.
 */
bool cluster_start(struct cluster *cluster,
		   const struct cluster_options *options);

/** cluster_stop() - kill all processes and remove the temporary directory. */
void cluster_stop(struct cluster *cluster);

/**
 * cluster_start_node() - start node @i and wait until it is ready
 *
 * A node that ran before keeps its addresses.
 */
bool cluster_start_node(struct cluster *cluster, uint32_t i);

/** cluster_spawn_node() - start node @i without waiting until it is ready. */
bool cluster_spawn_node(struct cluster *cluster, uint32_t i);

/** cluster_wait_node() - wait until the spawned node @i is ready. */
bool cluster_wait_node(struct cluster *cluster, uint32_t i);

/** cluster_account_path() - file of the account of the upstream of node @i. */
void cluster_account_path(const struct cluster *cluster, uint32_t i, char *path,
			  size_t size);

/** cluster_log_path() - file of the log of node @i. */
void cluster_log_path(const struct cluster *cluster, uint32_t i, char *path,
		      size_t size);

/** cluster_start_upstream() - start the upstream of node @i, also again. */
bool cluster_start_upstream(struct cluster *cluster, uint32_t i);

/** cluster_print_logs() - print the end of the log of each node. */
void cluster_print_logs(const struct cluster *cluster);

/** cluster_wait_members() - wait until each live node has @count members. */
bool cluster_wait_members(struct cluster *cluster, uint32_t count,
			  int64_t timeout_ms);

/** cluster_wait_routes() - wait until each live node routes all services. */
bool cluster_wait_routes(struct cluster *cluster, int64_t timeout_ms);

/**
 * cluster_accept() - put a draft of a profile through node @i and accept it
 * @name: name of the profile
 * @text: the draft
 *
 * Return: the accepted version, 0 on failure.
 */
uint64_t cluster_accept(struct cluster *cluster, uint32_t i, const char *name,
			const char *text);

/**
 * cluster_write_document() - write the configuration of the target platform
 *
 * Return: false if the store did not acknowledge it.
 */
bool cluster_write_document(struct cluster *cluster, const char *document);

/** cluster_version() - version in force at node @i, 0 if there is none. */
uint64_t cluster_version(struct cluster *cluster, uint32_t i);

/**
 * cluster_wait_version() - wait until live nodes have a version in force
 * @centre: index of the data centre; -1 for all
 * @version: lowest version that a node must have in force
 */
bool cluster_wait_version(struct cluster *cluster, int centre, uint64_t version,
			  int64_t timeout_ms);

/**
 * cluster_partition() - partition data centre @centre from all others
 * @cut: true starts the partition, false heals all partitions between nodes
 */
void cluster_partition(struct cluster *cluster, uint32_t centre, bool cut);

/**
 * cluster_stall_connections() - stall the open peer connections of node @i
 *
 * The connections to all data centres stay open, but nothing arrives on them
 * any more. New connections work.
 */
void cluster_stall_connections(struct cluster *cluster, uint32_t i);

/**
 * cluster_partition_platform() - partition @centre from the platform's service
 * @cut: true starts the partition, false heals it
 */
void cluster_partition_platform(struct cluster *cluster, uint32_t centre,
				bool cut);

/**
 * cluster_platform_faults() - set faults of the platform's stand-in
 * @faults: JSON object, see standin/platform.c
 */
bool cluster_platform_faults(struct cluster *cluster, const char *faults);

/**
 * cluster_upstream_stats() - statistics of the upstream of node @i
 *
 * Return: JSON object with the number of runs of each id, owned by the caller;
 * NULL if the upstream did not answer.
 */
json_t *cluster_upstream_stats(const struct cluster *cluster, uint32_t i);

/**
 * cluster_upstream_tenants() - what that upstream was told of tenants
 *
 * Return: JSON object owned by the caller, see upstream_tenants(); NULL if the
 * upstream did not answer.
 */
json_t *cluster_upstream_tenants(const struct cluster *cluster, uint32_t i);

/**
 * cluster_node_status() - a value of the dump section "node" of node @i
 * @name: name of an integer or a boolean
 *
 * Return: the value, a boolean as 0 or 1; 0 if it is absent.
 */
int64_t cluster_node_status(struct cluster *cluster, uint32_t i,
			    const char *name);

/** cluster_counter() - value of a counter of node @i, -1 if it is unknown. */
int64_t cluster_counter(struct cluster *cluster, uint32_t i, const char *name);

/**
 * cluster_call() - send a call through node @i
 * @fetch: the request; its method defaults to GET, its URL and its header
 *	Host are set
 *
 * Return: as fetch_run().
 */
bool cluster_call(struct cluster *cluster, uint32_t i, const char *service,
		  struct fetch *fetch, const char *path);

#endif
