#include "node/tally.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "os/clock.h"

enum { STATUS_SERVER_ERROR = 500, TIME_TEXT_SIZE = 32 };

static const char *const outcome_names[TALLY_OUTCOMES] = { "in-time", "late",
							   "refused", "failed",
							   "left" };

/* Events that change the state of a node. An event counts only in the listed
 * component, since other components log events of the same name. */
static const struct {
	const char *component;
	const char *event;
} state_changes[] = {
	{ "config", "version_in_force" },
	{ "node", "upstream_changed" },
	{ "call", "upstream_lost" },
	{ "call", "upstream_expired" },
	{ "node", "ready" },
	{ "node", "leaving" },
	{ "membership", "data_centre_reachability" },
};

void tally_init(struct tally *tally, int64_t span_s)
{
	memset(tally, 0, sizeof(*tally));
	tally->span_s = span_s > 0 ? span_s : 1;
}

static void free_rows(struct tally_row *row)
{
	struct tally_row *next;

	for (; row; row = next) {
		next = row->hh.next;
		free(row);
	}
}

static void free_spans(struct tally_span *span)
{
	struct tally_span *next;

	for (; span; span = next) {
		next = span->hh.next;
		free(span);
	}
}

static void free_tenants(struct tally_tenant *tenant)
{
	struct tally_tenant *next;

	for (; tenant; tenant = next) {
		next = tenant->hh.next;
		free(tenant);
	}
}

