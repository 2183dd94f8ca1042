#ifndef HTTP_SERVER_H
#define HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/buffer.h"
#include "base/error.h"
#include "event/loop.h"
#include "http/head.h"
#include "os/delivery.h"

/**
 * DOC: http server
 *
 * HTTP/1.1 server on the event loop of the process; messages are parsed by
 * http_parser. The handler is called once the body of a request is complete
 * and may answer at any later time. Pipelined requests of one connection are
 * processed concurrently and answered in the order of the requests.
 *
 * A request that states its length in two ways, or twice, is refused and its
 * connection closed, to prevent request smuggling: this process and the
 * upstream could disagree about the end of the body, and the upstream would
 * run a part of the body as another request.
 */

struct http_conn;
struct http_server;
struct http_exchange;

/**
 * typedef http_handler_fn - handles a complete request
 *
 * Called from the deferred queue of the loop. The handler must make sure that
 * http_exchange_reply() is called, during the call or later.
 */
typedef void http_handler_fn(struct http_exchange *exchange, void *data);

/**
 * typedef http_abort_fn - called if the connection ends before the answer
 *
 * The exchange must not be used after this function returns.
 */
typedef void http_abort_fn(struct http_exchange *exchange, void *data);

/**
 * typedef http_turn_fn - called when the turn of an answer has come
 * @sent: false if the connection ended before
 */
typedef void http_turn_fn(bool sent, void *data);

/**
 * struct http_server_options - options of a server
 * @address: address to listen on; the kernel chooses the port if it is 0
 * @max_head_bytes: maximum size of the head of a request; 0 for the default
 * @head_timeout_ms: maximum time from the first byte of a head to its end, in
 *	milliseconds; 0 for the default
 * @max_body_bytes: maximum size of the body of a request
 * @held_bytes_max: maximum total size of the request bodies and the unsent
 *	answers in memory; request bodies that exceed the maximum are refused;
 *	0 for no limit
 * @max_connections: maximum number of open connections; further connections
 *	are closed at once
 * @idle_timeout_ms: maximum time without a request in progress, or without
 *	progress in reading a body or writing answers, in milliseconds
 * @id_field: header field with the ID of a request, for log lines; NULL for
 *	none
 * @handler: called for each complete request
 * @data: passed to @handler
 */
struct http_server_options {
	struct address address;
	size_t max_head_bytes;
	int64_t head_timeout_ms;
	size_t max_body_bytes;
	size_t held_bytes_max;
	uint32_t max_connections;
	int64_t idle_timeout_ms;
	const char *id_field;
	http_handler_fn *handler;
	void *data;
};

/**
 * struct http_server - a server on one listening address
 * @address: address of the listening socket, with the actual port
 * @fd: listening socket, or NET_NONE
 * @conns: list of the open connections
 * @exchange_count: number of requests whose answer is not fully written
 * @held_bytes: total size of the request bodies and the unsent answers
 * @keep_alive_disabled: whether connections are closed after the next answer
 * @stopping: whether abort callbacks are no longer called
 */
struct http_server {
	struct loop *loop;
	struct http_server_options options;
	struct address address;
	int fd;
	struct watch watch;
	struct http_conn *conns;
	uint32_t conn_count;
	uint32_t exchange_count;
	size_t held_bytes;
	bool keep_alive_disabled;
	bool stopping;
};

/** struct http_server_limits - limits as in struct http_server_options. */
struct http_server_limits {
	size_t max_head_bytes;
	size_t max_body_bytes;
	int64_t head_timeout_ms;
	int64_t idle_timeout_ms;
};

bool http_server_init(struct http_server *server, struct loop *loop,
		      const struct http_server_options *options,
		      struct error *err);

/** http_server_set_limits() - replaces the limits of a running server. */
void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);

/**
 * http_server_stop_accepting() - closes the listening socket
 *
 * Accepts the connections in the backlog of the socket first. All open
 * connections are still served.
 */
void http_server_stop_accepting(struct http_server *server);

/**
 * http_server_disable_keep_alive() - closes connections after the next answer
 *
 * A caller that reused a connection while the server exits could not know
 * whether the server had read the request.
 */
void http_server_disable_keep_alive(struct http_server *server);

