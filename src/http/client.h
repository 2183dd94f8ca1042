#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/error.h"
#include "event/loop.h"
#include "http/server.h"

/**
 * DOC: http client
 *
 * HTTP/1.1 to servers known by number, on the process's own loop; answers are
 * taken apart by a parser library. Connections are kept and used again, the
 * one used last first, so that few stay open; one that the server may be
 * about to close is not used. Nothing is ever sent a second time by itself:
 * whoever asked is told what is known, and decides.
 */

/** enum http_delivery - what is known of a request that was sent. */
enum http_delivery {
	HTTP_NOT_SENT,	  /* no byte of it has left */
	HTTP_MAY_BE_SENT, /* something left, no whole answer came */
	HTTP_ANSWERED,	  /* a whole answer came */
};

/**
 * struct http_request - what to send; all of it is copied
 * @url: "http://IP:PORT" and, without @target, path and query
 * @target: path and query sent as they are; may be NULL
 * @headers: Host is added where it is missing
 * @new_connection: use a new connection and do not keep it
 * @idle_max_ms: use no connection that has been idle for longer; 0 for the
 *	usual bound. A server that closes a kept connection just as a request
 *	is sent leaves it unknown whether the request ran
 * @connected_fd: with @new_connection, a connection to @url's server that
 *	nothing was sent on, owned by the client from now on; 0 for none
 * @timeout_ms: for the whole exchange; 0 for none
 * @echo_header: a field that the answer repeats from the request; an answer in
 *	which it has another value is left over from an earlier request on the
 *	connection, and is skipped; NULL if there is none
 */
struct http_request {
	const char *method;
	const char *url;
	const char *target;
	const struct http_header *headers;
	size_t header_count;
	const void *body;
	size_t body_size;
	int64_t connect_timeout_ms;
	int64_t timeout_ms;
	size_t max_answer_bytes;
	bool new_connection;
	int64_t idle_max_ms;
	int connected_fd;
	const char *echo_header;
};

/**
 * struct http_answer - how it ended; valid during the callback only
 * @delimited: the answer told its own length, so that a truncated one would
 *	have been noticed
 * @reused: it came, or should have come, on a connection used before
 * @err: why there is no whole answer
 */
struct http_answer {
	enum http_delivery delivery;
	unsigned int status;
	const struct http_header *headers;
	size_t header_count;
	const uint8_t *body;
	size_t body_size;
	bool delimited;
	bool timed_out;
	bool reused;
	const struct error *err;
};

/** http_answer_header() - value of a field, or NULL; any case. */
const char *http_answer_header(const struct http_answer *answer,
			       const char *name);

typedef void http_answer_fn(const struct http_answer *answer, void *data);

struct http_transfer;
struct client_conn;

/**
 * struct http_client - all outgoing requests of a process
 * @idle: kept connections, the one used last first
 * @opened_connections: connections made so far
 */
struct http_client {
	struct loop *loop;
	struct http_transfer *transfers;
	uint32_t transfer_count;
	struct client_conn *idle;
	struct timer idle_timer;
	uint64_t opened_connections;
};

bool http_client_init(struct http_client *client, struct loop *loop,
		      struct error *err);

/** http_client_finish() - drop all transfers without calling back. */
void http_client_finish(struct http_client *client);

/**
 * http_client_send() - begin a request
 *
 * Return: a handle for http_client_cancel(), valid until @done is called.
 * @done is never called from within this function.
 */
struct http_transfer *http_client_send(struct http_client *client,
				       const struct http_request *request,
				       http_answer_fn *done, void *data);

/** http_client_was_sent() - whether a byte of the request has left. */
bool http_client_was_sent(const struct http_transfer *transfer);

/** http_client_cancel() - close its connection; @done is not called. */
void http_client_cancel(struct http_transfer *transfer);

#endif
