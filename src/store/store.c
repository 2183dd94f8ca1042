#include "store/store.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"
#include "platform/kv.h"
#include "store/store_http.h"

/* Tokens that reads and writes leave for leases: a reader that fetches
 * thousands of bodies must still be able to renew its lease. */
enum { LEASE_RESERVE = 4 };

COUNTER(attempts_count, "platform.calls",
	"Calls sent to the platform's service");
COUNTER(failed_count, "platform.calls_failed",
	"Calls that the platform's service did not answer");
COUNTER(unknown_count, "platform.writes_unknown",
	"Writes whose answer was lost");
COUNTER(held_back_count, "platform.calls_held_back",
	"Calls that waited or failed because the node's budget was spent");
HISTOGRAM(call_time, "platform.call_us",
	  "Time of one answered call, watches left out");

struct store_call {
	struct store *store;
	struct store_request request;
	char key[STORE_KEY_SIZE];
	char holder[STORE_HOLDER_SIZE];
	char after[STORE_KEY_SIZE];
	uint8_t *value;
	store_done_fn *done;
	void *data;
	struct timer timer; /* next attempt */
	struct backoff backoff;
	int64_t deadline_us;
	int64_t sent_us;
	struct http_transfer *transfer;
	struct store_call *next;
	struct store_call *prev;
};

static const char *const reason_names[] = {
	[STORE_OK] = "fine",
	[STORE_ABSENT] = "absent",
	[STORE_CONFLICT] = "changed",
	[STORE_NOT_NEWER] = "not-newer",
	[STORE_HELD] = "held",
	[STORE_UNREACHABLE] = "unreachable",
	[STORE_TIMED_OUT] = "too-late",
	[STORE_REJECTED] = "rejected",
	[STORE_COMPACTED] = "compacted",
};

static const char *const kind_names[STORE_KINDS] = {
	"get", "put", "watch", "list", "acquire", "renew", "release",
};

const char *store_reason_name(enum store_reason reason)
{
	return reason_names[reason];
}

void store_options_default(struct store_options *options)
{
	memset(options, 0, sizeof(*options));
	options->deadline_ms = 5000;
	options->attempt_timeout_ms = 1000;
	options->backoff_base_ms = 100;
	options->backoff_max_ms = 10000;
	options->rate_per_s = 50;
	options->burst = 100;
}

void store_init(struct store *store, struct loop *loop,
		struct http_client *http, const struct store_options *options)
{
	memset(store, 0, sizeof(*store));
	store->loop = loop;
	store->http = http;
	store->options = *options;
	random_init(&store->random, options->seed);
	token_bucket_init(&store->token_bucket, options->rate_per_s,
			  options->burst, clock_monotonic_us());
}

static void call_free(struct store_call *call)
{
	struct store *store = call->store;

	timer_cancel(store->loop, &call->timer);
	DL_DELETE(store->calls, call);
	store->call_count--;
	free(call->value);
	free(call);
}

void store_cancel(struct store_call *call)
{
	if (call->transfer)
		http_client_cancel(call->transfer);
	call_free(call);
}

void store_finish(struct store *store)
{
	struct store_call *call;
	struct store_call *next;

	DL_FOREACH_SAFE(store->calls, call, next)
		store_cancel(call);
}

static void finish(struct store_call *call, const struct store_result *result)
{
	store_done_fn *done = call->done;
	void *data = call->data;

	/* Freed first: the callback may call store_finish(). */
	call_free(call);
	done(result, data);
}

static void finish_with_timeout(struct store_call *call, const char *text)
{
	struct store_result result = {
		.outcome = STORE_NO_EFFECT,
		.reason = STORE_TIMED_OUT,
	};

	error_set(&result.err, ERROR_TIMEOUT, "platform: %s", text);
	finish(call, &result);
}

static bool is_retryable(const struct store_call *call,
			 const struct store_result *result)
{
	if (result->reason != STORE_UNREACHABLE ||
	    result->outcome != STORE_NO_EFFECT)
		return false;
	/* Leases and watches are retried by their users, see lease.h and
	 * reader.h. */
	return call->request.kind == STORE_GET ||
	       call->request.kind == STORE_LIST ||
	       call->request.kind == STORE_PUT;
}

