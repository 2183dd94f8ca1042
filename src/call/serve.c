#include "call/serve.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "call/inbound.h"
#include "os/clock.h"

enum {
	SLOT = FRAME_RANGE_CALL / 16,
	/* Time during which a newly started upstream is slow whatever version
	 * it runs; its service times do not count in the statistics. */
	COLD_START_MS = 3000,
};

COUNTER(received, "call.served", "Calls that came in for the own upstream");
COUNTER(queries, "call.asked_about",
	"Calls asked about after their connection was lost");
COUNTER(cancellations, "call.cancelled",
	"Calls given up by their caller's side");

static int64_t now(const struct server *server)
{
	return loop_now_us(server->options.loop);
}

static void refuse_unseen(struct server *server, struct serve_peer *peer,
			  struct call_id id, enum verdict verdict,
			  enum call_reason reason)
{
	struct recent_entry entry = {
		.id = id,
		.outcome = { .verdict = verdict, .reason = reason },
	};

	answer_stream_start(server, peer, &entry);
}

/* Returns true if this stopping node could have to cancel the attempt, and the
 * caller's node could not repeat it. A refusal costs that node no retry token.
 */
static bool could_be_cut(const struct server *server,
			 const struct call_request *request)
{
	return server->work_until_us && !request->repeatable &&
	       now(server) + request->wait_us > server->work_until_us;
}

static enum call_reason refusal_reason(const struct server *server,
				       const struct call_request *request)
{
	const struct serve_options *options = &server->options;

	if (server->draining || could_be_cut(server, request))
		return CALL_GATE_LEAVING;
	if (!server->has_upstream)
		return CALL_GATE_CLOSED;
	if (strcmp(request->service, server->service))
		return CALL_WRONG_SERVICE;
	if (request->context.hops > CALL_HOPS_MAX)
		return CALL_HOPS;
	if (request->body_size > options->body_bytes_max ||
	    server->held_bytes + request->body_size > options->held_bytes_max)
		return CALL_OVERLOAD;
	return CALL_REASON_NONE;
}

static void receive_call(struct server *server, struct serve_peer *peer,
			 const struct call_frame *frame)
{
	struct recent_entry *entry;
	enum call_reason reason;

	switch (recent_lookup(&server->recent, frame->id, RECENT_ARRIVED,
			      &entry)) {
	case RECENT_RUNNING:
		inbound_count_duplicate();
		return;
	case RECENT_ENDED:
		inbound_count_duplicate();
		answer_stream_start(server, peer, entry);
		return;
	case RECENT_FORGOTTEN:
		inbound_count_duplicate();
		refuse_unseen(server, peer, frame->id, VERDICT_MAY_HAVE_RUN,
			      CALL_FORGOTTEN);
		return;
	case RECENT_NEVER_SEEN:
		break;
	}
	counter_add(&received, 1);
	reason = refusal_reason(server, &frame->request);
	if (reason != CALL_REASON_NONE) {
		inbound_count_refused();
		recent_refuse(&server->recent, frame->id, reason);
		refuse_unseen(server, peer, frame->id, VERDICT_NOT_RUN, reason);
		return;
	}
	inbound_append_body(inbound_new(server, peer, frame), 0,
			    &frame->request.part);
}

static void send_query_result(struct server *server, struct serve_peer *peer,
			      struct call_id id,
			      enum call_query_result query_result)
{
	struct call_frame frame = { .type = FRAME_QUERY_RESULT,
				    .id = id,
				    .query_result = query_result };

	link_send(&peer->link, &server->encoder, &frame);
}

static void query_running(struct server *server, struct serve_peer *peer,
			  struct inbound *inbound)
{
	/* The rest of the body was lost with the connection. */
	if (inbound->state == INBOUND_RECEIVING) {
		inbound_attach(inbound, peer);
		inbound_refuse(inbound, CALL_NEVER_SEEN);
		return;
	}
	inbound_attach(inbound, peer);
	send_query_result(server, peer, inbound->id, CALL_QUERY_RUNNING);
}

