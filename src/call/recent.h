#ifndef CALL_RECENT_H
#define CALL_RECENT_H

#include "call/call_defs.h"

/**
 * DOC: recent
 *
 * The bounded memory of the node beside an upstream: which attempts it has
 * seen, and how those ended that did. It answers a caller's node that asks
 * about a request after its connection fell silent.
 *
 * What falls out raises a floor per caller's node: sequences at or below the
 * floor that are not held may have been here, those above it were not. So
 * "never seen" stays true however small the memory is. An attempt that is
 * asked about before it was seen is recorded as refused first; a copy of it
 * that arrives later is refused. Decision core: no sockets, no clock.
 */

/** enum recent_state - what is known of an attempt. */
enum recent_state {
	RECENT_NEVER_SEEN, /* it has certainly not been here */
	RECENT_FORGOTTEN,  /* it may have been here */
	RECENT_RUNNING,	   /* it waits or runs, see the entry's owner */
	RECENT_ENDED,	   /* see the entry's outcome and answer */
};

/** enum recent_purpose - who wants to know. */
enum recent_purpose {
	RECENT_ARRIVED, /* the attempt itself has come */
	RECENT_QUERIED, /* its node asks about it */
};

/**
 * struct recent_caller - one incarnation of a node that calls here
 * @highest_forgotten: highest sequence that fell out of memory
 * @history_complete: false if this caller may have been known before and dropped
 * @reference_count: entries and open connections that keep it in memory
 */
struct recent_caller {
	uint64_t incarnation;
	uint64_t highest_forgotten;
	bool history_complete;
	uint32_t reference_count;
	struct recent_caller *next;
	struct recent_caller *prev;
	struct recent_caller *chain;
};

/**
 * struct recent_entry - one attempt
 * @owner: of a running one, for the user of this memory
 * @outcome: of an ended one; its reason is NONE if there was an answer
 * @answer: bytes kept for it, NULL if there are none or no longer
 * @answer_expires_us: nobody asks for the answer after that; for its owner to
 *set before it ends
 */
struct recent_entry {
	struct call_id id;
	enum recent_state state;
	void *owner;
	struct call_outcome outcome;
	void *answer;
	size_t answer_bytes;
	int64_t answer_expires_us;
	struct recent_caller *caller;
	struct recent_entry *next;
	struct recent_entry *prev;
	struct recent_entry *chain;
};

/**
 * struct recent_limits - bounds of the memory
 * @entries_max: ended attempts that are remembered
 * @answer_bytes_max: of answers kept for them, all together
 * @callers_max: incarnations of callers' nodes
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
	struct recent_entry *answered; /* next whose answer goes, or NULL */
	uint32_t ended_count;
	uint32_t running_count;
	size_t answer_bytes;
	struct recent_caller **callers; /* hash table */
	struct recent_caller *idle;	/* not held, oldest first */
	uint32_t caller_count;
	uint32_t caller_buckets;
	bool caller_dropped;
	uint64_t forgotten; /* entries that fell out */
};

void recent_init(struct recent *recent, const struct recent_limits *limits);

/** recent_finish() - free all; owners of running entries are not touched. */
void recent_finish(struct recent *recent);

/**
 * recent_caller_acquire() - a caller's node has opened a connection
 *
 * While it is held, its floor is not forgotten, so that a copy that comes
 * late on that connection is recognized.
 */
struct recent_caller *recent_caller_acquire(struct recent *recent,
					    uint64_t incarnation);

/** recent_caller_release() - that connection has closed. */
void recent_caller_release(struct recent *recent, struct recent_caller *caller);

/**
 * recent_lookup() - what is known of an attempt
 * @entry: set for RECENT_RUNNING and RECENT_ENDED, else NULL
 */
enum recent_state recent_lookup(struct recent *recent, struct call_id id,
				enum recent_purpose purpose,
				struct recent_entry **entry);

/** recent_begin() - record an attempt that was never seen as running. */
struct recent_entry *recent_begin(struct recent *recent, struct call_id id,
				  void *owner);

/** recent_refuse() - record an attempt that was never seen as refused. */
void recent_refuse(struct recent *recent, struct call_id id,
		   enum call_reason reason);

/**
 * recent_end() - a running attempt has ended
 * @answer: from malloc(), owned by the memory from now on; may be NULL
 *
 * Return: false if the answer is too large to be kept; it is freed then, and
 * so may be @entry once something else is recorded.
 */
bool recent_end(struct recent *recent, struct recent_entry *entry,
		const struct call_outcome *outcome, void *answer,
		size_t answer_bytes);

/**
 * recent_expire() - let answers go that nobody asks for any more
 *
 * Those that ended first go first, so one with a long time to go keeps the
 * ones after it.
 */
void recent_expire(struct recent *recent, int64_t now_us);

#endif
