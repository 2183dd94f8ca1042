#ifndef QUARANTINE_NET_H
#define QUARANTINE_NET_H

#include <jansson.h>

#include "base/random.h"
#include "quarantine/completions.h"
#include "quarantine/frames.h"
#include "quarantine/table.h"
#include "wire/hub.h"

/**
 * DOC: quarantine net
 *
 * Keeps the findings on requests that crash upstreams the same at all nodes.
 * A change is sent to a few nodes of each data centre, and each node that it is
 * new to sends it on, few of them to other data centres. Each new connection
 * begins with the findings that the other end knows, so that a node that has
 * just started has them. While there are findings, some are sent to another
 * node from time to time, for nodes that missed a change.
 */

struct gossip;

/** struct quarantine_options - @enabled: setting call.quarantine. */
struct quarantine_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct gossip *gossip;
	uint64_t seed;
	bool enabled;
};

/**
 * struct quarantine_net - see DOC
 * @completions: requests that the upstream beside completed recently
 * @send: sends the changes of a turn of the loop together
 * @timer: sends and expires findings; runs while there are any
 * @changed_us: time of the last change
 * @has_own_changes: a change that is not sent yet comes from this node
 * @crash_count: number of crashes of the upstream beside that were reported
 * @on_changed: called after each change of a finding; may be NULL
 * @data: passed to @on_changed
 */
struct quarantine_net {
	struct quarantine_options options;
	struct quarantine_table table;
	struct completions completions;
	struct encoder encoder;
	struct random random;
	struct deferred send;
	struct timer timer;
	int64_t changed_us;
	bool has_own_changes;
	uint64_t crash_count;
	void (*on_changed)(void *data);
	void *data;
};

void quarantine_net_init(struct quarantine_net *net,
			 const struct quarantine_options *options);

/** quarantine_net_finish() - call this before gossip and hub finish. */
void quarantine_net_finish(struct quarantine_net *net);

/** quarantine_net_receive() - merges a finding that is @age_ms old */
void quarantine_net_receive(struct quarantine_net *net,
			    const struct quarantine_finding *finding,
			    int64_t age_ms);

/**
 * struct quarantine_decision - whether a request may be sent
 * @retry_after_ms: time after which it may be accepted again
 */
struct quarantine_decision {
	bool blocked;
	uint32_t retry_after_ms;
};

/**
 * quarantine_net_decide_caller() - decides beside the caller
 *
 * Of the trials of a blocked request, each is made by one node of the
 * deployment, so that it costs at most one upstream.
 */
struct quarantine_decision
quarantine_net_decide_caller(struct quarantine_net *net,
			     const struct fingerprint *fingerprint);

/** quarantine_net_decide_upstream() - decides beside the upstream. */
struct quarantine_decision
quarantine_net_decide_upstream(const struct quarantine_net *net,
			       const struct fingerprint *fingerprint);

/**
 * quarantine_net_may_resend() - returns true if a request whose run was lost
 *	may be sent to another upstream
 */
bool quarantine_net_may_resend(const struct quarantine_net *net,
			       const struct fingerprint *fingerprint);

/** quarantine_net_crash_id() - returns an id for a crash of the upstream. */
uint64_t quarantine_net_crash_id(struct quarantine_net *net);

/** quarantine_net_crashed() - the request ran when the upstream crashed. */
void quarantine_net_crashed(struct quarantine_net *net,
			    const struct fingerprint *fingerprint,
			    uint64_t crash_id);

/** quarantine_net_completed() - the upstream beside completed the request. */
void quarantine_net_completed(struct quarantine_net *net,
			      const struct fingerprint *fingerprint);

/** quarantine_net_blocked_count() - number of hashes that are blocked. */
uint32_t quarantine_net_blocked_count(const struct quarantine_net *net);

/** quarantine_net_dump() - returns the state as JSON; the caller owns it. */
json_t *quarantine_net_dump(const struct quarantine_net *net);

#endif
