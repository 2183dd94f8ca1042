#include "store/lease.h"

#include <assert.h>
#include <string.h>

#include "os/clock.h"

enum {
	TTL_MS = 6000,
	MARGIN_MS = 1500,
	RENEW_MS = 2000,
	RANK_STEP_MS = 250,
	BACKOFF_BASE_MS = 500,
	BACKOFF_MAX_MS = 10000,
	SLOTS = 2,
};

void lease_options_default(struct lease_options *options)
{
	options->slots = SLOTS;
	options->ttl_ms = TTL_MS;
	options->margin_ms = MARGIN_MS;
	options->renew_ms = RENEW_MS;
	options->rank_step_ms = RANK_STEP_MS;
	options->backoff_max_ms = BACKOFF_MAX_MS;
}

void lease_init(struct lease *lease, const struct lease_options *options,
		uint64_t seed)
{
	assert(options->slots && options->slots <= LEASE_SLOTS_MAX);
	assert(options->renew_ms + options->margin_ms < options->ttl_ms);
	memset(lease, 0, sizeof(*lease));
	lease->options = *options;
	random_init(&lease->random, seed);
	backoff_init(&lease->backoff, BACKOFF_BASE_MS, options->backoff_max_ms);
}

/* The wait depends on the rank, so that candidates do not all try to acquire a
 * free lease at the same time. */
static int64_t rank_delay_us(struct lease *lease)
{
	int64_t rank_step_ms = lease->options.rank_step_ms;

	return (lease->rank * rank_step_ms +
		random_jitter(&lease->random, rank_step_ms)) *
	       US_PER_MS;
}

void lease_set_rank(struct lease *lease, uint32_t rank, int64_t now_us)
{
	bool was_idle = lease->state == LEASE_IDLE;

	lease->rank = rank;
	if (!was_idle)
		return;
	lease->state = LEASE_CANDIDATE;
	lease->releasing = false;
	lease->slot = rank % lease->options.slots;
	lease->next_us = now_us + rank_delay_us(lease);
}

void lease_withdraw(struct lease *lease, int64_t now_us)
{
	/* A lease whose acquisition is in progress is released, too. */
	lease->releasing = lease->token || lease->in_flight == LEASE_ACQUIRE;
	lease->state = LEASE_IDLE;
	lease->next_us = now_us;
}

bool lease_holds(const struct lease *lease, int64_t now_us)
{
	return lease->state == LEASE_HELD && now_us < lease->valid_until_us;
}

static void expire(struct lease *lease, int64_t now_us)
{
	lease->state = LEASE_CANDIDATE;
	lease->token = 0;
	lease->expired_count++;
	if (lease->next_us < now_us)
		lease->next_us = now_us + rank_delay_us(lease);
}

static enum lease_action start_call(struct lease *lease,
				    enum lease_action action)
{
	lease->in_flight = action;
	return action;
}

enum lease_action lease_next(struct lease *lease, int64_t now_us,
			     int64_t *at_us)
{
	*at_us = INT64_MAX;
	if (lease->state == LEASE_HELD && now_us >= lease->valid_until_us)
		expire(lease, now_us);
	if (lease->in_flight != LEASE_NOTHING) {
		if (lease->state == LEASE_HELD)
			*at_us = lease->valid_until_us;
		return LEASE_NOTHING;
	}
	if (lease->state == LEASE_IDLE) {
		if (lease->releasing && lease->token)
			return start_call(lease, LEASE_RELEASE);
		return LEASE_NOTHING;
	}
	if (now_us >= lease->next_us)
		return start_call(lease, lease->state == LEASE_HELD
						 ? LEASE_RENEW
						 : LEASE_ACQUIRE);
	*at_us = lease->next_us;
	if (lease->state == LEASE_HELD && lease->valid_until_us < *at_us)
		*at_us = lease->valid_until_us;
	return LEASE_NOTHING;
}

