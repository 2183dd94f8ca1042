#ifndef CALL_SERVE_H
#define CALL_SERVE_H

#include <jansson.h>

#include "call/crash_watch.h"
#include "call/link.h"
#include "call/names.h"
#include "call/notice.h"
#include "call/recent.h"
#include "gate/gate.h"
#include "http/client.h"
#include "http/spare.h"
#include "quarantine/fingerprint.h"
#include "rollout/request_stats.h"

/**
 * DOC: serve
 *
 * The inbound side of a call, beside the upstream: receives attempts from other
 * nodes, passes them through the gate, sends them to the upstream over HTTP and
 * returns the answers. Attempts are recorded by ID, so that no attempt runs
 * twice and a caller's node that lost its connection can query the result.
 */

/**
 * struct serve_callbacks - reports about the upstream, derived from attempts
 * @on_unreachable: called when the address of the upstream refuses connections;
 *	may be NULL
 * @on_incarnation_changed: called when an incarnation other than the announced
 *	one answers at the address; @id is the ID of the answering incarnation;
 *	may be NULL
 * @on_leaving: called when an answer of the upstream says that it leaves; may
 *	be NULL
 */
struct serve_callbacks {
	void (*on_unreachable)(void *data);
	void (*on_incarnation_changed)(const char *id, void *data);
	void (*on_leaving)(void *data);
	void *data;
};

/**
 * struct serve_options - options of a server
 * @names: header fields of the interface to the upstream
 * @limits: limits of the record of recent attempts
 * @quarantine: findings on requests that crash upstreams; may be NULL
 * @keep_rate_limit: setting gate.keep_rate_limit
 * @heed_leaving: setting call.heed_leaving
 * @by_speed: setting route.by_speed
 * @held_bytes_max: largest total size of the request bodies held, and of the
 *	answers being read, in bytes
 * @body_bytes_max: largest size of one request body, in bytes
 * @answer_bytes_max: largest size of one answer, in bytes
 * @connect_timeout_ms: timeout for a new connection to the upstream, in
 *	milliseconds
 * @ping_us: time without received bytes after which a connection with attempts
 *	in progress is pinged, in microseconds
 * @silence_us: time without an answer to a ping after which a connection is
 *	closed, in microseconds
 * @reconnect_max_us: time after which an attempt that lost its connection is
 *	given up if the caller's node sends no query, in microseconds; an
 *	attempt that runs at the upstream continues
 *
 * All objects that the options refer to must outlive the server.
 */
struct serve_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct gate *gate;
	struct http_client *client;
	const struct call_names *names;
	struct quarantine_net *quarantine;
	bool keep_rate_limit;
	bool heed_leaving;
	bool by_speed;
	struct recent_limits limits;
	size_t held_bytes_max;
	size_t body_bytes_max;
	size_t answer_bytes_max;
	int64_t connect_timeout_ms;
	int64_t ping_us;
	int64_t silence_us;
	int64_t reconnect_max_us;
	struct serve_callbacks callbacks;
};

struct inbound;

/** struct serve_peer - a link on which attempts are received. */
struct serve_peer {
	struct link link;
	struct recent_caller *caller;
	struct inbound *inbound_attempts; /* linked by peer_next */
	struct answer_stream *answer_streams;
	struct serve_peer *next;
	struct serve_peer *prev;
};

struct server {
	struct serve_options options;
	struct fingerprint_key fingerprint_key;
	struct recent recent;
	struct address upstream;
	struct spares spares; /* unused open connections to the upstream */
	bool has_upstream;
	char service[SERVICE_NAME_SIZE];
	char upstream_text[ADDRESS_TEXT_SIZE];
	char upstream_id[UPSTREAM_ID_SIZE];
	uint64_t upstream_start;   /* see struct announcement */
	int64_t upstream_since_us; /* when this incarnation was listed */
	struct serve_peer *peers;
	struct serve_peer local;
	struct link_pipe to_caller; /* answers to calls of this node */
	struct inbound *inbound_attempts;
	uint32_t inbound_count;
	struct crash_watch crash_watch;
	struct upstream_notice notice; /* the last one of the upstream */
	int64_t rate_limit_named_us;   /* time of the last one with a limit */
	double error_rate; /* fraction of 5xx among recent answers */
	struct request_stats request_stats; /* of the present incarnation */
	int64_t warm_from_us; /* statistics count times from then on */
	size_t held_bytes;
	struct answer_total answers;
	struct encoder encoder;
	struct deferred pump;
	struct timer gate_timer;
	struct timer tick;
	int64_t tick_due_us;
	struct timer push;
	int64_t work_until_us; /* when a stopping node cancels work; or 0 */
	bool draining;
};

/**
 * serve_init() - starts serving calls of other nodes and of this node
 * @options: copied
 * @take: called with each frame that answers a call of this node
 * @data: passed to @take
 */
void serve_init(struct server *server, const struct serve_options *options,
		link_frame_fn *take, void *data);

/** serve_finish() - frees the server and all attempts in progress. */
void serve_finish(struct server *server);

/** serve_frame() - handles a call frame received from a caller's node. */
void serve_frame(struct server *server, struct serve_peer *peer,
		 const struct call_frame *frame);

/** serve_conn_state() - handles the opening or closing of a connection. */
void serve_conn_state(struct server *server, struct wire_conn *conn);

/** serve_peer_of() - returns the peer of an accepted connection. */
struct serve_peer *serve_peer_of(struct server *server, struct wire_conn *conn);

/**
 * serve_set_upstream() - sets the upstream beside this node
 * @id: ID of the present incarnation; "" if it has none
 * @start: see struct announcement
 * @address: HTTP address of the upstream; NULL if there is no upstream
 */
void serve_set_upstream(struct server *server, const char *service,
			const char *id, uint64_t start,
			const struct address *address);

/** serve_gate_changed() - applies a change of the gate's state or limit. */
void serve_gate_changed(struct server *server);

/** serve_announce_leaving() - notifies all peers to send no new attempts. */
void serve_announce_leaving(struct server *server);

/** serve_cancel_all() - ends all attempts, each with its verdict. */
void serve_cancel_all(struct server *server);

/**
 * serve_request_stats() - returns the counts of the own upstream
 *
 * Running requests count with the time that they have taken so far.
 */
const struct request_stats *serve_request_stats(struct server *server);

/**
 * serve_running_until_us() - returns until when attempts may run at the upstream
 *
 * Return: the latest deadline of the attempts that run, in microseconds of the
 * monotonic clock; 0 if none runs.
 */
int64_t serve_running_until_us(const struct server *server);

/**
 * serve_idle() - returns true if no attempt and no answer is pending
 *
 * An answer that may not have reached the caller's node is pending until its
 * deadline: only this process can tell the caller's node that the request ran.
 */
bool serve_idle(const struct server *server);

/** serve_dump() - returns the state as JSON, owned by the caller. */
json_t *serve_dump(const struct server *server, int64_t now_us);

#endif
