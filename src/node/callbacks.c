#include <string.h>

#include "base/log.h"
#include "node/bounds.h"
#include "node/node_defs.h"
#include "os/clock.h"

/**
 * DOC: callbacks
 *
 * Callbacks that connect the components of a node: a membership change updates
 * the endpoints of the router, a new version in force updates the routes, and
 * an announcement of the upstream updates the gate and the record of this node.
 */

static const char component[] = "node";

static void update_own_endpoint(struct node *node)
{
	const struct member *self = node->gossip.members.self;

	router_set_record(&node->router, &self->record, true,
			  loop_now_us(&node->loop));
}

static void member_event(const struct members_event *event, void *data)
{
	struct node *node = data;

	switch (event->type) {
	case MEMBERS_RECORD:
		router_set_record(&node->router, event->record,
				  event->reachable, loop_now_us(&node->loop));
		router_set_suspect(&node->router, event->record->instance,
				   event->suspect);
		return;
	case MEMBERS_DROPPED:
		router_drop_record(&node->router, event->name);
		return;
	case MEMBERS_DATA_CENTRE:
	case MEMBERS_HEAD:
		return;
	}
}

/* The duration of a cold start is set by the profile of the upstream. */
static void set_cold_start(struct node *node)
{
	const struct announcement *current = announce_current(&node->announce);
	const struct config *config = keeper_config(&node->keeper);
	const struct profile *profile;

	if (!current || !config)
		return;
	profile = config_find(config, current->profile);
	if (profile)
		gate_set_cold_start(&node->gate,
				    profile->cold_start_ms * US_PER_MS);
}

static void set_bounds(struct node *node, const struct config *config)
{
	const struct http_server_limits maximum = {
		.max_head_bytes = CALLERS_HEAD_MAX_BYTES,
		.max_body_bytes = (size_t)node->settings->call.max_body_bytes,
		.idle_timeout_ms = CALLERS_IDLE_MS,
	};
	struct http_server_limits bounds = bounds_from_config(config, &maximum);

	http_server_set_limits(&node->callers, &bounds);
}

/* Returns the limits of the upstreams of a service and sets *profile to the
 * profile that contains them; NULL if no profile does. */
static const struct upstream_limits *
find_upstream_limits(const struct config *config, const char *service,
		     const struct profile **profile)
{
	uint32_t i;
	uint32_t j;

	for (i = 0; i < config->profile_count; i++) {
		*profile = config->profiles[i].profile;
		for (j = 0; j < (*profile)->upstream_count; j++)
			if (!strcmp((*profile)->upstreams[j].service, service))
				return &(*profile)->upstreams[j];
	}
	return NULL;
}

/* Returns the path of the health check of the upstreams of a service; "" if
 * they have none. Sets *profile to the profile that covers the service. */
static const char *health_check_of(const struct config *config,
				   const char *service,
				   const struct profile **profile)
{
	const struct upstream_limits *limits =
		find_upstream_limits(config, service, profile);
	uint32_t i;

	/* The limits may stand in a profile that covers no service. */
	for (i = 0; i < config->profile_count; i++) {
		if (!profile_covers(config->profiles[i].profile, service))
			continue;
		*profile = config->profiles[i].profile;
		break;
	}
	return limits ? limits->health_check : "";
}

/* The answer to a probe does not contain the version of the upstream. If the
 * service is being rolled out, the version decides which requests the upstream
 * gets, so the node waits for the next heartbeat and sends no probe. */
static void probe_upstream(struct node *node, const struct config *config)
{
	const char *service = node->settings->node.service;
	const struct profile *profile = NULL;
	const char *path;

	if (node->settings->node.first_start ||
	    rollout_net_splits_traffic(&node->rollout, service))
		return;
	path = health_check_of(config, service, &profile);
	if (profile)
		upstream_probe_send(&node->upstream_probe, profile->name, path);
}

/* Without a configuration, the path of the health check is not known yet. */
static void confirm_upstream(struct node *node, const struct config *config)
{
	const struct announcement *held = announce_held(&node->announce);
	const struct profile *profile;

	if (held && config)
		upstream_probe_confirm(&node->upstream_probe, held,
				       health_check_of(config, held->service,
						       &profile));
}

void node_upstream_held(const struct announcement *held, void *data)
{
	struct node *node = data;

	confirm_upstream(node, keeper_config(&node->keeper));
}

static void config_changed(struct config *config, void *data)
{
	struct node *node = data;

	set_bounds(node, config);
	router_set_config(&node->router, config);
	quota_net_set_tenants(&node->quota, &node->router.tenants);
	set_cold_start(node);
	confirm_upstream(node, config);
	probe_upstream(node, config);
}

