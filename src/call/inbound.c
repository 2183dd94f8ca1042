#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/latency.h"
#include "call/content.h"
#include "call/inbound.h"
#include "os/clock.h"

COUNTER(answered, "call.served_answered",
	"Calls that the own upstream answered");
COUNTER(refused, "call.served_refused",
	"Calls refused beside the upstream, which proves that they did not run");
COUNTER(unknown, "call.served_unknown",
	"Calls of which it is not known whether the upstream ran them");
COUNTER(duplicates, "call.duplicate_frames",
	"Copies of calls that had been seen before, not run again");
COUNTER(orphans, "call.orphaned",
	"Calls whose connection was lost while they were here");
HISTOGRAM(upstream_time, "call.upstream_us",
	  "Time from the gate to the whole answer of the upstream");

enum {
	STATUS_SERVER_ERROR = 500,
	/* Time that an answer is stored after its deadline, for a query that is
	 * still in transit. Longer storage would only cost memory, because a
	 * caller's node sends no query after the deadline: 30 answers of 5 kB
	 * a second take 6 MB in 40 s. */
	ANSWER_MARGIN_US = 1000 * 1000,
	/* Time that a refusal needs to reach the caller before the deadline. */
	PROOF_MARGIN_US = 5 * US_PER_MS,
	/* The margin is at most the wait divided by this number. */
	PROOF_MARGIN_SHARE = 10,
};

/* Weight of one answer in the moving average of the error rate. */
#define ERROR_WEIGHT (1.0 / 16)

static int64_t now(const struct server *server)
{
	return loop_now_us(server->options.loop);
}

void inbound_count_refused(void)
{
	counter_add(&refused, 1);
}

void inbound_count_duplicate(void)
{
	counter_add(&duplicates, 1);
}

void inbound_detach(struct inbound *inbound)
{
	struct serve_peer *peer = inbound->peer;

	if (!peer)
		return;
	DL_DELETE2(peer->inbound_attempts, inbound, peer_prev, peer_next);
	peer->link.outstanding--;
	inbound->peer = NULL;
}

void inbound_attach(struct inbound *inbound, struct serve_peer *peer)
{
	inbound_detach(inbound);
	DL_APPEND2(peer->inbound_attempts, inbound, peer_prev, peer_next);
	peer->link.outstanding++;
	inbound->peer = peer;
	timer_cancel(inbound->server->options.loop, &inbound->reconnect_timer);
}

