#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/latency.h"
#include "base/log.h"
#include "call/serving.h"
#include "os/clock.h"

static const char component[] = "call";

COUNTER(answered, "call.served_answered",
	"Calls that the own upstream answered");
COUNTER(refused, "call.served_refused",
	"Calls refused beside the upstream, which proves that they did not run");
COUNTER(unknown, "call.served_unknown",
	"Calls of which it is not known whether the upstream ran them");
COUNTER(broken_off, "call.broken_off",
	"Calls ended by this side while the upstream worked on them");
COUNTER(duplicates, "call.duplicate_frames",
	"Copies of calls that had been seen before, not run again");
COUNTER(orphans, "call.orphaned",
	"Calls whose connection was lost while they were here");
HISTOGRAM(upstream_time, "call.upstream_us",
	  "Time from the gate to the whole answer of the upstream");

enum {
	STATUS_SERVER_ERROR = 500,
	/* A caller's node asks until the deadline; its question takes a way. An
	 * answer kept for longer is memory for nothing: at 30 answers of 5 kB a
	 * second they came to 6 MB in 40 s. */
	ANSWER_MARGIN_US = 1000 * 1000,
	/* The way of a proof that a request did not run to its caller. */
	PROOF_MARGIN_US = 5 * US_PER_MS,
	PROOF_MARGIN_SHARE = 10, /* at most one part in so many of the wait */
};

/* Weight of one answer in the share of errors: a third of the answers of the
 * last few seconds show at tens of requests a second. */
#define ERROR_WEIGHT (1.0 / 16)

static int64_t now(const struct server *server)
{
	return loop_now_us(server->options.loop);
}

void serving_count_refused(void)
{
	counter_add(&refused, 1);
}

void serving_count_duplicate(void)
{
	counter_add(&duplicates, 1);
}

void serving_detach(struct serving *serving)
{
	struct serve_peer *peer = serving->peer;

	if (!peer)
		return;
	DL_DELETE2(peer->servings, serving, peer_prev, peer_next);
	peer->link.outstanding--;
	serving->peer = NULL;
}

void serving_attach(struct serving *serving, struct serve_peer *peer)
{
	serving_detach(serving);
	DL_APPEND2(peer->servings, serving, peer_prev, peer_next);
	peer->link.outstanding++;
	serving->peer = peer;
	timer_cancel(serving->server->options.loop, &serving->orphan);
}

void serving_free(struct serving *serving)
{
	struct server *server = serving->server;

	serving_detach(serving);
	timer_cancel(server->options.loop, &serving->orphan);
	DL_DELETE(server->servings, serving);
	server->serving_count--;
	server->held_bytes -= serving->body_size;
	buffer_finish(&serving->headers);
	buffer_finish(&serving->body);
	free(serving->target);
	free(serving);
}

static void count_end(enum verdict verdict)
{
	switch (verdict) {
	case VERDICT_NOT_RUN:
		counter_add(&refused, 1);
		break;
	case VERDICT_MAY_HAVE_RUN:
		counter_add(&unknown, 1);
		break;
	case VERDICT_RAN:
		counter_add(&answered, 1);
		break;
	}
}

/* An attempt has ended: remember how, tell its node, forget the rest. */
static void serving_end(struct serving *serving,
			const struct call_outcome *outcome,
			struct kept_answer *kept, size_t kept_bytes)
{
	struct server *server = serving->server;
	struct serve_peer *peer = serving->peer;
	struct recent_entry *entry = serving->entry;

	count_end(outcome->verdict);
	entry->until_us = serving->terms.deadline_us + ANSWER_MARGIN_US;
	recent_expire(&server->recent, now(server));
	recent_end(&server->recent, entry, outcome, kept, kept_bytes);
	serving_free(serving);
	if (peer)
		sending_start(server, peer, entry);
}

static const char *end_of(const struct call_outcome *outcome)
{
	return outcome->reason == CALL_REASON_NONE
		       ? CALL_ANSWERED
		       : call_reason_name(outcome->reason);
}

