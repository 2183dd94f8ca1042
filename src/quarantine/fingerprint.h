#ifndef QUARANTINE_FINGERPRINT_H
#define QUARANTINE_FINGERPRINT_H

#include <stddef.h>
#include <stdint.h>

#include "wire/identity.h"

/**
 * DOC: fingerprint
 *
 * Identifies a request by its content, so that a repetition under another id is
 * recognized at any node. The hash is keyed with a key that only the nodes of
 * the deployment hold: a client cannot construct a request with the fingerprint
 * of another client's request.
 */

enum { FINGERPRINT_KEY_BYTES = 16, FINGERPRINT_TEXT_SIZE = 17 };

/** struct fingerprint_key - key of the hash, the same at all nodes. */
struct fingerprint_key {
	uint8_t bytes[FINGERPRINT_KEY_BYTES];
};

/**
 * struct fingerprint - identity of the content of a request
 * @content: hash of method, host, target and body; never 0
 * @by_caller: hash of the same and of the caller; never 0
 *
 * Whether a request crashes an upstream may depend on its caller or not, so
 * both are tracked.
 */
struct fingerprint {
	uint64_t content;
	uint64_t by_caller;
};

/**
 * struct fingerprint_input - content of a request
 * @host: host or service that the request is for
 * @target: path and query
 * @caller: name of the caller; "" if the interface has none
 */
struct fingerprint_input {
	const char *method;
	const char *host;
	const char *target;
	const char *caller;
	const void *body;
	size_t body_size;
};

/** fingerprint_key_init() - derives the key from the key of the deployment. */
void fingerprint_key_init(struct fingerprint_key *key,
			  const struct wire_key *wire_key);

struct fingerprint fingerprint_of(const struct fingerprint_key *key,
				  const struct fingerprint_input *input);

/** fingerprint_text() - formats a hash for logs; returns @text. */
const char *fingerprint_text(uint64_t hash, char text[FINGERPRINT_TEXT_SIZE]);

#endif
