#include <criterion/criterion.h>

#include "os/clock.h"
#include "profile/reader_core.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static struct reader_core core;

static void begin(uint32_t rank)
{
	struct lease_options lease;

	lease_options_default(&lease);
	reader_core_init(&core, READER_BY_RANK, &lease, 1);
	reader_core_set_nodes(&core, 3);
	reader_core_set_source_read(&core, 1);
	reader_core_set_rank(&core, rank, 0);
}

static enum reader_action next_at(int64_t now_us)
{
	struct reader_command command;

	reader_core_next(&core, now_us, &command);
	return command.action;
}

static void answer(enum store_reason reason, uint64_t revision, int64_t now_us)
{
	const struct store_result result = {
		.outcome = reason == STORE_FINE ? STORE_TOOK_EFFECT
						: STORE_DID_NOT,
		.reason = reason,
		.revision = revision,
		.sent_us = now_us,
	};

	reader_core_watch_ended(&core, &result, READER_HEAD_NEWER, now_us);
}

/*
 * Symptom: a version is not in force in a data centre within its time, though
 * all but one of its nodes are well.
 * Sequence: the one node that reads the service is cut off from it, stopped
 * or frozen; a version is accepted meanwhile.
 * Cause: nobody but that node looks, and nobody notices that it does not.
 */
Test(reader_rank, each_rank_steps_in_once_the_source_is_unread_for_long)
{
	static const struct {
		int64_t unread_ms;
		uint32_t rank;
		enum reader_action action;
	} cases[] = {
		{ 0, 0, READER_WATCH_HEAD },
		{ 0, 1, READER_NOTHING },
		{ 1150, 1, READER_NOTHING },
		{ 1210, 1, READER_WATCH_HEAD },
		{ 1210, 2, READER_NOTHING },
		{ 1270, 2, READER_WATCH_HEAD },
		{ 1569, 7, READER_NOTHING },
		{ 1570, 7, READER_WATCH_HEAD },
		{ 11149, 8, READER_NOTHING },
		{ 11150, 8, READER_WATCH_HEAD },
		{ 11149, 700, READER_NOTHING },
		{ 11150, 700, READER_WATCH_HEAD },
		{ 11150, UINT32_MAX, READER_WATCH_HEAD },
	};
	const int64_t heard_us = 5 * 1000 * US_PER_MS;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		begin(cases[i].rank);
		reader_core_set_source_read(&core, heard_us);
		cr_expect_eq(next_at(heard_us + cases[i].unread_ms * US_PER_MS),
			     cases[i].action, "case %zu", i);
	}
}

/* Word of the service needs longer through more nodes. */
Test(reader_rank, patience_grows_with_the_data_centre)
{
	static const struct {
		uint32_t nodes;
		int64_t stale_ms;
	} cases[] = { { 0, 910 },  { 1, 910 },	 { 2, 1030 },  { 3, 1150 },
		      { 4, 1150 }, { 25, 1510 }, { 736, 2110 } };
	size_t i;

	begin(1);
	for (i = 0; i < COUNT(cases); i++) {
		reader_core_set_nodes(&core, cases[i].nodes);
		cr_expect_eq(core.stale_ms, cases[i].stale_ms, "%u: %lld",
			     cases[i].nodes, (long long)core.stale_ms);
	}
}

/* Who has stepped in stays for a while: one that stops after each look would
 * leave the source unread again and again. */
Test(reader_rank, who_steps_in_stays_and_goes)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;

	begin(3);
	cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
	answer(STORE_FINE, 7, now_us);
	now_us += READER_PAUSE_MS * US_PER_MS;
	cr_expect_eq(next_at(now_us), READER_WATCH_HEAD);
	cr_expect_eq(reader_core_contact_us(&core),
		     now_us - READER_PAUSE_MS * US_PER_MS);
	now_us += READER_ACTIVE_MS * US_PER_MS;
	reader_core_set_source_read(&core, now_us);
	answer(STORE_NOT_NEWER, 9, now_us);
	cr_expect_eq(next_at(now_us + READER_MIN_INTERVAL_MS * US_PER_MS / 2),
		     READER_NOTHING);
}

/*
 * Symptom: after a loss of power of all nodes, requests wait for half a second
 * more than the nodes need to start.
 * Sequence: all start at once; none knows yet whose turn it is to read.
 * Cause: each waits until it has heard who else is there.
 */
Test(reader_rank, who_steps_in_reads_whatever_its_rank)
{
	static const struct {
		int64_t after_ms;
		uint32_t rank;
		enum reader_action action;
	} cases[] = {
		{ 0, UINT32_MAX, READER_WATCH_HEAD },
		{ 0, 7, READER_WATCH_HEAD },
		{ READER_ACTIVE_MS - 1, 7, READER_WATCH_HEAD },
		{ READER_ACTIVE_MS, 7, READER_NOTHING },
	};
	const int64_t start_us = 10 * 1000 * US_PER_MS;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t now_us = start_us + cases[i].after_ms * US_PER_MS;

		begin(cases[i].rank);
		reader_core_set_source_read(&core, now_us);
		cr_assert_eq(next_at(now_us), READER_NOTHING);
		reader_core_activate(&core, start_us);
		cr_expect_eq(next_at(now_us), cases[i].action, "case %zu", i);
	}
}

