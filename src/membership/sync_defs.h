#ifndef MEMBERSHIP_SYNC_DEFS_H
#define MEMBERSHIP_SYNC_DEFS_H

#include "membership/members_defs.h"

/**
 * DOC: sync internals
 *
 * Interface between the parts of a synchronization: digests (sync.c), records
 * (sync_records.c), requests (sync_request.c) and status queries (status.c).
 */

enum {
	SYNC_ENTRY_BYTES = 25, /* id, incarnation, sequence, unreachable */
	SYNC_CENTRE_FIELDS = 6
};

/**
 * struct exchange - a peer and the connection that its frame came from
 * @members: core of this node
 * @conn: id of the connection, on which replies are sent
 * @peer: identity of the peer, proved by the connection
 * @peer_centre: id of the peer's data centre
 * @home: whether the peer belongs to this node's data centre
 */
struct exchange {
	struct members *members;
	uint64_t conn;
	const struct identity *peer;
	uint64_t peer_centre;
	bool home;
};

void sync_send_frame(const struct exchange *exchange);
bool sync_peer_accepts(const struct exchange *exchange,
		       const struct data_centre *centre, uint64_t age_ms);
void sync_begin_records(const struct exchange *exchange,
			const struct data_centre *centre, uint32_t count);
void sync_send_members(const struct exchange *exchange,
		       const struct data_centre *centre,
		       struct member *const *list, uint32_t count);
bool sync_decode_centre(const struct exchange *exchange,
			const struct message *message,
			struct data_centre **centre, uint64_t *age_ms,
			struct error *err);

bool sync_entries(const struct exchange *exchange,
		  const struct message *message, struct error *err);
bool sync_records(const struct exchange *exchange,
		  const struct message *message, struct error *err);
bool sync_want(const struct exchange *exchange, const struct message *message,
	       struct error *err);

/* sync_request.c */
void sync_peer_answered(struct members *members, const struct address *from);
void sync_busy(struct members *members, const struct message *message,
	       struct error *err);

/* status.c */
void status_answer(const struct exchange *exchange);
bool status_receive(const struct exchange *exchange,
		    const struct message *message, struct error *err);

static inline void sync_put_u64(uint8_t *at, uint64_t value)
{
	uint32_t i;

	for (i = 0; i < 8; i++)
		at[i] = (uint8_t)(value >> (8 * i));
}

static inline uint64_t sync_get_u64(const uint8_t *at)
{
	uint64_t value = 0;
	uint32_t i;

	for (i = 0; i < 8; i++)
		value |= (uint64_t)at[i] << (8 * i);
	return value;
}

static inline bool sync_in_mask(uint64_t mask, uint64_t id)
{
	return mask >> (id % MEMBERS_BUCKETS) & 1;
}

#endif
