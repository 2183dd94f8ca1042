#include <apr_general.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
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
 * DOC: metadata
 *
 * Stands in for the metadata store of the target platform: the reads, watches
 * of a prefix and conditional writes that nodes and operators use, in the
 * store's wire format (platform/kv.h). HTTP requests set faults.
 *
 *	GET  /-/kv-key?key=K		200 item with as_of, or 404 with as_of
 *	GET  /-/kv-watch?prefix=P&after=R&wait_ms=N
 *		200 {"events":[item],"as_of":R}, 410 if R is compacted
 *	GET  /-/kv-range?prefix=P	200 {"items":[item],"as_of":R}
 *	POST /-/kv-txn {"precondition":[],"writes":[],"deletes":[]}
 *		200 {"revision":R} or 412 {"items":[]}
 *	GET  /faults			counts of calls
 *	POST /faults {"down":0,"silent":0,"forget":0,"lose_answers":0}
 *
 * "down" answers 503, "silent" never answers, "forget" drops the history and
 * answers waiting watches with 410, "lose_answers" carries out the next N
 * writes of nodes and never answers them. Absent members keep their value,
 * except "forget", which then is 0.
 */

enum {
	CONNECTIONS_MAX = 256,
	IDLE_MS = 120000,
	FIRST_REVISION = 100, /* the store does not start at 0 */
	BASE64 = sodium_base64_VARIANT_ORIGINAL,
};

struct metadata_faults {
	int down;
	int silent;
	int forget;
	int lose_answers;
};

/* A waiting watch, or a call that is never answered. */
struct watcher {
	struct http_exchange *exchange;
	struct timer timer;
	char prefix[PLATFORM_KEY_SIZE];
	uint64_t after;
	bool silent;
	struct watcher *next;
	struct watcher *prev;
};

static struct {
	struct loop loop;
	struct http_server server;
	struct platform_store store;
	struct metadata_faults faults;
	struct watcher *watchers;
	uint64_t compacted_revision; /* watches after a lower revision fail */
	uint64_t reads;
	uint64_t watches;
	uint64_t writes;
} metadata;

static void on_signal(int number)
{
	metadata.loop.stopped = true;
}

static void reply(struct http_exchange *exchange, unsigned int status,
		  json_t *body)
{
	const struct http_header type = { "Content-Type", "application/json" };
	char *text = json_dumps(body, JSON_COMPACT);

	http_exchange_reply(exchange, status, &type, 1, text, strlen(text));
	free(text);
	json_decref(body);
}

static json_t *as_of(void)
{
	return json_pack("{s:I}", "as_of", (json_int_t)metadata.store.revision);
}

static json_t *item_of(const struct platform_key *key)
{
	size_t length = sodium_base64_encoded_len(key->current.size, BASE64);
	char *text = malloc(length);
	json_t *item;

	if (!text)
		abort();
	sodium_bin2base64(text, length, key->current.bytes, key->current.size,
			  BASE64);
	item = json_pack("{s:s,s:s,s:I,s:i}", "key", key->name, "value", text,
			 "revision", (json_int_t)key->current.revision, "lease",
			 0);
	free(text);
	return item;
}

static void watcher_free(struct watcher *watcher)
{
	timer_cancel(&metadata.loop, &watcher->timer);
	DL_DELETE(metadata.watchers, watcher);
	free(watcher);
}

static void watcher_aborted(struct http_exchange *exchange, void *data)
{
	watcher_free(data);
}

static void watch_expired(struct timer *timer, void *data)
{
	struct watcher *watcher = data;
	json_t *body = as_of();

	json_object_set_new(body, "events", json_array());
	reply(watcher->exchange, 200, body);
	watcher_free(watcher);
}

static struct watcher *add_watcher(struct http_exchange *exchange,
				   int64_t wait_ms)
{
	struct watcher *watcher = calloc(1, sizeof(*watcher));

	if (!watcher)
		abort();
	watcher->exchange = exchange;
	timer_init(&watcher->timer, watch_expired, watcher);
	if (wait_ms)
		timer_set(&metadata.loop, &watcher->timer,
			  clock_monotonic_us() + wait_ms * US_PER_MS);
	http_exchange_on_abort(exchange, watcher_aborted, watcher);
	DL_APPEND(metadata.watchers, watcher);
	return watcher;
}

static bool has_prefix(const char *key, const char *prefix)
{
	return !strncmp(key, prefix, strlen(prefix));
}

