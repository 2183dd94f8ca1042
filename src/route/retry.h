#ifndef ROUTE_RETRY_H
#define ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/verdict.h"

/**
 * DOC: retry
 *
 * Whether a failed attempt may be tried again. Retries spend a budget that
 * first tries fill, so that a failing service gets a bounded multiple of its
 * load, and carry the attempts left down the chain, so that fifteen hops do
 * not multiply each other. Decision core.
 */

/**
 * struct retry_budget - tokens; a first try adds a share of one
 * @tokens: retries that may be made now
 * @share: of a token that each first try adds, 0 to 1
 * @tokens_max: bound on @tokens, so that quiet hours do not save up a storm
 */
struct retry_budget {
	double tokens;
	double share;
	double tokens_max;
};

/** retry_budget_init() - a budget that starts full. */
void retry_budget_init(struct retry_budget *budget, double share,
		       double tokens_max);

/**
 * retry_budget_set() - another profile is in force
 * @share: 0 also takes the tokens that are left; else they stay
 * @tokens_max: tokens above it are lost
 */
void retry_budget_set(struct retry_budget *budget, double share,
		      double tokens_max);

/** retry_budget_deposit() - count a first try. */
void retry_budget_deposit(struct retry_budget *budget);

/**
 * struct retry_request - an attempt that failed
 * @verdict: on the request so far, all attempts joined
 * @repeatable: whether a request that may have run may be sent again
 * @attempts_left: after this attempt; retry_chain.left
 */
struct retry_request {
	enum verdict verdict;
	bool repeatable;
	uint32_t attempts_left;
	int64_t deadline_us;
	int64_t now_us;
};

/** enum retry_decision - what to do, and why not. */
enum retry_decision {
	RETRY_AGAIN,
	RETRY_NOT_REPEATABLE,
	RETRY_NO_ATTEMPTS,
	RETRY_NO_TIME,
	RETRY_NO_BUDGET,
};

/** retry_decide() - spends a token if the answer is RETRY_AGAIN. */
enum retry_decision retry_decide(struct retry_budget *budget,
				 const struct retry_request *request);

/** retry_decision_name() - the stable name, for answers and logs. */
const char *retry_decision_name(enum retry_decision decision);

/**
 * struct retry_chain - tries that one request may still cause down its chain
 * @remaining_attempts: at the far end of the chain, all hops together
 *
 * Fifteen hops that each try three times would run the last one 3^15 times.
 * So every attempt takes along a part of what is left, for itself and for
 * all hops below it, and the parts never add up to more than the whole: the
 * last hop sees at most as many tries as the head was allowed, whatever
 * fails and whatever answers are lost.
 */
struct retry_chain {
	uint32_t remaining_attempts;
};

/**
 * retry_chain_init() - before the first try of a request
 * @attempts_max: of its kind, the first try included
 * @carried: what the attempt that this request serves took along; 0 if it
 *	serves none and is the head of a chain
 */
void retry_chain_init(struct retry_chain *chain, int64_t attempts_max,
		      uint32_t carried);

/**
 * retry_chain_take() - what the next attempt takes along
 *
 * All but one, which is kept for a retry from here: a retry close to the
 * failure repeats fewer hops than one from the head.
 *
 * Return: to be sent with the attempt; at least 1 while @remaining_attempts is
 * not 0.
 */
uint32_t retry_chain_take(struct retry_chain *chain);

/**
 * retry_chain_return() - an attempt has ended and left some unspent
 * @unspent: all that it took but one after a refusal, which has run nothing;
 *	what the answer says; 0 without an answer
 */
void retry_chain_return(struct retry_chain *chain, uint32_t unspent);

#endif
