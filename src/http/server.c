#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "http/conn_log.h"
#include "os/net.h"

enum {
	HEAD_MAX_BYTES = 32 * 1024,
	HEAD_TIMEOUT_MS = 30 * 1000,
	ACCEPT_ROUNDS = 64,
};

COUNTER(refused_conns, "http.connections_refused",
	"Connections closed at once because too many were open");

static void accept_one(struct http_server *server, int fd,
		       const struct address *caller_address)
{
	if (server->conn_count < server->options.max_connections) {
		conn_new(server, fd, caller_address);
		return;
	}
	counter_add(&refused_conns, 1);
	net_close(fd);
}

static void accept_all(struct http_server *server, int rounds)
{
	struct address caller_address;
	int fd;

	while (rounds-- &&
	       (fd = net_accept(server->fd, &caller_address)) != NET_NONE)
		accept_one(server, fd, &caller_address);
}

static void listen_ready(struct watch *watch, int ready, void *data)
{
	accept_all(data, ACCEPT_ROUNDS);
}

static void fill_defaults(struct http_server_options *options)
{
	if (!options->max_head_bytes)
		options->max_head_bytes = HEAD_MAX_BYTES;
	if (!options->head_timeout_ms)
		options->head_timeout_ms = HEAD_TIMEOUT_MS;
}

bool http_server_init(struct http_server *server, struct loop *loop,
		      const struct http_server_options *options,
		      struct error *err)
{
	memset(server, 0, sizeof(*server));
	server->options = *options;
	server->address = options->address;
	fill_defaults(&server->options);
	http_parser_set_max_header_size(HTTP_PARSER_MAX_BYTES);
	server->fd = net_listen(&server->address, err);
	if (server->fd == NET_NONE)
		return false;
	server->loop = loop;
	if (watch_start(&server->watch, loop, server->fd, LOOP_READ,
			listen_ready, server, err))
		return true;
	net_close(server->fd);
	server->loop = NULL;
	return false;
}

void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits)
{
	server->options.max_head_bytes = limits->max_head_bytes;
	server->options.max_body_bytes = limits->max_body_bytes;
	server->options.head_timeout_ms = limits->head_timeout_ms;
	server->options.idle_timeout_ms = limits->idle_timeout_ms;
	fill_defaults(&server->options);
	fill_defaults(&server->options);
}

void http_server_stop_accepting(struct http_server *server)
{
	if (server->fd == NET_NONE)
		return;
	accept_all(server, (int)server->options.max_connections);
	watch_stop(&server->watch);
	net_close(server->fd);
	server->fd = NET_NONE;
}

void http_server_disable_keep_alive(struct http_server *server)
{
	server->keep_alive_disabled = true;
}

void http_server_finish(struct http_server *server)
{
	if (!server->loop)
		return;
	server->stopping = true;
	watch_stop(&server->watch);
	net_close(server->fd);
	while (server->conns) {
		conn_log_end(server->conns, CONN_END_STOPPED);
		conn_free(server->conns);
	}
	server->loop = NULL;
}

enum delivery_state http_server_delivery(struct http_server *server)
{
	enum delivery_state most = DELIVERY_COMPLETE;
	struct http_conn *conn;

	DL_FOREACH(server->conns, conn) {
		enum delivery_state state = conn_delivery(conn);

		if (state > most)
			most = state;
	}
	return most;
}

const struct address *http_server_address(const struct http_server *server)
{
	return &server->address;
}