/* Answers a query of a caller's node that lost its connection. */
static void receive_query(struct server *server, struct serve_peer *peer,
			  const struct call_frame *frame)
{
	struct recent_entry *entry;

	counter_add(&queries, 1);
	if (frame->incarnation != server->options.hub->self.incarnation) {
		send_query_result(server, peer, frame->id,
				  CALL_QUERY_RESTARTED);
		return;
	}
	switch (recent_lookup(&server->recent, frame->id, RECENT_QUERIED,
			      &entry)) {
	case RECENT_RUNNING:
		query_running(server, peer, entry->owner);
		break;
	case RECENT_ENDED:
		answer_stream_start(server, peer, entry);
		break;
	case RECENT_FORGOTTEN:
		send_query_result(server, peer, frame->id,
				  CALL_QUERY_FORGOTTEN);
		break;
	case RECENT_NEVER_SEEN:
		/* Records the refusal first: the request may still be in
		 * transit and must be refused when it arrives. */
		recent_refuse(&server->recent, frame->id, CALL_NEVER_SEEN);
		refuse_unseen(server, peer, frame->id, VERDICT_NOT_RUN,
			      CALL_NEVER_SEEN);
		break;
	}
}

static struct inbound *find_running(struct server *server, struct call_id id)
{
	struct recent_entry *entry;

	if (recent_lookup(&server->recent, id, RECENT_QUERIED, &entry) !=
	    RECENT_RUNNING)
		return NULL;
	return entry->owner;
}

static void receive_cancel(struct server *server, struct call_id id,
			   enum call_reason reason)
{
	struct inbound *inbound = find_running(server, id);

	if (!inbound)
		return;
	counter_add(&cancellations, 1);
	inbound_detach(inbound);
	inbound_abort_and_run_gate(inbound, reason);
}

static void start_tick(struct server *server)
{
	if (!server->inbound_count || timer_is_set(&server->tick))
		return;
	server->tick_due_us = now(server) + server->options.ping_us;
	timer_set(server->options.loop, &server->tick, server->tick_due_us);
}

void serve_frame(struct server *server, struct serve_peer *peer,
		 const struct call_frame *frame)
{
	struct inbound *inbound;

	/* A node may send frames about its own calls only. */
	if (frame->id.incarnation != peer->caller->incarnation) {
		wire_conn_close(peer->link.conn, ERROR_PROTOCOL,
				"call of another node");
		return;
	}
	switch (frame->type) {
	case FRAME_CALL:
		receive_call(server, peer, frame);
		break;
	case FRAME_CALL_PART:
		inbound = find_running(server, frame->id);
		if (inbound)
			inbound_append_body(inbound, frame->part.offset,
					    &frame->part.part);
		break;
	case FRAME_CANCEL:
		receive_cancel(server, frame->id, frame->reason);
		break;
	case FRAME_QUERY:
		receive_query(server, peer, frame);
		break;
	case FRAME_ANSWER:
	case FRAME_ANSWER_PART:
	case FRAME_REFUSAL:
	case FRAME_QUERY_RESULT:
	case FRAME_LEAVING:
		wire_conn_close(peer->link.conn, ERROR_PROTOCOL,
				"call frame in the wrong direction");
		break;
	}
	start_tick(server);
}

static void peer_connection_lost(struct serve_peer *peer)
{
	struct inbound *inbound;
	struct inbound *next;

	DL_FOREACH_SAFE2(peer->inbound_attempts, inbound, next, peer_next)
	inbound_connection_lost(inbound);
}

static void peer_closed(struct server *server, struct serve_peer *peer)
{
	peer_connection_lost(peer);
	answer_stream_drop_all(server, peer);
	/* Whether the node has received what was sent after its last bytes is
	 * not known, unless it has ended the connection in order. */
	if (!peer->link.conn->ended_in_order)
		recent_connection_lost(&server->recent, peer->caller,
				       peer->link.conn->received_us);
	recent_caller_release(&server->recent, peer->caller);
	DL_DELETE(server->peers, peer);
	free(peer);
}

void serve_conn_state(struct server *server, struct wire_conn *conn)
{
	struct serve_peer *peer = conn->component_data[SLOT];

	if (conn->state == WIRE_CONN_OPEN) {
		peer = calloc(1, sizeof(*peer));
		if (!peer)
			abort();
		peer->link.kind = LINK_WIRE;
		peer->link.conn = conn;
		peer->caller = recent_caller_acquire(&server->recent,
						     conn->peer.incarnation);
		DL_APPEND(server->peers, peer);
		conn->component_data[SLOT] = peer;
		return;
	}
	conn->component_data[SLOT] = NULL;
	if (peer)
		peer_closed(server, peer);
}

