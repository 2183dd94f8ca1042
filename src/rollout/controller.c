#include "rollout/controller.h"

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
	/* A node that has not received the order from the platform first waits
	 * for a state from a node that has. */
	FIRST_READ_DELAY_US = 500 * 1000,
	/* While too few instances report to this node, the record at the
	 * platform holds what other controllers have decided. */
	READ_INTERVAL_US = 500 * 1000,
	WRITE_RETRY_US = 300 * 1000,
	/* The controllers of different data centres write one after the other:
	 * one write is enough. */
	WRITE_STAGGER_US = 300 * 1000,
	CALL_DEADLINE_MS = 1500,
	/* Each instance reports at least once per second. */
	REPORT_AGE_MAX_US = 1500 * 1000,
};

COUNTER(condemned, "rollout.condemned",
	"New versions that this node has found to be bad");
COUNTER(writes, "rollout.writes", "Changes of records that took effect");
COUNTER(conflicts, "rollout.conflicts",
	"Changes of records that another node was faster with");

void controller_init(struct controller *controller,
		     const struct controller_options *options)
{
	memset(controller, 0, sizeof(*controller));
	controller->options = *options;
}

static void item_free(struct controller_item *item)
{
	if (item->call)
		store_cancel(item->call);
	judge_finish(&item->judge);
	DL_DELETE(item->controller->items, item);
	free(item);
}

void controller_finish(struct controller *controller)
{
	while (controller->items)
		item_free(controller->items);
}

static int64_t now(const struct controller *controller)
{
	return loop_now_us(controller->options.loop);
}

static struct controller_item *find_item(struct controller *controller,
					 const char *service)
{
	struct controller_item *item;

	DL_FOREACH(controller->items, item)
		if (!strcmp(item->service, service))
			return item;
	return NULL;
}

static struct controller_item *add_item(struct controller *controller,
					const struct rollout_entry *entry)
{
	struct controller_item *item = calloc(1, sizeof(*item));

	if (!item)
		abort();
	item->controller = controller;
	memcpy(item->service, entry->rollout.order.service,
	       sizeof(item->service));
	item->order_revision = entry->rollout.order.revision;
	item->wanted_phase = entry->rollout.phase;
	if (!entry->from_platform)
		item->read_at_us = now(controller) + FIRST_READ_DELAY_US;
	judge_init(&item->judge);
	DL_APPEND(controller->items, item);
	return item;
}

/* Returns the item of a roll-out in progress. An item for an earlier order is
 * replaced. */
static struct controller_item *get_item(struct controller *controller,
					const struct rollout_entry *entry)
{
	struct controller_item *item =
		find_item(controller, entry->rollout.order.service);

	if (item && item->order_revision != entry->rollout.order.revision) {
		item_free(item);
		item = NULL;
	}
	return item ? item : add_item(controller, entry);
}

void controller_sweep(struct controller *controller)
{
	struct controller_item *item;
	struct controller_item *next;

	DL_FOREACH_SAFE(controller->items, item, next) {
		const struct rollout_entry *entry = rollout_table_find(
			controller->options.table, item->service);

		if (!entry || rollout_is_finished(entry->rollout.phase))
			item_free(item);
	}
}

void controller_report(struct controller *controller, const char *service,
		       uint64_t order_revision,
		       const struct judge_report *report)
{
	const struct rollout_entry *entry =
		rollout_table_find(controller->options.table, service);

	if (!entry || rollout_is_finished(entry->rollout.phase) ||
	    entry->rollout.order.revision != order_revision)
		return;
	judge_add_report(&get_item(controller, entry)->judge, report,
			 now(controller));
}

static struct rollout_entry *entry_of(const struct controller_item *item)
{
	struct rollout_entry *entry = rollout_table_find(
		item->controller->options.table, item->service);

	if (!entry || entry->rollout.order.revision != item->order_revision)
		return NULL;
	return entry;
}

static void merge(struct controller *controller, const struct rollout *rollout)
{
	controller->options.merge(rollout, controller->options.data);
}

/* Returns true if there is a record about the present order or a later order. A
 * record that cannot be parsed, or that is about an earlier order, is replaced
 * by the next write. */
static bool find_record(const struct rollout_entry *entry,
			const struct store_result *result,
			struct rollout *found)
{
	struct error err = ERROR_INIT;

