#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "http/client.h"
#include "os/net.h"

/* How the client parses the bytes of an answer. */

enum { TURNS = 200, TURN_US = 2000 };

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static struct loop loop;

static void setup(void)
{
	struct error err = ERROR_INIT;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
}

static void teardown(void)
{
	loop_finish(&loop);
}

static void send_text(int fd, const char *text)
{
	cr_assert_eq(send(fd, text, strlen(text), MSG_NOSIGNAL),
		     (ssize_t)strlen(text));
}

/* A server that reads one request and answers with the given bytes. */
struct script {
	const char *name;
	const char *answer;
	enum http_delivery delivery;
	unsigned int status;
	const char *body;
	bool server_closes;
	bool server_resets;
	bool delimited;
	bool kept; /* the connection can be reused */
};

struct outcome {
	bool completed;
	enum http_delivery delivery;
	unsigned int status;
	char body[64];
	bool delimited;
};

static void ended(const struct http_answer *answer, void *data)
{
	struct outcome *outcome = data;

	outcome->completed = true;
	outcome->delivery = answer->delivery;
	outcome->status = answer->status;
	outcome->delimited = answer->delimited;
	snprintf(outcome->body, sizeof(outcome->body), "%.*s",
		 (int)answer->body_size, answer->body);
}

static int accept_one(int listen_fd)
{
	struct address from;
	int fd = NET_NONE;
	int i;

	for (i = 0; i < TURNS && fd == NET_NONE; i++) {
		loop_turn(&loop, TURN_US);
		fd = net_accept(listen_fd, &from);
	}
	cr_assert_neq(fd, NET_NONE);
	return fd;
}

static void await_request(int fd)
{
	char text[1024];
	int i;

	for (i = 0; i < TURNS; i++) {
		size_t size = sizeof(text);

		loop_turn(&loop, TURN_US);
		if (net_read(fd, text, &size) == NET_OK)
			return;
	}
	cr_assert_fail("the client sent no request");
}

static void reset(int fd)
{
	const struct linger now = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
}

static void run_script(struct http_client *client, int listen_fd,
		       const struct address *address,
		       const struct script *script)
{
	const struct http_header headers[] = { { "X-Id", "7" } };
	char url[ADDRESS_TEXT_SIZE + 16];
	char text[ADDRESS_TEXT_SIZE];
	const struct http_request request = {
		.method = "GET",
		.url = url,
		.headers = headers,
		.header_count = 1,
		.timeout_ms = 5000,
		.max_answer_bytes = 40,
		.echo_header = "X-Id",
	};
	struct outcome outcome = { .completed = false };
	int fd;
	int i;

	snprintf(url, sizeof(url), "http://%s/x",
		 address_format(address, text));
	http_client_send(client, &request, ended, &outcome);
	fd = accept_one(listen_fd);
	await_request(fd);
	send_text(fd, script->answer);
	loop_turn(&loop, TURN_US);
	loop_turn(&loop, TURN_US);
	if (script->server_resets)
		reset(fd);
	if (script->server_closes || script->server_resets)
		net_close(fd);
	for (i = 0; i < TURNS && !outcome.completed; i++)
		loop_turn(&loop, TURN_US);
	cr_expect(outcome.completed, "%s", script->name);
	cr_expect_eq(outcome.delivery, script->delivery, "%s", script->name);
	cr_expect_eq(outcome.status, script->status, "%s: %u", script->name,
		     outcome.status);
	cr_expect_str_eq(outcome.body, script->body, "%s", script->name);
	if (outcome.delivery == HTTP_ANSWERED)
		cr_expect_eq(outcome.delimited, script->delimited, "%s",
			     script->name);
	cr_expect_eq(client->idle != NULL, script->kept, "%s", script->name);
	if (!script->server_closes && !script->server_resets)
		net_close(fd);
	/* The client frees an idle connection that the server closes. */
	for (i = 0; i < TURNS && client->idle; i++)
		loop_turn(&loop, TURN_US);
	cr_expect_null(client->idle, "%s", script->name);
}

