#ifndef CALL_UPSTREAM_PROBE_H
#define CALL_UPSTREAM_PROBE_H

#include "call/announce.h"
#include "call/names.h"
#include "http/client.h"

/**
 * DOC: upstream probe
 *
 * Asks the health check of the upstream for the id of its incarnation, whether
 * it takes requests, and how many it runs at the same time.
 *
 * One probe as the node starts detects an upstream that was running before.
 * Without it, the node has to wait for the next heartbeat of the upstream;
 * after a power failure of all nodes, no call can be served until then. Later
 * heartbeats replace the result. Further probes confirm announcements that are
 * held back, see announce.h.
 */

/**
 * struct upstream_probe_options - options of upstream_probe_init()
 * @names: names of the header fields that hold the id and the slots
 * @announce: receives the detected upstream
 * @service: name of the local service in the settings; "" disables the probe
 * @address: address of the upstream; family 0 disables the probe
 * @timeout_ms: timeout of a probe, in milliseconds; after a timeout the node
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
 * struct upstream_probe - the probes of a node
 * @transfer: the request in progress; NULL if there is none
 * @profile: profile under which a detected upstream is listed
 * @sent: true once a probe has been sent; a process detects at most once
 */
struct upstream_probe {
	struct upstream_probe_options options;
	struct http_transfer *transfer;
	char profile[PROFILE_NAME_SIZE];
	bool sent;
};

void upstream_probe_init(struct upstream_probe *upstream_probe,
			 const struct upstream_probe_options *options);

/** upstream_probe_finish() - cancel a probe; call before the client ends. */
void upstream_probe_finish(struct upstream_probe *upstream_probe);

/**
 * upstream_probe_send() - detect the local upstream
 * @profile: name of the profile of the upstream
 * @path: path of the health check; "" disables the probe
 *
 * Does nothing if the upstream has announced itself or a probe was sent before.
 */
void upstream_probe_send(struct upstream_probe *upstream_probe,
			 const char *profile, const char *path);

/**
 * upstream_probe_confirm() - probe an upstream whose announcement is held back
 * @path: path of the health check; "" if it has none
 *
 * Calls announce_health(). Does nothing while a probe is in progress, whose
 * answer will do.
 */
void upstream_probe_confirm(struct upstream_probe *upstream_probe,
			    const struct announcement *held, const char *path);

/**
 * upstream_probe_health() - what an answer of the health check says
 * @id: set to the id of the incarnation that has answered; NULL if not known
 */
enum upstream_health upstream_probe_health(const struct call_names *names,
					   const struct http_answer *answer,
					   const char **id);

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
