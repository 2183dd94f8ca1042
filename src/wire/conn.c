#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "os/clock.h"
#include "os/net.h"
#include "wire/hub_defs.h"

/**
 * DOC: conn
 *
 * One connection: its state, its input and output buffers, and the splitting of
 * the input into frames.
 */

static const char component[] = "wire";

enum {
	READS_PER_EVENT_MAX = 4,
	/* Limits the memory that an unauthenticated peer can occupy. */
	HANDSHAKE_FRAME_MAX_BYTES = 1024,
	/* Header of a frame with its type, see frame_type(). */
	FRAME_HEADER_MIN_BYTES = 4,
	/* Compressing larger frames, which carry bodies, would delay all
	 * calls. */
	COMPRESS_MAX_BYTES = 16 * 1024,
	/* Time in one turn after which further frames of versions and of
	 * membership wait for an idle turn. */
	BULK_TURN_MAX_US = 100,
	/* Bytes of such frames from which on the connection is not read. */
	BULK_MAX_BYTES = 4 * 1024 * 1024,
};

COUNTER(opened, "wire.connections_opened", "Connections that were proved");
COUNTER(malformed, "wire.frames_malformed",
	"Connections closed over a frame that breaks the protocol");
COUNTER(plain_bytes, "wire.compressed_from_bytes",
	"Bytes of frames that were compressed, before that");
COUNTER(compressed_bytes, "wire.compressed_to_bytes",
	"Bytes of frames that were compressed, after that");
COUNTER(queue_full, "wire.queue_full",
	"Frames not taken because the peer reads too slowly");

static bool may_read(const struct wire_conn *conn)
{
	return !conn->ended_by_peer &&
	       buffer_size(&conn->bulk) < BULK_MAX_BYTES;
}

void wire_conn_watch(struct wire_conn *conn)
{
	int events = LOOP_READ;

	if (conn->state == WIRE_CONN_CLOSED)
		return;
	if (conn->state == WIRE_CONN_CONNECTING || buffer_size(&conn->out))
		events |= LOOP_WRITE;
	if (!may_read(conn))
		events &= ~LOOP_READ;
	if (conn->blocked)
		events = 0;
	watch_change(&conn->watch, events);
}

static void report_state(struct wire_conn *conn)
{
	struct wire_hub *hub = conn->hub;
	int i;

	for (i = 0; i < FRAME_TYPES / 16; i++)
		if (hub->ranges[i].on_state)
			hub->ranges[i].on_state(conn, hub->ranges[i].data);
}

void wire_conn_free(struct wire_conn *conn)
{
	struct wire_hub *hub = conn->hub;

	watch_stop(&conn->watch);
	timer_cancel(hub->loop, &conn->timeout);
	loop_defer_cancel(hub->loop, &conn->closing);
	loop_defer_cancel(hub->loop, &conn->flush);
	loop_defer_cancel(hub->loop, &conn->resume);
	net_close(conn->fd);
	buffer_finish(&conn->in);
	buffer_finish(&conn->bulk);
	buffer_finish(&conn->out);
	buffer_finish(&conn->pending);
	compressor_finish(&conn->compressor);
	wire_hub_set_preferred(conn, false);
	DL_DELETE(hub->conns, conn);
	hub->conn_count--;
	free(conn);
}

static void closing_run(void *data)
{
	struct wire_conn *conn = data;

	report_state(conn);
	wire_conn_free(conn);
}

static void count_sent(struct wire_conn *conn, uint8_t type, size_t size)
{
	conn->hub->traffic[type].sent_bytes += size;
	conn->hub->traffic[type].sent_frames++;
}

void wire_conn_send_control(struct wire_conn *conn, uint8_t type)
{
	size_t size;
	const void *frame = encoder_end(&conn->hub->encoder, &size);

	buffer_append(&conn->out, frame, size);
	count_sent(conn, type, size);
	loop_defer_to_turn_end(conn->hub->loop, &conn->flush);
}

