#ifndef SPREAD_PEERS_TEST_H
#define SPREAD_PEERS_TEST_H

#include "membership/mesh_test.h"
#include "profile/head.h"
#include "spread/spread.h"

/**
 * DOC: peers
 *
 * A keeper and a spread core on each node of a simulated mesh, and a platform
 * that consists of a head and its bodies.
 */

/**
 * struct peer - keeper and spread core of one node of the mesh
 * @highest: version in force, 0 for none
 */
struct peer {
	struct keeper keeper;
	struct spread spread;
	struct keeper_observer observer;
	uint64_t highest;
	bool running;
};

extern struct mesh mesh;
extern struct peer peers[MESH_NODES_MAX];
extern struct spread_options peers_options;
extern struct members_options peers_membership;
extern struct head platform; /* newest accepted head */

/** peers_setup() - set default options; peers_begin() - start all nodes. */
void peers_setup(void);
void peers_begin(uint32_t nodes, uint32_t centres, uint64_t seed);
void peers_end(void);
void peers_start(uint32_t i);
void peers_kill(uint32_t i);

/**
 * peers_accept() - accept a version that sets one of four profiles
 * @number: selects the profile and its text; negative for an invalid version
 */
void peers_accept(int number);

/** peers_read() - node @at reads the head and missing bodies. */
void peers_read(uint32_t at);

/**
 * peers_read_part() - node @at reads the head and some of the missing bodies
 * @bodies: most bodies that are read before the reader ends or is replaced
 */
void peers_read_part(uint32_t at, int bodies);

/** peers_all_at() - true if @version is in force on all running nodes. */
bool peers_all_at(uint64_t version);

/**
 * peers_all_within() - run until @version is in force on all running nodes
 *
 * Fails the test after @max_ms.
 *
 * Return: the elapsed time, in milliseconds.
 */
int64_t peers_all_within(uint64_t version, int64_t max_ms);

/** peers_bodies_received() - bodies received by all running nodes. */
uint64_t peers_bodies_received(void);

#endif
