#include "call/attempt.h"

#include <assert.h>
#include <string.h>

enum {
	ASKS_MAX = 4,
	ASKS_MAX_ELSEWHERE = 1,
	/* A node that stood still answers by then. For one that is dead the
	 * caller would only wait longer for its "may have run". */
	ASKS_MAX_RESUMED = 2,
	ASK_DELAY_US = 20 * 1000,
	/* With less left a further try cannot bring an answer: the way there
	 * and back and the work take more. It would only turn the proof that a
	 * request has not run into "may have run". Not less than the margin
	 * that the node beside the upstream leaves for such a proof. */
	TRY_LEAST_US = 5 * 1000,
};

static const struct attempt_action nothing = { .type = ATTEMPT_NOTHING };

void attempt_init(struct attempt *attempt,
		  const struct attempt_options *options)
{
	memset(attempt, 0, sizeof(*attempt));
	attempt->repeatable = options->repeatable;
	attempt->ask_back = options->ask_back;
	attempt->budget = options->budget;
	attempt->error_budget = options->error_budget;
	attempt->deadline_us = options->deadline_us;
	attempt->earlier = VERDICT_NOT_RUN;
	retry_chain_init(&attempt->chain, options->attempts_max,
			 options->carried);
	retry_budget_first_try(attempt->budget);
	if (attempt->error_budget)
		retry_budget_first_try(attempt->error_budget);
}

uint32_t attempt_begin(struct attempt *attempt)
{
	assert(attempt->state == ATTEMPT_IDLE);
	attempt->state = ATTEMPT_WAITING;
	attempt->left = false;
	attempt->incarnation = 0;
	attempt->asks = 0;
	attempt->resumed = false;
	attempt->tries++;
	attempt->taken = retry_chain_take(&attempt->chain);
	return attempt->taken;
}

static struct attempt_action end(struct attempt *attempt,
				 enum attempt_action_type type,
				 enum verdict verdict, enum call_reason reason)
{
	struct attempt_action action = { .type = type,
					 .verdict = verdict,
					 .reason = reason };

	attempt->state = ATTEMPT_ENDED;
	return action;
}

/* The verdict on the whole call if the present try is given up now. */
static enum verdict verdict_now(const struct attempt *attempt)
{
	if (attempt->state == ATTEMPT_IDLE || !attempt->left)
		return attempt->earlier;
	return verdict_join(attempt->earlier, VERDICT_MAY_HAVE_RUN);
}

/* Whether a try cost no upstream anything: it was lost on the way, or turned
 * away beside the upstream, and that is proved. One silent connection loses
 * all that was on it at once; if each of those needed a token, most would fail
 * for want of them, although the tokens are there to spare upstreams and none
 * has seen these requests. */
static bool is_free(enum verdict verdict, enum call_reason reason)
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

static bool may_try_again(struct attempt *attempt, bool is_free_try,
			  int64_t now_us)
{
	const struct retry_request request = {
		.verdict = attempt->earlier,
		.repeatable = attempt->repeatable,
		.attempts_left = attempt->chain.left,
		.deadline_us = attempt->deadline_us,
		.now_us = now_us,
	};
	struct retry_budget unspent = { .tokens = 1, .most = 1 };

	return (attempt->earlier != VERDICT_RAN || attempt->error_seen) &&
	       attempt->tries < CALL_ATTEMPTS_MAX &&
	       attempt->deadline_us - now_us > TRY_LEAST_US &&
	       retry_decide(is_free_try ? &unspent : attempt->budget,
			    &request) == RETRY_AGAIN;
}

/*
 * No try is left. A node that could not be asked about an earlier one may only
 * have stood still, and its upstream be at work: while there is time the caller
 * is better served by that answer than by "may have run".
 */
