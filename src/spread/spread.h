#ifndef SPREAD_SPREAD_H
#define SPREAD_SPREAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/random.h"
#include "membership/members.h"
#include "profile/keeper.h"
#include "wire/codec.h"

/**
 * DOC: spread
 *
 * Distributes versions to every node. The datagrams of each node carry the
 * version that the node has applied (membership). A node that receives a
 * higher version pulls the missing data from the sender: the head as changes
 * since the node's own version, and the bodies that the head names. When a
 * version comes into force, a node announces the version to its neighbours
 * once (infect and die); the periodic pings reach the nodes that missed the
 * announcement. This is a decision core without I/O: the keeper holds the
 * version in force and alone decides which version may come into force.
 */

enum {
	SPREAD_SOURCES_MAX = 8,
	SPREAD_TRANSFERS_MAX = 64,
	SPREAD_RECIPIENTS_MAX = 4,
	SPREAD_REASON_SIZE = MEMBERS_REASON_SIZE,
};

/**
 * struct spread_options - limits and timeouts
 * @pull_timeout_us: time without progress after which a pull fails and
 *	another source is asked, in microseconds
 * @refused_hold_us: time during which a source that sent an invalid version
 *	is not asked again, in microseconds
 * @serves_max: maximum number of transfers to other nodes at the same time
 * @serve_bytes_per_s: maximum rate of all transfers together, in bytes per
 *	second
 * @push_bytes: maximum size of the uncompressed bodies that are sent along
 *	with a head without a request, in bytes
 * @plain: push each version in full to every member; a baseline for
 *	comparison
 * @seed: seed of the random numbers; spread_net_init() replaces 0
 */
struct spread_options {
	int64_t pull_timeout_us;
	int64_t refused_hold_us;
	uint32_t serves_max;
	uint32_t serve_bytes_per_s;
	uint32_t push_bytes;
	bool plain;
	uint64_t seed;
};

void spread_options_init(struct spread_options *options);

/** enum spread_action_type - what the caller has to do. */
enum spread_action_type {
	SPREAD_FRAME,	 /* send a frame */
	SPREAD_APPLIED,	 /* set the head in membership and announce it */
	SPREAD_REFUSED,	 /* report the refused version to membership */
	SPREAD_PUSH_ALL, /* plain mode: call spread_push() for all members */
};

/**
 * struct spread_action - one action
 * @conn: SPREAD_FRAME: id of the connection to send on; 0 for any connection
 *	to @to
 * @to: SPREAD_FRAME: address of the receiving node
 * @new_connection: SPREAD_FRAME: nothing arrives on the present connection to
 *	@to, dial a new connection
 * @bytes: SPREAD_FRAME: a complete frame, valid until the next call of a
 *	function of this module
 * @size: size of @bytes, in bytes
 * @offset: internal: offset of the frame in the buffer, in bytes
 * @head: SPREAD_APPLIED: digest of the version in force; SPREAD_REFUSED: only
 *	the version is set
 * @origin: SPREAD_APPLIED: the version did not come from a peer
 * @reason: SPREAD_REFUSED: why the version was refused
 */
struct spread_action {
	enum spread_action_type type;
	uint64_t conn;
	struct address to;
	bool new_connection;
	const uint8_t *bytes;
	uint32_t size;
	uint32_t offset;
	struct head_digest head;
	bool origin;
	char reason[SPREAD_REASON_SIZE];
};

/**
 * struct spread_source - a node known to have a higher version
 * @version: highest version that the node is known to have; 0 if the entry is
 *	free
 * @not_before_us: monotonic time before which the node is not asked
 * @unresponsive: the last request timed out; the next request is sent over a
 *	new connection
 */
struct spread_source {
	struct address address;
	uint64_t version;
	int64_t not_before_us;
	bool unresponsive;
};

