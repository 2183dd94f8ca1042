#ifndef BASE_BUFFER_H
#define BASE_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: buffer
 *
 * A growing run of bytes with a read position, for what waits to be sent or
 * to be parsed. Memory that a large message took is given back once it is
 * consumed. Running out of memory ends the process: a node that cannot
 * allocate is replaced, not mended.
 */

struct buffer {
	uint8_t *bytes;
	size_t start; /* first byte not consumed */
	size_t end;
	size_t capacity;
};

static inline size_t buffer_size(const struct buffer *buffer)
{
	return buffer->end - buffer->start;
}

static inline uint8_t *buffer_data(const struct buffer *buffer)
{
	return buffer->bytes + buffer->start;
}

/** buffer_reserve() - room for @size more bytes; returns where they go. */
uint8_t *buffer_reserve(struct buffer *buffer, size_t size);

/** buffer_commit() - @size of the reserved bytes were filled in. */
void buffer_commit(struct buffer *buffer, size_t size);

void buffer_append(struct buffer *buffer, const void *data, size_t size);

/** buffer_append_text() - append a text without its terminator. */
void buffer_append_text(struct buffer *buffer, const char *text);

/** buffer_append_format() - append as printf() does, without a terminator. */
void buffer_append_format(struct buffer *buffer, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** buffer_consume() - forget the first @size bytes. */
void buffer_consume(struct buffer *buffer, size_t size);

/** buffer_remove_last() - forget the last @size bytes. */
void buffer_remove_last(struct buffer *buffer, size_t size);

/** buffer_finish() - free the memory; the buffer is empty and usable. */
void buffer_finish(struct buffer *buffer);

#endif
