#include "quota/account.h"

#include <math.h>

#include "os/clock.h"

enum {
	USED_US = 1000 * 1000,
	/* A node asks ahead for what it uses in this time. */
	AHEAD_MS = 300,
	/* Tokens that expire before the next heartbeat are given back. */
	GIVE_BACK_US = QUOTA_HEARTBEAT_US + 50 * 1000,
};

/* A tenant that used less than this is not asked for ahead, nor kept in the
 * list of active ones. */
static const double idle_per_s = 0.1;
static const double ahead_rounding = 0.2;

void quota_account_update_used(struct quota_account *account, double tokens,
			       int64_t now_us)
{
	int64_t elapsed_us = now_us - account->used_us;

	if (elapsed_us > 0)
		account->used_per_s *= exp(-(double)elapsed_us / USED_US);
	account->used_per_s += tokens * US_PER_S / USED_US;
	account->used_us = now_us;
}

void quota_account_drop_expired(struct quota_account *account, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < QUOTA_LOTS; i++)
		if (now_us >= account->lots[i].expires_us)
			account->lots[i].tokens = 0;
}

bool quota_account_use_token(struct quota_account *account, int64_t now_us)
{
	struct quota_lot *first = NULL;
	uint32_t i;

	quota_account_drop_expired(account, now_us);
	for (i = 0; i < QUOTA_LOTS; i++) {
		struct quota_lot *lot = &account->lots[i];

		if (lot->tokens &&
		    (!first || lot->expires_us < first->expires_us))
			first = lot;
	}
	if (!first)
		return false;
	first->tokens--;
	account->granted_count++;
	quota_account_update_used(account, 1, now_us);
	return true;
}

static uint32_t count_tokens(const struct quota_account *account)
{
	uint32_t tokens = 0;
	uint32_t i;

	for (i = 0; i < QUOTA_LOTS; i++)
		tokens += account->lots[i].tokens;
	return tokens;
}

uint32_t quota_account_ahead(const struct quota_account *account)
{
	return (uint32_t)(account->used_per_s * AHEAD_MS / MS_PER_S +
			  ahead_rounding);
}

uint32_t quota_account_missing(const struct quota_account *account,
			       int64_t now_us)
{
	uint32_t needed = account->waiting_count + quota_account_ahead(account);
	uint32_t held = count_tokens(account) + account->asked;

	if (now_us < account->ask_us || needed <= held)
		return 0;
	return needed - held;
}

bool quota_account_is_urgent(const struct quota_account *account,
			     int64_t now_us)
{
	uint32_t lacking = quota_account_missing(account, now_us);

	if (!lacking)
		return false;
	return account->waiting_count > account->asked ||
	       2 * lacking > quota_account_ahead(account);
}

void quota_account_give_up_tokens(struct quota_account *account, int64_t now_us)
{
	uint32_t keep = account->waiting_count + quota_account_ahead(account);
	uint32_t i;

	quota_account_drop_expired(account, now_us);
	for (i = 0; i < QUOTA_LOTS; i++) {
		struct quota_lot *lot = &account->lots[i];

		if (lot->expires_us - now_us < GIVE_BACK_US)
			keep = 0;
		else
			continue;
		account->returned += lot->tokens;
		lot->tokens = 0;
	}
	if (!keep)
		return;
	for (i = 0; i < QUOTA_LOTS && count_tokens(account) > keep; i++) {
		struct quota_lot *lot = &account->lots[i];
		uint32_t extra = count_tokens(account) - keep;

		extra = extra < lot->tokens ? extra : lot->tokens;
		lot->tokens -= extra;
		account->returned += extra;
	}
}

bool quota_account_is_idle(const struct quota_account *account)
{
	return !account->waiting && !account->returned && !account->asked &&
	       !count_tokens(account) && account->used_per_s < idle_per_s;
}

void quota_account_add_lot(struct quota_account *account, uint32_t tokens,
			   int64_t expires_us)
{
	struct quota_lot *lot = &account->lots[0];

	if (lot->tokens && (!account->lots[1].tokens ||
			    account->lots[1].expires_us > lot->expires_us))
		lot = &account->lots[1];
	if (!lot->tokens || expires_us < lot->expires_us)
		lot->expires_us = expires_us;
	lot->tokens += tokens;
}

double quota_account_used_per_s(const struct quota_account *account,
				int64_t now_us)
{
	struct quota_account copy = *account;

	quota_account_update_used(&copy, 0, now_us);
	return copy.used_per_s;
}
