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
 * Which version is in force where, as one node knows it, and its form in
 * JSON. What the node's other slices know is filled in by whoever wires them.
 */

enum {
	STATUS_DATA_CENTRES_MAX = 32,
	STATUS_VERSIONS_MAX = 8,
	STATUS_LAGGING_MAX = 8,
	STATUS_REASON_SIZE = 256,
	CHAIN_TEXT_SIZE = 65,
};

/** struct status_version - how many nodes have a version in force. */
struct status_version {
	uint64_t version;
	uint32_t nodes;
};

/**
 * struct status_data_centre - one data centre as seen from here
 * @reachable: whether this node's data centre hears of it
 * @nodes: nodes known there, those held unreachable left out
 * @unreachable_nodes: nodes known there that do not answer
 * @lowest: lowest version in force there; 0 if not every node has one
 * @highest: highest one
 * @versions: nodes by version, the newest versions first
 * @lagging: some of the nodes below @highest, by name
 * @heard_ms: how long ago this was heard
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
 * struct operator_status - the answer to "status"
 * @version: in force on the node that answers, 0 for none
 * @seen_version: the highest it has heard of
 * @chain: chain hash of @version in hexadecimal
 * @members: nodes that it holds reachable, itself included
 * @services: services that it has a route to
 * @reason: why it is not at @seen_version, empty if it is
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

/** status_sort() - data centres by name, so that every node tells alike. */
void status_sort(struct operator_status *status);

/** status_to_json() - a new reference. */
json_t *status_to_json(const struct operator_status *status);

/**
 * status_from_json() - read what status_to_json() wrote
 * @err: ERROR_PROTOCOL
 */
bool status_from_json(const json_t *json, struct operator_status *status,
		      struct error *err);

/**
 * status_applied() - whether a version or a later one is in force
 *
 * That is, on every known node of every data centre that can be reached. A
 * data centre that is cut off does not count: waiting for it could take hours.
 */
bool status_applied(const struct operator_status *status, uint64_t version);

#endif
