#ifndef NODE_SETTINGS_H
#define NODE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "base/address.h"
#include "base/interface.h"
#include "base/log.h"
#include "base/schema.h"
#include "profile/profile.h"
#include "wire/identity.h"

/**
 * DOC: settings
 *
 * All settings of one node, read from a TOML file and checked before the node
 * starts. All faults are collected, and a node does not start with any fault:
 * it would appear healthy but run with unintended defaults.
 */

enum {
	SETTINGS_SEEDS_MAX = 64,
	SECRET_SIZE = 256,
	SECRET_MIN_BYTES = 16,
};

/**
 * struct settings_node - identity of the node
 * @form: setting interface: form of the interface towards callers, the upstream
 *	and the store
 * @service: service of the local upstream, sent to called upstreams as the name
 *	of the caller
 * @first_start: true if the whole deployment starts for the first time
 * @link_mbps: bandwidth of the link of the instance, in Mbit/s; 0 if unknown
 */
struct settings_node {
	char deployment[NAME_SIZE];
	char data_centre[NAME_SIZE];
	char instance[NAME_SIZE];
	enum interface_form form;
	char service[SERVICE_NAME_SIZE];
	bool first_start;
	double link_mbps;
};

/**
 * struct settings_listen - addresses of the servers; port 0: any free port
 * @peer: address for other nodes, TCP and UDP
 * @caller: address for the requests of callers
 * @upstream: address for announcements of the upstream; a loopback address
 *	unless the platform interface is used
 * @operator_: address for the commands of operators
 * @ready: address for readiness checks; family 0: none
 * @metrics: address for metrics; family 0: none
 */
struct settings_listen {
	struct address peer;
	struct address caller;
	struct address upstream;
	struct address operator_;
	struct address ready;
	struct address metrics;
};

/**
 * struct settings_peers - peers of the node
 * @seeds: addresses that are contacted first
 * @seed_count: number of @seeds
 * @secret: shared key of the deployment
 * @compress: true if frames of calls to other data centres are compressed
 */
struct settings_peers {
	struct address seeds[SETTINGS_SEEDS_MAX];
	uint32_t seed_count;
	char secret[SECRET_SIZE];
	bool compress;
};

/**
 * struct settings_platform - the platform's key-value service
 * @address: address of the service; family 0 if there is none
 * @timeout_ms: timeout of one attempt, in milliseconds
 * @deadline_ms: maximum time of all attempts of a call, in milliseconds
 * @calls_per_s: maximum rate of calls of this node, per second; a pending watch
 *	counts as one call
 * @lease_ms: time until a reader's lease expires without renewal, in
 *	milliseconds
 */
struct settings_platform {
	struct address address;
	int64_t timeout_ms;
	int64_t deadline_ms;
	int64_t calls_per_s;
	int64_t lease_ms;
};

/**
 * struct settings_operator - access of operators
 * @token: token that changes must carry; empty: no token is required
 */
struct settings_operator {
	char token[SECRET_SIZE];
};

struct settings_log {
	enum log_level level;
	int64_t rate_per_s;
	int64_t requests_per_s;
};

/**
 * struct settings_membership - failure detection
 * @probe_interval_ms: time between two probes, in milliseconds
 * @probe_timeout_ms: wait for the answer to a probe, in milliseconds, before
 *	other members are asked to probe
 * @indirect: number of members asked to probe in place of this node
 * @suspicion_ms: minimum time that a suspected node has to refute the
 *	suspicion, in milliseconds
 * @links: number of nodes of each data centre that keep contact with the other
 *	data centres
 * @link_interval_ms: time between two messages to another data centre that
 *	show that this one is reachable, in milliseconds
 * @link_timeout_ms: time without a message after which a data centre is
 *	unreachable, in milliseconds
 * @sync_min_ms: time between two comparisons of membership tables that differ,
 *	in milliseconds
 * @sync_max_ms: time between two comparisons of membership tables that are
 *	equal, in milliseconds
 * @serve_bytes_per_s: maximum rate of records sent to nodes that join or
 *	return, in bytes per second
 * @expiry_ms: time for which an unreachable node is remembered, in milliseconds
 * @floor_share: share of the members of a data centre, 0 to 1; if this share is
 *	lost at once, the node suspects its own link and keeps all members as
 *	reachable
 * @floor_hold_ms: time for which the node suspects its own link, in
 *	milliseconds
 * @eager: true if updates are sent at once, false if with the next probe
 */
