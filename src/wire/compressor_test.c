#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/random.h"
#include "wire/compressor.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { MESSAGES = 200, MOST_BYTES = 16 * 1024 };

struct ends {
	struct compressor here;
	struct compressor there;
	size_t plain_bytes;
	size_t compressed_bytes;
};

static void carry(struct ends *ends, const void *bytes, size_t size)
{
	struct buffer compressed = { 0 };
	struct buffer decompressed = { 0 };
	struct error err = ERROR_INIT;

	compressor_compress(&ends->here, bytes, size, &compressed);
	cr_assert(compressor_decompress(&ends->there, buffer_data(&compressed),
					buffer_size(&compressed), MOST_BYTES,
					&decompressed, &err),
		  "%s", err.text);
	cr_assert_eq(buffer_size(&decompressed), size);
	cr_assert_eq(memcmp(buffer_data(&decompressed), bytes, size), 0);
	ends->plain_bytes += size;
	ends->compressed_bytes += buffer_size(&compressed);
	buffer_finish(&compressed);
	buffer_finish(&decompressed);
}

static void finish(struct ends *ends)
{
	compressor_finish(&ends->here);
	compressor_finish(&ends->there);
}

/* Requests of one caller: their ids and times differ, the rest does not. */
Test(compressor, what_repeats_costs_little)
{
	struct ends ends = { 0 };
	struct random random;
	int i;

	random_init(&random, 1);
	for (i = 0; i < MESSAGES; i++) {
		char text[400];
		int size = snprintf(
			text, sizeof(text),
			"GET /allocations/%u\nHost: allocation.example\n"
			"Accept: application/json\nUser-Agent: board/2.1\n"
			"Content-Type: application/json\nDeadline-Ms: %u\n"
			"Request-Id: %08x%08x\nCaller-Service: allocation\n",
			random_below(&random, 1000),
			random_below(&random, 1500),
			random_below(&random, UINT32_MAX),
			random_below(&random, UINT32_MAX));

		carry(&ends, text, (size_t)size);
	}
	printf("%zu bytes as %zu\n", ends.plain_bytes, ends.compressed_bytes);
	cr_expect_lt(ends.compressed_bytes * 4, ends.plain_bytes);
	finish(&ends);
}

/* Nothing can be saved on these; little more must be sent. */
Test(compressor, what_cannot_be_made_smaller_hardly_grows)
{
	static uint8_t bytes[MOST_BYTES];
	struct ends ends = { 0 };
	struct random random;
	size_t size;
	size_t i;

	random_init(&random, 2);
	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)random_below(&random, 256);
	for (size = 0; size <= sizeof(bytes); size = size * 2 + 1)
		carry(&ends, bytes, size);
	carry(&ends, bytes, sizeof(bytes));
	cr_expect_lt(ends.compressed_bytes, ends.plain_bytes * 102 / 100);
	finish(&ends);
}

/*
 * Symptom: a node's memory is used up by one peer, or it reads beyond a frame.
 * Sequence: bytes that no compressor wrote, or few that stand for very many.
 * Cause: unpacking them without a bound, or without a check.
 */
Test(compressor, bytes_of_strangers_are_refused)
{
	static const uint8_t zeros[4 * MOST_BYTES];
	static const struct {
		const char *name;
		const char *bytes;
		size_t size;
	} cases[] = {
		{ "rubbish", "\xff\xff\xff\xff\xff", 5 },
		{ "a block of two lengths", "\x00\x05\x00\x00\x00", 5 },
		{ "a distance beyond the window", "\x04\xff\x0f", 3 },
		{ "an end of the stream", "\x03\x00", 2 },
	};
	struct compressor compressor = { 0 };
	struct buffer compressed = { 0 };
	struct buffer decompressed = { 0 };
	struct error err = ERROR_INIT;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		error_clear(&err);
		cr_expect_not(compressor_decompress(&compressor, cases[i].bytes,
						    cases[i].size, MOST_BYTES,
						    &decompressed, &err),
			      "%s", cases[i].name);
		cr_expect_eq(err.code, ERROR_PROTOCOL);
		compressor_finish(&compressor);
	}
	buffer_finish(&decompressed);
	error_clear(&err);
	compressor_compress(&compressor, zeros, sizeof(zeros), &compressed);
	cr_expect_not(compressor_decompress(
		&compressor, buffer_data(&compressed), buffer_size(&compressed),
		MOST_BYTES, &decompressed, &err));
	cr_expect_lt(buffer_size(&decompressed), 2 * MOST_BYTES);
	buffer_finish(&compressed);
	buffer_finish(&decompressed);
	compressor_finish(&compressor);
}
