#ifndef PLAY_PLAY_H
#define PLAY_PLAY_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "base/random.h"
#include "fleet/cluster.h"

/**
 * DOC: stop play
 *
 * Stops and restarts real nodes one after the other while callers send, and
 * judges from outside which requests were broken off around a stop. Nodes get a
 * share of a core and are paused. The verdict rests on what the callers saw and
 * on the begin and end of each run at the upstreams; the log lines of the nodes
 * are printed beside it.
 */

enum {
	PLAY_ID_SIZE = 24,
	PLAY_REQUESTS_MAX = 400000,
	PLAY_STOPS_MAX = 400,
	PLAY_PAUSES_MAX = 4000,
	PLAY_CONNS_PER_NODE = 16,
	PLAY_CENTRES = 6,
	PLAY_GRACE_MS = 10000,
	/* A connection that ends without an answer counts from this time on,
	 * also if no upstream got the request. */
	PLAY_SLACK_MS = 200,
	PLAY_AFTER_GRACE_MS = 1000,
};

/** enum play_end - how a request ended at its caller */
enum play_end {
	PLAY_OPEN,
	PLAY_ANSWERED,
	PLAY_CUT,     /* the connection ended within the answer */
	PLAY_CLOSED,  /* the connection ended before the answer */
	PLAY_REFUSED, /* no connection */
	PLAY_GIVEN_UP,
};

/** enum play_lost - kinds of broken requests around a stop */
enum play_lost {
	PLAY_KEPT,
	PLAY_LOST_CUT,	      /* part of an answer */
	PLAY_LOST_RUN,	      /* no answer, and an upstream had it */
	PLAY_LOST_UNANSWERED, /* no answer, and no upstream had it */
	PLAY_LOST_REPLACED,   /* an answer of the node while it ran */
	/* A failure of the node after the run: not LOST by the users' rule. */
	PLAY_FAILED_AFTER_RUN,
	PLAY_LOST_KINDS,
};

/**
 * struct play_request - a request as its caller saw it
 * @id: value of X-Request-Id
 * @node: index of the node that took it
 * @unsafe: may run once only
 * @kept: not the first request of its connection
 * @small: the connection has a small receive buffer
 * @stamped: the answer bears the mark of an upstream
 * @end: how it ended
 * @status: status of the answer, 0 if none began
 * @answer_bytes: received bytes of the answer's body
 * @work_ms: service time that it asks for
 * @sent_us: time at which its last byte was written
 * @end_us: time at which it ended
 * @runs: number of runs at the upstreams
 * @upstream: index of the upstream that ran it
 * @run_us: begin of the first run
 * @run_end_us: end of the latest run; 0 if it did not end
 * @aborted: the run's connection was closed before its end
 */
struct play_request {
	char id[PLAY_ID_SIZE];
	uint16_t node;
	bool unsafe;
	bool kept;
	bool small;
	bool stamped;
	enum play_end end;
	uint16_t status;
	uint32_t answer_bytes;
	uint32_t work_ms;
	int64_t sent_us;
	int64_t end_us;
	uint32_t runs;
	uint32_t upstream;
	int64_t run_us;
	int64_t run_end_us;
	bool aborted;
};

/**
 * struct play_stop - one planned stop of a node
 * @gone_us: time at which the process had ended; 0 before
 * @exit_status: as from waitpid()
 */
struct play_stop {
	uint32_t node;
	int64_t term_us;
	int64_t gone_us;
	int exit_status;
};

/**
 * struct play_options - the shape of a play
 * @program: full path of the nodes' program
 * @template: template of the nodes' settings
 * @nodes: number of nodes
 * @share: share of a core for each node; 0 for no limit
 * @quota: the share is a quota of each period, otherwise each node runs for
 *	the share of each period
 * @pauses: number of long pauses around each stop
 * @pause_min_ms, @pause_max_ms: length of the long pauses
 * @stops: number of stops
 * @at_once: number of nodes that stop at the same time
 * @gap_ms: time between stops
 * @down_ms: time between the end of a process and its start
 * @again_ms: each node is stopped again this time after its start; 0: it is
 *	not
 * @document_ms: a version with many routes is written this often; 0: never
 * @routes: number of further routes of a version
 * @rate: requests a second and node
 * @work_ms: usual service time that requests ask for
 * @big_bytes: size of the largest answers
 * @timeout_ms: timeout of the routes
 * @deadline_ms: deadline of the callers
 * @seed: draws all of this
 */
