#ifndef QUOTA_OWNER_H
#define QUOTA_OWNER_H

#include <uthash.h>

#include "quota/bucket.h"

/**
 * DOC: quota owner
 *
 * Collects the parts of the limits that nodes contribute with their asks, and
 * grants tokens. Each node contributes each millisecond of its own time to one
 * owner at most, as one of all nodes that are known. So the owners together
 * never make more than the limits, whatever each node takes for the owner:
 * there is no election, and nothing to hand over safely. An owner that is short
 * of tokens wants some of the owners of other data centres. No sockets, no
 * clock.
 */

/**
 * struct quota_pool - a tenant at an owner
 * @queued: tokens that were asked for and not granted of late; tells the time
 *	until a token is due
 * @short_us: time at which an ask last got too few tokens; 0 if never
 * @demand_per_s: tokens granted in a second of late
 * @at_us: time of the last update of @queued and @demand_per_s
 * @wanted: tokens to ask other owners for
 * @wanted_us: time at which other owners were asked last; 0 if never
 * @received: tokens came in since @wanted_us
 * @empty_until_us: other owners have no tokens, supposedly until then
 * @next: list of those that are being dropped
 */
struct quota_pool {
	uint64_t tenant;
	struct quota_bucket bucket;
	double queued;
	int64_t short_us;
	double demand_per_s;
	int64_t at_us;
	double wanted;
	int64_t wanted_us;
	bool received;
	int64_t empty_until_us;
	bool in_force;
	struct quota_pool *next;
	UT_hash_handle hh;
};

/**
 * struct quota_sender - a node that has sent messages
 * @id: its incarnation
 * @sequence: highest number of a message of the node
 * @next: list of those that are being dropped
 */
struct quota_sender {
	uint64_t id;
	uint32_t sequence;
	int64_t seen_us;
	struct quota_sender *next;
	UT_hash_handle hh;
};

/**
 * struct quota_owner - see DOC
 * @senders: nodes that asked of late
 * @givers: nodes that transferred tokens to this owner
 * @sequence: number of the last transfer of this owner
 * @members: number of nodes known here
 * @heard_members: largest number of nodes that an ask named of late
 * @heard_us: time of that ask
 * @nearby: number of nodes of the data centre
 * @has_others: owners of other data centres can be asked
 * @move_us: time from a want to tokens of other owners, averaged
 */
struct quota_owner {
	struct quota_pool *pools;
	struct quota_sender *senders;
	struct quota_sender *givers;
	uint32_t sequence;
	struct quota_share share;
	uint32_t members;
	uint32_t heard_members;
	int64_t heard_us;
	uint32_t nearby;
	bool has_others;
	int64_t move_us;
	int64_t expired_us;
};

void quota_owner_init(struct quota_owner *owner, int64_t now_us);
void quota_owner_finish(struct quota_owner *owner);

/** quota_owner_set_limits() - replaces the limits; unchanged ones keep their
 *	tokens */
void quota_owner_set_limits(struct quota_owner *owner,
			    const struct quota_limit *limits, uint32_t count,
			    int64_t now_us);

/**
 * quota_owner_set_members() - sets what is known of the deployment
 * @members: number of nodes, at least 1
 * @nearby: number of nodes of the data centre, which ask this owner if it is one
 * @has_others: owners of other data centres can be asked
 */
void quota_owner_set_members(struct quota_owner *owner, uint32_t members,
			     uint32_t nearby, bool has_others);

/**
 * quota_owner_ask() - handles an ask
 * @sender: incarnation of the node
 *
 * Return: false if the ask was handled before, or is older than one that was;
 * @grant is not set then.
 */
bool quota_owner_ask(struct quota_owner *owner, uint64_t sender,
		     const struct quota_ask *ask, int64_t now_us,
		     struct quota_grant *grant);

/** quota_owner_wants() - fills in what other owners are asked for; false if
 *	nothing */
bool quota_owner_wants(struct quota_owner *owner, int64_t now_us,
		       struct quota_move *want);

/** quota_owner_wanted() - takes what another owner gets; false if nothing. */
bool quota_owner_wanted(struct quota_owner *owner,
			const struct quota_move *want, int64_t now_us,
			struct quota_move *transfer);

/**
 * quota_owner_receive() - adds tokens of another owner
 * @sender: incarnation of the node of that owner
 *
 * A transfer that comes twice, or after a later one, is ignored.
 */
void quota_owner_receive(struct quota_owner *owner, uint64_t sender,
			 const struct quota_move *transfer, int64_t now_us);

/** quota_owner_hand_over() - takes the tokens of a few tenants, for the owner
 *	that comes after this one; false if none are left */
bool quota_owner_hand_over(struct quota_owner *owner, int64_t now_us,
			   struct quota_move *transfer);

/** quota_owner_find() - returns the tenant as of @now_us; NULL if none. */
const struct quota_pool *quota_owner_find(struct quota_owner *owner,
					  uint64_t tenant, int64_t now_us);

#endif
