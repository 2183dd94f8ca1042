#ifndef STORE_H
#define STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"
#include "base/interface.h"
#include "base/random.h"
#include "event/loop.h"
#include "http/client.h"
#include "store/backoff.h"
#include "store/token_bucket.h"
#include "store/store_defs.h"

/**
 * DOC: store
 *
 * Client of the platform's key-value service. Each call has a deadline. A GET,
 * LIST or PUT that took no effect because the service was unreachable is
 * retried with backoff until the deadline. Each attempt takes a token from the
 * token bucket of the node. A write whose answer is lost is not retried: its
 * outcome is reported as unknown, and the caller has to find out whether the
 * write took effect.
 */

/** typedef store_done_fn - called once at the end of a call, from the loop. */
typedef void store_done_fn(const struct store_result *result, void *data);

/**
 * enum store_transport - how calls reach a service
 *
 * STORE_MANUAL keeps the calls in store.calls until store_end_attempt(): for
 * programs that embed the client with a transport of their own, and for tests.
 */
enum store_transport { STORE_HTTP, STORE_MANUAL };

/**
 * struct store_options - limits of one node
 * @form: wire form of the service, for STORE_HTTP
 * @address: address of the service, for STORE_HTTP
 * @deadline_ms: default deadline of a call, in milliseconds
 * @attempt_timeout_ms: timeout of one attempt, in milliseconds
 * @backoff_base_ms: limit of the first backoff, in milliseconds
 * @backoff_max_ms: maximum backoff, in milliseconds
 * @rate_per_s: maximum rate of attempts, per second
 * @burst: maximum number of attempts at once after an idle time
 * @seed: seed of the jitter
 */
struct store_options {
	enum store_transport transport;
	enum interface_form form;
	struct address address;
	int64_t deadline_ms;
	int64_t attempt_timeout_ms;
	int64_t backoff_base_ms;
	int64_t backoff_max_ms;
	double rate_per_s;
	double burst;
	uint64_t seed;
};

struct store_call;

/**
 * struct store - the client of one node
 * @calls: calls in progress, oldest first
 * @attempts: number of attempts sent, by enum store_kind
 * @failures: number of attempts that ended with STORE_UNREACHABLE
 * @unknown: number of attempts that ended with STORE_UNKNOWN
 * @consecutive_failures: number of failures since the last answer
 * @last_ok_us: monotonic time of the last answer, 0 for never
 * @last_error: error of the last failure
 */
struct store {
	struct loop *loop;
	struct http_client *http;
	struct store_options options;
	struct token_bucket token_bucket;
	struct random random;
	struct store_call *calls;
	uint32_t call_count;
	uint64_t attempts[STORE_KINDS];
	uint64_t failures;
	uint64_t unknown;
	uint32_t consecutive_failures;
	int64_t last_ok_us;
	struct error last_error;
};

/** store_options_default() - set the defaults, without an address. */
void store_options_default(struct store_options *options);

/** store_init() - initialize; @http is borrowed, NULL for STORE_MANUAL. */
void store_init(struct store *store, struct loop *loop,
		struct http_client *http, const struct store_options *options);

/**
 * store_change() - take over another address, other timeouts or another rate
 * @options: only address, deadline, attempt timeout, rate and burst are taken
 *
 * With another address, watches end as if the service were unreachable, since
 * the service may have left the former address without a sign. Other attempts
 * in progress go on; the next one of their call goes to the new address.
 */
void store_change(struct store *store, const struct store_options *options);

/** store_finish() - cancel all calls; no callback is called. */
void store_finish(struct store *store);

/**
 * store_send() - start a call
 *
 * Never calls @done itself.
 *
 * Return: a handle for store_cancel(), valid until @done is called.
 */
struct store_call *store_send(struct store *store,
			      const struct store_request *request,
			      store_done_fn *done, void *data);

/** store_cancel() - end without a callback; a write may still take effect. */
void store_cancel(struct store_call *call);

const struct store_request *store_call_request(const struct store_call *call);

/** store_call_next() - the call started after @call, or NULL. */
struct store_call *store_call_next(const struct store_call *call);

/**
 * store_end_attempt() - end an attempt of a manual transport
 *
 * The call is retried if @result and the deadline allow a retry; otherwise the
 * call ends.
 */
void store_end_attempt(struct store_call *call,
		       const struct store_result *result);

/** store_reason_name() - "fine", "absent", "changed", ... */
const char *store_reason_name(enum store_reason reason);

/** store_dump() - state for operators, to be freed by json_decref(). */
json_t *store_dump(const struct store *store, int64_t now_us);

#endif
