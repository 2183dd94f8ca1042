#ifndef CALL_RECENT_H
#define CALL_RECENT_H

#include "call/call_defs.h"

/**
 * DOC: recent
 *
 * Bounded record of the attempts that the node beside an upstream has received,
 * and of their outcomes. It answers the query of a caller's node about an
 * attempt whose connection was lost.
 *
 * For each caller's node, the record stores the highest sequence whose entry
 * was discarded. An attempt without an entry may have been received if its
 * sequence is at or below this number, and was never received if its sequence
 * is above. The result "never seen" is therefore reliable at any size of the
 * record. An attempt that is queried before it was received is first recorded
 * as refused, so that a copy which arrives later is refused. This module uses
 * no sockets and no clock.
 */

/** enum recent_state - what the record holds about an attempt. */
enum recent_state {
	RECENT_NEVER_SEEN, /* the attempt was certainly not received */
	RECENT_FORGOTTEN,  /* the attempt may have been received */
	RECENT_RUNNING, /* the attempt waits or runs; the entry has an owner */
	RECENT_ENDED,	/* the entry has an outcome, perhaps an answer */
};

/** enum recent_purpose - reason of a lookup. */
enum recent_purpose {
	RECENT_ARRIVED, /* the attempt itself was received */
	RECENT_QUERIED, /* the caller's node queries the attempt */
};

/**
 * struct recent_caller - one incarnation of a caller's node
 * @highest_discarded: highest sequence whose entry was discarded
 * @history_complete: false if an earlier record of this caller may have been
 *	discarded
 * @reference_count: number of entries and open connections of this caller; a
 *	referenced caller is not discarded
 * @chain: next caller of the same hash bucket
 */
struct recent_caller {
	uint64_t incarnation;
	uint64_t highest_discarded;
	bool history_complete;
	uint32_t reference_count;
	struct recent_caller *next;
	struct recent_caller *prev;
	struct recent_caller *chain;
};

/**
 * struct recent_entry - one attempt
 * @owner: object of the module's user that handles a running attempt; NULL
 *	once the attempt has ended
 * @outcome: outcome of an ended attempt; the reason is CALL_REASON_NONE if the
 *	upstream answered
 * @answer: stored answer; NULL if there is none or it was discarded
 * @answer_bytes: size of @answer, in bytes
 * @answer_expires_us: time after which no node queries the answer, in
 *	microseconds of the monotonic clock; set by the owner before the
 *	attempt ends
 * @sent_us: time at which the answer was last sent to the caller's node, in
 *	microseconds of the monotonic clock; 0 if it was not
 * @deadline_us: time after which the caller's node does not wait for the
 *answer, in microseconds of the monotonic clock; set by the owner before the
 *	attempt ends
 * @is_undelivered: the answer may not have reached the caller's node; the entry
 *	is linked by @undelivered_next
 * @chain: next entry of the same hash bucket
 */
struct recent_entry {
	struct call_id id;
	enum recent_state state;
	void *owner;
	struct call_outcome outcome;
	void *answer;
	size_t answer_bytes;
	int64_t answer_expires_us;
	int64_t sent_us;
	int64_t deadline_us;
	bool is_undelivered;
	struct recent_caller *caller;
	struct recent_entry *next;
	struct recent_entry *prev;
	struct recent_entry *undelivered_next;
	struct recent_entry *undelivered_prev;
	struct recent_entry *chain;
};

/**
 * struct recent_limits - bounds of the record
 * @entries_max: maximum number of ended attempts
 * @answer_bytes_max: maximum total size of stored answers, in bytes
 * @callers_max: number of callers from which on a new caller replaces the
 *	oldest unreferenced caller
 */
struct recent_limits {
	uint32_t entries_max;
	size_t answer_bytes_max;
	uint32_t callers_max;
};

struct recent {
	struct recent_limits limits;
	struct recent_entry **entries; /* hash table */
	uint32_t buckets;
	struct recent_entry *ended;    /* oldest first */
	struct recent_entry *answered; /* next answer to discard, or NULL */
	struct recent_entry *undelivered;
	uint32_t ended_count;
	uint32_t running_count;
	size_t answer_bytes;
	struct recent_caller **callers; /* hash table */
	struct recent_caller *idle;	/* unreferenced, oldest first */
	uint32_t caller_count;
	uint32_t caller_buckets;
	bool caller_discarded;
	uint64_t discarded_count; /* number of discarded entries */
};

void recent_init(struct recent *recent, const struct recent_limits *limits);

/** recent_finish() - frees the record, but not the owners of entries. */
void recent_finish(struct recent *recent);

/**
 * recent_caller_acquire() - takes a reference to a caller
 *
 * A connection of the caller's node holds a reference while it is open. The
 * caller's @highest_discarded is kept that long, so that a late copy of an
 * attempt on the connection is recognized.
 */
struct recent_caller *recent_caller_acquire(struct recent *recent,
					    uint64_t incarnation);

/** recent_caller_release() - drops a reference to a caller. */
void recent_caller_release(struct recent *recent, struct recent_caller *caller);

/**
 * recent_lookup() - looks up an attempt
 * @entry: set to the entry for RECENT_RUNNING and RECENT_ENDED, otherwise to
 *	NULL
 */
enum recent_state recent_lookup(struct recent *recent, struct call_id id,
				enum recent_purpose purpose,
				struct recent_entry **entry);

/** recent_begin() - records an attempt without an entry as running. */
struct recent_entry *recent_begin(struct recent *recent, struct call_id id,
				  void *owner);

/** recent_refuse() - records an attempt without an entry as refused. */
void recent_refuse(struct recent *recent, struct call_id id,
		   enum call_reason reason);

/**
 * recent_end() - records the end of a running attempt
 * @answer: answer from malloc(), of which the record takes ownership; may be
 *	NULL
 * @answer_bytes: size of @answer, in bytes
 *
 * @entry may be freed as soon as another attempt is recorded.
 *
 * Return: false if the answer is larger than the limit; the answer is freed
 * then.
 */
bool recent_end(struct recent *recent, struct recent_entry *entry,
		const struct call_outcome *outcome, void *answer,
		size_t answer_bytes);

/** recent_sent() - records that the answer of an ended attempt was sent. */
void recent_sent(struct recent *recent, struct recent_entry *entry,
		 int64_t now_us);

/**
 * recent_undelivered() - records that the answer of an ended attempt has not
 *	reached the caller's node
 */
void recent_undelivered(struct recent *recent, struct recent_entry *entry);

/**
 * recent_connection_lost() - records the loss of a connection of a caller
 *
 * Answers that were sent to the caller at @since_us or later may not have
 * reached it.
 */
void recent_connection_lost(struct recent *recent,
			    const struct recent_caller *caller,
			    int64_t since_us);

/**
 * recent_is_awaited() - returns true if a caller's node may query an answer
 *that may not have reached it, before its deadline
 */
bool recent_is_awaited(const struct recent *recent, int64_t now_us);

/**
 * recent_expire() - frees expired answers
 *
 * Answers are freed in the order in which the attempts ended: an answer that
 * has not expired keeps all later answers.
 */
void recent_expire(struct recent *recent, int64_t now_us);

#endif
