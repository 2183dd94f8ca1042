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
 * Who a process is to its peers, and the proof that it holds the shared key
 * of its deployment. The key never travels: each side proves that it has it
 * by a keyed hash over both sides' nonces, names and roles, so that a proof
 * cannot be replayed or sent back to its maker.
 */

enum {
	WIRE_PROTOCOL = 6,
	NAME_SIZE = 64, /* of deployments, data centres, instances */
	KEY_BYTES = 32,
	NONCE_BYTES = 16,
	PROOF_BYTES = 32,
	MAC_BYTES = 16,
};

/**
 * struct identity - what a process says of itself
 * @incarnation: differs each time that the process starts
 * @address: where it listens for peers
 */
struct identity {
	char deployment[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char instance[NAME_SIZE];
	uint64_t incarnation;
	struct address address;
};

/** struct wire_key - the deployment's key, made from the settings' text. */
struct wire_key {
	uint8_t bytes[KEY_BYTES];
};

/** enum wire_role - which end of a connection made a proof. */
enum wire_role { ROLE_DIALER = 1, ROLE_ACCEPTOR = 2 };

/**
 * wire_key_init() - derive the key from its secret and the deployment
 *
 * Two deployments with the same secret by mistake still do not mix.
 */
void wire_key_init(struct wire_key *key, const char *secret,
		   const char *deployment);

/** wire_nonce() - unpredictable bytes. */
void wire_nonce(uint8_t nonce[NONCE_BYTES]);

/** wire_make_proof() - the proof that @self sends to a peer. */
void wire_make_proof(const struct wire_key *key, enum wire_role role,
		     const struct identity *self,
		     const uint8_t self_nonce[NONCE_BYTES],
		     const uint8_t peer_nonce[NONCE_BYTES],
		     uint8_t proof[PROOF_BYTES]);

/** wire_proof_equal() - comparison in constant time. */
bool wire_proof_equal(const uint8_t a[PROOF_BYTES],
		      const uint8_t b[PROOF_BYTES]);

/** wire_compute_mac() - the keyed hash that goes before a datagram. */
void wire_compute_mac(const struct wire_key *key, const void *data, size_t size,
		      uint8_t mac[MAC_BYTES]);

/** wire_mac_is_valid() - whether a datagram comes from a holder of the key. */
bool wire_mac_is_valid(const struct wire_key *key, const void *data,
		       size_t size, const uint8_t mac[MAC_BYTES]);

/**
 * identity_incarnation() - a number for one start of a process
 * @wall_ms: by the wall clock, so that later starts have higher numbers
 * @random: unpredictable; tells apart nodes that start in the same
 *	millisecond, whose calls would be taken for one another's otherwise
 */
uint64_t identity_incarnation(int64_t wall_ms, uint64_t random);

#endif
