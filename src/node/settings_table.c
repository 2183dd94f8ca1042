#include "node/settings_defs.h"

#include <string.h>

#include "call/warm.h"
#include "route/route.h"

#define TEXT(m, key, min, def, help)                                           \
	SCHEMA_FIELD_STRING(struct settings_draft, m, key, min, def, help)
#define NUMBER(m, key, min, max, def, help)                                    \
	SCHEMA_FIELD_INTEGER(struct settings_draft, settings.m, key, min, max, \
			     def, help)
#define SHARE(m, key, def, help)                                               \
	SCHEMA_FIELD_REAL(struct settings_draft, settings.m, key, 0, 1, def,   \
			  help)
#define SWITCH(m, key, def, help)                                              \
	SCHEMA_FIELD_BOOLEAN(struct settings_draft, settings.m, key, def, help)

static const struct schema_field node_fields[] = {
	TEXT(settings.node.deployment, "deployment", 1, NULL,
	     "Name of the deployment; nodes of another one are refused"),
	TEXT(settings.node.data_centre, "data_centre", 1, NULL,
	     "Data centre that this node stands in"),
	TEXT(settings.node.instance, "instance", 1, NULL,
	     "Name of this instance, unique within the deployment"),
	TEXT(interface, "interface", 1, "own",
	     "Interface towards callers, the upstream and the key-value "
	     "service: own or platform"),
	TEXT(settings.node.service, "service", 0, "",
	     "Service beside, told to upstreams that ask who calls"),
	SWITCH(node.first_start, "first_start", "false",
	       "The whole deployment starts for the first time: nodes take "
	       "more time to meet and trouble the store less"),
	SCHEMA_FIELD_REAL(struct settings_draft, settings.node.link_mbps,
			  "link_mbps", 0, 1000000, "0",
			  "Megabits a second of this instance's link, by which "
			  "duties and bulk are dealt out; 0 if not known"),
};

static const struct schema_field listen_fields[] = {
	TEXT(peer, "peer", 1, NULL,
	     "Where other nodes reach this one, TCP and UDP, as IP:port"),
	TEXT(caller, "caller", 1, NULL, "Where callers send their requests"),
	TEXT(upstream, "upstream", 1, "127.0.0.1:7102",
	     "Where the upstream beside announces itself; loopback only, but "
	     "for the platform interface"),
	TEXT(operator_, "operator", 1, "127.0.0.1:7103",
	     "Where operators' commands and metrics are answered"),
	TEXT(ready, "ready", 0, "",
	     "Where it is answered whether this node takes work; empty for "
	     "nowhere"),
	TEXT(metrics, "metrics", 0, "",
	     "Where metrics alone are answered, to anybody; empty for "
	     "nowhere"),
};

static const struct schema_field peers_fields[] = {
	{ .name = "seeds",
	  .type = SCHEMA_ARRAY,
	  .fallback = "[]",
	  .help = "Peer addresses tried first, as a list of IP:port" },
	TEXT(settings.peers.secret, "secret", 0, "",
	     "Shared key of the deployment, at least 16 bytes"),
	TEXT(secret_file, "secret_file", 0, "",
	     "File whose first line is the shared key, in place of secret"),
	SWITCH(peers.compress, "compress", "true",
	       "Compress frames of calls to other data centres"),
};

static const struct schema_field platform_fields[] = {
	TEXT(platform, "address", 0, "",
	     "Platform's key-value service as IP:port; empty for none"),
	NUMBER(platform.timeout_ms, "timeout_ms", 10, 60000, "1000",
	       "Longest wait for one try, a watch's own wait aside"),
	NUMBER(platform.deadline_ms, "deadline_ms", 10, 600000, "5000",
	       "Longest time for all tries of a call together"),
	NUMBER(platform.calls_per_s, "calls_per_s", 1, 10000, "50",
	       "Budget of calls of this node; twice as many at once"),
	NUMBER(platform.lease_ms, "lease_ms", 500, 600000, "6000",
	       "How long a reader's lease lasts without renewal"),
};

static const struct schema_field operator_fields[] = {
	TEXT(settings.operator_.token, "token", 0, "",
	     "Token that changes must carry; required off loopback"),
	TEXT(token_file, "token_file", 0, "",
	     "File whose first line is the token, in place of token"),
};

static const struct schema_field log_fields[] = {
	TEXT(level, "level", 1, "info",
	     "Least level written: debug, info, warn or error"),
	NUMBER(log.rate_per_s, "rate_per_s", 0, 1000000, "20",
	       "Lines of one event; more are counted; 0 for no limit"),
	NUMBER(log.requests_per_s, "requests_per_s", 0, 1000000, "200",
	       "Lines about requests that went well, as many about attempts "
	       "that did not, and as many about requests; 0 for no limit"),
};

