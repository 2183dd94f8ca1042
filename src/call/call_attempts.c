#include "call/call_attempts.h"

#include <assert.h>
#include <string.h>

enum {
	/* A node that refuses this many connections is gone. */
	QUERIES_MAX = 4,
	QUERIES_MAX_RETRYABLE = 1,
	QUERIES_MAX_RESUMED = 2,
	QUERY_DELAY_US = 20 * 1000,
	/* With less time left, an attempt cannot be answered: round trip and
	 * service take longer. Such an attempt would only turn a proven "not
	 * run" into "may have run". Must not be less than the time that the
	 * node beside the upstream reserves for reporting "not run". */
	ATTEMPT_TIME_MIN_US = 5 * 1000,
};

static const struct attempt_action nothing = { .type = ATTEMPT_NOTHING };

void call_attempts_init(struct call_attempts *call_attempts,
			const struct attempt_options *options)
{
	memset(call_attempts, 0, sizeof(*call_attempts));
	call_attempts->repeatable = options->repeatable;
	call_attempts->ask_back = options->ask_back;
	call_attempts->budget = options->budget;
	call_attempts->error_budget = options->error_budget;
	call_attempts->deadline_us = options->deadline_us;
	call_attempts->earlier_verdict = VERDICT_NOT_RUN;
	retry_chain_init(&call_attempts->chain, options->attempts_max,
			 options->inherited_attempts);
	retry_budget_deposit(call_attempts->budget);
	if (call_attempts->error_budget)
		retry_budget_deposit(call_attempts->error_budget);
}

uint32_t call_attempts_begin(struct call_attempts *call_attempts)
{
	assert(call_attempts->state == ATTEMPT_IDLE);
	call_attempts->state = ATTEMPT_WAITING;
	call_attempts->may_have_left = false;
	call_attempts->incarnation = 0;
	call_attempts->query_count = 0;
	call_attempts->refused_count = 0;
	call_attempts->resumed = false;
	call_attempts->attempt_count++;
	call_attempts->taken = retry_chain_take(&call_attempts->chain);
	return call_attempts->taken;
}

static struct attempt_action end(struct call_attempts *call_attempts,
				 enum attempt_action_type type,
				 enum verdict verdict, enum call_reason reason)
{
	struct attempt_action action = { .type = type,
					 .verdict = verdict,
					 .reason = reason };

	call_attempts->state = ATTEMPT_ENDED;
	return action;
}

/* Returns the verdict on the call if the current attempt is aborted now. */
static enum verdict verdict_now(const struct call_attempts *call_attempts)
{
	if (call_attempts->state == ATTEMPT_IDLE ||
	    !call_attempts->may_have_left)
		return call_attempts->earlier_verdict;
	return verdict_join(call_attempts->earlier_verdict,
			    VERDICT_MAY_HAVE_RUN);
}

/*
 * Returns true if no upstream has seen the attempt: the attempt provably got
 * lost on the way or was refused by the gate. One silent connection fails all
 * of its attempts at once. If each retry took a token, most of these calls
 * would fail for lack of tokens, although retry tokens only protect upstreams.
 */
static bool costs_no_token(enum verdict verdict, enum call_reason reason)
{
	if (verdict != VERDICT_NOT_RUN)
		return false;
	switch (reason) {
	case CALL_NEVER_SEEN:
	case CALL_PEER_LOST:
	case CALL_WRONG_SERVICE:
	case CALL_GATE_CLOSED:
	case CALL_GATE_LEAVING:
	case CALL_GATE_FULL:
	case CALL_GATE_LATE:
	case CALL_GATE_SHARE:
	case CALL_GATE_BUSY:
		return true;
	default:
		return false;
	}
}

