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
 * Group membership and failure detection from the view of one node. The core
 * does no I/O: the caller passes in datagrams, frames and the time, and takes
 * messages to send and events from a queue. Failures within a data centre are
 * detected by SWIM with the local health of Lifeguard. A few linking nodes of
 * each data centre compare digests with the other data centres and exchange
 * only the records that differ.
 *
 * Updates about a node are ordered by (incarnation, sequence, status). Only
 * the owner of a record raises incarnation and sequence. Other nodes may mark
 * the record suspect or unreachable, or keep a tombstone for the record. An
 * owner that receives such a mark raises its sequence and thereby refutes all
 * marks on the older sequence.
 *
 * Mark: an update that carries only a status for the (incarnation, sequence) of
 * a node's record. Sync: a comparison of the tables of two nodes, after which
 * the records that differ are exchanged (anti-entropy).
 */

enum {
	MEMBERS_BUCKETS = 64,
	MEMBERS_REPORTERS_MAX = 3,
	MEMBERS_RELAYS = 16,
	MEMBERS_OWNER_CHECKS = 64,
	MEMBERS_DEPARTED = 32,
	MEMBERS_COLLECTORS = 2,
	MEMBERS_UNANSWERED_MAX = 8,
	MEMBERS_DATA_CENTRES_MAX = 64,
	MEMBERS_SEEDS_MAX = 64,
	MEMBERS_LINKS_MAX = 16,
	MEMBERS_REASON_SIZE = 96,
	MEMBERS_LAGGING_MAX = 3,
	MEMBERS_REFUSALS_MAX = 8,
	MEMBERS_SUMMARY_VERSIONS = 4,
	MEMBERS_DATAGRAM_BYTES = 1200,
};

/**
 * enum member_status - status of a node as seen by other nodes
 *
 * Of two updates with equal incarnation and sequence the higher status wins.
 */
enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_UNREACHABLE,
	MEMBER_GONE, /* removed; used in marks only, never in the table */
};

/**
 * struct head_digest - identification of a configuration version
 * @version: number of the version; 0 if a node has none
 * @chain: the first eight bytes of the chain hash of the version
 */
struct head_digest {
	uint64_t version;
	uint64_t chain;
};

/**
 * struct report - configuration status of a node of the own data centre
 * @applied: the version in force at the node
 * @refused_version: the version that the node refused, 0 for none
 * @reason: why the node refused @refused_version
 * @incarnation: the incarnation of the node that sent @applied
 * @received_us: when @applied was last received, in microseconds
 */
struct report {
	struct head_digest applied;
	uint64_t refused_version;
	char reason[MEMBERS_REASON_SIZE];
	uint64_t incarnation;
	int64_t received_us;
};

/**
 * struct summary - versions in force at the live nodes of one data centre
 * @lowest: the lowest version in force at any node
 * @nodes: number of live nodes
 * @count: number of entries in @versions and @nodes_at
 * @versions: the highest versions in force, in descending order
 * @nodes_at: for each entry of @versions, the number of nodes that have
 *	applied exactly that version
 * @lagging_count: number of entries in @lagging
 * @lagging: some of the nodes that have not applied the highest version
 * @received_us: when the summary was computed or received, in microseconds;
 *	0 for never
 */
struct summary {
	uint64_t lowest;
	uint32_t nodes;
	uint32_t count;
	uint64_t versions[MEMBERS_SUMMARY_VERSIONS];
	uint32_t nodes_at[MEMBERS_SUMMARY_VERSIONS];
	uint32_t lagging_count;
	char lagging[MEMBERS_LAGGING_MAX][NAME_SIZE];
	int64_t received_us;
};

/**
 * struct refusal - a version refused by a node of the own data centre
 * @instance: instance of the node
 * @version: the refused version
 * @reason: why the node refused the version
 */
struct refusal {
	char instance[NAME_SIZE];
	uint64_t version;
	char reason[MEMBERS_REASON_SIZE];
};

struct data_centre;

