#include <criterion/criterion.h>

#include "call/call_attempts.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { STEPS_MAX = 8, NODE = 11, OTHER_NODE = 12, DEADLINE_US = 1000000 };

#define OPENED                                                                 \
	{                                                                      \
		.type = ATTEMPT_EVENT_OPENED, .incarnation = NODE              \
	}
#define OPENED_RESTARTED                                                       \
	{                                                                      \
		.type = ATTEMPT_EVENT_OPENED, .incarnation = OTHER_NODE        \
	}
#define EVENT(t)                                                               \
	{                                                                      \
		.type = ATTEMPT_EVENT_##t                                      \
	}
#define TIMED_OUT                                                              \
	{                                                                      \
		.type = ATTEMPT_EVENT_CLOSED, .timed_out = true                \
	}
#define REFUSED(v, r)                                                          \
	{                                                                      \
		.type = ATTEMPT_EVENT_REFUSED, .verdict = (v), .reason = (r)   \
	}
#define QUERY_RESULT(s)                                                        \
	{                                                                      \
		.type = ATTEMPT_EVENT_QUERY_RESULT, .query_result = (s)        \
	}

/* Events of one call, each with the expected action. The verdict is checked for
 * the last action. */
static const struct attempt_case {
	const char *name;
	struct {
		struct attempt_event event;
		enum attempt_action_type action;
	} steps[STEPS_MAX];
	uint32_t count;
	enum verdict verdict;
	bool repeatable;
	bool blind; /* sends no queries */
	bool cancel;
} cases[] = {
	{ .name = "answered",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(ANSWERED), ATTEMPT_REPLY } },
	  .count = 2,
	  .verdict = VERDICT_RAN },
	{ .name = "deadline before any byte was sent",
	  .steps = { { EVENT(DEADLINE), ATTEMPT_FAIL } },
	  .count = 1,
	  .verdict = VERDICT_NOT_RUN },
	{ .name = "deadline after the request was sent",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(DEADLINE), ATTEMPT_FAIL } },
	  .count = 2,
	  .verdict = VERDICT_MAY_HAVE_RUN,
	  .cancel = true },
	{ .name = "the connection never opened: retried",
	  .steps = { { EVENT(CLOSED), ATTEMPT_TRY } },
	  .count = 1 },
	{ .name = "the link accepted nothing: retried",
	  .steps = { { OPENED, ATTEMPT_SEND }, { EVENT(UNSENT), ATTEMPT_TRY } },
	  .count = 2 },
	{ .name = "lost, queried, never seen: retried",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { OPENED, ATTEMPT_QUERY },
		     { REFUSED(VERDICT_NOT_RUN, CALL_NEVER_SEEN),
		       ATTEMPT_TRY } },
	  .count = 4 },
	{ .name = "silent, queried, still running, answered",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(SILENT), ATTEMPT_RECONNECT },
		     { OPENED, ATTEMPT_QUERY },
		     { QUERY_RESULT(CALL_QUERY_RUNNING), ATTEMPT_NOTHING },
		     { EVENT(ANSWERED), ATTEMPT_REPLY } },
	  .count = 5,
	  .verdict = VERDICT_RAN },
	{ .name = "silent, answered late on the old connection",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(SILENT), ATTEMPT_RECONNECT },
		     { EVENT(ANSWERED), ATTEMPT_REPLY } },
	  .count = 3,
	  .verdict = VERDICT_RAN },
	{ .name = "lost, the node was restarted",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { OPENED_RESTARTED, ATTEMPT_FAIL } },
	  .count = 3,
	  .verdict = VERDICT_MAY_HAVE_RUN },
	{ .name = "lost, the node was restarted, idempotent: retried",
	  .repeatable = true,
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { OPENED_RESTARTED, ATTEMPT_TRY } },
	  .count = 3 },
	{ .name = "lost, queried, forgotten",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { OPENED, ATTEMPT_QUERY },
		     { QUERY_RESULT(CALL_QUERY_FORGOTTEN), ATTEMPT_FAIL } },
	  .count = 4,
	  .verdict = VERDICT_MAY_HAVE_RUN },
	{ .name = "lost, queried, ran, answer not stored",
	  .repeatable = true,
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { OPENED, ATTEMPT_QUERY },
		     { QUERY_RESULT(CALL_QUERY_ANSWER_LOST), ATTEMPT_FAIL } },
	  .count = 4,
	  .verdict = VERDICT_RAN },
	{ .name = "lost, the node does not come back",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_FAIL } },
	  .count = 6,
	  .verdict = VERDICT_MAY_HAVE_RUN },
	{ .name = "lost, the node does not answer: queried until the deadline",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(SILENT), ATTEMPT_RECONNECT },
		     { TIMED_OUT, ATTEMPT_RECONNECT },
		     { TIMED_OUT, ATTEMPT_RECONNECT },
		     { TIMED_OUT, ATTEMPT_RECONNECT },
		     { TIMED_OUT, ATTEMPT_RECONNECT },
		     { EVENT(SILENT), ATTEMPT_RECONNECT },
		     { EVENT(DEADLINE), ATTEMPT_FAIL } },
	  .count = 8,
	  .verdict = VERDICT_MAY_HAVE_RUN,
	  .cancel = true },
	{ .name = "lost, the node does not answer, then it is gone",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(SILENT), ATTEMPT_RECONNECT },
		     { TIMED_OUT, ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_RECONNECT },
		     { EVENT(CLOSED), ATTEMPT_FAIL } },
	  .count = 7,
	  .verdict = VERDICT_MAY_HAVE_RUN },
	{ .name = "lost, the node does not answer, idempotent: retried",
	  .repeatable = true,
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(SILENT), ATTEMPT_RECONNECT },
		     { TIMED_OUT, ATTEMPT_TRY } },
	  .count = 3 },
	{ .name = "lost, without queries",
	  .blind = true,
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(CLOSED), ATTEMPT_FAIL } },
	  .count = 2,
	  .verdict = VERDICT_MAY_HAVE_RUN },
	{ .name = "refused as not run: retried",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { REFUSED(VERDICT_NOT_RUN, CALL_GATE_FULL), ATTEMPT_TRY } },
	  .count = 2 },
	{ .name = "failed at the upstream, not idempotent",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { REFUSED(VERDICT_MAY_HAVE_RUN, CALL_UPSTREAM_FAILED),
		       ATTEMPT_FAIL } },
	  .count = 2,
	  .verdict = VERDICT_MAY_HAVE_RUN },
	{ .name = "failed at the upstream, idempotent: retried",
	  .repeatable = true,
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { REFUSED(VERDICT_MAY_HAVE_RUN, CALL_UPSTREAM_FAILED),
		       ATTEMPT_TRY } },
	  .count = 2 },
	{ .name = "no action after the end",
	  .steps = { { OPENED, ATTEMPT_SEND },
		     { EVENT(GIVE_UP), ATTEMPT_FAIL },
		     { EVENT(ANSWERED), ATTEMPT_NOTHING },
		     { EVENT(DEADLINE), ATTEMPT_NOTHING } },
	  .count = 4 },
	{ .name = "replies before the request was sent are ignored",
	  .steps = { { EVENT(ANSWERED), ATTEMPT_NOTHING },
		     { REFUSED(VERDICT_NOT_RUN, CALL_GATE_FULL),
		       ATTEMPT_NOTHING },
		     { QUERY_RESULT(CALL_QUERY_ANSWER_LOST), ATTEMPT_NOTHING } },
	  .count = 3 },
};

