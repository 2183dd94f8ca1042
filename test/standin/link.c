#include <apr_general.h>
#include <jansson.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <utlist.h>

#include "base/buffer.h"
#include "base/log.h"
#include "http/server.h"
#include "os/clock.h"
#include "os/net.h"
#include "standin/standin.h"

/**
 * DOC: link
 *
 * A TCP relay that simulates network faults. HTTP requests to its control
 * address set the faults:
 *
 *	POST /v1/faults {"cut":false, "delay_ms":0, "silent_to":false,
 *		"silent_from":false, "silence_open":false}
 *	GET  /v1/stats	connections and bytes
 *
 * "cut" closes all connections, also new ones. "delay_ms" delays all bytes.
 * "silent_to" and "silent_from" stall the bytes to or from the target and
 * close nothing; once the fault is cleared, the stalled bytes are forwarded.
 * "silence_open" permanently stalls both directions of the connections that
 * are open at the time of the request; new connections work. Absent members
 * keep their value.
 */

enum {
	RELAYS_MAX = 4096,
	READ_BYTES = 64 * 1024,
	HELD_MAX_BYTES = 4 * 1024 * 1024,
	CONTROL_CONNECTIONS = 64,
	CONTROL_IDLE_MS = 60000,
	CONTROL_BODY_BYTES = 4096,
	STATUS_OK = 200,
};

/* Bytes to be forwarded at due_us, after the delay. */
struct chunk {
	int64_t due_us;
	size_t size;
	size_t sent;
	struct chunk *next;
	struct chunk *prev;
	uint8_t bytes[];
};

/* One direction of a relay: bytes read from one end and not yet written. */
struct flow {
	struct relay *relay;
	int from; /* index of the end that the bytes come from */
	struct chunk *chunks;
	size_t held_bytes;
	struct timer timer;
};

/* One relayed connection. End 0 is the client, end 1 the target. */
struct relay {
	struct link_standin *link;
	int fds[2];
	struct watch watches[2];
	struct flow flows[2]; /* by the end that the bytes come from */
	bool stalled;	      /* both directions, permanently */
	struct deferred closing;
	struct relay *next;
	struct relay *prev;
};

struct link_standin {
	struct loop loop;
	struct address address;
	struct address to;
	int fd;
	struct watch watch;
	struct http_server control;
	struct relay *relays;
	uint32_t relay_count;
	uint64_t accepted;
	uint64_t bytes;
	int cut;
	int silent[2]; /* by the end that the bytes come from */
	int64_t delay_ms;
};

static struct link_standin standin;

static void on_signal(int number)
{
	standin.loop.stopped = true;
}

static void flow_free(struct flow *flow, struct loop *loop)
{
	struct chunk *chunk;
	struct chunk *next;

	timer_cancel(loop, &flow->timer);
	DL_FOREACH_SAFE(flow->chunks, chunk, next) {
		DL_DELETE(flow->chunks, chunk);
		free(chunk);
	}
}

static void relay_free(struct relay *relay)
{
	struct link_standin *link = relay->link;
	int i;

	for (i = 0; i < 2; i++) {
		watch_stop(&relay->watches[i]);
		net_close(relay->fds[i]);
		flow_free(&relay->flows[i], &link->loop);
	}
	loop_defer_cancel(&link->loop, &relay->closing);
	DL_DELETE(link->relays, relay);
	link->relay_count--;
	free(relay);
}

static void closing_run(void *data)
{
	relay_free(data);
}

static void relay_close(struct relay *relay)
{
	loop_defer(&relay->link->loop, &relay->closing);
}

static bool is_silent(const struct flow *flow)
{
	return flow->relay->stalled || flow->relay->link->silent[flow->from];
}

/* Watches an end for reading while its flow has room for more bytes, and for
 * writing while bytes are due for it. */
static void update_watches(struct relay *relay)
{
	int64_t now_us = clock_monotonic_us();
	int i;

	for (i = 0; i < 2; i++) {
		const struct flow *in = &relay->flows[i];
		const struct flow *out = &relay->flows[!i];
		int events = 0;

		if (!is_silent(in) && in->held_bytes < HELD_MAX_BYTES)
			events |= LOOP_READ;
		if (out->chunks && out->chunks->due_us <= now_us &&
		    !is_silent(out))
			events |= LOOP_WRITE;
		watch_change(&relay->watches[i], events);
	}
}

