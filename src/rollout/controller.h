#ifndef ROLLOUT_CONTROLLER_H
#define ROLLOUT_CONTROLLER_H

#include "membership/gossip.h"
#include "rollout/plan.h"
#include "rollout/record.h"
#include "rollout/table.h"
#include "store/store.h"

/**
 * DOC: rollout controller
 *
 * Advances roll-outs on the node that ranks first for this duty in each data
 * centre. The controllers elect no leader: each decides from the reports that
 * it has received. The record at the platform is written by compare-and-swap
 * and phases only advance, so controllers that decide at the same time do not
 * conflict: one write takes effect, and the other node reads the new record.
 *
 * A roll-out advances only if the platform can be reached. Stopping a bad
 * version does not need the platform: every node that receives the phase
 * ROLLOUT_CONDEMNED applies it at once, and a controller writes the record as
 * soon as the platform can be reached.
 */

/** Name of the duty for members_rank(). */
#define ROLLOUT_DUTY "rollout"

/** typedef controller_merge_fn - merge a state that was decided or read. */
typedef void controller_merge_fn(const struct rollout *rollout, void *data);

struct controller;

/**
 * struct controller_item - one roll-out in progress
 * @order_revision: revision of the order
 * @judge: compares the new version with the old version
 * @call: call to the platform in flight; NULL if there is none
 * @record: state of the calls on the record at the platform
 * @read_at_us: time from which the record may be read again
 * @write_at_us: time from which the record may be written again
 * @wanted_phase: phase that the plan last asked for
 * @wanted_since_us: time at which the plan first asked for @wanted_phase
 * @rate_per_s: requests per second that reach the service, as of the last
 *	tick; 0 if not known
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

/** struct controller_options - if @store is NULL, no roll-out advances. */
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

/** controller_report() - Passes the report of an instance to the judge. */
void controller_report(struct controller *controller, const char *service,
		       uint64_t order_revision,
		       const struct judge_report *report);

/** controller_tick() - Decides on one roll-out in progress. */
void controller_tick(struct controller *controller,
		     struct rollout_entry *entry);

/** controller_sweep() - Frees the items whose roll-outs have finished. */
void controller_sweep(struct controller *controller);

#endif
