#ifndef QUOTA_NET_H
#define QUOTA_NET_H

#include <jansson.h>

#include "event/loop.h"
#include "quota/client.h"
#include "quota/fleet_size.h"
#include "quota/frames.h"
#include "quota/owner.h"
#include "route/tenants.h"
#include "wire/hub.h"

/**
 * DOC: quota net
 *
 * Keeps requests of tenants within their limits, summed over all nodes. Sends
 * the asks of this node to the owners of its data centre, and answers asks as
 * an owner. While no tenant has a limit, there is no timer and nothing is sent.
 */

struct gossip;

/**
 * struct quota_options - see DOC
 * @enabled: setting call.quotas
 * @reads_record: quota_net_nodes_to_record() will be called
 * @seeds: number of addresses of other nodes in the settings
 */
struct quota_options {
	struct loop *loop;
	struct wire_hub *hub;
	struct gossip *gossip;
	uint64_t seed;
	bool enabled;
	bool reads_record;
	uint32_t seeds;
};

/**
 * struct quota_wait - a request that may wait for a token
 * @tenant: name of the tenant, as an id; 0 without a limit
 * @ended: called once the request no longer waits, with @request.result
 */
struct quota_wait {
	struct quota_request request;
	uint64_t tenant;
	void (*ended)(struct quota_wait *wait, void *data);
	void *data;
};

/**
 * struct quota_place - the node that is the owner of a group in a data centre
 * @is_known: false if the data centre has no live member
 * @instance: name of the node
 */
struct quota_place {
	bool is_known;
	bool is_self;
	struct address address;
	char instance[NAME_SIZE];
};

/**
 * struct quota_net - see DOC
 * @tenants: tenants of the version in force; NULL before the first one
 * @limit_count: number of tenants with a limit
 * @owners: this node as the owner of each group
 * @places: owners of each group in the own data centre, by rank
 * @size: number of nodes by which limits are divided
 * @viewed_us: time at which @places were chosen and members counted
 * @is_alone: no other data centre is reachable, though there are others
 * @run: sends what is due at the end of a turn
 * @timer: runs while a tenant has a limit
 */
struct quota_net {
	struct quota_options options;
	const struct tenant_table *tenants;
	uint32_t limit_count;
	struct quota_client client;
	struct quota_owner owners[QUOTA_GROUPS];
	struct quota_place places[QUOTA_GROUPS][QUOTA_RANKS];
	struct fleet_size size;
	int64_t viewed_us;
	bool is_alone;
	struct encoder encoder;
	struct deferred run;
	struct timer timer;
};

void quota_net_init(struct quota_net *net, const struct quota_options *options);

/** quota_net_finish() - call this before gossip and hub finish; requests that
 *	wait are forgotten */
void quota_net_finish(struct quota_net *net);

/**
 * quota_net_set_tenants() - a version came into force
 * @tenants: must stay valid until the next call, or quota_net_finish()
 */
void quota_net_set_tenants(struct quota_net *net,
			   const struct tenant_table *tenants);

/**
 * quota_net_take() - asks for a token for a request
 * @tenant: name of its tenant; "" if it has none
 * @wait: ended and data are set by the caller; must stay valid while it waits
 * @wait_us: longest wait
 *
 * Return: QUOTA_WAITING: @wait->ended() is called later, from the loop.
 */
enum quota_result quota_net_take(struct quota_net *net, const char *tenant,
				 struct quota_wait *wait, int64_t wait_us);

/** quota_net_cancel() - @wait->ended() is not called any more. */
void quota_net_cancel(struct quota_net *net, struct quota_wait *wait);

/** quota_net_give_back() - the request of a granted @wait has not run. */
void quota_net_give_back(struct quota_net *net, const struct quota_wait *wait);

/**
 * quota_net_nodes_to_record() - the recorded number of nodes was read
 * @recorded: 0 if there is no record
 *
 * Return: the number to record; 0 if the record is good, or no tenant has a
 * limit.
 */
uint32_t quota_net_nodes_to_record(struct quota_net *net, uint32_t recorded);

/** quota_net_record_is_old() - true if the record should be read again soon. */
bool quota_net_record_is_old(const struct quota_net *net);

/** quota_net_leave() - hands the tokens that this node owns to other owners. */
void quota_net_leave(struct quota_net *net);

/**
 * struct quota_tenant_view - a tenant as this node sees it
 * @per_s, @burst: its limit; 0 without one
 * @used_per_s: requests granted here in a second of late
 * @granted, @refused: requests here since the tenant has a limit
 * @waiting: requests that wait here
 * @due_ms: time until a token is expected; 0 if none is missing
 * @owner: instance that this node asks
 * @owns: this node is an owner of the tenant: it got an ask in the last second
 * @share: part of the limit that is contributed to this node, 0 to 1
 * @tokens: tokens saved at this node as an owner
 */
struct quota_tenant_view {
	double per_s;
	double burst;
	double used_per_s;
	uint64_t granted;
	uint64_t refused;
	uint32_t waiting;
	int64_t due_ms;
	char owner[NAME_SIZE];
	bool owns;
	double share;
	double tokens;
};

/** quota_net_tenant_view() - false if the version has no tenant @name. */
bool quota_net_tenant_view(struct quota_net *net, const char *name,
			   struct quota_tenant_view *view);

/** quota_net_dump() - returns the state as JSON; the caller owns it. */
json_t *quota_net_dump(struct quota_net *net);

#endif
