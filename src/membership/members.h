#ifndef MEMBERSHIP_MEMBERS_H
#define MEMBERSHIP_MEMBERS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "base/buffer.h"
#include "base/random.h"
#include "membership/record.h"
#include "wire/codec.h"

/**
 * DOC: members
 *
 * Who belongs to the deployment and who can be reached, as one node sees it.
 * Decision core: datagrams, frames and the time come in, sends and events
 * come out of a queue. Inside a data centre failures are detected by SWIM
 * with the local health of Lifeguard; a few linking nodes exchange digests
 * with the other data centres and then only what differs.
 *
 * What is known of a node is ordered by (incarnation, sequence, status). Only
 * the owner raises the first two. Others may mark a record suspect or
 * unreachable, or remember it as gone; the owner, once told, raises its
 * sequence and thereby refutes them all.
 */

enum {
	MEMBERS_BUCKETS = 64,
	MEMBERS_REPORTERS_MAX = 3,
	MEMBERS_RELAYS = 16,
	MEMBERS_KNOCKS = 64,
	MEMBERS_DEPARTED = 32, /* looked for at once */
	MEMBERS_COLLECTORS = 2,
	MEMBERS_UNANSWERED_MAX = 8,
	MEMBERS_DATA_CENTRES_MAX = 64,
	MEMBERS_SEEDS_MAX = 64,
	MEMBERS_LINKS_MAX = 16,
	MEMBERS_REASON_SIZE = 96,
	MEMBERS_STRAGGLERS = 3,
	MEMBERS_REFUSALS_MAX = 8,
	MEMBERS_SUMMARY_VERSIONS = 4,
	MEMBERS_DATAGRAM_BYTES = 1200,
};

/** enum member_status - what others hold of a node; a later one wins. */
enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_UNREACHABLE,
	MEMBER_GONE, /* forgotten; lives in marks only, never in the table */
};

/**
 * struct head_digest - a version of the configuration, in short
 * @chain: the first eight bytes of its chain hash
 */
struct head_digest {
	uint64_t version;
	uint64_t chain;
};

/** struct report - what a node of the own data centre told of itself. */
struct report {
	struct head_digest applied;
	uint64_t refused_version; /* 0 if none */
	char reason[MEMBERS_REASON_SIZE];
	uint64_t incarnation; /* of the node that told it */
	int64_t heard_us;
};

/** struct summary - who has applied what in one data centre. */
struct summary {
	uint64_t lowest;
	uint32_t nodes;
	uint32_t count; /* of versions listed, the highest first */
	uint64_t versions[MEMBERS_SUMMARY_VERSIONS];
	uint32_t nodes_at[MEMBERS_SUMMARY_VERSIONS];
	uint32_t straggler_count;
	char stragglers[MEMBERS_STRAGGLERS][NAME_SIZE];
	int64_t heard_us; /* 0: never */
};

/** struct refusal - a node of the own data centre that refused a version. */
struct refusal {
	char instance[NAME_SIZE];
	uint64_t version;
	char reason[MEMBERS_REASON_SIZE];
};

struct data_centre;

/** struct member - one node as seen from here. */
struct member {
	struct record record;
	uint64_t id;
	uint64_t digest; /* its part of the digests */
	enum member_status status;
	bool reported;	     /* reachability last told to the observer */
	bool reported_doubt; /* likewise, whether it was suspected */
	int64_t changed_us;
	struct data_centre *data_centre;
	int64_t suspect_since_us;
	int64_t suspect_until_us;
	uint64_t reporters[MEMBERS_REPORTERS_MAX];
	uint32_t reporter_count;
	struct report *report; /* own data centre only, else NULL */
	UT_hash_handle hh;
};

/**
 * struct data_centre - the records of one data centre
 * @members: sorted by id
 * @digest: over (id, incarnation, sequence, unreachable) of all
 * @stamp: orders judgements on reachability; the higher is newer
 * @word_us: when its own word last came, directly or through others; 0 never
 * @contact_us: when one of its nodes last answered here
 */
struct data_centre {
	char name[NAME_SIZE];
	uint64_t id;
	uint32_t index; /* in order of appearance */
	struct member **members;
	uint32_t count;
	uint32_t capacity;
	uint64_t digest;
	uint64_t buckets[MEMBERS_BUCKETS];
	bool reachable;
	uint32_t stamp;
	int64_t stamped_us;
	int64_t patience_us;
	int64_t word_us;
	int64_t contact_us;
	int64_t sync_us; /* last begun with it */
	uint32_t silent; /* link pings in a row without an answer */
	int64_t ping_at_us;
	struct summary summary;
	struct data_centre *next;
};