static void count_times(const struct serving *serving, const char *outcome,
			int64_t upstream_us)
{
	const struct gate_request *gate = &serving->gate;
	const char *service = serving->server->service;

	latency_add(LATENCY_QUEUE, service, outcome,
		    gate->started_us - gate->arrived_us);
	latency_add(LATENCY_UPSTREAM, service, outcome, upstream_us);
}

/* What the upstream had left of the time that it was told. */
static int64_t left_ms(const struct serving *serving)
{
	return (serving->terms.deadline_us - now(serving->server)) / US_PER_MS;
}

/* The line of an attempt beside the upstream, where that was asked. */
static void log_served(const struct serving *serving,
		       const struct upstream_result *result,
		       const struct http_answer *answer, int64_t took_us)
{
	const struct server *server = serving->server;
	const struct gate_request *gate = &serving->gate;
	bool well = result->answered && answer->status < STATUS_SERVER_ERROR;
	const struct log_field fields[] = {
		LOG_TEXT("request", serving->terms.request_id),
		LOG_TEXT("from", serving->peer ? link_name(&serving->peer->link)
					       : "lost"),
		LOG_TEXT("start", server->upstream_id),
		LOG_TEXT("end", end_of(&result->outcome)),
		LOG_TEXT("verdict", verdict_name(result->outcome.verdict)),
		LOG_NUMBER("status", answer->status),
		LOG_TEXT("text", result->answered ? NULL : answer->err->text),
		LOG_TEXT("kind", serving->terms.kind),
		LOG_NUMBER("queued_ms",
			   (gate->started_us - gate->arrived_us) / US_PER_MS),
		LOG_NUMBER("upstream_ms", took_us / US_PER_MS),
		LOG_NUMBER("left_ms", left_ms(serving)),
		LOG_TEXT("connection", answer->reused ? "kept" : "new"),
		LOG_NUMBER("running", server->options.gate->running_count),
		LOG_NUMBER("waiting", server->options.gate->waiting_count),
		LOG_NUMBER("limit",
			   gate_limit(server->options.gate, now(server))),
	};

	log_request(well ? LOG_ORDINARY : LOG_ATTEMPT, component, "served",
		    fields, sizeof(fields) / sizeof(fields[0]));
}

/* The line of an attempt that this side ended while the upstream worked on it.
 * "deadline" with much time left, or "cancelled" where nobody hung up and no
 * drain ended, is a fault of this node. */
static void log_broken_off(const struct serving *serving,
			   const struct call_outcome *outcome, int64_t took_us)
{
	const struct gate_request *gate = &serving->gate;
	const struct log_field fields[] = {
		LOG_TEXT("request", serving->terms.request_id),
		LOG_TEXT("start", serving->server->upstream_id),
		LOG_TEXT("end", end_of(outcome)),
		LOG_TEXT("verdict", verdict_name(outcome->verdict)),
		LOG_TEXT("kind", serving->terms.kind),
		LOG_NUMBER("queued_ms",
			   (gate->started_us - gate->arrived_us) / US_PER_MS),
		LOG_NUMBER("upstream_ms", took_us / US_PER_MS),
		LOG_NUMBER("left_ms", left_ms(serving)),
	};

	counter_add(&broken_off, 1);
	log_request(LOG_ATTEMPT, component, "broken_off", fields,
		    sizeof(fields) / sizeof(fields[0]));
}

