#include <criterion/criterion.h>
#include <stdio.h>

#include "route/retry.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

Test(retry, decisions)
{
	static const struct {
		enum verdict verdict;
		uint32_t attempts_left;
		int64_t deadline_us;
		double tokens;
		enum retry_decision decision;
		bool repeatable;
	} cases[] = {
		{ VERDICT_NOT_RUN, 1, 10, 1, RETRY_AGAIN, false },
		{ VERDICT_MAY_HAVE_RUN, 1, 10, 1, RETRY_AGAIN, true },
		{ VERDICT_MAY_HAVE_RUN, 1, 10, 1, RETRY_NOT_REPEATABLE, false },
		{ VERDICT_RAN, 1, 10, 1, RETRY_NOT_REPEATABLE, false },
		{ VERDICT_NOT_RUN, 0, 10, 1, RETRY_NO_ATTEMPTS, true },
		{ VERDICT_NOT_RUN, 1, 5, 1, RETRY_NO_TIME, true },
		{ VERDICT_NOT_RUN, 1, 10, 0.9, RETRY_NO_BUDGET, true },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct retry_budget budget = { cases[i].tokens, 0.1, 10 };
		struct retry_request request = {
			.verdict = cases[i].verdict,
			.repeatable = cases[i].repeatable,
			.attempts_left = cases[i].attempts_left,
			.deadline_us = cases[i].deadline_us,
			.now_us = 5
		};
		bool again = cases[i].decision == RETRY_AGAIN;

		cr_expect_eq(retry_decide(&budget, &request), cases[i].decision,
			     "case %zu", i);
		cr_expect_float_eq(budget.tokens, cases[i].tokens - again, 1e-9,
				   "case %zu", i);
	}
}

Test(retry, quiet_hours_save_up_no_storm)
{
	struct retry_budget budget;
	int i;

	retry_budget_init(&budget, 0.2, 10);
	for (i = 0; i < 100000; i++)
		retry_budget_deposit(&budget);
	cr_assert_float_eq(budget.tokens, 10, 1e-9);
	retry_budget_set(&budget, 0.1, 10);
	cr_assert_float_eq(budget.tokens, 10, 1e-9);
	retry_budget_set(&budget, 0, 10);
	cr_assert_float_eq(budget.tokens, 0, 1e-9);
}

enum { HOPS = 15, HEADS = 1000 };

/* Chains of hops, each with a budget of its own; the last one fails. */
struct storm {
	struct retry_budget budgets[HOPS];
	int64_t attempts_max[HOPS];
	bool carries;
	bool budgeted;
	bool refuses; /* the last hop's gate refuses: nothing is spent there */
	uint64_t calls[HOPS];
};

/* Returns what the attempt that led here has left unspent. */
static uint32_t storm_call(struct storm *storm, uint32_t hop, uint32_t carried)
{
	struct retry_request request = { .verdict = VERDICT_MAY_HAVE_RUN,
					 .repeatable = true,
					 .deadline_us = 1 };
	struct retry_chain chain;

	storm->calls[hop]++;
	if (hop == HOPS - 1)
		return storm->refuses ? carried - 1 : 0;
	retry_chain_init(&chain, storm->attempts_max[hop],
			 storm->carries ? carried : 0);
	retry_budget_deposit(&storm->budgets[hop]);
	do {
		uint32_t taken = retry_chain_take(&chain);
		uint32_t unspent = storm_call(storm, hop + 1, taken);

		if (!storm->carries)
			unspent = taken - 1;
		if (storm->refuses || !storm->carries)
			retry_chain_return(&chain, unspent);
		if (!storm->budgeted)
			storm->budgets[hop].tokens = 1;
		request.attempts_left = chain.remaining_attempts;
	} while (retry_decide(&storm->budgets[hop], &request) == RETRY_AGAIN);
	return chain.remaining_attempts;
}

/*
 * Symptom: one failing service deep in a chain gets thousands of calls for
 * each that a user made, and stays down.
 * Sequence: the last of fifteen hops fails; each hop above tries again.
 * Cause: every hop counts its own tries only, so they multiply.
 */
Test(retry, storm_of_fifteen_hops)
{
	static const struct {
		const char *name;
		bool carries;
		bool budgeted;
		bool refuses;
		uint32_t hops; /* at the start of the chain that fail through */
		int64_t head_max;
		int64_t others_max;
		double least; /* calls of the last hop for each of the head */
		double most;
	} cases[] = {
		{ "neither carried nor budgeted, 8 hops", false, false, false,
		  8, 3, 3, 2187, 2187 },
		{ "budgets alone", false, true, false, HOPS, 3, 3, 1, 20 },
		{ "carried", true, false, false, HOPS, 3, 3, 2, 3 },
		{ "carried, deeper hops allow more", true, false, false, HOPS,
		  3, 9, 2, 3 },
		{ "carried, the last gate refuses", true, false, true, HOPS, 3,
		  3, 2, 3 },
		{ "carried, a head without retries", true, false, false, HOPS,
		  1, 3, 1, 1 },
		{ "carried and budgeted", true, true, false, HOPS, 3, 3, 1,
		  1.5 },
	};
	size_t i, j;

	for (i = 0; i < COUNT(cases); i++) {
		uint32_t first = HOPS - cases[i].hops;
		struct storm storm = { .carries = cases[i].carries,
				       .budgeted = cases[i].budgeted,
				       .refuses = cases[i].refuses };
		uint64_t total = 0;
		double ratio;

		for (j = 0; j < HOPS; j++) {
			retry_budget_init(&storm.budgets[j], 0.2, 10);
			storm.attempts_max[j] = j == first
							? cases[i].head_max
							: cases[i].others_max;
		}
		for (j = 0; j < HEADS; j++)
			storm_call(&storm, first, 0);
		for (j = 0; j < HOPS; j++)
			total += storm.calls[j];
		ratio = (double)storm.calls[HOPS - 1] / HEADS;
		printf("%s: last hop %.3f calls for each of the head, all hops"
		       " %.2f times the chain\n",
		       cases[i].name, ratio,
		       (double)total / HEADS / cases[i].hops);
		cr_expect_geq(ratio, cases[i].least, "%s", cases[i].name);
		cr_expect_leq(ratio, cases[i].most, "%s", cases[i].name);
	}
}
