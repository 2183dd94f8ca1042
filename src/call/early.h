#ifndef CALL_EARLY_H
#define CALL_EARLY_H

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
 * struct early_request - one request
 * @early: where it is kept
 */
struct early_request {
	struct early *early;
	struct http_exchange *exchange;
	struct early_request *next;
	struct early_request *prev;
};

/**
 * struct early - requests kept by one node
 * @again: takes each of them once more
 * @until_us: the node counts as just started before
 */
struct early {
	struct loop *loop;
	http_handler_fn *again;
	void *data;
	struct early_request *requests;
	uint32_t count;
	int64_t until_us;
	struct timer timer;
};

/** early_init() - the node starts now. */
void early_init(struct early *early, struct loop *loop, http_handler_fn *again,
		void *data);

/** early_finish() - forget what is kept; nobody is answered. */
void early_finish(struct early *early);

/**
 * early_keep() - keep a request that cannot be routed yet
 * @deadline_us: when its caller gives up; 0 if that is not known
 *
 * Return: false if it has to be refused: the node has been here for long
 * enough, or what is left of the request's time is needed to serve it.
 */
bool early_keep(struct early *early, struct http_exchange *exchange,
		int64_t deadline_us);

#endif
