#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/random.h"
#include "http/client.h"
#include "os/net.h"

/*
 * Drawn schedules of callers that send requests with up to three attempts to
 * two servers over reused connections. The servers run or reject a request,
 * send copies of any earlier answer of a connection before or behind an answer,
 * and reset connections.
 */

enum {
	SEEDS = 300,
	STEPS = 120,
	CALLERS = 3,
	SERVERS = 2,
	CONNS_MAX = 256,
	ANSWERS_MAX = 16,
	ANSWER_SIZE = 128,
	REQUESTS_MAX = STEPS,
	ATTEMPTS_MAX = 3,
	TURNS = 3,
	TURN_US = 0,
	STATUS_OK = 200,
	STATUS_REJECTED = 429,
};

/* A connection as its server sees it. */
struct server_conn {
	int fd;
	bool waits; /* a request has no answer yet */
	uint32_t request;
	uint32_t serial; /* of the attempt */
	bool runs;
	char answers[ANSWERS_MAX][ANSWER_SIZE];
	uint32_t answer_count;
};

struct fake_server {
	int listen_fd;
	char url[ADDRESS_TEXT_SIZE + 16];
	struct server_conn conns[CONNS_MAX];
	uint32_t conn_count;
};

struct caller {
	bool busy;
	bool has_request;
	uint32_t request;
	uint32_t attempts;
	char id[16];
	uint32_t ended; /* attempts that the client has ended */
};

static struct {
	struct loop loop;
	struct http_client client;
	struct random random;
	struct fake_server servers[SERVERS];
	struct caller callers[CALLERS];
	uint32_t request_count;
	uint32_t serial;
	uint32_t last_serial[REQUESTS_MAX + 1]; /* of each request */
	uint32_t runs[REQUESTS_MAX + 1];
	uint32_t copies;
	uint32_t repeats;
	uint64_t seed;
} model;

static bool draw(uint32_t one_of)
{
	return !random_below(&model.random, one_of);
}

static void server_start(struct fake_server *server)
{
	struct error err = ERROR_INIT;
	struct address address;
	char text[ADDRESS_TEXT_SIZE];

	server->conn_count = 0;
	address_parse("127.0.0.1:0", &address, &err);
	server->listen_fd = net_listen(&address, &err);
	cr_assert_neq(server->listen_fd, NET_NONE);
	snprintf(server->url, sizeof(server->url), "http://%s/x",
		 address_format(&address, text));
}

