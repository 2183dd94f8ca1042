#ifndef SOAK_SOAK_H
#define SOAK_SOAK_H

#include "base/random.h"
#include "common.h"
#include "fleet/load.h"
#include "promises/promises.h"

/**
 * DOC: soak
 *
 * Runs nodes, upstreams and a platform as processes and injects faults that a
 * seed determines: nodes are paused, killed, stopped by a signal and restarted,
 * connections stall, data centres are partitioned from each other and from the
 * platform, upstreams abort answers, and versions are accepted. Faults follow
 * each other and overlap. Meanwhile callers send idempotent and non-idempotent
 * requests, some on persistent connections that only the node closes. The soak
 * compares the answers of the callers with the requests that the upstreams ran.
 * At the end all nodes must have the same version and serve calls.
 *
 * A seed has two parts. In the first part, faults of all kinds overlap. In the
 * second part only planned changes are made: these must not abort a request.
 *
 * Deployed seeds use the interface of the target platform and the silence times
 * of a deployment. In their second part nodes get a part of a core and are
 * paused for up to 1.5 s, and callers send bodies in pieces and read answers
 * through small buffers.
 */

enum {
	SOAK_CENTRES = 2,
	SOAK_NODES_MIN = 4,
	/* With the upstreams and the platform about 140 processes. */
	SOAK_NODES_MAX = 68,
	SOAK_STEP_MS = 50,
	/* Pauses begin and end between slices of a step. */
	SOAK_SLICE_MS = 10,
	/* Longest deadline of a request. A stopping node drains for at least
	 * this time plus the time in which the answer reaches the caller, so
	 * that the node abandons no request before the caller does. */
	SOAK_DEADLINE_MS = 3000,
	SOAK_SHORT_DEADLINE_MS = 40,
	SOAK_DRAIN_MS = SOAK_DEADLINE_MS + 1000,
	SOAK_LINGER_MS = 1000,
	/* Time after the last fault in which callers may still notice the
	 * fault. */
	SOAK_SETTLE_MS = 3000,
	/* Part of this time after which callers no longer notice it. */
	SOAK_CALM_MS = 1000,
	/* Extra time in which a node that starts or stops must finish. */
	SOAK_PROCESS_GRACE_MS = 3000,
	/* Time for a node to start, and for all nodes to converge after the
	 * last fault. */
	SOAK_CONVERGE_MS = 20000,
	/* Time after its acceptance, or after the last fault that could delay
	 * it, in which a version comes into force on all nodes. */
	SOAK_IN_FORCE_MS = SOAK_SETTLE_MS,
	/* Keys of the tenant whose keys are taken away, one after the other. */
	SOAK_KEYS = 4,
	/* Limits of the limited tenant, each lower than the one before. */
	SOAK_LIMITS = 3,
	SOAK_QUOTA_WINDOW_MS = 5000,
	/* A request that takes longer than this counts as hung. */
	SOAK_ANSWER_MAX_MS = 60000,
	/* Time for which a crashed upstream accepts no connections. */
	SOAK_DOWN_MS = 300,
	/* Contents of requests that crash the upstreams that run them. */
	SOAK_CRASHING_KINDS = 2,
	/* Crashes allowed for one content: three are needed to recognize it,
	 * and as many runs may have begun by then. */
	SOAK_CRASHES_MAX = 3 + 3,
};

enum fault {
	FAULT_PAUSE,
	FAULT_KILL,
	FAULT_SILENCE,
	FAULT_CUT,
	FAULT_PLATFORM,
	FAULT_UPSTREAM,
	/* Planned changes. */
	FAULT_STOP, /* one node, by SIGTERM */
	FAULT_ACCEPT,
	FAULT_STOP_MANY,   /* several nodes at the same time */
	FAULT_STOP_AGAIN,  /* SIGTERM again to stopping nodes */
	FAULT_ROLL,	   /* one node after the other; stops may overlap */
	FAULT_RELOADS,	   /* a series of SIGHUP, also to stopping nodes */
	FAULT_ACCEPT_MANY, /* a series, through one node after the other */
	FAULTS,
	FAULTS_PLANNED = FAULT_STOP,
};

/** enum node_state - state of a node; all but NODE_RUNNING are temporary */
enum node_state {
	NODE_RUNNING,
	NODE_PAUSED,
	NODE_GONE,
	NODE_STOPPING,
	NODE_STARTING,
};

/**
 * struct soak_node - one node
 * @ends_at_step: step at which a paused node continues or a killed node is
 *	restarted
 * @state_deadline_us: monotonic time by which a stop or start must have
 *	finished
 */
