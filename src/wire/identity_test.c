#include <criterion/criterion.h>

#include "wire/identity.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/*
 * Guards against equal incarnations of two processes of one instance that start
 * within a millisecond: calls of one would get the results of the other.
 */
Test(identity, incarnations_differ_and_later_ones_are_greater)
{
	static const struct {
		int64_t wall_ms[2];
		uint64_t random[2];
		bool later_is_greater;
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
		cr_expect_eq(second > first, cases[i].later_is_greater,
			     "case %zu", i);
	}
}
