#include "wire/identity.h"

#include <sodium.h>
#include <string.h>

/* The other 44 bits hold milliseconds since 1970 for more than 500 years. */
enum { INCARNATION_RANDOM_BITS = 20 };

void wire_key_init(struct wire_key *key, const char *secret,
		   const char *deployment)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, KEY_BYTES);
	/* The terminators are hashed too, so that moving bytes from the end of
	 * one text to the start of the other changes the key. */
	crypto_generichash_update(&state, (const uint8_t *)secret,
				  strlen(secret) + 1);
	crypto_generichash_update(&state, (const uint8_t *)deployment,
				  strlen(deployment) + 1);
	crypto_generichash_final(&state, key->bytes, KEY_BYTES);
}

void wire_nonce(uint8_t nonce[NONCE_BYTES])
{
	randombytes_buf(nonce, NONCE_BYTES);
}

void wire_make_proof(const struct wire_key *key, enum wire_role role,
		     const struct identity *self,
		     const uint8_t self_nonce[NONCE_BYTES],
		     const uint8_t peer_nonce[NONCE_BYTES],
		     uint8_t proof[PROOF_BYTES])
{
	crypto_generichash_state state;
	uint8_t role_byte = (uint8_t)role;

	crypto_generichash_init(&state, key->bytes, KEY_BYTES, PROOF_BYTES);
	crypto_generichash_update(&state, &role_byte, 1);
	crypto_generichash_update(&state, self_nonce, NONCE_BYTES);
	crypto_generichash_update(&state, peer_nonce, NONCE_BYTES);
	crypto_generichash_update(&state, (const uint8_t *)self->instance,
				  strlen(self->instance) + 1);
	crypto_generichash_update(&state, (const uint8_t *)&self->incarnation,
				  sizeof(self->incarnation));
	crypto_generichash_final(&state, proof, PROOF_BYTES);
}

bool wire_proof_equal(const uint8_t a[PROOF_BYTES],
		      const uint8_t b[PROOF_BYTES])
{
	return sodium_memcmp(a, b, PROOF_BYTES) == 0;
}

void wire_compute_mac(const struct wire_key *key, const void *data, size_t size,
		      uint8_t mac[MAC_BYTES])
{
	crypto_generichash(mac, MAC_BYTES, data, size, key->bytes, KEY_BYTES);
}

bool wire_mac_is_valid(const struct wire_key *key, const void *data,
		       size_t size, const uint8_t mac[MAC_BYTES])
{
	uint8_t expected[MAC_BYTES];

	wire_compute_mac(key, data, size, expected);
	return sodium_memcmp(expected, mac, MAC_BYTES) == 0;
}

uint64_t identity_incarnation(int64_t wall_ms, uint64_t random)
{
	uint64_t mask = ((uint64_t)1 << INCARNATION_RANDOM_BITS) - 1;

	return (uint64_t)wall_ms << INCARNATION_RANDOM_BITS | (random & mask);
}
