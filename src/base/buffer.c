#include "base/buffer.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	BUFFER_INITIAL_BYTES = 1024,
	/* Larger buffers are freed when they become empty: each of many
	 * connections has one or two buffers, and most messages are small. */
	BUFFER_KEEP_MAX_BYTES = 8 * 1024,
};

static void move_to_front(struct buffer *buffer)
{
	if (!buffer->start)
		return;
	memmove(buffer->bytes, buffer_data(buffer), buffer_size(buffer));
	buffer->end -= buffer->start;
	buffer->start = 0;
}

uint8_t *buffer_reserve(struct buffer *buffer, size_t size)
{
	size_t capacity = buffer->capacity;

	if (buffer->capacity - buffer->end >= size)
		return buffer->bytes + buffer->end;
	move_to_front(buffer);
	if (!capacity)
		capacity = BUFFER_INITIAL_BYTES;
	while (capacity - buffer->end < size)
		capacity *= 2;
	if (capacity != buffer->capacity) {
		buffer->bytes = realloc(buffer->bytes, capacity);
		if (!buffer->bytes)
			abort();
		buffer->capacity = capacity;
	}
	return buffer->bytes + buffer->end;
}

void buffer_commit(struct buffer *buffer, size_t size)
{
	buffer->end += size;
}

void buffer_append(struct buffer *buffer, const void *data, size_t size)
{
	if (!size)
		return;
	memcpy(buffer_reserve(buffer, size), data, size);
	buffer_commit(buffer, size);
}

void buffer_append_text(struct buffer *buffer, const char *text)
{
	buffer_append(buffer, text, strlen(text));
}

void buffer_append_format(struct buffer *buffer, const char *fmt, ...)
{
	va_list args;
	va_list args_copy;
	int size;

	va_start(args, fmt);
	va_copy(args_copy, args);
	size = vsnprintf(NULL, 0, fmt, args);
	assert(size >= 0);
	/* vsnprintf() also writes a terminator, which is not committed. */
	vsnprintf((char *)buffer_reserve(buffer, (size_t)size + 1),
		  (size_t)size + 1, fmt, args_copy);
	buffer_commit(buffer, (size_t)size);
	va_end(args_copy);
	va_end(args);
}

void buffer_consume(struct buffer *buffer, size_t size)
{
	buffer->start += size;
	if (buffer->start < buffer->end)
		return;
	buffer->start = 0;
	buffer->end = 0;
	if (buffer->capacity > BUFFER_KEEP_MAX_BYTES)
		buffer_finish(buffer);
}

void buffer_finish(struct buffer *buffer)
{
	free(buffer->bytes);
	memset(buffer, 0, sizeof(*buffer));
}

void buffer_remove_last(struct buffer *buffer, size_t size)
{
	assert(size <= buffer_size(buffer));
	buffer->end -= size;
}
