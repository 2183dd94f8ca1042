#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"
#include "profile/reader.h"
#include "profile/records.h"

enum { TURNS = 2000, TURN_US = 1000, TEXT_SIZE = 200 };

static struct loop loop;
static struct store store;
static struct keeper keeper;
static struct reader reader;
static struct head head;
static struct error err;

static size_t members(char *text, size_t size, void *data)
{
	return (size_t)snprintf(text, size, "127.0.0.1:7001");
}

static char listed_text[TEXT_SIZE];

static void listed(const char *text, size_t size, void *data)
{
	snprintf(listed_text, sizeof(listed_text), "%.*s", (int)size, text);
}

static void setup(void)
{
	struct store_options options;
	struct reader_options reader_options = { .data_centre = "dc1",
						 .holder = "n1/5",
						 .seed = 1,
						 .members = members,
						 .listed = listed };

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	store_options_default(&options);
	options.transport = STORE_MANUAL;
	options.rate_per_s = 10000;
	options.burst = 10000;
	store_init(&store, &loop, NULL, &options);
	keeper_init(&keeper);
	lease_options_default(&reader_options.lease);
	reader_options.lease.rank_step_ms = 0;
	reader_init(&reader, &loop, &store, &keeper, &reader_options);
	head_init(&head);
}

static void teardown(void)
{
	reader_finish(&reader);
	keeper_finish(&keeper);
	store_finish(&store);
	loop_finish(&loop);
	head_finish(&head);
}

static const char *text_of(int number)
{
	static char text[TEXT_SIZE];

	snprintf(text, sizeof(text),
		 "services = [\"*\"]\ndrain_ms = %d\n[kind.k]\n"
		 "[[route]]\npath = \"/\"\nkind = \"k\"\n",
		 number);
	return text;
}

static void next_version(int number)
{
	uint8_t hash[CONTENT_HASH_BYTES];
	char id[ACCEPT_ID_SIZE];

	snprintf(id, sizeof(id), "id-%d", number);
	head_advance(&head, id, "op", 1);
	content_hash(text_of(number), strlen(text_of(number)), hash);
	cr_assert(head_set(&head, "a", hash, &err));
	head_seal(&head);
}

/* Runs the loop until a call of this kind is in flight; returns the call. */
static struct store_call *await_call(enum store_kind kind)
{
	struct store_call *call;
	int i;

	for (i = 0; i < TURNS; i++) {
		for (call = store.calls; call; call = store_call_next(call))
			if (store_call_request(call)->kind == kind &&
			    store.attempts[kind])
				return call;
		loop_turn(&loop, TURN_US);
	}
	cr_assert_fail("no call of kind %d", kind);
	return NULL;
}

static void acquire(void)
{
	struct store_result result = { .outcome = STORE_TOOK_EFFECT,
				       .token = 3 };
	struct store_call *call;

	reader_set_rank(&reader, 0);
	call = await_call(STORE_ACQUIRE);
	cr_assert_str_eq(store_call_request(call)->key, "reader/dc1/0");
	cr_assert_str_eq(store_call_request(call)->holder, "n1/5");
	store_end_attempt(call, &result);
	cr_assert(reader_holds(&reader));
}

static void answer_head(uint64_t revision)
{
	struct store_call *call = await_call(STORE_WATCH);
	struct store_result result = { .outcome = STORE_TOOK_EFFECT,
				       .revision = revision };
	uint8_t *bytes = head_encode(&head, &result.size);

	cr_assert_str_eq(store_call_request(call)->key, "head");
	result.value = bytes;
	store_end_attempt(call, &result);
	free(bytes);
}

static void answer_body(const char *text)
{
	struct store_result result = { .outcome = STORE_TOOK_EFFECT,
				       .revision = 1,
				       .value = (const uint8_t *)text,
				       .size = strlen(text) };

	store_end_attempt(await_call(STORE_GET), &result);
}

Test(reader, a_holder_watches_and_fetches_what_is_missing, .init = setup,
     .fini = teardown)
{
	struct store_call *call;

	reader_set_rank(&reader, READER_CANDIDATES);
	loop_turn(&loop, TURN_US);
	cr_assert_null(store.calls,
		       "a node that is no candidate makes no call");
	acquire();
	next_version(1);
	answer_head(11);
	cr_assert_eq(keeper_pending_version(&keeper), 1);
	answer_body(text_of(1));
	cr_assert_eq(keeper_config(&keeper)->version, 1);
	call = await_call(STORE_WATCH);
	cr_assert_eq(store_call_request(call)->revision, 11);
}

