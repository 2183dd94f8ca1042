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
 * with the number of nodes. Readers are elected in one of two ways: by leases
 * on two reader slots or, if leases are too costly for the service, by rank
 * among the live members. By rank, the first node watches; the others become
 * active readers, one rank after the other, when no node of the data centre has
 * read the service for some time. Two readers at the same time or a late reader
 * do no harm: heads are ordered by their version, and the members record is
 * written by compare-and-swap.
 */

enum {
	READER_CANDIDATES = 4,
	READER_WATCH_MS = 5000,
	/* By rank: duration of a watch. It may be longer than READER_WATCH_MS,
	 * since the kernel closes dead connections. */
	READER_LONG_WATCH_MS = 20000,
	READER_MIN_INTERVAL_MS = 1000,
	READER_MEMBERS_MS = 30000,
	/* By rank: number of nodes that watch. */
	READER_WATCHERS = 1,
	/* By rank: time since the last read by any node of the data centre
	 * after which the next rank becomes an active reader. A
	 * READER_STALE_ROUND_MS for each round of gossip is added, since the
	 * time of the last read spreads by gossip, and a READER_RANK_STEP_MS
	 * for each rank. This delay plus the duration of a read must be below
	 * the time within which a version must be in force, at least 2 s. */
	READER_STALE_MS = 910,
	/* By rank: interval of probes, small reads while a watch waits. A
	 * waiting watch does not show that the service has stopped answering
	 * while its connection stays open. Included in READER_STALE_MS. */
	READER_PROBE_MS = 250,
	/* Long enough for the answer of a very slow service. */
	READER_PROBE_DEADLINE_MS = 500,
	READER_STALE_ROUND_MS = 120,
	READER_RANK_STEP_MS = 60,
	READER_RANK_STEPS_MAX = 8,
	/* By rank: delay of the ranks from READER_RANK_STEPS_MAX on, unless
	 * many nodes do not respond. It is unlikely that none of the lower
	 * ranks reaches the service: if the service refuses a third of the
	 * nodes, it refuses all of them once in five thousand times. If all
	 * nodes of a data centre were active, the service would send each of
	 * them every version in full; on links of 5 Mbit/s, calls were delayed
	 * by 0.4 s. */
	READER_HIGH_RANK_DELAY_MS = 10 * 1000,
	/* By rank: the first ranks retry more often while the service does not
	 * answer, so that the others learn of its recovery before they try. */
	READER_EAGER_RANKS = 2,
	READER_EAGER_BACKOFF_MS = 1000,
	/* By rank: time for which an activated node stays active: until other
	 * nodes have learned of its read, and no longer, since each active node
	 * is sent every version in full. */
	READER_ACTIVE_MS = 2000,
	/* By rank: shortest interval between two reads, so that a burst of
	 * versions costs few reads. */
	READER_PAUSE_MS = 150,
};

/** enum reader_election - how readers are elected; see DOC. */
enum reader_election { READER_BY_LEASE, READER_BY_RANK };

/** enum reader_action - call that the core requests. */
enum reader_action {
	READER_NOTHING,
	READER_LEASE,	    /* the action in @lease */
	READER_WATCH_HEAD,  /* after @revision; to reader_core_watch_ended() */
	READER_GET_MEMBERS, /* to reader_core_members_ended() */
	READER_STOP_WATCH,  /* cancel the watch of the head in flight */
	READER_PROBE,	    /* a small read; to reader_core_probe_ended() */
};

/**
 * struct reader_command - next call of the reader
 * @action: call to make
 * @lease: READER_LEASE: call for the lease
 * @revision: READER_WATCH_HEAD: revision after which the watch starts
 * @at_us: READER_NOTHING: time of the next reader_core_next(); INT64_MAX: no
 *	time is set
 */
struct reader_command {
	enum reader_action action;
	enum lease_action lease;
	uint64_t revision;
	int64_t at_us;
};

/**
 * enum reader_head_result - the keeper's result for a head that was read
 * @READER_HEAD_NEWER: newer than the version in force, and accepted
 * @READER_HEAD_KNOWN: not newer, or refused
 * @READER_HEAD_OLDER: older than the version in force: the platform's service
 *	has gone back. The head is ignored, and the next read is delayed
 */
