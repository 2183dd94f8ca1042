#include "fleet/load_keepalive.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "http/head.h"
#include "os/clock.h"
#include "os/net.h"

enum {
	READ_BYTES = 16 * 1024,
	/* Pause before connecting again after a connection failed. */
	RETRY_US = 20 * US_PER_MS,
	/* Pause before writing again to a connection that takes no bytes. */
	FULL_US = 2 * US_PER_MS,
};

enum keepalive_state {
	KEEPALIVE_CLOSED,
	KEEPALIVE_CONNECTING,
	KEEPALIVE_IDLE,
	KEEPALIVE_WAITING
};

/**
 * struct load_keepalive - a caller and its connection
 * @load: the load generator
 * @target: index of its target
 * @kind: index of the kind of its requests
 * @target_address: address of the target
 * @state: state of the connection
 * @fd: socket; valid unless @state is KEEPALIVE_CLOSED
 * @watch: watch of @fd
 * @due: timer of the next request or of the timeout of an answer
 * @next_piece: timer of the next piece of the request
 * @out: bytes of the request that are not sent yet
 * @parser: parser of the answer
 * @head: header fields of the answer
 * @body: body of the answer
 * @record: index of the record of the request in progress
 * @gives_up: it gives up the request when @due expires
 * @answer_started: bytes of the answer have arrived
 * @complete: the answer is complete
 */
struct load_keepalive {
	struct load *load;
	uint32_t target;
	uint32_t kind;
	struct address target_address;
	enum keepalive_state state;
	int fd;
	struct watch watch;
	struct timer due;
	struct timer next_piece;
	struct buffer out;
	http_parser parser;
	struct http_head head;
	struct buffer body;
	uint32_t record;
	bool gives_up;
	bool answer_started;
	bool complete;
};

static void set_due(struct load_keepalive *keepalive, int64_t wait_us)
{
	timer_set(&keepalive->load->loop, &keepalive->due,
		  clock_monotonic_us() + wait_us);
}

static void schedule_request(struct load_keepalive *keepalive)
{
	double mean_us =
		(double)keepalive->load->options.keepalive_gap_ms * US_PER_MS;

	set_due(keepalive,
		(int64_t)(2 * mean_us *
			  random_share(&keepalive->load->keepalive_random)));
}

static void close_connection(struct load_keepalive *keepalive)
{
	if (keepalive->state == KEEPALIVE_CLOSED)
		return;
	watch_stop(&keepalive->watch);
	timer_cancel(&keepalive->load->loop, &keepalive->next_piece);
	net_close(keepalive->fd);
	keepalive->state = KEEPALIVE_CLOSED;
}

/*
 * Returns true if the server's process has read the whole request. The kernel
 * resets a connection if the process closes it with unread bytes, or if bytes
 * arrive after the close. An orderly end of the connection with all bytes
 * acknowledged therefore proves that the process has read them.
 */
static bool was_read(const struct load_keepalive *keepalive,
		     enum net_result result)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	if (buffer_size(&keepalive->out))
		return false;
	if (keepalive->answer_started)
		return true;
	return result == NET_CLOSED &&
	       !getsockopt(keepalive->fd, IPPROTO_TCP, TCP_INFO, &info,
			   &size) &&
	       info.tcpi_state == TCP_CLOSE_WAIT && !info.tcpi_unacked;
}

static struct load_record *finish_request(struct load_keepalive *keepalive)
{
	struct load_record *record =
		&keepalive->load->records[keepalive->record];

	keepalive->load->in_flight--;
	record->latency_us = clock_monotonic_us() - record->sent_us;
	record->outcome = LOAD_ABORTED;
	return record;
}

static void abort_request(struct load_keepalive *keepalive,
			  enum net_result result)
{
	struct load_record *record = finish_request(keepalive);

	record->request_read = was_read(keepalive, result);
	close_connection(keepalive);
	schedule_request(keepalive);
}

static void complete_request(struct load_keepalive *keepalive)
{
	struct http_header headers[HTTP_FIELDS_MAX];
	struct http_answer answer = {
		.delivery = HTTP_ANSWERED,
		.status = keepalive->parser.status_code,
		.headers = headers,
		.header_count = http_head_split(&keepalive->head, headers),
		.body = buffer_data(&keepalive->body),
		.body_size = buffer_size(&keepalive->body),
		.delimited = true,
	};

	finish_request(keepalive);
	load_record_answer(keepalive->load, keepalive->record, &answer);
	if (http_should_keep_alive(&keepalive->parser) &&
	    !buffer_size(&keepalive->out))
		keepalive->state = KEEPALIVE_IDLE;
	else
		close_connection(keepalive);
	schedule_request(keepalive);
}

