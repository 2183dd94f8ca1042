#ifndef BASE_BUFFER_H
#define BASE_BUFFER_H

#include <stddef.h>
#include <stdint.h>

/**
 * DOC: buffer
 *
 * A byte buffer that grows on demand and has a read position, for data that
 * waits to be sent or parsed. The memory of a large message is freed once the
 * message is consumed. The process aborts if an allocation fails.
 */

/**
 * struct buffer - bytes that are not consumed yet; all zeros is an empty buffer
 * @bytes: allocated memory, or NULL
 * @start: offset in @bytes of the first byte that is not consumed
 * @end: offset in @bytes after the last byte
 * @capacity: size of @bytes in bytes
 */
struct buffer {
	uint8_t *bytes;
	size_t start;
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

/**
 * buffer_reserve() - make space for @size more bytes
 *
 * Return: where to write these bytes before buffer_commit()
 */
uint8_t *buffer_reserve(struct buffer *buffer, size_t size);

/** buffer_commit() - append the first @size of the reserved bytes. */
void buffer_commit(struct buffer *buffer, size_t size);

void buffer_append(struct buffer *buffer, const void *data, size_t size);

/** buffer_append_text() - append a string without its terminator. */
void buffer_append_text(struct buffer *buffer, const char *text);

/** buffer_append_format() - append formatted text without a terminator. */
void buffer_append_format(struct buffer *buffer, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/** buffer_consume() - remove the first @size bytes. */
void buffer_consume(struct buffer *buffer, size_t size);

/** buffer_remove_last() - remove the last @size bytes. */
void buffer_remove_last(struct buffer *buffer, size_t size);

/** buffer_finish() - free the memory; the buffer stays usable and is empty. */
void buffer_finish(struct buffer *buffer);

#endif
