#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "call/outbound_call.h"
#include "os/clock.h"

static const char component[] = "call";

enum {
	CONN_DATA_SLOT = FRAME_RANGE_CALL / 16,
	PUSH_INTERVAL_US = US_PER_MS,
	/* A node that has used up its CPU quota is paused for up to 100 ms, and
	 * so may this node be. */
	CONNECT_TIMEOUT_MIN_US = 150 * US_PER_MS,
	/* Time for an answer to travel to the caller. */
	DUE_MARGIN_US = 5 * US_PER_MS,
};

COUNTER(silent, "call.connections_silent",
	"Connections to nodes that fell silent with calls outstanding");

static int64_t now(const struct caller *caller)
{
	return loop_now_us(caller->options.loop);
}

static void start_tick(struct caller *caller)
{
	if (timer_is_set(&caller->tick))
		return;
	caller->tick_due_us = now(caller) + caller->options.ping_us;
	timer_set(caller->options.loop, &caller->tick, caller->tick_due_us);
}

static struct call_peer *peer_new(struct caller *caller, struct wire_conn *conn)
{
	struct call_peer *peer = calloc(1, sizeof(*peer));

	if (!peer)
		abort();
	peer->link.kind = LINK_WIRE;
	peer->link.conn = conn;
	peer->since_us = now(caller);
	conn->component_data[CONN_DATA_SLOT] = peer;
	DL_APPEND(caller->peers, peer);
	return peer;
}

static struct call_peer *peer_to(struct caller *caller,
				 const struct address *to)
{
	struct wire_conn *conn = wire_hub_connect(caller->options.hub, to);
	struct call_peer *peer = conn->component_data[CONN_DATA_SLOT];

	return peer ? peer : peer_new(caller, conn);
}

static struct adaptive_timeout *connect_timeout(struct caller *caller,
						const struct call_peer *peer)
{
	return peer->remote ? &caller->connect_timeout_remote
			    : &caller->connect_timeout;
}

static bool is_own(const struct caller *caller, const struct endpoint *endpoint)
{
	return !strcmp(endpoint->record.instance,
		       caller->options.hub->self.instance);
}

void outbound_attach(struct call *call)
{
	struct caller *caller = call->caller;
	struct call_peer *peer =
		is_own(caller, call->endpoint)
			? &caller->local
			: peer_to(caller, &call->endpoint->record.address);

	outbound_detach(call);
	peer->remote = !call->endpoint->local;
	DL_APPEND2(peer->calls, call, peer_prev, peer_next);
	peer->link.outstanding++;
	call->peer = peer;
	start_tick(caller);
}

void outbound_detach(struct call *call)
{
	struct call_peer *peer = call->peer;

	if (!peer)
		return;
	DL_DELETE2(peer->calls, call, peer_prev, peer_next);
	peer->link.outstanding--;
	call->peer = NULL;
}

static struct call_id id_of(const struct call *call)
{
	struct call_id id = {
		.incarnation = call->caller->options.hub->self.incarnation,
		.sequence = call->sequence,
	};

	return id;
}

/* Returns the microseconds until the answer must leave the remote node to be in
 * time here; 0 if the attempt need not be in time. */
static int64_t remote_due_us(const struct call *call)
{
	int64_t left_us = call->placement.due_us - clock_monotonic_us();

	if (!call->placement.due_us || call->placement.pass > PLACEMENT_IN_TIME)
		return 0;
	return left_us > DUE_MARGIN_US ? left_us - DUE_MARGIN_US : 1;
}

static size_t next_part(const struct call *call)
{
	size_t left = call->body_size - call->body_queued;

	return left < CALL_PART_BYTES ? left : CALL_PART_BYTES;
}

/* Queues further parts of a body. The link accepted the head, so a part that it
 * rejects now is accepted later, or the link is lost. */
