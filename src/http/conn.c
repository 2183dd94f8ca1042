#include "http/conn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <utlist.h>

#include "base/counter.h"
#include "http/conn_log.h"
#include "http/target.h"
#include "os/clock.h"
#include "os/net.h"

enum {
	READ_ROUNDS = 4,
	LINGER_MS = 1000,
	/* Bytes read behind a full pipeline, so that the end of the connection
	 * is seen unless the caller has sent more. */
	READ_AHEAD_MAX_BYTES = 16 * 1024,
	STATUS_BAD_REQUEST = 400,
	STATUS_TIMEOUT = 408,
	STATUS_TOO_LARGE = 413,
	STATUS_HEAD_TOO_LARGE = 431,
	STATUS_NOT_IMPLEMENTED = 501,
	STATUS_UNAVAILABLE = 503,
};

COUNTER(aborted_count, "http.callers_hung_up",
	"Requests whose caller closed before the answer");
COUNTER(too_large_count, "http.bodies_too_large",
	"Requests refused because their body is larger than the limit");
COUNTER(memory_limit_count, "http.bodies_no_room",
	"Requests refused because this process holds too many bytes of bodies");
COUNTER(malformed_count, "http.requests_malformed",
	"Requests refused because they break the protocol");

static void parse_input(struct http_conn *conn);

static int64_t now(const struct http_conn *conn)
{
	return loop_now_us(conn->server->loop);
}

static struct http_conn *conn_of(http_parser *parser)
{
	return parser->data;
}

/* Returns the time limit of the current wait; -1 for no limit. */
static int64_t wait_ms(const struct http_conn *conn)
{
	const struct http_server_options *options = &conn->server->options;

	if (conn->state == CONN_LINGERING)
		return LINGER_MS;
	if (conn->in_head)
		return options->head_timeout_ms;
	if (conn->current_exchange || !conn->exchanges ||
	    buffer_size(&conn->out))
		return options->idle_timeout_ms;
	return -1; /* waiting for the handler */
}

/* Does not postpone a timer that is set: timer_expired() does so, which costs
 * less than setting the timer for each byte. */
static void begin_wait(struct http_conn *conn)
{
	int64_t limit_ms = wait_ms(conn);
	int64_t at_us;

	conn->wait_start_us = now(conn);
	if (limit_ms < 0)
		return;
	at_us = conn->wait_start_us + limit_ms * US_PER_MS;
	if (!timer_is_set(&conn->timer) || at_us < conn->timer.at_us)
		timer_set(conn->server->loop, &conn->timer, at_us);
}

static void update_watch(struct http_conn *conn)
{
	int events = conn->read_paused ? 0 : LOOP_READ;

	if (buffer_size(&conn->out))
		events |= LOOP_WRITE;
	watch_change(&conn->watch, events);
}

static void abort_exchange(struct http_exchange *exchange)
{
	http_abort_fn *on_abort = exchange->on_abort;

	exchange->on_abort = NULL;
	if (exchange->server->stopping)
		return;
	if (exchange->state == EXCHANGE_PENDING && on_abort)
		on_abort(exchange, exchange->on_abort_data);
	if (exchange->state == EXCHANGE_PENDING ||
	    exchange->state == EXCHANGE_QUEUED)
		counter_add(&aborted_count, 1);
}

void conn_free(struct http_conn *conn)
{
	struct http_server *server = conn->server;
	struct http_exchange *exchange;
	struct http_exchange *next;

	watch_stop(&conn->watch);
	timer_cancel(server->loop, &conn->timer);
	loop_defer_cancel(server->loop, &conn->flush);
	loop_defer_cancel(server->loop, &conn->resume);
	DL_FOREACH_SAFE(conn->exchanges, exchange, next)
		abort_exchange(exchange);
	DL_FOREACH_SAFE(conn->exchanges, exchange, next)
		exchange_free(exchange);
	net_close(conn->fd);
	buffer_finish(&conn->in);
	buffer_finish(&conn->out);
	DL_DELETE(server->conns, conn);
	server->conn_count--;
	free(conn);
}

static void end_conn(struct http_conn *conn, enum conn_end end)
{
	conn_log_end(conn, end);
	conn_free(conn);
}

enum delivery_state conn_delivery(struct http_conn *conn)
{
	return delivery_update(&conn->delivery, net_undelivered_bytes(conn->fd),
			       now(conn));
}

/* Closing the socket while the caller still sends would reset the connection
 * and could discard an answer that the caller has not received yet. */
static void linger(struct http_conn *conn)
{
	conn->state = CONN_LINGERING;
	shutdown(conn->fd, SHUT_WR);
	conn->read_paused = false;
	conn_delivery(conn);
	begin_wait(conn);
	update_watch(conn);
}