struct settings_membership {
	int64_t probe_interval_ms;
	int64_t probe_timeout_ms;
	int64_t indirect;
	int64_t suspicion_ms;
	int64_t links;
	int64_t link_interval_ms;
	int64_t link_timeout_ms;
	int64_t sync_min_ms;
	int64_t sync_max_ms;
	int64_t serve_bytes_per_s;
	int64_t expiry_ms;
	double floor_share;
	int64_t floor_hold_ms;
	bool eager;
};

/**
 * struct settings_spread - distribution of versions
 * @plain: true if every version is sent completely to every node, for
 *	comparisons only
 * @pull_timeout_ms: time without progress after which another node is asked, in
 *	milliseconds
 * @serves_max: maximum number of nodes that receive a version from this node at
 *	the same time
 * @serve_bytes_per_s: maximum rate of data sent to these nodes together, in
 *	bytes per second
 * @push_bytes: maximum size of the changed profiles that are sent along with
 *	the announcement of a version, in bytes
 */
struct settings_spread {
	bool plain;
	int64_t pull_timeout_ms;
	int64_t serves_max;
	int64_t serve_bytes_per_s;
	int64_t push_bytes;
};

/**
 * struct settings_rollout - new versions of services
 * @enabled: true if orders of roll-outs are followed and new versions are
 *	judged by their answers
 */
struct settings_rollout {
	bool enabled;
};

/**
 * struct settings_route - section [route]
 * @local_subset: upstreams of the own data centre that are called for a
 *	service; more if more calls are in flight; 0 for all
 * @remote_subset: the same for upstreams of other data centres
 * @by_speed: true if upstreams are chosen by the speed that is reported of them
 */
struct settings_route {
	int64_t local_subset;
	int64_t remote_subset;
	bool by_speed;
};

/**
 * struct settings_call - callers' requests and peers' calls
 * @silence_ms: time without data from a peer, in milliseconds, after which a
 *	connection with calls in progress is suspect
 * @connect_timeout_ms: timeout of a new connection to a peer or to the
 *	upstream, in milliseconds
 * @deadline_ms: longest deadline that a caller may request, in milliseconds
 * @max_body_bytes: maximum size of the body of a request or an answer
 * @max_calls: maximum number of requests of callers in progress
 * @memory_max_bytes: maximum memory for bodies in progress
 * @grace_s: time from the signal of a graceful shutdown until the process is
 *	killed, in seconds; 0 if not known
 * @drain_ms: maximum time for work in progress during a graceful shutdown, in
 *	milliseconds
 * @linger_ms: time for which callers are still served during a graceful
 *	shutdown, in milliseconds
 * @keep_upstream_ms: time for which the local upstream gets new work during a
 *	graceful shutdown, in milliseconds
 * @ask_back: true if an attempt is queried over a new connection after its
 *	connection was silent
 * @retry_errors: true if a repeatable request is retried elsewhere after a 5xx
 *	answer
 * @shared_retries: true if the nodes of a data centre share the retry budget of
 *	a service
 * @retry_slack: retries of a service beyond the share of its requests that all
 *	nodes together may make in @retry_window_s; 0 if not known
 * @retry_window_s: see @retry_slack
 * @require_keys: true if requests without a key of a tenant are refused where
 *	the configuration has tenants
 * @end_heads: true if a request that delays answers of more value on its
 *	caller's connection is ended
 * @seek_room: true if a few nodes are asked for a free slot before a request
 *	waits at one node
 * @accuse: true if a peer that does not answer calls is reported as suspect
 * @doubt_centres: true if a data centre is treated as unreachable for a while
 *	after two consecutive calls without any answer
 * @avoid_errors: true if upstreams with a higher error rate than others of
 *	their service get fewer requests
 * @heed_leaving: true if an upstream that says in an answer that it leaves gets
 *	no new requests
 * @quarantine: true if a request is blocked that has crashed each upstream that
 *	ran it
 * @quotas: true if the limits of tenants are kept
 * @warm_connections: number of nodes of the local data centre to which
 *	connections are opened in advance
 * @outcome_max: maximum number of ended requests whose outcome is stored for
 *	queries
 * @outcome_max_bytes: maximum memory for stored outcomes
 */
