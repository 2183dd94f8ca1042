#ifndef GATE_SCHEDULER_H
#define GATE_SCHEDULER_H

#include "gate/gate.h"

/**
 * DOC: scheduler
 *
 * Chooses which queued request starts next. Start-time fair queueing on two
 * levels: first the weight that received the least slot time in proportion to
 * the weight, then among the queued requests of that weight the tenant that
 * received the least slot time, then the request of that tenant with the
 * earliest deadline. A request is charged an estimate of its slot time when it
 * starts and the difference to the actual time when it ends, so that a tenant
 * gains nothing by sending long requests. Requests of weight 0 start only if
 * no other request is queued.
 *
 * If the gate is strict, the request of the first rank always starts first, and
 * among those of one rank the request of the highest priority, regardless of
 * the slot time received. Tenants share the slots within a rank and priority.
 */

/** scheduler_classify() - Finds or creates the class and tenant of @request. */
void scheduler_classify(struct gate *gate, struct gate_request *request);

/** scheduler_rank() - Returns the place of a rank, from 0 to GATE_RANKS - 1. */
uint32_t scheduler_rank(const struct gate_request *request);

/** scheduler_enqueue() - Adds a request to the queue of its class. */
void scheduler_enqueue(struct gate *gate, struct gate_request *request);

/** scheduler_dequeue() - Removes a request from the queue of its class. */
void scheduler_dequeue(struct gate *gate, struct gate_request *request);

/** scheduler_start() - Starts a request and charges the estimated slot time. */
void scheduler_start(struct gate *gate, struct gate_request *request,
		     double estimate_us);

/**
 * scheduler_end() - Ends a running request and corrects the charge.
 * @used_us: slot time that the request used
 */
void scheduler_end(struct gate *gate, struct gate_request *request,
		   double used_us);

/**
 * scheduler_priority() - Returns the priority of a class in a strict gate.
 *
 * The priority is the weight, or with gate_options.by_work the weight over the
 * expected service time in microseconds, which is Smith's rule (weighted
 * shortest job first).
 */
double scheduler_priority(const struct gate *gate,
			  const struct gate_class *class);

/**
 * scheduler_choose() - Returns the queued request to start next, or NULL.
 * @background: whether requests of weight 0 may start
 */
struct gate_request *scheduler_choose(const struct gate *gate, bool background);

/**
 * struct scheduler_backlog - queued requests, counted by tenant
 * @counts: number of queued requests of each tenant, by tenant index
 * @tenants: number of tenants that have queued requests
 * @requests: number of queued requests of all tenants
 */
struct scheduler_backlog {
	uint16_t counts[GATE_TENANTS_MAX];
	uint32_t tenants;
	uint32_t requests;
};

/** scheduler_count_backlog() - Fills @backlog for the level of @request. */
void scheduler_count_backlog(const struct gate *gate,
			     const struct gate_request *request,
			     struct scheduler_backlog *backlog);

/**
 * scheduler_exceeds_share() - Returns whether a tenant exceeds its fair share.
 *
 * Return: true if the tenant of @request has more requests in the queue of the
 * level than an equal share among the tenants there.
 */
bool scheduler_exceeds_share(const struct gate *gate,
			     const struct gate_request *request);

/**
 * scheduler_victim() - Returns the queued request to evict for @request.
 * @request: request to queue; the queue of its class or of the gate is full
 *
 * Return: if the gate is full and strict, a request of a lower rank; then, if
 * the gate is full, a request of the lightest class that is lighter than
 * @request; otherwise a request of the tenant with the most queued
 * requests in the class of @request. NULL if that tenant is not ahead of the
 * tenant of @request by at least two. A strict gate evicts no request of a
 * higher rank.
 */
struct gate_request *scheduler_victim(const struct gate *gate,
				      const struct gate_request *request);

#endif
