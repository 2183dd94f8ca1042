#include "fleet/load.h"

#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "fleet/load_keepalive.h"
#include "os/clock.h"

enum {
	FIRST_RECORDS = 4096,
	HEADERS_MAX = 5,
	ANSWER_MAX_BYTES = 16 * 1024 * 1024,
	BODY_MAX_BYTES = 1024 * 1024,
	NUMBER_SIZE = 24,
	KEY_FIELD_SIZE = 128,
	STATUS_TIMEOUT = 408,
	STATUS_MISDIRECTED = 421,
	STATUS_TOO_MANY = 429,
	STATUS_UNAVAILABLE = 503,
};

/* Context of the answer callback of one request. */
struct in_flight {
	struct load *load;
	uint32_t record;
};

char *load_id(const struct load *load, uint32_t record, char id[LOAD_ID_SIZE])
{
	snprintf(id, LOAD_ID_SIZE, "%.16s-%u", load->options.prefix, record);
	return id;
}

static enum load_outcome outcome_of(const struct http_answer *answer)
{
	const char *verdict =
		http_answer_header(answer, "Geraniumplank-Verdict");
	const char *reason = http_answer_header(answer, "Geraniumplank-Reason");

	if (answer->delivery == HTTP_NOT_SENT)
		return LOAD_NOT_SENT;
	if (answer->delivery != HTTP_ANSWERED || !answer->delimited)
		return LOAD_ABORTED;
	if (!verdict || (!strcmp(verdict, "ran") && !reason))
		return LOAD_ANSWERED;
	if (!strcmp(verdict, "not-run"))
		return LOAD_NOT_RUN;
	return strcmp(verdict, "ran") ? LOAD_MAY_HAVE_RUN : LOAD_RAN_NO_ANSWER;
}

/* An answer of the stand-in begins with the id of the request that it ran. */
static bool is_mismatched(const struct load *load, uint32_t record,
			  const struct http_answer *answer)
{
	char id[LOAD_ID_SIZE];
	size_t size = strlen(load_id(load, record, id));

	return answer->status == 200 && (answer->body_size < size ||
					 memcmp(answer->body, id, size) != 0);
}

void load_record_answer(struct load *load, uint32_t index,
			const struct http_answer *answer)
{
	struct load_record *record = &load->records[index];
	const char *reason = http_answer_header(answer, "Geraniumplank-Reason");

	record->status = answer->status;
	record->timed_out = answer->timed_out;
	record->stamped = http_answer_header(answer, "X-Response-Stamp") !=
			  NULL;
	record->outcome = outcome_of(answer);
	if (reason)
		snprintf(record->reason, sizeof(record->reason), "%s", reason);
	if (record->outcome == LOAD_ANSWERED)
		record->mismatched = is_mismatched(load, index, answer);
}

static void on_answer(const struct http_answer *answer, void *data)
{
	struct in_flight *flight = data;
	struct load *load = flight->load;
	struct load_record *record = &load->records[flight->record];

	record->latency_us = clock_monotonic_us() - record->sent_us;
	load_record_answer(load, flight->record, answer);
	load->in_flight--;
	free(flight);
}

struct load_record *load_record_new(struct load *load)
{
	if (load->count == load->capacity) {
		load->capacity = load->capacity ? load->capacity * 2
						: FIRST_RECORDS;
		load->records = realloc(
			load->records, load->capacity * sizeof(*load->records));
		if (!load->records)
			abort();
	}
	memset(&load->records[load->count], 0, sizeof(*load->records));
	return &load->records[load->count++];
}

static uint32_t choose_kind(struct load *load)
{
	double at = random_share(&load->random) * load->kind_shares;
	uint32_t i;

	for (i = 0; i + 1 < load->options.kind_count; i++) {
		at -= load->options.kinds[i].share;
		if (at < 0)
			break;
	}
	return i;
}

uint32_t load_choose_tenant(const struct load *load, struct random *random)
{
	double at = random_share(random) * load->tenant_shares;
	uint32_t i;

	for (i = 0; i + 1 < load->options.tenant_count; i++) {
		at -= load->options.tenants[i].share;
		if (at < 0)
			break;
	}
	return i;
}

const char *load_deadline_field(const struct load *load)
{
	return load->options.deadline_field ? load->options.deadline_field
					    : "Geraniumplank-Deadline-Ms";
}

