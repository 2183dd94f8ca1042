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
#include "os/delivery.h"
#include "wire/codec.h"
#include "wire/compressor.h"
#include "wire/filter.h"
#include "wire/frame_types.h"
#include "wire/identity.h"

/**
 * DOC: hub
 *
 * All TCP connections of a process to its peers: the listener, dialed
 * connections by address, the handshake on accepted and dialed connections, and
 * the dispatch of frames to the component that registered their type. Frames
 * queued before the end of the handshake are sent after the handshake.
 * Components never receive frames of a peer that has not been authenticated.
 *
 * Frames that come in bulk, such as those of a version, are handled in slices
 * of limited time: the rest waits for turns of the loop that have nothing else
 * to do, so that calls are not delayed.
 *
 * Frames of calls between data centres are compressed, because bandwidth
 * between data centres is scarce and the headers of requests are repetitive.
 *
 * A frame handler must not free the connection. wire_conn_close() frees the
 * connection on the next turn of the loop.
 */

enum {
	WIRE_FRAME_MAX_BYTES = 1280 * 1024, /* 1 MiB of body, and headers */
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
 * @id: number of the connection, unique in its hub and never 0
 * @peer: identity of the peer, authenticated once the connection is open
 * @remote_address: address that was dialed; of an accepted connection, the
 *	source address
 * @dialed: true if this process opened the connection
 * @established: true if the connection has ever been open; while false, no
 *	frame of a component has been sent, so none can have taken effect
 * @preferred: true for the connection that wire_hub_connect() returns
 * @by_address: links the preferred connections of the hub by @remote_address
 * @blocked: true while nothing is sent or read, because of the hub's filter or
 *	because of @blocked_permanently
 * @blocked_permanently: true once a filter with wire_filter.open_only has
 *	matched the connection; later filters do not unblock it
 * @received_us: monotonic time of the last received bytes, or of the creation
 *	of the connection, in microseconds
 * @opened_us: monotonic time at which the handshake ended, in microseconds
 * @component_data: pointer for use by the component of each range, indexed by
 *	range / 16; NULL at first
 * @delivery: whether the peer still receives what was sent
 * @err: reason of the close; ERROR_NONE for a normal close
 * @ended_in_order: the peer ended the connection after it had received all that
 *	was sent
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
	bool blocked_permanently;
	int64_t received_us;
	int64_t opened_us;
	void *component_data[FRAME_TYPES / 16];
	struct delivery delivery;
	struct error err;
	bool ended_in_order;

	int fd;
	struct watch watch;
	struct timer timeout;
	struct deferred closing;
	struct deferred flush;
	struct deferred resume; /* queued while frames wait in @bulk */
	struct buffer in;
	struct buffer bulk;    /* frames that wait for an idle turn */
	bool ended_by_peer;    /* closed once @bulk is handled */
	struct buffer out;     /* can be sent now */
	struct buffer pending; /* sent after the handshake */
	struct compressor compressor;
	uint8_t self_nonce[NONCE_BYTES];
	uint8_t peer_nonce[NONCE_BYTES];
	bool hello_received;
	bool proof_sent;
};

/** typedef wire_frame_fn - called for each frame of a registered range. */
typedef void wire_frame_fn(struct wire_conn *conn,
			   const struct message *message, void *data);

/**
 * typedef wire_state_fn - called after a connection has been opened or closed;
 *	@conn->state is WIRE_CONN_OPEN or WIRE_CONN_CLOSED
 */
typedef void wire_state_fn(struct wire_conn *conn, void *data);

struct wire_range {
	wire_frame_fn *on_frame;
	wire_state_fn *on_state;
	void *data;
};

/** struct wire_traffic - numbers of bytes and frames of one frame type. */
struct wire_traffic {
	uint64_t sent_bytes;
	uint64_t sent_frames;
	uint64_t received_bytes;
	uint64_t received_frames;
};

/**
 * struct wire_hub - see DOC
 * @self: identity of this process
 * @compress_calls: compress frames of calls to other data centres; compressed
 *	frames of peers are accepted in any case
 */
