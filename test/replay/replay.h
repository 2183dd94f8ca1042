#ifndef REPLAY_REPLAY_H
#define REPLAY_REPLAY_H

#include "gate/gate.h"
#include "route/route.h"

/**
 * DOC: replay
 *
 * A load played in virtual time through the decisions of all nodes at once:
 * router, placement and attempt beside each caller, the gate beside each
 * upstream. What lies between them (ways, clients, upstreams) is played by the
 * replay and drawn from a seed: the same setup gives the same result to the
 * last digit. No sockets, no clock.
 */

enum { REPLAY_KINDS_MAX = 4, REPLAY_SPEEDS_MAX = 3 };

/**
 * struct replay_kind - requests of one kind
 * @share: of all requests
 * @work_us: median time in an upstream of usual speed
 * @spread: deviation of the logarithm of that time
 * @tail: share of the requests that take @tail_factor times as long
 * @target_us: an answer within this time is worth @weight, a later one half
 * @repeatable: clients and nodes may send it again whatever became of it
 */
struct replay_kind {
	const char *name;
	double share;
	int64_t work_us;
	double spread;
	double tail;
	double tail_factor;
	int64_t target_us;
	int64_t deadline_us;
	double weight;
	bool repeatable;
	int64_t attempts_max;
};

/**
 * struct replay_trouble - what goes wrong for a while
 * @share: of the upstreams that it befalls
 * @lost: of their answers are lost after the run
 * @slow: their work takes as many times as long; 0 for no change
 * @burst: times the usual rate of requests; 0 for no change
 */
struct replay_trouble {
	int64_t from_us;
	int64_t until_us;
	double share;
	double lost;
	double slow;
	double burst;
};

/** struct replay_policy - what is switched on; see call/placement.h */
struct replay_policy {
	bool seek_room;
};

/**
 * struct replay_setup - one run
 * @callers, @upstreams: in each data centre
 * @load: work that arrives, as a share of what all slots do
 * @speeds: upstreams take so many times the work, by turns
 * @way_us: one way between two nodes of one data centre
 * @far_way_us: between data centres
 * @client_retries: of one request, by its client
 * @retry_share, @retry_burst: of the budget that each caller has
 */
struct replay_setup {
	uint32_t data_centres;
	uint32_t callers;
	uint32_t upstreams;
	uint32_t slots;
	double load;
	double speeds[REPLAY_SPEEDS_MAX];
	int64_t way_us;
	int64_t far_way_us;
	struct replay_kind kinds[REPLAY_KINDS_MAX];
	struct replay_trouble trouble;
	double retry_share;
	int64_t length_us;
	uint64_t seed;
	uint32_t kind_count;
	uint32_t client_retries;
	uint32_t retry_burst;
	struct replay_policy policy;
};

/**
 * struct replay_result - what became of the requests
 * @asked: by clients, their own retries not counted
 * @worth: earned of what all were worth
 * @attempt_count: of nodes, refused ones included
 * @again: arrivals at upstreams beyond the first of each client attempt
 * @waits_us: mean time from a client's attempt to the start of its run
 * @remote: runs in another data centre than the caller's
 */
struct replay_result {
	uint32_t asked;
	uint32_t in_time;
	uint32_t late;
	uint32_t refused;
	uint32_t failed;
	uint32_t client_attempts;
	uint64_t attempt_count;
	uint64_t runs;
	uint64_t again;
	uint64_t remote;
	double worth;
	double wait_mean_us;
	double busy;
};

void replay_run(const struct replay_setup *setup, struct replay_result *result);

/**
 * replay_large() - six data centres with 18 upstreams of five slots in each
 *
 * Two of three upstreams are quick and one is slow; look-ups, short reads and
 * long ones with a long tail. Callers, load and seed are left to the caller.
 */
void replay_large(struct replay_setup *setup);

/**
 * replay_draw() - a deployment drawn from a seed
 *
 * 2 to 6 data centres, 4 to 20 upstreams and 4 to 50 callers in each, ways of
 * 0.2 to 20 ms between them, the kinds of replay_large(); the load is left to
 * the caller.
 */
void replay_draw(struct replay_setup *setup, uint64_t seed);

#endif
