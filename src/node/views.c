#include <stdio.h>
#include <string.h>

#include "base/counter.h"
#include "node/node_defs.h"
#include "node/view_tenants.h"
#include "os/clock.h"

/**
 * DOC: views
 *
 * Provides the status, the sections of the dump and the health checks that
 * operators query.
 */

COUNTER(control_sent, "control.sent_bytes",
	"Bytes sent to keep members and versions current");
COUNTER(control_received, "control.received_bytes",
	"Bytes received that keep members and versions current");

GAUGE(gate_limit_gauge, "gate.limit",
      "Requests that the own upstream may run at once now");
GAUGE(gate_running, "gate.running", "Requests that it runs");
GAUGE(gate_waiting, "gate.waiting", "Requests that wait for it");
GAUGE(retry_tokens, "call.retry_tokens",
      "Retries that this node may make at once, of all services together");
GAUGE(platform_age, "platform.last_answer_age_ms",
      "Milliseconds since the platform's service answered; -1 for never");
GAUGE(platform_failures, "platform.failures_in_row",
      "Calls of it that failed since its last answer");

static bool is_control(int type)
{
	return type < FRAME_RANGE_CALL || type >= FRAME_RANGE_ROLLOUT;
}

static void count_control(const struct node *node)
{
	int64_t sent = (int64_t)node->gossip.traffic.sent_bytes;
	int64_t received = (int64_t)node->gossip.traffic.received_bytes;
	int type;

	for (type = 0; type < FRAME_TYPES; type++) {
		if (!is_control(type))
			continue;
		sent += (int64_t)node->hub.traffic[type].sent_bytes;
		received += (int64_t)node->hub.traffic[type].received_bytes;
	}
	counter_set(&control_sent, sent);
	counter_set(&control_received, received);
}

static void refresh_gate(const struct node *node)
{
	const struct gate *gate = &node->gate;

	counter_set(&gate_limit_gauge,
		    gate_limit(gate, loop_now_us(&node->loop)));
	counter_set(&gate_running, gate->running_count);
	counter_set(&gate_waiting, gate->waiting_count);
}

static void refresh_tokens(const struct node *node)
{
	const struct pool *pool;
	double tokens = 0;

	for (pool = node->router.pools; pool; pool = pool->by_service.next)
		tokens += retry_budget_available(&pool->budget);
	counter_set(&retry_tokens, (int64_t)tokens);
}

static void refresh_platform(const struct node *node)
{
	int64_t age_ms = -1;

	if (!node->has_source)
		return;
	if (node->store.last_ok_us)
		age_ms = (loop_now_us(&node->loop) - node->store.last_ok_us) /
			 US_PER_MS;
	counter_set(&platform_age, age_ms);
	counter_set(&platform_failures, node->store.consecutive_failures);
}

void node_refresh_metrics(struct node *node)
{
	count_control(node);
	refresh_gate(node);
	refresh_tokens(node);
	refresh_platform(node);
}

static void format_chain(const struct config *config,
			 char text[CHAIN_TEXT_SIZE])
{
	uint32_t i;

	for (i = 0; i < CHAIN_HASH_BYTES; i++)
		snprintf(text + (size_t)i * 2, 3, "%02x", config->chain[i]);
}

static void fill_data_centre_status(const struct node *node,
				    const struct data_centre *centre,
				    struct status_data_centre *out)
{
	const struct members *members = &node->gossip.members;
	bool home = centre == members->home;
	struct summary summary = { 0 };
	uint32_t i;

	snprintf(out->name, sizeof(out->name), "%s", centre->name);
	out->reachable = home || centre->reachable;
	for (i = 0; i < centre->count; i++) {
		if (members_reachable(members, centre->members[i]) ||
		    centre->members[i] == members->self)
			out->nodes++;
		else
			out->unreachable_nodes++;
	}
	if (!members_summary(members, home ? NULL : centre->name, &summary))
		return;
	out->lowest = summary.lowest;
	for (i = 0; i < summary.count && i < STATUS_VERSIONS_MAX; i++) {
		out->versions[i].version = summary.versions[i];
		out->versions[i].nodes = summary.nodes_at[i];
		if (summary.versions[i] > out->highest)
			out->highest = summary.versions[i];
	}
	out->version_count = i;
	for (i = 0; i < summary.lagging_count && i < STATUS_LAGGING_MAX; i++)
		snprintf(out->lagging[i], NAME_SIZE, "%s", summary.lagging[i]);
	out->lagging_count = i;
	if (!home && summary.received_us)
		out->heard_ms =
			(loop_now_us(&node->loop) - summary.received_us) /
			US_PER_MS;
}

