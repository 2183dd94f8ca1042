#include "rollout/table.h"

#include <criterion/criterion.h>
#include <stdio.h>

#include "os/clock.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* A negative @revision stands for an unknown revision. */
static struct rollout make_rollout(uint64_t order, enum rollout_phase phase,
				   int64_t revision)
{
	struct rollout rollout = {
		.order = { .service = "s", .target = "v2", .revision = order },
		.phase = phase,
		.record_revision = revision
	};

	return rollout;
}

/* Guards against a merge that keeps the last state to arrive: a node would
 * return to an earlier phase, or write over a record that it has not read. */
Test(table, the_later_state_wins_in_any_order_of_arrival)
{
	enum { unknown = -1 };
	static const struct {
		const char *name;
		uint32_t orders[2];
		enum rollout_phase phases[2];
		int32_t revisions[2];
		bool changes; /* whether the second state changes the entry */
		uint32_t order;
		enum rollout_phase phase;
		int32_t revision;
	} cases[] = {
		{ "a later phase",
		  { 5, 5 },
		  { ROLLOUT_CANARY, ROLLOUT_RAMP },
		  { 8, 9 },
		  true,
		  5,
		  ROLLOUT_RAMP,
		  9 },
		{ "an earlier phase, with a later revision",
		  { 5, 5 },
		  { ROLLOUT_RAMP, ROLLOUT_CANARY },
		  { 8, 9 },
		  false,
		  5,
		  ROLLOUT_RAMP,
		  8 },
		{ "the same phase, with a known revision",
		  { 5, 5 },
		  { ROLLOUT_RAMP, ROLLOUT_RAMP },
		  { unknown, 9 },
		  false,
		  5,
		  ROLLOUT_RAMP,
		  9 },
		{ "a later order",
		  { 5, 6 },
		  { ROLLOUT_DONE, ROLLOUT_ORDERED },
		  { 9, unknown },
		  true,
		  6,
		  ROLLOUT_ORDERED,
		  9 },
		{ "an earlier order",
		  { 6, 5 },
		  { ROLLOUT_ORDERED, ROLLOUT_DONE },
		  { unknown, 9 },
		  false,
		  6,
		  ROLLOUT_ORDERED,
		  unknown },
		{ "condemned without a record",
		  { 5, 5 },
		  { ROLLOUT_CANARY, ROLLOUT_CONDEMNED },
		  { 8, unknown },
		  true,
		  5,
		  ROLLOUT_CONDEMNED,
		  8 },
		{ "switched after it was condemned",
		  { 5, 5 },
		  { ROLLOUT_CONDEMNED, ROLLOUT_SWITCHED },
		  { 8, 10 },
		  false,
		  5,
		  ROLLOUT_CONDEMNED,
		  8 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct rollout first = make_rollout(cases[i].orders[0],
						    cases[i].phases[0],
						    cases[i].revisions[0]);
		struct rollout second = make_rollout(cases[i].orders[1],
						     cases[i].phases[1],
						     cases[i].revisions[1]);
		struct rollout_table table;
		const struct rollout *now;
		bool changed;

		rollout_table_init(&table);
		cr_assert(rollout_table_merge(&table, &first, 0));
		changed = rollout_table_merge(&table, &second, 0) != NULL;
		now = &rollout_table_find(&table, "s")->rollout;
		cr_expect_eq(changed, cases[i].changes, "%s", cases[i].name);
		cr_expect_eq(now->order.revision, cases[i].order, "%s",
			     cases[i].name);
		cr_expect_eq(now->phase, cases[i].phase, "%s", cases[i].name);
		cr_expect_eq((int64_t)now->record_revision, cases[i].revision,
			     "%s", cases[i].name);
		rollout_table_finish(&table);
	}
}

Test(table, elapsed_time_continues_from_the_received_value)
{
	struct rollout rollout = make_rollout(5, ROLLOUT_CANARY, 8);
	struct rollout_table table;
	const struct rollout_entry *entry;

	rollout.elapsed_ms = 1500;
	rollout_table_init(&table);
	entry = rollout_table_merge(&table, &rollout, 100 * US_PER_MS);
	cr_expect_eq(rollout_entry_elapsed_ms(entry, 350 * US_PER_MS), 1750);
	cr_expect(rollout_table_has_active(&table));
	rollout.phase = ROLLOUT_ROLLED_BACK;
	rollout_table_merge(&table, &rollout, 400 * US_PER_MS);
	cr_expect_not(rollout_table_has_active(&table));
	rollout_table_finish(&table);
}
