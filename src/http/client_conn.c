#include "http/client_conn.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "base/counter.h"
#include "http/answer_owner.h"
#include "http/keep_alive.h"
#include "os/clock.h"
#include "os/net.h"

enum {
	READ_BYTES = 64 * 1024,
	READ_ROUNDS = 4,
	TEXT_SIZE = 96,
	IDLE_CHECK_MS = 1000,
	/* Attempts at a request reach this process with different delays. */
	REPEAT_MARGIN_MS = 1000,
	STATUS_MIN = 100,
	STATUS_SWITCHING = 101,
	STATUS_OK = 200,
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_MAX = 599,
};

COUNTER(stray_count, "http.stray_answers",
	"Answers skipped because they belonged to an earlier request");
COUNTER(unnamed_count, "http.unnamed_answers",
	"Answers refused because they may belong to an earlier request");
COUNTER(bad_status_count, "http.answers_without_status",
	"Answers refused because their status is below 100 or above 599");
COUNTER(read_bytes, "http.answer_bytes",
	"Bytes read from servers to which requests were sent");
COUNTER(over_limit_count, "http.answers_over_limit",
	"Answers refused because they exceed a limit");
COUNTER(repeated_count, "http.connections_passed_over",
	"Kept connections not used because they carried the request before");
COUNTER(reused_count, "http.connections_reused",
	"Outgoing requests that went on a kept connection");
COUNTER(opened_count, "http.connections_opened",
	"Connections made for outgoing requests");

static int64_t now(const struct client_conn *conn)
{
	return loop_now_us(conn->client->loop);
}

void client_conn_free(struct client_conn *conn)
{
	struct http_client *client = conn->client;

	if (conn->state == CLIENT_IDLE)
		DL_DELETE(client->idle, conn);
	if (conn->transfer)
		conn->transfer->conn = NULL;
	watch_stop(&conn->watch);
	net_close(conn->fd);
	carried_finish(&conn->carried);
	free(conn);
}

static void fail(struct client_conn *conn, enum error_code code,
		 const char *text)
{
	struct http_transfer *transfer = conn->transfer;

	client_conn_free(conn);
	if (transfer)
		transfer_end(transfer, code, text);
}

static struct http_transfer *transfer_of(http_parser *parser)
{
	return ((struct client_conn *)parser->data)->transfer;
}

static int on_begin(http_parser *parser)
{
	struct http_transfer *transfer = transfer_of(parser);

	answer_meter_begin(&transfer->meter);
	transfer->in_head = true;
	transfer->skipping = false;
	http_head_reset(&transfer->head);
	buffer_consume(&transfer->body, buffer_size(&transfer->body));
	return 0;
}

/* Trailer fields after a chunked body are discarded. */
static int on_name(http_parser *parser, const char *at, size_t size)
{
	struct http_transfer *transfer = transfer_of(parser);

	if (!answer_meter_add_name(&transfer->meter, size))
		return -1;
	if (transfer->in_head)
		http_head_append_name(&transfer->head, at, size);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	struct http_transfer *transfer = transfer_of(parser);

	if (!answer_meter_add_value(&transfer->meter, size))
		return -1;
	if (transfer->in_head)
		http_head_append_value(&transfer->head, at, size);
	return 0;
}

/* Returns whether the end of the answer is known before the connection ends. */
static bool is_delimited(const struct http_transfer *transfer,
			 const http_parser *parser)
{
	return transfer->head_only || (parser->flags & F_CHUNKED) ||
	       parser->content_length != UINT64_MAX ||
	       parser->status_code < STATUS_OK ||
	       parser->status_code == STATUS_NO_CONTENT ||
	       parser->status_code == STATUS_NOT_MODIFIED;
}

/* Decides whether the answer that begins is the one that counts.
 * Return: false if it may belong to any request of the connection. */
static bool check_owner(struct http_transfer *transfer)
{
	transfer->skipping = transfer->status < STATUS_OK;
	if (transfer->skipping)
		return true;
	switch (answer_owner_of(transfer)) {
	case ANSWER_OF_THIS:
		break;
	case ANSWER_OF_EARLIER:
		counter_add(&stray_count, 1);
		transfer->skipping = true;
		break;
	case ANSWER_OF_UNKNOWN:
		counter_add(&unnamed_count, 1);
		transfer->unnamed = true;
		return false;
	}
	return true;
}

/* A status below 100 is no interim answer, and callers cannot tell the class of
 * one above 599 (RFC 9110, 15). */