static void handle_acquired(struct lease *lease,
			    const struct store_result *result, int64_t now_us)
{
	const struct lease_options *options = &lease->options;

	lease->token = result->token;
	backoff_reset(&lease->backoff);
	if (lease->state == LEASE_IDLE)
		return;
	if (lease->state != LEASE_HELD)
		lease->acquired_count++;
	lease->state = LEASE_HELD;
	lease->valid_until_us =
		result->sent_us +
		(options->ttl_ms - options->margin_ms) * US_PER_MS;
	lease->next_us = result->sent_us + options->renew_ms * US_PER_MS;
	if (now_us >= lease->valid_until_us)
		expire(lease, now_us);
}

/* Selects the slot that becomes free first and waits for the rank delay. */
static void wait_for_slot(struct lease *lease, int64_t now_us)
{
	int64_t from_us;
	uint32_t i;

	for (i = 0; i < lease->options.slots; i++)
		if (lease->slot_held_until_us[i] <
		    lease->slot_held_until_us[lease->slot])
			lease->slot = i;
	from_us = lease->slot_held_until_us[lease->slot];
	if (from_us < now_us)
		from_us = now_us;
	lease->next_us = from_us + rank_delay_us(lease);
}

static void handle_held(struct lease *lease, const struct store_result *result,
			int64_t now_us)
{
	int64_t wait_ms = result->remaining_ms;

	if (lease->state == LEASE_HELD)
		lease->lost_count++;
	/* No candidate requests a longer time to live than @ttl_ms. */
	if (wait_ms <= 0 || wait_ms > lease->options.ttl_ms)
		wait_ms = lease->options.ttl_ms;
	lease->slot_held_until_us[lease->slot] = now_us + wait_ms * US_PER_MS;
	lease->token = 0;
	backoff_reset(&lease->backoff);
	if (lease->state == LEASE_IDLE)
		return;
	lease->state = LEASE_CANDIDATE;
	wait_for_slot(lease, now_us);
}

/* Handles a call without an answer, or a refused call. A holder keeps acting
 * until the lease expires; its wait is limited to the margin, so that several
 * attempts fit into the remaining time. */
static void handle_failure(struct lease *lease, int64_t now_us)
{
	int64_t wait_ms = backoff_next_ms(&lease->backoff, &lease->random);
	int64_t max_ms = lease->options.margin_ms;

	if (lease->state == LEASE_HELD && wait_ms > max_ms)
		wait_ms = random_jitter(&lease->random, max_ms);
	lease->next_us = now_us + wait_ms * US_PER_MS;
	if (lease->state == LEASE_CANDIDATE)
		lease->next_us += rank_delay_us(lease);
}

void lease_result(struct lease *lease, const struct store_result *result,
		  int64_t now_us)
{
	enum lease_action action = lease->in_flight;

	lease->in_flight = LEASE_NOTHING;
	if (action == LEASE_RELEASE) {
		/* Without an answer the lease expires by itself. */
		lease->token = 0;
		lease->releasing = false;
		lease->slot_held_until_us[lease->slot] = 0;
	} else if (result->outcome == STORE_TOOK_EFFECT) {
		handle_acquired(lease, result, now_us);
	} else if (result->reason == STORE_HELD) {
		handle_held(lease, result, now_us);
	} else {
		handle_failure(lease, now_us);
	}
}

json_t *lease_dump(const struct lease *lease, int64_t now_us)
{
	static const char *const states[] = { "idle", "candidate", "held" };
	bool holds = lease_holds(lease, now_us);

	return json_pack("{s:s, s:b, s:i, s:i, s:I, s:I, s:I, s:I, s:I}",
			 "state", states[lease->state], "holds", holds, "slot",
			 (int)lease->slot, "rank", (int)lease->rank, "token",
			 (json_int_t)lease->token, "left_ms",
			 (json_int_t)(holds ? (lease->valid_until_us - now_us) /
						      US_PER_MS
					    : 0),
			 "acquired", (json_int_t)lease->acquired_count,
			 "lapsed", (json_int_t)lease->expired_count, "lost",
			 (json_int_t)lease->lost_count);
}