struct wire_hub {
	struct loop *loop;
	struct identity self;
	struct wire_key key;
	int listen_fd;
	struct watch listen_watch;
	struct wire_conn *conns;
	struct wire_conn *preferred; /* hash table by @remote_address */
	uint32_t conn_count;
	uint64_t next_id;
	struct wire_range ranges[FRAME_TYPES / 16];
	struct wire_traffic traffic[FRAME_TYPES];
	struct encoder encoder;
	struct wire_filter filter;
	int64_t handshake_timeout_ms;
	bool compress_calls;
	struct buffer compressed;   /* of the frame being sent */
	struct buffer decompressed; /* of the frame being handled */
};

/**
 * wire_hub_init() - listen for peers
 * @self: copied; its address may have port 0, and the copy in the hub gets the
 *	port that the kernel has chosen
 *
 * Return: false with @err set if the process cannot listen.
 */
bool wire_hub_init(struct wire_hub *hub, struct loop *loop,
		   const struct identity *self, const struct wire_key *key,
		   struct error *err);

/** wire_hub_finish() - close and free all connections immediately. */
void wire_hub_finish(struct wire_hub *hub);

/**
 * wire_hub_register() - set the callbacks for a range of frame types
 * @range: a FRAME_RANGE_ value
 * @on_frame: called for each frame of the range; NULL if none is expected
 * @on_state: called when any connection opens or closes; may be NULL
 */
void wire_hub_register(struct wire_hub *hub, int range, wire_frame_fn *on_frame,
		       wire_state_fn *on_state, void *data);

/**
 * wire_hub_connect() - get the preferred connection to a peer, dial if there is
 *	none
 *
 * Return: never NULL; a connection whose dial fails immediately is reported as
 * closed on the next turn of the loop.
 */
struct wire_conn *wire_hub_connect(struct wire_hub *hub,
				   const struct address *to);

/**
 * wire_hub_has_connection() - returns true if a dialed connection to a peer is
 *	open or being established
 */
bool wire_hub_has_connection(struct wire_hub *hub, const struct address *to);

/**
 * wire_hub_reconnect() - dial a new connection beside the present one
 *
 * Used when nothing arrives on a connection: the old connection stays open for
 * late frames, and wire_hub_connect() returns the new connection from now on.
 */
struct wire_conn *wire_hub_reconnect(struct wire_hub *hub,
				     const struct address *to);

/**
 * wire_hub_route() - choose the connection on which to send a frame
 * @id: ID of the connection that must be used; 0 for any connection to @to
 * @to: address of the peer, used if @id is 0
 * @new_connection: dial a new connection to @to, because nothing arrives on the
 *	present one; ignored unless @id is 0
 *
 * Return: NULL if no connection has the ID @id.
 */
struct wire_conn *wire_hub_route(struct wire_hub *hub, uint64_t id,
				 const struct address *to, bool new_connection);

/**
 * wire_hub_set_filter() - block the networks of @filter and no others
 *
 * With wire_filter.open_only, only the present connections to these networks
 * are blocked, permanently: a later filter does not unblock them.
 */
void wire_hub_set_filter(struct wire_hub *hub,
			 const struct wire_filter *filter);

/**
 * wire_hub_delivery() - whether peers still receive what was sent on the
 *	connections that they opened
 *
 * These connections carry answers.
 *
 * Return: the most urgent state of all of them.
 */
enum delivery_state wire_hub_delivery(struct wire_hub *hub, int64_t now_us);

/** wire_hub_dump() - returns connections and traffic by frame type as JSON. */
json_t *wire_hub_dump(const struct wire_hub *hub);

/**
 * wire_conn_send() - queue a complete frame as encoder_end() returns it
 * @frame: copied
 * @size: size of @frame in bytes, its length prefix included
 *
 * Return: false if the connection is closed or its queue is full; nothing of
 * the frame is sent then.
 */
bool wire_conn_send(struct wire_conn *conn, const void *frame, size_t size);

/**
 * wire_conn_ping() - send a ping; the pong of the peer updates received_us
 *
 * Does nothing unless the connection is open.
 */
void wire_conn_ping(struct wire_conn *conn);

/** wire_conn_queued_bytes() - returns the number of bytes not yet sent. */
size_t wire_conn_queued_bytes(const struct wire_conn *conn);

/**
 * wire_conn_close() - close the connection and free it on the next turn
 * @code: ERROR_NONE for a normal close
 * @reason: logged unless @code is ERROR_NONE; sent to the peer unless @code is
 *	ERROR_IO or the connection is blocked or not yet connected
 */
void wire_conn_close(struct wire_conn *conn, enum error_code code,
		     const char *reason);

#endif
