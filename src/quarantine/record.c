#include "quarantine/record.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

/* Larger numbers are taken for mistakes: a count that wraps would bring old
 * crashes back, and a time that overflows would give a block without an end. */
#define COMPLETIONS_MAX ((uint64_t)INT32_MAX)
#define CHANGED_MAX_MS ((uint64_t)(INT64_MAX / (2 * US_PER_MS)))

static const struct quarantine_recorded *
find(const struct quarantine_record *record, uint64_t hash)
{
	uint32_t i;

	for (i = 0; i < record->count; i++)
		if (record->entries[i].finding.hash == hash)
			return &record->entries[i];
	return NULL;
}

static bool is_block(const struct quarantine_finding *finding)
{
	return finding->crash_count >= QUARANTINE_CRASHES_BLOCK;
}

static bool holds_all_crashes(const struct quarantine_finding *recorded,
			      const struct quarantine_finding *finding)
{
	return recorded->crash_count == finding->crash_count &&
	       !memcmp(recorded->crashes, finding->crashes,
		       finding->crash_count * sizeof(finding->crashes[0]));
}

static bool is_up_to_date(const struct quarantine_recorded *recorded,
			  const struct quarantine_finding *finding)
{
	if (!recorded)
		return !is_block(finding);
	if (recorded->finding.completions != finding->completions)
		return recorded->finding.completions > finding->completions;
	return !is_block(finding) ||
	       holds_all_crashes(&recorded->finding, finding);
}

bool quarantine_record_lacks(const struct quarantine_record *record,
			     const struct quarantine_table *table)
{
	const struct quarantine_entry *entry;

	for (entry = table->entries; entry; entry = entry->hh.next)
		if (!is_up_to_date(find(record, entry->finding.hash),
				   &entry->finding))
			return true;
	return false;
}

void quarantine_record_take(struct quarantine_record *record,
			    const struct quarantine_record *before,
			    const struct quarantine_table *table,
			    int64_t now_us, int64_t wall_ms)
{
	const struct quarantine_entry *entry;

	record->count = 0;
	for (entry = table->entries;
	     entry && record->count < QUARANTINE_RECORD_MAX;
	     entry = entry->hh.next) {
		int64_t age_ms = (now_us - entry->changed_us) / US_PER_MS;

		if (!is_block(&entry->finding) &&
		    !find(before, entry->finding.hash))
			continue;
		record->entries[record->count++] = (struct quarantine_recorded){
			.finding = entry->finding,
			.changed_ms = wall_ms - age_ms,
		};
	}
}

static size_t format_line(const struct quarantine_recorded *recorded,
			  char line[QUARANTINE_RECORD_LINE_SIZE])
{
	const struct quarantine_finding *finding = &recorded->finding;
	size_t used;
	uint32_t i;

	used = (size_t)snprintf(line, QUARANTINE_RECORD_LINE_SIZE,
				"%016" PRIx64 " %" PRIu32 " %" PRId64 " ",
				finding->hash, finding->completions,
				recorded->changed_ms);
	for (i = 0; i < finding->crash_count; i++)
		used += (size_t)snprintf(line + used,
					 QUARANTINE_RECORD_LINE_SIZE - used,
					 "%s%" PRIx64, i ? "," : "",
					 finding->crashes[i]);
	line[used++] = '\n';
	return used;
}

size_t quarantine_record_format(const struct quarantine_record *record,
				char text[QUARANTINE_RECORD_TEXT_SIZE])
{
	size_t used = 0;
	uint32_t i;

	for (i = 0; i < record->count; i++)
		used += format_line(&record->entries[i], text + used);
	return used;
}

/* Reads a number without a sign that is at most @value_max, and advances *@text
 * to the byte behind it. */
static bool parse_number(const char **text, int base, uint64_t value_max,
			 uint64_t *value)
{
	char *end;

	if (!isxdigit((unsigned char)**text))
		return false;
	errno = 0;
	*value = strtoull(*text, &end, base);
	if (errno || end == *text || *value > value_max)
		return false;
	*text = end;
	return true;
}

static bool skip_blank(const char **text)
{
	if (**text != ' ')
		return false;
	++*text;
	return true;
}

/* Reads ids in ascending order, as the table keeps them. */
static bool parse_crashes(struct quarantine_finding *finding, const char *text)
{
	uint64_t last = 0;

	while (*text) {
		uint64_t id;

		if (!parse_number(&text, 16, UINT64_MAX, &id) || id <= last ||
		    finding->crash_count == QUARANTINE_CRASHES_MAX)
			return false;
		if (*text && (*text != ',' || !text[1]))
			return false;
		finding->crashes[finding->crash_count++] = id;
		last = id;
		text += *text == ',';
	}
	return true;
}

static bool parse_line(struct quarantine_recorded *recorded, const char *line)
{
	struct quarantine_finding *finding = &recorded->finding;
	uint64_t completions;
	uint64_t changed_ms;

	memset(recorded, 0, sizeof(*recorded));
	if (!parse_number(&line, 16, UINT64_MAX, &finding->hash) ||
	    !finding->hash || !skip_blank(&line) ||
	    !parse_number(&line, 10, COMPLETIONS_MAX, &completions) ||
	    !skip_blank(&line) ||
	    !parse_number(&line, 10, CHANGED_MAX_MS, &changed_ms))
		return false;
	finding->completions = (uint32_t)completions;
	recorded->changed_ms = (int64_t)changed_ms;
	return !*line || (skip_blank(&line) && parse_crashes(finding, line));
}

bool quarantine_record_parse(struct quarantine_record *record, const char *text,
			     size_t size, struct error *err)
{
	const char *end = text + size;
	bool valid = true;

	record->count = 0;
	while (text < end && record->count < QUARANTINE_RECORD_MAX) {
		const char *newline = memchr(text, '\n', (size_t)(end - text));
		size_t length = (size_t)((newline ? newline : end) - text);
		char line[QUARANTINE_RECORD_LINE_SIZE];

		snprintf(line, sizeof(line), "%.*s",
			 length < sizeof(line) ? (int)length : 0, text);
		if (parse_line(&record->entries[record->count], line)) {
			record->count++;
		} else if (valid) {
			valid = false;
			error_set(err, ERROR_INVALID,
				  "a line of the record is malformed: \"%s\"",
				  line);
		}
		text = newline ? newline + 1 : end;
	}
	return valid;
}
