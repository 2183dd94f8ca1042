#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <utlist.h>

#include "base/log.h"
#include "http/conn.h"
#include "http/target.h"
#include "os/clock.h"

static const char component[] = "http";

enum {
	STATUS_NO_CONTENT = 204,
	STATUS_NOT_MODIFIED = 304,
	STATUS_UNAVAILABLE = 503,
	LINE_SIZE = 256,
};

static const char *const hop_by_hop[] = {
	"Connection", "Keep-Alive",	   "Proxy-Authenticate",
	"TE",	      "Proxy-Connection",  "Proxy-Authorization",
	"Trailer",    "Transfer-Encoding", "Upgrade",
};

bool http_header_is_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(hop_by_hop) / sizeof(hop_by_hop[0]); i++)
		if (!strcasecmp(name, hop_by_hop[i]))
			return true;
	return false;
}

struct http_exchange *exchange_new(struct http_conn *conn)
{
	struct http_exchange *exchange = calloc(1, sizeof(*exchange));

	if (!exchange)
		abort();
	exchange->server = conn->server;
	exchange->conn = conn;
	exchange->is_first = !conn->request_count++;
	exchange->started_us = clock_monotonic_us();
	DL_APPEND(conn->exchanges, exchange);
	conn->exchange_count++;
	conn->server->exchange_count++;
	return exchange;
}

void exchange_notify_turn(struct http_exchange *exchange, bool sent)
{
	http_turn_fn *on_turn = exchange->on_turn;

	exchange->on_turn = NULL;
	if (on_turn)
		on_turn(sent, exchange->on_turn_data);
}

void exchange_free(struct http_exchange *exchange)
{
	struct http_conn *conn = exchange->conn;
	uint32_t i;

	exchange_notify_turn(exchange, false);
	loop_defer_cancel(exchange->server->loop, &exchange->call_handler);
	DL_DELETE(conn->exchanges, exchange);
	conn->exchange_count--;
	exchange->server->exchange_count--;
	exchange->server->held_bytes -= exchange->held_bytes;
	http_head_finish(&exchange->head);
	buffer_finish(&exchange->target);
	buffer_finish(&exchange->body);
	buffer_finish(&exchange->reply);
	for (i = 0; i < exchange->argument_count; i++)
		free(exchange->arguments[i]);
	free(exchange->path);
	free(exchange);
}

void exchange_add_held_bytes(struct http_exchange *exchange, size_t size)
{
	exchange->held_bytes += size;
	exchange->server->held_bytes += size;
}

const char *http_exchange_method(const struct http_exchange *exchange)
{
	return exchange->method;
}

const char *http_exchange_path(const struct http_exchange *exchange)
{
	return exchange->path;
}

const char *http_exchange_target(const struct http_exchange *exchange)
{
	return (const char *)buffer_data(&exchange->target);
}

const char *http_exchange_query(const struct http_exchange *exchange,
				const char *name)
{
	/* The exchange owns the value; this is its only change here. */
	struct http_exchange *owner = (struct http_exchange *)exchange;
	char *value;

	if (exchange->argument_count == CONN_ARGUMENTS_MAX)
		return NULL;
	value = http_target_argument(http_exchange_target(exchange), name);
	if (value)
		owner->arguments[owner->argument_count++] = value;
	return value;
}

const char *http_exchange_header(const struct http_exchange *exchange,
				 const char *name)
{
	return http_head_find(&exchange->head, name);
}

void http_exchange_each_header(const struct http_exchange *exchange,
			       void (*visit)(const char *name,
					     const char *value, void *data),
			       void *data)
{
	struct http_header headers[HTTP_FIELDS_MAX];
	size_t count = http_head_split(&exchange->head, headers);
	size_t i;

	for (i = 0; i < count; i++)
		visit(headers[i].name, headers[i].value, data);
}

const uint8_t *http_exchange_body(const struct http_exchange *exchange,
				  size_t *size)
{
	*size = buffer_size(&exchange->body);
	return *size ? buffer_data(&exchange->body) : (const uint8_t *)"";
}

void http_exchange_caller_address(const struct http_exchange *exchange,
				  struct address *caller_address)
{
	*caller_address = exchange->conn->caller_address;
	caller_address->port = 0;
}

int64_t http_exchange_started_us(const struct http_exchange *exchange)
{
	return exchange->started_us;
}

void http_exchange_on_abort(struct http_exchange *exchange,
			    http_abort_fn *on_abort, void *data)
{
	exchange->on_abort = on_abort;
	exchange->on_abort_data = data;
}

bool http_exchange_is_first(const struct http_exchange *exchange)
{
	return exchange->is_first;
}

struct http_exchange *http_exchange_ahead(const struct http_exchange *exchange,
					  const struct http_exchange *after)
{
	struct http_exchange *other = after ? after->next
					    : exchange->conn->exchanges;

	for (; other && other != exchange; other = other->next)
		if (other->state < EXCHANGE_REPLIED)
			return other;
	return NULL;
}