static void conn_close(struct server_conn *conn, bool reset)
{
	const struct linger at_once = { 1, 0 };

	if (conn->fd == NET_NONE)
		return;
	if (reset)
		setsockopt(conn->fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
	net_close(conn->fd);
	conn->fd = NET_NONE;
	conn->waits = false;
}

static void read_request(struct server_conn *conn)
{
	char head[1024] = "";
	size_t size = sizeof(head) - 1;
	enum net_result result = net_read(conn->fd, head, &size);
	const char *id = strstr(head, "X-Id: ");

	if (result == NET_AGAIN)
		return;
	if (result != NET_OK || !id) {
		conn_close(conn, false);
		return;
	}
	conn->request = (uint32_t)strtoul(id + strlen("X-Id: "), NULL, 10);
	conn->serial = ++model.serial;
	conn->waits = true;
	conn->runs = draw(2);
	model.last_serial[conn->request] = conn->serial;
	model.runs[conn->request] += conn->runs;
}

static void server_poll(struct fake_server *server)
{
	struct address from;
	uint32_t i;
	int fd;

	while ((fd = net_accept(server->listen_fd, &from)) != NET_NONE) {
		struct server_conn *conn;

		cr_assert_lt(server->conn_count, CONNS_MAX);
		conn = &server->conns[server->conn_count++];
		memset(conn, 0, sizeof(*conn));
		conn->fd = fd;
	}
	for (i = 0; i < server->conn_count; i++)
		if (server->conns[i].fd != NET_NONE && !server->conns[i].waits)
			read_request(&server->conns[i]);
}

static void turn(void)
{
	int i;

	for (i = 0; i < TURNS; i++) {
		loop_turn(&model.loop, TURN_US);
		server_poll(&model.servers[0]);
		server_poll(&model.servers[1]);
	}
}

static void send_text(const struct server_conn *conn, const char *text)
{
	send(conn->fd, text, strlen(text), MSG_NOSIGNAL);
}

/* Sends a copy of a drawn earlier answer of the connection. */
static void send_copy(const struct server_conn *conn)
{
	if (!conn->answer_count)
		return;
	model.copies++;
	send_text(
		conn,
		conn->answers[random_below(&model.random, conn->answer_count)]);
}

static void answer(struct server_conn *conn)
{
	char *text = conn->answers[conn->answer_count % ANSWERS_MAX];

	while (draw(2))
		send_copy(conn);
	if (draw(12)) {
		conn_close(conn, true);
		return;
	}
	snprintf(text, ANSWER_SIZE,
		 "HTTP/1.1 %d Status\r\nX-Id: %u\r\nX-Serial: %u\r\n"
		 "Content-Length: 0\r\n\r\n",
		 conn->runs ? STATUS_OK : STATUS_REJECTED, conn->request,
		 conn->serial);
	if (conn->answer_count < ANSWERS_MAX - 1)
		conn->answer_count++;
	send_text(conn, text);
	conn->waits = false;
	if (draw(8))
		send_copy(conn);
	if (draw(12))
		conn_close(conn, draw(2));
}

static void answer_one(struct fake_server *server)
{
	uint32_t start;
	uint32_t i;

	if (!server->conn_count)
		return;
	start = random_below(&model.random, server->conn_count);
	for (i = 0; i < server->conn_count; i++) {
		struct server_conn *conn =
			&server->conns[(start + i) % server->conn_count];

		if (conn->fd != NET_NONE && conn->waits) {
			answer(conn);
			return;
		}
	}
}

static void check_answer(const struct caller *caller,
			 const struct http_answer *answer)
{
	const char *serial = http_answer_header(answer, "X-Serial");
	uint32_t request = caller->request;

	cr_expect_not_null(serial);
	cr_expect_eq(strtoul(serial, NULL, 10), model.last_serial[request],
		     "seed %llu, request %u: answer of attempt %s, not %u",
		     (unsigned long long)model.seed, request, serial,
		     model.last_serial[request]);
	if (answer->status == STATUS_REJECTED)
		cr_expect_eq(model.runs[request], 0,
			     "seed %llu: request %u runs and is answered as "
			     "not run",
			     (unsigned long long)model.seed, request);
}

static void attempt_ended(const struct http_answer *answer, void *data)
{
	struct caller *caller = data;
	bool not_run = answer->delivery == HTTP_NOT_SENT;

	caller->busy = false;
	if (answer->delivery == HTTP_ANSWERED) {
		check_answer(caller, answer);
		not_run = answer->status == STATUS_REJECTED;
	}
	if (!not_run || caller->attempts == ATTEMPTS_MAX)
		caller->has_request = false;
}

static void caller_act(struct caller *caller)
{
	const struct fake_server *server =
		&model.servers[random_below(&model.random, SERVERS)];
	const struct http_header headers[] = { { "X-Id", caller->id } };
	const struct http_request request = {
		.method = "POST",
		.url = server->url,
		.headers = headers,
		.header_count = 1,
		.max_answer_bytes = 100,
		.echo_header = "X-Id",
	};

	if (caller->busy)
		return;
	if (!caller->has_request) {
		caller->has_request = true;
		caller->request = ++model.request_count;
		caller->attempts = 0;
		snprintf(caller->id, sizeof(caller->id), "%u", caller->request);
	}
	model.repeats += caller->attempts++ > 0;
	caller->busy = true;
	http_client_send(&model.client, &request, attempt_ended, caller);
}

static void play(uint64_t seed)
{
	struct error err = ERROR_INIT;
	uint32_t i;
	uint32_t j;

	memset(&model.callers, 0, sizeof(model.callers));
	memset(model.runs, 0, sizeof(model.runs));
	model.request_count = 0;
	model.seed = seed;
	random_init(&model.random, seed);
	cr_assert(loop_init(&model.loop, &err));
	cr_assert(http_client_init(&model.client, &model.loop, &err));
	for (i = 0; i < SERVERS; i++)
		server_start(&model.servers[i]);
	for (i = 0; i < STEPS; i++) {
		if (draw(2))
			caller_act(&model.callers[random_below(&model.random,
							       CALLERS)]);
		else
			answer_one(&model.servers[random_below(&model.random,
							       SERVERS)]);
		turn();
	}
	for (i = 1; i <= model.request_count; i++)
		cr_expect_leq(model.runs[i], 1,
			      "seed %llu: request %u runs %u times",
			      (unsigned long long)seed, i, model.runs[i]);
	http_client_finish(&model.client);
	for (i = 0; i < SERVERS; i++) {
		for (j = 0; j < model.servers[i].conn_count; j++)
			conn_close(&model.servers[i].conns[j], false);
		net_close(model.servers[i].listen_fd);
	}
	loop_finish(&model.loop);
}

/* Guards against an answer of another request or attempt, against a request
 * that runs and is answered as not run, and against one that runs twice,
 * whatever copies of answers arrive and when. */
Test(extra_model, drawn_schedules, .timeout = 120)
{
	uint64_t seed;

	apr_initialize();
	for (seed = 1; seed <= SEEDS; seed++)
		play(seed);
	cr_expect_gt(model.copies, 1000, "%u copies", model.copies);
	cr_expect_gt(model.repeats, 1000, "%u repeats", model.repeats);
}
