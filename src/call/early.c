#include "call/early.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/counter.h"
#include "os/clock.h"

enum {
	/* A node has configuration and peers within a second of its start, or
	 * something else is wrong that waiting does not mend. */
	JUST_STARTED_US = 3000 * US_PER_MS,
	/* What it waits for comes between two turns of the loop; this adds at
	 * most as much. */
	AGAIN_US = 20 * US_PER_MS,
	/* Of a request's time; the rest is for its answer, or for its caller
	 * to try elsewhere. */
	WAIT_DIVISOR = 2,
	/* Where the caller does not say how long it waits, and at most. */
	WAIT_UNKNOWN_US = 500 * US_PER_MS,
	WAIT_MAX_US = 1000 * US_PER_MS,
};

COUNTER(kept, "call.kept_early",
	"Requests kept until a node that has just started could route them");

static void drop(struct early_request *request)
{
	DL_DELETE(request->early->requests, request);
	request->early->count--;
	free(request);
}

static void aborted(struct http_exchange *exchange, void *data)
{
	drop(data);
}

/* Those that are not kept again are answered by the handler. */
static void hand_in_again(struct timer *timer, void *data)
{
	struct early *early = data;
	struct early_request *requests = early->requests;
	struct early_request *request;
	struct early_request *next;

	early->requests = NULL;
	early->count = 0;
	DL_FOREACH_SAFE(requests, request, next) {
		struct http_exchange *exchange = request->exchange;

		free(request);
		early->again(exchange, early->data);
	}
}

static int64_t wait_us(const struct http_exchange *exchange,
		       int64_t deadline_us)
{
	int64_t given_us = deadline_us - http_exchange_started_us(exchange);
	int64_t most_us = given_us / WAIT_DIVISOR;

	if (!deadline_us)
		return WAIT_UNKNOWN_US;
	return most_us < WAIT_MAX_US ? most_us : WAIT_MAX_US;
}

void early_init(struct early *early, struct loop *loop, http_handler_fn *again,
		void *data)
{
	early->loop = loop;
	early->again = again;
	early->data = data;
	early->requests = NULL;
	early->count = 0;
	early->until_us = loop_now_us(loop) + JUST_STARTED_US;
	timer_init(&early->timer, hand_in_again, early);
}

void early_finish(struct early *early)
{
	struct early_request *request;
	struct early_request *next;

	timer_cancel(early->loop, &early->timer);
	DL_FOREACH_SAFE(early->requests, request, next)
		drop(request);
}

bool early_keep(struct early *early, struct http_exchange *exchange,
		int64_t deadline_us)
{
	int64_t now_us = loop_now_us(early->loop);
	int64_t started_us = http_exchange_started_us(exchange);
	struct early_request *request;

	if (now_us >= early->until_us ||
	    now_us >= started_us + wait_us(exchange, deadline_us))
		return false;
	request = calloc(1, sizeof(*request));
	if (!request)
		abort();
	request->early = early;
	request->exchange = exchange;
	DL_APPEND(early->requests, request);
	early->count++;
	counter_add(&kept, 1);
	http_exchange_on_abort(exchange, aborted, request);
	if (!timer_is_set(&early->timer))
		timer_set(early->loop, &early->timer, now_us + AGAIN_US);
	return true;
}
