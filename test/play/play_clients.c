#include <errno.h>
#include <http_parser.h>
#include <math.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "os/clock.h"
#include "play.h"

/* Callers with pools of kept connections to each node. */

enum {
	TICK_MS = 5,
	EVENTS = 256,
	READ_BYTES = 64 * 1024,
	HEAD_SIZE = 512,
	BODY_BYTES_MAX = 24 * 1024,
	BODY_BYTES = 4 * 1024,
	ANSWER_BYTES = 5 * 1024,
	SMALL_BUFFER_BYTES = 4096,
	/* What a caller with a small buffer reads in a tick. */
	SMALL_READ_BYTES = 2048,
	GIVE_UP_MS = 400,
	SMALL_EACH = 4,
};

enum conn_state { CONN_NONE, CONN_CONNECTING, CONN_IDLE, CONN_BUSY };

struct play_conn {
	struct play_clients *clients;
	enum conn_state state;
	int fd;
	uint32_t node;
	bool small;
	bool throttled; /* reads again at the next tick */
	uint32_t served;
	uint32_t request;
	char head[HEAD_SIZE];
	size_t head_size;
	size_t body_size;
	size_t written;
	bool complete;
	http_parser parser;
};

static char body[BODY_BYTES_MAX];

static void watch(struct play_conn *conn, uint32_t events, int operation)
{
	struct epoll_event event = { .events = events, .data.ptr = conn };

	epoll_ctl(conn->clients->epoll, operation, conn->fd, &event);
}

static void drop(struct play_conn *conn)
{
	close(conn->fd);
	conn->state = CONN_NONE;
}

static struct play_request *request_of(const struct play_conn *conn)
{
	return &conn->clients->requests[conn->request];
}

static void end_request(struct play_conn *conn, enum play_end end)
{
	struct play_request *request = request_of(conn);

	request->end = end;
	request->end_us = clock_monotonic_us();
	if (end == PLAY_ANSWERED && http_should_keep_alive(&conn->parser)) {
		conn->state = CONN_IDLE;
		conn->served++;
		watch(conn, EPOLLIN, EPOLL_CTL_MOD);
	} else {
		drop(conn);
	}
}

static int on_field(http_parser *parser, const char *at, size_t size)
{
	static const char stamp[] = "X-Response-Stamp";
	struct play_conn *conn = parser->data;

	if (size == sizeof(stamp) - 1 && !strncasecmp(at, stamp, size))
		request_of(conn)->stamped = true;
	return 0;
}

static int on_head(http_parser *parser)
{
	struct play_conn *conn = parser->data;

	request_of(conn)->status = (uint16_t)parser->status_code;
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
	struct play_conn *conn = parser->data;

	request_of(conn)->answer_bytes += (uint32_t)size;
	return 0;
}

static int on_message(http_parser *parser)
{
	struct play_conn *conn = parser->data;

	conn->complete = true;
	return 0;
}

static const http_parser_settings parsing = {
	.on_header_field = on_field,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

static void lose(struct play_conn *conn)
{
	if (conn->state == CONN_CONNECTING)
		end_request(conn, PLAY_REFUSED);
	else if (conn->state == CONN_BUSY)
		end_request(conn,
			    request_of(conn)->status ? PLAY_CUT : PLAY_CLOSED);
	else
		drop(conn);
}

static void receive(struct play_conn *conn)
{
	static char data[READ_BYTES];
	ssize_t got = recv(conn->fd, data,
			   conn->small ? SMALL_READ_BYTES : READ_BYTES, 0);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (got <= 0) {
		/* The end may be the end of the answer. */
		if (got == 0 && conn->state == CONN_BUSY)
			http_parser_execute(&conn->parser, &parsing, NULL, 0);
		if (conn->state == CONN_BUSY && conn->complete)
			end_request(conn, PLAY_ANSWERED);
		else
			lose(conn);
		return;
	}
	if (conn->state != CONN_BUSY) {
		fprintf(stderr, "bytes without a request\n");
		drop(conn);
		return;
	}
	http_parser_execute(&conn->parser, &parsing, data, (size_t)got);
	if (conn->complete) {
		end_request(conn, PLAY_ANSWERED);
	} else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		fprintf(stderr, "no HTTP: %s\n", request_of(conn)->id);
		lose(conn);
	} else if (conn->small) {
		conn->throttled = true;
		watch(conn, 0, EPOLL_CTL_MOD);
	}
}