/**
 * struct member - one node as seen by this node
 * @record: the newest record received from or about the node
 * @id: hash of the names of data centre and instance
 * @digest: what the member adds to the digests of its data centre
 * @status: whether the node is alive, suspect or unreachable
 * @reported: the reachability last passed on with a MEMBERS_RECORD event
 * @reported_suspect: whether that event marked the node as suspect
 * @changed_us: when @record or @status last changed, in microseconds
 * @data_centre: the data centre of the node; not owned
 * @suspect_since_us: when the suspicion began, in microseconds
 * @suspect_until_us: when a suspect becomes unreachable, in microseconds
 * @reporters: ids of the nodes that reported the node as suspect
 * @reporter_count: number of entries in @reporters
 * @report: configuration status of the node; owned, NULL if none was received
 *	and always NULL for nodes of other data centres
 * @hh: links the member into the table, by @id
 */
struct member {
	struct record record;
	uint64_t id;
	uint64_t digest;
	enum member_status status;
	bool reported;
	bool reported_suspect;
	int64_t changed_us;
	struct data_centre *data_centre;
	int64_t suspect_since_us;
	int64_t suspect_until_us;
	uint64_t reporters[MEMBERS_REPORTERS_MAX];
	uint32_t reporter_count;
	struct report *report;
	UT_hash_handle hh;
};

/**
 * struct data_centre - the records of one data centre
 * @name: name of the data centre
 * @id: hash of @name
 * @index: position in the order in which data centres became known
 * @members: all members of the data centre, sorted by id
 * @count: number of members
 * @capacity: number of allocated entries in @members
 * @digest: sum of the hashes of (id, incarnation, sequence, unreachable) of
 *	all members
 * @buckets: @digest, split by member id modulo MEMBERS_BUCKETS
 * @reachable: whether linking nodes can reach the data centre
 * @stamp: logical timestamp of @reachable; the higher is newer, 0 if nobody
 *	has judged the reachability yet
 * @judged_us: when @reachable was last set, in microseconds
 * @unreachable_after_us: silence after which this node, if a linking node,
 *	marks the data centre unreachable, in microseconds
 * @current_at_us: time as of which the records held are known to be current, in
 *	microseconds; 0 for never
 * @contact_us: when a node of the data centre last answered this node, in
 *	microseconds
 * @sync_us: when this node last asked the data centre for a sync, in
 *	microseconds
 * @unanswered_pings: number of link pings in a row without an answer
 * @ping_at_us: no link ping is sent before this time, in microseconds
 * @summary: versions in force in the data centre
 * @next: the next data centre in the list
 */
struct data_centre {
	char name[NAME_SIZE];
	uint64_t id;
	uint32_t index;
	struct member **members;
	uint32_t count;
	uint32_t capacity;
	uint64_t digest;
	uint64_t buckets[MEMBERS_BUCKETS];
	bool reachable;
	uint32_t stamp;
	int64_t judged_us;
	int64_t unreachable_after_us;
	int64_t current_at_us;
	int64_t contact_us;
	int64_t sync_us;
	uint32_t unanswered_pings;
	int64_t ping_at_us;
	struct summary summary;
	struct data_centre *next;
};

/**
 * struct tombstone - what is kept of a removed record
 * @id: id of the removed member
 * @incarnation: incarnation of the removed record
 * @sequence: sequence of the removed record
 * @hh: links the tombstone into a hash table, by @id
 *
 * Records that are not newer than the tombstone are rejected, so that a record
 * that some node still holds does not bring a removed member back.
 */
struct tombstone {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	UT_hash_handle hh;
};

/** enum rumor_kind - kinds of updates that are gossiped. */
enum rumor_kind { RUMOR_RECORD, RUMOR_MARK, RUMOR_DATA_CENTRE };

