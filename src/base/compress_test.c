#include <criterion/criterion.h>
#include <stdlib.h>
#include <string.h>

#include "base/compress.h"

Test(compress, bytes_are_restored_completely_or_not_at_all)
{
	static char text[10000];
	struct error err = ERROR_INIT;
	uint8_t *restored;
	uint8_t *compressed;
	size_t size;
	size_t i;

	for (i = 0; i < sizeof(text); i++)
		text[i] = "prefix = \"/abcdefgh/\"\n"[i % 22];
	compressed = compress_bytes(text, sizeof(text), &size);
	cr_expect_lt(size, sizeof(text) / 10);
	restored = decompress_bytes(compressed, size, sizeof(text), &err);
	cr_assert_not_null(restored, "%s", err.text);
	cr_expect(!memcmp(restored, text, sizeof(text)));
	free(restored);
	cr_expect_null(
		decompress_bytes(compressed, size, sizeof(text) - 1, &err));
	cr_expect_null(
		decompress_bytes(compressed, size, sizeof(text) + 1, &err));
	cr_expect_null(
		decompress_bytes(compressed, size / 2, sizeof(text), &err));
	compressed[size / 2] ^= 0x55;
	cr_expect_null(decompress_bytes(compressed, size, sizeof(text), &err));
	cr_expect_null(decompress_bytes("", 0, 5, &err));
	free(compressed);
}
