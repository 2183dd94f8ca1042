#include "profile/reader.h"

#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"
#include "profile/records.h"

enum {
	BODY_BACKOFF_BASE_MS = 200,
	BODY_BACKOFF_MAX_MS = 10000,
	MEMBERS_DEADLINE_MS = 3000,
};

GAUGE(holds_gauge, "reader.holds", "1 while this process is a reader");
COUNTER(heads_count, "reader.heads", "Heads read from the platform's service");
COUNTER(bad_bodies_count, "reader.bad_bodies",
	"Bodies from the platform's service with a wrong content");

static void make_due_calls(struct reader *reader);
static void orders_listed(const struct store_result *failure, void *data);
static void translated(enum keeper_offer_result offer, const struct error *err,
		       void *data);

static void on_timer(struct timer *timer, void *data)
{
	make_due_calls(data);
}

void reader_init(struct reader *reader, struct loop *loop, struct store *store,
		 struct keeper *keeper, const struct reader_options *options)
{
	int i;

	memset(reader, 0, sizeof(*reader));
	reader->loop = loop;
	reader->store = store;
	reader->keeper = keeper;
	reader->members = options->members;
	reader->listed = options->listed;
	reader->elected = options->elected;
	reader->data = options->data;
	reader->form = options->form;
	reader_core_init(&reader->core, options->election, &options->lease,
			 options->seed);
	snprintf(reader->data_centre, sizeof(reader->data_centre), "%s",
		 options->data_centre);
	snprintf(reader->holder, sizeof(reader->holder), "%s", options->holder);
	backoff_init(&reader->body_backoff, BODY_BACKOFF_BASE_MS,
		     BODY_BACKOFF_MAX_MS);
	orders_init(&reader->orders, store, options->orders, options->data,
		    orders_listed, reader);
	timer_init(&reader->timer, on_timer, reader);
	translation_init(&reader->translation, loop, keeper, translated,
			 reader);
	for (i = 0; i < READER_BODIES_MAX; i++)
		reader->bodies[i].reader = reader;
}

static void cancel(struct store_call **call)
{
	if (*call)
		store_cancel(*call);
	*call = NULL;
}

/* Either the list of orders or the watch that follows it is in flight. */
static void cancel_reading(struct reader *reader)
{
	orders_cancel(&reader->orders);
	cancel(&reader->head_call);
}

void reader_finish(struct reader *reader)
{
	int i;

	timer_cancel(reader->loop, &reader->timer);
	translation_finish(&reader->translation);
	cancel(&reader->lease_call);
	cancel_reading(reader);
	cancel(&reader->probe_call);
	cancel(&reader->members_call);
	cancel(&reader->find_call);
	for (i = 0; i < READER_BODIES_MAX; i++)
		cancel(&reader->bodies[i].call);
}

bool reader_holds(const struct reader *reader)
{
	return reader_core_is_reader(&reader->core, clock_monotonic_us());
}

bool reader_is_idle(const struct reader *reader)
{
	return reader->core.lease.state == LEASE_IDLE && !reader->lease_call &&
	       !reader->core.lease.token;
}

static void lease_done(const struct store_result *result, void *data)
{
	struct reader *reader = data;
	bool held_before = reader_holds(reader);
	bool holds;

	reader->lease_call = NULL;
	reader_core_lease_ended(&reader->core, result, clock_monotonic_us());
	holds = reader_holds(reader);
	if (holds != held_before)
		log_info("reader", holds ? "lease_acquired" : "lease_lost",
			 LOG_NUMBER("slot", reader->core.lease.slot),
			 LOG_NUMBER("token",
				    (int64_t)reader->core.lease.token));
	make_due_calls(reader);
}

static void call_lease(struct reader *reader, enum lease_action action)
{
	static const enum store_kind kinds[] = {
		[LEASE_ACQUIRE] = STORE_ACQUIRE,
		[LEASE_RENEW] = STORE_RENEW,
		[LEASE_RELEASE] = STORE_RELEASE,
	};
	const struct lease *lease = &reader->core.lease;
	char key[STORE_KEY_SIZE];
	struct store_request request = {
		.kind = kinds[action],
		.key = key,
		.holder = reader->holder,
		.ttl_ms = lease->options.ttl_ms,
		.token = lease->token,
	};

	snprintf(key, sizeof(key), "reader/%s/%u", reader->data_centre,
		 lease->slot);
	reader->lease_call =
		store_send(reader->store, &request, lease_done, reader);
}

