#ifndef GATE_FORECAST_H
#define GATE_FORECAST_H

#include "gate/gate.h"

/**
 * DOC: forecast
 *
 * Whether a request can still be met: service times by class as measured
 * here, and what runs before it.
 */

/** forecast_add_sample() - the upstream has taken this long for a request. */
void forecast_add_sample(struct gate *gate, struct gate_class *class,
			 int64_t service_us, int64_t now_us);

/**
 * forecast_add_lower_bound() - a request was given up after @least_us
 *
 * Without this the requests that take longest would be missing from the
 * averages, and others like them be started too late to end in time.
 */
void forecast_add_lower_bound(struct gate *gate, struct gate_class *class,
			      int64_t least_us, int64_t now_us);

/** forecast_service_us() - how long a request of a class takes; 0: unknown. */
double forecast_service_us(const struct gate *gate,
			   const struct gate_class *class, int64_t now_us);

/**
 * forecast_free_us() - when the next slot becomes free
 *
 * What has run longer than usual is expected to run on as much longer: an
 * upstream that hangs would otherwise always be about to answer, and callers
 * be held here until it is too late to go elsewhere.
 *
 * Return: @now_us if a slot is free.
 */
int64_t forecast_free_us(const struct gate *gate, int64_t now_us);

/**
 * forecast_give_up_us() - when a waiting request is to be given up
 *
 * Once it can no longer start by forecast_start_by_us(): because that is
 * over, or because no slot will be free by then.
 */
int64_t forecast_give_up_us(const struct gate *gate,
			    const struct gate_request *request, int64_t now_us);

/** forecast_start_by_us() - the last moment to start a waiting request. */
int64_t forecast_start_by_us(const struct gate *gate,
			     const struct gate_request *request,
			     int64_t now_us);

/** forecast_wait_us() - until a request that arrives now may start. */
double forecast_wait_us(const struct gate *gate,
			const struct gate_request *request, int64_t now_us);

/** forecast_retry_after_ms() - until what waits has run; at least one. */
int64_t forecast_retry_after_ms(const struct gate *gate, int64_t now_us);

#endif
