#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "os/clock.h"
#include "os/net.h"
#include "wire/hub.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { TEST_FRAME = FRAME_RANGE_CALL, TURNS = 400, TURN_US = 5000 };

struct end {
	struct wire_hub hub;
	uint32_t frames;
	uint32_t bulk;
	uint32_t opened;
	uint32_t closed;
	struct error last;
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
	end->last = conn->err;
}

static void end_init(struct end *end, const char *deployment,
		     const char *secret)
{
	struct identity self = { .data_centre = "dc", .instance = "i" };
	struct error err = ERROR_INIT;
	struct wire_key key;

	memset(end, 0, sizeof(*end));
	snprintf(self.deployment, sizeof(self.deployment), "%s", deployment);
	address_parse("127.0.0.1:0", &self.address, &err);
	wire_key_init(&key, secret, deployment);
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

static void setup(void)
{
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
}

static void send_frame(struct wire_conn *conn, uint8_t type, size_t payload)
{
	static uint8_t bytes[WIRE_FRAME_MAX_BYTES];
	struct encoder encoder;
	size_t size;
	const void *frame;

	encoder_init(&encoder);
	encoder_begin(&encoder, type, 1);
	encode_bytes(&encoder, bytes, payload);
	frame = encoder_end(&encoder, &size);
	cr_assert(wire_conn_send(conn, frame, size));
	encoder_finish(&encoder);
}

static void send_test_frame(struct wire_conn *conn, size_t payload)
{
	send_frame(conn, TEST_FRAME, payload);
}

Test(hub, frames_queued_before_the_handshake_arrive, .init = setup)
{
	static struct end a;
	static struct end b;
	struct wire_conn *conn;

	end_init(&a, "cellar", "secret");
	end_init(&b, "cellar", "secret");
	conn = wire_hub_connect(&a.hub, &b.hub.self.address);
	send_test_frame(conn, 10);
	send_test_frame(conn, 1000 * 1000);
	turn_until(&b.frames, 2);
	cr_assert_eq(b.frames, 2);
	cr_assert_eq(a.opened, 1);
	cr_assert_eq(wire_hub_connect(&a.hub, &b.hub.self.address), conn);
	wire_hub_finish(&a.hub);
	turn_until(&b.closed, 1);
	cr_assert_eq(b.closed, 1);
	wire_hub_finish(&b.hub);
	loop_finish(&loop);
}

/*
 * Guards against configuration of an unauthenticated process, or of another
 * deployment, coming into force: frames handled before the handshake has ended.
 */
Test(hub, peers_without_the_shared_key_are_refused, .init = setup)
{
	static const struct {
		const char *name, *deployment, *secret;
	} cases[] = {
		{ "other deployment", "quillgate", "secret" },
		{ "other secret", "cellar", "another" },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		static struct end outsider;
		static struct end node;
		struct wire_conn *conn;

		end_init(&node, "cellar", "secret");
		end_init(&outsider, cases[i].deployment, cases[i].secret);
		conn = wire_hub_connect(&outsider.hub, &node.hub.self.address);
		send_test_frame(conn, 10);
		turn_until(&node.closed, 1);
		turn_until(&outsider.closed, 1);
		cr_assert_eq(node.opened, 0, "%s", cases[i].name);
		cr_assert_eq(node.frames, 0, "%s", cases[i].name);
		cr_assert_eq(outsider.closed, 1, "%s", cases[i].name);
		wire_hub_finish(&outsider.hub);
		wire_hub_finish(&node.hub);
	}
	loop_finish(&loop);
}

/*
 * Guards against one faulty or hostile peer crashing a node or closing the
 * connections of others: lengths, counts or order used before they are checked.
 */
Test(hub, malformed_bytes_close_only_their_own_connection, .init = setup)
{
	static const struct {
		const char *name;
		const char *bytes;
		size_t size;
	} cases[] = {
		{ "length 0", "\0\0\0\0", 4 },
		{ "length too large", "\x7f\xff\xff\xff", 4 },
		{ "HTTP", "GET / HTTP/1.1\r\n\r\n", 18 },
		{ "not MessagePack", "\0\0\0\1\xc1", 5 },
		{ "call before proof", "\0\0\0\2\x91\x30", 6 },
		{ "proof before hello", "\0\0\0\2\x91\x02", 6 },
		{ "wrong protocol", "\0\0\0\x11\x93\x01\xadgeraniumplank\x63",
		  21 },
	};
	static struct end a;
	static struct end b;
	struct wire_conn *conn;
	size_t i;

	end_init(&a, "cellar", "secret");
	end_init(&b, "cellar", "secret");
	conn = wire_hub_connect(&a.hub, &b.hub.self.address);
	turn_until(&b.opened, 1);
	for (i = 0; i < COUNT(cases); i++) {
		struct error err = ERROR_INIT;
		size_t size = cases[i].size;
		int fd = net_connect(&b.hub.self.address, NULL, &err);

		loop_turn(&loop, TURN_US);
		net_write(fd, cases[i].bytes, &size);
		turn_until(&b.closed, (uint32_t)i + 1);
		cr_assert_eq(b.closed, i + 1, "%s", cases[i].name);
		cr_assert_neq(b.last.code, ERROR_NONE, "%s", cases[i].name);
		net_close(fd);
	}
	send_test_frame(conn, 10);
	turn_until(&b.frames, 1);
	cr_assert_eq(b.frames, 1);
	wire_hub_finish(&a.hub);
	wire_hub_finish(&b.hub);
	loop_finish(&loop);
}

Test(hub, a_refused_connection_is_reported_closed_and_never_established,
     .init = setup)
{
	static struct end a;
	struct address unused_address;
	struct error err = ERROR_INIT;
	int fd;

	address_parse("127.0.0.1:0", &unused_address, &err);
	fd = net_listen(&unused_address, &err);
	net_close(fd);
	end_init(&a, "cellar", "secret");
	send_test_frame(wire_hub_connect(&a.hub, &unused_address), 10);
	turn_until(&a.closed, 1);
	cr_assert_eq(a.closed, 1);
	cr_assert_eq(a.opened, 0);
	wire_hub_finish(&a.hub);
	loop_finish(&loop);
}

/*
 * Guards against frames that were queued during a partition being lost, and
 * their connection being closed, when the partition ends.
 */
Test(hub, a_partition_delays_frames_and_loses_none, .init = setup)
{
	struct wire_filter none = { 0 };
	struct wire_filter blocked = { 0 };
	struct error err = ERROR_INIT;
	static struct end a;
	static struct end b;
	struct wire_conn *conn;
	int i;

	end_init(&a, "cellar", "secret");
	end_init(&b, "cellar", "secret");
	conn = wire_hub_connect(&a.hub, &b.hub.self.address);
	turn_until(&b.opened, 1);
	cr_assert(wire_filter_add(&blocked, "127.0.0.0/8", &err));
	wire_hub_set_filter(&a.hub, &blocked);
	send_test_frame(conn, 10);
	for (i = 0; i < 10; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(b.frames, 0);
	cr_assert_eq(b.closed, 0);
	wire_hub_set_filter(&a.hub, &none);
	turn_until(&b.frames, 1);
	cr_assert_eq(b.frames, 1);
	wire_hub_finish(&a.hub);
	wire_hub_finish(&b.hub);
	loop_finish(&loop);
}

/*
 * A middlebox that loses the state of a connection closes nothing: calls on the
 * old connection hang, although a new connection to the same peer works.
 */
Test(hub, a_silenced_connection_stays_silent_and_a_new_one_works, .init = setup)
{
	struct wire_filter silence = { .open_only = true };
	struct error err = ERROR_INIT;
	static struct end a;
	static struct end b;
	struct wire_conn *conn;
	int i;

	end_init(&a, "cellar", "secret");
	end_init(&b, "cellar", "secret");
	conn = wire_hub_connect(&a.hub, &b.hub.self.address);
	turn_until(&b.opened, 1);
	cr_assert(wire_filter_add(&silence, "127.0.0.0/8", &err));
	wire_hub_set_filter(&b.hub, &silence);
	send_test_frame(conn, 10);
	for (i = 0; i < 10; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(b.frames, 0);
	cr_assert_eq(b.closed, 0);
	send_test_frame(wire_hub_reconnect(&a.hub, &b.hub.self.address), 10);
	turn_until(&b.frames, 1);
	cr_assert_eq(b.frames, 1);
	wire_hub_finish(&a.hub);
	wire_hub_finish(&b.hub);
	loop_finish(&loop);
}

enum { BULK_FRAMES = 200, BULK_US = 300 };

static void on_bulk(struct wire_conn *conn, const struct message *message,
		    void *data)
{
	struct end *end = data;
	int64_t until_us = clock_monotonic_us() + BULK_US;

	while (clock_monotonic_us() < until_us)
		;
	end->bulk++;
}

/*
 * Guards against calls being delayed whenever a version arrives, because all
 * received frames of the version are handled in one turn of the loop.
 */
Test(hub, a_call_does_not_wait_for_frames_in_bulk, .init = setup)
{
	static struct end peer;
	static struct end caller;
	static struct end node;
	struct wire_conn *bulk;
	struct wire_conn *call;
	int i;

	end_init(&peer, "cellar", "secret");
	end_init(&caller, "cellar", "secret");
	end_init(&node, "cellar", "secret");
	wire_hub_register(&node.hub, FRAME_RANGE_SPREAD, on_bulk, NULL, &node);
	bulk = wire_hub_connect(&peer.hub, &node.hub.self.address);
	call = wire_hub_connect(&caller.hub, &node.hub.self.address);
	turn_until(&node.opened, 2);
	turn_until(&peer.opened, 1);
	turn_until(&caller.opened, 1);
	for (i = 0; i < BULK_FRAMES; i++)
		send_frame(bulk, FRAME_RANGE_SPREAD, 100);
	turn_until(&node.bulk, 1);
	send_test_frame(call, 10);
	turn_until(&node.frames, 1);
	cr_assert_eq(node.frames, 1);
	cr_assert_lt(node.bulk, BULK_FRAMES / 4, "%u bulk frames came before",
		     node.bulk);
	turn_until(&node.bulk, BULK_FRAMES);
	cr_assert_eq(node.bulk, BULK_FRAMES);
	/* Frames that are left when the connection closes are not handled. */
	send_frame(bulk, FRAME_RANGE_SPREAD, 100);
	send_frame(bulk, FRAME_RANGE_SPREAD, 100);
	turn_until(&node.bulk, BULK_FRAMES + 1);
	wire_hub_finish(&node.hub);
	wire_hub_finish(&peer.hub);
	wire_hub_finish(&caller.hub);
	loop_finish(&loop);
}

/*
 * Guards against a call whose cancellation is handled too late, because it
 * stands behind frames of a version on the same connection.
 */
Test(hub, frames_of_calls_pass_frames_in_bulk, .init = setup)
{
	static struct end peer;
	static struct end node;
	struct wire_conn *conn;
	int i;

	end_init(&peer, "cellar", "secret");
	end_init(&node, "cellar", "secret");
	wire_hub_register(&node.hub, FRAME_RANGE_SPREAD, on_bulk, NULL, &node);
	conn = wire_hub_connect(&peer.hub, &node.hub.self.address);
	turn_until(&node.opened, 1);
	turn_until(&peer.opened, 1);
	for (i = 0; i < BULK_FRAMES; i++) {
		send_frame(conn, FRAME_RANGE_SPREAD, 100);
		send_test_frame(conn, 10);
	}
	turn_until(&node.frames, BULK_FRAMES);
	cr_assert_eq(node.frames, BULK_FRAMES);
	cr_assert_lt(node.bulk, BULK_FRAMES / 4, "%u bulk frames came before",
		     node.bulk);
	/* The frames that wait are handled although the peer leaves. */
	wire_hub_finish(&peer.hub);
	turn_until(&node.closed, 1);
	cr_assert_eq(node.bulk, BULK_FRAMES);
	cr_assert_eq(node.closed, 1);
	wire_hub_finish(&node.hub);
	loop_finish(&loop);
}

static size_t held_max_bytes;

/* Takes longer than a frame takes to arrive. */
static void on_slow_bulk(struct wire_conn *conn, const struct message *message,
			 void *data)
{
	size_t held = buffer_size(&conn->bulk) + buffer_size(&conn->in);

	if (held > held_max_bytes)
		held_max_bytes = held;
	on_bulk(conn, message, data);
}

/* Guards against a node that keeps all frames of a peer that sends them faster
 * than they are handled. */
Test(hub, frames_in_bulk_are_held_up_to_a_bound, .init = setup)
{
	enum {
		FRAMES = 640,
		PAYLOAD_BYTES = 50 * 1000,
		QUEUED_MAX_BYTES = 1024 * 1024,
		/* Bytes that wait, and a frame of which a part has come. */
		HELD_MAX_BYTES = 4 * 1024 * 1024 + WIRE_FRAME_MAX_BYTES,
	};
	static struct end peer;
	static struct end node;
	struct wire_conn *conn;
	uint32_t sent = 0;
	int i;

	end_init(&peer, "cellar", "secret");
	end_init(&node, "cellar", "secret");
	wire_hub_register(&node.hub, FRAME_RANGE_SPREAD, on_slow_bulk, NULL,
			  &node);
	conn = wire_hub_connect(&peer.hub, &node.hub.self.address);
	turn_until(&node.opened, 1);
	turn_until(&peer.opened, 1);
	for (i = 0; i < FRAMES * TURNS && node.bulk < FRAMES; i++) {
		while (sent < FRAMES &&
		       wire_conn_queued_bytes(conn) < QUEUED_MAX_BYTES) {
			send_frame(conn, FRAME_RANGE_SPREAD, PAYLOAD_BYTES);
			sent++;
		}
		loop_turn(&loop, TURN_US);
	}
	cr_expect_eq(node.bulk, FRAMES);
	cr_expect_leq(held_max_bytes, HELD_MAX_BYTES, "%zu", held_max_bytes);
	wire_hub_finish(&peer.hub);
	wire_hub_finish(&node.hub);
	loop_finish(&loop);
}

/*
 * Frames of calls between data centres are compressed, and no others. Frames of
 * any size arrive.
 */
Test(hub, calls_between_data_centres_are_compressed, .init = setup)
{
	static const struct {
		const char *data_centre;
		uint8_t type;
		bool compressed;
	} cases[] = {
		{ "elsewhere", TEST_FRAME, true },
		{ "dc", TEST_FRAME, false },
		{ "elsewhere", FRAME_RANGE_SPREAD, false },
	};
	static const size_t payloads[] = { 0, 10, 300, 8000, 60000 };
	size_t i;
	size_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct end a;
		struct end b;
		struct wire_conn *conn;
		uint64_t sent;

		end_init(&a, "d", "s");
		end_init(&b, "d", "s");
		wire_hub_register(&b.hub, FRAME_RANGE_SPREAD, on_frame, NULL,
				  &b);
		snprintf(b.hub.self.data_centre, NAME_SIZE, "%s",
			 cases[i].data_centre);
		conn = wire_hub_connect(&a.hub, &b.hub.self.address);
		turn_until(&b.opened, 1);
		turn_until(&a.opened, 1);
		sent = a.hub.traffic[cases[i].type].sent_bytes;
		for (j = 0; j < COUNT(payloads); j++)
			send_frame(conn, cases[i].type, payloads[j]);
		turn_until(&b.frames, COUNT(payloads));
		cr_expect_eq(b.frames, COUNT(payloads), "case %zu", i);
		sent = a.hub.traffic[cases[i].type].sent_bytes - sent;
		cr_expect_eq(sent < 61000, cases[i].compressed,
			     "case %zu: %llu bytes", i,
			     (unsigned long long)sent);
		wire_hub_finish(&a.hub);
		wire_hub_finish(&b.hub);
	}
}

/*
 * Guards against an authenticated peer crashing a node, or reaching a component
 * that gets no compressed frames, by an invalid compressed frame.
 */
Test(hub, invalid_compressed_frames_close_the_connection, .init = setup)
{
	static const char *const contents[] = { "", "\x03", "\xff\xff",
						"not DEFLATE" };
	size_t i;

	for (i = 0; i < COUNT(contents); i++) {
		struct end a;
		struct end b;
		struct wire_conn *conn;
		struct encoder encoder;
		const void *frame;
		size_t size;

		end_init(&a, "d", "s");
		end_init(&b, "d", "s");
		conn = wire_hub_connect(&a.hub, &b.hub.self.address);
		turn_until(&a.opened, 1);
		encoder_init(&encoder);
		encoder_begin(&encoder, FRAME_COMPRESSED, 1);
		encode_bytes(&encoder, contents[i], strlen(contents[i]));
		frame = encoder_end(&encoder, &size);
		wire_conn_send(conn, frame, size);
		turn_until(&b.closed, 1);
		cr_expect_eq(b.closed, 1, "case %zu", i);
		cr_expect_eq(b.last.code, ERROR_PROTOCOL, "case %zu", i);
		cr_expect_eq(b.frames, 0, "case %zu", i);
		encoder_finish(&encoder);
		wire_hub_finish(&a.hub);
		wire_hub_finish(&b.hub);
	}
}
