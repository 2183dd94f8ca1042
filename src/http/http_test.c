#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/client.h"
#include "http/server.h"
#include "os/net.h"

enum { TURNS = 400, TURN_US = 5000, BODY_LIMIT_BYTES = 1000 };

static struct loop loop;
static struct http_server server;
static struct http_client client;
static struct http_exchange *pending;
static uint32_t requests;
static uint32_t aborts;
static uint32_t answers;
static uint32_t last_status;
static char last_body[64];

static void handler(struct http_exchange *exchange, void *data)
{
	struct http_header header = { "X-Test", "yes" };
	size_t size;
	const uint8_t *body = http_exchange_body(exchange, &size);

	requests++;
	pending = exchange;
	if (strcmp(http_exchange_path(exchange), "/keep"))
		http_exchange_reply(exchange, 200, &header, 1, body, size);
}

static void on_abort(struct http_exchange *exchange, void *data)
{
	aborts++;
}

static void done(const struct http_answer *answer, void *data)
{
	answers++;
	last_status = answer->status;
	snprintf(last_body, sizeof(last_body), "%.*s", (int)answer->body_size,
		 answer->body);
}

static void turn_until(const uint32_t *count, uint32_t wanted)
{
	int i;

	for (i = 0; i < TURNS && *count < wanted; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_geq(*count, wanted);
}

static void setup(void)
{
	struct http_server_options options = {
		.max_body_bytes = BODY_LIMIT_BYTES,
		.max_connections = 100,
		.idle_timeout_ms = 60000,
		.handler = handler,
	};
	struct error err = ERROR_INIT;

	apr_initialize();
	address_parse("127.0.0.1:0", &options.address, &err);
	cr_assert(loop_init(&loop, &err));
	cr_assert(http_server_init(&server, &loop, &options, &err));
	cr_assert(http_client_init(&client, &loop, &err));
}

static void teardown(void)
{
	http_client_finish(&client);
	http_server_finish(&server);
	loop_finish(&loop);
}

static struct http_transfer *send_to(const char *path, size_t body_size,
				     bool needs_new_connection)
{
	static char body[BODY_LIMIT_BYTES * 2];
	char address[ADDRESS_TEXT_SIZE];
	char url[128];
	struct http_request request = {
		.method = "POST",
		.url = url,
		.body = body,
		.body_size = body_size,
		.timeout_ms = 10000,
		.max_answer_bytes = BODY_LIMIT_BYTES,
		.new_connection = needs_new_connection,
	};

	memset(body, 'a', sizeof(body));
	snprintf(url, sizeof(url), "http://%s%s",
		 address_format(http_server_address(&server), address), path);
	return http_client_send(&client, &request, done, NULL);
}

Test(http, requests_are_answered_with_their_body, .init = setup,
     .fini = teardown)
{
	send_to("/echo", 3, false);
	turn_until(&answers, 1);
	cr_assert_eq(last_status, 200);
	cr_assert_str_eq(last_body, "aaa");
	send_to("/echo", 0, true);
	turn_until(&answers, 2);
	cr_assert_str_eq(last_body, "");
}

Test(http, a_body_over_the_limit_is_refused_without_the_handler, .init = setup,
     .fini = teardown)
{
	send_to("/echo", BODY_LIMIT_BYTES + 1, false);
	turn_until(&answers, 1);
	cr_assert_eq(last_status, 413);
	cr_assert_eq(requests, 0);
}

/* Guards against running a request to the end after its caller has closed the
 * connection. */
Test(http, a_request_is_aborted_when_its_caller_closes, .init = setup,
     .fini = teardown)
{
	struct http_transfer *transfer = send_to("/keep", 3, true);

	turn_until(&requests, 1);
	http_exchange_on_abort(pending, on_abort, NULL);
	http_client_cancel(transfer);
	turn_until(&aborts, 1);
	cr_assert_eq(answers, 0);
	send_to("/echo", 1, false);
	turn_until(&answers, 1);
}

Test(http, an_answer_may_be_given_late, .init = setup, .fini = teardown)
{
	send_to("/keep", 3, false);
	turn_until(&requests, 1);
	http_exchange_reply(pending, 503, NULL, 0, "later", 5);
	turn_until(&answers, 1);
	cr_assert_eq(last_status, 503);
	cr_assert_str_eq(last_body, "later");
}

/* Guards against lost requests at a graceful shutdown: closing the listening
 * socket resets the connections that are still in its backlog. */
Test(http, a_server_that_stops_accepting_answers_earlier_connections,
     .init = setup, .fini = teardown)
{
	static const char request[] =
		"GET /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
	struct error err = ERROR_INIT;
	char answer[32] = "";
	size_t size = sizeof(answer) - 1;
	int early = net_connect(http_server_address(&server), NULL, &err);
	int late;
	int i;

	cr_assert_geq(early, 0);
	cr_assert_eq(send(early, request, strlen(request), 0),
		     (ssize_t)strlen(request));
	http_server_stop_accepting(&server);
	for (i = 0; i < TURNS && net_peek(early) == NET_AGAIN; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(net_read(early, answer, &size), NET_OK);
	cr_assert_eq(strncmp(answer, "HTTP/1.1 200", 12), 0, "%s", answer);
	net_close(early);

	late = net_connect(http_server_address(&server), NULL, &err);
	cr_assert(late == NET_NONE || net_connect_result(late) != 0);
	if (late != NET_NONE)
		net_close(late);
}

/* Guards against lost requests at a graceful shutdown: a caller that reuses an
 * open connection while the process exits gets no answer. */
Test(http, a_draining_server_closes_after_each_answer, .init = setup,
     .fini = teardown)
{
	static const char request[] = "GET /echo HTTP/1.1\r\nHost: a\r\n\r\n";
	static const char close_field[] = "Connection: close";
	struct error err = ERROR_INIT;
	int fd = net_connect(http_server_address(&server), NULL, &err);
	char answer[512];
	int round;
	int i;

	for (round = 0; round < 2; round++) {
		size_t size = sizeof(answer) - 1;

		if (round == 1)
			http_server_disable_keep_alive(&server);
		cr_assert_eq(send(fd, request, strlen(request), 0),
			     (ssize_t)strlen(request));
		for (i = 0; i < TURNS && net_peek(fd) == NET_AGAIN; i++)
			loop_turn(&loop, TURN_US);
		memset(answer, 0, sizeof(answer));
		cr_assert_eq(net_read(fd, answer, &size), NET_OK);
		cr_assert_eq(strstr(answer, close_field) != NULL, round == 1,
			     "%s", answer);
	}
	for (i = 0; i < TURNS && net_peek(fd) == NET_AGAIN; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(net_peek(fd), NET_CLOSED);
	net_close(fd);
}

static bool cancelled_unsent;

static void cancel_transfer(struct watch *watch, int ready, void *data)
{
	cancelled_unsent = !http_client_was_sent(data);
	http_client_cancel(data);
	watch_stop(watch);
}

/* Guards against a request that reaches its server although its cancellation
 * was already received: both wait while the connection is established. */
Test(http, a_request_cancelled_as_its_connection_opens_is_not_sent,
     .init = setup, .fini = teardown)
{
	struct http_transfer *transfer = send_to("/echo", 1, true);
	struct error err = ERROR_INIT;
	struct watch watch;
	int ends[2];

	cr_assert_eq(pipe(ends), 0);
	loop_turn(&loop, 0);
	/* The connection is established and reported first. */
	cr_assert(watch_start(&watch, &loop, ends[0], LOOP_READ,
			      cancel_transfer, transfer, &err));
	cr_assert_eq(write(ends[1], "x", 1), 1);
	loop_turn(&loop, TURN_US);
	cr_assert(cancelled_unsent);
	loop_turn(&loop, TURN_US);
	cr_assert_eq(requests, 0);
	net_close(ends[0]);
	net_close(ends[1]);
}
