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
 * A candidate for one of several equivalent leases. A decision core: the inputs
 * are results of calls and the monotonic time, the output is the next call.
 *
 * The store measures the time to live from when it handled the request. A
 * holder only knows that this moment is later than the sending of the request,
 * so the holder measures from before the sending and stops acting a margin
 * earlier. While a node regards itself as the holder, no other node can hold
 * the lease. A holder that was paused detects the expiry from the clock alone,
 * before it acts again. Requests that it has sent already may still arrive
 * late: calls that must be exclusive carry the fencing token or use
 * compare-and-swap.
 */

enum { LEASE_SLOTS_MAX = 4 };

/**
 * struct lease_options - durations of a lease
 * @slots: number of leases to choose from, "KEY/0" to "KEY/SLOTS-1"
 * @ttl_ms: time to live requested from the store, in milliseconds
 * @margin_ms: how long before the end of @ttl_ms the holder stops acting, in
 *	milliseconds
 * @renew_ms: time from the sending of a successful call to the next renewal, in
 *	milliseconds
 * @rank_step_ms: a candidate of rank r waits r steps plus a jitter of up to one
 *	step before it tries to acquire a lease, in milliseconds
 * @backoff_max_ms: maximum backoff while the store is unreachable, in
 *	milliseconds
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

/** enum lease_action - call that the caller has to make. */
enum lease_action { LEASE_NOTHING, LEASE_ACQUIRE, LEASE_RENEW, LEASE_RELEASE };

/**
 * struct lease - one candidate
 * @releasing: a held lease has to be released
 * @slot: index of the slot that is held, or is tried next
 * @rank: position among the candidates, 0 is first
 * @in_flight: call in progress, LEASE_NOTHING for none; at most one at a time
 * @token: fencing token of the held lease, 0 for none
 * @valid_until_us: monotonic time at which the holder stops acting
 * @next_us: monotonic time at which the next call is due
 * @slot_held_until_us: for each slot, monotonic time until which another
 *	candidate holds the lease, as far as is known
 * @acquired_count: number of leases acquired
 * @expired_count: number of leases that expired while they were held
 * @lost_count: number of renewals that ended with STORE_HELD
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

/** lease_options_default() - set the default options. */
void lease_options_default(struct lease_options *options);

void lease_init(struct lease *lease, const struct lease_options *options,
		uint64_t seed);

/**
 * lease_set_rank() - become a candidate, or change the rank of a candidate
 *
 * A holder keeps its lease whatever its rank becomes: a move of the lease
 * would cost calls without a benefit.
 */
void lease_set_rank(struct lease *lease, uint32_t rank, int64_t now_us);

/** lease_withdraw() - stop being a candidate; a held lease is released. */
void lease_withdraw(struct lease *lease, int64_t now_us);

/** lease_holds() - true if the caller may act as the holder at @now_us. */
bool lease_holds(const struct lease *lease, int64_t now_us);

/**
 * lease_next() - the call that is due now
 * @at_us: set for LEASE_NOTHING: when to call this function again; INT64_MAX if
 *	no time is known
 *
 * The caller makes the call and passes its end to lease_result().
 */
enum lease_action lease_next(struct lease *lease, int64_t now_us,
			     int64_t *at_us);

/** lease_result() - handle the end of the call that lease_next() returned. */
void lease_result(struct lease *lease, const struct store_result *result,
		  int64_t now_us);

/** lease_dump() - state for operators, to be freed by json_decref(). */
json_t *lease_dump(const struct lease *lease, int64_t now_us);

#endif