struct settings_call {
	int64_t silence_ms;
	int64_t connect_timeout_ms;
	int64_t deadline_ms;
	int64_t max_body_bytes;
	int64_t max_calls;
	int64_t memory_max_bytes;
	double grace_s;
	int64_t drain_ms;
	int64_t linger_ms;
	int64_t keep_upstream_ms;
	bool ask_back;
	bool retry_errors;
	bool shared_retries;
	double retry_slack;
	double retry_window_s;
	bool require_keys;
	bool seek_room;
	bool end_heads;
	bool accuse;
	bool doubt_centres;
	bool avoid_errors;
	bool heed_leaving;
	bool quarantine;
	bool quotas;
	int64_t warm_connections;
	int64_t outcome_max;
	int64_t outcome_max_bytes;
};

/**
 * struct settings_gate - admission to the local upstream
 * @fair: true for fair shares by weight and tenant; false for first come, first
 *	served
 * @strict: true if a greater weight always goes first
 * @by_work: true if, with @strict, the priority is the weight over the expected
 *	service time
 * @trust_slots: true if the announced slots are always the limit
 * @keep_rate_limit: true if no more requests start in a second than the
 *	upstream names in its answers
 * @start_after_leaving_ms: time from the leaving of the upstream in which
 *queued requests may start, in milliseconds; 0: without a bound
 * @queue_max: maximum number of requests of all kinds that wait at the gate
 */
struct settings_gate {
	bool fair;
	bool strict;
	bool by_work;
	bool trust_slots;
	bool keep_rate_limit;
	int64_t start_after_leaving_ms;
	int64_t queue_max;
};

/**
 * struct settings_upstream - the local upstream
 * @address: address that is probed once at the start of the node; family 0: no
 *	probe, the upstream announces itself
 * @announce_interval_s: seconds between two announcements; 0 if not known
 * @announce_ttl_ms: time after the last announcement until the upstream is no
 *	longer listed, in milliseconds
 * @connections_max: value of the setting connections_max
 */
struct settings_upstream {
	struct address address;
	double announce_interval_s;
	int64_t announce_ttl_ms;
	int64_t connections_max;
};

/** Maximum number of keys of all sections. */
enum { SETTINGS_KEYS_MAX = 192 };

/**
 * struct settings - all sections of the settings file
 * @key_hashes: hash of the value of each key, in the order of settings_each()
 */
struct settings {
	struct settings_node node;
	struct settings_listen listen;
	struct settings_peers peers;
	struct settings_platform platform;
	struct settings_operator operator_;
	struct settings_log log;
	struct settings_membership membership;
	struct settings_spread spread;
	struct settings_rollout rollout;
	struct settings_route route;
	struct settings_call call;
	struct settings_gate gate;
	struct settings_upstream upstream;
	uint64_t key_hashes[SETTINGS_KEYS_MAX];
};

/**
 * settings_key_index() - index of a key in settings.key_hashes
 * @name: "section.key"
 *
 * Return: SETTINGS_KEYS_MAX if there is no such key.
 */
uint32_t settings_key_index(const char *name);

/**
 * settings_parse() - parse and check settings
 * @settings: filled in if there are no faults
 * @text: text in TOML
 * @size: length of @text in bytes
 * @faults: collects all faults with their lines; must be empty
 *
 * Return: false if there are faults; @settings is unchanged then.
 */
bool settings_parse(struct settings *settings, const char *text, size_t size,
		    struct faults *faults);

/**
 * settings_load() - read and check a settings file
 * @settings: filled in if there are no faults
 * @path: path of the file
 * @faults: see settings_parse()
 * @err: ERROR_IO if the file cannot be read, otherwise a fault
 *
 * Return: false if the file cannot be read or has faults.
 */
bool settings_load(struct settings *settings, const char *path,
		   struct faults *faults, struct error *err);

/**
 * struct settings_option - description of one key
 * @section: name of the table that contains the key
 * @field: schema of the key
 * @unit: unit of the value; "" if it has none
 */
struct settings_option {
	const char *section;
	const struct schema_field *field;
	const char *unit;
};

typedef void settings_visit_fn(const struct settings_option *option,
			       void *data);

/** settings_each() - call a function for every option, section by section. */
void settings_each(settings_visit_fn *visit, void *data);

/** settings_type_name() - return the name of a type, such as "string". */
const char *settings_type_name(enum schema_type type);

/** settings_unit() - return the unit in the suffix of a key; "" if none. */
const char *settings_unit(const char *key);

/** settings_describe() - print every option as a table. */
void settings_describe(FILE *out);

#endif
