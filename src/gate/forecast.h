#ifndef GATE_FORECAST_H
#define GATE_FORECAST_H

#include "gate/gate.h"

/**
 * DOC: forecast
 *
 * Predicts whether a request can be answered before its deadline, from the
 * measured service times of each class and the requests that run before it.
 */

/** forecast_add_sample() - Adds a measured service time of @class. */
void forecast_add_sample(struct gate *gate, struct gate_class *class,
			 int64_t service_us, int64_t now_us);

/**
 * forecast_add_lower_bound() - Adds a lower bound of a service time.
 * @least_us: time after which a request was ended without an answer
 *
 * Without such lower bounds the longest requests would be missing from the
 * averages, and similar requests would start too late to end in time.
 */
void forecast_add_lower_bound(struct gate *gate, struct gate_class *class,
			      int64_t least_us, int64_t now_us);

/**
 * forecast_service_us() - Returns the expected service time of @class.
 *
 * Return: a time in microseconds; 0 if no service time is known yet.
 */
double forecast_service_us(const struct gate *gate,
			   const struct gate_class *class, int64_t now_us);

/**
 * forecast_usual_us() - Returns the service time at the usual pace.
 *
 * Return: a time in microseconds; 0 if the upstream does not report its pace or
 * if there are too few samples.
 */
double forecast_usual_us(const struct gate *gate,
			 const struct gate_class *class);

/**
 * forecast_free_us() - Returns when the next slot is expected to become free.
 *
 * A request that exceeds its expected service time by some time is expected to
 * run for the same time again. Otherwise an upstream that hangs would always
 * seem about to answer, and callers would be held at the gate until no time is
 * left to try another instance.
 *
 * Return: a time; @now_us if a slot is free.
 */
int64_t forecast_free_us(const struct gate *gate, int64_t now_us);

/**
 * forecast_give_up_us() - Returns when a queued request is to be refused.
 *
 * Return: the time from which on the request cannot start by
 * forecast_start_by_us() any more, because that time has passed or because no
 * slot is expected to become free before it.
 */
int64_t forecast_give_up_us(const struct gate *gate,
			    const struct gate_request *request, int64_t now_us);

/** forecast_start_by_us() - Returns the latest start of a queued request. */
int64_t forecast_start_by_us(const struct gate *gate,
			     const struct gate_request *request,
			     int64_t now_us);

/**
 * forecast_wait_us() - Returns the expected wait of a request.
 *
 * Return: microseconds until a request that arrives now can start.
 */
double forecast_wait_us(const struct gate *gate,
			const struct gate_request *request, int64_t now_us);

/**
 * forecast_queued_wait_us() - Returns the expected wait of a queued request.
 *
 * Return: microseconds until the request can start.
 */
double forecast_queued_wait_us(const struct gate *gate,
			       const struct gate_request *request,
			       int64_t now_us);

/**
 * forecast_retry_after_ms() - Returns a delay after which a retry may succeed.
 *
 * Return: milliseconds until all queued requests have run; at least one.
 */
int64_t forecast_retry_after_ms(const struct gate *gate, int64_t now_us);

#endif
