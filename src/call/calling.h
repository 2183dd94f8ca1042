#ifndef CALL_CALLING_H
#define CALL_CALLING_H

#include "base/buffer.h"
#include "call/call.h"
#include "call/placement.h"
#include "call/parsed_request.h"
#include "call/trace.h"

/**
 * DOC: calling
 *
 * One call in progress beside its caller. Private to the caller's side.
 */

/**
 * struct assembly - an answer as it comes in
 *
 * Parts are taken by their place in the body, so that an answer which comes
 * twice, over the old connection and over the new one, is put together once.
 */
struct assembly {
	bool begun;
	uint32_t status;
	uint32_t service_us;
	double error_rate;
	uint64_t body_size;
	double load;
	struct buffer headers;
	struct buffer body;
};

/**
 * struct call - one call
 * @exchange: NULL once the caller has its answer or has hung up
 * @sequence: of the present try
 * @config: the version that it began with
 * @endpoint: of the present try, NULL between tries
 * @began_us: when the present try began
 * @pushed: bytes of the body that were queued in the present try
 * @failure: the last answer by which an upstream told of a failure of its own;
 *	handed on unless a later try brings a better one
 * @failed_upstream: whose that was
 * @unreachable: the try that is left while it may still run, see struct
 *call_attempts
 * @placement: where its tries go
 * @trace: what they met, for the log
 * @reconnect: runs before the next connection is opened to ask
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
	int64_t began_us;
	const uint8_t *body;
	size_t body_size;
	size_t pushed;
	struct placement placement;
	struct assembly answer;
	struct assembly failure;
	char failed_upstream[NAME_SIZE];
	struct {
		uint64_t sequence;
		char instance[NAME_SIZE];
	} unreachable;
	struct call_outcome refusal; /* of the last try */
	struct trace trace;
	struct timer deadline;
	struct timer reconnect;
	struct call *chain;
	struct call *next;
	struct call *prev;
	struct call *peer_next;
	struct call *peer_prev;
};

/** enum assembly_result - what became of a part. */
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

/** call_reconnect_expired() - a timer_fn: open a connection to ask on. */
void call_reconnect_expired(struct timer *timer, void *data);

/**
 * call_end_attempt() - the present try has ended and taught this
 * @end: how, by a stable name
 */
void call_end_attempt(struct call *call, enum endpoint_result result,
		      double load, const char *end);

/** call_free() - forget a call whose caller has its answer or is gone. */
void call_free(struct call *call);

/** call_count_end() - a caller was told this, without an answer. */
void call_count_end(enum verdict verdict);

/** call_step_reason() - an event that needs no more than a reason. */
void call_step_reason(struct call *call, enum attempt_event_type type,
		      enum call_reason reason);

/** call_step() - an event of the present try. */
void call_step(struct call *call, const struct attempt_event *event);

/** outbound_attach() - take the link to the present endpoint's node. */
void outbound_attach(struct call *call);

/** outbound_detach() - the present try needs its link no more. */
void outbound_detach(struct call *call);

/** outbound_send() - send the request; false if nothing of it has left. */
bool outbound_send(struct call *call);

/** outbound_query() - ask what became of the request. */
void outbound_query(struct call *call);

/** outbound_cancel() - tell that the request is given up, and why. */
void outbound_cancel(struct call *call, enum call_reason reason);

/** outbound_finish() - let go of all links. */
void outbound_finish(struct caller *caller);

void outbound_init(struct caller *caller);

#endif
