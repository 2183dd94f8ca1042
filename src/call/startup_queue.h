#ifndef CALL_STARTUP_QUEUE_H
#define CALL_STARTUP_QUEUE_H

#include "event/loop.h"
#include "http/server.h"

/**
 * DOC: early
 *
 * Requests that come to a node that has just started and does not know yet
 * where they may go. After a power failure all nodes start at once; callers
 * are there before the first configuration is, and each refused request would
 * be lost for a wait of some hundred milliseconds. They are kept for a part of
 * their time and then handed in again, until they can be routed.
 */

/**
 * struct queued_request - one request
 * @startup_queue: where it is kept
 */
struct queued_request {
	struct startup_queue *startup_queue;
	struct http_exchange *exchange;
	struct queued_request *next;
	struct queued_request *prev;
};

/**
 * struct startup_queue - requests kept by one node
 * @retry: takes each of them once more
 * @startup_ends_us: the node counts as just started before
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

/** startup_queue_init() - the node starts now. */
void startup_queue_init(struct startup_queue *startup_queue, struct loop *loop,
			http_handler_fn *retry, void *data);

/** startup_queue_finish() - forget what is kept; nobody is answered. */
void startup_queue_finish(struct startup_queue *startup_queue);

/**
 * startup_queue_add() - keep a request that cannot be routed yet
 * @deadline_us: when its caller gives up; 0 if that is not known
 *
 * Return: false if it has to be refused: the node has been here for long
 * enough, or what is left of the request's time is needed to serve it.
 */
bool startup_queue_add(struct startup_queue *startup_queue,
		       struct http_exchange *exchange, int64_t deadline_us);

#endif
