#include "fuzz/mutate.h"

#include <string.h>

enum { CHANGES_MAX = 4, RUN_MAX = 32, MUTATED_MAX_BYTES = 64 * 1024 };

enum change {
	CHANGE_BIT,
	CHANGE_BYTE,
	CHANGE_LIMIT, /* a value at the edge of its range */
	CHANGE_CUT,
	CHANGE_DROP,
	CHANGE_REPEAT,
	CHANGE_INSERT,
	CHANGES,
};

/* Insert a copy of @size bytes at @at. */
static void insert(struct buffer *input, size_t at, const uint8_t *bytes,
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

static void drop(struct buffer *input, size_t at, size_t size)
{
	size_t rest = buffer_size(input) - at - size;

	memmove(buffer_data(input) + at, buffer_data(input) + at + size, rest);
	input->end -= size;
}

static void change(struct buffer *input, enum change how, struct random *random)
{
	static const uint8_t limits[] = { 0x00, 0x7f, 0x80, 0xff,
					  0xc1, 0xdd, 0xdf, '"' };
	size_t size = buffer_size(input);
	size_t at = random_below(random, (uint32_t)size);
	size_t run = 1 + random_below(random, RUN_MAX);
	uint8_t copy[RUN_MAX + 1];

	if (run > size - at)
		run = size - at;
	memcpy(copy, buffer_data(input) + at, run);
	switch (how) {
	case CHANGE_BIT:
		buffer_data(input)[at] ^=
			(uint8_t)(1U << random_below(random, 8));
		return;
	case CHANGE_BYTE:
		buffer_data(input)[at] = (uint8_t)random_below(random, 256);
		return;
	case CHANGE_LIMIT:
		buffer_data(input)[at] =
			limits[random_below(random, sizeof(limits))];
		return;
	case CHANGE_CUT:
		input->end = input->start + at;
		return;
	case CHANGE_DROP:
		drop(input, at, run);
		return;
	case CHANGE_REPEAT:
		insert(input, at, copy, run);
		return;
	case CHANGE_INSERT:
		memset(copy, (int)random_below(random, 256), run);
		insert(input, at, copy, run);
		return;
	case CHANGES:
		return;
	}
}

void mutate(struct buffer *input, struct random *random)
{
	uint32_t changes = 1 + random_below(random, CHANGES_MAX);

	while (changes-- && buffer_size(input))
		change(input, (enum change)random_below(random, CHANGES),
		       random);
}
