#ifndef ROUTE_SPEED_H
#define ROUTE_SPEED_H

#include <stdint.h>

#include "base/pace.h"

/**
 * DOC: speed
 *
 * How long each upstream takes for a kind of request. The node beside an
 * upstream reports with each answer and refusal how long the kind usually takes
 * there. The router keeps the average of the reports over the pool for each
 * kind, and for each endpoint one speed factor over all kinds. A factor learned
 * from one kind therefore holds for the others as well. No clock, no I/O.
 */

enum { SPEED_KINDS_MAX = 8 };

/**
 * struct speed_kind - usual time of one kind in a pool
 * @kind: hash of the name of the kind
 * @usual_us: average over the endpoints of the pool, in microseconds
 * @at_us: time of the last report
 */
struct speed_kind {
	uint64_t kind;
	double usual_us;
	int64_t at_us;
};

/**
 * struct pool_speed - usual times in a pool
 * @kinds: the first @count are used; with more kinds the one that was reported
 *	longest ago is replaced
 */
struct pool_speed {
	struct speed_kind kinds[SPEED_KINDS_MAX];
	uint32_t count;
};

/**
 * struct endpoint_speed - speed of one endpoint
 * @factor: time that work usually takes there over that in the pool; 0: unknown
 * @at_us: time of the last report
 * @pace: how long work takes there now compared with usual
 */
struct endpoint_speed {
	double factor;
	int64_t at_us;
	struct pace pace;
};

/**
 * struct speed_report - what the node beside an upstream reports
 * @usual_us: time that the kind of the request usually takes there, in
 *	microseconds; 0: unknown
 * @work_pct: time that work takes there now, in percent of the usual time; 0:
 *	unknown
 */
struct speed_report {
	uint32_t usual_us;
	uint32_t work_pct;
};

/** speed_record() - records a report about a request of a kind. */
void speed_record(struct pool_speed *pool, struct endpoint_speed *endpoint,
		  const char *kind, const struct speed_report *report,
		  int64_t now_us);

/**
 * speed_usual_us() - returns the usual time of a kind in a pool
 *
 * Return: microseconds; 0 if no endpoint has reported it.
 */
double speed_usual_us(const struct pool_speed *pool, const char *kind);

/**
 * speed_factor() - returns the expected factor on the usual time of the pool
 *
 * Includes the present pace. Without new reports the factor returns to 1, so
 * that an endpoint which was slow is tried again.
 */
double speed_factor(const struct endpoint_speed *endpoint, int64_t now_us);

#endif
