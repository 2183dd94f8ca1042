#include "fuzz/answer.h"

#include <apr_general.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "call/headers.h"
#include "call/inbound.h"
#include "call/reply.h"
#include "http/client.h"
#include "http/server.h"
#include "os/net.h"

enum {
	TURNS_MAX = 400,
	TURN_US = 1000,
	BODY_MAX_BYTES = 16 * 1024,
	/* Fields that a node adds to an answer. */
	CALLER_BODY_MAX_BYTES = 2 * BODY_MAX_BYTES,
};

/* The processes between a server and a caller, in one. */
static struct {
	struct loop loop;
	struct http_client client;
	struct http_client caller;
	struct http_server node;
	struct address server_address;
	int listen_fd;
	struct encoder encoder;
} world;

/* The answer that was accepted, as a frame carries it. */
static struct {
	bool ended;
	struct stored_answer *stored;
	struct message message;
	struct call_frame frame;
	bool delivered;
} run;

static void require(bool holds, const char *what)
{
	if (holds)
		return;
	fprintf(stderr, "fuzz answer: %s\n", what);
	abort();
}

static void answer_caller(struct http_exchange *exchange, void *data)
{
	const struct call_answer *answer = &run.frame.answer;
	const struct reply_answer reply = {
		.status = answer->status,
		.headers = answer->headers,
		.body = answer->part,
		.upstream = "",
		.request_id = "7",
	};

	reply_answer(exchange, call_names(INTERFACE_PLATFORM), &reply);
}

static void start(void)
{
	struct http_server_options node = {
		.max_body_bytes = 1024,
		.max_connections = 16,
		.idle_timeout_ms = 10000,
		.handler = answer_caller,
	};
	struct error err = ERROR_INIT;

	if (world.loop.pollset)
		return;
	apr_initialize();
	address_parse("127.0.0.1:0", &node.address, &err);
	address_parse("127.0.0.1:0", &world.server_address, &err);
	world.listen_fd = net_listen(&world.server_address, &err);
	require(world.listen_fd != NET_NONE && loop_init(&world.loop, &err) &&
			http_server_init(&world.node, &world.loop, &node,
					 &err) &&
			http_client_init(&world.client, &world.loop, &err) &&
			http_client_init(&world.caller, &world.loop, &err),
		err.text);
	encoder_init(&world.encoder);
}

/* Carries the stored answer through the frame between two nodes. */
static void carry(void)
{
	const struct stored_answer *stored = run.stored;
	const struct call_frame frame = {
		.type = FRAME_ANSWER,
		.answer = { .status = stored->status,
			    .headers = { stored->bytes, stored->headers_bytes },
			    .body_size = stored->body_bytes,
			    .part = { stored->bytes + stored->headers_bytes,
				      stored->body_bytes } },
	};
	struct error err = ERROR_INIT;
	size_t size;
	const uint8_t *bytes = call_frame_encode(&world.encoder, &frame, &size);

	require(message_decode(&run.message, bytes + CODEC_LENGTH_BYTES,
			       size - CODEC_LENGTH_BYTES, &err),
		err.text);
	require(call_frame_decode(&run.frame, &run.message, &err), err.text);
	require(run.frame.answer.status == stored->status,
		"the status changed in the frame");
}

static void answered(const struct http_answer *answer, void *data)
{
	size_t size;

	run.ended = true;
	if (answer->delivery != HTTP_ANSWERED)
		return;
	require(answer->status >= 200, "an informational answer was accepted");
	require(answer->body_size <= BODY_MAX_BYTES, "the body is too large");
	run.stored = upstream_store_answer(call_names(INTERFACE_PLATFORM),
					   answer, false, 0, &size);
	carry();
}

/* Each field of the frame is in the caller's answer, in the same order. */
static void require_fields(const struct http_answer *answer)
{
	struct http_header headers[CALL_HEADERS_MAX];
	size_t count = headers_split(&run.frame.answer.headers, headers);
	size_t at = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		while (at < answer->header_count &&
		       (strcmp(answer->headers[at].name, headers[i].name) ||
			strcmp(answer->headers[at].value, headers[i].value)))
			at++;
		require(at++ < answer->header_count,
			"the caller did not get a field");
	}
}

static void delivered(const struct http_answer *answer, void *data)
{
	const struct call_answer *sent = &run.frame.answer;

	run.delivered = true;
	require(answer->delivery == HTTP_ANSWERED, answer->err->text);
	require(answer->status == sent->status, "the caller got a status");
	require(answer->body_size == sent->part.size &&
			(!sent->part.size ||
			 !memcmp(answer->body, sent->part.data,
				 sent->part.size)),
		"the caller got another body");
	require_fields(answer);
}

static void send_request(struct http_client *client,
			 const struct address *address, http_answer_fn *done)
{
	const struct http_header headers[] = { { "X-Request-Id", "7" } };
	char text[ADDRESS_TEXT_SIZE];
	char url[ADDRESS_TEXT_SIZE + 16];
	const struct http_request request = {
		.method = "GET",
		.url = url,
		.headers = headers,
		.header_count = 1,
		.max_answer_bytes = client == &world.caller
					    ? CALLER_BODY_MAX_BYTES
					    : BODY_MAX_BYTES,
		.new_connection = true,
		.echo_header = client == &world.client ? "X-Request-Id" : NULL,
	};

	snprintf(url, sizeof(url), "http://%s/x",
		 address_format(address, text));
	http_client_send(client, &request, done, NULL);
}

static int accept_one(void)
{
	struct address from;
	int fd = NET_NONE;
	int i;

	for (i = 0; i < TURNS_MAX && fd == NET_NONE; i++) {
		loop_turn(&world.loop, 0);
		fd = net_accept(world.listen_fd, &from);
	}
	require(fd != NET_NONE, "the client did not connect");
	return fd;
}

static void send_pieces(int fd, const uint8_t *data, size_t size,
			size_t piece_bytes)
{
	while (size && !run.ended) {
		size_t moved = size < piece_bytes ? size : piece_bytes;

		if (net_write(fd, data, &moved) == NET_FAILED)
			return;
		data += moved;
		size -= moved;
		loop_turn(&world.loop, 0);
	}
}

static void wait_for(const bool *done, const char *what)
{
	int i;

	for (i = 0; i < TURNS_MAX && !*done; i++)
		loop_turn(&world.loop, TURN_US);
	require(*done, what);
}

void fuzz_answer(const uint8_t *data, size_t size)
{
	size_t piece_bytes = size ? data[0] * 8 + 1 : 1;
	int fd;

	start();
	memset(&run, 0, sizeof(run));
	send_request(&world.client, &world.server_address, answered);
	fd = accept_one();
	if (size)
		send_pieces(fd, data + 1, size - 1, piece_bytes);
	net_close(fd);
	wait_for(&run.ended, "the request did not end");
	if (!run.stored)
		return;
	send_request(&world.caller, http_server_address(&world.node),
		     delivered);
	wait_for(&run.delivered, "the caller got no answer");
	message_finish(&run.message);
	free(run.stored);
}
