#include "fleet/load_kept.h"

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
	/* Until a port that nobody listens at is tried again. */
	RETRY_US = 20 * US_PER_MS,
};

enum kept_state { KEPT_CLOSED, KEPT_CONNECTING, KEPT_IDLE, KEPT_WAITING };

/**
 * struct load_kept - one caller and its connection
 * @due: the next request, or the end of the wait for an answer
 * @record: of the request in progress
 * @begun: bytes of an answer have come
 */
struct load_kept {
	struct load *load;
	uint32_t target;
	uint32_t kind;
	struct address to;
	enum kept_state state;
	int fd;
	struct watch watch;
	struct timer due;
	http_parser parser;
	struct http_head head;
	struct buffer body;
	uint32_t record;
	bool begun;
	bool complete;
};

static void set_due(struct load_kept *kept, int64_t wait_us)
{
	timer_set(&kept->load->loop, &kept->due,
		  clock_monotonic_us() + wait_us);
}

static void pause_a_while(struct load_kept *kept)
{
	double mean_us = (double)kept->load->options.kept_gap_ms * US_PER_MS;

	set_due(kept, (int64_t)(2 * mean_us *
				random_share(&kept->load->kept_random)));
}

static void hang_up(struct load_kept *kept)
{
	if (kept->state == KEPT_CLOSED)
		return;
	watch_stop(&kept->watch);
	net_close(kept->fd);
	kept->state = KEPT_CLOSED;
}

/*
 * A process that closes a socket with unread bytes makes the kernel reset the
 * connection, and so do bytes that come after it has closed. An orderly end
 * with every byte confirmed therefore proves that the process has read all.
 */
static bool was_read(const struct load_kept *kept, enum net_result result)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);

	if (kept->begun)
		return true;
	return result == NET_CLOSED &&
	       !getsockopt(kept->fd, IPPROTO_TCP, TCP_INFO, &info, &size) &&
	       info.tcpi_state == TCP_CLOSE_WAIT && !info.tcpi_unacked;
}

static struct load_record *ended(struct load_kept *kept)
{
	struct load_record *record = &kept->load->records[kept->record];

	kept->load->in_flight--;
	record->latency_us = clock_monotonic_us() - record->sent_us;
	record->end = LOAD_CUT;
	return record;
}

static void cut(struct load_kept *kept, enum net_result result)
{
	struct load_record *record = ended(kept);

	record->read = was_read(kept, result);
	hang_up(kept);
	pause_a_while(kept);
}

static void answered(struct load_kept *kept)
{
	struct http_header headers[HTTP_FIELDS_MAX];
	struct http_answer answer = {
		.delivery = HTTP_ANSWERED,
		.status = kept->parser.status_code,
		.headers = headers,
		.header_count = http_head_split(&kept->head, headers),
		.body = buffer_data(&kept->body),
		.body_size = buffer_size(&kept->body),
		.delimited = true,
	};

	ended(kept);
	load_answered(kept->load, kept->record, &answer);
	if (http_should_keep_alive(&kept->parser))
		kept->state = KEPT_IDLE;
	else
		hang_up(kept);
	pause_a_while(kept);
}

static int on_name(http_parser *parser, const char *at, size_t size)
{
	struct load_kept *kept = parser->data;

	http_head_append_name(&kept->head, at, size);
	return 0;
}

static int on_value(http_parser *parser, const char *at, size_t size)
{
	struct load_kept *kept = parser->data;

	http_head_append_value(&kept->head, at, size);
	return 0;
}

static int on_head(http_parser *parser)
{
	struct load_kept *kept = parser->data;

	http_head_end(&kept->head);
	return 0;
}

static int on_body(http_parser *parser, const char *at, size_t size)
{
	struct load_kept *kept = parser->data;

	buffer_append(&kept->body, at, size);
	return 0;
}

