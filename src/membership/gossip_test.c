#include <apr_general.h>
#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "membership/gossip.h"
#include "os/clock.h"
#include "os/net.h"

enum { NODES = 6, TURNS = 4000, TURN_US = 2000 };

struct node {
	struct wire_hub hub;
	struct gossip gossip;
	struct head_digest received;
};

static struct loop loop;
static struct node nodes[NODES];

static void on_event(const struct members_event *event, void *data)
{
	struct node *node = data;

	if (event->type != MEMBERS_HEAD ||
	    event->head.version <= node->received.version)
		return;
	/* Stands in for src/spread, which sets and announces each version
	 * that it has fetched. */
	node->received = event->head;
	gossip_set_head(&node->gossip, &event->head);
	gossip_announce(&node->gossip, false);
}

static struct members_options fast_options(uint32_t i)
{
	struct members_options options;

	members_options_init(&options);
	options.probe_interval_us = 50 * US_PER_MS;
	options.ping_timeout_us = 20 * US_PER_MS;
	options.suspicion_us = 100 * US_PER_MS;
	options.link_interval_us = 50 * US_PER_MS;
	options.link_timeout_us = 300 * US_PER_MS;
	options.sync_min_us = 100 * US_PER_MS;
	options.reconnect_min_us = 20 * US_PER_MS;
	options.reconnect_max_us = 500 * US_PER_MS;
	options.seed = i + 1;
	return options;
}

static void node_init(uint32_t i, const struct address *seed)
{
	struct identity self = { .deployment = "cellar", .incarnation = 7 };
	struct members_options options = fast_options(i);
	struct node *node = &nodes[i];
	struct error err = ERROR_INIT;
	struct wire_key key;

	snprintf(self.instance, NAME_SIZE, "node-%u", i);
	snprintf(self.data_centre, NAME_SIZE, "dc-%u", i % 2);
	address_parse("127.0.0.1:0", &self.address, &err);
	wire_key_init(&key, "secret", "cellar");
	cr_assert(wire_hub_init(&node->hub, &loop, &self, &key, &err));
	cr_assert(gossip_init(&node->gossip, &options, &loop, &node->hub, seed,
			      seed != NULL, &err),
		  "%s", err.text);
	gossip_observe(&node->gossip, on_event, node);
}

static void node_finish(struct node *node)
{
	gossip_finish(&node->gossip);
	wire_hub_finish(&node->hub);
}

static bool all_hold_members(uint32_t first, uint32_t wanted)
{
	uint32_t i;

	for (i = first; i < NODES; i++)
		if (HASH_COUNT(nodes[i].gossip.members.table) != wanted)
			return false;
	return true;
}

static void start_all(void)
{
	struct error err = ERROR_INIT;
	uint32_t i;

	apr_initialize();
	cr_assert(loop_init(&loop, &err));
	for (i = 0; i < NODES; i++)
		node_init(i, i ? &nodes[0].hub.self.address : NULL);
	for (i = 0; i < TURNS && !all_hold_members(0, NODES); i++)
		loop_turn(&loop, TURN_US);
	cr_assert(all_hold_members(0, NODES));
}

static void stop_all(uint32_t first)
{
	uint32_t i;

	for (i = first; i < NODES; i++)
		node_finish(&nodes[i]);
	loop_finish(&loop);
}

Test(gossip, nodes_find_each_other_by_one_seed_and_notice_a_dead_one)
{
	const struct member *member;
	uint32_t i;

	start_all();
	node_finish(&nodes[0]);
	for (i = 0; i < TURNS; i++) {
		member = members_find(&nodes[NODES - 1].gossip.members, "dc-0",
				      "node-0");
		if (member && member->status == MEMBER_UNREACHABLE)
			break;
		loop_turn(&loop, TURN_US);
	}
	cr_assert_lt(i, TURNS);
	stop_all(1);
}

Test(gossip, a_version_is_announced_to_all_and_reported_to_the_links)
{
	struct head_digest head = { .version = 5, .chain = 77 };
	struct summary summary;
	uint32_t i;
	uint32_t reached = 0;

	start_all();
	gossip_set_head(&nodes[3].gossip, &head);
	gossip_announce(&nodes[3].gossip, true);
	for (i = 0; i < TURNS && reached < NODES - 1; i++) {
		uint32_t n;

		loop_turn(&loop, TURN_US);
		for (n = 0, reached = 0; n < NODES; n++)
			reached += nodes[n].received.version == 5;
	}
	cr_assert_eq(reached, NODES - 1);
	for (i = 0; i < TURNS; i++) {
		loop_turn(&loop, TURN_US);
		if (members_summary(&nodes[0].gossip.members, "dc-1",
				    &summary) &&
		    summary.lowest == 5)
			break;
	}
	cr_assert_lt(i, TURNS);
	cr_assert_eq(summary.nodes, NODES / 2);
	stop_all(0);
}

/* Guards against a host without the deployment's key that announces nodes or
 * has nodes marked unreachable: the MAC is checked before decoding. */
Test(gossip, datagrams_without_a_seal_are_dropped)
{
	static const char bytes[] = "geraniumplank without a valid seal";
	struct address address = { 0 };
	struct error err = ERROR_INIT;
	uint64_t unsealed;
	uint32_t i;
	int fd;

	start_all();
	unsealed = nodes[0].gossip.traffic.unsealed;
	address_parse("127.0.0.1:0", &address, &err);
	fd = net_bind_udp(&address, &err);
	net_send_to(fd, &nodes[0].hub.self.address, bytes, 0);
	net_send_to(fd, &nodes[0].hub.self.address, bytes, MAC_BYTES);
	net_send_to(fd, &nodes[0].hub.self.address, bytes, sizeof(bytes));
	for (i = 0;
	     i < TURNS && nodes[0].gossip.traffic.unsealed < unsealed + 3; i++)
		loop_turn(&loop, TURN_US);
	cr_assert_eq(nodes[0].gossip.traffic.unsealed, unsealed + 3);
	cr_assert_eq(nodes[0].gossip.members.counts.malformed, 0);
	net_close(fd);
	stop_all(0);
}

/* Guards against a busy loop of a node that has left and still finishes calls,
 * caused by a timer that is set for a time in the past. */
Test(gossip, a_node_that_left_sets_no_timer)
{
	const struct member *member;
	uint32_t i;

	start_all();
	gossip_leave(&nodes[0].gossip);
	cr_assert_not(timer_is_set(&nodes[0].gossip.timer));
	for (i = 0; i < TURNS; i++) {
		loop_turn(&loop, TURN_US);
		member = members_find(&nodes[2].gossip.members, "dc-0",
				      "node-0");
		if (!member)
			break;
	}
	cr_assert_lt(i, TURNS);
	cr_assert_not(timer_is_set(&nodes[0].gossip.timer));
	stop_all(0);
}
