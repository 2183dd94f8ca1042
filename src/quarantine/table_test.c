#include "quarantine/table.h"

#include <criterion/criterion.h>
#include <string.h>

#include "base/random.h"
#include "quarantine/completions.h"
#include "quarantine/frames.h"
#include "quarantine/losses.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { EVENTS_MAX = 12, SCHEDULES = 300, STEPS = 60, TABLES = 3 };

static const int64_t second_us = 1000 * 1000;
static const int64_t minute_us = 60 * 1000 * 1000;
static const int64_t hour_us = 60LL * 60 * 1000 * 1000;
static const uint64_t hash = 17;

static enum quarantine_state state_at(const struct quarantine_table *table,
				      int64_t now_us)
{
	const struct fingerprint fingerprint = { hash, hash + 1 };

	return quarantine_table_state(table, &fingerprint, now_us);
}

/* A block that comes too early or after a completion refuses good requests;
 * one that ends too early costs one upstream after the other. */
Test(quarantine, states_follow_crashes_and_completions)
{
	enum event { END, CRASH, SAME_CRASH, COMPLETION };
	static const struct {
		const char *name;
		enum event events[EVENTS_MAX];
		int64_t after_us; /* since the last event */
		enum quarantine_state state;
	} cases[] = {
		{ "nothing known", { END }, 0, QUARANTINE_NONE },
		{ "one crash", { CRASH }, 0, QUARANTINE_SUSPECT },
		{ "two crashes", { CRASH, CRASH }, 0, QUARANTINE_SUSPECT },
		{ "one crash, reported three times",
		  { CRASH, SAME_CRASH, SAME_CRASH },
		  0,
		  QUARANTINE_SUSPECT },
		{ "three crashes",
		  { CRASH, CRASH, CRASH },
		  0,
		  QUARANTINE_BLOCKED },
		{ "it completes between the crashes",
		  { CRASH, CRASH, COMPLETION, CRASH },
		  0,
		  QUARANTINE_SUSPECT },
		{ "it completes after three crashes",
		  { CRASH, CRASH, CRASH, COMPLETION },
		  0,
		  QUARANTINE_NONE },
		{ "before the first trial",
		  { CRASH, CRASH, CRASH },
		  29 * second_us,
		  QUARANTINE_BLOCKED },
		{ "first trial",
		  { CRASH, CRASH, CRASH },
		  30 * second_us,
		  QUARANTINE_TRIAL },
		{ "the first trial crashed",
		  { CRASH, CRASH, CRASH, CRASH },
		  10 * minute_us,
		  QUARANTINE_BLOCKED },
		{ "second trial",
		  { CRASH, CRASH, CRASH, CRASH },
		  30 * minute_us,
		  QUARANTINE_TRIAL },
		{ "no third trial",
		  { CRASH, CRASH, CRASH, CRASH, CRASH },
		  23 * hour_us,
		  QUARANTINE_BLOCKED },
		{ "a block ends after a day",
		  { CRASH, CRASH, CRASH, CRASH, CRASH },
		  24 * hour_us,
		  QUARANTINE_NONE },
		{ "a suspicion ends after ten minutes",
		  { CRASH, CRASH },
		  10 * minute_us,
		  QUARANTINE_NONE },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const enum event *event = cases[i].events;
		struct quarantine_table table;
		uint64_t crash_id = 0;
		int64_t now_us = second_us;

		quarantine_table_init(&table);
		for (; *event != END; event++) {
			now_us += second_us;
			crash_id += *event == CRASH;
			if (*event == COMPLETION)
				quarantine_table_complete(&table, hash, now_us);
			else
				quarantine_table_add_crash(&table, hash,
							   crash_id, now_us);
		}
		now_us += cases[i].after_us;
		quarantine_table_expire(&table, now_us);
		cr_expect_eq(state_at(&table, now_us), cases[i].state, "%s",
			     cases[i].name);
		quarantine_table_finish(&table);
	}
}

static void exchange(const struct quarantine_table *from,
		     struct quarantine_table *to, int64_t now_us)
{
	const struct quarantine_entry *entry;

	for (entry = from->entries; entry; entry = entry->hh.next)
		quarantine_table_merge(to, &entry->finding,
				       now_us - entry->changed_us, now_us);
}

