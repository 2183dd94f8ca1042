#include "quota/owner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "os/clock.h"

enum {
	DEMAND_US = 1000 * 1000,
	/* Least time between two wants for a tenant. */
	WANT_INTERVAL_US = 20 * 1000,
	/* Time without tokens of other owners after which they count as empty,
	 * and for how long. */
	WANT_TIMEOUT_US = 120 * 1000,
	EMPTY_US = 500 * 1000,
	MOVE_DEFAULT_US = 10 * 1000,
	/* Least time until a node asks again, while other owners may have
	 * tokens and while they have none. */
	DUE_MIN_MS = 5,
	DUE_MIN_EMPTY_MS = 25,
	/* The node that asks has another version, with another tenant. */
	UNKNOWN_DUE_MS = 400,
	/* An owner keeps what its own nodes use in this time. */
	KEEP_MS = 100,
	/* An owner with fewer tokens asks other owners. */
	KEEP_TOKENS = 2,
	SENDER_EXPIRY_US = 10 * 1000 * 1000,
	/* Nodes ask again within this time, so older asks no longer count. */
	QUEUED_US = 200 * 1000,
	/* An owner that had too few tokens so recently gives none away. */
	SHORT_US = 100 * 1000,
	/* The largest number of nodes that an ask named counts so long. */
	HEARD_US = 5000 * 1000,
};

static const double want_max_s = 0.3;

static void update_share(struct quota_owner *owner, double seconds,
			 int64_t now_us)
{
	quota_share_add(&owner->share, seconds, now_us);
}

/* Brings a tenant up to date. */
static void refill(const struct quota_owner *owner, struct quota_pool *pool,
		   int64_t now_us)
{
	double elapsed_s = (double)(now_us - pool->at_us) / US_PER_S;

	quota_bucket_refill(&pool->bucket, &owner->share, now_us);
	if (elapsed_s <= 0)
		return;
	pool->queued *= exp(-elapsed_s * US_PER_S / QUEUED_US);
	pool->demand_per_s *= exp(-elapsed_s * US_PER_S / DEMAND_US);
	pool->at_us = now_us;
}

static struct quota_pool *find(const struct quota_owner *owner, uint64_t tenant)
{
	struct quota_pool *pool;

	HASH_FIND(hh, owner->pools, &tenant, sizeof(tenant), pool);
	return pool;
}

static void add_pool(struct quota_owner *owner, const struct quota_limit *limit,
		     int64_t now_us)
{
	struct quota_pool *pool = calloc(1, sizeof(*pool));

	if (!pool)
		abort();
	pool->tenant = limit->tenant;
	pool->at_us = now_us;
	pool->in_force = true;
	quota_bucket_init(&pool->bucket, limit, &owner->share, now_us);
	HASH_ADD(hh, owner->pools, tenant, sizeof(pool->tenant), pool);
}

void quota_owner_init(struct quota_owner *owner, int64_t now_us)
{
	memset(owner, 0, sizeof(*owner));
	owner->members = 1;
	owner->nearby = 1;
	owner->move_us = MOVE_DEFAULT_US;
	owner->share.at_us = now_us;
	owner->expired_us = now_us;
}

static void drop_pools(struct quota_owner *owner, bool all)
{
	struct quota_pool *dropped = NULL;
	struct quota_pool *pool;
	struct quota_pool *next;

	HASH_ITER(hh, owner->pools, pool, next) {
		if (pool->in_force && !all)
			continue;
		HASH_DEL(owner->pools, pool);
		LL_PREPEND(dropped, pool);
	}
	LL_FOREACH_SAFE(dropped, pool, next)
		free(pool);
}

static void drop_senders(struct quota_sender **senders, int64_t before_us)
{
	struct quota_sender *dropped = NULL;
	struct quota_sender *sender;
	struct quota_sender *next;

	HASH_ITER(hh, *senders, sender, next) {
		if (sender->seen_us >= before_us)
			continue;
		HASH_DEL(*senders, sender);
		LL_PREPEND(dropped, sender);
	}
	LL_FOREACH_SAFE(dropped, sender, next)
		free(sender);
}

void quota_owner_finish(struct quota_owner *owner)
{
	drop_pools(owner, true);
	drop_senders(&owner->senders, INT64_MAX);
	drop_senders(&owner->givers, INT64_MAX);
}

