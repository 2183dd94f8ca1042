#ifndef MEMBERSHIP_PACKET_H
#define MEMBERSHIP_PACKET_H

#include "membership/members.h"

/**
 * DOC: packet
 *
 * Encoding of membership datagrams, and of the items that datagrams and frames
 * carry. A datagram is a message of the codec; gossip.c adds and checks the
 * MAC in front of it.
 */

/**
 * enum packet_type - types of datagrams
 * @PACKET_PING: requests PACKET_ACK
 * @PACKET_ACK: answers PACKET_PING, or PACKET_PING_REQ once the third node has
 *	answered
 * @PACKET_PING_REQ: requests that the receiver pings a third node
 * @PACKET_NACK: answers PACKET_PING_REQ while the third node has not answered;
 *	shows that the sender itself is reachable
 * @PACKET_ANNOUNCE: carries updates; requests no answer
 * @PACKET_LINK_PING: ping between data centres; requests PACKET_LINK_ACK
 * @PACKET_LINK_ACK: answers PACKET_LINK_PING
 */
enum packet_type {
	PACKET_PING = 1,
	PACKET_ACK,
	PACKET_PING_REQ,
	PACKET_NACK,
	PACKET_ANNOUNCE,
	PACKET_LINK_PING,
	PACKET_LINK_ACK,
};

/**
 * struct packet_head - first fields of each datagram
 * @type: type of the datagram
 * @nonce: number of the ping, repeated by its answer; in PACKET_ANNOUNCE, the
 *	number of announcements sent in reply to one another, 0 if unsolicited
 * @data_centre: id of the sender's data centre
 * @id: id of the sender
 * @incarnation: incarnation of the sender
 * @sequence: sequence of the sender's record
 * @head: version in force at the sender
 * @digest: digest of the sender's whole table, to detect a difference
 * @source_age_ms: time in milliseconds since a node of the sender's data
 *	centre last read the source of configuration, as far as the sender
 *	knows; PACKET_AGE_UNKNOWN if the sender knows of no read
 */
struct packet_head {
	enum packet_type type;
	uint32_t nonce;
	uint64_t data_centre;
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	struct head_digest head;
	uint64_t digest;
	uint32_t source_age_ms;
};

enum { PACKET_FIELDS = 11, PACKET_EXTRA = 9, PACKET_ITEMS = 10 };

#define PACKET_AGE_UNKNOWN UINT32_MAX

/**
 * packet_begin() - encodes the head
 *
 * The caller then encodes field PACKET_EXTRA and field PACKET_ITEMS, both
 * arrays.
 */
void packet_begin(struct encoder *encoder, const struct packet_head *head);

/** packet_head_decode() - decodes the head; false if it is malformed. */
bool packet_head_decode(const struct message *message, struct packet_head *head,
			struct error *err);

/**
 * struct packet_mark - status of a node as held by another node
 * @id: id of the node
 * @incarnation: incarnation of the record that the status applies to
 * @sequence: sequence of that record
 * @status: status held
 * @reporter: id of the node that reported the suspicion, or 0
 */
struct packet_mark {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	enum member_status status;
	uint64_t reporter;
};

/**
 * struct packet_centre - judgement on whether a data centre is reachable
 * @id: id of the data centre
 * @reachable: whether the data centre is reachable
 * @stamp: orders judgements; the highest is the newest
 */
struct packet_centre {
	uint64_t id;
	bool reachable;
	uint32_t stamp;
};

/**
 * struct packet_item - one update in a datagram or frame
 * @kind: selects the member of the union
 * @status: for RUMOR_RECORD, status of the node as held by the sender
 * @record: for RUMOR_RECORD
 * @mark: for RUMOR_MARK
 * @centre: for RUMOR_DATA_CENTRE
 */
struct packet_item {
	enum rumor_kind kind;
	enum member_status status;
	union {
		struct record record;
		struct packet_mark mark;
		struct packet_centre centre;
	};
};

void packet_encode_record(struct encoder *encoder, const struct record *record,
			  enum member_status status);
void packet_encode_mark(struct encoder *encoder,
			const struct packet_mark *mark);
void packet_encode_centre(struct encoder *encoder,
			  const struct packet_centre *centre);

/** packet_record_size() - upper bound of a record's encoded size in bytes. */
uint32_t packet_record_size(const struct record *record);

enum { PACKET_MARK_BYTES = 40, PACKET_CENTRE_BYTES = 20 };

bool packet_item_decode(const msgpack_object *object, struct packet_item *item,
			struct error *err);

void packet_encode_address(struct encoder *encoder,
			   const struct address *address);
/** packet_address_decode() - decodes two fields, IP address and port. */
bool packet_address_decode(const msgpack_object *fields,
			   struct address *address, struct error *err);

void packet_encode_summary(struct encoder *encoder,
			   const struct summary *summary);
bool packet_summary_decode(const msgpack_object *object,
			   struct summary *summary, struct error *err);

/** packet_centre_id() - hashes the name of a data centre to its id. */
uint64_t packet_centre_id(const char *data_centre);

/** packet_member_id() - hashes the names of a node to its id. */
uint64_t packet_member_id(const char *data_centre, const char *instance);

#endif
