#include "node/reload_keys.h"

#include <stdio.h>
#include <string.h>

/* Addresses, names and keys identify the node to others or belong to sockets
 * that are open; the limits and the switches of components are read as these
 * start, with state that depends on them. */
static const struct {
	const char *name;
	enum reload_effect effect;
} keys[] = {
	{ "node.deployment", RELOAD_RESTART },
	{ "node.data_centre", RELOAD_RESTART },
	{ "node.instance", RELOAD_RESTART },
	{ "node.interface", RELOAD_RESTART },
	{ "node.service", RELOAD_RESTART },
	{ "node.first_start", RELOAD_AT_ONCE },
	{ "node.link_mbps", RELOAD_RESTART },
	{ "listen.peer", RELOAD_RESTART },
	{ "listen.caller", RELOAD_RESTART },
	{ "listen.upstream", RELOAD_RESTART },
	{ "listen.operator", RELOAD_RESTART },
	{ "listen.ready", RELOAD_RESTART },
	{ "listen.metrics", RELOAD_RESTART },
	{ "peers.seeds", RELOAD_AT_ONCE },
	{ "peers.secret", RELOAD_RESTART },
	{ "peers.secret_file", RELOAD_RESTART },
	{ "peers.compress", RELOAD_RESTART },
	{ "platform.address", RELOAD_AT_ONCE },
	{ "platform.timeout_ms", RELOAD_AT_ONCE },
	{ "platform.deadline_ms", RELOAD_RESTART },
	{ "platform.calls_per_s", RELOAD_AT_ONCE },
	{ "platform.lease_ms", RELOAD_RESTART },
	{ "operator.token", RELOAD_RESTART },
	{ "operator.token_file", RELOAD_RESTART },
	{ "log.level", RELOAD_AT_ONCE },
	{ "log.rate_per_s", RELOAD_AT_ONCE },
	{ "log.requests_per_s", RELOAD_AT_ONCE },
	{ "membership.probe_interval_ms", RELOAD_RESTART },
	{ "membership.probe_timeout_ms", RELOAD_RESTART },
	{ "membership.indirect", RELOAD_RESTART },
	{ "membership.suspicion_ms", RELOAD_RESTART },
	{ "membership.links", RELOAD_RESTART },
	{ "membership.link_interval_ms", RELOAD_RESTART },
	{ "membership.link_timeout_ms", RELOAD_RESTART },
	{ "membership.sync_min_ms", RELOAD_RESTART },
	{ "membership.sync_max_ms", RELOAD_RESTART },
	{ "membership.serve_bytes_per_s", RELOAD_RESTART },
	{ "membership.expiry_ms", RELOAD_RESTART },
	{ "membership.floor_share", RELOAD_RESTART },
	{ "membership.floor_hold_ms", RELOAD_RESTART },
	{ "membership.eager", RELOAD_RESTART },
	{ "spread.plain", RELOAD_RESTART },
	{ "spread.pull_timeout_ms", RELOAD_RESTART },
	{ "spread.serves_max", RELOAD_RESTART },
	{ "spread.serve_bytes_per_s", RELOAD_RESTART },
	{ "spread.push_bytes", RELOAD_RESTART },
	{ "rollout.enabled", RELOAD_RESTART },
	{ "route.local_subset", RELOAD_RESTART },
	{ "route.remote_subset", RELOAD_RESTART },
	{ "route.by_speed", RELOAD_RESTART },
	{ "call.silence_ms", RELOAD_RESTART },
	{ "call.connect_timeout_ms", RELOAD_RESTART },
	{ "call.deadline_ms", RELOAD_RESTART },
	{ "call.max_body_bytes", RELOAD_RESTART },
	{ "call.max_calls", RELOAD_RESTART },
	{ "call.memory_max_bytes", RELOAD_RESTART },
	{ "call.grace_s", RELOAD_AT_ONCE },
	{ "call.drain_ms", RELOAD_AT_ONCE },
	{ "call.linger_ms", RELOAD_AT_ONCE },
	{ "call.keep_upstream_ms", RELOAD_AT_ONCE },
	{ "call.retry_errors", RELOAD_RESTART },
	{ "call.shared_retries", RELOAD_RESTART },
	{ "call.retry_slack", RELOAD_AT_ONCE },
	{ "call.retry_window_s", RELOAD_AT_ONCE },
	{ "call.require_keys", RELOAD_RESTART },
	{ "call.seek_room", RELOAD_RESTART },
	{ "call.end_heads", RELOAD_RESTART },
	{ "call.accuse", RELOAD_RESTART },
	{ "call.doubt_centres", RELOAD_RESTART },
	{ "call.avoid_errors", RELOAD_RESTART },
	{ "call.heed_leaving", RELOAD_RESTART },
	{ "call.quarantine", RELOAD_RESTART },
	{ "call.quotas", RELOAD_RESTART },
	{ "call.ask_back", RELOAD_RESTART },
	{ "call.warm_connections", RELOAD_RESTART },
	{ "call.outcome_max", RELOAD_RESTART },
	{ "call.outcome_max_bytes", RELOAD_RESTART },
	{ "gate.keep_rate_limit", RELOAD_RESTART },
	{ "gate.fair", RELOAD_RESTART },
	{ "gate.strict", RELOAD_RESTART },
	{ "gate.by_work", RELOAD_RESTART },
	{ "gate.trust_slots", RELOAD_RESTART },
	{ "gate.start_after_leaving_ms", RELOAD_RESTART },
	{ "gate.queue_max", RELOAD_RESTART },
	{ "upstream.address", RELOAD_RESTART },
	{ "upstream.announce_ttl_ms", RELOAD_RESTART },
	{ "upstream.announce_interval_s", RELOAD_RESTART },
	{ "upstream.connections_max", RELOAD_RESTART },
};

