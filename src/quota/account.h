#ifndef QUOTA_ACCOUNT_H
#define QUOTA_ACCOUNT_H

#include "quota/client.h"

/**
 * DOC: quota account
 *
 * The tokens of one tenant at one node. Private to the client.
 */

/** quota_account_update_used() - counts @tokens used; 0 ages the average. */
void quota_account_update_used(struct quota_account *account, double tokens,
			       int64_t now_us);

/** quota_account_drop_expired() - drops the tokens that are not valid now. */
void quota_account_drop_expired(struct quota_account *account, int64_t now_us);

/** quota_account_use_token() - uses a token, the one that expires first; false
 *	if there is none */
bool quota_account_use_token(struct quota_account *account, int64_t now_us);

/** quota_account_ahead() - tokens to hold for requests that are to come. */
uint32_t quota_account_ahead(const struct quota_account *account);

/** quota_account_missing() - number of tokens that an ask is sent for. */
uint32_t quota_account_missing(const struct quota_account *account,
			       int64_t now_us);

/** quota_account_is_urgent() - true if an ask must be sent at once; what is
 *	asked ahead can wait until half of it is used */
bool quota_account_is_urgent(const struct quota_account *account,
			     int64_t now_us);

/** quota_account_give_up_tokens() - moves the tokens that will not be used in
 *	time to those given back */
void quota_account_give_up_tokens(struct quota_account *account,
				  int64_t now_us);

/** quota_account_is_idle() - true if nothing is left to ask or to give back. */
bool quota_account_is_idle(const struct quota_account *account);

/** quota_account_add_lot() - adds tokens that expire together. */
void quota_account_add_lot(struct quota_account *account, uint32_t tokens,
			   int64_t expires_us);

#endif
