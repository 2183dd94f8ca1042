#include <criterion/criterion.h>

#include "wire/identity.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/*
 * Symptom: a node that was replaced is taken for its predecessor, and calls of
 * the one are answered with outcomes of the other.
 * Sequence: two processes of one name start within a millisecond, or the later
 * one on a machine whose clock was set back by less than that.
 * Cause: an incarnation made of the wall clock alone.
 */
Test(identity, starts_differ_and_later_ones_count_more)
{
	static const struct {
		int64_t wall_ms[2];
		uint64_t random[2];
		bool later_counts_more;
	} cases[] = {
		{ { 1000, 1000 }, { 1, 2 }, true },
		{ { 1000, 1001 }, { UINT64_MAX, 0 }, true },
		{ { 1772700000000, 1772700000001 }, { 77, 3 }, true },
		{ { 1001, 1000 }, { 5, 5 }, false },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		uint64_t first = identity_incarnation(cases[i].wall_ms[0],
						      cases[i].random[0]);
		uint64_t second = identity_incarnation(cases[i].wall_ms[1],
						       cases[i].random[1]);

		cr_expect_neq(first, second, "case %zu", i);
		cr_expect_eq(second > first, cases[i].later_counts_more,
			     "case %zu", i);
	}
}