static uint32_t count_routes(const struct node *node)
{
	const struct pool *pool;
	uint32_t count = 0;

	for (pool = node->router.pools; pool; pool = pool->by_service.next)
		if (pool->active_profile)
			count++;
	return count;
}

static uint32_t count_members(const struct node *node)
{
	const struct members *members = &node->gossip.members;
	const struct member *member = NULL;
	uint32_t count = 1;

	while ((member = members_next(members, member)))
		count += members_reachable(members, member);
	return count;
}

static void fill_status(struct operator_status *status, void *data)
{
	struct node *node = data;
	const struct members *members = &node->gossip.members;
	const struct config *config = keeper_config(&node->keeper);
	const struct data_centre *centre;

	/* The status of other data centres is queried on demand and is part of
	 * the next answer. */
	gossip_query_status(&node->gossip);
	snprintf(status->deployment, NAME_SIZE, "%s",
		 node->hub.self.deployment);
	snprintf(status->data_centre, NAME_SIZE, "%s",
		 node->hub.self.data_centre);
	snprintf(status->instance, NAME_SIZE, "%s", node->hub.self.instance);
	status->incarnation = node->hub.self.incarnation;
	status->leaving = node->leaving;
	status->members = count_members(node);
	status->services = count_routes(node);
	status->platform_reachable = node->has_source &&
				     !node->store.consecutive_failures;
	status->seen_version = node->keeper.offered_version;
	if (config) {
		status->version = config->version;
		format_chain(config, status->chain);
	}
	if (status->seen_version < status->version)
		status->seen_version = status->version;
	if (node->keeper.refused_version)
		snprintf(status->reason, sizeof(status->reason), "%.250s",
			 node->keeper.refusal.text);
	for (centre = members->data_centres;
	     centre && status->data_centre_count < STATUS_DATA_CENTRES_MAX;
	     centre = centre->next)
		fill_data_centre_status(
			node, centre,
			&status->data_centres[status->data_centre_count++]);
}

static json_t *dump_node(void *data)
{
	struct node *node = data;
	const struct config *config = keeper_config(&node->keeper);

	node_refresh_metrics(node);
	return json_pack("{s:I,s:I,s:i,s:i,s:I,s:b,s:b,s:i}",
			 "control_sent_bytes", (json_int_t)control_sent.value,
			 "control_received_bytes",
			 (json_int_t)control_received.value, "members",
			 count_members(node), "services", count_routes(node),
			 "version", (json_int_t)(config ? config->version : 0),
			 "leaving", node->leaving, "serving",
			 node->serving_since_us != 0, "connections",
			 node->hub.conn_count);
}

static json_t *dump_wire(void *data)
{
	return wire_hub_dump(&((struct node *)data)->hub);
}

static json_t *dump_gossip(void *data)
{
	return gossip_dump(&((struct node *)data)->gossip);
}

static json_t *dump_spread(void *data)
{
	return spread_net_dump(&((struct node *)data)->spread);
}

static json_t *dump_rollout(void *data)
{
	return rollout_net_dump(&((struct node *)data)->rollout);
}

static json_t *dump_quarantine(void *data)
{
	return quarantine_net_dump(&((struct node *)data)->quarantine);
}

static json_t *dump_retries(void *data)
{
	return retries_net_dump(&((struct node *)data)->retries);
}

static json_t *dump_quota(void *data)
{
	return quota_net_dump(&((struct node *)data)->quota);
}

static json_t *dump_keeper(void *data)
{
	return keeper_dump(&((struct node *)data)->keeper);
}

static json_t *dump_router(void *data)
{
	struct node *node = data;

	return router_dump(&node->router, loop_now_us(&node->loop));
}

static json_t *dump_gate(void *data)
{
	struct node *node = data;

	return gate_dump(&node->gate, loop_now_us(&node->loop));
}

static json_t *dump_calls(void *data)
{
	return calls_dump(&((struct node *)data)->calls);
}

static json_t *dump_tenants(void *data)
{
	struct node *node = data;
	const struct router *router = &node->router;

	return view_tenants(&router->tenants,
			    router->config ? router->config->version : 0,
			    &node->quota);
}

static json_t *dump_announce(void *data)
{
	return announce_dump(&((struct node *)data)->announce);
}

