#ifndef CALL_CALLS_H
#define CALL_CALLS_H

#include "call/caller.h"
#include "call/serve.h"
#include "call/warm.h"

/**
 * DOC: calls
 *
 * Connects the inbound and the outbound side of one node: dispatches the call
 * frames of the hub, owns the pipe from the outbound side to the node's own
 * upstream, and runs the graceful shutdown.
 */

/* Time after the drain for peers and callers to read their last answers. */
enum { CALLS_DRAIN_FLUSH_MS = 500 };

/**
 * struct calls_options - options of both sides
 * @quarantine: see struct serve_options
 * @quota: see struct caller_options
 * @retries: see struct caller_options
 * @keep_rate_limit: see struct serve_options
 * @heed_leaving: see struct serve_options
 * @by_speed: see struct serve_options
 * @callers: HTTP server of the callers; a drain waits for its answers and then
 *	closes its connections; may be NULL
 * @form: interface towards callers and the upstream
 * @body_bytes_max: see struct serve_options
 * @silence_ms: milliseconds without an answer to a ping after which a
 *	connection is silent
 * @connect_timeout_ms: longest time in milliseconds to open a connection to a
 *	peer or to the upstream
 * @deadline_max_ms: longest deadline in milliseconds that a caller may set
 * @ask_back: setting ask_back: query an attempt after its connection was lost;
 *	without this the verdict is "may have run" at once
 * @outcome_max: most ended attempts remembered beside the upstream
 * @outcome_max_bytes: most bytes of the answers stored for ended attempts; at
 *	least two answers of the largest size are stored in any case
 * @warm_connections: see warm_init()
 * @callbacks: see struct serve_options
 * @drained: called once after calls_drain(), when no call is left
 * @data: argument of @on_peer_silent and @drained
 *
 * All other fields: see struct caller_options and struct serve_options.
 */
struct calls_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct router *router;
	struct gate *gate;
	struct http_client *client;
	struct quarantine_net *quarantine;
	struct quota_net *quota;
	struct retries_net *retries;
	bool keep_rate_limit;
	bool heed_leaving;
	bool by_speed;
	struct http_server *callers;
	enum interface_form form;
	const char *service;
	uint32_t calls_max;
	size_t held_bytes_max;
	size_t body_bytes_max;
	size_t answer_bytes_max;
	int64_t silence_ms;
	int64_t connect_timeout_ms;
	int64_t deadline_max_ms;
	bool ask_back;
	bool retry_errors;
	bool require_keys;
	bool seek_room;
	bool end_heads;
	uint32_t outcome_max;
	size_t outcome_max_bytes;
	uint32_t warm_connections;
	struct serve_callbacks callbacks;
	void (*on_peer_silent)(const struct record *record, void *data);
	void (*drained)(void *data);
	void *data;
};

struct calls {
	struct calls_options options;
	struct caller caller;
	struct server server;
	struct link_pipe to_server;
	struct warm warm;
	struct timer drain_check;
	int64_t drain_until_us;
	bool draining;
};

/** calls_defaults() - options with default limits; all else is zero. */
struct calls_options calls_defaults(void);

/** calls_init() - initialize and register for the hub's call frames. */
void calls_init(struct calls *calls, const struct calls_options *options);

/**
 * calls_finish() - free all calls without answering
 *
 * Must be called before the router, the gate, the HTTP client, the callers'
 * HTTP server and the hub are finished.
 */
void calls_finish(struct calls *calls);

/** calls_handle() - http_handler_fn for the callers' HTTP server. */
void calls_handle(struct http_exchange *exchange, void *data);

/**
 * calls_set_upstream() - set the upstream beside this node
 * @service: name of its service
 * @id: identifier of its incarnation; "" if the upstream has none
 * @start: see struct announcement
 * @address: address of its HTTP server; NULL without an upstream
 *
 * The owner opens and closes the gate, and calls calls_gate_changed() after
 * that.
 */
void calls_set_upstream(struct calls *calls, const char *service,
			const char *id, uint64_t start,
			const struct address *address);

/** calls_set_upstream_leaving() - the upstream leaves, or has left. A stop of
 * this node does not count. */
void calls_set_upstream_leaving(struct calls *calls, bool leaving);

/** calls_request_stats() - see serve_request_stats(). */
const struct request_stats *calls_request_stats(struct calls *calls);

/** calls_gate_changed() - process a change of the gate's state or limit. */
void calls_gate_changed(struct calls *calls);

/** calls_leave() - announce to peers that the own upstream is leaving. */
void calls_leave(struct calls *calls);

/**
 * calls_begin_leaving() - this node stops soon
 * @work_until_us: time at which remaining calls will be cancelled, in
 *	microseconds of the monotonic clock
 *
 * No request is taken that would have to be cancelled then. Calls in progress
 *are no longer ended for the sake of others: a planned stop cuts nothing.
 */
void calls_begin_leaving(struct calls *calls, int64_t work_until_us);

/**
 * calls_drain() - take no new work and let calls in progress complete
 * @drain_ms: milliseconds after which remaining calls are cancelled, each with
 *	its verdict
 */
void calls_drain(struct calls *calls, int64_t drain_ms);

/** calls_dump() - state of both sides as JSON; the receiver owns it. */
json_t *calls_dump(const struct calls *calls);

#endif
