#include "rollout/decider.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/buffer.h"
#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"
#include "platform/rollout.h"

static const char component[] = "rollout";

enum {
	/* A node that does not read the platform hears from one that does. */
	READ_LATER_US = 500 * 1000,
	/* While too few report, the record tells what others have decided. */
	READ_EVERY_US = 500 * 1000,
	WRITE_AGAIN_US = 300 * 1000,
	/* Between data centres: one write is enough, and costs one call. */
	WRITE_STEP_US = 300 * 1000,
	CALL_DEADLINE_MS = 1500,
	/* Reports come every second at least. */
	HEARD_AGE_US = 1500 * 1000,
};

COUNTER(condemned, "rollout.condemned",
	"New versions that this node has found to be bad");
COUNTER(writes, "rollout.writes", "Changes of records that took effect");
COUNTER(conflicts, "rollout.conflicts",
	"Changes of records that another node was faster with");

void decider_init(struct decider *decider,
		  const struct decider_options *options)
{
	memset(decider, 0, sizeof(*decider));
	decider->options = *options;
}

static void case_free(struct decider_case *item)
{
	if (item->call)
		store_cancel(item->call);
	judge_finish(&item->judge);
	DL_DELETE(item->decider->cases, item);
	free(item);
}

void decider_finish(struct decider *decider)
{
	while (decider->cases)
		case_free(decider->cases);
}

static int64_t now(const struct decider *decider)
{
	return loop_now_us(decider->options.loop);
}

static struct decider_case *find(struct decider *decider, const char *service)
{
	struct decider_case *item;

	DL_FOREACH(decider->cases, item)
		if (!strcmp(item->service, service))
			return item;
	return NULL;
}

static struct decider_case *begin(struct decider *decider,
				  const struct rollout_entry *entry)
{
	struct decider_case *item = calloc(1, sizeof(*item));

	if (!item)
		abort();
	item->decider = decider;
	memcpy(item->service, entry->rollout.order.service,
	       sizeof(item->service));
	item->order_revision = entry->rollout.order.revision;
	item->due = entry->rollout.phase;
	if (!entry->told)
		item->read_at_us = now(decider) + READ_LATER_US;
	judge_init(&item->judge);
	DL_APPEND(decider->cases, item);
	return item;
}

/* The case of an unsettled roll-out; what was about an earlier order ends. */
static struct decider_case *get(struct decider *decider,
				const struct rollout_entry *entry)
{
	struct decider_case *item = find(decider, entry->rollout.order.service);

	if (item && item->order_revision != entry->rollout.order.revision) {
		case_free(item);
		item = NULL;
	}
	return item ? item : begin(decider, entry);
}

void decider_sweep(struct decider *decider)
{
	struct decider_case *item;
	struct decider_case *next;

	DL_FOREACH_SAFE(decider->cases, item, next) {
		const struct rollout_entry *entry = rollout_table_find(
			decider->options.table, item->service);

		if (!entry || rollout_settled(entry->rollout.phase))
			case_free(item);
	}
}

void decider_report(struct decider *decider, const char *service,
		    uint64_t order_revision, const struct judge_report *report)
{
	const struct rollout_entry *entry =
		rollout_table_find(decider->options.table, service);

	if (!entry || rollout_settled(entry->rollout.phase) ||
	    entry->rollout.order.revision != order_revision)
		return;
	judge_take(&get(decider, entry)->judge, report, now(decider));
}

static struct rollout_entry *entry_of(const struct decider_case *item)
{
	struct rollout_entry *entry =
		rollout_table_find(item->decider->options.table, item->service);

	if (!entry || entry->rollout.order.revision != item->order_revision)
		return NULL;
	return entry;
}

static void merge(struct decider *decider, const struct rollout *rollout)
{
	decider->options.merge(rollout, decider->options.data);
}

/* Return: whether there is a record about the present order or a later one. One
 * that cannot be read is replaced by the first write, as is one about an
 * earlier order. */
static bool find_record(const struct rollout_entry *entry,
			const struct store_result *result,
			struct rollout *found)
{
	struct error err = ERROR_INIT;

	if (result->outcome != STORE_TOOK_EFFECT)
		return false;
	if (rollout_record_read(&entry->rollout.order, result->value,
				result->size, found, &err))
		return true;
	if (error_is_set(&err))
		log_warn(component, "record_unreadable",
			 LOG_TEXT("service", entry->rollout.order.service),
			 LOG_TEXT("reason", err.text));
	return false;
}