static const struct schema_field membership_fields[] = {
	NUMBER(membership.probe_interval_ms, "probe_interval_ms", 20, 60000,
	       "1000", "Time between two probes of members"),
	NUMBER(membership.probe_timeout_ms, "probe_timeout_ms", 5, 30000, "300",
	       "Wait for a probe's answer before others are asked to probe"),
	NUMBER(membership.indirect, "indirect", 0, 16, "3",
	       "Members asked to probe in this node's place"),
	NUMBER(membership.suspicion_ms, "suspicion_ms", 50, 600000, "3000",
	       "Shortest time in which a suspected node may contradict"),
	NUMBER(membership.links, "links", 1, 16, "2",
	       "Nodes of each data centre that keep in touch with the others"),
	NUMBER(membership.link_interval_ms, "link_interval_ms", 20, 60000,
	       "1000", "Time between two signs of life to a data centre"),
	NUMBER(membership.link_timeout_ms, "link_timeout_ms", 50, 600000,
	       "5000", "Silence after which a data centre is unreachable"),
	NUMBER(membership.sync_min_ms, "sync_min_ms", 20, 600000, "250",
	       "Time between two comparisons of what members know, while they "
	       "differ"),
	NUMBER(membership.sync_max_ms, "sync_max_ms", 20, 3600000, "8000",
	       "The same while they agree"),
	NUMBER(membership.serve_bytes_per_s, "serve_bytes_per_s", 4096,
	       1073741824, "1048576",
	       "Records given to nodes that join or return"),
	NUMBER(membership.expiry_ms, "expiry_ms", 1000, 604800000, "21600000",
	       "How long an unreachable node is remembered"),
	SHARE(membership.floor_share, "floor_share", "0.5",
	      "Share of a data centre that, lost at once, makes a node doubt "
	      "its own link and keep all as reachable"),
	NUMBER(membership.floor_hold_ms, "floor_hold_ms", 0, 3600000, "60000",
	       "How long that doubt holds"),
	SWITCH(membership.eager, "eager", "true",
	       "Tell news at once and not with the next probe"),
};

static const struct schema_field spread_fields[] = {
	SWITCH(spread.plain, "plain", "false",
	       "Send every version whole to every node; for comparison only"),
	NUMBER(spread.pull_timeout_ms, "pull_timeout_ms", 20, 60000, "500",
	       "Wait without progress before another node is asked"),
	NUMBER(spread.serves_max, "serves_max", 1, 64, "16",
	       "Nodes that are given a version at once"),
	NUMBER(spread.serve_bytes_per_s, "serve_bytes_per_s", 65536, 1073741824,
	       "8388608", "Given to all of them together"),
	NUMBER(spread.push_bytes, "push_bytes", 0, 1048576, "262144",
	       "Changed profiles sent along with the news of a version"),
};

static const struct schema_field rollout_fields[] = {
	SWITCH(rollout.enabled, "enabled", "true",
	       "Keep to orders of roll-outs; without, all versions get requests"),
};

static const struct schema_field route_fields[] = {
	NUMBER(route.local_subset, "local_subset", 0, ROUTE_SUBSET_MAX, "0",
	       "Upstreams of its data centre that a node calls for a service, "
	       "more if it has more calls in flight; 0: all of them"),
	NUMBER(route.remote_subset, "remote_subset", 0, ROUTE_SUBSET_MAX, "0",
	       "Upstreams of other data centres that a node calls for a "
	       "service, more if it has more calls in flight; 0: all of them"),
	SWITCH(route.by_speed, "by_speed", "true",
	       "Choose upstreams by how long the kind of request takes there, "
	       "where they report how long work takes now"),
};