void quota_owner_set_limits(struct quota_owner *owner,
			    const struct quota_limit *limits, uint32_t count,
			    int64_t now_us)
{
	struct quota_pool *pool;
	uint32_t i;

	for (pool = owner->pools; pool; pool = pool->hh.next)
		pool->in_force = false;
	for (i = 0; i < count; i++) {
		pool = find(owner, limits[i].tenant);
		if (!pool) {
			add_pool(owner, &limits[i], now_us);
			continue;
		}
		refill(owner, pool, now_us);
		quota_bucket_set_limit(&pool->bucket, &limits[i],
				       &owner->share);
		pool->in_force = true;
	}
	drop_pools(owner, false);
}

void quota_owner_set_members(struct quota_owner *owner, uint32_t members,
			     uint32_t nearby, bool has_others)
{
	owner->members = members;
	owner->nearby = nearby;
	owner->has_others = has_others;
}

/* Returns false for a message that was handled before. */
static bool note_sender(struct quota_sender **senders, uint64_t id,
			uint32_t sequence, int64_t now_us)
{
	struct quota_sender *sender;

	HASH_FIND(hh, *senders, &id, sizeof(id), sender);
	if (sender && sequence <= sender->sequence)
		return false;
	if (!sender) {
		sender = calloc(1, sizeof(*sender));
		if (!sender)
			abort();
		sender->id = id;
		HASH_ADD(hh, *senders, id, sizeof(id), sender);
	}
	sender->sequence = sequence;
	sender->seen_us = now_us;
	return true;
}

/* A node was paused for @elapsed_ms: what tenants lacked meanwhile is made up
 * for, beyond the time that counts in any case. The part of the nodes that were
 * paused has decayed, so that of the data centre counts. */
static void add_late(struct quota_owner *owner, uint32_t elapsed_ms,
		     uint32_t members, int64_t now_us)
{
	double late_s = (double)(elapsed_ms - QUOTA_PAUSE_MAX_MS) / MS_PER_S;
	int64_t since_us = now_us - elapsed_ms * (int64_t)US_PER_MS;
	struct quota_share share = owner->share;
	struct quota_pool *pool;

	share.part = fmax(share.part, (double)owner->nearby / members);
	for (pool = owner->pools; pool; pool = pool->hh.next) {
		refill(owner, pool, now_us);
		quota_bucket_add_late(&pool->bucket, &share,
				      pool->bucket.per_s * late_s / members,
				      since_us);
	}
}

/* Of nodes that disagree, the one that knows more members is right: the other
 * one has just started. */
static void contribute(struct quota_owner *owner, const struct quota_ask *ask,
		       int64_t now_us)
{
	uint32_t elapsed_ms = ask->elapsed_ms;
	uint32_t members;

	if (ask->members >= owner->heard_members ||
	    now_us - owner->heard_us >= HEARD_US) {
		owner->heard_members = ask->members;
		owner->heard_us = now_us;
	}
	members = owner->heard_members > owner->members ? owner->heard_members
							: owner->members;
	if (elapsed_ms > QUOTA_ELAPSED_MAX_MS)
		elapsed_ms = QUOTA_ELAPSED_MAX_MS;
	if (elapsed_ms > QUOTA_START_MAX_MS) {
		add_late(owner, elapsed_ms, members, now_us);
		elapsed_ms = QUOTA_PAUSE_MAX_MS;
	}
	update_share(owner, (double)elapsed_ms / MS_PER_S / members, now_us);
}

static bool is_short(const struct quota_pool *pool, int64_t now_us)
{
	return pool->short_us && now_us - pool->short_us < SHORT_US;
}

/* While there are too few tokens, no node gets more than half of them. */
static uint32_t fair_part(const struct quota_pool *pool, uint32_t wanted,
			  int64_t now_us)
{
	double half = ceil(pool->bucket.tokens / 2);

	if (!is_short(pool, now_us) || wanted <= half)
		return wanted;
	return half > 1 ? (uint32_t)half : 1;
}

