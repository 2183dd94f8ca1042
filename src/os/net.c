#include "os/net.h"

#include <apr_network_io.h>
#include <apr_portable.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	LISTEN_BACKLOG = 512,
	/* A dead connection is reset after three seconds: with a shorter time,
	 * a brief loss of packets would reset healthy connections. */
	KEEPALIVE_IDLE_S = 1,
	KEEPALIVE_INTERVAL_S = 1,
	KEEPALIVE_PROBES = 2,
	UNACKNOWLEDGED_MAX_MS = 3000,
};

static socklen_t to_sockaddr(const struct address *address,
			     struct sockaddr_storage *out)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)out;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)out;

	memset(out, 0, sizeof(*out));
	if (address->family == 6) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(address->port);
		memcpy(&in6->sin6_addr, address->ip, 16);
		return sizeof(*in6);
	}
	in4->sin_family = AF_INET;
	in4->sin_port = htons(address->port);
	memcpy(&in4->sin_addr, address->ip, 4);
	return sizeof(*in4);
}

static void from_sockaddr(const struct sockaddr_storage *in,
			  struct address *address)
{
	struct sockaddr_in6 in6;
	struct sockaddr_in in4;

	memset(address, 0, sizeof(*address));
	if (in->ss_family == AF_INET6) {
		memcpy(&in6, in, sizeof(in6));
		address->family = 6;
		address->port = ntohs(in6.sin6_port);
		memcpy(address->ip, &in6.sin6_addr, 16);
		return;
	}
	memcpy(&in4, in, sizeof(in4));
	address->family = 4;
	address->port = ntohs(in4.sin_port);
	memcpy(address->ip, &in4.sin_addr, 4);
}

/* Opens a socket by APR and returns a copy of its descriptor, which outlives
 * the APR object. */
static int open_socket(uint8_t family, int type, struct error *err)
{
	apr_pool_t *pool;
	apr_socket_t *socket;
	apr_os_sock_t fd = NET_NONE;
	apr_status_t status;
	int copy;

	apr_pool_create(&pool, NULL);
	status = apr_socket_create(
		&socket, family == 6 ? APR_INET6 : APR_INET, type,
		type == SOCK_DGRAM ? APR_PROTO_UDP : APR_PROTO_TCP, pool);
	if (status == APR_SUCCESS)
		apr_os_sock_get(&fd, socket);
	copy = fd < 0 ? NET_NONE : fcntl(fd, F_DUPFD_CLOEXEC, 0);
	apr_pool_destroy(pool);
	if (copy < 0) {
		error_set(err, ERROR_IO, "cannot open a socket: %s",
			  strerror(errno));
		return NET_NONE;
	}
	fcntl(copy, F_SETFL, fcntl(copy, F_GETFL) | O_NONBLOCK);
	return copy;
}

static int bind_socket(struct address *address, int type, struct error *err)
{
	struct sockaddr_storage name = { 0 };
	socklen_t size = to_sockaddr(address, &name);
	char text[ADDRESS_TEXT_SIZE];
	int one = 1;
	int fd = open_socket(address->family, type, err);

	if (fd < 0)
		return NET_NONE;
	/* A process that replaces another one at the same address must not wait
	 * until old connections of the predecessor have timed out. */
	if (type == SOCK_STREAM)
		setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&name, size) < 0) {
		error_set(err, ERROR_IO, "cannot bind %s: %s",
			  address_format(address, text), strerror(errno));
		close(fd);
		return NET_NONE;
	}
	size = sizeof(name);
	getsockname(fd, (struct sockaddr *)&name, &size);
	from_sockaddr(&name, address);
	return fd;
}

int net_listen(struct address *address, struct error *err)
{
	int fd = bind_socket(address, SOCK_STREAM, err);

	if (fd < 0)
		return NET_NONE;
	if (listen(fd, LISTEN_BACKLOG) == 0)
		return fd;
	error_set(err, ERROR_IO, "cannot listen: %s", strerror(errno));
	close(fd);
	return NET_NONE;
}

int net_bind_udp(struct address *address, struct error *err)
{
	return bind_socket(address, SOCK_DGRAM, err);
}