static void push(struct call *call)
{
	struct caller *caller = call->caller;

	while (call->body_queued < call->body_size &&
	       link_has_room(&call->peer->link)) {
		struct call_frame frame = {
			.type = FRAME_CALL_PART,
			.id = id_of(call),
			.part = { .offset = call->body_queued,
				  .part = { call->body + call->body_queued,
					    next_part(call) } },
		};

		if (!link_send(&call->peer->link, &caller->encoder, &frame))
			break;
		call->body_queued += frame.part.part.size;
	}
	if (call->body_queued < call->body_size && !timer_is_set(&caller->push))
		timer_set(caller->options.loop, &caller->push,
			  now(caller) + PUSH_INTERVAL_US);
}

static void push_expired(struct timer *timer, void *data)
{
	struct caller *caller = data;
	struct call *call;

	DL_FOREACH(caller->calls, call)
		if (call->peer && call->call_attempts.state == ATTEMPT_SENT &&
		    call->body_queued < call->body_size)
			push(call);
}

bool outbound_send(struct call *call)
{
	const char *target = http_exchange_target(call->exchange);
	const char *method = http_exchange_method(call->exchange);
	const struct buffer *headers = &call->parsed.headers;
	struct call_frame frame = {
		.type = FRAME_CALL,
		.id = id_of(call),
		.request = {
			.context = call->parsed.context,
			.wait_us = call->call_attempts.deadline_us -
				   clock_monotonic_us(),
			.repeatable = call->call_attempts.repeatable,
			.queue_max = (uint32_t)call->kind->queue_max,
			.target = { (const uint8_t *)target, strlen(target) },
			.headers = { buffer_data(headers),
				     buffer_size(headers) },
			.body_size = call->body_size,
		},
	};
	struct call_request *request = &frame.request;

	memcpy(request->method, method, strlen(method) + 1);
	memcpy(request->service, call->parsed.service,
	       sizeof(request->service));
	request->context.attempts = call->call_attempts.taken;
	request->due_us = remote_due_us(call);
	request->wait_max_us = call->placement.wait_max_us;
	request->context.weight =
		placement_weight(&call->placement, request->context.weight);
	call->body_queued = 0;
	request->part.data = call->body;
	request->part.size = next_part(call);
	if (!link_send(&call->peer->link, &call->caller->encoder, &frame))
		return false;
	call->body_queued = request->part.size;
	push(call);
	return true;
}

void outbound_query(struct call *call)
{
	struct call_frame frame = {
		.type = FRAME_QUERY,
		.id = id_of(call),
		.incarnation = call->call_attempts.incarnation,
	};

	link_send(&call->peer->link, &call->caller->encoder, &frame);
}

void outbound_cancel(struct call *call, enum call_reason reason)
{
	struct call_frame frame = { .type = FRAME_CANCEL,
				    .id = id_of(call),
				    .reason = reason };

	/* Nodes that run an earlier release do not know the newer reason. */
	if (reason == CALL_HOLDS_OTHERS)
		frame.reason = CALL_CANCELLED;
	if (call->peer)
		link_send(&call->peer->link, &call->caller->encoder, &frame);
}

/* Passes an event to each call on a link. Calls may leave the link during the
 * loop; calls that join the link during the loop do not get the event. */
static void notify_calls(struct call_peer *peer,
			 const struct attempt_event *event)
{
	struct call *call = peer->calls;
	struct call *last = call ? call->peer_prev : NULL;

	while (call) {
		struct call *next = call == last ? NULL : call->peer_next;

		call_step(call, event);
		call = next;
	}
}

static void peer_opened(struct caller *caller, struct call_peer *peer)
{
	const struct attempt_event event = {
		.type = ATTEMPT_EVENT_OPENED,
		.incarnation = peer->link.conn->peer.incarnation,
	};

	adaptive_timeout_add_sample(connect_timeout(caller, peer),
				    now(caller) - peer->since_us);
	notify_calls(peer, &event);
}

static void log_lost(const struct call_peer *peer)
{
	const struct wire_conn *conn = peer->link.conn;

	log_info(component, "link_lost", LOG_TEXT("peer", conn->peer.instance),
		 LOG_NUMBER("calls", peer->link.outstanding),
		 LOG_NUMBER("opened", conn->established),
		 LOG_TEXT("reason", conn->err.text));
}

