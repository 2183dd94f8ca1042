#ifndef STORE_LEASE_H
#define STORE_LEASE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "store/backoff.h"
#include "store/store_defs.h"

/**
 * DOC: lease
 *
 * One of several leases of the same kind, from the side of a candidate. A
 * decision core: results of calls and the monotonic time come in, the next
 * call comes out.
 *
 * The store counts a lease from when it handled the request; a holder can't
 * know that moment, only that it lies after the request was sent. So it
 * counts from before sending, and stops acting a margin earlier: while it
 * believes to hold the lease, nobody else can have it. A holder that was
 * paused learns that it lapsed from the clock alone, before it acts again.
 * What it had already sent may still arrive late: calls that must be
 * exclusive carry the fencing token or compare-and-swap.
 */

enum { LEASE_SLOTS_MAX = 4 };

/**
 * struct lease_options - how long and how often
 * @slots: leases to choose from, "KEY/0" to "KEY/SLOTS-1"
 * @ttl_ms: what the store is asked for
 * @margin_ms: how much earlier the holder stops acting
 * @renew_ms: how long after a successful call the next one is sent
 * @rank_step_ms: a candidate of rank r waits r steps plus up to one step of
 * jitter
 * @backoff_max_ms: longest wait between tries while the store is down
 */
struct lease_options {
	uint32_t slots;
	int64_t ttl_ms;
	int64_t margin_ms;
	int64_t renew_ms;
	int64_t rank_step_ms;
	int64_t backoff_max_ms;
};

enum lease_state { LEASE_IDLE, LEASE_CANDIDATE, LEASE_HELD };

/** enum lease_action - the call that the core wants. */
enum lease_action { LEASE_NOTHING, LEASE_ACQUIRE, LEASE_RENEW, LEASE_RELEASE };

/**
 * struct lease - one candidate
 * @slot: the one held, or tried next
 * @rank: among the candidates, 0 is first
 * @token: fencing token while held
 * @valid_until_us: when to stop acting
 * @next_us: when the next call is due
 * @slot_held_until_us: of each slot, as far as is known
 * @in_flight: a call is out; there is never more than one
 */
struct lease {
	struct lease_options options;
	struct random random;
	bool releasing;
	struct backoff backoff;
	enum lease_state state;
	uint32_t slot;
	uint32_t rank;
	enum lease_action in_flight;
	uint64_t token;
	int64_t valid_until_us;
	int64_t next_us;
	int64_t slot_held_until_us[LEASE_SLOTS_MAX];
	uint64_t acquired_count;
	uint64_t expired_count;
	uint64_t lost_count;
};

/** lease_options_default() - two slots, six seconds. */
void lease_options_default(struct lease_options *options);

void lease_init(struct lease *lease, const struct lease_options *options,
		uint64_t seed);

/**
 * lease_set_rank() - be a candidate of this rank from now on
 *
 * Who holds a lease keeps it, whatever its rank becomes: moving it would
 * cost calls and gain nothing.
 */
void lease_set_rank(struct lease *lease, uint32_t rank, int64_t now_us);

/** lease_withdraw() - be no candidate; a lease that is held is given back. */
void lease_withdraw(struct lease *lease, int64_t now_us);

/** lease_holds() - whether to act as holder at this moment. */
bool lease_holds(const struct lease *lease, int64_t now_us);

/**
 * lease_next() - what to do now
 * @at_us: for LEASE_NOTHING, when to ask again; INT64_MAX for not by itself
 *
 * The caller makes the call and ends it by lease_result().
 */
enum lease_action lease_next(struct lease *lease, int64_t now_us,
			     int64_t *at_us);

/** lease_result() - the call that lease_next() asked for has ended. */
void lease_result(struct lease *lease, const struct store_result *result,
		  int64_t now_us);

/** lease_dump() - its state for people, to be freed by json_decref(). */
json_t *lease_dump(const struct lease *lease, int64_t now_us);

#endif
