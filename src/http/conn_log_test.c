#include <apr_general.h>
#include <criterion/criterion.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "http/server.h"
#include "os/net.h"

enum {
	TURNS = 100,
	TURN_US = 2000,
	LINE_SIZE = 4096,
	/* More than the socket buffers hold. */
	LARGE_BYTES = 32 * 1024 * 1024,
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static struct loop loop;
static struct http_server server;
static struct http_exchange *pending;
static char *large;
static int log_end;

static void handler(struct http_exchange *exchange, void *data)
{
	pending = exchange;
	if (!strcmp(http_exchange_path(exchange), "/large"))
		http_exchange_reply(exchange, 200, NULL, 0, large, LARGE_BYTES);
	else if (!strcmp(http_exchange_path(exchange), "/small"))
		http_exchange_reply(exchange, 200, NULL, 0, "x", 1);
}

static void log_into_pipe(void)
{
	struct log_options options = { .level = LOG_INFO,
				       .data_centre = "dc",
				       .instance = "i" };
	int ends[2];

	cr_assert_eq(pipe2(ends, O_NONBLOCK), 0);
	log_end = ends[0];
	options.fd = ends[1];
	log_init(&options);
}

static void setup(void)
{
	struct http_server_options options = {
		.max_body_bytes = 100,
		.max_connections = 20,
		.idle_timeout_ms = 60000,
		.id_field = "X-Id",
		.handler = handler,
	};
	struct error err = ERROR_INIT;

	apr_initialize();
	large = calloc(1, LARGE_BYTES);
	cr_assert_not_null(large);
	log_into_pipe();
	address_parse("127.0.0.1:0", &options.address, &err);
	cr_assert(loop_init(&loop, &err));
	cr_assert(http_server_init(&server, &loop, &options, &err));
}

static void teardown(void)
{
	http_server_finish(&server);
	loop_finish(&loop);
	free(large);
}

static void run(void)
{
	int i;

	for (i = 0; i < TURNS; i++)
		loop_turn(&loop, TURN_US);
}

static int send_request(const char *path)
{
	struct error err = ERROR_INIT;
	int fd = net_connect(http_server_address(&server), NULL, &err);
	char text[128];
	int size = snprintf(text, sizeof(text),
			    "GET %s HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n\r\n",
			    path);

	cr_assert_neq(fd, NET_NONE, "%s", err.text);
	cr_assert_eq(send(fd, text, (size_t)size, MSG_NOSIGNAL), size);
	return fd;
}

/* Returns the line with @event; the caller releases it. NULL without one. */
static json_t *find_line(const char *event)
{
	static char lines[LINE_SIZE];
	ssize_t size = read(log_end, lines, sizeof(lines) - 1);
	json_t *found = NULL;
	char *rest = lines;
	char *line;

	lines[size > 0 ? size : 0] = '\0';
	while (!found && (line = strsep(&rest, "\n"))) {
		json_t *json = json_loads(line, 0, NULL);
		const char *name =
			json_string_value(json_object_get(json, "event"));

		if (name && !strcmp(name, event))
			found = json_incref(json);
		json_decref(json);
	}
	return found;
}

enum ending { CALLER_CLOSES, SERVER_STOPS };

static const struct {
	const char *name;
	const char *path;
	const char *end; /* NULL: no line */
	enum ending ending;
	bool begun;
} cases[] = {
	{ "answer written in part, caller closes", "/large", "reset",
	  CALLER_CLOSES, true },
	{ "answer written in part, process ends", "/large", "stopped",
	  SERVER_STOPS, true },
	{ "no answer yet, process ends", "/later", "stopped", SERVER_STOPS,
	  false },
	{ "no answer yet, caller closes", "/later", NULL, CALLER_CLOSES,
	  false },
	{ "answer written whole, process ends", "/small", NULL, SERVER_STOPS,
	  false },
};

static void check(const json_t *line, size_t i)
{
	cr_assert_not_null(line, "%s: no line", cases[i].name);
	cr_expect_str_eq(json_string_value(json_object_get(line, "request")),
			 "r1", "%s", cases[i].name);
	cr_expect_str_eq(json_string_value(json_object_get(line, "end")),
			 cases[i].end, "%s", cases[i].name);
	cr_expect_eq(json_integer_value(json_object_get(line, "begun")),
		     cases[i].begun, "%s", cases[i].name);
	cr_expect_eq(json_integer_value(
			     json_object_get(line, "unwritten_bytes")) > 0,
		     cases[i].begun, "%s", cases[i].name);
}

/* Guards against answers that end before their last byte without a log line. */
Test(conn_log, an_answer_that_is_cut_leaves_a_line)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		json_t *line;
		int fd;

		setup();
		fd = send_request(cases[i].path);
		run();
		if (cases[i].ending == CALLER_CLOSES) {
			net_close(fd);
			run();
		}
		http_server_finish(&server);
		line = find_line("answer_cut");
		if (cases[i].end)
			check(line, i);
		else
			cr_expect_null(line, "%s", cases[i].name);
		json_decref(line);
		teardown();
	}
}
