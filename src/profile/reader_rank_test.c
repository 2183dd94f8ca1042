#include <criterion/criterion.h>

#include "os/clock.h"
#include "profile/reader_core.h"

#define ARRAY_SIZE(array) (sizeof(array) / sizeof((array)[0]))

static struct reader_core core;

static void init_core(uint32_t rank)
{
	struct lease_options lease;

	lease_options_default(&lease);
	reader_core_init(&core, READER_BY_RANK, &lease, 1);
	reader_core_set_nodes(&core, 3, false);
	reader_core_set_source_read(&core, 1);
	reader_core_set_rank(&core, rank, 0);
}

static enum reader_action next_at(int64_t now_us)
{
	struct reader_command command;

	reader_core_next(&core, now_us, &command);
	return command.action;
}

static void end_watch(enum store_reason reason, uint64_t revision,
		      int64_t now_us)
{
	const struct store_result result = {
		.outcome = reason == STORE_OK ? STORE_TOOK_EFFECT
					      : STORE_NO_EFFECT,
		.reason = reason,
		.revision = revision,
		.sent_us = now_us,
	};

	reader_core_watch_ended(&core, &result, READER_HEAD_NEWER, now_us);
}

/* Guards against a data centre without a reader: if the watching node is cut
 * off, stopped or frozen, the other ranks must read in turn. */
Test(reader_rank, each_rank_becomes_active_when_the_source_is_stale)
{
	static const struct {
		int64_t unread_ms;
		uint32_t rank;
		enum reader_action action;
		bool many_lost;
	} cases[] = {
		{ 0, 0, READER_WATCH_HEAD, false },
		{ 0, 1, READER_NOTHING, false },
		{ 1150, 1, READER_NOTHING, false },
		{ 1210, 1, READER_WATCH_HEAD, false },
		{ 1210, 2, READER_NOTHING, false },
		{ 1270, 2, READER_WATCH_HEAD, false },
		{ 1569, 7, READER_NOTHING, false },
		{ 1570, 7, READER_WATCH_HEAD, false },
		{ 11149, 8, READER_NOTHING, false },
		{ 11150, 8, READER_WATCH_HEAD, false },
		{ 11149, 700, READER_NOTHING, false },
		{ 11150, 700, READER_WATCH_HEAD, false },
		{ 11150, UINT32_MAX, READER_WATCH_HEAD, false },
		{ 1570, 7, READER_WATCH_HEAD, true },
		{ 1629, 8, READER_NOTHING, true },
		{ 1630, 8, READER_WATCH_HEAD, true },
		{ 1630, 16, READER_NOTHING, true },
		{ 1690, 31, READER_WATCH_HEAD, true },
		{ 1989, 700, READER_NOTHING, true },
		{ 1990, 700, READER_WATCH_HEAD, true },
		{ 11149, UINT32_MAX, READER_NOTHING, true },
	};
	const int64_t read_us = 5 * 1000 * US_PER_MS;
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		init_core(cases[i].rank);
		reader_core_set_nodes(&core, 3, cases[i].many_lost);
		reader_core_set_source_read(&core, read_us);
		cr_expect_eq(next_at(read_us + cases[i].unread_ms * US_PER_MS),
			     cases[i].action, "case %zu", i);
	}
}

/* The time of the last read takes more rounds of gossip in a larger data
 * centre. */
Test(reader_rank, stale_time_grows_with_the_data_centre)
{
	static const struct {
		uint32_t nodes;
		int64_t stale_ms;
	} cases[] = { { 0, 910 },  { 1, 910 },	 { 2, 1030 },  { 3, 1150 },
		      { 4, 1150 }, { 25, 1510 }, { 736, 2110 } };
	size_t i;

	init_core(1);
	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		reader_core_set_nodes(&core, cases[i].nodes, false);
		cr_expect_eq(core.stale_ms, cases[i].stale_ms, "%u: %lld",
			     cases[i].nodes, (long long)core.stale_ms);
	}
}

/* Guards against a node that stops after a single read and leaves the service
 * unread again. */
Test(reader_rank, an_active_node_reads_for_a_limited_time)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;

	init_core(3);
	cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
	end_watch(STORE_OK, 7, now_us);
	now_us += READER_PAUSE_MS * US_PER_MS;
	cr_expect_eq(next_at(now_us), READER_WATCH_HEAD);
	cr_expect_eq(reader_core_contact_us(&core),
		     now_us - READER_PAUSE_MS * US_PER_MS);
	now_us += READER_ACTIVE_MS * US_PER_MS;
	reader_core_set_source_read(&core, now_us);
	end_watch(STORE_NOT_NEWER, 9, now_us);
	cr_expect_eq(next_at(now_us + READER_MIN_INTERVAL_MS * US_PER_MS / 2),
		     READER_NOTHING);
}

