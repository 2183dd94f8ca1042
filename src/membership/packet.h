#ifndef MEMBERSHIP_PACKET_H
#define MEMBERSHIP_PACKET_H

#include "membership/members.h"

/**
 * DOC: packet
 *
 * Wire form of what membership tells: datagrams, and the items that ride on
 * datagrams and in frames alike. A datagram is a message of the codec; the
 * seal in front of it is the driver's.
 */

/** enum packet_type - kinds of datagrams. */
enum packet_type {
	PACKET_PING = 1, /* wants PACKET_ACK */
	PACKET_ACK,
	PACKET_PING_REQ,  /* ping somebody for me */
	PACKET_NACK,	  /* he did not answer me either, but I am well */
	PACKET_ANNOUNCE,  /* news; wants no answer */
	PACKET_LINK_PING, /* between data centres; wants PACKET_LINK_ACK */
	PACKET_LINK_ACK,
};

/**
 * struct packet_head - what each datagram begins with
 * @nonce: of the ping, repeated by its answer
 * @digest: of the whole table, to notice that something differs
 * @source_age_ms: how long ago a node of the data centre read the source of
 *	configuration, as far as the sender knows; PACKET_AGE_UNKNOWN
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
 * packet_begin() - write the head; the caller adds field PACKET_EXTRA, then
 * field PACKET_ITEMS, both arrays
 */
void packet_begin(struct encoder *encoder, const struct packet_head *head);

/** packet_head_decode() - check count and types of the head. */
bool packet_head_decode(const struct message *message, struct packet_head *head,
			struct error *err);

/** struct packet_mark - what somebody holds of a node. */
struct packet_mark {
	uint64_t id;
	uint64_t incarnation;
	uint64_t sequence;
	enum member_status status;
	uint64_t reporter; /* 0 if none */
};

/** struct packet_centre - a judgement on a data centre's reachability. */
struct packet_centre {
	uint64_t id;
	bool reachable;
	uint32_t stamp;
};

/** struct packet_item - one item of news. */
struct packet_item {
	enum rumor_kind kind;
	enum member_status status; /* RUMOR_RECORD: held by the teller */
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

/** packet_record_size() - bytes that a record takes at most. */
uint32_t packet_record_size(const struct record *record);

enum { PACKET_MARK_BYTES = 40, PACKET_CENTRE_BYTES = 20 };

bool packet_item_decode(const msgpack_object *object, struct packet_item *item,
			struct error *err);

void packet_encode_address(struct encoder *encoder,
			   const struct address *address);
/** packet_address_decode() - reads two fields: IP number and port. */
bool packet_address_decode(const msgpack_object *fields,
			   struct address *address, struct error *err);

void packet_encode_summary(struct encoder *encoder,
			   const struct summary *summary);
bool packet_summary_decode(const msgpack_object *object,
			   struct summary *summary, struct error *err);

/** packet_id() - of a data centre. */
uint64_t packet_centre_id(const char *data_centre);

/** packet_member_id() - of a node in a data centre. */
uint64_t packet_member_id(const char *data_centre, const char *instance);

#endif
