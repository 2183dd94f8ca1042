#include "profile/reader_core.h"

#include <string.h>

#include "os/clock.h"

enum {
	HEAD_BACKOFF_BASE_MS = 500,
	HEAD_BACKOFF_MAX_MS = 5000,
	/* A new holder first learns the members. */
	MEMBERS_FIRST_DELAY_MS = 2000,
};

void reader_core_init(struct reader_core *core, enum reader_election election,
		      const struct lease_options *options, uint64_t seed)
{
	memset(core, 0, sizeof(*core));
	core->election = election;
	reader_core_set_nodes(core, 1, false);
	lease_init(&core->lease, options, seed);
	random_init(&core->random, seed + 1);
	backoff_init(&core->head_backoff, HEAD_BACKOFF_BASE_MS,
		     HEAD_BACKOFF_MAX_MS);
}

void reader_core_set_rank(struct reader_core *core, uint32_t rank,
			  int64_t now_us)
{
	core->rank = rank;
	if (core->election == READER_BY_RANK) {
		core->head_backoff.max_ms = rank < READER_EAGER_RANKS
						    ? READER_EAGER_BACKOFF_MS
						    : HEAD_BACKOFF_MAX_MS;
		return;
	}
	/* A holder counts as a candidate while it holds a lease. */
	if (rank < READER_CANDIDATES || lease_holds(&core->lease, now_us))
		lease_set_rank(&core->lease, rank, now_us);
	else if (core->lease.state != LEASE_IDLE)
		lease_withdraw(&core->lease, now_us);
}

/* Delay of a rank from READER_RANK_STEPS_MAX on. If many nodes do not respond,
 * those of all lower ranks may be lost: twice as many ranks follow with each
 * step, so that the last rank does not wait for long. */
static int64_t high_rank_delay_ms(const struct reader_core *core)
{
	uint32_t steps = READER_RANK_STEPS_MAX;
	uint32_t ranks = READER_RANK_STEPS_MAX;

	if (!core->many_lost || core->rank == UINT32_MAX)
		return READER_HIGH_RANK_DELAY_MS;
	for (; core->rank >= 2 * ranks; ranks *= 2)
		steps++;
	return (int64_t)steps * READER_RANK_STEP_MS;
}

/* Time at which a node that is not among the first ranks becomes active. */
static int64_t activate_at_us(const struct reader_core *core)
{
	int64_t wait_ms = core->stale_ms;

	if (core->rank < READER_RANK_STEPS_MAX)
		wait_ms += (int64_t)core->rank * READER_RANK_STEP_MS;
	else
		wait_ms += high_rank_delay_ms(core);
	return core->source_read_us + wait_ms * US_PER_MS;
}

static bool is_elected(const struct reader_core *core, int64_t now_us)
{
	return core->rank < READER_WATCHERS || now_us < core->active_until_us ||
	       now_us >= activate_at_us(core);
}

bool reader_core_is_reader(const struct reader_core *core, int64_t now_us)
{
	switch (core->election) {
	case READER_BY_LEASE:
		break;
	case READER_BY_RANK:
		return is_elected(core, now_us);
	}
	return lease_holds(&core->lease, now_us);
}

void reader_core_set_nodes(struct reader_core *core, uint32_t nodes,
			   bool many_lost)
{
	core->many_lost = many_lost;
	core->stale_ms = READER_STALE_MS;
	for (; nodes > 1; nodes = (nodes + 1) / 2)
		core->stale_ms += READER_STALE_ROUND_MS;
}

void reader_core_set_source_read(struct reader_core *core, int64_t at_us)
{
	if (at_us > core->source_read_us)
		core->source_read_us = at_us;
}

int64_t reader_core_contact_us(const struct reader_core *core)
{
	return core->contact_us;
}

void reader_core_activate(struct reader_core *core, int64_t now_us)
{
	core->active_until_us = now_us + READER_ACTIVE_MS * US_PER_MS;
}

static void no_later_than(int64_t *at_us, int64_t us)
{
	if (us < *at_us)
		*at_us = us;
}