	if (result->outcome != STORE_TOOK_EFFECT)
		return false;
	if (rollout_record_read(&entry->rollout.order, result->revision,
				result->value, result->size, found, &err))
		return true;
	if (error_is_set(&err))
		log_warn(component, "record_unreadable",
			 LOG_TEXT("service", entry->rollout.order.service),
			 LOG_TEXT("reason", err.text));
	return false;
}

static void read_done(const struct store_result *result, void *data)
{
	struct controller_item *item = data;
	struct rollout_entry *entry = entry_of(item);
	struct rollout found;
	bool is_there;

	item->call = NULL;
	item->read_at_us = now(item->controller) + READ_INTERVAL_US;
	if (!entry)
		return;
	is_there = find_record(entry, result, &found);
	if (!record_was_read(&item->record, &entry->rollout, result,
			     is_there ? &found : NULL))
		return;
	found.record_revision = result->revision;
	merge(item->controller, &found);
}

static void record_key(const struct controller_item *item,
		       char key[STORE_KEY_SIZE])
{
	snprintf(key, STORE_KEY_SIZE, "%s%s", KEY_ROLLOUTS, item->service);
}

static void read_record(struct controller_item *item)
{
	char key[STORE_KEY_SIZE];
	const struct store_request request = {
		.kind = STORE_GET,
		.key = key,
		.deadline_ms = CALL_DEADLINE_MS,
	};

	if (!item->controller->options.store ||
	    now(item->controller) < item->read_at_us)
		return;
	record_begin_read(&item->record);
	record_key(item, key);
	item->call = store_send(item->controller->options.store, &request,
				read_done, item);
}

static void write_done(const struct store_result *result, void *data)
{
	struct controller_item *item = data;
	struct rollout_entry *entry = entry_of(item);

	item->call = NULL;
	item->write_at_us = now(item->controller) + WRITE_RETRY_US;
	item->read_at_us = 0;
	if (!entry)
		return;
	counter_add(&conflicts, result->reason == STORE_CONFLICT);
	if (!record_was_written(&item->record, &entry->rollout, result))
		return;
	counter_add(&writes, 1);
	item->write_at_us = 0;
	merge(item->controller, &item->record.written);
}

static void write_record(struct controller_item *item,
			 const struct rollout_entry *entry,
			 enum rollout_phase phase)
{
	const struct controller_options *options = &item->controller->options;
	struct rollout written = entry->rollout;
	struct buffer text = { .bytes = NULL };
	int64_t now_us = now(item->controller);
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
 * struct serving - instances of the service that membership lists as serving
 * @target_count: number of instances of the new version
 * @old_count: number of instances of other versions
 * @old_local_count: number of instances of other versions in the own data
 *	centre
 */
struct serving {
	uint32_t target_count;
	uint32_t old_count;
	uint32_t old_local_count;
};

static void count_record(const struct rollout *rollout,
			 const struct record *record, bool home,
			 struct serving *serving)
{
	if (record->state != UPSTREAM_SERVING ||
	    strcmp(record->service, rollout->order.service))
		return;
	if (!strcmp(record->version, rollout->order.target)) {
		serving->target_count++;
		return;
	}
	serving->old_count++;
	serving->old_local_count += home;
}

static void count_serving(const struct controller *controller,
			  const struct rollout *rollout,
			  struct serving *serving)
{
	const struct members *members = &controller->options.gossip->members;
	const struct member *member = NULL;

	memset(serving, 0, sizeof(*serving));
	count_record(rollout, &members->self->record, true, serving);
	while ((member = members_next(members, member)))
		count_record(rollout, &member->record,
			     member->data_centre == members->home, serving);
}

/* Instances of the old version report only within their data centre until
 * ROLLOUT_SWITCHED, so the rate is extrapolated from the reporting instances to
 * all instances of the old version. */
static double rate_of(const struct controller_item *item,
		      const struct serving *serving, uint32_t old_reporting)
{
	double part = judge_rate(&item->judge);

	return old_reporting ? part * serving->old_count / old_reporting : 0;
}

static void fill_input(struct controller_item *item,
		       const struct rollout_entry *entry,
		       struct plan_input *input)
{
	const struct rollout *rollout = &entry->rollout;
	int64_t now_us = now(item->controller);
	struct serving serving;
	uint32_t old_reporting;

