#include "http/client.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "http/answer_owner.h"
#include "http/client_conn.h"
#include "os/clock.h"
#include "os/net.h"

enum { LINE_SIZE = 64 };

static const char scheme[] = "http://";

const char *http_answer_header(const struct http_answer *answer,
			       const char *name)
{
	size_t i;

	for (i = 0; i < answer->header_count; i++)
		if (!strcasecmp(answer->headers[i].name, name))
			return answer->headers[i].value;
	return NULL;
}

static void transfer_free(struct http_transfer *transfer)
{
	struct http_client *client = transfer->client;

	DL_DELETE(client->transfers, transfer);
	client->transfer_count--;
	timer_cancel(client->loop, &transfer->timer);
	loop_defer_cancel(client->loop, &transfer->start);
	if (transfer->connected_fd)
		net_close(transfer->connected_fd);
	buffer_finish(&transfer->out);
	buffer_finish(&transfer->body);
	answer_meter_finish(&transfer->meter);
	http_head_finish(&transfer->head);
	free(transfer->echo_header);
	free(transfer->echo_value);
	free(transfer);
}

static enum http_delivery delivery_of(const struct http_transfer *transfer)
{
	if (transfer->complete)
		return HTTP_ANSWERED;
	return transfer->written ? HTTP_MAY_BE_SENT : HTTP_NOT_SENT;
}

void transfer_end(struct http_transfer *transfer, enum error_code code,
		  const char *text)
{
	struct http_header headers[HTTP_FIELDS_MAX];
	struct error err = ERROR_INIT;
	struct http_answer answer = {
		.delivery = delivery_of(transfer),
		.status = transfer->complete ? transfer->status : 0,
		.headers = headers,
		.delimited = transfer->delimited,
		.timed_out = code == ERROR_TIMEOUT,
		.reused = transfer->reused,
		.connection = transfer->connection,
		.err = &err,
	};

	if (code != ERROR_NONE)
		error_set(&err, code, "%s", text);
	if (transfer->complete) {
		answer.header_count = http_head_split(&transfer->head, headers);
		answer.names_request = answer_names_request(transfer);
		answer.body = buffer_data(&transfer->body);
		answer.body_size = buffer_size(&transfer->body);
	}
	transfer->done(&answer, transfer->data);
	transfer_free(transfer);
}

static bool is_connecting(const struct http_transfer *transfer)
{
	return !transfer->conn || transfer->conn->state == CLIENT_CONNECTING;
}

/* Returns the earlier of two times; 0 stands for none. */
static int64_t earlier_us(int64_t a_us, int64_t b_us)
{
	if (!a_us || !b_us)
		return a_us ? a_us : b_us;
	return a_us < b_us ? a_us : b_us;
}

void transfer_set_timer(struct http_transfer *transfer)
{
	int64_t at_us = is_connecting(transfer) ? transfer->connect_deadline_us
						: transfer->head_deadline_us;

	at_us = earlier_us(at_us, transfer->exchange_deadline_us);
	if (at_us)
		timer_set(transfer->client->loop, &transfer->timer, at_us);
}

static bool has_passed(int64_t deadline_us, int64_t now_us)
{
	return deadline_us && now_us >= deadline_us;
}

static void timer_expired(struct timer *timer, void *data)
{
	struct http_transfer *transfer = data;
	bool connecting = is_connecting(transfer);
	int64_t now_us = loop_now_us(transfer->client->loop);

	if (!connecting && has_passed(transfer->head_deadline_us, now_us)) {
		client_conn_head_expired(transfer->conn);
		return;
	}
	if (!connecting &&
	    !has_passed(transfer->exchange_deadline_us, now_us)) {
		transfer_set_timer(transfer);
		return;
	}
	if (transfer->conn)
		client_conn_free(transfer->conn);
	transfer_end(transfer, ERROR_TIMEOUT,
		     connecting ? "connection took too long"
				: "no whole answer in time");
}

static void start_run(void *data)
{
	struct http_transfer *transfer = data;
	struct error err = ERROR_INIT;
	struct client_conn *conn = NULL;
	int fd = transfer->connected_fd;

	if (transfer->conn) {
		client_conn_start(transfer->conn);
		return;
	}
	if (fd) {
		transfer->connected_fd = 0;
		conn = client_conn_adopt(transfer, fd);
	}
	if (!conn && !transfer->needs_new_connection)
		conn = client_conn_reuse(transfer);
	if (!conn)
		conn = client_conn_open(transfer, &err);
	if (!conn) {
		transfer_end(transfer, ERROR_IO,
			     err.text[0] ? err.text : "cannot connect");
		return;
	}
	transfer_set_timer(transfer);
}

static void put_field(struct buffer *out, const char *name, const char *value)
{
	buffer_append_text(out, name);
	buffer_append_text(out, ": ");
	buffer_append_text(out, value);
	buffer_append_text(out, "\r\n");
}

static const char *find_header(const struct http_request *request,
			       const char *name)
{
	size_t i;

	for (i = 0; i < request->header_count; i++)
		if (!strcasecmp(request->headers[i].name, name))
			return request->headers[i].value;
	return NULL;
}