static void read_done(const struct store_result *result, void *data)
{
	struct decider_case *item = data;
	struct rollout_entry *entry = entry_of(item);
	struct rollout found;
	bool is_there;

	item->call = NULL;
	item->read_at_us = now(item->decider) + READ_EVERY_US;
	if (!entry)
		return;
	is_there = find_record(entry, result, &found);
	if (!record_was_read(&item->record, &entry->rollout, result,
			     is_there ? &found : NULL))
		return;
	found.record_revision = result->revision;
	merge(item->decider, &found);
}

static void record_key(const struct decider_case *item,
		       char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, "%s%s", KEY_ROLLOUTS, item->service);
}

static void read_record(struct decider_case *item)
{
	char key[STORE_KEY_SIZE];
	const struct store_request request = {
		.kind = STORE_GET,
		.key = key,
		.deadline_ms = CALL_DEADLINE_MS,
	};

	if (!item->decider->options.store ||
	    now(item->decider) < item->read_at_us)
		return;
	record_begin_read(&item->record);
	record_key(item, key);
	item->call = store_send(item->decider->options.store, &request,
				read_done, item);
}

static void write_done(const struct store_result *result, void *data)
{
	struct decider_case *item = data;
	struct rollout_entry *entry = entry_of(item);

	item->call = NULL;
	item->write_at_us = now(item->decider) + WRITE_AGAIN_US;
	item->read_at_us = 0;
	if (!entry)
		return;
	counter_add(&conflicts, result->reason == STORE_CONFLICT);
	if (!record_was_written(&item->record, &entry->rollout, result))
		return;
	counter_add(&writes, 1);
	item->write_at_us = 0;
	merge(item->decider, &item->record.written);
}

static void write_record(struct decider_case *item,
			 const struct rollout_entry *entry,
			 enum rollout_phase phase)
{
	const struct decider_options *options = &item->decider->options;
	struct rollout written = entry->rollout;
	struct buffer text = { .bytes = NULL };
	int64_t now_us = now(item->decider);
	char key[STORE_KEY_SIZE];
	struct store_request request = {
		.kind = STORE_PUT,
		.key = key,
		.revision = entry->rollout.record_revision,
		.deadline_ms = CALL_DEADLINE_MS,
	};

	if (!options->store || now_us < item->write_at_us)
		return;
	written.phase = phase;
	written.elapsed_ms = rollout_entry_elapsed_ms(entry, now_us);
	if (phase == ROLLOUT_CANARY)
		written.share = plan_canary_share(item->rate_per_s,
						  written.order.over_ms);
	record_begin_write(&item->record, &written);
	record_key(item, key);
	rollout_record_write(&written, &text);
	request.value = buffer_data(&text);
	request.size = buffer_size(&text);
	item->call = store_send(options->store, &request, write_done, item);
	buffer_finish(&text);
}

/**
 * struct known - instances of the service that membership lists as serving
 * @old_home: of the old version, in the own data centre
 */
struct known {
	uint32_t fresh;
	uint32_t old;
	uint32_t old_home;
};

static void count_record(const struct rollout *rollout,
			 const struct record *record, bool home,
			 struct known *known)
{
	if (record->state != UPSTREAM_SERVING ||
	    strcmp(record->service, rollout->order.service))
		return;
	if (!strcmp(record->version, rollout->order.target)) {
		known->fresh++;
		return;
	}
	known->old++;
	known->old_home += home;
}

static void count_known(const struct decider *decider,
			const struct rollout *rollout, struct known *known)
{
	const struct members *members = &decider->options.gossip->members;
	const struct member *member = NULL;

	memset(known, 0, sizeof(*known));
	count_record(rollout, &members->self->record, true, known);
	while ((member = members_next(members, member)))
		count_record(rollout, &member->record,
			     member->data_centre == members->home, known);
}

/* Instances of the old version report within their data centre, but while they
 * end what they have: its part stands for the whole. */
static double rate_of(const struct decider_case *item,
		      const struct known *known, uint32_t old_heard)
{
	double part = judge_rate(&item->judge);

	return old_heard ? part * known->old / old_heard : 0;
}

static void fill_input(struct decider_case *item,
		       const struct rollout_entry *entry,
		       struct plan_input *input)
{
	const struct rollout *rollout = &entry->rollout;
	int64_t now_us = now(item->decider);
	struct known known;
	uint32_t old_heard;