void tally_finish(struct tally *tally)
{
	struct tally_row *rows = tally->rows;
	struct tally_span *spans = tally->spans;
	struct tally_tenant *tenants = tally->tenants;

	HASH_CLEAR(hh, tally->rows);
	HASH_CLEAR(hh, tally->spans);
	HASH_CLEAR(hh, tally->tenants);
	free_rows(rows);
	free_spans(spans);
	free_tenants(tenants);
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

/* Returns the time in seconds since 1970; negative if the line has no time. */
static int64_t time_of(const json_t *line)
{
	struct tm parts = { 0 };

	if (!strptime(text_of(line, "time"), "%Y-%m-%dT%H:%M:%S", &parts))
		return -1;
	return timegm(&parts);
}

static struct tally_span *span_at(struct tally *tally, int64_t at_s)
{
	int64_t begin_s = at_s - at_s % tally->span_s;
	struct tally_span *span;

	HASH_FIND(hh, tally->spans, &begin_s, sizeof(begin_s), span);
	if (span || HASH_COUNT(tally->spans) >= TALLY_SPANS_MAX)
		return span;
	span = calloc(1, sizeof(*span));
	if (!span)
		abort();
	span->at_s = begin_s;
	HASH_ADD(hh, tally->spans, at_s, sizeof(span->at_s), span);
	return span;
}

/* All bytes of a key are compared, so unused bytes must be zero. */
static struct tally_row *row_at(struct tally *tally,
				const struct tally_key *key)
{
	struct tally_row *row;

	HASH_FIND(hh, tally->rows, key, sizeof(*key), row);
	if (row || HASH_COUNT(tally->rows) >= TALLY_ROWS_MAX)
		return row;
	row = calloc(1, sizeof(*row));
	if (!row)
		abort();
	memcpy(&row->key, key, sizeof(*key));
	HASH_ADD(hh, tally->rows, key, sizeof(row->key), row);
	return row;
}

static struct tally_tenant *tenant_at(struct tally *tally, const char *name)
{
	struct tally_tenant *tenant;

	HASH_FIND_STR(tally->tenants, name, tenant);
	if (tenant || HASH_COUNT(tally->tenants) >= TALLY_TENANTS_MAX ||
	    strlen(name) >= TENANT_SIZE)
		return tenant;
	tenant = calloc(1, sizeof(*tenant));
	if (!tenant)
		abort();
	snprintf(tenant->name, sizeof(tenant->name), "%s", name);
	HASH_ADD_STR(tally->tenants, name, tenant);
	return tenant;
}

static void set_text(char *field, size_t size, const char *text)
{
	snprintf(field, size, "%s", text);
}

/* Counts the attempts that were refused by a gate without a free slot. Such an
 * attempt costs only one round trip and does not make a request late. */
static int64_t count_busy_attempts(const json_t *line)
{
	static const char mark[] = " busy take=";
	const char *at = text_of(line, "tried");
	int64_t count = 0;

	while ((at = strstr(at, mark))) {
		at += sizeof(mark) - 1;
		count++;
	}
	return count;
}

/* Returns the reason for a late answer: where most of the time was spent. */
static const char *late_reason(const json_t *line, int64_t late_ms)
{
	int64_t target_ms = number_of(line, "took_ms") - late_ms;

	if (number_of(line, "upstream_ms") >= target_ms)
		return "slow-upstream";
	if (number_of(line, "tries") - count_busy_attempts(line) > 1)
		return "earlier-tries";
	return "queue";
}

static enum tally_outcome classify_request(const json_t *line,
					   const char **reason)
{
	int64_t late_ms = number_of(line, "late_ms");
	const char *end = text_of(line, "end");

	*reason = end;
	if (!strcmp(end, call_reason_name(CALL_CANCELLED)))
		return TALLY_LEFT;
	if (strcmp(end, CALL_ANSWERED) != 0)
		return strcmp(text_of(line, "verdict"),
			      verdict_name(VERDICT_NOT_RUN)) != 0
			       ? TALLY_FAILED
			       : TALLY_REFUSED;
	if (number_of(line, "status") >= STATUS_SERVER_ERROR) {
		*reason = call_reason_name(CALL_UPSTREAM_ERROR);
		return TALLY_FAILED;
	}
	if (late_ms <= 0)
		return TALLY_IN_TIME;
	*reason = late_reason(line, late_ms);
	return TALLY_LATE;
}

/* Returns false if there is no room for the tenant that the line names. */
static bool add_to_tenant(struct tally *tally, const json_t *line,
			  enum tally_outcome outcome)
{
	const char *name = text_of(line, "tenant");
	struct tally_tenant *tenant;

	if (!*name)
		return true;
	tenant = tenant_at(tally, name);
	if (tenant)
		tenant->counts[outcome]++;
	return tenant;
}

static void fill_key(struct tally_key *key, const json_t *line,
		     enum tally_outcome outcome, const char *reason)
{
	memset(key, 0, sizeof(*key));
	key->outcome = outcome;
	set_text(key->service, sizeof(key->service), text_of(line, "service"));
	set_text(key->kind, sizeof(key->kind), text_of(line, "kind"));
	set_text(key->data_centre, sizeof(key->data_centre),
		 text_of(line, "data_centre"));
	set_text(key->reason, sizeof(key->reason), reason);
}

static void count_request(struct tally *tally, const struct tally_key *key,
			  const json_t *line, int64_t at_s)
{
	struct tally_row *row = row_at(tally, key);
	struct tally_span *span = span_at(tally, at_s);

	tally->requests++;
	tally->totals[key->outcome]++;
	if (row)
		row->count++;
	if (span)
		span->counts[key->outcome]++;
	if (!add_to_tenant(tally, line, key->outcome) || !row || !span)
		tally->unlisted++;
}

static void add_call(struct tally *tally, const json_t *line)
{
	struct tally_key key;
	const char *reason;
	enum tally_outcome outcome = classify_request(line, &reason);

	fill_key(&key, line, outcome, reason);
	count_request(tally, &key, line, time_of(line));
}

/* Takes back a request that was counted as served in time, if there is one. */
static void discount_in_time(struct tally *tally, const json_t *line,
			     int64_t at_s)
{
	struct tally_span *span = span_at(tally, at_s);
	struct tally_tenant *tenant;
	struct tally_key key;
	struct tally_row *row;

	fill_key(&key, line, TALLY_IN_TIME, CALL_ANSWERED);
	HASH_FIND(hh, tally->rows, &key, sizeof(key), row);
	if (!row || !row->count || !span || !span->counts[TALLY_IN_TIME])
		return;
	row->count--;
	span->counts[TALLY_IN_TIME]--;
	tenant = *text_of(line, "tenant")
			 ? tenant_at(tally, text_of(line, "tenant"))
			 : NULL;
	if (tenant && tenant->counts[TALLY_IN_TIME])
		tenant->counts[TALLY_IN_TIME]--;
	tally->totals[TALLY_IN_TIME]--;
	tally->requests--;
}

/* The line of the call tells when the answer was ready. An answer that was then
 * held on its connection until it was late, or until its caller hung up, was
 * not served in time. */
static void add_held(struct tally *tally, const json_t *line)
{
	bool sent = !strcmp(text_of(line, "end"), "sent");
	int64_t status = number_of(line, "status");
	int64_t ready_at_s =
		time_of(line) - number_of(line, "held_ms") / MS_PER_S;
	struct tally_key key;

	if (!status || status >= STATUS_SERVER_ERROR ||
	    number_of(line, "ready_late_ms") > 0 ||
	    (sent && number_of(line, "late_ms") <= 0))
		return;
	discount_in_time(tally, line, ready_at_s);
	fill_key(&key, line, sent ? TALLY_LATE : TALLY_LEFT, "held");
	count_request(tally, &key, line, ready_at_s);
}

static bool is_state_change(const json_t *line)
{
	const char *component = text_of(line, "slice");
	const char *event = text_of(line, "event");
	size_t i;

	for (i = 0; i < sizeof(state_changes) / sizeof(state_changes[0]); i++)
		if (!strcmp(event, state_changes[i].event) &&
		    !strcmp(component, state_changes[i].component))
			return true;
	return false;
}

void tally_add_line(struct tally *tally, const char *line)
{
	const char *text = strchr(line, '{');
	struct tally_span *span;
	json_t *object;

	if (!text)
		return;
	object = json_loads(text, JSON_DISABLE_EOF_CHECK, NULL);
	if (!json_is_object(object) || time_of(object) < 0) {
		tally->damaged++;
		json_decref(object);
		return;
	}
	if (!strcmp(text_of(object, "event"), "call")) {
		add_call(tally, object);
	} else if (!strcmp(text_of(object, "event"), "answer_held")) {
		add_held(tally, object);
	} else if (is_state_change(object)) {
		span = span_at(tally, time_of(object));
		if (span)
			span->state_changes++;
		else
			tally->unlisted++;
	}
	json_decref(object);
}

/* Orders rows by descending count, then by key. */
static int by_count(const struct tally_row *a, const struct tally_row *b)
{
	if (a->count != b->count)
		return a->count < b->count ? 1 : -1;
	return memcmp(&a->key, &b->key, sizeof(a->key));
}

static int by_time(const struct tally_span *a, const struct tally_span *b)
{
	return a->at_s < b->at_s ? -1 : a->at_s > b->at_s;
}

static uint64_t requests_of(const struct tally_tenant *tenant)
{
	uint64_t count = 0;
	int i;

	for (i = 0; i < TALLY_OUTCOMES; i++)
		count += tenant->counts[i];
	return count;
}

/* Orders tenants by descending number of requests, then by name. */
static int by_requests(const struct tally_tenant *a,
		       const struct tally_tenant *b)
{
	uint64_t left = requests_of(a);
	uint64_t right = requests_of(b);

	if (left != right)
		return left < right ? 1 : -1;
	return strcmp(a->name, b->name);
}

static void time_text(int64_t at_s, char text[TIME_TEXT_SIZE])
{
	time_t seconds = (time_t)at_s;
	struct tm parts;

	gmtime_r(&seconds, &parts);
	strftime(text, TIME_TEXT_SIZE, "%Y-%m-%dT%H:%M:%SZ", &parts);
}

static json_t *totals_json(const uint64_t counts[TALLY_OUTCOMES])
{
	json_t *totals = json_object();
	int i;

	for (i = 0; i < TALLY_OUTCOMES; i++)
		json_object_set_new(totals, outcome_names[i],
				    json_integer((json_int_t)counts[i]));
	return totals;
}

static json_t *rows_json(const struct tally *tally)
{
	json_t *list = json_array();
	const struct tally_row *row;

	for (row = tally->rows; row; row = row->hh.next) {
		const struct tally_key *key = &row->key;

		if (key->outcome == TALLY_IN_TIME)
			continue;
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:I}", "outcome",
				  outcome_names[key->outcome], "reason",
				  key->reason, "service", key->service, "kind",
				  key->kind, "data_centre", key->data_centre,
				  "count", (json_int_t)row->count));
	}
	return list;
}

