#include "route/retry.h"

void retry_budget_init(struct retry_budget *budget, double share,
		       double tokens_max)
{
	budget->tokens = tokens_max;
	budget->share = share;
	budget->tokens_max = tokens_max;
}

void retry_budget_set(struct retry_budget *budget, double share,
		      double tokens_max)
{
	budget->share = share;
	budget->tokens_max = tokens_max;
	if (budget->tokens > tokens_max)
		budget->tokens = tokens_max;
	/* Who allows no retries means none, not ten more. */
	if (share <= 0)
		budget->tokens = 0;
}

void retry_budget_deposit(struct retry_budget *budget)
{
	budget->tokens += budget->share;
	if (budget->tokens > budget->tokens_max)
		budget->tokens = budget->tokens_max;
}

enum retry_decision retry_decide(struct retry_budget *budget,
				 const struct retry_request *request)
{
	if (request->verdict != VERDICT_NOT_RUN && !request->repeatable)
		return RETRY_NOT_REPEATABLE;
	if (!request->attempts_left)
		return RETRY_NO_ATTEMPTS;
	if (request->now_us >= request->deadline_us)
		return RETRY_NO_TIME;
	if (budget->tokens < 1)
		return RETRY_NO_BUDGET;
	budget->tokens -= 1;
	return RETRY_AGAIN;
}

const char *retry_decision_name(enum retry_decision decision)
{
	static const char *const names[] = { "again", "not-repeatable",
					     "no-attempts", "no-time",
					     "no-budget" };

	return names[decision];
}

void retry_chain_init(struct retry_chain *chain, int64_t attempts_max,
		      uint32_t carried)
{
	chain->remaining_attempts = attempts_max > 1 ? (uint32_t)attempts_max
						     : 1;
	if (carried && carried < chain->remaining_attempts)
		chain->remaining_attempts = carried;
}

uint32_t retry_chain_take(struct retry_chain *chain)
{
	uint32_t kept = chain->remaining_attempts > 1 ? 1 : 0;
	uint32_t taken = chain->remaining_attempts - kept;

	chain->remaining_attempts = kept;
	return taken;
}

void retry_chain_return(struct retry_chain *chain, uint32_t unspent)
{
	chain->remaining_attempts += unspent;
}
