#include "quarantine/record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

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

/* Reads ids in ascending order, as the table keeps them. */
static bool parse_crashes(struct quarantine_finding *finding, char *text)
{
	uint64_t last = 0;

	while (*text) {
		char *end;
		uint64_t id = strtoull(text, &end, 16);

		if (end == text || id <= last ||
		    finding->crash_count == QUARANTINE_CRASHES_MAX)
			return false;
		if (*end && (*end != ',' || !end[1]))
			return false;
		finding->crashes[finding->crash_count++] = id;
		last = id;
		text = *end ? end + 1 : end;
	}
	return true;
}

static bool parse_line(struct quarantine_recorded *recorded, const char *line)
{
	struct quarantine_finding *finding = &recorded->finding;
	char crashes[QUARANTINE_RECORD_LINE_SIZE] = "";
	int count;

	memset(recorded, 0, sizeof(*recorded));
	count = sscanf(line, "%16" SCNx64 " %" SCNu32 " %" SCNd64 " %159s",
		       &finding->hash, &finding->completions,
		       &recorded->changed_ms, crashes);
	return count >= 3 && finding->hash && parse_crashes(finding, crashes);
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
