#ifndef ROUTE_RETRY_H
#define ROUTE_RETRY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "base/verdict.h"

/**
 * DOC: retry
 *
 * Decides whether a failed attempt may be retried. Two bounds apply. A token
 * bucket for each called service is filled by first attempts and emptied by
 * retries, which limits the extra load on a failing service. A budget of
 * attempts for each request is passed down the chain of calls, so that retries
 * at different hops do not multiply. Does no I/O and reads no clock.
 *
 * A budget can be shared by many nodes. It then holds no tokens: a retry is
 * allowed by a chance that follows from what all these nodes counted, and the
 * budget counts what this node does.
 */

/**
 * struct retry_use - what a node counted of a shared budget
 * @firsts: first attempts that add to the budget
 * @wanted: retries that only the budget could forbid
 * @taken: retries that it allowed
 */
struct retry_use {
	uint32_t firsts;
	uint32_t wanted;
	uint32_t taken;
};

/**
 * struct retry_budget - token bucket that limits the retries to a service
 * @tokens: number of retries that may be made now; a retry needs a whole token
 * @share: tokens added by each first attempt, 0 to 1
 * @tokens_max: upper bound on @tokens; limits the burst of retries that can
 *	follow a long time without failures
 * @is_shared: the budget is shared by many nodes; @tokens does not count
 * @chance: shared budget: probability with which a retry is allowed
 * @random: shared budget: source of the random choices
 * @use: shared budget: counts since they were last read
 */
struct retry_budget {
	double tokens;
	double share;
	double tokens_max;
	bool is_shared;
	double chance;
	struct random random;
	struct retry_use use;
};

/** retry_budget_init() - initializes a budget with @tokens_max tokens. */
void retry_budget_init(struct retry_budget *budget, double share,
		       double tokens_max);

/**
 * retry_budget_set() - applies the limits of another profile
 * @share: tokens added by each first attempt; 0 also removes the tokens that
 *	the budget holds
 * @tokens_max: new upper bound; tokens above it are removed
 */
void retry_budget_set(struct retry_budget *budget, double share,
		      double tokens_max);

/** retry_budget_make_shared() - see struct retry_budget; allows all retries
 *	until @chance is set */
void retry_budget_make_shared(struct retry_budget *budget, uint64_t seed);

/** retry_budget_take() - takes a token; returns false if there is none. */
bool retry_budget_take(struct retry_budget *budget);

/** retry_budget_is_open() - returns true if a retry would probably be allowed. */
bool retry_budget_is_open(const struct retry_budget *budget);

/** retry_budget_available() - returns the tokens; of a shared budget 1 if it is
 *	open, else 0. */
double retry_budget_available(const struct retry_budget *budget);

/** retry_budget_deposit() - adds the tokens that a first attempt earns. */
void retry_budget_deposit(struct retry_budget *budget);

/**
 * struct retry_request - a failed attempt, as retry_decide() sees it
 * @verdict: combined verdict of all attempts of the request so far
 * @repeatable: whether the request is idempotent and may be sent again although
 *	it may have run
 * @attempts_left: number of attempts left after the failed attempt, from
 *	retry_chain.remaining_attempts
 * @deadline_us: time from which no retry is made, in microseconds
 * @now_us: present time, in microseconds
 */
struct retry_request {
	enum verdict verdict;
	bool repeatable;
	uint32_t attempts_left;
	int64_t deadline_us;
	int64_t now_us;
};

/** enum retry_decision - whether to retry, or the reason against a retry. */
enum retry_decision {
	RETRY_AGAIN,
	RETRY_NOT_REPEATABLE,
	RETRY_NO_ATTEMPTS,
	RETRY_NO_TIME,
	RETRY_NO_BUDGET,
};

/**
 * retry_decide() - decides on a retry
 *
 * Takes a token from @budget if the decision is RETRY_AGAIN.
 */
enum retry_decision retry_decide(struct retry_budget *budget,
				 const struct retry_request *request);

/** retry_decision_name() - returns the name used in answers and logs. */
const char *retry_decision_name(enum retry_decision decision);

/**
 * struct retry_chain - attempt budget of a request for the hops below it
 * @remaining_attempts: number of attempts that the last hop of the chain may
 *	still receive because of this request
 *
 * Without a common budget, fifteen hops with three attempts each would call
 * the last hop 3^15 times. Every attempt therefore passes on a part of the
 * remaining attempts, for itself and for all hops below it. The parts never add
 * up to more than the whole: the last hop receives at most as many attempts as
 * the first hop was allowed, whichever attempts fail and whichever answers are
 * lost.
 */
struct retry_chain {
	uint32_t remaining_attempts;
};

/**
 * retry_chain_init() - initializes the budget before the first attempt
 * @attempts_max: maximum number of attempts of the request's kind, the first
 *	attempt included
 * @inherited: attempts passed on by the inbound attempt that causes this
 *	request; 0 if there is none and the request starts a chain
 */
void retry_chain_init(struct retry_chain *chain, int64_t attempts_max,
		      uint32_t inherited);

/**
 * retry_chain_take() - takes the attempts that the next attempt passes on
 *
 * One attempt is kept for a retry from this hop, if more than one remains. The
 * hops below get the rest, since a retry close to the failure repeats fewer
 * hops than a retry from the start of the chain.
 *
 * Return: number to send with the attempt; at least 1 while
 * @remaining_attempts is not 0.
 */
uint32_t retry_chain_take(struct retry_chain *chain);

/**
 * retry_chain_return() - returns the unused part of an ended attempt
 * @unused: number of attempts that were not used
 *
 * @unused is
 *
 * - all that the attempt took, if it provably reached no upstream
 * - one less, if the upstream refused it: nothing has run below it
 * - the number in the answer, if the answer reports one
 * - 0 otherwise, since all may have been used
 */
void retry_chain_return(struct retry_chain *chain, uint32_t unused);

#endif
