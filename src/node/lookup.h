#ifndef NODE_LOOKUP_H
#define NODE_LOOKUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "event/loop.h"
#include "membership/directory.h"
#include "membership/gossip.h"
#include "quota/net.h"
#include "store/store.h"

/**
 * DOC: lookup
 *
 * Finds the first peers through the directory, a list of addresses in the
 * platform's service, and keeps the directory up to date. A node that reaches
 * no other node reads the directory, contacts every address, and adds itself if
 * the list of its data centre is not full or if no listed node has answered.
 * Among nodes that reach each other, only the node with the first rank in each
 * data centre reads the directory periodically: separate groups of nodes find
 * each other, and addresses of nodes that are gone are replaced. While tenants
 * have limits, it also records the number of nodes there.
 */

/**
 * typedef lookup_listed_fn - called if the directory lists this node's address
 *
 * The address remains listed from an earlier process, so that starting nodes
 * contact this node first.
 */
typedef void lookup_listed_fn(void *data);

/**
 * struct lookup_options - options of lookup_init()
 * @first_start: setting first_start: the whole deployment starts for the first
 *	time, so that the directory is empty; the first read is delayed longer
 * @seed: seed of the random delays
 * @quota: told the number of nodes that the directory holds
 * @listed: called after each read in which this node's address is listed
 * @data: passed to @listed
 */
struct lookup_options {
	bool first_start;
	uint64_t seed;
	struct quota_net *quota;
	lookup_listed_fn *listed;
	void *data;
};

/**
 * struct lookup - the lookup of one node
 * @listed: see struct lookup_options
 * @call: call of the store in progress; NULL if there is none
 * @read_us: time of the next read, while @timer is set
 * @directory: directory as last read
 * @revision: revision of @directory in the store; 0 if the store had none
 * @backoff_ms: milliseconds from which the delay of the next read is drawn
 *	while the node is isolated; doubles with each read
 * @isolated_reads: consecutive reads without a stale copy at whose end the
 *	node was isolated
 * @accept_stale: true if the next read may return a copy that is stale by
 *	seconds
 * @stopped: true after lookup_stop()
 */
struct lookup {
	struct loop *loop;
	struct store *store;
	struct gossip *gossip;
	struct quota_net *quota;
	struct random random;
	struct timer timer;
	int64_t read_us;
	lookup_listed_fn *listed;
	void *data;
	struct store_call *call;
	struct directory directory;
	uint64_t revision;
	int64_t backoff_ms;
	uint32_t isolated_reads;
	bool accept_stale;
	bool stopped;
};

/**
 * lookup_init() - schedule the first read of the directory
 *
 * All pointers must remain valid until lookup_finish().
 */
void lookup_init(struct lookup *lookup, struct loop *loop, struct store *store,
		 struct gossip *gossip, const struct lookup_options *options);

/** lookup_is_isolated() - true if no other node is reachable. */
bool lookup_is_isolated(const struct lookup *lookup);

/**
 * lookup_check() - schedule a read if one is due and none is scheduled
 *
 * A read is due while the node is isolated or has the first rank of its data
 * centre.
 */
void lookup_check(struct lookup *lookup);

/** lookup_stop() - cancel all reads and writes, since this node leaves. */
void lookup_stop(struct lookup *lookup);

void lookup_finish(struct lookup *lookup);

#endif