/* Guards against a delay after a start of all nodes at once: an activated node
 * must read before the ranks are known. */
Test(reader_rank, an_activated_node_reads_whatever_its_rank)
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

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		int64_t now_us = start_us + cases[i].after_ms * US_PER_MS;

		init_core(cases[i].rank);
		reader_core_set_source_read(&core, now_us);
		cr_assert_eq(next_at(now_us), READER_NOTHING);
		reader_core_activate(&core, start_us);
		cr_expect_eq(next_at(now_us), cases[i].action, "case %zu", i);
	}
}

/* Guards against a failed read that counts as a contact with the service. */
Test(reader_rank, a_failed_read_is_no_contact)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;

	init_core(0);
	cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
	cr_expect_eq(reader_core_contact_us(&core), 0);
	end_watch(STORE_UNREACHABLE, 0, now_us);
	cr_expect_eq(reader_core_contact_us(&core), 0);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
	cr_expect_eq(next_at(now_us + 600 * US_PER_MS), READER_WATCH_HEAD);
	end_watch(STORE_OK, 3, now_us);
	cr_expect_eq(reader_core_contact_us(&core), now_us);
}

/* Guards against a late version: after a compaction of the history, the head
 * must be read without a delay. */
Test(reader_rank, the_head_is_read_at_once_after_a_compaction)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;
	struct reader_command command;

	init_core(0);
	next_at(now_us);
	end_watch(STORE_OK, 40, now_us);
	now_us += READER_PAUSE_MS * US_PER_MS;
	reader_core_next(&core, now_us, &command);
	cr_expect_eq(command.revision, 40);
	end_watch(STORE_COMPACTED, 0, now_us);
	reader_core_next(&core, now_us, &command);
	cr_expect_eq(command.action, READER_WATCH_HEAD);
	cr_expect_eq(command.revision, 0);
	end_watch(STORE_COMPACTED, 0, now_us);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
}

/* Guards against watches that go on once the node is no longer elected: the
 * service sends each watcher every version in full, which delays calls on slow
 * links. */
Test(reader_rank, an_unneeded_watch_is_cancelled)
{
	int64_t now_us = 10 * 1000 * US_PER_MS;

	init_core(0);
	cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
	reader_core_set_source_read(&core, now_us);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
	reader_core_set_rank(&core, 4, now_us);
	cr_expect_eq(next_at(now_us), READER_STOP_WATCH);
	cr_expect_eq(next_at(now_us), READER_NOTHING);
	cr_expect_eq(reader_core_contact_us(&core), 0);
}

/* Guards against nodes that stay active after a failed read: after an outage,
 * all of them would be sent every version in full. */
Test(reader_rank, a_node_that_cannot_read_does_not_stay_active)
{
	static const struct {
		enum store_reason reason;
		enum reader_action next;
	} cases[] = {
		{ STORE_UNREACHABLE, READER_NOTHING },
		{ STORE_TIMED_OUT, READER_NOTHING },
		{ STORE_OK, READER_WATCH_HEAD },
		{ STORE_ABSENT, READER_WATCH_HEAD },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		int64_t now_us = 10 * 1000 * US_PER_MS;

		init_core(3);
		cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
		end_watch(cases[i].reason, 7, now_us);
		now_us += READER_MIN_INTERVAL_MS * US_PER_MS;
		reader_core_set_source_read(&core, now_us);
		cr_expect_eq(next_at(now_us), cases[i].next, "case %zu", i);
	}
}

/* The first ranks retry often while the service is down, the others rarely. */
Test(reader_rank, the_first_ranks_retry_often)
{
	static const struct {
		uint32_t rank;
		int64_t most_ms;
	} cases[] = { { 0, READER_EAGER_BACKOFF_MS },
		      { 1, READER_EAGER_BACKOFF_MS },
		      { 2, 5000 } };
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		init_core(cases[i].rank);
		core.head_backoff.failures = 20;
		cr_expect_eq(backoff_limit_ms(&core.head_backoff),
			     cases[i].most_ms, "case %zu", i);
	}
}

/* Guards against a service that stops answering the readers while their watches
 * wait: a waiting watch is no contact, and a failed probe cancels the watch. */