/* A service that cannot be reached is no word of it. */
Test(reader_rank, a_failed_read_is_no_contact)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;

	begin(0);
	cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
	cr_expect_eq(reader_core_contact_us(&core), 0);
	answer(STORE_UNREACHABLE, 0, now_us);
	cr_expect_eq(reader_core_contact_us(&core), 0);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
	cr_expect_eq(next_at(now_us + 600 * US_PER_MS), READER_WATCH_HEAD);
	answer(STORE_FINE, 3, now_us);
	cr_expect_eq(reader_core_contact_us(&core), now_us);
}

/*
 * Symptom: a version that came while the service forgot its history is in
 * force seconds late.
 * Sequence: the watch is told that its revision is forgotten.
 * Cause: waiting before the head itself is read.
 */
Test(reader_rank, a_forgotten_history_is_read_anew_at_once)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;
	struct reader_command command;

	begin(0);
	next_at(now_us);
	answer(STORE_FINE, 40, now_us);
	now_us += READER_PAUSE_MS * US_PER_MS;
	reader_core_next(&core, now_us, &command);
	cr_expect_eq(command.revision, 40);
	answer(STORE_COMPACTED, 0, now_us);
	reader_core_next(&core, now_us, &command);
	cr_expect_eq(command.action, READER_WATCH_HEAD);
	cr_expect_eq(command.revision, 0);
	answer(STORE_COMPACTED, 0, now_us);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
}

/*
 * Symptom: calls of all nodes are held up for half a second with each version.
 * Sequence: all nodes start at once, each alone and so the first in rank; all
 * begin to watch, and go on once they know better; a version comes.
 * Cause: a watch that nobody needs any more; every watcher is sent the whole.
 */
Test(reader_rank, a_watch_that_is_not_needed_any_more_ends)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;

	begin(0);
	cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
	reader_core_set_source_read(&core, now_us);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
	reader_core_set_rank(&core, 4, now_us);
	cr_expect_eq(next_at(now_us), READER_STOP_WATCH);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
	cr_expect_eq(reader_core_contact_us(&core), 0);
}

/*
 * Symptom: for seconds after an outage of the service calls over thin links
 * are held up for half a second with each version.
 * Sequence: all nodes step in while it is down; it comes back and the first in
 * rank reads it.
 * Cause: those who had stepped in stay, though none of them has read anything.
 */
Test(reader_rank, who_could_not_read_does_not_stay)
{
	static const struct {
		enum store_reason reason;
		enum reader_action next;
	} cases[] = {
		{ STORE_UNREACHABLE, READER_NOTHING },
		{ STORE_TOO_LATE, READER_NOTHING },
		{ STORE_FINE, READER_WATCH_HEAD },
		{ STORE_ABSENT, READER_WATCH_HEAD },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t now_us = 10 * 1000 * US_PER_MS;

		begin(3);
		cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
		answer(cases[i].reason, 7, now_us);
		now_us += READER_MIN_INTERVAL_MS * US_PER_MS;
		reader_core_set_source_read(&core, now_us);
		cr_expect_eq(next_at(now_us), cases[i].next, "case %zu", i);
	}
}

/* The first in rank look for the service often, all others rarely. */
Test(reader_rank, the_first_look_often_for_a_service_that_is_down)
{
	static const struct {
		uint32_t rank;
		int64_t most_ms;
	} cases[] = { { 0, READER_EAGER_BACKOFF_MS },
		      { 1, READER_EAGER_BACKOFF_MS },
		      { 2, 5000 } };
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		begin(cases[i].rank);
		core.head_backoff.failures = 20;
		cr_expect_eq(backoff_limit_ms(&core.head_backoff),
			     cases[i].most_ms, "case %zu", i);
	}
}

/*
 * Symptom: a version is not in force anywhere for as long as the service is
 * silent towards the nodes that read it, though it answers all others.
 * Sequence: each reader's watch waits; the service falls silent towards them;
 * a version is accepted.
 * Cause: a watch that waits looks the same whether the service is silent or
 * nothing changes.
 */
Test(reader_rank, a_watch_that_waits_is_not_word_of_the_service)
{
	static const struct {
		int64_t contact_ms; /* after the probe was sent */
		enum store_reason reason;
		enum reader_action next;
	} cases[] = {
		{ 4, STORE_ABSENT, READER_NOTHING },
		{ 4, STORE_FINE, READER_NOTHING },
		{ -READER_PROBE_MS, STORE_TOO_LATE, READER_STOP_WATCH },
		{ -READER_PROBE_MS, STORE_UNREACHABLE, READER_STOP_WATCH },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const struct store_result result = { .reason =
							     cases[i].reason };
		int64_t now_us = 10 * 1000 * US_PER_MS;
		struct reader_command command;

		begin(0);
		cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
		answer(STORE_NOT_NEWER, 7, now_us);
		now_us += READER_MIN_INTERVAL_MS * US_PER_MS;
		cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
		core.contact_us = now_us;
		reader_core_next(&core, now_us, &command);
		cr_assert_eq(command.action, READER_NOTHING);
		cr_expect_eq(command.at_us,
			     now_us + READER_PROBE_MS * US_PER_MS);
		now_us = command.at_us;
		cr_assert_eq(next_at(now_us), READER_PROBE);
		cr_assert_eq(next_at(now_us), READER_NOTHING, "one at a time");
		reader_core_probe_ended(&core, &result, now_us + 4 * US_PER_MS);
		cr_expect_eq(reader_core_contact_us(&core),
			     now_us + cases[i].contact_ms * US_PER_MS,
			     "case %zu", i);
		cr_expect_eq(next_at(now_us + 4 * US_PER_MS), cases[i].next,
			     "case %zu", i);
	}
}
