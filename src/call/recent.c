#include "call/recent.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>
#include <xxhash.h>

enum { BUCKETS_MIN = 64, BUCKETS_PER_ENTRY = 2 };

static uint32_t bucket_count(uint32_t entries)
{
	uint32_t buckets = BUCKETS_MIN;

	while (buckets < entries * BUCKETS_PER_ENTRY)
		buckets *= 2;
	return buckets;
}

static void *table_new(uint32_t buckets)
{
	void *table = calloc(buckets, sizeof(void *));

	if (!table)
		abort();
	return table;
}

void recent_init(struct recent *recent, const struct recent_limits *limits)
{
	memset(recent, 0, sizeof(*recent));
	recent->limits = *limits;
	recent->buckets = bucket_count(limits->entries_max);
	recent->entries = table_new(recent->buckets);
	recent->caller_buckets = bucket_count(limits->callers_max);
	recent->callers = table_new(recent->caller_buckets);
}

static struct recent_entry **entry_slot(const struct recent *recent,
					struct call_id id)
{
	uint64_t hash = XXH3_64bits(&id, sizeof(id));
	struct recent_entry **slot =
		&recent->entries[hash & (recent->buckets - 1)];

	while (*slot && !call_id_equal((*slot)->id, id))
		slot = &(*slot)->chain;
	return slot;
}

static struct recent_caller **caller_slot(const struct recent *recent,
					  uint64_t incarnation)
{
	uint64_t hash = XXH3_64bits(&incarnation, sizeof(incarnation));
	struct recent_caller **slot =
		&recent->callers[hash & (recent->caller_buckets - 1)];

	while (*slot && (*slot)->incarnation != incarnation)
		slot = &(*slot)->chain;
	return slot;
}

static void caller_free(struct recent *recent, struct recent_caller *caller)
{
	*caller_slot(recent, caller->incarnation) = caller->chain;
	recent->caller_count--;
	free(caller);
}

static void caller_discard_oldest(struct recent *recent)
{
	struct recent_caller *oldest = recent->idle;

	DL_DELETE(recent->idle, oldest);
	caller_free(recent, oldest);
	recent->caller_discarded = true;
}

static struct recent_caller *caller_new(struct recent *recent,
					uint64_t incarnation)
{
	struct recent_caller *caller;

	if (recent->caller_count >= recent->limits.callers_max && recent->idle)
		caller_discard_oldest(recent);
	caller = calloc(1, sizeof(*caller));
	if (!caller)
		abort();
	caller->incarnation = incarnation;
	caller->history_complete = !recent->caller_discarded;
	*caller_slot(recent, incarnation) = caller;
	recent->caller_count++;
	DL_APPEND(recent->idle, caller);
	return caller;
}

static struct recent_caller *caller_find(struct recent *recent,
					 uint64_t incarnation)
{
	struct recent_caller *caller = *caller_slot(recent, incarnation);

	return caller ? caller : caller_new(recent, incarnation);
}

struct recent_caller *recent_caller_acquire(struct recent *recent,
					    uint64_t incarnation)
{
	struct recent_caller *caller = caller_find(recent, incarnation);

	if (!caller->reference_count++)
		DL_DELETE(recent->idle, caller);
	return caller;
}

void recent_caller_release(struct recent *recent, struct recent_caller *caller)
{
	assert(caller->reference_count);
	if (!--caller->reference_count)
		DL_APPEND(recent->idle, caller);
}

static void set_undelivered(struct recent *recent, struct recent_entry *entry,
			    bool undelivered)
{
	if (entry->is_undelivered == undelivered)
		return;
	entry->is_undelivered = undelivered;
	if (undelivered)
		DL_APPEND2(recent->undelivered, entry, undelivered_prev,
			   undelivered_next);
	else
		DL_DELETE2(recent->undelivered, entry, undelivered_prev,
			   undelivered_next);
}

static void answer_discard(struct recent *recent, struct recent_entry *entry)
{
	set_undelivered(recent, entry, false);
	recent->answer_bytes -= entry->answer_bytes;
	free(entry->answer);
	entry->answer = NULL;
	entry->answer_bytes = 0;
}

static void entry_discard_oldest(struct recent *recent)
{
	struct recent_entry *entry = recent->ended;
	struct recent_caller *caller = entry->caller;

	if (recent->answered == entry)
		recent->answered = entry->next;
	DL_DELETE(recent->ended, entry);
	recent->ended_count--;
	recent->discarded_count++;
	if (entry->id.sequence > caller->highest_discarded)
		caller->highest_discarded = entry->id.sequence;
	*entry_slot(recent, entry->id) = entry->chain;
	answer_discard(recent, entry);
	recent_caller_release(recent, caller);
	free(entry);
}