/**
 * struct rumor - an update in the queue of the gossip
 * @kind: what the update is about
 * @id: id of the node or data centre
 * @incarnation: RUMOR_MARK: incarnation of the marked record
 * @sequence: RUMOR_MARK: sequence of the marked record
 * @status: RUMOR_MARK: the status that the mark gives to the node
 * @reporter: RUMOR_MARK: id of the node that reported the suspicion, or 0
 * @transmits: number of datagrams that have carried the update
 * @next: the next rumor in the queue
 * @prev: the previous rumor in the queue
 */
struct rumor {
	enum rumor_kind kind;
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	enum member_status status;
	uint64_t reporter;
	uint32_t transmits;
	struct rumor *next;
	struct rumor *prev;
};

/**
 * struct members_options - options of the membership core
 * @probe_interval_us: time between two probes, in microseconds
 * @ping_timeout_us: wait for an answer before indirect pings are sent, in
 *	microseconds
 * @indirect: number of nodes asked for an indirect ping
 * @suspicion_us: shortest suspicion, in microseconds; multiplied by the
 *	decimal logarithm of the number of nodes
 * @suspicion_spread: ratio of the longest to the shortest suspicion
 * @health_max: upper bound of the local health
 * @retransmit_factor: transmissions of one update; multiplied by the binary
 *	logarithm of the number of nodes
 * @links: number of linking nodes in each data centre
 * @link_interval_us: time between two link pings, in microseconds
 * @link_timeout_us: silence after which a data centre counts as unreachable,
 *	in microseconds
 * @sync_min_us: first wait between two syncs, in microseconds
 * @sync_interval_us: longest wait between two syncs while the tables differ, in
 *	microseconds
 * @reconnect_min_us: shortest wait between two rounds of pings to lost members
 *	and seeds, in microseconds
 * @reconnect_max_us: longest wait between two such rounds, in microseconds
 * @expiry_us: time after which an unreachable member of the own data centre
 *	is removed, in microseconds
 * @floor_share: if a larger share of the own data centre is suspect or
 *	unreachable, this node assumes that its own link has failed and treats
 *	all members of its data centre as reachable
 * @floor_hold_us: longest time for which this node assumes so while it still
 *	receives datagrams, in microseconds
 * @tombstones_max: maximum number of tombstones
 * @serve_bytes_per_s: bytes of frames that this node sends per second before
 *	it answers requests for a sync as busy
 * @eager_bytes_per_s: bytes per second of datagrams sent on top of the pings
 *	to spread updates at once
 * @eager: whether updates are sent at once instead of with the next ping
 * @fitness: fitness of this node for duties, see struct record; set in the
 *	own record
 * @seed: seed of the random numbers
 */
struct members_options {
	int64_t probe_interval_us;
	int64_t ping_timeout_us;
	uint32_t indirect;
	int64_t suspicion_us;
	double suspicion_spread;
	uint32_t health_max;
	uint32_t retransmit_factor;
	uint32_t links;
	int64_t link_interval_us;
	int64_t link_timeout_us;
	int64_t sync_min_us;
	int64_t sync_interval_us;
	int64_t reconnect_min_us;
	int64_t reconnect_max_us;
	int64_t expiry_us;
	double floor_share;
	int64_t floor_hold_us;
	uint32_t tombstones_max;
	uint32_t serve_bytes_per_s;
	uint32_t eager_bytes_per_s;
	bool eager;
	uint8_t fitness;
	uint64_t seed;
};

/** members_options_init() - Sets all options to their defaults. */
void members_options_init(struct members_options *options);

/** enum members_event_type - kinds of events for the observer. */
enum members_event_type {
	MEMBERS_RECORD,	 /* record new or changed, or reachability changed */
	MEMBERS_DROPPED, /* a member was removed */
	MEMBERS_DATA_CENTRE, /* the reachability of a data centre changed */
	MEMBERS_HEAD,	     /* a peer has applied a higher version */
};