/* The line of an attempt that the upstream never saw. */
static void log_turned_away(const struct serving *serving,
			    const struct call_outcome *outcome)
{
	const struct gate *gate = serving->server->options.gate;
	const struct log_field fields[] = {
		LOG_TEXT("request", serving->terms.request_id),
		LOG_TEXT("from", serving->peer ? link_name(&serving->peer->link)
					       : "lost"),
		LOG_TEXT("end", end_of(outcome)),
		LOG_TEXT("verdict", verdict_name(outcome->verdict)),
		LOG_TEXT("kind", serving->terms.kind),
		LOG_NUMBER("back_in_ms", outcome->retry_after_ms),
		LOG_NUMBER("running", gate->running_count),
		LOG_NUMBER("waiting", gate->waiting_count),
		LOG_NUMBER("limit", gate_limit(gate, now(serving->server))),
		LOG_NUMBER("due_in_ms",
			   (serving->gate.deadline_us - now(serving->server)) /
				   US_PER_MS),
	};

	log_request(LOG_ATTEMPT, component, "turned_away", fields,
		    sizeof(fields) / sizeof(fields[0]));
}

void serving_refused(struct serving *serving, enum call_reason reason)
{
	const struct call_outcome outcome = {
		.verdict = VERDICT_NOT_RUN,
		.reason = reason,
		.retry_after_ms = (uint32_t)serving->gate.retry_after_ms,
	};

	log_turned_away(serving, &outcome);
	latency_add(LATENCY_QUEUE, serving->server->service, end_of(&outcome),
		    now(serving->server) - serving->gate.arrived_us);
	serving_end(serving, &outcome, NULL, 0);
}

/*
 * An upstream that was killed says nothing, and the address of one may be given
 * to another. Every caller's node would learn that by a failed attempt of its
 * own until the announcement expires; the first attempts here tell all.
 */
static void note_signs(struct server *server, const struct http_answer *answer)
{
	const struct call_names *names = server->options.names;
	const struct serve_signs *signs = &server->options.signs;
	const char *id = names->stamp ? http_answer_header(answer, names->stamp)
				      : NULL;

	if (answer->delivery != HTTP_NOT_SENT || answer->timed_out)
		server->refused_count = 0;
	else if (++server->refused_count == SERVE_REFUSED_MAX &&
		 signs->unreachable)
		signs->unreachable(signs->data);
	if (answer->delivery == HTTP_ANSWERED && names->wrong_target_status &&
	    answer->status == names->wrong_target_status && id &&
	    strcmp(id, server->upstream_id) && signs->another)
		signs->another(id, signs->data);
}

static void learn_error(struct server *server, bool error)
{
	server->error_rate +=
		((error ? 1 : 0) - server->error_rate) * ERROR_WEIGHT;
}

/* What is no word of the upstream itself, such as a refusal of its gate or a
 * caller that has hung up, says nothing of it. */
static void count_outcome(struct serving *serving,
			  const struct upstream_result *result,
			  const struct http_answer *answer, int64_t took_us)
{
	struct evidence *evidence = &serving->server->evidence;
	bool failed = !result->answered ||
		      answer->status >= STATUS_SERVER_ERROR;

	if (result->outcome.verdict == VERDICT_NOT_RUN)
		return;
	if (serving->timed)
		evidence_reached(evidence, serving->evidence_kind,
				 &serving->evidence_edges, took_us);
	if (result->outcome.reason != CALL_DEADLINE)
		evidence_finished(evidence, serving->evidence_kind, failed,
				  serving->timed);
}

static void upstream_done(const struct http_answer *answer, void *data)
{
	struct serving *serving = data;
	struct server *server = serving->server;
	int64_t now_us = clock_monotonic_us();
	int64_t took_us = now_us - serving->sent_us;
	struct upstream_result result =
		upstream_classify(server->options.names, answer);
	struct kept_answer *kept = NULL;
	size_t kept_bytes = 0;

	serving->transfer = NULL;
	histogram_add(&upstream_time, took_us);
	gate_done(server->options.gate, &serving->gate, result.gate_feedback,
		  took_us, now_us);
	count_outcome(serving, &result, answer, took_us);
	log_served(serving, &result, answer, took_us);
	count_times(serving,
		    call_outcome_name(end_of(&result.outcome), answer->status),
		    took_us);
	if (result.answered) {
		learn_error(server, answer->status >= STATUS_SERVER_ERROR);
		kept = upstream_keep(server->options.names, answer,
				     !strcmp(serving->method, "HEAD"), took_us,
				     &kept_bytes);
		kept->error_rate = server->error_rate;
	}
	serving_end(serving, &result.outcome, kept, kept_bytes);
	note_signs(server, answer);
	serving_run_gate(server);
}

