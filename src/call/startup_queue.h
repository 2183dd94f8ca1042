#ifndef CALL_STARTUP_QUEUE_H
#define CALL_STARTUP_QUEUE_H

#include "event/loop.h"
#include "http/server.h"

/**
 * DOC: startup queue
 *
 * Queues requests that arrive at a node that has just started and cannot route
 * them yet. After a power failure all nodes start at the same time, and callers
 * send requests before the first configuration is in force. A queued request is
 * routed again at intervals, for a part of the time until its deadline, instead
 * of being refused because of a delay of a few hundred milliseconds.
 */

/**
 * struct queued_request - one request in the queue
 * @startup_queue: the queue that holds the request
 */
struct queued_request {
	struct startup_queue *startup_queue;
	struct http_exchange *exchange;
	struct queued_request *next;
	struct queued_request *prev;
};

/**
 * struct startup_queue - the queued requests of one node
 * @retry: callback that routes a request again; may add it to the queue again
 * @data: passed to @retry
 * @startup_ends_us: monotonic time, in microseconds, from which on no request
 *	is queued
 * @timer: runs @retry for all queued requests
 */
struct startup_queue {
	struct loop *loop;
	http_handler_fn *retry;
	void *data;
	struct queued_request *requests;
	uint32_t count;
	int64_t startup_ends_us;
	struct timer timer;
};

/** startup_queue_init() - start to queue requests; call at node startup. */
void startup_queue_init(struct startup_queue *startup_queue, struct loop *loop,
			http_handler_fn *retry, void *data);

/** startup_queue_finish() - free the queued requests without an answer. */
void startup_queue_finish(struct startup_queue *startup_queue);

/**
 * startup_queue_add() - queue a request that cannot be routed yet
 * @deadline_us: monotonic deadline of the request in microseconds; 0 if the
 *	request has none
 *
 * Return: false if the request must be refused, because the startup of the node
 * has ended or the request has spent its time in the queue.
 */
bool startup_queue_add(struct startup_queue *startup_queue,
		       struct http_exchange *exchange, int64_t deadline_us);

#endif
