#include "call/caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "base/usage.h"
#include "call/content.h"
#include "call/outbound_call.h"
#include "call/quota_check.h"
#include "call/reply.h"
#include "call/tenant_check.h"
#include "os/clock.h"

static const char component[] = "call";

/* Largest share of the calls that may be ended for answers behind them. */
#define HEAD_SHARE_MAX 0.1

enum {
	DUMP_CALLS_MAX = 100,
	HEAD_BURST = 10,
	/* Times that the target time of a kind fits into the time left, for a
	 * request that very probably completes in that time. */
	STOP_TARGETS_MIN = 4,
	/* Time by which the deadline of a nested call may seem to be later than
	 * that of the request that has made it: time in transit, and whole
	 * milliseconds. */
	NESTED_MARGIN_MS = 250,
};

COUNTER(started, "call.started", "Calls taken from callers");
COUNTER(hung_up, "call.hung_up", "Calls whose caller hung up");

static int64_t now(const struct caller *caller)
{
	return loop_now_us(caller->options.loop);
}

static void deadline_expired(struct timer *timer, void *data)
{
	call_step_reason(data, ATTEMPT_EVENT_DEADLINE, CALL_DEADLINE);
}

static void aborted(struct http_exchange *exchange, void *data)
{
	struct call *call = data;

	counter_add(&hung_up, 1);
	call->exchange = NULL;
	call_step_reason(call, ATTEMPT_EVENT_GIVE_UP, CALL_CANCELLED);
}

/* Writes the log line of a request that was refused before it became a call. */
static void log_refused(const struct caller *caller,
			const struct http_exchange *exchange,
			enum call_reason reason, const char *text)
{
	const char *name = caller->options.names->request_id;
	const struct config *config = caller->options.router->config;
	const struct log_field fields[] = {
		LOG_TEXT("request", http_exchange_header(exchange, name)),
		LOG_TEXT("end", call_reason_name(reason)),
		LOG_TEXT("verdict", verdict_name(VERDICT_NOT_RUN)),
		LOG_TEXT("host", http_exchange_header(exchange, "Host")),
		LOG_TEXT("target", http_exchange_target(exchange)),
		LOG_NUMBER("version", config ? (int64_t)config->version : 0),
		LOG_TEXT("text", text),
	};

	log_request(LOG_OUTCOME, component, "call", fields,
		    sizeof(fields) / sizeof(fields[0]));
}

static void refuse(const struct caller *caller, struct http_exchange *exchange,
		   enum call_reason reason, const char *text)
{
	const struct call_outcome outcome = { .verdict = VERDICT_NOT_RUN,
					      .reason = reason };

	call_count_end(VERDICT_NOT_RUN);
	log_refused(caller, exchange, reason, text);
	reply_refusal(exchange, caller->options.names, &outcome, "", text);
}

static enum call_reason reason_of_miss(enum route_result miss)
{
	switch (miss) {
	case ROUTE_FOUND:
		break;
	case ROUTE_NO_CONFIG:
		return CALL_NO_CONFIG;
	case ROUTE_NO_SERVICE:
	case ROUTE_NO_PROFILE:
	case ROUTE_NO_KIND:
	case ROUTE_NO_HOST:
		return CALL_NO_ROUTE;
	case ROUTE_CLOSED:
		return CALL_ROUTE_CLOSED;
	}
	return CALL_REASON_NONE;
}

static int64_t min_us(int64_t a_us, int64_t b_us)
{
	return a_us < b_us ? a_us : b_us;
}

/* Returns the time after which the answer loses value; 0 if there is none. */
static int64_t due_us(struct call *call)
{
	const struct kind *kind = call->match.kind;
	int64_t waited_us;

	if (!kind->target_ms)
		return 0;
	waited_us = due_time_waited_us(&call->caller->due_times, kind->name,
				       kind->timeout_ms * US_PER_MS,
				       call->parsed.context.deadline_us -
					       call->started_us,
				       call->started_us);
	return call->started_us + kind->target_ms * US_PER_MS - waited_us;
}

