#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#include "http/client_conn.h"
#include "os/net.h"

/* Answers that a server sends a second time. */

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { TURNS = 400, TURN_US = 2000, REQUESTS_MAX = 4, CONNS_MAX = 4 };

/* Requests that are sent one after the other, by ID. After each of its answers
 * the server keeps a copy and sends it before its next answer on the same
 * connection. */
struct schedule {
	const char *name;
	const char *ids[REQUESTS_MAX];
	uint32_t connections; /* expected */
	bool unnamed_answers; /* the answers do not repeat the ID */
	bool unnamed_copies;
	const char *lost; /* ID of a request that gets no answer */
};

static const struct schedule schedules[] = {
	{ .name = "other requests", .ids = { "1", "2", "3" }, .connections = 1 },
	{ .name = "a second attempt", .ids = { "1", "1" }, .connections = 2 },
	{ .name = "a third attempt",
	  .ids = { "1", "1", "1" },
	  .connections = 3 },
	{ .name = "a second attempt after another request",
	  .ids = { "1", "2", "1" },
	  .connections = 2 },
	{ .name = "attempts at two requests by turns",
	  .ids = { "1", "2", "1", "2" },
	  .connections = 2 },
	{ .name = "the same ID for all requests",
	  .ids = { "1", "1", "1", "1" },
	  .connections = 4 },
};

static const struct schedule unnamed_schedules[] = {
	{ .name = "each first on its connection",
	  .ids = { "1", "2", "3" },
	  .connections = 3,
	  .unnamed_answers = true,
	  .unnamed_copies = true },
	{ .name = "a copy before the answer to a later request",
	  .ids = { "1", "2", "3" },
	  .connections = 2,
	  .unnamed_copies = true,
	  .lost = "2" },
	{ .name = "requests without an ID",
	  .ids = { "1", "-", "2" },
	  .connections = 2 },
};

struct fake_server {
	int listen_fd;
	int fds[CONNS_MAX];
	char copies[CONNS_MAX][256];
	uint32_t connections;
	uint32_t answered;
	const struct schedule *schedule;
	const char *asked; /* ID of the request in progress; "-" for none */
};

struct outcome {
	bool completed;
	enum http_delivery delivery;
	unsigned int status;
	char attempt[16];
};

static struct loop loop;
static struct fake_server server;

static void ended(const struct http_answer *answer, void *data)
{
	struct outcome *outcome = data;
	const char *attempt = http_answer_header(answer, "X-Attempt");

	outcome->completed = true;
	outcome->delivery = answer->delivery;
	outcome->status = answer->status;
	snprintf(outcome->attempt, sizeof(outcome->attempt), "%s",
		 attempt ? attempt : "none");
}

static void write_answer(char text[256], const char *id, bool named)
{
	snprintf(text, 256,
		 "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s%.1s\r\n"
		 "X-Attempt: %u\r\n\r\n",
		 named ? "X-Id: " : "X-Other: ", id, server.answered);
}

static void serve_request(uint32_t i, const char *head)
{
	const char *field = strstr(head, "X-Id: ");
	const char *id = field ? field + strlen("X-Id: ") : "-";
	char text[256];

	cr_assert_eq(field != NULL, strcmp(server.asked, "-") != 0);
	send(server.fds[i], server.copies[i], strlen(server.copies[i]),
	     MSG_NOSIGNAL);
	write_answer(text, id, !server.schedule->unnamed_answers);
	send(server.fds[i], text, strlen(text), MSG_NOSIGNAL);
	write_answer(server.copies[i], id, !server.schedule->unnamed_copies);
	server.answered++;
}

static void serve(void)
{
	struct address from;
	int fd = net_accept(server.listen_fd, &from);
	uint32_t i;

	if (fd != NET_NONE)
		server.fds[server.connections++] = fd;
	for (i = 0; i < server.connections; i++) {
		char head[1024] = "";
		size_t size = sizeof(head) - 1;

		if (net_read(server.fds[i], head, &size) == NET_OK)
			serve_request(i, head);
	}
}

static struct outcome ask(struct http_client *client, const char *url,
			  const char *id)
{
	const struct http_header headers[] = { { "X-Id", id } };
	const struct http_request request = {
		.method = "POST",
		.url = url,
		.headers = headers,
		.header_count = strcmp(id, "-") != 0,
		.timeout_ms = 5000,
		.max_answer_bytes = 100,
		.echo_header = "X-Id",
	};
	struct outcome outcome = { .completed = false };
	int i;

	server.asked = id;
	http_client_send(client, &request, ended, &outcome);
	for (i = 0; i < TURNS && !outcome.completed; i++) {
		loop_turn(&loop, TURN_US);
		serve();
	}
	return outcome;
}

static void play(const struct schedule *schedule)
{
	struct http_client client;
	struct address address;
	struct error err = ERROR_INIT;
	char text[ADDRESS_TEXT_SIZE];
	char url[ADDRESS_TEXT_SIZE + 16];
	char wanted[16];
	const struct client_conn *idle;
	int idle_count;
	uint32_t i;

	memset(&server, 0, sizeof(server));
	server.schedule = schedule;
	cr_assert(loop_init(&loop, &err));
	address_parse("127.0.0.1:0", &address, &err);
	server.listen_fd = net_listen(&address, &err);
	snprintf(url, sizeof(url), "http://%s/x",
		 address_format(&address, text));
	cr_assert(http_client_init(&client, &loop, &err));
	for (i = 0; i < REQUESTS_MAX && schedule->ids[i]; i++) {
		struct outcome outcome = ask(&client, url, schedule->ids[i]);

		if (schedule->lost &&
		    !strcmp(schedule->ids[i], schedule->lost)) {
			cr_expect_eq(outcome.delivery, HTTP_MAY_BE_SENT, "%s",
				     schedule->name);
			continue;
		}
		snprintf(wanted, sizeof(wanted), "%u", i);
		cr_expect_eq(outcome.status, 200, "%s", schedule->name);
		cr_expect_str_eq(outcome.attempt, wanted,
				 "%s: request %u got answer %s", schedule->name,
				 i, outcome.attempt);
	}
	DL_COUNT(client.idle, idle, idle_count);
	cr_expect_eq(idle_count, !schedule->unnamed_answers,
		     "%s: %d idle connections", schedule->name, idle_count);
	cr_expect_eq(server.connections, schedule->connections,
		     "%s: %u connections", schedule->name, server.connections);
	http_client_finish(&client);
	for (i = 0; i < server.connections; i++)
		net_close(server.fds[i]);
	net_close(server.listen_fd);
	loop_finish(&loop);
}

/* Guards against the copy of an answer to an earlier attempt that is taken for
 * the answer to a later attempt at the same request. */
Test(extra_answer, belongs_to_no_later_attempt)
{
	size_t i;

	apr_initialize();
	for (i = 0; i < COUNT(schedules); i++)
		play(&schedules[i]);
}

/* Guards against an answer to another request that is taken for the own one,
 * because it does not name the request that it belongs to. */
Test(extra_answer, without_an_id_counts_on_a_new_connection_only)
{
	size_t i;

	apr_initialize();
	for (i = 0; i < COUNT(unnamed_schedules); i++)
		play(&unnamed_schedules[i]);
}