static bool may_retry(struct call_attempts *call_attempts, bool needs_no_token,
		      int64_t now_us)
{
	const struct retry_request request = {
		.verdict = call_attempts->earlier_verdict,
		.repeatable = call_attempts->repeatable,
		.attempts_left = call_attempts->chain.remaining_attempts,
		.deadline_us = call_attempts->deadline_us,
		.now_us = now_us,
	};
	struct retry_budget unspent = { .tokens = 1, .tokens_max = 1 };

	return (call_attempts->earlier_verdict != VERDICT_RAN ||
		call_attempts->error_seen) &&
	       call_attempts->attempt_count < CALL_ATTEMPTS_MAX &&
	       call_attempts->deadline_us - now_us > ATTEMPT_TIME_MIN_US &&
	       retry_decide(needs_no_token ? &unspent : call_attempts->budget,
			    &request) == RETRY_AGAIN;
}

/*
 * Ends the call, because no further attempt is possible, or resumes an earlier
 * attempt. The node of an unreachable attempt may only have been paused, with
 * its upstream still running the request: while time is left, an answer is
 * better for the caller than "may have run".
 */
static struct attempt_action
give_up_or_resume(struct call_attempts *call_attempts, enum call_reason reason,
		  int64_t now_us)
{
	const struct attempt_action resume = {
		.type = ATTEMPT_RESUME,
		.reason = reason,
		.is_current = call_attempts->incarnation ==
			      call_attempts->unreachable_incarnation,
	};

	if (!call_attempts->unreachable ||
	    call_attempts->deadline_us - now_us <= ATTEMPT_TIME_MIN_US)
		return end(call_attempts, ATTEMPT_FAIL,
			   call_attempts->earlier_verdict, reason);
	call_attempts->unreachable = false;
	call_attempts->resumed = true;
	call_attempts->state = ATTEMPT_QUERYING;
	call_attempts->may_have_left = true;
	call_attempts->incarnation = call_attempts->unreachable_incarnation;
	call_attempts->query_count = 1;
	call_attempts->refused_count = 0;
	return resume;
}

/* Handles the end of the current attempt without an answer. */
static struct attempt_action attempt_ended(struct call_attempts *call_attempts,
					   enum verdict verdict,
					   enum call_reason reason,
					   int64_t now_us)
{
	const struct attempt_action again = { .type = ATTEMPT_TRY,
					      .reason = reason };

	call_attempts->state = ATTEMPT_IDLE;
	call_attempts->last_verdict = verdict;
	call_attempts->earlier_verdict =
		verdict_join(call_attempts->earlier_verdict, verdict);
	if (verdict == VERDICT_NOT_RUN && call_attempts->taken)
		retry_chain_return(&call_attempts->chain,
				   costs_no_token(verdict, reason)
					   ? call_attempts->taken
					   : call_attempts->taken - 1);
	call_attempts->taken = 0;
	if (may_retry(call_attempts, costs_no_token(verdict, reason), now_us))
		return again;
	return give_up_or_resume(call_attempts, reason, now_us);
}

/*
 * Returns true if a request may be retried after an answer with an error, and
 * takes a token of both budgets. A faulty upstream answers with errors quickly
 * while other upstreams of the service answer well. Such retries have an
 * additional budget of their own: they repeat all downstream calls of the first
 * run, and gain nothing when every upstream of the service fails.
 */
static bool may_retry_after_error(struct call_attempts *call_attempts,
				  int64_t now_us)
{
	struct retry_budget *budget = call_attempts->error_budget;

	if (!call_attempts->repeatable || !budget)
		return false;
	/* A shared budget is asked once; its counts need no token back. */
	if (budget->is_shared)
		return retry_budget_take(budget) &&
		       may_retry(call_attempts, false, now_us);
	if (budget->tokens < 1 || !may_retry(call_attempts, false, now_us))
		return false;
	return retry_budget_take(budget);
}

