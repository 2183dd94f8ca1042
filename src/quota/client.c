#include "quota/client.h"

#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "os/clock.h"
#include "quota/account.h"

enum {
	/* While tokens are short, so many requests wait above what the node
	 * gets ahead; further ones are refused at once. */
	SHORT_WAITING = 2,
	/* Time for which a node that has just started learns of others. */
	START_US = 800 * 1000,
	START_QUIET_US = 300 * 1000,
	START_MAX_US = 3000 * 1000,
	/* A smaller number of members counts after this time. */
	FEWER_MEMBERS_US = 5000 * 1000,
	/* Longest time without an ask while tokens are short. */
	ASK_AGAIN_US = 120 * 1000,
	RANK_US = 1000 * 1000,
	RETRY_MIN_MS = 50,
};

static struct quota_account *find(const struct quota_client *client,
				  uint64_t tenant)
{
	struct quota_account *account;

	HASH_FIND(hh, client->accounts, &tenant, sizeof(tenant), account);
	return account;
}

static int64_t min_us(int64_t a_us, int64_t b_us)
{
	return a_us < b_us ? a_us : b_us;
}

void quota_client_init(struct quota_client *client, uint64_t seed,
		       int64_t now_us)
{
	uint32_t group;

	memset(client, 0, sizeof(*client));
	random_init(&client->random, seed);
	client->members = 1;
	client->members_us = now_us;
	client->started_us = now_us;
	client->contributes_us = now_us + START_US;
	for (group = 0; group < QUOTA_GROUPS; group++)
		client->links[group].asked_us =
			client->links[group].contributed_us = now_us;
}

static void end_wait(struct quota_client *client, struct quota_request *request,
		     enum quota_result result)
{
	struct quota_account *account = request->account;

	DL_DELETE(account->waiting, request);
	account->waiting_count--;
	request->result = result;
	DL_APPEND(client->ended, request);
}

static void set_active(struct quota_client *client,
		       struct quota_account *account, bool active)
{
	if (account->is_active == active)
		return;
	account->is_active = active;
	if (active)
		DL_APPEND(client->active, account);
	else
		DL_DELETE(client->active, account);
}

static void forget_asks(struct quota_client *client, uint64_t tenant)
{
	uint32_t group = quota_group(tenant);
	uint32_t i;
	uint32_t j;

	for (i = 0; i < QUOTA_ASKS_MAX; i++) {
		struct quota_ask *ask = &client->links[group].sent[i].ask;

		for (j = 0; j < ask->count; j++)
			if (ask->items[j].tenant == tenant)
				ask->items[j].wanted = 0;
	}
}

static void drop_account(struct quota_client *client,
			 struct quota_account *account)
{
	while (account->waiting)
		end_wait(client, account->waiting, QUOTA_GRANTED);
	forget_asks(client, account->tenant);
	set_active(client, account, false);
	HASH_DEL(client->accounts, account);
	free(account);
}

void quota_client_finish(struct quota_client *client)
{
	struct quota_account *account;
	struct quota_account *next;

	HASH_ITER(hh, client->accounts, account, next)
		drop_account(client, account);
	client->ended = NULL;
}

static void add_account(struct quota_client *client,
			const struct quota_limit *limit, int64_t now_us)
{
	struct quota_account *account = calloc(1, sizeof(*account));

	if (!account)
		abort();
	account->tenant = limit->tenant;
	account->per_s = limit->per_s;
	account->burst = limit->burst;
	account->used_us = now_us;
	account->in_force = true;
	HASH_ADD(hh, client->accounts, tenant, sizeof(account->tenant),
		 account);
}

/* Tokens of a higher limit are not used under a lower one. */
static void change_limit(struct quota_account *account,
			 const struct quota_limit *limit)
{
	if (limit->per_s < account->per_s || limit->burst < account->burst)
		memset(account->lots, 0, sizeof(account->lots));
	if (limit->per_s > account->per_s)
		account->ask_us = account->due_us = 0;
	account->per_s = limit->per_s;
	account->burst = limit->burst;
	account->in_force = true;
}

void quota_client_set_limits(struct quota_client *client,
			     const struct quota_limit *limits, uint32_t count,
			     int64_t now_us)
{
	struct quota_account *account;
	struct quota_account *next;
	uint32_t i;

	for (account = client->accounts; account; account = account->hh.next)
		account->in_force = false;
	for (i = 0; i < count; i++) {
		account = find(client, limits[i].tenant);
		if (account)
			change_limit(account, &limits[i]);
		else
			add_account(client, &limits[i], now_us);
	}
	HASH_ITER(hh, client->accounts, account, next)
		if (!account->in_force)
			drop_account(client, account);
}