static int on_name(http_parser *parser, const char *at, size_t size)
{
	struct load_keepalive *keepalive = parser->data;

	http_head_append_name(&keepalive->head, at, size);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	struct load_keepalive *keepalive = parser->data;

	http_head_append_value(&keepalive->head, at, size);
	return 0;
}

static int on_head(http_parser *parser)
{
	struct load_keepalive *keepalive = parser->data;

	http_head_end(&keepalive->head);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
	struct load_keepalive *keepalive = parser->data;

	buffer_append(&keepalive->body, at, size);
	return 0;
}

static int on_message(http_parser *parser)
{
	struct load_keepalive *keepalive = parser->data;

	keepalive->complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parsing = {
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_message,
};

static void read_answer(struct load_keepalive *keepalive)
{
	char data[READ_BYTES];
	size_t size = sizeof(data);
	enum net_result result = net_read(keepalive->fd, data, &size);

	if (result == NET_AGAIN)
		return;
	if (result != NET_OK) {
		abort_request(keepalive, result);
		return;
	}
	keepalive->answer_started = true;
	http_parser_execute(&keepalive->parser, &parsing, data, size);
	if (keepalive->complete)
		complete_request(keepalive);
	else if (HTTP_PARSER_ERRNO(&keepalive->parser) != HPE_OK)
		abort_request(keepalive, NET_OK);
}

static void format_request(struct load_keepalive *keepalive, struct buffer *out)
{
	const struct load *load = keepalive->load;
	const struct load_kind *kind = &load->options.kinds[keepalive->kind];
	const struct load_record *record = &load->records[keepalive->record];
	const struct load_tenant *tenant =
		&load->options.tenants[record->tenant];
	char id[LOAD_ID_SIZE];

	buffer_append_format(
		out,
		"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
		"Content-Length: %zu\r\n",
		kind->method, kind->path, kind->service,
		load_id(load, keepalive->record, id), kind->body_bytes);
	if (load->options.tenant_count && tenant->key && *tenant->key)
		buffer_append_format(out, "Authorization: Bearer %s\r\n",
				     tenant->key);
	if (kind->deadline_ms)
		buffer_append_format(out, "%s: %lld\r\n",
				     load_deadline_field(load),
				     (long long)kind->deadline_ms);
	buffer_append_text(out, "\r\n");
	buffer_append(out, load->body, kind->body_bytes);
}

static void add_record(struct load_keepalive *keepalive)
{
	struct load *load = keepalive->load;
	struct load_record *record = load_record_new(load);

	keepalive->record = load->count - 1;
	record->kind = keepalive->kind;
	record->target = keepalive->target;
	if (load->options.tenant_count)
		record->tenant =
			load_choose_tenant(load, &load->keepalive_random);
	record->due_us = clock_monotonic_us();
	record->sent_us = record->due_us;
	load->in_flight++;
	if (load->in_flight > load->in_flight_peak)
		load->in_flight_peak = load->in_flight;
}

static bool draws_to_give_up(struct load_keepalive *keepalive)
{
	struct load *load = keepalive->load;

	return load->options.give_up_share > 0 &&
	       random_share(&load->keepalive_random) <
		       load->options.give_up_share;
}

/* Sets the time at which the caller closes a connection without an answer. */
static void set_patience(struct load_keepalive *keepalive)
{
	const struct load_options *options = &keepalive->load->options;
	int64_t wait_us = options->keepalive_timeout_ms * US_PER_MS;

	keepalive->gives_up = draws_to_give_up(keepalive);
	if (keepalive->gives_up)
		wait_us =
			(int64_t)(random_share(
					  &keepalive->load->keepalive_random) *
				  (double)options->give_up_max_ms * US_PER_MS);
	set_due(keepalive, wait_us);
}

/* A connection that takes no more bytes may still deliver an answer: its end is
 * noticed by reading. */
static void send_piece(struct load_keepalive *keepalive)
{
	const struct load_options *options = &keepalive->load->options;
	size_t size = buffer_size(&keepalive->out);
	int64_t wait_us = FULL_US;
	enum net_result result;

	if (options->piece_bytes && size > options->piece_bytes) {
		size = options->piece_bytes;
		wait_us = options->piece_gap_us;
	}
	result = net_write(keepalive->fd, buffer_data(&keepalive->out), &size);
	if (result == NET_OK)
		buffer_consume(&keepalive->out, size);
	if ((result == NET_OK || result == NET_AGAIN) &&
	    buffer_size(&keepalive->out))
		timer_set(&keepalive->load->loop, &keepalive->next_piece,
			  clock_monotonic_us() + wait_us);
}

static void next_piece(struct timer *timer, void *data)
{
	send_piece(data);
}

static void send_request(struct load_keepalive *keepalive)
{
	add_record(keepalive);
	http_parser_init(&keepalive->parser, HTTP_RESPONSE);
	keepalive->parser.data = keepalive;
	http_head_reset(&keepalive->head);
	buffer_consume(&keepalive->body, buffer_size(&keepalive->body));
	keepalive->answer_started = false;
	keepalive->complete = false;
	buffer_consume(&keepalive->out, buffer_size(&keepalive->out));
	format_request(keepalive, &keepalive->out);
	keepalive->state = KEEPALIVE_WAITING;
	set_patience(keepalive);
	send_piece(keepalive);
}

static void connected(struct load_keepalive *keepalive)
{
	if (net_connect_result(keepalive->fd)) {
		close_connection(keepalive);
		set_due(keepalive, RETRY_US);
		return;
	}
	watch_change(&keepalive->watch, LOOP_READ);
	keepalive->state = KEEPALIVE_IDLE;
	send_request(keepalive);
}

static void on_ready(struct watch *watch, int events, void *data)
{
	struct load_keepalive *keepalive = data;

	switch (keepalive->state) {
	case KEEPALIVE_CONNECTING:
		connected(keepalive);
		return;
	case KEEPALIVE_WAITING:
		read_answer(keepalive);
		return;
	case KEEPALIVE_IDLE:
		/* The server closed; due() opens a new connection. */
		close_connection(keepalive);
		return;
	case KEEPALIVE_CLOSED:
		return;
	}
}

static void open_connection(struct load_keepalive *keepalive)
{
	int size = keepalive->load->options.receive_bytes;
	struct error err = ERROR_INIT;

	keepalive->fd = net_connect(&keepalive->target_address, NULL, &err);
	if (keepalive->fd == NET_NONE) {
		set_due(keepalive, RETRY_US);
		return;
	}
	if (size)
		setsockopt(keepalive->fd, SOL_SOCKET, SO_RCVBUF, &size,
			   sizeof(size));
	keepalive->state = KEEPALIVE_CONNECTING;
	if (!watch_start(&keepalive->watch, &keepalive->load->loop,
			 keepalive->fd, LOOP_WRITE, on_ready, keepalive, &err))
		abort();
}

static void due(struct timer *timer, void *data)
{
	struct load_keepalive *keepalive = data;

	if (keepalive->state == KEEPALIVE_WAITING) {
		keepalive->load->records[keepalive->record].timed_out =
			!keepalive->gives_up;
		keepalive->load->records[keepalive->record].gave_up =
			keepalive->gives_up;
		abort_request(keepalive, NET_AGAIN);
		return;
	}
	if (keepalive->load->draining)
		return;
	if (keepalive->state == KEEPALIVE_IDLE &&
	    net_peek(keepalive->fd) == NET_AGAIN) {
		send_request(keepalive);
		return;
	}
	close_connection(keepalive);
	open_connection(keepalive);
}

/* Assigns the kinds of keep-alive requests to the callers in turn. */
static uint32_t kind_of(const struct load *load, uint32_t turn)
{
	uint32_t kinds[LOAD_KINDS_MAX];
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < load->options.kind_count; i++)
		if (load->options.kinds[i].keepalive)
			kinds[count++] = i;
	return count ? kinds[turn % count] : 0;
}