static void call_handler_run(void *data)
{
	struct http_exchange *exchange = data;
	struct http_server *server = exchange->server;

	exchange->state = EXCHANGE_PENDING;
	server->options.handler(exchange, server->options.data);
}

static struct http_exchange *current_exchange(struct http_conn *conn)
{
	if (!conn->current_exchange) {
		conn->current_exchange = exchange_new(conn);
		conn->in_head = true;
		begin_wait(conn);
	}
	return conn->current_exchange;
}

static int on_message_begin(http_parser *parser)
{
	current_exchange(conn_of(parser));
	return 0;
}

static int on_url(http_parser *parser, const char *at, size_t size)
{
	buffer_append(&current_exchange(conn_of(parser))->target, at, size);
	return 0;
}

static int on_name(http_parser *parser, const char *at, size_t size)
{
	struct http_exchange *exchange = conn_of(parser)->current_exchange;

	/* Trailer fields after a chunked body are discarded. */
	if (conn_of(parser)->in_head)
		http_head_append_name(&exchange->head, at, size);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	struct http_exchange *exchange = conn_of(parser)->current_exchange;

	if (conn_of(parser)->in_head)
		http_head_append_value(&exchange->head, at, size);
	return 0;
}

/* Refuses the request being read; the connection reads no more requests. */
static void refuse(struct http_conn *conn, unsigned int status,
		   const char *reason)
{
	struct http_exchange *exchange = current_exchange(conn);

	conn->current_exchange = NULL;
	conn->in_head = false;
	conn->state = CONN_CLOSING;
	snprintf(exchange->method, sizeof(exchange->method), "%s", "GET");
	exchange_refuse(exchange, status, reason);
}

static bool fits_memory_limit(const struct http_server *server, size_t size)
{
	return !server->options.held_bytes_max ||
	       server->held_bytes + size <= server->options.held_bytes_max;
}

/* Refuses the request if @size more bytes of its body exceed a limit.
 * Return: whether the bytes are accepted. */
static bool admit_body(struct http_conn *conn, uint64_t size)
{
	const struct http_server *server = conn->server;
	size_t held = buffer_size(&conn->current_exchange->body);

	if (size > server->options.max_body_bytes ||
	    held + size > server->options.max_body_bytes) {
		counter_add(&too_large_count, 1);
		refuse(conn, STATUS_TOO_LARGE, "too-large");
		return false;
	}
	if (fits_memory_limit(server, size))
		return true;
	counter_add(&memory_limit_count, 1);
	refuse(conn, STATUS_UNAVAILABLE, "overload");
	return false;
}

static void send_continue(struct http_conn *conn)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";
	const char *expect =
		http_head_find(&conn->current_exchange->head, "Expect");

	if (!expect || conn->exchanges != conn->current_exchange ||
	    buffer_size(&conn->out))
		return;
	buffer_append(&conn->out, line, sizeof(line) - 1);
	conn->queued_bytes += sizeof(line) - 1;
	loop_defer_to_turn_end(conn->server->loop, &conn->flush);
}

static int on_head(http_parser *parser)
{
	struct http_conn *conn = conn_of(parser);
	struct http_exchange *exchange = conn->current_exchange;

	http_head_end(&exchange->head);
	buffer_append(&exchange->target, "", 1);
	exchange->path =
		http_target_path((const char *)buffer_data(&exchange->target));
	snprintf(exchange->method, sizeof(exchange->method), "%s",
		 http_method_str((enum http_method)parser->method));
	conn->in_head = false;
	/* Protocol upgrades are not supported. */
	parser->upgrade = 0;
	if (!http_head_fits(&exchange->head)) {
		refuse(conn, STATUS_HEAD_TOO_LARGE, "head-too-large");
		return -1;
	}
	if (http_head_is_ambiguous(&exchange->head) ||
	    parser->method == HTTP_CONNECT || parser->http_major != 1) {
		counter_add(&malformed_count, 1);
		refuse(conn, STATUS_BAD_REQUEST, "bad-request");
		return -1;
	}
	if (parser->content_length != UINT64_MAX && parser->content_length &&
	    !admit_body(conn, parser->content_length))
		return -1;
	send_continue(conn);
	begin_wait(conn);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
	struct http_conn *conn = conn_of(parser);

	if (!admit_body(conn, size))
		return -1;
	buffer_append(&conn->current_exchange->body, at, size);
	exchange_add_held_bytes(conn->current_exchange, size);
	begin_wait(conn);
	return 0;
}

