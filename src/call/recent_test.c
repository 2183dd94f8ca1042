#include <criterion/criterion.h>
#include <stdlib.h>

#include "call/recent.h"

enum { CALLER = 7, ENTRIES = 3 };

static const struct recent_limits limits = {
	.entries_max = ENTRIES,
	.answer_bytes_max = 100,
	.callers_max = 2,
};

static struct call_id id_of(uint64_t incarnation, uint64_t sequence)
{
	struct call_id id = { incarnation, sequence };

	return id;
}

static enum recent_state lookup(struct recent *recent, uint64_t sequence,
				enum recent_purpose purpose)
{
	struct recent_entry *entry;

	return recent_lookup(recent, id_of(CALLER, sequence), purpose, &entry);
}

static void run_and_end(struct recent *recent, uint64_t incarnation,
			uint64_t sequence, size_t answer_bytes)
{
	const struct call_outcome outcome = { .verdict = VERDICT_RAN };
	struct recent_entry *entry =
		recent_begin(recent, id_of(incarnation, sequence), recent);

	cr_assert(recent_end(recent, entry, &outcome,
			     answer_bytes ? malloc(answer_bytes) : NULL,
			     answer_bytes));
}

/* Guards against a "not run" verdict for a request that ran: a discarded entry
 * must not be reported as never seen. */
Test(recent, a_discarded_entry_is_not_reported_as_never_seen)
{
	struct recent recent;
	uint64_t i;

	recent_init(&recent, &limits);
	for (i = 1; i <= ENTRIES + 2; i++)
		run_and_end(&recent, CALLER, i, 0);
	cr_expect_eq(lookup(&recent, 1, RECENT_QUERIED), RECENT_FORGOTTEN);
	cr_expect_eq(lookup(&recent, 2, RECENT_ARRIVED), RECENT_FORGOTTEN);
	cr_expect_eq(lookup(&recent, 3, RECENT_QUERIED), RECENT_ENDED);
	cr_expect_eq(lookup(&recent, ENTRIES + 3, RECENT_QUERIED),
		     RECENT_NEVER_SEEN);
	cr_expect_eq(recent.discarded_count, 2);
	recent_finish(&recent);
}

/* Guards against running a request that was reported as not run: a copy delayed
 * on a stalled connection must be refused after a query. */
Test(recent, a_copy_that_arrives_after_a_query_is_refused)
{
	struct recent recent;
	struct recent_caller *caller;
	uint64_t i;

	recent_init(&recent, &limits);
	caller = recent_caller_acquire(&recent, CALLER);
	cr_assert_eq(lookup(&recent, 1, RECENT_QUERIED), RECENT_NEVER_SEEN);
	recent_refuse(&recent, id_of(CALLER, 1), CALL_NEVER_SEEN);
	cr_expect_eq(lookup(&recent, 1, RECENT_ARRIVED), RECENT_ENDED);
	for (i = 2; i < 10; i++)
		run_and_end(&recent, CALLER, i, 0);
	cr_expect_eq(lookup(&recent, 1, RECENT_ARRIVED), RECENT_FORGOTTEN);
	recent_caller_release(&recent, caller);
	recent_finish(&recent);
}

/* Guards against a "not run" verdict for a request that ran, sent by a caller
 * whose record was discarded in favour of other callers. */
Test(recent, a_discarded_caller_is_not_treated_as_new)
{
	struct recent recent;
	uint64_t other;

	recent_init(&recent, &limits);
	run_and_end(&recent, CALLER, 1, 0);
	for (other = 100; other < 110; other++)
		run_and_end(&recent, other, 1, 0);
	cr_expect_eq(lookup(&recent, 1, RECENT_QUERIED), RECENT_FORGOTTEN);
	/* A request that such a caller sends for the first time must run. */
	cr_expect_eq(lookup(&recent, 2, RECENT_ARRIVED), RECENT_NEVER_SEEN);
	recent_finish(&recent);
}

Test(recent, answers_are_discarded_before_their_attempts)
{
	struct recent recent;
	struct recent_entry *entry;

	recent_init(&recent, &limits);
	run_and_end(&recent, CALLER, 1, 60);
	run_and_end(&recent, CALLER, 2, 60);
	recent_lookup(&recent, id_of(CALLER, 1), RECENT_QUERIED, &entry);
	cr_assert_not_null(entry);
	cr_expect_null(entry->answer);
	cr_expect_eq(entry->outcome.verdict, VERDICT_RAN);
	recent_lookup(&recent, id_of(CALLER, 2), RECENT_QUERIED, &entry);
	cr_expect_not_null(entry->answer);
	cr_expect_eq(recent.answer_bytes, 60);
	recent_finish(&recent);
}

Test(recent, running_attempts_are_never_forgotten)
{
	struct recent recent;
	uint64_t i;

	recent_init(&recent, &limits);
	for (i = 1; i <= 2 * ENTRIES; i++)
		recent_begin(&recent, id_of(CALLER, i), &recent);
	cr_expect_eq(lookup(&recent, 1, RECENT_ARRIVED), RECENT_RUNNING);
	cr_expect_eq(recent.running_count, 2 * ENTRIES);
	recent_finish(&recent);
}

/* Guards against memory growth by answers that are stored although they have
 * expired. */
