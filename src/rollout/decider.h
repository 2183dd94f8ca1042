#ifndef ROLLOUT_CONTROLLER_H
#define ROLLOUT_CONTROLLER_H

#include "membership/gossip.h"
#include "rollout/plan.h"
#include "rollout/record.h"
#include "rollout/table.h"
#include "store/store.h"

/**
 * DOC: rollout decider
 *
 * Moves roll-outs on, on those nodes whose turn it is: the first one of each
 * data centre for this duty. Nobody leads. Each decides by what it has heard,
 * the record at the platform is written by compare-and-swap, and phases only
 * move forward, so two that decide at once do no harm: one write takes effect
 * and the other node reads what was written.
 *
 * Going on needs the platform. Stopping does not: a bad version is condemned at
 * once wherever that is heard, and the record says so as soon as it can.
 */

/** The duty, as members_rank() takes it. */
#define ROLLOUT_DUTY "rollout"

/** typedef controller_merge_fn - take in what has been decided or read. */
typedef void controller_merge_fn(const struct rollout *rollout, void *data);

struct controller;

/**
 * struct controller_item - one roll-out in progress
 * @order_revision: which order it is about
 * @call: to the platform, in flight
 * @read_at_us: when the record may be read next
 * @wanted_phase: the phase that it should be in, since @wanted_since_us
 * @rate_per_s: requests that reach the service, at the last look
 */
struct controller_item {
	struct controller *controller;
	char service[SERVICE_NAME_SIZE];
	uint64_t order_revision;
	struct judge judge;
	struct store_call *call;
	struct record_call record;
	int64_t read_at_us;
	int64_t write_at_us;
	enum rollout_phase wanted_phase;
	int64_t wanted_since_us;
	double rate_per_s;
	struct controller_item *next;
	struct controller_item *prev;
};

/** struct controller_options - @store may be NULL: nothing can go on then. */
struct controller_options {
	struct loop *loop;
	struct gossip *gossip;
	struct store *store;
	struct rollout_table *table;
	controller_merge_fn *merge;
	void *data;
};

struct controller {
	struct controller_options options;
	struct controller_item *items;
};

void controller_init(struct controller *controller,
		     const struct controller_options *options);
void controller_finish(struct controller *controller);

/** controller_report() - a node beside an instance has reported. */
void controller_report(struct controller *controller, const char *service,
		       uint64_t order_revision,
		       const struct judge_report *report);

/** controller_tick() - look at one roll-out in progress. */
void controller_tick(struct controller *controller,
		     struct rollout_entry *entry);

/** controller_sweep() - drop what is settled or has been ordered anew. */
void controller_sweep(struct controller *controller);

#endif
