#ifndef QUARANTINE_TABLE_H
#define QUARANTINE_TABLE_H

#include <jansson.h>
#include <stdbool.h>
#include <uthash.h>

#include "quarantine/fingerprint.h"

/**
 * DOC: quarantine table
 *
 * What a node knows about requests that were running when an upstream crashed.
 * Every request that ran beside the cause is a suspect as well. A harmless one
 * completes elsewhere, and that discards all crashes counted against it. A
 * request that has crashed QUARANTINE_CRASHES_BLOCK upstreams without ever
 * completing is blocked.
 *
 * Findings of other nodes are merged: more completions replace fewer, and for
 * the same number of completions the crashes are united. The result does not
 * depend on the order in which findings arrive, nor on duplicates. No sockets,
 * no clock.
 */

enum {
	QUARANTINE_CRASHES_BLOCK = 3,
	QUARANTINE_CRASHES_MAX = 6,
	QUARANTINE_ENTRIES_MAX = 1024,
};

/**
 * struct quarantine_finding - what is known about requests of one hash
 * @hash: a hash of struct fingerprint
 * @completions: number of times that a suspect was seen to complete
 * @crashes: ids of the crashes since the last completion, in ascending order
 */
struct quarantine_finding {
	uint64_t hash;
	uint32_t completions;
	uint32_t crash_count;
	uint64_t crashes[QUARANTINE_CRASHES_MAX];
};

/**
 * struct quarantine_entry - a finding and its age
 * @changed_us: time of the last crash or completion
 * @trial_until_us: time until which this node, beside a caller, begins no
 *	further trial
 * @is_unsent: the last change has not been sent to other nodes yet
 */
struct quarantine_entry {
	struct quarantine_finding finding;
	int64_t changed_us;
	int64_t trial_until_us;
	bool is_unsent;
	UT_hash_handle hh;
};

struct quarantine_table {
	struct quarantine_entry *entries;
};

/**
 * enum quarantine_state - how a request is treated
 * @QUARANTINE_NONE: as any other
 * @QUARANTINE_SUSPECT: it may run, but is not sent again after a lost run
 * @QUARANTINE_TRIAL: one request may run, to find out whether it completes now
 * @QUARANTINE_BLOCKED: refused
 */
enum quarantine_state {
	QUARANTINE_NONE,
	QUARANTINE_SUSPECT,
	QUARANTINE_TRIAL,
	QUARANTINE_BLOCKED,
};

void quarantine_table_init(struct quarantine_table *table);
void quarantine_table_finish(struct quarantine_table *table);

/** quarantine_table_find() - returns the entry of a hash, or NULL. */
struct quarantine_entry *
quarantine_table_find(const struct quarantine_table *table, uint64_t hash);

/**
 * quarantine_table_add_crash() - counts a crash against a hash
 * @crash_id: id of the crash, the same for all requests that ran beside it
 *
 * Return: the entry if it has changed, otherwise NULL.
 */
struct quarantine_entry *
quarantine_table_add_crash(struct quarantine_table *table, uint64_t hash,
			   uint64_t crash_id, int64_t now_us);

/**
 * quarantine_table_complete() - discards the crashes of a hash
 *
 * Return: the entry if there were any, otherwise NULL.
 */
struct quarantine_entry *
quarantine_table_complete(struct quarantine_table *table, uint64_t hash,
			  int64_t now_us);

/**
 * quarantine_table_merge() - merges a finding of another node
 * @age_us: time since its last crash or completion
 *
 * Return: the entry if it has changed, otherwise NULL.
 */
struct quarantine_entry *
quarantine_table_merge(struct quarantine_table *table,
		       const struct quarantine_finding *finding, int64_t age_us,
		       int64_t now_us);

/** quarantine_entry_state() - returns the state of one entry. */
enum quarantine_state
quarantine_entry_state(const struct quarantine_entry *entry, int64_t now_us);

/** quarantine_entry_trial_us() - time of the next trial, INT64_MAX for none. */
int64_t quarantine_entry_trial_us(const struct quarantine_entry *entry);

/** quarantine_table_state() - returns the stricter state of both hashes. */
enum quarantine_state
quarantine_table_state(const struct quarantine_table *table,
		       const struct fingerprint *fingerprint, int64_t now_us);

/** quarantine_table_expire() - removes entries that are too old. */
void quarantine_table_expire(struct quarantine_table *table, int64_t now_us);

/** quarantine_table_blocked_count() - number of entries that are blocked. */
uint32_t quarantine_table_blocked_count(const struct quarantine_table *table,
					int64_t now_us);

/** quarantine_table_dump() - returns the state as JSON; the caller owns it. */
json_t *quarantine_table_dump(const struct quarantine_table *table,
			      int64_t now_us);

#endif
