#ifndef GATE_SCHEDULER_H
#define GATE_SCHEDULER_H

#include "gate/gate.h"

/**
 * DOC: scheduler
 *
 * Who goes next. Start-time fair queueing on two levels: among the weights
 * that wait, the one that had the least slot time over its weight; in it,
 * the tenant that had the least slot time; of that tenant's requests, the one
 * with the nearest deadline. Slot time is charged by estimate when a request
 * starts and corrected when it ends, so that a tenant does not gain by long
 * requests. Weight 0 goes when no other waits.
 *
 * Or, where the gate is strict, the greatest claim goes first, whatever had
 * how much before.
 */

/** scheduler_classify() - find or make the class and the tenant of a request. */
void scheduler_classify(struct gate *gate, struct gate_request *request);

/** scheduler_enqueue() - put a request among the waiting ones of its class. */
void scheduler_enqueue(struct gate *gate, struct gate_request *request);

/** scheduler_dequeue() - take a request from among the waiting ones. */
void scheduler_dequeue(struct gate *gate, struct gate_request *request);

/** scheduler_start() - a request begins to run; charge what it will use. */
void scheduler_start(struct gate *gate, struct gate_request *request,
		     double estimate_us);

/** scheduler_end() - it has ended; charge what it used. */
void scheduler_end(struct gate *gate, struct gate_request *request,
		   double used_us);

/**
 * scheduler_priority() - what decides between classes where the gate is strict
 *
 * The weight; or with gate_options.by_work the weight for each microsecond of
 * expected work, which is Smith's rule of weighted shortest job first.
 */
double scheduler_priority(const struct gate *gate,
			  const struct gate_class *class);

/** scheduler_choose() - the waiting request that goes next, or NULL. */
struct gate_request *scheduler_choose(const struct gate *gate, bool background);

/**
 * struct scheduler_backlog - who waits in one level
 * @counts: requests by tenant slot
 * @tenants: tenants that wait
 */
struct scheduler_backlog {
	uint16_t counts[GATE_TENANTS_MAX];
	uint32_t tenants;
	uint32_t requests;
};

/** scheduler_count_backlog() - fill @backlog for the level of @request. */
void scheduler_count_backlog(const struct gate *gate,
			     const struct gate_request *request,
			     struct scheduler_backlog *backlog);

/** scheduler_exceeds_share() - whether its tenant waits for more than its
 * share. */
bool scheduler_exceeds_share(const struct gate *gate,
			     const struct gate_request *request);

/**
 * scheduler_victim() - the waiting request with the weakest claim to its place
 * @request: the one that wants the place; its class or the whole is full
 *
 * Return: NULL if none has a weaker claim than @request.
 */
struct gate_request *scheduler_victim(const struct gate *gate,
				      const struct gate_request *request);

#endif