static void transmit(struct play_conn *conn)
{
	size_t size = conn->head_size + conn->body_size;

	while (conn->written < size) {
		bool head = conn->written < conn->head_size;
		const char *from =
			head ? conn->head + conn->written
			     : body + (conn->written - conn->head_size);
		size_t left = (head ? conn->head_size : size) - conn->written;
		ssize_t put = send(conn->fd, from, left,
				   MSG_NOSIGNAL | (head ? MSG_MORE : 0));

		if (put < 0 && errno == EAGAIN) {
			watch(conn, EPOLLIN | EPOLLOUT, EPOLL_CTL_MOD);
			return;
		}
		if (put < 0) {
			/* An answer may have come before the end. */
			watch(conn, EPOLLIN, EPOLL_CTL_MOD);
			return;
		}
		conn->written += (size_t)put;
	}
	request_of(conn)->sent_us = clock_monotonic_us();
	watch(conn, EPOLLIN, EPOLL_CTL_MOD);
}

static void begin_send(struct play_conn *conn)
{
	struct play_request *request = request_of(conn);

	conn->state = CONN_BUSY;
	conn->complete = false;
	conn->throttled = false;
	request->kept = conn->served > 0;
	request->small = conn->small;
	request->sent_us = 0;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	transmit(conn);
}