struct serve_peer *serve_peer_of(struct server *server, struct wire_conn *conn)
{
	return conn->component_data[SLOT];
}

/* A late tick means that this process was paused. The pause must not count as
 * silence of the peers. */
static void exclude_own_pause(struct server *server)
{
	int64_t late_us = now(server) - server->tick_due_us;
	struct serve_peer *peer;

	if (late_us < server->options.ping_us)
		return;
	DL_FOREACH(server->peers, peer)
		link_exclude_pause(&peer->link, late_us);
}

static void tick_expired(struct timer *timer, void *data)
{
	struct server *server = data;
	const struct serve_options *options = &server->options;
	struct serve_peer *peer;
	struct serve_peer *next;

	exclude_own_pause(server);
	DL_FOREACH_SAFE(server->peers, peer, next)
		if (link_check(&peer->link, options->ping_us,
			       options->silence_us, now(server)) == LINK_SILENT)
			wire_conn_close(peer->link.conn, ERROR_TIMEOUT,
					"connection has fallen silent");
	start_tick(server);
}

static void push_expired(struct timer *timer, void *data)
{
	struct server *server = data;
	struct serve_peer *peer;

	DL_FOREACH(server->peers, peer)
		answer_stream_push(server, peer);
	answer_stream_push(server, &server->local);
}

static void upstream_ended(void *data)
{
	const struct server *server = data;
	const struct serve_callbacks *callbacks = &server->options.callbacks;

	if (callbacks->on_unreachable)
		callbacks->on_unreachable(callbacks->data);
}

void serve_init(struct server *server, const struct serve_options *options,
		link_frame_fn *take, void *data)
{
	const struct crash_watch_options crash_watch = {
		.loop = options->loop,
		.quarantine = options->quarantine,
		.on_ended = upstream_ended,
		.data = server,
	};

	memset(server, 0, sizeof(*server));
	server->options = *options;
	server->answers.bytes_max = options->held_bytes_max;
	recent_init(&server->recent, &options->limits);
	fingerprint_key_init(&server->fingerprint_key, &options->hub->key);
	request_stats_init(&server->request_stats,
			   options->hub->self.incarnation);
	crash_watch_init(&server->crash_watch, &crash_watch);
	encoder_init(&server->encoder);
	spares_init(&server->spares, options->loop);
	timer_init(&server->gate_timer, inbound_gate_timer, server);
	timer_init(&server->tick, tick_expired, server);
	timer_init(&server->push, push_expired, server);
	link_pipe_init(&server->to_caller, options->loop, take, data);
	server->local.link.kind = LINK_LOCAL;
	server->local.link.pipe = &server->to_caller;
	server->local.caller = recent_caller_acquire(
		&server->recent, options->hub->self.incarnation);
}

void serve_finish(struct server *server)
{
	struct inbound *inbound;
	struct inbound *next_inbound;
	struct serve_peer *peer;
	struct serve_peer *next;

	DL_FOREACH_SAFE(server->inbound_attempts, inbound, next_inbound) {
		if (inbound->transfer)
			http_client_cancel(inbound->transfer);
		if (inbound->state != INBOUND_RECEIVING)
			gate_cancel(server->options.gate, &inbound->gate,
				    now(server));
		inbound_free(inbound);
	}
	DL_FOREACH_SAFE(server->peers, peer, next) {
		peer->link.conn->component_data[SLOT] = NULL;
		peer_closed(server, peer);
	}
	answer_stream_drop_all(server, &server->local);
	link_pipe_finish(&server->to_caller);
	timer_cancel(server->options.loop, &server->gate_timer);
	timer_cancel(server->options.loop, &server->tick);
	timer_cancel(server->options.loop, &server->push);
	spares_finish(&server->spares);
	crash_watch_finish(&server->crash_watch);
	recent_finish(&server->recent);
	encoder_finish(&server->encoder);
}