static void chunk_free(struct flow *flow, struct chunk *chunk)
{
	DL_DELETE(flow->chunks, chunk);
	free(chunk);
}

/* Writes the bytes that are due; returns false if the write failed. */
static bool flow_write(struct flow *flow)
{
	struct relay *relay = flow->relay;
	int64_t now_us = clock_monotonic_us();
	struct chunk *chunk;
	struct chunk *next;

	if (is_silent(flow))
		return true;
	DL_FOREACH_SAFE(flow->chunks, chunk, next) {
		size_t size = chunk->size - chunk->sent;
		enum net_result result;

		if (chunk->due_us > now_us) {
			timer_set(&relay->link->loop, &flow->timer,
				  chunk->due_us);
			break;
		}
		result = net_write(relay->fds[!flow->from],
				   chunk->bytes + chunk->sent, &size);
		if (result == NET_AGAIN)
			break;
		if (result != NET_OK)
			return false;
		chunk->sent += size;
		flow->held_bytes -= size;
		relay->link->bytes += size;
		if (chunk->sent < chunk->size)
			break;
		chunk_free(flow, chunk);
	}
	return true;
}

static void flow_push(struct flow *flow)
{
	if (flow_write(flow))
		update_watches(flow->relay);
	else
		relay_close(flow->relay);
}

static void flow_due(struct timer *timer, void *data)
{
	flow_push(data);
}

/* Reads bytes of an end; returns false if it closed or the read failed. */
static bool flow_read(struct flow *flow)
{
	struct link_standin *link = flow->relay->link;
	struct chunk *chunk = malloc(sizeof(*chunk) + READ_BYTES);
	enum net_result result;

	if (!chunk)
		abort();
	chunk->size = READ_BYTES;
	chunk->sent = 0;
	result = net_read(flow->relay->fds[flow->from], chunk->bytes,
			  &chunk->size);
	if (result != NET_OK) {
		free(chunk);
		return result == NET_AGAIN;
	}
	chunk->due_us = clock_monotonic_us() + link->delay_ms * US_PER_MS;
	flow->held_bytes += chunk->size;
	DL_APPEND(flow->chunks, chunk);
	return true;
}

static void end_ready(struct watch *watch, int ready, void *data)
{
	struct relay *relay = data;
	int end = watch == &relay->watches[1];

	if ((ready & LOOP_READ) && !is_silent(&relay->flows[end]) &&
	    !flow_read(&relay->flows[end])) {
		/* Forwards the bytes that are due, then closes. */
		flow_write(&relay->flows[end]);
		relay_close(relay);
		return;
	}
	if (!flow_write(&relay->flows[0]) || !flow_write(&relay->flows[1])) {
		relay_close(relay);
		return;
	}
	update_watches(relay);
}

static void relay_new(struct link_standin *link, int fd)
{
	struct relay *relay = calloc(1, sizeof(*relay));
	struct error err = ERROR_INIT;
	int i;

	if (!relay)
		abort();
	relay->link = link;
	relay->fds[0] = fd;
	relay->fds[1] = net_connect(&link->to, NULL, &err);
	deferred_init(&relay->closing, closing_run, relay);
	DL_APPEND(link->relays, relay);
	link->relay_count++;
	link->accepted++;
	for (i = 0; i < 2; i++) {
		relay->flows[i].relay = relay;
		relay->flows[i].from = i;
		timer_init(&relay->flows[i].timer, flow_due, &relay->flows[i]);
	}
	for (i = 0; i < 2; i++)
		if (relay->fds[i] == NET_NONE ||
		    !watch_start(&relay->watches[i], &link->loop, relay->fds[i],
				 LOOP_READ, end_ready, relay, &err)) {
			relay_close(relay);
			return;
		}
}