bool load_keepalive_begin(struct load *load)
{
	uint32_t per_target = load->options.keepalive_per_target;
	uint32_t count = per_target * load->options.target_count;
	struct error err = ERROR_INIT;
	uint32_t i;

	random_init(&load->keepalive_random, load->options.seed);
	load->keepalive = calloc(count + 1, sizeof(*load->keepalive));
	if (!load->keepalive)
		abort();
	for (i = 0; i < count; i++) {
		struct load_keepalive *keepalive = &load->keepalive[i];

		keepalive->load = load;
		keepalive->target = i / per_target;
		keepalive->kind = kind_of(load, i % per_target);
		if (!address_parse(load->options.targets[keepalive->target],
				   &keepalive->target_address, &err))
			return false;
		timer_init(&keepalive->due, due, keepalive);
		timer_init(&keepalive->next_piece, next_piece, keepalive);
		schedule_request(keepalive);
		load->keepalive_count++;
	}
	return true;
}

void load_keepalive_finish(struct load *load)
{
	uint32_t i;

	for (i = 0; i < load->keepalive_count; i++) {
		struct load_keepalive *keepalive = &load->keepalive[i];

		close_connection(keepalive);
		timer_cancel(&load->loop, &keepalive->due);
		http_head_finish(&keepalive->head);
		buffer_finish(&keepalive->out);
		buffer_finish(&keepalive->body);
	}
	free(load->keepalive);
}