/* Discards answers first, and then whole entries, each oldest first. */
static void enforce_limits(struct recent *recent)
{
	while (recent->answer_bytes > recent->limits.answer_bytes_max &&
	       recent->answered) {
		answer_discard(recent, recent->answered);
		recent->answered = recent->answered->next;
	}
	while (recent->ended &&
	       recent->ended_count > recent->limits.entries_max)
		entry_discard_oldest(recent);
}

enum recent_state recent_lookup(struct recent *recent, struct call_id id,
				enum recent_purpose purpose,
				struct recent_entry **entry)
{
	const struct recent_caller *caller;

	*entry = *entry_slot(recent, id);
	if (*entry)
		return (*entry)->state;
	caller = caller_find(recent, id.incarnation);
	if (id.sequence <= caller->highest_discarded)
		return RECENT_FORGOTTEN;
	/* A discarded caller may have sent this attempt earlier. An attempt
	 * that is received now was not sent earlier: its connection has
	 * referenced the caller since the connection opened, and an attempt is
	 * sent only once. */
	if (purpose == RECENT_QUERIED && !caller->history_complete)
		return RECENT_FORGOTTEN;
	return RECENT_NEVER_SEEN;
}

static struct recent_entry *entry_new(struct recent *recent, struct call_id id)
{
	struct recent_entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	assert(!*entry_slot(recent, id));
	entry->id = id;
	entry->caller = recent_caller_acquire(recent, id.incarnation);
	*entry_slot(recent, id) = entry;
	return entry;
}

struct recent_entry *recent_begin(struct recent *recent, struct call_id id,
				  void *owner)
{
	struct recent_entry *entry = entry_new(recent, id);

	entry->state = RECENT_RUNNING;
	entry->owner = owner;
	recent->running_count++;
	return entry;
}

static void entry_end(struct recent *recent, struct recent_entry *entry,
		      const struct call_outcome *outcome)
{
	entry->state = RECENT_ENDED;
	entry->owner = NULL;
	entry->outcome = *outcome;
	DL_APPEND(recent->ended, entry);
	recent->ended_count++;
	if (!recent->answered)
		recent->answered = entry;
}

void recent_refuse(struct recent *recent, struct call_id id,
		   enum call_reason reason)
{
	const struct call_outcome outcome = { .verdict = VERDICT_NOT_RUN,
					      .reason = reason };

	entry_end(recent, entry_new(recent, id), &outcome);
	enforce_limits(recent);
}

bool recent_end(struct recent *recent, struct recent_entry *entry,
		const struct call_outcome *outcome, void *answer,
		size_t answer_bytes)
{
	bool fits = answer_bytes <= recent->limits.answer_bytes_max;

	assert(entry->state == RECENT_RUNNING);
	recent->running_count--;
	if (fits) {
		entry->answer = answer;
		entry->answer_bytes = answer_bytes;
		recent->answer_bytes += answer_bytes;
	} else {
		free(answer);
	}
	entry_end(recent, entry, outcome);
	enforce_limits(recent);
	return fits;
}

void recent_sent(struct recent *recent, struct recent_entry *entry,
		 int64_t now_us)
{
	entry->sent_us = now_us;
	set_undelivered(recent, entry, false);
}

void recent_undelivered(struct recent *recent, struct recent_entry *entry)
{
	if (entry->answer)
		set_undelivered(recent, entry, true);
}

void recent_connection_lost(struct recent *recent,
			    const struct recent_caller *caller,
			    int64_t since_us)
{
	struct recent_entry *entry;

	DL_FOREACH(recent->ended, entry)
		if (entry->caller == caller && entry->sent_us &&
		    entry->sent_us >= since_us)
			recent_undelivered(recent, entry);
}

bool recent_is_awaited(const struct recent *recent, int64_t now_us)
{
	const struct recent_entry *entry;

	DL_FOREACH2(recent->undelivered, entry, undelivered_next)
	if (entry->deadline_us > now_us)
		return true;
	return false;
}

void recent_expire(struct recent *recent, int64_t now_us)
{
	while (recent->answered &&
	       recent->answered->answer_expires_us <= now_us) {
		answer_discard(recent, recent->answered);
		recent->answered = recent->answered->next;
	}
}

void recent_finish(struct recent *recent)
{
	uint32_t i;

	for (i = 0; i < recent->buckets; i++)
		while (recent->entries[i]) {
			struct recent_entry *entry = recent->entries[i];

			recent->entries[i] = entry->chain;
			free(entry->answer);
			free(entry);
		}
	for (i = 0; i < recent->caller_buckets; i++)
		while (recent->callers[i]) {
			struct recent_caller *caller = recent->callers[i];

			recent->callers[i] = caller->chain;
			free(caller);
		}
	free(recent->entries);
	free(recent->callers);
	memset(recent, 0, sizeof(*recent));
}
