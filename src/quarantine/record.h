#ifndef QUARANTINE_RECORD_H
#define QUARANTINE_RECORD_H

#include "quarantine/table.h"

/**
 * DOC: quarantine record
 *
 * Findings about blocked requests as the platform's service keeps them, so that
 * they outlast the end of all nodes. One line each:
 *
 *	hash completions changed-ms crash-id,crash-id,...
 *
 * Hash and ids are in hexadecimal; changed-ms is the wall-clock time of the
 *last crash or completion. No sockets, no clock.
 */

enum {
	QUARANTINE_RECORD_MAX = 64,
	QUARANTINE_RECORD_LINE_SIZE = 160,
	QUARANTINE_RECORD_TEXT_SIZE =
		QUARANTINE_RECORD_MAX * QUARANTINE_RECORD_LINE_SIZE,
};

/** struct quarantine_recorded - a finding; @changed_ms: wall clock */
struct quarantine_recorded {
	struct quarantine_finding finding;
	int64_t changed_ms;
};

struct quarantine_record {
	struct quarantine_recorded entries[QUARANTINE_RECORD_MAX];
	uint32_t count;
};

/**
 * quarantine_record_lacks() - returns true if the record must be written again
 *
 * That is if @table holds a block that @record does not hold, or has released
 * one that it does hold.
 */
bool quarantine_record_lacks(const struct quarantine_record *record,
			     const struct quarantine_table *table);

/**
 * quarantine_record_take() - sets the record to the findings of a table
 * @before: record so far; of the requests that were released, those in it are
 *	recorded as released
 * @wall_ms: wall-clock time of @now_us
 */
void quarantine_record_take(struct quarantine_record *record,
			    const struct quarantine_record *before,
			    const struct quarantine_table *table,
			    int64_t now_us, int64_t wall_ms);

/** quarantine_record_format() - writes the text; returns its size. */
size_t quarantine_record_format(const struct quarantine_record *record,
				char text[QUARANTINE_RECORD_TEXT_SIZE]);

/**
 * quarantine_record_parse() - reads the text
 *
 * Return: false with ERROR_INVALID if a line is malformed; @record then holds
 * the valid lines.
 */
bool quarantine_record_parse(struct quarantine_record *record, const char *text,
			     size_t size, struct error *err);

#endif