static json_t *tenants_json(const struct tally *tally)
{
	json_t *list = json_array();
	const struct tally_tenant *tenant;

	for (tenant = tally->tenants; tenant; tenant = tenant->hh.next) {
		json_t *entry = totals_json(tenant->counts);

		json_object_set_new(entry, "tenant", json_string(tenant->name));
		json_array_append_new(list, entry);
	}
	return list;
}

static json_t *spans_json(const struct tally *tally)
{
	json_t *list = json_array();
	const struct tally_span *span;

	for (span = tally->spans; span; span = span->hh.next) {
		json_t *entry = totals_json(span->counts);
		char text[TIME_TEXT_SIZE];

		time_text(span->at_s, text);
		json_object_set_new(entry, "from", json_string(text));
		json_object_set_new(
			entry, "beliefs",
			json_integer((json_int_t)span->state_changes));
		json_array_append_new(list, entry);
	}
	return list;
}

static void sort_rows(struct tally *tally)
{
	HASH_SORT(tally->rows, by_count);
	HASH_SORT(tally->spans, by_time);
	HASH_SORT(tally->tenants, by_requests);
}

json_t *tally_json(struct tally *tally)
{
	sort_rows(tally);
	return json_pack("{s:I, s:I, s:I, s:o, s:o, s:o, s:o}", "requests",
			 (json_int_t)tally->requests, "damaged_lines",
			 (json_int_t)tally->damaged, "unlisted",
			 (json_int_t)tally->unlisted, "totals",
			 totals_json(tally->totals), "causes", rows_json(tally),
			 "tenants", tenants_json(tally), "times",
			 spans_json(tally));
}

