#include "fuzz/mutate.h"

#include <string.h>

enum { CHANGES_MAX = 4, RUN_MAX = 32, MUTATED_MAX_BYTES = 64 * 1024 };

enum change {
	CHANGE_FLIP_BIT,
	CHANGE_RANDOM_BYTE,
	CHANGE_BOUNDARY_VALUE, /* a byte that is special in some format */
	CHANGE_TRUNCATE,
	CHANGE_REMOVE,
	CHANGE_DUPLICATE,
	CHANGE_INSERT,
	CHANGE_TYPES,
};

/* Does nothing if the input would exceed MUTATED_MAX_BYTES. */
static void insert_bytes(struct buffer *input, size_t at, const uint8_t *bytes,
			 size_t size)
{
	size_t rest = buffer_size(input) - at;

	if (buffer_size(input) + size > MUTATED_MAX_BYTES)
		return;
	buffer_reserve(input, size);
	buffer_commit(input, size);
	memmove(buffer_data(input) + at + size, buffer_data(input) + at, rest);
	memcpy(buffer_data(input) + at, bytes, size);
}

static void remove_bytes(struct buffer *input, size_t at, size_t size)
{
	size_t rest = buffer_size(input) - at - size;

	memmove(buffer_data(input) + at, buffer_data(input) + at + size, rest);
	input->end -= size;
}

static void change(struct buffer *input, enum change type,
		   struct random *random)
{
	static const uint8_t boundary_values[] = { 0x00, 0x7f, 0x80, 0xff,
						   0xc1, 0xdd, 0xdf, '"' };
	size_t size = buffer_size(input);
	size_t at = random_below(random, (uint32_t)size);
	size_t run = 1 + random_below(random, RUN_MAX);
	uint8_t copy[RUN_MAX + 1];

	if (run > size - at)
		run = size - at;
	memcpy(copy, buffer_data(input) + at, run);
	switch (type) {
	case CHANGE_FLIP_BIT:
		buffer_data(input)[at] ^=
			(uint8_t)(1U << random_below(random, 8));
		return;
	case CHANGE_RANDOM_BYTE:
		buffer_data(input)[at] = (uint8_t)random_below(random, 256);
		return;
	case CHANGE_BOUNDARY_VALUE:
		buffer_data(input)[at] = boundary_values[random_below(
			random, sizeof(boundary_values))];
		return;
	case CHANGE_TRUNCATE:
		input->end = input->start + at;
		return;
	case CHANGE_REMOVE:
		remove_bytes(input, at, run);
		return;
	case CHANGE_DUPLICATE:
		insert_bytes(input, at, copy, run);
		return;
	case CHANGE_INSERT:
		memset(copy, (int)random_below(random, 256), run);
		insert_bytes(input, at, copy, run);
		return;
	case CHANGE_TYPES:
		return;
	}
}

void mutate(struct buffer *input, struct random *random)
{
	uint32_t change_count = 1 + random_below(random, CHANGES_MAX);

	while (change_count-- && buffer_size(input))
		change(input, (enum change)random_below(random, CHANGE_TYPES),
		       random);
}