enum { KEY_COUNT = sizeof(keys) / sizeof(keys[0]) };

enum reload_effect reload_effect_of(const char *name)
{
	size_t i;

	for (i = 0; i < KEY_COUNT; i++)
		if (!strcmp(keys[i].name, name))
			return keys[i].effect;
	return RELOAD_UNKNOWN;
}

static bool differs(const struct settings *a, const struct settings *b,
		    uint32_t index)
{
	return a->key_hashes[index] != b->key_hashes[index];
}

void reload_compare(const struct settings *in_force,
		    const struct settings *seen, const struct settings *read,
		    reload_key_fn *changed, void *data)
{
	size_t i;

	for (i = 0; i < KEY_COUNT; i++) {
		uint32_t index = settings_key_index(keys[i].name);

		if (!differs(in_force, read, index))
			continue;
		if (keys[i].effect == RELOAD_AT_ONCE ||
		    differs(seen, read, index))
			changed(keys[i].name, keys[i].effect, data);
	}
}

static void take_stop_times(struct settings_call *to,
			    const struct settings_call *from)
{
	to->grace_s = from->grace_s;
	to->drain_ms = from->drain_ms;
	to->linger_ms = from->linger_ms;
	to->keep_upstream_ms = from->keep_upstream_ms;
}

void reload_take(struct settings *in_force, const struct settings *read)
{
	size_t i;

	in_force->node.first_start = read->node.first_start;
	in_force->platform.address = read->platform.address;
	in_force->platform.timeout_ms = read->platform.timeout_ms;
	in_force->platform.calls_per_s = read->platform.calls_per_s;
	in_force->log = read->log;
	memcpy(in_force->peers.seeds, read->peers.seeds,
	       sizeof(in_force->peers.seeds));
	in_force->peers.seed_count = read->peers.seed_count;
	in_force->call.retry_slack = read->call.retry_slack;
	in_force->call.retry_window_s = read->call.retry_window_s;
	take_stop_times(&in_force->call, &read->call);
	for (i = 0; i < KEY_COUNT; i++) {
		uint32_t index = settings_key_index(keys[i].name);

		if (keys[i].effect == RELOAD_AT_ONCE)
			in_force->key_hashes[index] = read->key_hashes[index];
	}
}
