#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "call/call_log.h"
#include "call/held_answer.h"
#include "call/outbound_call.h"
#include "call/quota_check.h"
#include "call/reply.h"
#include "os/clock.h"
#include "route/report.h"

enum { STATUS_SERVER_ERROR = 500 };

COUNTER(ran, "call.ran", "Calls answered with the upstream's whole answer");
COUNTER(not_run, "call.not_run", "Calls refused that did not run");
COUNTER(may_have_run, "call.may_have_run",
	"Calls without an answer of which it is not known whether they ran");
COUNTER(ran_unanswered, "call.ran_unanswered",
	"Calls that ran and whose answer was lost");
COUNTER(late, "call.late_frames",
	"Frames for calls that had ended, or that came twice");
COUNTER(retries, "call.retries", "Tries after the first one");
COUNTER(resumed, "call.resumed",
	"Tries asked about once more when no other was left");
COUNTER(reconnects, "call.reconnects",
	"Connections opened to ask what became of a call");
HISTOGRAM(total_time, "call.total_us",
	  "Time of an answered call, from its head read to its answer given");
HISTOGRAM(added_time, "call.added_us",
	  "The part of it that was not spent by the upstream");

static int64_t now(const struct caller *caller)
{
	return loop_now_us(caller->options.loop);
}

/* Returns true if the status reports a failure of the upstream. */
static bool is_error(uint32_t status)
{
	return status >= STATUS_SERVER_ERROR;
}

static struct call **find_bucket(struct caller *caller, uint64_t sequence)
{
	struct call **at = &caller->table[sequence % CALL_TABLE_BUCKETS];

	while (*at && (*at)->sequence != sequence)
		at = &(*at)->bucket_next;
	return at;
}

static void remove_from_table(struct call *call)
{
	struct call **at = find_bucket(call->caller, call->sequence);

	if (*at == call)
		*at = call->bucket_next;
}

/* The reference keeps an endpoint that leaves the routes meanwhile. */
static void set_unreachable(struct call *call, struct endpoint *endpoint)
{
	struct router *router = call->caller->options.router;

	if (endpoint)
		endpoint_ref(endpoint);
	if (call->unreachable.endpoint)
		endpoint_unref(router, call->unreachable.endpoint);
	call->unreachable.endpoint = endpoint;
	call->unreachable.sequence = call->sequence;
}

void call_free(struct call *call)
{
	struct caller *caller = call->caller;

	remove_from_table(call);
	outbound_detach(call);
	set_unreachable(call, NULL);
	quota_check_finish(call);
	timer_cancel(caller->options.loop, &call->deadline);
	timer_cancel(caller->options.loop, &call->reconnect);
	placement_finish(&call->placement, caller->options.router);
	caller->held_bytes -= call->body_size + call->answer.body_size +
			      call->failure.body_size;
	assembly_finish(&call->answer);
	assembly_finish(&call->failure);
	parsed_request_finish(&call->parsed);
	config_unref(call->config);
	DL_DELETE(caller->calls, call);
	caller->call_count--;
	free(call);
}

void call_end_attempt(struct call *call, enum endpoint_result result,
		      double load, enum verdict verdict, const char *end)
{
	struct caller *caller = call->caller;
	const struct trace_attempt attempt = {
		.end = end,
		.verdict = verdict,
		.sequence = call->sequence,
		.took_us = now(caller) - call->attempt_began_us,
		.left_us = call->call_attempts.deadline_us - now(caller),
	};

	outbound_detach(call);
	timer_cancel(caller->options.loop, &call->reconnect);
	if (!call->endpoint)
		return;
	trace_add_attempt(&call->trace, call->endpoint, &attempt, now(caller));
	placement_tried(&call->placement, call->endpoint);
	endpoint_done(caller->options.router, call->endpoint, result, load,
		      now(caller) - call->attempt_began_us, now(caller));
	call->endpoint = NULL;
}

void call_step_reason(struct call *call, enum attempt_event_type type,
		      enum call_reason reason)
{
	const struct attempt_event event = { .type = type, .reason = reason };

	call_step(call, &event);
}

/* Begins an attempt with this sequence; its frames now find the call. */
static void begin_attempt_as(struct call *call, uint64_t sequence)
{
	struct caller *caller = call->caller;

	remove_from_table(call);
	call->sequence = sequence;
	call->bucket_next = NULL;
	*find_bucket(caller, sequence) = call;
	call->attempt_began_us = now(caller);
	caller->held_bytes -= call->answer.body_size;
	assembly_finish(&call->answer);
}

/* Picks an endpoint other than that of the unreachable attempt: another attempt
 * there would wait for the same node. */
