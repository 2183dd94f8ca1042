#ifndef CALL_SERVE_H
#define CALL_SERVE_H

#include <jansson.h>

#include "call/link.h"
#include "call/names.h"
#include "call/recent.h"
#include "gate/gate.h"
#include "http/client.h"
#include "http/spare.h"
#include "rollout/evidence.h"

/**
 * DOC: serve
 *
 * The side of a call beside the upstream: takes calls from other nodes, lets
 * them through the gate, runs them at the upstream over HTTP and sends the
 * answers back. Each attempt is remembered by its identity, so that nothing
 * runs twice and a caller's node that lost its connection can ask.
 */

/* Connections refused in a row after which the upstream counts as lost: one may
 * be a full queue of connections. */
enum { SERVE_REFUSED_MAX = 2 };

/**
 * struct serve_callbacks - what attempts tell about the upstream beside
 * @on_unreachable: its address refuses connections
 * @on_incarnation_changed: another start than the announced one answers there;
 * @id is its
 */
struct serve_callbacks {
	void (*on_unreachable)(void *data);
	void (*on_incarnation_changed)(const char *id, void *data);
	void *data;
};

/**
 * struct serve_options - what a server works with; all of it outlives it
 * @names: of the fields towards the upstream
 * @limits: of the memory of recent attempts
 * @held_bytes_max: bodies of requests held here, all together
 * @body_bytes_max: of one request
 * @answer_bytes_max: of one answer
 * @connect_timeout_ms: for a new connection to the upstream
 * @ping_us: after so long without bytes a busy connection is pinged
 * @silence_us: without an answer to a ping a connection counts as silent
 * @orphan_us: how long a call whose connection was lost waits for its node
 *	to come back and ask
 * @callbacks: may be empty
 */
struct serve_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct gate *gate;
	struct http_client *client;
	const struct call_names *names;
	struct recent_limits limits;
	size_t held_bytes_max;
	size_t body_bytes_max;
	size_t answer_bytes_max;
	int64_t connect_timeout_ms;
	int64_t ping_us;
	int64_t silence_us;
	int64_t orphan_us;
	struct serve_callbacks callbacks;
};

struct inbound;

/** struct serve_peer - one link that calls come on. */
struct serve_peer {
	struct link link;
	struct recent_caller *caller;
	struct inbound *inbound_attempts; /* by their peer_next */
	struct answer_stream *answer_streams;
	struct serve_peer *next;
	struct serve_peer *prev;
};

struct server {
	struct serve_options options;
	struct recent recent;
	struct address upstream;
	struct spares spares; /* connections to it that were never used */
	bool has_upstream;
	char service[SERVICE_NAME_SIZE];
	char upstream_text[ADDRESS_TEXT_SIZE];
	char upstream_id[UPSTREAM_ID_SIZE];
	struct serve_peer *peers;
	struct serve_peer local;
	struct link_pipe to_caller; /* answers to this node's own calls */
	struct inbound *inbound_attempts;
	uint32_t inbound_count;
	uint32_t connect_refused_count; /* connections to it, in a row */
	double error_rate; /* of its answers of late, those of 5xx */
	struct request_stats request_stats; /* of its present start */
	int64_t warm_from_us; /* from then on its times count there */
	size_t held_bytes;
	struct encoder encoder;
	struct deferred pump;
	struct timer gate_timer;
	struct timer tick;
	int64_t tick_due_us;
	struct timer push;
	bool draining;
};

/**
 * serve_init() - serve calls of other nodes and of this one
 * @take: gets the frames that answer this node's own calls
 */
void serve_init(struct server *server, const struct serve_options *options,
		link_frame_fn *take, void *data);

/** serve_finish() - drop everything at once. */
void serve_finish(struct server *server);

/** serve_frame() - a call frame that a caller's node sends has come. */
void serve_frame(struct server *server, struct serve_peer *peer,
		 const struct call_frame *frame);

/** serve_conn_state() - an accepted connection opened or closed. */
void serve_conn_state(struct server *server, struct wire_conn *conn);

/** serve_peer_of() - the link of an accepted connection. */
struct serve_peer *serve_peer_of(struct server *server, struct wire_conn *conn);

/**
 * serve_set_upstream() - the upstream beside this node has announced itself
 * @id: of its present start; "" if it has none
 * @address: where it takes HTTP; NULL while there is none
 */
void serve_set_upstream(struct server *server, const char *service,
			const char *id, const struct address *address);

/** serve_gate_changed() - the gate's state or limit was changed. */
void serve_gate_changed(struct server *server);

/** serve_announce_leaving() - tell all peers that no new work is taken here. */
void serve_announce_leaving(struct server *server);

/** serve_cancel_all() - end what is left, each with its verdict. */
void serve_cancel_all(struct server *server);

/**
 * serve_request_stats() - the counts of the own upstream, up to this moment
 *
 * Requests that run are counted by the time that they have taken so far.
 */
const struct request_stats *serve_request_stats(struct server *server);

/** serve_idle() - whether nothing runs, waits or remains to be sent. */
bool serve_idle(const struct server *server);

/** serve_dump() - the state as JSON, owned by the caller. */
json_t *serve_dump(const struct server *server, int64_t now_us);

#endif