static struct attempt_action give_up_or_resume(struct attempt *attempt,
					       enum call_reason reason,
					       int64_t now_us)
{
	const struct attempt_action resume = { .type = ATTEMPT_RESUME,
					       .reason = reason };

	if (!attempt->lost || attempt->deadline_us - now_us <= TRY_LEAST_US)
		return end(attempt, ATTEMPT_FAIL, attempt->earlier, reason);
	attempt->lost = false;
	attempt->resumed = true;
	attempt->state = ATTEMPT_ASKING;
	attempt->left = true;
	attempt->incarnation = attempt->lost_incarnation;
	attempt->asks = 1;
	return resume;
}

/* The present try has ended without an answer. */
static struct attempt_action try_ended(struct attempt *attempt,
				       enum verdict verdict,
				       enum call_reason reason, int64_t now_us)
{
	const struct attempt_action again = { .type = ATTEMPT_TRY,
					      .reason = reason };

	attempt->state = ATTEMPT_IDLE;
	attempt->earlier = verdict_join(attempt->earlier, verdict);
	if (verdict == VERDICT_NOT_RUN && attempt->taken)
		retry_chain_return(&attempt->chain,
				   is_free(verdict, reason)
					   ? attempt->taken
					   : attempt->taken - 1);
	attempt->taken = 0;
	if (may_try_again(attempt, is_free(verdict, reason), now_us))
		return again;
	return give_up_or_resume(attempt, reason, now_us);
}

/*
 * An upstream that is at fault answers with an error, quickly, while others of
 * its service would answer well. Tries after errors have a budget of their own
 * besides: they repeat the calls that the first run made, and where a whole
 * service is at fault nothing is gained by them.
 */
static bool may_try_after_error(struct attempt *attempt, int64_t now_us)
{
	if (!attempt->repeatable || !attempt->error_budget ||
	    attempt->error_budget->tokens < 1)
		return false;
	if (!may_try_again(attempt, false, now_us))
		return false;
	attempt->error_budget->tokens -= 1;
	return true;
}

static struct attempt_action answered(struct attempt *attempt, bool error,
				      int64_t now_us)
{
	const struct attempt_action again = { .type = ATTEMPT_TRY,
					      .reason = CALL_UPSTREAM_ERROR };

	if (!error || !may_try_after_error(attempt, now_us))
		return end(attempt, ATTEMPT_REPLY, VERDICT_RAN,
			   CALL_REASON_NONE);
	attempt->state = ATTEMPT_IDLE;
	attempt->earlier = VERDICT_RAN;
	attempt->error_seen = true;
	attempt->taken = 0;
	return again;
}

static struct attempt_action reconnect(struct attempt *attempt)
{
	struct attempt_action action = { .type = ATTEMPT_RECONNECT };

	/* The first connection is opened at once; a node that does not take
	 * it may be starting anew, so later ones wait longer and longer. */
	if (attempt->asks)
		action.delay_us = (int64_t)ASK_DELAY_US << attempt->asks;
	attempt->state = ATTEMPT_ASKING;
	attempt->asks++;
	return action;
}

static struct attempt_action opened(struct attempt *attempt,
				    uint64_t incarnation, int64_t now_us)
{
	struct attempt_action action = { .type = ATTEMPT_SEND };

	if (attempt->state == ATTEMPT_WAITING) {
		attempt->state = ATTEMPT_SENT;
		attempt->left = true;
		attempt->incarnation = incarnation;
		return action;
	}
	if (attempt->state != ATTEMPT_ASKING)
		return nothing;
	/* A process that was started anew remembers nothing: what its
	 * predecessor did with the request cannot be known. */
	if (attempt->incarnation != incarnation)
		return try_ended(attempt, VERDICT_MAY_HAVE_RUN, CALL_PEER_LOST,
				 now_us);
	action.type = ATTEMPT_ASK;
	return action;
}

/* A request that may be repeated, and has a try and a token left, is better
 * tried elsewhere than asked about for long. For any other the node that had
 * it is the only one to know. */
static uint32_t asks_max(const struct attempt *attempt)
{
	if (attempt->resumed)
		return ASKS_MAX_RESUMED;
	if (attempt->repeatable && attempt->chain.left &&
	    attempt->budget->tokens >= 1)
		return ASKS_MAX_ELSEWHERE;
	return ASKS_MAX;
}