static void stop_watch(struct reader_core *core, struct reader_command *command)
{
	core->watch_in_flight = false;
	/* A node that reads again later does not know the service's state. */
	if (!core->watch_lost)
		core->answered = false;
	core->watch_lost = false;
	command->action = READER_STOP_WATCH;
}

static void next_probe(struct reader_core *core, int64_t now_us,
		       struct reader_command *command)
{
	if (!core->probe_in_flight && now_us >= core->next_probe_us) {
		core->probe_in_flight = true;
		command->action = READER_PROBE;
		return;
	}
	if (!core->probe_in_flight)
		command->at_us = core->next_probe_us;
	if (core->rank >= READER_WATCHERS)
		no_later_than(&command->at_us, core->active_until_us);
}

static void next_by_rank(struct reader_core *core, int64_t now_us,
			 struct reader_command *command)
{
	command->at_us = INT64_MAX;
	/* The service sends each watcher every version in full, which delays
	 * calls on slow links: a node that need not watch stops. */
	if (core->watch_in_flight &&
	    (core->watch_lost || !is_elected(core, now_us))) {
		stop_watch(core, command);
		return;
	}
	if (core->watch_in_flight) {
		next_probe(core, now_us, command);
		return;
	}
	if (!is_elected(core, now_us)) {
		command->at_us = activate_at_us(core);
		return;
	}
	if (now_us < core->next_watch_us) {
		command->at_us = core->next_watch_us;
		return;
	}
	if (core->rank >= READER_WATCHERS && now_us >= core->active_until_us)
		core->active_until_us = now_us + READER_ACTIVE_MS * US_PER_MS;
	core->watch_in_flight = true;
	core->watch_unproven = !core->answered;
	core->next_probe_us = now_us + READER_PROBE_MS * US_PER_MS;
	command->revision = core->revision;
	command->action = READER_WATCH_HEAD;
}

void reader_core_next(struct reader_core *core, int64_t now_us,
		      struct reader_command *command)
{
	memset(command, 0, sizeof(*command));
	if (core->election == READER_BY_RANK) {
		next_by_rank(core, now_us, command);
		return;
	}
	command->lease = lease_next(&core->lease, now_us, &command->at_us);
	if (command->lease != LEASE_NOTHING) {
		command->action = READER_LEASE;
		return;
	}
	if (!lease_holds(&core->lease, now_us))
		return;
	if (!core->watch_in_flight && now_us >= core->next_watch_us) {
		core->watch_in_flight = true;
		command->revision = core->revision;
		command->action = READER_WATCH_HEAD;
		return;
	}
	if (!core->members_in_flight && now_us >= core->next_members_us) {
		core->members_in_flight = true;
		command->action = READER_GET_MEMBERS;
		return;
	}
	if (!core->watch_in_flight)
		no_later_than(&command->at_us, core->next_watch_us);
	if (!core->members_in_flight)
		no_later_than(&command->at_us, core->next_members_us);
}

void reader_core_lease_ended(struct reader_core *core,
			     const struct store_result *result, int64_t now_us)
{
	bool held_before = lease_holds(&core->lease, now_us);

	lease_result(&core->lease, result, now_us);
	if (held_before || !lease_holds(&core->lease, now_us))
		return;
	backoff_reset(&core->head_backoff);
	core->next_watch_us = now_us;
	core->next_members_us =
		now_us +
		(MEMBERS_FIRST_DELAY_MS +
		 random_jitter(&core->random, MEMBERS_FIRST_DELAY_MS)) *
			US_PER_MS;
}

static void delay_watch(struct reader_core *core, int64_t wait_ms,
			int64_t now_us)
{
	core->next_watch_us = now_us + wait_ms * US_PER_MS;
}

