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
 * Gets versions to every node. Each node's datagrams tell the version that it
 * has applied (membership); a node that hears of a higher one pulls what it
 * lacks from whoever told it: the head as changes since its own version and
 * the bodies that these name. Once a version is in force a node tells its
 * neighbours once and no more (infect and die); the pings that go on anyway
 * find whoever was missed. Decision core without I/O: what is in force lies in
 * the keeper, which alone decides what may come into force.
 */

enum {
	SPREAD_SOURCES_MAX = 8,
	SPREAD_TRANSFERS_MAX = 64,
	SPREAD_RECIPIENTS_MAX = 4,
	SPREAD_REASON_SIZE = MEMBERS_REASON_SIZE,
};

/**
 * struct spread_options - bounds
 * @pull_timeout_us: without progress, before another node is asked
 * @refused_hold_us: how long a node that gave something invalid is not asked
 * @serves_max: nodes that are given a version at once
 * @serve_bytes_per_s: given to all of them together
 * @push_bytes: bodies sent along with a head, unasked
 * @plain: send everything to everybody; a baseline for benches
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

/** enum spread_action_type - what the caller is to do. */
enum spread_action_type {
	SPREAD_FRAME,
	SPREAD_APPLIED,	 /* set the head in membership and announce it */
	SPREAD_REFUSED,	 /* tell membership of a version refused here */
	SPREAD_PUSH_ALL, /* plain mode: see spread_push() */
};

/**
 * struct spread_action - one action
 * @conn: SPREAD_FRAME: on this connection; 0 for one to @to
 * @new_connection: the present connection to @to is silent, dial another
 * @bytes: a whole frame, valid until the next call
 * @head: SPREAD_APPLIED; its version also in SPREAD_REFUSED
 * @origin: SPREAD_APPLIED: it did not come from a peer
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
 * @unresponsive: it did not answer the last time; ask over a new connection
 */
struct spread_source {
	struct address address;
	uint64_t version; /* 0: free */
	int64_t not_before_us;
	bool unresponsive;
};

/**
 * struct spread_pull - the version being fetched
 * @full_head: the head is asked for whole, as changes did not fit
 */
struct spread_pull {
	bool active;
	bool full_head;
	struct address from;
	uint64_t version;
	int64_t deadline_us;
	int64_t begun_us;
};

/** struct spread_transfer - a connection on which a version is being given. */
struct spread_transfer {
	uint64_t conn;
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

struct spread {
	struct spread_options options;
	struct keeper *keeper;
	struct random random;
	int64_t now_us;
	bool offering_from_peer; /* what comes into force now came from a peer */
	struct spread_source sources[SPREAD_SOURCES_MAX];
	struct spread_pull pull;
	uint64_t refused_version;
	uint32_t refused_times;
	int64_t refused_until_us;
	struct spread_transfer transfers[SPREAD_TRANSFERS_MAX];
	struct address recipients[SPREAD_RECIPIENTS_MAX]; /* they have it now */
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

/** spread_init() - @keeper is asked and offered to, not owned. */
void spread_init(struct spread *spread, const struct spread_options *options,
		 struct keeper *keeper, int64_t now_us);
void spread_finish(struct spread *spread);

/** spread_peer_applied() - the node at @from has applied @version. */
void spread_peer_applied(struct spread *spread, uint64_t version,
			 const struct address *from, int64_t now_us);

/** spread_applied() - the keeper has put a version in force. */
void spread_applied(struct spread *spread, const struct config *config);

/** spread_frame() - a frame has come from a proved peer. */
void spread_frame(struct spread *spread, uint64_t conn,
		  const struct identity *peer, const struct message *message,
		  int64_t now_us);

/** spread_disconnected() - a connection dialed to @to has closed. */
void spread_disconnected(struct spread *spread, const struct address *to,
			 int64_t now_us);

/** spread_tick() - to be called when spread_next_us() has come. */
void spread_tick(struct spread *spread, int64_t now_us);

/** spread_next_us() - INT64_MAX if nothing is waited for. */
int64_t spread_next_us(const struct spread *spread);

/** spread_next_action() - take the next action; false if there is none. */
bool spread_next_action(struct spread *spread, struct spread_action *action);

/** spread_push() - plain mode: queue frames with everything to @to. */
void spread_push(struct spread *spread, const struct address *to);

/** spread_dump() - state for people; owned by the caller. */
json_t *spread_dump(const struct spread *spread);

#endif