static void pick_endpoint(struct call *call)
{
	struct router *router = call->caller->options.router;
	int64_t now_us = now(call->caller);

	call->endpoint = placement_pick(&call->placement, router, &call->match,
					call->call_attempts.attempt_count,
					now_us);
	if (!call->endpoint || !call->call_attempts.unreachable ||
	    call->endpoint != call->unreachable.endpoint)
		return;
	endpoint_done(router, call->endpoint, ENDPOINT_CANCELLED, -1, 0,
		      now_us);
	call->endpoint = NULL;
}

void call_begin_attempt(struct call *call)
{
	struct caller *caller = call->caller;

	pick_endpoint(call);
	if (!call->endpoint) {
		call_step_reason(call, ATTEMPT_EVENT_NO_ENDPOINT,
				 call->refusal.reason ? call->refusal.reason
						      : CALL_NO_UPSTREAM);
		return;
	}
	begin_attempt_as(call, ++caller->sequence);
	call_attempts_begin(&call->call_attempts);
	if (call->call_attempts.attempt_count > 1)
		counter_add(&retries, 1);
	outbound_attach(call);
	if (link_open(&call->peer->link)) {
		const struct attempt_event event = {
			.type = ATTEMPT_EVENT_OPENED,
			.incarnation =
				call->peer->link.kind == LINK_LOCAL
					? caller->options.hub->self.incarnation
					: call->peer->link.conn->peer
						  .incarnation,
		};

		call_step(call, &event);
	}
}

static void connect_to_query(struct call *call)
{
	counter_add(&reconnects, 1);
	outbound_attach(call);
	if (link_open(&call->peer->link)) {
		const struct attempt_event event = {
			.type = ATTEMPT_EVENT_OPENED,
			.incarnation = call->peer->link.conn->peer.incarnation,
		};

		call_step(call, &event);
	}
}

void call_reconnect_expired(struct timer *timer, void *data)
{
	connect_to_query(data);
}

static void reconnect(struct call *call, int64_t delay_us)
{
	outbound_detach(call);
	if (delay_us)
		timer_set(call->caller->options.loop, &call->reconnect,
			  now(call->caller) + delay_us);
	else
		connect_to_query(call);
}

void call_count_end(enum verdict verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		counter_add(&not_run, 1);
		break;
	case VERDICT_MAY_HAVE_RUN:
		counter_add(&may_have_run, 1);
		break;
	case VERDICT_RAN:
		counter_add(&ran_unanswered, 1);
		break;
	}
}

static void send_answer(struct call *call, const struct assembly *answer,
			const char *upstream)
{
	const struct reply_answer whole = {
		.status = answer->status,
		.headers = { buffer_data(&answer->headers),
			     buffer_size(&answer->headers) },
		.body = { buffer_data(&answer->body),
			  buffer_size(&answer->body) },
		.upstream = upstream,
		.request_id = call->parsed.context.request_id,
	};
	int64_t total_us = clock_monotonic_us() - call->started_us;

	counter_add(&ran, 1);
	histogram_add(&total_time, total_us);
	histogram_add(&added_time, total_us - answer->service_us);
	held_answer_watch(call, answer->status);
	reply_answer(call->exchange, call->caller->options.names, &whole);
}

static void fail(struct call *call, const struct attempt_action *action)
{
	struct call_outcome outcome = { .verdict = action->verdict,
					.reason = action->reason };

	if (action->cancel)
		outbound_cancel(call, action->reason);
	if (call->refusal.reason == action->reason)
		outcome.retry_after_ms = call->refusal.retry_after_ms;
	if (outcome.verdict == VERDICT_NOT_RUN && !call->failure.begun)
		quota_check_not_run(call);
	/* An upstream that does not answer before the deadline has failed. If
	 * it counted as cancelled, it would look as good as an unused one. */
	call_end_attempt(call,
			 action->cancel && action->reason == CALL_DEADLINE
				 ? ENDPOINT_FAILED
				 : ENDPOINT_CANCELLED,
			 -1, call->call_attempts.last_verdict,
			 call_reason_name(action->reason));
	/* Calls whose caller hung up are logged as well: the request failed for
	 * the user, and only the log line shows why. */
	call_log_end(call, call_reason_name(outcome.reason), outcome.verdict,
		     call->failure.status);
	if (call->exchange && call->failure.begun) {
		send_answer(call, &call->failure, call->failed_upstream);
	} else if (call->exchange) {
		call_count_end(outcome.verdict);
		held_answer_watch(call, 0);
		reply_refusal(call->exchange, call->caller->options.names,
			      &outcome, call->parsed.context.request_id, NULL);
	}
	call_free(call);
}