/* Guards against reporting a truncated answer as complete, or the answer to an
 * earlier request as the answer to this request. */
Test(framing, an_answer_is_complete_and_its_own_or_none, .init = setup,
     .fini = teardown)
{
	static const struct script scripts[] = {
		{ "whole",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_ANSWERED, 200, "hi", false, false, true, true },
		{ "whole, without the ID",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
		  HTTP_ANSWERED, 200, "hi", false, false, true, false },
		{ "chunks",
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
		  "X-Id: 7\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		  HTTP_ANSWERED, 200, "hi", false, false, true, true },
		{ "a last one",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 7\r\n"
		  "Connection: close\r\n\r\nhi",
		  HTTP_ANSWERED, 200, "hi", false, false, true, false },
		{ "kept for no time",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 7\r\n"
		  "Keep-Alive: timeout=0\r\n\r\nhi",
		  HTTP_ANSWERED, 200, "hi", false, false, true, false },
		{ "no length", "HTTP/1.1 200 OK\r\n\r\nhi", HTTP_ANSWERED, 200,
		  "hi", true, false, false, false },
		{ "no length, reset", "HTTP/1.1 200 OK\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, true, false, false },
		{ "cut", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", true, false, false, false },
		{ "cut chunks",
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
		  "\r\n\r\n2\r\nhi\r\n",
		  HTTP_MAY_BE_SENT, 0, "", true, false, false, false },
		{ "cut head", "HTTP/1.1 200 OK\r\nContent-Le", HTTP_MAY_BE_SENT,
		  0, "", true, false, false, false },
		{ "nothing", "", HTTP_MAY_BE_SENT, 0, "", true, false, false,
		  false },
		{ "rubbish", "what is this\r\n\r\n", HTTP_MAY_BE_SENT, 0, "",
		  false, false, false, false },
		{ "bytes behind",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\n"
		  "hiHTTP/1.1 200 OK\r\n",
		  HTTP_ANSWERED, 200, "hi", false, false, true, false },
		{ "a second answer",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		  "X-Id: 7\r\n\r\nhiHTTP/1.1 200 OK\r\n"
		  "Content-Length: 2\r\nX-Id: 7\r\n\r\nho",
		  HTTP_ANSWERED, 200, "hi", false, false, true, false },
		{ "one left over",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		  "X-Id: 6\r\n\r\nhoHTTP/1.1 200 OK\r\n"
		  "Content-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_ANSWERED, 200, "hi", false, false, true, true },
		{ "one left over without a length",
		  "HTTP/1.1 200 OK\r\nX-Id: 6\r\n\r\nho", HTTP_MAY_BE_SENT, 0,
		  "", true, false, false, false },
		{ "information that ends the connection",
		  "HTTP/1.1 100 Continue\r\n\r\n", HTTP_MAY_BE_SENT, 0, "",
		  true, false, false, false },
		{ "only one left over",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 6\r\n\r\nho",
		  HTTP_MAY_BE_SENT, 0, "", true, false, false, false },
		{ "information first",
		  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created\r\n"
		  "Content-Length: 0\r\nX-Id: 7\r\n\r\n",
		  HTTP_ANSWERED, 201, "", false, false, true, true },
		{ "too large",
		  "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n"
		  "01234567890123456789012345678901234567890123456"
		  "789",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "two lengths",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
		  "Content-Length: 3\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "status 000",
		  "HTTP/1.1 000 None\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "status 0",
		  "HTTP/1.1 0 None\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "status 99",
		  "HTTP/1.1 99 Odd\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "status 099, then an answer",
		  "HTTP/1.1 099 Odd\r\n\r\nHTTP/1.1 200 OK\r\n"
		  "Content-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "the least status of an answer",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_ANSWERED, 200, "hi", false, false, true, true },
		{ "the greatest status",
		  "HTTP/1.1 599 Odd\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_ANSWERED, 599, "hi", false, false, true, true },
		{ "status 600",
		  "HTTP/1.1 600 Odd\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "status 999",
		  "HTTP/1.1 999 Odd\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "status 1000",
		  "HTTP/1.1 1000 Odd\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "status -200",
		  "HTTP/1.1 -200 Odd\r\nContent-Length: 2\r\nX-Id: 7\r\n\r\nhi",
		  HTTP_MAY_BE_SENT, 0, "", false, false, false, false },
		{ "no content", "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
		  HTTP_ANSWERED, 204, "", false, false, true, true },
	};
	struct http_client client;
	struct address address;
	struct error err = ERROR_INIT;
	int listen_fd;
	size_t i;

	address_parse("127.0.0.1:0", &address, &err);
	listen_fd = net_listen(&address, &err);
	cr_assert_neq(listen_fd, NET_NONE);
	cr_assert(http_client_init(&client, &loop, &err));
	for (i = 0; i < COUNT(scripts); i++)
		run_script(&client, listen_fd, &address, &scripts[i]);
	http_client_finish(&client);
	net_close(listen_fd);
}

/* An answer that is sent in part. Without a length, the end of the connection
 * behind the head completes it. */
struct cut_answer {
	const char *name;
	const char *answer;
	bool has_length;
};

/* Guards against a 200 with an empty or short body, framed as whole, after a
 * server that stops in the middle of the head: at every byte of it, and with a
 * regular end of the connection as well as a reset. */
Test(framing, no_part_of_an_answer_is_whole, .init = setup, .fini = teardown)
{
	static const struct cut_answer answers[] = {
		{ "length",
		  "HTTP/1.1 200 OK\r\nX-Id: 7\r\nContent-Length: 2\r\n\r\nhi",
		  true },
		{ "length 0",
		  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Id: 7\r\n\r\n",
		  true },
		{ "chunks",
		  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Id: 7\r\n"
		  "\r\n2\r\nhi\r\n0\r\n\r\n",
		  true },
		{ "behind an interim answer",
		  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 7\r\n"
		  "Content-Length: 2\r\n\r\nhi",
		  true },
		{ "no content", "HTTP/1.1 204 No Content\r\nX-Id: 7\r\n\r\n",
		  true },
		{ "no length", "HTTP/1.1 200 OK\r\nX-Id: 7\r\n\r\nhi", false },
		{ "folded field",
		  "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-More: a\r\n b\r\n"
		  "Content-Length: 2\r\n\r\nhi",
		  true },
		{ "line ends without CR",
		  "HTTP/1.1 200 OK\nX-Id: 7\nContent-Length: 2\n\nhi", true },
	};
	struct http_client client;
	struct address address;
	struct error err = ERROR_INIT;
	int listen_fd;
	size_t i;

	address_parse("127.0.0.1:0", &address, &err);
	listen_fd = net_listen(&address, &err);
	cr_assert_neq(listen_fd, NET_NONE);
	cr_assert(http_client_init(&client, &loop, &err));
	for (i = 0; i < COUNT(answers); i++) {
		const char *answer = answers[i].answer;
		size_t whole = answers[i].has_length
				       ? strlen(answer)
				       : strlen(answer) - strlen("hi");
		size_t size;

		for (size = 0; size < whole * 2; size++) {
			char part[256];
			char name[96];
			const struct script script = {
				.name = name,
				.answer = part,
				.delivery = HTTP_MAY_BE_SENT,
				.body = "",
				.server_closes = size % 2,
				.server_resets = !(size % 2),
			};

			snprintf(part, sizeof(part), "%.*s", (int)(size / 2),
				 answer);
			snprintf(name, sizeof(name), "%s: %zu bytes, %s",
				 answers[i].name, size / 2,
				 size % 2 ? "end" : "reset");
			run_script(&client, listen_fd, &address, &script);
		}
	}
	http_client_finish(&client);
	net_close(listen_fd);
}
