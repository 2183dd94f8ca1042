#include <sodium.h>
#include <string.h>

#include "profile/head.h"

void content_hash(const void *text, size_t size,
		  uint8_t hash[CONTENT_HASH_BYTES])
{
	crypto_generichash(hash, CONTENT_HASH_BYTES, text, size, NULL, 0);
}

char *hash_format(const uint8_t hash[CONTENT_HASH_BYTES],
		  char text[HASH_TEXT_SIZE])
{
	return sodium_bin2hex(text, HASH_TEXT_SIZE, hash, CONTENT_HASH_BYTES);
}

bool hash_parse(const char *text, uint8_t hash[CONTENT_HASH_BYTES])
{
	char canonical[HASH_TEXT_SIZE];
	size_t hash_size = 0;

	if (strlen(text) != HASH_TEXT_SIZE - 1 ||
	    sodium_hex2bin(hash, CONTENT_HASH_BYTES, text, HASH_TEXT_SIZE - 1,
			   NULL, &hash_size, NULL) ||
	    hash_size != CONTENT_HASH_BYTES)
		return false;
	/* Upper-case digits are refused: with two spellings of a hash, heads
	 * of the same content could differ in their bytes. */
	return !strcmp(hash_format(hash, canonical), text);
}

bool accept_id_valid(const char *id)
{
	size_t length = strspn(id, "abcdefghijklmnopqrstuvwxyz"
				   "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				   "0123456789-");

	return length && !id[length] && length < ACCEPT_ID_SIZE;
}
