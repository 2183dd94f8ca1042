#ifndef WIRE_HUB_DEFS_H
#define WIRE_HUB_DEFS_H

#include "wire/hub.h"

/**
 * DOC: hub internals
 *
 * What the parts of the hub share: connections by address (hub.c), one
 * connection and its bytes (conn.c), and the proof of who a peer is
 * (handshake.c).
 */

/* conn.c */

/** wire_conn_new() - a connection on @fd, which may be NET_NONE. */
struct wire_conn *wire_conn_new(struct wire_hub *hub, int fd,
				const struct address *remote_address,
				bool dialed);

/** wire_conn_free() - at once, without telling anybody. */
void wire_conn_free(struct wire_conn *conn);

/** wire_conn_watch() - watch for what the connection waits for now. */
void wire_conn_watch(struct wire_conn *conn);

/** wire_conn_send_control() - send the message in the hub's encoder. */
void wire_conn_send_control(struct wire_conn *conn, uint8_t type);

/** wire_conn_opened() - the peer has proved who it is. */
void wire_conn_opened(struct wire_conn *conn);

/* hub.c */

/** wire_hub_set_preferred() - whether wire_hub_connect() returns this
 * connection. */
void wire_hub_set_preferred(struct wire_conn *conn, bool preferred);

/* handshake.c */

/** wire_handshake_begin() - say who this node is. */
void wire_handshake_begin(struct wire_conn *conn);

/** wire_handshake_frame() - a frame of the hub's own range has come. */
void wire_handshake_frame(struct wire_conn *conn,
			  const struct message *message);

#endif
