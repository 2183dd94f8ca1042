#ifndef MEMBERSHIP_MEMBERS_DEFS_H
#define MEMBERSHIP_MEMBERS_DEFS_H

#include "membership/members.h"
#include "membership/packet.h"

/**
 * DOC: members internals
 *
 * Internal interfaces of the membership core: the table of records, the queue
 * of the gossip (rumor), failure detection (swim), the links between data
 * centres (link) and the comparison of whole tables (sync).
 */

/** enum update_source - the sender of an update. */
enum update_source {
	SOURCE_OWNER,  /* the owner of the record */
	SOURCE_HOME,   /* a node of this node's data centre */
	SOURCE_REMOTE, /* a node of another data centre */
};

/** enum merge_result - result of merging an update into the table. */
enum merge_result {
	MERGE_UNCHANGED,  /* the update holds nothing new */
	MERGE_CHANGED,	  /* the table has changed */
	MERGE_TOMBSTONED, /* not newer than the tombstone of the record */
	MERGE_SELF,	  /* about this node; answered with the own record */
	MERGE_REFUSED,	  /* not accepted from this sender */
};

/* table.c */
struct data_centre *table_centre(const struct members *members, uint64_t id);
struct data_centre *table_centre_named(struct members *members,
				       const char *name);
struct member *table_find(const struct members *members, uint64_t id);
struct member *table_put(struct members *members, const struct record *record,
			 enum member_status status);
void table_set_status(struct members *members, struct member *member,
		      enum member_status status);
void table_drop(struct members *members, struct member *member);
void table_add_tombstone(struct members *members, uint64_t id,
			 uint64_t incarnation, uint64_t sequence);
const struct tombstone *table_find_tombstone(const struct members *members,
					     uint64_t id);
bool table_has_tombstone(const struct members *members, uint64_t id,
			 uint64_t incarnation, uint64_t sequence);
uint64_t table_digest(const struct members *members);
void table_report(struct members *members, struct member *member);
void table_report_centre(struct members *members, struct data_centre *centre);
bool table_live(const struct member *member);
bool table_is_isolated(const struct members *members);
void table_update_floor(struct members *members);
void table_free(struct members *members);
uint32_t table_top(const struct members *members,
		   const struct data_centre *centre, const char *duty,
		   struct member **top, uint32_t most);

/* departed.c */
void departed_add(struct members *members, uint64_t id,
		  const struct address *address);
void departed_tick(struct members *members);

/* merge.c */
enum merge_result merge_gone(struct members *members, struct member *member,
			     const struct packet_mark *mark);
enum merge_result members_merge(struct members *members,
				const struct packet_item *item,
				enum update_source update_source);
enum merge_result members_merge_mark(struct members *members,
				     const struct packet_mark *mark,
				     enum update_source update_source);

/* members.c */
struct members_action *members_push(struct members *members,
				    enum members_action_type type);
void members_raise_sequence(struct members *members);
void members_push_frame(struct members *members, uint64_t conn,
			const struct address *to);

/* rumor.c */
void rumor_record(struct members *members, const struct member *member);
void rumor_mark(struct members *members, const struct packet_mark *mark);
void rumor_centre(struct members *members, const struct data_centre *centre);
void rumor_schedule_eager(struct members *members);
void rumor_tick(struct members *members);
void rumor_send_to_ring(struct members *members);
void rumor_drop_settled(struct members *members);
void rumor_free(struct members *members);

/**
 * struct packet_out - a datagram to be sent
 * @type: kind of the datagram
 * @nonce: nonce of a ping, repeated by the answer
 * @with_own_record: whether the record of this node comes before the rumors
 * @mark: a mark that comes before the rumors; id 0 for none
 * @target_address: PACKET_PING_REQ: address of the node to ping
 * @to_remote_centre: whether the receiver is in another data centre
 * @same_digest: whether the receiver has the same table, so that rumors
 *	covered by the digest are left out
 */
struct packet_out {
	enum packet_type type;
	uint32_t nonce;
	bool with_own_record;
	struct packet_mark mark;
	struct address target_address;
	bool to_remote_centre;
	bool same_digest;
};
void packet_send(struct members *members, const struct address *to,
		 const struct packet_out *out);
uint32_t members_nonce(struct members *members);

/* swim.c */
void swim_tick(struct members *members);
int64_t swim_next_us(const struct members *members);
void swim_receive_ack(struct members *members, uint32_t nonce);
void swim_receive_nack(struct members *members, uint32_t nonce);
void swim_relay(struct members *members, const struct address *from,
		const struct packet_head *head, const struct address *target);
void swim_suspect(struct members *members, struct member *member,
		  uint64_t reporter);
void swim_reconnect_soon(struct members *members);
void swim_reconnect(struct members *members, const struct address *to);
void swim_adjust_health(struct members *members, int32_t change);
void swim_paused(struct members *members, int64_t gap_us);
uint32_t swim_bit_length(uint32_t n);

/* link.c */
void link_tick(struct members *members);
void link_extra_encode(struct members *members, struct encoder *encoder,
		       bool answer);
void link_packet(struct members *members, const struct address *from,
		 const struct packet_head *head, const msgpack_object *extra);
void link_contact(struct members *members, struct data_centre *centre);
void link_merge_centre(struct members *members,
		       const struct packet_centre *judgement);
void link_announce(struct members *members);
void link_paused(struct members *members, int64_t gap_us);

/* collect.c */
void collect_changed(struct members *members);
void collect_tick(struct members *members);
void collect_acked(struct members *members, uint32_t nonce);
void collect_applied(struct members *members, struct member *member,
		     const struct packet_head *head);
void collect_refused(struct members *members, struct member *member,
		     uint64_t version, const char *reason);

/* sync.c */
void sync_begin(struct members *members, const struct address *to);
void sync_send(struct members *members, const struct address *to);
void sync_tick(struct members *members);
void sync_confirm_current(struct members *members, struct data_centre *centre,
			  uint64_t age_ms);
bool sync_accepts(const struct members *members,
		  const struct data_centre *centre, uint64_t sender_centre,
		  uint64_t age_ms);
uint64_t sync_age_ms(const struct members *members,
		     const struct data_centre *centre);

#endif