static bool check_status(struct http_transfer *transfer)
{
	transfer->bad_status = transfer->status < STATUS_MIN ||
			       transfer->status > STATUS_MAX;
	if (transfer->bad_status)
		counter_add(&bad_status_count, 1);
	return !transfer->bad_status;
}

static int on_head(http_parser *parser)
{
	struct http_transfer *transfer = transfer_of(parser);

	answer_meter_head_end(&transfer->meter);
	transfer->in_head = false;
	transfer->head_deadline_us = 0;
	http_head_end(&transfer->head);
	if (transfer->head.invalid)
		return -1;
	transfer->status = parser->status_code;
	if (!check_status(transfer) || !check_owner(transfer))
		return -1;
	transfer->delimited = is_delimited(transfer, parser);
	parser->upgrade = 0;
	/* The client never requests a protocol upgrade. */
	if (parser->status_code == STATUS_SWITCHING)
		return -1;
	return transfer->head_only && parser->status_code >= STATUS_OK ? 1 : 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
	struct http_transfer *transfer = transfer_of(parser);

	if (transfer->skipping)
		return 0;
	if (!answer_meter_add_body(&transfer->meter, size))
		return -1;
	buffer_append(&transfer->body, at, size);
	return 0;
}

static int on_message(http_parser *parser)
{
	struct http_transfer *transfer = transfer_of(parser);

	transfer->keep_alive = http_should_keep_alive(parser);
	transfer->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

static void make_idle(struct client_conn *conn)
{
	struct http_client *client = conn->client;

	conn->transfer->conn = NULL;
	conn->transfer = NULL;
	conn->state = CLIENT_IDLE;
	conn->idle_us = now(conn);
	DL_PREPEND(client->idle, conn);
	watch_change(&conn->watch, LOOP_READ);
	if (!timer_is_set(&client->idle_timer))
		timer_set(client->loop, &client->idle_timer,
			  conn->idle_us + IDLE_CHECK_MS * US_PER_MS);
}

/* Reports a complete answer. A connection on which @excess_size bytes followed
 * the answer is not reused. */
static void finish_answer(struct client_conn *conn, size_t excess_size)
{
	struct http_transfer *transfer = conn->transfer;
	bool reusable =
		transfer->keep_alive && !transfer->needs_new_connection &&
		!excess_size &&
		(!transfer->echo_header || answer_names_request(transfer)) &&
		transfer->delimited && !buffer_size(&transfer->out) &&
		!transfer->write_failed &&
		!carried_is_full(&conn->carried, now(conn));

	conn->keep_alive_us = reusable ? keep_alive_us(&transfer->head) : 0;
	if (conn->keep_alive_us > 0)
		make_idle(conn);
	else
		client_conn_free(conn);
	transfer_end(transfer, ERROR_NONE, "");
}

static void fail_over_limit(struct client_conn *conn)
{
	const struct answer_meter *meter = &conn->transfer->meter;
	char text[TEXT_SIZE];

	counter_add(&over_limit_count, 1);
	snprintf(text, sizeof(text), "answer exceeds the limit of %llu %s",
		 (unsigned long long)meter->maximum,
		 answer_limit_name(meter->passed));
	fail(conn, ERROR_LIMIT, text);
}

void client_conn_head_expired(struct client_conn *conn)
{
	answer_meter_head_expired(&conn->transfer->meter,
				  conn->client->head_max_ms);
	fail_over_limit(conn);
}

/* Checks an answer of which a part has been parsed.
 * Return: false if the connection has ended. */
static bool check_part(struct client_conn *conn)
{
	struct http_transfer *transfer = conn->transfer;

	if (!answer_meter_check_read(&transfer->meter)) {
		fail_over_limit(conn);
		return false;
	}
	if (transfer->in_head && !transfer->head_deadline_us) {
		transfer->head_deadline_us =
			now(conn) + conn->client->head_max_ms * US_PER_MS;
		transfer_set_timer(transfer);
	}
	return true;
}

/* Return: false if the connection or its transfer has ended. */
static bool parse(struct client_conn *conn, const char *data, size_t size)
{
	struct http_transfer *transfer = conn->transfer;

	counter_add(&read_bytes, (int64_t)size);
	answer_meter_add_read(&transfer->meter, size);
	for (;;) {
		size_t used = http_parser_execute(&conn->parser, &settings,
						  data, size);
		enum http_errno code = HTTP_PARSER_ERRNO(&conn->parser);

		if (transfer->meter.passed != ANSWER_LIMIT_NONE) {
			fail_over_limit(conn);
			return false;
		}
		if (transfer->head.invalid) {
			fail(conn, ERROR_PROTOCOL,
			     "answer has a malformed header field");
			return false;
		}
		if (transfer->bad_status) {
			fail(conn, ERROR_PROTOCOL,
			     "answer has a status below 100 or above 599");
			return false;
		}
		if (transfer->unnamed) {
			fail(conn, ERROR_PROTOCOL,
			     "answer does not name its request");
			return false;
		}
		if (code != HPE_OK && code != HPE_PAUSED) {
			fail(conn, ERROR_PROTOCOL,
			     http_errno_description(code));
			return false;
		}
		if (!transfer->complete)
			return check_part(conn);
		if (!transfer->skipping) {
			finish_answer(conn, size - used);
			return false;
		}
		transfer->complete = false;
		http_parser_pause(&conn->parser, 0);
		data += used;
		size -= used;
		if (!size)
			return check_part(conn);
	}
}

/*
 * Closing the connection completes an answer that states no length. A socket
 * reports its error only once: after a failed write, the end of a connection
 * that was reset looks like a regular one.
 */
static void server_closed(struct client_conn *conn)
{
	struct http_transfer *transfer = conn->transfer;

	http_parser_execute(&conn->parser, &settings, NULL, 0);
	if (transfer->complete && !transfer->skipping &&
	    !transfer->write_failed) {
		transfer->keep_alive = false;
		finish_answer(conn, 0);
		return;
	}
	transfer->complete = false;
	fail(conn, ERROR_IO,
	     transfer->write_failed ? "connection failed before a whole answer"
				    : "closed without a whole answer");
}

enum read_result {
	READ_ENDED, /* the connection or its transfer */
	READ_MORE,  /* more bytes may be waiting */
	READ_ALL,
};

static enum read_result read_input(struct client_conn *conn)
{
	static char data[READ_BYTES];
	int round;

	for (round = 0; round < READ_ROUNDS; round++) {
		size_t size = sizeof(data);
		enum net_result result = net_read(conn->fd, data, &size);

		switch (result) {
		case NET_AGAIN:
			return READ_ALL;
		case NET_CLOSED:
			server_closed(conn);
			return READ_ENDED;
		case NET_FAILED:
			fail(conn, ERROR_IO, "connection reset");
			return READ_ENDED;
		case NET_OK:
			break;
		}
		if (!parse(conn, data, size))
			return READ_ENDED;
		if (size < sizeof(data) && !buffer_size(&conn->transfer->out))
			return READ_ALL;
	}
	return READ_MORE;
}

static void write_output(struct client_conn *conn)
{
	struct http_transfer *transfer = conn->transfer;
	struct buffer *out = &transfer->out;

	while (buffer_size(out) && !transfer->write_failed) {
		size_t size = buffer_size(out);
		enum net_result result =
			net_write(conn->fd, buffer_data(out), &size);

		if (result == NET_AGAIN)
			break;
		if (result != NET_OK) {
			/* The server may have answered before closing; the
			 * answer is still read. */
			transfer->write_failed = true;
			break;
		}
		transfer->written = true;
		buffer_consume(out, size);
	}
	watch_change(&conn->watch, buffer_size(out) && !transfer->write_failed
					   ? LOOP_READ | LOOP_WRITE
					   : LOOP_READ);
}

void client_conn_start(struct client_conn *conn)
{
	write_output(conn);
}

static void connect_completed(struct client_conn *conn)
{
	int result = net_connect_result(conn->fd);

	if (result) {
		fail(conn, ERROR_IO, strerror(result));
		return;
	}
	conn->state = CLIENT_BUSY;
	watch_change(&conn->watch, LOOP_READ);
	/* Not written at once: the transfer may be cancelled by input that
	 * waits already, and a request of which no byte was sent has not run.
	 */
	loop_defer(conn->client->loop, &conn->transfer->start);
}

static void conn_ready(struct watch *watch, int ready, void *data)
{
	struct client_conn *conn = data;

	switch (conn->state) {
	case CLIENT_CONNECTING:
		connect_completed(conn);
		return;
	case CLIENT_IDLE:
		/* The server closed the connection or sent unexpected bytes. */
		client_conn_free(conn);
		return;
	case CLIENT_BUSY:
		break;
	}
	/* Reading to the end first tells a regular end from a reset: a write
	 * would fail in both cases. */
	if ((ready & LOOP_READ) && read_input(conn) != READ_ALL)
		return;
	if (ready & LOOP_WRITE)
		write_output(conn);
}

static int64_t repeated_until_us(const struct http_transfer *transfer)
{
	if (!transfer->exchange_deadline_us)
		return INT64_MAX;
	return transfer->exchange_deadline_us + REPEAT_MARGIN_MS * US_PER_MS;
}

static void set_transfer(struct client_conn *conn,
			 struct http_transfer *transfer)
{
	if (transfer->echo_header)
		carried_add(&conn->carried, transfer->echo_value,
			    repeated_until_us(transfer));
	conn->transfer = transfer;
	transfer->conn = conn;
	transfer->connection = conn->number;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
}

static struct client_conn *conn_new(struct http_transfer *transfer, int fd,
				    enum client_conn_state state, int events)
{
	struct client_conn *conn = calloc(1, sizeof(*conn));
	struct error err = ERROR_INIT;

	if (!conn)
		abort();
	conn->client = transfer->client;
	carried_init(&conn->carried);
	conn->fd = fd;
	conn->server_address = transfer->server_address;
	conn->state = state;
	conn->number = ++conn->client->opened_connections;
	set_transfer(conn, transfer);
	net_enable_keepalive(fd);
	if (watch_start(&conn->watch, conn->client->loop, fd, events,
			conn_ready, conn, &err))
		return conn;
	client_conn_free(conn);
	return NULL;
}

struct client_conn *client_conn_open(struct http_transfer *transfer,
				     struct error *err)
{
	int fd = net_connect(&transfer->server_address, NULL, err);

	if (fd == NET_NONE)
		return NULL;
	counter_add(&opened_count, 1);
	return conn_new(transfer, fd, CLIENT_CONNECTING, LOOP_WRITE);
}

struct client_conn *client_conn_adopt(struct http_transfer *transfer, int fd)
{
	struct client_conn *conn =
		conn_new(transfer, fd, CLIENT_BUSY, LOOP_READ);

	if (conn)
		write_output(conn);
	return conn;
}

static bool can_reuse(const struct client_conn *conn,
		      const struct http_transfer *transfer)
{
	int64_t idle_us = now(conn) - conn->idle_us;

	return address_equal(&conn->server_address,
			     &transfer->server_address) &&
	       idle_us < conn->keep_alive_us &&
	       (!transfer->idle_max_us || idle_us < transfer->idle_max_us);
}

static bool has_carried(const struct client_conn *conn,
			const struct http_transfer *transfer)
{
	return transfer->echo_header &&
	       carried_has(&conn->carried, transfer->echo_value, now(conn));
}

/* A connection that carried the request before is replaced by the new one if no
 * other is suitable. Otherwise a caller that gives all requests the same ID
 * would leave one more idle connection with each of them. */
struct client_conn *client_conn_reuse(struct http_transfer *transfer)
{
	struct client_conn *passed_over = NULL;
	struct client_conn *conn;
	struct client_conn *next;

	DL_FOREACH_SAFE(transfer->client->idle, conn, next) {
		if (!can_reuse(conn, transfer))
			continue;
		if (has_carried(conn, transfer)) {
			counter_add(&repeated_count, 1);
			passed_over = conn;
			continue;
		}
		/* The server may have closed the connection meanwhile. */
		if (net_peek(conn->fd) != NET_AGAIN) {
			client_conn_free(conn);
			continue;
		}
		DL_DELETE(transfer->client->idle, conn);
		conn->state = CLIENT_BUSY;
		set_transfer(conn, transfer);
		transfer->reused = true;
		counter_add(&reused_count, 1);
		write_output(conn);
		return conn;
	}
	if (passed_over)
		client_conn_free(passed_over);
	return NULL;
}

void client_idle_expired(struct timer *timer, void *data)
{
	struct http_client *client = data;
	int64_t now_us = loop_now_us(client->loop);
	struct client_conn *conn;
	struct client_conn *next;

	DL_FOREACH_SAFE(client->idle, conn, next)
		if (now_us - conn->idle_us >= conn->keep_alive_us)
			client_conn_free(conn);
	if (client->idle)
		timer_set(client->loop, timer,
			  now_us + IDLE_CHECK_MS * US_PER_MS);
}
