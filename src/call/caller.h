#ifndef CALL_CALLER_H
#define CALL_CALLER_H

#include <jansson.h>

#include "call/call_attempts.h"
#include "call/due_time.h"
#include "call/startup_queue.h"
#include "call/link.h"
#include "call/adaptive_timeout.h"
#include "call/repeat_guess.h"
#include "http/server.h"
#include "quarantine/net.h"
#include "quota/net.h"
#include "retries/net.h"
#include "route/route.h"

/**
 * DOC: caller
 *
 * The outbound side of calls, beside the caller: takes HTTP requests, chooses
 * an upstream, sends the request to the node beside the upstream, and answers
 * the caller with the complete answer or with a verdict. call_attempts.h
 * decides the next action; this module performs the action.
 *
 * struct caller is this outbound side of the node; "the caller" in comments is
 * the program that sends its requests to the node.
 */

struct call;

/**
 * struct caller_options - environment and limits of the outbound side
 * @loop: event loop; must outlive the caller, like all pointers here
 * @hub: connections to other nodes
 * @router: chooses endpoints
 * @names: names of the header fields towards callers
 * @quarantine: findings on requests that crash upstreams; may be NULL
 * @quota: limits of tenants; may be NULL
 * @retries: shared retry budgets; may be NULL
 * @service: service of this node's upstream, sent to upstreams that ask for the
 *	calling service
 * @calls_max: most calls in progress
 * @held_bytes_max: most bytes of request and answer bodies held in all calls
 * @answer_bytes_max: most bytes of one answer body
 * @ping_us: microseconds without received bytes after which a connection with
 *	calls outstanding is pinged
 * @silence_us: microseconds without an answer to a ping after which a
 *	connection is silent
 * @connect_timeout_us: longest time in microseconds to open a connection; the
 *	adaptive timeout may be shorter
 * @deadline_max_us: longest deadline in microseconds that a caller may set
 * @ask_back: setting ask_back: query an attempt after its connection was lost
 * @retry_errors: retry idempotent requests after an answer of 5xx
 * @require_keys: setting require_keys: refuse requests without a key of a
 *tenant where the configuration asks for one; without this they have no tenant
 * @seek_room: setting seek_room: search a gate with a free slot first
 * @end_heads: setting end_heads: end a request that delays answers of more
 *	value on its connection
 * @retire_us: microseconds that a silent connection is kept for late answers
 * @on_peer_silent: called when the node of @record does not answer, or accepts
 *	no connection; may be NULL
 * @data: argument of @on_peer_silent
 */
struct caller_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct router *router;
	const struct call_names *names;
	struct quarantine_net *quarantine;
	struct quota_net *quota;
	struct retries_net *retries;
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
	bool require_keys;
	bool seek_room;
	bool end_heads;
	int64_t retire_us;
	void (*on_peer_silent)(const struct record *record, void *data);
	void *data;
};

/**
 * struct call_peer - a link that calls are sent on
 * @link: connection to the node beside the upstream, or the local pipe
 * @calls: calls that use the link, linked by peer_next
 * @since_us: when the connection was begun, or when it was retired
 * @remote: the node is in another data centre
 * @retired: the connection is silent and was replaced by another one
 */
struct call_peer {
	struct link link;
	struct call *calls;
	int64_t since_us;
	bool remote;
	bool retired;
	struct call_peer *next;
	struct call_peer *prev;
};

/**
 * struct caller - the outbound side of one node
 * @sequence: sequence of the last attempt begun
 * @table: hash table of calls by the sequence of the current attempt
 * @calls: all calls in progress
 * @upstream_ip: IP address of the upstream beside this node, with port 0; all
 *	zero without one
 * @held_bytes: bytes of request and answer bodies held
 * @peers: links to other nodes
 * @local: pipe to this node's own upstream
 * @connect_timeout: adaptive timeout for nodes in the own data centre
 * @connect_timeout_remote: adaptive timeout for nodes in other data centres
 * @due_times: deadlines that callers set, for the due times of retries
 * @startup_queue: requests that cannot be routed yet, just after the start
 * @repeat_guess: guesses which requests callers have sent before
 * @head_budget: limits the calls that are ended with the setting end_heads
 * @tick: timer of the link checks
 * @tick_due_us: when @tick should expire
 * @push: timer for queueing further parts of request bodies
 * @stopping_us: time at which this node was asked to stop; 0 before
 * @work_until_us: time at which the calls in progress of a stopping node are
 *	cancelled; 0 before the stop
 * @nested_until_us: time until which the upstream beside this node may run a
 *	request, and make calls for it; 0 if it runs none; set while draining
 * @draining: only requests of work already in progress are taken
 * @drained: no requests are taken
 */
struct caller {
	struct caller_options options;
	struct fingerprint_key fingerprint_key;
	uint64_t sequence;
	struct call **table;
	struct call *calls;
	uint32_t call_count;
	struct address upstream_ip;
	size_t held_bytes;
	struct call_peer *peers;
	struct call_peer local;
	struct adaptive_timeout connect_timeout;
	struct adaptive_timeout connect_timeout_remote;
	struct due_times due_times;
	struct startup_queue startup_queue;
	struct encoder encoder;
	struct repeat_guess repeat_guess;
	struct retry_budget head_budget;
	struct timer tick;
	int64_t tick_due_us;
	struct timer push;
	int64_t stopping_us;
	int64_t work_until_us;
	int64_t nested_until_us;
	bool draining;
	bool drained;
};

/**
 * caller_init() - initialize; calls are taken from now on
 * @to_server: pipe to the inbound side of this node
 */
void caller_init(struct caller *caller, const struct caller_options *options,
		 struct link_pipe *to_server);

/**
 * caller_set_upstream() - sets the upstream beside this node
 * @address: NULL without one
 */
void caller_set_upstream(struct caller *caller, const struct address *address);

/** caller_finish() - free all calls without answering their callers. */
void caller_finish(struct caller *caller);

/** caller_handle() - take a request of a caller; an http_handler_fn. */
void caller_handle(struct http_exchange *exchange, void *data);

/** caller_frame() - handle a frame of a node beside an upstream. */
void caller_frame(struct caller *caller, const struct call_frame *frame);

/** caller_leaving() - mark the upstream @instance as taking no new work. */
void caller_leaving(struct caller *caller, const char *instance);

/** caller_conn_state() - handle a dialed connection opening or closing. */
void caller_conn_state(struct caller *caller, struct wire_conn *conn);

/** caller_cancel_all() - end all calls with their verdicts. */
void caller_cancel_all(struct caller *caller);

/** caller_dump() - state as JSON; the receiver owns the reference. */
json_t *caller_dump(const struct caller *caller, int64_t now_us);

#endif
