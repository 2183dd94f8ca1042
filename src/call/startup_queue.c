#include "call/startup_queue.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/counter.h"
#include "os/clock.h"

enum {
	/* A healthy node has a configuration and peers before this time. If it
	 * has none by then, waiting longer does not help. */
	STARTUP_US = 3000 * US_PER_MS,
	/* Interval at which queued requests are routed again. */
	RETRY_INTERVAL_US = 20 * US_PER_MS,
	/* Divides the time from the arrival of a request to its deadline into
	 * the part for the wait and the rest, which remains for the call or for
	 * an attempt of the caller at another node. */
	WAIT_DIVISOR = 2,
	/* Longest wait of a request without a deadline. */
	WAIT_NO_DEADLINE_US = 500 * US_PER_MS,
	WAIT_MAX_US = 1000 * US_PER_MS,
};

COUNTER(queued, "call.kept_early",
	"Requests kept until a node that has just started could route them");

static void remove_request(struct queued_request *request)
{
	DL_DELETE(request->startup_queue->requests, request);
	request->startup_queue->count--;
	free(request);
}

static void request_aborted(struct http_exchange *exchange, void *data)
{
	remove_request(data);
}

/* The callback answers each request that it does not queue again. */
static void retry_requests(struct timer *timer, void *data)
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

static int64_t max_wait_us(const struct http_exchange *exchange,
			   int64_t deadline_us)
{
	int64_t caller_wait_us =
		deadline_us - http_exchange_started_us(exchange);
	int64_t share_us = caller_wait_us / WAIT_DIVISOR;

	if (!deadline_us)
		return WAIT_NO_DEADLINE_US;
	return share_us < WAIT_MAX_US ? share_us : WAIT_MAX_US;
}

void startup_queue_init(struct startup_queue *startup_queue, struct loop *loop,
			http_handler_fn *retry, void *data)
{
	startup_queue->loop = loop;
	startup_queue->retry = retry;
	startup_queue->data = data;
	startup_queue->requests = NULL;
	startup_queue->count = 0;
	startup_queue->startup_ends_us = loop_now_us(loop) + STARTUP_US;
	timer_init(&startup_queue->timer, retry_requests, startup_queue);
}

void startup_queue_finish(struct startup_queue *startup_queue)
{
	struct queued_request *request;
	struct queued_request *next;

	timer_cancel(startup_queue->loop, &startup_queue->timer);
	DL_FOREACH_SAFE(startup_queue->requests, request, next)
		remove_request(request);
}

bool startup_queue_add(struct startup_queue *startup_queue,
		       struct http_exchange *exchange, int64_t deadline_us)
{
	int64_t now_us = loop_now_us(startup_queue->loop);
	int64_t started_us = http_exchange_started_us(exchange);
	struct queued_request *request;

	if (now_us >= startup_queue->startup_ends_us ||
	    now_us >= started_us + max_wait_us(exchange, deadline_us))
		return false;
	request = calloc(1, sizeof(*request));
	if (!request)
		abort();
	request->startup_queue = startup_queue;
	request->exchange = exchange;
	DL_APPEND(startup_queue->requests, request);
	startup_queue->count++;
	counter_add(&queued, 1);
	http_exchange_on_abort(exchange, request_aborted, request);
	if (!timer_is_set(&startup_queue->timer))
		timer_set(startup_queue->loop, &startup_queue->timer,
			  now_us + RETRY_INTERVAL_US);
	return true;
}
