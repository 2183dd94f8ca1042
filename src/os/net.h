#ifndef OS_NET_H
#define OS_NET_H

#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#include "base/address.h"
#include "base/buffer.h"
#include "base/error.h"

/**
 * DOC: net
 *
 * Non-blocking sockets, created by APR and represented by their descriptors.
 * The APR object exists only while the socket is created, in a pool of its own,
 * because an APR pool frees its memory only when it is cleared or destroyed.
 */

enum {
	NET_NONE = -1,
	/* Largest number of bytes that net_read_buffer() reads. */
	NET_READ_BYTES = 64 * 1024,
};

/**
 * enum net_result - result of a transfer
 * @NET_OK: the transfer has succeeded, maybe with fewer bytes than requested
 * @NET_AGAIN: nothing could be transferred without blocking
 * @NET_CLOSED: the peer has closed the connection
 * @NET_FAILED: the transfer has failed
 */
enum net_result { NET_OK, NET_AGAIN, NET_CLOSED, NET_FAILED };

/**
 * net_listen() - open a listening TCP socket
 * @address: with port 0 the kernel chooses a port, which is written back
 *
 * Return: descriptor, or NET_NONE with @err set.
 */
int net_listen(struct address *address, struct error *err);

/** net_bind_udp() - open a bound UDP socket; arguments as of net_listen(). */
int net_bind_udp(struct address *address, struct error *err);

/**
 * net_accept() - accept one waiting connection
 * @from: set to the address of the peer
 *
 * Return: descriptor, or NET_NONE if no connection could be accepted.
 */
int net_accept(int fd, struct address *from);

/**
 * net_connect() - begin to connect
 * @from: source IP address, so that the peer sees the address by which it knows
 *	this instance; the port is ignored; with NULL the kernel chooses
 *
 * The socket becomes writable when the attempt to connect has ended, see
 * net_connect_result().
 *
 * Return: descriptor, or NET_NONE with @err set.
 */
int net_connect(const struct address *to, const struct address *from,
		struct error *err);

/** net_connect_result() - returns 0 if the socket is connected, or an errno. */
int net_connect_result(int fd);

/** net_read() - read up to *@size bytes; *@size is set to the number read. */
enum net_result net_read(int fd, void *data, size_t *size);

/**
 * net_read_buffer() - append up to NET_READ_BYTES bytes to @buffer
 * @size: set to the number of bytes read
 *
 * The buffer grows by the bytes read, not by NET_READ_BYTES: otherwise many
 * idle connections would waste memory on almost empty buffers.
 */
enum net_result net_read_buffer(int fd, struct buffer *buffer, size_t *size);

/** net_write() - write up to *@size bytes; *@size is set to those written. */
enum net_result net_write(int fd, const void *data, size_t *size);

/** net_send_to() - send one datagram, which the network may lose. */
enum net_result net_send_to(int fd, const struct address *to, const void *data,
			    size_t size);

/**
 * net_receive_from() - receive one datagram
 * @from: set to the address of the sender
 * @size: size of @data in bytes; set to the number of bytes received
 */
enum net_result net_receive_from(int fd, struct address *from, void *data,
				 size_t *size);

/**
 * net_peek() - check the input of a connection without reading
 *
 * Return: NET_OK if bytes are available, NET_AGAIN if not, NET_CLOSED if the
 * peer has closed the connection, NET_FAILED after an error.
 */
enum net_result net_peek(int fd);

/**
 * net_enable_keepalive() - let the kernel reset a dead connection
 *
 * A middlebox may lose the state of a connection without closing it; then no
 * answer arrives and no operation fails. The kernel sends keepalive probes
 * while the connection is idle, and resets the connection if probes or sent
 * bytes are not acknowledged for a few seconds.
 */
void net_enable_keepalive(int fd);

/**
 * net_undelivered_bytes() - bytes written that the peer has not acknowledged
 *
 * Return: 0 also if the system does not tell.
 */
size_t net_undelivered_bytes(int fd);

/**
 * net_unread_bytes() - bytes received that have not been read
 *
 * Closing a connection with such bytes resets it, and the peer may lose what
 * was written to it.
 *
 * Return: 0 also if the system does not tell.
 */
size_t net_unread_bytes(int fd);

void net_close(int fd);

#endif
