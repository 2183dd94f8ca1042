#ifndef RETRIES_NET_H
#define RETRIES_NET_H

#include <jansson.h>
#include <uthash.h>

#include "event/loop.h"
#include "retries/account.h"
#include "retries/client.h"
#include "route/route.h"
#include "wire/hub.h"

/**
 * DOC: retries net
 *
 * Shares the retry budget of each service among the nodes of a data centre.
 * Each node that calls a service reports its counts to the owner, at once when
 * it sees a failure, and the owner answers with the chance of further retries.
 * An owner that limits retries tells all nodes of its data centre once, because
 * most of them have not seen a failure yet.
 */

struct gossip;

/**
 * struct retries_options - see DOC
 * @enabled: setting call.shared_retries
 * @slack, @window_s: settings call.retry_slack and call.retry_window_s
 */
struct retries_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct gossip *gossip;
	struct router *router;
	bool enabled;
	double slack;
	double window_s;
};

/**
 * struct retries_service - the budget of a service
 * @client: this node
 * @sums: this node as the owner
 * @told_chance: chance that all nodes were told at @told_us
 * @asked_us: time of a report without an answer; 0 if none
 * @second_until_us: the second member is taken for the owner until then
 */
struct retries_service {
	char name[SERVICE_NAME_SIZE];
	struct retries_client client;
	struct retries_sum sums[RETRIES_ACCOUNTS];
	double told_chance;
	int64_t told_us;
	int64_t asked_us;
	int64_t second_until_us;
	UT_hash_handle hh;
};

/**
 * struct retries_net - see DOC
 * @run: collects the counts at the end of a turn
 * @timer: next reports and time limits
 */
struct retries_net {
	struct retries_options options;
	struct retries_service *services;
	struct encoder encoder;
	struct deferred run;
	struct timer timer;
	int64_t started_us;
};

/** retries_net_change() - take over other values of these two options. */
void retries_net_change(struct retries_net *net, double slack, double window_s);

void retries_net_init(struct retries_net *net,
		      const struct retries_options *options);

/** retries_net_finish() - call this before gossip, hub and router finish. */
void retries_net_finish(struct retries_net *net);

/** retries_net_notice() - an attempt for @pool has ended; cheap without
 *	failures */
void retries_net_notice(struct retries_net *net, const struct pool *pool);

/** retries_net_dump() - returns the state as JSON; owned by the caller. */
json_t *retries_net_dump(struct retries_net *net);

#endif
