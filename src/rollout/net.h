#ifndef ROLLOUT_NET_H
#define ROLLOUT_NET_H

#include <jansson.h>

#include "membership/gossip.h"
#include "rollout/decider.h"
#include "rollout/frames.h"
#include "rollout/table.h"
#include "store/store.h"
#include "wire/hub.h"

/**
 * DOC: rollout net
 *
 * Drives roll-outs on one node: takes orders from whoever reads the platform,
 * tells other nodes what has changed, sends reports on the upstream beside to
 * the deciding node of each data centre, and is one where it is its turn.
 *
 * All nodes are told each change at once by a few others, and on each new
 * connection what its other end knows: a node that has just started, and so
 * knows nothing, hears of roll-outs from whoever gives it a configuration.
 */

enum { ROLLOUT_FINDING_SIZE = 256 };

/** typedef rollout_changed_fn - an order or a phase is new. */
typedef void rollout_changed_fn(const struct rollout *rollout, void *data);

/**
 * typedef rollout_evidence_fn - the counts of the upstream beside, up to date
 * @busy: requests that run or wait there
 */
typedef const struct evidence *rollout_evidence_fn(uint32_t *busy, void *data);

/** struct rollout_options - @store may be NULL: there is no platform. */
struct rollout_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct gossip *gossip;
	struct store *store;
	uint64_t seed;
	rollout_changed_fn *changed;
	rollout_evidence_fn *evidence;
	void *data;
};

/**
 * struct rollout_net - see DOC
 * @ticks: since roll-outs were last in progress
 * @bad_order: why the last order that could not be read was refused; "" if
 *	none was
 * @reported: the counts that were last told to others, and when
 */
struct rollout_net {
	struct rollout_options options;
	struct rollout_table table;
	struct decider decider;
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

/** rollout_net_finish() - to be called before gossip and hub end. */
void rollout_net_finish(struct rollout_net *net);

/** rollout_net_orders() - an orders_changed_fn's items. */
void rollout_net_orders(struct rollout_net *net, const struct store_item *items,
			uint32_t count);

/**
 * rollout_net_bars() - whether a version was found to be bad
 *
 * The gate beside such an instance stays closed, whoever sends.
 */
bool rollout_net_bars(const struct rollout_net *net, const char *service,
		      const char *version);

/** rollout_net_divides() - whether a service's requests depend on versions. */
bool rollout_net_divides(const struct rollout_net *net, const char *service);

/**
 * rollout_net_finding() - what operators should look at
 * @text: filled in if there is anything
 */
bool rollout_net_finding(const struct rollout_net *net,
			 char text[ROLLOUT_FINDING_SIZE]);

/** rollout_net_dump() - state for people; owned by the caller. */
json_t *rollout_net_dump(const struct rollout_net *net);

#endif
