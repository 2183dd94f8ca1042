#include "quarantine/fingerprint.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

_Static_assert(FINGERPRINT_KEY_BYTES == crypto_shorthash_KEYBYTES,
	       "size of a SipHash key");
_Static_assert(sizeof(uint64_t) == crypto_shorthash_BYTES,
	       "size of a SipHash value");

enum { PART_METHOD, PART_HOST, PART_TARGET, PART_BODY, PART_CALLER, PARTS };

void fingerprint_key_init(struct fingerprint_key *key,
			  const struct wire_key *wire_key)
{
	static const char purpose[] = "request fingerprint";

	crypto_generichash(key->bytes, sizeof(key->bytes),
			   (const uint8_t *)purpose, sizeof(purpose),
			   wire_key->bytes, sizeof(wire_key->bytes));
}

static uint64_t hash_bytes(const struct fingerprint_key *key, const void *data,
			   size_t size)
{
	uint8_t bytes[sizeof(uint64_t)];
	uint64_t hash;

	crypto_shorthash(bytes, data, size, key->bytes);
	memcpy(&hash, bytes, sizeof(hash));
	return hash;
}

static uint64_t hash_text(const struct fingerprint_key *key, const char *text)
{
	return hash_bytes(key, text, strlen(text));
}

static uint64_t hash_parts(const struct fingerprint_key *key,
			   const uint64_t *parts, size_t count)
{
	uint64_t hash = hash_bytes(key, parts, count * sizeof(*parts));

	return hash ? hash : 1;
}

struct fingerprint fingerprint_of(const struct fingerprint_key *key,
				  const struct fingerprint_input *input)
{
	const uint64_t parts[PARTS] = {
		[PART_METHOD] = hash_text(key, input->method),
		[PART_HOST] = hash_text(key, input->host),
		[PART_TARGET] = hash_text(key, input->target),
		[PART_BODY] = hash_bytes(key, input->body, input->body_size),
		[PART_CALLER] = hash_text(key, input->caller),
	};
	const struct fingerprint fingerprint = {
		.content = hash_parts(key, parts, PART_CALLER),
		.by_caller = hash_parts(key, parts, PARTS),
	};

	return fingerprint;
}

const char *fingerprint_text(uint64_t hash, char text[FINGERPRINT_TEXT_SIZE])
{
	snprintf(text, FINGERPRINT_TEXT_SIZE, "%016llx",
		 (unsigned long long)hash);
	return text;
}
