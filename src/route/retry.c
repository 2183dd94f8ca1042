#include "route/retry.h"

void retry_budget_init(struct retry_budget *budget, double share,
		       double tokens_max)
{
	*budget = (struct retry_budget){ .tokens = tokens_max,
					 .share = share,
					 .tokens_max = tokens_max };
}

void retry_budget_make_shared(struct retry_budget *budget, uint64_t seed)
{
	budget->is_shared = true;
	budget->chance = 1;
	random_init(&budget->random, seed);
}

bool retry_budget_take(struct retry_budget *budget)
{
	if (budget->is_shared) {
		budget->use.wanted++;
		if (budget->share <= 0 ||
		    random_share(&budget->random) >= budget->chance)
			return false;
		budget->use.taken++;
		return true;
	}
	if (budget->tokens < 1)
		return false;
	budget->tokens -= 1;
	return true;
}

bool retry_budget_is_open(const struct retry_budget *budget)
{
	if (budget->is_shared)
		return budget->share > 0 && budget->chance >= 0.5;
	return budget->tokens >= 1;
}

void retry_budget_set(struct retry_budget *budget, double share,
		      double tokens_max)
{
	budget->share = share;
	budget->tokens_max = tokens_max;
	if (budget->tokens > tokens_max)
		budget->tokens = tokens_max;
	/* A share of 0 forbids retries at once, also with tokens left. */
	if (share <= 0)
		budget->tokens = 0;
}

double retry_budget_available(const struct retry_budget *budget)
{
	if (budget->is_shared)
		return retry_budget_is_open(budget) ? 1 : 0;
	return budget->tokens;
}

void retry_budget_deposit(struct retry_budget *budget)
{
	budget->use.firsts++;
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
	return retry_budget_take(budget) ? RETRY_AGAIN : RETRY_NO_BUDGET;
}

const char *retry_decision_name(enum retry_decision decision)
{
	static const char *const names[] = { "again", "not-repeatable",
					     "no-attempts", "no-time",
					     "no-budget" };

	return names[decision];
}

void retry_chain_init(struct retry_chain *chain, int64_t attempts_max,
		      uint32_t inherited)
{
	chain->remaining_attempts = attempts_max > 1 ? (uint32_t)attempts_max
						     : 1;
	if (inherited && inherited < chain->remaining_attempts)
		chain->remaining_attempts = inherited;
}

uint32_t retry_chain_take(struct retry_chain *chain)
{
	uint32_t kept = chain->remaining_attempts > 1 ? 1 : 0;
	uint32_t taken = chain->remaining_attempts - kept;

	chain->remaining_attempts = kept;
	return taken;
}

void retry_chain_return(struct retry_chain *chain, uint32_t unused)
{
	chain->remaining_attempts += unused;
}