/* Returns false if the deadline is not later than the retry. */
static bool retry_later(struct store_call *call, int64_t wait_ms)
{
	int64_t at_us = clock_monotonic_us() + wait_ms * US_PER_MS;

	if (at_us >= call->deadline_us)
		return false;
	timer_set(call->store->loop, &call->timer, at_us);
	return true;
}

static void record_attempt(struct store_call *call,
			   const struct store_result *result)
{
	struct store *store = call->store;
	int64_t now_us = clock_monotonic_us();

	if (result->outcome == STORE_UNKNOWN) {
		store->unknown++;
		counter_add(&unknown_count, 1);
	}
	if (result->reason != STORE_UNREACHABLE) {
		store->consecutive_failures = 0;
		store->last_ok_us = now_us;
		if (call->request.kind != STORE_WATCH)
			histogram_add(&call_time, now_us - call->sent_us);
		return;
	}
	store->failures++;
	store->consecutive_failures++;
	store->last_error = result->err;
	counter_add(&failed_count, 1);
	log_warn("platform", "call_failed",
		 LOG_TEXT("kind", kind_names[call->request.kind]),
		 LOG_TEXT("key", call->key),
		 LOG_TEXT("reason", result->err.text));
}

void store_end_attempt(struct store_call *call,
		       const struct store_result *result)
{
	struct store *store = call->store;
	struct store_result attempt_result = *result;

	call->transfer = NULL;
	attempt_result.sent_us = call->sent_us;
	record_attempt(call, &attempt_result);
	if (is_retryable(call, &attempt_result) &&
	    retry_later(call, backoff_next_ms(&call->backoff, &store->random)))
		return;
	finish(call, &attempt_result);
}

/* Ends the watches, one for each call of store_end_attempt(), which may change
 * the list of calls. */
static void end_watches(struct store *store)
{
	struct store_result result = {
		.outcome = STORE_NO_EFFECT,
		.reason = STORE_UNREACHABLE,
	};
	struct store_call *call = store->calls;

	error_set(&result.err, ERROR_IO,
		  "platform: the address of the service has changed");
	while (call) {
		struct store_call *next = call->next;

		if (call->request.kind == STORE_WATCH && call->transfer) {
			http_client_cancel(call->transfer);
			store_end_attempt(call, &result);
			next = store->calls;
		}
		call = next;
	}
}

void store_change(struct store *store, const struct store_options *options)
{
	bool moved = !address_equal(&store->options.address, &options->address);

	store->options.address = options->address;
	store->options.deadline_ms = options->deadline_ms;
	store->options.attempt_timeout_ms = options->attempt_timeout_ms;
	if (store->options.rate_per_s < options->rate_per_s ||
	    store->options.rate_per_s > options->rate_per_s)
		token_bucket_init(&store->token_bucket, options->rate_per_s,
				  options->burst, clock_monotonic_us());
	store->options.rate_per_s = options->rate_per_s;
	store->options.burst = options->burst;
	if (moved)
		end_watches(store);
}

static void on_answer(const struct http_answer *answer, void *data)
{
	struct store_call *call = data;
	struct store_result result;
	struct kv_decoded decoded = { .value = NULL };

	switch (call->store->options.form) {
	case INTERFACE_OWN:
		store_http_decode(&result, &call->request, answer);
		break;
	case INTERFACE_PLATFORM:
		kv_decode(&result, &call->request, answer, &decoded);
		break;
	}
	store_end_attempt(call, &result);
	kv_decoded_free(&decoded);
}

static void send_http(struct store_call *call, int64_t attempt_timeout_ms)
{
	const struct store_options *options = &call->store->options;
	struct store_message message = { .body = NULL };

	switch (options->form) {
	case INTERFACE_OWN:
		store_http_encode(&message, &call->request, &options->address,
				  attempt_timeout_ms);
		break;
	case INTERFACE_PLATFORM:
		kv_encode(&message, &call->request, &options->address,
			  attempt_timeout_ms);
		break;
	}
	call->transfer = http_client_send(call->store->http, &message.http,
					  on_answer, call);
	free(message.body);
}

static bool is_lease(enum store_kind kind)
{
	return kind == STORE_ACQUIRE || kind == STORE_RENEW ||
	       kind == STORE_RELEASE;
}

static double reserve_of(const struct store_call *call)
{
	double max_reserve = call->store->token_bucket.burst - 1;

	if (is_lease(call->request.kind))
		return 0;
	return max_reserve < LEASE_RESERVE ? 0 : LEASE_RESERVE;
}

