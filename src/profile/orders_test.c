#include <apr_general.h>
#include <criterion/criterion.h>
#include <string.h>

#include "profile/orders.h"

enum { TURNS = 2000, TURN_US = 1000, LIST_REVISION = 20 };

static struct loop loop;
static struct store store;
static struct orders orders;
static struct error err;
static uint32_t changed_count;
static uint32_t listed_count;
static enum store_reason listed_reason;

static void on_changed(const struct store_item *items, uint32_t count,
		       void *data)
{
	cr_assert_eq(data, &store);
	changed_count += count;
}

static void on_listed(const struct store_result *failure, void *data)
{
	cr_assert_eq(data, &loop);
	listed_count++;
	listed_reason = failure ? failure->reason : STORE_OK;
}

static void init_orders(void)
{
	orders_init(&orders, &store, on_changed, &store, on_listed, &loop);
	changed_count = 0;
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
	init_orders();
}

static void teardown(void)
{
	orders_cancel(&orders);
	store_finish(&store);
	loop_finish(&loop);
}

/* Starts a list and returns its request once it has been sent. */
static const struct store_request *start_list(void)
{
	uint64_t attempts = store.attempts[STORE_LIST];
	int i;

	orders_list(&orders);
	for (i = 0; i < TURNS && store.attempts[STORE_LIST] == attempts; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_neq(store.attempts[STORE_LIST], attempts, "no list was sent");
	return store_call_request(orders.call);
}

/* Guards against a reader that waits for a list that has ended, and against a
 * failed list that passes for an empty one: a version would come into force
 * before its orders are known. */
Test(orders, a_list_ends_once, .init = setup, .fini = teardown)
{
	static const struct store_item items[] = { { .key = KEY_ORDERS "s" },
						   { .key = KEY_ORDERS "t" } };
	static const struct {
		struct store_result answer;
		uint32_t expected_changes;
		enum store_reason reason;
	} cases[] = {
		{ { .outcome = STORE_TOOK_EFFECT,
		    .items = items,
		    .item_count = 2 },
		  2,
		  STORE_OK },
		{ { .outcome = STORE_TOOK_EFFECT }, 0, STORE_OK },
		{ { .outcome = STORE_TOOK_EFFECT, .more = true }, 0, STORE_OK },
		{ { .outcome = STORE_NO_EFFECT, .reason = STORE_REJECTED },
		  0,
		  STORE_OK },
		{ { .outcome = STORE_NO_EFFECT, .reason = STORE_ABSENT },
		  0,
		  STORE_OK },
		{ { .outcome = STORE_NO_EFFECT, .reason = STORE_TIMED_OUT },
		  0,
		  STORE_TIMED_OUT },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		init_orders();
		start_list();
		store_end_attempt(orders.call, &cases[i].answer);
		cr_expect_eq(listed_count, 1, "case %zu", i);
		cr_expect_eq(listed_reason, cases[i].reason, "case %zu", i);
		cr_expect_eq(changed_count, cases[i].expected_changes,
			     "case %zu", i);
		cr_expect_null(orders.call, "case %zu", i);
	}
}

/* Guards against lost orders: pages after the first that are not read, and a
 * change of a page that was already read while a later one is being read. */
Test(orders, all_pages_are_read, .init = setup, .fini = teardown)
{
	static const struct store_item items[] = { { .key = KEY_ORDERS "s" },
						   { .key = KEY_ORDERS "t" } };
	const struct store_result first = { .outcome = STORE_TOOK_EFFECT,
					    .items = items,
					    .item_count = 2,
					    .more = true,
					    .revision = LIST_REVISION };
	const struct store_result last = { .outcome = STORE_TOOK_EFFECT,
					   .items = items,
					   .item_count = 1,
					   .revision = LIST_REVISION + 3 };
	struct store_result watched = { .outcome = STORE_TOOK_EFFECT,
					.revision = LIST_REVISION + 9 };
	const struct store_request *request = start_list();
	uint64_t attempts = store.attempts[STORE_LIST];
	int i;

	cr_expect_str_eq(request->key, KEY_ORDERS);
	cr_expect_null(request->after);
	store_end_attempt(orders.call, &first);
	cr_expect_eq(listed_count, 0, "another page follows");
	for (i = 0; i < TURNS && store.attempts[STORE_LIST] == attempts; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_not_null(orders.call);
	cr_expect_str_eq(store_call_request(orders.call)->after,
			 KEY_ORDERS "t");
	store_end_attempt(orders.call, &last);
	cr_expect_eq(listed_count, 1);
	cr_expect_eq(changed_count, 3);
	orders_watch_ended(&orders, &watched);
	cr_expect_eq(watched.revision, LIST_REVISION);
}

/* Guards against a watch that starts after the list and loses a change, against
 * a watch that is set back twice and repeats history, and against a stale list
 * whose revision has been compacted. */
Test(orders, a_watch_starts_at_the_revision_of_the_list, .init = setup,
     .fini = teardown)
{
	static const struct {
		uint64_t list_revision;
		uint64_t watch_revision;
		uint64_t expected;
		enum store_reason reason;
		bool allow_stale;
	} cases[] = {
		{ LIST_REVISION, 25, LIST_REVISION, STORE_OK, true },
		{ LIST_REVISION, 25, LIST_REVISION, STORE_NOT_NEWER, true },
		{ LIST_REVISION, 15, 15, STORE_OK, true },
		{ 0, 31, 31, STORE_OK, true },
		{ 0, 31, 31, STORE_COMPACTED, false },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct store_result list = { .outcome = STORE_TOOK_EFFECT,
					     .revision =
						     cases[i].list_revision };
		struct store_result watch = { .reason = cases[i].reason,
					      .revision =
						      cases[i].watch_revision };
		struct store_result next = { .outcome = STORE_TOOK_EFFECT,
					     .reason = cases[i].reason,
					     .revision = 40 };

		init_orders();
		cr_expect(start_list()->allow_stale, "case %zu", i);
		store_end_attempt(orders.call, &list);
		orders_watch_ended(&orders, &watch);
		cr_expect_eq(watch.revision, cases[i].expected, "case %zu", i);
		orders_watch_ended(&orders, &next);
		cr_expect_eq(next.revision, 40, "case %zu", i);
		cr_expect_eq(start_list()->allow_stale, cases[i].allow_stale,
			     "case %zu", i);
		orders_cancel(&orders);
	}
}
