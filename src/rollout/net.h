#ifndef ROLLOUT_NET_H
#define ROLLOUT_NET_H

#include <jansson.h>

#include "membership/gossip.h"
#include "rollout/controller.h"
#include "rollout/frames.h"
#include "rollout/table.h"
#include "store/store.h"
#include "wire/hub.h"

/**
 * DOC: rollout net
 *
 * Drives roll-outs on one node: receives orders read from the platform, sends
 * changes to other nodes, sends reports on the upstream beside the node to the
 * controllers, and runs the controller if the node ranks first in its data
 * centre.
 *
 * A node that applies a change sends the change to a few other nodes. Each new
 * connection begins with the states that the other end knows, so that a node
 * that has just started receives the roll-outs from the node that sends it a
 * configuration.
 */

enum { ROLLOUT_FINDING_SIZE = 352 };

/** typedef rollout_changed_fn - an order is new or its phase has changed. */
typedef void rollout_changed_fn(const struct rollout *rollout, void *data);

/**
 * typedef rollout_request_stats_fn - Returns the current counts of the upstream
 * beside the node.
 * @busy: set to the number of requests that run or wait at the upstream
 */
typedef const struct request_stats *rollout_request_stats_fn(uint32_t *busy,
							     void *data);

/** struct rollout_options - @store is NULL if there is no platform. */
struct rollout_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct gossip *gossip;
	struct store *store;
	uint64_t seed;
	rollout_changed_fn *on_changed;
	rollout_request_stats_fn *request_stats;
	void *data;
};

/**
 * struct rollout_net - see DOC
 * @ticks: number of ticks of @timer so far
 * @reported: epoch, started requests and busy requests of the report that was
 *	last sent to other nodes, and the time of that report
 * @changed_us: time at which a roll-out last changed
 * @bad_order: reason why an order could not be read; "" if the last order that
 *	was received could be read
 */
struct rollout_net {
	struct rollout_options options;
	struct rollout_table table;
	struct controller controller;
	struct encoder encoder;
	struct random random;
	struct timer timer;
	uint64_t ticks;
	struct {
		uint64_t epoch;
		uint32_t started;
		uint32_t busy;
		int64_t at_us;
	} reported;
	int64_t changed_us;
	char bad_order[ROLLOUT_FINDING_SIZE];
};

void rollout_net_init(struct rollout_net *net,
		      const struct rollout_options *options);

/** rollout_net_finish() - Call this function before gossip and hub finish. */
void rollout_net_finish(struct rollout_net *net);

/** rollout_net_receive_orders() - Adds orders read from the platform. */
void rollout_net_receive_orders(struct rollout_net *net,
				const struct store_item *items, uint32_t count);

/**
 * rollout_net_blocks_version() - Returns true if a version was found to be bad.
 *
 * The gate beside an instance of a bad version stays closed for all callers.
 */
bool rollout_net_blocks_version(const struct rollout_net *net,
				const char *service, const char *version);

/**
 * rollout_net_splits_traffic() - Returns true if the requests of a service are
 * split by version.
 */
bool rollout_net_splits_traffic(const struct rollout_net *net,
				const char *service);

/**
 * rollout_net_finding() - Finds a problem that an operator should look at.
 * @text: set to a description of the problem
 *
 * Return: true if there is a problem.
 */
bool rollout_net_finding(const struct rollout_net *net,
			 char text[ROLLOUT_FINDING_SIZE]);

/** rollout_net_dump() - Returns the state as JSON; the caller owns it. */
json_t *rollout_net_dump(const struct rollout_net *net);

#endif
