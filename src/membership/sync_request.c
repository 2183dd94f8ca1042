#include <string.h>
#include <utlist.h>

#include "membership/members_defs.h"
#include "membership/sync.h"
#include "membership/sync_defs.h"
#include "os/clock.h"

/*
 * Requests for synchronization. The wait between two requests doubles while
 * digests keep differing and starts again from the minimum after they were
 * equal for a while. If a peer is busy, a joining node asks another peer.
 */

enum { JOIN_ALONE_INTERVALS = 5, BUSY_MAX_MS = 60 * 1000 };

static struct address *find_unanswered(struct sync *sync,
				       const struct address *to)
{
	uint32_t i;

	for (i = 0; i < MEMBERS_UNANSWERED_MAX; i++)
		if (address_equal(&sync->unanswered[i], to))
			return &sync->unanswered[i];
	return NULL;
}

/* Returns true if the previous request to a peer was not answered, so that the
 * next one needs a new connection. After a partition an old connection may
 * carry nothing for minutes, since TCP backs off its retransmissions. */
static bool note_request(struct members *members, const struct address *to)
{
	struct sync *sync = &members->sync;

	if (find_unanswered(sync, to))
		return true;
	sync->unanswered[sync->unanswered_at++ % MEMBERS_UNANSWERED_MAX] = *to;
	return false;
}

void sync_peer_answered(struct members *members, const struct address *from)
{
	struct address *entry = find_unanswered(&members->sync, from);

	if (entry)
		entry->family = 0;
}

void sync_send(struct members *members, const struct address *to)
{
	bool new_connection = note_request(members, to);
	struct encoder *encoder = &members->encoder;
	const struct data_centre *centre;
	uint32_t count;

	LL_COUNT(members->data_centres, centre, count);
	encoder_begin(encoder, FRAME_SYNC, 1);
	encode_array(encoder, count);
	LL_FOREACH(members->data_centres, centre) {
		encode_array(encoder, SYNC_CENTRE_FIELDS);
		encode_text(encoder, centre->name);
		encode_uint(encoder, centre->digest);
		encode_uint(encoder, sync_age_ms(members, centre));
		encode_bool(encoder, centre->reachable);
		encode_uint(encoder, centre->stamp);
		encode_uint(encoder, centre->count);
	}
	members_push_frame(members, 0, to);
	members->actions[members->action_count - 1].new_connection =
		new_connection;
	members->counts.syncs++;
}

void sync_begin(struct members *members, const struct address *to)
{
	struct sync *sync = &members->sync;

	if (members->now_us < sync->not_before_us ||
	    (sync->begun_us &&
	     members->now_us < sync->begun_us + sync->wait_us))
		return;
	sync->wait_us = sync->wait_us ? sync->wait_us * 2
				      : members->options.sync_min_us;
	if (sync->wait_us > members->options.sync_interval_us)
		sync->wait_us = members->options.sync_interval_us;
	sync->begun_us = members->now_us;
	members->digests_differing = 0;
	sync_send(members, to);
}

void sync_tick(struct members *members)
{
	struct sync *sync = &members->sync;
	int64_t alone_us =
		JOIN_ALONE_INTERVALS * members->options.probe_interval_us;

	if (members->joined)
		return;
	/* No other node of the data centre was found in time, so there is no
	 * state to wait for. */
	if (members_live_count(members) == 1 &&
	    members->now_us > members->started_us + alone_us)
		members->joined = true;
	if (!sync->redirect.family || members->now_us < sync->not_before_us)
		return;
	sync->begun_us = members->now_us;
	sync_send(members, &sync->redirect);
	sync->redirect.family = 0;
}

void sync_busy(struct members *members, const struct message *message,
	       struct error *err)
{
	struct sync *sync = &members->sync;
	const msgpack_object *peers;
	struct address redirect;
	uint64_t after_ms;
	uint32_t count;

	if (!decode_count(message, 2, "busy", err) ||
	    !decode_uint(&message->fields[0], BUSY_MAX_MS, &after_ms, "after",
			 err) ||
	    !decode_array(&message->fields[1], &peers, &count, "peers", err))
		return;
	sync->not_before_us = members->now_us + (int64_t)after_ms * US_PER_MS;
	if (count < 2 || members->joined)
		return;
	count = 2 * random_below(&members->random, count / 2);
	if (!packet_address_decode(&peers[count], &redirect, err) ||
	    address_equal(&redirect, &members->self->record.address))
		return;
	sync->redirect = redirect;
	sync->not_before_us = members->now_us;
}