/** struct forgotten - a node whose return needs a newer word of its owner. */
struct forgotten {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	UT_hash_handle hh;
};

/** enum rumor_kind - what is told on. */
enum rumor_kind { RUMOR_RECORD, RUMOR_MARK, RUMOR_DATA_CENTRE };

/** struct rumor - news waiting to ride on datagrams. */
struct rumor {
	enum rumor_kind kind;
	uint64_t id; /* of the node or data centre */
	uint64_t incarnation;
	uint64_t sequence;
	enum member_status status;
	uint64_t reporter;
	uint32_t transmits;
	struct rumor *next;
	struct rumor *prev;
};

/** struct members_options - all times in microseconds. */
struct members_options {
	int64_t probe_interval_us;
	int64_t ping_timeout_us;
	uint32_t indirect;	 /* helpers asked after a missed ping */
	int64_t suspicion_us;	 /* shortest, times log10(n) */
	double suspicion_spread; /* longest over shortest suspicion */
	uint32_t health_max;
	uint32_t retransmit_factor; /* times log2(n) */
	uint32_t links;		    /* linking nodes per data centre */
	int64_t link_interval_us;
	int64_t link_timeout_us;
	int64_t sync_min_us;	  /* first wait between comparisons */
	int64_t sync_interval_us; /* longest, while tables differ */
	int64_t knock_min_us;
	int64_t knock_max_us;
	int64_t expiry_us;
	double floor_share; /* lost at once: doubt the own link */
	int64_t floor_hold_us;
	uint32_t forgotten_max;
	uint32_t serve_bytes_per_s;
	uint32_t eager_bytes_per_s;
	bool eager;	 /* tell news at once, not with the next ping */
	uint8_t fitness; /* of this node, see struct record */
	uint64_t seed;
};

/** members_options_init() - the defaults. */
void members_options_init(struct members_options *options);

/** enum members_event_type - what an observer is told. */
enum members_event_type {
	MEMBERS_RECORD,	     /* new, changed, or its reachability did */
	MEMBERS_DROPPED,     /* gone or expired */
	MEMBERS_DATA_CENTRE, /* a whole data centre became (un)reachable */
	MEMBERS_HEAD,	     /* a peer has applied a higher version */
};

/**
 * struct members_event - one event
 * @record: MEMBERS_RECORD; valid during the call
 * @suspect: MEMBERS_RECORD: somebody gets no answer from it; not proved yet
 * @name: instance dropped, or data centre
 * @head: MEMBERS_HEAD: what the peer at @from has
 */
struct members_event {
	enum members_event_type type;
	const struct record *record;
	bool reachable;
	bool suspect;
	char name[NAME_SIZE];
	struct head_digest head;
	struct address from;
};

/** enum members_action_type - what the caller is to do. */
enum members_action_type { MEMBERS_SEND, MEMBERS_FRAME, MEMBERS_EVENT };

/**
 * struct members_action - one action
 * @to: where a datagram or frame goes
 * @conn: MEMBERS_FRAME: on this connection; 0 for one to @to
 * @fresh: MEMBERS_FRAME: the present connection to @to is silent, dial anew
 * @bytes: datagram without seal, or whole frame; valid until the next call
 */
struct members_action {
	enum members_action_type type;
	struct address to;
	uint64_t conn;
	bool fresh;
	const uint8_t *bytes;
	uint32_t size;
	uint32_t offset;
	uint64_t id;
	struct members_event event;
};

/** struct relay - a ping sent for somebody else. */
struct relay {
	struct address requester;
	uint32_t requester_nonce;
	uint32_t nonce; /* 0: free */
	int64_t nack_at_us;
};

/** struct probe - the ping in progress. */
struct probe {
	uint64_t target; /* 0: none */
	uint32_t nonce;
	int64_t indirect_at_us;
	int64_t end_at_us;
	uint32_t helpers;
	uint32_t nacks_due;
	bool asked;
};

