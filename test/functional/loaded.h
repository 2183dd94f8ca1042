#ifndef FUNCTIONAL_LOADED_H
#define FUNCTIONAL_LOADED_H

#include "fleet/cluster.h"
#include "fleet/load.h"

/**
 * DOC: loaded
 *
 * A cluster of two data centres under a steady load, and what may disturb it
 * beside the fault that a test is about.
 */

enum {
	LOADED_CENTRES = 2,
	LOADED_NODES = 6,
	LOADED_RESTART_GAP_MS = 500,
};

/** enum disturbance - what else goes on while a fault is played. */
enum disturbance {
	UNDISTURBED,
	DATA_CENTRE_CUT,
	DATA_CENTRE_CUT_AND_BACK,
	CONNECTIONS_SILENT, /* of node 0 */
	OTHER_NODES_RESTART,
	ALL_NODES_RESTART, /* at once */
	FIRST_NODE_RESTARTS,
	PLATFORM_DOWN,
};

struct loaded {
	struct cluster cluster;
	struct load load;
};

/**
 * loaded_start() - start the nodes, their upstreams and the load
 * @upstream_args: further arguments of each upstream, ended by NULL
 * @kinds: kinds of requests to the service "alpha"
 */
void loaded_start(struct loaded *loaded, const char *const upstream_args[],
		  const struct load_kind *kinds, uint32_t kind_count,
		  double rate_per_s);

void loaded_stop(struct loaded *loaded);

/** loaded_post_upstream() - set faults of the upstream of node @i. */
void loaded_post_upstream(struct loaded *loaded, uint32_t i,
			  const char *faults);

/** loaded_disturb() - begin a disturbance while the load goes on. */
void loaded_disturb(struct loaded *loaded, enum disturbance disturbance);

/**
 * loaded_check_served() - check that nearly all requests were served
 * @from: first record that counts
 * @except_kind: kind that does not count; negative for none
 *
 * Requests to a node while it was down do not count.
 */
void loaded_check_served(const struct loaded *loaded, uint32_t from,
			 int except_kind);

#endif