static void print_totals(const struct tally *tally, FILE *out)
{
	int i;

	fprintf(out, "%" PRIu64 " requests:", tally->requests);
	for (i = 0; i < TALLY_OUTCOMES; i++)
		fprintf(out, " %" PRIu64 " %s%s", tally->totals[i],
			outcome_names[i], i + 1 < TALLY_OUTCOMES ? "," : "\n");
	if (tally->damaged)
		fprintf(out, "%" PRIu64 " lines could not be read\n",
			tally->damaged);
	if (tally->unlisted)
		fprintf(out, "%" PRIu64 " lines had no room below\n",
			tally->unlisted);
}

static void print_rows(const struct tally *tally, FILE *out)
{
	const struct tally_row *row;

	fprintf(out, "\n%8s  %-8s %-16s %-16s %-20s %s\n", "count", "outcome",
		"reason", "service", "kind", "data centre");
	for (row = tally->rows; row; row = row->hh.next)
		if (row->key.outcome != TALLY_IN_TIME)
			fprintf(out,
				"%8" PRIu64 "  %-8s %-16s %-16s %-20s %s\n",
				row->count, outcome_names[row->key.outcome],
				row->key.reason, row->key.service,
				row->key.kind, row->key.data_centre);
}

static void print_tenants(const struct tally *tally, FILE *out)
{
	const struct tally_tenant *tenant;
	int i;

	if (!tally->tenants)
		return;
	fprintf(out, "\n%-20s", "tenant");
	for (i = 0; i < TALLY_OUTCOMES; i++)
		fprintf(out, " %8s", outcome_names[i]);
	fputc('\n', out);
	for (tenant = tally->tenants; tenant; tenant = tenant->hh.next) {
		fprintf(out, "%-20s", tenant->name);
		for (i = 0; i < TALLY_OUTCOMES; i++)
			fprintf(out, " %8" PRIu64, tenant->counts[i]);
		fputc('\n', out);
	}
}

static void print_spans(const struct tally *tally, FILE *out)
{
	const struct tally_span *span;
	int i;

	fprintf(out, "\n%-20s", "from");
	for (i = 0; i < TALLY_OUTCOMES; i++)
		fprintf(out, " %8s", outcome_names[i]);
	fprintf(out, " %8s\n", "changes");
	for (span = tally->spans; span; span = span->hh.next) {
		char text[TIME_TEXT_SIZE];

		time_text(span->at_s, text);
		fprintf(out, "%-20s", text);
		for (i = 0; i < TALLY_OUTCOMES; i++)
			fprintf(out, " %8" PRIu64, span->counts[i]);
		fprintf(out, " %8" PRIu64 "\n", span->state_changes);
	}
}

void tally_print(struct tally *tally, FILE *out)
{
	sort_rows(tally);
	print_totals(tally, out);
	print_rows(tally, out);
	print_tenants(tally, out);
	print_spans(tally, out);
}
