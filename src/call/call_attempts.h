#ifndef CALL_CALL_ATTEMPTS_H
#define CALL_CALL_ATTEMPTS_H

#include "call/call_defs.h"
#include "call/frames.h"
#include "route/retry.h"

/**
 * DOC: call attempts
 *
 * State machine of all attempts of one call on the caller's side. It decides
 * whether an attempt is queried, retried or given up, and which verdict the
 * caller gets. Decision core: takes events and the time, returns actions.
 *
 * The verdict on an attempt is "not run" only if no byte of the attempt has
 * left this node, or if the node beside the upstream reported the attempt as
 * not run. That node records the attempt as refused before it reports this.
 */

/** enum attempt_state - state of the current attempt. */
enum attempt_state {
	ATTEMPT_IDLE,	  /* no attempt yet, or the last one has ended */
	ATTEMPT_WAITING,  /* for the connection; no byte was sent */
	ATTEMPT_SENT,	  /* sent, the answer is outstanding */
	ATTEMPT_QUERYING, /* connection lost; a query is outstanding */
	ATTEMPT_ENDED,	  /* the call has its answer or verdict */
};

/** enum attempt_event_type - input of the state machine. */
enum attempt_event_type {
	ATTEMPT_EVENT_NO_ENDPOINT, /* no endpoint can take an attempt */
	ATTEMPT_EVENT_OPENED,	   /* the connection is open */
	ATTEMPT_EVENT_UNSENT,	   /* the link accepted no byte */
	ATTEMPT_EVENT_CLOSED,	   /* the connection was lost */
	ATTEMPT_EVENT_SILENT,	   /* no bytes arrive on the connection */
	ATTEMPT_EVENT_ANSWERED,	   /* the answer is complete */
	ATTEMPT_EVENT_REFUSED,
	ATTEMPT_EVENT_QUERY_RESULT, /* reply to a query */
	ATTEMPT_EVENT_DEADLINE,
	ATTEMPT_EVENT_GIVE_UP, /* the caller hung up, or the drain time ended */
};

/**
 * struct attempt_event - one event
 * @incarnation: incarnation of the peer, for ATTEMPT_EVENT_OPENED
 * @verdict: verdict on the attempt, for ATTEMPT_EVENT_REFUSED
 * @reason: why the attempt ended, for ATTEMPT_EVENT_REFUSED,
 *	ATTEMPT_EVENT_NO_ENDPOINT, ATTEMPT_EVENT_UNSENT and
 *	ATTEMPT_EVENT_GIVE_UP
 * @timed_out: the node did not answer in time, for ATTEMPT_EVENT_CLOSED; false
 *	if it refused or ended the connection
 * @is_final: no further attempt may be made, for ATTEMPT_EVENT_REFUSED
 * @query_result: state of the attempt at the queried node, for
 *	ATTEMPT_EVENT_QUERY_RESULT
 * @error: true if the answer reports a failure of the upstream, for
 *	ATTEMPT_EVENT_ANSWERED
 */
struct attempt_event {
	enum attempt_event_type type;
	uint64_t incarnation;
	enum verdict verdict;
	enum call_reason reason;
	bool timed_out;
	bool is_final;
	enum call_query_result query_result;
	bool error;
};

/** enum attempt_action_type - what the owner of the call has to do. */
enum attempt_action_type {
	ATTEMPT_NOTHING,
	ATTEMPT_SEND,	   /* send the request */
	ATTEMPT_QUERY,	   /* query the attempt on the open connection */
	ATTEMPT_RECONNECT, /* open another connection to the same node */
	ATTEMPT_TRY,	   /* choose an endpoint and begin another attempt */
	ATTEMPT_RESUME,	   /* reconnect to the unreachable attempt's node */
	ATTEMPT_REPLY,	   /* send the answer to the caller */
	ATTEMPT_FAIL,	   /* send the verdict and the reason to the caller */
};

/**
 * struct attempt_action - what the owner of the call has to do
 * @cancel: send a cancel for the attempt to the node beside the upstream
 * @delay_us: time in microseconds before the connection is opened, for
 *	ATTEMPT_RECONNECT
 * @is_current: the unreachable attempt is the current one, not an earlier one,
 *	for ATTEMPT_RESUME
 * @verdict: verdict on the whole call, for ATTEMPT_REPLY and ATTEMPT_FAIL
 * @reason: why the attempt or the call ended, for ATTEMPT_TRY,
 *	ATTEMPT_RESUME and ATTEMPT_FAIL
 */
struct attempt_action {
	enum attempt_action_type type;
	bool cancel;
	int64_t delay_us;
	bool is_current;
	enum verdict verdict;
	enum call_reason reason;
};

/**
 * struct call_attempts - state of all attempts of one call
 * @state: state of the current attempt
 * @repeatable: true if an attempt that may have run may be repeated
 * @ask_back: setting ask_back: query an attempt after its connection was lost
 * @chain: attempts that this call may still cause, here and downstream
 * @budget: retry budget of the service
 * @error_budget: additional budget for retries after an answer that reports a
 *	failure; NULL: such an answer goes to the caller at once
 * @deadline_us: deadline of the call, monotonic time in microseconds
 * @taken: attempts that the current attempt took from @chain
 * @attempt_count: attempts begun, including the current one
 * @earlier_verdict: joined verdict on all ended attempts
 * @last_verdict: verdict on the attempt that ended last
 * @error_seen: an earlier attempt was answered with a failure and retried
 * @may_have_left: a byte of the current attempt may have left this node
 * @incarnation: incarnation of the node that got the current attempt
 * @query_count: connections opened to query the current attempt, at most
 *	QUERIES_MAX; sets the delay before the next one
 * @refused_count: those of them that the node refused or ended
 * @unreachable: an earlier attempt may still run, but its node could not be
 *	queried
 * @unreachable_incarnation: incarnation of that node
 * @resumed: the current attempt is the unreachable attempt, resumed
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
	enum verdict last_verdict;
	bool error_seen;
	bool may_have_left;
	uint64_t incarnation;
	uint32_t query_count;
	uint32_t refused_count;
	bool unreachable;
	uint64_t unreachable_incarnation;
	bool resumed;
};

/**
 * struct attempt_options - fixed parameters of the attempts of one call
 * @repeatable: see struct call_attempts
 * @ask_back: see struct call_attempts
 * @attempts_max: most attempts that the kind of the call allows
 * @inherited_attempts: attempts that the calling request may still cause; 0 if
 *	the call is the head of a chain
 * @budget: retry budget of the service; must outlive the call
 * @error_budget: see struct call_attempts; must outlive the call
 * @deadline_us: deadline of the call, monotonic time in microseconds
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
 * call_attempts_begin() - begin an attempt after an endpoint was chosen
 *
 * Return: number of attempts that this attempt may cause, sent with the
 * request.
 */
uint32_t call_attempts_begin(struct call_attempts *call_attempts);

/** call_attempts_step() - process one event and return the next action. */
struct attempt_action call_attempts_step(struct call_attempts *call_attempts,
					 const struct attempt_event *event,
					 int64_t now_us);

#endif