/**
 * http_server_delivery() - whether callers still receive what was written to
 *	their connections
 *
 * Return: the most urgent state of all connections.
 */
enum delivery_state http_server_delivery(struct http_server *server);

/** http_server_finish() - closes all connections; calls no abort callback. */
void http_server_finish(struct http_server *server);

/** http_server_address() - returns the listening address, with the port. */
const struct address *http_server_address(const struct http_server *server);

/** http_exchange_method() - returns the method in upper case. */
const char *http_exchange_method(const struct http_exchange *exchange);

/** http_exchange_path() - returns the percent-decoded path, without query. */
const char *http_exchange_path(const struct http_exchange *exchange);

/** http_exchange_target() - returns path and query as received. */
const char *http_exchange_target(const struct http_exchange *exchange);

/**
 * http_exchange_query() - returns the decoded value of a query argument
 *
 * Return: a string owned by the exchange; NULL if the argument is missing or
 * CONN_ARGUMENTS_MAX values have been returned for this exchange.
 */
const char *http_exchange_query(const struct http_exchange *exchange,
				const char *name);

/**
 * http_exchange_header() - returns the first value of a header field
 *
 * The case of @name is ignored.
 *
 * Return: NULL if the field is missing.
 */
const char *http_exchange_header(const struct http_exchange *exchange,
				 const char *name);

/** http_exchange_each_header() - calls @visit for each field in order. */
void http_exchange_each_header(const struct http_exchange *exchange,
			       void (*visit)(const char *name,
					     const char *value, void *data),
			       void *data);

const uint8_t *http_exchange_body(const struct http_exchange *exchange,
				  size_t *size);

/**
 * http_exchange_caller_address() - gets the IP address of the caller
 * @caller_address: set to the remote address of the connection, with port 0
 */
void http_exchange_caller_address(const struct http_exchange *exchange,
				  struct address *caller_address);

/**
 * http_exchange_started_us() - returns the start time of the request
 *
 * Return: monotonic time at which parsing of the request started, in
 * microseconds.
 */
int64_t http_exchange_started_us(const struct http_exchange *exchange);

/** http_exchange_on_abort() - sets the callback for a lost connection. */
void http_exchange_on_abort(struct http_exchange *exchange,
			    http_abort_fn *on_abort, void *data);

/** http_exchange_is_first() - whether it is the first of its connection. */
bool http_exchange_is_first(const struct http_exchange *exchange);

/**
 * http_exchange_ahead() - returns a request that delays an answer
 * @after: the request returned before; NULL for the first
 *
 * Return: the next unanswered request that the caller sent before @exchange on
 * the same connection; NULL if there is none.
 */
struct http_exchange *http_exchange_ahead(const struct http_exchange *exchange,
					  const struct http_exchange *after);

/**
 * http_exchange_on_turn() - sets the callback for the turn of the answer
 *
 * Called once: when the answer is passed to the connection because all earlier
 * requests of the connection are answered, or when the connection ends before.
 * It is set before http_exchange_reply().
 */
void http_exchange_on_turn(struct http_exchange *exchange,
			   http_turn_fn *on_turn, void *data);

/**
 * http_exchange_reply() - sends the answer
 * @headers: header fields, which are copied; hop-by-hop fields are omitted,
 *	and Content-Length is used only for HEAD, where the answer has no body
 * @body: body of the answer, which is copied; omitted for HEAD
 * @size: size of @body in bytes
 *
 * The exchange must not be used afterwards.
 */
void http_exchange_reply(struct http_exchange *exchange, unsigned int status,
			 const struct http_header *headers, size_t header_count,
			 const void *body, size_t size);

/**
 * http_exchange_reply_truncated() - sends a part of an answer, then closes
 * @size: size of the complete body in bytes, as stated in Content-Length
 * @sent: number of bytes of @body that are sent; less than @size
 *
 * Used by test servers.
 */
void http_exchange_reply_truncated(struct http_exchange *exchange,
				   unsigned int status, const void *body,
				   size_t size, size_t sent);

/** http_exchange_close() - closes the connection without an answer. */
void http_exchange_close(struct http_exchange *exchange);

/** http_header_is_hop_by_hop() - checks for a field of a single connection. */
bool http_header_is_hop_by_hop(const char *name);

#endif