/* Returns the items of a prefix newer than @after, NULL if there are none. */
static json_t *events_after(const char *prefix, uint64_t after)
{
	const struct platform_key *key;
	json_t *events = json_array();
	json_t *body;

	for (key = metadata.store.keys; key; key = key->hh.next)
		if (has_prefix(key->name, prefix) &&
		    key->current.revision > after)
			json_array_append_new(events, item_of(key));
	if (!json_array_size(events)) {
		json_decref(events);
		return NULL;
	}
	body = as_of();
	json_object_set_new(body, "events", events);
	return body;
}

static void wake_watchers(void)
{
	struct watcher *watcher;
	struct watcher *next;

	DL_FOREACH_SAFE(metadata.watchers, watcher, next) {
		struct http_exchange *exchange = watcher->exchange;
		json_t *body;

		if (watcher->silent)
			continue;
		body = events_after(watcher->prefix, watcher->after);
		if (!body)
			continue;
		watcher_free(watcher);
		http_exchange_on_abort(exchange, NULL, NULL);
		reply(exchange, 200, body);
	}
}

/* Drops the history and answers all waiting watches with 410. */
static void forget(void)
{
	struct watcher *watcher;
	struct watcher *next;

	metadata.compacted_revision = metadata.store.revision;
	DL_FOREACH_SAFE(metadata.watchers, watcher, next) {
		struct http_exchange *exchange = watcher->exchange;

		if (watcher->silent)
			continue;
		watcher_free(watcher);
		http_exchange_on_abort(exchange, NULL, NULL);
		reply(exchange, 410, as_of());
	}
}

static const char *query(const struct http_exchange *exchange, const char *name)
{
	const char *text = http_exchange_query(exchange, name);

	return text ? text : "";
}

static void serve_read(struct http_exchange *exchange)
{
	const struct platform_key *key =
		platform_store_find(&metadata.store, query(exchange, "key"));
	json_t *body = as_of();

	metadata.reads++;
	if (key) {
		json_t *item = item_of(key);

		json_object_update(body, item);
		json_decref(item);
	}
	reply(exchange, key ? 200 : 404, body);
}

static void serve_watch(struct http_exchange *exchange)
{
	const char *prefix = query(exchange, "prefix");
	uint64_t after = strtoull(query(exchange, "after"), NULL, 10);
	int64_t wait_ms = strtoll(query(exchange, "wait_ms"), NULL, 10);
	struct watcher *watcher;
	json_t *body;

	metadata.watches++;
	if (after < metadata.compacted_revision) {
		reply(exchange, 410, as_of());
		return;
	}
	body = events_after(prefix, after);
	if (body) {
		reply(exchange, 200, body);
		return;
	}
	watcher = add_watcher(exchange, wait_ms);
	watcher->after = after;
	snprintf(watcher->prefix, sizeof(watcher->prefix), "%s", prefix);
}

/* Returns all items at once, as the stand-in holds few keys. */
static void serve_range(struct http_exchange *exchange)
{
	const char *prefix = query(exchange, "prefix");
	const struct platform_key *key;
	json_t *items = json_array();
	json_t *body = as_of();

	metadata.reads++;
	for (key = metadata.store.keys; key; key = key->hh.next)
		if (has_prefix(key->name, prefix))
			json_array_append_new(items, item_of(key));
	json_object_set_new(body, "items", items);
	json_object_set_new(body, "has_more", json_false());
	reply(exchange, 200, body);
}

static const char *text_of(const json_t *object, const char *name)
{
	const char *text = json_string_value(json_object_get(object, name));

	return text ? text : "";
}

/* Returns the items of @rows if a precondition fails, otherwise NULL. */
static json_t *check_preconditions(const json_t *rows)
{
	json_t *items = json_array();
	bool failed = false;
	const json_t *row;
	size_t i;

	json_array_foreach(rows, i, row) {
		const struct platform_key *key = platform_store_find(
			&metadata.store, text_of(row, "key"));
		json_int_t revision =
			json_integer_value(json_object_get(row, "revision"));

		failed |= revision !=
			  (key ? (json_int_t)key->current.revision : 0);
		if (key)
			json_array_append_new(items, item_of(key));
	}
	if (failed)
		return items;
	json_decref(items);
	return NULL;
}

static void write_row(const json_t *row)
{
	const char *name = text_of(row, "key");
	const char *text = text_of(row, "value");
	const struct platform_key *key =
		platform_store_find(&metadata.store, name);
	uint8_t *value = malloc(strlen(text) + 1);
	uint64_t revision;
	size_t size = 0;

	if (!value)
		abort();
	sodium_base642bin(value, strlen(text) + 1, text, strlen(text), NULL,
			  &size, NULL, BASE64);
	platform_store_put(&metadata.store, name,
			   key ? key->current.revision : 0, value, size,
			   &revision);
	free(value);
}

