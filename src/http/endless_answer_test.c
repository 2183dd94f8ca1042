#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include "base/counter.h"
#include "http/answer_meter.h"
#include "http/client_test.h"
#include "os/net.h"

/* Bytes without end in place of an answer. */

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"

enum {
	BODY_MAX_BYTES = 64 * 1024,
	READ_MAX_BYTES = 256 * 1024,
	PIECE_BYTES = 32 * 1024,
	TEXT_SIZE = ERROR_TEXT_SIZE,
	SHORT_MS = 20,
};

/* What the server sends: @start once, then @again until the client closes. */
struct endless {
	const char *name;
	const char *start;
	const char *again;
	const char *text; /* of the error */
};

static const struct endless kinds[] = {
	{ "noise", "", "\x01\x7f\xfe", "invalid constant string" },
	{ "blank lines", "", "\r\n",
	  "answer exceeds the limit of 163840 bytes besides the body" },
	{ "reason of the status", "HTTP/1.1 200 ", "OK ",
	  "answer exceeds the limit of 163840 bytes besides the body" },
	{ "name of a field", OK_HEAD "X-", "n",
	  "answer exceeds the limit of 65536 bytes of fields" },
	{ "value of a field", OK_HEAD "X-Field: ", "v",
	  "answer exceeds the limit of 65536 bytes of fields" },
	{ "fields", OK_HEAD, "X-Field: v\r\n",
	  "answer exceeds the limit of 128 fields" },
	{ "empty fields", OK_HEAD, "X-Field:\r\n",
	  "answer exceeds the limit of 128 fields" },
	{ "body without a length", OK_HEAD "\r\n", "body",
	  "answer exceeds the limit of 65536 bytes of body" },
	{ "body of a great length",
	  OK_HEAD "Content-Length: 100000000000\r\n\r\n", "body",
	  "answer exceeds the limit of 65536 bytes of body" },
	{ "chunks", CHUNKED, "4\r\nbody\r\n",
	  "answer exceeds the limit of 65536 bytes of body" },
	{ "a chunk of a great length", CHUNKED "fffffffffff\r\n", "body",
	  "answer exceeds the limit of 65536 bytes of body" },
	{ "chunk extension", CHUNKED "4;", "extension",
	  "answer exceeds the limit of 163840 bytes besides the body" },
	{ "trailers", CHUNKED "4\r\nbody\r\n0\r\n", "X-Trailer: v\r\n",
	  "answer exceeds the limit of 128 fields" },
	{ "a trailer", CHUNKED "4\r\nbody\r\n0\r\nX-Trailer: ", "v",
	  "answer exceeds the limit of 65536 bytes of fields" },
	{ "informational answers", "", "HTTP/1.1 102 Processing\r\n\r\n",
	  "answer exceeds the limit of 163840 bytes besides the body" },
	{ "answers of status 0", "", "HTTP/1.1 000 None\r\n\r\n",
	  "answer has a status below 100 or above 599" },
	{ "answers to another request", "",
	  OK_HEAD "X-Id: 6\r\nContent-Length: 4\r\n\r\nbody",
	  "answer exceeds the limit of 163840 bytes besides the body" },
	{ "a long answer to another request",
	  OK_HEAD "X-Id: 6\r\nContent-Length: 100000000000\r\n\r\n", "body",
	  "answer exceeds the limit of 163840 bytes besides the body" },
	{ "an answer to another request without a length",
	  OK_HEAD "X-Id: 6\r\n\r\n", "body",
	  "answer exceeds the limit of 163840 bytes besides the body" },
};

struct outcome {
	bool completed;
	enum http_delivery delivery;
	bool timed_out;
	char text[TEXT_SIZE];
};

static int64_t counter_value(const char *name)
{
	const struct counter *counter;

	for (counter = counter_first(); counter; counter = counter->next)
		if (!strcmp(counter->name, name))
			return counter->value;
	cr_assert_fail("no counter %s", name);
	return 0;
}

static void ended(const struct http_answer *answer, void *data)
{
	struct outcome *outcome = data;

	outcome->completed = true;
	outcome->delivery = answer->delivery;
	outcome->timed_out = answer->timed_out;
	snprintf(outcome->text, sizeof(outcome->text), "%s", answer->err->text);
}