	count_serving(item->controller, rollout, &serving);
	old_reporting = judge_count_reporting(&item->judge, false,
					      REPORT_AGE_MAX_US, now_us);
	memset(input, 0, sizeof(*input));
	input->phase = rollout->phase;
	input->over_ms = rollout->order.over_ms;
	input->elapsed_ms = rollout_entry_elapsed_ms(entry, now_us);
	input->phase_ms = (now_us - entry->phase_since_us) / US_PER_MS;
	input->target_known = serving.target_count;
	input->target_reporting = judge_count_reporting(
		&item->judge, true, REPORT_AGE_MAX_US, now_us);
	input->old_known = serving.old_count;
	input->old_reporting = old_reporting * 2 >= serving.old_local_count;
	input->old_busy = judge_busy(&item->judge);
	input->rate_per_s = rate_of(item, &serving, old_reporting);
	judge_decide(&item->judge, plan_report_delay_us(rollout->phase), now_us,
		     &input->judgement);
}

/* Returns the rank of the own data centre among the reachable data centres. The
 * controllers write in this order until one write has taken effect. */
static uint32_t home_rank(const struct members *members)
{
	const struct data_centre *centre;
	uint32_t rank = 0;

	for (centre = members->data_centres; centre; centre = centre->next)
		rank += centre != members->home && centre->reachable &&
			centre->id < members->home->id;
	return rank;
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
		 LOG_NUMBER("fresh", input->target_known),
		 LOG_NUMBER("fresh_heard", input->target_reporting),
		 LOG_NUMBER("samples", input->judgement.samples),
		 LOG_NUMBER("old_busy", input->old_busy),
		 LOG_NUMBER("rate_per_s", (int64_t)input->rate_per_s),
		 LOG_TEXT("reason", input->judgement.bad
					    ? input->judgement.reason
					    : NULL));
}

static void condemn(struct controller_item *item, struct rollout_entry *entry)
{
	struct rollout rollout = entry->rollout;

	counter_add(&condemned, 1);
	rollout.phase = ROLLOUT_CONDEMNED;
	rollout.elapsed_ms =
		rollout_entry_elapsed_ms(entry, now(item->controller));
	merge(item->controller, &rollout);
}

/* Records the phase that the plan asks for, and the time if it has changed. */
static void set_wanted_phase(struct controller_item *item,
			     const struct rollout_entry *entry,
			     const struct plan_input *input,
			     enum rollout_phase next)
{
	if (next == item->wanted_phase)
		return;
	item->wanted_phase = next;
	item->wanted_since_us = now(item->controller);
	if (next != entry->rollout.phase)
		log_decision(entry, input, next);
}

static bool is_my_turn(const struct controller_item *item)
{
	const struct members *members =
		&item->controller->options.gossip->members;

	return now(item->controller) >=
	       item->wanted_since_us +
		       (int64_t)home_rank(members) * WRITE_STAGGER_US;
}

static void advance(struct controller_item *item, struct rollout_entry *entry,
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

static void decide(struct controller_item *item, struct rollout_entry *entry)
{
	struct plan_input input;
	enum rollout_phase next;

	fill_input(item, entry, &input);
	item->rate_per_s = input.rate_per_s;
	next = plan_next(&input);
	set_wanted_phase(item, entry, &input, next);
	if (next == ROLLOUT_CONDEMNED && entry->rollout.phase < next)
		condemn(item, entry);
	else if (next == entry->rollout.phase && !item->call &&
		 input.target_reporting * 2 < input.target_known)
		read_record(item);
	else
		advance(item, entry, next);
}

void controller_tick(struct controller *controller, struct rollout_entry *entry)
{
	bool first = gossip_rank(controller->options.gossip, ROLLOUT_DUTY) == 0;
	bool unread = entry->from_platform && entry->rollout.record_revision ==
						      ROLLOUT_REVISION_UNKNOWN;

	/* A node that has received the order from the platform also reads the
	 * record, even if another node ranks first: after a power loss the
	 * other nodes may not know of the roll-out. */
	if (first)
		decide(get_item(controller, entry), entry);
	else if (unread)
		advance(get_item(controller, entry), entry,
			entry->rollout.phase);
}
