#include <apr_general.h>
#include <criterion/criterion.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "http/client_test.h"
#include "http/spare.h"
#include "os/net.h"

/* Bytes of a server on connections that carry no request. */

enum { PIECE_BYTES = 16 * 1024, SETTLE_TURNS = 5 };

/* Sends on @fd until the client closes it.
 * Return: false if the client has not closed it. */
static bool is_closed_after_bytes(int fd)
{
	static const char piece[PIECE_BYTES];
	char byte;
	int i;

	for (i = 0; i < CLIENT_TEST_TURNS; i++) {
		ssize_t size;

		send(fd, piece, sizeof(piece), MSG_NOSIGNAL | MSG_DONTWAIT);
		client_test_run_turns(1);
		size = recv(fd, &byte, 1, MSG_DONTWAIT);
		if (!size || (size < 0 && errno != EAGAIN))
			return true;
	}
	return false;
}

/* Guards against a spare connection whose bytes are kept, or taken for the
 * beginning of an answer. */
Test(unasked_bytes, a_spare_connection_is_closed, .init = client_test_setup,
     .fini = client_test_teardown)
{
	struct spares spares;
	int fds[SPARES_MAX];
	int i;

	spares_init(&spares, &client_test.loop);
	cr_assert_eq(spares_take(&spares, &client_test.server_address),
		     NET_NONE);
	for (i = 0; i < SPARES_MAX; i++)
		fds[i] = client_test_accept();
	client_test_run_turns(SETTLE_TURNS);
	for (i = 0; i < SPARES_MAX; i++) {
		cr_expect(is_closed_after_bytes(fds[i]), "connection %d", i);
		net_close(fds[i]);
	}
	spares_finish(&spares);
}

static void count_answer(const struct http_answer *answer, void *data)
{
	int *answers = data;

	*answers += answer->delivery == HTTP_ANSWERED;
}

/* Guards against an idle connection whose bytes are kept until the next
 * request. */
Test(unasked_bytes, an_idle_connection_is_closed, .init = client_test_setup,
     .fini = client_test_teardown)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
	struct http_request request = { .method = "GET",
					.max_answer_bytes = 1024 };
	int answers = 0;
	int i;
	int fd;

	client_test_send(&request, count_answer, &answers);
	fd = client_test_accept();
	cr_assert_eq(send(fd, answer, sizeof(answer) - 1, MSG_NOSIGNAL),
		     sizeof(answer) - 1);
	for (i = 0; i < CLIENT_TEST_TURNS && !answers; i++)
		client_test_run_turns(1);
	cr_assert_eq(answers, 1);
	/* The request itself was not read so far. */
	while (recv(fd, &(char){ 0 }, 1, MSG_DONTWAIT) > 0)
		;
	cr_expect(is_closed_after_bytes(fd));
	net_close(fd);
}