/* Returns what the offer of a head shows about the service. */
static enum reader_head_result head_offered(struct reader *reader,
					    enum keeper_offer_result offer,
					    const struct error *err)
{
	struct keeper *keeper = reader->keeper;
	const struct config *config = keeper_config(keeper);

	reader->heads++;
	counter_add(&heads_count, 1);
	switch (offer) {
	case KEEPER_INCOMPLETE:
	case KEEPER_IN_FORCE:
		return READER_HEAD_NEWER;
	case KEEPER_REFUSED:
		log_error("reader", "head_refused",
			  LOG_TEXT("reason", err->text));
		return READER_HEAD_KNOWN;
	case KEEPER_IGNORED:
		break;
	}
	if (!config || keeper->offered_version >= config->version)
		return READER_HEAD_KNOWN;
	reader->older_head_count++;
	keeper_count_older_head(keeper, keeper->offered_version);
	return READER_HEAD_OLDER;
}

static void watch_ended(struct reader *reader,
			const struct store_result *result,
			enum reader_head_result head_result)
{
	reader_core_watch_ended(&reader->core, result, head_result,
				clock_monotonic_us());
	make_due_calls(reader);
}

static void translated(enum keeper_offer_result offer, const struct error *err,
		       void *data)
{
	struct reader *reader = data;
	enum reader_head_result head_result = head_offered(reader, offer, err);
	bool reads = reader->head_call || reader->orders.call;

	/* The watch may have been stopped meanwhile, and another begun. */
	if (reader->core.watch_in_flight && !reads)
		watch_ended(reader, &reader->translated_result, head_result);
}

/* The next watch begins when the document has been taken over. The time of the
 * read counts from now. */
static void translate_document(struct reader *reader,
			       const struct store_result *result)
{
	reader->translated_result = *result;
	reader->translated_result.value = NULL;
	reader->translated_result.items = NULL;
	reader_core_read_succeeded(&reader->core, clock_monotonic_us());
	translation_start(&reader->translation, result->value, result->size);
}

static enum reader_head_result offer_head(struct reader *reader,
					  const struct store_result *result)
{
	struct error err = ERROR_INIT;
	enum keeper_offer_result offer = keeper_offer_head(
		reader->keeper, result->value, result->size, &err);

	return head_offered(reader, offer, &err);
}

static void head_done(const struct store_result *result, void *data)
{
	struct reader *reader = data;
	struct store_result last = *result;

	reader->head_call = NULL;
	loop_name_work(reader->loop, "configuration from the store");
	orders_watch_ended(&reader->orders, &last);
	if (result->outcome != STORE_TOOK_EFFECT) {
		watch_ended(reader, &last, READER_HEAD_KNOWN);
		return;
	}
	/* The lease may have expired meanwhile. A late head does no harm, since
	 * heads are ordered by their version. */
	switch (reader->form) {
	case INTERFACE_OWN:
		watch_ended(reader, &last, offer_head(reader, result));
		return;
	case INTERFACE_PLATFORM:
		translate_document(reader, &last);
		return;
	}
}

static void watch_head(struct reader *reader, uint64_t revision)
{
	struct store_request request = {
		.kind = STORE_WATCH,
		.key = KEY_HEAD,
		.revision = revision,
		.with_orders = orders_enabled(&reader->orders),
		.wait_ms = reader->core.election == READER_BY_RANK
				   ? READER_LONG_WATCH_MS
				   : READER_WATCH_MS,
	};

	reader->head_call =
		store_send(reader->store, &request, head_done, reader);
}

static void orders_listed(const struct store_result *failure, void *data)
{
	struct reader *reader = data;

	if (!failure) {
		watch_head(reader, 0);
		return;
	}
	reader_core_watch_ended(&reader->core, failure, READER_HEAD_KNOWN,
				clock_monotonic_us());
	make_due_calls(reader);
}

static bool body_in_flight(const struct reader *reader,
			   const uint8_t hash[CONTENT_HASH_BYTES])
{
	int i;

	for (i = 0; i < READER_BODIES_MAX; i++)
		if (reader->bodies[i].call &&
		    !memcmp(reader->bodies[i].hash, hash, CONTENT_HASH_BYTES))
			return true;
	return false;
}

static bool accept_body(struct reader_body *body,
			const struct store_result *result)
{
	struct reader *reader = body->reader;
	uint8_t hash[CONTENT_HASH_BYTES];
	struct error err = ERROR_INIT;

	if (result->outcome != STORE_TOOK_EFFECT)
		return false;
	content_hash(result->value, result->size, hash);
	if (memcmp(hash, body->hash, CONTENT_HASH_BYTES)) {
		char text[HASH_TEXT_SIZE];

		reader->bad_bodies++;
		counter_add(&bad_bodies_count, 1);
		log_error("reader", "body_has_another_content",
			  LOG_TEXT("hash", hash_format(body->hash, text)));
		return false;
	}
	keeper_offer_body(reader->keeper, result->value, result->size, &err);
	return true;
}