static void peer_closed(struct caller *caller, struct call_peer *peer)
{
	const struct attempt_event event = {
		.type = ATTEMPT_EVENT_CLOSED,
		.timed_out = peer->link.conn->err.code == ERROR_TIMEOUT,
	};

	if (peer->link.outstanding)
		log_lost(peer);
	notify_calls(peer, &event);
	DL_DELETE(caller->peers, peer);
	free(peer);
}

void caller_conn_state(struct caller *caller, struct wire_conn *conn)
{
	struct call_peer *peer = conn->component_data[CONN_DATA_SLOT];

	if (!peer)
		return;
	if (conn->state == WIRE_CONN_OPEN) {
		peer_opened(caller, peer);
		return;
	}
	conn->component_data[CONN_DATA_SLOT] = NULL;
	peer_closed(caller, peer);
}

/* Reports a silent peer to the owner. Without the report, every node would
 * detect a dead peer only by losing calls of its own. */
static void report_silent(const struct caller *caller,
			  const struct call_peer *peer)
{
	const struct call *call = peer->calls;

	if (caller->options.on_peer_silent && call && call->endpoint)
		caller->options.on_peer_silent(&call->endpoint->record,
					       caller->options.data);
}

/* Retires a silent connection and opens another one, on which its calls send
 * queries. The old connection stays open for a while, because its answers may
 * only be late. */
static void peer_silent(struct caller *caller, struct call_peer *peer)
{
	const struct attempt_event event = { .type = ATTEMPT_EVENT_SILENT };

	counter_add(&silent, 1);
	report_silent(caller, peer);
	peer->retired = true;
	peer->since_us = now(caller);
	wire_hub_reconnect(caller->options.hub,
			   &peer->link.conn->remote_address);
	notify_calls(peer, &event);
}

static void check_peer(struct caller *caller, struct call_peer *peer)
{
	const struct caller_options *options = &caller->options;
	int64_t age_us = now(caller) - peer->since_us;

	if (peer->retired) {
		if (age_us >= options->retire_us)
			wire_conn_close(peer->link.conn, ERROR_TIMEOUT,
					"connection has fallen silent");
		return;
	}
	if (!link_open(&peer->link)) {
		if (age_us < adaptive_timeout_us(connect_timeout(caller, peer),
						 CONNECT_TIMEOUT_MIN_US,
						 options->connect_timeout_us))
			return;
		report_silent(caller, peer);
		wire_conn_close(peer->link.conn, ERROR_TIMEOUT,
				"connection took too long");
		return;
	}
	if (link_check(&peer->link, options->ping_us, options->silence_us,
		       now(caller)) == LINK_SILENT)
		peer_silent(caller, peer);
}

static bool needs_tick(const struct caller *caller)
{
	const struct call_peer *peer;

	DL_FOREACH(caller->peers, peer)
		if (peer->calls || peer->retired)
			return true;
	return false;
}

/* Excludes a pause of this process, shown by a late tick, from all timeouts. */
static void exclude_own_pause(struct caller *caller)
{
	int64_t late_us = now(caller) - caller->tick_due_us;
	struct call_peer *peer;

	if (late_us < caller->options.ping_us)
		return;
	DL_FOREACH(caller->peers, peer) {
		link_exclude_pause(&peer->link, late_us);
		peer->since_us += late_us;
	}
}

static void tick_expired(struct timer *timer, void *data)
{
	struct caller *caller = data;
	struct call_peer *peer;
	struct call_peer *next;

	exclude_own_pause(caller);
	DL_FOREACH_SAFE(caller->peers, peer, next)
		check_peer(caller, peer);
	if (needs_tick(caller))
		start_tick(caller);
}

void outbound_init(struct caller *caller)
{
	timer_init(&caller->tick, tick_expired, caller);
	timer_init(&caller->push, push_expired, caller);
}

void outbound_finish(struct caller *caller)
{
	struct call_peer *peer;
	struct call_peer *next;

	timer_cancel(caller->options.loop, &caller->tick);
	timer_cancel(caller->options.loop, &caller->push);
	DL_FOREACH_SAFE(caller->peers, peer, next) {
		peer->link.conn->component_data[CONN_DATA_SLOT] = NULL;
		free(peer);
	}
	caller->peers = NULL;
}