static void send_close(struct wire_conn *conn, enum error_code code,
		       const char *reason)
{
	struct encoder *encoder = &conn->hub->encoder;
	const void *frame;
	size_t size;

	if (conn->blocked)
		return;
	encoder_begin(encoder, FRAME_CLOSE, 2);
	encode_text(encoder, error_code_name(code));
	encode_text(encoder, reason);
	frame = encoder_end(encoder, &size);
	buffer_append(&conn->out, frame, size);
	/* Write only once, without waiting: the peer only logs the reason. */
	size = buffer_size(&conn->out);
	net_write(conn->fd, buffer_data(&conn->out), &size);
}

void wire_conn_close(struct wire_conn *conn, enum error_code code,
		     const char *reason)
{
	char text[ADDRESS_TEXT_SIZE];

	if (conn->state == WIRE_CONN_CLOSED)
		return;
	if (code != ERROR_NONE) {
		error_set(&conn->err, code, "%s", reason);
		log_info(component, "connection_closed",
			 LOG_TEXT("peer", conn->peer.instance),
			 LOG_TEXT("address",
				  address_format(&conn->remote_address, text)),
			 LOG_TEXT("code", error_code_name(code)),
			 LOG_TEXT("reason", conn->err.text));
	}
	if (conn->state != WIRE_CONN_CONNECTING && conn->fd >= 0 &&
	    code != ERROR_IO)
		send_close(conn, code, reason);
	conn->state = WIRE_CONN_CLOSED;
	wire_hub_set_preferred(conn, false);
	watch_stop(&conn->watch);
	timer_cancel(conn->hub->loop, &conn->timeout);
	loop_defer(conn->hub->loop, &conn->closing);
}

static void handshake_expired(struct timer *timer, void *data)
{
	wire_conn_close(data, ERROR_TIMEOUT, "handshake timed out");
}

void wire_conn_opened(struct wire_conn *conn)
{
	conn->state = WIRE_CONN_OPEN;
	conn->established = true;
	conn->opened_us = loop_now_us(conn->hub->loop);
	timer_cancel(conn->hub->loop, &conn->timeout);
	buffer_append(&conn->out, buffer_data(&conn->pending),
		      buffer_size(&conn->pending));
	buffer_finish(&conn->pending);
	counter_add(&opened, 1);
	loop_defer_to_turn_end(conn->hub->loop, &conn->flush);
	report_state(conn);
}

static void close_malformed(struct wire_conn *conn, const struct error *err)
{
	counter_add(&malformed, 1);
	wire_conn_close(conn, err->code, err->text);
}

/* Passes a frame to the component that registered its range. */
static void dispatch_frame(struct wire_conn *conn,
			   const struct message *message)
{
	struct wire_hub *hub = conn->hub;
	struct wire_range *range = message->type < FRAME_TYPES
					   ? &hub->ranges[message->type / 16]
					   : NULL;

	if (conn->state == WIRE_CONN_OPEN && range && range->on_frame) {
		range->on_frame(conn, message, range->data);
		return;
	}
	counter_add(&malformed, 1);
	wire_conn_close(conn, ERROR_PROTOCOL, "unexpected frame");
}

static bool decompress(struct wire_conn *conn, const struct message *message,
		       struct error *err)
{
	const uint8_t *compressed;
	size_t size;

	if (conn->state != WIRE_CONN_OPEN) {
		error_set(err, ERROR_PROTOCOL, "compressed frame out of order");
		return false;
	}
	return decode_count(message, 1, "compressed frame", err) &&
	       decode_bytes(&message->fields[0], &compressed, &size,
			    "compressed frame", err) &&
	       compressor_decompress(&conn->compressor, compressed, size,
				     COMPRESS_MAX_BYTES,
				     &conn->hub->decompressed, err);
}

static void handle_compressed(struct wire_conn *conn,
			      const struct message *outer)
{
	struct buffer *decompressed = &conn->hub->decompressed;
	struct error err = ERROR_INIT;
	struct message message;

	if (!decompress(conn, outer, &err) ||
	    !message_decode(&message, buffer_data(decompressed),
			    buffer_size(decompressed), &err)) {
		close_malformed(conn, &err);
		buffer_remove_last(decompressed, buffer_size(decompressed));
		return;
	}
	if (message.type >= FRAME_RANGE_CALL) {
		dispatch_frame(conn, &message);
	} else {
		error_set(
			&err, ERROR_PROTOCOL,
			"compressed frame of a type that is never compressed");
		close_malformed(conn, &err);
	}
	message_finish(&message);
	buffer_remove_last(decompressed, buffer_size(decompressed));
}

