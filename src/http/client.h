#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "base/error.h"
#include "event/loop.h"
#include "http/answer_meter.h"
#include "http/server.h"

/**
 * DOC: http client
 *
 * HTTP/1.1 client for servers given by IP address, on the event loop of the
 * process; answers are parsed by http_parser. Idle connections are reused, the
 * most recently used connection first, so that few connections stay open. A
 * connection that the server may be about to close is not reused. The client
 * never retries: it reports whether the request may have been delivered, and
 * the user of the client decides.
 */

/** enum http_delivery - what is known about the delivery of a request. */
enum http_delivery {
	HTTP_NOT_SENT,	  /* no byte was written */
	HTTP_MAY_BE_SENT, /* bytes were written, no complete answer */
	HTTP_ANSWERED,	  /* a complete answer was received */
};

/**
 * struct http_request - a request to send; http_client_send() copies it
 * @url: "http://IP:PORT", followed by path and query if @target is NULL
 * @target: path and query, sent without changes; may be NULL
 * @headers: header fields; Host is added if it is missing
 * @body_size: size of @body in bytes
 * @connect_timeout_ms: maximum time to connect, in milliseconds; 0 for no limit
 * @timeout_ms: maximum time for the whole exchange, in milliseconds; 0 for no
 *	limit
 * @max_answer_bytes: maximum size of the body of the answer
 * @total: counts the body of the answer with those of other requests; outlives
 *	the request; NULL for none
 * @new_connection: whether to use a new connection and close it afterwards
 * @idle_max_ms: maximum idle time of a connection to reuse, in milliseconds; 0
 *	for the limit of the connection alone. If the server closes an idle
 *	connection while a request is sent, it is unknown whether the request
 *	ran
 * @connected_fd: with @new_connection, an unused connection to the server of
 *	@url, owned by the client from now on; 0 for none
 * @echo_header: name of a header field that the answer repeats from the
 *	request. An answer with another value of the field belongs to an earlier
 *	request on the connection and is skipped; the request does not use a
 *	connection that has carried a request with the same value. An answer
 *	without the field counts only on a new connection, and a request without
 *	it uses a new one. NULL for no such field
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
	struct answer_total *total;
	bool new_connection;
	int64_t idle_max_ms;
	int connected_fd;
	const char *echo_header;
};

/**
 * struct http_answer - result of a request; valid during the callback only
 * @delivery: what is known about the delivery of the request
 * @status: status code; 0 without a complete answer
 * @delimited: whether the answer states its length, so that a truncated answer
 *	is detected
 * @timed_out: whether @timeout_ms or @connect_timeout_ms of the request passed
 * @reused: whether the request used an idle connection
 * @connection: number of the connection within its client; 0 if there was none
 * @names_request: whether the answer repeats the value of @echo_header
 * @err: reason why there is no complete answer
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
	uint64_t connection;
	bool names_request;
	const struct error *err;
};

/**
 * http_answer_header() - returns the first value of a header field
 *
 * The case of @name is ignored.
 *
 * Return: NULL if the field is missing.
 */
const char *http_answer_header(const struct http_answer *answer,
			       const char *name);

typedef void http_answer_fn(const struct http_answer *answer, void *data);

struct http_transfer;
struct client_conn;

/**
 * struct http_client - outgoing requests and their connections
 * @transfers: list of the requests in progress
 * @idle: list of idle connections, the most recently used first
 * @idle_timer: periodic check for connections that were idle for too long
 * @head_max_ms: maximum time from the first byte of a head to its last one, in
 *	milliseconds
 * @opened_connections: number of connections used so far
 */
struct http_client {
	struct loop *loop;
	struct http_transfer *transfers;
	uint32_t transfer_count;
	struct client_conn *idle;
	struct timer idle_timer;
	int64_t head_max_ms;
	uint64_t opened_connections;
};

bool http_client_init(struct http_client *client, struct loop *loop,
		      struct error *err);

/** http_client_finish() - cancels all requests, closes all connections. */
void http_client_finish(struct http_client *client);

/**
 * http_client_send() - starts a request
 *
 * @done is never called from within this function.
 *
 * Return: a handle for http_client_cancel(), valid until @done has returned.
 */
struct http_transfer *http_client_send(struct http_client *client,
				       const struct http_request *request,
				       http_answer_fn *done, void *data);

/** http_client_was_sent() - checks whether any byte was written. */
bool http_client_was_sent(const struct http_transfer *transfer);

/** http_client_cancel() - ends a request; its @done is not called. */
void http_client_cancel(struct http_transfer *transfer);

#endif
