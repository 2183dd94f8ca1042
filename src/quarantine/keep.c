#include "quarantine/keep.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"

static const char component[] = "quarantine";
static const char key_record[] = "quarantine";

enum {
	WATCH_MS = 20 * 1000,
	/* Shortest interval between two watches, and the interval of reads
	 * while there is no record to watch. */
	WATCH_PAUSE_MS = 1000,
	ABSENT_PAUSE_MS = 5000,
	FAILED_PAUSE_MS = 2000,
	/* After a conflict with another writer. */
	CONFLICT_JITTER_MS = 200,
	/* Allows several crashes to be written together. */
	WRITE_JITTER_MS = 50,
	WRITE_DEADLINE_MS = 2000,
};

COUNTER(written_count, "quarantine.records_written",
	"Times that findings were written to the platform's service");

static int64_t now(const struct quarantine_keep *keep)
{
	return loop_now_us(keep->options.loop);
}

static int64_t in_ms(struct quarantine_keep *keep, int64_t ms)
{
	return now(keep) +
	       (ms + random_jitter(&keep->random, ms / 2 + 1)) * US_PER_MS;
}

static void check_soon(struct quarantine_keep *keep)
{
	loop_defer(keep->options.loop, &keep->check);
}

/* The wall clock may have jumped since the record was written: an age is then
 * wrong by as much, but never negative. */
static int64_t age_ms_of(const struct quarantine_recorded *recorded)
{
	int64_t age_ms = clock_wall_ms() - recorded->changed_ms;

	return age_ms > 0 ? age_ms : 0;
}

static void adopt(struct quarantine_keep *keep,
		  const struct store_result *result)
{
	struct error err = ERROR_INIT;
	uint32_t i;

	if (!quarantine_record_parse(&keep->record, (const char *)result->value,
				     result->size, &err))
		log_warn(component, "record_malformed",
			 LOG_TEXT("reason", err.text));
	for (i = 0; i < keep->record.count; i++)
		quarantine_net_receive(keep->options.net,
				       &keep->record.entries[i].finding,
				       age_ms_of(&keep->record.entries[i]));
}

static void watch_ended(struct quarantine_keep *keep,
			const struct store_result *result)
{
	switch (result->reason) {
	case STORE_OK:
		adopt(keep, result);
		keep->revision = result->revision;
		keep->next_watch_us = in_ms(keep, WATCH_PAUSE_MS);
		return;
	case STORE_NOT_NEWER:
		/* A lower revision than the last: the service has gone back. */
		if (result->revision < keep->revision)
			keep->revision = 0;
		keep->next_watch_us = in_ms(keep, WATCH_PAUSE_MS);
		return;
	case STORE_ABSENT:
		keep->revision = result->revision;
		keep->next_watch_us = in_ms(keep, keep->revision
							  ? WATCH_PAUSE_MS
							  : ABSENT_PAUSE_MS);
		return;
	case STORE_COMPACTED:
		keep->revision = 0;
		keep->next_watch_us = in_ms(keep, WATCH_PAUSE_MS);
		return;
	case STORE_CONFLICT:
	case STORE_HELD:
	case STORE_UNREACHABLE:
	case STORE_TIMED_OUT:
	case STORE_REJECTED:
		keep->next_watch_us = in_ms(keep, FAILED_PAUSE_MS);
		return;
	}
}

static void watch_done(const struct store_result *result, void *data)
{
	struct quarantine_keep *keep = data;

	keep->watch = NULL;
	watch_ended(keep, result);
	check_soon(keep);
}

static void start_watch(struct quarantine_keep *keep)
{
	const struct store_request request = {
		.kind = STORE_WATCH,
		.key = key_record,
		.revision = keep->revision,
		.wait_ms = WATCH_MS,
	};

	keep->watch =
		store_send(keep->options.store, &request, watch_done, keep);
}

static void write_done(const struct store_result *result, void *data)
{
	struct quarantine_keep *keep = data;

	keep->write = NULL;
	if (result->outcome == STORE_TOOK_EFFECT) {
		keep->record = keep->written;
		counter_add(&written_count, 1);
		log_info(component, "record_written",
			 LOG_NUMBER("findings", keep->record.count));
	} else {
		keep->next_write_us =
			in_ms(keep, result->reason == STORE_CONFLICT
					    ? CONFLICT_JITTER_MS
					    : FAILED_PAUSE_MS);
	}
	check_soon(keep);
}