static void body_done(const struct store_result *result, void *data)
{
	struct reader_body *body = data;
	struct reader *reader = body->reader;
	int64_t now_us = clock_monotonic_us();

	body->call = NULL;
	if (accept_body(body, result))
		backoff_reset(&reader->body_backoff);
	else
		reader->next_body_us =
			now_us + backoff_next_ms(&reader->body_backoff,
						 &reader->core.random) *
					 US_PER_MS;
	make_due_calls(reader);
}

static void fetch_body(struct reader_body *body,
		       const uint8_t hash[CONTENT_HASH_BYTES])
{
	char key[STORE_KEY_SIZE];
	struct store_request request = { .kind = STORE_GET,
					 .key = key_body(hash, key) };

	memcpy(body->hash, hash, CONTENT_HASH_BYTES);
	body->call = store_send(body->reader->store, &request, body_done, body);
}

/* Fetches missing bodies. Returns the time from which a failed fetch may be
 * retried, or INT64_MAX. A service that holds a document has no bodies to
 * fetch: the reader leaves missing ones to peers. */
static int64_t fetch_bodies(struct reader *reader, int64_t now_us)
{
	uint8_t hashes[READER_BODIES_MAX * 2][CONTENT_HASH_BYTES];
	uint32_t count =
		keeper_missing(reader->keeper, hashes, READER_BODIES_MAX * 2);
	uint32_t next = 0;
	int i;

	if (!count || !reader_core_is_reader(&reader->core, now_us))
		return INT64_MAX;
	if (reader->form == INTERFACE_PLATFORM)
		return INT64_MAX;
	if (now_us < reader->next_body_us)
		return reader->next_body_us;
	if (count > READER_BODIES_MAX * 2)
		count = READER_BODIES_MAX * 2;
	for (i = 0; i < READER_BODIES_MAX; i++) {
		if (reader->bodies[i].call)
			continue;
		while (next < count && body_in_flight(reader, hashes[next]))
			next++;
		if (next == count)
			break;
		fetch_body(&reader->bodies[i], hashes[next++]);
	}
	return INT64_MAX;
}

static void members_update_ended(struct reader *reader)
{
	reader_core_members_ended(&reader->core, clock_monotonic_us());
	make_due_calls(reader);
}

static void members_put_done(const struct store_result *result, void *data)
{
	struct reader *reader = data;

	reader->members_call = NULL;
	/* On a conflict with the other reader or a lost answer, the next round
	 * reads the record again and writes only if it differs. */
	if (result->outcome == STORE_TOOK_EFFECT)
		reader->members_written++;
	members_update_ended(reader);
}

static void members_key(const struct reader *reader, char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, "members/%s", reader->data_centre);
}

static bool holds_members(const struct store_result *result)
{
	return result->outcome == STORE_TOOK_EFFECT &&
	       result->size <= READER_MEMBERS_SIZE;
}

static void members_get_done(const struct store_result *result, void *data)
{
	struct reader *reader = data;
	char text[READER_MEMBERS_SIZE];
	char key[STORE_KEY_SIZE];
	struct store_request request = {
		.kind = STORE_PUT,
		.key = key,
		.value = text,
		.revision = result->revision,
	};
	bool known = result->outcome == STORE_TOOK_EFFECT ||
		     result->reason == STORE_ABSENT;

	reader->members_call = NULL;
	if (reader->listed && holds_members(result))
		reader->listed((const char *)result->value, result->size,
			       reader->data);
	if (known)
		request.size =
			reader->members(text, sizeof(text), reader->data);
	if (!request.size || (request.size == result->size &&
			      !memcmp(text, result->value, result->size))) {
		members_update_ended(reader);
		return;
	}
	members_key(reader, key);
	reader->members_call =
		store_send(reader->store, &request, members_put_done, reader);
}

static void get_members(struct reader *reader)
{
	char key[STORE_KEY_SIZE];
	struct store_request request = { .kind = STORE_GET, .key = key };

	if (!reader->members) {
		reader_core_members_ended(&reader->core, clock_monotonic_us());
		return;
	}
	members_key(reader, key);
	reader->members_call =
		store_send(reader->store, &request, members_get_done, reader);
}

static void probe_done(const struct store_result *result, void *data)
{
	struct reader *reader = data;

	reader->probe_call = NULL;
	reader_core_probe_ended(&reader->core, result, clock_monotonic_us());
	if (reader->core.watch_lost && reader->core.answered)
		log_info("reader", "watch_renewed",
			 LOG_NUMBER("revision",
				    (int64_t)reader->core.revision));
	else if (reader->core.watch_lost)
		log_warn("reader", "service_silent",
			 LOG_TEXT("reason", result->err.text));
	make_due_calls(reader);
}

