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

static void turn_until(const uint32_t *count, uint32_t wanted)
{
	int i;

	for (i = 0; i < TURNS && *count < wanted; i++)
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
 * Symptom: configuration of another deployment, or of a stranger, in force.
 * Sequence: a process that does not share deployment and key connects.
 * Cause: frames taken before the peer has proved who it is.
 */
Test(hub, strangers_are_refused, .init = setup)
{
	static const struct {
		const char *name, *deployment, *secret;
	} cases[] = {
		{ "other deployment", "quillgate", "secret" },
		{ "other secret", "cellar", "another" },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		static struct end stranger;
		static struct end node;
		struct wire_conn *conn;

		end_init(&node, "cellar", "secret");
		end_init(&stranger, cases[i].deployment, cases[i].secret);
		conn = wire_hub_connect(&stranger.hub, &node.hub.self.address);
		send_test_frame(conn, 10);
		turn_until(&node.closed, 1);
		turn_until(&stranger.closed, 1);
		cr_assert_eq(node.opened, 0, "%s", cases[i].name);
		cr_assert_eq(node.frames, 0, "%s", cases[i].name);
		cr_assert_eq(stranger.closed, 1, "%s", cases[i].name);
		wire_hub_finish(&stranger.hub);
		wire_hub_finish(&node.hub);
	}
	loop_finish(&loop);
}

/*
 * Symptom: one broken or hostile peer takes a node down or cuts the
 * connections of others. Sequence: raw bytes come on a new connection.
 * Cause: lengths, counts or order trusted before they are checked.
 */
Test(hub, broken_bytes_close_only_their_own_connection, .init = setup)
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

Test(hub, dialing_nobody_is_reported_closed_and_never_established,
     .init = setup)
{
	static struct end a;
	struct address nobody;
	struct error err = ERROR_INIT;
	int fd;

	address_parse("127.0.0.1:0", &nobody, &err);
	fd = net_listen(&nobody, &err);
	net_close(fd);
	end_init(&a, "cellar", "secret");
	send_test_frame(wire_hub_connect(&a.hub, &nobody), 10);
	turn_until(&a.closed, 1);
	cr_assert_eq(a.closed, 1);
	cr_assert_eq(a.opened, 0);
	wire_hub_finish(&a.hub);
	loop_finish(&loop);
}

/*
 * Symptom: after a partition a peer's connection is torn and its frames are
 * lost. Sequence: the network to a peer is cut, frames are queued, the cut
 * heals. Cause: bytes thrown away instead of kept until the peer reads.
 */
Test(hub, a_cut_delays_frames_and_loses_none, .init = setup)
{
	struct wire_filter none = { 0 };
	struct wire_filter cut = { 0 };
	struct error err = ERROR_INIT;
	static struct end a;
	static struct end b;
	struct wire_conn *conn;
	int i;

	end_init(&a, "cellar", "secret");
	end_init(&b, "cellar", "secret");
	conn = wire_hub_connect(&a.hub, &b.hub.self.address);
	turn_until(&b.opened, 1);
	cr_assert(wire_filter_add(&cut, "127.0.0.0/8", &err));
	wire_hub_set_filter(&a.hub, &cut);
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
 * Symptom: calls on old connections hang while new ones would work.
 * Sequence: something between two nodes forgets their connection; a new one
 * is dialed. Cause: silence is not a close, nobody is told.
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
 * Symptom: calls take tens of milliseconds each time that a version comes.
 * Sequence: a peer sends a thousand texts at once, another one a call.
 * Cause: all frames that have come are taken in one turn of the loop.
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
	cr_assert_lt(node.bulk, BULK_FRAMES / 4, "%u came before", node.bulk);
	turn_until(&node.bulk, BULK_FRAMES);
	cr_assert_eq(node.bulk, BULK_FRAMES);
	/* What is left when the connection ends is not taken any more. */
	send_frame(bulk, FRAME_RANGE_SPREAD, 100);
	send_frame(bulk, FRAME_RANGE_SPREAD, 100);
	turn_until(&node.bulk, BULK_FRAMES + 1);
	wire_hub_finish(&node.hub);
	wire_hub_finish(&peer.hub);
	wire_hub_finish(&caller.hub);
	loop_finish(&loop);
}

/*
 * Frames of calls between data centres are compressed, those within one and
 * all others are not, and whatever the size each comes out as it went in.
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
 * Symptom: a frame reaches a slice that no peer of another kind may send, or
 * a node ends over a frame.
 * Sequence: a proved peer sends as compressed what is not.
 * Cause: trusting what a frame holds.
 */
Test(hub, packed_frames_that_are_none_close_the_connection, .init = setup)
{
	static const char *const contents[] = { "", "\x03", "\xff\xff",
						"rubbish" };
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