static void send_request(struct outcome *outcome, int64_t timeout_ms)
{
	const struct http_header headers[] = { { "X-Id", "7" } };
	struct http_request request = {
		.method = "GET",
		.headers = headers,
		.header_count = 1,
		.timeout_ms = timeout_ms,
		.max_answer_bytes = BODY_MAX_BYTES,
		.echo_header = "X-Id",
	};

	memset(outcome, 0, sizeof(*outcome));
	client_test_send(&request, ended, outcome);
}

/* Fills @piece with whole copies of @again. */
static size_t fill(char piece[PIECE_BYTES], const char *again)
{
	size_t size = strlen(again);
	size_t count = PIECE_BYTES / size;
	size_t i;

	for (i = 0; i < count * size; i++)
		piece[i] = again[i % size];
	return count * size;
}

static void send_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent > 0) {
			data += sent;
			size -= (size_t)sent;
			continue;
		}
		client_test_run_turns(1);
		if (net_peek(fd) == NET_FAILED)
			return;
	}
}

static void play(const struct endless *kind)
{
	int64_t before = counter_value("http.answer_bytes");
	struct outcome outcome;
	char piece[PIECE_BYTES];
	size_t size = fill(piece, kind->again);
	int64_t read_bytes;
	int fd;
	int i;

	send_request(&outcome, 10000);
	fd = client_test_accept();
	send_all(fd, kind->start, strlen(kind->start));
	for (i = 0; i < CLIENT_TEST_TURNS && !outcome.completed; i++) {
		send(fd, piece, size, MSG_NOSIGNAL);
		client_test_run_turns(1);
	}
	read_bytes = counter_value("http.answer_bytes") - before;
	cr_expect(outcome.completed, "%s", kind->name);
	cr_expect_eq(outcome.delivery, HTTP_MAY_BE_SENT, "%s", kind->name);
	cr_expect_str_eq(outcome.text, kind->text, "%s: %s", kind->name,
			 outcome.text);
	cr_expect_leq(read_bytes, READ_MAX_BYTES, "%s: %lld", kind->name,
		      (long long)read_bytes);
	cr_expect_null(client_test.client.idle, "%s", kind->name);
	net_close(fd);
}

/* Guards against reading and holding bytes without end until the deadline of
 * the request, while other requests of the process wait. */
Test(endless_answer, is_closed_at_its_limit, .init = client_test_setup,
     .fini = client_test_teardown, .timeout = 60)
{
	size_t i;

	for (i = 0; i < COUNT(kinds); i++)
		play(&kinds[i]);
}

/* Guards against a head that comes too slowly to ever reach a limit of bytes,
 * and against a limit on the time that a request takes before its answer. */
Test(endless_answer, a_head_comes_in_time, .init = client_test_setup,
     .fini = client_test_teardown, .timeout = 60)
{
	static const struct {
		const char *name;
		const char *first;
		const char *rest;
		int64_t head_max_ms;
		enum http_delivery delivery;
	} cases[] = {
		{ "a part of the head", "HTTP/1.1 200 OK\r\nX-Fie", "",
		  SHORT_MS, HTTP_MAY_BE_SENT },
		{ "a head and a part of the body",
		  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nh", "i",
		  SHORT_MS, HTTP_ANSWERED },
		{ "no byte", "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		  SHORT_MS, HTTP_ANSWERED },
		{ "an informational answer", "HTTP/1.1 102 Processing\r\n\r\n",
		  "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", SHORT_MS,
		  HTTP_ANSWERED },
		{ "a head in two parts", "HTTP/1.1 200 OK\r\nContent-Le",
		  "ngth: 0\r\n\r\n", ANSWER_HEAD_MAX_MS, HTTP_ANSWERED },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct outcome outcome;
		int fd;
		int turn;

		client_test.client.head_max_ms = cases[i].head_max_ms;
		send_request(&outcome, 0);
		fd = client_test_accept();
		send_all(fd, cases[i].first, strlen(cases[i].first));
		/* Each turn waits until its time has passed. */
		for (turn = 0; turn < 2 * SHORT_MS; turn++)
			client_test_run_turns(1);
		send_all(fd, cases[i].rest, strlen(cases[i].rest));
		for (turn = 0; turn < 20 && !outcome.completed; turn++)
			client_test_run_turns(1);
		cr_expect(outcome.completed, "%s", cases[i].name);
		cr_expect_eq(outcome.delivery, cases[i].delivery, "%s: %s",
			     cases[i].name, outcome.text);
		cr_expect_not(outcome.timed_out, "%s", cases[i].name);
		net_close(fd);
		for (turn = 0; turn < 20 && client_test.client.idle; turn++)
			client_test_run_turns(1);
	}
}
