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
 * An open-loop generator of HTTP calls: requests leave by a schedule,
 * whether or not earlier ones were answered, so that a slow system cannot
 * slow the load down and hide its own delay. Each request bears an id and
 * leaves a record; together with the ids that the upstreams ran, the records
 * tell what was doubled, crossed or wrongly called not run.
 *
 * Requests leave by an alarm of their own: the loop waits in whole
 * milliseconds, and what falls due within one would leave as a burst, whose
 * requests wait for one another.
 *
 * It runs in the process of the bench, on a loop of its own: begin, then
 * run it up to a moment, bring a fault about, run on, end.
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
 * @share: of all requests, in any unit
 * @service: goes into Host
 * @non_idempotent: may not be repeated; sent on a fresh connection, because the
 *HTTP library might otherwise send it twice by itself
 * @deadline_ms: told to the system; 0 for none
 * @keepalive: sent by the callers on kept connections alone; @share is 0, and
 *it stands before the kinds that have one
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

/** struct load_tenant - who asks; an empty name sends no tenant. */
struct load_tenant {
	const char *name;
	double share;
};

/**
 * struct load_options - what to send
 * @targets: "IP:port" of nodes, or of upstreams for a direct baseline
 * @rate_per_s: mean; gaps are exponential if @poisson, else all alike
 * @in_flight_max: past that, requests are recorded as not sent
 * @timeout_ms: after that the caller hangs up
 * @prefix: of all ids of this run
 * @keepalive_per_target: callers of each target that send one request after
 *	another on a connection, until the target closes it
 * @keepalive_gap_ms: their mean pause between an answer and the next request
 * @keepalive_timeout_ms: after that such a caller hangs up
 */
struct load_options {
	const char *targets[LOAD_TARGETS_MAX];
	uint32_t target_count;
	struct load_kind kinds[LOAD_KINDS_MAX];
	uint32_t kind_count;
	struct load_tenant tenants[LOAD_TENANTS_MAX];
	uint32_t tenant_count;
	double rate_per_s;
	bool poisson;
	uint32_t in_flight_max;
	int64_t timeout_ms;
	uint64_t seed;
	const char *prefix;
	uint32_t keepalive_per_target;
	int64_t keepalive_gap_ms;
	int64_t keepalive_timeout_ms;
};

/** enum load_outcome - how one request ended, as its caller sees it. */
enum load_outcome {
	LOAD_PENDING,	    /* not ended yet */
	LOAD_ANSWERED,	    /* the upstream's answer, verdict "ran" or direct */
	LOAD_NOT_RUN,	    /* told so */
	LOAD_MAY_HAVE_RUN,  /* told so */
	LOAD_RAN_NO_ANSWER, /* told that it ran, without its answer */
	LOAD_ABORTED,	    /* no whole answer from the system at all */
	LOAD_NOT_SENT,	    /* too many in flight, or nobody to connect to */
	LOAD_OUTCOMES,
};

/**
 * struct load_record - one request
 * @due_us: by the schedule; @sent_us is when it left
 * @mismatched: the answer was that of another request
 * @timed_out: its caller hung up
 * @request_read: cut on a kept connection, though the target's process had read
 *it or begun to answer; the other cut ones may never have been read
 * @reason: that the system gave, empty without
 */
struct load_record {
	uint32_t kind;
	uint32_t tenant;
	uint32_t target;
	enum load_outcome outcome;
	unsigned int status;
	bool mismatched;
	bool timed_out;
	bool request_read;
	char reason[LOAD_REASON_SIZE];
	int64_t due_us;
	int64_t sent_us;
	int64_t latency_us;
};

struct load_keepalive;

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
	bool draining; /* kept callers begin nothing more */
	struct load_keepalive *keepalive;
	uint32_t keepalive_count;
	struct random keepalive_random;
};

/** load_begin() - ready to send; the schedule starts now. */
bool load_begin(struct load *load, const struct load_options *options,
		struct error *err);

/** load_run() - send and receive for @duration_ms. */
void load_run(struct load *load, int64_t duration_ms);

/**
 * load_drain() - send nothing more, wait for what is in flight
 *
 * Return: false if something was still open after @timeout_ms; it is
 * recorded as LOAD_ABORTED.
 */
bool load_drain(struct load *load, int64_t timeout_ms);

/** load_finish() - free all, the records too. */
void load_finish(struct load *load);

/** load_id() - the id of a record; returns @id. */
char *load_id(const struct load *load, uint32_t record, char id[LOAD_ID_SIZE]);

/** struct load_filter - which records; negative for any. */
struct load_filter {
	int kind;
	int tenant;
};

/**
 * struct load_summary - figures over records
 * @weighted: sum of the weights of requests answered within their deadline
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
 * struct load_audit - what the upstreams' own counts say
 * @duplicate_runs: ids that may not be repeated and ran more than once
 * @false_not_run: ids whose caller was told "not run" and that ran
 * @answered_not_run: ids answered that no upstream ran
 */
struct load_audit {
	uint32_t duplicate_runs;
	uint32_t false_not_run;
	uint32_t answered_not_run;
};

/** load_runs() - how often the upstreams ran a record. */
uint32_t load_runs(const struct load *load, uint32_t record,
		   json_t *const stats[], uint32_t stats_count);

/**
 * load_check() - compare the records with what ran
 * @stats: of each upstream, as GET /standin/stats?list=1 yields them
 */
void load_check(const struct load *load, json_t *const stats[],
		uint32_t stats_count, struct load_audit *audit);

#endif
