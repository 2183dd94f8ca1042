#include "call/notice.h"

#include <criterion/criterion.h>
#include <string.h>

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { FIELDS_MAX = 3 };

/* A broken text must neither limit an upstream nor be taken for the end of a
 * limit. */
Test(notice, fields_of_answers)
{
	static const struct {
		const char *name;
		struct http_header fields[FIELDS_MAX];
		double rate_limit_per_s;
		bool valid;
		bool has_rate_limit;
		bool leaving;
	} cases[] = {
		{ "none", { { 0 } }, 0, true, false, false },
		{ "limit",
		  { { "Server-Limit", "10.6" } },
		  10.6,
		  true,
		  true,
		  false },
		{ "other case",
		  { { "server-limit", "7" } },
		  7,
		  true,
		  true,
		  false },
		{ "far above any load",
		  { { "Server-Limit", "1000000000000000000000000000000" } },
		  1e9,
		  true,
		  true,
		  false },
		{ "zero", { { "Server-Limit", "0" } }, 0, true, true, false },
		{ "leaving",
		  { { "Server-Leaving", "1" } },
		  0,
		  true,
		  false,
		  true },
		{ "both",
		  { { "Server-Limit", "0.5" }, { "Server-Leaving", "1" } },
		  0.5,
		  true,
		  true,
		  true },
		{ "not leaving",
		  { { "Server-Leaving", "0" } },
		  0,
		  true,
		  false,
		  false },
		{ "empty", { { "Server-Limit", "" } }, 0, false, false, false },
		{ "negative",
		  { { "Server-Limit", "-1" } },
		  0,
		  false,
		  false,
		  false },
		{ "not finite",
		  { { "Server-Limit", "inf" } },
		  0,
		  false,
		  false,
		  false },
		{ "not a number",
		  { { "Server-Limit", "nan" } },
		  0,
		  false,
		  false,
		  false },
		{ "exponent",
		  { { "Server-Limit", "1e9" } },
		  0,
		  false,
		  false,
		  false },
		{ "a unit",
		  { { "Server-Limit", "10/s" } },
		  0,
		  false,
		  false,
		  false },
		{ "two points",
		  { { "Server-Limit", "1.2.3" } },
		  0,
		  false,
		  false,
		  false },
		{ "no digit after the point",
		  { { "Server-Limit", "1." } },
		  0,
		  false,
		  false,
		  false },
		{ "too long",
		  { { "Server-Limit", "100000000000000000000000000000000000" } },
		  0,
		  false,
		  false,
		  false },
		{ "twice",
		  { { "Server-Limit", "1" }, { "Server-Limit", "2" } },
		  0,
		  false,
		  false,
		  false },
		{ "leaving in words",
		  { { "Server-Leaving", "yes" } },
		  0,
		  false,
		  false,
		  false },
	};
	const struct call_names *names = call_names(INTERFACE_PLATFORM);
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct http_answer answer = { .headers = cases[i].fields };
		struct upstream_notice notice;
		struct error err = ERROR_INIT;

		while (answer.header_count < FIELDS_MAX &&
		       cases[i].fields[answer.header_count].name)
			answer.header_count++;
		cr_expect_eq(notice_read(names, &answer, &notice, &err),
			     cases[i].valid, "%s", cases[i].name);
		cr_expect_eq(error_is_set(&err), !cases[i].valid, "%s",
			     cases[i].name);
		if (!cases[i].valid)
			continue;
		cr_expect_eq(notice.has_rate_limit, cases[i].has_rate_limit,
			     "%s", cases[i].name);
		cr_expect_eq(notice.rate_limit_per_s, cases[i].rate_limit_per_s,
			     "%s", cases[i].name);
		cr_expect_eq(notice.leaving, cases[i].leaving, "%s",
			     cases[i].name);
	}
}
