#ifndef CALL_OUTBOUND_CALL_H
#define CALL_OUTBOUND_CALL_H

#include "base/buffer.h"
#include "call/caller.h"
#include "call/placement.h"
#include "call/parsed_request.h"
#include "call/trace.h"

/**
 * DOC: outbound call
 *
 * One call in progress on the outbound side. Private to the outbound side.
 */

/**
 * struct assembly - an answer that is being received
 * @begun: the head was received
 * @status: HTTP status
 * @service_us: microseconds that the upstream took
 * @error_rate: share of the upstream's recent answers that were 5xx
 * @body_size: bytes of the complete body
 * @load: load reported with the answer
 * @usable_share: see struct call_answer
 * @leaving_start: see struct call_answer
 * @speed: see struct call_answer
 * @headers: header fields received
 * @body: bytes of the body received so far
 *
 * Parts are placed by their offset in the body, so an answer that arrives
 * twice, over the old and over the new connection, is assembled once.
 */
struct assembly {
	bool begun;
	uint32_t status;
	uint32_t service_us;
	double error_rate;
	uint64_t body_size;
	double load;
	double usable_share;
	uint64_t leaving_start;
	struct speed_report speed;
	struct buffer headers;
	struct buffer body;
};

/**
 * struct call - one call
 * @exchange: exchange with the caller; NULL once the caller has its answer or
 *	has hung up
 * @call_attempts: state machine that decides the next action
 * @sequence: sequence of the current attempt
 * @parsed: the request as read from the exchange
 * @config: configuration in force when the call began; a held reference
 * @endpoint: endpoint of the current attempt, NULL between attempts
 * @peer: link of the current attempt, NULL without one
 * @started_us: when the call began
 * @attempt_began_us: when the current attempt began
 * @may_be_repeat: its caller may have sent the request before
 * @body: body of the request, owned by @exchange
 * @fingerprint: fingerprint of the content
 * @body_queued: bytes of @body queued in the current attempt
 * @answer: answer of the current attempt
 * @failure: last answer that reported a failure of the upstream; sent to the
 *	caller unless a later attempt brings a better answer
 * @failed_upstream: instance that sent @failure
 * @unreachable: the attempt that may still run but could not be queried, see
 *	struct call_attempts
 * @refusal: outcome of the last refused attempt
 * @quota: the wait for a token of its tenant
 * @has_token: the call has taken a token, or needs none
 * @placement: chooses the endpoints
 * @trace: the attempts as text, for the log
 * @deadline: timer of the deadline
 * @reconnect: timer before the next connection for a query
 * @bucket_next: next call in the same bucket of the caller's table
 */
struct call {
	struct caller *caller;
	struct http_exchange *exchange;
	struct call_attempts call_attempts;
	uint64_t sequence;
	struct parsed_request parsed;
	struct config *config;
	const struct kind *kind;
	struct route_match match;
	struct endpoint *endpoint;
	struct call_peer *peer;
	int64_t started_us;
	int64_t attempt_began_us;
	bool may_be_repeat;
	const uint8_t *body;
	size_t body_size;
	struct fingerprint fingerprint;
	size_t body_queued;
	struct placement placement;
	struct assembly answer;
	struct assembly failure;
	char failed_upstream[NAME_SIZE];
	struct {
		uint64_t sequence;
		struct endpoint *endpoint; /* referenced, or NULL */
	} unreachable;
	struct call_outcome refusal;
	struct quota_wait quota;
	bool has_token;
	struct trace trace;
	struct timer deadline;
	struct timer reconnect;
	struct call *bucket_next;
	struct call *next;
	struct call *prev;
	struct call *peer_next;
	struct call *peer_prev;
};

/** enum assembly_result - state of an answer after a frame was added. */
enum assembly_result {
	ASSEMBLY_INCOMPLETE,
	ASSEMBLY_COMPLETE,
	ASSEMBLY_IGNORED
};

enum assembly_result assembly_head(struct assembly *assembly,
				   const struct call_answer *answer);
enum assembly_result assembly_part(struct assembly *assembly,
				   const struct call_part *part);
void assembly_finish(struct assembly *assembly);

enum { CALL_TABLE_BUCKETS = 4096 };

/** call_begin_attempt() - choose an endpoint and send, or end the call. */
void call_begin_attempt(struct call *call);

/** call_reconnect_expired() - timer_fn; opens a connection for a query. */
void call_reconnect_expired(struct timer *timer, void *data);

/**
 * call_end_attempt() - end the current attempt
 * @result: what the attempt showed about the endpoint
 * @load: load reported by the node beside the upstream; -1: none
 * @verdict: verdict on this attempt alone
 * @end: stable name of how the attempt ended
 */
void call_end_attempt(struct call *call, enum endpoint_result result,
		      double load, enum verdict verdict, const char *end);

/** call_free() - free a call whose caller has its answer or is gone. */
void call_free(struct call *call);

/** call_tenant_name() - name of the tenant whose key the call has, or NULL. */
const char *call_tenant_name(const struct call *call);

/** call_count_end() - count a call that ended without an answer. */
void call_count_end(enum verdict verdict);

/** call_step_reason() - process an event that carries only a reason. */
void call_step_reason(struct call *call, enum attempt_event_type type,
		      enum call_reason reason);

/** call_step() - process an event of the current attempt. */
void call_step(struct call *call, const struct attempt_event *event);

/** outbound_attach() - attach a call to the link to its endpoint's node. */
void outbound_attach(struct call *call);

/** outbound_detach() - detach a call from its link. */
void outbound_detach(struct call *call);

/** outbound_send() - send the request; false if no byte has left. */
bool outbound_send(struct call *call);

/** outbound_query() - query the state of the current attempt. */
void outbound_query(struct call *call);

/** outbound_cancel() - cancel the current attempt for @reason. */
void outbound_cancel(struct call *call, enum call_reason reason);

/** outbound_finish() - free all links. */
void outbound_finish(struct caller *caller);

void outbound_init(struct caller *caller);

#endif
