#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"

/*
 * A backend as PROTOCOL.md describes it: heartbeats to the control address of
 * its machine, slots, a short queue, X-Target-Instance, X-Not-Executed,
 * X-Response-Stamp, X-Server-Load, Keep-Alive; it drops a request whose
 * connection closes. Within a span of time it spoils a share of its answers in
 * one way ("garble"):
 *
 *	junk   a line of the head is repeated many times
 *	copy   a complete answer is sent once more, at the point where the next
 *	       answer of the connection is expected
 *	cut    an answer without a length breaks off: the connection is reset
 *
 *	backend name=value...
 */

enum { SLOT_WAIT_MS = 2000, JUNK_LINES = 90, FIELD_MAX = 2048 };

static struct {
	const char *address;
	const char *control;
	const char *id;
	const char *service;
	const char *zone;
	const char *log;
	const char *spoil;
	double share;   /* of the answers that are spoiled */
	double from_s;  /* seconds since 1970 */
	double to_s;
	int slots;
	int queue;
	int work_ms;
	int answer_bytes;
	int reject_every; /* every n-th request gets 429; 0: none */
	int early_bytes;  /* of a longer body read before the answer; 0: all */
	bool unframed;
	int mss;
	int receive_bytes;
	unsigned seed;
} options = {
	.zone = "hall-a",
	.spoil = "",
	.slots = 9,
	.queue = 36,
	.work_ms = 20,
	.answer_bytes = 400,
	.seed = 1,
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t freed = PTHREAD_COND_INITIALIZER;
static int running;
static int waiting;
static unsigned long request_count;
static unsigned long answer_count;

/* What is kept of a connection between two requests. */
struct connection {
	struct stream stream;
	char *copy; /* answer that is sent a second time */
	size_t copy_size;
};

/* Spoils one answer of every 1/share, spread evenly. */
static bool is_spoiled(const char *how)
{
	double now = now_s();
	unsigned long number;
	bool spoiled;

	if (strcmp(options.spoil, how) || now < options.from_s ||
	    now >= options.to_s)
		return false;
	pthread_mutex_lock(&lock);
	number = answer_count++;
	spoiled = (long)((double)(number + 1) * options.share) >
		  (long)((double)number * options.share);
	pthread_mutex_unlock(&lock);
	return spoiled;
}

static bool is_closed(int fd)
{
	char byte;
	ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !got || (got < 0 && errno != EAGAIN && errno != EINTR);
}

/* Returns false if all slots and places of the queue are taken. */
static bool take_slot(void)
{
	bool taken = true;

	pthread_mutex_lock(&lock);
	if (running >= options.slots && waiting >= options.queue) {
		taken = false;
	} else {
		waiting++;
		while (running >= options.slots)
			pthread_cond_wait(&freed, &lock);
		waiting--;
		running++;
	}
	pthread_mutex_unlock(&lock);
	return taken;
}

static void free_slot(void)
{
	pthread_mutex_lock(&lock);
	running--;
	pthread_cond_signal(&freed);
	pthread_mutex_unlock(&lock);
}

/* Works for a time. Returns false if the connection closes meanwhile. */
static bool work(int fd, double for_s)
{
	double until_s = now_s() + for_s;

	while (now_s() < until_s) {
		double left_s = until_s - now_s();

		sleep_s(left_s < 0.01 ? left_s : 0.01);
		if (is_closed(fd))
			return false;
	}
	return true;
}

struct answer {
	int status;
	const char *reason;
	bool not_executed;
	bool stamped;
	bool unframed;
	bool junk;
};

/* Writes an answer to memory. The body names the request and its end. */
static char *compose(const struct answer *answer, const char *request_id,
		     size_t *size)
{
	size_t body = answer->status == 200 ? (size_t)options.answer_bytes : 0;
	char *text = calloc(1, body + 64 * 1024);
	size_t used;
	size_t start;
	int i;

	used = (size_t)sprintf(text,
			       "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\n"
			       "X-Server-Load: %d,%d,%d\r\n",
			       answer->status, answer->reason, request_id,
			       running, waiting, options.slots);
	if (answer->stamped)
		used += (size_t)sprintf(text + used,
					"X-Response-Stamp: %s.%s\r\n",
					options.id, request_id);
	for (i = 0; answer->junk && i < JUNK_LINES; i++)
		used += (size_t)sprintf(text + used,
					"X-Server-Load: %d,%d,%d\r\n", running,
					waiting, options.slots);
	if (answer->not_executed)
		used += (size_t)sprintf(text + used, "X-Not-Executed: 1\r\n");
	if (answer->unframed)
		used += (size_t)sprintf(text + used, "Connection: close\r\n");
	else
		used += (size_t)sprintf(text + used,
					"Keep-Alive: timeout=10\r\n"
					"Content-Length: %zu\r\n",
					body);
	used += (size_t)sprintf(text + used, "\r\n");
	start = used;
	if (body) {
		used += (size_t)sprintf(text + used, "BEGIN %s ", request_id);
		while (used - start < body - strlen(request_id) - 5)
			text[used++] = '.';
		used += (size_t)sprintf(text + used, " END %s", request_id);
		used = start + body;
	}
	*size = used;
	return text;
}

/* Sends an answer, and perhaps keeps it to be sent once more. */
static bool send_answer(struct connection *connection,
			const struct answer *answer, const char *request_id)
{
	struct answer sent = *answer;
	bool ok;
	char *text;
	size_t size;

	sent.junk = answer->status == 200 && is_spoiled("junk");
	if (sent.junk)
		record("spoils %s head", request_id);
	text = compose(&sent, request_id, &size);
	ok = send_all(connection->stream.fd, text, size);
	if (ok && is_spoiled("copy")) {
		connection->copy = text;
		connection->copy_size = size;
		record("spoils %s status=%d again", request_id, answer->status);
	} else {
		free(text);
	}
	return ok;
}

static void send_copy(struct connection *connection)
{
	if (!connection->copy)
		return;
	record("sends-copy");
	send_all(connection->stream.fd, connection->copy,
		 connection->copy_size);
	free(connection->copy);
	connection->copy = NULL;
}

/* Answers without a length; the end of the connection ends the answer. */
static void answer_unframed(struct connection *connection,
			    const char *request_id)
{
	const struct answer answer = { .status = 200,
				       .reason = "OK",
				       .stamped = true,
				       .unframed = true };
	const struct linger at_once = { 1, 0 };
	struct stream *stream = &connection->stream;
	bool cut = is_spoiled("cut");
	size_t size;
	char *text = compose(&answer, request_id, &size);

	if (cut) {
		send_all(stream->fd, text, size / 2);
		/* The bytes are on their way before the connection breaks. */
		sleep_s(0.05);
		record("spoils %s reset after %zu of %zu bytes", request_id,
		       size / 2, size);
		free(text);
		/* The close that follows resets the connection. */
		setsockopt(stream->fd, SOL_SOCKET, SO_LINGER, &at_once,
			   sizeof(at_once));
		return;
	}
	send_all(stream->fd, text, size);
	free(text);
	shutdown(stream->fd, SHUT_WR);
	do
		stream->used = 0;
	while (recv(stream->fd, stream->bytes, sizeof(stream->bytes), 0) > 0);
}

static bool reject(struct connection *connection, int status,
		   const char *request_id)
{
	const struct answer answer = { .status = status,
				       .reason = "Not Executed",
				       .not_executed = true };

	record("rejects %s status=%d", request_id, status);
	return send_answer(connection, &answer, request_id);
}

static bool run(struct connection *connection, struct message *request,
		const char *request_id)
{
	struct answer answer = { .status = 200,
				 .reason = "OK",
				 .stamped = true };
	char value[TEXT_MAX];
	double work_s = options.work_ms / 1000.0;
	double left_s = 3600;
	bool ok = true;

	if (field(request, "X-Deadline-Ms", value))
		left_s = atof(value) / 1000;
	if (!take_slot())
		return reject(connection, 503, request_id);
	record("runs %s", request_id);
	if (left_s < work_s) {
		work_s = left_s;
		answer.status = 504;
		answer.reason = "Deadline";
	}
	if (!work(connection->stream.fd, work_s)) {
		record("drops %s", request_id);
		ok = false;
	} else if (options.unframed) {
		record("ran %s status=200", request_id);
		answer_unframed(connection, request_id);
		ok = false;
	} else {
		record("ran %s status=%d", request_id, answer.status);
		ok = send_answer(connection, &answer, request_id);
	}
	free_slot();
	return ok;
}

static bool answer_health(struct connection *connection)
{
	char text[TEXT_MAX];

	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
		 "X-Server-Load: %d,%d,%d\r\nContent-Length: 0\r\n\r\n",
		 options.id, running, waiting, options.slots);
	return send_all(connection->stream.fd, text, strlen(text));
}

