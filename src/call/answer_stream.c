#include <stdlib.h>
#include <utlist.h>

#include "base/counter.h"
#include "call/inbound.h"
#include "os/clock.h"

enum { PUSH_INTERVAL_US = US_PER_MS };

COUNTER(lost, "call.answers_not_kept",
	"Answers that fell out of memory before they were sent whole");

static void send_refusal(struct server *server, struct serve_peer *peer,
			 const struct recent_entry *entry)
{
	struct call_frame frame = {
		.type = FRAME_REFUSAL,
		.id = entry->id,
		.refusal = { .outcome = entry->outcome,
			     .load = gate_load(server->options.gate) },
	};

	link_send(&peer->link, &server->encoder, &frame);
}

static void send_lost(struct server *server, struct serve_peer *peer,
		      struct call_id id)
{
	struct call_frame frame = {
		.type = FRAME_QUERY_RESULT,
		.id = id,
		.query_result = CALL_QUERY_ANSWER_LOST,
	};

	counter_add(&lost, 1);
	link_send(&peer->link, &server->encoder, &frame);
}

static size_t part_size(const struct stored_answer *kept, uint64_t offset)
{
	size_t left = kept->body_bytes - offset;

	return left < CALL_PART_BYTES ? left : CALL_PART_BYTES;
}

static bool send_head(struct server *server, struct serve_peer *peer,
		      struct call_id id, const struct stored_answer *kept)
{
	struct call_frame frame = {
		.type = FRAME_ANSWER,
		.id = id,
		.answer = { .status = kept->status,
			    .service_us = kept->service_us,
			    .error_share = kept->error_share,
			    .load = gate_load(server->options.gate),
			    .headers = { kept->bytes, kept->headers_bytes },
			    .body_size = kept->body_bytes,
			    .part = { kept->bytes + kept->headers_bytes,
				      part_size(kept, 0) } },
	};

	return link_send(&peer->link, &server->encoder, &frame);
}

static bool send_part(struct server *server, struct serve_peer *peer,
		      struct call_id id, const struct stored_answer *kept,
		      uint64_t offset)
{
	struct call_frame frame = {
		.type = FRAME_ANSWER_PART,
		.id = id,
		.part = { .offset = offset,
			  .part = { kept->bytes + kept->headers_bytes + offset,
				    part_size(kept, offset) } },
	};

	return link_send(&peer->link, &server->encoder, &frame);
}

static void answer_stream_free(struct serve_peer *peer,
			       struct answer_stream *answer_stream)
{
	DL_DELETE(peer->answer_streams, answer_stream);
	free(answer_stream);
}

/* Return: whether all of it has been queued or it cannot go on. */
static bool push_one(struct server *server, struct serve_peer *peer,
		     struct answer_stream *answer_stream)
{
	struct recent_entry *entry;
	const struct stored_answer *kept;

	while (link_has_room(&peer->link)) {
		recent_lookup(&server->recent, answer_stream->id,
			      RECENT_QUERIED, &entry);
		kept = entry ? entry->answer : NULL;
		if (!kept) {
			send_lost(server, peer, answer_stream->id);
			return true;
		}
		if (!send_part(server, peer, answer_stream->id, kept,
			       answer_stream->offset))
			return true;
		answer_stream->offset += part_size(kept, answer_stream->offset);
		if (answer_stream->offset == kept->body_bytes)
			return true;
	}
	return false;
}

void answer_stream_push(struct server *server, struct serve_peer *peer)
{
	struct answer_stream *answer_stream;
	struct answer_stream *next;

	DL_FOREACH_SAFE(peer->answer_streams, answer_stream, next)
		if (push_one(server, peer, answer_stream))
			answer_stream_free(peer, answer_stream);
	if (peer->answer_streams && !timer_is_set(&server->push))
		timer_set(server->options.loop, &server->push,
			  loop_now_us(server->options.loop) + PUSH_INTERVAL_US);
}

static void answer_stream_begin(struct server *server, struct serve_peer *peer,
				struct call_id id, uint64_t offset)
{
	struct answer_stream *answer_stream = calloc(1, sizeof(*answer_stream));

	if (!answer_stream)
		abort();
	answer_stream->id = id;
	answer_stream->offset = offset;
	DL_APPEND(peer->answer_streams, answer_stream);
	answer_stream_push(server, peer);
}

void answer_stream_start(struct server *server, struct serve_peer *peer,
			 struct recent_entry *entry)
{
	const struct stored_answer *kept = entry->answer;

	if (entry->outcome.reason != CALL_REASON_NONE) {
		send_refusal(server, peer, entry);
		return;
	}
	if (!kept) {
		send_lost(server, peer, entry->id);
		return;
	}
	if (send_head(server, peer, entry->id, kept) &&
	    kept->body_bytes > CALL_PART_BYTES)
		answer_stream_begin(server, peer, entry->id, CALL_PART_BYTES);
}

void answer_stream_drop_all(struct serve_peer *peer)
{
	struct answer_stream *answer_stream;
	struct answer_stream *next;

	DL_FOREACH_SAFE(peer->answer_streams, answer_stream, next)
		answer_stream_free(peer, answer_stream);
}
