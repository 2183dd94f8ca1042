#include <apr_general.h>
#include <criterion/criterion.h>
#include <string.h>

#include "profile/orders.h"

enum { TURNS = 2000, TURN_US = 1000, LISTED_AT = 20 };

static struct loop loop;
static struct store store;
static struct orders orders;
static struct error err;
static uint32_t heard_count;
static uint32_t listed_count;
static enum store_reason listed_reason;

static void heard(const struct store_item *items, uint32_t count, void *data)
{
	cr_assert_eq(data, &store);
	heard_count += count;
}

static void listed(const struct store_result *failure, void *data)
{
	cr_assert_eq(data, &loop);
	listed_count++;
	listed_reason = failure ? failure->reason : STORE_FINE;
}

static void begin(void)
{
	orders_init(&orders, &store, heard, &store, listed, &loop);
	heard_count = 0;
	listed_count = 0;
}

static void setup(void)
{
	struct store_options options;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	store_options_default(&options);
	options.transport = STORE_MANUAL;
	options.rate_per_s = 10000;
	options.burst = 10000;
	store_init(&store, &loop, NULL, &options);
	begin();
}

static void teardown(void)
{
	orders_cancel(&orders);
	store_finish(&store);
	loop_finish(&loop);
}

/* The list that is in flight, once it has been sent. */
static const struct store_request *wait_list(void)
{
	uint64_t tries = store.tries[STORE_LIST];
	int i;

	orders_list(&orders);
	for (i = 0; i < TURNS && store.tries[STORE_LIST] == tries; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_neq(store.tries[STORE_LIST], tries, "no list was sent");
	return store_call_request(orders.call);
}

/*
 * Symptom: no version comes into force, or one does before its orders are
 * known.
 * Sequence: the list is answered, refused or fails.
 * Cause: a reader that waits for a list that never comes, or takes one that
 * failed for an empty one.
 */
Test(orders, a_list_ends_once, .init = setup, .fini = teardown)
{
	static const struct store_item items[] = { { .key = KEY_ORDERS "s" },
						   { .key = KEY_ORDERS "t" } };
	static const struct {
		struct store_result answer;
		uint32_t heard;
		enum store_reason reason;
	} cases[] = {
		{ { .outcome = STORE_TOOK_EFFECT,
		    .items = items,
		    .item_count = 2 },
		  2,
		  STORE_FINE },
		{ { .outcome = STORE_TOOK_EFFECT }, 0, STORE_FINE },
		{ { .outcome = STORE_TOOK_EFFECT, .more = true },
		  0,
		  STORE_FINE },
		{ { .outcome = STORE_DID_NOT, .reason = STORE_REJECTED },
		  0,
		  STORE_FINE },
		{ { .outcome = STORE_DID_NOT, .reason = STORE_ABSENT },
		  0,
		  STORE_FINE },
		{ { .outcome = STORE_DID_NOT, .reason = STORE_TOO_LATE },
		  0,
		  STORE_TOO_LATE },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		begin();
		wait_list();
		store_answer(orders.call, &cases[i].answer);
		cr_expect_eq(listed_count, 1, "case %zu", i);
		cr_expect_eq(listed_reason, cases[i].reason, "case %zu", i);
		cr_expect_eq(heard_count, cases[i].heard, "case %zu", i);
		cr_expect_null(orders.call, "case %zu", i);
	}
}

/*
 * Symptom: an order is never heard of.
 * Sequence: there are more orders than a page holds; one on the first page is
 * changed while the second is read.
 * Cause: the first page taken for all; a watch that goes on from the last.
 */
Test(orders, all_pages_are_read, .init = setup, .fini = teardown)
{
	static const struct store_item items[] = { { .key = KEY_ORDERS "s" },
						   { .key = KEY_ORDERS "t" } };
	const struct store_result first = { .outcome = STORE_TOOK_EFFECT,
					    .items = items,
					    .item_count = 2,
					    .more = true,
					    .revision = LISTED_AT };
	const struct store_result last = { .outcome = STORE_TOOK_EFFECT,
					   .items = items,
					   .item_count = 1,
					   .revision = LISTED_AT + 3 };
	struct store_result watched = { .outcome = STORE_TOOK_EFFECT,
					.revision = LISTED_AT + 9 };
	const struct store_request *request = wait_list();
	uint64_t tries = store.tries[STORE_LIST];
	int i;

	cr_expect_str_eq(request->key, KEY_ORDERS);
	cr_expect_null(request->after);
	store_answer(orders.call, &first);
	cr_expect_eq(listed_count, 0, "there is a page to come");
	for (i = 0; i < TURNS && store.tries[STORE_LIST] == tries; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_not_null(orders.call);
	cr_expect_str_eq(store_call_request(orders.call)->after,
			 KEY_ORDERS "t");
	store_answer(orders.call, &last);
	cr_expect_eq(listed_count, 1);
	cr_expect_eq(heard_count, 3);
	orders_watch_ended(&orders, &watched);
	cr_expect_eq(watched.revision, LISTED_AT);
}

/*
 * Symptom: an order is never heard of, or the same history is asked for again
 * and again.
 * Sequence: the orders are listed, then watches of the head end.
 * Cause: a watch that goes on from the later one of two reads; one that is set
 * back more than once; an old list that leads to history that is gone.
 */
Test(orders, a_watch_goes_on_from_the_list, .init = setup, .fini = teardown)
{
	static const struct {
		uint64_t listed;
		uint64_t watched;
		uint64_t wanted;
		enum store_reason reason;
		bool may_be_old;
	} cases[] = {
		{ LISTED_AT, 25, LISTED_AT, STORE_FINE, true },
		{ LISTED_AT, 25, LISTED_AT, STORE_NOT_NEWER, true },
		{ LISTED_AT, 15, 15, STORE_FINE, true },
		{ 0, 31, 31, STORE_FINE, true },
		{ 0, 31, 31, STORE_COMPACTED, false },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct store_result list = { .outcome = STORE_TOOK_EFFECT,
					     .revision = cases[i].listed };
		struct store_result watch = { .reason = cases[i].reason,
					      .revision = cases[i].watched };
		struct store_result next = { .outcome = STORE_TOOK_EFFECT,
					     .reason = cases[i].reason,
					     .revision = 40 };

		begin();
		cr_expect(wait_list()->may_be_old, "case %zu", i);
		store_answer(orders.call, &list);
		orders_watch_ended(&orders, &watch);
		cr_expect_eq(watch.revision, cases[i].wanted, "case %zu", i);
		orders_watch_ended(&orders, &next);
		cr_expect_eq(next.revision, 40, "case %zu", i);
		cr_expect_eq(wait_list()->may_be_old, cases[i].may_be_old,
			     "case %zu", i);
		orders_cancel(&orders);
	}
}
