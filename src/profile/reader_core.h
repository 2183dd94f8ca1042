#ifndef PROFILE_READER_CORE_H
#define PROFILE_READER_CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "store/lease.h"
#include "profile/keeper.h"

/**
 * DOC: reader core
 *
 * Decides when a node reads the platform's service. Only a few nodes of each
 * data centre watch the head, so that the load on the service does not grow
 * with the fleet. Who they are is settled in one of two ways: by two reader
 * slots that are leases, or by rank among the live members where the service
 * has no leases to spare. By rank, the first one watches; all others step in,
 * one rank after the other, once no node of the data centre has read the
 * service for a while, whatever the reason. Nothing that a reader
 * does is harmful when two do it at once or one does it late: heads are
 * ordered by their version, the members record is written by
 * compare-and-swap.
 */

enum {
	READER_CANDIDATES = 4,
	READER_WATCH_MS = 5000,
	/* By rank: the kernel ends a watch whose connection is dead. */
	READER_LONG_WATCH_MS = 20000,
	READER_MIN_INTERVAL_MS = 1000,
	READER_MEMBERS_MS = 30000,
	/* By rank: nodes that watch. */
	READER_WATCHERS = 1,
	/* By rank: the service counts as unread after so long, the longer the
	 * more nodes word of it passes through: it takes a round of gossip for
	 * each doubling. Each rank waits a step more. Together with a read this
	 * must stay below the time in which versions are to be in force, 2 s
	 * at the least. */
	READER_STALE_MS = 910,
	/* By rank: a watch that waits says nothing of a service that has
	 * fallen silent, and its connection stays up; so a small read is made
	 * so often while it waits. Included in READER_STALE_MS. */
	READER_PROBE_MS = 250,
	/* A service that is fifty times slower than usual still makes it. */
	READER_PROBE_DEADLINE_MS = 500,
	READER_STALE_ROUND_MS = 120,
	READER_RANK_STEP_MS = 60,
	READER_RANK_STEPS_MAX = 8,
	/* By rank: those after the first eight wait so much longer. That all
	 * eight are kept from a service that refuses a third of the nodes
	 * happens once in five thousand times; when a data centre stepped in
	 * whole, each of its nodes was sent each version whole for seconds,
	 * and calls over links of 5 Mbit/s waited 0.4 s behind it. */
	READER_HIGH_RANK_DELAY_MS = 10 * 1000,
	/* By rank: the first two try more often while the service does not
	 * answer, so that others hear that it is back before they try. */
	READER_EAGER_RANKS = 2,
	READER_EAGER_BACKOFF_MS = 1000,
	/* By rank: who has stepped in stays for so long: until others have
	 * heard of it, and no longer, as above. */
	READER_ACTIVE_MS = 2000,
	/* By rank: between two reads, so that a burst of versions costs few. */
	READER_PAUSE_MS = 150,
};

/** enum reader_election - who reads; see DOC. */
enum reader_election { READER_BY_LEASE, READER_BY_RANK };

/** enum reader_action - the call that the core wants. */
enum reader_action {
	READER_NOTHING,
	READER_LEASE,	   /* what is in @lease */
	READER_WATCH_HEAD, /* newer than @revision; to reader_core_watch_ended()
			    */
	READER_GET_MEMBERS, /* to reader_core_members_ended() */
	READER_STOP_WATCH,  /* drop the watch of the head that is in flight */
	READER_PROBE,	    /* a cheap read; to reader_core_probe_ended() */
};

/**
 * struct reader_command - what to do now
 * @at_us: READER_NOTHING: when to ask again
 */
struct reader_command {
	enum reader_action action;
	enum lease_action lease;
	uint64_t revision;
	int64_t at_us;
};

/**
 * enum reader_head_result - what the keeper made of a head, for the pace of
 * reading
 *
 * READER_HEAD_OLDER: older than what is in force. The store has gone back;
 * it is not followed, and not asked in a tight loop either.
 */
enum reader_head_result {
	READER_HEAD_NEWER,
	READER_HEAD_KNOWN,
	READER_HEAD_OLDER
};

/**
 * struct reader_core - one candidate's decisions
 * @rank: READER_BY_RANK: among the live members
 * @stale_ms: READER_BY_RANK: without word of the service for so long it counts
 *	as unread
 * @source_read_us: READER_BY_RANK: when the service was last read by any node
 *of the data centre
 * @active_until_us: READER_BY_RANK: has stepped in until then
 * @answered: the last watch of the head was answered
 * @watch_lost: the service has fallen silent, the watch is to be dropped
 * @probe_in_flight: a probe is in flight
 * @next_probe_us: when the next one is due
 * @contact_us: when the service was last heard here
 * @revision: of the head seen last, 0 before the first: a watch from there
 *	answers at once if there is a head at all
 * @watch_in_flight: a watch of the head is in flight
 * @members_in_flight: the members record is being read or written
 */
struct reader_core {
	enum reader_election election;
	uint32_t rank;
	int64_t stale_ms;
	int64_t source_read_us;
	int64_t active_until_us;
	int64_t contact_us;
	bool answered;
	bool watch_lost;
	bool probe_in_flight;
	int64_t next_probe_us;
	struct lease lease;
	struct random random;
	bool watch_in_flight;
	bool members_in_flight;
	struct backoff head_backoff;
	uint64_t revision;
	int64_t next_watch_us;
	int64_t next_members_us;
};

void reader_core_init(struct reader_core *core, enum reader_election election,
		      const struct lease_options *options, uint64_t seed);

/** reader_core_set_rank() - ranks past READER_CANDIDATES do not try. */
void reader_core_set_rank(struct reader_core *core, uint32_t rank,
			  int64_t now_us);

/** reader_core_set_nodes() - live members of the data centre, this one too. */
void reader_core_set_nodes(struct reader_core *core, uint32_t nodes);

/**
 * reader_core_set_source_read() - some node of the data centre has read the
 * service
 * @at_us: when; what is older than known is ignored
 */
void reader_core_set_source_read(struct reader_core *core, int64_t at_us);

/** reader_core_contact_us() - when this node last heard the service. */
int64_t reader_core_contact_us(const struct reader_core *core);

/**
 * reader_core_activate() - by rank: read now, whatever the rank, and stay for
 * READER_ACTIVE_MS
 */
void reader_core_activate(struct reader_core *core, int64_t now_us);

/** reader_core_next() - ask until the answer is READER_NOTHING. */
void reader_core_next(struct reader_core *core, int64_t now_us,
		      struct reader_command *command);

/** reader_core_lease_ended() - the call of READER_LEASE has ended. */
void reader_core_lease_ended(struct reader_core *core,
			     const struct store_result *result, int64_t now_us);

/** reader_core_watch_ended() - a watch of the head has ended. */
void reader_core_watch_ended(struct reader_core *core,
			     const struct store_result *result,
			     enum reader_head_result head_result,
			     int64_t now_us);

/** reader_core_probe_ended() - a probe has ended, with whatever answer. */
void reader_core_probe_ended(struct reader_core *core,
			     const struct store_result *result, int64_t now_us);

/** reader_core_members_ended() - the members record was read and written. */
void reader_core_members_ended(struct reader_core *core, int64_t now_us);

/** reader_core_holds() - whether this node is a reader at this moment. */
bool reader_core_holds(const struct reader_core *core, int64_t now_us);

#endif