/* Reads a key that does not exist: any answer shows that the service is up. */
static void start_probe(struct reader *reader)
{
	const struct store_request request = {
		.kind = STORE_GET,
		.key = "alive",
		.deadline_ms = READER_PROBE_DEADLINE_MS,
		.allow_stale = true,
	};

	reader->probe_call =
		store_send(reader->store, &request, probe_done, reader);
}

static void make_call(struct reader *reader,
		      const struct reader_command *command)
{
	switch (command->action) {
	case READER_NOTHING:
		return;
	case READER_LEASE:
		call_lease(reader, command->lease);
		return;
	case READER_WATCH_HEAD:
		if (orders_enabled(&reader->orders) && !command->revision)
			orders_list(&reader->orders);
		else
			watch_head(reader, command->revision);
		return;
	case READER_GET_MEMBERS:
		get_members(reader);
		return;
	case READER_STOP_WATCH:
		cancel_reading(reader);
		return;
	case READER_PROBE:
		start_probe(reader);
		return;
	}
}

static void report_elected(struct reader *reader, bool is_reader)
{
	counter_set(&holds_gauge, is_reader);
	if (is_reader == reader->was_reader)
		return;
	reader->was_reader = is_reader;
	if (reader->elected)
		reader->elected(is_reader, reader->data);
}

/* Makes all calls that are due and sets the timer for the next one. */
static void make_due_calls(struct reader *reader)
{
	int64_t now_us = clock_monotonic_us();
	struct reader_command command;
	int64_t next_body_us;

	for (;;) {
		reader_core_next(&reader->core, now_us, &command);
		if (command.action == READER_NOTHING)
			break;
		make_call(reader, &command);
	}
	next_body_us = fetch_bodies(reader, now_us);
	if (next_body_us < command.at_us)
		command.at_us = next_body_us;
	if (command.at_us == INT64_MAX)
		timer_cancel(reader->loop, &reader->timer);
	else
		timer_set(reader->loop, &reader->timer, command.at_us);
	report_elected(reader, reader_core_is_reader(&reader->core, now_us));
}

void reader_set_rank(struct reader *reader, uint32_t rank)
{
	reader_core_set_rank(&reader->core, rank, clock_monotonic_us());
	make_due_calls(reader);
}

void reader_activate(struct reader *reader)
{
	reader_core_activate(&reader->core, clock_monotonic_us());
	make_due_calls(reader);
}

void reader_set_nodes(struct reader *reader, uint32_t nodes, bool many_lost)
{
	reader_core_set_nodes(&reader->core, nodes, many_lost);
}

void reader_set_source_read(struct reader *reader, int64_t at_us)
{
	reader_core_set_source_read(&reader->core, at_us);
	make_due_calls(reader);
}

int64_t reader_contact_us(const struct reader *reader)
{
	return reader_core_contact_us(&reader->core);
}

void reader_withdraw(struct reader *reader)
{
	cancel_reading(reader);
	cancel(&reader->probe_call);
	reader->core.watch_in_flight = false;
	if (reader->core.election == READER_BY_RANK) {
		timer_cancel(reader->loop, &reader->timer);
		return;
	}
	lease_withdraw(&reader->core.lease, clock_monotonic_us());
	make_due_calls(reader);
}

static void find_done(const struct store_result *result, void *data)
{
	struct reader *reader = data;
	reader_found_fn *on_found = reader->on_found;
	bool exists = holds_members(result);

	reader->find_call = NULL;
	on_found(exists ? (const char *)result->value : NULL,
		 exists ? result->size : 0, reader->on_found_data);
}

void reader_find_members(struct reader *reader, reader_found_fn *on_found,
			 void *data)
{
	char key[STORE_KEY_SIZE];
	struct store_request request = { .kind = STORE_GET,
					 .key = key,
					 .deadline_ms = MEMBERS_DEADLINE_MS };

	reader->on_found = on_found;
	reader->on_found_data = data;
	if (reader->find_call)
		return;
	members_key(reader, key);
	reader->find_call =
		store_send(reader->store, &request, find_done, reader);
}

json_t *reader_dump(const struct reader *reader)
{
	int64_t now_us = clock_monotonic_us();

	return json_pack("{s:o, s:b, s:I, s:I, s:I, s:I, s:b}", "lease",
			 lease_dump(&reader->core.lease, now_us), "watching",
			 reader->orders.call || reader->head_call, "revision",
			 (json_int_t)reader->core.revision, "heads",
			 (json_int_t)reader->heads, "older_heads",
			 (json_int_t)reader->older_head_count, "bad_bodies",
			 (json_int_t)reader->bad_bodies, "members_in_progress",
			 reader->members_call != NULL);
}