static void begin(struct call_attempts *call_attempts,
		  struct retry_budget *budget, bool repeatable, bool blind)
{
	const struct attempt_options options = {
		.repeatable = repeatable,
		.ask_back = !blind,
		.attempts_max = 3,
		.budget = budget,
		.deadline_us = DEADLINE_US,
	};

	retry_budget_init(budget, 1, 10);
	call_attempts_init(call_attempts, &options);
	cr_assert_geq(call_attempts_begin(call_attempts), 1);
}

Test(call_attempts, each_event_has_its_action_and_each_end_its_verdict)
{
	size_t i;
	uint32_t step;

	for (i = 0; i < COUNT(cases); i++) {
		const struct attempt_case *row = &cases[i];
		struct attempt_action action = { 0 };
		struct retry_budget budget;
		struct call_attempts call_attempts;

		begin(&call_attempts, &budget, row->repeatable, row->blind);
		for (step = 0; step < row->count; step++) {
			action = call_attempts_step(&call_attempts,
						    &row->steps[step].event, 0);
			cr_expect_eq(action.type, row->steps[step].action,
				     "%s: step %u", row->name, step);
		}
		if (action.type == ATTEMPT_FAIL ||
		    action.type == ATTEMPT_REPLY) {
			cr_expect_eq(action.verdict, row->verdict, "%s: %s",
				     row->name, verdict_name(action.verdict));
			cr_expect_eq(action.cancel, row->cancel, "%s",
				     row->name);
		}
	}
}