/* Returns true if a call writes a key that only operators write. */
static bool is_operator_write(const json_t *call)
{
	const json_t *first =
		json_array_get(json_object_get(call, "writes"), 0);

	return has_prefix(text_of(first, "key"), "op/");
}

static void serve_write(struct http_exchange *exchange, const json_t *call)
{
	json_t *failed =
		check_preconditions(json_object_get(call, "precondition"));
	const json_t *row;
	size_t i;

	metadata.writes++;
	if (failed) {
		json_t *body = as_of();

		json_object_set_new(body, "items", failed);
		reply(exchange, 412, body);
		return;
	}
	json_array_foreach(json_object_get(call, "writes"), i, row)
		write_row(row);
	if (metadata.faults.lose_answers > 0 && !is_operator_write(call)) {
		metadata.faults.lose_answers--;
		add_watcher(exchange, 0)->silent = true;
	} else {
		reply(exchange, 200,
		      json_pack("{s:I}", "revision",
				(json_int_t)metadata.store.revision));
	}
	wake_watchers();
}

static json_t *body_of(const struct http_exchange *exchange)
{
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);

	return json_loadb((const char *)body, size, 0, NULL);
}

static void serve_faults(struct http_exchange *exchange)
{
	struct metadata_faults *faults = &metadata.faults;
	json_t *body = body_of(exchange);

	faults->forget = 0;
	json_unpack(body, "{s?i,s?i,s?i,s?i}", "down", &faults->down, "silent",
		    &faults->silent, "forget", &faults->forget, "lose_answers",
		    &faults->lose_answers);
	json_decref(body);
	if (faults->forget)
		forget();
	reply(exchange, 200,
	      json_pack("{s:I,s:I,s:I}", "reads", (json_int_t)metadata.reads,
			"watches", (json_int_t)metadata.watches, "writes",
			(json_int_t)metadata.writes));
}

/* Returns true if a fault has handled the call. */
static bool apply_fault(struct http_exchange *exchange)
{
	if (metadata.faults.silent) {
		add_watcher(exchange, 0)->silent = true;
		return true;
	}
	if (!metadata.faults.down)
		return false;
	reply(exchange, 503, json_object());
	return true;
}

static void handle(struct http_exchange *exchange, void *data)
{
	const char *path = http_exchange_path(exchange);
	json_t *call;

	if (!strcmp(path, "/faults")) {
		serve_faults(exchange);
		return;
	}
	if (apply_fault(exchange))
		return;
	if (!strcmp(path, "/-/kv-key")) {
		serve_read(exchange);
	} else if (!strcmp(path, "/-/kv-range")) {
		serve_range(exchange);
	} else if (!strcmp(path, "/-/kv-watch")) {
		serve_watch(exchange);
	} else if (!strcmp(path, "/-/kv-txn")) {
		call = body_of(exchange);
		serve_write(exchange, call);
		json_decref(call);
	} else {
		reply(exchange, 404, json_object());
	}
}

static bool start(int argc, char **argv, struct error *err)
{
	struct http_server_options options = {
		.max_body_bytes = PLATFORM_VALUE_MAX * 2,
		.max_connections = CONNECTIONS_MAX,
		.idle_timeout_ms = IDLE_MS,
		.handler = handle,
	};
	char text[ADDRESS_TEXT_SIZE];

	metadata.store.revision = FIRST_REVISION;
	snprintf(text, sizeof(text), "127.0.0.1:%s",
		 standin_option(argc, argv, "port", "0"));
	return address_parse(text, &options.address, err) &&
	       loop_init(&metadata.loop, err) &&
	       http_server_init(&metadata.server, &metadata.loop, &options,
				err);
}

int standin_metadata(int argc, char **argv)
{
	struct error err = ERROR_INIT;
	char text[ADDRESS_TEXT_SIZE];

	apr_initialize();
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	if (!start(argc, argv, &err)) {
		fprintf(stderr, "standin metadata: %s\n", err.text);
		return 1;
	}
	log_info("standin", "ready", LOG_NUMBER("pid", getpid()),
		 LOG_TEXT("address",
			  address_format(http_server_address(&metadata.server),
					 text)));
	loop_run(&metadata.loop);
	while (metadata.watchers) {
		http_exchange_on_abort(metadata.watchers->exchange, NULL, NULL);
		watcher_free(metadata.watchers);
	}
	http_server_finish(&metadata.server);
	loop_finish(&metadata.loop);
	platform_store_finish(&metadata.store);
	return 0;
}
