#include <criterion/criterion.h>

#include "wire/filter.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

Test(filter, networks)
{
	static const struct {
		const char *network, *address;
		bool blocked;
	} cases[] = {
		{ "127.0.2.0/24", "127.0.2.9:1", true },
		{ "127.0.2.0/24", "127.0.3.9:1", false },
		{ "127.0.2.9", "127.0.2.9:80", true },
		{ "127.0.2.9", "127.0.2.8:80", false },
		{ "10.0.0.0/7", "11.1.1.1:1", true },
		{ "10.0.0.0/7", "12.1.1.1:1", false },
		{ "0.0.0.0/0", "12.1.1.1:1", true },
		{ "0.0.0.0/0", "[::1]:1", false },
		{ "fd00::/8", "[fd12::1]:1", true },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct wire_filter filter = { 0 };
		struct error err = ERROR_INIT;
		struct address address;

		cr_assert(wire_filter_add(&filter, cases[i].network, &err));
		cr_assert(address_parse(cases[i].address, &address, &err));
		cr_assert_eq(wire_filter_blocks(&filter, &address),
			     cases[i].blocked, "%s in %s", cases[i].address,
			     cases[i].network);
	}
}

Test(filter, invalid_networks_are_refused)
{
	static const char *const cases[] = { "", "10.0.0.0/33", "10.0.0.0/",
					     "x", "10.0.0.0/8x" };
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct wire_filter filter = { 0 };
		struct error err = ERROR_INIT;

		cr_assert_not(wire_filter_add(&filter, cases[i], &err), "%s",
			      cases[i]);
		cr_assert_eq(err.code, ERROR_INVALID);
		cr_assert_eq(filter.count, 0);
	}
}
