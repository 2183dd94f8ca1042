#include <criterion/criterion.h>
#include <signal.h>

#include "functional/target.h"
#include "os/clock.h"

/**
 * DOC: late heartbeat
 *
 * An upstream leaves, and its leaving is acknowledged. It goes on serving for a
 * while, as its node restarts, and a heartbeat that it sent before arrives.
 */

/** enum restart - what happens after the acknowledgement. */
enum restart {
	NO_RESTART,
	NODE_KILLED,
	NODE_KILLED_TWICE,
	NODE_STOPPED,
	ALL_KILLED,
	NODE_KILLED_STORE_DOWN,
	ALL_KILLED_STORE_DOWN,
};

enum {
	CALLS = 40,
	CALL_GAP_MS = 25,
	BESIDE = 0, /* the node beside the upstream */
	OTHER = 1,
	OK = 200,
	NOT_OK = 503,
};

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

/**
 * struct leaving - how an upstream leaves, and what comes afterwards
 * @late: number of late heartbeats
 * @health: status of its health check afterwards
 * @drains: it reports that it drains, and does not deregister
 * @at_once: the late heartbeat arrives as soon as the node listens
 */
static const struct leaving {
	const char *name;
	enum restart restart;
	int late;
	int health;
	bool drains;
	bool at_once;
} cases[] = {
	{ "no restart", NO_RESTART, 1, NOT_OK, false, false },
	{ "node killed", NODE_KILLED, 1, NOT_OK, false, false },
	{ "node killed, at once", NODE_KILLED, 1, NOT_OK, false, true },
	{ "node killed, three late ones", NODE_KILLED, 3, NOT_OK, false,
	  false },
	{ "node killed while it drains", NODE_KILLED, 1, NOT_OK, true, false },
	{ "node killed, health check fails", NODE_KILLED, 1, 500, false,
	  false },
	{ "node killed twice", NODE_KILLED_TWICE, 1, NOT_OK, false, false },
	{ "node stopped", NODE_STOPPED, 1, NOT_OK, false, false },
	{ "all nodes killed", ALL_KILLED, 1, NOT_OK, false, true },
	{ "node killed, store down", NODE_KILLED_STORE_DOWN, 1, NOT_OK, false,
	  false },
	{ "all nodes killed, store down", ALL_KILLED_STORE_DOWN, 1, NOT_OK,
	  false, true },
};

static void leave(const struct leaving *leaving)
{
	if (leaving->drains)
		cr_assert_eq(target_send_heartbeat(BESIDE, "i-1", "draining"),
			     OK);
	else
		cr_assert_eq(target_post(target.nodes[BESIDE].upstream,
					 "/-/Instances.Deregister/i-1", ""),
			     OK);
	target_set_health("i-1", leaving->health);
}

static void kill_and_start(int first, int last)
{
	int i;

	for (i = first; i <= last; i++)
		process_kill(&target.nodes[i].process);
	for (i = first; i <= last; i++)
		target_start_node(i);
}

static void restart(enum restart restart)
{
	switch (restart) {
	case NO_RESTART:
		return;
	case NODE_KILLED_TWICE:
		kill_and_start(BESIDE, BESIDE);
		kill_and_start(BESIDE, BESIDE);
		return;
	case NODE_STOPPED:
		process_signal(&target.nodes[BESIDE].process, SIGTERM);
		cr_assert(process_wait(&target.nodes[BESIDE].process, WAIT_MS));
		target_start_node(BESIDE);
		return;
	case NODE_KILLED_STORE_DOWN:
		target_set_faults("{\"down\":1}");
		kill_and_start(BESIDE, BESIDE);
		return;
	case ALL_KILLED_STORE_DOWN:
		target_set_faults("{\"down\":1}");
		kill_and_start(BESIDE, OTHER);
		return;
	case NODE_KILLED:
		kill_and_start(BESIDE, BESIDE);
		return;
	case ALL_KILLED:
		kill_and_start(BESIDE, OTHER);
		return;
	}
}

static int64_t run_count(void)
{
	return target_read_number(target.upstream_address, "/standin/stats",
				  NULL, "total");
}

/* Sends requests through both nodes for a while. Returns how many ran. */
static int64_t runs_of_calls(void)
{
	int64_t before = run_count();
	int i;

	for (i = 0; i < CALLS; i++) {
		target_call(OTHER);
		target_call(BESIDE);
		sleep_ms(CALL_GAP_MS);
	}
	return run_count() - before;
}

static void play(const struct leaving *leaving)
{
	int64_t late;
	int i;

	target_write_document(7, "huvo");
	target_assert_version(7);
	cr_assert(target_call_until(OTHER, OK, "ready"), "%s", leaving->name);
	leave(leaving);
	late = target.sequence - 10;
	restart(leaving->restart);
	if (!leaving->at_once && leaving->restart != ALL_KILLED_STORE_DOWN)
		cr_assert(target_wait_version(BESIDE, 7), "%s", leaving->name);
	for (i = 0; i < leaving->late; i++) {
		target.sequence = late + i;
		target_send_heartbeat(BESIDE, "i-1", "ready");
	}
	target_set_faults("{\"down\":0}");
	target_assert_version(7);
	cr_expect_eq(runs_of_calls(), 0, "%s", leaving->name);
	/* Guards against a check that keeps the next incarnation out, too. */
	target_set_health("i-2", 0);
	target.sequence = 1000;
	cr_expect_eq(target_send_heartbeat(BESIDE, "i-2", "ready"), OK);
	cr_expect(target_call_until(OTHER, OK, NULL), "%s", leaving->name);
}

/* Guards against requests to an upstream whose leaving was acknowledged by a
 * process that has ended since: a heartbeat from before lists it again. */
Test(late_heartbeat, lists_no_upstream_that_has_left, .timeout = 400)
{
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		target_start();
		target.sequence = 100;
		play(&cases[i]);
		target_stop();
	}
}

/* Guards against an upstream without a usable health check that gets no more
 * requests after a restart of its node. */
Test(late_heartbeat, without_a_health_check_the_second_one_counts,
     .init = target_start, .fini = target_stop, .timeout = 120)
{
	target_write_document(7, "huvo");
	target_assert_version(7);
	cr_assert(target_call_until(OTHER, OK, "ready"));
	target_set_health("i-1", 500);
	kill_and_start(BESIDE, BESIDE);
	target_assert_version(7);
	cr_expect_eq(target_send_heartbeat(BESIDE, "i-1", "ready"), OK);
	sleep_ms(500);
	cr_expect_eq(target_call(BESIDE), NOT_OK);
	cr_expect(target_call_until(OTHER, OK, "ready"));
}
