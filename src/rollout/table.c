#include "rollout/table.h"

#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

/*
 * Share of the requests that the new version gets in ROLLOUT_RAMP. The same
 * share of its instances gets these requests, so that each of them has the load
 * that it has later: faults under load show while three quarters of the
 * requests still go to the old version.
 */
#define RAMP_SHARE 0.25

const char *rollout_phase_name(enum rollout_phase phase)
{
	static const char *const names[ROLLOUT_PHASES] = {
		"ordered",   "canary",	    "ramp", "switched",
		"condemned", "rolled-back", "done",
	};

	return names[phase];
}

double rollout_share(const struct rollout *rollout)
{
	switch (rollout->phase) {
	case ROLLOUT_ORDERED:
	case ROLLOUT_CONDEMNED:
	case ROLLOUT_ROLLED_BACK:
	case ROLLOUT_PHASES:
		return 0;
	case ROLLOUT_CANARY:
		return rollout->share;
	case ROLLOUT_RAMP:
		return RAMP_SHARE;
	case ROLLOUT_SWITCHED:
	case ROLLOUT_DONE:
		break;
	}
	return 1;
}

void rollout_table_init(struct rollout_table *table)
{
	memset(table, 0, sizeof(*table));
}

void rollout_table_finish(struct rollout_table *table)
{
	struct rollout_entry *entry = table->entries;
	struct rollout_entry *next;

	HASH_CLEAR(hh, table->entries);
	for (; entry; entry = next) {
		next = entry->hh.next;
		free(entry);
	}
}

struct rollout_entry *rollout_table_find(const struct rollout_table *table,
					 const char *service)
{
	struct rollout_entry *entry;

	HASH_FIND_STR(table->entries, service, entry);
	return entry;
}

static struct rollout_entry *add(struct rollout_table *table,
				 const struct rollout *rollout, int64_t now_us)
{
	struct rollout_entry *entry = calloc(1, sizeof(*entry));

	if (!entry)
		abort();
	entry->rollout = *rollout;
	entry->phase_since_us = now_us;
	HASH_ADD_STR(table->entries, rollout.order.service, entry);
	return entry;
}

/* Returns < 0 if @a is older than @b, 0 if order and phase are the same, and >
 * 0 if @a is newer. */
static int compare(const struct rollout *a, const struct rollout *b)
{
	if (a->order.revision != b->order.revision)
		return a->order.revision < b->order.revision ? -1 : 1;
	return (int)a->phase - (int)b->phase;
}

/* Keeps the higher revision: each write of the record increases it. */
static void merge_revision(struct rollout *known, uint64_t revision)
{
	if (revision == ROLLOUT_REVISION_UNKNOWN)
		return;
	if (known->record_revision == ROLLOUT_REVISION_UNKNOWN ||
	    revision > known->record_revision)
		known->record_revision = revision;
}

struct rollout_entry *rollout_table_merge(struct rollout_table *table,
					  const struct rollout *rollout,
					  int64_t now_us)
{
	struct rollout_entry *entry =
		rollout_table_find(table, rollout->order.service);
	uint64_t revision;
	int order;

	if (!entry)
		return add(table, rollout, now_us);
	order = compare(rollout, &entry->rollout);
	/* Only a state with the same order and phase updates the revision. With
	 * the revision of a record whose content it does not know, a node could
	 * write an earlier phase over a later one. */
	if (order == 0)
		merge_revision(&entry->rollout, rollout->record_revision);
	if (order <= 0)
		return NULL;
	/* All orders of a service share one record, so its known revision stays
	 * valid. If the record has changed, the next write fails. */
	revision = entry->rollout.record_revision;
	entry->rollout = *rollout;
	merge_revision(&entry->rollout, revision);
	entry->phase_since_us = now_us;
	return entry;
}

int64_t rollout_entry_elapsed_ms(const struct rollout_entry *entry,
				 int64_t now_us)
{
	return entry->rollout.elapsed_ms +
	       (now_us - entry->phase_since_us) / US_PER_MS;
}

bool rollout_table_has_active(const struct rollout_table *table)
{
	const struct rollout_entry *entry;

	for (entry = table->entries; entry; entry = entry->hh.next)
		if (!rollout_is_finished(entry->rollout.phase))
			return true;
	return false;
}