static struct attempt_action answered(struct call_attempts *call_attempts,
				      bool error, int64_t now_us)
{
	const struct attempt_action again = { .type = ATTEMPT_TRY,
					      .reason = CALL_UPSTREAM_ERROR };

	call_attempts->last_verdict = VERDICT_RAN;
	if (!error || !may_retry_after_error(call_attempts, now_us))
		return end(call_attempts, ATTEMPT_REPLY, VERDICT_RAN,
			   CALL_REASON_NONE);
	call_attempts->state = ATTEMPT_IDLE;
	call_attempts->earlier_verdict = VERDICT_RAN;
	call_attempts->error_seen = true;
	call_attempts->taken = 0;
	return again;
}

static struct attempt_action reconnect(struct call_attempts *call_attempts)
{
	struct attempt_action action = { .type = ATTEMPT_RECONNECT };

	/* The first connection is opened at once. A node that refuses this
	 * connection may be restarting, so the delay doubles with each
	 * query. */
	if (call_attempts->query_count)
		action.delay_us = (int64_t)QUERY_DELAY_US
				  << call_attempts->query_count;
	call_attempts->state = ATTEMPT_QUERYING;
	if (call_attempts->query_count < QUERIES_MAX)
		call_attempts->query_count++;
	return action;
}

static struct attempt_action opened(struct call_attempts *call_attempts,
				    uint64_t incarnation, int64_t now_us)
{
	struct attempt_action action = { .type = ATTEMPT_SEND };

	if (call_attempts->state == ATTEMPT_WAITING) {
		call_attempts->state = ATTEMPT_SENT;
		call_attempts->may_have_left = true;
		call_attempts->incarnation = incarnation;
		return action;
	}
	/* A late result of an earlier query may have come while the connection
	 * was being opened. */
	if (call_attempts->state != ATTEMPT_QUERYING &&
	    call_attempts->state != ATTEMPT_SENT)
		return nothing;
	/* A restarted process has no record of the attempts of its previous
	 * incarnation: whether the request ran cannot be known. */
	if (call_attempts->incarnation != incarnation)
		return attempt_ended(call_attempts, VERDICT_MAY_HAVE_RUN,
				     CALL_PEER_LOST, now_us);
	action.type = ATTEMPT_QUERY;
	return action;
}

static bool may_try_elsewhere(const struct call_attempts *call_attempts)
{
	return !call_attempts->resumed && call_attempts->repeatable &&
	       call_attempts->chain.remaining_attempts &&
	       retry_budget_is_open(call_attempts->budget);
}

/* Returns how many queries of the current attempt the node may refuse. An
 * idempotent request with an attempt and a token left is retried at another
 * endpoint soon. For any other request only the queried node can tell whether
 * the request ran. */
static uint32_t queries_max(const struct call_attempts *call_attempts)
{
	if (call_attempts->resumed)
		return QUERIES_MAX_RESUMED;
	return may_try_elsewhere(call_attempts) ? QUERIES_MAX_RETRYABLE
						: QUERIES_MAX;
}

/* Returns true if the current attempt is queried once more. A node that does
 * not answer may be paused while its upstream runs the request: without another
 * attempt, the answer can only come from that node, until the deadline. */
static bool queries_again(struct call_attempts *call_attempts, bool timed_out)
{
	if (timed_out)
		return !may_try_elsewhere(call_attempts);
	return ++call_attempts->refused_count < queries_max(call_attempts);
}

static struct attempt_action unreachable(struct call_attempts *call_attempts,
					 bool timed_out, int64_t now_us)
{
	switch (call_attempts->state) {
	case ATTEMPT_WAITING:
		return attempt_ended(call_attempts, VERDICT_NOT_RUN,
				     CALL_PEER_LOST, now_us);
	case ATTEMPT_SENT:
		if (call_attempts->ask_back)
			return reconnect(call_attempts);
		return attempt_ended(call_attempts, VERDICT_MAY_HAVE_RUN,
				     CALL_PEER_LOST, now_us);
	case ATTEMPT_QUERYING:
		if (queries_again(call_attempts, timed_out))
			return reconnect(call_attempts);
		/* A node that is gone does not replace one that may be
		 * paused. */
		if (call_attempts->repeatable && !call_attempts->resumed &&
		    (timed_out || !call_attempts->unreachable)) {
			call_attempts->unreachable = true;
			call_attempts->unreachable_incarnation =
				call_attempts->incarnation;
		}
		return attempt_ended(call_attempts, VERDICT_MAY_HAVE_RUN,
				     CALL_PEER_LOST, now_us);
	case ATTEMPT_IDLE:
	case ATTEMPT_ENDED:
		break;
	}
	return nothing;
}

