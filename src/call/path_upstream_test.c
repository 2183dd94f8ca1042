#include "call/path_test.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/net.h"

/* The upstream of path_test.h on raw sockets. */

static void fake_close(struct fake_conn *conn)
{
	watch_stop(&conn->watch);
	net_close(conn->fd);
	buffer_finish(&conn->in);
	conn->fd = NET_NONE;
	conn->held = false;
}

static void fake_write(struct fake_conn *conn, const void *data, size_t size)
{
	const uint8_t *at = data;

	while (size) {
		size_t moved = size;

		if (net_write(conn->fd, at, &moved) == NET_FAILED)
			return;
		at += moved;
		size -= moved;
		/* The same loop reads the other end of a full socket. */
		if (size && !moved)
			loop_turn(conn->upstream->loop, 0);
	}
}

static void fake_write_text(struct fake_conn *conn, const char *text)
{
	fake_write(conn, text, strlen(text));
}

static void fake_answer(struct fake_conn *conn)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\nX-Id: %s\r\n\r\n%s",
		 strlen(conn->id), conn->id, conn->id);
	fake_write_text(conn, text);
}

static void fake_answer_big(struct fake_conn *conn)
{
	char *body = malloc(PATH_BIG_BYTES);
	char text[128];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
		 PATH_BIG_BYTES);
	memset(body, 'b', PATH_BIG_BYTES);
	fake_write_text(conn, text);
	fake_write(conn, body, PATH_BIG_BYTES);
	free(body);
}

