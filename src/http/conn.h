#ifndef HTTP_CONN_H
#define HTTP_CONN_H

#include <http_parser.h>

#include "http/server.h"

/**
 * DOC: conn
 *
 * One connection of a caller and the exchanges on it. Private to the server.
 */

enum {
	/* Requests behind one another that are worked on at once; those that
	 * follow stay unread. */
	CONN_PIPELINE_MAX = 32,
	CONN_ARGUMENTS_MAX = 8,
};

enum exchange_state {
	EXCHANGE_READING,
	EXCHANGE_QUEUED,  /* the handler is about to be called */
	EXCHANGE_PENDING, /* the handler has it */
	EXCHANGE_REPLIED, /* waits for the answers before it */
	EXCHANGE_SENDING, /* its answer lies in the connection's buffer */
};

/**
 * struct http_exchange - one request and its answer
 * @chunked: its body came without a length
 * @close_after_reply: the connection ends with this answer
 * @truncated: the connection breaks off after what @reply holds
 * @refused: answered by the server itself; its body is not kept
 * @reply: head without its end, and from @head_size on the body
 * @output_end: place in the connection's output after its answer
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
	struct deferred call_handler;
};

enum conn_state {
	CONN_OPEN,
	CONN_CLOSING,	/* reads no more requests; answers what there is */
	CONN_LINGERING, /* all is said; drops what still comes */
};

/**
 * struct http_conn - one connection
 * @in: read, but not taken apart yet, because the pipeline is full
 * @current_exchange: the exchange whose message is being parsed, or NULL
 * @exchanges: in the order of their requests, @current_exchange included
 * @queued_bytes: bytes put into @out so far; @written_bytes likewise
 * @wait_start_us: what the present wait counts from
 * @timer: earliest moment at which the wait may be over
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
	bool in_head;
	bool read_paused;
	struct buffer out;
	uint64_t queued_bytes;
	uint64_t written_bytes;
	int64_t wait_start_us;
};

/** conn_new() - take over an accepted descriptor. */
void conn_new(struct http_server *server, int fd,
	      const struct address *caller_address);

/** conn_free() - close at once; exchanges in progress are aborted. */
void conn_free(struct http_conn *conn);

/** conn_send_replies() - an exchange has its answer; send what can be sent. */
void conn_send_replies(struct http_conn *conn);

/** exchange_new() - a request begins on @conn. */
struct http_exchange *exchange_new(struct http_conn *conn);

void exchange_free(struct http_exchange *exchange);

/** exchange_add_held_bytes() - account for body bytes held for an exchange. */
void exchange_add_held_bytes(struct http_exchange *exchange, size_t size);

/**
 * exchange_refuse() - the server answers itself and ends the connection
 * @reason: stable name, for the caller
 */
void exchange_refuse(struct http_exchange *exchange, unsigned int status,
		     const char *reason);

#endif
