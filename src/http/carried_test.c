#include <criterion/criterion.h>
#include <stdio.h>

#include "http/carried.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* Adds requests behind which an earlier one is known only until its time. */
static void add_others(struct carried *carried)
{
	char id[16];
	int i;

	for (i = 0; i < CARRIED_LAST; i++) {
		snprintf(id, sizeof(id), "other-%d", i);
		carried_add(carried, id, INT64_MAX);
	}
}

/* Guards against another attempt at a request on a connection that may still
 * deliver a copy of the answer to the first attempt. */
Test(carried, a_request_is_known_until_its_time_ends)
{
	static const struct {
		const char *name;
		const char *id;
		int64_t now_us;
		bool expected;
	} cases[] = {
		{ "same request", "a", 10, true },
		{ "same request, carried before others", "b", 10, true },
		{ "another request", "d", 10, false },
		{ "request without an end", "c", INT64_MAX - 1, true },
		{ "at the end of its time", "a", 100, false },
		{ "begins with the same text", "aa", 10, false },
	};
	struct carried carried;
	size_t i;

	carried_init(&carried);
	carried_add(&carried, "b", 300);
	carried_add(&carried, "a", 100);
	carried_add(&carried, "c", INT64_MAX);
	add_others(&carried);
	for (i = 0; i < COUNT(cases); i++)
		cr_expect_eq(carried_has(&carried, cases[i].id,
					 cases[i].now_us),
			     cases[i].expected, "%s", cases[i].name);
	carried_finish(&carried);
}

/* Guards against an attempt that reaches a paused process after the time of its
 * request, and gets the copy of the answer to the first attempt, which is due
 * before the next answer on the connection. */
Test(carried, the_last_requests_are_known_beyond_their_time)
{
	struct carried carried;
	char id[16];
	int i;

	carried_init(&carried);
	carried_add(&carried, "a", 100);
	for (i = 1; i < CARRIED_LAST; i++) {
		cr_expect(carried_has(&carried, "a", 1000), "%d", i);
		cr_expect_not(carried_is_full(&carried, 1000), "%d", i);
		snprintf(id, sizeof(id), "%d", i);
		carried_add(&carried, id, 100);
	}
	cr_expect(carried_has(&carried, "a", 1000));
	carried_add(&carried, "last", 100);
	cr_expect_not(carried_has(&carried, "a", 1000));
	carried_finish(&carried);
}

/* Guards against memory that grows with the requests on a connection, and
 * against forgetting one of them while it may be repeated. */
Test(carried, a_connection_with_many_requests_is_full)
{
	struct carried carried;
	char id[16];
	int i;

	carried_init(&carried);
	for (i = 0; i < CARRIED_MAX; i++) {
		cr_expect_not(carried_is_full(&carried, 0), "%d", i);
		snprintf(id, sizeof(id), "%d", i);
		carried_add(&carried, id, 1000 + i);
	}
	cr_expect(carried_is_full(&carried, 999));
	cr_expect_not(carried_is_full(&carried, 1000));
	cr_expect_not(carried_has(&carried, "0", 1000));
	cr_expect(carried_has(&carried, "1", 1000));
	carried_finish(&carried);
}