/* Adds the fields that name the tenant; @key holds the text of one of them. */
static size_t add_tenant_fields(const struct load *load, uint32_t tenant_index,
				struct http_header *headers,
				char key[KEY_FIELD_SIZE])
{
	const struct load_tenant *tenant = &load->options.tenants[tenant_index];
	const char *scheme = load->options.key_scheme;
	size_t count = 0;

	if (!load->options.tenant_count)
		return 0;
	if (tenant->name && *tenant->name)
		headers[count++] = (struct http_header){ "Geraniumplank-Tenant",
							 tenant->name };
	if (tenant->key && *tenant->key) {
		snprintf(key, KEY_FIELD_SIZE, "%s %s",
			 scheme ? scheme : "Bearer", tenant->key);
		headers[count++] = (struct http_header){ "Authorization", key };
	}
	return count;
}

static void send_record(struct load *load, uint32_t index)
{
	const struct load_options *options = &load->options;
	struct load_record *record = &load->records[index];
	const struct load_kind *kind = &options->kinds[record->kind];
	struct in_flight *flight = malloc(sizeof(*flight));
	char id[LOAD_ID_SIZE];
	char deadline[NUMBER_SIZE];
	char key[KEY_FIELD_SIZE];
	char url[256];
	struct http_header headers[HEADERS_MAX] = {
		{ "Host", kind->service },
		{ "X-Request-Id", load_id(load, index, id) },
	};
	struct http_request request = {
		.method = kind->method,
		.url = url,
		.headers = headers,
		.header_count = 2,
		.body = load->body,
		.body_size = kind->body_bytes,
		.timeout_ms = options->timeout_ms,
		.max_answer_bytes = ANSWER_MAX_BYTES,
		.new_connection = kind->non_idempotent,
	};

	if (!flight)
		abort();
	snprintf(url, sizeof(url), "http://%s%s",
		 options->targets[record->target], kind->path);
	request.header_count += add_tenant_fields(
		load, record->tenant, &headers[request.header_count], key);
	if (kind->deadline_ms) {
		snprintf(deadline, sizeof(deadline), "%lld",
			 (long long)kind->deadline_ms);
		headers[request.header_count].name = load_deadline_field(load);
		headers[request.header_count++].value = deadline;
	}
	flight->load = load;
	flight->record = index;
	load->in_flight++;
	if (load->in_flight > load->in_flight_peak)
		load->in_flight_peak = load->in_flight;
	record->sent_us = clock_monotonic_us();
	http_client_send(&load->client, &request, on_answer, flight);
}

static void send_next(struct load *load)
{
	struct load_record *record = load_record_new(load);

	record->kind = choose_kind(load);
	record->tenant = load_choose_tenant(load, &load->random);
	record->target = load->count % load->options.target_count;
	record->due_us = load->next_us;
	if (load->in_flight < load->options.in_flight_max)
		send_record(load, load->count - 1);
	else
		record->outcome = LOAD_NOT_SENT;
}

static void schedule_next(struct load *load)
{
	double gap_us = US_PER_S / load->options.rate_per_s;

	if (load->options.poisson)
		gap_us *= -log(1 - random_share(&load->random));
	load->next_us += (int64_t)gap_us;
}

static void alarm_expired(struct watch *watch, int ready, void *data)
{
	uint64_t count;

	if (read(watch->fd, &count, sizeof(count)) < 0)
		return; /* the alarm was set again in the meantime */
}

static bool alarm_init(struct load *load, struct error *err)
{
	load->alarm_fd =
		timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (load->alarm_fd < 0) {
		error_set(err, ERROR_IO, "cannot create a timer descriptor");
		return false;
	}
	return watch_start(&load->alarm, &load->loop, load->alarm_fd, LOOP_READ,
			   alarm_expired, load, err);
}

static void alarm_set(const struct load *load, int64_t at_us)
{
	const struct itimerspec when = {
		.it_value = { .tv_sec = at_us / US_PER_S,
			      .tv_nsec = at_us % US_PER_S * 1000 },
	};

	timerfd_settime(load->alarm_fd, TFD_TIMER_ABSTIME, &when, NULL);
}

bool load_begin(struct load *load, const struct load_options *options,
		struct error *err)
{
	uint32_t i;

	apr_initialize();
	memset(load, 0, sizeof(*load));
	load->options = *options;
	random_init(&load->random, options->seed);
	for (i = 0; i < options->kind_count; i++)
		load->kind_shares += options->kinds[i].share;
	for (i = 0; i < options->tenant_count; i++)
		load->tenant_shares += options->tenants[i].share;
	load->body = calloc(1, BODY_MAX_BYTES);
	if (!load->body || !loop_init(&load->loop, err) ||
	    !alarm_init(load, err))
		return false;
	load->next_us = clock_monotonic_us();
	return http_client_init(&load->client, &load->loop, err) &&
	       load_keepalive_begin(load);
}