/**
 * struct members_event - one event
 * @type: which of the other fields are set
 * @record: MEMBERS_RECORD: the record; valid until the next call
 * @reachable: MEMBERS_RECORD, MEMBERS_DATA_CENTRE: whether the node or the
 *	data centre is reachable
 * @suspect: MEMBERS_RECORD: whether the node is suspected to have failed
 * @name: MEMBERS_DROPPED: instance of the removed member;
 *	MEMBERS_DATA_CENTRE: name of the data centre
 * @head: MEMBERS_HEAD: version in force at the peer
 * @from: MEMBERS_HEAD: address of the peer
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

/** enum members_action_type - kinds of actions for the caller. */
enum members_action_type { MEMBERS_SEND, MEMBERS_FRAME, MEMBERS_EVENT };

/**
 * struct members_action - one action
 * @type: what the caller must do
 * @to: address to which the datagram or frame is sent
 * @conn: MEMBERS_FRAME: connection on which the frame is sent; 0 for any
 *	connection to @to
 * @new_connection: MEMBERS_FRAME: whether the caller must open a new connection
 *	since no answer arrives on the present connection to @to
 * @bytes: datagram without its MAC, or whole frame; valid until the next call
 * @size: number of bytes in @bytes
 * @offset: private: position of the bytes in the queue
 * @id: private: id of the member if @event is a MEMBERS_RECORD
 * @event: MEMBERS_EVENT: the event
 */
struct members_action {
	enum members_action_type type;
	struct address to;
	uint64_t conn;
	bool new_connection;
	const uint8_t *bytes;
	uint32_t size;
	uint32_t offset;
	uint64_t id;
	struct members_event event;
};

/**
 * struct relay - a ping sent on behalf of another node
 * @requester: address of the node that asked for the indirect ping
 * @requester_nonce: nonce of the request, repeated in the answer
 * @nonce: nonce of the ping; 0 if the entry is free
 * @nack_at_us: when the requester gets a negative answer, in microseconds
 */
struct relay {
	struct address requester;
	uint32_t requester_nonce;
	uint32_t nonce;
	int64_t nack_at_us;
};

/**
 * struct probe - the probe in progress
 * @target: id of the probed member; 0 if no probe is in progress
 * @nonce: nonce of the ping
 * @indirect_at_us: when indirect pings are sent, in microseconds
 * @end_at_us: when the probe fails, in microseconds
 * @helpers: number of nodes asked for an indirect ping
 * @nacks_missing: number of these nodes that have sent no negative answer
 * @indirect_sent: whether indirect pings were sent
 */
struct probe {
	uint64_t target;
	uint32_t nonce;
	int64_t indirect_at_us;
	int64_t end_at_us;
	uint32_t helpers;
	uint32_t nacks_missing;
	bool indirect_sent;
};

/**
 * struct sync - the last sync that this node asked for
 * @begun_us: when the sync began, in microseconds; 0 for never
 * @wait_us: wait until the next sync, in microseconds; doubles up to the option
 *	sync_interval_us
 * @not_before_us: no sync begins before this time, since a peer was busy, in
 *	microseconds
 * @redirect: address that a busy peer named instead; family 0 for none
 * @unanswered: addresses of peers that have not answered yet; family 0 in free
 *	entries
 * @unanswered_at: number of entries written to @unanswered so far
 */
struct sync {
	int64_t begun_us;
	int64_t wait_us;
	int64_t not_before_us;
	struct address redirect;
	struct address unanswered[MEMBERS_UNANSWERED_MAX];
	uint32_t unanswered_at;
};

/**
 * struct collector - a linking node that collects the versions in force
 * @id: id of the member; 0 if the entry is free
 * @nonce: nonce of the last ping to the collector
 * @acknowledged: whether the collector has answered since the last change
 */
struct collector {
	uint64_t id;
	uint32_t nonce;
	bool acknowledged;
};

/**
 * struct owner_check - a ping to the owner of a record sent by other nodes
 * @id: id of the member
 * @incarnation: incarnation of the record
 * @sequence: sequence of the record
 * @at_us: when the ping was sent, in microseconds
 */
struct owner_check {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	int64_t at_us;
};

