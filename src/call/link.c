#include "call/link.h"

#include <string.h>

#include "base/counter.h"
#include "base/log.h"

static const char component[] = "call";

COUNTER(invalid_count, "call.frames_invalid",
	"Frames of this process to itself that could not be decoded");

/* The call of the frame ends at its deadline. */
static void drop_frame(uint32_t size, const struct error *err)
{
	counter_add(&invalid_count, 1);
	log_error(component, "frame_invalid", LOG_TEXT("text", err->text),
		  LOG_NUMBER("bytes", size));
}

static void take_frame(struct link_pipe *pipe, const void *data, uint32_t size)
{
	struct error err = ERROR_INIT;
	struct call_frame frame;
	struct message message;

	if (!message_decode(&message, data, size, &err)) {
		drop_frame(size, &err);
		return;
	}
	if (call_frame_decode(&frame, &message, &err))
		pipe->take(&frame, pipe->data);
	else
		drop_frame(size, &err);
	message_finish(&message);
}

static void pipe_run(void *data)
{
	struct link_pipe *pipe = data;
	struct buffer bytes = pipe->bytes;

	/* Frames sent by a callback go into a new buffer for the next turn. */
	memset(&pipe->bytes, 0, sizeof(pipe->bytes));
	while (buffer_size(&bytes)) {
		uint32_t size;

		memcpy(&size, buffer_data(&bytes), sizeof(size));
		buffer_consume(&bytes, sizeof(size));
		take_frame(pipe, buffer_data(&bytes), size);
		buffer_consume(&bytes, size);
	}
	buffer_finish(&bytes);
}

void link_pipe_init(struct link_pipe *pipe, struct loop *loop,
		    link_frame_fn *take, void *data)
{
	memset(pipe, 0, sizeof(*pipe));
	pipe->loop = loop;
	pipe->take = take;
	pipe->data = data;
	deferred_init(&pipe->run, pipe_run, pipe);
}

void link_pipe_finish(struct link_pipe *pipe)
{
	loop_defer_cancel(pipe->loop, &pipe->run);
	buffer_finish(&pipe->bytes);
}

static bool pipe_send(struct link_pipe *pipe, const void *frame, size_t size)
{
	uint32_t length = (uint32_t)(size - CODEC_LENGTH_BYTES);

	if (buffer_size(&pipe->bytes) + size > WIRE_QUEUE_MAX_BYTES)
		return false;
	buffer_append(&pipe->bytes, &length, sizeof(length));
	buffer_append(&pipe->bytes, (const uint8_t *)frame + CODEC_LENGTH_BYTES,
		      length);
	loop_defer(pipe->loop, &pipe->run);
	return true;
}

bool link_send(struct link *link, struct encoder *encoder,
	       const struct call_frame *frame)
{
	size_t size;
	const void *bytes;

	if (!link_open(link))
		return false;
	bytes = call_frame_encode(encoder, frame, &size);
	switch (link->kind) {
	case LINK_WIRE:
		return wire_conn_send(link->conn, bytes, size);
	case LINK_LOCAL:
		return pipe_send(link->pipe, bytes, size);
	}
	return false;
}

bool link_open(const struct link *link)
{
	return link->kind == LINK_LOCAL || link->conn->state == WIRE_CONN_OPEN;
}

const char *link_name(const struct link *link)
{
	return link->kind == LINK_LOCAL ? "itself" : link->conn->peer.instance;
}

bool link_has_room(const struct link *link)
{
	size_t queued = link->kind == LINK_LOCAL
				? buffer_size(&link->pipe->bytes)
				: wire_conn_queued_bytes(link->conn);

	return queued < LINK_WINDOW_BYTES;
}

void link_exclude_pause(struct link *link, int64_t late_us)
{
	if (link->pinged_us)
		link->pinged_us += late_us;
}

enum link_health link_check(struct link *link, int64_t interval_us,
			    int64_t silence_us, int64_t now_us)
{
	if (link->kind == LINK_LOCAL || !link_open(link))
		return LINK_ALIVE;
	if (link->pinged_us && link->conn->received_us >= link->pinged_us)
		link->pinged_us = 0;
	if (link->pinged_us)
		return now_us - link->pinged_us >= silence_us ? LINK_SILENT
							      : LINK_ALIVE;
	if (link->outstanding &&
	    now_us - link->conn->received_us >= interval_us) {
		wire_conn_ping(link->conn);
		link->pinged_us = now_us;
	}
	return LINK_ALIVE;
}
