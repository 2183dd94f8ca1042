#ifndef REVIEW_HTTP_H
#define REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

/* Small blocking HTTP/1.1 for the stand-ins of the review. */

enum { HEAD_MAX = 64 * 1024, TEXT_MAX = 256 };

/* One connection and the bytes read from it that no message has used. */
struct stream {
	int fd;
	size_t used;
	char bytes[HEAD_MAX];
};

struct message {
	char head[HEAD_MAX]; /* start line and fields, without the empty line */
	char *body;
	size_t body_size;
	bool has_length;
	bool whole;
};

double now_s(void);
void sleep_s(double seconds);

/* Appends a line "TIME WHO EVENT ..." to the log. Thread-safe. */
void record_open(const char *path, const char *who);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));

/* "IP:PORT" */
int listen_at(const char *address);
int connect_to(const char *address);

bool send_all(int fd, const void *data, size_t size);

/* Reads start line and fields. Returns false if the connection ends first. */
bool read_head(struct stream *stream, struct message *message);
/* Reads the body of a request, or of an answer with @is_answer. */
bool read_body(struct stream *stream, struct message *message, bool is_answer);
void message_finish(struct message *message);

/* Copies the value of a field; returns false and an empty text if absent. */
bool field(const struct message *message, const char *name,
	   char value[TEXT_MAX]);

#endif
