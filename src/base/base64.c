#include "base/base64.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum {
	GROUP_CHARACTERS = 4,
	GROUP_BYTES = 3,
	PADDING_MAX = 2,
	NO_DIGIT = 0x80, /* set in no digit */
};

static const char alphabet[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
			       "abcdefghijklmnopqrstuvwxyz0123456789+/";

static uint8_t digits[256];

__attribute__((constructor)) static void fill_digits(void)
{
	uint8_t i;

	memset(digits, NO_DIGIT, sizeof(digits));
	for (i = 0; alphabet[i]; i++)
		digits[(uint8_t)alphabet[i]] = i;
}

/* Decodes groups without padding. Returns false if a character is no digit. */
static bool decode_groups(const uint8_t *text, size_t groups, uint8_t *out)
{
	uint32_t seen = 0;
	size_t i;

	for (i = 0; i < groups; i++) {
		uint32_t a = digits[text[0]];
		uint32_t b = digits[text[1]];
		uint32_t c = digits[text[2]];
		uint32_t d = digits[text[3]];

		seen |= a | b | c | d;
		out[0] = (uint8_t)(a << 2 | b >> 4);
		out[1] = (uint8_t)(b << 4 | c >> 2);
		out[2] = (uint8_t)(c << 6 | d);
		text += GROUP_CHARACTERS;
		out += GROUP_BYTES;
	}
	return !(seen & NO_DIGIT);
}

static size_t count_padding(const char *text, size_t length)
{
	size_t count = 0;

	while (count < length && count < PADDING_MAX &&
	       text[length - 1 - count] == '=')
		count++;
	return count;
}

uint8_t *base64_decode(const char *text, size_t length, size_t *size)
{
	size_t padding = count_padding(text, length);
	size_t groups = length / GROUP_CHARACTERS;
	uint8_t last[GROUP_CHARACTERS];
	uint8_t *out;
	bool valid;

	if (length % GROUP_CHARACTERS)
		return NULL;
	out = malloc(groups * GROUP_BYTES + 1);
	if (!out)
		abort();
	if (padding)
		groups--;
	valid = decode_groups((const uint8_t *)text, groups, out);
	if (padding) {
		memcpy(last, text + groups * GROUP_CHARACTERS, sizeof(last));
		memset(last + sizeof(last) - padding, alphabet[0], padding);
		valid &= decode_groups(last, 1, out + groups * GROUP_BYTES);
	}
	if (!valid) {
		free(out);
		return NULL;
	}
	*size = length / GROUP_CHARACTERS * GROUP_BYTES - padding;
	return out;
}
