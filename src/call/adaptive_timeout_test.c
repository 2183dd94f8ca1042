#include "call/adaptive_timeout.h"

#include <criterion/criterion.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, MIN_US = 150 * MS, MAX_US = 500 * MS };

/* One fixed timeout would delay calls to dead nodes nearby, or give up
 * connections to live nodes in distant data centres. */
Test(adaptive_timeout, follows_the_samples)
{
	static const struct {
		const char *name;
		int64_t took_us[8]; /* 0 ends the list */
		int64_t min_us;
		int64_t max_us;
	} cases[] = {
		{ "no samples", { 0 }, MAX_US, MAX_US },
		{ "nearby", { 4 * MS, 5 * MS, 4 * MS }, MIN_US, MIN_US },
		{ "distant",
		  { 170 * MS, 165 * MS, 180 * MS, 170 * MS, 165 * MS,
		    175 * MS },
		  200 * MS,
		  450 * MS },
		{ "limited by the maximum",
		  { 450 * MS, 500 * MS, 480 * MS },
		  MAX_US,
		  MAX_US },
		{ "sometimes slow",
		  { 5 * MS, 5 * MS, 105 * MS, 5 * MS, 5 * MS, 105 * MS },
		  MIN_US,
		  300 * MS },
	};
	size_t i, j;

	for (i = 0; i < COUNT(cases); i++) {
		struct adaptive_timeout adaptive_timeout = { .samples = 0 };
		int64_t us;

		for (j = 0; j < 8 && cases[i].took_us[j]; j++)
			adaptive_timeout_add_sample(&adaptive_timeout,
						    cases[i].took_us[j]);
		us = adaptive_timeout_us(&adaptive_timeout, MIN_US, MAX_US);
		cr_expect_geq(us, cases[i].min_us, "%s: %ld", cases[i].name,
			      (long)us);
		cr_expect_leq(us, cases[i].max_us, "%s: %ld", cases[i].name,
			      (long)us);
	}
}
