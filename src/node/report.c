#include "node/report.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum { STATUS_SERVER_ERROR = 500, TIME_TEXT_SIZE = 32 };

static const char *const outcome_names[REPORT_OUTCOMES] = { "in-time", "late",
							    "refused", "failed",
							    "left" };

/* Events that change what a node believes; some slices tell the same, too. */
static const struct {
	const char *slice;
	const char *event;
} beliefs[] = {
	{ "config", "version_in_force" },
	{ "node", "upstream_changed" },
	{ "call", "upstream_lost" },
	{ "call", "upstream_expired" },
	{ "node", "ready" },
	{ "node", "leaving" },
	{ "membership", "data_centre_reachability" },
};

void report_init(struct report *report, int64_t span_s)
{
	memset(report, 0, sizeof(*report));
	report->span_s = span_s > 0 ? span_s : 1;
}

static void free_rows(struct report_row *row)
{
	struct report_row *next;

	for (; row; row = next) {
		next = row->hh.next;
		free(row);
	}
}

static void free_times(struct report_time *time)
{
	struct report_time *next;

	for (; time; time = next) {
		next = time->hh.next;
		free(time);
	}
}

void report_finish(struct report *report)
{
	struct report_row *rows = report->rows;
	struct report_time *times = report->times;

	HASH_CLEAR(hh, report->rows);
	HASH_CLEAR(hh, report->times);
	free_rows(rows);
	free_times(times);
}

static const char *text_of(const json_t *line, const char *name)
{
	const char *text = json_string_value(json_object_get(line, name));

	return text ? text : "";
}

static int64_t number_of(const json_t *line, const char *name)
{
	return json_integer_value(json_object_get(line, name));
}

/* Return: seconds since 1970, or negative if the line has no time. */
static int64_t time_of(const json_t *line)
{
	struct tm parts = { 0 };

	if (!strptime(text_of(line, "time"), "%Y-%m-%dT%H:%M:%S", &parts))
		return -1;
	return timegm(&parts);
}

static struct report_time *time_at(struct report *report, int64_t at_s)
{
	int64_t begin_s = at_s - at_s % report->span_s;
	struct report_time *time;

	HASH_FIND(hh, report->times, &begin_s, sizeof(begin_s), time);
	if (time || HASH_COUNT(report->times) >= REPORT_TIMES_MAX)
		return time;
	time = calloc(1, sizeof(*time));
	if (!time)
		abort();
	time->at_s = begin_s;
	HASH_ADD(hh, report->times, at_s, sizeof(time->at_s), time);
	return time;
}

/* All bytes of a place are compared, so those not used must be zero. */
static struct report_row *row_at(struct report *report,
				 const struct report_place *place)
{
	struct report_row *row;

	HASH_FIND(hh, report->rows, place, sizeof(*place), row);
	if (row || HASH_COUNT(report->rows) >= REPORT_ROWS_MAX)
		return row;
	row = calloc(1, sizeof(*row));
	if (!row)
		abort();
	memcpy(&row->place, place, sizeof(*place));
	HASH_ADD(hh, report->rows, place, sizeof(row->place), row);
	return row;
}

static void set_text(char *field, size_t size, const char *text)
{
	snprintf(field, size, "%s", text);
}

/* Why an answer was late, by where its time went. */
static const char *why_late(const json_t *line, int64_t late_ms)
{
	int64_t target_ms = number_of(line, "took_ms") - late_ms;

	if (number_of(line, "upstream_ms") >= target_ms)
		return "slow-upstream";
	if (number_of(line, "tries") > 1)
		return "earlier-tries";
	return "queue";
}

static enum report_outcome judge(const json_t *line, const char **reason)
{
	int64_t late_ms = number_of(line, "late_ms");
	const char *end = text_of(line, "end");

	*reason = end;
	if (!strcmp(end, call_reason_name(CALL_CANCELLED)))
		return REPORT_LEFT;
	if (strcmp(end, CALL_ANSWERED) != 0)
		return strcmp(text_of(line, "verdict"),
			      verdict_name(VERDICT_NOT_RUN)) != 0
			       ? REPORT_FAILED
			       : REPORT_REFUSED;
	if (number_of(line, "status") >= STATUS_SERVER_ERROR) {
		*reason = call_reason_name(CALL_UPSTREAM_ERROR);
		return REPORT_FAILED;
	}
	if (late_ms <= 0)
		return REPORT_IN_TIME;
	*reason = why_late(line, late_ms);
	return REPORT_LATE;
}

static void take_call(struct report *report, const json_t *line)
{
	struct report_place place = { 0 };
	const char *reason;
	struct report_row *row;
	struct report_time *time;

	place.outcome = judge(line, &reason);
	set_text(place.service, sizeof(place.service),
		 text_of(line, "service"));
	set_text(place.kind, sizeof(place.kind), text_of(line, "kind"));
	set_text(place.data_centre, sizeof(place.data_centre),
		 text_of(line, "data_centre"));
	set_text(place.reason, sizeof(place.reason), reason);
	report->requests++;
	report->totals[place.outcome]++;
	row = row_at(report, &place);
	time = time_at(report, time_of(line));
	if (row)
		row->count++;
	if (time)
		time->counts[place.outcome]++;
	if (!row || !time)
		report->unlisted++;
}

static bool is_belief(const json_t *line)
{
	const char *slice = text_of(line, "slice");
	const char *event = text_of(line, "event");
	size_t i;

	for (i = 0; i < sizeof(beliefs) / sizeof(beliefs[0]); i++)
		if (!strcmp(event, beliefs[i].event) &&
		    !strcmp(slice, beliefs[i].slice))
			return true;
	return false;
}