static void handle_head(struct reader_core *core,
			const struct store_result *result,
			enum reader_head_result head_result, int64_t now_us)
{
	switch (head_result) {
	case READER_HEAD_NEWER:
		core->revision = result->revision;
		backoff_reset(&core->head_backoff);
		delay_watch(core,
			    core->election == READER_BY_RANK ? READER_PAUSE_MS
							     : 0,
			    now_us);
		return;
	case READER_HEAD_KNOWN:
		/* Prevents a busy loop if a watch keeps returning a known
		 * head. */
		delay_watch(core,
			    result->revision == core->revision
				    ? READER_MIN_INTERVAL_MS
				    : 0,
			    now_us);
		core->revision = result->revision;
		return;
	case READER_HEAD_OLDER:
		core->revision = result->revision;
		delay_watch(core, READER_MIN_INTERVAL_MS, now_us);
		return;
	}
}

/* Returns true if a watch ended too early. The reader must not loop on a
 * service that does not hold watches open. */
static bool ended_early(const struct store_result *result, int64_t now_us)
{
	return now_us - result->sent_us < READER_MIN_INTERVAL_MS * US_PER_MS;
}

static void record_contact(struct reader_core *core, int64_t now_us)
{
	core->answered = true;
	core->contact_us = now_us;
	reader_core_set_source_read(core, now_us);
}

void reader_core_read_succeeded(struct reader_core *core, int64_t now_us)
{
	record_contact(core, now_us);
}

/* A node that cannot read does not stay active: otherwise many nodes would keep
 * reading for seconds after the service has recovered. */
static void record_no_contact(struct reader_core *core)
{
	core->answered = false;
	core->active_until_us = 0;
}

static bool is_answer(const struct store_result *result)
{
	return result->reason != STORE_UNREACHABLE &&
	       result->reason != STORE_TIMED_OUT;
}

void reader_core_probe_ended(struct reader_core *core,
			     const struct store_result *result, int64_t now_us)
{
	core->probe_in_flight = false;
	core->next_probe_us = now_us + READER_PROBE_MS * US_PER_MS;
	if (is_answer(result)) {
		/* A service that was silent when the watch began may never
		 * answer it, though it answers probes again. */
		core->watch_lost = core->watch_in_flight &&
				   core->watch_unproven;
		record_contact(core, now_us);
		return;
	}
	record_no_contact(core);
	core->watch_lost = core->watch_in_flight;
	delay_watch(core, backoff_next_ms(&core->head_backoff, &core->random),
		    now_us);
}

void reader_core_watch_ended(struct reader_core *core,
			     const struct store_result *result,
			     enum reader_head_result head_result,
			     int64_t now_us)
{
	core->watch_in_flight = false;
	if (is_answer(result))
		record_contact(core, now_us);
	else
		record_no_contact(core);
	if (result->outcome == STORE_TOOK_EFFECT) {
		handle_head(core, result, head_result, now_us);
	} else if (result->reason == STORE_NOT_NEWER && result->item_count) {
		/* Only orders have changed. */
		core->revision = result->revision;
		backoff_reset(&core->head_backoff);
		delay_watch(core, READER_PAUSE_MS, now_us);
	} else if (result->reason == STORE_NOT_NEWER) {
		/* A lower revision than the last: the store has gone back. The
		 * next watch, from 0, returns its head. */
		if (result->revision < core->revision)
			core->revision = 0;
		backoff_reset(&core->head_backoff);
		delay_watch(core,
			    ended_early(result, now_us) ? READER_MIN_INTERVAL_MS
							: 0,
			    now_us);
	} else if (result->reason == STORE_COMPACTED) {
		/* The changes since the revision are gone: read the head
		 * itself, at once unless that was already a read from 0. */
		delay_watch(core, core->revision ? 0 : READER_MIN_INTERVAL_MS,
			    now_us);
		core->revision = 0;
	} else if (result->reason == STORE_ABSENT) {
		core->revision = result->revision;
		delay_watch(core, READER_MIN_INTERVAL_MS, now_us);
	} else {
		delay_watch(core,
			    backoff_next_ms(&core->head_backoff, &core->random),
			    now_us);
	}
}

void reader_core_members_ended(struct reader_core *core, int64_t now_us)
{
	core->members_in_flight = false;
	core->next_members_us =
		now_us + (READER_MEMBERS_MS / 2 +
			  random_jitter(&core->random, READER_MEMBERS_MS)) *
				 US_PER_MS;
}
