#ifndef CALL_UPSTREAM_PROBE_H
#define CALL_UPSTREAM_PROBE_H

#include "call/announce.h"
#include "call/names.h"
#include "http/client.h"

/**
 * DOC: recall
 *
 * Learning of an upstream that was there before its node. A node that starts
 * again beside a running upstream hears of it with its next heartbeat, half an
 * interval later on average; after a loss of power of all nodes nothing can be
 * served meanwhile. One request of its health check tells at once which start
 * it is, that it takes work, and how many requests it runs at a time. What it
 * says of itself later goes before this.
 */

/**
 * struct upstream_probe_options - all of it outlives the recall
 * @names: tells which fields of an answer hold what is looked for
 * @service: that the settings say is beside
 * @address: of the upstream; family 0: none is known, nothing is asked
 * @timeout_ms: an upstream that takes longer is waited for as if not asked
 */
struct upstream_probe_options {
	struct loop *loop;
	struct http_client *client;
	const struct call_names *names;
	struct announce *announce;
	const char *service;
	struct address address;
	int64_t timeout_ms;
};

/** struct upstream_probe - @sent: at most once in the life of a process. */
struct upstream_probe {
	struct upstream_probe_options options;
	struct http_transfer *transfer;
	char profile[PROFILE_NAME_SIZE];
	bool sent;
};

void upstream_probe_init(struct upstream_probe *upstream_probe,
			 const struct upstream_probe_options *options);

/** upstream_probe_finish() - to be called before the client ends. */
void upstream_probe_finish(struct upstream_probe *upstream_probe);

/**
 * upstream_probe_send() - ask the upstream beside, unless it has announced
 * itself
 * @profile: that it runs under
 * @path: of its health check
 */
void upstream_probe_send(struct upstream_probe *upstream_probe,
			 const char *profile, const char *path);

/**
 * upstream_probe_parse() - what an answer of the health check tells
 * @upstream: id, slots and state are filled in
 *
 * Return: false if the upstream takes no work, or does not say enough.
 */
bool upstream_probe_parse(const struct call_names *names,
			  const struct http_answer *answer,
			  struct announcement *upstream);

#endif
