#ifndef ROLLOUT_TABLE_H
#define ROLLOUT_TABLE_H

#include <uthash.h>

#include "rollout/rollout_defs.h"

/**
 * DOC: rollout table
 *
 * The roll-outs that a node knows, one for each service. States received from
 * other nodes are merged: a later order replaces an earlier order, and for one
 * order the later phase wins. The result does not depend on the order in which
 * states arrive, nor on duplicates. No sockets, no clock.
 */

/**
 * struct rollout_entry - the roll-out of one service
 * @phase_since_us: time at which this node received the present phase
 * @from_platform: whether this node has received an order of the service from
 *	the platform, and not only from other nodes
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

/** rollout_table_find() - Returns the entry of a service, or NULL. */
struct rollout_entry *rollout_table_find(const struct rollout_table *table,
					 const char *service);

/**
 * rollout_table_merge() - Merges a state received from elsewhere.
 *
 * Return: the entry if its order or phase has changed, otherwise NULL.
 */
struct rollout_entry *rollout_table_merge(struct rollout_table *table,
					  const struct rollout *rollout,
					  int64_t now_us);

/** rollout_entry_elapsed_ms() - Returns the time since the order in ms. */
int64_t rollout_entry_elapsed_ms(const struct rollout_entry *entry,
				 int64_t now_us);

/** rollout_table_has_active() - Returns true if a roll-out is in progress. */
bool rollout_table_has_active(const struct rollout_table *table);

#endif