static const struct schema_field call_fields[] = {
	NUMBER(call.silence_ms, "silence_ms", 20, 600000, "300",
	       "Silence of a connection with calls outstanding that makes it "
	       "suspect"),
	NUMBER(call.connect_timeout_ms, "connect_timeout_ms", 5, 60000, "250",
	       "Wait for a new connection to a peer or the upstream"),
	NUMBER(call.deadline_ms, "deadline_ms", 1, 3600000, "30000",
	       "Longest deadline that a caller may ask for"),
	NUMBER(call.max_body_bytes, "max_body_bytes", 0, 1048576, "1048576",
	       "Largest body of a request or an answer"),
	NUMBER(call.max_calls, "max_calls", 1, 1000000, "4096",
	       "Callers' requests in progress; more are refused"),
	NUMBER(call.memory_max_bytes, "memory_max_bytes", 1048576, 17179869184,
	       "67108864", "Memory that bodies in progress may take"),
	SCHEMA_FIELD_REAL(struct settings_draft, settings.call.grace_s,
			  "grace_s", 0, 3600, "0",
			  "Seconds from SIGTERM until this process is killed; "
			  "linger_ms, keep_upstream_ms and drain_ms follow "
			  "from them where they are not set; 0 if not known, "
			  "which is 6 on the target platform if none of them "
			  "is set"),
	NUMBER(call.drain_ms, "drain_ms", 0, 3600000, "30000",
	       "How long work in progress may take when this node stops"),
	NUMBER(call.linger_ms, "linger_ms", 0, 600000, "0",
	       "How long callers are still served once this node stops"),
	NUMBER(call.keep_upstream_ms, "keep_upstream_ms", 0, 600000, "0",
	       "How long the upstream beside still gets new work once this "
	       "node stops; at most call.linger_ms"),
	SWITCH(call.retry_errors, "retry_errors", "true",
	       "Make a repeatable request again elsewhere after an answer of "
	       "5xx, within a third of the retry budget"),
	SWITCH(call.shared_retries, "shared_retries", "false",
	       "Share the retry budget of a service among the nodes of a data "
	       "centre, instead of one budget for each node"),
	SCHEMA_FIELD_REAL(struct settings_draft, settings.call.retry_slack,
			  "retry_slack", 0, 1000000, "0",
			  "Retries beyond retry_share that all nodes together "
			  "may make of a service in retry_window_s, with "
			  "shared_retries; 0: 60 once"),
	SCHEMA_FIELD_REAL(struct settings_draft, settings.call.retry_window_s,
			  "retry_window_s", 1, 3600, "10", "See retry_slack"),
	SWITCH(call.require_keys, "require_keys", "true",
	       "Refuse requests without a key of a tenant where the "
	       "configuration has tenants; false serves them without a tenant"),
	SWITCH(call.seek_room, "seek_room", "true",
	       "Ask a few nodes for a free slot before a request waits at one"),
	SWITCH(call.end_heads, "end_heads", "false",
	       "End a repeatable request that delays answers of more value on "
	       "its caller's connection, while its upstreams have room"),
	SWITCH(call.accuse, "accuse", "true",
	       "Have a node suspected by its data centre as soon as calls get "
	       "no answer from it"),
	SWITCH(call.doubt_centres, "doubt_centres", "true",
	       "Take a data centre for unreachable for a while when nothing "
	       "comes back from two calls in a row"),
	SWITCH(call.avoid_errors, "avoid_errors", "true",
	       "Send less to upstreams that answer 5xx more often than others "
	       "of their service"),
	SWITCH(call.heed_leaving, "heed_leaving", "true",
	       "Send nothing new to an upstream that says in an answer that it "
	       "leaves"),
	SWITCH(call.quarantine, "quarantine", "true",
	       "Block requests that crashed each upstream that ran them"),
	SWITCH(call.quotas, "quotas", "true",
	       "Keep the limits of tenants, summed over all nodes"),
	SWITCH(call.ask_back, "ask_back", "true",
	       "Ask about a request over a new connection after silence"),
	NUMBER(call.warm_connections, "warm_connections", 0,
	       WARM_CONNECTIONS_MAX, "0",
	       "Nodes of the own data centre to which connections are opened "
	       "before calls need them"),
	NUMBER(call.outcome_max, "outcome_max", 0, 10000000, "16384",
	       "Ended requests whose outcome is kept to be asked about"),
	NUMBER(call.outcome_max_bytes, "outcome_max_bytes", 0, 1073741824,
	       "16777216", "Memory that kept outcomes may take"),
};

static const struct schema_field gate_fields[] = {
	SWITCH(gate.keep_rate_limit, "keep_rate_limit", "true",
	       "Start no more requests a second than the upstream names in its "
	       "answers"),
	SWITCH(gate.fair, "fair", "true",
	       "Share by weight and tenant; false is first come, first served"),
	SWITCH(gate.strict, "strict", "false",
	       "A heavier weight always goes first, instead of having its "
	       "share"),
	SWITCH(gate.by_work, "by_work", "false",
	       "With gate.strict: weight over expected service time goes first, "
	       "so that short requests do not wait behind long ones"),
	SWITCH(gate.trust_slots, "trust_slots", "false",
	       "The slots that the upstream announces are what it takes; "
	       "nothing it does makes the gate let in fewer"),
	NUMBER(gate.start_after_leaving_ms, "start_after_leaving_ms", 0, 600000,
	       "0",
	       "How long requests that wait at the gate may still start once "
	       "the upstream leaves; 0 for no bound"),
	NUMBER(gate.queue_max, "queue_max", 0, 100000, "256",
	       "Requests of all kinds that may wait at the gate"),
};