/* Statistics of another incarnation do not apply to this one. */
static void reset_upstream_statistics(struct server *server)
{
	server->error_rate = 0;
	request_stats_init(&server->request_stats,
			   server->request_stats.epoch + 1);
	server->warm_from_us =
		loop_now_us(server->options.loop) + COLD_START_MS * US_PER_MS;
}

const struct request_stats *serve_request_stats(struct server *server)
{
	int64_t now_us = loop_now_us(server->options.loop);
	struct inbound *inbound;

	DL_FOREACH(server->inbound_attempts, inbound)
		if (inbound->state == INBOUND_RUNNING && inbound->timed)
			request_stats_add_elapsed(&server->request_stats,
						  inbound->stats_kind,
						  &inbound->stats_edges,
						  now_us - inbound->sent_us);
	return &server->request_stats;
}

/* Returns true if the upstream is not the one that was listed last. One that is
 * listed again after a crash is another one, also under the same id. */
static bool is_another_upstream(const struct server *server, const char *id,
				uint64_t start, const struct address *address)
{
	return strcmp(server->upstream_id, id) ||
	       server->upstream_start != start ||
	       !address_equal(&server->upstream, address) ||
	       (!server->has_upstream &&
		crash_watch_has_ended(&server->crash_watch));
}

static void forget_upstream(struct server *server,
			    const struct address *address)
{
	crash_watch_set_upstream(&server->crash_watch, address);
	memset(&server->notice, 0, sizeof(server->notice));
	server->upstream_since_us = clock_monotonic_us();
	gate_clear_rate_limit(server->options.gate);
}

void serve_set_upstream(struct server *server, const char *service,
			const char *id, uint64_t start,
			const struct address *address)
{
	bool is_another = address &&
			  is_another_upstream(server, id, start, address);

	server->has_upstream = address != NULL;
	if (!address || strcmp(server->upstream_id, id) != 0)
		reset_upstream_statistics(server);
	if (!address)
		return;
	if (is_another)
		forget_upstream(server, address);
	server->upstream = *address;
	server->upstream_start = start;
	address_format(address, server->upstream_text);
	strncpy(server->service, service, sizeof(server->service) - 1);
	snprintf(server->upstream_id, sizeof(server->upstream_id), "%s", id);
}

void serve_gate_changed(struct server *server)
{
	inbound_run_gate(server);
}

void serve_announce_leaving(struct server *server)
{
	struct call_frame frame = { .type = FRAME_LEAVING };
	struct serve_peer *peer;

	DL_FOREACH(server->peers, peer)
		link_send(&peer->link, &server->encoder, &frame);
	link_send(&server->local.link, &server->encoder, &frame);
}

void serve_cancel_all(struct server *server)
{
	struct inbound *inbound;
	struct inbound *next;

	DL_FOREACH_SAFE(server->inbound_attempts, inbound, next)
		inbound_abort(inbound, CALL_CANCELLED);
	inbound_run_gate(server);
}

int64_t serve_running_until_us(const struct server *server)
{
	const struct inbound *inbound;
	int64_t until_us = 0;

	DL_FOREACH(server->inbound_attempts, inbound)
		if (inbound->state == INBOUND_RUNNING &&
		    inbound->context.deadline_us > until_us)
			until_us = inbound->context.deadline_us;
	return until_us;
}

bool serve_idle(const struct server *server)
{
	const struct serve_peer *peer;

	if (server->inbound_attempts || server->local.answer_streams ||
	    recent_is_awaited(&server->recent, now(server)))
		return false;
	DL_FOREACH(server->peers, peer)
		if (peer->answer_streams ||
		    wire_conn_queued_bytes(peer->link.conn))
			return false;
	return true;
}

json_t *serve_dump(const struct server *server, int64_t now_us)
{
	const struct recent *recent = &server->recent;

	return json_pack("{s:s, s:b, s:s, s:I, s:I, s:{s:I, s:I, s:I, s:I}}",
			 "service", server->service, "has_upstream",
			 server->has_upstream, "upstream",
			 server->upstream_text, "in_progress",
			 (json_int_t)server->inbound_count, "held_bytes",
			 (json_int_t)server->held_bytes, "recent", "running",
			 (json_int_t)recent->running_count, "ended",
			 (json_int_t)recent->ended_count, "answer_bytes",
			 (json_int_t)recent->answer_bytes, "callers",
			 (json_int_t)recent->caller_count);
}
