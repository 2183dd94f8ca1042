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
 * Non-blocking sockets by APR. A socket is handed around as its descriptor;
 * the APR object is made for the one operation that needs it, from a pool of
 * that operation, because APR pools only grow until they are cleared.
 */

enum {
	NET_NONE = -1,
	/* Taken from a socket at once. */
	NET_READ_BYTES = 64 * 1024,
};

/** enum net_result - what a transfer that moved no bytes means. */
enum net_result { NET_OK, NET_AGAIN, NET_CLOSED, NET_FAILED };

/**
 * net_listen() - a listening TCP socket
 * @address: port 0 takes one from the kernel, written back
 *
 * Return: descriptor, or NET_NONE with @err set.
 */
int net_listen(struct address *address, struct error *err);

/** net_bind_udp() - a UDP socket; as net_listen(). */
int net_bind_udp(struct address *address, struct error *err);

/** net_accept() - one waiting connection, or NET_NONE if there is none. */
int net_accept(int fd, struct address *from);

/**
 * net_connect() - begin a connection; writable means it ended
 * @from: IP number to come from, so that the peer sees the one that this
 *	instance is known by; NULL leaves it to the kernel
 */
int net_connect(const struct address *to, const struct address *from,
		struct error *err);

/** net_connect_result() - 0 or the errno of a connection that ended. */
int net_connect_result(int fd);

/** net_read() - up to *@size bytes; *@size is set to those read. */
enum net_result net_read(int fd, void *data, size_t *size);

/**
 * net_read_buffer() - append up to NET_READ_BYTES
 * @size: set to those read
 *
 * The buffer grows by what has come, and not by what might have: of a hundred
 * connections each would else hold room for 64 kB, 4 of a node's 13 MB.
 */
enum net_result net_read_buffer(int fd, struct buffer *buffer, size_t *size);

/** net_write() - up to *@size bytes; *@size is set to those written. */
enum net_result net_write(int fd, const void *data, size_t *size);

/** net_send_to() - one datagram; losses are as on any network. */
enum net_result net_send_to(int fd, const struct address *to, const void *data,
			    size_t size);

/** net_receive_from() - one datagram. */
enum net_result net_receive_from(int fd, struct address *from, void *data,
				 size_t *size);

/** net_peek() - whether bytes wait, none do, or the other end has closed. */
enum net_result net_peek(int fd);

/**
 * net_enable_keepalive() - end a connection that has fallen silent
 *
 * Something between two ends may forget a connection without a word; then
 * nothing is ever answered and nothing ever fails. The kernel probes it while
 * it is quiet and gives bytes up that nobody confirms.
 */
void net_enable_keepalive(int fd);

void net_close(int fd);

#endif
