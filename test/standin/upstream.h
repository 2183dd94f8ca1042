#ifndef STANDIN_UPSTREAM_H
#define STANDIN_UPSTREAM_H

#include <jansson.h>
#include <stdio.h>
#include <uthash.h>

#include "base/random.h"
#include "http/client.h"
#include "http/server.h"
#include "standin/extra_answer.h"
#include "standin/odd_answer.h"

/**
 * DOC: upstream
 *
 * Stands in for an upstream: accepts HTTP on the loopback interface, runs a
 * bounded number of requests at once and counts the runs of each X-Request-Id.
 * HTTP requests set faults.
 *
 *	GET  /standin/stats[?list=1]	counts; with list also runs by id
 *	GET  /standin/runs		first run of each id: its begin and end
 *	POST /standin/faults {...}	see struct upstream_faults; with
 *					"crash":true the upstream crashes, with
 *					"replace":true another incarnation
 *					takes its place at the address
 *	GET  /healthz			the health check, with the interface of
 *					the target platform
 *	any other path			a request, answered with its id
 *
 * The query of a request may set ?bytes=N (size of the answer) and
 * ?service_us=N (service time). A request with ?crash_us=N crashes the upstream
 * after it has run for N microseconds: the process ends. With down_ms, it
 * closes all connections instead, listens again after that time, and keeps its
 * counts.
 */

enum {
	UPSTREAM_ID_SIZE = 96,
	UPSTREAMS_MAX = 64,
	UPSTREAM_NOTICE_SIZE = 40,
	UPSTREAM_ARRIVALS_MAX = 8192,
};

/**
 * struct upstream_faults - faults
 * @close_run: number of next requests that run and are closed unanswered
 * @close_unrun: number of next requests that are closed without being run
 * @cut: number of next requests that run and get a truncated answer
 * @fail: number of next requests that run and are answered with 500
 * @stall_ms: time added to each service time
 * @slow: factor on the service time; 0 for none
 * @shed: if not 0, each request gets a 503 with a header that proves that it
 *	did not run
 * @shed_plain: if not 0, each request gets a 503 without that header
 * @rate_limit: text that answers name as limit; empty for none
 * @corrected: if not 0, no request crashes the upstream any more
 * @leaving: if not 0, answers say that the upstream leaves
 * @odd: kind of odd answers; NULL for none
 * @odd_every: each request of this number gets an odd answer, the others a
 *	usual one
 * @reject: share of the requests that are rejected before they run
 * @reject_status: status of these rejections
 * @again: share of the answers that are sent a second time, before the next
 *	answer on their connection
 * @unnamed: share of the answers, and of their copies, without the ID of their
 *	request
 * @lose: share of the requests that run and whose connection is then closed
 * @unavailable: share of the requests that run and are answered with 503
 *	without proof, as if a call of their own had been refused
 * @health: status of the health check; 0 for 200, and 503 while leaving
 * @health_id: ID of the incarnation in the health check; empty for that of the
 *	heartbeats
 * @load: load that is reported; negative to report the
 *	number of waiting and running requests per slot
 */
struct upstream_faults {
	int close_run;
	int close_unrun;
	int cut;
	int fail;
	int stall_ms;
	double slow;
	int shed;
	int shed_plain;
	char rate_limit[UPSTREAM_NOTICE_SIZE];
	int corrected;
	int leaving;
	const struct odd_kind *odd;
	int odd_every;
	double reject;
	int reject_status;
	double again;
	double unnamed;
	double lose;
	double unavailable;
	int health;
	char health_id[UPSTREAM_NOTICE_SIZE];
	double load;
};