/**
 * struct departed - a node that left and may come back at the same address
 * @id: id of the member
 * @address: address that is pinged
 * @until_us: end of the pings, in microseconds; 0 if the entry is free
 */
struct departed {
	uint64_t id;
	struct address address;
	int64_t until_us;
};

/**
 * struct members_counts - totals since members_init()
 * @probes: probes begun
 * @probes_failed: probes that ended without an answer
 * @suspected: members that became suspect
 * @unreachable: members of the own data centre that became unreachable
 * @refuted: marks and records about this node that were refuted
 * @stale_refused: received updates that were rejected due to a tombstone
 * @malformed: received datagrams and frames with an error: malformed, of
 *	unknown type or over a limit
 * @syncs: syncs that this node asked for
 * @records_synced: records and marks received in syncs
 * @busy_sent: requests for a sync that were answered as busy
 * @eager_sent: datagrams sent to spread updates at once
 * @head_conflicts: datagrams with the version in force here, but another
 *	chain hash
 * @name_conflicts: signs of another process that uses the name of this node
 * @floor_held: times that most of the data centre seemed lost at once, see
 *	table_update_floor()
 */
struct members_counts {
	uint64_t probes;
	uint64_t probes_failed;
	uint64_t suspected;
	uint64_t unreachable;
	uint64_t refuted;
	uint64_t stale_refused;
	uint64_t malformed;
	uint64_t syncs;
	uint64_t records_synced;
	uint64_t busy_sent;
	uint64_t eager_sent;
	uint64_t head_conflicts;
	uint64_t name_conflicts;
	uint64_t floor_held;
};

/**
 * struct members - the membership core of one node
 * @options: options
 * @random: random numbers
 * @id: id of this node
 * @self: the member that stands for this node
 * @home: the own data centre
 * @table: all members, by id; owned
 * @data_centres: all known data centres; owned
 * @tombstone: all tombstones, by id, the oldest first; owned
 * @rumors: queue of the gossip; owned
 * @rumor_count: number of entries in @rumors
 * @head: the version in force at this node
 * @refused_version: the version that this node refused, 0 for none
 * @refused_reason: why this node refused @refused_version
 * @now_us: the time of the current call, in microseconds
 * @last_tick_us: when members_tick() was last called, in microseconds
 * @next_probe_us: when the next probe begins, in microseconds
 * @next_link_us: when the next link pings are sent, in microseconds
 * @next_reconnect_us: when lost members and seeds are pinged next, in
 *	microseconds
 * @next_expiry_us: when unreachable members are checked for expiry next, in
 *	microseconds
 * @next_suspicion_check_us: when suspects are checked next, in microseconds
 * @next_refresh_us: when the collectors are chosen next, in microseconds
 * @reconnect_wait_us: wait between two rounds of pings to lost members and
 *	seeds, in microseconds
 * @eager_at_us: when updates are sent on top of the pings, in microseconds; 0
 *	if none are due
 * @eager_last_us: when @eager_tokens was last refilled, in microseconds
 * @eager_tokens: bytes that may be sent to spread updates at once
 * @packet_bytes: total bytes of all datagrams queued so far
 * @probe: the probe in progress
 * @relays: pings sent on behalf of other nodes
 * @owner_checks: ring buffer of pings to owners of records
 * @owner_check_next: number of entries written to @owner_checks so far
 * @departed: nodes that left and are pinged for a while
 * @departed_at_us: when these nodes are pinged next, in microseconds; 0 if
 *	there are none
 * @probe_order: ids of the members in the order in which they are probed
 * @probe_order_count: number of entries in @probe_order
 * @probe_order_capacity: number of allocated entries in @probe_order
 * @probe_order_next: index in @probe_order of the next member to probe
 * @health: local health of Lifeguard; 0 is healthy
 * @not_alive_count: number of suspect or unreachable members of the own data
 *	centre
 * @floor_since_us: since when most of the data centre seems lost, in
 *	microseconds; 0 if most members are alive
 * @received_us: when a datagram of any node was last received, in microseconds
 * @source_read_us: when a node of the data centre last read the platform's
 *	service, in microseconds; 0 for never
 * @nonce: the last nonce used
 * @seeds: addresses to find other nodes at
 * @seed_count: number of entries in @seeds
 * @digests_differing: number of pings in a row whose digest differed
 * @digests_equal: number of pings in a row whose digest was equal
 * @sync: the last sync that this node asked for
 * @started_us: when members_init() was called, in microseconds
 * @conflict_us: when this node last raised its incarnation due to a name
 *	conflict, in microseconds; 0 for never
 * @status_query_us: when the last status query was sent, in microseconds
 * @refusals: refused versions as received from a linking node
 * @refusal_count: number of entries in @refusals
 * @collectors: the linking nodes that collect the versions in force
 * @collect_at_us: when collectors are pinged next, in microseconds; 0 if all
 *	have acknowledged
 * @serve_tokens: bytes of frames that may be sent before this node is busy
 * @serve_us: when @serve_tokens was last refilled, in microseconds
 * @encoder: encoder of datagrams and frames
 * @bytes: bytes of the queued actions
 * @actions: the queue of actions; owned
 * @action_first: index of the first action that was not taken yet
 * @action_count: number of actions in the queue, those taken included
 * @action_capacity: number of allocated entries in @actions
 * @counts: totals
 * @floor_active: whether this node assumes that its own link has failed, see
 *	table_update_floor()
 * @joined: whether this node has the state of its data centre
 * @linking: whether this node was a linking node at the last check
 * @first_announced: whether this node has announced a version
 * @rumors_paused: whether merged updates are not queued for the gossip, since
 *	many records arrive at once
 */
