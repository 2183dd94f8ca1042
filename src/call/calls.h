#ifndef CALL_CALLS_H
#define CALL_CALLS_H

#include "call/call.h"
#include "call/serve.h"
#include "call/warm.h"

/**
 * DOC: calls
 *
 * Both sides of calls in one node, joined: the frames of the hub's range,
 * the pipe between the own caller's side and the own upstream, and the
 * graceful stop.
 */

/* After the drain time, for peers and callers to read what they are told. */
enum { CALLS_DRAIN_FLUSH_MS = 500 };

/**
 * struct calls_options - see struct caller_options and struct serve_options
 * @form: of the interface towards callers and the upstream
 * @service: see struct caller_options
 * @connect_timeout_ms: for a new connection to a peer or to the upstream
 * @deadline_max_ms: longest deadline that a caller may ask for
 * @ask_back: ask about a request whose connection was lost; without it its
 *	verdict is "may have run", which is the baseline of measurements
 * @seek_room: see struct caller_options
 * @retry_errors: make repeatable requests again after an answer of 5xx
 * @outcome_max: ended attempts remembered beside the upstream
 * @outcome_max_bytes: of the answers kept for them; at least two of the
 *	largest are kept whatever this says
 * @callers: the callers' HTTP server, whose answers a drain waits for and
 *	whose connections it ends with them; may be NULL
 * @warm_connections: see warm_init()
 * @callbacks: see struct serve_options
 * @on_peer_silent: see struct caller_options
 * @drained: called once after calls_drain(), when nothing is left
 */
struct calls_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct router *router;
	struct gate *gate;
	struct http_client *client;
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
	bool seek_room;
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

/** calls_defaults() - options with the usual limits; the rest is zero. */
struct calls_options calls_defaults(void);

/** calls_init() - takes the hub's range of call frames. */
void calls_init(struct calls *calls, const struct calls_options *options);

/**
 * calls_finish() - drop everything at once
 *
 * To be called before the router, the gate, the HTTP client, the callers'
 * HTTP server and the hub are finished.
 */
void calls_finish(struct calls *calls);

/** calls_handle() - an http_handler_fn for the callers' HTTP server. */
void calls_handle(struct http_exchange *exchange, void *data);

/**
 * calls_set_upstream() - the upstream beside this node has announced itself
 * @id: of its present start; "" if it has none
 * @address: where it takes HTTP; NULL while there is none
 *
 * The gate is opened and closed by the owner, who calls
 * calls_gate_changed() after that.
 */
void calls_set_upstream(struct calls *calls, const char *service,
			const char *id, const struct address *address);

/** calls_request_stats() - see serve_request_stats(). */
const struct request_stats *calls_request_stats(struct calls *calls);

/** calls_gate_changed() - the gate's state or limit was changed. */
void calls_gate_changed(struct calls *calls);

/** calls_leave() - the own upstream leaves: tell peers on their connections. */
void calls_leave(struct calls *calls);

/**
 * calls_drain() - take no new work, let what is in progress end whole
 * @drain_ms: after so long what remains is cancelled with its verdict
 */
void calls_drain(struct calls *calls, int64_t drain_ms);

/** calls_dump() - the state of both sides as JSON, owned by the caller. */
json_t *calls_dump(const struct calls *calls);

#endif