void http_exchange_on_turn(struct http_exchange *exchange,
			   http_turn_fn *on_turn, void *data)
{
	exchange->on_turn = on_turn;
	exchange->on_turn_data = data;
}

static void put_field(struct buffer *out, const char *name, const char *value)
{
	buffer_append_text(out, name);
	buffer_append_text(out, ": ");
	buffer_append_text(out, value);
	buffer_append_text(out, "\r\n");
}

static const char *status_text(unsigned int status)
{
	return http_status_str((enum http_status)status);
}

static void put_status(struct buffer *out, unsigned int status)
{
	char line[LINE_SIZE];
	int size = snprintf(line, sizeof(line), "HTTP/1.1 %u %s\r\n", status,
			    status_text(status));

	buffer_append(out, line, (size_t)size);
}

static bool is_head(const struct http_exchange *exchange)
{
	return !strcmp(exchange->method, "HEAD");
}

/* For HEAD, only the upstream knows the Content-Length. */
static const char *find_content_length(const struct http_header *headers,
				       size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcasecmp(headers[i].name, "Content-Length"))
			return headers[i].value;
	return NULL;
}

static void put_length(struct http_exchange *exchange, unsigned int status,
		       const struct http_header *headers, size_t count,
		       size_t size)
{
	const char *head_length =
		is_head(exchange) ? find_content_length(headers, count) : NULL;
	char length[32];

	if (status == STATUS_NO_CONTENT || status == STATUS_NOT_MODIFIED)
		return;
	snprintf(length, sizeof(length), "%zu", size);
	put_field(&exchange->reply, "Content-Length",
		  head_length ? head_length : length);
}

static void put_head(struct http_exchange *exchange, unsigned int status,
		     const struct http_header *headers, size_t count,
		     size_t size)
{
	struct buffer *out = &exchange->reply;
	size_t i;

	put_status(out, status);
	for (i = 0; i < count; i++)
		if (!http_header_is_hop_by_hop(headers[i].name) &&
		    strcasecmp(headers[i].name, "Content-Length") != 0)
			put_field(out, headers[i].name, headers[i].value);
	put_length(exchange, status, headers, count, size);
	exchange->head_size = buffer_size(out);
}

static void finish_reply(struct http_exchange *exchange)
{
	exchange->state = EXCHANGE_REPLIED;
	exchange->on_abort = NULL;
	exchange_add_held_bytes(exchange, buffer_size(&exchange->reply));
	conn_send_replies(exchange->conn);
}

void http_exchange_reply(struct http_exchange *exchange, unsigned int status,
			 const struct http_header *headers, size_t header_count,
			 const void *body, size_t size)
{
	assert(exchange->state == EXCHANGE_PENDING);
	put_head(exchange, status, headers, header_count, size);
	if (!is_head(exchange))
		buffer_append(&exchange->reply, body, size);
	finish_reply(exchange);
}

void http_exchange_reply_truncated(struct http_exchange *exchange,
				   unsigned int status, const void *body,
				   size_t size, size_t sent)
{
	assert(exchange->state == EXCHANGE_PENDING && sent < size);
	put_head(exchange, status, NULL, 0, size);
	buffer_append(&exchange->reply, body, sent);
	exchange->close_after_reply = true;
	exchange->truncated = true;
	finish_reply(exchange);
}

/* Without this line, nothing would tell why a request has no line of a call. */
static void log_refused(const struct http_exchange *exchange,
			unsigned int status, const char *reason)
{
	const char *name = exchange->server->options.id_field;
	const struct log_field fields[] = {
		LOG_TEXT("request",
			 name ? http_head_find(&exchange->head, name) : NULL),
		LOG_TEXT("end", reason),
		LOG_TEXT("verdict", "not-run"),
		LOG_NUMBER("status", status),
	};

	log_request(LOG_OUTCOME, component, "refused", fields,
		    sizeof(fields) / sizeof(fields[0]));
}

void exchange_refuse(struct http_exchange *exchange, unsigned int status,
		     const char *reason)
{
	char text[LINE_SIZE];
	int size = snprintf(text, sizeof(text),
			    "{\"error\":\"%s\",\"verdict\":\"not-run\"}\n",
			    reason);
	const struct http_header headers[] = {
		{ "Content-Type", "application/json" },
		{ "Geraniumplank-Verdict", "not-run" },
		{ "Geraniumplank-Reason", reason },
		{ "Retry-After", "1" },
	};
	size_t count = sizeof(headers) / sizeof(headers[0]);

	if (status != STATUS_UNAVAILABLE)
		count--;
	log_refused(exchange, status, reason);
	exchange->refused = true;
	exchange->close_after_reply = true;
	exchange->state = EXCHANGE_PENDING;
	http_exchange_reply(exchange, status, headers, count, text,
			    (size_t)size);
}

void http_exchange_close(struct http_exchange *exchange)
{
	assert(exchange->state == EXCHANGE_PENDING);
	exchange->on_abort = NULL;
	conn_free(exchange->conn);
}