static bool is_misdirected(const struct message *request)
{
	char target[TEXT_MAX];

	return field(request, "X-Target-Instance", target) &&
	       strcmp(target, options.id);
}

/* Returns false if the connection is to be closed. */
static bool serve(struct connection *connection, struct message *request)
{
	struct stream *stream = &connection->stream;
	char request_id[TEXT_MAX];
	char length[TEXT_MAX];
	unsigned long number;
	bool answers_early;

	if (!strncmp(request->head, "GET /healthz ", 13))
		return answer_health(connection);
	field(request, "Content-Length", length);
	answers_early = options.early_bytes &&
			atol(length) > options.early_bytes;
	if (answers_early)
		while (stream->used < (size_t)options.early_bytes) {
			ssize_t got = recv(stream->fd,
					   stream->bytes + stream->used,
					   (size_t)options.early_bytes -
						   stream->used,
					   0);

			if (got <= 0)
				return false;
			stream->used += (size_t)got;
		}
	else if (!read_body(stream, request, false))
		return false;
	send_copy(connection);
	if (!field(request, "X-Request-Id", request_id))
		return reject(connection, 400, "none");
	if (is_misdirected(request))
		return reject(connection, 421, request_id);
	pthread_mutex_lock(&lock);
	number = ++request_count;
	pthread_mutex_unlock(&lock);
	if (options.reject_every &&
	    !(number % (unsigned long)options.reject_every))
		return reject(connection, 429, request_id);
	return run(connection, request, request_id);
}