struct members {
	struct members_options options;
	struct random random;
	uint64_t id;
	struct member *self;
	struct data_centre *home;
	struct member *table;
	struct data_centre *data_centres;
	struct tombstone *tombstone;
	struct rumor *rumors;
	uint32_t rumor_count;
	struct head_digest head;
	uint64_t refused_version;
	char refused_reason[MEMBERS_REASON_SIZE];
	int64_t now_us;
	int64_t last_tick_us;
	int64_t next_probe_us;
	int64_t next_link_us;
	int64_t next_reconnect_us;
	int64_t next_expiry_us;
	int64_t next_suspicion_check_us;
	int64_t next_refresh_us;
	int64_t reconnect_wait_us;
	int64_t eager_at_us;
	int64_t eager_last_us;
	double eager_tokens;
	uint64_t packet_bytes;
	struct probe probe;
	struct relay relays[MEMBERS_RELAYS];
	struct owner_check owner_checks[MEMBERS_OWNER_CHECKS];
	uint32_t owner_check_next;
	struct departed departed[MEMBERS_DEPARTED];
	int64_t departed_at_us;
	uint64_t *probe_order;
	uint32_t probe_order_count;
	uint32_t probe_order_capacity;
	uint32_t probe_order_next;
	uint32_t health;
	uint32_t not_alive_count;
	int64_t floor_since_us;
	int64_t received_us;
	int64_t source_read_us;
	uint32_t nonce;
	struct address seeds[MEMBERS_SEEDS_MAX];
	uint32_t seed_count;
	uint32_t digests_differing;
	uint32_t digests_equal;
	struct sync sync;
	int64_t started_us;
	int64_t conflict_us;
	int64_t status_query_us;
	struct refusal refusals[MEMBERS_REFUSALS_MAX];
	uint32_t refusal_count;
	struct collector collectors[MEMBERS_COLLECTORS];
	int64_t collect_at_us;
	double serve_tokens;
	int64_t serve_us;
	struct encoder encoder;
	struct buffer bytes;
	struct members_action *actions;
	uint32_t action_first;
	uint32_t action_count;
	uint32_t action_capacity;
	struct members_counts counts;
	bool floor_active;
	bool joined;
	bool linking;
	bool first_announced;
	bool rumors_paused;
};