	count_known(item->decider, rollout, &known);
	old_heard = judge_heard(&item->judge, false, HEARD_AGE_US, now_us);
	memset(input, 0, sizeof(*input));
	input->phase = rollout->phase;
	input->over_ms = rollout->order.over_ms;
	input->elapsed_ms = rollout_entry_elapsed_ms(entry, now_us);
	input->phase_ms = (now_us - entry->since_us) / US_PER_MS;
	input->fresh_known = known.fresh;
	input->fresh_heard =
		judge_heard(&item->judge, true, HEARD_AGE_US, now_us);
	input->old_known = known.old;
	input->old_heard = old_heard * 2 >= known.old_home;
	input->old_busy = judge_busy(&item->judge);
	input->rate_per_s = rate_of(item, &known, old_heard);
	judge_decide(&item->judge, plan_hold_us(rollout->phase), now_us,
		     &input->judgement);
}

/* The place of the own data centre among those that can be reached: their
 * deciders write one after the other, until one has. */
static uint32_t place_of_home(const struct members *members)
{
	const struct data_centre *centre;
	uint32_t place = 0;

	for (centre = members->data_centres; centre; centre = centre->next)
		place += centre != members->home && centre->reachable &&
			 centre->id < members->home->id;
	return place;
}

static void log_decision(const struct rollout_entry *entry,
			 const struct plan_input *input,
			 enum rollout_phase next)
{
	log_info(component, "decided",
		 LOG_TEXT("service", entry->rollout.order.service),
		 LOG_TEXT("target", entry->rollout.order.target),
		 LOG_NUMBER("order", (int64_t)entry->rollout.order.revision),
		 LOG_TEXT("from", rollout_phase_name(input->phase)),
		 LOG_TEXT("to", rollout_phase_name(next)),
		 LOG_NUMBER("elapsed_ms", input->elapsed_ms),
		 LOG_NUMBER("over_ms", input->over_ms),
		 LOG_NUMBER("fresh", input->fresh_known),
		 LOG_NUMBER("fresh_heard", input->fresh_heard),
		 LOG_NUMBER("samples", input->judgement.samples),
		 LOG_NUMBER("old_busy", input->old_busy),
		 LOG_NUMBER("rate_per_s", (int64_t)input->rate_per_s),
		 LOG_TEXT("reason", input->judgement.bad
					    ? input->judgement.reason
					    : NULL));
}

static void condemn(struct decider_case *item, struct rollout_entry *entry)
{
	struct rollout rollout = entry->rollout;

	counter_add(&condemned, 1);
	rollout.phase = ROLLOUT_CONDEMNED;
	rollout.elapsed_ms =
		rollout_entry_elapsed_ms(entry, now(item->decider));
	merge(item->decider, &rollout);
}

/* Note when the phase that a roll-out should be in has changed. */
static void note_due(struct decider_case *item,
		     const struct rollout_entry *entry,
		     const struct plan_input *input, enum rollout_phase next)
{
	if (next == item->due)
		return;
	item->due = next;
	item->due_us = now(item->decider);
	if (next != entry->rollout.phase)
		log_decision(entry, input, next);
}

static bool is_my_turn(const struct decider_case *item)
{
	const struct members *members = &item->decider->options.gossip->members;

	return now(item->decider) >=
	       item->due_us + (int64_t)place_of_home(members) * WRITE_STEP_US;
}

static void move_on(struct decider_case *item, struct rollout_entry *entry,
		    enum rollout_phase next)
{
	switch (record_next(&item->record, &entry->rollout, next)) {
	case RECORD_NOTHING:
		return;
	case RECORD_READ:
		read_record(item);
		return;
	case RECORD_WRITE:
		if (is_my_turn(item))
			write_record(item, entry, next);
		return;
	}
}

static void decide(struct decider_case *item, struct rollout_entry *entry)
{
	struct plan_input input;
	enum rollout_phase next;

	fill_input(item, entry, &input);
	item->rate_per_s = input.rate_per_s;
	next = plan_next(&input);
	note_due(item, entry, &input, next);
	if (next == ROLLOUT_CONDEMNED && entry->rollout.phase < next)
		condemn(item, entry);
	else if (next == entry->rollout.phase && !item->call &&
		 input.fresh_heard * 2 < input.fresh_known)
		read_record(item);
	else
		move_on(item, entry, next);
}

void decider_tick(struct decider *decider, struct rollout_entry *entry)
{
	bool first = gossip_rank(decider->options.gossip, ROLLOUT_DUTY) == 0;
	bool unread = entry->told && entry->rollout.record_revision ==
					     ROLLOUT_REVISION_UNKNOWN;

	/* Whoever has read the order also reads the record: after a loss of
	 * power nobody else knows whose turn it is. */
	if (first)
		decide(get(decider, entry), entry);
	else if (unread)
		move_on(get(decider, entry), entry, entry->rollout.phase);
}