static void handle_frame(struct wire_conn *conn, const uint8_t *data,
			 size_t size)
{
	struct wire_hub *hub = conn->hub;
	struct error err = ERROR_INIT;
	struct message message;

	if (!message_decode(&message, data, size, &err)) {
		close_malformed(conn, &err);
		return;
	}
	if (message.type < FRAME_TYPES) {
		hub->traffic[message.type].received_bytes +=
			size + CODEC_LENGTH_BYTES;
		hub->traffic[message.type].received_frames++;
	}
	if (message.type == FRAME_COMPRESSED)
		handle_compressed(conn, &message);
	else if (message.type < FRAME_RANGE_SPREAD)
		wire_handshake_frame(conn, &message);
	else
		dispatch_frame(conn, &message);
	message_finish(&message);
}

static size_t frame_limit(const struct wire_conn *conn)
{
	return conn->state == WIRE_CONN_OPEN ? WIRE_FRAME_MAX_BYTES
					     : HANDSHAKE_FRAME_MAX_BYTES;
}

static size_t frame_length(const uint8_t *bytes)
{
	return (size_t)bytes[0] << 24 | (size_t)bytes[1] << 16 |
	       (size_t)bytes[2] << 8 | bytes[3];
}

/* The array header takes one byte for up to 15 elements, or three bytes that
 * begin with 0xdc. msgpack_pack_uint8() writes types below 128 as one byte. */
static uint8_t frame_type(const uint8_t *frame)
{
	const uint8_t *header = frame + CODEC_LENGTH_BYTES;

	return header[*header == 0xdc ? 3 : 1] % FRAME_TYPES;
}

/* Returns true if the frame is of a type that comes in bulk, as frames of
 * versions and of membership do. A closing notice takes its place behind such
 * frames that wait. */
static bool is_bulk(const struct wire_conn *conn, const uint8_t *frame,
		    size_t length)
{
	uint8_t type;

	if (length < FRAME_HEADER_MIN_BYTES)
		return false;
	type = frame_type(frame);
	if (type == FRAME_CLOSE)
		return buffer_size(&conn->bulk) > 0;
	return type >= FRAME_RANGE_SPREAD && type < FRAME_RANGE_CALL;
}

/*
 * Returns true if the frame has to wait for an idle turn, because this turn has
 * handled frames for long enough. A version of a thousand profiles comes as a
 * thousand frames, and handling all of them in one turn would delay all calls.
 * Frames of calls never wait: one that cancels a call must not be handled later
 * than necessary.
 */
static bool must_wait(const struct wire_conn *conn, const uint8_t *frame,
		      size_t length, int64_t since_us)
{
	if (conn->state != WIRE_CONN_OPEN || !is_bulk(conn, frame, length))
		return false;
	return buffer_size(&conn->bulk) ||
	       clock_monotonic_us() - since_us >= BULK_TURN_MAX_US;
}

static void handle_input(struct wire_conn *conn)
{
	int64_t since_us = clock_monotonic_us();

	while (conn->state != WIRE_CONN_CLOSED &&
	       buffer_size(&conn->in) >= CODEC_LENGTH_BYTES) {
		const uint8_t *frame = buffer_data(&conn->in);
		size_t length = frame_length(frame);

		if (length == 0 || length > frame_limit(conn)) {
			counter_add(&malformed, 1);
			wire_conn_close(conn, ERROR_PROTOCOL,
					"frame length out of bounds");
			return;
		}
		if (buffer_size(&conn->in) < CODEC_LENGTH_BYTES + length)
			break;
		if (must_wait(conn, frame, length, since_us))
			buffer_append(&conn->bulk, frame,
				      CODEC_LENGTH_BYTES + length);
		else
			handle_frame(conn, frame + CODEC_LENGTH_BYTES, length);
		buffer_consume(&conn->in, CODEC_LENGTH_BYTES + length);
	}
	if (conn->state != WIRE_CONN_CLOSED && buffer_size(&conn->bulk)) {
		loop_defer_idle(conn->hub->loop, &conn->resume);
		wire_conn_watch(conn);
	}
}

