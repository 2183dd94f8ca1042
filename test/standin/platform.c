#include <apr_general.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "base/log.h"
#include "http/server.h"
#include "os/clock.h"
#include "standin/platform_store.h"
#include "standin/standin.h"

/**
 * DOC: platform
 *
 * Stands in for the platform's key-value service: compare-and-swap, long-poll
 * watches, leases, counts of calls. HTTP requests set faults.
 *
 *	GET  /v1/kv/KEY			200 with Revision, or 404
 *	GET  /v1/kv/KEY?after=R&wait_ms=N	200 once newer than R, or 304
 *	PUT  /v1/kv/KEY, If-Match: R	200, or 412; both with Revision
 *	POST /v1/lease/KEY?do=acquire|renew|release
 *		{"holder":H,"ttl_ms":N,"token":T}	200 {"token":T}, or
 *		409 {"holder":H,"remaining_ms":N}
 *	GET  /v1/stats, POST /v1/stats	counts of calls; POST resets them
 *	POST /v1/faults {"down":false,"silent":false,"slow_ms":0,
 *		"lose_answers":0,"lose_of":"","older":false}; absent
 *		members keep their value
 *
 * "down" answers 503, "silent" never answers, "slow_ms" delays answers.
 * "lose_answers" carries out the next N writes and lease calls and never
 * answers them; if "lose_of" names a key, only those of that key.
 * "older" answers reads with the previous value.
 */

enum {
	WAIT_MAX_MS = 60000,
	CONNECTIONS_MAX = 4096,
	IDLE_MS = 120000,
	REVISION_TEXT_SIZE = 24,
};

enum call_kind {
	CALL_GET,
	CALL_PUT,
	CALL_WATCH,
	CALL_ACQUIRE,
	CALL_RENEW,
	CALL_RELEASE,
	CALL_KINDS,
};

static const char *const call_names[CALL_KINDS] = {
	"get", "put", "watch", "acquire", "renew", "release",
};

struct platform_faults {
	int down;
	int silent;
	int older;
	json_int_t slow_ms;
	json_int_t lose_answers;
	char lose_of[PLATFORM_KEY_SIZE];
};

/* A waiting watch, a delayed answer, or a call that is never answered. */
struct waiter {
	struct platform *platform;
	struct http_exchange *exchange;
	struct timer timer;
	char key[PLATFORM_KEY_SIZE];
	uint64_t after;
	unsigned int status; /* of a delayed answer; 0 otherwise */
	uint64_t revision;
	uint8_t *body;
	size_t size;
	struct waiter *next;
	struct waiter *prev;
};

struct platform {
	struct loop loop;
	struct http_server server;
	struct platform_store store;
	struct platform_faults faults;
	struct waiter *waiters;
	uint64_t calls[CALL_KINDS];
	uint64_t refused;
	uint64_t peak_per_s;
	uint64_t this_second;
	int64_t second;
};

static struct platform platform;

static void on_signal(int number)
{
	platform.loop.stopped = true;
}

static void waiter_free(struct waiter *waiter)
{
	timer_cancel(&waiter->platform->loop, &waiter->timer);
	DL_DELETE(waiter->platform->waiters, waiter);
	free(waiter->body);
	free(waiter);
}

static void waiter_aborted(struct http_exchange *exchange, void *data)
{
	waiter_free(data);
}

static struct waiter *waiter_new(struct platform *p,
				 struct http_exchange *exchange,
				 timer_fn *expired, int64_t wait_ms)
{
	struct waiter *waiter = calloc(1, sizeof(*waiter));

	if (!waiter)
		abort();
	waiter->platform = p;
	waiter->exchange = exchange;
	timer_init(&waiter->timer, expired, waiter);
	timer_set(&p->loop, &waiter->timer,
		  clock_monotonic_us() + wait_ms * US_PER_MS);
	http_exchange_on_abort(exchange, waiter_aborted, waiter);
	DL_APPEND(p->waiters, waiter);
	return waiter;
}

static void send_now(struct http_exchange *exchange, unsigned int status,
		     uint64_t revision, const void *body, size_t size)
{
	char text[REVISION_TEXT_SIZE];
	struct http_header header = { "Revision", text };

	snprintf(text, sizeof(text), "%llu", (unsigned long long)revision);
	http_exchange_reply(exchange, status, &header, 1, body, size);
}

