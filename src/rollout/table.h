#ifndef ROLLOUT_TABLE_H
#define ROLLOUT_TABLE_H

#include <uthash.h>

#include "rollout/rollout_defs.h"

/**
 * DOC: rollout table
 *
 * What a node knows of all roll-outs, one for each service. What it is told by
 * others is merged: a later order replaces an earlier one, and for one order
 * the later phase wins, so that the result is the same in whatever order words
 * arrive, also when they arrive twice. Decision core.
 */

/**
 * struct rollout_entry - one service's
 * @phase_since_us: when its present phase was heard of
 * @from_platform: by the platform itself, and not by another node
 */
struct rollout_entry {
	struct rollout rollout;
	int64_t phase_since_us;
	bool from_platform;
	UT_hash_handle hh;
};

struct rollout_table {
	struct rollout_entry *entries; /* by service */
};

void rollout_table_init(struct rollout_table *table);
void rollout_table_finish(struct rollout_table *table);

/** rollout_table_find() - by service, or NULL. */
struct rollout_entry *rollout_table_find(const struct rollout_table *table,
					 const char *service);

/**
 * rollout_table_merge() - take in what is known elsewhere
 *
 * Return: the entry if its order or phase has changed, else NULL.
 */
struct rollout_entry *rollout_table_merge(struct rollout_table *table,
					  const struct rollout *rollout,
					  int64_t now_us);

/** rollout_entry_elapsed_ms() - since the order. */
int64_t rollout_entry_elapsed_ms(const struct rollout_entry *entry,
				 int64_t now_us);

/** rollout_table_has_active() - whether any roll-out is in progress. */
bool rollout_table_has_active(const struct rollout_table *table);

#endif
