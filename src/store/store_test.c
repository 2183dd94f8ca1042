#include <apr_general.h>
#include <criterion/criterion.h>
#include <string.h>

#include "http/server.h"
#include "os/clock.h"
#include "store/store.h"

enum { TURNS = 2000, TURN_US = 2000 };

static struct loop loop;
static struct store store;
static uint32_t ends;
static struct store_result last;

static void done(const struct store_result *result, void *data)
{
	ends++;
	last = *result;
}

static void setup_with(double rate_per_s, double burst)
{
	struct store_options options;
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	store_options_default(&options);
	options.transport = STORE_MANUAL;
	options.backoff_base_ms = 1;
	options.backoff_max_ms = 2;
	options.deadline_ms = 60000;
	options.rate_per_s = rate_per_s;
	options.burst = burst;
	options.seed = 1;
	store_init(&store, &loop, NULL, &options);
}

static void setup(void)
{
	setup_with(1000, 100);
}

static void teardown(void)
{
	store_finish(&store);
	loop_finish(&loop);
}

static uint64_t attempts(void)
{
	uint64_t all = 0;
	int i;

	for (i = 0; i < STORE_KINDS; i++)
		all += store.attempts[i];
	return all;
}

static void turn_until_attempts(uint64_t wanted)
{
	int i;

	for (i = 0; i < TURNS && attempts() < wanted; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_geq(attempts(), wanted);
}

static void answer(enum store_outcome outcome, enum store_reason reason)
{
	struct store_result result = { .outcome = outcome, .reason = reason };

	store_end_attempt(store.calls, &result);
}

/*
 * Guards against a write that runs twice, and against a call that fails
 * although a retry is safe: whether a call may be retried depends on its kind
 * and result.
 */
Test(store, only_what_surely_did_not_run_is_tried_again, .init = setup,
     .fini = teardown)
{
	static const struct {
		enum store_kind kind;
		enum store_outcome outcome;
		enum store_reason reason;
		bool again;
	} cases[] = {
		{ STORE_GET, STORE_NO_EFFECT, STORE_UNREACHABLE, true },
		{ STORE_GET, STORE_NO_EFFECT, STORE_ABSENT, false },
		{ STORE_PUT, STORE_NO_EFFECT, STORE_UNREACHABLE, true },
		{ STORE_PUT, STORE_UNKNOWN, STORE_UNREACHABLE, false },
		{ STORE_PUT, STORE_NO_EFFECT, STORE_CONFLICT, false },
		{ STORE_PUT, STORE_TOOK_EFFECT, STORE_OK, false },
		{ STORE_WATCH, STORE_NO_EFFECT, STORE_UNREACHABLE, false },
		{ STORE_ACQUIRE, STORE_NO_EFFECT, STORE_UNREACHABLE, false },
		{ STORE_RENEW, STORE_UNKNOWN, STORE_UNREACHABLE, false },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct store_request request = { .kind = cases[i].kind,
						 .key = "k" };
		uint32_t before = ends;

		store_send(&store, &request, done, NULL);
		turn_until_attempts(attempts() + 1);
		answer(cases[i].outcome, cases[i].reason);
		cr_expect_eq(ends == before, cases[i].again, "row %zu", i);
		if (!cases[i].again) {
			cr_expect_eq(last.reason, cases[i].reason);
			continue;
		}
		turn_until_attempts(attempts() + 1);
		answer(STORE_TOOK_EFFECT, STORE_OK);
		cr_expect_eq(ends, before + 1);
	}
}

/*
 * Guards against one node that uses the capacity of the store for all nodes,
 * for instance because of a fault or of thousands of missing bodies.
 */
Test(store, a_spent_budget_delays_reads_and_fails_leases, .fini = teardown)
{
	struct store_request get = { .kind = STORE_GET, .key = "k" };
	struct store_request renew = { .kind = STORE_RENEW, .key = "k" };
	int i;

	setup_with(200, 2);
	store_send(&store, &get, done, NULL);
	store_send(&store, &get, done, NULL);
	loop_turn(&loop, TURN_US);
	cr_assert_eq(attempts(), 2);
	store.token_bucket.tokens = -100;
	store_send(&store, &renew, done, NULL);
	store_send(&store, &get, done, NULL);
	for (i = 0; i < TURNS && !ends; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(ends, 1);
	cr_assert_eq(last.reason, STORE_TIMED_OUT);
	cr_assert_eq(last.outcome, STORE_NO_EFFECT);
	store.token_bucket.tokens = 1;
	turn_until_attempts(3);
	cr_assert_eq(store.call_count, 3);
}

Test(store, a_deadline_ends_the_tries, .init = setup, .fini = teardown)
{
	struct store_request get = { .kind = STORE_GET,
				     .key = "k",
				     .deadline_ms = 10 };
	int i;

	store_send(&store, &get, done, NULL);
	for (i = 0; i < TURNS && !ends; i++) {
		loop_turn(&loop, TURN_US);
		if (store.calls && attempts() > store.failures)
			answer(STORE_NO_EFFECT, STORE_UNREACHABLE);
	}
	cr_assert_eq(ends, 1);
	cr_assert_eq(last.outcome, STORE_NO_EFFECT);
}

static struct http_server server;
static uint32_t request_count;

static void serve(struct http_exchange *exchange, void *data)
{
	struct http_header header = { "Revision", "12" };
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);

	request_count++;
	if (!strcmp(http_exchange_method(exchange), "PUT"))
		http_exchange_reply(exchange, 412, &header, 1, body, 0);
	else
		http_exchange_reply(exchange, 200, &header, 1,
				    http_exchange_path(exchange), 9);
}

Test(store, calls_travel_over_http)
{
	struct http_server_options server_options = {
		.max_body_bytes = 1000,
		.max_connections = 10,
		.idle_timeout_ms = 60000,
		.handler = serve,
	};
	struct store_request request = { .kind = STORE_GET, .key = "a b" };
	struct store_options options;
	struct http_client client;
	struct error err = ERROR_INIT;
	int i;

	apr_initialize();
	address_parse("127.0.0.1:0", &server_options.address, &err);
	cr_assert(loop_init(&loop, &err));
	cr_assert(http_server_init(&server, &loop, &server_options, &err));
	cr_assert(http_client_init(&client, &loop, &err));
	store_options_default(&options);
	options.address = *http_server_address(&server);
	options.deadline_ms = 60000;
	options.attempt_timeout_ms = 60000;
	store_init(&store, &loop, &client, &options);
	store_send(&store, &request, done, NULL);
	for (i = 0; i < TURNS && ends < 1; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(last.outcome, STORE_TOOK_EFFECT);
	cr_assert_eq(last.revision, 12);
	cr_assert_eq(last.size, 9, "the path \"/v1/kv/a b\" is complete");
	request.kind = STORE_PUT;
	store_send(&store, &request, done, NULL);
	for (i = 0; i < TURNS && ends < 2; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(last.reason, STORE_CONFLICT);
	cr_assert_eq(request_count, 2);
	store_send(&store, &request, done, NULL);
	loop_turn(&loop, TURN_US);
	store_finish(&store);
	http_client_finish(&client);
	http_server_finish(&server);
	loop_finish(&loop);
}
