#include "call/warm.h"

#include <string.h>

#include "base/counter.h"
#include "os/clock.h"
#include "route/subset.h"

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

static bool is_wanted(const struct endpoint *endpoint, const char *self)
{
	return endpoint->reachable &&
	       endpoint->record.state == UPSTREAM_SERVING &&
	       strcmp(endpoint->record.instance, self) != 0;
}

uint32_t warm_choose(const struct router *router, const char *self,
		     struct endpoint **chosen, uint32_t max)
{
	uint32_t count = 0;
	bool is_done = false;
	uint32_t rank;

	for (rank = 0; !is_done; rank++) {
		struct pool *pool;

		is_done = true;
		for (pool = router->pools; pool; pool = pool->by_service.next) {
			struct range range = subset_local(pool);

			if (rank >= range.count)
				continue;
			if (count == max)
				return count;
			is_done = false;
			if (is_wanted(range.endpoints[rank], self))
				chosen[count++] = range.endpoints[rank];
		}
	}
	return count;
}

/* Returns the number of connections opened in this step. */
static uint32_t open_connections(struct warm *warm)
{
	struct endpoint *chosen[WARM_CONNECTIONS_MAX];
	uint32_t count = warm_choose(warm->router, warm->hub->self.instance,
				     chosen, warm->connections_max);
	uint32_t opened = 0;
	uint32_t i;

	for (i = 0; i < count && opened < CONNECTIONS_PER_STEP; i++) {
		const struct address *to = &chosen[i]->record.address;

		if (wire_hub_has_connection(warm->hub, to))
			continue;
		wire_hub_connect(warm->hub, to);
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