Test(recent, expired_answers_are_freed)
{
	static const struct {
		int64_t now_us;
		size_t kept_bytes;
	} cases[] = { { 9, 30 }, { 10, 20 }, { 19, 20 }, { 20, 10 }, { 30, 0 } };
	const struct call_outcome outcome = { .verdict = VERDICT_RAN };
	struct recent recent;
	uint64_t i;

	recent_init(&recent, &limits);
	for (i = 1; i <= ENTRIES; i++) {
		struct recent_entry *entry =
			recent_begin(&recent, id_of(CALLER, i), &recent);

		entry->answer_expires_us = (int64_t)i * 10;
		recent_end(&recent, entry, &outcome, malloc(10), 10);
	}
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		recent_expire(&recent, cases[i].now_us);
		cr_expect_eq(recent.answer_bytes, cases[i].kept_bytes,
			     "at %lld", (long long)cases[i].now_us);
	}
	cr_expect_eq(lookup(&recent, 1, RECENT_QUERIED), RECENT_ENDED,
		     "the entry outlives its answer");
	recent_finish(&recent);
}

/* Guards against a drain that ends while an answer may not have reached the
 * caller's node: no other process could tell that node that its request ran. */
Test(recent, a_drain_waits_for_answers_that_were_not_delivered)
{
	enum { OTHER = 8, DEADLINE_US = 1000, LOST_US = 500, SINCE_US = 400 };
	static const struct {
		const char *name;
		uint64_t caller;
		int64_t sent_us; /* 0: its connection was lost before */
		int64_t sent_again_us;
		size_t answer_bytes;
		int64_t now_us;
		bool awaited;
	} cases[] = {
		{ "lost before the answer", CALLER, 0, 0, 10, LOST_US, true },
		{ "lost after the answer", CALLER, 450, 0, 10, LOST_US, true },
		{ "lost long after", CALLER, 300, 0, 10, LOST_US, false },
		{ "another caller's", OTHER, 450, 0, 10, LOST_US, false },
		{ "queried", CALLER, 0, 510, 10, LOST_US, false },
		{ "queried after a loss", CALLER, 450, 510, 10, LOST_US,
		  false },
		{ "without an answer", CALLER, 0, 0, 0, LOST_US, false },
		{ "past its deadline", CALLER, 0, 0, 10, DEADLINE_US, false },
	};
	struct recent_caller *caller;
	struct recent_entry *entry;
	struct recent recent;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		recent_init(&recent, &limits);
		caller = recent_caller_acquire(&recent, CALLER);
		run_and_end(&recent, cases[i].caller, 1, cases[i].answer_bytes);
		recent_lookup(&recent, id_of(cases[i].caller, 1),
			      RECENT_QUERIED, &entry);
		entry->deadline_us = DEADLINE_US;
		if (cases[i].sent_us)
			recent_sent(&recent, entry, cases[i].sent_us);
		else
			recent_undelivered(&recent, entry);
		recent_connection_lost(&recent, caller, SINCE_US);
		if (cases[i].sent_again_us)
			recent_sent(&recent, entry, cases[i].sent_again_us);
		cr_expect_eq(recent_is_awaited(&recent, cases[i].now_us),
			     cases[i].awaited, "%s", cases[i].name);
		recent_caller_release(&recent, caller);
		recent_finish(&recent);
	}
}

/* Guards against a list of undelivered answers that holds discarded ones. */
Test(recent, a_discarded_answer_is_not_awaited)
{
	struct recent_entry *entry;
	struct recent recent;
	uint64_t i;

	recent_init(&recent, &limits);
	for (i = 1; i <= ENTRIES; i++) {
		run_and_end(&recent, CALLER, i, 10);
		recent_lookup(&recent, id_of(CALLER, i), RECENT_QUERIED,
			      &entry);
		entry->deadline_us = 1000;
		recent_undelivered(&recent, entry);
	}
	cr_expect(recent_is_awaited(&recent, 0));
	for (i = 1; i <= ENTRIES; i++)
		run_and_end(&recent, CALLER, ENTRIES + i, 0);
	cr_expect_not(recent_is_awaited(&recent, 0));
	recent_finish(&recent);
}

/* Guards against an answer that was sent again, lost, and not waited for. */
Test(recent, an_answer_sent_again_is_found_when_its_connection_is_lost)
{
	enum { DEADLINE_US = 10000, SINCE_US = 4900 };
	struct recent_caller *caller;
	struct recent_entry *entry;
	struct recent recent;

	recent_init(&recent, &limits);
	caller = recent_caller_acquire(&recent, CALLER);
	run_and_end(&recent, CALLER, 1, 10);
	recent_lookup(&recent, id_of(CALLER, 1), RECENT_QUERIED, &entry);
	entry->deadline_us = DEADLINE_US;
	recent_undelivered(&recent, entry);
	run_and_end(&recent, CALLER, 2, 10);
	recent_lookup(&recent, id_of(CALLER, 2), RECENT_QUERIED, &entry);
	entry->deadline_us = DEADLINE_US;
	recent_sent(&recent, entry, 1000);
	recent_lookup(&recent, id_of(CALLER, 1), RECENT_QUERIED, &entry);
	/* The query came; the connection that carries the answer is lost. */
	recent_sent(&recent, entry, 5000);
	recent_connection_lost(&recent, caller, SINCE_US);
	cr_expect(recent_is_awaited(&recent, 5100));
	recent_caller_release(&recent, caller);
	recent_finish(&recent);
}
