#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "wire/hub_defs.h"

/**
 * DOC: handshake
 *
 * Both sides send their identity and prove that they hold the shared key before
 * any component receives a frame. Pings and close frames are handled here, too.
 */

static const char magic[] = "geraniumplank";

COUNTER(refused, "wire.peers_refused",
	"Connections closed because the peer was not proved");
COUNTER(out_of_order, "wire.frames_out_of_order",
	"Connections closed over a frame that came out of order");

void wire_handshake_begin(struct wire_conn *conn)
{
	struct encoder *encoder = &conn->hub->encoder;
	const struct identity *self = &conn->hub->self;
	char text[ADDRESS_TEXT_SIZE];

	wire_nonce(conn->self_nonce);
	encoder_begin(encoder, FRAME_HELLO, 8);
	encode_text(encoder, magic);
	encode_uint(encoder, WIRE_PROTOCOL);
	encode_text(encoder, self->deployment);
	encode_text(encoder, self->data_centre);
	encode_text(encoder, self->instance);
	encode_uint(encoder, self->incarnation);
	encode_text(encoder, address_format(&self->address, text));
	encode_bytes(encoder, conn->self_nonce, NONCE_BYTES);
	wire_conn_send_control(conn, FRAME_HELLO);
}

static void send_proof(struct wire_conn *conn)
{
	struct encoder *encoder = &conn->hub->encoder;
	uint8_t proof[PROOF_BYTES];

	wire_make_proof(&conn->hub->key,
			conn->dialed ? ROLE_DIALER : ROLE_ACCEPTOR,
			&conn->hub->self, conn->self_nonce, conn->peer_nonce,
			proof);
	encoder_begin(encoder, FRAME_PROOF, 1);
	encode_bytes(encoder, proof, PROOF_BYTES);
	wire_conn_send_control(conn, FRAME_PROOF);
	conn->proof_sent = true;
}

static bool decode_hello(struct wire_conn *conn, const struct message *message,
			 struct error *err)
{
	struct identity *peer = &conn->peer;
	char peer_magic[sizeof(magic)];
	char text[ADDRESS_TEXT_SIZE];
	const msgpack_object *f = message->fields;
	uint64_t protocol;

	if (message->count < 2 ||
	    !decode_text(&f[0], peer_magic, sizeof(peer_magic), "magic", err) ||
	    strcmp(peer_magic, magic) ||
	    !decode_uint(&f[1], UINT32_MAX, &protocol, "protocol", err)) {
		error_set(err, ERROR_PROTOCOL,
			  "peer does not use the geraniumplank protocol");
		return false;
	}
	if (protocol != WIRE_PROTOCOL) {
		error_set(err, ERROR_PROTOCOL,
			  "peer uses protocol %u, this node uses %d",
			  (unsigned int)protocol, WIRE_PROTOCOL);
		return false;
	}
	return decode_count(message, 8, "hello", err) &&
	       decode_text(&f[2], peer->deployment, NAME_SIZE, "deployment",
			   err) &&
	       decode_text(&f[3], peer->data_centre, NAME_SIZE, "data centre",
			   err) &&
	       decode_text(&f[4], peer->instance, NAME_SIZE, "instance", err) &&
	       decode_uint(&f[5], UINT64_MAX, &peer->incarnation, "incarnation",
			   err) &&
	       decode_text(&f[6], text, sizeof(text), "address", err) &&
	       address_parse(text, &peer->address, err) &&
	       decode_fixed(&f[7], conn->peer_nonce, NONCE_BYTES, "nonce", err);
}

static void handle_hello(struct wire_conn *conn, const struct message *message)
{
	struct error err = ERROR_INIT;

	if (conn->hello_received) {
		wire_conn_close(conn, ERROR_PROTOCOL, "second hello");
		return;
	}
	if (!decode_hello(conn, message, &err)) {
		counter_add(&refused, 1);
		wire_conn_close(conn, err.code, err.text);
		return;
	}
	if (strcmp(conn->peer.deployment, conn->hub->self.deployment)) {
		counter_add(&refused, 1);
		error_set(&err, ERROR_AUTH, "peer belongs to deployment \"%s\"",
			  conn->peer.deployment);
		wire_conn_close(conn, err.code, err.text);
		return;
	}
	conn->hello_received = true;
	send_proof(conn);
}

static void handle_proof(struct wire_conn *conn, const struct message *message)
{
	uint8_t expected[PROOF_BYTES];
	uint8_t proof[PROOF_BYTES];
	struct error err = ERROR_INIT;

	if (!conn->hello_received || !decode_count(message, 1, "proof", &err) ||
	    !decode_fixed(&message->fields[0], proof, PROOF_BYTES, "proof",
			  &err)) {
		counter_add(&refused, 1);
		wire_conn_close(conn, ERROR_PROTOCOL, "proof out of order");
		return;
	}
	wire_make_proof(&conn->hub->key,
			conn->dialed ? ROLE_ACCEPTOR : ROLE_DIALER, &conn->peer,
			conn->peer_nonce, conn->self_nonce, expected);
	if (!wire_proof_equal(expected, proof)) {
		counter_add(&refused, 1);
		wire_conn_close(conn, ERROR_AUTH,
				"peer does not hold the shared key");
		return;
	}
	wire_conn_opened(conn);
}

static void handle_close(struct wire_conn *conn, const struct message *message)
{
	char reason[ERROR_TEXT_SIZE / 2] = "";
	char code[32] = "";
	char text[ERROR_TEXT_SIZE];
	struct error err = ERROR_INIT;

	if (message->count == 2) {
		decode_text(&message->fields[0], code, sizeof(code), "code",
			    &err);
		decode_text(&message->fields[1], reason, sizeof(reason),
			    "reason", &err);
	}
	snprintf(text, sizeof(text), "closed by the peer: %s: %s", code,
		 reason);
	wire_conn_close(conn, ERROR_IO, text);
}

void wire_handshake_frame(struct wire_conn *conn, const struct message *message)
{
	if (message->type == FRAME_CLOSE) {
		handle_close(conn, message);
		return;
	}
	if (conn->state == WIRE_CONN_HANDSHAKE &&
	    message->type == FRAME_HELLO) {
		handle_hello(conn, message);
		return;
	}
	if (conn->state == WIRE_CONN_HANDSHAKE &&
	    message->type == FRAME_PROOF) {
		handle_proof(conn, message);
		return;
	}
	if (conn->state == WIRE_CONN_OPEN && message->type == FRAME_PING) {
		encoder_begin(&conn->hub->encoder, FRAME_PONG, 0);
		wire_conn_send_control(conn, FRAME_PONG);
		return;
	}
	if (conn->state == WIRE_CONN_OPEN && message->type == FRAME_PONG)
		return;
	counter_add(&out_of_order, 1);
	wire_conn_close(conn, ERROR_PROTOCOL, "frame out of order");
}