void quota_client_await_record(struct quota_client *client, bool awaits)
{
	client->awaits_record = awaits;
}

void quota_client_set_members(struct quota_client *client, uint32_t members,
			      int64_t now_us)
{
	int64_t quiet_us = now_us + START_QUIET_US;

	bool is_alone = members == 1 && client->awaits_record;
	bool learns = members > client->members || is_alone;

	if (learns && now_us < client->contributes_us &&
	    client->contributes_us < quiet_us)
		client->contributes_us =
			min_us(quiet_us, client->started_us + START_MAX_US);
	if (members >= client->members)
		client->members_us = now_us;
	else if (now_us - client->members_us < FEWER_MEMBERS_US)
		return;
	client->members = members;
}

/* Returns true until this node, which has just started, has had the time to
 * contribute. */
static bool is_starting(const struct quota_client *client, int64_t now_us)
{
	return now_us < client->contributes_us + START_QUIET_US;
}

/* Callers that were refused together are told different times. */
static uint32_t retry_after_ms(struct quota_client *client,
			       const struct quota_account *account,
			       int64_t now_us)
{
	int64_t due_ms = (account->due_us - now_us) / US_PER_MS;

	if (due_ms < RETRY_MIN_MS)
		due_ms = RETRY_MIN_MS;
	return (uint32_t)(due_ms + random_jitter(&client->random, due_ms));
}

static enum quota_result refuse(struct quota_client *client,
				struct quota_account *account,
				struct quota_request *request, int64_t now_us)
{
	account->refused_count++;
	request->retry_after_ms = retry_after_ms(client, account, now_us);
	return QUOTA_REFUSED;
}

/* Returns how many requests of a tenant may wait. */
static uint32_t waiting_max(const struct quota_client *client,
			    const struct quota_account *account, int64_t now_us)
{
	if (account->due_us <= now_us || is_starting(client, now_us))
		return QUOTA_WAITING_MAX;
	return SHORT_WAITING + quota_account_ahead(account);
}

static bool may_wait(const struct quota_client *client,
		     const struct quota_account *account, int64_t until_us,
		     int64_t now_us)
{
	uint32_t most = waiting_max(client, account, now_us);

	return until_us > now_us && account->waiting_count < most &&
	       account->due_us < until_us;
}

enum quota_result quota_client_take(struct quota_client *client,
				    uint64_t tenant,
				    struct quota_request *request,
				    int64_t wait_us, int64_t now_us)
{
	struct quota_account *account = find(client, tenant);

	memset(request, 0, sizeof(*request));
	if (!account)
		return QUOTA_GRANTED;
	set_active(client, account, true);
	quota_account_update_used(account, 0, now_us);
	if (!account->waiting && quota_account_use_token(account, now_us))
		return QUOTA_GRANTED;
	if (is_starting(client, now_us))
		wait_us *= 2;
	if (!may_wait(client, account, now_us + wait_us, now_us))
		return refuse(client, account, request, now_us);
	request->result = QUOTA_WAITING;
	request->account = account;
	request->since_us = now_us;
	request->until_us = now_us + wait_us;
	DL_APPEND(account->waiting, request);
	account->waiting_count++;
	return QUOTA_WAITING;
}

void quota_client_cancel(struct quota_client *client,
			 struct quota_request *request)
{
	struct quota_account *account = request->account;

	if (!account)
		return;
	if (request->result == QUOTA_WAITING) {
		DL_DELETE(account->waiting, request);
		account->waiting_count--;
	} else {
		DL_DELETE(client->ended, request);
	}
	request->account = NULL;
}

void quota_client_give_back(struct quota_client *client, uint64_t tenant)
{
	struct quota_account *account = find(client, tenant);

	if (!account || account->returned >= QUOTA_WANTED_MAX)
		return;
	account->returned++;
	set_active(client, account, true);
}

static void add_item(struct quota_account *account, struct quota_ask *ask,
		     int64_t now_us)
{
	struct quota_ask_item *item = &ask->items[ask->count];

	quota_account_update_used(account, 0, now_us);
	quota_account_give_up_tokens(account, now_us);
	item->tenant = account->tenant;
	item->wanted = quota_account_missing(account, now_us);
	item->returned = account->returned;
	if (!item->wanted && !item->returned)
		return;
	account->asked += item->wanted;
	account->returned = 0;
	ask->count++;
}

