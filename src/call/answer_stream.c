#include <stdlib.h>
#include <utlist.h>

#include "base/counter.h"
#include "call/inbound.h"
#include "os/clock.h"

enum { PUSH_INTERVAL_US = US_PER_MS };

COUNTER(answers_lost, "call.answers_not_kept",
	"Answers that fell out of memory before they were sent whole");

static uint32_t work_pct(const struct server *server)
{
	return gate_work_pct(server->options.gate,
			     loop_now_us(server->options.loop));
}

static void send_refusal(struct server *server, struct serve_peer *peer,
			 const struct recent_entry *entry)
{
	struct call_frame frame = {
		.type = FRAME_REFUSAL,
		.id = entry->id,
		.refusal = { .outcome = entry->outcome,
			     .load = gate_load(server->options.gate),
			     .usable_share =
				     gate_usable_share(server->options.gate),
			     .speed.work_pct = work_pct(server) },
	};

	link_send(&peer->link, &server->encoder, &frame);
}

static void send_answer_lost(struct server *server, struct serve_peer *peer,
			     struct call_id id)
{
	struct call_frame frame = {
		.type = FRAME_QUERY_RESULT,
		.id = id,
		.query_result = CALL_QUERY_ANSWER_LOST,
	};

	counter_add(&answers_lost, 1);
	link_send(&peer->link, &server->encoder, &frame);
}

static size_t part_size(const struct stored_answer *stored, uint64_t offset)
{
	size_t left = stored->body_bytes - offset;

	return left < CALL_PART_BYTES ? left : CALL_PART_BYTES;
}

static bool send_head(struct server *server, struct serve_peer *peer,
		      struct call_id id, const struct stored_answer *stored)
{
	struct call_frame frame = {
		.type = FRAME_ANSWER,
		.id = id,
		.answer = { .status = stored->status,
			    .service_us = stored->service_us,
			    .error_rate = stored->error_rate,
			    .leaving_start = stored->leaving_start,
			    .speed = { stored->usual_us, work_pct(server) },
			    .load = gate_load(server->options.gate),
			    .usable_share =
				    gate_usable_share(server->options.gate),
			    .headers = { stored->bytes, stored->headers_bytes },
			    .body_size = stored->body_bytes,
			    .part = { stored->bytes + stored->headers_bytes,
				      part_size(stored, 0) } },
	};

	return link_send(&peer->link, &server->encoder, &frame);
}

static bool send_part(struct server *server, struct serve_peer *peer,
		      struct call_id id, const struct stored_answer *stored,
		      uint64_t offset)
{
	struct call_frame frame = {
		.type = FRAME_ANSWER_PART,
		.id = id,
		.part = { .offset = offset,
			  .part = { stored->bytes + stored->headers_bytes +
					    offset,
				    part_size(stored, offset) } },
	};

	return link_send(&peer->link, &server->encoder, &frame);
}

static void answer_stream_free(struct serve_peer *peer,
			       struct answer_stream *answer_stream)
{
	DL_DELETE(peer->answer_streams, answer_stream);
	free(answer_stream);
}

/* Returns true if the stream has ended: the last part was queued, the stored
 * answer was discarded or the link does not accept the part. */
static bool push_stream(struct server *server, struct serve_peer *peer,
			struct answer_stream *answer_stream)
{
	struct recent_entry *entry;
	const struct stored_answer *stored;

	while (link_has_room(&peer->link)) {
		recent_lookup(&server->recent, answer_stream->id,
			      RECENT_QUERIED, &entry);
		stored = entry ? entry->answer : NULL;
		if (!stored) {
			send_answer_lost(server, peer, answer_stream->id);
			return true;
		}
		if (!send_part(server, peer, answer_stream->id, stored,
			       answer_stream->offset)) {
			recent_undelivered(&server->recent, entry);
			return true;
		}
		answer_stream->offset +=
			part_size(stored, answer_stream->offset);
		if (answer_stream->offset == stored->body_bytes) {
			recent_sent(&server->recent, entry,
				    loop_now_us(server->options.loop));
			return true;
		}
	}
	return false;
}

void answer_stream_push(struct server *server, struct serve_peer *peer)
{
	struct answer_stream *answer_stream;
	struct answer_stream *next;

	DL_FOREACH_SAFE(peer->answer_streams, answer_stream, next)
		if (push_stream(server, peer, answer_stream))
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
	const struct stored_answer *stored = entry->answer;

	if (entry->outcome.reason != CALL_REASON_NONE) {
		send_refusal(server, peer, entry);
		return;
	}
	if (!stored) {
		send_answer_lost(server, peer, entry->id);
		return;
	}
	if (!send_head(server, peer, entry->id, stored)) {
		recent_undelivered(&server->recent, entry);
		return;
	}
	recent_sent(&server->recent, entry, loop_now_us(server->options.loop));
	if (stored->body_bytes > CALL_PART_BYTES)
		answer_stream_begin(server, peer, entry->id, CALL_PART_BYTES);
}

void answer_stream_drop_all(struct server *server, struct serve_peer *peer)
{
	struct answer_stream *answer_stream;
	struct answer_stream *next;

	DL_FOREACH_SAFE(peer->answer_streams, answer_stream, next) {
		struct recent_entry *entry;

		recent_lookup(&server->recent, answer_stream->id,
			      RECENT_QUERIED, &entry);
		if (entry)
			recent_undelivered(&server->recent, entry);
		answer_stream_free(peer, answer_stream);
	}
}