/**
 * members_init() - Initialises a table that holds only this node
 * @own: record of this node: instance, data centre, address and incarnation
 *	are required; the other fields may be empty
 */
void members_init(struct members *members,
		  const struct members_options *options,
		  const struct record *own, int64_t now_us);
void members_finish(struct members *members);

/**
 * members_add_seed() - Adds an address at which other nodes may be found
 *
 * Has no effect if the address was added before, or if there are
 * MEMBERS_SEEDS_MAX seeds already.
 */
void members_add_seed(struct members *members, const struct address *seed);

/**
 * struct members_upstream - what a node publishes about its upstream
 * @service: service that the upstream belongs to; "" for none
 * @profile: profile of the upstream
 * @state: whether the upstream accepts calls
 * @version: version of the software that the upstream runs; may be ""
 * @upstream_start: see struct record
 * @slots: number of requests that the upstream runs at once
 * @serving_age_ms: how long the upstream has been serving, in milliseconds
 */
struct members_upstream {
	char service[SERVICE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	enum upstream_state state;
	char version[UPSTREAM_VERSION_SIZE];
	uint64_t upstream_start;
	uint32_t slots;
	int64_t serving_age_ms;
};

/**
 * members_set_upstream() - Publishes the state of the upstream of this node
 *
 * A change raises the sequence of the own record and queues the record for the
 * gossip. A change of only @serving_age_ms is stored, but not published.
 */
void members_set_upstream(struct members *members,
			  const struct members_upstream *own, int64_t now_us);

/**
 * members_set_head() - Sets the version in force at this node
 *
 * Every datagram carries the version.
 */
void members_set_head(struct members *members, const struct head_digest *head,
		      int64_t now_us);

/**
 * members_source_read() - Notes that a node of this data centre has read the
 * platform's service
 * @at_us: when, in microseconds; ignored if a later read is known
 */
void members_source_read(struct members *members, int64_t at_us);

/**
 * members_ask_source_read() - asks when the platform's service was last read
 * @duty: duty of the node that reads; its first member is asked
 *
 * Each datagram tells the time of the last read, but few are sent while nothing
 * changes, and a node learns of it late in a large data centre.
 */
void members_ask_source_read(struct members *members, const char *duty,
			     int64_t now_us);

/**
 * members_set_refused() - Sets the version that this node refused
 * @version: the version, 0 if none is refused any more
 * @reason: why; cut to MEMBERS_REASON_SIZE
 */
void members_set_refused(struct members *members, uint64_t version,
			 const char *reason, int64_t now_us);

/**
 * members_announce() - Sends the version in force to neighbours at once
 * @origin: whether this node has read the version from the platform's service,
 *	so that possibly no other node has it. If true, the other data centres
 *	get a datagram too, and the first announcement goes to many members of
 *	the own data centre instead of only to the neighbours. A linking node
 *	always sends to the other data centres.
 */
void members_announce(struct members *members, bool origin, int64_t now_us);

/**
 * members_report_suspect() - Reports a node of the own data centre that does
 * not answer calls
 *
 * The next probe of the node may be a long time away, while calls to the node
 * are lost. The node becomes suspect at once, all members of the data centre
 * are informed, and the node can refute the suspicion. Nodes of other data
 * centres are ignored: only members of a data centre judge its nodes.
 */
void members_report_suspect(struct members *members, const char *data_centre,
			    const char *instance, int64_t now_us);

/** members_leave() - Announces that this node leaves the deployment. */
void members_leave(struct members *members, int64_t now_us);

/**
 * members_datagram() - Handles a received datagram
 * @from: address of the sender
 * @data: the datagram without its MAC, which the caller has verified
 */
void members_datagram(struct members *members, const struct address *from,
		      const void *data, size_t size, int64_t now_us);

/**
 * members_frame() - Handles a received frame
 * @conn: connection on which the frame was received
 * @peer: authenticated identity of the sender
 */
void members_frame(struct members *members, uint64_t conn,
		   const struct identity *peer, const struct message *message,
		   int64_t now_us);

/** members_tick() - Runs what is due; to be called at members_next_us(). */
void members_tick(struct members *members, int64_t now_us);
/**
 * members_next_us() - Returns when members_tick() must be called next
 *
 * Return: a time in microseconds; INT64_MAX once this node has left.
 */
int64_t members_next_us(const struct members *members);

/**
 * members_next_action() - Takes the next action from the queue
 *
 * Return: false if the queue is empty.
 */
bool members_next_action(struct members *members,
			 struct members_action *action);

/**
 * members_next() - Iterates over all members except this node
 * @member: the previous member; NULL for the first call
 *
 * Return: NULL at the end.
 */
const struct member *members_next(const struct members *members,
				  const struct member *member);

/** members_find() - Returns the member with these names, or NULL. */
struct member *members_find(const struct members *members,
			    const char *data_centre, const char *instance);

/** members_reachable() - Returns true if calls may be sent to a node. */
bool members_reachable(const struct members *members,
		       const struct member *member);

/**
 * members_rank() - Returns the rank of this node for a duty
 *
 * The live members of the data centre are ordered by fitness, and members of
 * equal fitness by rendezvous hashing.
 *
 * Return: 0 for the first member; UINT32_MAX if this node may have no duty
 * since its upstream leaves.
 */
uint32_t members_rank(const struct members *members, const char *duty);

/**
 * members_responsive_rank() - Returns the rank among members that respond
 *
 * Like members_rank(), but does not count suspects. While most members seem
 * lost, they stay suspects for long; a duty that must not wait for them is
 * assigned by this rank. Several nodes may have the same rank for a moment.
 */
uint32_t members_responsive_rank(const struct members *members,
				 const char *duty);

/** members_many_lost() - Returns true if many members of the data centre do not
 * respond. */
bool members_many_lost(const struct members *members);

/**
 * members_first() - Returns the live member that is first for a duty
 *
 * Return: NULL if the data centre has no member for the duty.
 */
const struct member *members_first(const struct members *members,
				   const struct data_centre *centre,
				   const char *duty);

/**
 * members_live_count() - Returns the number of live members of the own data
 * centre, this node included
 */
uint32_t members_live_count(const struct members *members);

/**
 * members_summary() - Gets the versions in force in a data centre
 * @data_centre: name of the data centre, NULL for the own data centre
 *
 * The summary is complete on linking nodes and, for a while, on nodes that got
 * an answer to members_query_status(). On other nodes the summary of the own
 * data centre holds only what datagrams to this node have reported.
 *
 * Return: false if nothing is known of the data centre.
 */
bool members_summary(const struct members *members, const char *data_centre,
		     struct summary *summary);

/**
 * members_query_status() - Queries a linking node for all summaries
 *
 * The answer completes what members_summary() returns. Has no effect on a
 * linking node, whose summaries are complete, and within 100 ms of the last
 * query. To be called when an operator requests the status.
 */
void members_query_status(struct members *members, int64_t now_us);

/** members_status_current() - Returns true if members_summary() is complete. */
bool members_status_current(const struct members *members);

/**
 * members_refusals() - Gets the versions refused in the own data centre
 * @list: receives a refusal for each node that refused a version
 * @max: maximum number of entries written to @list
 *
 * Complete on the nodes on which members_summary() is complete.
 *
 * Return: number of entries written to @list.
 */
uint32_t members_refusals(const struct members *members, struct refusal *list,
			  uint32_t max);

/**
 * members_is_link() - Returns true if this node is one of the linking nodes,
 * which exchange updates with the other data centres
 */
bool members_is_link(const struct members *members);

/**
 * members_summary_json() - Returns a summary as JSON for operators
 *
 * Return: an object owned by the caller.
 */
json_t *members_summary_json(const struct summary *summary);

/**
 * members_dump() - Returns the state as JSON for operators
 *
 * Return: an object owned by the caller.
 */
json_t *members_dump(const struct members *members);

#endif