static bool any_urgent(const struct quota_client *client, uint32_t group,
		       int64_t now_us)
{
	const struct quota_account *account;

	DL_FOREACH(client->active, account)
		if (quota_group(account->tenant) == group &&
		    quota_account_is_urgent(account, now_us))
			return true;
	return false;
}

static struct quota_sent *free_slot(struct quota_link *link)
{
	uint32_t i;

	for (i = 0; i < QUOTA_ASKS_MAX; i++)
		if (!link->sent[i].ask.sequence)
			return &link->sent[i];
	return NULL;
}

/* Takes the time of this node that was not contributed yet. The first
 * contribution holds the time since the start, in which the node waited to learn
 * of others. After a long pause the owner decides what of it still counts. */
static uint32_t take_elapsed_ms(const struct quota_client *client,
				struct quota_link *link, int64_t now_us)
{
	int64_t most_ms = QUOTA_PAUSE_MAX_MS;
	int64_t elapsed_ms = (now_us - link->contributed_us) / US_PER_MS;

	if (now_us < client->contributes_us || elapsed_ms <= 0)
		return 0;
	if (link->contributed_us == client->started_us)
		most_ms = QUOTA_START_MAX_MS;
	else if (elapsed_ms > QUOTA_START_MAX_MS)
		most_ms = QUOTA_ELAPSED_MAX_MS;
	link->contributed_us += elapsed_ms * US_PER_MS;
	return (uint32_t)min_us(elapsed_ms, most_ms);
}

bool quota_client_ask(struct quota_client *client, uint32_t group,
		      int64_t now_us, struct quota_ask *ask)
{
	struct quota_link *link = &client->links[group];
	struct quota_sent *sent = free_slot(link);
	struct quota_account *account;
	struct quota_account *next;

	if (!client->accounts || !sent)
		return false;
	if (now_us - link->asked_us < QUOTA_HEARTBEAT_US &&
	    !any_urgent(client, group, now_us))
		return false;
	memset(ask, 0, sizeof(*ask));
	ask->group = group;
	ask->sequence = ++client->sequence;
	ask->elapsed_ms = take_elapsed_ms(client, link, now_us);
	ask->members = client->members;
	DL_FOREACH_SAFE(client->active, account, next) {
		if (quota_group(account->tenant) != group)
			continue;
		if (ask->count < QUOTA_ITEMS_MAX)
			add_item(account, ask, now_us);
		if (quota_account_is_idle(account))
			set_active(client, account, false);
	}
	link->asked_us = now_us;
	sent->ask = *ask;
	sent->sent_us = now_us;
	return true;
}

static void serve_waiting(struct quota_client *client,
			  struct quota_account *account, int64_t now_us)
{
	while (account->waiting && quota_account_use_token(account, now_us))
		end_wait(client, account->waiting, QUOTA_GRANTED);
}

static void refuse_waiting(struct quota_client *client,
			   struct quota_account *account,
			   struct quota_request *request, int64_t now_us)
{
	refuse(client, account, request, now_us);
	end_wait(client, request, QUOTA_REFUSED);
}

/* Refuses the requests that cannot wait until a token is due, and the youngest
 * ones if too many wait. */
static void refuse_late(struct quota_client *client,
			struct quota_account *account, int64_t now_us)
{
	uint32_t most = waiting_max(client, account, now_us);
	struct quota_request *request;
	struct quota_request *next;
	uint32_t kept = 0;

	if (account->due_us <= now_us)
		return;
	DL_FOREACH_SAFE(account->waiting, request, next) {
		if (request->until_us > account->due_us && kept < most)
			kept++;
		else
			refuse_waiting(client, account, request, now_us);
	}
}

/* Owners that start with this node have no tokens yet, and estimate too long a
 * time: requests then wait as long as they can. */
static void set_due(const struct quota_client *client,
		    struct quota_account *account, int64_t due_us,
		    int64_t now_us)
{
	bool is_known = due_us && !is_starting(client, now_us);

	account->due_us = is_known ? now_us + due_us : 0;
	account->ask_us = due_us ? now_us + min_us(due_us, ASK_AGAIN_US) : 0;
}

static void granted_item(struct quota_client *client,
			 const struct quota_sent *sent,
			 const struct quota_grant_item *item, int64_t now_us)
{
	struct quota_account *account = find(client, item->tenant);

	if (!account)
		return;
	quota_account_drop_expired(account, now_us);
	if (item->granted)
		quota_account_add_lot(account, item->granted,
				      sent->sent_us + QUOTA_VALID_US);
	set_due(client, account, (int64_t)item->due_ms * US_PER_MS, now_us);
	serve_waiting(client, account, now_us);
	refuse_late(client, account, now_us);
}

