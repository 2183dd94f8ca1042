#include <criterion/criterion.h>
#include <string.h>

#include "os/clock.h"
#include "spread/peers_test.h"

/*
 * Guards against failures that only a rare order of events causes: a node
 * returns to an older version, keeps wrong state or never gets the last
 * version. The events are drawn from a seed and printed on failure.
 */

enum {
	NODES = 12,
	CENTRES = 3,
	SEEDS = 24,
	STEPS = 30,
	STEP_MS = 8000,
	HEAL_MS = 120 * 1000,
};

static uint32_t any_node(void)
{
	return random_below(&mesh.random, NODES);
}

static uint32_t any_live(void)
{
	uint32_t i = any_node();
	uint32_t checked;

	for (checked = 0; checked < NODES; checked++, i = (i + 1) % NODES)
		if (peers[i].running && !mesh.nodes[i].paused)
			return i;
	peers_start(i);
	return i;
}

static void kill_or_start(void)
{
	uint32_t i = any_node();

	mesh_note(&mesh, "%s node %u\n", peers[i].running ? "kill" : "start",
		  i);
	if (peers[i].running)
		peers_kill(i);
	else
		peers_start(i);
}

static void partition_or_heal(void)
{
	uint32_t a = random_below(&mesh.random, CENTRES);
	uint32_t b = (a + 1) % CENTRES;

	mesh_note(&mesh, "%s %u and %u\n", mesh.cut[a][b] ? "join" : "cut", a,
		  b);
	mesh_cut(&mesh, a, b, !mesh.cut[a][b]);
}

static void pause_or_resume(void)
{
	uint32_t i = any_node();

	if (!peers[i].running)
		return;
	mesh.nodes[i].paused = !mesh.nodes[i].paused;
	mesh_note(&mesh, "%s node %u\n",
		  mesh.nodes[i].paused ? "pause" : "resume", i);
}

static void toggle_one_way_loss(void)
{
	uint32_t from = any_node();
	uint32_t to = any_node();

	mesh.drops[from][to] = !mesh.drops[from][to];
	mesh_note(&mesh, "node %u %s node %u\n", to,
		  mesh.drops[from][to] ? "receives nothing from"
				       : "receives from",
		  from);
}

static void set_packet_loss(void)
{
	mesh.loss = random_share(&mesh.random) * 0.3;
	mesh.duplicate_rate = random_share(&mesh.random) * 0.3;
	mesh_note(&mesh, "lose %.2f, double %.2f\n", mesh.loss,
		  mesh.duplicate_rate);
}

static void accept_and_read(void)
{
	uint32_t at = any_live();
	bool bad = random_below(&mesh.random, 5) == 0;
	int number = 1 + (int)random_below(&mesh.random, 1000);

	peers_accept(bad ? -number : number);
	mesh_note(&mesh, "accept %s version %llu, read by node %u\n",
		  bad ? "bad" : "good", (unsigned long long)platform.version,
		  at);
	peers_read(at);
}

static void read_again(void)
{
	uint32_t at = any_live();

	mesh_note(&mesh, "node %u reads the platform\n", at);
	peers_read(at);
}

static void centre_restarts(void)
{
	uint32_t centre = random_below(&mesh.random, CENTRES);
	uint32_t i;

	mesh_note(&mesh, "all of data centre %u restart\n", centre);
	for (i = centre; i < NODES; i += CENTRES) {
		peers_kill(i);
		peers_start(i);
	}
}

static void (*const steps[])(void) = {
	kill_or_start,	 kill_or_start,	      partition_or_heal,
	pause_or_resume, toggle_one_way_loss, set_packet_loss,
	accept_and_read, accept_and_read,     accept_and_read,
	centre_restarts, read_again,
};

/* All seeds may have been killed. Nodes then find a live member in the list
 * that the readers store in the platform's service. */
static void heal(void)
{
	struct address member = mesh_address(any_live());
	uint32_t i;

	mesh_note(&mesh, "heal\n");
	memset(mesh.cut, 0, sizeof(mesh.cut));
	memset(mesh.drops, 0, sizeof(mesh.drops));
	mesh.loss = 0;
	mesh.duplicate_rate = 0;
	for (i = 0; i < NODES; i++) {
		mesh.nodes[i].paused = false;
		if (peers[i].running)
			members_add_seed(&mesh.nodes[i].members, &member);
	}
}

Test(schedule, random_events_end_in_agreement, .init = peers_setup,
     .timeout = 300)
{
	uint64_t seed;
	uint32_t i;

	for (seed = 1; seed <= SEEDS; seed++) {
		peers_begin(NODES, CENTRES, seed);
		mesh_note(&mesh, "seed %llu\n", (unsigned long long)seed);
		for (i = 0; i < STEPS; i++) {
			steps[random_below(&mesh.random,
					   sizeof(steps) / sizeof(steps[0]))]();
			mesh_run(&mesh, random_below(&mesh.random, STEP_MS));
		}
		heal();
		peers_accept(1);
		peers_accept(2);
		peers_accept(3);
		peers_accept(4);
		peers_read(any_live());
		mesh_converge_within(&mesh, HEAL_MS);
		peers_all_within(platform.version, HEAL_MS);
		peers_end();
	}
}