static int on_message(http_parser *parser)
{
	struct load_kept *kept = parser->data;

	kept->complete = true;
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

static void read_in(struct load_kept *kept)
{
	char data[READ_BYTES];
	size_t size = sizeof(data);
	enum net_result result = net_read(kept->fd, data, &size);

	if (result == NET_AGAIN)
		return;
	if (result != NET_OK) {
		cut(kept, result);
		return;
	}
	kept->begun = true;
	http_parser_execute(&kept->parser, &parsing, data, size);
	if (kept->complete)
		answered(kept);
	else if (HTTP_PARSER_ERRNO(&kept->parser) != HPE_OK)
		cut(kept, NET_OK);
}

static void put_request(struct load_kept *kept, struct buffer *out)
{
	const struct load *load = kept->load;
	const struct load_kind *kind = &load->options.kinds[kept->kind];
	char id[LOAD_ID_SIZE];

	buffer_format(out,
		      "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
		      "Content-Length: %zu\r\n",
		      kind->method, kind->path, kind->service,
		      load_id(load, kept->record, id), kind->body_bytes);
	if (kind->deadline_ms)
		buffer_format(out, "Geraniumplank-Deadline-Ms: %lld\r\n",
			      (long long)kind->deadline_ms);
	buffer_text(out, "\r\n");
	buffer_append(out, load->body, kind->body_bytes);
}

static void new_record(struct load_kept *kept)
{
	struct load *load = kept->load;
	struct load_record *record = load_record_new(load);

	kept->record = load->count - 1;
	record->kind = kept->kind;
	record->target = kept->target;
	record->due_us = clock_monotonic_us();
	record->sent_us = record->due_us;
	load->in_flight++;
	if (load->in_flight > load->in_flight_most)
		load->in_flight_most = load->in_flight;
}

static void send_one(struct load_kept *kept)
{
	struct buffer out = { 0 };
	enum net_result result;
	size_t size;

	new_record(kept);
	http_parser_init(&kept->parser, HTTP_RESPONSE);
	kept->parser.data = kept;
	http_head_reset(&kept->head);
	buffer_consume(&kept->body, buffer_size(&kept->body));
	kept->begun = false;
	kept->complete = false;
	put_request(kept, &out);
	size = buffer_size(&out);
	result = net_write(kept->fd, buffer_data(&out), &size);
	kept->state = KEPT_WAITING;
	set_due(kept, kept->load->options.kept_timeout_ms * US_PER_MS);
	/* So few bytes fit, unless the connection has ended. */
	if (result != NET_OK || size < buffer_size(&out))
		cut(kept, NET_FAILED);
	buffer_finish(&out);
}

static void connected(struct load_kept *kept)
{
	if (net_connect_result(kept->fd)) {
		hang_up(kept);
		set_due(kept, RETRY_US);
		return;
	}
	watch_change(&kept->watch, LOOP_READ);
	kept->state = KEPT_IDLE;
	send_one(kept);
}

static void ready(struct watch *watch, int events, void *data)
{
	struct load_kept *kept = data;

	switch (kept->state) {
	case KEPT_CONNECTING:
		connected(kept);
		return;
	case KEPT_WAITING:
		read_in(kept);
		return;
	case KEPT_IDLE:
		/* Closed; opened again when the next request is due. */
		hang_up(kept);
		return;
	case KEPT_CLOSED:
		return;
	}
}

static void open_one(struct load_kept *kept)
{
	struct error err = ERROR_INIT;

	kept->fd = net_connect(&kept->to, NULL, &err);
	if (kept->fd == NET_NONE) {
		set_due(kept, RETRY_US);
		return;
	}
	kept->state = KEPT_CONNECTING;
	if (!watch_start(&kept->watch, &kept->load->loop, kept->fd, LOOP_WRITE,
			 ready, kept, &err))
		abort();
}

static void due(struct timer *timer, void *data)
{
	struct load_kept *kept = data;

	if (kept->state == KEPT_WAITING) {
		kept->load->records[kept->record].timed_out = true;
		cut(kept, NET_AGAIN);
		return;
	}
	if (kept->load->settling)
		return;
	if (kept->state == KEPT_IDLE && net_peek(kept->fd) == NET_AGAIN) {
		send_one(kept);
		return;
	}
	hang_up(kept);
	open_one(kept);
}

/* The kinds that kept connections send, by turns. */
static uint32_t kind_of(const struct load *load, uint32_t turn)
{
	uint32_t kinds[LOAD_KINDS_MAX];
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < load->options.kind_count; i++)
		if (load->options.kinds[i].kept)
			kinds[count++] = i;
	return count ? kinds[turn % count] : 0;
}

bool load_kept_begin(struct load *load)
{
	uint32_t per_target = load->options.kept_per_target;
	uint32_t count = per_target * load->options.target_count;
	struct error err = ERROR_INIT;
	uint32_t i;

	random_init(&load->kept_random, load->options.seed);
	load->kept = calloc(count + 1, sizeof(*load->kept));
	if (!load->kept)
		abort();
	for (i = 0; i < count; i++) {
		struct load_kept *kept = &load->kept[i];

		kept->load = load;
		kept->target = i / per_target;
		kept->kind = kind_of(load, i % per_target);
		if (!address_parse(load->options.targets[kept->target],
				   &kept->to, &err))
			return false;
		timer_init(&kept->due, due, kept);
		pause_a_while(kept);
		load->kept_count++;
	}
	return true;
}

void load_kept_finish(struct load *load)
{
	uint32_t i;

	for (i = 0; i < load->kept_count; i++) {
		struct load_kept *kept = &load->kept[i];

		hang_up(kept);
		timer_cancel(&load->loop, &kept->due);
		http_head_finish(&kept->head);
		buffer_finish(&kept->body);
	}
	free(load->kept);
}
