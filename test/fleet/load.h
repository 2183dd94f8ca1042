#ifndef FLEET_LOAD_H
#define FLEET_LOAD_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "http/client.h"

/**
 * DOC: load
 *
 * An open-loop generator of HTTP requests: it sends by a schedule, whether or
 * not earlier requests were answered, so that a slow system cannot reduce the
 * load and hide its own delay. Each request has an id and a record. Compared
 * with the ids that the upstreams ran, the records show duplicate runs,
 * answers of other requests and false verdicts "not-run".
 *
 * A timer descriptor wakes the loop for each request. The loop itself waits in
 * whole milliseconds, so requests due within a millisecond would leave as a
 * burst and wait for one another.
 *
 * The generator runs in the process of the bench with a loop of its own:
 * load_begin(), load_run() as often as needed, load_drain(), load_finish().
 */

enum {
	LOAD_TARGETS_MAX = 128,
	LOAD_KINDS_MAX = 16,
	LOAD_TENANTS_MAX = 64,
	LOAD_ID_SIZE = 32,
	LOAD_REASON_SIZE = 24,
};

/**
 * struct load_kind - requests of one kind
 * @name: name in results
 * @method: HTTP method
 * @path: path of the URL with its query
 * @service: value of the header Host
 * @share: share of all requests, relative to the sum over all kinds
 * @weight: value of a request answered in time, see struct load_summary
 * @body_bytes: size of the body in bytes
 * @non_idempotent: must not run twice; sent on a new connection, because the
 *	HTTP library may send a request again after a reused connection fails
 * @keepalive: sent only by callers with keep-alive connections; @share is 0,
 *	and the kind precedes the kinds with a share
 * @deadline_ms: deadline that is sent; 0 for no deadline
 */
struct load_kind {
	const char *name;
	const char *method;
	const char *path;
	const char *service;
	double share;
	double weight;
	size_t body_bytes;
	bool non_idempotent;
	bool keepalive;
	int64_t deadline_ms;
};

/**
 * struct load_tenant - a tenant that requests are sent for
 * @name: value of Geraniumplank-Tenant; empty to omit the header
 * @key: sent as "Authorization: SCHEME KEY"; NULL or empty to omit it
 * @share: share of all requests, relative to the sum over all tenants
 */
struct load_tenant {
	const char *name;
	const char *key;
	double share;
};

/**
 * struct load_options - schedule and contents of the requests
 * @targets: "IP:port" of nodes, or of upstreams for a direct baseline
 * @target_count: number of entries of @targets
 * @kinds: kinds of requests
 * @kind_count: number of entries of @kinds
 * @tenants: tenants
 * @tenant_count: number of entries of @tenants; 0 sends no tenant
 * @key_scheme: authentication scheme of the keys; NULL for "Bearer"
 * @deadline_field: header field of the deadline; NULL for
 *	Geraniumplank-Deadline-Ms
 * @rate_per_s: average rate of the schedule
 * @poisson: gaps between requests are exponential, otherwise constant
 * @in_flight_max: while so many requests are in flight, further requests are
 *	recorded as not sent
 * @timeout_ms: time after which the caller closes the connection
 * @seed: seed of all random choices
 * @prefix: start of all ids of this run
 * @keepalive_per_target: number of callers of each target that send one request
 *	after another on a connection until the target closes it
 * @keepalive_gap_ms: their average pause between an answer and the next request
 * @keepalive_timeout_ms: time after which such a caller closes the connection
 * @piece_bytes: such a caller sends a request in pieces of this size; 0 sends
 *it at once
 * @piece_gap_us: time between two pieces
 * @give_up_share: share of the requests of such callers that are given up at a
 *	random time, at most @give_up_max_ms after they were sent
 * @receive_bytes: size of the receive buffer of such a caller; 0 for the usual
 *	size
 */
struct load_options {
	const char *targets[LOAD_TARGETS_MAX];
	uint32_t target_count;
	struct load_kind kinds[LOAD_KINDS_MAX];
	uint32_t kind_count;
	struct load_tenant tenants[LOAD_TENANTS_MAX];
	uint32_t tenant_count;
	const char *key_scheme;
	const char *deadline_field;
	double rate_per_s;
	bool poisson;
	uint32_t in_flight_max;
	int64_t timeout_ms;
	uint64_t seed;
	const char *prefix;
	uint32_t keepalive_per_target;
	int64_t keepalive_gap_ms;
	int64_t keepalive_timeout_ms;
	size_t piece_bytes;
	int64_t piece_gap_us;
	double give_up_share;
	int64_t give_up_max_ms;
	int receive_bytes;
};

/** enum load_outcome - outcome of a request, as its caller sees it. */
enum load_outcome {
	LOAD_PENDING,	    /* no outcome yet */
	LOAD_ANSWERED,	    /* by the upstream: verdict "ran" or none */
	LOAD_NOT_RUN,	    /* verdict "not-run" */
	LOAD_MAY_HAVE_RUN,  /* any other verdict: it may have run */
	LOAD_RAN_NO_ANSWER, /* verdict "ran" with a reason */
	LOAD_ABORTED,	    /* no complete answer */
	LOAD_NOT_SENT,	    /* too many in flight, or no connection */
	LOAD_OUTCOMES,
};

/**
 * struct load_record - one request
 * @kind: index of its kind
 * @tenant: index of its tenant
 * @target: index of its target
 * @outcome: how it ended
 * @status: status of the answer, if there was one
 * @mismatched: the answer belongs to another request
 * @timed_out: the caller closed the connection after its timeout
 * @gave_up: the caller closed the connection before its timeout
 * @request_read: aborted on a keep-alive connection after the target's process
 *	had read the request or started the answer; for other aborted requests
 *	it is unknown whether they were read
 * @stamped: the answer bears the mark of an upstream
 * @reason: value of Geraniumplank-Reason; empty if absent
 * @due_us: time of sending by the schedule, monotonic clock
 * @sent_us: time at which it was sent, monotonic clock
 * @latency_us: time from @sent_us to the outcome
 */