struct soak_node {
	enum node_state state;
	uint32_t ends_at_step;
	int64_t state_deadline_us;
};

/**
 * struct soak_pause - pauses of one node in the second part of a deployed seed
 * @pid: process that the pauses apply to
 * @until_us: end of a single pause, monotonic clock
 * @slow_until_us: end of the time in which the node has a part of a core
 * @running_slices: slices of each period in which it runs meanwhile
 * @stopped_us: time at which it was stopped; 0 while it runs
 */
struct soak_pause {
	pid_t pid;
	int64_t until_us;
	int64_t slow_until_us;
	uint32_t running_slices;
	int64_t stopped_us;
};

/**
 * struct soak_note - a fault or a planned change, for the pages of requests
 * @node: index of the node
 */
struct soak_note {
	int64_t at_us;
	uint32_t node;
	const char *what;
};

enum { SOAK_NOTES_MAX = 16384 };

/**
 * struct series - a planned change that is applied to one node after the other
 * @remaining: number of changes still to make; 0 if no series is active
 * @node: index of the node that is next
 * @gap_steps: number of steps between two changes
 * @at: step at which the next change is due
 */
struct series {
	uint32_t remaining;
	uint32_t node;
	uint32_t gap_steps;
	uint32_t at;
};

/**
 * struct soak_tenants - tenants of the configuration
 * @on: the configuration has tenants
 * @far_over: the limited tenant sends far more than its limit
 * @random: draws the changes, so that seeds without tenants draw the same
 *	faults as ever
 * @removed: number of keys that versions so far leave out, from the first on
 * @removed_us: monotonic time at which the acceptance of a version without that
 *	key was acknowledged; 0: not known to be accepted
 * @lowered: index of the limit in the latest version
 * @lowered_us: likewise for a version with that limit or a lower one
 * @faults_end_us: end of the faults that may keep a version from nodes; 0
 *	before
 */
struct soak_tenants {
	bool on;
	bool far_over;
	struct random random;
	uint32_t removed;
	int64_t removed_us[SOAK_KEYS];
	uint32_t lowered;
	int64_t lowered_us[SOAK_LIMITS];
	int64_t faults_end_us;
};

/**
 * struct soak - state of the run of one seed
 * @count: number of nodes
 * @step: current step, of SOAK_STEP_MS
 * @tolerates_silence: nodes have a long silence timeout, so that a slow machine
 *	does not make a node declare a peer lost and abandon a request
 * @upstream_faults: requests crash upstreams, and upstreams name limits and tell
 *	their leaving in answers; drawn from @upstream_random, so that seeds
 *	without these faults draw the same other faults as ever
 * @target_platform: all use the interface of the target platform, and upstreams
 *	reject, repeat and lose answers; drawn from @upstream_random
 * @deployed: see DOC: soak
 * @pauses: by node, with @deployed
 * @pause_random: draws the pauses and the changes that only deployed seeds have
 * @slice: number of the current slice in the second part
 * @stop_when_started: by node: it is stopped as soon as it has started
 * @seed: the seed
 * @notes: faults and planned changes, the oldest first
 * @note_count: number of @notes; later ones are not kept
 * @document_version: version written last, with @target_platform
 * @leaving_until: by upstream: step at which an upstream that told its leaving
 *	ends; 0: it has not told it
 * @none_runs: no node was running at the last step
 * @forgotten: number of times that no node was running any more, so that what
 *	the nodes had found out about crashing requests was gone
 * @tenants: keys and limits
 * @planned: the second part is running: only planned changes are made
 * @planned_from_us: monotonic time at which the second part began, which is
 *	SOAK_SETTLE_MS after the end of the first part; 0 in the first part
 * @partition: by data centre: cut off from the other data centres
 * @partition_until: step at which the partition ends
 * @platform_cut: by data centre: cut off from the platform
 * @platform_cut_until: step at which the connection to the platform is restored
 * @version: highest version that is known to be accepted
 * @series: the active series, by fault
 * @injected: number of injected faults, by fault
 */
struct soak {
	struct cluster cluster;
	struct load load;
	struct random random;
	uint32_t count;
	uint32_t step;
	bool tolerates_silence;
	bool upstream_faults;
	struct random upstream_random;
	bool target_platform;
	bool deployed;
	struct soak_pause pauses[SOAK_NODES_MAX];
	struct random pause_random;
	uint64_t slice;
	bool stop_when_started[SOAK_NODES_MAX];
	uint64_t seed;
	struct soak_note notes[SOAK_NOTES_MAX];
	uint32_t note_count;
	uint64_t document_version;
	uint32_t leaving_until[SOAK_NODES_MAX];
	bool none_runs;
	uint32_t forgotten;
	struct soak_tenants tenants;
	bool planned;
	int64_t planned_from_us;
	struct soak_node nodes[SOAK_NODES_MAX];
	bool partition[SOAK_CENTRES];
	uint32_t partition_until[SOAK_CENTRES];
	bool platform_cut[SOAK_CENTRES];
	uint32_t platform_cut_until[SOAK_CENTRES];
	uint64_t version;
	struct series series[FAULTS];
	uint32_t injected[FAULTS];
};