static enum gate_state gate_state_of(const struct node *node,
				     const struct announcement *current)
{
	if (!current ||
	    rollout_net_blocks_version(&node->rollout, current->service,
				       current->version))
		return GATE_CLOSED;
	switch (current->state) {
	case UPSTREAM_SERVING:
		return node->closing ? GATE_LEAVING : GATE_OPEN;
	case UPSTREAM_LEAVING:
		return GATE_LEAVING;
	case UPSTREAM_NONE:
	case UPSTREAM_STARTING:
	case UPSTREAM_GONE:
		return GATE_CLOSED;
	}
	return GATE_CLOSED;
}

static void set_own_record(struct node *node,
			   const struct announcement *current,
			   enum gate_state state)
{
	struct members_upstream own = { .state = UPSTREAM_NONE };
	int64_t now_us = loop_now_us(&node->loop);

	if (current) {
		memcpy(own.service, current->service, sizeof(own.service));
		memcpy(own.profile, current->profile, sizeof(own.profile));
		memcpy(own.version, current->version, sizeof(own.version));
		own.upstream_start = current->start;
		own.slots = current->slots;
		own.state = state == GATE_LEAVING ? UPSTREAM_LEAVING
						  : current->state;
	}
	if (own.state != UPSTREAM_SERVING)
		node->serving_since_us = 0;
	else if (!node->serving_since_us)
		node->serving_since_us = now_us;
	if (node->serving_since_us)
		own.serving_age_ms =
			(now_us - node->serving_since_us) / US_PER_MS;
	gossip_set_upstream(&node->gossip, &own);
}

void node_upstream_changed(const struct announcement *current, void *data)
{
	struct node *node = data;
	enum gate_state state = gate_state_of(node, current);

	log_info(component, "upstream_changed",
		 LOG_TEXT("service", current ? current->service : ""),
		 LOG_TEXT("profile", current ? current->profile : ""),
		 LOG_TEXT("state", current ? upstream_state_name(current->state)
					   : "none"));
	if (current)
		gate_set_slots(&node->gate, current->slots);
	gate_set_state(&node->gate, state, loop_now_us(&node->loop));
	set_cold_start(node);
	calls_set_upstream(&node->calls, current ? current->service : "",
			   current ? current->id : "",
			   current ? current->start : 0,
			   current ? &current->address : NULL);
	/* Without an announcement it keeps the state that it announced last. */
	if (current)
		calls_set_upstream_leaving(&node->calls,
					   current->state == UPSTREAM_LEAVING);
	calls_gate_changed(&node->calls);
	if (state == GATE_LEAVING)
		calls_leave(&node->calls);
	set_own_record(node, current, state);
	update_own_endpoint(node);
}

/* Time for which callers use only the target version after a roll-out has
 * finished. Upstreams of other versions stop at once, but their records remain
 * in the membership table for a while. */
enum { FINISHED_ROLLOUT_SPLIT_MS = 20 * 1000 };

static void rollout_changed(const struct rollout *rollout, void *data)
{
	struct node *node = data;
	const struct announcement *current = announce_current(&node->announce);
	struct split split = {
		.share = rollout_share(rollout),
		.strict = rollout_is_bad(rollout->phase),
	};
	enum gate_state state;

	memcpy(split.target, rollout->order.target, sizeof(split.target));
	if (rollout->phase == ROLLOUT_DONE)
		split.until_us = loop_now_us(&node->loop) +
				 FINISHED_ROLLOUT_SPLIT_MS * US_PER_MS;
	router_set_split(&node->router, rollout->order.service, &split);
	if (!current || strcmp(current->service, rollout->order.service))
		return;
	state = gate_state_of(node, current);
	gate_set_state(&node->gate, state,
		       state == GATE_LEAVING ? loop_now_us(&node->loop) : 0);
	calls_gate_changed(&node->calls);
}

static const struct request_stats *own_request_stats(uint32_t *busy, void *data)
{
	struct node *node = data;

	*busy = node->gate.running_count + node->gate.waiting_count;
	return calls_request_stats(&node->calls);
}

void node_start_rollout(struct node *node)
{
	const struct rollout_options options = {
		.loop = &node->loop,
		.hub = &node->hub,
		.gossip = &node->gossip,
		.store = node->has_source ? &node->store : NULL,
		.seed = node_seed(),
		.on_changed = rollout_changed,
		.request_stats = own_request_stats,
		.data = node,
	};

	rollout_net_init(&node->rollout, &options);
}

static void set_drill_filter(const struct wire_filter *filter, void *data)
{
	struct node *node = data;

	wire_hub_set_filter(&node->hub, filter);
}

void node_connect_operator(struct node *node)
{
	operator_set_drill(&node->operator_server, set_drill_filter, node);
}

void node_connect_components(struct node *node)
{
	node->config_observer.changed = config_changed;
	node->config_observer.data = node;
	keeper_observe(&node->keeper, &node->config_observer);
	gossip_observe(&node->gossip, member_event, node);
	update_own_endpoint(node);
}
