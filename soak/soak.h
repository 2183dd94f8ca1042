#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "base/random.h"
#include "common.h"
#include "fleet/load.h"

/**
 * DOC: soak
 *
 * Real nodes, upstreams and a platform as processes, with faults drawn from a
 * seed: nodes are paused, killed, told to stop and started again, connections
 * fall silent, data centres and the platform are cut off, upstreams break
 * answers off, versions are accepted; in series and over each other. Callers
 * send requests that may not be repeated all the while, some on connections
 * that they keep until the node closes them. What they were told is compared
 * with what the upstreams ran, and at the end all nodes must agree and serve.
 *
 * A seed has two parts. In the first, faults of all kinds overlap. In the
 * second there are planned changes alone: these must cut nothing.
 */

enum {
	SOAK_CENTRES = 2,
	SOAK_NODES_LEAST = 4,
	/* Each with its upstream; with those around them 100 processes. */
	SOAK_NODES_MOST = 48,
	SOAK_STEP_MS = 50,
	/* What callers give their requests, and what nodes that stop have to
	 * grant for no request to be given up before its caller does: the
	 * longest deadline and the way of the answer. */
	SOAK_DEADLINE_MS = 3000,
	SOAK_BRIEF_DEADLINE_MS = 40,
	SOAK_DRAIN_MS = SOAK_DEADLINE_MS + 1000,
	SOAK_LINGER_MS = 1000,
	/* Until a fault that has ended counts as over for callers. */
	SOAK_GUARD_MS = 3000,
	/* Grace for a node that stops, beyond what it is granted. */
	SOAK_LATE_MS = 3000,
	/* For nodes to start, and to agree after the last fault. */
	SOAK_AGREE_MS = 20000,
	/* For an answer: whatever takes longer waits for something lost. */
	SOAK_HANG_MS = 60000,
};

enum fault {
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_SILENCE,
	FAULT_CUT,
	FAULT_PLATFORM,
	FAULT_UPSTREAM,
	/* Planned changes. */
	FAULT_STOP, /* told to, by a signal */
	FAULT_ACCEPT,
	FAULT_STOP_MANY,   /* at once */
	FAULT_STOP_AGAIN,  /* those that stop already, and one more */
	FAULT_ROLL,	   /* stops in turn, which may overlap */
	FAULT_RELOADS,	   /* signals in series, also to nodes that stop */
	FAULT_ACCEPT_MANY, /* by one node after the other */
	FAULTS,
	FAULTS_PLANNED = FAULT_STOP,
};

/** enum node_state - how a node is; all but running ends after a while. */
enum node_state {
	NODE_RUNNING,
	NODE_PAUSED,
	NODE_GONE,
	NODE_STOPPING,
	NODE_STARTING,
};

/**
 * struct soak_node - one node
 * @until: step at which its pause ends, or it is started again
 * @hung_us: a stop or start that is not over by then has failed
 */
struct soak_node {
	enum node_state state;
	uint32_t until;
	int64_t hung_us;
};

/**
 * struct series - a planned change that goes from node to node
 * @left: how many more; 0 if none is going on
 * @node: the next
 * @gap_steps: between two
 * @at: step of the next
 */
struct series {
	uint32_t left;
	uint32_t node;
	uint32_t gap_steps;
	uint32_t at;
};

/**
 * struct soak - one seed
 * @patient: nodes take no connection for silent, so that no slowness of the
 *	machine makes one give a request up
 * @planned: no faults but planned changes any more
 * @planned_us: since when, with SOAK_GUARD_MS over
 * @version: the last that is known to be accepted
 */
struct soak {
	struct cluster cluster;
	struct load load;
	struct random random;
	uint32_t count;
	uint32_t step;
	bool patient;
	bool planned;
	int64_t planned_us;
	struct soak_node nodes[SOAK_NODES_MOST];
	bool cut[SOAK_CENTRES];
	uint32_t cut_until[SOAK_CENTRES];
	bool alone[SOAK_CENTRES]; /* without the platform */
	uint32_t alone_until[SOAK_CENTRES];
	uint64_t version;
	struct series series[FAULTS];
	uint32_t brought[FAULTS];
};

/** soak_bring_about() - draw a fault and bring it about, if it can be now. */
void soak_bring_about(struct soak *soak);

/** soak_go_on() - the next of each series that is due. */
void soak_go_on(struct soak *soak);

/**
 * soak_end_faults() - end those whose time is over
 *
 * Return: false if a node did not do what it had to.
 */
bool soak_end_faults(struct soak *soak);

/** soak_end_all_faults() - as soak_end_faults(), until none is left. */
bool soak_end_all_faults(struct soak *soak);

/** soak_check_answers() - what callers were told, by what upstreams ran. */
void soak_check_answers(struct soak *soak);

/** soak_check_nodes() - all know each other, agree and serve. */
void soak_check_nodes(struct soak *soak);

#endif