Test(reader_rank, a_waiting_watch_is_no_contact)
{
	static const struct {
		int64_t contact_ms; /* after the probe was sent */
		enum store_reason reason;
		enum reader_action next;
	} cases[] = {
		{ 4, STORE_ABSENT, READER_NOTHING },
		{ 4, STORE_OK, READER_NOTHING },
		{ -READER_PROBE_MS, STORE_TIMED_OUT, READER_STOP_WATCH },
		{ -READER_PROBE_MS, STORE_UNREACHABLE, READER_STOP_WATCH },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		const struct store_result result = { .reason =
							     cases[i].reason };
		int64_t now_us = 10 * 1000 * US_PER_MS;
		struct reader_command command;

		init_core(0);
		cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
		end_watch(STORE_NOT_NEWER, 7, now_us);
		now_us += READER_MIN_INTERVAL_MS * US_PER_MS;
		cr_assert_eq(next_at(now_us), READER_WATCH_HEAD);
		core.contact_us = now_us;
		reader_core_next(&core, now_us, &command);
		cr_assert_eq(command.action, READER_NOTHING);
		cr_expect_eq(command.at_us,
			     now_us + READER_PROBE_MS * US_PER_MS);
		now_us = command.at_us;
		cr_assert_eq(next_at(now_us), READER_PROBE);
		cr_assert_eq(next_at(now_us), READER_NOTHING,
			     "one probe at a time");
		reader_core_probe_ended(&core, &result, now_us + 4 * US_PER_MS);
		cr_expect_eq(reader_core_contact_us(&core),
			     now_us + cases[i].contact_ms * US_PER_MS,
			     "case %zu", i);
		cr_expect_eq(next_at(now_us + 4 * US_PER_MS), cases[i].next,
			     "case %zu", i);
	}
}

static void end_probe(enum store_reason reason, int64_t now_us)
{
	const struct store_result result = {
		.outcome = reason == STORE_OK ? STORE_TOOK_EFFECT
					      : STORE_NO_EFFECT,
		.reason = reason,
		.sent_us = now_us,
	};

	reader_core_probe_ended(&core, &result, now_us);
}

/* Guards against a data centre that hears of no version for the time of a whole
 * watch: the service swallows a watch while it is silent, and answers the
 * probes behind it. */
Test(reader_rank, a_watch_begun_while_the_service_was_silent_begins_again)
{
	static const struct {
		const char *name;
		bool silent; /* when the watch begins */
		enum reader_action action;
	} cases[] = {
		{ "silent service", true, READER_STOP_WATCH },
		{ "answering service", false, READER_NOTHING },
	};
	size_t i;

	for (i = 0; i < ARRAY_SIZE(cases); i++) {
		int64_t now_us = 10 * 1000 * US_PER_MS;
		int round;

		init_core(0);
		cr_expect_eq(next_at(now_us), READER_WATCH_HEAD, "%s",
			     cases[i].name);
		end_watch(STORE_OK, 7, now_us);
		now_us += READER_PAUSE_MS * US_PER_MS;
		if (cases[i].silent) {
			cr_expect_eq(next_at(now_us), READER_WATCH_HEAD);
			now_us += READER_PROBE_MS * US_PER_MS;
			cr_expect_eq(next_at(now_us), READER_PROBE);
			end_probe(STORE_TIMED_OUT, now_us);
			cr_expect_eq(next_at(now_us), READER_STOP_WATCH);
			now_us += READER_EAGER_BACKOFF_MS * US_PER_MS;
		}
		cr_expect_eq(next_at(now_us), READER_WATCH_HEAD, "%s",
			     cases[i].name);
		now_us += READER_PROBE_MS * US_PER_MS;
		cr_expect_eq(next_at(now_us), READER_PROBE, "%s",
			     cases[i].name);
		end_probe(STORE_OK, now_us);
		cr_expect_eq(next_at(now_us), cases[i].action, "%s",
			     cases[i].name);
		if (!cases[i].silent)
			continue;
		/* The new watch stays, however many probes are answered. */
		cr_expect_eq(next_at(now_us), READER_WATCH_HEAD, "%s",
			     cases[i].name);
		for (round = 0; round < 3; round++) {
			now_us += READER_PROBE_MS * US_PER_MS;
			cr_expect_eq(next_at(now_us), READER_PROBE);
			end_probe(STORE_OK, now_us);
			cr_expect_eq(next_at(now_us), READER_NOTHING, "%s",
				     cases[i].name);
		}
	}
}
