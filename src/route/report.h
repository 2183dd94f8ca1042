#ifndef ROUTE_REPORT_H
#define ROUTE_REPORT_H

#include "route/route.h"

/**
 * DOC: report
 *
 * What the node beside an upstream reports of it with its answers and refusals:
 * it sees the requests of all callers.
 */

/**
 * struct endpoint_report - statistics that the node of an upstream reports
 * @error_rate: share of the upstream's recent answers that are errors, 0 to 1
 */
struct endpoint_report {
	double error_rate;
};

/**
 * router_set_error_rate() - stores the error rate reported with an answer
 *
 * The node of the upstream counts the requests of all callers. A caller counts
 * only its own requests, and with many callers it would take minutes to detect
 * a faulty endpoint.
 */
void router_set_error_rate(const struct router *router,
			   struct endpoint *endpoint,
			   const struct endpoint_report *report);

/**
 * router_set_speed() - stores the speed reported with an answer or a refusal
 * @kind: name of the kind of the request
 */
void router_set_speed(const struct router *router, struct endpoint *endpoint,
		      const char *kind, const struct speed_report *report,
		      int64_t now_us);

/** endpoint_set_usable_share() - stores the share reported by the endpoint. */
void endpoint_set_usable_share(struct endpoint *endpoint, double usable_share,
			       int64_t now_us);

#endif
