#include <criterion/criterion.h>

#include "call/calls.h"
#include "node/leaving.h"
#include "os/clock.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { SIGNALLED_MS = 70000 };

/* Failure: each wait of a stopping process is bounded but their sum is not, so
 * that the platform kills the process. All times count from the signal. */
Test(leaving, waits_do_not_add_up)
{
	static const struct {
		int64_t linger_ms;
		int64_t drain_ms;
		int64_t drained_ms;
		struct leaving_open open; /* store, callers, peers, receiving */
		int64_t wanted_ms;
	} cases[] = {
		/* No remaining work: only datagrams are sent. */
		{ 0, 30000, 0, { false, false, false, false }, 100 },
		{ 2300, 2200, 2300, { false, false, false, false }, 2400 },
		{ 2300, 2200, 5000, { false, false, false, false }, 5100 },
		/* The wait for the store counts from the signal. */
		{ 0, 30000, 0, { true, false, false, false }, 1000 },
		{ 0, 30000, 950, { true, false, false, false }, 1050 },
		{ 2300, 2200, 2300, { true, false, false, false }, 2400 },
		{ 2300, 2200, 5000, { true, false, false, false }, 5100 },
		/* Callers that connected just before the port closed. */
		{ 0, 30000, 0, { false, true, false, false }, 1000 },
		{ 2300, 2200, 2300, { false, true, false, false }, 3300 },
		{ 2300, 2200, 4400, { false, true, false, false }, 5000 },
		/* Callers that had at least the drain time. */
		{ 2300, 2200, 5000, { false, true, false, false }, 5100 },
		{ 2300, 2200, 5000, { true, true, false, false }, 5100 },
		{ 0, 1000, 1500, { true, true, false, false }, 1600 },
		/* Peers get as much time as callers. */
		{ 2300, 2200, 2300, { false, false, true, false }, 3300 },
		{ 2300, 2200, 4400, { false, false, true, false }, 5000 },
		{ 2300, 2200, 5000, { true, true, true, false }, 5100 },
		/* Callers and peers that still take bytes of an answer. */
		{ 2300, 2700, 2300, { false, true, false, true }, 5500 },
		{ 2300, 2700, 2300, { true, true, false, true }, 5500 },
		{ 2300, 2700, 4900, { false, false, true, true }, 5500 },
		{ 2300, 2700, 5500, { false, true, false, true }, 5600 },
		{ 0, 0, 0, { false, true, false, true }, 500 },
		/* No linger time and no drain time. */
		{ 0, 0, 0, { false, true, false, false }, 500 },
		{ 0, 0, 500, { false, true, false, false }, 600 },
		{ 0, 0, 500, { true, true, false, false }, 1000 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t signalled_us = SIGNALLED_MS * US_PER_MS;
		struct leaving leaving;
		int64_t took_us;

		leaving_begin(&leaving, cases[i].linger_ms, cases[i].drain_ms,
			      signalled_us);
		leaving_drained(&leaving,
				signalled_us + cases[i].drained_ms * US_PER_MS);
		took_us = leaving_until_us(&leaving, &cases[i].open) -
			  signalled_us;
		cr_expect_eq(took_us, cases[i].wanted_ms * US_PER_MS,
			     "case %zu: %lld us", i, (long long)took_us);
	}
}

/* Failure: a stop takes longer than linger time, drain time and
 * LEAVING_OVERHEAD_MAX_MS together, so that the platform kills the process. */
Test(leaving, no_stop_exceeds_the_maximum)
{
	static const int64_t times_ms[] = { 0, 1, 99, 700, 2300, 60000 };
	size_t linger;
	size_t drain;

	for (linger = 0; linger < COUNT(times_ms); linger++)
		for (drain = 0; drain < COUNT(times_ms); drain++) {
			int64_t max_ms = times_ms[linger] + times_ms[drain];
			int64_t at_ms;

			for (at_ms = times_ms[linger];
			     at_ms <= max_ms + CALLS_DRAIN_FLUSH_MS; at_ms++) {
				const struct leaving_open all = { true, true,
								  true, true };
				struct leaving leaving;

				leaving_begin(&leaving, times_ms[linger],
					      times_ms[drain], 0);
				leaving_drained(&leaving, at_ms * US_PER_MS);
				cr_assert_leq(
					leaving_until_us(&leaving, &all),
					(max_ms + LEAVING_OVERHEAD_MAX_MS) *
						US_PER_MS,
					"linger %lld, drain %lld, drained %lld",
					(long long)times_ms[linger],
					(long long)times_ms[drain],
					(long long)at_ms);
			}
		}
}