static void send_delayed(struct timer *timer, void *data)
{
	struct waiter *waiter = data;

	send_now(waiter->exchange, waiter->status, waiter->revision,
		 waiter->body, waiter->size);
	waiter_free(waiter);
}

static void reply(struct platform *p, struct http_exchange *exchange,
		  unsigned int status, uint64_t revision, const void *body,
		  size_t size)
{
	struct waiter *waiter;

	if (!p->faults.slow_ms) {
		send_now(exchange, status, revision, body, size);
		return;
	}
	waiter = waiter_new(p, exchange, send_delayed, p->faults.slow_ms);
	waiter->status = status;
	waiter->revision = revision;
	waiter->size = size;
	waiter->body = malloc(size + 1);
	if (!waiter->body)
		abort();
	memcpy(waiter->body, size ? body : "", size);
}

static void reply_json(struct platform *p, struct http_exchange *exchange,
		       unsigned int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);

	reply(p, exchange, status, 0, text, strlen(text));
	free(text);
	json_decref(body);
}

static void count(struct platform *p, enum call_kind kind)
{
	int64_t second = clock_monotonic_us() / US_PER_S;

	p->calls[kind]++;
	if (second != p->second)
		p->this_second = 0;
	p->second = second;
	p->this_second++;
	if (p->this_second > p->peak_per_s)
		p->peak_per_s = p->this_second;
}

static void leave_unanswered(struct timer *timer, void *data)
{
}

/* Returns true if a fault has handled the exchange. */
static bool apply_fault(struct platform *p, struct http_exchange *exchange)
{
	if (p->faults.silent) {
		waiter_new(p, exchange, leave_unanswered, INT32_MAX);
		return true;
	}
	if (!p->faults.down)
		return false;
	p->refused++;
	send_now(exchange, 503, 0, NULL, 0);
	return true;
}

static bool lose_answer(struct platform *p, struct http_exchange *exchange,
			const char *key)
{
	const struct platform_faults *f = &p->faults;

	if (f->lose_answers <= 0 || (*f->lose_of && strcmp(f->lose_of, key)))
		return false;
	p->faults.lose_answers--;
	waiter_new(p, exchange, leave_unanswered, INT32_MAX);
	return true;
}

static void reply_value(struct platform *p, struct http_exchange *exchange,
			const char *name)
{
	const struct platform_key *key = platform_store_find(&p->store, name);
	const struct platform_value *value = key ? &key->current : NULL;

	if (key && p->faults.older && key->previous.bytes)
		value = &key->previous;
	if (value)
		reply(p, exchange, 200, value->revision, value->bytes,
		      value->size);
	else
		reply(p, exchange, 404, 0, NULL, 0);
}

static uint64_t revision_of(struct platform *p, const char *name)
{
	const struct platform_key *key = platform_store_find(&p->store, name);

	return key ? key->current.revision : 0;
}

static void watch_expired(struct timer *timer, void *data)
{
	struct waiter *waiter = data;
	struct platform *p = waiter->platform;

	send_now(waiter->exchange, 304, revision_of(p, waiter->key), NULL, 0);
	waiter_free(waiter);
}

static int64_t query_number(const struct http_exchange *exchange,
			    const char *name)
{
	const char *text = http_exchange_query(exchange, name);

	return text ? strtoll(text, NULL, 10) : 0;
}

static void serve_get(struct platform *p, struct http_exchange *exchange,
		      const char *key)
{
	uint64_t after = (uint64_t)query_number(exchange, "after");
	int64_t wait_ms = query_number(exchange, "wait_ms");
	struct waiter *waiter;

	count(p,
	      http_exchange_query(exchange, "after") ? CALL_WATCH : CALL_GET);
	if (apply_fault(p, exchange))
		return;
	if (!http_exchange_query(exchange, "after") || p->faults.older ||
	    revision_of(p, key) > after) {
		reply_value(p, exchange, key);
		return;
	}
	if (wait_ms > WAIT_MAX_MS)
		wait_ms = WAIT_MAX_MS;
	waiter = waiter_new(p, exchange, watch_expired, wait_ms);
	waiter->after = after;
	snprintf(waiter->key, sizeof(waiter->key), "%s", key);
}

