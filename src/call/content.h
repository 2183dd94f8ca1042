#ifndef CALL_CONTENT_H
#define CALL_CONTENT_H

#include "call/frames.h"
#include "call/names.h"
#include "quarantine/fingerprint.h"

/**
 * DOC: content
 *
 * Fingerprint of a request, computed alike by the caller's node and by the node
 * beside the upstream.
 */

/**
 * struct call_content - what both nodes know of the content of a request
 * @service: name of the service; identifies the host if @names has no hosts
 * @tenant: identifies the caller if @names has no header for it
 * @headers: header fields that are passed to the upstream
 */
struct call_content {
	const struct call_names *names;
	const char *method;
	const char *service;
	const char *target;
	const char *tenant;
	struct call_bytes headers;
	const void *body;
	size_t body_size;
};

struct fingerprint call_content_fingerprint(const struct fingerprint_key *key,
					    const struct call_content *content);

#endif