static void expect_more(const struct quota_owner *owner,
			struct quota_pool *pool, uint32_t missing,
			int64_t now_us)
{
	pool->queued += missing;
	pool->short_us = now_us;
	if (owner->has_others)
		pool->wanted =
			fmin(pool->queued, 1 + pool->bucket.per_s * want_max_s);
}

/* Asks other owners before a request must wait. */
static void keep_some(const struct quota_owner *owner, struct quota_pool *pool)
{
	double lacking = KEEP_TOKENS - pool->bucket.tokens;

	if (owner->has_others && lacking > pool->wanted)
		pool->wanted = lacking;
}

/* Returns the tokens that come in a second. An owner that has just become one
 * expects the contributions of the whole data centre. */
static double expected_rate(const struct quota_owner *owner,
			    const struct quota_pool *pool)
{
	double part = (double)owner->nearby / owner->members;

	return pool->bucket.per_s * fmax(owner->share.part, part);
}

static uint32_t due_ms(const struct quota_owner *owner,
		       const struct quota_pool *pool, int64_t now_us)
{
	double rate = expected_rate(owner, pool);
	double lacking = pool->queued - pool->bucket.tokens;
	double ms = rate > 0 ? lacking * MS_PER_S / rate : QUOTA_DUE_MAX_MS;
	double move_ms = 1.5 * (double)owner->move_us / US_PER_MS;

	ms = fmin(ceil(ms), QUOTA_DUE_MAX_MS);
	if (!owner->has_others || now_us < pool->empty_until_us)
		return (uint32_t)fmax(ms, DUE_MIN_EMPTY_MS);
	return (uint32_t)fmax(fmin(ms, move_ms), DUE_MIN_MS);
}

static void judge_others(struct quota_pool *pool, int64_t now_us)
{
	if (!pool->wanted_us || pool->received ||
	    now_us - pool->wanted_us < WANT_TIMEOUT_US)
		return;
	pool->empty_until_us = now_us + EMPTY_US;
	pool->wanted_us = 0;
}

static void grant_item(const struct quota_owner *owner,
		       const struct quota_ask_item *item, int64_t now_us,
		       struct quota_grant_item *grant)
{
	struct quota_pool *pool = find(owner, item->tenant);

	grant->tenant = item->tenant;
	grant->granted = 0;
	grant->due_ms = item->wanted ? UNKNOWN_DUE_MS : 0;
	if (!pool)
		return;
	refill(owner, pool, now_us);
	quota_bucket_add(&pool->bucket, &owner->share, item->returned);
	grant->due_ms = 0;
	if (!item->wanted)
		return;
	judge_others(pool, now_us);
	grant->granted = quota_bucket_take(
		&pool->bucket, fair_part(pool, item->wanted, now_us));
	pool->demand_per_s += (double)grant->granted * US_PER_S / DEMAND_US;
	if (grant->granted < item->wanted) {
		expect_more(owner, pool, item->wanted - grant->granted, now_us);
		grant->due_ms = due_ms(owner, pool, now_us);
	}
	keep_some(owner, pool);
}

bool quota_owner_ask(struct quota_owner *owner, uint64_t sender,
		     const struct quota_ask *ask, int64_t now_us,
		     struct quota_grant *grant)
{
	uint32_t i;

	if (now_us - owner->expired_us >= SENDER_EXPIRY_US) {
		drop_senders(&owner->senders, now_us - SENDER_EXPIRY_US);
		drop_senders(&owner->givers, now_us - SENDER_EXPIRY_US);
		owner->expired_us = now_us;
	}
	if (!note_sender(&owner->senders, sender, ask->sequence, now_us))
		return false;
	contribute(owner, ask, now_us);
	grant->group = ask->group;
	grant->sequence = ask->sequence;
	grant->count = ask->count;
	for (i = 0; i < ask->count; i++)
		grant_item(owner, &ask->items[i], now_us, &grant->items[i]);
	return true;
}

static uint32_t to_millis(double tokens)
{
	return (uint32_t)fmin(tokens * QUOTA_MILLIS, QUOTA_MILLIS_MAX);
}

static void add_move(struct quota_move *move, uint64_t tenant, double tokens,
		     double held)
{
	struct quota_move_item *item = &move->items[move->count];

	item->tenant = tenant;
	item->millis = to_millis(tokens);
	item->held_millis = to_millis(held);
	if (item->millis)
		move->count++;
}