static void delay_or_fail(struct store_call *call)
{
	struct store *store = call->store;

	counter_add(&held_back_count, 1);
	if (!is_lease(call->request.kind) &&
	    retry_later(call, token_bucket_wait_ms(&store->token_bucket,
						   reserve_of(call),
						   clock_monotonic_us())))
		return;
	finish_with_timeout(call,
			    "the call rate limit of this node is exceeded");
}

static void begin_attempt(struct timer *timer, void *data)
{
	struct store_call *call = data;
	struct store *store = call->store;
	int64_t now_us = clock_monotonic_us();
	int64_t attempt_timeout_ms = store->options.attempt_timeout_ms;
	int64_t remaining_ms = (call->deadline_us - now_us) / US_PER_MS;

	if (remaining_ms <= 0) {
		finish_with_timeout(call, "the deadline has passed");
		return;
	}
	if (!token_bucket_take(&store->token_bucket, reserve_of(call),
			       now_us)) {
		delay_or_fail(call);
		return;
	}
	store->attempts[call->request.kind]++;
	counter_add(&attempts_count, 1);
	call->sent_us = now_us;
	log_debug("platform", "store_call",
		  LOG_TEXT("kind", kind_names[call->request.kind]),
		  LOG_TEXT("key", call->key),
		  LOG_NUMBER("revision", (int64_t)call->request.revision));
	switch (store->options.transport) {
	case STORE_HTTP:
		send_http(call, remaining_ms < attempt_timeout_ms
					? remaining_ms
					: attempt_timeout_ms);
		return;
	case STORE_MANUAL:
		return;
	}
}

static void copy_request(struct store_call *call,
			 const struct store_request *request)
{
	call->request = *request;
	snprintf(call->key, sizeof(call->key), "%s", request->key);
	snprintf(call->holder, sizeof(call->holder), "%s",
		 request->holder ? request->holder : "");
	call->request.key = call->key;
	call->request.holder = call->holder;
	if (request->after) {
		snprintf(call->after, sizeof(call->after), "%s",
			 request->after);
		call->request.after = call->after;
	}
	if (!request->size)
		return;
	call->value = malloc(request->size);
	if (!call->value)
		abort();
	memcpy(call->value, request->value, request->size);
	call->request.value = call->value;
}

struct store_call *store_send(struct store *store,
			      const struct store_request *request,
			      store_done_fn *done, void *data)
{
	struct store_call *call = calloc(1, sizeof(*call));
	int64_t now_us = clock_monotonic_us();
	int64_t deadline_ms = request->deadline_ms ? request->deadline_ms
						   : store->options.deadline_ms;

	if (!call)
		abort();
	call->store = store;
	copy_request(call, request);
	call->done = done;
	call->data = data;
	call->deadline_us =
		now_us + (deadline_ms + request->wait_ms) * US_PER_MS;
	backoff_init(&call->backoff, store->options.backoff_base_ms,
		     store->options.backoff_max_ms);
	timer_init(&call->timer, begin_attempt, call);
	timer_set(store->loop, &call->timer, now_us);
	DL_APPEND(store->calls, call);
	store->call_count++;
	return call;
}

const struct store_request *store_call_request(const struct store_call *call)
{
	return &call->request;
}

struct store_call *store_call_next(const struct store_call *call)
{
	return call->next;
}

json_t *store_dump(const struct store *store, int64_t now_us)
{
	char address[ADDRESS_TEXT_SIZE];
	json_t *attempts = json_object();
	int i;

	for (i = 0; i < STORE_KINDS; i++)
		json_object_set_new(
			attempts, kind_names[i],
			json_integer((json_int_t)store->attempts[i]));
	return json_pack(
		"{s:s, s:o, s:i, s:I, s:i, s:I, s:s, s:f, s:I, s:I}", "address",
		address_format(&store->options.address, address), "tries",
		attempts, "in_progress", (int)store->call_count, "failures",
		(json_int_t)store->failures, "failures_in_row",
		(int)store->consecutive_failures, "unknown_writes",
		(json_int_t)store->unknown, "last_error",
		store->last_error.text, "budget_tokens",
		store->token_bucket.tokens, "budget_refused",
		(json_int_t)store->token_bucket.refused_count, "last_ok_ms_ago",
		(json_int_t)(store->last_ok_us
				     ? (now_us - store->last_ok_us) / US_PER_MS
				     : -1));
}
