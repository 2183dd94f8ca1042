#include "route/report.h"

void router_set_error_rate(const struct router *router,
			   struct endpoint *endpoint,
			   const struct endpoint_report *report)
{
	if (!router->avoid_faulty_endpoints)
		return;
	endpoint->error_rate = report->error_rate;
	endpoint->reports_errors = true;
}

void router_set_speed(const struct router *router, struct endpoint *endpoint,
		      const char *kind, const struct speed_report *report,
		      int64_t now_us)
{
	if (router->by_speed && endpoint->pool)
		speed_record(&endpoint->pool->speed, &endpoint->speed, kind,
			     report, now_us);
}

void endpoint_set_usable_share(struct endpoint *endpoint, double usable_share,
			       int64_t now_us)
{
	if (usable_share >= 1 && endpoint->usable_share < 1)
		endpoint->limit_ended_at_us = now_us;
	endpoint->usable_share = usable_share;
	endpoint->usable_share_at_us = now_us;
	if (usable_share < 1)
		endpoint->limited_at_us = now_us;
}