static bool equal(const struct quarantine_table *a,
		  const struct quarantine_table *b)
{
	const struct quarantine_entry *x = quarantine_table_find(a, hash);
	const struct quarantine_entry *y = quarantine_table_find(b, hash);

	if (!x || !y)
		return x == y;
	return x->finding.completions == y->finding.completions &&
	       x->finding.crash_count == y->finding.crash_count &&
	       !memcmp(x->finding.crashes, y->finding.crashes,
		       x->finding.crash_count * sizeof(uint64_t));
}

/* Nodes that hear of crashes and completions in different orders would block
 * different requests. */
Test(quarantine, nodes_agree_in_whatever_order_findings_arrive)
{
	uint32_t seed;

	for (seed = 1; seed <= SCHEDULES; seed++) {
		struct quarantine_table tables[TABLES];
		struct random random;
		int64_t now_us = second_us;
		uint32_t i;

		random_init(&random, seed);
		for (i = 0; i < TABLES; i++)
			quarantine_table_init(&tables[i]);
		for (i = 0; i < STEPS; i++) {
			uint32_t at = random_below(&random, TABLES);
			uint32_t other = random_below(&random, TABLES);
			uint32_t what = random_below(&random, 10);

			now_us += 1000;
			if (what < 4)
				quarantine_table_add_crash(&tables[at], hash,
							   i + 1, now_us);
			else if (what < 5)
				quarantine_table_complete(&tables[at], hash,
							  now_us);
			else if (at != other)
				exchange(&tables[at], &tables[other], now_us);
		}
		for (i = 0; i < 2 * TABLES; i++)
			exchange(&tables[i % TABLES], &tables[(i + 1) % TABLES],
				 now_us);
		for (i = 1; i < TABLES; i++)
			cr_assert(equal(&tables[0], &tables[i]), "seed %u",
				  seed);
		for (i = 0; i < TABLES; i++)
			quarantine_table_finish(&tables[i]);
	}
}

/* Many different requests beside crashes must neither use up the memory nor
 * displace a block. */
Test(quarantine, the_table_is_bounded_and_keeps_blocks)
{
	struct quarantine_table table;
	uint64_t i;

	quarantine_table_init(&table);
	for (i = 1; i <= QUARANTINE_CRASHES_BLOCK; i++)
		quarantine_table_add_crash(&table, hash, i, second_us);
	for (i = 0; i < 4ULL * QUARANTINE_ENTRIES_MAX; i++)
		quarantine_table_add_crash(&table, 1000 + i, i + 1,
					   2 * second_us);
	cr_expect_leq(HASH_COUNT(table.entries), QUARANTINE_ENTRIES_MAX);
	cr_expect_eq(state_at(&table, 2 * second_us), QUARANTINE_BLOCKED);
	quarantine_table_finish(&table);
}

/* A reset connection of a full upstream, taken for a crash, would block
 * harmless requests. */
Test(quarantine, a_lost_run_counts_only_if_the_upstream_has_ended)
{
	enum event {
		END,
		LOSS,
		ABORT,
		OLDER_ANSWER,
		ANSWER,
		MINUTE,
		UPSTREAM_END,
		RESTART
	};
	static const struct {
		const char *name;
		enum event events[EVENTS_MAX];
		uint32_t counted;
	} cases[] = {
		{ "the upstream ends", { LOSS, LOSS, UPSTREAM_END }, 2 },
		{ "it answers a later request", { LOSS, ANSWER }, 0 },
		{ "it answers before it ends",
		  { LOSS, ANSWER, LOSS, UPSTREAM_END },
		  1 },
		{ "an answer that was on its way",
		  { LOSS, OLDER_ANSWER, UPSTREAM_END },
		  1 },
		{ "a loss that is noticed after the end",
		  { LOSS, UPSTREAM_END, LOSS },
		  2 },
		{ "the next incarnation runs",
		  { LOSS, UPSTREAM_END, RESTART, LOSS },
		  1 },
		{ "it ends long after the loss",
		  { LOSS, MINUTE, UPSTREAM_END },
		  0 },
		{ "it ends without a request", { UPSTREAM_END }, 0 },
		{ "it ends after a run was given up",
		  { ABORT, ANSWER, UPSTREAM_END },
		  1 },
		{ "it ends long after a run was given up",
		  { ABORT, MINUTE, UPSTREAM_END },
		  0 },
		{ "it ends twice", { LOSS, UPSTREAM_END, UPSTREAM_END }, 1 },
	};
	const struct fingerprint fingerprint = { 1, 2 };
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		const enum event *event = cases[i].events;
		struct losses losses;
		uint32_t counted = 0;
		int64_t now_us = second_us;

		losses_reset(&losses);
		for (; *event != END; event++, now_us += second_us) {
			switch (*event) {
			case LOSS:
				counted += losses_add(&losses, &fingerprint,
						      now_us) != 0;
				break;
			case ABORT:
				losses_add_aborted(&losses, &fingerprint,
						   now_us);
				break;
			case OLDER_ANSWER:
				losses_answered(&losses, 0);
				break;
			case ANSWER:
				losses_answered(&losses, now_us);
				break;
			case UPSTREAM_END:
				if (losses_confirm(&losses, 7, now_us))
					counted += losses.count;
				break;
			case MINUTE:
				now_us += minute_us;
				break;
			case RESTART:
				losses_reset(&losses);
				break;
			case END:
				break;
			}
		}
		cr_expect_eq(counted, cases[i].counted, "%s: %u", cases[i].name,
			     counted);
	}
}

