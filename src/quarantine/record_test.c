#include "quarantine/record.h"

#include <criterion/criterion.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static const int64_t second_us = 1000 * 1000;
static const int64_t wall_ms = 1700000000000;

static void add_crashes(struct quarantine_table *table, uint64_t hash,
			uint32_t count)
{
	uint64_t id;

	for (id = 1; id <= count; id++)
		quarantine_table_add_crash(table, hash, id, second_us);
}

/* A block that is not recorded ends with the nodes; one that is recorded for
 * longer than it lasts comes back. */
Test(quarantine_record, it_lacks_blocks_and_releases)
{
	static const struct {
		const char *name;
		uint32_t crashes_recorded;
		uint32_t crashes;
		bool completed;
		bool lacks;
		uint32_t recorded; /* number of entries when taken */
	} cases[] = {
		{ "nothing", 0, 0, false, false, 0 },
		{ "a suspect", 0, 2, false, false, 0 },
		{ "a block", 0, 3, false, true, 1 },
		{ "a recorded block", 3, 3, false, false, 1 },
		{ "a recorded block, and a trial crashed", 3, 4, false, true,
		  1 },
		{ "a recorded block was released", 3, 3, true, true, 1 },
		{ "a suspect was released", 0, 2, true, false, 0 },
		{ "a recorded block is not known here", 3, 0, false, false, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		static const struct quarantine_record empty;
		struct quarantine_table table;
		struct quarantine_record before;
		struct quarantine_record record;

		quarantine_table_init(&table);
		add_crashes(&table, 17, cases[i].crashes_recorded);
		quarantine_record_take(&before, &empty, &table, second_us,
				       wall_ms);
		quarantine_table_finish(&table);
		quarantine_table_init(&table);
		add_crashes(&table, 17, cases[i].crashes);
		if (cases[i].completed)
			quarantine_table_complete(&table, 17, second_us);
		cr_expect_eq(quarantine_record_lacks(&before, &table),
			     cases[i].lacks, "%s", cases[i].name);
		quarantine_record_take(&record, &before, &table, second_us,
				       wall_ms);
		cr_expect_eq(record.count, cases[i].recorded, "%s",
			     cases[i].name);
		cr_expect_not(quarantine_record_lacks(&record, &table), "%s",
			      cases[i].name);
		quarantine_table_finish(&table);
	}
}

Test(quarantine_record, findings_survive_the_text)
{
	static const struct quarantine_record empty;
	static char text[QUARANTINE_RECORD_TEXT_SIZE];
	static char again[QUARANTINE_RECORD_TEXT_SIZE];
	struct quarantine_table table;
	struct quarantine_record written;
	struct quarantine_record read;
	struct error err = ERROR_INIT;
	uint64_t hash;
	size_t size;

	quarantine_table_init(&table);
	for (hash = UINT64_MAX; hash > UINT64_MAX - 2 * QUARANTINE_RECORD_MAX;
	     hash--)
		add_crashes(&table, hash, QUARANTINE_CRASHES_MAX);
	quarantine_record_take(&written, &empty, &table, 3 * second_us,
			       wall_ms);
	cr_expect_eq(written.count, QUARANTINE_RECORD_MAX);
	cr_expect_eq(written.entries[0].changed_ms, wall_ms - 2000);
	size = quarantine_record_format(&written, text);
	cr_expect(quarantine_record_parse(&read, text, size, &err), "%s",
		  err.text);
	cr_expect_eq(quarantine_record_format(&read, again), size);
	cr_expect_eq(memcmp(again, text, size), 0);
	quarantine_table_finish(&table);
}

/* A record that another program wrote, or that is cut short, must not block
 * requests. */
Test(quarantine_record, malformed_lines_are_left_out)
{
	static const struct {
		const char *name;
		const char *text;
		bool valid;
		uint32_t count;
	} cases[] = {
		{ "empty", "", true, 0 },
		{ "a block", "11 0 1700000000000 1,2,3\n", true, 1 },
		{ "without the last newline", "11 0 1700000000000 1,2,3", true,
		  1 },
		{ "released", "11 2 1700000000000 \n", true, 1 },
		{ "no number", "what 0 1700000000000 1\n", false, 0 },
		{ "a field is missing", "11 0\n", false, 0 },
		{ "hash 0", "0 0 1700000000000 1,2,3\n", false, 0 },
		{ "not in order", "11 0 1700000000000 2,1\n", false, 0 },
		{ "twice the same", "11 0 1700000000000 2,2\n", false, 0 },
		{ "too many crashes", "11 0 1700000000000 1,2,3,4,5,6,7\n",
		  false, 0 },
		{ "ends with a comma", "11 0 1700000000000 1,2,\n", false, 0 },
		{ "a bad line before a good one",
		  "x\n11 0 1700000000000 1,2,3\n", false, 1 },
		{ "a bad line after a good one",
		  "11 0 1700000000000 1,2,3\nx\n", false, 1 },
		{ "a hash past 64 bits",
		  "11111111111111111 0 1700000000000 1,2,3\n", false, 0 },
		{ "a negative hash", "-11 0 1700000000000 1,2,3\n", false, 0 },
		{ "completions past 32 bits",
		  "11 4294967297 1700000000000 1,2,3\n", false, 0 },
		{ "negative completions", "11 -1 1700000000000 1,2,3\n", false,
		  0 },
		{ "completions that would wrap",
		  "11 4294967295 1700000000000 1,2,3\n", false, 0 },
		{ "a time past 64 bits", "11 0 99999999999999999999 1,2,3\n",
		  false, 0 },
		{ "a time that overflows in microseconds",
		  "11 0 9223372036854775807 1,2,3\n", false, 0 },
		{ "a negative time", "11 0 -9223372036854775808 1,2,3\n", false,
		  0 },
		{ "a crash past 64 bits",
		  "11 0 1700000000000 1,2,fffffffffffffffff\n", false, 0 },
		{ "a negative crash", "11 0 1700000000000 1,2,-3\n", false, 0 },
		{ "more than the fields", "11 0 1700000000000 1,2,3 4\n", false,
		  0 },
		{ "invalid UTF-8", "\xff\xfe 0 1700000000000 1,2,3\n", false,
		  0 },
		{ "nested text", "[[[[[[[[[[[[[[[[\n", false, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct quarantine_record record;
		struct error err = ERROR_INIT;

		cr_expect_eq(quarantine_record_parse(&record, cases[i].text,
						     strlen(cases[i].text),
						     &err),
			     cases[i].valid, "%s", cases[i].name);
		cr_expect_eq(error_is_set(&err), !cases[i].valid, "%s",
			     cases[i].name);
		cr_expect_eq(record.count, cases[i].count, "%s: %u",
			     cases[i].name, record.count);
	}
}