static void wake_watches(struct platform *p, const char *key)
{
	struct waiter *waiter;
	struct waiter *next;

	DL_FOREACH_SAFE(p->waiters, waiter, next) {
		struct http_exchange *exchange = waiter->exchange;

		if (strcmp(waiter->key, key))
			continue;
		waiter_free(waiter);
		http_exchange_on_abort(exchange, NULL, NULL);
		reply_value(p, exchange, key);
	}
}

static void serve_put(struct platform *p, struct http_exchange *exchange,
		      const char *key)
{
	const char *match = http_exchange_header(exchange, "If-Match");
	uint64_t revision;
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);
	bool stored;

	count(p, CALL_PUT);
	if (apply_fault(p, exchange))
		return;
	if (!match || size > PLATFORM_VALUE_MAX) {
		reply(p, exchange, 400, 0, NULL, 0);
		return;
	}
	stored = platform_store_put(&p->store, key, strtoull(match, NULL, 10),
				    body, size, &revision);
	if (!lose_answer(p, exchange, key))
		reply(p, exchange, stored ? 200 : 412, revision, NULL, 0);
	if (stored)
		wake_watches(p, key);
}

static void serve_kv(struct platform *p, struct http_exchange *exchange,
		     const char *key)
{
	const char *method = http_exchange_method(exchange);

	if (!*key || strlen(key) >= PLATFORM_KEY_SIZE)
		reply(p, exchange, 400, 0, NULL, 0);
	else if (!strcmp(method, "GET"))
		serve_get(p, exchange, key);
	else if (!strcmp(method, "PUT"))
		serve_put(p, exchange, key);
	else
		reply(p, exchange, 405, 0, NULL, 0);
}

static void acquire(struct platform *p, struct http_exchange *exchange,
		    const char *key, const char *holder, int64_t ttl_ms)
{
	int64_t now_us = clock_monotonic_us();
	const struct platform_lease *lease =
		platform_store_acquire(&p->store, key, holder, ttl_ms, now_us);

	if (lose_answer(p, exchange, key))
		return;
	if (!strcmp(lease->holder, holder))
		reply_json(p, exchange, 200,
			   json_pack("{s:I}", "token",
				     (json_int_t)lease->token));
	else
		reply_json(p, exchange, 409,
			   json_pack("{s:s, s:I}", "holder", lease->holder,
				     "remaining_ms",
				     (json_int_t)((lease->until_us - now_us) /
						  US_PER_MS)));
}

static void change_lease(struct platform *p, struct http_exchange *exchange,
			 const char *key, enum call_kind kind,
			 const json_t *body)
{
	const char *holder = json_string_value(json_object_get(body, "holder"));
	int64_t ttl_ms = json_integer_value(json_object_get(body, "ttl_ms"));
	uint64_t token =
		(uint64_t)json_integer_value(json_object_get(body, "token"));
	bool held;

	if (!holder || strlen(holder) >= PLATFORM_HOLDER_SIZE) {
		reply(p, exchange, 400, 0, NULL, 0);
		return;
	}
	if (kind == CALL_ACQUIRE) {
		acquire(p, exchange, key, holder, ttl_ms);
		return;
	}
	if (kind == CALL_RENEW)
		held = platform_store_renew(&p->store, key, holder, token,
					    ttl_ms, clock_monotonic_us());
	else
		held = platform_store_release(&p->store, key, holder, token);
	if (lose_answer(p, exchange, key))
		return;
	reply_json(p, exchange, held ? 200 : 409,
		   json_pack("{s:I}", "token", (json_int_t)token));
}

static json_t *body_json(const struct http_exchange *exchange)
{
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);

	return json_loadb((const char *)body, size, 0, NULL);
}

static void serve_lease(struct platform *p, struct http_exchange *exchange,
			const char *key)
{
	const char *operation = http_exchange_query(exchange, "do");
	enum call_kind kind = CALL_RELEASE;
	json_t *body;

	if (operation && !strcmp(operation, "acquire"))
		kind = CALL_ACQUIRE;
	else if (operation && !strcmp(operation, "renew"))
		kind = CALL_RENEW;
	count(p, kind);
	if (apply_fault(p, exchange))
		return;
	body = body_json(exchange);
	change_lease(p, exchange, key, kind, body);
	json_decref(body);
}

