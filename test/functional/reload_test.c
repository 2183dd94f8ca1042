#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "functional/target.h"
#include "os/clock.h"

/**
 * DOC: reload
 *
 * Settings files change while nodes run: the store gets another address, files
 * have faults, and keys change that need a restart.
 */

enum { LOG_SIZE = 1 << 20, OK = 200 };

/* Relays to the store, so that the same store has two addresses. */
static struct process relay;
static char store_address[ADDRESS_SIZE];

/* Returns how often the log of a node holds @wanted. */
static int log_count(int node, const char *wanted)
{
	static char text[LOG_SIZE];
	char path[PATH_SIZE + 32];
	const char *at = text;
	size_t size;
	FILE *file;
	int count;

	snprintf(path, sizeof(path), "%s/node-%d.log", target_directory, node);
	file = fopen(path, "re");
	cr_assert_not_null(file);
	size = fread(text, 1, sizeof(text) - 1, file);
	text[size] = '\0';
	fclose(file);
	for (count = 0; (at = strstr(at, wanted)); count++)
		at++;
	return count;
}

static void wait_log(int node, const char *wanted, int count)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (log_count(node, wanted) < count) {
		cr_assert_lt(clock_monotonic_us(), until_us, "node %d: %s",
			     node, wanted);
		sleep_ms(POLL_MS);
	}
}

/* Starts the nodes with the address of a relay in front of the store. */
static void start_behind_relay(void)
{
	const char *args[] = { "link", "--to", target.metadata_address, NULL };
	int i;

	target_start();
	snprintf(store_address, sizeof(store_address), "%s",
		 target.metadata_address);
	target_start_child(&relay, "standin", args, "relay");
	process_ready_text(&relay, "address", target.metadata_address,
			   ADDRESS_SIZE);
	for (i = 0; i < NODES; i++) {
		process_kill(&target.nodes[i].process);
		target_start_node(i);
	}
	/* The operator writes to the store itself. */
	snprintf(target.metadata_address, ADDRESS_SIZE, "%s", store_address);
}

static void stop(void)
{
	process_kill(&relay);
	target_stop();
}

/* Guards against a node that asks for versions at an address which its store
 * has left, and against calls that fail meanwhile. */
Test(reload, a_store_at_another_address_is_asked, .init = start_behind_relay,
     .fini = stop, .timeout = 120)
{
	int64_t until_us;
	int i;

	target_write_document(7, "huvo");
	target_assert_version(7);
	cr_assert(target_call_until(1, OK, "ready"));
	for (i = 0; i < NODES; i++)
		target_write_settings(i, "");
	process_signal(&target.nodes[0].process, SIGHUP);
	until_us = clock_monotonic_us() + 3000 * US_PER_MS;
	while (clock_monotonic_us() < until_us) {
		target_send_heartbeat(0, "i-1", "ready");
		cr_expect_eq(target_call(1), OK);
		sleep_ms(POLL_MS);
	}
	for (i = 0; i < NODES; i++)
		wait_log(i, "\"key\":\"platform.address\"", 1);
	process_kill(&relay);
	target_write_document(9, "kafi");
	target_assert_version(9);
	/* A node that starts finds the store as well. */
	process_kill(&target.nodes[1].process);
	target_start_node(1);
	target_assert_version(9);
}

/* Guards against a change that has no effect and that no line tells of, and
 * against a file with a fault that takes settings away. */
Test(reload, what_has_no_effect_is_said_once, .init = target_start,
     .fini = target_stop, .timeout = 120)
{
	static const char queue_max[] = "\"key\":\"gate.queue_max\"";

	target_write_document(7, "huvo");
	target_assert_version(7);
	target_write_settings(0, "[gate]\nqueue_max = 7\n");
	process_signal(&target.nodes[0].process, SIGHUP);
	wait_log(0, queue_max, 1);
	cr_expect_eq(log_count(0, queue_max), 1);
	process_signal(&target.nodes[0].process, SIGHUP);
	wait_log(0, "\"event\":\"reloaded\"", 2);
	cr_expect_eq(log_count(0, queue_max), 1, "said again");
	target_write_settings(0, "[gate]\nqueue_max = \"many\"\n");
	wait_log(0, "\"event\":\"reload_refused\"", 1);
	cr_expect_eq(log_count(0, "gate.queue_max must be an integer"), 1);
	target_write_settings(0, "[log]\nlevel = \"error\"\n");
	wait_log(0, "\"key\":\"log.level\"", 1);
	target_write_document(9, "kafi");
	target_assert_version(9);
}