static int on_message(http_parser *parser)
{
	struct http_conn *conn = conn_of(parser);
	struct http_exchange *exchange = conn->current_exchange;

	conn->current_exchange = NULL;
	exchange->keep_alive = http_should_keep_alive(parser);
	exchange->state = EXCHANGE_QUEUED;
	deferred_init(&exchange->call_handler, call_handler_run, exchange);
	loop_defer(conn->server->loop, &exchange->call_handler);
	if (!exchange->keep_alive)
		conn->state = CONN_CLOSING;
	/* parse_message() checks the pipeline limit before the next message. */
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

static bool head_too_large(const struct http_conn *conn)
{
	return conn->in_head &&
	       conn->parser.nread > conn->server->options.max_head_bytes;
}

static void parse_failed(struct http_conn *conn)
{
	enum http_errno code = HTTP_PARSER_ERRNO(&conn->parser);

	/* A parser callback has refused the request already. */
	if (conn->state != CONN_OPEN)
		return;
	if (code == HPE_HEADER_OVERFLOW) {
		refuse(conn, STATUS_HEAD_TOO_LARGE, "head-too-large");
		return;
	}
	counter_add(&malformed_count, 1);
	if (code == HPE_INVALID_METHOD)
		refuse(conn, STATUS_NOT_IMPLEMENTED, "bad-method");
	else
		refuse(conn, STATUS_BAD_REQUEST, "bad-request");
}

/* Parses one message or a part of it.
 * Return: whether the input may hold another message. */
static bool parse_message(struct http_conn *conn)
{
	size_t size = buffer_size(&conn->in);
	size_t used;

	if (!size || conn->state != CONN_OPEN)
		return false;
	if (!conn->current_exchange &&
	    conn->exchange_count >= CONN_PIPELINE_MAX)
		return false;
	http_parser_pause(&conn->parser, 0);
	used = http_parser_execute(&conn->parser, &settings,
				   (const char *)buffer_data(&conn->in), size);
	buffer_consume(&conn->in, used < size ? used : size);
	if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_PAUSED)
		return true;
	if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		parse_failed(conn);
		return false;
	}
	if (head_too_large(conn))
		refuse(conn, STATUS_HEAD_TOO_LARGE, "head-too-large");
	return false;
}

/* Pauses reading while the pipeline is full and the caller goes on sending, so
 * that TCP flow control slows the caller down. */
static void parse_input(struct http_conn *conn)
{
	while (parse_message(conn))
		;
	if (conn->state != CONN_OPEN)
		buffer_consume(&conn->in, buffer_size(&conn->in));
	conn->read_paused = buffer_size(&conn->in) >= READ_AHEAD_MAX_BYTES;
	update_watch(conn);
}

static void resume_run(void *data)
{
	parse_input(data);
}

/* Reads until nothing is left, so that a request and the end of its connection
 * that wait together are seen together, before the request is passed on.
 * Return: false if the connection was freed. */
static bool read_input(struct http_conn *conn)
{
	int round;

	for (round = 0; round < READ_ROUNDS && !conn->read_paused; round++) {
		size_t size;
		enum net_result result =
			net_read_buffer(conn->fd, &conn->in, &size);

		if (result == NET_AGAIN)
			return true;
		if (result != NET_OK) {
			end_conn(conn, result == NET_CLOSED ? CONN_END_HUNG_UP
							    : CONN_END_RESET);
			return false;
		}
		if (conn->state == CONN_OPEN)
			parse_input(conn);
		else
			buffer_consume(&conn->in, buffer_size(&conn->in));
	}
	return true;
}

/* Frees the exchanges whose answers are completely written.
 * Return: false if the connection was freed after a truncated answer. */
static bool free_sent_exchanges(struct http_conn *conn)
{
	struct http_exchange *exchange;
	bool close_after_reply = false;
	bool truncated = false;

	while ((exchange = conn->exchanges) &&
	       exchange->state == EXCHANGE_SENDING &&
	       exchange->output_end <= conn->written_bytes) {
		close_after_reply = exchange->close_after_reply;
		truncated = exchange->truncated;
		exchange_free(exchange);
	}
	if (truncated) {
		conn_free(conn);
		return false;
	}
	if (close_after_reply)
		linger(conn);
	else if (!conn->exchanges)
		begin_wait(conn);
	if (buffer_size(&conn->in))
		loop_defer(conn->server->loop, &conn->resume);
	return true;
}

static void write_output(struct http_conn *conn)
{
	while (buffer_size(&conn->out)) {
		size_t size = buffer_size(&conn->out);
		enum net_result result =
			net_write(conn->fd, buffer_data(&conn->out), &size);

		if (result == NET_AGAIN)
			break;
		if (result != NET_OK) {
			end_conn(conn, CONN_END_WRITE_FAILED);
			return;
		}
		buffer_consume(&conn->out, size);
		conn->written_bytes += size;
		begin_wait(conn);
	}
	if (free_sent_exchanges(conn))
		update_watch(conn);
}