static void *serve_connection(void *data)
{
	struct connection *connection = calloc(1, sizeof(*connection));
	struct message *request = calloc(1, sizeof(*request));
	int one = 1;

	connection->stream.fd = (int)(intptr_t)data;
	setsockopt(connection->stream.fd, IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
	while (read_head(&connection->stream, request) &&
	       serve(connection, request))
		message_finish(request);
	message_finish(request);
	close(connection->stream.fd);
	free(connection->copy);
	free(connection);
	free(request);
	return NULL;
}

static void beat(unsigned long sequence)
{
	struct stream *stream = calloc(1, sizeof(*stream));
	struct message *answer = calloc(1, sizeof(*answer));
	char body[FIELD_MAX];
	char head[FIELD_MAX];

	snprintf(body, sizeof(body),
		 "{\"address\":\"%s\",\"info\":{\"service\":\"%s\","
		 "\"version\":\"v1\",\"zone\":\"%s\",\"slots\":%d},"
		 "\"status\":{\"state\":\"ready\",\"seq\":%lu,"
		 "\"cold_left_s\":0}}",
		 options.address, options.service, options.zone, options.slots,
		 sequence);
	snprintf(head, sizeof(head),
		 "POST /-/Instances.Heartbeat/%s HTTP/1.1\r\nHost: %s\r\n"
		 "Content-Type: application/json\r\nContent-Length: %zu\r\n"
		 "Connection: close\r\n\r\n",
		 options.id, options.control, strlen(body));
	stream->fd = connect_to(options.control);
	if (stream->fd >= 0 && send_all(stream->fd, head, strlen(head)) &&
	    send_all(stream->fd, body, strlen(body)) &&
	    read_head(stream, answer) && sequence == 1)
		record("announced status=%.3s", answer->head + 9);
	if (stream->fd >= 0)
		close(stream->fd);
	free(stream);
	free(answer);
}

static void *send_beats(void *data)
{
	unsigned long sequence = 0;

	for (;;) {
		beat(++sequence);
		sleep_s(1.5);
	}
	return NULL;
}

static void parse_option(const char *name, const char *value)
{
	const struct {
		const char *name;
		const char **text;
		int *number;
		double *real;
	} known[] = {
		{ "address", &options.address, NULL, NULL },
		{ "control", &options.control, NULL, NULL },
		{ "id", &options.id, NULL, NULL },
		{ "service", &options.service, NULL, NULL },
		{ "zone", &options.zone, NULL, NULL },
		{ "log", &options.log, NULL, NULL },
		{ "spoil", &options.spoil, NULL, NULL },
		{ "share", NULL, NULL, &options.share },
		{ "from", NULL, NULL, &options.from_s },
		{ "to", NULL, NULL, &options.to_s },
		{ "slots", NULL, &options.slots, NULL },
		{ "queue", NULL, &options.queue, NULL },
		{ "work_ms", NULL, &options.work_ms, NULL },
		{ "answer_bytes", NULL, &options.answer_bytes, NULL },
		{ "reject_every", NULL, &options.reject_every, NULL },
		{ "early_bytes", NULL, &options.early_bytes, NULL },
		{ "mss", NULL, &options.mss, NULL },
		{ "receive_bytes", NULL, &options.receive_bytes, NULL },
	};
	size_t i;

	if (!strcmp(name, "unframed")) {
		options.unframed = true;
		return;
	}
	for (i = 0; i < sizeof(known) / sizeof(known[0]); i++) {
		if (strcmp(known[i].name, name))
			continue;
		if (known[i].text)
			*known[i].text = value;
		else if (known[i].number)
			*known[i].number = atoi(value);
		else
			*known[i].real = atof(value);
		return;
	}
	fprintf(stderr, "unknown option %s\n", name);
	exit(2);
}

int main(int argc, char **argv)
{
	pthread_t thread;
	int listener;
	int i;

	for (i = 1; i < argc; i++) {
		char *equals = strchr(argv[i], '=');

		if (!equals)
			return 2;
		*equals = '\0';
		parse_option(argv[i], equals + 1);
	}
	if (!options.address || !options.control || !options.id ||
	    !options.service || !options.log)
		return 2;
	signal(SIGPIPE, SIG_IGN);
	record_open(options.log, options.id);
	listener = listen_at(options.address);
	if (options.mss)
		setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &options.mss,
			   sizeof(int));
	if (options.receive_bytes)
		setsockopt(listener, SOL_SOCKET, SO_RCVBUF,
			   &options.receive_bytes, sizeof(int));
	pthread_create(&thread, NULL, send_beats, NULL);
	for (;;) {
		int fd = accept(listener, NULL, NULL);

		if (fd < 0)
			continue;
		pthread_create(&thread, NULL, serve_connection,
			       (void *)(intptr_t)fd);
		pthread_detach(thread);
	}
}