/**
 * struct upstream_options - behaviour of an upstream
 * @service: name of the service that is announced
 * @profile: name of the profile that is announced
 * @instance: value of X-Instance in answers; with the number of the start, the
 *	ID of the incarnation on the target platform
 * @heartbeats: announces itself by the heartbeats of the target platform, and
 *	rejects requests for another incarnation with 421
 * @slots: number of requests that run at once
 * @queue_max: maximum number of waiting requests; further requests are shed
 * @service_us: average service time
 * @exponential: service times are exponential, otherwise constant
 * @starting_ms: time after the start during which the state is "starting"
 * @cold_ms: duration of the warm-up
 * @cold_factor: factor on the service time at the start of the warm-up, falling
 *	to 1 at its end
 * @leave_ms: shortest time between the state "leaving" and the exit
 * @down_ms: time for which a crashed upstream accepts no connections; with 0,
 *	its process ends
 * @report_lag_ms: maximum age of the reported load
 * @account: path of the file that receives the arrivals and runs, see
 *	promises/promises.h; empty for none
 * @buffer_bytes: size of the buffers of its sockets, so that requests and
 *	answers are taken in parts; 0 for the usual size
 */
struct upstream_options {
	const char *service;
	const char *profile;
	const char *instance;
	bool heartbeats;
	uint32_t slots;
	uint32_t queue_max;
	int64_t service_us;
	bool exponential;
	int64_t starting_ms;
	int64_t cold_ms;
	double cold_factor;
	int64_t leave_ms;
	int64_t down_ms;
	int64_t report_lag_ms;
	const char *account;
	int buffer_bytes;
};

struct upstream_job;

/**
 * struct upstream_arrivals - arrivals while a limit is named, or after leaving
 * @limit_named_us: time of the first answer that named the present limit; 0
 *	before
 * @at_us: times of the latest arrivals, as a ring
 * @count: number of arrivals written to @at_us
 * @limit_peak: most arrivals in some LIMIT_WINDOW_US, LIMIT_LEARN_US after
 *	@limit_named_us and later
 * @leaving_told_us: time of the first answer that told the leaving; 0 before
 * @after_leaving: number of arrivals LEAVING_LEARN_US after that and later
 */
struct upstream_arrivals {
	int64_t limit_named_us;
	int64_t at_us[UPSTREAM_ARRIVALS_MAX];
	uint32_t count;
	uint32_t limit_peak;
	int64_t leaving_told_us;
	uint32_t after_leaving;
};

/**
 * struct upstream_run - runs of an id
 * @id: X-Request-Id; empty for all requests without an id
 * @count: number of runs
 * @tenant: tenant that the first run was told; empty if none
 * @tenants_differ: another run was told another tenant
 * @first_us: time of the first run, monotonic clock
 * @end_us: time at which the latest run ended; 0 while none has ended
 * @aborted: the caller closed the connection before the end of that run
 * @next: entry in the list of all runs
 * @hh: entry in the table of runs
 */
struct upstream_run {
	char id[UPSTREAM_ID_SIZE];
	uint32_t count;
	char tenant[UPSTREAM_ID_SIZE];
	bool tenants_differ;
	int64_t first_us;
	int64_t end_us;
	bool aborted;
	struct upstream_run *next;
	UT_hash_handle hh;
};

/**
 * struct upstream - an upstream
 * @options: copy of the options
 * @faults: current faults
 * @loop: event loop, not owned
 * @server: HTTP server of the requests
 * @random: random numbers of the service times
 * @fault_random: random numbers of the faults that have a share
 * @extra: answers to be sent again
 * @account: receives the arrivals and runs; NULL for none
 * @start: number of the present incarnation, from 1
 * @waiting: requests that wait for a slot
 * @running: requests that run
 * @waiting_count: number of entries of @waiting
 * @running_count: number of entries of @running
 * @runs: table of the runs by id
 * @run_list: the same runs as a list
 * @total: number of runs
 * @duplicate_runs: number of further runs of an id that ran before
 * @cancelled: number of requests that their caller aborted
 * @shed: number of requests refused with 503
 * @rejected: number of requests rejected by share, or for another incarnation
 * @sent_again: number of answers sent a second time
 * @odd_due: number of requests since the last odd answer
 * @odd_count: number of odd answers
 * @keys_shown: number of requests that came with a key of their caller
 * @started_us: time of the start, monotonic clock
 * @leaving_us: time at which the upstream began to leave; 0 before
 * @port: port of the server
 * @request_crash_count: number of crashes that requests caused
 * @restart: timer of the end of a crash, see down_ms
 * @arrivals: arrivals that a limit or the leaving should have prevented
 * @last_arrival_us: time at which the latest request arrived
 * @reported_load: load that was reported last
 * @reported_load_us: time at which @reported_load was computed; 0 for never
 */