static void flush_run(void *data)
{
	write_output(data);
}

/* Returns whether the connection ends with this answer. With keep-alive
 * disabled, the answer to the last complete request does: a caller that reused
 * the connection while the process exits could not know whether the request
 * ran. An earlier answer must not end the connection, since the caller would
 * close the connection and thereby abort the later requests in progress. */
static bool ends_connection(const struct http_exchange *exchange)
{
	const struct http_exchange *next = exchange->next;

	if (exchange->close_after_reply || !exchange->keep_alive)
		return true;
	return exchange->server->keep_alive_disabled &&
	       (!next || next->state == EXCHANGE_READING);
}

static void queue_reply(struct http_conn *conn, struct http_exchange *exchange)
{
	const uint8_t *reply = buffer_data(&exchange->reply);
	size_t size = buffer_size(&exchange->reply);
	size_t head_size = exchange->head_size;
	const char *end = exchange->close_after_reply
				  ? "Connection: close\r\n\r\n"
				  : "\r\n";

	buffer_append(&conn->out, reply, head_size);
	buffer_append_text(&conn->out, end);
	buffer_append(&conn->out, reply + head_size, size - head_size);
	conn->queued_bytes += size + strlen(end);
	buffer_finish(&exchange->reply);
	exchange->output_end = conn->queued_bytes;
	exchange->state = EXCHANGE_SENDING;
	exchange_notify_turn(exchange, true);
}

void conn_send_replies(struct http_conn *conn)
{
	struct http_exchange *exchange;

	DL_FOREACH(conn->exchanges, exchange) {
		if (exchange->state == EXCHANGE_SENDING &&
		    !exchange->close_after_reply)
			continue;
		if (exchange->state != EXCHANGE_REPLIED)
			break;
		exchange->close_after_reply = ends_connection(exchange);
		queue_reply(conn, exchange);
		/* With keep-alive disabled, no more requests are read: a
		 * caller that always sends another request would delay the
		 * shutdown. */
		if (exchange->close_after_reply ||
		    conn->server->keep_alive_disabled)
			conn->state = CONN_CLOSING;
		/* Later requests on the connection are not answered. */
		if (exchange->close_after_reply)
			break;
	}
	loop_defer_to_turn_end(conn->server->loop, &conn->flush);
}

static void conn_ready(struct watch *watch, int ready, void *data)
{
	struct http_conn *conn = data;

	if ((ready & LOOP_READ) && !read_input(conn))
		return;
	if (ready & LOOP_WRITE)
		write_output(conn);
}

/* Returns true if only the caller is waited for, which still receives answers.
 * To close the connection would cut them off if it sent another request. */
static bool awaits_delivery(struct http_conn *conn)
{
	return (conn->state == CONN_LINGERING ||
		(!conn->exchanges && !conn->current_exchange)) &&
	       conn_delivery(conn) == DELIVERY_ACTIVE;
}

static void wait_expired(struct http_conn *conn)
{
	if (awaits_delivery(conn)) {
		begin_wait(conn);
		return;
	}
	if (conn->in_head && conn->state == CONN_OPEN) {
		refuse(conn, STATUS_TIMEOUT, "head-timeout");
		return;
	}
	/* Closing the connection would abort earlier requests that are still
	 * in progress. */
	if (conn->current_exchange &&
	    conn->current_exchange != conn->exchanges &&
	    conn->state == CONN_OPEN) {
		refuse(conn, STATUS_TIMEOUT, "body-timeout");
		return;
	}
	end_conn(conn, CONN_END_IDLE);
}

static void timer_expired(struct timer *timer, void *data)
{
	struct http_conn *conn = data;
	int64_t limit_ms = wait_ms(conn);
	int64_t at_us = conn->wait_start_us + limit_ms * US_PER_MS;

	if (limit_ms < 0)
		return;
	if (now(conn) < at_us)
		timer_set(conn->server->loop, timer, at_us);
	else
		wait_expired(conn);
}

void conn_new(struct http_server *server, int fd,
	      const struct address *caller_address)
{
	struct http_conn *conn = calloc(1, sizeof(*conn));
	struct error err = ERROR_INIT;

	if (!conn)
		abort();
	conn->server = server;
	conn->fd = fd;
	conn->caller_address = *caller_address;
	deferred_init(&conn->flush, flush_run, conn);
	deferred_init(&conn->resume, resume_run, conn);
	timer_init(&conn->timer, timer_expired, conn);
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
	DL_APPEND(server->conns, conn);
	server->conn_count++;
	if (!watch_start(&conn->watch, server->loop, fd, LOOP_READ, conn_ready,
			 conn, &err)) {
		conn_free(conn);
		return;
	}
	begin_wait(conn);
	/* The first request is usually available already. */
	read_input(conn);
}
