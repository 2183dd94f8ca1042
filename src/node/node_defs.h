#ifndef NODE_NODE_DEFS_H
#define NODE_NODE_DEFS_H

#include "call/announce.h"
#include "call/calls.h"
#include "call/upstream_probe.h"
#include "event/loop.h"
#include "gate/gate.h"
#include "http/client.h"
#include "http/server.h"
#include "membership/gossip.h"
#include "node/leaving.h"
#include "node/lookup.h"
#include "node/settings.h"
#include "operator/server.h"
#include "os/file.h"
#include "profile/editor.h"
#include "profile/keeper.h"
#include "profile/reader.h"
#include "rollout/net.h"
#include "route/route.h"
#include "spread/spread_net.h"
#include "store/store.h"
#include "wire/hub.h"

enum {
	/* Callers keep connections for reuse for about a minute; ours must be
	 * the later to close, or their next request meets a closed one. */
	CALLERS_IDLE_MS = 75000,
	/* Of one head, whatever a profile allows: it is held whole. */
	CALLERS_HEAD_MAX_BYTES = 256 * 1024,
};

/**
 * struct node - all state of the process
 * @has_source: settings name a platform; store, reader and editor are set up
 * @holder: this start of the process as a holder of leases
 * @settings_path: file to read again when it has changed
 * @next_find_us: when a node that knows nobody asks the platform again
 * @serving_since_us: since when the upstream beside has been serving, 0 if
 *	it is not
 * @linger: until callers are served no longer, once the process leaves
 * @leaving_times: times of the stop, once the process leaves
 * @keep_upstream: until its upstream gets no new work, once it leaves
 * @leaving: the process is about to end
 * @closing: it leaves, and its upstream gets no new work any more
 * @stopped: it may end now
 */
struct node {
	const struct settings *settings;
	const char *settings_path;
	struct loop loop;
	struct wire_hub hub;
	struct http_client client;
	struct http_server callers;
	struct http_server announcements;
	struct http_server ready_server;
	struct http_server metrics_server;
	struct operator_server operator_server;
	struct keeper keeper;
	struct keeper_observer config_observer;
	struct gossip gossip;
	struct spread_net spread;
	struct rollout_net rollout;
	struct router router;
	struct gate gate;
	struct announce announce;
	struct upstream_probe upstream_probe;
	struct calls calls;
	struct store store;
	struct reader reader;
	struct editor editor;
	struct lookup lookup;
	char holder[STORE_HOLDER_SIZE];
	bool has_source;
	struct timer rank_timer;
	int64_t started_us;
	int64_t next_find_us;
	int64_t find_backoff_ms;
	struct timer metrics_timer;
	struct timer settings_timer;
	struct file_stamp settings_stamp; /* of the file as read last */
	struct timer exit_timer;
	struct timer linger;
	struct timer keep_upstream;
	int64_t serving_since_us;
	struct leaving leaving_times;
	bool leaving;
	bool closing;
	bool stopped;
};

/** node_connect_components() - the callbacks by which slices hear of each
 * other. */
void node_connect_components(struct node *node);

/** node_start_rollout() - roll-outs, once the way to the platform is there. */
void node_start_rollout(struct node *node);

/** node_connect_operator() - what operators may do to this node. */
void node_connect_operator(struct node *node);

/** node_upstream_changed() - the upstream beside has changed;
 * announce_changed_fn. */
void node_upstream_changed(const struct announcement *now, void *data);

/** node_source_start() - the way to the platform's service, if there is one. */
void node_source_start(struct node *node);

/** node_source_withdraw() - give the reader's lease back. */
void node_source_withdraw(struct node *node);

/** node_source_is_idle() - whether nothing is left to give back. */
bool node_source_is_idle(const struct node *node);

void node_source_finish(struct node *node);

/** node_is_ready() - whether callers may be sent here. */
bool node_is_ready(const struct node *node);

/** node_ready_handle() - an http_handler_fn: whether callers may come. */
void node_ready_handle(struct http_exchange *exchange, void *data);

/** node_metrics_handle() - an http_handler_fn: metrics and nothing else. */
void node_metrics_handle(struct http_exchange *exchange, void *data);

/** node_reload() - read the settings file again; a bad one changes nothing. */
void node_reload(struct node *node);

/** node_reload_start() - from now on notice when the file changes. */
void node_reload_start(struct node *node);
void node_reload_finish(struct node *node);

/** node_seed() - an unpredictable seed. */
uint64_t node_seed(void);

/** node_views_init() - status, sections and checks for operators. */
void node_views_init(struct node *node);

/** node_refresh_metrics() - bring what is not counted as it happens up to date.
 */
void node_refresh_metrics(struct node *node);

#endif