static void accept_ready(struct watch *watch, int ready, void *data)
{
	struct link_standin *link = data;
	struct address from;
	int fd;

	while ((fd = net_accept(link->fd, &from)) != NET_NONE) {
		if (link->cut || link->relay_count >= RELAYS_MAX)
			net_close(fd);
		else
			relay_new(link, fd);
	}
}

static void apply_faults(struct link_standin *link, bool silence_open)
{
	struct relay *relay;
	struct relay *next;

	DL_FOREACH_SAFE(link->relays, relay, next) {
		if (link->cut) {
			relay_free(relay);
			continue;
		}
		relay->stalled |= silence_open;
		flow_push(&relay->flows[0]);
		flow_push(&relay->flows[1]);
	}
}

static void read_boolean(const json_t *body, const char *name, int *value)
{
	const json_t *member = json_object_get(body, name);

	if (json_is_boolean(member))
		*value = json_is_true(member);
}

static void set_faults(struct link_standin *link, const json_t *body)
{
	const json_t *delay = json_object_get(body, "delay_ms");
	int silence_open = 0;

	read_boolean(body, "cut", &link->cut);
	read_boolean(body, "silent_to", &link->silent[0]);
	read_boolean(body, "silent_from", &link->silent[1]);
	read_boolean(body, "silence_open", &silence_open);
	if (json_is_integer(delay))
		link->delay_ms = json_integer_value(delay);
	apply_faults(link, silence_open);
}

static void handle(struct http_exchange *exchange, void *data)
{
	struct link_standin *link = data;
	size_t size;
	const char *bytes = (const char *)http_exchange_body(exchange, &size);
	json_t *body = json_loadb(bytes, size, 0, NULL);
	char text[160];
	int length;

	if (!strcmp(http_exchange_path(exchange), "/v1/faults"))
		set_faults(link, body);
	json_decref(body);
	length = snprintf(text, sizeof(text),
			  "{\"open\":%u,\"accepted\":%llu,\"bytes\":%llu}\n",
			  link->relay_count, (unsigned long long)link->accepted,
			  (unsigned long long)link->bytes);
	http_exchange_reply(exchange, STATUS_OK, NULL, 0, text, (size_t)length);
}

static bool start(struct link_standin *link, int argc, char **argv,
		  struct error *err)
{
	struct http_server_options control = {
		.max_body_bytes = CONTROL_BODY_BYTES,
		.max_connections = CONTROL_CONNECTIONS,
		.idle_timeout_ms = CONTROL_IDLE_MS,
		.handler = handle,
		.data = link,
	};

	address_parse("127.0.0.1:0", &control.address, err);
	link->address = control.address;
	link->address.port = (uint16_t)strtoul(
		standin_option(argc, argv, "port", "0"), NULL, 10);
	if (!address_parse(standin_option(argc, argv, "to", ""), &link->to,
			   err) ||
	    !loop_init(&link->loop, err))
		return false;
	link->fd = net_listen(&link->address, err);
	return link->fd != NET_NONE &&
	       watch_start(&link->watch, &link->loop, link->fd, LOOP_READ,
			   accept_ready, link, err) &&
	       http_server_init(&link->control, &link->loop, &control, err);
}

static void finish(struct link_standin *link)
{
	struct relay *relay;
	struct relay *next;

	DL_FOREACH_SAFE(link->relays, relay, next)
		relay_free(relay);
	watch_stop(&link->watch);
	net_close(link->fd);
	http_server_finish(&link->control);
	loop_finish(&link->loop);
}

int standin_link(int argc, char **argv)
{
	struct error err = ERROR_INIT;
	char address[ADDRESS_TEXT_SIZE];
	char control[ADDRESS_TEXT_SIZE];

	apr_initialize();
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	signal(SIGPIPE, SIG_IGN);
	if (!start(&standin, argc, argv, &err)) {
		fprintf(stderr, "standin link: %s\n", err.text);
		return 1;
	}
	log_info("standin", "ready", LOG_NUMBER("pid", getpid()),
		 LOG_TEXT("address", address_format(&standin.address, address)),
		 LOG_TEXT("control",
			  address_format(http_server_address(&standin.control),
					 control)));
	loop_run(&standin.loop);
	finish(&standin);
	return 0;
}
