#include <criterion/criterion.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "base/base64.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const struct {
	const char *text;
	const char *decoded; /* NULL: invalid */
} cases[] = {
	{ "", "" },	      { "aGk=", "hi" },	       { "aA==", "h" },
	{ "aGlo", "hih" },    { "aGkhaGk=", "hi!hi" }, { "Pz8/", "?\?\?" },
	{ "a", NULL },	      { "aGk", NULL },	       { "aGkh=", NULL },
	{ "aG=k", NULL },     { "a===", NULL },	       { "====", NULL },
	{ "aGk=aGkh", NULL }, { "aG h", NULL },	       { "aGk\n", NULL },
	{ "aG-_", NULL },     { "!!!!", NULL },	       { "aGk=\xff", NULL },
};

Test(base64, valid_texts_alone_are_decoded)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		size_t size = 0;
		uint8_t *decoded = base64_decode(cases[i].text,
						 strlen(cases[i].text), &size);

		cr_expect_eq(decoded != NULL, cases[i].decoded != NULL, "%s",
			     cases[i].text);
		if (decoded && cases[i].decoded) {
			cr_expect_eq(size, strlen(cases[i].decoded), "%s",
				     cases[i].text);
			cr_expect(!memcmp(decoded, cases[i].decoded, size),
				  "%s", cases[i].text);
		}
		free(decoded);
	}
}

Test(base64, all_bytes_and_lengths_are_decoded)
{
	uint8_t bytes[256 + 64];
	char text[sodium_base64_ENCODED_LEN(sizeof(bytes),
					    sodium_base64_VARIANT_ORIGINAL)];
	size_t length;
	size_t i;

	for (i = 0; i < sizeof(bytes); i++)
		bytes[i] = (uint8_t)(i * 7);
	for (length = 0; length <= sizeof(bytes); length++) {
		uint8_t *decoded;
		size_t size;

		sodium_bin2base64(text, sizeof(text), bytes, length,
				  sodium_base64_VARIANT_ORIGINAL);
		decoded = base64_decode(text, strlen(text), &size);
		cr_assert_not_null(decoded, "%zu bytes", length);
		cr_expect_eq(size, length);
		cr_expect(!memcmp(decoded, bytes, length), "%zu bytes", length);
		free(decoded);
	}
}