static void set_no_delay(int fd)
{
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

int net_accept(int fd, struct address *from)
{
	struct sockaddr_storage name = { 0 };
	socklen_t size = sizeof(name);
	int accepted = accept4(fd, (struct sockaddr *)&name, &size,
			       SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (accepted < 0)
		return NET_NONE;
	set_no_delay(accepted);
	from_sockaddr(&name, from);
	return accepted;
}

static void bind_source(int fd, const struct address *from)
{
	struct sockaddr_storage name;
	struct address any_port = *from;
	int one = 1;
	socklen_t size;

	any_port.port = 0;
	size = to_sockaddr(&any_port, &name);
	/* The kernel may choose the port on which a node that has just died
	 * listened, and the successor of that node must be able to listen there
	 * again. A port that connect() chooses could not be shared. */
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	/* If this fails, the source address that the kernel chooses still
	 * reaches the peer. */
	(void)bind(fd, (struct sockaddr *)&name, size);
}

int net_connect(const struct address *to, const struct address *from,
		struct error *err)
{
	struct sockaddr_storage name = { 0 };
	socklen_t size = to_sockaddr(to, &name);
	char text[ADDRESS_TEXT_SIZE];
	int fd = open_socket(to->family, SOCK_STREAM, err);

	if (fd < 0)
		return NET_NONE;
	set_no_delay(fd);
	if (from && from->family == to->family)
		bind_source(fd, from);
	if (connect(fd, (struct sockaddr *)&name, size) == 0 ||
	    errno == EINPROGRESS)
		return fd;
	error_set(err, ERROR_IO, "cannot connect to %s: %s",
		  address_format(to, text), strerror(errno));
	close(fd);
	return NET_NONE;
}

int net_connect_result(int fd)
{
	int result = 0;
	socklen_t size = sizeof(result);

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &result, &size) < 0)
		return errno;
	return result;
}

static enum net_result transfer_result(ssize_t transferred, size_t *size)
{
	if (transferred >= 0) {
		*size = (size_t)transferred;
		return NET_OK;
	}
	*size = 0;
	if (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)
		return NET_AGAIN;
	return NET_FAILED;
}

enum net_result net_read(int fd, void *data, size_t *size)
{
	enum net_result result =
		transfer_result(recv(fd, data, *size, 0), size);

	if (result == NET_OK && *size == 0)
		return NET_CLOSED;
	return result;
}

enum net_result net_read_buffer(int fd, struct buffer *buffer, size_t *size)
{
	static uint8_t bytes[NET_READ_BYTES];
	enum net_result result;

	*size = sizeof(bytes);
	result = net_read(fd, bytes, size);
	if (result == NET_OK)
		buffer_append(buffer, bytes, *size);
	return result;
}

enum net_result net_write(int fd, const void *data, size_t *size)
{
	return transfer_result(send(fd, data, *size, MSG_NOSIGNAL), size);
}

enum net_result net_send_to(int fd, const struct address *to, const void *data,
			    size_t size)
{
	struct sockaddr_storage name = { 0 };
	socklen_t length = to_sockaddr(to, &name);

	return transfer_result(sendto(fd, data, size, MSG_NOSIGNAL,
				      (struct sockaddr *)&name, length),
			       &size);
}

enum net_result net_receive_from(int fd, struct address *from, void *data,
				 size_t *size)
{
	struct sockaddr_storage name = { 0 };
	socklen_t length = sizeof(name);
	enum net_result result = transfer_result(
		recvfrom(fd, data, *size, 0, (struct sockaddr *)&name, &length),
		size);

	if (result == NET_OK)
		from_sockaddr(&name, from);
	return result;
}

enum net_result net_peek(int fd)
{
	char byte;
	size_t size = 1;
	enum net_result result = transfer_result(
		recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT), &size);

	if (result == NET_OK && size == 0)
		return NET_CLOSED;
	return result;
}

void net_enable_keepalive(int fd)
{
	const struct {
		int level;
		int name;
		int value;
	} options[] = {
		{ SOL_SOCKET, SO_KEEPALIVE, 1 },
		{ IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
		{ IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
		{ IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES },
		{ IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MAX_MS },
	};
	size_t i;

	/* Errors are ignored: the timeouts of the caller still apply. */
	for (i = 0; i < sizeof(options) / sizeof(options[0]); i++)
		(void)setsockopt(fd, options[i].level, options[i].name,
				 &options[i].value, sizeof(int));
}

static size_t queued_bytes(int fd, unsigned long request)
{
	int size = 0;

	if (fd == NET_NONE || ioctl(fd, request, &size) < 0 || size < 0)
		return 0;
	return (size_t)size;
}

size_t net_undelivered_bytes(int fd)
{
	return queued_bytes(fd, SIOCOUTQ);
}

size_t net_unread_bytes(int fd)
{
	return queued_bytes(fd, FIONREAD);
}

void net_close(int fd)
{
	if (fd >= 0)
		close(fd);
}
