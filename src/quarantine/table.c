#include "quarantine/table.h"

#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

enum {
	SECOND_US = 1000 * 1000,
	/* A completion is kept so that an older finding of another node does
	 * not bring the discarded crashes back. */
	COMPLETED_KEPT_S = 60,
	SUSPECT_KEPT_S = 10 * 60,
	BLOCKED_KEPT_S = 24 * 60 * 60,
};

/* Times from the last crash to the trials, which are few: each one costs an
 * upstream if the request is still harmful. */
static const int64_t trial_after_us[] = {
	30LL * SECOND_US,
	30LL * 60 * SECOND_US,
};

enum { TRIALS = sizeof(trial_after_us) / sizeof(trial_after_us[0]) };

void quarantine_table_init(struct quarantine_table *table)
{
	table->entries = NULL;
}

static void entry_remove(struct quarantine_table *table,
			 struct quarantine_entry *entry)
{
	HASH_DEL(table->entries, entry);
	free(entry);
}

void quarantine_table_finish(struct quarantine_table *table)
{
	struct quarantine_entry *entry;
	struct quarantine_entry *next;

	HASH_ITER(hh, table->entries, entry, next)
		entry_remove(table, entry);
}

struct quarantine_entry *
quarantine_table_find(const struct quarantine_table *table, uint64_t hash)
{
	struct quarantine_entry *entry;

	HASH_FIND(hh, table->entries, &hash, sizeof(hash), entry);
	return entry;
}

static int64_t kept_us(const struct quarantine_entry *entry)
{
	uint32_t crash_count = entry->finding.crash_count;

	if (!crash_count)
		return (int64_t)COMPLETED_KEPT_S * SECOND_US;
	return crash_count < QUARANTINE_CRASHES_BLOCK
		       ? (int64_t)SUSPECT_KEPT_S * SECOND_US
		       : (int64_t)BLOCKED_KEPT_S * SECOND_US;
}

/* Returns true if @a is the better one to remove from a full table. */
static bool is_less_important(const struct quarantine_entry *a,
			      const struct quarantine_entry *b)
{
	if (a->finding.crash_count != b->finding.crash_count)
		return a->finding.crash_count < b->finding.crash_count;
	return a->changed_us < b->changed_us;
}

static void make_room(struct quarantine_table *table)
{
	struct quarantine_entry *victim = table->entries;
	struct quarantine_entry *entry;

	if (HASH_COUNT(table->entries) < QUARANTINE_ENTRIES_MAX)
		return;
	for (entry = table->entries; entry; entry = entry->hh.next)
		if (is_less_important(entry, victim))
			victim = entry;
	entry_remove(table, victim);
}

static struct quarantine_entry *find_or_add(struct quarantine_table *table,
					    uint64_t hash)
{
	struct quarantine_entry *entry = quarantine_table_find(table, hash);

	if (entry)
		return entry;
	make_room(table);
	entry = calloc(1, sizeof(*entry));
	if (!entry)
		abort();
	entry->finding.hash = hash;
	HASH_ADD(hh, table->entries, finding.hash, sizeof(hash), entry);
	return entry;
}

/* Adds an id to the sorted ids. Of too many, the lowest are kept, at every node
 * the same. */
static bool add_id(struct quarantine_finding *finding, uint64_t id)
{
	uint32_t at = 0;
	uint32_t moved;

	while (at < finding->crash_count && finding->crashes[at] < id)
		at++;
	if (at == QUARANTINE_CRASHES_MAX ||
	    (at < finding->crash_count && finding->crashes[at] == id))
		return false;
	if (finding->crash_count < QUARANTINE_CRASHES_MAX)
		finding->crash_count++;
	moved = finding->crash_count - at - 1;
	memmove(&finding->crashes[at + 1], &finding->crashes[at],
		moved * sizeof(finding->crashes[0]));
	finding->crashes[at] = id;
	return true;
}

struct quarantine_entry *
quarantine_table_add_crash(struct quarantine_table *table, uint64_t hash,
			   uint64_t crash_id, int64_t now_us)
{
	struct quarantine_entry *entry = find_or_add(table, hash);

	if (!add_id(&entry->finding, crash_id))
		return NULL;
	entry->changed_us = now_us;
	return entry;
}

struct quarantine_entry *
quarantine_table_complete(struct quarantine_table *table, uint64_t hash,
			  int64_t now_us)
{
	struct quarantine_entry *entry = quarantine_table_find(table, hash);

	if (!entry || !entry->finding.crash_count)
		return NULL;
	entry->finding.completions++;
	entry->finding.crash_count = 0;
	entry->changed_us = now_us;
	entry->trial_until_us = 0;
	return entry;
}