/* A request that completed long ago may crash upstreams by now. */
Test(quarantine, only_recent_completions_count)
{
	static const struct {
		const char *name;
		uint64_t hash;
		int64_t after_us;
		bool known;
	} cases[] = {
		{ "just completed", 17, 0, true },
		{ "completed long ago", 17, 60 * second_us, false },
		{ "another request", 18, 0, false },
		{ "another request in the same slot", 17 + COMPLETIONS_SLOTS, 0,
		  false },
	};
	static struct completions completions;
	size_t i;

	completions_add(&completions, hash, second_us);
	for (i = 0; i < COUNT(cases); i++)
		cr_expect_eq(completions_has(&completions, cases[i].hash,
					     second_us + cases[i].after_us),
			     cases[i].known, "%s", cases[i].name);
}

static bool decode_first(struct encoder *encoder,
			 struct quarantine_finding *finding, int64_t *age_ms,
			 struct error *err)
{
	struct message message;
	size_t size;
	const uint8_t *body = encoder_body(encoder, &size);
	bool valid;

	cr_assert(message_decode(&message, body, size, err));
	valid = quarantine_findings_decode(&message, 0, finding, age_ms, err);
	message_finish(&message);
	return valid;
}

Test(quarantine, findings_survive_encoding)
{
	const struct quarantine_finding sent = {
		.hash = UINT64_MAX,
		.completions = 3,
		.crash_count = 3,
		.crashes = { 1, 5, UINT64_MAX },
	};
	struct quarantine_finding received;
	struct error err = ERROR_INIT;
	struct encoder encoder;
	int64_t age_ms;

	encoder_init(&encoder);
	quarantine_findings_begin(&encoder, 1);
	quarantine_findings_add(&encoder, &sent, 1234);
	cr_assert(decode_first(&encoder, &received, &age_ms, &err), "%s",
		  err.text);
	cr_expect_eq(memcmp(&sent, &received, sizeof(sent)), 0);
	cr_expect_eq(age_ms, 1234);
	encoder_finish(&encoder);
}

/* A malformed finding of a faulty node must not reach the table. */
Test(quarantine, malformed_findings_are_refused)
{
	static const struct {
		const char *name;
		uint32_t fields;
		uint32_t crash_count;
		uint64_t crashes[8];
		const char *text;
	} cases[] = {
		{ "too many crashes",
		  4,
		  7,
		  { 1, 2, 3, 4, 5, 6, 7 },
		  "too many crashes" },
		{ "not in order", 4, 2, { 2, 1 }, "ascending" },
		{ "twice the same", 4, 2, { 2, 2 }, "ascending" },
		{ "a field is missing", 3, 0, { 0 }, "number of fields" },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct quarantine_finding finding;
		struct error err = ERROR_INIT;
		struct encoder encoder;
		int64_t age_ms;
		uint32_t j;

		encoder_init(&encoder);
		quarantine_findings_begin(&encoder, 1);
		encode_array(&encoder, cases[i].fields);
		for (j = 0; j < 3; j++)
			encode_uint(&encoder, 1);
		if (cases[i].fields == 4) {
			encode_array(&encoder, cases[i].crash_count);
			for (j = 0; j < cases[i].crash_count; j++)
				encode_uint(&encoder, cases[i].crashes[j]);
		}
		cr_expect_not(decode_first(&encoder, &finding, &age_ms, &err),
			      "%s", cases[i].name);
		cr_expect_not_null(strstr(err.text, cases[i].text), "%s: %s",
				   cases[i].name, err.text);
		encoder_finish(&encoder);
	}
}
