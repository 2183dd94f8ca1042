#include "call/patience.h"

#include <criterion/criterion.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, LEAST = 150 * MS, MOST = 500 * MS };

/*
 * Symptom: calls to dead nodes next door are held for half a second; or those
 * to live nodes far away are given up.
 * Sequence: connections that opened after the times given, then one that does
 * not open.
 * Cause: one fixed time for all ways.
 */
Test(adaptive_timeout, follows_what_was_seen)
{
	static const struct {
		const char *name;
		int64_t took_us[8]; /* 0 ends the list */
		int64_t least_us;
		int64_t most_us;
	} cases[] = {
		{ "nothing known", { 0 }, MOST, MOST },
		{ "next door", { 4 * MS, 5 * MS, 4 * MS }, LEAST, LEAST },
		{ "far away",
		  { 170 * MS, 165 * MS, 180 * MS, 170 * MS, 165 * MS,
		    175 * MS },
		  200 * MS,
		  450 * MS },
		{ "so far that there is no more",
		  { 450 * MS, 500 * MS, 480 * MS },
		  MOST,
		  MOST },
		{ "now and then slow",
		  { 5 * MS, 5 * MS, 105 * MS, 5 * MS, 5 * MS, 105 * MS },
		  LEAST,
		  300 * MS },
	};
	size_t i, j;

	for (i = 0; i < COUNT(cases); i++) {
		struct adaptive_timeout adaptive_timeout = { .samples = 0 };
		int64_t us;

		for (j = 0; j < 8 && cases[i].took_us[j]; j++)
			adaptive_timeout_add_sample(&adaptive_timeout,
						    cases[i].took_us[j]);
		us = adaptive_timeout_us(&adaptive_timeout, LEAST, MOST);
		cr_expect_geq(us, cases[i].least_us, "%s: %ld", cases[i].name,
			      (long)us);
		cr_expect_leq(us, cases[i].most_us, "%s: %ld", cases[i].name,
			      (long)us);
	}
}
