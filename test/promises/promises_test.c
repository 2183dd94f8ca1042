#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "promises/promises.h"

enum {
	ENTRIES_MAX = 4,
	MS = 1000,
	LIMIT = 3000 * MS,
};

#define RULE(name) (1U << PROMISE_##name)
#define AT(what, ms)                                                           \
	{                                                                      \
		.event = PROMISE_##what, .at_us = (ms)*MS                      \
	}
#define REPLIED(code, ms)                                                      \
	{                                                                      \
		.event = PROMISE_REPLIED, .at_us = (ms)*MS, .status = (code)   \
	}
#define ANSWERED(code, ms)                                                     \
	.end = PROMISE_ANSWERED, .planned = true, .status = (code),            \
	.ended_us = (ms)*MS, .limit_us = LIMIT, .own_body = true

static const struct promise_case {
	const char *name;
	struct promise_request request;
	struct promise_entry entries[ENTRIES_MAX];
	size_t count;
	unsigned int broken;
} cases[] = {
	{ .name = "the upstream's answer arrives",
	  .request = { ANSWERED(200, 300), .stamped = true },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), REPLIED(200, 200) },
	  .count = 3 },
	{ .name = "the connection is closed while the upstream is at work",
	  .request = { .end = PROMISE_CLOSED,
		       .planned = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1) },
	  .count = 2,
	  .broken = RULE(LOST) },
	{ .name = "closed after the request was passed on, and before it ran",
	  .request = { .end = PROMISE_CLOSED,
		       .planned = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .entries = { AT(ARRIVED, 1) },
	  .count = 1,
	  .broken = RULE(LOST) },
	{ .name = "closed after the request was read",
	  .request = { .end = PROMISE_CLOSED,
		       .planned = true,
		       .read = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .broken = RULE(LOST) },
	{ .name = "a request crosses the close and is not read",
	  .request = { .end = PROMISE_CLOSED,
		       .planned = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT } },
	{ .name = "closed beside faults that are not planned",
	  .request = { .end = PROMISE_CLOSED,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1) },
	  .count = 2 },
	{ .name = "closed because the upstream broke off",
	  .request = { .end = PROMISE_CLOSED,
		       .planned = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), AT(BROKE, 90) },
	  .count = 3 },
	{ .name = "the upstream broke off, then the request was passed on again",
	  .request = { .end = PROMISE_CLOSED,
		       .may_repeat = true,
		       .planned = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), AT(BROKE, 9),
		       AT(ARRIVED, 20) },
	  .count = 4,
	  .broken = RULE(LOST) },
	{ .name = "no answer until the caller closes after the time limit",
	  .request = { .end = PROMISE_WAITED,
		       .planned = true,
		       .ended_us = LIMIT + 1000 * MS,
		       .limit_us = LIMIT },
	  .broken = RULE(LOST) },
	{ .name = "an answer of a node while the upstream is at work",
	  .request = { ANSWERED(502, 1000) },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), REPLIED(200, 2000) },
	  .count = 3,
	  .broken = RULE(LOST) },
	{ .name = "an answer of a node in place of the upstream's",
	  .request = { ANSWERED(502, 1000) },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), REPLIED(200, 20) },
	  .count = 3,
	  .broken = RULE(LOST) },
	{ .name = "an answer of a node at the time limit",
	  .request = { ANSWERED(504, 3000) },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), AT(LEFT, 3001) },
	  .count = 3 },
	{ .name = "an answer of a node after the upstream broke off",
	  .request = { ANSWERED(502, 1000) },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), AT(BROKE, 20) },
	  .count = 3 },
	{ .name = "refused, and rejected by the upstream",
	  .request = { ANSWERED(503, 20) },
	  .entries = { AT(ARRIVED, 1), AT(REJECTED, 1) },
	  .count = 2 },
	{ .name = "refused, and has run",
	  .request = { ANSWERED(503, 20) },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), REPLIED(200, 20) },
	  .count = 3,
	  .broken = RULE(LOST) | RULE(REFUSED) },
	{ .name = "refused, and runs later",
	  .request = { .end = PROMISE_ANSWERED,
		       .status = 429,
		       .ended_us = 20 * MS },
	  .entries = { AT(ARRIVED, 30), AT(BEGAN, 30) },
	  .count = 2,
	  .broken = RULE(REFUSED) },
	{ .name = "refused, may be repeated and has run",
	  .request = { .end = PROMISE_ANSWERED,
		       .may_repeat = true,
		       .status = 503,
		       .ended_us = 20 * MS },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), AT(LEFT, 10) },
	  .count = 3 },
	{ .name = "runs twice",
	  .request = { ANSWERED(200, 50), .stamped = true },
	  .entries = { AT(BEGAN, 1), AT(BROKE, 2), AT(BEGAN, 10),
		       REPLIED(200, 20) },
	  .count = 4,
	  .broken = RULE(TWICE) },
	{ .name = "runs twice and may be repeated",
	  .request = { ANSWERED(200, 50), .stamped = true, .may_repeat = true },
	  .entries = { AT(BEGAN, 1), AT(BROKE, 2), AT(BEGAN, 10),
		       REPLIED(200, 20) },
	  .count = 4 },
	{ .name = "a success of no upstream",
	  .request = { ANSWERED(200, 50) },
	  .broken = RULE(MIXED) },
	{ .name = "a success with the body of another request",
	  .request = { .end = PROMISE_ANSWERED, .status = 200, .stamped = true },
	  .entries = { AT(BEGAN, 1), REPLIED(200, 20) },
	  .count = 2,
	  .broken = RULE(MIXED) },
	{ .name = "a failure of an upstream keeps its status",
	  .request = { ANSWERED(500, 50), .stamped = true },
	  .entries = { AT(BEGAN, 1), REPLIED(500, 20) },
	  .count = 2 },
	{ .name = "a failure of an upstream with another status",
	  .request = { ANSWERED(502, 50), .stamped = true },
	  .entries = { AT(BEGAN, 1), REPLIED(500, 20) },
	  .count = 2,
	  .broken = RULE(MIXED) },
	{ .name = "a success where the upstream failed",
	  .request = { ANSWERED(200, 50), .stamped = true },
	  .entries = { AT(BEGAN, 1), REPLIED(500, 20) },
	  .count = 2,
	  .broken = RULE(MIXED) },
	{ .name = "arrives long after its caller has left",
	  .request = { .end = PROMISE_GAVE_UP,
		       .in_touch = true,
		       .ended_us = 100 * MS },
	  .entries = { AT(ARRIVED, 601), AT(BEGAN, 602) },
	  .count = 2,
	  .broken = RULE(GONE) },
	{ .name = "arrives soon after its caller has left",
	  .request = { .end = PROMISE_GAVE_UP,
		       .in_touch = true,
		       .planned = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .entries = { AT(ARRIVED, 590), AT(BEGAN, 590), REPLIED(200, 700) },
	  .count = 3 },
	{ .name = "arrives long after, by nodes that were disturbed",
	  .request = { .end = PROMISE_GAVE_UP, .ended_us = 100 * MS },
	  .entries = { AT(ARRIVED, 601), AT(BEGAN, 602) },
	  .count = 2 },
	{ .name = "given up while the upstream is at work",
	  .request = { .end = PROMISE_GAVE_UP,
		       .in_touch = true,
		       .planned = true,
		       .may_repeat = true,
		       .ended_us = 100 * MS,
		       .limit_us = LIMIT },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), AT(LEFT, 102) },
	  .count = 3 },
	{ .name = "worked on long after its caller has left",
	  .request = { .end = PROMISE_GAVE_UP,
		       .in_touch = true,
		       .may_repeat = true,
		       .ended_us = 100 * MS },
	  .entries = { AT(ARRIVED, 1), AT(BEGAN, 1), REPLIED(200, 700) },
	  .count = 3,
	  .broken = RULE(GONE) },
};