static void serving_run(struct serving *serving)
{
	serving->state = SERVING_RUNNING;
	serving->sent_us = clock_monotonic_us();
	serving->evidence_kind = evidence_kind_of(serving->terms.kind);
	serving->timed = serving->sent_us >= serving->server->warm_at_us;
	evidence_started(&serving->server->evidence);
	serving->transfer =
		upstream_send(serving, upstream_done, serving->sent_us);
}

/* Start what the gate lets in, refuse what it gives up. */
void serving_run_gate(struct server *server)
{
	struct gate *gate = server->options.gate;
	struct gate_request *request;
	int64_t wake_us;

	while ((request = gate_expired(gate, now(server))))
		serving_refused(request->user,
				call_reason_of_gate(request->refusal));
	while ((request = gate_next(gate, now(server))))
		serving_run(request->user);
	wake_us = gate_wake_us(gate, now(server));
	if (wake_us == INT64_MAX)
		timer_cancel(server->options.loop, &server->gate_timer);
	else
		timer_set(server->options.loop, &server->gate_timer, wake_us);
}

void serving_gate_timer(struct timer *timer, void *data)
{
	serving_run_gate(data);
}

static void offer(struct serving *serving)
{
	struct server *server = serving->server;
	struct gate_request *request = &serving->gate;

	switch (gate_offer(server->options.gate, request, now(server))) {
	case GATE_ADMITTED:
		serving_run(serving);
		break;
	case GATE_QUEUED:
		serving->state = SERVING_WAITING;
		break;
	case GATE_REFUSED:
		serving_refused(serving, call_reason_of_gate(request->refusal));
		break;
	}
	serving_run_gate(server);
}

/*
 * End a run while the upstream works on it. Closing the connection tells the
 * upstream; how far it has got cannot be known once a byte of the request has
 * left. One that took all the time that its caller had shows how slow the
 * upstream is; any other shows nothing.
 */
static void break_off(struct serving *serving, struct call_outcome *outcome)
{
	struct server *server = serving->server;
	int64_t now_us = clock_monotonic_us();
	int64_t took_us = now_us - serving->sent_us;
	bool sent = http_client_was_sent(serving->transfer);

	http_client_cancel(serving->transfer);
	if (sent) {
		outcome->verdict = VERDICT_MAY_HAVE_RUN;
		server->refused_count = 0;
	}
	if (sent && outcome->reason == CALL_DEADLINE) {
		histogram_add(&upstream_time, took_us);
		gate_done(server->options.gate, &serving->gate, GATE_LATE,
			  took_us, now_us);
		if (serving->timed)
			evidence_reached(&server->evidence,
					 serving->evidence_kind,
					 &serving->evidence_edges, took_us);
	} else {
		gate_cancel(server->options.gate, &serving->gate, now_us);
	}
	if (!sent) {
		log_turned_away(serving, outcome);
		return;
	}
	log_broken_off(serving, outcome, took_us);
	count_times(serving, end_of(outcome), took_us);
}

void serving_drop(struct serving *serving, enum call_reason reason)
{
	struct server *server = serving->server;
	struct call_outcome outcome = { .verdict = VERDICT_NOT_RUN,
					.reason = reason };

	switch (serving->state) {
	case SERVING_RECEIVING:
		break;
	case SERVING_WAITING:
		gate_cancel(server->options.gate, &serving->gate, now(server));
		break;
	case SERVING_RUNNING:
		break_off(serving, &outcome);
		break;
	}
	serving_end(serving, &outcome, NULL, 0);
}

