#ifndef GATE_SIMULATION_H
#define GATE_SIMULATION_H

#include "base/random.h"
#include "gate/gate.h"

/**
 * DOC: simulation
 *
 * For tests of the gate: one gate, one upstream and open-loop callers, in
 * virtual time. The caller of a request hangs up at its deadline; what runs
 * then goes on in the upstream until it ends.
 */

/**
 * struct sim_source - a stream of requests of one kind from one tenant
 * @per_s: mean rate, exponential gaps
 * @service_us: mean time in the upstream
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
 * struct sim_upstream - how the upstream behaves
 * @capacity: requests that it truly runs at once
 * @sheds: turns away what is above its capacity; otherwise all slow down
 * @thrashes: slows down by the square, so that less gets done
 * @slow_factor: service times are longer by this in the middle third
 * @error_rate: turned away in the middle third, however few run
 * @resets: breaks answers off then instead of turning requests away
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
 * struct sim_setup - one run
 * @leave_at_us: when the upstream begins to leave; 0: it stays
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
 * struct sim_result - by source, and for the whole run
 * @goodput: weights of what was answered on time
 * @admitted_leaving: requests let in after the upstream began to leave
 * @ended_leaving: those that were there then and ran to their end
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

/** sim_best() - what the best order could have reached, in weights. */
double sim_best(const struct sim_setup *setup);

#endif