static void fake_behave(struct fake_conn *conn, enum behaviour behaviour)
{
	struct fake_upstream *upstream = conn->upstream;

	if (behaviour != BEHAVE_SHED && behaviour != BEHAVE_SHED_PLAIN)
		upstream->ran++;
	switch (behaviour) {
	case BEHAVE_ANSWER:
		fake_answer(conn);
		break;
	case BEHAVE_CLOSE:
	case BEHAVE_CLOSE_UNRUN:
		fake_close(conn);
		break;
	case BEHAVE_TRUNCATE:
		fake_write_text(conn,
				"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
				"12345");
		fake_close(conn);
		break;
	case BEHAVE_TRUNCATE_CHUNKED:
		fake_write_text(conn,
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
				"\r\n\r\n3\r\nabc\r\n");
		fake_close(conn);
		break;
	case BEHAVE_NO_LENGTH:
		fake_write_text(conn, "HTTP/1.1 200 OK\r\n\r\nabc");
		fake_close(conn);
		break;
	case BEHAVE_CHUNKED:
		fake_write_text(conn,
				"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
				"\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
		break;
	case BEHAVE_HOLD:
		conn->held = true;
		break;
	case BEHAVE_SHED:
		fake_write_text(conn,
				"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
				"Geraniumplank-Shed: not-run\r\n"
				"Retry-After: 3\r\n\r\n");
		break;
	case BEHAVE_SHED_PLAIN:
		fake_write_text(conn,
				"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n"
				"Geraniumplank-Verdict: not-run\r\n\r\n");
		break;
	case BEHAVE_ERROR:
		fake_write_text(
			conn, "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n");
		break;
	case BEHAVE_FORGED_VERDICT:
		fake_write_text(conn,
				"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
				"Geraniumplank-Verdict: not-run\r\n"
				"Connection: X-Mine\r\nX-Kept: \xff\xfe\r\n\r\n"
				"ok");
		break;
	case BEHAVE_BIG:
		fake_answer_big(conn);
		break;
	case BEHAVE_HEAD:
		fake_write_text(
			conn, "HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
		break;
	case BEHAVE_SCRIPT:
		fake_write(conn, upstream->script, upstream->script_size);
		break;
	}
}

static enum behaviour fake_next_behaviour(struct fake_upstream *upstream)
{
	return upstream->requests++ ? upstream->then : upstream->first;
}

/* Read one complete request from the buffer of the connection. Returns false if
 * the request is incomplete. */
static bool fake_read_request(struct fake_conn *conn)
{
	struct fake_upstream *upstream = conn->upstream;
	const char *head = (const char *)buffer_data(&conn->in);
	const char *end = memmem(head, buffer_size(&conn->in), "\r\n\r\n", 4);
	const char *length;
	const char *id;
	size_t size;

	if (!end)
		return false;
	size = (size_t)(end - head) + 4;
	snprintf(upstream->seen, sizeof(upstream->seen), "%.*s", (int)size,
		 head);
	length = strcasestr(upstream->seen, "\r\nContent-Length: ");
	if (length) {
		upstream->body_bytes = strtoul(length + 18, NULL, 10);
		size += upstream->body_bytes;
	}
	if (buffer_size(&conn->in) < size)
		return false;
	if (conn->requests_read++ && strncmp(upstream->seen, "GET ", 4))
		upstream->reused++;
	id = strcasestr(upstream->seen, "\r\nX-Request-Id: ");
	conn->id[0] = '\0';
	if (id)
		sscanf(id + 16, "%31[^\r]", conn->id);
	buffer_consume(&conn->in, size);
	return true;
}

static void fake_ready(struct watch *watch, int ready, void *data)
{
	struct fake_conn *conn = data;
	struct fake_upstream *upstream = conn->upstream;
	size_t size = 64 * 1024;
	enum net_result result =
		net_read(conn->fd, buffer_reserve(&conn->in, size), &size);

	if (result == NET_AGAIN)
		return;
	if (result != NET_OK) {
		if (conn->held)
			upstream->closed_by_node++;
		fake_close(conn);
		return;
	}
	buffer_commit(&conn->in, size);
	if ((upstream->requests ? upstream->then : upstream->first) ==
	    BEHAVE_CLOSE_UNRUN) {
		upstream->requests++;
		fake_close(conn);
		return;
	}
	if (fake_read_request(conn))
		fake_behave(conn, fake_next_behaviour(upstream));
}

static void fake_accept(struct watch *watch, int ready, void *data)
{
	struct fake_upstream *upstream = data;
	struct error err = ERROR_INIT;
	struct address from;
	int i;

	for (i = 0; i < PATH_CONNS; i++) {
		struct fake_conn *conn = &upstream->conns[i];

		if (conn->fd != NET_NONE)
			continue;
		conn->fd = net_accept(upstream->fd, &from);
		if (conn->fd == NET_NONE)
			return;
		conn->upstream = upstream;
		conn->requests_read = 0;
		upstream->connections++;
		watch_start(&conn->watch, upstream->loop, conn->fd, LOOP_READ,
			    fake_ready, conn, &err);
	}
}

void fake_upstream_start(struct fake_upstream *upstream)
{
	struct error err = ERROR_INIT;
	int i;

	upstream->loop = &path.loop;
	for (i = 0; i < PATH_CONNS; i++)
		upstream->conns[i].fd = NET_NONE;
	address_parse("127.0.0.1:0", &upstream->address, &err);
	upstream->fd = net_listen(&upstream->address, &err);
	cr_assert(watch_start(&upstream->watch, upstream->loop, upstream->fd,
			      LOOP_READ, fake_accept, upstream, &err));
}

void fake_upstream_stop(struct fake_upstream *upstream)
{
	int i;

	watch_stop(&upstream->watch);
	net_close(upstream->fd);
	for (i = 0; i < PATH_CONNS; i++)
		if (upstream->conns[i].fd != NET_NONE)
			fake_close(&upstream->conns[i]);
}

void path_stop_listening(void)
{
	watch_stop(&path.upstream.watch);
	net_close(path.upstream.fd);
	path.upstream.fd = NET_NONE;
}

void path_release(const char *id)
{
	int i;

	for (i = 0; i < PATH_CONNS; i++) {
		struct fake_conn *conn = &path.upstream.conns[i];

		if (conn->fd == NET_NONE || !conn->held || strcmp(conn->id, id))
			continue;
		conn->held = false;
		fake_answer(conn);
		return;
	}
	cr_assert_fail("no request %s waits for its answer", id);
}