/**
 * struct spread_pull - the pull in progress
 * @full_head: the full head is requested because the keeper refused the
 *	changes
 * @from: address of the source
 * @version: version that the source had when the pull started
 * @deadline_us: monotonic time at which the pull fails without progress
 * @begun_us: monotonic time at which the pull started
 */
struct spread_pull {
	bool active;
	bool full_head;
	struct address from;
	uint64_t version;
	int64_t deadline_us;
	int64_t begun_us;
};

/**
 * struct spread_transfer - a transfer of a version to another node
 * @conn_id: id of the connection
 * @until_us: monotonic time from which the entry is free
 */
struct spread_transfer {
	uint64_t conn_id;
	int64_t until_us;
};

struct spread_counts {
	uint64_t pulls;
	uint64_t pulls_failed;
	uint64_t heads_sent;
	uint64_t bodies_sent;
	uint64_t bodies_received;
	uint64_t bodies_unwanted;
	uint64_t busy_sent;
	uint64_t busy_received;
	uint64_t refused;
	uint64_t malformed;
};

/**
 * struct spread - spread core of one node
 * @offering_from_peer: the current offer to the keeper came from a peer
 * @refused_version: version that was refused last, 0 for none
 * @refused_times: number of refusals of @refused_version
 * @refused_until_us: monotonic time until which @refused_version is not pulled
 *	again after refusals from several sources
 * @recipients: addresses of the nodes that were served last
 * @recipient_next: number of transfers served; modulo the size of @recipients
 *	the entry that is overwritten next
 * @serve_tokens: token bucket of the transfers, in bytes; may be negative
 * @serve_refilled_us: monotonic time of the last refill of @serve_tokens
 * @bytes: frames of the queued actions
 */
struct spread {
	struct spread_options options;
	struct keeper *keeper;
	struct random random;
	int64_t now_us;
	bool offering_from_peer;
	struct spread_source sources[SPREAD_SOURCES_MAX];
	struct spread_pull pull;
	uint64_t refused_version;
	uint32_t refused_times;
	int64_t refused_until_us;
	struct spread_transfer transfers[SPREAD_TRANSFERS_MAX];
	struct address recipients[SPREAD_RECIPIENTS_MAX];
	uint32_t recipient_next;
	double serve_tokens;
	int64_t serve_refilled_us;
	struct encoder encoder;
	struct buffer bytes;
	struct spread_action *actions;
	uint32_t action_first;
	uint32_t action_count;
	uint32_t action_capacity;
	struct spread_counts counts;
};

/** spread_init() - initialize; @keeper is borrowed and outlives @spread. */
void spread_init(struct spread *spread, const struct spread_options *options,
		 struct keeper *keeper, int64_t now_us);
void spread_finish(struct spread *spread);

/** spread_peer_applied() - the peer at @from has applied @version. */
void spread_peer_applied(struct spread *spread, uint64_t version,
			 const struct address *from, int64_t now_us);

/** spread_applied() - the keeper has put a version in force. */
void spread_applied(struct spread *spread, const struct config *config);

/** spread_frame() - handle a frame from an authenticated peer. */
void spread_frame(struct spread *spread, uint64_t conn_id,
		  const struct identity *peer, const struct message *message,
		  int64_t now_us);

/** spread_disconnected() - a connection that was dialed to @to has closed. */
void spread_disconnected(struct spread *spread, const struct address *to,
			 int64_t now_us);

/** spread_tick() - handle timeouts; due at spread_next_us(). */
void spread_tick(struct spread *spread, int64_t now_us);

/** spread_next_us() - when spread_tick() is due; INT64_MAX for never. */
int64_t spread_next_us(const struct spread *spread);

/** spread_next_action() - remove the next action; false if there is none. */
bool spread_next_action(struct spread *spread, struct spread_action *action);

/** spread_push() - plain mode: queue the full head and its bodies for @to. */
void spread_push(struct spread *spread, const struct address *to);

/** spread_dump() - state for operators; owned by the caller. */
json_t *spread_dump(const struct spread *spread);

#endif
