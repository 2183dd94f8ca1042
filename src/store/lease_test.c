#include <criterion/criterion.h>
#include <string.h>

#include "os/clock.h"
#include "store/lease.h"

/* Times are in milliseconds here; the core uses microseconds. */
static struct lease lease;
static int64_t now_ms;

static void setup(void)
{
	struct lease_options options;

	lease_options_default(&options);
	options.rank_step_ms = 0; /* no jitter: each row has one sequence */
	lease_init(&lease, &options, 1);
	now_ms = 1000;
}

static enum lease_action next(void)
{
	int64_t at_us;

	return lease_next(&lease, now_ms * US_PER_MS, &at_us);
}

static void end(enum store_outcome outcome, enum store_reason reason,
		int64_t sent_ms)
{
	struct store_result result = { .outcome = outcome,
				       .reason = reason,
				       .token = 7,
				       .remaining_ms = 3000,
				       .sent_us = sent_ms * US_PER_MS };

	lease_result(&lease, &result, now_ms * US_PER_MS);
}

static bool holds(void)
{
	return lease_holds(&lease, now_ms * US_PER_MS);
}

static void acquire(void)
{
	lease_set_rank(&lease, 0, now_ms * US_PER_MS);
	cr_assert_eq(next(), LEASE_ACQUIRE);
	cr_assert_eq(next(), LEASE_NOTHING, "only one call at a time");
	end(STORE_TOOK_EFFECT, STORE_OK, now_ms);
	cr_assert(holds());
}

Test(lease, a_holder_renews_and_gives_back, .init = setup)
{
	cr_assert_eq(next(), LEASE_NOTHING, "not a candidate yet");
	acquire();
	now_ms += 1999;
	cr_assert_eq(next(), LEASE_NOTHING);
	now_ms += 1;
	cr_assert_eq(next(), LEASE_RENEW);
	end(STORE_TOOK_EFFECT, STORE_OK, now_ms);
	lease_withdraw(&lease, now_ms * US_PER_MS);
	cr_assert_not(holds());
	cr_assert_eq(next(), LEASE_RELEASE);
	end(STORE_TOOK_EFFECT, STORE_OK, now_ms);
	cr_assert_eq(next(), LEASE_NOTHING);
}

/*
 * Guards against two holders at the same time when the answer to an acquisition
 * is slow: the store may count the time to live from right after the sending.
 */
Test(lease, it_is_counted_from_before_the_request_was_sent, .init = setup)
{
	lease_set_rank(&lease, 0, now_ms * US_PER_MS);
	cr_assert_eq(next(), LEASE_ACQUIRE);
	now_ms += 4000;
	end(STORE_TOOK_EFFECT, STORE_OK, 1000);
	cr_assert(holds());
	now_ms = 1000 + 4499;
	cr_assert(holds());
	now_ms = 1000 + 4500;
	cr_assert_not(holds(), "1.5 s before the lease expires in the store");
	cr_assert_eq(next(), LEASE_ACQUIRE);
	now_ms += 6000;
	end(STORE_TOOK_EFFECT, STORE_OK, 1000 + 4500);
	cr_assert_not(holds(), "the answer arrived after the end of the lease");
}

/*
 * Guards against a holder that was paused for longer than its lease and acts
 * before it receives anything, while another node holds the lease.
 */
Test(lease, a_paused_holder_detects_expiry_by_its_clock, .init = setup)
{
	acquire();
	now_ms += 60000;
	cr_assert_not(holds());
	cr_assert_eq(next(), LEASE_ACQUIRE);
	cr_assert_eq(lease.expired_count, 1);
	cr_assert_eq(lease.token, 0);
	end(STORE_NO_EFFECT, STORE_HELD, now_ms);
	cr_assert_not(holds());
	cr_assert_eq(lease.slot, 1, "the other slot is tried first");
}

/*
 * Guards against a change of the holder when renewals fail for less than the
 * time to live of a lease.
 */
Test(lease, a_holder_outlasts_a_short_outage, .init = setup)
{
	uint32_t attempts = 0;

	acquire();
	while (now_ms < 1000 + 4500) {
		if (next() == LEASE_RENEW) {
			end(attempts % 2 ? STORE_UNKNOWN : STORE_NO_EFFECT,
			    STORE_UNREACHABLE, now_ms);
			attempts++;
		}
		cr_assert(holds());
		now_ms += 10;
	}
	cr_assert_not(holds());
	cr_expect_geq(attempts, 2);
	next();
	cr_assert_eq(lease.state, LEASE_CANDIDATE);
	lease_set_rank(&lease, 0, now_ms * US_PER_MS);
	while (next() != LEASE_ACQUIRE)
		now_ms += 10;
	end(STORE_TOOK_EFFECT, STORE_OK, now_ms);
	cr_assert(holds());
}

