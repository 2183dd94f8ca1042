#ifndef GATE_SIMULATION_H
#define GATE_SIMULATION_H

#include "base/random.h"
#include "gate/gate.h"

/**
 * DOC: simulation
 *
 * Discrete-event simulation for tests of the gate: one gate, one upstream and
 * open-loop callers. A request that is still running at its deadline counts as
 * late and keeps its slot in the upstream until it ends.
 */

/**
 * struct sim_source - a stream of requests of one kind from one tenant
 * @kind: name of the kind
 * @tenant: name of the tenant
 * @weight: weight of each request
 * @per_s: mean rate in requests per second, with exponential gaps
 * @service_us: mean service time, in microseconds
 * @deadline_us: time from the arrival to the deadline, in microseconds
 */
struct sim_source {
	const char *kind;
	const char *tenant;
	double weight;
	double per_s;
	int64_t service_us;
	int64_t deadline_us;
};

/**
 * struct sim_upstream - behaviour of the upstream
 * @capacity: number of requests that run concurrently without slowing down
 * @sheds: rejects requests above @capacity; false: all requests slow down in
 *	proportion to the excess
 * @thrashes: requests slow down by the square of the excess, so that the
 *	throughput falls
 * @slow_factor: factor of the service times in the middle third of the run; 0:
 *	no change
 * @error_rate: share of the requests that fail in the middle third of the run,
 *	at any concurrency
 * @resets: failures of @error_rate are reset answers, not rejects
 */
struct sim_upstream {
	uint32_t capacity;
	bool sheds;
	bool thrashes;
	double slow_factor;
	double error_rate;
	bool resets;
};

enum { SIM_SOURCES_MAX = 16 };

/**
 * struct sim_setup - input of one run
 * @options: settings of the gate
 * @upstream: behaviour of the upstream
 * @sources: streams of requests
 * @source_count: number of @sources
 * @length_us: time during which requests arrive, in microseconds
 * @leave_at_us: time at which the upstream starts to leave; 0: never
 * @seed: seed of the random numbers
 */
struct sim_setup {
	struct gate_options options;
	struct sim_upstream upstream;
	const struct sim_source *sources;
	uint32_t source_count;
	int64_t length_us;
	int64_t leave_at_us;
	uint64_t seed;
};

/**
 * struct sim_result - counts of requests, by source or for the whole run
 * @offered: requests offered to the gate
 * @on_time: requests answered by their deadline
 * @late: requests answered after their deadline
 * @refused: requests refused by the gate
 * @shed: requests rejected or reset by the upstream
 * @goodput: sum of the weights of the requests answered by their deadline
 * @admitted_leaving: requests admitted or queued after the upstream started to
 *	leave
 * @ended_leaving: requests that ended after the upstream started to leave
 * @limit_sum: sum of the limit after each event
 * @limit_count: number of terms in @limit_sum
 * @limit_least: least limit after any event
 */
struct sim_result {
	uint32_t offered[SIM_SOURCES_MAX];
	uint32_t on_time[SIM_SOURCES_MAX];
	uint32_t late[SIM_SOURCES_MAX];
	uint32_t refused[SIM_SOURCES_MAX];
	uint32_t shed;
	double goodput;
	uint32_t admitted_leaving;
	uint32_t ended_leaving;
	double limit_sum;
	uint32_t limit_count;
	uint32_t limit_least;
};

void sim_run(const struct sim_setup *setup, struct sim_result *result);

/**
 * sim_best() - Returns an upper bound of the goodput of any order.
 *
 * The bound serves the sources in the order of weight over service time.
 */
double sim_best(const struct sim_setup *setup);

#endif
