#include "profile/tenant.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

struct key_digest key_digest_of(const char *key, size_t size)
{
	struct key_digest digest;
	int failed = crypto_generichash(digest.bytes, sizeof(digest.bytes),
					(const unsigned char *)key, size, NULL,
					0);

	assert(!failed);
	(void)failed;
	return digest;
}

bool key_digest_parse(const char *text, struct key_digest *digest)
{
	size_t length = strlen(text);
	size_t size = 0;

	if (length != KEY_DIGEST_TEXT_SIZE - 1)
		return false;
	return !sodium_hex2bin(digest->bytes, sizeof(digest->bytes), text,
			       length, NULL, &size, NULL) &&
	       size == sizeof(digest->bytes);
}

const char *key_digest_text(const struct key_digest *digest,
			    char text[KEY_DIGEST_TEXT_SIZE])
{
	return sodium_bin2hex(text, KEY_DIGEST_TEXT_SIZE, digest->bytes,
			      sizeof(digest->bytes));
}

bool key_digest_equal(const struct key_digest *a, const struct key_digest *b)
{
	return !sodium_memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}

bool tenant_name_valid(const char *name)
{
	size_t length = strlen(name);
	size_t i;

	if (!length || length >= TENANT_SIZE)
		return false;
	if (name[0] == ' ' || name[length - 1] == ' ')
		return false;
	for (i = 0; i < length; i++)
		if (name[i] < ' ' || name[i] > '~' || name[i] == '"' ||
		    name[i] == '\\')
			return false;
	return true;
}
