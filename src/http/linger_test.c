#include <apr_general.h>
#include <arpa/inet.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/server.h"
#include "os/clock.h"
#include "os/net.h"

enum {
	TURN_US = 2000,
	ANSWER_BYTES = 300 * 1000,
	/* The kernel holds the rest of the answer for the client. */
	SMALL_BUFFER_BYTES = 4096,
	READ_BYTES = 1024,
	READ_INTERVAL_US = 40 * 1000,
	/* Longer than a connection lingers without progress. */
	SLOW_US = 1500 * 1000,
};

static const char request[] =
	"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

static struct loop loop;
static struct http_server server;
static char *body;

static void handler(struct http_exchange *exchange, void *data)
{
	http_exchange_reply(exchange, 200, NULL, 0, body, ANSWER_BYTES);
}

static void setup(void)
{
	struct http_server_options options = {
		.max_connections = 20,
		.idle_timeout_ms = 60000,
		.handler = handler,
	};
	struct error err = ERROR_INIT;

	apr_initialize();
	body = calloc(1, ANSWER_BYTES);
	cr_assert_not_null(body);
	cr_assert(loop_init(&loop, &err));
	address_parse("127.0.0.1:0", &options.address, &err);
	cr_assert(http_server_init(&server, &loop, &options, &err));
}

static void teardown(void)
{
	http_server_finish(&server);
	loop_finish(&loop);
	free(body);
}

/* Connects as a client with a small receive buffer, whose reads do not wait. */
static int connect_client(void)
{
	const struct address *address = http_server_address(&server);
	struct sockaddr_in to = { .sin_family = AF_INET };
	int size = SMALL_BUFFER_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_geq(fd, 0);
	memcpy(&to.sin_addr, address->ip, sizeof(to.sin_addr));
	to.sin_port = htons(address->port);
	cr_assert_eq(setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size)),
		     0);
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	cr_assert_eq(send(fd, request, strlen(request), 0),
		     (ssize_t)strlen(request));
	return fd;
}

/* Reads what is there, at most @size bytes. Returns false at the end of the
 * connection or after a reset, which sets @reset. */
static bool read_some(int fd, size_t size, size_t *total, bool *reset)
{
	char bytes[READ_BYTES];
	ssize_t got = recv(fd, bytes, size < READ_BYTES ? size : READ_BYTES,
			   MSG_DONTWAIT);

	if (got > 0)
		*total += (size_t)got;
	*reset = got < 0 && errno != EAGAIN;
	return got != 0 && !*reset;
}

/* Guards against an answer that is cut because its connection is closed while
 * the client still reads, and the client then sends another request. */
Test(linger, a_slow_client_gets_its_whole_answer, .init = setup,
     .fini = teardown, .timeout = 60)
{
	int fd = connect_client();
	int64_t until_us = clock_monotonic_us() + SLOW_US;
	bool reset = false;
	size_t total = 0;

	while (clock_monotonic_us() < until_us) {
		loop_turn(&loop, READ_INTERVAL_US);
		cr_assert(read_some(fd, READ_BYTES, &total, &reset));
	}
	cr_assert_lt(total, ANSWER_BYTES);
	send(fd, request, strlen(request), MSG_NOSIGNAL);
	while (read_some(fd, READ_BYTES, &total, &reset))
		loop_turn(&loop, 0);
	cr_expect_not(reset, "reset after %zu bytes", total);
	cr_expect_gt(total, ANSWER_BYTES, "%zu bytes", total);
	close(fd);
}

/* Guards against a connection that stays open for a client that never reads. */
Test(linger, a_client_that_does_not_read_is_left, .init = setup,
     .fini = teardown, .timeout = 60)
{
	int fd = connect_client();
	int64_t until_us = clock_monotonic_us() + 4 * SLOW_US;

	loop_turn(&loop, TURN_US);
	while (server.conn_count && clock_monotonic_us() < until_us)
		loop_turn(&loop, READ_INTERVAL_US);
	cr_expect_eq(server.conn_count, 0);
	close(fd);
}

/* Guards against a reset of a client that reads all the time and acknowledges
 * less than once a second. */
Test(linger, a_slow_client_with_a_larger_window, .init = setup,
     .fini = teardown, .timeout = 60)
{
	const struct address *address = http_server_address(&server);
	struct sockaddr_in to = { .sin_family = AF_INET };
	int size = 64 * 1024;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int64_t until_us = clock_monotonic_us() + 6 * 1000 * 1000;
	bool reset = false;
	size_t total = 0;

	memcpy(&to.sin_addr, address->ip, sizeof(to.sin_addr));
	to.sin_port = htons(address->port);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	cr_assert_eq(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
	send(fd, request, strlen(request), 0);
	while (clock_monotonic_us() < until_us && !reset) {
		loop_turn(&loop, READ_INTERVAL_US);
		if (!read_some(fd, READ_BYTES, &total, &reset))
			break;
	}
	send(fd, request, strlen(request), MSG_NOSIGNAL);
	while (read_some(fd, READ_BYTES, &total, &reset))
		loop_turn(&loop, 0);
	cr_expect_not(reset, "reset after %zu bytes", total);
	cr_expect_gt(total, ANSWER_BYTES, "%zu bytes", total);
	close(fd);
}
