#include <apr_general.h>
#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include "os/net.h"

/*
 * Guards against a node that cannot restart at its address, because the kernel
 * has given its port to a dialed connection of another process of the instance.
 */
Test(net, a_dialed_connection_does_not_block_the_port_for_a_listener)
{
	struct address listener;
	struct address accepted;
	struct error err = ERROR_INIT;
	struct address again;
	int dialed;
	int first;
	int second;

	apr_initialize();
	cr_assert(address_parse("127.0.0.1:0", &listener, &err));
	first = net_listen(&listener, &err);
	cr_assert_neq(first, NET_NONE, "%s", err.text);
	dialed = net_connect(&listener, &listener, &err);
	cr_assert_neq(dialed, NET_NONE, "%s", err.text);
	cr_assert_neq(net_accept(first, &accepted), NET_NONE);
	again = accepted;
	second = net_listen(&again, &err);
	cr_assert_neq(second, NET_NONE, "%s", err.text);
	cr_assert_eq(again.port, accepted.port);
	net_close(second);
	net_close(dialed);
	net_close(first);
}

/*
 * Guards against memory wasted on almost empty buffers of many connections,
 * because a buffer grows by the largest read instead of the bytes read.
 */
Test(net, a_buffer_grows_by_the_bytes_read)
{
	static const size_t sizes[] = { 1, 100, 5000, 60000 };
	struct buffer buffer = { .bytes = NULL };
	static uint8_t bytes[60000];
	int pair[2];
	size_t i;

	cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, pair), 0);
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		size_t size = 0;

		cr_assert_eq(write(pair[1], bytes, sizes[i]),
			     (ssize_t)sizes[i]);
		cr_expect_eq(net_read_buffer(pair[0], &buffer, &size), NET_OK);
		cr_expect_eq(size, sizes[i]);
		cr_expect_eq(buffer_size(&buffer), sizes[i]);
		cr_expect_leq(buffer.capacity, 2 * sizes[i] + 1024);
		buffer_consume(&buffer, sizes[i]);
	}
	close(pair[0]);
	close(pair[1]);
	buffer_finish(&buffer);
}
