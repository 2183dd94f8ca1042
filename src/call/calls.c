#include "call/calls.h"

#include <string.h>

#include "base/counter.h"
#include "os/clock.h"

enum {
	CALLS_MAX = 4096,
	HELD_MAX_BYTES = 32 * 1024 * 1024,
	BODY_MAX_BYTES = 1024 * 1024,
	ANSWER_MAX_BYTES = 4 * 1024 * 1024,
	OUTCOME_MAX = 16384,
	OUTCOME_MIN = 256,
	OUTCOME_MAX_BYTES = 16 * 1024 * 1024,
	RECENT_CALLERS = 16384,
	SILENCE_MS = 1000,
	CONNECT_TIMEOUT_MS = 1000,
	PINGS_PER_SILENCE = 4,
	RETIRES_PER_SILENCE = 10,
	DRAIN_CHECK_US = 5 * US_PER_MS,
};

COUNTER(malformed, "call.frames_malformed",
	"Connections closed over a call frame that breaks the protocol");
COUNTER(leaving, "call.leaving_heard", "Peers that said they are leaving");

struct calls_options calls_defaults(void)
{
	const struct calls_options options = {
		.calls_max = CALLS_MAX,
		.held_bytes_max = HELD_MAX_BYTES,
		.body_bytes_max = BODY_MAX_BYTES,
		.answer_bytes_max = ANSWER_MAX_BYTES,
		.silence_ms = SILENCE_MS,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.deadline_max_ms = CALL_DEADLINE_MAX_MS,
		.keep_rate_limit = true,
		.heed_leaving = true,
		.by_speed = true,
		.ask_back = true,
		.retry_errors = true,
		.require_keys = true,
		.seek_room = true,
		.outcome_max = OUTCOME_MAX,
		.outcome_max_bytes = OUTCOME_MAX_BYTES,
	};

	return options;
}

static bool from_server(const struct call_frame *frame)
{
	return frame->type == FRAME_ANSWER ||
	       frame->type == FRAME_ANSWER_PART ||
	       frame->type == FRAME_REFUSAL ||
	       frame->type == FRAME_QUERY_RESULT;
}

static void dialed_frame(struct calls *calls, struct wire_conn *conn,
			 const struct call_frame *frame)
{
	if (from_server(frame)) {
		caller_frame(&calls->caller, frame);
		return;
	}
	if (frame->type == FRAME_LEAVING) {
		counter_add(&leaving, 1);
		caller_leaving(&calls->caller, conn->peer.instance);
		return;
	}
	counter_add(&malformed, 1);
	wire_conn_close(conn, ERROR_PROTOCOL,
			"call frame in the wrong direction");
}

static void hub_frame(struct wire_conn *conn, const struct message *message,
		      void *data)
{
	struct calls *calls = data;
	struct error err = ERROR_INIT;
	struct call_frame frame;

	if (!call_frame_decode(&frame, message, &err)) {
		counter_add(&malformed, 1);
		wire_conn_close(conn, err.code, err.text);
		return;
	}
	if (conn->dialed)
		dialed_frame(calls, conn, &frame);
	else
		serve_frame(&calls->server, serve_peer_of(&calls->server, conn),
			    &frame);
}

static void hub_state(struct wire_conn *conn, void *data)
{
	struct calls *calls = data;

	if (conn->dialed)
		caller_conn_state(&calls->caller, conn);
	else
		serve_conn_state(&calls->server, conn);
}

static void local_request_frame(const struct call_frame *frame, void *data)
{
	struct calls *calls = data;

	serve_frame(&calls->server, &calls->server.local, frame);
}

static void local_answer_frame(const struct call_frame *frame, void *data)
{
	struct calls *calls = data;

	if (frame->type == FRAME_LEAVING)
		caller_leaving(&calls->caller,
			       calls->options.hub->self.instance);
	else
		caller_frame(&calls->caller, frame);
}

/* Answers are sent from the store of recent attempts; the largest must fit. */
static struct recent_limits memory_limits(const struct calls_options *options)
{
	struct recent_limits limits = {
		.entries_max = options->outcome_max,
		.answer_bytes_max = options->outcome_max_bytes,
		.callers_max = RECENT_CALLERS,
	};
	size_t min = 2 * (options->answer_bytes_max + CALL_PART_BYTES);

	if (limits.entries_max < OUTCOME_MIN)
		limits.entries_max = OUTCOME_MIN;
	if (limits.answer_bytes_max < min)
		limits.answer_bytes_max = min;
	return limits;
}

static void init_server(struct calls *calls)
{
	const struct calls_options *options = &calls->options;
	int64_t silence_us = options->silence_ms * US_PER_MS;
	const struct serve_options server = {
		.loop = options->loop,
		.hub = options->hub,
		.gate = options->gate,
		.client = options->client,
		.names = call_names(options->form),
		.quarantine = options->quarantine,
		.keep_rate_limit = options->keep_rate_limit,
		.heed_leaving = options->heed_leaving,
		.by_speed = options->by_speed,
		.limits = memory_limits(options),
		.connect_timeout_ms = options->connect_timeout_ms,
		.held_bytes_max = options->held_bytes_max,
		.body_bytes_max = options->body_bytes_max,
		.answer_bytes_max = options->answer_bytes_max,
		.ping_us = silence_us / PINGS_PER_SILENCE,
		.silence_us = silence_us,
		.reconnect_max_us = 2 * silence_us,
		.callbacks = options->callbacks,
	};

	serve_init(&calls->server, &server, local_answer_frame, calls);
}

