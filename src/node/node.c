#include "node/node.h"

#include <apr_general.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/counter.h"
#include "base/log.h"
#include "node/node_defs.h"
#include "operator/command.h"
#include "os/clock.h"

static const char component[] = "node";

enum {
	PROBES_IDLE_MS = 30000,
	PROBES_CONNECTIONS = 64,
	ANNOUNCE_BODY_MAX_BYTES = 16 * 1024,
	ANNOUNCE_CONNECTIONS = 64,
	TURN_MAX_US = 1000 * US_PER_MS,
	METRICS_INTERVAL_MS = 1000,
	CALLER_CONNECTIONS_EXTRA = 64,
	BYTES_PER_MBIT = 125000,
};

/* Maximum share of the bandwidth of the link for sending versions to others. */
#define SPREAD_LINK_SHARE 0.25

static struct loop *signalled_loop;
static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void on_signal(int number)
{
	if (number == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
	loop_wake(signalled_loop);
}

static void install_signal_handlers(struct node *node)
{
	struct sigaction action = { .sa_handler = on_signal };

	signalled_loop = &node->loop;
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	sigaction(SIGHUP, &action, NULL);
	signal(SIGPIPE, SIG_IGN);
}

/* A repeated signal after the loop has been freed would make the handler wake
 * the freed loop. */
static void ignore_signals(void)
{
	signal(SIGTERM, SIG_IGN);
	signal(SIGINT, SIG_IGN);
	signal(SIGHUP, SIG_IGN);
}

uint64_t node_seed(void)
{
	uint64_t seed;

	randombytes_buf(&seed, sizeof(seed));
	return seed;
}

static bool start_hub(struct node *node, struct error *err)
{
	const struct settings *settings = node->settings;
	struct identity self = { .address = settings->listen.peer };
	struct wire_key key;

	snprintf(self.deployment, sizeof(self.deployment), "%s",
		 settings->node.deployment);
	snprintf(self.data_centre, sizeof(self.data_centre), "%s",
		 settings->node.data_centre);
	snprintf(self.instance, sizeof(self.instance), "%s",
		 settings->node.instance);
	/* The wall clock makes the incarnation of a restarted process higher
	 * than that of its predecessor, so that the new records take
	 * precedence. */
	self.incarnation = identity_incarnation(clock_wall_ms(), node_seed());
	wire_key_init(&key, settings->peers.secret, settings->node.deployment);
	if (!wire_hub_init(&node->hub, &node->loop, &self, &key, err))
		return false;
	node->hub.compress_calls = settings->peers.compress;
	return true;
}

/* Returns the base-2 logarithm of the bandwidth in Mbit/s, rounded down and at
 * most FITNESS_MAX. Nodes with a high fitness get the duties that transfer data
 * for the whole data centre. */
static uint8_t fitness_of(double link_mbps)
{
	uint8_t fitness = 0;

	for (; link_mbps >= 2 && fitness < FITNESS_MAX; link_mbps /= 2)
		fitness++;
	return fitness;
}

/* Returns the maximum rate for sending versions to other nodes. Without the
 * limit to a share of the link, calls would queue behind the versions. */
static int64_t serve_bytes_per_s(const struct settings *settings)
{
	double link_max =
		settings->node.link_mbps * BYTES_PER_MBIT * SPREAD_LINK_SHARE;
	int64_t set = settings->spread.serve_bytes_per_s;

	return link_max > 0 && link_max < (double)set ? (int64_t)link_max : set;
}

static bool start_gossip(struct node *node, struct error *err)
{
	const struct settings_membership *from = &node->settings->membership;
	struct members_options options;

	members_options_init(&options);
	options.probe_interval_us = from->probe_interval_ms * US_PER_MS;
	options.ping_timeout_us = from->probe_timeout_ms * US_PER_MS;
	options.indirect = (uint32_t)from->indirect;
	options.links = (uint32_t)from->links;
	options.link_interval_us = from->link_interval_ms * US_PER_MS;
	options.link_timeout_us = from->link_timeout_ms * US_PER_MS;
	options.suspicion_us = from->suspicion_ms * US_PER_MS;
	options.sync_min_us = from->sync_min_ms * US_PER_MS;
	options.sync_interval_us = from->sync_max_ms * US_PER_MS;
	options.floor_hold_us = from->floor_hold_ms * US_PER_MS;
	options.expiry_us = from->expiry_ms * US_PER_MS;
	options.floor_share = from->floor_share;
	options.serve_bytes_per_s = (uint32_t)from->serve_bytes_per_s;
	options.eager = from->eager;
	options.fitness = fitness_of(node->settings->node.link_mbps);
	options.seed = node_seed();
	return gossip_init(&node->gossip, &options, &node->loop, &node->hub,
			   node->settings->peers.seeds,
			   node->settings->peers.seed_count, err);
}

static void start_spread(struct node *node)
{
	const struct settings_spread *from = &node->settings->spread;
	struct spread_options options;

	spread_options_init(&options);
	options.plain = from->plain;
	options.pull_timeout_us = from->pull_timeout_ms * US_PER_MS;
	options.serves_max = (uint32_t)from->serves_max;
	options.serve_bytes_per_s = (uint32_t)serve_bytes_per_s(node->settings);
	options.push_bytes = (uint32_t)from->push_bytes;
	options.seed = node_seed();
	spread_net_init(&node->spread, &options, &node->loop, &node->hub,
			&node->gossip, &node->keeper);
}

static void upstream_unreachable(void *data)
{
	struct node *node = data;

	announce_unreachable(&node->announce);
}

static void upstream_incarnation_changed(const char *id, void *data)
{
	struct node *node = data;

	announce_confirm_id(&node->announce, id);
}

static void upstream_leaving(void *data)
{
	struct node *node = data;

	announce_leaving(&node->announce);
}

static void peer_silent(const struct record *record, void *data)
{
	struct node *node = data;

	log_info(component, "peer_silent",
		 LOG_TEXT("instance", record->instance),
		 LOG_TEXT("data_centre", record->data_centre));
	gossip_report_suspect(&node->gossip, record->data_centre,
			      record->instance);
}

static void start_quarantine(struct node *node)
{
	const struct quarantine_options options = {
		.loop = &node->loop,
		.hub = &node->hub,
		.gossip = &node->gossip,
		.seed = node_seed(),
		.enabled = node->settings->call.quarantine,
	};

	quarantine_net_init(&node->quarantine, &options);
}

static void start_quota(struct node *node)
{
	const struct quota_options options = {
		.loop = &node->loop,
		.hub = &node->hub,
		.gossip = &node->gossip,
		.seed = node_seed(),
		.enabled = node->settings->call.quotas,
		.reads_record = node_source_reads_directory(node),
		.seeds = node->settings->peers.seed_count,
	};

	quota_net_init(&node->quota, &options);
}

static void start_retries(struct node *node)
{
	const struct retries_options options = {
		.loop = &node->loop,
		.hub = &node->hub,
		.gossip = &node->gossip,
		.router = &node->router,
		.enabled = node->settings->call.shared_retries,
		.slack = node->settings->call.retry_slack,
		.window_s = node->settings->call.retry_window_s,
	};

	retries_net_init(&node->retries, &options);
}

static void start_calls(struct node *node)
{
	const struct settings *settings = node->settings;
	const struct settings_call *from = &settings->call;
	struct calls_options options = calls_defaults();
	struct gate_options gate = {
		.slots = 1,
		.queue_max = (uint32_t)settings->gate.queue_max,
		.fair = settings->gate.fair,
		.strict = settings->gate.strict,
		.by_work = settings->gate.by_work,
		.trust_slots = settings->gate.trust_slots,
		.start_after_leaving_us =
			settings->gate.start_after_leaving_ms * US_PER_MS,
	};

	gate_init(&node->gate, &gate);
	router_init(&node->router, settings->node.data_centre, node_seed());
	options.loop = &node->loop;
	options.hub = &node->hub;
	options.router = &node->router;
	options.gate = &node->gate;
	options.client = &node->client;
	options.quarantine = &node->quarantine;
	options.quota = &node->quota;
	options.retries = &node->retries;
	options.keep_rate_limit = settings->gate.keep_rate_limit;
	options.heed_leaving = from->heed_leaving;
	options.callers = &node->callers;
	options.form = settings->node.form;
	options.service = settings->node.service;
	options.calls_max = (uint32_t)from->max_calls;
	options.held_bytes_max = (size_t)from->memory_max_bytes;
	options.body_bytes_max = (size_t)from->max_body_bytes;
	options.answer_bytes_max = (size_t)from->max_body_bytes;
	options.silence_ms = from->silence_ms;
	options.connect_timeout_ms = from->connect_timeout_ms;
	options.deadline_max_ms = from->deadline_ms;
	options.ask_back = from->ask_back;
	options.retry_errors = from->retry_errors;
	options.require_keys = from->require_keys;
	options.seek_room = from->seek_room;
	options.by_speed = settings->route.by_speed;
	node->router.by_speed = settings->route.by_speed;
	node->router.local_subset = (uint32_t)settings->route.local_subset;
	node->router.remote_subset = (uint32_t)settings->route.remote_subset;
	options.end_heads = from->end_heads;
	node->router.avoid_faulty_endpoints = from->avoid_errors;
	node->router.avoid_unreachable_centres = from->doubt_centres;
	node->router.shared_retries = from->shared_retries;
	options.warm_connections = (uint32_t)from->warm_connections;
	options.outcome_max = (uint32_t)from->outcome_max;
	options.outcome_max_bytes = (size_t)from->outcome_max_bytes;
	options.callbacks.on_unreachable = upstream_unreachable;
	options.callbacks.on_incarnation_changed = upstream_incarnation_changed;
	options.callbacks.on_leaving = upstream_leaving;
	options.callbacks.data = node;
	if (from->accuse)
		options.on_peer_silent = peer_silent;
	options.drained = node_drained;
	options.data = node;
	calls_init(&node->calls, &options);
}

static void start_upstream_probe(struct node *node)
{
	const struct settings *settings = node->settings;
	const struct upstream_probe_options options = {
		.loop = &node->loop,
		.client = &node->client,
		.names = call_names(settings->node.form),
		.announce = &node->announce,
		.service = settings->node.service,
		.address = settings->upstream.address,
		.timeout_ms = settings->call.connect_timeout_ms,
	};

	upstream_probe_init(&node->upstream_probe, &options);
}

static void start_announce(struct node *node)
{
	struct announce_options options = {
		.form = node->settings->node.form,
		.loop = &node->loop,
		.ttl_ms = node->settings->upstream.announce_ttl_ms,
		.interval_ms =
			(int64_t)(node->settings->upstream.announce_interval_s *
				  MS_PER_S),
		.confirm = node->settings->node.form == INTERFACE_PLATFORM &&
			   !node->settings->node.first_start,
		.held = node_upstream_held,
		.changed = node_upstream_changed,
		.data = node,
	};

	announce_init(&node->announce, &options);
}

/* Starts the servers that the settings may omit. */
static bool start_probe_servers(struct node *node, struct error *err)
{
	const struct settings_listen *listen = &node->settings->listen;
	struct http_server_options options = {
		.max_connections = PROBES_CONNECTIONS,
		.idle_timeout_ms = PROBES_IDLE_MS,
		.data = node,
	};

	options.address = listen->ready;
	options.handler = node_ready_handle;
	if (listen->ready.family &&
	    !http_server_init(&node->ready_server, &node->loop, &options, err))
		return false;
	options.address = listen->metrics;
	options.handler = node_metrics_handle;
	return !listen->metrics.family ||
	       http_server_init(&node->metrics_server, &node->loop, &options,
				err);
}

static bool start_servers(struct node *node, struct error *err)
{
	const struct settings *settings = node->settings;
	struct http_server_options callers = {
		.address = settings->listen.caller,
		.max_body_bytes = (size_t)settings->call.max_body_bytes,
		.held_bytes_max = (size_t)settings->call.memory_max_bytes,
		.max_connections = (uint32_t)settings->call.max_calls +
				   CALLER_CONNECTIONS_EXTRA,
		.idle_timeout_ms = CALLERS_IDLE_MS,
		.id_field = call_names(settings->node.form)->request_id,
		.handler = calls_handle,
		.data = &node->calls,
	};
	struct http_server_options announcements = {
		.address = settings->listen.upstream,
		.max_body_bytes = ANNOUNCE_BODY_MAX_BYTES,
		.max_connections = ANNOUNCE_CONNECTIONS,
		.idle_timeout_ms = CALLERS_IDLE_MS,
		.handler = announce_handle,
		.data = &node->announce,
	};
	struct operator_options operators = {
		.address = settings->listen.operator_,
		.editor = node->has_source &&
					  settings->node.form == INTERFACE_OWN
				  ? &node->editor
				  : NULL,
		.token = settings->operator_.token,
		.instance = settings->node.instance,
	};

	return http_server_init(&node->callers, &node->loop, &callers, err) &&
	       http_server_init(&node->announcements, &node->loop,
				&announcements, err) &&
	       operator_server_init(&node->operator_server, &node->loop,
				    &operators, err);
}

static void refresh_metrics(struct timer *timer, void *data)
{
	struct node *node = data;

	node_refresh_metrics(node);
	timer_set(&node->loop, timer,
		  loop_now_us(&node->loop) + METRICS_INTERVAL_MS * US_PER_MS);
}

static bool start(struct node *node, struct error *err)
{
	if (!loop_init(&node->loop, err) ||
	    !http_client_init(&node->client, &node->loop, err) ||
	    !start_hub(node, err) || !start_gossip(node, err))
		return false;
	keeper_init(&node->keeper);
	start_spread(node);
	start_quarantine(node);
	start_quota(node);
	start_calls(node);
	start_retries(node);
	start_announce(node);
	start_upstream_probe(node);
	node_connect_components(node);
	node_source_start(node);
	node_start_rollout(node);
	if (!start_servers(node, err) || !start_probe_servers(node, err))
		return false;
	node_views_init(node);
	node_connect_operator(node);
	node_leave_init(node);
	timer_init(&node->metrics_timer, refresh_metrics, node);
	refresh_metrics(&node->metrics_timer, node);
	node_reload_start(node);
	install_signal_handlers(node);
	return true;
}

static void log_ready(const struct node *node)
{
	char texts[4][ADDRESS_TEXT_SIZE];

	log_info(component, "ready", LOG_NUMBER("pid", getpid()),
		 LOG_TEXT("peer",
			  address_format(&node->hub.self.address, texts[0])),
		 LOG_TEXT("caller",
			  address_format(http_server_address(&node->callers),
					 texts[1])),
		 LOG_TEXT("upstream",
			  address_format(
				  http_server_address(&node->announcements),
				  texts[2])),
		 LOG_TEXT("operator",
			  address_format(operator_server_address(
						 &node->operator_server),
					 texts[3])));
}

static void stop(struct node *node)
{
	ignore_signals();
	timer_cancel(&node->loop, &node->metrics_timer);
	node_reload_finish(node);
	node_leave_finish(node);
	operator_server_finish(&node->operator_server);
	rollout_net_finish(&node->rollout);
	node_source_finish(node);
	upstream_probe_finish(&node->upstream_probe);
	announce_finish(&node->announce);
	calls_finish(&node->calls);
	http_server_finish(&node->callers);
	http_server_finish(&node->announcements);
	if (node->ready_server.loop)
		http_server_finish(&node->ready_server);
	if (node->metrics_server.loop)
		http_server_finish(&node->metrics_server);
	quarantine_net_finish(&node->quarantine);
	retries_net_finish(&node->retries);
	quota_net_finish(&node->quota);
	spread_net_finish(&node->spread);
	gossip_finish(&node->gossip);
	router_finish(&node->router);
	gate_finish(&node->gate);
	keeper_finish(&node->keeper);
	http_client_finish(&node->client);
	wire_hub_finish(&node->hub);
	loop_finish(&node->loop);
}

int node_run(const struct settings *settings, const char *path)
{
	struct log_options log = {
		.level = settings->log.level,
		.data_centre = settings->node.data_centre,
		.instance = settings->node.instance,
		.rate_per_s = (uint32_t)settings->log.rate_per_s,
		.requests_per_s = (uint32_t)settings->log.requests_per_s,
		.buffered = true,
	};
	struct node *node = calloc(1, sizeof(*node));
	struct error err = ERROR_INIT;

	if (!node)
		abort();
	log_init(&log);
	node->settings_in_force = *settings;
	node->settings_seen = *settings;
	node->settings = &node->settings_in_force;
	node->settings_path = path;
	if (!start(node, &err)) {
		log_error(component, "cannot_start",
			  LOG_TEXT("reason", err.text));
		log_flush(true);
		return EXIT_STATUS_FAILED;
	}
	log_ready(node);
	log_flush(true);
	while (!node->stopped) {
		loop_turn(&node->loop, TURN_MAX_US);
		log_flush(false);
		if (stop_requested && !node->leaving)
			node_leave(node);
		if (reload_requested) {
			reload_requested = 0;
			node_reload(node);
		}
	}
	stop(node);
	log_info(component, "stopped");
	log_flush(true);
	free(node);
	return EXIT_STATUS_OK;
}