enum reader_head_result {
	READER_HEAD_NEWER,
	READER_HEAD_KNOWN,
	READER_HEAD_OLDER
};

/**
 * struct reader_core - decisions of one node
 * @election: how readers are elected
 * @rank: rank among the live members of the data centre, 0 is first
 * @stale_ms: READER_BY_RANK: time after @source_read_us, in milliseconds, after
 *	which the service counts as unread
 * @source_read_us: READER_BY_RANK: time at which any node of the data centre
 *	last read the service
 * @many_lost: READER_BY_RANK: see reader_core_set_nodes()
 * @active_until_us: READER_BY_RANK: the node is an active reader until then
 * @contact_us: time at which the service last answered this node, 0 for never
 * @answered: the last watch or probe was answered
 * @watch_unproven: the service did not answer when the watch began
 * @watch_lost: the watch is to be cancelled, because the service does not
 *answer probes, or has answered one after a watch that was unproven
 * @probe_in_flight: a probe is in flight
 * @next_probe_us: time at which the next probe is due
 * @lease: READER_BY_LEASE: lease of a reader slot
 * @random: source of jitter
 * @watch_in_flight: a watch of the head is in flight
 * @members_in_flight: the members record is being read or written
 * @head_backoff: delay between failed watches
 * @revision: revision up to which changes were read, 0 for none: a watch from
 *	0 returns at once if there is a head
 * @next_watch_us: time from which the head may be watched
 * @next_members_us: time at which the members record is read next
 */
struct reader_core {
	enum reader_election election;
	uint32_t rank;
	int64_t stale_ms;
	int64_t source_read_us;
	bool many_lost;
	int64_t active_until_us;
	int64_t contact_us;
	bool answered;
	bool watch_unproven;
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

/**
 * reader_core_set_rank() - sets the rank among the live members
 *
 * READER_BY_LEASE: nodes with a rank from READER_CANDIDATES on are no
 * candidates, but a node that holds a lease keeps it.
 */
void reader_core_set_rank(struct reader_core *core, uint32_t rank,
			  int64_t now_us);

/**
 * reader_core_set_nodes() - sets the size of the data centre
 * @nodes: number of live members, with this node
 * @many_lost: many of them do not respond; the nodes of the first ranks may be
 *	among them
 */
void reader_core_set_nodes(struct reader_core *core, uint32_t nodes,
			   bool many_lost);

/**
 * reader_core_set_source_read() - records a read by any node of the data centre
 * @at_us: time of the read; ignored if a later read is known
 */
void reader_core_set_source_read(struct reader_core *core, int64_t at_us);

/** reader_core_contact_us() - time of the last answer to this node. */
int64_t reader_core_contact_us(const struct reader_core *core);

/**
 * reader_core_activate() - makes the node an active reader
 *
 * READER_BY_RANK: the node reads now, whatever its rank, and stays active for
 * READER_ACTIVE_MS.
 */
void reader_core_activate(struct reader_core *core, int64_t now_us);

/**
 * reader_core_next() - returns the next call in @command
 *
 * The caller makes each call, until the action is READER_NOTHING.
 */
void reader_core_next(struct reader_core *core, int64_t now_us,
		      struct reader_command *command);

/** reader_core_lease_ended() - handles the end of a READER_LEASE call. */
void reader_core_lease_ended(struct reader_core *core,
			     const struct store_result *result, int64_t now_us);

/**
 * reader_core_read_succeeded() - the watch in flight has returned a head
 *
 * For a head that takes time to offer: reader_core_watch_ended() follows then.
 */
void reader_core_read_succeeded(struct reader_core *core, int64_t now_us);

/** reader_core_watch_ended() - handles the end of a watch of the head. */
void reader_core_watch_ended(struct reader_core *core,
			     const struct store_result *result,
			     enum reader_head_result head_result,
			     int64_t now_us);

/** reader_core_probe_ended() - handles the end of a probe. */
void reader_core_probe_ended(struct reader_core *core,
			     const struct store_result *result, int64_t now_us);

/** reader_core_members_ended() - the members record was updated, or failed. */
void reader_core_members_ended(struct reader_core *core, int64_t now_us);

/** reader_core_is_reader() - returns true if the node is a reader now. */
bool reader_core_is_reader(const struct reader_core *core, int64_t now_us);

#endif