static bool unite(struct quarantine_finding *finding,
		  const struct quarantine_finding *other)
{
	bool changed = false;
	uint32_t i;

	for (i = 0; i < other->crash_count; i++)
		changed |= add_id(finding, other->crashes[i]);
	return changed;
}

struct quarantine_entry *
quarantine_table_merge(struct quarantine_table *table,
		       const struct quarantine_finding *finding, int64_t age_us,
		       int64_t now_us)
{
	struct quarantine_entry *entry = find_or_add(table, finding->hash);
	int64_t changed_us = now_us - age_us;
	bool newer = finding->completions > entry->finding.completions;

	if (finding->completions < entry->finding.completions)
		return NULL;
	if (newer)
		entry->finding = *finding;
	else if (!unite(&entry->finding, finding))
		return NULL;
	if (newer || changed_us > entry->changed_us)
		entry->changed_us = changed_us;
	return entry;
}

int64_t quarantine_entry_trial_us(const struct quarantine_entry *entry)
{
	uint32_t index = entry->finding.crash_count - QUARANTINE_CRASHES_BLOCK;

	if (entry->finding.crash_count < QUARANTINE_CRASHES_BLOCK ||
	    index >= TRIALS)
		return INT64_MAX;
	return entry->changed_us + trial_after_us[index];
}

enum quarantine_state
quarantine_entry_state(const struct quarantine_entry *entry, int64_t now_us)
{
	if (!entry->finding.crash_count)
		return QUARANTINE_NONE;
	if (entry->finding.crash_count < QUARANTINE_CRASHES_BLOCK)
		return QUARANTINE_SUSPECT;
	return now_us < quarantine_entry_trial_us(entry) ? QUARANTINE_BLOCKED
							 : QUARANTINE_TRIAL;
}

static enum quarantine_state state_of(const struct quarantine_table *table,
				      uint64_t hash, int64_t now_us)
{
	const struct quarantine_entry *entry =
		quarantine_table_find(table, hash);

	return entry ? quarantine_entry_state(entry, now_us) : QUARANTINE_NONE;
}

enum quarantine_state
quarantine_table_state(const struct quarantine_table *table,
		       const struct fingerprint *fingerprint, int64_t now_us)
{
	enum quarantine_state content;
	enum quarantine_state by_caller;

	if (!table->entries)
		return QUARANTINE_NONE;
	content = state_of(table, fingerprint->content, now_us);
	by_caller = state_of(table, fingerprint->by_caller, now_us);
	return content > by_caller ? content : by_caller;
}

void quarantine_table_expire(struct quarantine_table *table, int64_t now_us)
{
	struct quarantine_entry *entry;
	struct quarantine_entry *next;

	HASH_ITER(hh, table->entries, entry, next)
		if (now_us - entry->changed_us >= kept_us(entry))
			entry_remove(table, entry);
}

uint32_t quarantine_table_blocked_count(const struct quarantine_table *table,
					int64_t now_us)
{
	const struct quarantine_entry *entry;
	uint32_t count = 0;

	for (entry = table->entries; entry; entry = entry->hh.next)
		count += quarantine_entry_state(entry, now_us) >=
			 QUARANTINE_TRIAL;
	return count;
}

static const char *state_name(enum quarantine_state state)
{
	static const char *const names[] = { "harmless", "suspect", "trial",
					     "blocked" };

	return names[state];
}

json_t *quarantine_table_dump(const struct quarantine_table *table,
			      int64_t now_us)
{
	json_t *list = json_array();
	const struct quarantine_entry *entry;

	for (entry = table->entries; entry; entry = entry->hh.next) {
		char text[FINGERPRINT_TEXT_SIZE];
		int64_t trial_us = quarantine_entry_trial_us(entry);

		fingerprint_text(entry->finding.hash, text);
		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:i, s:i, s:I, s:I}", "content",
				  text, "state",
				  state_name(quarantine_entry_state(entry,
								    now_us)),
				  "crashes", (int)entry->finding.crash_count,
				  "completions",
				  (int)entry->finding.completions, "age_ms",
				  (json_int_t)((now_us - entry->changed_us) /
					       US_PER_MS),
				  "trial_in_ms",
				  trial_us == INT64_MAX
					  ? (json_int_t)-1
					  : (json_int_t)((trial_us - now_us) /
							 US_PER_MS)));
	}
	return list;
}
