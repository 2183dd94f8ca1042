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
#include "store/budget.h"
#include "store/store_defs.h"

/**
 * DOC: store
 *
 * Client of the platform's key-value service. Each call has a deadline;
 * reads, and writes that are known not to have run, are tried again within
 * it with backoff; each try takes a token from the node's one budget. A
 * write whose answer is lost is not tried again here: it is reported as
 * unknown, and only whoever knows what it meant can settle it.
 */

/** typedef store_done_fn - called once, from the loop. */
typedef void store_done_fn(const struct store_result *result, void *data);

/**
 * enum store_transport - how calls reach a service
 *
 * STORE_MANUAL keeps them in store.calls until store_end_attempt(): for
 * programs that embed the client over their own transport, and for tests.
 */
enum store_transport { STORE_HTTP, STORE_MANUAL };

/**
 * struct store_options - limits of one node
 * @form: wire form of the service, for STORE_HTTP
 * @deadline_ms: of a call that names none
 * @attempt_timeout_ms: of a single try
 * @backoff_base_ms: longest first wait; doubles up to @backoff_max_ms
 * @rate_per_s: calls a second, with @burst at once after a quiet time
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
 * @calls: in progress, oldest first
 * @attempts: sent, by kind
 * @unknown: writes whose answer was lost
 * @last_ok_us: when the service last answered, 0 for never
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

/** store_options_default() - the documented defaults, without address. */
void store_options_default(struct store_options *options);

/** store_init() - @http is used, not owned; NULL for STORE_MANUAL. */
void store_init(struct store *store, struct loop *loop,
		struct http_client *http, const struct store_options *options);

/** store_finish() - drop all calls without calling back. */
void store_finish(struct store *store);

/**
 * store_send() - begin a call
 *
 * Return: a handle for store_cancel(), valid until @done is called. @done
 * is never called from here.
 */
struct store_call *store_send(struct store *store,
			      const struct store_request *request,
			      store_done_fn *done, void *data);

/** store_cancel() - @done is not called; a write may still take effect. */
void store_cancel(struct store_call *call);

/** store_call_request() - what a call asks for. */
const struct store_request *store_call_request(const struct store_call *call);

/** store_call_next() - the call sent after this one, or NULL. */
struct store_call *store_call_next(const struct store_call *call);

/**
 * store_end_attempt() - the end of one try, from a manual transport
 *
 * The call may be tried again if @result allows it.
 */
void store_end_attempt(struct store_call *call,
		       const struct store_result *result);

/** store_reason_name() - "fine", "absent", "changed", ... */
const char *store_reason_name(enum store_reason reason);

/** store_dump() - its state for people, to be freed by json_decref(). */
json_t *store_dump(const struct store *store, int64_t now_us);

#endif
