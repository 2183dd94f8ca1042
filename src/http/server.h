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

/**
 * DOC: http server
 *
 * HTTP/1.1 on the process's own loop; messages are taken apart by a parser
 * library. A request is handed over once its body is whole; the answer may be
 * given at any later time. Requests that come behind one another on one
 * connection are worked on at the same time and answered in their order.
 *
 * A request whose length is told in two ways, or twice, is refused and its
 * connection closed: this process and the upstream could disagree about where
 * it ends, and what one takes for its body the other would run as a request.
 */

struct http_conn;
struct http_server;
struct http_exchange;

/**
 * typedef http_handler_fn - a whole request has come
 *
 * Called from the loop's deferred queue. The handler must see to it that
 * http_exchange_reply() is called, now or later.
 */
typedef void http_handler_fn(struct http_exchange *exchange, void *data);

/**
 * typedef http_abort_fn - the caller hung up before the answer
 *
 * The exchange must not be used after this returns.
 */
typedef void http_abort_fn(struct http_exchange *exchange, void *data);

/**
 * struct http_server_options - how to serve
 * @address: port 0 takes one from the kernel
 * @max_head_bytes: of the head of one request; 0 for the default
 * @head_timeout_ms: from the first byte of a head to its end; 0 likewise
 * @idle_timeout_ms: without a request in progress, or without a byte of a
 *	body that is coming
 * @max_body_bytes: of one request
 * @held_bytes_max: of all bodies held at once, those of answers that callers
 *	have not read yet included; past it bodies of requests are refused;
 *	0 for no bound
 */
struct http_server_options {
	struct address address;
	size_t max_head_bytes;
	int64_t head_timeout_ms;
	size_t max_body_bytes;
	size_t held_bytes_max;
	uint32_t max_connections;
	int64_t idle_timeout_ms;
	http_handler_fn *handler;
	void *data;
};

/**
 * struct http_server - one listening address
 * @exchange_count: requests whose answer has not left yet
 * @held_bytes: of bodies, both ways
 * @keep_alive_disabled: each answer ends its connection
 * @stopping: nobody is told of aborted exchanges any more
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

/** struct http_server_limits - see struct http_server_options. */
struct http_server_limits {
	size_t max_head_bytes;
	size_t max_body_bytes;
	int64_t head_timeout_ms;
	int64_t idle_timeout_ms;
};

bool http_server_init(struct http_server *server, struct loop *loop,
		      const struct http_server_options *options,
		      struct error *err);

/** http_server_set_limits() - for requests that begin from now on; 0 as in
 * struct http_server_options. */
void http_server_set_limits(struct http_server *server,
			    const struct http_server_limits *limits);

/**
 * http_server_stop_accepting() - take no more connections, serve those there are
 *
 * Connections that the kernel has accepted already are taken first.
 */
void http_server_stop_accepting(struct http_server *server);

/**
 * http_server_disable_keep_alive() - end each connection with its next answer
 *
 * A caller that keeps a connection would send its next request on it just as
 * the server goes, and could not tell whether it was read.
 */
void http_server_disable_keep_alive(struct http_server *server);

/** http_server_finish() - cut what is still open, without a word to anybody. */
void http_server_finish(struct http_server *server);

/** http_server_address() - where it listens, the real port included. */
const struct address *http_server_address(const struct http_server *server);

/** http_exchange_method() - upper case as the caller wrote it. */
const char *http_exchange_method(const struct http_exchange *exchange);

/** http_exchange_path() - without the query, percent-decoded. */
const char *http_exchange_path(const struct http_exchange *exchange);

/** http_exchange_target() - path and query as the caller wrote them. */
const char *http_exchange_target(const struct http_exchange *exchange);

/** http_exchange_query() - value of an argument, or NULL. */
const char *http_exchange_query(const struct http_exchange *exchange,
				const char *name);

/** http_exchange_header() - value of a field, or NULL; any case. */
const char *http_exchange_header(const struct http_exchange *exchange,
				 const char *name);

/** http_exchange_each_header() - visit all fields in their order. */
void http_exchange_each_header(const struct http_exchange *exchange,
			       void (*visit)(const char *name,
					     const char *value, void *data),
			       void *data);

const uint8_t *http_exchange_body(const struct http_exchange *exchange,
				  size_t *size);

/** http_exchange_caller_address() - where the caller's connection comes from. */
void http_exchange_caller_address(const struct http_exchange *exchange,
				  struct address *caller_address);

/** http_exchange_started_us() - when the head of the request was read. */
int64_t http_exchange_started_us(const struct http_exchange *exchange);

/** http_exchange_on_abort() - learn of a caller that hangs up. */
void http_exchange_on_abort(struct http_exchange *exchange,
			    http_abort_fn *on_abort, void *data);

/**
 * http_exchange_reply() - answer; the exchange must not be used afterwards
 * @headers: copied; hop-by-hop fields are left out, and Content-Length is
 *	taken only for HEAD, whose answer has no body to count
 * @body: copied
 */
void http_exchange_reply(struct http_exchange *exchange, unsigned int status,
			 const struct http_header *headers, size_t header_count,
			 const void *body, size_t size);

/**
 * http_exchange_reply_truncated() - answer in part, then close; for stand-ins
 * @size: announced for the whole body
 * @sent: bytes of it that are sent
 */
void http_exchange_reply_truncated(struct http_exchange *exchange,
				   unsigned int status, const void *body,
				   size_t size, size_t sent);

/** http_exchange_close() - close the connection without an answer. */
void http_exchange_close(struct http_exchange *exchange);

/** http_header_is_hop_by_hop() - whether a field belongs to one connection
 * only. */
bool http_header_is_hop_by_hop(const char *name);

#endif