static void on_event(struct play_conn *conn, uint32_t events)
{
	int error = 0;
	socklen_t size = sizeof(error);

	if (conn->state == CONN_CONNECTING) {
		getsockopt(conn->fd, SOL_SOCKET, SO_ERROR, &error, &size);
		if (error)
			lose(conn);
		else if (events & EPOLLOUT)
			begin_send(conn);
		return;
	}
	if (conn->state == CONN_BUSY && (events & EPOLLOUT))
		transmit(conn);
	if (conn->state != CONN_NONE &&
	    (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
		receive(conn);
}

static bool dial(struct play_conn *conn)
{
	const struct cluster_node *node =
		&conn->clients->cluster->nodes[conn->node];
	struct sockaddr_in to = { .sin_family = AF_INET };
	char text[ENDPOINT_SIZE];
	int size = SMALL_BUFFER_BYTES;
	char *port;
	int one = 1;

	snprintf(text, sizeof(text), "%s", node->caller);
	port = strchr(text, ':');
	if (!port)
		return false;
	*port++ = '\0';
	to.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	to.sin_addr.s_addr = inet_addr(text);
	conn->fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (conn->fd < 0)
		return false;
	conn->small = !random_below(&conn->clients->random, SMALL_EACH);
	if (conn->small)
		setsockopt(conn->fd, SOL_SOCKET, SO_RCVBUF, &size,
			   sizeof(size));
	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	conn->served = 0;
	conn->state = CONN_CONNECTING;
	watch(conn, EPOLLIN | EPOLLOUT, EPOLL_CTL_ADD);
	if (connect(conn->fd, (struct sockaddr *)&to, sizeof(to)) < 0 &&
	    errno != EINPROGRESS) {
		lose(conn);
		return true;
	}
	return true;
}

static uint32_t draw_work_ms(struct random *random, uint32_t usual_ms)
{
	double share = random_share(random);

	if (share < 0.03)
		return 900 + random_below(random, 250);
	if (share < 0.12)
		return 300 + random_below(random, 400);
	return usual_ms * 6 / 10 + random_below(random, usual_ms * 8 / 10);
}

static uint32_t draw_answer_bytes(struct play_clients *clients)
{
	double share = random_share(&clients->random);

	if (share < 0.03)
		return clients->options->big_bytes;
	if (share < 0.15)
		return 30 * 1024;
	return ANSWER_BYTES;
}

static void format(struct play_conn *conn, struct play_request *request)
{
	struct play_clients *clients = conn->clients;
	struct random *random = &clients->random;
	const char *service = "log-archive";
	uint32_t bytes = draw_answer_bytes(clients);

	conn->body_size = 0;
	if (request->unsafe) {
		service = "seal-desk";
		conn->body_size = random_share(random) < 0.1 ? BODY_BYTES_MAX
							     : BODY_BYTES;
	} else if (random_below(random, 2)) {
		service = "cellar-view";
	}
	conn->head_size = (size_t)snprintf(
		conn->head, sizeof(conn->head),
		"%s /%s/e%u?service_us=%u&bytes=%u HTTP/1.1\r\nHost: %s\r\n"
		"X-Request-Id: %s\r\nX-Deadline-Ms: %u\r\n"
		"Content-Length: %zu\r\n\r\n",
		request->unsafe ? "POST" : "GET",
		request->unsafe ? "seal" : "read", random_below(random, 100),
		request->work_ms * 1000, bytes, service, request->id,
		clients->options->deadline_ms, conn->body_size);
	conn->written = 0;
}

static struct play_conn *find_conn(struct play_clients *clients, uint32_t node)
{
	struct play_conn *first = &clients->conns[node * PLAY_CONNS_PER_NODE];
	struct play_conn *empty = NULL;
	uint32_t i;

	for (i = 0; i < PLAY_CONNS_PER_NODE; i++) {
		if (first[i].state == CONN_IDLE)
			return &first[i];
		if (first[i].state == CONN_NONE)
			empty = &first[i];
	}
	return empty;
}

static void begin_request(struct play_clients *clients)
{
	uint32_t node =
		random_below(&clients->random, clients->cluster->node_count);
	bool unsafe = random_share(&clients->random) < 0.6;
	uint32_t work_ms =
		draw_work_ms(&clients->random, clients->options->work_ms);
	struct play_request *request = &clients->requests[clients->count];
	struct play_conn *conn = find_conn(clients, node);

	if (!clients->accepts[node] || !conn ||
	    clients->count == PLAY_REQUESTS_MAX)
		return;
	memset(request, 0, sizeof(*request));
	snprintf(request->id, sizeof(request->id), "%04x%09x",
		 (unsigned int)clients->options->seed & 0xffff, clients->count);
	request->node = (uint16_t)node;
	request->unsafe = unsafe;
	request->work_ms = work_ms;
	conn->request = clients->count++;
	format(conn, request);
	if (conn->state == CONN_IDLE)
		begin_send(conn);
	else if (!dial(conn))
		request->end = PLAY_REFUSED;
}

static void check_conns(struct play_clients *clients, int64_t now_us)
{
	int64_t wait_us =
		(clients->options->deadline_ms + GIVE_UP_MS) * US_PER_MS;
	uint32_t i;

	for (i = 0; i < clients->cluster->node_count * PLAY_CONNS_PER_NODE;
	     i++) {
		struct play_conn *conn = &clients->conns[i];

		if (conn->state != CONN_BUSY)
			continue;
		if (request_of(conn)->sent_us &&
		    now_us > request_of(conn)->sent_us + wait_us) {
			end_request(conn, PLAY_GIVEN_UP);
		} else if (conn->throttled) {
			conn->throttled = false;
			watch(conn, EPOLLIN, EPOLL_CTL_MOD);
		}
	}
}

bool play_clients_begin(struct play_clients *clients, struct cluster *cluster,
			const struct play_options *options)
{
	uint32_t i;

	memset(clients, 0, sizeof(*clients));
	memset(body, 'b', sizeof(body));
	clients->options = options;
	clients->cluster = cluster;
	random_init(&clients->random, options->seed);
	clients->epoll = epoll_create1(EPOLL_CLOEXEC);
	clients->conns = calloc(cluster->node_count * PLAY_CONNS_PER_NODE,
				sizeof(*clients->conns));
	clients->requests =
		calloc(PLAY_REQUESTS_MAX, sizeof(*clients->requests));
	if (clients->epoll < 0 || !clients->conns || !clients->requests)
		return false;
	for (i = 0; i < cluster->node_count * PLAY_CONNS_PER_NODE; i++) {
		clients->conns[i].clients = clients;
		clients->conns[i].node = i / PLAY_CONNS_PER_NODE;
	}
	for (i = 0; i < cluster->node_count; i++)
		clients->accepts[i] = true;
	clients->next_us = clock_monotonic_us();
	return true;
}

static void send_due(struct play_clients *clients, int64_t now_us)
{
	double rate = clients->options->rate * clients->cluster->node_count;

	while (clients->next_us <= now_us) {
		clients->next_us +=
			(int64_t)(-log(1 - random_share(&clients->random)) /
				  rate * US_PER_S) +
			1;
		if (clients->sends)
			begin_request(clients);
	}
}

void play_clients_run(struct play_clients *clients, int64_t until_us)
{
	struct epoll_event events[EVENTS];
	int64_t now_us = clock_monotonic_us();

	while (now_us < until_us) {
		int count;
		int i;

		send_due(clients, now_us);
		if (now_us >= clients->next_check_us) {
			check_conns(clients, now_us);
			clients->next_check_us = now_us + TICK_MS * US_PER_MS;
		}
		count = epoll_wait(clients->epoll, events, EVENTS, 1);
		for (i = 0; i < count; i++)
			on_event(events[i].data.ptr, events[i].events);
		now_us = clock_monotonic_us();
		if (clients->turn_us &&
		    now_us - clients->turn_us > clients->longest_turn_us)
			clients->longest_turn_us = now_us - clients->turn_us;
		clients->turn_us = now_us;
	}
}

uint32_t play_clients_open(const struct play_clients *clients)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < clients->count; i++)
		count += clients->requests[i].end == PLAY_OPEN;
	return count;
}
