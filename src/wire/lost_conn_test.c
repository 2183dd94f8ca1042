#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "os/net.h"
#include "wire/hub.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum {
	TEST_FRAME = FRAME_RANGE_CALL,
	TURNS = 400,
	TURN_US = 5000,
	/* More than the kernel takes on a connection that is not read. */
	BACKLOG_FRAMES = 12,
	BACKLOG_BYTES = 1000 * 1000,
};

struct end {
	struct wire_hub hub;
	uint32_t frames;
	uint32_t frames_at_close;
	uint32_t opened;
	uint32_t closed;
};

static struct loop loop;

static void on_frame(struct wire_conn *conn, const struct message *message,
		     void *data)
{
	struct end *end = data;

	end->frames++;
}

static void on_state(struct wire_conn *conn, void *data)
{
	struct end *end = data;

	if (conn->state == WIRE_CONN_OPEN) {
		end->opened++;
		return;
	}
	end->closed++;
	end->frames_at_close = end->frames;
}

static void end_init(struct end *end)
{
	struct identity self = { .deployment = "d",
				 .data_centre = "dc",
				 .instance = "i" };
	struct error err = ERROR_INIT;
	struct wire_key key;

	memset(end, 0, sizeof(*end));
	address_parse("127.0.0.1:0", &self.address, &err);
	wire_key_init(&key, "secret", "d");
	cr_assert(wire_hub_init(&end->hub, &loop, &self, &key, &err), "%s",
		  err.text);
	wire_hub_register(&end->hub, FRAME_RANGE_CALL, on_frame, on_state, end);
}

static void turn_until(const uint32_t *count, uint32_t expected)
{
	int i;

	for (i = 0; i < TURNS && *count < expected; i++)
		loop_turn(&loop, TURN_US);
}

/* Encodes a test frame. Returns its bytes, valid until the next call. */
static const void *encode_frame(size_t payload, size_t *size)
{
	static uint8_t bytes[BACKLOG_BYTES];
	static struct encoder encoder;

	encoder_finish(&encoder);
	encoder_init(&encoder);
	encoder_begin(&encoder, TEST_FRAME, 1);
	encode_bytes(&encoder, bytes, payload);
	return encoder_end(&encoder, size);
}

/* Sends frames that the peer does not read until some stay in the queue. */
static void fill_queue(struct wire_conn *conn)
{
	int turn;
	int i;

	for (i = 0; i < BACKLOG_FRAMES; i++) {
		size_t size;
		const void *frame = encode_frame(BACKLOG_BYTES, &size);

		if (!wire_conn_send(conn, frame, size))
			break;
		for (turn = 0; turn < 4; turn++)
			loop_turn(&loop, 0);
	}
	cr_assert_gt(wire_conn_queued_bytes(conn), 0);
}

/* Guards against an answer that was received and is discarded, because the
 * peer has ended and a write to it fails before the answer is read. */
Test(lost_conn, received_frames_are_handled_before_a_failed_write_closes)
{
	static const struct {
		bool backlog; /* or one frame, written at the end of the turn */
	} cases[] = { { true }, { false } };
	struct error err = ERROR_INIT;
	size_t i;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	for (i = 0; i < COUNT(cases); i++) {
		static struct end a;
		static struct end b;
		struct wire_conn *from_a;
		struct wire_conn *at_b;
		const void *frame;
		size_t size;

		end_init(&a);
		end_init(&b);
		from_a = wire_hub_connect(&a.hub, &b.hub.self.address);
		turn_until(&a.opened, 1);
		turn_until(&b.opened, 1);
		at_b = b.hub.conns;
		watch_stop(&at_b->watch);
		if (cases[i].backlog)
			fill_queue(from_a);
		frame = encode_frame(10, &size);
		cr_assert_eq(net_write(at_b->fd, frame, &size), NET_OK);
		/* Bytes that are not read make the close a reset. */
		if (!cases[i].backlog) {
			frame = encode_frame(10, &size);
			cr_assert_eq(net_write(from_a->fd, frame, &size),
				     NET_OK);
		}
		net_close(at_b->fd);
		at_b->fd = NET_NONE;
		if (!cases[i].backlog)
			cr_assert(wire_conn_send(from_a, frame, size));
		turn_until(&a.closed, 1);
		cr_expect_eq(a.closed, 1, "case %zu", i);
		cr_expect_eq(a.frames_at_close, 1, "case %zu: %u frames", i,
			     a.frames_at_close);
		wire_hub_finish(&a.hub);
		wire_hub_finish(&b.hub);
	}
	loop_finish(&loop);
}

/* Guards against a process that ends while its kernel holds answers for a peer
 * that receives slowly. */
Test(lost_conn, bytes_that_a_peer_has_not_received_are_known)
{
	struct error err = ERROR_INIT;
	static struct end a;
	static struct end b;
	struct wire_conn *from_a;
	size_t size;
	const void *frame;
	int i;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	end_init(&a);
	end_init(&b);
	from_a = wire_hub_connect(&a.hub, &b.hub.self.address);
	turn_until(&a.opened, 1);
	turn_until(&b.opened, 1);
	for (i = 0; i < TURNS && wire_hub_delivery(&b.hub, 1); i++)
		loop_turn(&loop, TURN_US);
	cr_expect_eq(wire_hub_delivery(&b.hub, 1), DELIVERY_COMPLETE);
	/* The opener of a connection does not read for a while. */
	watch_stop(&from_a->watch);
	fill_queue(b.hub.conns);
	frame = encode_frame(10, &size);
	cr_expect_eq(wire_hub_delivery(&b.hub, 1), DELIVERY_ACTIVE);
	cr_expect(wire_conn_send(from_a, frame, size));
	cr_expect_eq(wire_hub_delivery(&a.hub, 1), DELIVERY_COMPLETE,
		     "not an answer");
	wire_hub_finish(&a.hub);
	wire_hub_finish(&b.hub);
	loop_finish(&loop);
}