/* With the verdict of the last attempt alone, the caller would get "not run"
 * for a request whose first attempt may have run. */
Test(call_attempts, one_unknown_attempt_makes_the_call_unknown)
{
	const struct attempt_event opened = OPENED;
	const struct attempt_event unknown =
		REFUSED(VERDICT_MAY_HAVE_RUN, CALL_UPSTREAM_FAILED);
	const struct attempt_event none = { .type = ATTEMPT_EVENT_NO_ENDPOINT,
					    .reason = CALL_NO_UPSTREAM };
	struct attempt_action action;
	struct retry_budget budget;
	struct call_attempts call_attempts;

	begin(&call_attempts, &budget, true, false);
	call_attempts_step(&call_attempts, &opened, 0);
	action = call_attempts_step(&call_attempts, &unknown, 0);
	cr_assert_eq(action.type, ATTEMPT_TRY);
	action = call_attempts_step(&call_attempts, &none, 0);
	cr_assert_eq(action.type, ATTEMPT_FAIL);
	cr_expect_eq(action.verdict, VERDICT_MAY_HAVE_RUN);
}

/* If retries of requests that no upstream has seen took tokens, one silent
 * connection or one full gate would fail hundreds of calls. A request that the
 * upstream itself rejected needs a token. */
Test(call_attempts, a_retry_needs_no_token_if_no_upstream_was_reached)
{
	const struct attempt_event opened = OPENED;
	const struct attempt_event lost =
		REFUSED(VERDICT_NOT_RUN, CALL_NEVER_SEEN);
	const struct attempt_event full =
		REFUSED(VERDICT_NOT_RUN, CALL_GATE_FULL);
	const struct attempt_event shed = REFUSED(VERDICT_NOT_RUN, CALL_SHED);
	struct attempt_action action;
	struct retry_budget budget;
	struct call_attempts call_attempts;

	begin(&call_attempts, &budget, false, false);
	budget.tokens = 0;
	call_attempts_step(&call_attempts, &opened, 0);
	action = call_attempts_step(&call_attempts, &lost, 0);
	cr_expect_eq(action.type, ATTEMPT_TRY);
	call_attempts_begin(&call_attempts);
	call_attempts_step(&call_attempts, &opened, 0);
	action = call_attempts_step(&call_attempts, &full, 0);
	cr_expect_eq(action.type, ATTEMPT_TRY);
	call_attempts_begin(&call_attempts);
	call_attempts_step(&call_attempts, &opened, 0);
	action = call_attempts_step(&call_attempts, &shed, 0);
	cr_expect_eq(action.type, ATTEMPT_FAIL);
	cr_expect_eq(action.verdict, VERDICT_NOT_RUN);
}

Test(call_attempts, without_a_token_an_idempotent_request_is_queried_for_longer)
{
	const struct attempt_event opened = OPENED;
	const struct attempt_event closed = EVENT(CLOSED);
	struct retry_budget budget;
	struct call_attempts call_attempts;

	begin(&call_attempts, &budget, true, false);
	call_attempts_step(&call_attempts, &opened, 0);
	call_attempts_step(&call_attempts, &closed, 0);
	budget.tokens = 0;
	cr_expect_eq(call_attempts_step(&call_attempts, &closed, 0).type,
		     ATTEMPT_RECONNECT);
	budget.tokens = 1;
	cr_expect_eq(call_attempts_step(&call_attempts, &closed, 0).type,
		     ATTEMPT_TRY);
}

/* Without the retry, reads would fail at a faulty upstream although others
 * would answer them. */