static void fill_context(struct call *call)
{
	struct call_context *context = &call->parsed.context;
	const struct kind *kind = call->match.kind;
	int64_t latest_us;

	if (!context->deadline_us)
		context->deadline_us =
			call->started_us + kind->deadline_ms * US_PER_MS;
	/* Callers repeat a request on a new connection. */
	call->may_be_repeat =
		repeat_guess_add(&call->caller->repeat_guess, kind->name,
				 context->deadline_us - call->started_us) &&
		http_exchange_is_first(call->exchange);
	latest_us = call->started_us + call->caller->options.deadline_max_us;
	if (kind->timeout_ms)
		latest_us =
			min_us(latest_us,
			       call->started_us + kind->timeout_ms * US_PER_MS);
	placement_init(&call->placement, due_us(call),
		       call->caller->options.seek_room);
	context->deadline_us = min_us(context->deadline_us, latest_us);
	/* A nested call has the weight of the call that causes it. With the
	 * weight of its own kind, the calls that serve an important request
	 * could be the first to be refused. */
	if (!call->parsed.has_weight)
		context->weight = kind->weight;
	memcpy(context->kind, kind->name, sizeof(context->kind));
	if (!*context->request_id)
		snprintf(context->request_id, sizeof(context->request_id),
			 "%016llx-%llu",
			 (unsigned long long)
				 call->caller->options.hub->self.incarnation,
			 (unsigned long long)++call->caller->sequence);
}

static struct fingerprint compute_fingerprint(const struct call *call)
{
	const struct parsed_request *parsed = &call->parsed;
	const struct call_content content = {
		.names = parsed->names,
		.method = http_exchange_method(call->exchange),
		.service = parsed->service,
		.target = http_exchange_target(call->exchange),
		.tenant = parsed->context.tenant,
		.headers = { buffer_data(&parsed->headers),
			     buffer_size(&parsed->headers) },
		.body = call->body,
		.body_size = call->body_size,
	};

	return call_content_fingerprint(&call->caller->fingerprint_key,
					&content);
}

static struct call *call_new(struct caller *caller,
			     struct http_exchange *exchange,
			     const struct parsed_request *parsed,
			     const struct route_match *match)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->caller = caller;
	call->exchange = exchange;
	call->parsed = *parsed;
	call->match = *match;
	call->kind = match->kind;
	call->config = config_ref(match->config);
	call->started_us = http_exchange_started_us(exchange);
	call->body = http_exchange_body(exchange, &call->body_size);
	caller->held_bytes += call->body_size;
	timer_init(&call->deadline, deadline_expired, call);
	timer_init(&call->reconnect, call_reconnect_expired, call);
	DL_APPEND(caller->calls, call);
	caller->call_count++;
	fill_context(call);
	call->fingerprint = compute_fingerprint(call);
	return call;
}

/* Ends the call if the request crashes the upstreams that run it. */
static bool end_if_blocked(struct call *call)
{
	struct quarantine_net *quarantine = call->caller->options.quarantine;
	struct quarantine_decision decision = { .blocked = false };

	if (quarantine)
		decision = quarantine_net_decide_caller(quarantine,
							&call->fingerprint);
	if (!decision.blocked)
		return false;
	call->refusal.reason = CALL_QUARANTINED;
	call->refusal.retry_after_ms = decision.retry_after_ms;
	call_step_reason(call, ATTEMPT_EVENT_GIVE_UP, CALL_QUARANTINED);
	return true;
}

/*
 * Returns true if the request may come from work in progress at an upstream.
 * Such requests are taken during a drain, because that work could not complete
 * without them. An interface without the field for hops does not tell them from
 * requests of clients on the same machine; seems_nested() bounds both.
 */
static bool may_be_nested(const struct caller *caller,
			  const struct http_exchange *exchange)
{
	const char *name = caller->options.names->hops;
	const char *hops = name ? http_exchange_header(exchange, name) : NULL;
	struct address address;

	if (name)
		return hops && strtoul(hops, NULL, 10) > 0;
	http_exchange_caller_address(exchange, &address);
	return caller->nested_until_us &&
	       address_equal(&address, &caller->upstream_ip);
}

/* Returns true if the call seems to be made by a request in progress at the own
 * upstream: it does not outlast these requests. */
static bool seems_nested(const struct call *call)
{
	const struct caller *caller = call->caller;

	if (call->parsed.context.hops)
		return true;
	return may_be_nested(caller, call->exchange) &&
	       call->parsed.context.deadline_us <=
		       caller->nested_until_us + NESTED_MARGIN_MS * US_PER_MS;
}

/*
 * Returns true if the call could have to be cut because this node stops. One
 * that may be repeated is taken if it very probably completes. One that may not
 * is taken only if it cannot be cut: its caller could not send it again. A
 * nested call is taken in any case, because the request in progress that has
 * made it would fail without it.
 */
