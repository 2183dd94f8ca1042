#ifndef CALL_CALL_H
#define CALL_CALL_H

#include <jansson.h>

#include "call/attempt.h"
#include "call/startup_queue.h"
#include "call/link.h"
#include "call/patience.h"
#include "http/server.h"
#include "route/route.h"

/**
 * DOC: call
 *
 * The side of a call beside the caller: takes HTTP requests, chooses an
 * upstream, sends the request to the node beside it and answers the caller
 * with the whole answer or with a verdict. What is to be done next is
 * decided by attempt.h; this does it.
 */

struct call;

/**
 * struct caller_options - what a caller's side works with; all outlives it
 * @names: of the fields towards callers
 * @service: beside this node, told to upstreams that ask for it
 * @calls_max: calls in progress
 * @held_bytes_max: bodies of requests and answers held here, all together
 * @answer_bytes_max: of one answer
 * @ping_us: after so long without bytes a busy connection is pinged
 * @silence_us: without an answer to a ping a connection counts as silent
 * @connect_timeout_us: after so long a connection is given up, sooner where
 *	they have opened faster
 * @deadline_max_us: longest deadline that a caller may ask for
 * @ask_back: ask about a request whose connection was lost
 * @retry_errors: make repeatable requests again after an answer of 5xx
 * @seek_room: ask a few gates for a free slot before waiting at one
 * @retire_us: how long a silent connection is kept for late answers
 * @on_peer_silent: the node of @record does not answer, or takes no connection;
 *may be NULL
 */
struct caller_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct router *router;
	const struct call_names *names;
	const char *service;
	uint32_t calls_max;
	size_t held_bytes_max;
	size_t answer_bytes_max;
	int64_t ping_us;
	int64_t silence_us;
	int64_t connect_timeout_us;
	int64_t deadline_max_us;
	bool ask_back;
	bool retry_errors;
	bool seek_room;
	int64_t retire_us;
	void (*on_peer_silent)(const struct record *record, void *data);
	void *data;
};

/**
 * struct call_peer - one link that calls go out on
 * @since_us: when it was opened, or given up
 * @remote: in another data centre
 * @retired: silent; another connection has taken its place
 */
struct call_peer {
	struct link link;
	struct call *calls; /* by their peer_next */
	int64_t since_us;
	bool remote;
	bool retired;
	struct call_peer *next;
	struct call_peer *prev;
};

struct caller {
	struct caller_options options;
	uint64_t sequence;
	struct call **table; /* by sequence of the present try */
	struct call *calls;
	uint32_t call_count;
	size_t held_bytes;
	struct call_peer *peers;
	struct call_peer local;
	struct adaptive_timeout
		connect_timeout; /* of connections in the data centre */
	struct adaptive_timeout connect_timeout_remote; /* and to others */
	struct startup_queue startup_queue;
	struct encoder encoder;
	struct timer tick;
	int64_t tick_due_us;
	struct timer push;
	bool draining; /* takes only what work in progress calls for */
	bool drained;  /* takes nothing */
};

/**
 * caller_init() - take calls
 * @to_server: the way to this node's own upstream
 */
void caller_init(struct caller *caller, const struct caller_options *options,
		 struct link_pipe *to_server);

/** caller_finish() - drop everything; callers get no answer any more. */
void caller_finish(struct caller *caller);

/** caller_handle() - a request has come; an http_handler_fn. */
void caller_handle(struct http_exchange *exchange, void *data);

/** caller_frame() - a frame has come from a node beside an upstream. */
void caller_frame(struct caller *caller, const struct call_frame *frame);

/** caller_leaving() - the upstream beside that peer takes no new work. */
void caller_leaving(struct caller *caller, const char *instance);

/** caller_conn_state() - a dialed connection opened or closed. */
void caller_conn_state(struct caller *caller, struct wire_conn *conn);

/** caller_cancel_all() - answer what is left with its verdict. */
void caller_cancel_all(struct caller *caller);

/** caller_dump() - the state as JSON, owned by the caller. */
json_t *caller_dump(const struct caller *caller, int64_t now_us);

#endif