void report_take(struct report *report, const char *line)
{
	const char *text = strchr(line, '{');
	struct report_time *time;
	json_t *object;

	if (!text)
		return;
	object = json_loads(text, JSON_DISABLE_EOF_CHECK, NULL);
	if (!json_is_object(object) || time_of(object) < 0) {
		report->damaged++;
		json_decref(object);
		return;
	}
	if (!strcmp(text_of(object, "event"), "call")) {
		take_call(report, object);
	} else if (is_belief(object)) {
		time = time_at(report, time_of(object));
		if (time)
			time->beliefs++;
		else
			report->unlisted++;
	}
	json_decref(object);
}

/* Worst first; equal ones in the order of their names. */
static int by_count(const struct report_row *a, const struct report_row *b)
{
	if (a->count != b->count)
		return a->count < b->count ? 1 : -1;
	return memcmp(&a->place, &b->place, sizeof(a->place));
}

static int by_time(const struct report_time *a, const struct report_time *b)
{
	return a->at_s < b->at_s ? -1 : a->at_s > b->at_s;
}

static void time_text(int64_t at_s, char text[TIME_TEXT_SIZE])
{
	time_t seconds = (time_t)at_s;
	struct tm parts;

	gmtime_r(&seconds, &parts);
	strftime(text, TIME_TEXT_SIZE, "%Y-%m-%dT%H:%M:%SZ", &parts);
}

static json_t *totals_json(const uint64_t counts[REPORT_OUTCOMES])
{
	json_t *totals = json_object();
	int i;

	for (i = 0; i < REPORT_OUTCOMES; i++)
		json_object_set_new(totals, outcome_names[i],
				    json_integer((json_int_t)counts[i]));
	return totals;
}

static json_t *rows_json(const struct report *report)
{
	json_t *list = json_array();
	const struct report_row *row;

	for (row = report->rows; row; row = row->hh.next) {
		const struct report_place *place = &row->place;

		if (place->outcome == REPORT_IN_TIME)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "outcome",
				  outcome_names[place->outcome], "reason",
				  place->reason, "service", place->service,
				  "kind", place->kind, "data_centre",
				  place->data_centre, "count",
				  (json_int_t)row->count));
	}
	return list;
}

static json_t *times_json(const struct report *report)
{
	json_t *list = json_array();
	const struct report_time *time;

	for (time = report->times; time; time = time->hh.next) {
		json_t *entry = totals_json(time->counts);
		char text[TIME_TEXT_SIZE];

		time_text(time->at_s, text);
		json_object_set_new(entry, "from", json_string(text));
		json_object_set_new(entry, "beliefs",
				    json_integer((json_int_t)time->beliefs));
		json_array_append_new(list, entry);
	}
	return list;
}

static void sort(struct report *report)
{
	HASH_SORT(report->rows, by_count);
	HASH_SORT(report->times, by_time);
}

json_t *report_json(struct report *report)
{
	sort(report);
	return json_pack("{s:I, s:I, s:I, s:o, s:o, s:o}", "requests",
			 (json_int_t)report->requests, "damaged_lines",
			 (json_int_t)report->damaged, "unlisted",
			 (json_int_t)report->unlisted, "totals",
			 totals_json(report->totals), "causes",
			 rows_json(report), "times", times_json(report));
}

static void print_totals(const struct report *report, FILE *out)
{
	int i;

	fprintf(out, "%" PRIu64 " requests:", report->requests);
	for (i = 0; i < REPORT_OUTCOMES; i++)
		fprintf(out, " %" PRIu64 " %s%s", report->totals[i],
			outcome_names[i], i + 1 < REPORT_OUTCOMES ? "," : "\n");
	if (report->damaged)
		fprintf(out, "%" PRIu64 " lines could not be read\n",
			report->damaged);
	if (report->unlisted)
		fprintf(out, "%" PRIu64 " lines had no room below\n",
			report->unlisted);
}

static void print_rows(const struct report *report, FILE *out)
{
	const struct report_row *row;

	fprintf(out, "\n%8s  %-8s %-16s %-16s %-20s %s\n", "count", "outcome",
		"reason", "service", "kind", "data centre");
	for (row = report->rows; row; row = row->hh.next)
		if (row->place.outcome != REPORT_IN_TIME)
			fprintf(out,
				"%8" PRIu64 "  %-8s %-16s %-16s %-20s %s\n",
				row->count, outcome_names[row->place.outcome],
				row->place.reason, row->place.service,
				row->place.kind, row->place.data_centre);
}

static void print_times(const struct report *report, FILE *out)
{
	const struct report_time *time;
	int i;

	fprintf(out, "\n%-20s", "from");
	for (i = 0; i < REPORT_OUTCOMES; i++)
		fprintf(out, " %8s", outcome_names[i]);
	fprintf(out, " %8s\n", "changes");
	for (time = report->times; time; time = time->hh.next) {
		char text[TIME_TEXT_SIZE];

		time_text(time->at_s, text);
		fprintf(out, "%-20s", text);
		for (i = 0; i < REPORT_OUTCOMES; i++)
			fprintf(out, " %8" PRIu64, time->counts[i]);
		fprintf(out, " %8" PRIu64 "\n", time->beliefs);
	}
}

void report_print(struct report *report, FILE *out)
{
	sort(report);
	print_totals(report, out);
	print_rows(report, out);
	print_times(report, out);
}
