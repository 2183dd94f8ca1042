#ifndef NODE_LOOKUP_H
#define NODE_LOOKUP_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "event/loop.h"
#include "membership/directory.h"
#include "membership/gossip.h"
#include "store/store.h"

/**
 * DOC: lookup
 *
 * Finds the first peers through the directory in the platform's service, and
 * keeps the directory fit for others to do the same. A node that reaches
 * nobody reads it, contacts every address and enters itself where its data
 * centre has room, or where nobody listed there has answered. Once nodes know
 * each other, only the first of each data centre reads it now and then: groups
 * of nodes that formed apart find each other so, and addresses of nodes that
 * are gone are replaced.
 */

/**
 * typedef lookup_listed_fn - the directory names this node's own address
 *
 * A process before this one has entered it, so whoever starts asks here.
 */
typedef void lookup_listed_fn(void *data);

/**
 * struct lookup_options - settings
 * @first_start: the whole deployment starts for the first time: nobody is
 *	written down yet and nobody waits
 * @listed: called after each look that finds the own address
 */
struct lookup_options {
	bool first_start;
	uint64_t seed;
	lookup_listed_fn *listed;
	void *data;
};

/**
 * struct lookup - of one node
 * @call: in progress, or NULL
 * @directory: as it was read last
 * @revision: of that, 0 if there was none
 * @backoff_ms: until the next look while alone; doubles
 * @isolated_reads: looks in a row that found the node alone
 * @accept_stale: the next look takes what was written down seconds ago
 */
struct lookup {
	struct loop *loop;
	struct store *store;
	struct gossip *gossip;
	struct random random;
	struct timer timer;
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

/** lookup_init() - begin to look soon; all pointers outlive it. */
void lookup_init(struct lookup *lookup, struct loop *loop, struct store *store,
		 struct gossip *gossip, const struct lookup_options *options);

/** lookup_is_isolated() - whether no other node can be reached at present. */
bool lookup_is_isolated(const struct lookup *lookup);

/** lookup_check() - look soon if the node has become alone. */
void lookup_check(struct lookup *lookup);

/** lookup_stop() - this node leaves: look no more. */
void lookup_stop(struct lookup *lookup);

void lookup_finish(struct lookup *lookup);

#endif