static struct attempt_action lost(struct attempt *attempt, int64_t now_us)
{
	uint32_t most = asks_max(attempt);

	switch (attempt->state) {
	case ATTEMPT_WAITING:
		return try_ended(attempt, VERDICT_NOT_RUN, CALL_PEER_LOST,
				 now_us);
	case ATTEMPT_SENT:
		if (attempt->ask_back)
			return reconnect(attempt);
		return try_ended(attempt, VERDICT_MAY_HAVE_RUN, CALL_PEER_LOST,
				 now_us);
	case ATTEMPT_ASKING:
		if (attempt->asks < most)
			return reconnect(attempt);
		if (attempt->repeatable && !attempt->resumed) {
			attempt->lost = true;
			attempt->lost_incarnation = attempt->incarnation;
		}
		return try_ended(attempt, VERDICT_MAY_HAVE_RUN, CALL_PEER_LOST,
				 now_us);
	case ATTEMPT_IDLE:
	case ATTEMPT_ENDED:
		break;
	}
	return nothing;
}

static struct attempt_action told(struct attempt *attempt,
				  enum call_query_result query_result,
				  int64_t now_us)
{
	switch (query_result) {
	case CALL_QUERY_RUNNING:
		if (attempt->state == ATTEMPT_ASKING) {
			attempt->state = ATTEMPT_SENT;
			attempt->asks = 0;
		}
		return nothing;
	case CALL_QUERY_FORGOTTEN:
	case CALL_QUERY_RESTARTED:
		return try_ended(attempt, VERDICT_MAY_HAVE_RUN, CALL_FORGOTTEN,
				 now_us);
	case CALL_QUERY_ANSWER_LOST:
		return try_ended(attempt, VERDICT_RAN, CALL_ANSWER_LOST,
				 now_us);
	case CALL_QUERY_RESULTS:
		break;
	}
	return nothing;
}

static struct attempt_action give_up(struct attempt *attempt,
				     enum call_reason reason)
{
	bool cancel = attempt->left && (attempt->state == ATTEMPT_SENT ||
					attempt->state == ATTEMPT_ASKING);
	struct attempt_action action =
		end(attempt, ATTEMPT_FAIL, verdict_now(attempt), reason);

	action.cancel = cancel;
	return action;
}

static bool is_sent(const struct attempt *attempt)
{
	return attempt->state == ATTEMPT_SENT ||
	       attempt->state == ATTEMPT_ASKING;
}

struct attempt_action attempt_step(struct attempt *attempt,
				   const struct attempt_event *event,
				   int64_t now_us)
{
	if (attempt->state == ATTEMPT_ENDED)
		return nothing;
	switch (event->type) {
	case ATTEMPT_EVENT_NO_ENDPOINT:
		return give_up_or_resume(attempt, event->reason, now_us);
	case ATTEMPT_EVENT_OPENED:
		return opened(attempt, event->incarnation, now_us);
	case ATTEMPT_EVENT_UNSENT:
		return try_ended(attempt, VERDICT_NOT_RUN, event->reason,
				 now_us);
	case ATTEMPT_EVENT_CLOSED:
	case ATTEMPT_EVENT_SILENT:
		return lost(attempt, now_us);
	case ATTEMPT_EVENT_ANSWERED:
		if (!is_sent(attempt))
			return nothing;
		return answered(attempt, event->error, now_us);
	case ATTEMPT_EVENT_REFUSED:
		if (!is_sent(attempt))
			return nothing;
		return try_ended(attempt, event->verdict, event->reason,
				 now_us);
	case ATTEMPT_EVENT_STANDING:
		if (!is_sent(attempt))
			return nothing;
		return told(attempt, event->query_result, now_us);
	case ATTEMPT_EVENT_DEADLINE:
		return give_up(attempt, CALL_DEADLINE);
	case ATTEMPT_EVENT_GIVE_UP:
		return give_up(attempt, event->reason);
	}
	return nothing;
}
