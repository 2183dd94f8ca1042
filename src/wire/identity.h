#ifndef WIRE_IDENTITY_H
#define WIRE_IDENTITY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/address.h"
#include "base/error.h"

/**
 * DOC: identity
 *
 * The identity of a process among its peers, and the proof that the process
 * holds the shared key of its deployment. The key is never sent: each side
 * proves that it holds the key by a keyed hash over the nonces of both sides,
 * its own role, instance name and incarnation, so that a proof cannot be
 * replayed or reflected to its sender.
 */

enum {
	WIRE_PROTOCOL = 7,
	NAME_SIZE = 64, /* of deployments, data centres, instances */
	KEY_BYTES = 32,
	NONCE_BYTES = 16,
	PROOF_BYTES = 32,
	MAC_BYTES = 16,
};

/**
 * struct identity - what identifies a process to its peers
 * @deployment: name of the deployment
 * @data_centre: name of the data centre
 * @instance: name of the instance
 * @incarnation: number of this life of the process, see identity_incarnation()
 * @address: address on which the process listens for peers
 */
struct identity {
	char deployment[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char instance[NAME_SIZE];
	uint64_t incarnation;
	struct address address;
};

/** struct wire_key - key of a deployment, derived from the secret setting. */
struct wire_key {
	uint8_t bytes[KEY_BYTES];
};

/** enum wire_role - which end of a connection computed a proof. */
enum wire_role { ROLE_DIALER = 1, ROLE_ACCEPTOR = 2 };

/**
 * wire_key_init() - derive the key from @secret and the name of the deployment
 *
 * Two deployments that use the same secret by mistake have different keys and
 * still refuse the connections of each other.
 */
void wire_key_init(struct wire_key *key, const char *secret,
		   const char *deployment);

/** wire_nonce() - fill @nonce with unpredictable random bytes. */
void wire_nonce(uint8_t nonce[NONCE_BYTES]);

/**
 * wire_make_proof() - compute the proof that @self sends to its peer
 * @role: role of @self on the connection
 * @self: the process that proves that it holds the key
 * @self_nonce: nonce that @self sent
 * @peer_nonce: nonce that the peer of @self sent
 * @proof: the result
 */
void wire_make_proof(const struct wire_key *key, enum wire_role role,
		     const struct identity *self,
		     const uint8_t self_nonce[NONCE_BYTES],
		     const uint8_t peer_nonce[NONCE_BYTES],
		     uint8_t proof[PROOF_BYTES]);

/** wire_proof_equal() - compare two proofs in constant time. */
bool wire_proof_equal(const uint8_t a[PROOF_BYTES],
		      const uint8_t b[PROOF_BYTES]);

/** wire_compute_mac() - compute the MAC that is sent in front of a datagram. */
void wire_compute_mac(const struct wire_key *key, const void *data, size_t size,
		      uint8_t mac[MAC_BYTES]);

/** wire_mac_is_valid() - returns true if @mac was computed with @key. */
bool wire_mac_is_valid(const struct wire_key *key, const void *data,
		       size_t size, const uint8_t mac[MAC_BYTES]);

/**
 * identity_incarnation() - returns the number of a new incarnation
 * @wall_ms: wall clock in milliseconds since 1970, so that later incarnations
 *	have greater numbers
 * @random: random bits that distinguish processes started within the same
 *	millisecond; with equal numbers, the calls of one would be mistaken for
 *	calls of the other
 */
uint64_t identity_incarnation(int64_t wall_ms, uint64_t random);

#endif