struct upstream {
	struct upstream_options options;
	struct upstream_faults faults;
	struct loop *loop;
	struct http_server server;
	struct random random;
	struct random fault_random;
	struct extra_answers extra;
	FILE *account;
	uint32_t start;
	struct upstream_job *waiting;
	struct upstream_job *running;
	uint32_t waiting_count;
	uint32_t running_count;
	struct upstream_run *runs;
	struct upstream_run *run_list;
	uint64_t total;
	uint64_t duplicate_runs;
	uint64_t cancelled;
	uint64_t shed;
	uint64_t rejected;
	uint64_t sent_again;
	int odd_due;
	uint64_t odd_count;
	uint64_t keys_shown;
	int64_t started_us;
	int64_t leaving_us;
	uint16_t port;
	uint32_t request_crash_count;
	struct timer restart;
	struct upstream_arrivals arrivals;
	int64_t last_arrival_us;
	double reported_load;
	int64_t reported_load_us;
};

/**
 * upstream_set_odd() - sets the kind of odd answers
 * @name: name of the kind; "" for none
 *
 * Return: false if there is no such kind.
 */
bool upstream_set_odd(struct upstream *upstream, const char *name, int every);

bool upstream_init(struct upstream *upstream, struct loop *loop,
		   const struct upstream_options *options, uint16_t port,
		   struct error *err);
void upstream_finish(struct upstream *upstream);

/** upstream_id() - ID of the present incarnation, into @id. */
const char *upstream_id(const struct upstream *upstream,
			char id[UPSTREAM_ID_SIZE]);

/** upstream_load() - load to report, see @load of struct upstream_faults. */
double upstream_load(struct upstream *upstream);

/** upstream_is_down() - true while the upstream has crashed, see down_ms. */
bool upstream_is_down(const struct upstream *upstream);

/** upstream_idle() - true if no request runs or waits. */
bool upstream_idle(const struct upstream *upstream);

/** upstream_count_run() - notes that a run of the request @id begins. */
void upstream_count_run(struct upstream *upstream, const char *id,
			const char *tenant);

/** upstream_end_run() - notes that a run of the request @id ends. */
void upstream_end_run(struct upstream *upstream, const char *id, bool aborted);

/**
 * upstream_list_runs() - number of runs by id
 *
 * Return: JSON object, owned by the caller.
 */
json_t *upstream_list_runs(const struct upstream *upstream);

/**
 * upstream_stats() - statistics of the upstream
 * @list: adds the number of runs of each id
 *
 * Return: JSON object, owned by the caller.
 */
json_t *upstream_stats(const struct upstream *upstream, bool list);

/**
 * upstream_tenants() - what the runs were told of their tenants
 *
 * Return: JSON object, owned by the caller: "keys_shown", and in "runs" by id
 * the tenant of the run ("?" if it differs between runs) and its time.
 */
json_t *upstream_tenants(const struct upstream *upstream);

/**
 * upstream_run_times() - begin and end of the runs, by id
 *
 * Return: JSON object, owned by the caller: by id an array of the number of
 * runs, the begin of the first run and the end of the latest, in microseconds
 * of the monotonic clock, and whether the caller aborted it.
 */
json_t *upstream_run_times(const struct upstream *upstream);

#endif