/* Guards against a judge that misses a broken promise, or reports a kept one. */
Test(promises, every_rule_is_judged_by_what_callers_and_upstreams_saw)
{
	size_t i;
	int rule;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		for (rule = 0; rule < PROMISE_RULES; rule++) {
			const struct promise_case *c = &cases[i];
			bool broken = promise_is_broken((enum promise_rule)rule,
							&c->request, c->entries,
							c->count);

			cr_expect_eq(
				broken, (c->broken >> rule & 1U) != 0, "%s: %s",
				c->name,
				promise_rule_name((enum promise_rule)rule));
		}
}

/* Guards against entries of a request that are missed or mixed with others. */
Test(promises, an_account_gives_back_the_entries_of_a_request_in_order)
{
	static const struct promise_entry written[] = {
		{ PROMISE_ARRIVED, 0, 5, "a-2", "n-1" },
		{ PROMISE_BEGAN, 0, 5, "a-2", "n-1" },
		{ PROMISE_REPLIED, 200, 90, "a-2", "n-1" },
		{ PROMISE_REJECTED, 429, 4, "a-10", "n-1" },
		{ PROMISE_BROKE, 0, 1, "a-2", "n-2" },
		{ PROMISE_LEFT, 0, 2, "a-2", "" },
	};
	static const enum promise_event order[] = { PROMISE_ARRIVED,
						    PROMISE_BEGAN,
						    PROMISE_REPLIED };
	const size_t count = sizeof(written) / sizeof(written[0]);
	struct promise_account account = { 0 };
	const struct promise_entry *found;
	char path[] = "/tmp/geraniumplank-account-XXXXXX";
	int fd = mkstemp(path);
	FILE *file = fdopen(fd, "w");
	size_t number;
	size_t i;

	cr_assert(file);
	for (i = count; i > 0; i--)
		promise_write(file, &written[i - 1]);
	fclose(file);
	cr_assert(promise_read(&account, path));
	cr_assert_eq(account.count, count);
	promise_sort(&account);
	found = promise_find(&account, "a-2", &number);
	cr_assert_null(found, "incarnations are no ids");
	found = promise_find(&account, "n-1", &number);
	cr_assert(found);
	cr_assert_eq(number, 4);
	cr_expect_eq(found[0].event, PROMISE_REJECTED);
	cr_expect_eq(found[0].status, 429);
	for (i = 0; i < sizeof(order) / sizeof(order[0]); i++)
		cr_expect_eq(found[i + 1].event, order[i]);
	cr_expect_str_eq(found[0].instance, "a-10");
	cr_expect(promise_find(&account, "-", &number));
	promise_finish(&account);
	unlink(path);
}

/* Guards against a truncated account that counts as complete. */
Test(promises, a_broken_line_of_an_account_is_reported)
{
	static const char *const texts[] = {
		"arrived 5 0 a-2\n",
		"arrived 5 0 a-2 n-1",
		"departed 5 0 a-2 n-1\n",
		"arrived five 0 a-2 n-1\n",
	};
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		struct promise_account account = { 0 };
		char path[] = "/tmp/geraniumplank-account-XXXXXX";
		FILE *file = fdopen(mkstemp(path), "w");

		cr_assert(file);
		fputs(texts[i], file);
		fclose(file);
		cr_expect_not(promise_read(&account, path), "%s", texts[i]);
		promise_finish(&account);
		unlink(path);
	}
	cr_expect_not(promise_read(&(struct promise_account){ 0 },
				   "/nonexistent/account"));
}
