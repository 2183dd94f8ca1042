#ifndef PROFILE_TENANT_H
#define PROFILE_TENANT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * DOC: tenant
 *
 * Client accounts of a configuration. A request proves its tenant by a key. A
 * configuration holds digests of the keys, so that no text, dump or log of a
 * node can show a key.
 */

enum {
	TENANT_SIZE = 64,
	KEY_DIGEST_BYTES = 16,
	KEY_DIGEST_TEXT_SIZE = 2 * KEY_DIGEST_BYTES + 1,
	KEY_MAX_BYTES = 1024,
	/* The largest per_s and burst. */
	TENANT_LIMIT_MAX = 1000 * 1000 * 1000,
	/* A tenant without a priority keeps that of the route. */
	TENANT_PRIORITY_NONE = -1,
};

/** struct key_digest - digest of the key of a tenant. */
struct key_digest {
	uint8_t bytes[KEY_DIGEST_BYTES];
};

/**
 * struct tenant - one client account
 * @name: name, as upstreams are told
 * @per_s: requests in a second, summed over all nodes; 0: no limit
 * @burst: requests above that rate at once
 * @priority: rank of its requests in place of that of their kind, 0 is the
 *	highest; TENANT_PRIORITY_NONE: the kind's
 * @digests: digests of its keys; array of @digest_count entries, may be empty
 */
struct tenant {
	char name[TENANT_SIZE];
	double per_s;
	double burst;
	int64_t priority;
	struct key_digest *digests;
	uint32_t digest_count;
};

/** key_digest_of() - computes the digest of a key. */
struct key_digest key_digest_of(const char *key, size_t size);

/** key_digest_parse() - reads the hexadecimal text; false if malformed. */
bool key_digest_parse(const char *text, struct key_digest *digest);

/** key_digest_text() - formats a digest; returns @text. */
const char *key_digest_text(const struct key_digest *digest,
			    char text[KEY_DIGEST_TEXT_SIZE]);

/** key_digest_equal() - compares in a time that does not depend on the bytes.
 */
bool key_digest_equal(const struct key_digest *a, const struct key_digest *b);

/** tenant_name_valid() - true if the name may be the value of a header field.
 */
bool tenant_name_valid(const char *name);

#endif