static struct attempt_action query_answered(struct call_attempts *call_attempts,
					    enum call_query_result query_result,
					    int64_t now_us)
{
	switch (query_result) {
	case CALL_QUERY_RUNNING:
		if (call_attempts->state == ATTEMPT_QUERYING) {
			call_attempts->state = ATTEMPT_SENT;
			call_attempts->query_count = 0;
			call_attempts->refused_count = 0;
		}
		return nothing;
	case CALL_QUERY_FORGOTTEN:
	case CALL_QUERY_RESTARTED:
		return attempt_ended(call_attempts, VERDICT_MAY_HAVE_RUN,
				     CALL_FORGOTTEN, now_us);
	case CALL_QUERY_ANSWER_LOST:
		return attempt_ended(call_attempts, VERDICT_RAN,
				     CALL_ANSWER_LOST, now_us);
	case CALL_QUERY_RESULTS:
		break;
	}
	return nothing;
}

static struct attempt_action give_up(struct call_attempts *call_attempts,
				     enum call_reason reason)
{
	bool cancel = call_attempts->may_have_left &&
		      (call_attempts->state == ATTEMPT_SENT ||
		       call_attempts->state == ATTEMPT_QUERYING);
	struct attempt_action action = end(call_attempts, ATTEMPT_FAIL,
					   verdict_now(call_attempts), reason);

	call_attempts->last_verdict = call_attempts->may_have_left
					      ? VERDICT_MAY_HAVE_RUN
					      : VERDICT_NOT_RUN;
	action.cancel = cancel;
	return action;
}

static bool is_sent(const struct call_attempts *call_attempts)
{
	return call_attempts->state == ATTEMPT_SENT ||
	       call_attempts->state == ATTEMPT_QUERYING;
}

struct attempt_action call_attempts_step(struct call_attempts *call_attempts,
					 const struct attempt_event *event,
					 int64_t now_us)
{
	if (call_attempts->state == ATTEMPT_ENDED)
		return nothing;
	switch (event->type) {
	case ATTEMPT_EVENT_NO_ENDPOINT:
		return give_up_or_resume(call_attempts, event->reason, now_us);
	case ATTEMPT_EVENT_OPENED:
		return opened(call_attempts, event->incarnation, now_us);
	case ATTEMPT_EVENT_UNSENT:
		return attempt_ended(call_attempts, VERDICT_NOT_RUN,
				     event->reason, now_us);
	case ATTEMPT_EVENT_CLOSED:
		return unreachable(call_attempts, event->timed_out, now_us);
	case ATTEMPT_EVENT_SILENT:
		return unreachable(call_attempts, true, now_us);
	case ATTEMPT_EVENT_ANSWERED:
		if (!is_sent(call_attempts))
			return nothing;
		return answered(call_attempts, event->error, now_us);
	case ATTEMPT_EVENT_REFUSED:
		if (!is_sent(call_attempts))
			return nothing;
		if (event->is_final) {
			call_attempts->chain.remaining_attempts = 0;
			call_attempts->taken = 0;
		}
		return attempt_ended(call_attempts, event->verdict,
				     event->reason, now_us);
	case ATTEMPT_EVENT_QUERY_RESULT:
		if (!is_sent(call_attempts))
			return nothing;
		return query_answered(call_attempts, event->query_result,
				      now_us);
	case ATTEMPT_EVENT_DEADLINE:
		return give_up(call_attempts, CALL_DEADLINE);
	case ATTEMPT_EVENT_GIVE_UP:
		return give_up(call_attempts, event->reason);
	}
	return nothing;
}
