#ifndef QUOTA_QUOTA_DEFS_H
#define QUOTA_QUOTA_DEFS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: quota types
 *
 * Limits of tenants, and the messages between nodes, owners and owners of other
 * data centres. Amounts of a move are in thousandths of a token, because the
 * share of a data centre in a small limit is a fraction.
 */

enum {
	/* Tenants are divided into groups, so that the work of a data centre
	 * is done by more than one node. */
	QUOTA_GROUPS = 2,
	QUOTA_ITEMS_MAX = 64,
	/* Longest time since its start that a node contributes at once. */
	QUOTA_START_MAX_MS = 1000,
	/* Of a time that a running node could not contribute, so much counts
	 * whatever happened meanwhile. */
	QUOTA_PAUSE_MAX_MS = 400,
	/* Longest time that a node contributes at once. What is longer than
	 * QUOTA_START_MAX_MS was a pause. */
	QUOTA_ELAPSED_MAX_MS = 3000,
	QUOTA_WANTED_MAX = 100000,
	QUOTA_DUE_MAX_MS = 5000,
	QUOTA_MILLIS = 1000,
	QUOTA_MILLIS_MAX = QUOTA_WANTED_MAX * QUOTA_MILLIS,
};

/**
 * struct quota_limit - limit of a tenant
 * @tenant: quota_tenant_id() of its name
 * @per_s: tokens in a second, over all nodes; above 0
 * @burst: tokens that may be saved, over all nodes
 */
struct quota_limit {
	uint64_t tenant;
	double per_s;
	double burst;
};

/** quota_tenant_id() - identifies a tenant in messages. */
uint64_t quota_tenant_id(const char *name);

/** quota_group() - returns the group of a tenant, below QUOTA_GROUPS. */
uint32_t quota_group(uint64_t tenant);

/**
 * struct quota_ask_item - what a node needs for a tenant
 * @wanted: tokens asked for
 * @returned: unused tokens given back
 */
struct quota_ask_item {
	uint64_t tenant;
	uint32_t wanted;
	uint32_t returned;
};

/**
 * struct quota_ask - from a node to an owner
 * @sequence: number of the ask, ascending within an incarnation of the node
 * @elapsed_ms: time for which the node contributes its part of all limits
 * @members: number of nodes that the node knows
 */
struct quota_ask {
	uint32_t group;
	uint32_t sequence;
	uint32_t elapsed_ms;
	uint32_t members;
	uint32_t count;
	struct quota_ask_item items[QUOTA_ITEMS_MAX];
};

/**
 * struct quota_grant_item - answer to a struct quota_ask_item
 * @due_ms: time until a further token is expected; 0 if all were granted
 */
struct quota_grant_item {
	uint64_t tenant;
	uint32_t granted;
	uint32_t due_ms;
};

/** struct quota_grant - from an owner, with the group and number of the ask. */
struct quota_grant {
	uint32_t group;
	uint32_t sequence;
	uint32_t count;
	struct quota_grant_item items[QUOTA_ITEMS_MAX];
};

/**
 * struct quota_move_item - amounts in thousandths of a token
 * @millis: wanted or given
 * @held_millis: what the owner that wants tokens has
 */
struct quota_move_item {
	uint64_t tenant;
	uint32_t millis;
	uint32_t held_millis;
};

/**
 * struct quota_move - tokens that an owner wants of another one, or gives
 * @sequence: number of a transfer, ascending within an incarnation of the node
 *	that gives; 0 in a want
 */
struct quota_move {
	uint32_t group;
	uint32_t sequence;
	uint32_t count;
	struct quota_move_item items[QUOTA_ITEMS_MAX];
};

#endif
