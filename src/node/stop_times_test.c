#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "node/leaving.h"
#include "node/settings.h"
#include "node/stop_times.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/* Guards against times of a stop that do not suit the grace period: work is
 * cancelled long before its end, or the process is killed. */
Test(stop_times, follow_from_the_grace_period)
{
	static const struct {
		int64_t grace_ms;
		int64_t linger_ms;
		int64_t keep_upstream_ms;
		int64_t drain_ms;
	} cases[] = {
		{ 0, 0, 0, 0 },
		{ 1000, 250, 0, 250 },
		{ 2000, 500, 200, 500 },
		{ 3000, 1000, 700, 1000 },
		{ 4000, 1500, 1200, 1500 },
		{ 6000, 2300, 2000, 2700 },
		{ 10000, 2300, 2000, 6700 },
		{ 30000, 2300, 2000, 26700 },
		{ 3600000, 2300, 2000, 3596700 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t linger_ms = stop_times_linger_ms(cases[i].grace_ms);
		int64_t drain_ms =
			stop_times_drain_ms(cases[i].grace_ms, linger_ms);

		cr_expect_eq(linger_ms, cases[i].linger_ms, "case %zu", i);
		cr_expect_eq(stop_times_keep_upstream_ms(linger_ms),
			     cases[i].keep_upstream_ms, "case %zu", i);
		cr_expect_eq(drain_ms, cases[i].drain_ms, "case %zu", i);
		if (cases[i].grace_ms >= 2 * LEAVING_OVERHEAD_MAX_MS)
			cr_expect_leq(linger_ms + drain_ms +
					      LEAVING_OVERHEAD_MAX_MS,
				      cases[i].grace_ms, "case %zu", i);
	}
}

/* Guards against times that are set and are replaced by derived ones. */
Test(stop_times, a_time_that_is_set_stands)
{
	static const char format[] =
		"[node]\ndeployment = 'd'\ndata_centre = 'c'\ninstance = 'i'\n"
		"[listen]\npeer = '127.0.0.1:0'\ncaller = '127.0.0.1:0'\n"
		"[peers]\nsecret = '0123456789abcdef'\n"
		"[call]\n%s";
	static const struct {
		const char *call;
		int64_t linger_ms;
		int64_t keep_upstream_ms;
		int64_t drain_ms;
	} cases[] = {
		{ "", 0, 0, 30000 },
		{ "grace_s = 0\n", 0, 0, 30000 },
		{ "grace_s = 6\n", 2300, 2000, 2700 },
		{ "grace_s = 7.5\n", 2300, 2000, 4200 },
		{ "grace_s = 10\nlinger_ms = 0\n", 0, 0, 9000 },
		{ "grace_s = 10\nlinger_ms = 1000\n", 1000, 700, 8000 },
		{ "grace_s = 10\nkeep_upstream_ms = 5\n", 2300, 5, 6700 },
		{ "grace_s = 10\ndrain_ms = 1\n", 2300, 2000, 1 },
		{ "grace_s = 3\nlinger_ms = 2300\n", 2300, 2000, 0 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct settings settings;
		struct faults faults = { 0 };
		char text[512];

		snprintf(text, sizeof(text), format, cases[i].call);
		cr_assert(settings_parse(&settings, text, strlen(text),
					 &faults),
			  "case %zu: %s", i, faults.items[0].text);
		cr_expect_eq(settings.call.linger_ms, cases[i].linger_ms,
			     "case %zu", i);
		cr_expect_eq(settings.call.keep_upstream_ms,
			     cases[i].keep_upstream_ms, "case %zu", i);
		cr_expect_eq(settings.call.drain_ms, cases[i].drain_ms,
			     "case %zu", i);
	}
}