Test(call_attempts, an_error_is_retried_elsewhere_only_if_allowed)
{
	static const struct {
		const char *name;
		double tokens;
		double error_tokens;
		int64_t now_us;
		uint32_t attempts_max;
		enum attempt_action_type action;
		bool repeatable;
	} cases[] = {
		{ "idempotent", 2, 1, 0, 2, ATTEMPT_TRY, true },
		{ "not idempotent", 2, 1, 0, 2, ATTEMPT_REPLY, false },
		{ "no token", 0.5, 1, 0, 2, ATTEMPT_REPLY, true },
		{ "no token of the error budget", 2, 0.5, 0, 2, ATTEMPT_REPLY,
		  true },
		{ "no attempt left", 2, 1, 0, 1, ATTEMPT_REPLY, true },
		{ "no time left", 2, 1, DEADLINE_US, 2, ATTEMPT_REPLY, true },
		{ "hardly any time left", 2, 1, DEADLINE_US - 5000, 2,
		  ATTEMPT_REPLY, true },
	};
	const struct attempt_event opened = OPENED;
	const struct attempt_event error = { .type = ATTEMPT_EVENT_ANSWERED,
					     .error = true };
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct retry_budget budget = { .tokens = cases[i].tokens,
					       .tokens_max = 10 };
		struct retry_budget errors = { .tokens = cases[i].error_tokens,
					       .tokens_max = 10 };
		const struct attempt_options options = {
			.repeatable = cases[i].repeatable,
			.attempts_max = cases[i].attempts_max,
			.budget = &budget,
			.error_budget = &errors,
			.deadline_us = DEADLINE_US,
		};
		struct attempt_action action;
		struct call_attempts call_attempts;

		call_attempts_init(&call_attempts, &options);
		call_attempts_begin(&call_attempts);
		call_attempts_step(&call_attempts, &opened, 0);
		action = call_attempts_step(&call_attempts, &error,
					    cases[i].now_us);
		cr_expect_eq(action.type, cases[i].action, "%s", cases[i].name);
		if (action.type != ATTEMPT_TRY)
			continue;
		cr_expect_float_eq(budget.tokens, cases[i].tokens - 1, 1e-9);
		cr_expect_float_eq(errors.tokens, cases[i].error_tokens - 1,
				   1e-9);
	}
}

/* The first attempt ran, so a later refusal must not give the verdict "not run"
 * or a status that invites callers to retry. */
Test(call_attempts, a_refusal_after_an_error_does_not_give_not_run)
{
	const struct attempt_event opened = OPENED;
	const struct attempt_event error = { .type = ATTEMPT_EVENT_ANSWERED,
					     .error = true };
	const struct attempt_event full =
		REFUSED(VERDICT_NOT_RUN, CALL_GATE_FULL);
	const struct attempt_event none = { .type = ATTEMPT_EVENT_NO_ENDPOINT,
					    .reason = CALL_GATE_FULL };
	struct retry_budget budget = { .tokens = 2, .tokens_max = 10 };
	struct retry_budget errors = { .tokens = 1, .tokens_max = 10 };
	const struct attempt_options options = { .repeatable = true,
						 .attempts_max = 2,
						 .budget = &budget,
						 .error_budget = &errors,
						 .deadline_us = DEADLINE_US };
	struct attempt_action action;
	struct call_attempts call_attempts;

	call_attempts_init(&call_attempts, &options);
	call_attempts_begin(&call_attempts);
	call_attempts_step(&call_attempts, &opened, 0);
	cr_assert_eq(call_attempts_step(&call_attempts, &error, 0).type,
		     ATTEMPT_TRY);
	call_attempts_begin(&call_attempts);
	call_attempts_step(&call_attempts, &opened, 0);
	cr_assert_eq(call_attempts_step(&call_attempts, &full, 0).type,
		     ATTEMPT_TRY);
	action = call_attempts_step(&call_attempts, &none, 0);
	cr_expect_eq(action.type, ATTEMPT_FAIL);
	cr_expect_eq(action.verdict, VERDICT_RAN);
	cr_expect_eq(call_reason_status(CALL_GATE_FULL, VERDICT_RAN), 502);
	cr_expect_eq(call_reason_status(CALL_GATE_SHARE, VERDICT_RAN), 502);
	cr_expect_eq(call_reason_status(CALL_GATE_SHARE, VERDICT_NOT_RUN), 429);
}

/*
 * A caller must not get 502 with time left while a paused node's upstream runs
 * its request, only because all retries were refused. Sign in the log: "tried"
 * ends with "peer-lost" and "late", or the call ends with "no-upstream".
 */