void load_run(struct load *load, int64_t duration_ms)
{
	int64_t until_us = clock_monotonic_us() + duration_ms * US_PER_MS;
	int64_t now_us;

	/* Time between two calls of this function adds no requests. */
	if (load->next_us < clock_monotonic_us())
		load->next_us = clock_monotonic_us();
	while ((now_us = clock_monotonic_us()) < until_us) {
		if (load->next_us <= now_us) {
			send_next(load);
			schedule_next(load);
			continue;
		}
		alarm_set(load, load->next_us);
		loop_turn(&load->loop, until_us - now_us);
	}
}

bool load_drain(struct load *load, int64_t timeout_ms)
{
	int64_t until_us = clock_monotonic_us() + timeout_ms * US_PER_MS;
	bool settled;
	uint32_t i;

	load->draining = true;
	while (load->in_flight && clock_monotonic_us() < until_us)
		loop_turn(&load->loop, US_PER_MS);
	settled = load->in_flight == 0;
	for (i = 0; i < load->count; i++)
		if (load->records[i].outcome == LOAD_PENDING)
			load->records[i].outcome = LOAD_ABORTED;
	return settled;
}

void load_finish(struct load *load)
{
	load_keepalive_finish(load);
	http_client_finish(&load->client);
	watch_stop(&load->alarm);
	close(load->alarm_fd);
	loop_finish(&load->loop);
	free(load->records);
	free(load->body);
}

static bool matches(const struct load_record *record,
		    const struct load_filter *filter)
{
	return (filter->kind < 0 || record->kind == (uint32_t)filter->kind) &&
	       (filter->tenant < 0 ||
		record->tenant == (uint32_t)filter->tenant);
}

static int compare_us(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void add_answered(const struct load *load,
			 const struct load_record *record,
			 struct load_summary *summary)
{
	const struct load_kind *kind = &load->options.kinds[record->kind];

	if (kind->deadline_ms &&
	    record->latency_us > kind->deadline_ms * US_PER_MS) {
		summary->late++;
		return;
	}
	if (record->status == 200 && !record->mismatched)
		summary->weighted += kind->weight;
}

void load_summarize(const struct load *load, const struct load_filter *filter,
		    struct load_summary *summary)
{
	int64_t *latencies = malloc((load->count + 1) * sizeof(*latencies));
	uint32_t answered = 0;
	uint32_t i;

	if (!latencies)
		abort();
	memset(summary, 0, sizeof(*summary));
	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];

		if (!matches(record, filter))
			continue;
		summary->count++;
		summary->outcomes[record->outcome]++;
		summary->mismatched += record->mismatched;
		if (record->outcome != LOAD_ANSWERED)
			continue;
		latencies[answered++] = record->latency_us;
		add_answered(load, record, summary);
	}
	qsort(latencies, answered, sizeof(*latencies), compare_us);
	if (answered) {
		summary->p50_us = latencies[answered / 2];
		summary->p99_us = latencies[answered * 99ULL / 100];
		summary->max_us = latencies[answered - 1];
	}
	free(latencies);
}

uint32_t load_runs(const struct load *load, uint32_t record,
		   json_t *const stats[], uint32_t stats_count)
{
	char id[LOAD_ID_SIZE];
	uint32_t runs = 0;
	uint32_t i;

	load_id(load, record, id);
	for (i = 0; i < stats_count; i++)
		runs += (uint32_t)json_integer_value(
			json_object_get(json_object_get(stats[i], "runs"), id));
	return runs;
}

/* Returns whether a caller concludes from the status that its request did not
 * run. */
static bool promises_not_run(unsigned int status)
{
	return status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED ||
	       status == STATUS_TOO_MANY || status == STATUS_UNAVAILABLE;
}

bool load_is_false_promise(const struct load *load, uint32_t record,
			   uint32_t runs)
{
	const struct load_record *checked = &load->records[record];

	return load->options.kinds[checked->kind].non_idempotent && runs &&
	       promises_not_run(checked->status);
}

void load_check(const struct load *load, json_t *const stats[],
		uint32_t stats_count, struct load_audit *audit)
{
	uint32_t i;

	memset(audit, 0, sizeof(*audit));
	for (i = 0; i < load->count; i++) {
		const struct load_record *record = &load->records[i];
		uint32_t runs = load_runs(load, i, stats, stats_count);

		if (load->options.kinds[record->kind].non_idempotent &&
		    runs > 1)
			audit->duplicate_runs++;
		if (load_is_false_promise(load, i, runs))
			audit->false_promises++;
		if (record->outcome == LOAD_NOT_RUN && runs)
			audit->false_not_run++;
		if (record->outcome == LOAD_ANSWERED && record->status == 200 &&
		    !runs)
			audit->answered_not_run++;
	}
}