static bool is_cut_by_stop(const struct call *call)
{
	const struct caller *caller = call->caller;
	const struct kind *kind = call->kind;
	int64_t left_us = caller->work_until_us - now(caller);

	if (!caller->work_until_us || seems_nested(call))
		return false;
	if (caller->draining)
		return true;
	if (call->parsed.context.deadline_us <= caller->work_until_us)
		return false;
	return !kind->repeatable || !kind->target_ms ||
	       kind->target_ms * US_PER_MS * STOP_TARGETS_MIN > left_us;
}

const char *call_tenant_name(const struct call *call)
{
	return call->match.tenant ? call->match.tenant->name : NULL;
}

static void begin_call(struct call *call)
{
	const struct attempt_options options = {
		.repeatable = call->kind->repeatable,
		.ask_back = call->caller->options.ask_back,
		.attempts_max = call->kind->attempts_max,
		.inherited_attempts = call->parsed.context.attempts,
		.budget = &call->match.pool->budget,
		.error_budget = call->caller->options.retry_errors
					? &call->match.pool->error_budget
					: NULL,
		.deadline_us = call->parsed.context.deadline_us,
	};

	counter_add(&started, 1);
	if (call_tenant_name(call))
		usage_add(call_tenant_name(call), USAGE_REQUESTS);
	retry_budget_deposit(&call->caller->head_budget);
	call_attempts_init(&call->call_attempts, &options);
	http_exchange_on_abort(call->exchange, aborted, call);
	if (options.deadline_us <= clock_monotonic_us()) {
		call_step_reason(call, ATTEMPT_EVENT_DEADLINE, CALL_DEADLINE);
		return;
	}
	if (is_cut_by_stop(call)) {
		call_step_reason(call, ATTEMPT_EVENT_GIVE_UP, CALL_DRAINING);
		return;
	}
	if (end_if_blocked(call))
		return;
	timer_set(call->caller->options.loop, &call->deadline,
		  options.deadline_us);
	if (quota_check_begin(call))
		call_begin_attempt(call);
}

static enum call_reason over_limit(const struct caller *caller,
				   struct http_exchange *exchange)
{
	size_t size;

	http_exchange_body(exchange, &size);
	if (caller->drained ||
	    (caller->draining && !may_be_nested(caller, exchange)))
		return CALL_DRAINING;
	if (caller->call_count + caller->startup_queue.count >=
		    caller->options.calls_max ||
	    caller->held_bytes + size > caller->options.held_bytes_max)
		return CALL_OVERLOAD;
	return CALL_REASON_NONE;
}

static enum route_result match_route(const struct caller *caller,
				     const struct http_exchange *exchange,
				     struct parsed_request *parsed,
				     struct route_match *match)
{
	struct router *router = caller->options.router;
	const char *target = http_exchange_target(exchange);
	char path[CALL_TARGET_SIZE];
	enum route_result miss;

	if (!caller->options.names->by_host)
		return router_match(router, parsed->service,
				    http_exchange_method(exchange),
				    http_exchange_path(exchange), match);
	snprintf(path, sizeof(path), "%.*s", (int)strcspn(target, "?"), target);
	miss = router_match_host(router, http_exchange_header(exchange, "Host"),
				 path, match);
	if (miss == ROUTE_FOUND)
		memcpy(parsed->service, match->pool->service,
		       sizeof(parsed->service));
	return miss;
}

/* Returns true if a node that has just started may still learn the route. */
static bool may_become_routable(enum route_result miss,
				const struct route_match *match)
{
	switch (miss) {
	case ROUTE_FOUND:
		return !match->pool->count;
	case ROUTE_NO_CONFIG:
	case ROUTE_NO_SERVICE:
		return true;
	case ROUTE_NO_PROFILE:
	case ROUTE_NO_KIND:
	case ROUTE_NO_HOST:
	case ROUTE_CLOSED:
		break;
	}
	return false;
}