struct play_options {
	const char *program;
	const char *template;
	uint32_t nodes;
	double share;
	bool quota;
	uint32_t pauses;
	uint32_t pause_min_ms;
	uint32_t pause_max_ms;
	uint32_t stops;
	uint32_t at_once;
	uint32_t gap_ms;
	uint32_t down_ms;
	uint32_t again_ms;
	uint32_t document_ms;
	uint32_t routes;
	double rate;
	uint32_t work_ms;
	uint32_t big_bytes;
	uint32_t timeout_ms;
	uint32_t deadline_ms;
	uint64_t seed;
};

struct play_conn;

/**
 * struct play_clients - the callers of all nodes
 * @turn_us: time of the last turn
 * @longest_turn_us: longest time between two turns; a play whose callers were
 *	starved says little
 * @accepts: by node: callers begin new requests there
 */
struct play_clients {
	const struct play_options *options;
	struct cluster *cluster;
	struct random random;
	int epoll;
	struct play_conn *conns;
	struct play_request *requests;
	uint32_t count;
	int64_t next_us;
	int64_t next_check_us;
	int64_t turn_us;
	int64_t longest_turn_us;
	bool sends;
	bool accepts[CLUSTER_NODES_MAX];
};

/** play_clients_begin() - prepares the callers; they send after @sends is set.
 *
 * Return: false if memory or descriptors are missing.
 */
bool play_clients_begin(struct play_clients *clients, struct cluster *cluster,
			const struct play_options *options);

/** play_clients_run() - sends and receives until @until_us. */
void play_clients_run(struct play_clients *clients, int64_t until_us);

/** play_clients_open() - number of requests that have not ended. */
uint32_t play_clients_open(const struct play_clients *clients);

/**
 * struct play_pauses - pauses the processes of nodes from a thread
 * @lock: guards all members; also held while a process is reaped
 * @pid: by node: process, 0 for none
 * @until_us: by node: end of a long pause
 * @begin_us: by node: begin of a long pause that is drawn
 */
struct play_pauses {
	const struct play_options *options;
	pthread_t thread;
	pthread_mutex_t lock;
	bool ends;
	uint32_t count;
	int64_t phase_us[CLUSTER_NODES_MAX];
	int32_t pid[CLUSTER_NODES_MAX];
	bool stopped[CLUSTER_NODES_MAX];
	int64_t begin_us[CLUSTER_NODES_MAX];
	int64_t until_us[CLUSTER_NODES_MAX];
	int64_t period[CLUSTER_NODES_MAX];
	int64_t period_ns[CLUSTER_NODES_MAX];
	uint64_t throttled;
};

bool play_pauses_begin(struct play_pauses *pauses, struct cluster *cluster,
		       const struct play_options *options);
void play_pauses_end(struct play_pauses *pauses);

/** play_pauses_set() - sets the process of node @i, 0 for none. */
void play_pauses_set(struct play_pauses *pauses, uint32_t i, int32_t pid);

/** play_pauses_add() - pauses node @i from @begin_us until @until_us. */
void play_pauses_add(struct play_pauses *pauses, uint32_t i, int64_t begin_us,
		     int64_t until_us);

/** play_join_runs() - adds the runs that @upstreams tell to the requests. */
bool play_join_runs(struct play_clients *clients, const char *address,
		    uint32_t upstream);

/** struct play_pause - one long pause of a node */
struct play_pause {
	uint32_t node;
	int64_t begin_us;
	int64_t until_us;
};

/** struct play_events - what was done to the nodes, in the order of time */
struct play_events {
	struct play_stop stops[PLAY_STOPS_MAX];
	uint32_t stop_count;
	struct play_pause pauses[PLAY_PAUSES_MAX];
	uint32_t pause_count;
};

/** play_judge() - prints the requests broken off around a stop, and totals. */
void play_judge(const struct play_clients *clients,
		const struct play_events *events);

#endif
