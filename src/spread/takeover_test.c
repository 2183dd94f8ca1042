#include <criterion/criterion.h>
#include <string.h>

#include "os/clock.h"
#include "profile/reader_core.h"
#include "spread/peers_test.h"

/*
 * Readers elected by rank, on simulated nodes that exchange membership and
 * versions: the time until a version is in force at all nodes while the waits
 * for a lost reader, a silent store and the failure detection overlap.
 */

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum {
	STEP_MS = 5,
	SETTLE_MS = 12 * 1000,
	RANK_INTERVAL_MS = 200,
	/* Answer of the store, and the version's way into the tables of the
	 * reader. */
	ANSWER_MS = 5,
	TAKE_OVER_MS = 250,
	/* Time from the first node of a data centre to the last one, for a
	 * version that takes each node long. */
	SPREAD_MS = 450,
	SEEDS = 8,
};

/* A store call in flight: @due_us is the time of its answer, INT64_MAX if none
 * will come. */
struct store_wait {
	bool active;
	int64_t sent_us;
	int64_t due_us;
};

static struct reader {
	struct reader_core core;
	struct store_wait watch;
	struct store_wait probe;
	int64_t next_rank_us;
	bool without_store;
} readers[MESH_NODES_MAX];

static bool runs(uint32_t i)
{
	return mesh.nodes[i].alive && !mesh.nodes[i].paused;
}

static void update_rank(struct reader *reader, struct members *members)
{
	if (mesh.now_us < reader->next_rank_us)
		return;
	reader->next_rank_us = mesh.now_us + RANK_INTERVAL_MS * US_PER_MS;
	members_source_read(members, reader_core_contact_us(&reader->core));
	reader_core_set_nodes(&reader->core, members_live_count(members),
			      members_many_lost(members));
	reader_core_set_source_read(&reader->core, members->source_read_us);
	reader_core_set_rank(&reader->core,
			     members_responsive_rank(members, "reader"),
			     mesh.now_us);
}

static void end_watch(uint32_t i)
{
	struct reader *reader = &readers[i];
	const struct store_result result = {
		.outcome = STORE_TOOK_EFFECT,
		.revision = platform.version,
		.sent_us = reader->watch.sent_us,
	};

	reader->watch.active = false;
	peers_read(i);
	reader_core_watch_ended(&reader->core, &result, READER_HEAD_NEWER,
				mesh.now_us);
}

static void end_probe(struct reader *reader, bool answered)
{
	const struct store_result result = {
		.outcome = STORE_NO_EFFECT,
		.reason = answered ? STORE_ABSENT : STORE_TIMED_OUT,
		.sent_us = reader->probe.sent_us,
	};

	reader->probe.active = false;
	reader_core_probe_ended(&reader->core, &result, mesh.now_us);
}

static void answer_calls(uint32_t i)
{
	struct reader *reader = &readers[i];
	struct store_wait *watch = &reader->watch;
	struct store_wait *probe = &reader->probe;
	int64_t probe_end_us =
		probe->sent_us + READER_PROBE_DEADLINE_MS * US_PER_MS;

	if (watch->active && watch->due_us == INT64_MAX &&
	    !reader->without_store && peers[i].highest < platform.version)
		watch->due_us = mesh.now_us + TAKE_OVER_MS * US_PER_MS;
	if (watch->active && mesh.now_us >= watch->due_us)
		end_watch(i);
	if (probe->active && mesh.now_us >= probe->due_us)
		end_probe(reader, true);
	else if (probe->active && mesh.now_us >= probe_end_us)
		end_probe(reader, false);
}

static void make_calls(struct reader *reader)
{
	struct reader_command command;
	const struct store_wait sent = {
		.active = true,
		.sent_us = mesh.now_us,
		.due_us = INT64_MAX,
	};

	for (;;) {
		reader_core_next(&reader->core, mesh.now_us, &command);
		switch (command.action) {
		case READER_WATCH_HEAD:
			reader->watch = sent;
			break;
		case READER_PROBE:
			reader->probe = sent;
			if (!reader->without_store)
				reader->probe.due_us =
					mesh.now_us + ANSWER_MS * US_PER_MS;
			break;
		case READER_STOP_WATCH:
			reader->watch.active = false;
			break;
		case READER_NOTHING:
		case READER_LEASE:
		case READER_GET_MEMBERS:
			return;
		}
	}
}

