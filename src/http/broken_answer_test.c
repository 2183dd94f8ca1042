#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http/client_test.h"
#include "os/net.h"

/* Answers that come before the request is written, and how their connection
 * ends. */

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define NO_LENGTH "HTTP/1.1 200 OK\r\n\r\n"
#define LENGTH "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

/* The body does not fit into the buffers of the connection. */
enum { BODY_BYTES = 16 * 1024 * 1024 };

enum ending { ENDING_RESET, ENDING_CLOSE_AND_RESET };

struct breakage {
	const char *name;
	const char *answer;
	bool before; /* the request is sent after the connection has ended */
	bool apart;  /* the client has read the answer before the end */
	enum ending ending;
	enum http_delivery delivery;
};

static const struct breakage breakages[] = {
	{ "no length, reset with the answer", NO_LENGTH "half", false, false,
	  ENDING_RESET, HTTP_MAY_BE_SENT },
	{ "no length, reset after the answer", NO_LENGTH "half", false, true,
	  ENDING_RESET, HTTP_MAY_BE_SENT },
	{ "no length, reset before the request", NO_LENGTH "half", true, false,
	  ENDING_RESET, HTTP_NOT_SENT },
	{ "no length, closed, then reset", NO_LENGTH "full", false, false,
	  ENDING_CLOSE_AND_RESET, HTTP_ANSWERED },
	{ "chunks, reset", CHUNKED "4\r\nhalf\r\n", false, false, ENDING_RESET,
	  HTTP_MAY_BE_SENT },
	{ "chunks, closed, then reset", CHUNKED "4\r\nhalf\r\n", false, false,
	  ENDING_CLOSE_AND_RESET, HTTP_MAY_BE_SENT },
	{ "last chunk, reset", CHUNKED "4\r\nfull\r\n0\r\n\r\n", false, false,
	  ENDING_RESET, HTTP_ANSWERED },
	{ "length, reset behind the answer", LENGTH "full", false, false,
	  ENDING_RESET, HTTP_ANSWERED },
	{ "length, reset within the answer", LENGTH "ha", false, false,
	  ENDING_RESET, HTTP_MAY_BE_SENT },
};

struct outcome {
	bool completed;
	enum http_delivery delivery;
};

static void ended(const struct http_answer *answer, void *data)
{
	struct outcome *outcome = data;

	outcome->completed = true;
	outcome->delivery = answer->delivery;
}

static void end_connection(int fd, enum ending ending)
{
	const struct linger at_once = { 1, 0 };

	switch (ending) {
	case ENDING_RESET:
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
		break;
	case ENDING_CLOSE_AND_RESET:
		shutdown(fd, SHUT_WR);
		break;
	}
	/* Unread bytes of the request make this a reset, too. */
	net_close(fd);
}

static void answer_and_end(int fd, const struct breakage *breakage)
{
	size_t size = strlen(breakage->answer);

	cr_assert_eq(send(fd, breakage->answer, size, MSG_NOSIGNAL),
		     (ssize_t)size);
	if (breakage->apart)
		client_test_run_turns(3);
	end_connection(fd, breakage->ending);
}

static void send_request(struct outcome *outcome, const char *body,
			 int connected_fd)
{
	struct http_request request = {
		.method = "POST",
		.body = body,
		.body_size = BODY_BYTES,
		.timeout_ms = 5000,
		.max_answer_bytes = 100,
		.new_connection = true,
		.connected_fd = connected_fd,
	};

	client_test_send(&request, ended, outcome);
}

static void play(const struct breakage *breakage, const char *body)
{
	struct outcome outcome = { .completed = false };
	struct error err = ERROR_INIT;
	int connected_fd = 0;
	int fd;

	if (breakage->before) {
		connected_fd =
			net_connect(&client_test.server_address, NULL, &err);
		fd = client_test_accept();
		answer_and_end(fd, breakage);
		send_request(&outcome, body, connected_fd);
	} else {
		send_request(&outcome, body, 0);
		fd = client_test_accept();
		client_test_run_turns(3);
		answer_and_end(fd, breakage);
	}
	client_test_run_turns(20);
	cr_expect(outcome.completed, "%s", breakage->name);
	cr_expect_eq(outcome.delivery, breakage->delivery, "%s: %d",
		     breakage->name, (int)outcome.delivery);
}

/* Guards against an answer without a length that was reset and is passed on as
 * a complete one, and against the loss of one that came whole. */
Test(broken_answer, is_never_complete, .init = client_test_setup,
     .fini = client_test_teardown)
{
	char *body = calloc(1, BODY_BYTES);
	size_t i;

	cr_assert_not_null(body);
	for (i = 0; i < COUNT(breakages); i++)
		play(&breakages[i], body);
	free(body);
}