static void write_record(struct quarantine_keep *keep, uint64_t revision)
{
	char text[QUARANTINE_RECORD_TEXT_SIZE];
	struct store_request request = {
		.kind = STORE_PUT,
		.key = key_record,
		.value = text,
		.revision = revision,
		.deadline_ms = WRITE_DEADLINE_MS,
	};

	quarantine_record_take(&keep->written, &keep->record,
			       &keep->options.net->table, now(keep),
			       clock_wall_ms());
	request.size = quarantine_record_format(&keep->written, text);
	keep->write =
		store_send(keep->options.store, &request, write_done, keep);
}

static void read_done(const struct store_result *result, void *data)
{
	struct quarantine_keep *keep = data;
	bool exists = result->outcome == STORE_TOOK_EFFECT;

	keep->write = NULL;
	if (exists)
		adopt(keep, result);
	else if (result->reason == STORE_ABSENT)
		keep->record.count = 0;
	if (!exists && result->reason != STORE_ABSENT)
		keep->next_write_us = in_ms(keep, FAILED_PAUSE_MS);
	else if (quarantine_record_lacks(&keep->record,
					 &keep->options.net->table))
		write_record(keep, exists ? result->revision : 0);
	check_soon(keep);
}

/* A write names the revision of the record, which a watch does not tell. */
static void start_write(struct quarantine_keep *keep)
{
	const struct store_request request = {
		.kind = STORE_GET,
		.key = key_record,
		.deadline_ms = WRITE_DEADLINE_MS,
	};

	keep->write =
		store_send(keep->options.store, &request, read_done, keep);
}

static void cancel(struct store_call **call)
{
	if (*call)
		store_cancel(*call);
	*call = NULL;
}

static void no_later_than(int64_t *at_us, int64_t us)
{
	if (us < *at_us)
		*at_us = us;
}

static void check(void *data)
{
	struct quarantine_keep *keep = data;
	int64_t next_us = INT64_MAX;

	timer_cancel(keep->options.loop, &keep->timer);
	if (!keep->active)
		return;
	if (!keep->watch && now(keep) >= keep->next_watch_us)
		start_watch(keep);
	else if (!keep->watch)
		no_later_than(&next_us, keep->next_watch_us);
	if (!keep->write &&
	    quarantine_record_lacks(&keep->record, &keep->options.net->table)) {
		if (now(keep) >= keep->next_write_us)
			start_write(keep);
		else
			no_later_than(&next_us, keep->next_write_us);
	}
	if (next_us != INT64_MAX)
		timer_set(keep->options.loop, &keep->timer, next_us);
}

static void timer_expired(struct timer *timer, void *data)
{
	check(data);
}

static void findings_changed(void *data)
{
	struct quarantine_keep *keep = data;

	if (now(keep) >= keep->next_write_us)
		keep->next_write_us =
			now(keep) +
			random_jitter(&keep->random, WRITE_JITTER_MS) *
				US_PER_MS;
	check_soon(keep);
}

void quarantine_keep_init(struct quarantine_keep *keep,
			  const struct quarantine_keep_options *options)
{
	memset(keep, 0, sizeof(*keep));
	keep->options = *options;
	random_init(&keep->random, options->seed);
	deferred_init(&keep->check, check, keep);
	timer_init(&keep->timer, timer_expired, keep);
	options->net->on_changed = findings_changed;
	options->net->data = keep;
}

void quarantine_keep_finish(struct quarantine_keep *keep)
{
	if (!keep->options.net)
		return;
	keep->options.net->on_changed = NULL;
	cancel(&keep->watch);
	cancel(&keep->write);
	timer_cancel(keep->options.loop, &keep->timer);
	loop_defer_cancel(keep->options.loop, &keep->check);
}

void quarantine_keep_set_active(struct quarantine_keep *keep, bool active)
{
	if (!keep->options.net || active == keep->active)
		return;
	keep->active = active;
	if (!active)
		cancel(&keep->watch);
	/* A write in flight ends by itself: it must not be lost. */
	check_soon(keep);
}