bool quota_owner_wants(struct quota_owner *owner, int64_t now_us,
		       struct quota_move *want)
{
	struct quota_pool *pool;

	want->count = 0;
	for (pool = owner->pools; pool && want->count < QUOTA_ITEMS_MAX;
	     pool = pool->hh.next) {
		if (pool->wanted <= 0 || now_us < pool->empty_until_us ||
		    (pool->wanted_us &&
		     now_us - pool->wanted_us < WANT_INTERVAL_US))
			continue;
		add_move(want, pool->tenant, pool->wanted, pool->bucket.tokens);
		pool->wanted = 0;
		pool->wanted_us = now_us;
		pool->received = false;
	}
	return want->count > 0;
}

/* Returns what another owner gets of the tokens here: half of what the own
 * nodes will not use soon, or one token if another one is left. Of two owners
 * that are short, the one that has more gets the part of a token of the other
 * one; otherwise both could wait for the rest of a token. */
static double spare(const struct quota_pool *pool,
		    const struct quota_move_item *want, int64_t now_us)
{
	double tokens = pool->bucket.tokens;
	double held = (double)want->held_millis / QUOTA_MILLIS;
	double unused = tokens - pool->demand_per_s * KEEP_MS / MS_PER_S;
	double given = fmax(unused / 2, fmin(1, tokens - 1));

	if (is_short(pool, now_us))
		given = tokens < 1 && tokens < held ? tokens : 0;
	return fmax(0, fmin(given, (double)want->millis / QUOTA_MILLIS));
}

bool quota_owner_wanted(struct quota_owner *owner,
			const struct quota_move *want, int64_t now_us,
			struct quota_move *transfer)
{
	uint32_t i;

	transfer->group = want->group;
	transfer->count = 0;
	update_share(owner, 0, now_us);
	for (i = 0; i < want->count; i++) {
		struct quota_pool *pool = find(owner, want->items[i].tenant);
		double given;

		if (!pool)
			continue;
		refill(owner, pool, now_us);
		given = spare(pool, &want->items[i], now_us);
		add_move(transfer, pool->tenant, given, 0);
		pool->bucket.tokens -= given;
	}
	transfer->sequence = ++owner->sequence;
	return transfer->count > 0;
}

static void note_move(struct quota_owner *owner, struct quota_pool *pool,
		      int64_t now_us)
{
	if (pool->wanted_us && !pool->received)
		owner->move_us +=
			(now_us - pool->wanted_us - owner->move_us) / 8;
	pool->received = true;
	pool->empty_until_us = 0;
}

void quota_owner_receive(struct quota_owner *owner, uint64_t sender,
			 const struct quota_move *transfer, int64_t now_us)
{
	uint32_t i;

	if (!note_sender(&owner->givers, sender, transfer->sequence, now_us))
		return;
	update_share(owner, 0, now_us);
	for (i = 0; i < transfer->count; i++) {
		struct quota_pool *pool =
			find(owner, transfer->items[i].tenant);
		double tokens =
			(double)transfer->items[i].millis / QUOTA_MILLIS;

		if (!pool)
			continue;
		refill(owner, pool, now_us);
		pool->bucket.tokens += tokens;
		pool->queued = fmax(0, pool->queued - tokens);
		note_move(owner, pool, now_us);
	}
}

bool quota_owner_hand_over(struct quota_owner *owner, int64_t now_us,
			   struct quota_move *transfer)
{
	struct quota_pool *pool;

	transfer->count = 0;
	update_share(owner, 0, now_us);
	for (pool = owner->pools; pool && transfer->count < QUOTA_ITEMS_MAX;
	     pool = pool->hh.next) {
		refill(owner, pool, now_us);
		add_move(transfer, pool->tenant, pool->bucket.tokens, 0);
		pool->bucket.tokens = 0;
	}
	transfer->sequence = ++owner->sequence;
	return transfer->count > 0;
}

const struct quota_pool *quota_owner_find(struct quota_owner *owner,
					  uint64_t tenant, int64_t now_us)
{
	struct quota_pool *pool = find(owner, tenant);

	update_share(owner, 0, now_us);
	if (pool)
		refill(owner, pool, now_us);
	return pool;
}