/** soak_inject_fault() - draws a fault and injects it if currently possible. */
void soak_inject_fault(struct soak *soak);

/** soak_note() - notes a fault or a planned change of node @i. */
void soak_note(struct soak *soak, uint32_t i, const char *what);

/** soak_stop_node() - sends SIGTERM to node @i. */
void soak_stop_node(struct soak *soak, uint32_t i);

/** soak_reload_node() - sends SIGHUP to node @i if it handles the signal. */
void soak_reload_node(struct soak *soak, uint32_t i);

/** soak_run_step() - keeps the load running for a step, and pauses nodes. */
void soak_run_step(struct soak *soak);

/** soak_disturb_planned() - draws a pause or a change of a deployed seed. */
void soak_disturb_planned(struct soak *soak);

/** soak_end_pauses() - ends all pauses of deployed seeds. */
void soak_end_pauses(struct soak *soak);

/** soak_judge_request() - request @index as its caller saw it. */
void soak_judge_request(const struct soak *soak, uint32_t index,
			struct promise_request *request);

/**
 * soak_write_page() - writes all that is known of a request to a file
 * @account: sorted entries of all upstreams
 *
 * Prints the path of the file.
 */
void soak_write_page(const struct soak *soak, uint32_t index,
		     enum promise_rule rule,
		     const struct promise_account *account);

/** soak_disturb_upstreams() - draws a fault of an upstream and injects it. */
void soak_disturb_upstreams(struct soak *soak);

/** soak_write_document() - writes a version of the target platform, or 0. */
uint64_t soak_write_document(struct soak *soak);

/** soak_disturb_answers() - draws a fault of the answers of an upstream. */
void soak_disturb_answers(struct soak *soak);

/** soak_end_answer_faults() - ends the faults of all answers. */
void soak_end_answer_faults(struct soak *soak);

/** soak_count_forgotten() - notes at each step whether any node is running. */
void soak_count_forgotten(struct soak *soak);

/** soak_end_upstream_faults() - ends these faults; all upstreams run again. */
void soak_end_upstream_faults(struct soak *soak);

/** soak_check_crashes() - checks that crashing requests were blocked in time. */
void soak_check_crashes(struct soak *soak);

/** soak_begin_tenants() - chooses the tenants and adds them to the load. */
void soak_begin_tenants(struct soak *soak, uint64_t seed,
			struct load_options *options);

/**
 * soak_accept() - accepts a new version through node @i
 *
 * With tenants, it may take a key away or lower a limit.
 *
 * Return: the version; 0 if the acceptance failed or its effect is unknown.
 */
uint64_t soak_accept(struct soak *soak, uint32_t i);

/**
 * soak_check_tenants() - compares answers and runs with keys and limits
 *
 * Checks the tenants that upstreams were told, that no upstream was shown a
 * key, that a key is served until it is taken away and refused from then on,
 * and that the limit holds over all nodes.
 */
void soak_check_tenants(struct soak *soak);

/** soak_public_path() - path that any caller may request. */
const char *soak_public_path(const struct soak *soak);

/** soak_post_upstream() - sets faults of the upstream of node @i. */
void soak_post_upstream(struct soak *soak, uint32_t i, const char *faults);

/** soak_continue_series() - applies the next change of each series if due. */
void soak_continue_series(struct soak *soak);

/**
 * soak_end_faults() - ends the faults whose time is over
 *
 * Return: false if a node ended unexpectedly, or did not stop or start in time
 *	or without an error.
 */
bool soak_end_faults(struct soak *soak);

/**
 * soak_end_all_faults() - cancels the series and ends all faults
 *
 * Keeps the load running until all nodes run again.
 *
 * Return: see soak_end_faults().
 */
bool soak_end_all_faults(struct soak *soak);

/** soak_check_answers() - compares the answers with what the upstreams ran. */
void soak_check_answers(struct soak *soak);

/**
 * soak_check_nodes() - checks that the nodes have converged
 *
 * All nodes must know each other, have the same version and serve calls.
 */
void soak_check_nodes(struct soak *soak);

#endif