/* Applies the report that the node beside the upstream sent in its answer. */
static void apply_report(const struct call *call)
{
	const struct endpoint_report report = {
		.error_rate = call->answer.error_rate,
	};

	router_set_error_rate(call->caller->options.router, call->endpoint,
			      &report);
	endpoint_set_usable_share(call->endpoint, call->answer.usable_share,
				  now(call->caller));
	router_set_speed(call->caller->options.router, call->endpoint,
			 call->kind->name, &call->answer.speed,
			 now(call->caller));
	if (call->answer.leaving_start)
		router_set_leaving(call->caller->options.router,
				   call->answer.leaving_start);
}

static void reply(struct call *call)
{
	const struct assembly *answer = &call->answer;

	apply_report(call);
	send_answer(call, answer, call->endpoint->record.instance);
	call_end_attempt(call,
			 is_error(answer->status) ? ENDPOINT_ERROR
						  : ENDPOINT_ANSWERED,
			 answer->load, VERDICT_RAN, CALL_ANSWERED);
	call_log_end(call, CALL_ANSWERED, VERDICT_RAN, answer->status);
	call_free(call);
}

/* Keeps an answer that reports a failure. If the retry is refused or gets no
 * answer, the kept answer is the better one for the caller. */
static void keep_failure(struct call *call)
{
	call->caller->held_bytes -= call->failure.body_size;
	assembly_finish(&call->failure);
	call->failure = call->answer;
	memset(&call->answer, 0, sizeof(call->answer));
	memcpy(call->failed_upstream, call->endpoint->record.instance,
	       sizeof(call->failed_upstream));
}

/* Returns true if the current attempt may still run but cannot be queried. */
static bool is_unreachable_attempt(const struct call *call)
{
	const struct call_attempts *call_attempts = &call->call_attempts;

	return call_attempts->unreachable && call->endpoint &&
	       call_attempts->unreachable_incarnation ==
		       call_attempts->incarnation;
}

/* Ends the current attempt and begins an attempt at another endpoint. */
static void retry_elsewhere(struct call *call, enum call_reason reason)
{
	const char *name = call_reason_name(reason);

	if (is_unreachable_attempt(call))
		set_unreachable(call, call->endpoint);
	if (reason == CALL_UPSTREAM_ERROR) {
		apply_report(call);
		keep_failure(call);
		call_end_attempt(call, ENDPOINT_ERROR, call->failure.load,
				 VERDICT_RAN, name);
	} else {
		call_end_attempt(call, ENDPOINT_FAILED, -1,
				 call->call_attempts.last_verdict, name);
	}
	call_begin_attempt(call);
}

/* Queries the unreachable attempt again, because no other attempt is left. */
static void resume(struct call *call, const struct attempt_action *action)
{
	enum call_reason reason = action->reason;

	if (action->is_current && call->endpoint) {
		counter_add(&resumed, 1);
		reconnect(call, 0);
		return;
	}
	call_end_attempt(call, ENDPOINT_FAILED, -1,
			 call->call_attempts.last_verdict,
			 call_reason_name(reason));
	call->endpoint = call->unreachable.endpoint;
	if (!call->endpoint) {
		call_step_reason(call, ATTEMPT_EVENT_GIVE_UP, reason);
		return;
	}
	endpoint_pick_again(call->endpoint);
	counter_add(&resumed, 1);
	begin_attempt_as(call, call->unreachable.sequence);
	call->body_queued = call->body_size;
	connect_to_query(call);
}

void call_step(struct call *call, const struct attempt_event *event)
{
	struct attempt_action action = call_attempts_step(
		&call->call_attempts, event, now(call->caller));
	struct retries_net *retries = call->caller->options.retries;

	if (retries)
		retries_net_notice(retries, call->match.pool);

	switch (action.type) {
	case ATTEMPT_NOTHING:
		break;
	case ATTEMPT_SEND:
		if (!outbound_send(call))
			call_step_reason(call, ATTEMPT_EVENT_UNSENT,
					 CALL_OVERLOAD);
		break;
	case ATTEMPT_QUERY:
		outbound_query(call);
		break;
	case ATTEMPT_RECONNECT:
		reconnect(call, action.delay_us);
		break;
	case ATTEMPT_TRY:
		retry_elsewhere(call, action.reason);
		break;
	case ATTEMPT_RESUME:
		resume(call, &action);
		break;
	case ATTEMPT_REPLY:
		reply(call);
		break;
	case ATTEMPT_FAIL:
		fail(call, &action);
		break;
	}
}

/* Returns what a refusal shows about the endpoint. A gate that is full belongs
 * to a healthy endpoint, an upstream that cannot be reached has failed,
 * although the verdict is "not run" in both cases. */