static void serve_stats(struct platform *p, struct http_exchange *exchange)
{
	json_t *stats = json_object();
	const struct waiter *waiter;
	uint64_t total = 0;
	int waiting = 0;
	int i;

	for (i = 0; i < CALL_KINDS; i++) {
		json_object_set_new(stats, call_names[i],
				    json_integer((json_int_t)p->calls[i]));
		total += p->calls[i];
	}
	DL_FOREACH(p->waiters, waiter)
		waiting += waiter->status == 0;
	json_object_set_new(stats, "total", json_integer((json_int_t)total));
	json_object_set_new(stats, "refused",
			    json_integer((json_int_t)p->refused));
	json_object_set_new(stats, "waiting", json_integer(waiting));
	json_object_set_new(stats, "peak_per_s",
			    json_integer((json_int_t)p->peak_per_s));
	if (!strcmp(http_exchange_method(exchange), "POST")) {
		memset(p->calls, 0, sizeof(p->calls));
		p->refused = 0;
		p->peak_per_s = 0;
		p->this_second = 0;
	}
	reply_json(p, exchange, 200, stats);
}

static bool set_faults(struct platform *p, json_t *body)
{
	struct platform_faults *f = &p->faults;
	const char *lose_of = f->lose_of;
	int result = json_unpack(body, "{s?b, s?b, s?I, s?I, s?s, s?b}", "down",
				 &f->down, "silent", &f->silent, "slow_ms",
				 &f->slow_ms, "lose_answers", &f->lose_answers,
				 "lose_of", &lose_of, "older", &f->older);

	if (lose_of != f->lose_of)
		snprintf(f->lose_of, sizeof(f->lose_of), "%s", lose_of);
	json_decref(body);
	return result == 0;
}

static void handle(struct http_exchange *exchange, void *data)
{
	struct platform *p = data;
	const char *path = http_exchange_path(exchange);

	if (!strncmp(path, "/v1/kv/", 7))
		serve_kv(p, exchange, path + 7);
	else if (!strncmp(path, "/v1/lease/", 10))
		serve_lease(p, exchange, path + 10);
	else if (!strcmp(path, "/v1/stats"))
		serve_stats(p, exchange);
	else if (!strcmp(path, "/v1/faults"))
		send_now(exchange,
			 set_faults(p, body_json(exchange)) ? 200 : 400, 0,
			 NULL, 0);
	else
		send_now(exchange, 404, 0, NULL, 0);
}

static bool start(struct platform *p, int argc, char **argv, struct error *err)
{
	const char *faults = standin_option(argc, argv, "faults", "{}");
	struct http_server_options options = {
		.max_body_bytes = PLATFORM_VALUE_MAX,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_ms = IDLE_MS,
		.handler = handle,
		.data = p,
	};
	char text[ADDRESS_TEXT_SIZE];

	snprintf(text, sizeof(text), "127.0.0.1:%s",
		 standin_option(argc, argv, "port", "0"));
	if (!set_faults(p, json_loads(faults, 0, NULL)))
		error_set(err, ERROR_INVALID, "--faults takes a JSON object");
	return !error_is_set(err) &&
	       address_parse(text, &options.address, err) &&
	       loop_init(&p->loop, err) &&
	       http_server_init(&p->server, &p->loop, &options, err);
}

int standin_platform(int argc, char **argv)
{
	struct error err = ERROR_INIT;
	char text[ADDRESS_TEXT_SIZE];

	apr_initialize();
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	if (!start(&platform, argc, argv, &err)) {
		fprintf(stderr, "standin platform: %s\n", err.text);
		return 1;
	}
	log_info("standin", "ready", LOG_NUMBER("pid", getpid()),
		 LOG_TEXT("address",
			  address_format(http_server_address(&platform.server),
					 text)));
	loop_run(&platform.loop);
	while (platform.waiters) {
		http_exchange_on_abort(platform.waiters->exchange, NULL, NULL);
		waiter_free(platform.waiters);
	}
	http_server_finish(&platform.server);
	loop_finish(&platform.loop);
	platform_store_finish(&platform.store);
	return 0;
}