/* Guards against accepting a body whose content does not match its hash, and
 * against giving up on a body after a failed fetch. */
Test(reader, a_wrong_or_missing_body_is_fetched_again, .init = setup,
     .fini = teardown)
{
	struct store_result absent = { .outcome = STORE_NO_EFFECT,
				       .reason = STORE_ABSENT };

	acquire();
	next_version(1);
	answer_head(11);
	answer_body(text_of(2));
	cr_assert_eq(reader.bad_bodies, 1);
	cr_assert_null(keeper_config(&keeper));
	store_end_attempt(await_call(STORE_GET), &absent);
	answer_body(text_of(1));
	cr_assert_eq(keeper_config(&keeper)->version, 1);
}

/* Guards against following a store that was restored from a backup back to an
 * older head, and against reading that head in a busy loop. */
Test(reader, an_older_head_is_counted_and_not_followed, .init = setup,
     .fini = teardown)
{
	struct head old;
	struct head newer;

	acquire();
	next_version(1);
	head_copy(&old, &head);
	next_version(2);
	answer_head(12);
	answer_body(text_of(2));
	newer = head;
	head = old;
	answer_head(9);
	cr_assert_eq(keeper_config(&keeper)->version, 2);
	cr_assert_eq(reader.older_head_count, 1);
	cr_assert_eq(keeper.older_heads, 1);
	loop_turn(&loop, TURN_US);
	cr_assert_null(reader.head_call, "the next read is delayed");
	head = newer;
	head_finish(&old);
}

/* Guards against a paused reader that goes back to an older head: the watch is
 * answered after the lease has expired and peers have sent a newer version. */
Test(reader, a_paused_reader_does_not_return_to_an_older_head, .init = setup,
     .fini = teardown)
{
	struct head late;
	size_t size;
	uint8_t *bytes;

	acquire();
	next_version(1);
	head_copy(&late, &head);
	await_call(STORE_WATCH);
	reader.core.lease.valid_until_us = 0;
	next_version(2);
	bytes = head_encode(&head, &size);
	keeper_offer_head(&keeper, bytes, size, &err);
	keeper_offer_body(&keeper, text_of(2), strlen(text_of(2)), &err);
	free(bytes);
	head_finish(&head);
	head = late;
	answer_head(11);
	cr_assert_eq(keeper_config(&keeper)->version, 2);
	cr_assert_not(reader_holds(&reader));
	cr_assert_null(reader.head_call, "without a lease there is no watch");
}

Test(reader, members_are_recorded, .init = setup, .fini = teardown)
{
	struct store_result absent = { .outcome = STORE_NO_EFFECT,
				       .reason = STORE_ABSENT };
	struct store_result same = { .outcome = STORE_TOOK_EFFECT,
				     .value = (const uint8_t *)"127.0.0.1:7001",
				     .size = 14,
				     .revision = 4 };
	struct store_call *call;

	acquire();
	reader.core.next_members_us = 0;
	await_call(STORE_WATCH);
	reader_set_rank(&reader, 1);
	call = await_call(STORE_GET);
	cr_assert_str_eq(store_call_request(call)->key, "members/dc1");
	store_end_attempt(call, &absent);
	call = await_call(STORE_PUT);
	cr_assert_str_eq(store_call_request(call)->key, "members/dc1");
	cr_assert_eq(store_call_request(call)->size, 14);
	cr_assert_eq(store_call_request(call)->revision, 0);
	store_end_attempt(call, &same);
	cr_assert_eq(reader.members_written, 1);
	reader.core.next_members_us = 0;
	reader_set_rank(&reader, 0);
	store_end_attempt(await_call(STORE_GET), &same);
	cr_assert_null(reader.members_call,
		       "an unchanged record is not written");
}

/* Guards against two readers that replace each other's addresses and whose
 * nodes never find each other. */