static enum endpoint_result
endpoint_result_of(const struct call_outcome *outcome)
{
	if (outcome->verdict != VERDICT_NOT_RUN)
		return ENDPOINT_FAILED;
	switch (outcome->reason) {
	case CALL_UPSTREAM_FAILED:
	case CALL_PEER_LOST:
	case CALL_WRONG_SERVICE:
	case CALL_NEVER_SEEN:
		return ENDPOINT_FAILED;
	default:
		return ENDPOINT_REFUSED;
	}
}

/* Returns true if the gate is open but has no capacity for the request. */
static bool is_gate_full(const struct call_outcome *outcome)
{
	return outcome->reason == CALL_GATE_FULL ||
	       outcome->reason == CALL_GATE_LATE ||
	       outcome->reason == CALL_GATE_SHARE ||
	       outcome->reason == CALL_GATE_BUSY;
}

/* Returns true if the request must not be sent to another upstream because it
 * may crash that one as well. */
static bool is_final_refusal(const struct call *call,
			     const struct call_outcome *outcome)
{
	const struct quarantine_net *quarantine =
		call->caller->options.quarantine;

	if (outcome->reason == CALL_QUARANTINED)
		return true;
	return quarantine && outcome->reason == CALL_UPSTREAM_FAILED &&
	       outcome->verdict != VERDICT_NOT_RUN &&
	       !quarantine_net_may_resend(quarantine, &call->fingerprint);
}

static void refused(struct call *call, const struct call_refusal *refusal)
{
	const struct attempt_event event = {
		.type = ATTEMPT_EVENT_REFUSED,
		.verdict = refusal->outcome.verdict,
		.reason = refusal->outcome.reason,
		.is_final = is_final_refusal(call, &refusal->outcome),
	};

	call->refusal = refusal->outcome;
	if (call->endpoint) {
		endpoint_set_usable_share(call->endpoint, refusal->usable_share,
					  now(call->caller));
		router_set_speed(call->caller->options.router, call->endpoint,
				 call->kind->name, &refusal->speed,
				 now(call->caller));
	}
	if (is_gate_full(&refusal->outcome))
		placement_gate_full(&call->placement);
	call_end_attempt(call, endpoint_result_of(&refusal->outcome),
			 refusal->load, refusal->outcome.verdict,
			 call_reason_name(refusal->outcome.reason));
	call_step(call, &event);
}

static void answered(struct call *call)
{
	const struct attempt_event event = {
		.type = ATTEMPT_EVENT_ANSWERED,
		.error = is_error(call->answer.status),
	};

	call_step(call, &event);
}

static void assembly_result(struct call *call, enum assembly_result result)
{
	switch (result) {
	case ASSEMBLY_INCOMPLETE:
		break;
	case ASSEMBLY_IGNORED:
		counter_add(&late, 1);
		break;
	case ASSEMBLY_COMPLETE:
		answered(call);
		break;
	}
}

static void query_result(struct call *call, enum call_query_result query_result)
{
	const struct attempt_event event = { .type = ATTEMPT_EVENT_QUERY_RESULT,
					     .query_result = query_result };

	call_step(call, &event);
}

static void receive_head(struct call *call, const struct call_answer *answer)
{
	struct caller *caller = call->caller;

	if (answer->body_size > caller->options.answer_bytes_max) {
		query_result(call, CALL_QUERY_ANSWER_LOST);
		return;
	}
	if (!call->answer.begun)
		caller->held_bytes += answer->body_size;
	assembly_result(call, assembly_head(&call->answer, answer));
}

/* Returns true if the call can handle the frame. Between two queries it has no
 * connection, and its answer may still come on an earlier one. */
static bool awaits_frame(const struct call *call,
			 const struct call_frame *frame)
{
	if (call->peer)
		return true;
	return timer_is_set(&call->reconnect) &&
	       frame->type != FRAME_QUERY_RESULT;
}

void caller_frame(struct caller *caller, const struct call_frame *frame)
{
	struct call *call = *find_bucket(caller, frame->id.sequence);

	if (!call || !awaits_frame(call, frame) ||
	    frame->id.incarnation != caller->options.hub->self.incarnation) {
		counter_add(&late, 1);
		return;
	}
	switch (frame->type) {
	case FRAME_ANSWER:
		receive_head(call, &frame->answer);
		break;
	case FRAME_ANSWER_PART:
		assembly_result(call,
				assembly_part(&call->answer, &frame->part));
		break;
	case FRAME_REFUSAL:
		refused(call, &frame->refusal);
		break;
	case FRAME_QUERY_RESULT:
		query_result(call, frame->query_result);
		break;
	case FRAME_CALL:
	case FRAME_CALL_PART:
	case FRAME_CANCEL:
	case FRAME_QUERY:
	case FRAME_LEAVING:
		break;
	}
}