void serving_give_up(struct serving *serving, enum call_reason reason)
{
	struct server *server = serving->server;

	serving_drop(serving, reason);
	serving_run_gate(server);
}

static void orphan_expired(struct timer *timer, void *data)
{
	struct serving *serving = data;

	/* Its caller's node has not come back. That may merely be paused and
	 * ask later, so a run goes on until the caller's time is over. */
	if (serving->state != SERVING_RUNNING)
		serving_give_up(serving, CALL_PEER_LOST);
}

/*
 * What has not run is given up while there is time for that proof to reach the
 * caller. A run goes on until its caller's time is over: ended earlier it would
 * prove nothing, and its caller would be refused while an answer may yet come.
 */
static void set_times(struct serving *serving, int64_t wait_us)
{
	int64_t margin_us = wait_us / PROOF_MARGIN_SHARE;

	if (margin_us > PROOF_MARGIN_US)
		margin_us = PROOF_MARGIN_US;
	serving->wait_until_us = now(serving->server) + wait_us - margin_us;
	/* The loop's time is that of the turn's beginning: counted from it the
	 * run would end before its caller's time does. */
	serving->terms.deadline_us = clock_monotonic_us() + wait_us;
}

static void fill_gate_request(struct serving *serving,
			      const struct call_request *request)
{
	struct gate_request *gate = &serving->gate;

	memcpy(gate->kind, request->terms.kind, sizeof(gate->kind));
	memcpy(gate->tenant, request->terms.tenant, sizeof(gate->tenant));
	gate->weight = request->terms.weight;
	gate->queue_max = request->queue_max;
	gate->deadline_us = serving->wait_until_us;
	/* An answer that comes too late to be worth much must not take the
	 * place of one that would come in time: where it cannot be met, the
	 * caller's node learns it at once and may try elsewhere. */
	if (request->due_us)
		gate->deadline_us = now(serving->server) + request->due_us;
	gate->patience_us = request->patience_us;
	gate->user = serving;
}

struct serving *serving_new(struct server *server, struct serve_peer *peer,
			    const struct call_frame *frame)
{
	const struct call_request *request = &frame->request;
	struct serving *serving = calloc(1, sizeof(*serving));

	if (!serving)
		abort();
	serving->server = server;
	serving->id = frame->id;
	serving->terms = request->terms;
	set_times(serving, request->wait_us);
	serving->repeatable = request->repeatable;
	memcpy(serving->method, request->method, sizeof(serving->method));
	serving->target = strndup((const char *)request->target.data,
				  request->target.size);
	if (!serving->target)
		abort();
	buffer_append(&serving->headers, request->headers.data,
		      request->headers.size);
	serving->body_size = request->body_size;
	server->held_bytes += request->body_size;
	timer_init(&serving->orphan, orphan_expired, serving);
	fill_gate_request(serving, request);
	serving->entry = recent_begin(&server->recent, frame->id, serving);
	DL_APPEND(server->servings, serving);
	server->serving_count++;
	serving_attach(serving, peer);
	return serving;
}

void serving_take_part(struct serving *serving, uint64_t offset,
		       const struct call_bytes *part)
{
	if (serving->state != SERVING_RECEIVING ||
	    offset != buffer_size(&serving->body) ||
	    part->size > serving->body_size - offset) {
		counter_add(&duplicates, 1);
		return;
	}
	buffer_append(&serving->body, part->data, part->size);
	if (buffer_size(&serving->body) == serving->body_size)
		offer(serving);
}

/* The connection that @serving came on is gone; its node may ask yet. */
void serving_orphan(struct serving *serving)
{
	struct server *server = serving->server;

	counter_add(&orphans, 1);
	serving_detach(serving);
	if (serving->state == SERVING_RECEIVING)
		serving_refused(serving, CALL_NEVER_SEEN);
	else
		timer_set(server->options.loop, &serving->orphan,
			  now(server) + server->options.orphan_us);
}
