#ifndef HTTP_CONN_H
#define HTTP_CONN_H

#include <http_parser.h>

#include "http/server.h"

/**
 * DOC: conn
 *
 * Connection of a caller and its exchanges. Private to the server.
 */

enum {
	/* Maximum number of requests in progress on one connection; later
	 * requests are not parsed. */
	CONN_PIPELINE_MAX = 32,
	CONN_ARGUMENTS_MAX = 8,
};

enum exchange_state {
	EXCHANGE_READING, /* the request is not complete */
	EXCHANGE_QUEUED,  /* the call of the handler is deferred */
	EXCHANGE_PENDING, /* the handler has been called */
	EXCHANGE_REPLIED, /* waits for earlier answers */
	EXCHANGE_SENDING, /* the answer is in the output buffer */
};

/**
 * struct http_exchange - one request and its answer
 * @target: path and query as received, terminated by NUL once the head is
 *	complete
 * @path: percent-decoded path
 * @arguments: query values returned by http_exchange_query()
 * @is_first: whether the request is the first one of its connection
 * @keep_alive: whether the caller allows reuse of the connection
 * @close_after_reply: whether the connection ends after this answer
 * @truncated: whether @reply is incomplete and the connection is closed
 *	right after it
 * @refused: whether the server itself answered the request
 * @reply: head without the final empty line, followed by the body
 * @head_size: size of the head in @reply, in bytes
 * @output_end: position of the end of the answer in the output of the
 *	connection, as in @queued_bytes of struct http_conn
 * @held_bytes: bytes of this exchange that @held_bytes of the server includes
 * @started_us: monotonic time of the start of parsing, in microseconds
 * @on_abort: called if the connection ends before the answer, or NULL
 * @on_abort_data: passed to @on_abort
 * @on_turn: called when the turn of the answer has come, or NULL
 * @on_turn_data: passed to @on_turn
 * @call_handler: deferred call of the handler
 */
struct http_exchange {
	struct http_server *server;
	struct http_conn *conn;
	struct http_exchange *next;
	struct http_exchange *prev;
	enum exchange_state state;
	char method[24];
	struct buffer target;
	char *path;
	char *arguments[CONN_ARGUMENTS_MAX];
	uint32_t argument_count;
	struct http_head head;
	struct buffer body;
	bool is_first;
	bool keep_alive;
	bool close_after_reply;
	bool truncated;
	bool refused;
	struct buffer reply;
	size_t head_size;
	uint64_t output_end;
	size_t held_bytes;
	int64_t started_us;
	http_abort_fn *on_abort;
	void *on_abort_data;
	http_turn_fn *on_turn;
	void *on_turn_data;
	struct deferred call_handler;
};

enum conn_state {
	CONN_OPEN,
	CONN_CLOSING,	/* reads no more requests, sends pending answers */
	CONN_LINGERING, /* all answers are sent; discards input */
};

/**
 * struct http_conn - one connection
 * @caller_address: remote address of the connection
 * @timer: expires at the end of the current wait or earlier
 * @flush: deferred writing of @out
 * @resume: deferred parsing of @in
 * @in: input that is not parsed yet
 * @current_exchange: exchange whose request is being parsed, or NULL
 * @exchanges: list in the order of the requests, @current_exchange included
 * @request_count: number of requests begun since the connection was opened
 * @in_head: whether the head of @current_exchange is being parsed
 * @read_paused: whether reading is paused because the pipeline is full and much
 *	input waits behind it
 * @out: output that is not written yet
 * @queued_bytes: total number of bytes appended to @out
 * @written_bytes: total number of bytes written to the socket
 * @delivery: whether the caller still receives its answers
 * @wait_start_us: start of the current wait, in microseconds of the loop time
 */
struct http_conn {
	struct http_server *server;
	struct http_conn *next;
	struct http_conn *prev;
	enum conn_state state;
	int fd;
	struct address caller_address;
	struct watch watch;
	struct timer timer;
	struct deferred flush;
	struct deferred resume;
	http_parser parser;
	struct buffer in;
	struct http_exchange *current_exchange;
	struct http_exchange *exchanges;
	uint32_t exchange_count;
	uint64_t request_count;
	bool in_head;
	bool read_paused;
	struct buffer out;
	uint64_t queued_bytes;
	uint64_t written_bytes;
	struct delivery delivery;
	int64_t wait_start_us;
};

/** conn_new() - creates a connection; takes ownership of @fd. */
void conn_new(struct http_server *server, int fd,
	      const struct address *caller_address);

/** conn_delivery() - whether the caller still receives what was written. */
enum delivery_state conn_delivery(struct http_conn *conn);

/** conn_free() - closes the connection and aborts its exchanges. */
void conn_free(struct http_conn *conn);

/** conn_send_replies() - sends all answers whose turn has come. */
void conn_send_replies(struct http_conn *conn);

/** exchange_new() - adds an exchange for a new request on @conn. */
struct http_exchange *exchange_new(struct http_conn *conn);

void exchange_free(struct http_exchange *exchange);

/** exchange_notify_turn() - calls the callback for the turn, if one is set. */
void exchange_notify_turn(struct http_exchange *exchange, bool sent);

/** exchange_add_held_bytes() - accounts for bytes held for an exchange. */
void exchange_add_held_bytes(struct http_exchange *exchange, size_t size);

/**
 * exchange_refuse() - answers with an error and ends the connection
 * @reason: stable name of the reason, sent to the caller
 */
void exchange_refuse(struct http_exchange *exchange, unsigned int status,
		     const char *reason);

#endif