/* Handles frames that wait in @bulk for a limited time. */
static void resume_run(void *data)
{
	struct wire_conn *conn = data;
	int64_t since_us = clock_monotonic_us();

	while (conn->state != WIRE_CONN_CLOSED && buffer_size(&conn->bulk)) {
		const uint8_t *frame = buffer_data(&conn->bulk);
		size_t length = frame_length(frame);

		handle_frame(conn, frame + CODEC_LENGTH_BYTES, length);
		buffer_consume(&conn->bulk, CODEC_LENGTH_BYTES + length);
		if (clock_monotonic_us() - since_us >= BULK_TURN_MAX_US)
			break;
	}
	if (conn->state == WIRE_CONN_CLOSED)
		return;
	if (buffer_size(&conn->bulk))
		loop_defer_idle(conn->hub->loop, &conn->resume);
	else if (conn->ended_by_peer)
		wire_conn_close(conn, ERROR_IO, "closed by the peer");
	wire_conn_watch(conn);
}

/* Nothing more can be read. A version that was received before the end is still
 * taken over. */
static void end_input(struct wire_conn *conn, const char *reason)
{
	if (!buffer_size(&conn->bulk)) {
		wire_conn_close(conn, ERROR_IO, reason);
		return;
	}
	conn->ended_by_peer = true;
	wire_conn_watch(conn);
}

static void read_in(struct wire_conn *conn)
{
	int round;

	for (round = 0; round < READS_PER_EVENT_MAX; round++) {
		size_t size;
		enum net_result result =
			net_read_buffer(conn->fd, &conn->in, &size);

		if (result == NET_AGAIN)
			return;
		if (result == NET_CLOSED) {
			/* A peer that leaves bytes unread resets the
			 * connection instead. */
			conn->ended_in_order = !wire_conn_queued_bytes(conn) &&
					       !net_undelivered_bytes(conn->fd);
			end_input(conn, "closed by the peer");
			return;
		}
		if (result != NET_OK) {
			wire_conn_close(conn, ERROR_IO, "connection reset");
			return;
		}
		conn->received_us = loop_now_us(conn->hub->loop);
		handle_input(conn);
		if (conn->state == WIRE_CONN_CLOSED || !may_read(conn) ||
		    size < NET_READ_BYTES)
			return;
	}
}

/* The peer has ended or has reset the connection. Frames that it sent before
 * are handled first, since one of them may be an answer. */
static void write_failed(struct wire_conn *conn)
{
	size_t size;

	buffer_consume(&conn->out, buffer_size(&conn->out));
	while (may_read(conn) &&
	       net_read_buffer(conn->fd, &conn->in, &size) == NET_OK) {
		handle_input(conn);
		if (conn->state == WIRE_CONN_CLOSED)
			return;
	}
	if (may_read(conn))
		end_input(conn, "write failed");
}

static void write_out(struct wire_conn *conn)
{
	while (!conn->blocked && buffer_size(&conn->out)) {
		size_t size = buffer_size(&conn->out);
		enum net_result result =
			net_write(conn->fd, buffer_data(&conn->out), &size);

		if (result == NET_AGAIN)
			break;
		if (result != NET_OK) {
			write_failed(conn);
			break;
		}
		buffer_consume(&conn->out, size);
	}
	wire_conn_watch(conn);
}

static void flush_run(void *data)
{
	struct wire_conn *conn = data;

	if (conn->state == WIRE_CONN_HANDSHAKE || conn->state == WIRE_CONN_OPEN)
		write_out(conn);
}

static void connect_finished(struct wire_conn *conn)
{
	int result = net_connect_result(conn->fd);

	if (result) {
		wire_conn_close(conn, ERROR_IO, strerror(result));
		return;
	}
	conn->state = WIRE_CONN_HANDSHAKE;
	wire_handshake_begin(conn);
	wire_conn_watch(conn);
}

static void conn_ready(struct watch *watch, int ready, void *data)
{
	struct wire_conn *conn = data;

	if (conn->state == WIRE_CONN_CONNECTING) {
		connect_finished(conn);
		return;
	}
	if (ready & LOOP_WRITE)
		write_out(conn);
	if ((ready & LOOP_READ) && conn->state != WIRE_CONN_CLOSED &&
	    may_read(conn))
		read_in(conn);
}

