#ifndef WIRE_HUB_DEFS_H
#define WIRE_HUB_DEFS_H

#include "wire/hub.h"

/**
 * DOC: hub internals
 *
 * Declarations shared by the files of the hub: connections by address (hub.c),
 * input and output of one connection (conn.c), and the authentication of a peer
 * (handshake.c).
 */

/* conn.c */

/**
 * wire_conn_new() - create a connection on @fd, which it owns
 *
 * If @fd is NET_NONE, the connection is closed at once, reported and freed on
 * the next turn of the loop.
 */
struct wire_conn *wire_conn_new(struct wire_hub *hub, int fd,
				const struct address *remote_address,
				bool dialed);

/** wire_conn_free() - close and free immediately, without callbacks. */
void wire_conn_free(struct wire_conn *conn);

/** wire_conn_watch() - watch for the events that the present state needs. */
void wire_conn_watch(struct wire_conn *conn);

/**
 * wire_conn_send_control() - queue the message in the encoder of the hub;
 *	control frames do not wait for the end of the handshake
 */
void wire_conn_send_control(struct wire_conn *conn, uint8_t type);

/** wire_conn_opened() - open the connection, the peer is authenticated. */
void wire_conn_opened(struct wire_conn *conn);

/* hub.c */

/** wire_hub_set_preferred() - set whether wire_hub_connect() returns @conn. */
void wire_hub_set_preferred(struct wire_conn *conn, bool preferred);

/* handshake.c */

/** wire_handshake_begin() - send the identity of this process to the peer. */
void wire_handshake_begin(struct wire_conn *conn);

/** wire_handshake_frame() - handle a received control frame of the hub. */
void wire_handshake_frame(struct wire_conn *conn,
			  const struct message *message);

#endif
