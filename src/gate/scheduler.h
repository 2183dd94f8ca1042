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

/** share_admit() - find or make the class and the tenant of a request. */
void share_admit(struct gate *gate, struct gate_request *request);

/** share_enqueue() - put a request among the waiting ones of its class. */
void share_enqueue(struct gate *gate, struct gate_request *request);

/** share_dequeue() - take a request from among the waiting ones. */
void share_dequeue(struct gate *gate, struct gate_request *request);

/** share_start() - a request begins to run; charge what it will use. */
void share_start(struct gate *gate, struct gate_request *request,
		 double estimate_us);

/** share_end() - it has ended; charge what it used. */
void share_end(struct gate *gate, struct gate_request *request, double used_us);

/**
 * share_claim() - what decides between classes where the gate is strict
 *
 * The weight; or with gate_options.by_work the weight for each microsecond of
 * expected work, which is Smith's rule of weighted shortest job first.
 */
double share_claim(const struct gate *gate, const struct gate_class *class);

/** share_choose() - the waiting request that goes next, or NULL. */
struct gate_request *share_choose(const struct gate *gate, bool background);

/**
 * struct share_flows - who waits in one level
 * @counts: requests by tenant slot
 * @tenants: tenants that wait
 */
struct share_flows {
	uint16_t counts[GATE_TENANTS_MAX];
	uint32_t tenants;
	uint32_t requests;
};

/** share_count() - fill @flows for the level of @request. */
void share_count(const struct gate *gate, const struct gate_request *request,
		 struct share_flows *flows);

/** share_exceeded() - whether its tenant waits for more than its share. */
bool share_exceeded(const struct gate *gate,
		    const struct gate_request *request);

/**
 * share_victim() - the waiting request with the weakest claim to its place
 * @request: the one that wants the place; its class or the whole is full
 *
 * Return: NULL if none has a weaker claim than @request.
 */
struct gate_request *share_victim(const struct gate *gate,
				  const struct gate_request *request);

#endif