/*
 * Guards against overload of the store after an outage by candidates that all
 * retry at the same time.
 */
Test(lease, candidates_retry_at_different_times)
{
	enum { NODES = 100, DOWN_MS = 600000, AFTER_MS = 10000, TICK_MS = 10 };
	static struct lease leases[NODES];
	struct lease_options options;
	uint32_t peak = 0;
	uint32_t total = 0;
	uint32_t second = 0;
	int i;

	lease_options_default(&options);
	for (i = 0; i < NODES; i++) {
		lease_init(&leases[i], &options, (uint64_t)i + 1);
		lease_set_rank(&leases[i], (uint32_t)i % 4, 0);
	}
	for (now_ms = 0; now_ms < DOWN_MS + AFTER_MS; now_ms += TICK_MS) {
		struct store_result result = { .outcome = STORE_NO_EFFECT,
					       .reason = STORE_UNREACHABLE };

		if (now_ms % MS_PER_S == 0)
			second = 0;
		if (now_ms >= DOWN_MS)
			result.reason = STORE_HELD;
		for (i = 0; i < NODES; i++) {
			int64_t at_us;

			if (lease_next(&leases[i], now_ms * US_PER_MS,
				       &at_us) == LEASE_NOTHING)
				continue;
			lease_result(&leases[i], &result, now_ms * US_PER_MS);
			second++;
			if (now_ms < DOWN_MS)
				continue;
			total++;
			if (second > peak)
				peak = second;
		}
	}
	/* Each candidate tries both slots within a step and then waits for a
	 * lease to expire: 2 * NODES calls in one second if all retried at the
	 * same time, of which a third is allowed. */
	cr_expect_lt(peak, NODES * 2 / 3, "%u in one second", peak);
	cr_expect_leq(total, 4 * NODES, "%u in %d s", total, AFTER_MS / 1000);
}

/* State of the two slots in the store. */
static struct {
	int holder; /* 0 for none */
	int64_t until_ms;
} slots[2];

static void serve(struct lease *one, int holder)
{
	struct store_result result = { .outcome = STORE_TOOK_EFFECT,
				       .token = 1,
				       .sent_us = now_ms * US_PER_MS };
	uint32_t slot = one->slot;

	if (slots[slot].until_ms > now_ms && slots[slot].holder != holder) {
		result.outcome = STORE_NO_EFFECT;
		result.reason = STORE_HELD;
		result.remaining_ms = slots[slot].until_ms - now_ms;
	} else {
		slots[slot].holder = holder;
		slots[slot].until_ms = now_ms + one->options.ttl_ms;
	}
	lease_result(one, &result, now_ms * US_PER_MS);
}

/*
 * Guards against a data centre without readers after both holders die at the
 * same time: other candidates take over when the leases expire.
 */
Test(lease, candidates_follow_when_both_holders_die)
{
	enum { CANDIDATES = 4, DEATH_MS = 30000, LONG_MS = 60000 };
	struct lease leases[CANDIDATES];
	struct lease_options options;
	int64_t both_ms = 0;
	int i;

	lease_options_default(&options);
	for (i = 0; i < CANDIDATES; i++) {
		lease_init(&leases[i], &options, (uint64_t)i + 1);
		lease_set_rank(&leases[i], (uint32_t)i, 0);
	}
	for (now_ms = 0; now_ms < LONG_MS && !both_ms; now_ms += 10) {
		int holders = 0;

		for (i = now_ms < DEATH_MS ? 0 : 2; i < CANDIDATES; i++) {
			int64_t at_us;

			if (lease_next(&leases[i], now_ms * US_PER_MS,
				       &at_us) != LEASE_NOTHING)
				serve(&leases[i], i + 1);
			holders += lease_holds(&leases[i], now_ms * US_PER_MS);
		}
		cr_assert_leq(holders, 2);
		if (now_ms == DEATH_MS - 10) {
			cr_expect(lease_holds(&leases[0], now_ms * US_PER_MS));
			cr_expect(lease_holds(&leases[1], now_ms * US_PER_MS));
		}
		if (now_ms >= DEATH_MS && holders == 2)
			both_ms = now_ms - DEATH_MS;
	}
	cr_expect_gt(both_ms, 0);
	cr_expect_lt(both_ms, 13000, "%d ms", (int)both_ms);
}
