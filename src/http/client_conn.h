#ifndef HTTP_CLIENT_CONN_H
#define HTTP_CLIENT_CONN_H

#include <http_parser.h>

#include "http/client.h"

/**
 * DOC: client connection
 *
 * One connection of the client and the transfer on it. Private to the client.
 */

enum client_conn_state {
	CLIENT_CONNECTING,
	CLIENT_BUSY,
	CLIENT_IDLE,
};

/**
 * struct client_conn - one connection
 * @transfer: on it at present, NULL while idle
 * @idle_us: since when it is idle
 * @keep_alive_us: how long it may stay so
 */
struct client_conn {
	struct http_client *client;
	struct client_conn *next;
	struct client_conn *prev;
	enum client_conn_state state;
	struct address server_address;
	int fd;
	struct watch watch;
	http_parser parser;
	struct http_transfer *transfer;
	int64_t idle_us;
	int64_t keep_alive_us;
};

/**
 * struct http_transfer - one request and its answer
 * @out: of the request, what has not been written yet
 * @written: any byte of it has left
 * @reused: on a connection that was used before
 * @answering: bytes of an answer have come
 * @complete: the answer is whole
 * @over: what failed, before @done is called
 * @start: a connection is taken or made from the loop
 */
struct http_transfer {
	struct http_client *client;
	struct http_transfer *next;
	struct http_transfer *prev;
	struct client_conn *conn;
	struct address server_address;
	int connected_fd;
	bool head_only;
	bool needs_new_connection;
	int64_t idle_max_us;
	struct buffer out;
	bool written;
	bool write_failed;
	bool reused;
	char *echo_header;
	char *echo_value;
	struct http_head head;
	struct buffer body;
	size_t max_answer_bytes;
	bool too_large;
	bool complete;
	bool delimited;
	bool keep_alive;
	unsigned int status;
	int64_t connect_deadline_us;
	int64_t exchange_deadline_us;
	struct timer timer;
	struct deferred start;
	http_answer_fn *done;
	void *data;
};

/** client_conn_open() - a new connection for @transfer; NULL if that fails. */
struct client_conn *client_conn_open(struct http_transfer *transfer,
				     struct error *err);

/** client_conn_adopt() - use a descriptor that is connected already. */
struct client_conn *client_conn_adopt(struct http_transfer *transfer, int fd);

/** client_conn_reuse() - a kept connection for @transfer, or NULL. */
struct client_conn *client_conn_reuse(struct http_transfer *transfer);

/** client_conn_free() - close it; its transfer is left without one. */
void client_conn_free(struct client_conn *conn);

/** client_idle_expired() - a timer_fn: close what was idle for too long. */
void client_idle_expired(struct timer *timer, void *data);

/** transfer_end() - the exchange is over: tell and forget the transfer. */
void transfer_end(struct http_transfer *transfer, enum error_code code,
		  const char *text);

#endif