static const struct schema_field upstream_fields[] = {
	TEXT(upstream_address, "address", 0, "",
	     "Upstream beside as IP:port, asked for its health once as this "
	     "node starts; empty: it announces itself"),
	NUMBER(upstream.announce_ttl_ms, "announce_ttl_ms", 100, 600000, "3000",
	       "Time after the last announcement until the upstream is "
	       "no longer listed"),
	SCHEMA_FIELD_REAL(struct settings_draft,
			  settings.upstream.announce_interval_s,
			  "announce_interval_s", 0, 300, "0",
			  "Seconds between two announcements; they stay valid "
			  "for twice this time and 3 s, if that is longer than "
			  "announce_ttl_ms; 0 if not known"),
	NUMBER(upstream.connections_max, "connections_max", 1, 100000, "110",
	       "Connections to the upstream beside"),
};

#define SECTION(name, fields)                                                  \
	{                                                                      \
		name, fields, sizeof(fields) / sizeof((fields)[0])             \
	}

const struct settings_section settings_sections[SETTINGS_SECTION_COUNT] = {
	SECTION("node", node_fields),
	SECTION("listen", listen_fields),
	SECTION("peers", peers_fields),
	SECTION("platform", platform_fields),
	SECTION("operator", operator_fields),
	SECTION("log", log_fields),
	SECTION("membership", membership_fields),
	SECTION("spread", spread_fields),
	SECTION("rollout", rollout_fields),
	SECTION("route", route_fields),
	SECTION("call", call_fields),
	SECTION("gate", gate_fields),
	SECTION("upstream", upstream_fields),
};

void settings_each(settings_visit_fn *visit, void *data)
{
	size_t i;
	size_t j;

	for (i = 0; i < SETTINGS_SECTION_COUNT; i++) {
		for (j = 0; j < settings_sections[i].count; j++) {
			struct settings_option option = {
				.section = settings_sections[i].name,
				.field = &settings_sections[i].fields[j],
				.unit = settings_unit(
					settings_sections[i].fields[j].name),
			};

			visit(&option, data);
		}
	}
}

struct key_search {
	const char *name;
	uint32_t next;
	uint32_t found;
};

static void compare_key(const struct settings_option *option, void *data)
{
	struct key_search *search = data;
	char name[64];

	snprintf(name, sizeof(name), "%s.%s", option->section,
		 option->field->name);
	if (!strcmp(name, search->name))
		search->found = search->next;
	search->next++;
}

uint32_t settings_key_index(const char *name)
{
	struct key_search search = { .name = name, .found = SETTINGS_KEYS_MAX };

	settings_each(compare_key, &search);
	return search.found;
}

const char *settings_type_name(enum schema_type type)
{
	switch (type) {
	case SCHEMA_STRING:
		return "string";
	case SCHEMA_INTEGER:
		return "integer";
	case SCHEMA_REAL:
		return "number";
	case SCHEMA_BOOLEAN:
		return "boolean";
	case SCHEMA_TABLE:
		return "table";
	case SCHEMA_ARRAY:
		return "list of strings";
	}
	return "";
}

const char *settings_unit(const char *key)
{
	static const struct {
		const char *suffix;
		const char *unit;
	} units[] = {
		{ "_ms", "ms" },
		{ "_bytes", "bytes" },
		{ "_per_s", "per second" },
	};
	size_t length = strlen(key);
	size_t i;

	for (i = 0; i < sizeof(units) / sizeof(units[0]); i++) {
		size_t suffix = strlen(units[i].suffix);

		if (length > suffix &&
		    !strcmp(key + length - suffix, units[i].suffix))
			return units[i].unit;
	}
	return "";
}

static void describe_option(const struct settings_option *option, void *data)
{
	const struct schema_field *field = option->field;
	const char *fallback = field->fallback;
	char name[64];

	snprintf(name, sizeof(name), "%s.%s", option->section, field->name);
	if (!fallback)
		fallback = "required";
	else if (!*fallback)
		fallback = "\"\"";
	(void)fprintf(data, "%-32s %-15s %-11s %-16s %s\n", name,
		      settings_type_name(field->type), option->unit, fallback,
		      field->help);
}

void settings_describe(FILE *out)
{
	(void)fprintf(out, "%-32s %-15s %-11s %-16s %s\n", "KEY", "TYPE",
		      "UNIT", "DEFAULT", "MEANING");
	settings_each(describe_option, out);
}
