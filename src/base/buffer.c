#include "base/buffer.h"

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	BUFFER_FIRST_BYTES = 1024,
	/* Of an empty buffer: there are a hundred connections with one or two
	 * each, and most messages are far smaller. */
	BUFFER_KEEP_BYTES = 8 * 1024,
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
		capacity = BUFFER_FIRST_BYTES;
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
	va_list again;
	int size;

	va_start(args, fmt);
	va_copy(again, args);
	size = vsnprintf(NULL, 0, fmt, args);
	assert(size >= 0);
	/* One more byte for the terminator, which is not kept. */
	vsnprintf((char *)buffer_reserve(buffer, (size_t)size + 1),
		  (size_t)size + 1, fmt, again);
	buffer_commit(buffer, (size_t)size);
	va_end(again);
	va_end(args);
}

void buffer_consume(struct buffer *buffer, size_t size)
{
	buffer->start += size;
	if (buffer->start < buffer->end)
		return;
	buffer->start = 0;
	buffer->end = 0;
	if (buffer->capacity > BUFFER_KEEP_BYTES)
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
