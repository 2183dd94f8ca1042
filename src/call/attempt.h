#ifndef CALL_ATTEMPT_H
#define CALL_ATTEMPT_H

#include "call/call_defs.h"
#include "call/frames.h"
#include "route/retry.h"

/**
 * DOC: attempt
 *
 * The caller's side of one call: its tries one after another, what became of
 * each and what is to be done next. It alone decides which verdict a caller
 * is told. Decision core: events and the time come in, actions come out.
 *
 * A try is told "not run" only if no byte of it has left this node, or if
 * the node beside the upstream said so, which records it as refused first.
 */

/** enum attempt_state - where the present try is. */
enum attempt_state {
	ATTEMPT_IDLE,	  /* none yet, or the last one has ended */
	ATTEMPT_WAITING,  /* for its connection; nothing has left */
	ATTEMPT_SENT,	  /* on its way, an answer is expected */
	ATTEMPT_QUERYING, /* its connection was lost; it is asked about */
	ATTEMPT_ENDED,	  /* the caller has its answer */
};

/** enum attempt_event_type - what has happened. */
enum attempt_event_type {
	ATTEMPT_EVENT_NO_ENDPOINT, /* none can take a try now */
	ATTEMPT_EVENT_OPENED,	   /* the connection is open; goes out now */
	ATTEMPT_EVENT_UNSENT,	   /* the link took nothing of it */
	ATTEMPT_EVENT_CLOSED,	   /* the connection was lost */
	ATTEMPT_EVENT_SILENT,	   /* nothing comes on the connection */
	ATTEMPT_EVENT_ANSWERED,	   /* the whole answer is here */
	ATTEMPT_EVENT_REFUSED,
	ATTEMPT_EVENT_QUERY_RESULT, /* an answer to what was asked */
	ATTEMPT_EVENT_DEADLINE,
	ATTEMPT_EVENT_GIVE_UP, /* the caller hung up, or the drain ended */
};

/**
 * struct attempt_event - one event
 * @incarnation: of the peer, for ATTEMPT_EVENT_OPENED
 * @verdict: for ATTEMPT_EVENT_REFUSED
 * @reason: for ATTEMPT_EVENT_REFUSED, ATTEMPT_EVENT_NO_ENDPOINT,
 *	ATTEMPT_EVENT_UNSENT and ATTEMPT_EVENT_GIVE_UP
 * @query_result: for ATTEMPT_EVENT_QUERY_RESULT
 * @error: for ATTEMPT_EVENT_ANSWERED: the answer tells of a failure there
 */
struct attempt_event {
	enum attempt_event_type type;
	uint64_t incarnation;
	enum verdict verdict;
	enum call_reason reason;
	enum call_query_result query_result;
	bool error;
};

/** enum attempt_action_type - what is to be done. */
enum attempt_action_type {
	ATTEMPT_NOTHING,
	ATTEMPT_SEND,	   /* the request goes out now */
	ATTEMPT_QUERY,	   /* ask about it on the connection now open */
	ATTEMPT_RECONNECT, /* open another connection to the same node */
	ATTEMPT_TRY,	   /* choose an endpoint and begin the next try */
	ATTEMPT_RESUME,	   /* open a connection to the node of the lost try */
	ATTEMPT_REPLY,	   /* hand the whole answer to the caller */
	ATTEMPT_FAIL,	   /* tell the caller verdict and reason */
};

/**
 * struct attempt_action - what is to be done
 * @cancel: tell the node beside the upstream that the try is given up
 * @delay_us: for ATTEMPT_RECONNECT, how long to wait before
 */
struct attempt_action {
	enum attempt_action_type type;
	bool cancel;
	int64_t delay_us;
	enum verdict verdict;
	enum call_reason reason;
};

/**
 * struct call_attempts - one call
 * @repeatable: whether a try that may have run may be made again
 * @ask_back: whether a try is asked about whose connection was lost
 * @error_budget: of tries after an answer that told of a failure, on top of
 *	@budget; NULL: such an answer is handed on at once
 * @chain: tries that this call may still cause
 * @taken: what the present try took of @chain
 * @attempt_count: begun so far
 * @earlier_verdict: verdict on all tries that have ended
 * @error_seen: one of them was answered with a failure and made again
 * @may_have_left: whether a byte of the present try may have left
 * @incarnation: of the node that the present try was sent to
 * @query_count: connections opened to ask about the present try
 * @unreachable: a try that may still run was left because its node could not be
 *asked
 * @unreachable_incarnation: of that node
 * @resumed: the present try is that one again
 */
struct call_attempts {
	enum attempt_state state;
	bool repeatable;
	bool ask_back;
	struct retry_chain chain;
	struct retry_budget *budget;
	struct retry_budget *error_budget;
	int64_t deadline_us;
	uint32_t taken;
	uint32_t attempt_count;
	enum verdict earlier_verdict;
	bool error_seen;
	bool may_have_left;
	uint64_t incarnation;
	uint32_t query_count;
	bool unreachable;
	uint64_t unreachable_incarnation;
	bool resumed;
};

/**
 * struct attempt_options - the terms of a call
 * @attempts_max: of its kind
 * @inherited_attempts: tries that an inherited call may cause, 0 if it carries
 * none
 * @budget: of the service; must outlive the call, as must @error_budget
 */
struct attempt_options {
	bool repeatable;
	bool ask_back;
	int64_t attempts_max;
	uint32_t inherited_attempts;
	struct retry_budget *budget;
	struct retry_budget *error_budget;
	int64_t deadline_us;
};

void call_attempts_init(struct call_attempts *call_attempts,
			const struct attempt_options *options);

/**
 * call_attempts_begin() - an endpoint was chosen, a try begins
 *
 * Return: tries that it may cause, to be sent along.
 */
uint32_t call_attempts_begin(struct call_attempts *call_attempts);

/** call_attempts_step() - something has happened; what is to be done? */
struct attempt_action call_attempts_step(struct call_attempts *call_attempts,
					 const struct attempt_event *event,
					 int64_t now_us);

#endif
