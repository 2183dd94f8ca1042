#ifndef WIRE_HUB_H
#define WIRE_HUB_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uthash.h>

#include "base/address.h"
#include "base/buffer.h"
#include "base/error.h"
#include "event/loop.h"
#include "wire/codec.h"
#include "wire/compressor.h"
#include "wire/filter.h"
#include "wire/frame_types.h"
#include "wire/identity.h"

/**
 * DOC: hub
 *
 * All TCP connections of a process to its peers: the listener, the dialed
 * connections by address, the handshake on both, and frames handed to the
 * slice that registered their type. Frames queued before the handshake ended
 * are sent after it. Slices never see bytes that an unproved peer sent.
 *
 * Frames that move much, as whole versions do, are taken one at a time in
 * turns of the loop that have nothing else to do, so that calls do not wait
 * for them.
 *
 * Frames of calls between data centres travel compressed: those links are the
 * thin and dear ones, and the headers of requests repeat themselves.
 *
 * A frame handler must not free the connection; wire_conn_close() takes
 * effect on the next turn of the loop.
 */

enum {
	WIRE_FRAME_MAX_BYTES = 1280 * 1024, /* a body of 1 MiB and its head */
	WIRE_QUEUE_MAX_BYTES = 8 * 1024 * 1024,
};

enum wire_conn_state {
	WIRE_CONN_CONNECTING,
	WIRE_CONN_HANDSHAKE,
	WIRE_CONN_OPEN,
	WIRE_CONN_CLOSED,
};

struct wire_hub;

/**
 * struct wire_conn - one connection
 * @peer: what the other side proved of itself, valid once open
 * @remote_address: address that was dialed; for accepted ones where the bytes
 *come from
 * @dialed: whether this side opened it
 * @established: whether it was ever open; while false no frame queued here
 *	has left, so nothing sent on it can have taken effect
 * @received_us: when bytes last came
 * @preferred: the dialed connection that wire_hub_connect() returns
 * @blocked: cut off by the drill filter
 * @silenced: blocked for good
 * @component_data: for the slices' use, NULL at first, indexed by range / 16
 */
struct wire_conn {
	struct wire_hub *hub;
	struct wire_conn *next;
	struct wire_conn *prev;
	uint64_t id;
	enum wire_conn_state state;
	struct identity peer;
	struct address remote_address;
	bool dialed;
	bool established;
	bool preferred;
	UT_hash_handle by_address;
	bool blocked;
	bool silenced;
	int64_t received_us;
	int64_t opened_us;
	void *component_data[FRAME_TYPES / 16];
	struct error err;

	int fd;
	struct watch watch;
	struct timer timeout;
	struct deferred closing;
	struct deferred flush;
	struct deferred resume; /* queued: frames wait in @in */
	struct buffer in;
	struct buffer out;     /* may leave now */
	struct buffer pending; /* waits for the handshake */
	struct compressor compressor;
	uint8_t self_nonce[NONCE_BYTES];
	uint8_t peer_nonce[NONCE_BYTES];
	bool hello_received;
	bool proof_sent;
};

/** typedef wire_frame_fn - a frame of a registered range has come. */
typedef void wire_frame_fn(struct wire_conn *conn,
			   const struct message *message, void *data);

/** typedef wire_state_fn - @conn became open or closed; see its state. */
typedef void wire_state_fn(struct wire_conn *conn, void *data);

struct wire_range {
	wire_frame_fn *on_frame;
	wire_state_fn *on_state;
	void *data;
};

/** struct wire_traffic - bytes and frames of one type, both ways. */
struct wire_traffic {
	uint64_t sent_bytes;
	uint64_t sent_frames;
	uint64_t received_bytes;
	uint64_t received_frames;
};

/**
 * struct wire_hub - see DOC
 * @compress_calls: frames of calls to other data centres; what peers send is
 *	always understood
 */
struct wire_hub {
	struct loop *loop;
	struct identity self;
	struct wire_key key;
	int listen_fd;
	struct watch listen_watch;
	struct wire_conn *conns;
	struct wire_conn *preferred; /* by the address that was dialed */
	uint32_t conn_count;
	uint64_t next_id;
	struct wire_range ranges[FRAME_TYPES / 16];
	struct wire_traffic traffic[FRAME_TYPES];
	struct encoder encoder;
	struct wire_filter filter;
	int64_t handshake_timeout_ms;
	bool compress_calls;
	struct buffer compressed;   /* the frame being sent */
	struct buffer decompressed; /* the frame being handled */
};

/**
 * wire_hub_init() - listen for peers
 * @self: copied; its address may have port 0, the hub's copy has the real one
 */
bool wire_hub_init(struct wire_hub *hub, struct loop *loop,
		   const struct identity *self, const struct wire_key *key,
		   struct error *err);

/** wire_hub_finish() - close everything at once. */
void wire_hub_finish(struct wire_hub *hub);

/** wire_hub_register() - who gets the frames of @range, a FRAME_RANGE_ value. */
void wire_hub_register(struct wire_hub *hub, int range, wire_frame_fn *on_frame,
		       wire_state_fn *on_state, void *data);

/**
 * wire_hub_connect() - the connection to a peer, dialed if there is none
 *
 * Return: never NULL; a connection that could not even be begun is reported
 * closed on the next turn of the loop.
 */
struct wire_conn *wire_hub_connect(struct wire_hub *hub,
				   const struct address *to);

/** wire_hub_has_connection() - whether a connection to a peer is there or
 * begun. */
bool wire_hub_has_connection(struct wire_hub *hub, const struct address *to);

/**
 * wire_hub_reconnect() - dial a new connection beside the present one
 *
 * For a connection that fell silent: the old one stays for late frames, the
 * new one is what wire_hub_connect() returns from now on.
 */
struct wire_conn *wire_hub_reconnect(struct wire_hub *hub,
				     const struct address *to);

/**
 * wire_hub_route() - the connection that a frame of a decision core goes on
 * @id: of a connection that must be used; 0 for one to @to
 * @new_connection: the present connection to @to is silent, dial another
 *
 * Return: NULL if the connection with that id has gone.
 */
struct wire_conn *wire_hub_route(struct wire_hub *hub, uint64_t id,
				 const struct address *to, bool new_connection);

/** wire_hub_set_filter() - cut off the networks of @filter, and no others. */
void wire_hub_set_filter(struct wire_hub *hub,
			 const struct wire_filter *filter);

/** wire_hub_dump() - connections and traffic by type of frame, for people. */
json_t *wire_hub_dump(const struct wire_hub *hub);

/**
 * wire_conn_send() - queue a whole frame as encoder_end() yields it
 *
 * Return: false if the connection is closed or its queue is full; nothing of
 * the frame has left then.
 */
bool wire_conn_send(struct wire_conn *conn, const void *frame, size_t size);

/** wire_conn_ping() - ask for a sign of life; the answer moves received_us. */
void wire_conn_ping(struct wire_conn *conn);

/** wire_conn_queued_bytes() - what waits to be sent. */
size_t wire_conn_queued_bytes(const struct wire_conn *conn);

/**
 * wire_conn_close() - close on the next turn, telling the peer why
 * @code: ERROR_NONE for an ordinary end
 */
void wire_conn_close(struct wire_conn *conn, enum error_code code,
		     const char *reason);

#endif