/** struct sync - the last comparison of whole tables begun here. */
struct sync {
	int64_t begun_us;
	int64_t wait_us;       /* until the next, doubles up to the interval */
	int64_t not_before_us; /* a peer was busy */
	struct address other;  /* whom it named instead */
	struct address unanswered[MEMBERS_UNANSWERED_MAX];
	uint32_t unanswered_at;
};

/** struct collector - a node that must hear what was applied here. */
struct collector {
	uint64_t id; /* 0: none */
	uint32_t nonce;
	bool told;
};

/** struct knock - an owner was asked whether its record still holds. */
struct knock {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	int64_t at_us;
};

/**
 * struct departed - a node that left and may come back at its address
 * @until_us: it is looked for; 0 for a free place
 */
struct departed {
	uint64_t id;
	struct address address;
	int64_t until_us;
};

/** struct members_counts - totals since the start. */
struct members_counts {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t suspected;
	uint64_t unreachable;
	uint64_t refuted;
	uint64_t stale_refused; /* stale records refused */
	uint64_t malformed;
	uint64_t syncs;
	uint64_t records_synced;
	uint64_t busy_sent;
	uint64_t eager_sent;
	uint64_t head_conflicts;
	uint64_t name_conflicts;
	uint64_t floor_held;
};

struct members {
	struct members_options options;
	struct random random;
	uint64_t id;
	struct member *self;
	struct data_centre *home;
	struct member *table; /* by id */
	struct data_centre *data_centres;
	struct forgotten *forgotten; /* by id, oldest first */
	struct rumor *rumors;
	uint32_t rumor_count;
	struct head_digest head;
	uint64_t refused_version;
	char refused_reason[MEMBERS_REASON_SIZE];
	int64_t now_us;
	int64_t last_tick_us;
	int64_t next_probe_us;
	int64_t next_link_us;
	int64_t next_knock_us;
	int64_t next_expiry_us;
	int64_t next_check_us;	 /* of suspicions */
	int64_t next_refresh_us; /* of duties */
	int64_t knock_wait_us;
	int64_t eager_at_us; /* 0: none due */
	int64_t eager_last_us;
	double eager_tokens;
	uint64_t packet_bytes; /* of datagrams queued so far */
	struct probe probe;
	struct relay relays[MEMBERS_RELAYS];
	struct knock knocks[MEMBERS_KNOCKS];
	uint32_t knock_at;
	struct departed departed[MEMBERS_DEPARTED];
	int64_t departed_at_us; /* of the next look for them; 0: none */
	uint64_t *order;	/* of probing, ids */
	uint32_t order_count;
	uint32_t order_capacity;
	uint32_t order_at;
	uint32_t health; /* Lifeguard's local health, 0 is well */
	uint32_t bad;	 /* suspect or unreachable in the own data centre */
	int64_t floor_since_us; /* 0: not below */
	int64_t heard_us;	/* anything, from anybody */
	int64_t source_us;	/* the source was last read here; 0: never */
	uint32_t nonce;
	struct address seeds[MEMBERS_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t differing; /* pings in a row with another digest */
	uint32_t equal;	    /* with the same */
	struct sync sync;
	int64_t started_us;
	int64_t conflict_us;
	int64_t asked_us;			       /* for the status */
	struct refusal refusals[MEMBERS_REFUSALS_MAX]; /* as a link told */
	uint32_t refusal_count;
	struct collector collectors[MEMBERS_COLLECTORS];
	int64_t collect_at_us; /* 0: all collectors know */
	double serve_tokens;
	int64_t serve_us;
	struct encoder encoder;
	struct buffer bytes; /* of queued actions */
	struct members_action *actions;
	uint32_t action_first;
	uint32_t action_count;
	uint32_t action_capacity;
	struct members_counts counts;
	bool floor;
	bool joined;	/* holds the state of its data centre */
	bool linking;	/* at the last look */
	bool announced; /* a version, to the neighbours */
	bool quiet;	/* many records come at once: tell none on */
};

/**
 * members_init() - begin with nobody but this node
 * @own: instance, data centre, address, incarnation; the rest may be empty
 */
void members_init(struct members *members,
		  const struct members_options *options,
		  const struct record *own, int64_t now_us);
void members_finish(struct members *members);

/** members_add_seed() - an address to look for others at; may repeat. */
void members_add_seed(struct members *members, const struct address *seed);

/** struct members_own - what the owner says of its upstream. */
struct members_own {
	char service[SERVICE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	enum upstream_state state;
	char version[UPSTREAM_VERSION_SIZE];
	uint32_t slots;
	int64_t serving_age_ms;
};

/** members_set_own() - raises the sequence and tells it on. */
void members_set_own(struct members *members, const struct members_own *own,
		     int64_t now_us);

/** members_set_head() - the version in force here; rides on datagrams. */
void members_set_head(struct members *members, const struct head_digest *head,
		      int64_t now_us);

/**
 * members_source_read() - the source of configuration was read in this data
 * centre
 * @at_us: when; what is older than known is ignored
 */
void members_source_read(struct members *members, int64_t at_us);

/** members_set_refused() - a version refused here, 0 for none any more. */
void members_set_refused(struct members *members, uint64_t version,
			 const char *reason, int64_t now_us);

/**
 * members_announce() - tell the version in force to neighbours at once
 * @origin: it came from the platform, so that no other node may know it:
 *	tell the other data centres too, as linking nodes always do, and the
 *	first time all members of the own one
 */
void members_announce(struct members *members, bool origin, int64_t now_us);

/**
 * members_report_suspect() - a node of the own data centre does not answer calls
 *
 * Its probe may be a probe interval away, while calls go there all the time
 * and are lost. It is suspected at once, which all are told, and can refute.
 * Nodes of other data centres are judged by their own.
 */
void members_report_suspect(struct members *members, const char *data_centre,
			    const char *instance, int64_t now_us);

/** members_leave() - say that this node leaves for good. */
void members_leave(struct members *members, int64_t now_us);

/** members_datagram() - a datagram whose seal was valid has come. */
void members_datagram(struct members *members, const struct address *from,
		      const void *data, size_t size, int64_t now_us);

/** members_frame() - a frame has come from a proved peer. */
void members_frame(struct members *members, uint64_t conn,
		   const struct identity *peer, const struct message *message,
		   int64_t now_us);

/** members_tick() - time has passed; to be called when members_next_us(). */
void members_tick(struct members *members, int64_t now_us);
/** members_next_us() - INT64_MAX once this node has left. */
int64_t members_next_us(const struct members *members);

/** members_next_action() - take the next action; false if there is none. */
bool members_next_action(struct members *members,
			 struct members_action *action);

/** members_next() - iterate over all records but the own; NULL begins. */
const struct member *members_next(const struct members *members,
				  const struct member *member);

/** members_find() - by instance and data centre, or NULL. */
struct member *members_find(const struct members *members,
			    const char *data_centre, const char *instance);

/** members_reachable() - whether a node may be sent work. */
bool members_reachable(const struct members *members,
		       const struct member *member);

/**
 * members_rank() - place of this node for a duty among the live members of
 * its data centre, by rendezvous hashing; 0 is first
 */
uint32_t members_rank(const struct members *members, const char *duty);

/**
 * members_first() - the live member that is first for a duty in a data centre
 *
 * Return: NULL if it has none.
 */
const struct member *members_first(const struct members *members,
				   const struct data_centre *centre,
				   const char *duty);

/** members_live() - live members of the own data centre, this node too. */
uint32_t members_live(const struct members *members);

/**
 * members_summary() - who has applied what
 * @data_centre: NULL for the own
 *
 * Complete on linking nodes and, for a while, where members_ask_status() was
 * answered; others know only what pings have told them.
 *
 * Return: false if nothing is known.
 */
bool members_summary(const struct members *members, const char *data_centre,
		     struct summary *summary);

/**
 * members_ask_status() - have members_summary() be complete soon
 *
 * Linking nodes know it already; others ask one of them, at most ten times a
 * second. To be called when an operator looks.
 */
void members_ask_status(struct members *members, int64_t now_us);

/** members_status_fresh() - whether members_summary() is complete now. */
bool members_status_fresh(const struct members *members);

/**
 * members_refusals() - who of the own data centre refused what, and why
 *
 * Complete where members_summary() is.
 *
 * Return: how many were written to @list, at most @max.
 */
uint32_t members_refusals(const struct members *members, struct refusal *list,
			  uint32_t max);

/** members_is_link() - whether this node links its data centre to others. */
bool members_is_link(const struct members *members);

/** members_summary_json() - a summary for people. */
json_t *members_summary_json(const struct summary *summary);

/** members_dump() - state for people; owned by the caller. */
json_t *members_dump(const struct members *members);

#endif
