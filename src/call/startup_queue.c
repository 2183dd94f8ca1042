#include "call/startup_queue.h"

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

static void drop(struct queued_request *request)
{
	DL_DELETE(request->startup_queue->requests, request);
	request->startup_queue->count--;
	free(request);
}

static void aborted(struct http_exchange *exchange, void *data)
{
	drop(data);
}

/* Those that are not kept again are answered by the handler. */
static void hand_in_again(struct timer *timer, void *data)
{
	struct startup_queue *startup_queue = data;
	struct queued_request *requests = startup_queue->requests;
	struct queued_request *request;
	struct queued_request *next;

	startup_queue->requests = NULL;
	startup_queue->count = 0;
	DL_FOREACH_SAFE(requests, request, next) {
		struct http_exchange *exchange = request->exchange;

		free(request);
		startup_queue->retry(exchange, startup_queue->data);
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

void startup_queue_init(struct startup_queue *startup_queue, struct loop *loop,
			http_handler_fn *retry, void *data)
{
	startup_queue->loop = loop;
	startup_queue->retry = retry;
	startup_queue->data = data;
	startup_queue->requests = NULL;
	startup_queue->count = 0;
	startup_queue->startup_ends_us = loop_now_us(loop) + JUST_STARTED_US;
	timer_init(&startup_queue->timer, hand_in_again, startup_queue);
}

void startup_queue_finish(struct startup_queue *startup_queue)
{
	struct queued_request *request;
	struct queued_request *next;

	timer_cancel(startup_queue->loop, &startup_queue->timer);
	DL_FOREACH_SAFE(startup_queue->requests, request, next)
		drop(request);
}

bool startup_queue_add(struct startup_queue *startup_queue,
		       struct http_exchange *exchange, int64_t deadline_us)
{
	int64_t now_us = loop_now_us(startup_queue->loop);
	int64_t started_us = http_exchange_started_us(exchange);
	struct queued_request *request;

	if (now_us >= startup_queue->startup_ends_us ||
	    now_us >= started_us + wait_us(exchange, deadline_us))
		return false;
	request = calloc(1, sizeof(*request));
	if (!request)
		abort();
	request->startup_queue = startup_queue;
	request->exchange = exchange;
	DL_APPEND(startup_queue->requests, request);
	startup_queue->count++;
	counter_add(&kept, 1);
	http_exchange_on_abort(exchange, aborted, request);
	if (!timer_is_set(&startup_queue->timer))
		timer_set(startup_queue->loop, &startup_queue->timer,
			  now_us + AGAIN_US);
	return true;
}
