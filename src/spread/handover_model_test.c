#include <criterion/criterion.h>

#include "spread/peers_test.h"

/*
 * All orders in which the reader of a version and its successor end while they
 * read the version from the platform's service and hand it on. The bodies of a
 * version go from node to node one by one, so that nodes hold parts of it.
 */

enum {
	NODES = 5,
	BODIES = 4, /* of a version, all of them changed */
	SETTLE_MS = 6000,
	END_MAX_MS = 12,
	NO_SUCCESSOR = -1,
	/* From the read of the last reader until the version is in force on all
	 * nodes that are left. */
	IN_FORCE_MS = 2000,
};

/**
 * struct schedule - one order of events
 * @first_bodies: bodies that the first reader has read when it hands on
 * @first_ends_ms: time until it ends
 * @second_bodies: likewise for its successor; NO_SUCCESSOR if there is none
 * @second_ends_ms: time until the successor ends
 */
struct schedule {
	int first_bodies;
	int first_ends_ms;
	int second_bodies;
	int second_ends_ms;
};

static void begin(uint64_t seed)
{
	int i;

	peers_setup();
	peers_options.push_bytes = 1;
	peers_begin(NODES, 1, seed);
	for (i = 0; i < BODIES; i++)
		peers_accept(1 + i);
	peers_read(0);
	mesh_run(&mesh, SETTLE_MS);
	cr_assert(peers_all_at(platform.version));
}

static void read_and_end(uint32_t reader, int bodies, int ends_ms)
{
	mesh_note(&mesh, "node %u reads %d bodies and ends after %d ms\n",
		  reader, bodies, ends_ms);
	peers_read_part(reader, bodies);
	mesh_run(&mesh, ends_ms);
	peers_kill(reader);
}

static void play(const struct schedule *schedule)
{
	int i;

	begin(1 + (uint64_t)schedule->first_ends_ms);
	for (i = 0; i < BODIES; i++)
		peers_accept(5 + i);
	read_and_end(0, schedule->first_bodies, schedule->first_ends_ms);
	if (schedule->second_bodies != NO_SUCCESSOR)
		read_and_end(1, schedule->second_bodies,
			     schedule->second_ends_ms);
	mesh_note(&mesh, "node 2 reads all\n");
	peers_read(2);
	peers_all_within(platform.version, IN_FORCE_MS);
	peers_end();
}

static void play_successors(struct schedule *schedule)
{
	schedule->second_bodies = NO_SUCCESSOR;
	play(schedule);
	for (schedule->second_bodies = 0; schedule->second_bodies <= BODIES;
	     schedule->second_bodies += 2)
		for (schedule->second_ends_ms = 0;
		     schedule->second_ends_ms <= END_MAX_MS;
		     schedule->second_ends_ms += 4)
			play(schedule);
}

/* Guards against a version that is held in part after its holder has ended, and
 * that is not completed from the next reader. */
Test(handover_model, a_version_comes_into_force_whoever_ends, .timeout = 120)
{
	struct schedule schedule;

	for (schedule.first_bodies = 0; schedule.first_bodies <= BODIES;
	     schedule.first_bodies += 2)
		for (schedule.first_ends_ms = 0;
		     schedule.first_ends_ms <= END_MAX_MS;
		     schedule.first_ends_ms++)
			play_successors(&schedule);
}
