#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "http.h"

/*
 * Clients that send requests on kept connections, one after the other on each.
 * Each request has its own id. A request that gets 429 or 503, which promise
 * that it has not run, is repeated once after Retry-After, on a new connection
 * and with an id of its own: that of the first, and an "r".
 *
 *	client NODE HOST PATH METHOD BODY-BYTES CONNECTIONS PAUSE-MS DEADLINE-MS
 *		SECONDS NAME LOG
 */

enum { PLAIN_HEAD_MAX = 1024 };

static const char *node;
static const char *host;
static const char *path;
static const char *method;
static size_t body_bytes;
static int pause_ms;
static int deadline_ms;
static double until_s;
static const char *name;

/* Returns whether the body is the whole body that a backend made for the id. */
static const char *judge_body(const struct message *answer, const char *id)
{
	char begin[TEXT_MAX];
	char end[TEXT_MAX];
	size_t size = (size_t)snprintf(end, sizeof(end), " END %s", id);

	snprintf(begin, sizeof(begin), "BEGIN %s ", id);
	if (!answer->body ||
	    strncmp(answer->body, begin, strlen(begin)) != 0)
		return "other";
	if (answer->body_size < size ||
	    memcmp(answer->body + answer->body_size - size, end, size) != 0)
		return "cut";
	return "whole";
}

/* Returns the seconds until the request may be repeated; -1 if it may not. */
static double note_answer(const struct message *answer, const char *id)
{
	char stamp[TEXT_MAX];
	char retry[TEXT_MAX];
	bool stamped = field(answer, "X-Response-Stamp", stamp);

	field(answer, "Retry-After", retry);
	record("got %s status=%.3s stamp=%s body=%s complete=%d bytes=%zu "
	       "retry-after=%s",
	       id, answer->head + 9, stamped ? "yes" : "no",
	       judge_body(answer, id), answer->whole, answer->body_size,
	       *retry ? retry : "none");
	if (strncmp(answer->head + 9, "429", 3) != 0 &&
	    strncmp(answer->head + 9, "503", 3) != 0)
		return -1;
	return atof(retry);
}

/* Sends one request. Returns false if the connection cannot be kept. */
static bool exchange(struct stream *stream, struct message *answer,
		     const char *id, bool kept, const char *body,
		     double *repeat_s)
{
	char head[PLAIN_HEAD_MAX];
	char value[TEXT_MAX];
	double began_s = now_s();
	bool keep;

	*repeat_s = -1;
	snprintf(head, sizeof(head),
		 "%s %s%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
		 "X-Deadline-Ms: %d\r\nContent-Length: %zu\r\n\r\n",
		 method, path, id, host, id, deadline_ms, body_bytes);
	record("sent %s kept=%d", id, kept);
	if (!send_all(stream->fd, head, strlen(head)) ||
	    !send_all(stream->fd, body, body_bytes) ||
	    !read_head(stream, answer)) {
		if (now_s() - began_s >= deadline_ms / 1000.0)
			record("gave-up %s", id);
		else
			record("closed %s kept=%d without an answer", id, kept);
		return false;
	}
	read_body(stream, answer, true);
	*repeat_s = note_answer(answer, id);
	keep = answer->whole && answer->has_length &&
	       !(field(answer, "Connection", value) && !strcmp(value, "close"));
	message_finish(answer);
	return keep;
}

static bool open_connection(struct stream *stream)
{
	struct timeval wait = { deadline_ms / 1000,
				deadline_ms % 1000 * 1000 };

	stream->used = 0;
	stream->fd = connect_to(node);
	if (stream->fd < 0)
		return false;
	setsockopt(stream->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	return true;
}

static void *run_client(void *data)
{
	struct stream *stream = calloc(1, sizeof(*stream));
	struct message *answer = calloc(1, sizeof(*answer));
	char *body = malloc(body_bytes + 1);
	unsigned long number = 0;
	double repeat_s = -1;
	bool kept = false;

	memset(body, 'b', body_bytes);
	stream->fd = -1;
	while (now_s() < until_s) {
		char id[TEXT_MAX];

		if (stream->fd < 0 && !open_connection(stream)) {
			sleep_s(0.1);
			continue;
		}
		snprintf(id, sizeof(id), "%s-%ld-%lu%s", name, (long)data,
			 repeat_s < 0 ? ++number : number,
			 repeat_s < 0 ? "" : "r");
		kept = exchange(stream, answer, id, kept, body, &repeat_s);
		/* A repeat is not repeated. */
		if (id[strlen(id) - 1] == 'r')
			repeat_s = -1;
		if (!kept || repeat_s >= 0) {
			close(stream->fd);
			stream->fd = -1;
			kept = false;
		}
		sleep_s(repeat_s < 0 ? pause_ms / 1000.0 : repeat_s);
	}
	if (stream->fd >= 0)
		close(stream->fd);
	free(stream);
	free(answer);
	free(body);
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t threads[64];
	long count;
	long i;

	if (argc != 12) {
		fprintf(stderr, "usage: see client.c\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	node = argv[1];
	host = argv[2];
	path = argv[3];
	method = argv[4];
	body_bytes = strtoul(argv[5], NULL, 10);
	count = atol(argv[6]);
	pause_ms = atoi(argv[7]);
	deadline_ms = atoi(argv[8]);
	until_s = now_s() + atof(argv[9]);
	name = argv[10];
	record_open(argv[11], name);
	if (count > 64)
		return 2;
	for (i = 0; i < count; i++)
		pthread_create(&threads[i], NULL, run_client, (void *)i);
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	return 0;
}