struct wire_conn *wire_conn_new(struct wire_hub *hub, int fd,
				const struct address *remote_address,
				bool dialed)
{
	struct wire_conn *conn = calloc(1, sizeof(*conn));
	struct error err = ERROR_INIT;

	if (!conn)
		abort();
	conn->hub = hub;
	conn->id = ++hub->next_id;
	conn->fd = fd;
	conn->remote_address = *remote_address;
	conn->dialed = dialed;
	conn->state = dialed ? WIRE_CONN_CONNECTING : WIRE_CONN_HANDSHAKE;
	conn->received_us = loop_now_us(hub->loop);
	deferred_init(&conn->closing, closing_run, conn);
	deferred_init(&conn->flush, flush_run, conn);
	deferred_init(&conn->resume, resume_run, conn);
	timer_init(&conn->timeout, handshake_expired, conn);
	DL_APPEND(hub->conns, conn);
	hub->conn_count++;
	conn->blocked = wire_filter_blocks(&hub->filter, remote_address);
	if (fd >= 0 && watch_start(&conn->watch, hub->loop, fd,
				   dialed ? LOOP_READ | LOOP_WRITE : LOOP_READ,
				   conn_ready, conn, &err))
		timer_set(hub->loop, &conn->timeout,
			  loop_now_us(hub->loop) +
				  hub->handshake_timeout_ms * US_PER_MS);
	else
		wire_conn_close(conn, ERROR_IO, "cannot connect");
	wire_conn_watch(conn);
	return conn;
}

static bool should_compress(const struct wire_conn *conn, uint8_t type,
			    size_t size)
{
	const struct wire_hub *hub = conn->hub;

	return hub->compress_calls && conn->state == WIRE_CONN_OPEN &&
	       type >= FRAME_RANGE_CALL && size <= COMPRESS_MAX_BYTES &&
	       strcmp(conn->peer.data_centre, hub->self.data_centre) != 0;
}

/* Queues @frame compressed. Returns the size of the compressed frame in bytes,
 * its length prefix included. */
static size_t send_compressed(struct wire_conn *conn, const uint8_t *frame,
			      size_t size)
{
	struct wire_hub *hub = conn->hub;
	size_t compressed_size;
	const void *compressed;

	compressor_compress(&conn->compressor, frame + CODEC_LENGTH_BYTES,
			    size - CODEC_LENGTH_BYTES, &hub->compressed);
	encoder_begin(&hub->encoder, FRAME_COMPRESSED, 1);
	encode_bytes(&hub->encoder, buffer_data(&hub->compressed),
		     buffer_size(&hub->compressed));
	compressed = encoder_end(&hub->encoder, &compressed_size);
	buffer_append(&conn->out, compressed, compressed_size);
	buffer_remove_last(&hub->compressed, buffer_size(&hub->compressed));
	counter_add(&plain_bytes, (int64_t)size);
	counter_add(&compressed_bytes, (int64_t)compressed_size);
	return compressed_size;
}

bool wire_conn_send(struct wire_conn *conn, const void *frame, size_t size)
{
	uint8_t type = frame_type(frame);
	struct buffer *queue = conn->state == WIRE_CONN_OPEN ? &conn->out
							     : &conn->pending;

	if (conn->state == WIRE_CONN_CLOSED)
		return false;
	if (wire_conn_queued_bytes(conn) + size > WIRE_QUEUE_MAX_BYTES) {
		counter_add(&queue_full, 1);
		return false;
	}
	if (should_compress(conn, type, size))
		size = send_compressed(conn, frame, size);
	else
		buffer_append(queue, frame, size);
	count_sent(conn, type, size);
	if (conn->state == WIRE_CONN_OPEN)
		loop_defer_to_turn_end(conn->hub->loop, &conn->flush);
	return true;
}

void wire_conn_ping(struct wire_conn *conn)
{
	if (conn->state != WIRE_CONN_OPEN)
		return;
	encoder_begin(&conn->hub->encoder, FRAME_PING, 0);
	wire_conn_send_control(conn, FRAME_PING);
}

size_t wire_conn_queued_bytes(const struct wire_conn *conn)
{
	return buffer_size(&conn->out) + buffer_size(&conn->pending);
}