Test(call_attempts, a_lost_attempt_is_queried_again_if_no_endpoint_is_left)
{
	static const struct {
		const char *name;
		struct attempt_event last; /* of the retry */
		int64_t at_us;
		enum attempt_action_type action;
		enum attempt_action_type asked;
	} rows[] = {
		{ "no other endpoint", EVENT(NO_ENDPOINT), 0, ATTEMPT_RESUME,
		  ATTEMPT_QUERY },
		{ "the node was restarted", EVENT(NO_ENDPOINT), 0,
		  ATTEMPT_RESUME, ATTEMPT_FAIL },
		{ "hardly any time left", EVENT(NO_ENDPOINT),
		  DEADLINE_US - 5000, ATTEMPT_FAIL, ATTEMPT_NOTHING },
	};
	const struct attempt_event opened = OPENED;
	const struct attempt_event restarted = OPENED_RESTARTED;
	const struct attempt_event closed = EVENT(CLOSED);
	const struct attempt_event none = EVENT(NO_ENDPOINT);
	const struct attempt_event running = QUERY_RESULT(CALL_QUERY_RUNNING);
	const struct attempt_event answered = EVENT(ANSWERED);
	size_t i;

	for (i = 0; i < COUNT(rows); i++) {
		struct retry_budget budget;
		struct call_attempts call_attempts;
		struct attempt_action action;

		begin(&call_attempts, &budget, true, false);
		call_attempts_step(&call_attempts, &opened, 0);
		action = call_attempts_step(&call_attempts, &closed, 0);
		cr_assert_eq(action.type, ATTEMPT_RECONNECT);
		action = call_attempts_step(&call_attempts, &closed, 0);
		cr_assert_eq(action.type, ATTEMPT_TRY);
		action = call_attempts_step(&call_attempts, &rows[i].last,
					    rows[i].at_us);
		cr_expect_eq(action.type, rows[i].action, "%s", rows[i].name);
		if (action.type != ATTEMPT_RESUME)
			continue;
		action = call_attempts_step(
			&call_attempts,
			rows[i].asked == ATTEMPT_QUERY ? &opened : &restarted,
			0);
		if (rows[i].asked == ATTEMPT_FAIL) {
			/* Unknown outcome; the budget allows a retry. */
			cr_expect_eq(action.type, ATTEMPT_TRY);
			action = call_attempts_step(&call_attempts, &none, 0);
			cr_expect_eq(action.type, ATTEMPT_FAIL);
			cr_expect_eq(action.verdict, VERDICT_MAY_HAVE_RUN);
			continue;
		}
		cr_expect_eq(action.type, ATTEMPT_QUERY, "%s", rows[i].name);
		call_attempts_step(&call_attempts, &running, 0);
		action = call_attempts_step(&call_attempts, &answered, 0);
		cr_expect_eq(action.type, ATTEMPT_REPLY, "%s", rows[i].name);
	}
}

/* Guards against a request that runs beside a paused node and is given up,
 * because the node of a later attempt is gone. */
Test(call_attempts, a_gone_node_does_not_replace_a_paused_one)
{
	const struct attempt_event opened = OPENED;
	const struct attempt_event opened_other = OPENED_RESTARTED;
	const struct attempt_event silent = EVENT(SILENT);
	const struct attempt_event timed_out = TIMED_OUT;
	const struct attempt_event closed = EVENT(CLOSED);
	struct attempt_action action;
	struct retry_budget budget;
	struct call_attempts call_attempts;
	uint32_t i;

	begin(&call_attempts, &budget, true, false);
	call_attempts_step(&call_attempts, &opened, 0);
	call_attempts_step(&call_attempts, &silent, 0);
	action = call_attempts_step(&call_attempts, &timed_out, 0);
	cr_assert_eq(action.type, ATTEMPT_TRY);
	call_attempts.chain.remaining_attempts = 1;
	call_attempts_begin(&call_attempts);
	call_attempts.chain.remaining_attempts = 0;
	call_attempts_step(&call_attempts, &opened_other, 0);
	/* The second node ends: its connection closes, further ones are
	 * refused. */
	for (i = 0; i < 12; i++) {
		action = call_attempts_step(&call_attempts, &closed, 0);
		if (action.type != ATTEMPT_RECONNECT)
			break;
	}
	cr_expect_eq(action.type, ATTEMPT_RESUME, "type %d", action.type);
	cr_expect_not(action.is_current, "resumes the node that is gone");
	cr_expect_eq(call_attempts.incarnation, NODE);
}

/* Guards against an attempt that no connection belongs to, after the result of
 * a query came late. */
Test(call_attempts, a_late_running_result_does_not_end_the_queries)
{
	const struct attempt_event opened = OPENED;
	const struct attempt_event silent = EVENT(SILENT);
	const struct attempt_event running = QUERY_RESULT(CALL_QUERY_RUNNING);
	struct retry_budget budget;
	struct call_attempts call_attempts;

	begin(&call_attempts, &budget, false, false);
	call_attempts_step(&call_attempts, &opened, 0);
	call_attempts_step(&call_attempts, &silent, 0);
	cr_assert_eq(call_attempts_step(&call_attempts, &opened, 0).type,
		     ATTEMPT_QUERY);
	cr_assert_eq(call_attempts_step(&call_attempts, &silent, 0).type,
		     ATTEMPT_RECONNECT);
	call_attempts_step(&call_attempts, &running, 0);
	cr_expect_eq(call_attempts_step(&call_attempts, &opened, 0).type,
		     ATTEMPT_QUERY);
}