static void run_readers(int64_t ms)
{
	int64_t until_us = mesh.now_us + ms * US_PER_MS;
	uint32_t i;

	while (mesh.now_us < until_us) {
		mesh_run(&mesh, STEP_MS);
		for (i = 0; i < mesh.count; i++) {
			if (!runs(i))
				continue;
			update_rank(&readers[i], &mesh.nodes[i].members);
			answer_calls(i);
			make_calls(&readers[i]);
		}
	}
}

static void begin(uint32_t nodes, uint64_t seed)
{
	struct lease_options lease;
	uint32_t i;

	peers_membership.probe_interval_us = 400 * US_PER_MS;
	peers_membership.ping_timeout_us = 120 * US_PER_MS;
	peers_membership.suspicion_us = 800 * US_PER_MS;
	peers_begin(nodes, 1, seed);
	memset(readers, 0, sizeof(readers));
	lease_options_default(&lease);
	for (i = 0; i < nodes; i++)
		reader_core_init(&readers[i].core, READER_BY_RANK, &lease,
				 seed * MESH_NODES_MAX + i);
	peers_accept(1);
	run_readers(SETTLE_MS);
	cr_assert(peers_all_at(1));
}

/* Returns the node with this rank, as node 0 sees it. */
static uint32_t node_of_rank(uint32_t rank)
{
	uint32_t i;

	for (i = 0; i < mesh.count; i++)
		if (members_rank(&mesh.nodes[i].members, "reader") == rank)
			return i;
	cr_assert_fail("no node has rank %u", rank);
	return 0;
}

static bool running_nodes_at(uint64_t version)
{
	uint32_t i;

	for (i = 0; i < mesh.count; i++)
		if (runs(i) && peers[i].highest != version)
			return false;
	return true;
}

static int64_t measure(uint64_t version, int64_t max_ms)
{
	int64_t begin_us = mesh.now_us;

	while (!running_nodes_at(version) &&
	       mesh.now_us - begin_us < max_ms * US_PER_MS)
		run_readers(STEP_MS);
	return (mesh.now_us - begin_us) / US_PER_MS;
}

/*
 * Guards against a data centre that reads a version too late because the waits
 * for several lost readers add up.
 */
Test(takeover, a_version_is_in_force_in_time_whoever_is_lost,
     .init = peers_setup, .timeout = 300)
{
	static const struct {
		const char *name;
		uint32_t nodes;
		uint32_t first_paused; /* nodes of the first ranks */
		uint32_t first_without_store;
		int64_t before_ms; /* from the loss to the change */
		int64_t in_force_ms;
	} cases[] = {
		{ "nobody", 27, 0, 0, 0, 2500 },
		{ "the reader", 27, 1, 0, 0, 2500 },
		{ "the reader, in a small data centre", 4, 1, 0, 0, 2000 },
		{ "the reader cannot reach the store", 27, 0, 1, 0, 2500 },
		{ "the first three", 27, 3, 0, 0, 2500 },
		{ "three paused, three without the store", 27, 3, 3, 0, 2500 },
		{ "the first eight", 27, 8, 0, 0, 2500 },
		{ "half of the nodes", 27, 14, 0, 0, 2500 },
		{ "three of four nodes", 27, 20, 0, 0, 2500 },
		{ "three of four nodes, 1 s before", 27, 20, 0, 1000, 2500 },
		{ "three of four nodes, 4 s before", 27, 20, 0, 4000, 2500 },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		int64_t worst_ms = 0;
		uint64_t seed;

		for (seed = 1; seed <= SEEDS; seed++) {
			uint32_t lost[MESH_NODES_MAX];
			int64_t took_ms;
			uint32_t r;

			begin(cases[i].nodes, seed);
			for (r = 0; r < cases[i].first_paused +
						cases[i].first_without_store;
			     r++)
				lost[r] = node_of_rank(r);
			for (r = 0; r < cases[i].first_paused +
						cases[i].first_without_store;
			     r++) {
				if (r < cases[i].first_paused)
					mesh.nodes[lost[r]].paused = true;
				else
					readers[lost[r]].without_store = true;
			}
			run_readers(cases[i].before_ms);
			peers_accept(2);
			took_ms = measure(2, 30 * 1000);
			if (took_ms > worst_ms)
				worst_ms = took_ms;
			peers_end();
		}
		cr_log_info("%s: %lld ms", cases[i].name, (long long)worst_ms);
		cr_expect_leq(worst_ms + SPREAD_MS, cases[i].in_force_ms,
			      "%s: %lld ms", cases[i].name,
			      (long long)worst_ms);
	}
}
