#ifndef CALL_UPSTREAM_PROBE_H
#define CALL_UPSTREAM_PROBE_H

#include "call/announce.h"
#include "call/names.h"
#include "http/client.h"

/**
 * DOC: upstream probe
 *
 * Detects an upstream that was running before its node started. Without the
 * probe, the node has to wait for the next heartbeat of the upstream; after a
 * power failure of all nodes, no call can be served until then. One request to
 * the health check of the upstream returns the id of its incarnation, whether
 * it takes requests, and how many it runs at the same time. Later heartbeats
 * replace the result.
 */

/**
 * struct upstream_probe_options - options of upstream_probe_init()
 * @names: names of the header fields that hold the id and the slots
 * @announce: receives the detected upstream
 * @service: name of the local service in the settings; "" disables the probe
 * @address: address of the upstream; family 0 disables the probe
 * @timeout_ms: timeout of the probe, in milliseconds; after a timeout the node
 *	waits for the next heartbeat
 *
 * All pointers must remain valid until upstream_probe_finish().
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

/**
 * struct upstream_probe - the probe of a node
 * @transfer: the request in progress; NULL if there is none
 * @profile: profile under which a detected upstream is listed
 * @sent: true once the probe has been sent; a process sends only one
 */
struct upstream_probe {
	struct upstream_probe_options options;
	struct http_transfer *transfer;
	char profile[PROFILE_NAME_SIZE];
	bool sent;
};

void upstream_probe_init(struct upstream_probe *upstream_probe,
			 const struct upstream_probe_options *options);

/** upstream_probe_finish() - cancel the probe; call before the client ends. */
void upstream_probe_finish(struct upstream_probe *upstream_probe);

/**
 * upstream_probe_send() - probe the local upstream
 * @profile: name of the profile of the upstream
 * @path: path of the health check; "" disables the probe
 *
 * Does nothing if the upstream has announced itself or a probe was sent before.
 */
void upstream_probe_send(struct upstream_probe *upstream_probe,
			 const char *profile, const char *path);

/**
 * upstream_probe_parse() - parse an answer of the health check
 * @upstream: result; only id, slots and state are set
 *
 * Return: false if the upstream takes no requests, or if the answer has no
 * valid id or number of slots.
 */
bool upstream_probe_parse(const struct call_names *names,
			  const struct http_answer *answer,
			  struct announcement *upstream);

#endif
