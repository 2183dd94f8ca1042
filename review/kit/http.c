#include "http.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static FILE *log_file;
static char log_who[TEXT_MAX];
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

double now_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

void sleep_s(double seconds)
{
	struct timespec wait = { (time_t)seconds,
				 (long)((seconds - (time_t)seconds) * 1e9) };

	while (seconds > 0 && nanosleep(&wait, &wait) && errno == EINTR)
		;
}

void record_open(const char *path, const char *who)
{
	log_file = fopen(path, "a");
	if (!log_file) {
		perror(path);
		exit(2);
	}
	snprintf(log_who, sizeof(log_who), "%s", who);
}

void record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&log_lock);
	fprintf(log_file, "%.4f %s ", now_s(), log_who);
	va_start(args, format);
	vfprintf(log_file, format, args);
	va_end(args);
	fputc('\n', log_file);
	fflush(log_file);
	pthread_mutex_unlock(&log_lock);
}

static struct sockaddr_in parse_address(const char *text)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	char ip[TEXT_MAX];
	const char *colon = strchr(text, ':');

	snprintf(ip, sizeof(ip), "%.*s",
		 colon ? (int)(colon - text) : (int)strlen(text), text);
	if (!colon || inet_pton(AF_INET, ip, &address.sin_addr) != 1) {
		fprintf(stderr, "bad address %s\n", text);
		exit(2);
	}
	address.sin_port = htons((uint16_t)atoi(colon + 1));
	return address;
}

int listen_at(const char *address)
{
	struct sockaddr_in name = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&name, sizeof(name)) ||
	    listen(fd, 512)) {
		perror(address);
		exit(2);
	}
	return fd;
}

int connect_to(const char *address)
{
	struct sockaddr_in name = parse_address(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	if (connect(fd, (struct sockaddr *)&name, sizeof(name))) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

bool send_all(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent < 0 && errno == EINTR)
			continue;
		if (sent <= 0)
			return false;
		at += sent;
		size -= (size_t)sent;
	}
	return true;
}

static bool fill(struct stream *stream)
{
	ssize_t got;

	if (stream->used == sizeof(stream->bytes))
		return false;
	do
		got = recv(stream->fd, stream->bytes + stream->used,
			   sizeof(stream->bytes) - stream->used, 0);
	while (got < 0 && errno == EINTR);
	if (got <= 0)
		return false;
	stream->used += (size_t)got;
	return true;
}

static void consume(struct stream *stream, size_t size)
{
	stream->used -= size;
	memmove(stream->bytes, stream->bytes + size, stream->used);
}

bool read_head(struct stream *stream, struct message *message)
{
	char *end;

	memset(message, 0, sizeof(*message));
	while (!(end = memmem(stream->bytes, stream->used, "\r\n\r\n", 4)))
		if (!fill(stream))
			return false;
	memcpy(message->head, stream->bytes, (size_t)(end - stream->bytes));
	consume(stream, (size_t)(end - stream->bytes) + 4);
	return true;
}

bool field(const struct message *message, const char *name,
	   char value[TEXT_MAX])
{
	size_t size = strlen(name);
	const char *at = message->head;

	value[0] = '\0';
	while ((at = strstr(at, "\r\n"))) {
		at += 2;
		if (strncasecmp(at, name, size) || at[size] != ':')
			continue;
		at += size + 1;
		at += strspn(at, " ");
		snprintf(value, TEXT_MAX, "%.*s", (int)strcspn(at, "\r\n"), at);
		return true;
	}
	return false;
}

static bool append(struct stream *stream, struct message *message, size_t size)
{
	while (size) {
		size_t part = size < stream->used ? size : stream->used;

		if (!part) {
			if (!fill(stream))
				return false;
			continue;
		}
		message->body = realloc(message->body,
					message->body_size + part + 1);
		memcpy(message->body + message->body_size, stream->bytes, part);
		message->body_size += part;
		message->body[message->body_size] = '\0';
		consume(stream, part);
		size -= part;
	}
	return true;
}

static bool read_chunks(struct stream *stream, struct message *message)
{
	for (;;) {
		char *end;
		size_t size;

		while (!(end = memmem(stream->bytes, stream->used, "\r\n", 2)))
			if (!fill(stream))
				return false;
		size = strtoul(stream->bytes, NULL, 16);
		consume(stream, (size_t)(end - stream->bytes) + 2);
		if (size && !append(stream, message, size))
			return false;
		while (stream->used < 2)
			if (!fill(stream))
				return false;
		consume(stream, 2);
		if (!size)
			return true;
	}
}

bool read_body(struct stream *stream, struct message *message, bool is_answer)
{
	char value[TEXT_MAX];

	message->whole = true;
	if (field(message, "Transfer-Encoding", value)) {
		message->has_length = true;
		message->whole = read_chunks(stream, message);
	} else if (field(message, "Content-Length", value)) {
		message->has_length = true;
		message->whole = append(stream, message,
					strtoul(value, NULL, 10));
	} else if (is_answer) {
		do
			append(stream, message, stream->used);
		while (fill(stream));
	}
	return message->whole;
}

void message_finish(struct message *message)
{
	free(message->body);
	message->body = NULL;
}
