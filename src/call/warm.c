#include "call/warm.h"

#include <string.h>

#include "base/counter.h"
#include "os/clock.h"

enum {
	/* Limits the processor time spent on new connections: 20 take 1.5
	 * seconds. */
	STEP_INTERVAL_MS = 150,
	CONNECTIONS_PER_STEP = 2,
	/* Interval once all connections are open: only closed connections have
	 * to be replaced. */
	IDLE_INTERVAL_MS = 1000,
};

COUNTER(warmed, "call.connections_warmed",
	"Connections to other nodes opened before a call needed them");

static bool is_wanted(const struct warm *warm, const struct endpoint *endpoint)
{
	return endpoint->local && endpoint->reachable &&
	       endpoint->record.state == UPSTREAM_SERVING &&
	       strcmp(endpoint->record.instance, warm->hub->self.instance) != 0;
}

/* Returns the number of connections opened in this step. */
static uint32_t open_connections(struct warm *warm)
{
	struct endpoint *endpoint;
	uint32_t wanted = 0;
	uint32_t opened = 0;

	for (endpoint = warm->router->endpoints;
	     endpoint && wanted < warm->connections_max &&
	     opened < CONNECTIONS_PER_STEP;
	     endpoint = endpoint->by_instance.next) {
		if (!is_wanted(warm, endpoint))
			continue;
		wanted++;
		if (wire_hub_has_connection(warm->hub,
					    &endpoint->record.address))
			continue;
		wire_hub_connect(warm->hub, &endpoint->record.address);
		counter_add(&warmed, 1);
		opened++;
	}
	return opened;
}

static void timer_expired(struct timer *timer, void *data)
{
	struct warm *warm = data;
	int64_t wait_ms = open_connections(warm) ? STEP_INTERVAL_MS
						 : IDLE_INTERVAL_MS;

	timer_set(warm->loop, timer,
		  loop_now_us(warm->loop) + wait_ms * US_PER_MS);
}

void warm_init(struct warm *warm, struct loop *loop, struct wire_hub *hub,
	       struct router *router, uint32_t connections_max)
{
	memset(warm, 0, sizeof(*warm));
	warm->loop = loop;
	warm->hub = hub;
	warm->router = router;
	warm->connections_max = connections_max;
	timer_init(&warm->timer, timer_expired, warm);
	if (connections_max)
		timer_set(loop, &warm->timer,
			  loop_now_us(loop) + STEP_INTERVAL_MS * US_PER_MS);
}

void warm_finish(struct warm *warm)
{
	timer_cancel(warm->loop, &warm->timer);
}