static void init_caller(struct calls *calls)
{
	const struct calls_options *options = &calls->options;
	int64_t silence_us = options->silence_ms * US_PER_MS;
	const struct caller_options caller = {
		.loop = options->loop,
		.hub = options->hub,
		.router = options->router,
		.names = call_names(options->form),
		.quarantine = options->quarantine,
		.quota = options->quota,
		.retries = options->retries,
		.service = options->service,
		.calls_max = options->calls_max,
		.held_bytes_max = options->held_bytes_max,
		.answer_bytes_max = options->answer_bytes_max,
		.ping_us = silence_us / PINGS_PER_SILENCE,
		.silence_us = silence_us,
		.connect_timeout_us = options->connect_timeout_ms * US_PER_MS,
		.deadline_max_us = options->deadline_max_ms * US_PER_MS,
		.ask_back = options->ask_back,
		.retry_errors = options->retry_errors,
		.require_keys = options->require_keys,
		.seek_room = options->seek_room,
		.end_heads = options->end_heads,
		.retire_us = RETIRES_PER_SILENCE * silence_us,
		.on_peer_silent = options->on_peer_silent,
		.data = options->data,
	};

	caller_init(&calls->caller, &caller, &calls->to_server);
}

static bool all_answers_sent(const struct calls *calls)
{
	return serve_idle(&calls->server) &&
	       (!calls->options.callers ||
		!calls->options.callers->exchange_count);
}

static void drain_check(struct timer *timer, void *data)
{
	struct calls *calls = data;
	int64_t now_us = loop_now_us(calls->options.loop);
	bool over = now_us >= calls->drain_until_us;

	if (over) {
		caller_cancel_all(&calls->caller);
		serve_cancel_all(&calls->server);
	}
	/* After the drain time, peers and callers get CALLS_DRAIN_FLUSH_MS to
	 * read their last answers. */
	if (calls->caller.call_count ||
	    (!all_answers_sent(calls) &&
	     now_us < calls->drain_until_us +
			      CALLS_DRAIN_FLUSH_MS * US_PER_MS)) {
		timer_set(calls->options.loop, timer, now_us + DRAIN_CHECK_US);
		return;
	}
	calls->caller.drained = true;
	if (calls->options.drained)
		calls->options.drained(calls->options.data);
}

void calls_init(struct calls *calls, const struct calls_options *options)
{
	memset(calls, 0, sizeof(*calls));
	calls->options = *options;
	link_pipe_init(&calls->to_server, options->loop, local_request_frame,
		       calls);
	timer_init(&calls->drain_check, drain_check, calls);
	init_server(calls);
	init_caller(calls);
	wire_hub_register(options->hub, FRAME_RANGE_CALL, hub_frame, hub_state,
			  calls);
	warm_init(&calls->warm, options->loop, options->hub, options->router,
		  options->warm_connections);
}

void calls_finish(struct calls *calls)
{
	wire_hub_register(calls->options.hub, FRAME_RANGE_CALL, NULL, NULL,
			  NULL);
	timer_cancel(calls->options.loop, &calls->drain_check);
	warm_finish(&calls->warm);
	caller_finish(&calls->caller);
	serve_finish(&calls->server);
	link_pipe_finish(&calls->to_server);
}

void calls_handle(struct http_exchange *exchange, void *data)
{
	struct calls *calls = data;

	if (calls->caller.work_until_us)
		calls->caller.nested_until_us =
			serve_running_until_us(&calls->server);
	caller_handle(exchange, &calls->caller);
}

void calls_set_upstream(struct calls *calls, const char *service,
			const char *id, uint64_t start,
			const struct address *address)
{
	serve_set_upstream(&calls->server, service, id, start, address);
	caller_set_upstream(&calls->caller, address);
}

void calls_set_upstream_leaving(struct calls *calls, bool leaving)
{
	crash_watch_set_leaving(&calls->server.crash_watch, leaving);
}

const struct request_stats *calls_request_stats(struct calls *calls)
{
	return serve_request_stats(&calls->server);
}

void calls_gate_changed(struct calls *calls)
{
	serve_gate_changed(&calls->server);
}

void calls_leave(struct calls *calls)
{
	serve_announce_leaving(&calls->server);
}

void calls_begin_leaving(struct calls *calls, int64_t work_until_us)
{
	calls->caller.options.end_heads = false;
	calls->caller.work_until_us = work_until_us;
	calls->server.work_until_us = work_until_us;
	calls->caller.stopping_us = loop_now_us(calls->options.loop);
}

void calls_drain(struct calls *calls, int64_t drain_ms)
{
	int64_t now_us = loop_now_us(calls->options.loop);

	if (calls->draining)
		return;
	calls->draining = true;
	calls->caller.draining = true;
	calls->server.draining = true;
	calls->drain_until_us = now_us + drain_ms * US_PER_MS;
	calls->caller.work_until_us = calls->drain_until_us;
	serve_announce_leaving(&calls->server);
	if (calls->options.callers)
		http_server_disable_keep_alive(calls->options.callers);
	timer_set(calls->options.loop, &calls->drain_check, now_us);
}

json_t *calls_dump(const struct calls *calls)
{
	int64_t now_us = clock_monotonic_us();

	return json_pack("{s:b, s:o, s:o}", "draining", calls->draining,
			 "caller", caller_dump(&calls->caller, now_us),
			 "server", serve_dump(&calls->server, now_us));
}
