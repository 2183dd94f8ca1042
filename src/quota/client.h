#ifndef QUOTA_CLIENT_H
#define QUOTA_CLIENT_H

#include <uthash.h>

#include "base/random.h"
#include "quota/quota_defs.h"

/**
 * DOC: quota client
 *
 * The tokens of one node. A request takes a token that the node has, or waits
 * for an answer to an ask. The node asks ahead of its requests for what it used
 * of late. Tokens are valid for a short time from before they were asked for,
 * so that a node that was paused or cut off has none left. With each ask the
 * node contributes its own time, as one of all nodes that it knows, to the
 * owner that it asks; see owner.h. No sockets, no clock.
 */

enum {
	QUOTA_VALID_US = 600 * 1000,
	QUOTA_HEARTBEAT_US = 250 * 1000,
	QUOTA_ASK_TIMEOUT_US = 250 * 1000,
	QUOTA_ASKS_MAX = 4,
	QUOTA_LOTS = 2,
	QUOTA_WAITING_MAX = 64,
	/* Owners that a node tries: two of its data centre, then itself. */
	QUOTA_RANKS = 3,
};

/** enum quota_result - whether a request may be sent. */
enum quota_result { QUOTA_GRANTED, QUOTA_WAITING, QUOTA_REFUSED };

struct quota_account;

/**
 * struct quota_request - a request that waits for a token
 * @result: set when the request no longer waits
 * @retry_after_ms: QUOTA_REFUSED: time after which a token is expected
 * @account: tenant; NULL unless the request waits or is in quota_client.ended
 * @until_us: longest wait
 */
struct quota_request {
	enum quota_result result;
	uint32_t retry_after_ms;
	struct quota_account *account;
	int64_t since_us;
	int64_t until_us;
	struct quota_request *next;
	struct quota_request *prev;
};

/** struct quota_lot - tokens that expire together. */
struct quota_lot {
	uint32_t tokens;
	int64_t expires_us;
};

/**
 * struct quota_account - a tenant at this node
 * @asked: tokens asked for, not answered yet
 * @returned: tokens to give back with the next ask
 * @used_per_s: tokens used in a second of late
 * @used_us: time of the last update of @used_per_s
 * @due_us: while tokens are short, the time at which one is expected
 * @ask_us: no token is asked for before this time
 * @waiting: requests that wait, the longest first
 * @granted_count, @refused_count: requests since the tenant has a limit
 * @logged_us: time of the last log line on refusals, set by the owner of the
 *	client; 0 if none
 * @is_active: in quota_client.active
 */
struct quota_account {
	uint64_t tenant;
	double per_s;
	double burst;
	struct quota_lot lots[QUOTA_LOTS];
	uint32_t asked;
	uint32_t returned;
	double used_per_s;
	int64_t used_us;
	int64_t due_us;
	int64_t ask_us;
	struct quota_request *waiting;
	uint32_t waiting_count;
	uint64_t granted_count;
	uint64_t refused_count;
	int64_t logged_us;
	bool is_active;
	bool in_force;
	struct quota_account *next;
	struct quota_account *prev;
	UT_hash_handle hh;
};

/** struct quota_sent - an ask without an answer; sequence 0 if none. */
struct quota_sent {
	struct quota_ask ask;
	int64_t sent_us;
};

/**
 * struct quota_link - asks of one group
 * @rank: owner to ask: 0 the first of the data centre, 1 the second, 2 this
 *	node
 * @rank_until_us: time from which on the first owner is tried again
 * @asked_us: time of the last ask
 * @contributed_us: time up to which this node has contributed
 */
struct quota_link {
	struct quota_sent sent[QUOTA_ASKS_MAX];
	uint32_t rank;
	int64_t rank_until_us;
	int64_t asked_us;
	int64_t contributed_us;
};

/**
 * struct quota_client - see DOC
 * @members: number of nodes known of late
 * @members_us: time since which no more than @members were seen
 * @contributes_us: time from which on this node contributes; it has just
 *	started and may not know all nodes before
 * @awaits_record: the recorded number of nodes was not read yet
 * @ended: requests that no longer wait; the owner of the client empties the
 *	list
 */
struct quota_client {
	struct random random;
	struct quota_account *accounts;
	struct quota_account *active;
	struct quota_link links[QUOTA_GROUPS];
	uint32_t sequence;
	uint32_t members;
	int64_t members_us;
	int64_t started_us;
	int64_t contributes_us;
	bool awaits_record;
	struct quota_request *ended;
};

void quota_client_init(struct quota_client *client, uint64_t seed,
		       int64_t now_us);

/** quota_client_finish() - forgets all requests, which the caller owns. */
void quota_client_finish(struct quota_client *client);

/** quota_client_set_limits() - replaces the limits; requests that wait for a
 *	tenant without a limit end as granted */
void quota_client_set_limits(struct quota_client *client,
			     const struct quota_limit *limits, uint32_t count,
			     int64_t now_us);

/** quota_client_await_record() - while @awaits, a node that has just started
 *	and knows no other does not contribute, unless that lasts for seconds */
void quota_client_await_record(struct quota_client *client, bool awaits);

/** quota_client_set_members() - @members: number of nodes known, at least 1. */
void quota_client_set_members(struct quota_client *client, uint32_t members,
			      int64_t now_us);

/**
 * quota_client_take() - asks for a token for a request
 * @request: owned by the caller; must stay valid while it waits
 * @wait_us: longest wait; twice as long while this node starts
 */
enum quota_result quota_client_take(struct quota_client *client,
				    uint64_t tenant,
				    struct quota_request *request,
				    int64_t wait_us, int64_t now_us);

/** quota_client_cancel() - ends the wait of a request, if it waits. */
void quota_client_cancel(struct quota_client *client,
			 struct quota_request *request);

/** quota_client_give_back() - the request of a token has not run. */
void quota_client_give_back(struct quota_client *client, uint64_t tenant);

/** quota_client_ask() - fills in the next ask of a group; false if none is
 *	due */
bool quota_client_ask(struct quota_client *client, uint32_t group,
		      int64_t now_us, struct quota_ask *ask);

/** quota_client_granted() - handles the answer to an ask. */
void quota_client_granted(struct quota_client *client,
			  const struct quota_grant *grant, int64_t now_us);

/** quota_client_expire() - ends waits and asks whose time has passed. */
void quota_client_expire(struct quota_client *client, int64_t now_us);

/** quota_client_next_us() - returns when quota_client_expire() and
 *	quota_client_ask() are due */
int64_t quota_client_next_us(const struct quota_client *client, int64_t now_us);

/** quota_client_find() - returns a tenant with a limit, or NULL. */
struct quota_account *quota_client_find(const struct quota_client *client,
					uint64_t tenant);

/** quota_account_used_per_s() - returns the requests of late in a second. */
double quota_account_used_per_s(const struct quota_account *account,
				int64_t now_us);

#endif