static json_t *dump_platform(void *data)
{
	struct node *node = data;

	if (!node->has_source)
		return json_null();
	return json_pack("{s:o,s:o}", "store",
			 store_dump(&node->store, loop_now_us(&node->loop)),
			 "reader", reader_dump(&node->reader));
}

static void check_platform(struct health_finding *finding, void *data)
{
	const struct node *node = data;

	if (node->has_source && node->store.consecutive_failures)
		health_set(finding, HEALTH_WARN, node->store.last_error.text,
			   "the platform's service does not answer; calls go "
			   "on under the version in force");
}

static void check_config(struct health_finding *finding, void *data)
{
	const struct node *node = data;

	if (!keeper_config(&node->keeper))
		health_set(finding, HEALTH_BAD,
			   "no configuration is in force on this node",
			   "see that a version was accepted, and that the "
			   "platform or a peer can be reached");
	else if (node->keeper.refused_version)
		health_set(finding, HEALTH_WARN, node->keeper.refusal.text,
			   "accept a version that this node can take");
}

static void check_members(struct health_finding *finding, void *data)
{
	const struct node *node = data;

	if (node->gossip.members.floor_active)
		health_set(finding, HEALTH_WARN,
			   "most members of this data centre seem lost at "
			   "once; they are kept as reachable",
			   "look at this instance's own network first");
	else if (count_members(node) == 1)
		health_set(finding, HEALTH_WARN,
			   "this node knows no other member",
			   "check peers.seeds and the shared secret");
}

static void check_rollouts(struct health_finding *finding, void *data)
{
	const struct node *node = data;
	char text[ROLLOUT_FINDING_SIZE];

	if (rollout_net_finding(&node->rollout, text))
		health_set(finding, HEALTH_WARN, text,
			   "see dump rollout, and the log lines of slice "
			   "rollout for what was decided and why");
}

static void check_quarantine(struct health_finding *finding, void *data)
{
	const struct node *node = data;
	char text[HEALTH_TEXT_SIZE];
	uint32_t count = quarantine_net_blocked_count(&node->quarantine);

	if (!count)
		return;
	snprintf(text, sizeof(text),
		 "%u request contents are blocked: the upstreams that ran them "
		 "crashed",
		 count);
	health_set(finding, HEALTH_WARN, text,
		   "see dump quarantine, and the lines with this content in "
		   "the logs; correct the upstream or the caller");
}

static void check_limits(struct health_finding *finding, void *data)
{
	const struct node *node = data;
	char text[HEALTH_TEXT_SIZE];

	if (!node->quota.limit_count || !node->quota.is_alone)
		return;
	snprintf(text, sizeof(text),
		 "data centre %s reaches no other one: its nodes serve only "
		 "their own part of the limits of tenants",
		 node->hub.self.data_centre);
	health_set(finding, HEALTH_WARN, text,
		   "look at the network between the data centres; callers "
		   "refused with 429 are served at the others");
}

static void check_upstream(struct health_finding *finding, void *data)
{
	const struct node *node = data;
	const struct announcement *current = announce_current(&node->announce);

	if (!current)
		health_set(finding, HEALTH_WARN,
			   "no upstream has announced itself here",
			   "see that the upstream renews its announcement");
}

void node_views_init(struct node *node)
{
	const struct {
		const char *name;
		operator_section_fn *dump;
	} sections[] = {
		{ "node", dump_node },
		{ "membership", dump_gossip },
		{ "wire", dump_wire },
		{ "spread", dump_spread },
		{ "config", dump_keeper },
		{ "route", dump_router },
		{ "tenants", dump_tenants },
		{ "gate", dump_gate },
		{ "calls", dump_calls },
		{ "upstream", dump_announce },
		{ "platform", dump_platform },
		{ "rollout", dump_rollout },
		{ "quarantine", dump_quarantine },
		{ "quota", dump_quota },
		{ "retries", dump_retries },
	};
	struct operator_server *server = &node->operator_server;
	size_t i;

	for (i = 0; i < sizeof(sections) / sizeof(sections[0]); i++)
		operator_add_section(server, sections[i].name, sections[i].dump,
				     node);
	operator_add_check(server, "config", check_config, node);
	operator_add_check(server, "platform", check_platform, node);
	operator_add_check(server, "members", check_members, node);
	operator_add_check(server, "upstream", check_upstream, node);
	operator_add_check(server, "rollouts", check_rollouts, node);
	operator_add_check(server, "quarantine", check_quarantine, node);
	operator_add_check(server, "limits", check_limits, node);
	operator_set_status(server, fill_status, node);
}
