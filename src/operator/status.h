#ifndef OPERATOR_STATUS_H
#define OPERATOR_STATUS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/error.h"
#include "wire/identity.h"

/**
 * DOC: status
 *
 * Versions in force in each data centre, as known to one node, and their JSON
 * form. The node fills in the data of its other components.
 */

enum {
	STATUS_DATA_CENTRES_MAX = 32,
	STATUS_VERSIONS_MAX = 8,
	STATUS_LAGGING_MAX = 8,
	STATUS_REASON_SIZE = 256,
	CHAIN_TEXT_SIZE = 65,
};

/**
 * struct status_version - number of nodes with the same version in force
 * @version: the version
 * @nodes: number of nodes
 */
struct status_version {
	uint64_t version;
	uint32_t nodes;
};

/**
 * struct status_data_centre - status of one data centre as known to this node
 * @name: name of the data centre
 * @reachable: whether this node's data centre receives messages from it
 * @nodes: number of known nodes without the unreachable ones
 * @unreachable_nodes: number of known nodes that are unreachable
 * @lowest: lowest version in force; 0 if a node has none
 * @highest: highest version in force
 * @versions: number of nodes for each version, newest version first
 * @version_count: number of entries in @versions
 * @lagging: names of nodes below @highest, at most STATUS_LAGGING_MAX
 * @lagging_count: number of entries in @lagging
 * @heard_ms: age of this information in milliseconds; 0 for the data centre of
 *	this node and if no information was received
 */
struct status_data_centre {
	char name[NAME_SIZE];
	bool reachable;
	uint32_t nodes;
	uint32_t unreachable_nodes;
	uint64_t lowest;
	uint64_t highest;
	struct status_version versions[STATUS_VERSIONS_MAX];
	uint32_t version_count;
	char lagging[STATUS_LAGGING_MAX][NAME_SIZE];
	uint32_t lagging_count;
	int64_t heard_ms;
};

/**
 * struct operator_status - status of a node
 * @deployment: name of the deployment
 * @data_centre: data centre of the node
 * @instance: name of the node
 * @incarnation: incarnation of the node
 * @version: version in force on the node; 0 for none
 * @seen_version: highest version known to the node
 * @chain: chain hash of @version in hexadecimal
 * @reason: why the node is not at @seen_version; empty if it is
 * @members: number of nodes that the node considers reachable, with itself
 * @services: number of services that the node has a route to
 * @platform_reachable: whether the node can reach the platform
 * @leaving: whether the node is shutting down
 * @data_centres: status of each data centre
 * @data_centre_count: number of entries in @data_centres
 */
struct operator_status {
	char deployment[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char instance[NAME_SIZE];
	uint64_t incarnation;
	uint64_t version;
	uint64_t seen_version;
	char chain[CHAIN_TEXT_SIZE];
	char reason[STATUS_REASON_SIZE];
	uint32_t members;
	uint32_t services;
	bool platform_reachable;
	bool leaving;
	struct status_data_centre data_centres[STATUS_DATA_CENTRES_MAX];
	uint32_t data_centre_count;
};

/** status_sort() - sorts data centres by name, for equal order on all nodes. */
void status_sort(struct operator_status *status);

/** status_to_json() - JSON form of a status; a new reference. */
json_t *status_to_json(const struct operator_status *status);

/**
 * status_from_json() - parses the output of status_to_json()
 * @err: ERROR_PROTOCOL if @json is not a status
 *
 * Return: false if @json is not a status.
 */
bool status_from_json(const json_t *json, struct operator_status *status,
		      struct error *err);

/**
 * status_applied() - whether a version or a later one is in force
 *
 * Return: true if @version or a later version is in force on all known nodes
 * of all reachable data centres, and at least one of these has nodes. An
 * unreachable data centre does not count, since it can stay so for hours.
 */
bool status_applied(const struct operator_status *status, uint64_t version);

#endif