/* Ends an ask: what it asked for is no longer expected. */
static void end_ask(struct quota_client *client, struct quota_sent *sent)
{
	uint32_t i;

	for (i = 0; i < sent->ask.count; i++) {
		const struct quota_ask_item *item = &sent->ask.items[i];
		struct quota_account *account = find(client, item->tenant);

		if (account)
			account->asked -= item->wanted;
	}
	sent->ask.sequence = 0;
	sent->ask.count = 0;
}

/* Returns what was asked for a tenant; NULL if nothing. */
static const struct quota_ask_item *asked_for(const struct quota_ask *ask,
					      uint64_t tenant)
{
	uint32_t i;

	for (i = 0; i < ask->count; i++)
		if (ask->items[i].tenant == tenant)
			return &ask->items[i];
	return NULL;
}

void quota_client_granted(struct quota_client *client,
			  const struct quota_grant *grant, int64_t now_us)
{
	struct quota_link *link = &client->links[grant->group];
	struct quota_sent sent;
	uint32_t i;

	for (i = 0; i < QUOTA_ASKS_MAX; i++)
		if (grant->sequence &&
		    link->sent[i].ask.sequence == grant->sequence)
			break;
	if (i == QUOTA_ASKS_MAX)
		return;
	sent = link->sent[i];
	end_ask(client, &link->sent[i]);
	for (i = 0; i < grant->count; i++) {
		const struct quota_ask_item *item =
			asked_for(&sent.ask, grant->items[i].tenant);

		if (item && item->wanted >= grant->items[i].granted &&
		    item->wanted)
			granted_item(client, &sent, &grant->items[i], now_us);
	}
}

static void try_next_owner(struct quota_link *link, uint32_t rank,
			   int64_t now_us)
{
	if (link->rank != rank)
		return;
	if (link->rank + 1 < QUOTA_RANKS)
		link->rank++;
	link->rank_until_us = now_us + RANK_US;
}

static void expire_asks(struct quota_client *client, struct quota_link *link,
			int64_t now_us)
{
	uint32_t rank = link->rank;
	uint32_t i;

	if (rank && now_us >= link->rank_until_us)
		link->rank = 0;
	for (i = 0; i < QUOTA_ASKS_MAX; i++) {
		struct quota_sent *sent = &link->sent[i];

		if (!sent->ask.sequence ||
		    now_us - sent->sent_us < QUOTA_ASK_TIMEOUT_US)
			continue;
		end_ask(client, sent);
		try_next_owner(link, rank, now_us);
	}
}

void quota_client_expire(struct quota_client *client, int64_t now_us)
{
	struct quota_account *account;
	struct quota_request *request;
	struct quota_request *next;
	uint32_t group;

	for (group = 0; group < QUOTA_GROUPS; group++)
		expire_asks(client, &client->links[group], now_us);
	DL_FOREACH(client->active, account)
		DL_FOREACH_SAFE(account->waiting, request, next)
			if (request->until_us <= now_us)
				refuse_waiting(client, account, request,
					       now_us);
}

static int64_t link_next_us(const struct quota_link *link)
{
	int64_t next_us = link->asked_us + QUOTA_HEARTBEAT_US;
	uint32_t i;

	for (i = 0; i < QUOTA_ASKS_MAX; i++)
		if (link->sent[i].ask.sequence)
			next_us = min_us(next_us, link->sent[i].sent_us +
							  QUOTA_ASK_TIMEOUT_US);
	return next_us;
}

static int64_t account_next_us(const struct quota_account *account,
			       int64_t now_us)
{
	const struct quota_request *request;
	int64_t next_us = INT64_MAX;

	DL_FOREACH(account->waiting, request)
		next_us = min_us(next_us, request->until_us);
	if (account->waiting && account->ask_us > now_us)
		next_us = min_us(next_us, account->ask_us);
	return next_us;
}

int64_t quota_client_next_us(const struct quota_client *client, int64_t now_us)
{
	const struct quota_account *account;
	int64_t next_us = INT64_MAX;
	uint32_t group;

	if (!client->accounts)
		return INT64_MAX;
	for (group = 0; group < QUOTA_GROUPS; group++)
		next_us = min_us(next_us, link_next_us(&client->links[group]));
	DL_FOREACH(client->active, account)
		next_us = min_us(next_us, account_next_us(account, now_us));
	return next_us;
}

struct quota_account *quota_client_find(const struct quota_client *client,
					uint64_t tenant)
{
	return find(client, tenant);
}