void inbound_free(struct inbound *inbound)
{
	struct server *server = inbound->server;

	inbound_detach(inbound);
	timer_cancel(server->options.loop, &inbound->reconnect_timer);
	DL_DELETE(server->inbound_attempts, inbound);
	server->inbound_count--;
	server->held_bytes -= inbound->body_size;
	buffer_finish(&inbound->headers);
	buffer_finish(&inbound->body);
	free(inbound->target);
	free(inbound);
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

/* Records the outcome, sends it to the caller's node and frees the attempt. */
static void inbound_end(struct inbound *inbound,
			const struct call_outcome *outcome,
			struct stored_answer *stored, size_t stored_bytes)
{
	struct server *server = inbound->server;
	struct serve_peer *peer = inbound->peer;
	struct recent_entry *entry = inbound->entry;

	count_end(outcome->verdict);
	entry->answer_expires_us =
		inbound->context.deadline_us + ANSWER_MARGIN_US;
	entry->deadline_us = inbound->context.deadline_us;
	recent_expire(&server->recent, now(server));
	recent_end(&server->recent, entry, outcome, stored, stored_bytes);
	inbound_free(inbound);
	if (peer)
		answer_stream_start(server, peer, entry);
	else
		recent_undelivered(&server->recent, entry);
}

static void record_latency(const struct inbound *inbound, const char *outcome,
			   int64_t upstream_us)
{
	const struct gate_request *gate = &inbound->gate;
	const char *service = inbound->server->service;

	latency_add(LATENCY_QUEUE, service, outcome,
		    gate->started_us - gate->arrived_us);
	latency_add(LATENCY_UPSTREAM, service, outcome, upstream_us);
}

void inbound_refuse(struct inbound *inbound, enum call_reason reason)
{
	const struct call_outcome outcome = {
		.verdict = VERDICT_NOT_RUN,
		.reason = reason,
		.retry_after_ms = (uint32_t)inbound->gate.retry_after_ms,
	};

	inbound_log_not_run(inbound, &outcome);
	latency_add(LATENCY_QUEUE, inbound->server->service,
		    inbound_end_name(&outcome),
		    now(inbound->server) - inbound->gate.arrived_us);
	inbound_end(inbound, &outcome, NULL, 0);
}

static void update_error_rate(struct server *server, bool error)
{
	server->error_rate +=
		((error ? 1 : 0) - server->error_rate) * ERROR_WEIGHT;
}

/* Outcomes that the upstream did not cause, such as a refusal by the gate or a
 * caller that hung up, do not count in the statistics. */
static void count_outcome(struct inbound *inbound,
			  const struct upstream_result *result,
			  const struct http_answer *answer, int64_t took_us)
{
	struct request_stats *request_stats = &inbound->server->request_stats;
	bool failed = !result->answered ||
		      answer->status >= STATUS_SERVER_ERROR;

	if (result->outcome.verdict == VERDICT_NOT_RUN)
		return;
	if (inbound->timed)
		request_stats_add_elapsed(request_stats, inbound->stats_kind,
					  &inbound->stats_edges, took_us);
	if (result->outcome.reason != CALL_DEADLINE)
		request_stats_add_finished(request_stats, inbound->stats_kind,
					   failed, inbound->timed);
}

static void upstream_done(const struct http_answer *answer, void *data)
{
	struct inbound *inbound = data;
	struct server *server = inbound->server;
	int64_t now_us = clock_monotonic_us();
	int64_t took_us = now_us - inbound->sent_us;
	struct upstream_result result =
		upstream_classify(server->options.names, answer);
	struct stored_answer *stored = NULL;
	size_t stored_bytes = 0;

	inbound->transfer = NULL;
	histogram_add(&upstream_time, took_us);
	upstream_observe_load(inbound, answer);
	gate_done(server->options.gate, &inbound->gate, result.gate_feedback,
		  took_us, now_us);
	count_outcome(inbound, &result, answer, took_us);
	upstream_observe(inbound, &result, answer);
	inbound_log_served(inbound, &result, answer, took_us);
	record_latency(inbound,
		       call_outcome_name(inbound_end_name(&result.outcome),
					 answer->status),
		       took_us);
	if (result.answered) {
		update_error_rate(server,
				  answer->status >= STATUS_SERVER_ERROR);
		stored = upstream_store_answer(server->options.names, answer,
					       !strcmp(inbound->method, "HEAD"),
					       took_us, &stored_bytes);
		stored->error_rate = server->error_rate;
		stored->usual_us = gate_usual_us(server->options.gate,
						 inbound->context.kind);
		if (server->notice.leaving)
			stored->leaving_start = server->upstream_start;
	}
	inbound_end(inbound, &result.outcome, stored, stored_bytes);
	upstream_run_callbacks(server, answer);
	inbound_run_gate(server);
}

/* Returns true if the request crashes upstreams and must not be sent. */
static bool is_blocked(struct inbound *inbound)
{
	struct quarantine_net *quarantine = inbound->server->options.quarantine;
	struct quarantine_decision decision;

	if (!quarantine)
		return false;
	decision = quarantine_net_decide_upstream(quarantine,
						  &inbound->fingerprint);
	inbound->gate.retry_after_ms = decision.retry_after_ms;
	return decision.blocked;
}

static void inbound_run(struct inbound *inbound)
{
	/* The request may have become blocked while it waited. */
	if (is_blocked(inbound)) {
		gate_cancel(inbound->server->options.gate, &inbound->gate,
			    now(inbound->server));
		inbound_refuse(inbound, CALL_QUARANTINED);
		return;
	}
	inbound->state = INBOUND_RUNNING;
	inbound->sent_us = clock_monotonic_us();
	inbound->stats_kind = request_stats_kind_hash(inbound->context.kind);
	inbound->timed = inbound->sent_us >= inbound->server->warm_from_us;
	request_stats_add_started(&inbound->server->request_stats);
	inbound->transfer =
		upstream_send(inbound, upstream_done, inbound->sent_us);
}

void inbound_run_gate(struct server *server)
{
	struct gate *gate = server->options.gate;
	struct gate_request *request;
	int64_t wake_us;

	while ((request = gate_next_refused(gate, now(server))))
		inbound_refuse(request->user,
			       call_reason_of_gate(request->refusal));
	while ((request = gate_next(gate, now(server))))
		inbound_run(request->user);
	wake_us = gate_wake_us(gate, now(server));
	if (wake_us == INT64_MAX)
		timer_cancel(server->options.loop, &server->gate_timer);
	else
		timer_set(server->options.loop, &server->gate_timer, wake_us);
}

void inbound_gate_timer(struct timer *timer, void *data)
{
	inbound_run_gate(data);
}

static void offer_to_gate(struct inbound *inbound)
{
	struct server *server = inbound->server;
	struct gate_request *request = &inbound->gate;

	switch (gate_offer(server->options.gate, request, now(server))) {
	case GATE_ADMITTED:
		inbound_run(inbound);
		break;
	case GATE_QUEUED:
		inbound->state = INBOUND_WAITING;
		break;
	case GATE_REFUSED:
		inbound_refuse(inbound, call_reason_of_gate(request->refusal));
		break;
	}
	inbound_run_gate(server);
}

/*
 * Aborts an attempt that runs at the upstream. The closed connection notifies
 * the upstream. If a byte of the request was sent, the request may have run. An
 * attempt that used all its time until the deadline counts as a service time of
 * the upstream; an attempt aborted for another reason does not.
 */
static void abort_running(struct inbound *inbound, struct call_outcome *outcome)
{
	struct server *server = inbound->server;
	int64_t now_us = clock_monotonic_us();
	int64_t took_us = now_us - inbound->sent_us;
	bool sent = http_client_was_sent(inbound->transfer);

	http_client_cancel(inbound->transfer);
	if (sent) {
		outcome->verdict = VERDICT_MAY_HAVE_RUN;
		crash_watch_aborted(&server->crash_watch,
				    &inbound->fingerprint);
	}
	if (sent && outcome->reason == CALL_DEADLINE) {
		histogram_add(&upstream_time, took_us);
		gate_done(server->options.gate, &inbound->gate, GATE_TIMED_OUT,
			  took_us, now_us);
		if (inbound->timed)
			request_stats_add_elapsed(&server->request_stats,
						  inbound->stats_kind,
						  &inbound->stats_edges,
						  took_us);
	} else {
		gate_cancel(server->options.gate, &inbound->gate, now_us);
	}
	if (!sent) {
		inbound_log_not_run(inbound, outcome);
		return;
	}
	inbound_log_aborted(inbound, outcome, took_us);
	record_latency(inbound, inbound_end_name(outcome), took_us);
}

void inbound_abort(struct inbound *inbound, enum call_reason reason)
{
	struct server *server = inbound->server;
	struct call_outcome outcome = { .verdict = VERDICT_NOT_RUN,
					.reason = reason };

	switch (inbound->state) {
	case INBOUND_RECEIVING:
		break;
	case INBOUND_WAITING:
		gate_cancel(server->options.gate, &inbound->gate, now(server));
		break;
	case INBOUND_RUNNING:
		abort_running(inbound, &outcome);
		break;
	}
	inbound_end(inbound, &outcome, NULL, 0);
}

void inbound_abort_and_run_gate(struct inbound *inbound,
				enum call_reason reason)
{
	struct server *server = inbound->server;

	inbound_abort(inbound, reason);
	inbound_run_gate(server);
}

static void reconnect_expired(struct timer *timer, void *data)
{
	struct inbound *inbound = data;

	/* The caller's node may be paused and send its query later: a running
	 * attempt continues until its deadline. */
	if (inbound->state != INBOUND_RUNNING)
		inbound_abort_and_run_gate(inbound, CALL_PEER_LOST);
}

/*
 * An attempt that has not run is ended early enough for the refusal to reach
 * the caller before the deadline. A running attempt continues until the
 * deadline: an earlier end would prove nothing, and the caller would be refused
 * although an answer may still arrive.
 */
static void set_deadlines(struct inbound *inbound, int64_t wait_us)
{
	int64_t margin_us = wait_us / PROOF_MARGIN_SHARE;

	if (margin_us > PROOF_MARGIN_US)
		margin_us = PROOF_MARGIN_US;
	inbound->wait_until_us = now(inbound->server) + wait_us - margin_us;
	/* The loop's time is the start of the present turn. A deadline computed
	 * from it would end the attempt before the caller's deadline. */
	inbound->context.deadline_us = clock_monotonic_us() + wait_us;
}

static void fill_gate_request(struct inbound *inbound,
			      const struct call_request *request)
{
	struct gate_request *gate = &inbound->gate;

	memcpy(gate->kind, request->context.kind, sizeof(gate->kind));
	memcpy(gate->tenant, request->context.tenant, sizeof(gate->tenant));
	gate->rank = request->context.rank;
	gate->weight = request->context.weight;
	gate->queue_max = request->queue_max;
	gate->deadline_us = inbound->wait_until_us;
	/* An answer after the due time has little value and must not delay
	 * answers that are in time: if the gate cannot meet the due time, it
	 * refuses at once, and the caller's node may choose another node. */
	if (request->due_us)
		gate->deadline_us = now(inbound->server) + request->due_us;
	gate->wait_max_us = request->wait_max_us;
	gate->user = inbound;
}

struct inbound *inbound_new(struct server *server, struct serve_peer *peer,
			    const struct call_frame *frame)
{
	const struct call_request *request = &frame->request;
	struct inbound *inbound = calloc(1, sizeof(*inbound));

	if (!inbound)
		abort();
	inbound->server = server;
	inbound->id = frame->id;
	inbound->context = request->context;
	set_deadlines(inbound, request->wait_us);
	inbound->repeatable = request->repeatable;
	memcpy(inbound->method, request->method, sizeof(inbound->method));
	inbound->target = strndup((const char *)request->target.data,
				  request->target.size);
	if (!inbound->target)
		abort();
	buffer_append(&inbound->headers, request->headers.data,
		      request->headers.size);
	inbound->body_size = request->body_size;
	server->held_bytes += request->body_size;
	timer_init(&inbound->reconnect_timer, reconnect_expired, inbound);
	fill_gate_request(inbound, request);
	inbound->entry = recent_begin(&server->recent, frame->id, inbound);
	DL_APPEND(server->inbound_attempts, inbound);
	server->inbound_count++;
	inbound_attach(inbound, peer);
	return inbound;
}

static struct fingerprint compute_fingerprint(const struct inbound *inbound)
{
	const struct server *server = inbound->server;
	const struct call_content content = {
		.names = server->options.names,
		.method = inbound->method,
		.service = server->service,
		.target = inbound->target,
		.tenant = inbound->context.tenant,
		.headers = { buffer_data(&inbound->headers),
			     buffer_size(&inbound->headers) },
		.body = buffer_data(&inbound->body),
		.body_size = buffer_size(&inbound->body),
	};

	return call_content_fingerprint(&server->fingerprint_key, &content);
}

void inbound_append_body(struct inbound *inbound, uint64_t offset,
			 const struct call_bytes *part)
{
	if (inbound->state != INBOUND_RECEIVING ||
	    offset != buffer_size(&inbound->body) ||
	    part->size > inbound->body_size - offset) {
		counter_add(&duplicates, 1);
		return;
	}
	buffer_append(&inbound->body, part->data, part->size);
	if (buffer_size(&inbound->body) != inbound->body_size)
		return;
	inbound->fingerprint = compute_fingerprint(inbound);
	if (is_blocked(inbound))
		inbound_refuse(inbound, CALL_QUARANTINED);
	else
		offer_to_gate(inbound);
}

/* The caller's node may still query the attempt over a new connection. */
void inbound_connection_lost(struct inbound *inbound)
{
	struct server *server = inbound->server;

	counter_add(&orphans, 1);
	inbound_detach(inbound);
	if (inbound->state == INBOUND_RECEIVING)
		inbound_refuse(inbound, CALL_NEVER_SEEN);
	else
		timer_set(server->options.loop, &inbound->reconnect_timer,
			  now(server) + server->options.reconnect_max_us);
}
