#ifndef BENCH_CROWD_H
#define BENCH_CROWD_H

#include <stdbool.h>
#include <stdint.h>

#include "membership/gossip.h"
#include "profile/keeper.h"
#include "spread/spread_net.h"

/**
 * DOC: crowd
 *
 * Simulates a deployment of thousands of nodes around one real node, the node
 * under test. The simulated nodes are the crowd. One peer in the process of
 * the bench uses the real modules wire hub, membership, keeper and spread, and
 * holds the whole member table and each version. It acts for all simulated
 * nodes: each has a record and the address of its rack, where the bench
 * answers the probes of the node under test. The peer sends the gossip and the
 * probes that the node would receive from its ring and from other nodes, at the
 * rate of a real deployment. The node under test therefore probes, gossips,
 * compares tables and pulls versions as usual. The failure detection of the
 * peer is off; the bench decides which simulated nodes fail.
 */

enum {
	CROWD_CENTRES = 11,
	CROWD_RACKS = 20,
	CROWD_RING_NEIGHBOURS = 10, /* in a ring of 740 nodes */
	CROWD_PROFILES_MAX = 980,
};

/**
 * struct crowd_rack - an address shared by several simulated members
 * @crowd: owner of the rack
 * @watch: watch of @fd
 * @address: UDP address
 * @fd: UDP socket
 * @dead: datagrams to the rack are not answered
 */
struct crowd_rack {
	struct crowd *crowd;
	struct watch watch;
	struct address address;
	int fd;
	bool dead;
};

/**
 * struct crowd - the simulated nodes and the peer that acts for them
 * @loop: event loop, owned by the caller
 * @hub: connections of the peer
 * @gossip: membership of the peer
 * @keeper: configuration of the peer
 * @spread: distribution of configuration by the peer
 * @racks: addresses of the simulated members
 * @node: address where the node under test listens for peers
 * @ping_timer: sends a ping to the node under test once a second
 * @replacement_timer: runs the next step of a replacement
 * @replaced_record: record of the member that is replaced, then of the new one
 * @replacement_steps: number of steps left of a replacement, 0 if none runs
 * @random: random numbers
 * @records: number of simulated members that were created by crowd_fill()
 * @replaced: number of replacements begun
 * @head: head of the newest version
 * @profiles: number of profiles in @head
 * @generations: generation of the text of each profile
 * @text_changed: whether the text of each profile changed in the newest version
 * @head_revision: revision of the head in the platform's service
 * @rack_received_bytes: bytes of datagrams from the node to members of racks
 * @peer_rack_bytes: bytes of datagrams that the crowd's own peer sent to
 *	simulated members; no traffic of the measured node
 */
struct crowd {
	struct loop *loop;
	struct wire_hub hub;
	struct gossip gossip;
	struct keeper keeper;
	struct spread_net spread;
	struct crowd_rack racks[CROWD_RACKS];
	struct address node;
	struct timer ping_timer;
	struct timer replacement_timer;
	struct record replaced_record;
	uint32_t replacement_steps;
	struct random random;
	uint32_t records;
	uint32_t replaced;
	struct head head;
	uint32_t profiles;
	uint32_t generations[CROWD_PROFILES_MAX];
	bool text_changed[CROWD_PROFILES_MAX];
	uint64_t head_revision;
	uint64_t rack_received_bytes;
	uint64_t peer_rack_bytes;
};

/**
 * crowd_start() - join the deployment of the node at @node
 * @node: address where the node under test listens for peers
 *
 * Return: false on failure.
 */
bool crowd_start(struct crowd *crowd, struct loop *loop,
		 const struct address *node, struct error *err);
void crowd_finish(struct crowd *crowd);

/** crowd_fill() - add members in all data centres until there are @records. */
void crowd_fill(struct crowd *crowd, uint32_t records);

/**
 * crowd_replace() - begin to replace one member by a new one
 *
 * The steps follow by timer. Does nothing while a replacement is running.
 */
void crowd_replace(struct crowd *crowd);

/** crowd_lose_centre() - announce that data centre @centre is unreachable. */
void crowd_lose_centre(struct crowd *crowd, uint32_t centre);

/**
 * crowd_return_centre() - announce that data centre @centre is reachable; all
 * its members have a new incarnation
 */
void crowd_return_centre(struct crowd *crowd, uint32_t centre);

/**
 * crowd_lose_rack() - make the members of @rack in the first data centre
 * unreachable; datagrams to the rack are no longer answered
 *
 * Return: number of these members.
 */
uint32_t crowd_lose_rack(struct crowd *crowd, uint32_t rack);

/**
 * crowd_return_rack() - answer datagrams to @rack again; its members in the
 * first data centre have a new incarnation
 */
void crowd_return_rack(struct crowd *crowd, uint32_t rack);

/** crowd_sent_bytes() - control bytes that the bench sent to the node. */
uint64_t crowd_sent_bytes(const struct crowd *crowd);

/** crowd_received_bytes() - control bytes received from the node. */
uint64_t crowd_received_bytes(const struct crowd *crowd);

/**
 * crowd_create_version() - create the next version
 * @profiles: number of its profiles
 * @changed: number of existing profiles whose text changes
 *
 * crowd_offer() or crowd_publish() sends the version to the node.
 *
 * Return: number of the version.
 */
uint64_t crowd_create_version(struct crowd *crowd, uint32_t profiles,
			      uint32_t changed);

/** crowd_offer() - put the version in force at the peer and announce it. */
void crowd_offer(struct crowd *crowd);

/**
 * crowd_publish() - write the version to the platform's service
 * @platform: "IP:port" of the service
 *
 * Turns the loop between the writes, so that the crowd answers the node.
 *
 * Return: false if a write failed.
 */
bool crowd_publish(struct crowd *crowd, const char *platform);

#endif