/* Methods that usually have a body need Content-Length also if the body is
 * empty: otherwise a server could wait for a body. */
static bool needs_content_length(const struct http_request *request)
{
	static const char *const methods[] = { "POST", "PUT", "PATCH" };
	size_t i;

	for (i = 0; i < sizeof(methods) / sizeof(methods[0]); i++)
		if (!strcmp(request->method, methods[i]))
			return true;
	return request->body_size > 0;
}

static void put_request(struct http_transfer *transfer,
			const struct http_request *request, const char *host,
			const char *target)
{
	struct buffer *out = &transfer->out;
	char length[LINE_SIZE];
	size_t i;

	buffer_append_text(out, request->method);
	buffer_append_text(out, " ");
	buffer_append_text(out, target);
	buffer_append_text(out, " HTTP/1.1\r\n");
	if (!find_header(request, "Host"))
		put_field(out, "Host", host);
	for (i = 0; i < request->header_count; i++)
		put_field(out, request->headers[i].name,
			  request->headers[i].value);
	if (needs_content_length(request)) {
		snprintf(length, sizeof(length), "%zu", request->body_size);
		put_field(out, "Content-Length", length);
	}
	buffer_append_text(out, "\r\n");
	buffer_append(out, request->body, request->body_size);
}

/* Copies the host and port of @url to @host.
 * Return: path and query of @url; "/" if @url has no path. */
static const char *split_url(const char *url, char host[ADDRESS_TEXT_SIZE])
{
	const char *at = url;
	size_t size;

	if (!strncmp(at, scheme, strlen(scheme)))
		at += strlen(scheme);
	size = strcspn(at, "/?");
	snprintf(host, ADDRESS_TEXT_SIZE, "%.*s",
		 size < ADDRESS_TEXT_SIZE ? (int)size : 0, at);
	return at[size] ? at + size : "/";
}

static void copy_echo(struct http_transfer *transfer,
		      const struct http_request *request)
{
	const char *value = request->echo_header
				    ? find_header(request, request->echo_header)
				    : NULL;

	if (!value) {
		transfer->needs_new_connection |= request->echo_header != NULL;
		return;
	}
	transfer->echo_header = strdup(request->echo_header);
	transfer->echo_value = strdup(value);
	if (!transfer->echo_header || !transfer->echo_value)
		abort();
}

static void set_limits(struct http_transfer *transfer,
		       const struct http_request *request)
{
	int64_t now_us = clock_monotonic_us();

	if (request->timeout_ms)
		transfer->exchange_deadline_us =
			now_us + request->timeout_ms * US_PER_MS;
	if (request->connect_timeout_ms)
		transfer->connect_deadline_us =
			now_us + request->connect_timeout_ms * US_PER_MS;
	transfer->idle_max_us = request->idle_max_ms * US_PER_MS;
	answer_meter_init(&transfer->meter, request->max_answer_bytes,
			  request->total);
}

struct http_transfer *http_client_send(struct http_client *client,
				       const struct http_request *request,
				       http_answer_fn *done, void *data)
{
	struct http_transfer *transfer = calloc(1, sizeof(*transfer));
	char host[ADDRESS_TEXT_SIZE];
	const char *target = split_url(request->url, host);
	struct error err = ERROR_INIT;

	if (!transfer)
		abort();
	transfer->client = client;
	transfer->done = done;
	transfer->data = data;
	transfer->needs_new_connection = request->new_connection;
	transfer->connected_fd = request->connected_fd;
	transfer->head_only = !strcmp(request->method, "HEAD");
	/* An invalid address is reported as a failure to connect. */
	address_parse(host, &transfer->server_address, &err);
	set_limits(transfer, request);
	copy_echo(transfer, request);
	put_request(transfer, request, host,
		    request->target ? request->target : target);
	timer_init(&transfer->timer, timer_expired, transfer);
	deferred_init(&transfer->start, start_run, transfer);
	DL_APPEND(client->transfers, transfer);
	client->transfer_count++;
	loop_defer(client->loop, &transfer->start);
	return transfer;
}

bool http_client_was_sent(const struct http_transfer *transfer)
{
	return transfer->written;
}

void http_client_cancel(struct http_transfer *transfer)
{
	if (transfer->conn)
		client_conn_free(transfer->conn);
	transfer_free(transfer);
}

bool http_client_init(struct http_client *client, struct loop *loop,
		      struct error *err)
{
	memset(client, 0, sizeof(*client));
	client->loop = loop;
	http_parser_set_max_header_size(HTTP_PARSER_MAX_BYTES);
	client->head_max_ms = ANSWER_HEAD_MAX_MS;
	timer_init(&client->idle_timer, client_idle_expired, client);
	return true;
}

void http_client_finish(struct http_client *client)
{
	struct http_transfer *transfer;
	struct http_transfer *next;
	struct client_conn *conn;
	struct client_conn *after;

	DL_FOREACH_SAFE(client->transfers, transfer, next)
		http_client_cancel(transfer);
	DL_FOREACH_SAFE(client->idle, conn, after)
		client_conn_free(conn);
	timer_cancel(client->loop, &client->idle_timer);
}