Test(reader, addresses_of_another_reader_are_contacted_before_they_are_replaced,
     .init = setup, .fini = teardown)
{
	struct store_result other = { .outcome = STORE_TOOK_EFFECT,
				      .value =
					      (const uint8_t *)"127.0.0.1:7002",
				      .size = 14,
				      .revision = 4 };
	struct store_call *call;

	acquire();
	reader.core.next_members_us = 0;
	await_call(STORE_WATCH);
	reader_set_rank(&reader, 1);
	store_end_attempt(await_call(STORE_GET), &other);
	cr_expect_str_eq(listed_text, "127.0.0.1:7002");
	call = await_call(STORE_PUT);
	cr_expect_eq(store_call_request(call)->revision, 4);
	cr_expect_not(
		memcmp(store_call_request(call)->value, "127.0.0.1:7001", 14));
}

static uint32_t order_count;

static void on_orders(const struct store_item *items, uint32_t count,
		      void *data)
{
	order_count += count;
}

/* Restarts the reader by rank, as on a platform whose store holds orders. */
static void restart_by_rank(void)
{
	reader_finish(&reader);
	reader.core.election = READER_BY_RANK;
	reader.orders.on_changed = on_orders;
	reader.orders.revision = 0;
	order_count = 0;
	reader_set_rank(&reader, 0);
}

static void answer_orders(enum store_outcome outcome, enum store_reason reason)
{
	static const struct store_item items[] = { { .key = KEY_ORDERS "s" } };
	const struct store_result result = { .outcome = outcome,
					     .reason = reason,
					     .revision = 20,
					     .items = items,
					     .item_count = 1 };

	store_end_attempt(await_call(STORE_LIST), &result);
}

/* Guards against a version that comes into force before its orders are known,
 * and against losing an order that changes between the list and the watch. */
Test(reader, orders_come_first_and_none_is_missed, .init = setup,
     .fini = teardown)
{
	static const struct store_item items[] = { { .key = KEY_ORDERS "s" } };
	const struct store_result changes = { .outcome = STORE_NO_EFFECT,
					      .reason = STORE_NOT_NEWER,
					      .revision = 31,
					      .items = items,
					      .item_count = 1 };
	const struct store_result compacted = { .outcome = STORE_NO_EFFECT,
						.reason = STORE_COMPACTED };
	struct store_call *call;

	restart_by_rank();
	cr_expect(store_call_request(await_call(STORE_LIST))->allow_stale);
	answer_orders(STORE_TOOK_EFFECT, STORE_OK);
	cr_expect_eq(order_count, 1);
	call = await_call(STORE_WATCH);
	cr_expect_eq(store_call_request(call)->revision, 0);
	next_version(1);
	answer_head(25);
	call = await_call(STORE_WATCH);
	cr_expect_eq(store_call_request(call)->revision, 20);
	cr_expect(store_call_request(call)->with_orders);
	store_end_attempt(call, &changes);
	cr_expect_eq(order_count, 2);
	call = await_call(STORE_WATCH);
	cr_expect_eq(store_call_request(call)->revision, 31,
		     "an order advances the revision");
	store_end_attempt(call, &compacted);
	call = await_call(STORE_LIST);
	cr_expect_not(store_call_request(call)->allow_stale,
		      "a stale list may precede the compaction");
}

/* Guards against a reader that waits forever for the list of a service without
 * lists. */
Test(reader, a_service_without_lists_still_gives_versions, .init = setup,
     .fini = teardown)
{
	static const enum store_reason reasons[] = { STORE_REJECTED,
						     STORE_ABSENT };
	size_t i;

	for (i = 0; i < sizeof(reasons) / sizeof(reasons[0]); i++) {
		restart_by_rank();
		reader.core.revision = 0;
		reader.core.watch_in_flight = false;
		reader.core.next_watch_us = 0;
		answer_orders(STORE_NO_EFFECT, reasons[i]);
		cr_expect_eq(
			store_call_request(await_call(STORE_WATCH))->revision,
			0);
	}
}

Test(reader, a_graceful_stop_gives_the_lease_back, .init = setup,
     .fini = teardown)
{
	struct store_result done = { .outcome = STORE_TOOK_EFFECT };
	struct store_call *call;

	acquire();
	await_call(STORE_WATCH);
	reader_withdraw(&reader);
	cr_assert_not(reader_holds(&reader));
	cr_assert_not(reader_is_idle(&reader));
	call = await_call(STORE_RELEASE);
	cr_assert_eq(store_call_request(call)->token, 3);
	store_end_attempt(call, &done);
	cr_assert(reader_is_idle(&reader));
	cr_assert_null(store.calls);
}
