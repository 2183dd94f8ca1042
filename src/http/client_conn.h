#ifndef HTTP_CLIENT_CONN_H
#define HTTP_CLIENT_CONN_H

#include <http_parser.h>

#include "http/answer_meter.h"
#include "http/carried.h"
#include "http/client.h"

/**
 * DOC: client connection
 *
 * Connection of the client and its transfer. Private to the client.
 */

enum client_conn_state {
	CLIENT_CONNECTING,
	CLIENT_BUSY, /* connected, with a transfer */
	CLIENT_IDLE, /* in the list of idle connections */
};

/**
 * struct client_conn - one connection
 * @number: number of the connection within its client, from 1
 * @carried: requests of its transfers, as far as answers repeat an ID
 * @transfer: current transfer; NULL while the connection is idle
 * @idle_us: start of the idle time, in microseconds of the loop time
 * @keep_alive_us: maximum idle time in microseconds
 */
struct client_conn {
	struct http_client *client;
	struct client_conn *next;
	struct client_conn *prev;
	uint64_t number;
	struct carried carried;
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
 * @conn: connection of the transfer, or NULL
 * @connected_fd: connection passed by the user of the client, not used yet; 0
 *	for none
 * @head_only: whether the answer has no body because the method is HEAD
 * @needs_new_connection: whether idle connections must not be used
 * @idle_max_us: maximum idle time of a connection to reuse, in microseconds; 0
 *	for the limit of the connection alone
 * @out: bytes of the request that are not written yet
 * @written: whether any byte of the request was written
 * @write_failed: whether writing failed; the answer is still read
 * @reused: whether @conn was used by an earlier transfer
 * @connection: number of the last @conn; 0 if there was none
 * @echo_header: name of the field that the answer repeats, or NULL
 * @echo_value: value of @echo_header in the request
 * @meter: bounds of the answer
 * @in_head: whether the head of an answer is being parsed
 * @skipping: whether the present answer is skipped
 * @unnamed: whether the present answer does not name its request though its
 *	connection has carried others
 * @bad_status: whether the present answer has a status that is none
 * @head_deadline_us: monotonic time limit for the rest of a head that came in
 *	part, in microseconds; 0 for none
 * @complete: whether the answer is complete
 * @delimited: whether the answer states its length
 * @keep_alive: whether the server allows reuse of the connection
 * @connect_deadline_us: monotonic time limit for connecting, in microseconds; 0
 *	for none
 * @exchange_deadline_us: monotonic time limit for the whole exchange, in
 *	microseconds; 0 for none
 * @start: deferred call that obtains a connection, and once more to send the
 *	request when a new connection is established
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
	uint64_t connection;
	char *echo_header;
	char *echo_value;
	struct http_head head;
	struct buffer body;
	struct answer_meter meter;
	bool in_head;
	bool skipping;
	bool unnamed;
	bool bad_status;
	int64_t head_deadline_us;
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

/** client_conn_open() - opens a connection for @transfer; NULL on failure. */
struct client_conn *client_conn_open(struct http_transfer *transfer,
				     struct error *err);

/**
 * client_conn_adopt() - uses a connected socket for @transfer
 *
 * Takes ownership of @fd.
 *
 * Return: NULL on failure.
 */
struct client_conn *client_conn_adopt(struct http_transfer *transfer, int fd);

/** client_conn_start() - begins to send the request on a new connection. */
void client_conn_start(struct client_conn *conn);

/** client_conn_reuse() - uses an idle connection; NULL if none is suitable. */
struct client_conn *client_conn_reuse(struct http_transfer *transfer);

/** client_conn_free() - closes a connection; its transfer has none then. */
void client_conn_free(struct client_conn *conn);

/** client_idle_expired() - a timer_fn; closes expired idle connections. */
void client_idle_expired(struct timer *timer, void *data);

/** client_conn_head_expired() - ends a transfer whose head took too long. */
void client_conn_head_expired(struct client_conn *conn);

/** transfer_set_timer() - sets the timer to the next time limit. */
void transfer_set_timer(struct http_transfer *transfer);

/** transfer_end() - calls @done with the result and frees the transfer. */
void transfer_end(struct http_transfer *transfer, enum error_code code,
		  const char *text);

#endif