struct load_record {
	uint32_t kind;
	uint32_t tenant;
	uint32_t target;
	enum load_outcome outcome;
	unsigned int status;
	bool mismatched;
	bool timed_out;
	bool gave_up;
	bool request_read;
	bool stamped;
	char reason[LOAD_REASON_SIZE];
	int64_t due_us;
	int64_t sent_us;
	int64_t latency_us;
};

struct load_keepalive;

/**
 * struct load - a load generator
 * @options: copy of the options
 * @loop: event loop of the generator
 * @client: HTTP client of the scheduled requests
 * @random: random numbers of the schedule
 * @records: one for each request, in the order of sending
 * @count: number of @records
 * @capacity: allocated number of @records
 * @in_flight: number of requests without an outcome
 * @in_flight_peak: highest value of @in_flight
 * @next_us: time of the next request, monotonic clock
 * @alarm_fd: timer descriptor that wakes the loop for the next request
 * @alarm: watch of @alarm_fd
 * @kind_shares: sum of the shares of all kinds
 * @tenant_shares: sum of the shares of all tenants
 * @body: bytes that the bodies of requests are taken from
 * @draining: callers with keep-alive connections send no further requests
 * @keepalive: callers with keep-alive connections
 * @keepalive_count: number of entries of @keepalive
 * @keepalive_random: random numbers of the callers in @keepalive
 */
struct load {
	struct load_options options;
	struct loop loop;
	struct http_client client;
	struct random random;
	struct load_record *records;
	uint32_t count;
	uint32_t capacity;
	uint32_t in_flight;
	uint32_t in_flight_peak;
	int64_t next_us;
	int alarm_fd;
	struct watch alarm;
	double kind_shares;
	double tenant_shares;
	char *body;
	bool draining;
	struct load_keepalive *keepalive;
	uint32_t keepalive_count;
	struct random keepalive_random;
};

/**
 * load_begin() - initialize the generator and start the schedule
 *
 * Return: false on failure.
 */
bool load_begin(struct load *load, const struct load_options *options,
		struct error *err);

/** load_run() - send requests by the schedule and receive for @duration_ms. */
void load_run(struct load *load, int64_t duration_ms);

/**
 * load_drain() - wait for the requests in flight without sending new ones
 *
 * Return: false if requests were in flight after @timeout_ms; their outcome is
 * set to LOAD_ABORTED.
 */
bool load_drain(struct load *load, int64_t timeout_ms);

/** load_deadline_field() - header field of the deadline. */
const char *load_deadline_field(const struct load *load);

/** load_finish() - free all resources including the records. */
void load_finish(struct load *load);

/** load_choose_tenant() - draws the index of a tenant by their shares. */
uint32_t load_choose_tenant(const struct load *load, struct random *random);

/** load_id() - format the id of a request into @id and return @id. */
char *load_id(const struct load *load, uint32_t record, char id[LOAD_ID_SIZE]);

/**
 * struct load_filter - a selection of records
 * @kind: index of the kind, negative for all
 * @tenant: index of the tenant, negative for all
 */
struct load_filter {
	int kind;
	int tenant;
};

/**
 * struct load_summary - statistics of the selected records
 * @count: number of records
 * @outcomes: number of records with each outcome
 * @mismatched: number of answers that belong to another request
 * @late: number of requests answered by the upstream after their deadline
 * @weighted: sum of the weights of requests that their upstream answered with
 *	status 200 within the deadline
 * @p50_us: median latency of requests answered by the upstream
 * @p99_us: 99th percentile of the same latencies
 * @max_us: highest of the same latencies
 */
struct load_summary {
	uint32_t count;
	uint32_t outcomes[LOAD_OUTCOMES];
	uint32_t mismatched;
	uint32_t late;
	double weighted;
	int64_t p50_us;
	int64_t p99_us;
	int64_t max_us;
};

void load_summarize(const struct load *load, const struct load_filter *filter,
		    struct load_summary *summary);

/**
 * struct load_audit - contradictions between records and upstreams
 * @duplicate_runs: number of non-idempotent requests that ran more than once
 * @false_not_run: number of requests that ran despite the verdict "not-run"
 * @false_promises: number of non-idempotent requests that ran despite a status
 *	from which their caller concludes that they did not
 * @answered_not_run: number of requests answered with status 200 that no
 *	upstream ran
 */
struct load_audit {
	uint32_t duplicate_runs;
	uint32_t false_not_run;
	uint32_t false_promises;
	uint32_t answered_not_run;
};

/** load_runs() - number of times that the upstreams ran a request. */
uint32_t load_runs(const struct load *load, uint32_t record,
		   json_t *const stats[], uint32_t stats_count);

/**
 * load_is_false_promise() - checks a refusal against the runs
 * @runs: number of times that the request ran
 *
 * Return: true if the request must run at most once, ran, and was answered with
 * a status from which its caller concludes that it has not run.
 */
bool load_is_false_promise(const struct load *load, uint32_t record,
			   uint32_t runs);

/**
 * load_check() - compare the records with the runs of the upstreams
 * @stats: answer of each upstream to GET /standin/stats?list=1
 * @stats_count: number of entries of @stats
 * @audit: receives the result
 */
void load_check(const struct load *load, json_t *const stats[],
		uint32_t stats_count, struct load_audit *audit);

#endif
