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
#include "node/exit.h"
#include "node/lookup.h"
#include "node/settings.h"
#include "operator/server.h"
#include "os/file.h"
#include "profile/editor.h"
#include "profile/keeper.h"
#include "profile/reader.h"
#include "quarantine/keep.h"
#include "quota/net.h"
#include "retries/net.h"
#include "rollout/net.h"
#include "route/route.h"
#include "spread/spread_net.h"
#include "store/store.h"
#include "wire/hub.h"

enum {
	/* Callers keep idle connections for about a minute. The timeout of the
	 * server must be longer, or a caller sends its next request on a
	 * connection that the server has closed. */
	CALLERS_IDLE_MS = 75000,
	/* Maximum size of the head of one request, which is held in memory;
	 * profiles cannot raise the limit. */
	CALLERS_HEAD_MAX_BYTES = 256 * 1024,
};

/**
 * struct node - all state of the process
 * @settings: points to @settings_in_force
 * @settings_in_force: settings of the start, and what has taken effect since
 * @settings_seen: settings file as last read
 * @settings_path: path of the settings file
 * @callers: server for the requests of callers
 * @announcements: server for the announcements of the upstream
 * @ready_server: server for readiness checks; loop is NULL if there is none
 * @metrics_server: server for metrics; loop is NULL if there is none
 * @store: client of the platform's service; valid only if @has_source is true,
 *	like @reader, @editor and @holder
 * @holder: name of this incarnation as a holder of leases
 * @has_source: true if the settings contain the address of a platform
 * @rank_timer: timer that updates the rank of this node in @reader
 * @started_us: time at which the node started, in microseconds
 * @next_find_us: time, in microseconds, before which a node that knows no other
 *	member does not query the platform for members again
 * @next_groups_us: time, in microseconds, before which a node that knows others
 *	does not look there for nodes that these do not know
 * @find_backoff_ms: last wait between these queries, in milliseconds; 0 before
 *	the first query
 * @settings_timer: timer that checks the settings file for changes
 * @settings_stamp: stamp of the settings file as last read
 * @exit: ends the process after all calls have drained
 * @linger: timer of the linger time; at its expiry, @closing is set and the
 *	calls begin to drain
 * @keep_upstream: timer that runs while the upstream gets new work during a
 *	graceful shutdown; sets @closing at its expiry
 * @serving_since_us: time since which the local upstream has been serving, in
 *	microseconds; 0 if the upstream is not serving
 * @leaving: true after SIGTERM or SIGINT. The phases that follow: the upstream
 *	still gets new work until @keep_upstream or @linger expires, or none if
 *	keep_upstream_ms is 0; @closing; the calls drain after @linger has
 *	expired; @exit; @stopped
 * @closing: true if the node is leaving and the upstream gets no new work
 * @stopped: true if the process may end
 */
struct node {
	const struct settings *settings;
	struct settings settings_in_force;
	struct settings settings_seen;
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
	struct quarantine_net quarantine;
	struct quarantine_keep quarantine_keep;
	struct quota_net quota;
	struct retries_net retries;
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
	int64_t next_groups_us;
	int64_t find_backoff_ms;
	struct timer metrics_timer;
	struct timer settings_timer;
	struct file_stamp settings_stamp;
	struct node_exit exit;
	struct timer linger;
	struct timer keep_upstream;
	int64_t serving_since_us;
	bool leaving;
	bool closing;
	bool stopped;
};

/** node_connect_components() - register the callbacks between components. */
void node_connect_components(struct node *node);

/** node_start_rollout() - start roll-outs; call after node_source_start(). */
void node_start_rollout(struct node *node);

/** node_connect_operator() - register the callback for drills. */
void node_connect_operator(struct node *node);

/** node_upstream_held() - an announce_held_fn. */
void node_upstream_held(const struct announcement *held, void *data);

/** node_upstream_changed() - an announce_changed_fn. */
void node_upstream_changed(const struct announcement *current, void *data);

/** node_source_reads_directory() - true if the node uses the directory. */
bool node_source_reads_directory(const struct node *node);

/** node_source_start() - start the access to the platform's service, if any. */
void node_source_start(struct node *node);

/** node_source_withdraw() - release the reader's lease and stop the lookup. */
void node_source_withdraw(struct node *node);

/** node_source_is_idle() - true if no lease remains to be released. */
bool node_source_is_idle(const struct node *node);

void node_source_finish(struct node *node);

/** node_is_ready() - true if the node accepts requests of callers. */
bool node_is_ready(const struct node *node);

/** node_ready_handle() - an http_handler_fn that reports node_is_ready(). */
void node_ready_handle(struct http_exchange *exchange, void *data);

/** node_metrics_handle() - an http_handler_fn that serves only metrics. */
void node_metrics_handle(struct http_exchange *exchange, void *data);

/** node_leave_init() - prepare the shutdown; call after the servers start. */
void node_leave_init(struct node *node);

/** node_leave() - begin a graceful shutdown, which sets node.stopped. */
void node_leave(struct node *node);

/** node_drained() - all calls have drained; the end of the process is near. */
void node_drained(void *data);
void node_leave_finish(struct node *node);

/** node_source_change() - take over the settings of the platform's service. */
void node_source_change(struct node *node);

/** node_reload() - read the settings file again; an invalid file is ignored. */
void node_reload(struct node *node);

/** node_reload_start() - watch the settings file for changes. */
void node_reload_start(struct node *node);
void node_reload_finish(struct node *node);

/** node_seed() - return an unpredictable seed. */
uint64_t node_seed(void);

/** node_views_init() - register status, dump sections and health checks. */
void node_views_init(struct node *node);

/** node_refresh_metrics() - update metrics that are not counted as they occur.
 */
void node_refresh_metrics(struct node *node);

#endif
