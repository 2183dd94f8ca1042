#include "route/route.h"

static json_t *dump_endpoint(const struct endpoint *endpoint, int64_t now_us)
{
	return json_pack("{s:s, s:s, s:s, s:b, s:i, s:i, s:f, s:I, s:f}",
			 "instance", endpoint->record.instance, "data_centre",
			 endpoint->record.data_centre, "state",
			 upstream_state_name(endpoint->record.state),
			 "reachable", endpoint->reachable, "slots",
			 (int)endpoint->record.slots, "in_flight",
			 (int)endpoint->in_flight, "load", endpoint->load,
			 "service_us", (json_int_t)endpoint->service_us,
			 "speed", speed_factor(&endpoint->speed, now_us));
}

static json_t *dump_pool(const struct pool *pool, int64_t now_us)
{
	json_t *list = json_array();
	uint32_t i;

	for (i = 0; i < pool->count; i++)
		json_array_append_new(list, dump_endpoint(pool->endpoints[i],
							  now_us));
	return json_pack("{s:s, s:s, s:b, s:f, s:o}", "service", pool->service,
			 "profile", pool->profile, "route",
			 pool->active_profile != NULL, "retry_tokens",
			 retry_budget_available(&pool->budget), "endpoints",
			 list);
}

json_t *router_dump(const struct router *router, int64_t now_us)
{
	json_t *pools = json_array();
	const struct pool *pool;

	for (pool = router->pools; pool; pool = pool->by_service.next)
		json_array_append_new(pools, dump_pool(pool, now_us));
	return json_pack("{s:s, s:I, s:o}", "data_centre", router->data_centre,
			 "version",
			 (json_int_t)(router->config ? router->config->version
						     : 0),
			 "pools", pools);
}