void caller_handle(struct http_exchange *exchange, void *data)
{
	struct caller *caller = data;
	struct error err = ERROR_INIT;
	struct route_match match;
	struct parsed_request parsed;
	enum route_result miss;
	enum call_reason reason = over_limit(caller, exchange);

	if (reason != CALL_REASON_NONE) {
		refuse(caller, exchange, reason, NULL);
		return;
	}
	reason = parsed_request_read(&parsed, caller->options.names,
				     caller->options.service, exchange,
				     http_exchange_started_us(exchange), &err);
	if (reason != CALL_REASON_NONE) {
		parsed_request_finish(&parsed);
		refuse(caller, exchange, reason, err.text);
		return;
	}
	miss = match_route(caller, exchange, &parsed, &match);
	if (may_become_routable(miss, &match) &&
	    startup_queue_add(&caller->startup_queue, exchange,
			      parsed.context.deadline_us)) {
		parsed_request_finish(&parsed);
		return;
	}
	if (miss != ROUTE_FOUND) {
		parsed_request_finish(&parsed);
		refuse(caller, exchange, reason_of_miss(miss),
		       route_result_text(miss));
		return;
	}
	reason = call_admit_tenant(caller, exchange, &parsed, &match, &err);
	if (reason != CALL_REASON_NONE) {
		parsed_request_finish(&parsed);
		refuse(caller, exchange, reason, err.text);
		return;
	}
	begin_call(call_new(caller, exchange, &parsed, &match));
}

void caller_leaving(struct caller *caller, const char *instance)
{
	struct router *router = caller->options.router;
	struct endpoint *endpoint = router_find(router, instance);
	struct record record;

	if (!endpoint)
		return;
	record = endpoint->record;
	record.state = UPSTREAM_LEAVING;
	router_set_record(router, &record, endpoint->reachable, now(caller));
}

void caller_init(struct caller *caller, const struct caller_options *options,
		 struct link_pipe *to_server)
{
	memset(caller, 0, sizeof(*caller));
	caller->options = *options;
	fingerprint_key_init(&caller->fingerprint_key, &options->hub->key);
	caller->table = calloc(CALL_TABLE_BUCKETS, sizeof(struct call *));
	if (!caller->table)
		abort();
	encoder_init(&caller->encoder);
	retry_budget_init(&caller->head_budget, HEAD_SHARE_MAX, HEAD_BURST);
	caller->local.link.kind = LINK_LOCAL;
	caller->local.link.pipe = to_server;
	startup_queue_init(&caller->startup_queue, options->loop, caller_handle,
			   caller);
	outbound_init(caller);
}

void caller_set_upstream(struct caller *caller, const struct address *address)
{
	memset(&caller->upstream_ip, 0, sizeof(caller->upstream_ip));
	if (!address)
		return;
	caller->upstream_ip = *address;
	caller->upstream_ip.port = 0;
}

void caller_finish(struct caller *caller)
{
	struct call *call;
	struct call *next;

	DL_FOREACH_SAFE(caller->calls, call, next) {
		call_end_attempt(call, ENDPOINT_CANCELLED, -1,
				 VERDICT_MAY_HAVE_RUN, "stopped");
		call_free(call);
	}
	startup_queue_finish(&caller->startup_queue);
	outbound_finish(caller);
	encoder_finish(&caller->encoder);
	free((void *)caller->table);
}

void caller_cancel_all(struct caller *caller)
{
	struct call *call;
	struct call *next;

	DL_FOREACH_SAFE(caller->calls, call, next)
		call_step_reason(call, ATTEMPT_EVENT_GIVE_UP, CALL_CANCELLED);
}

static json_t *dump_call(const struct call *call, int64_t now_us)
{
	static const char *const states[] = { "idle", "waiting", "sent",
					      "asking", "ended" };
	const struct call_context *context = &call->parsed.context;

	return json_pack(
		"{s:s, s:s, s:s, s:s, s:s, s:I, s:I, s:I, s:I}", "request",
		context->request_id, "service", call->parsed.service, "kind",
		context->kind, "state", states[call->call_attempts.state],
		"upstream",
		call->endpoint ? call->endpoint->record.instance : "",
		"sequence", (json_int_t)call->sequence, "tries",
		(json_int_t)call->call_attempts.attempt_count, "age_ms",
		(json_int_t)((now_us - call->started_us) / US_PER_MS),
		"left_ms",
		(json_int_t)((context->deadline_us - now_us) / US_PER_MS));
}

json_t *caller_dump(const struct caller *caller, int64_t now_us)
{
	json_t *calls = json_array();
	const struct call *call;
	uint32_t shown = 0;

	DL_FOREACH(caller->calls, call) {
		if (shown++ == DUMP_CALLS_MAX)
			break;
		json_array_append_new(calls, dump_call(call, now_us));
	}
	return json_pack("{s:b, s:I, s:I, s:I, s:o}", "draining",
			 caller->draining, "in_progress",
			 (json_int_t)caller->call_count, "held_bytes",
			 (json_int_t)caller->held_bytes, "next_sequence",
			 (json_int_t)caller->sequence + 1, "calls", calls);
}
