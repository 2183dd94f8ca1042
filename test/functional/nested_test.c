#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "functional/background.h"
#include "os/clock.h"

/**
 * DOC: nested
 *
 * An upstream makes calls for a request in progress while the node beside it
 * stops, through the interface of the target platform, which has no field that
 * tells such calls from those of clients on the same machine.
 */

enum {
	NODES = 2,
	STOPPING = 0, /* beside the upstream of huvo */
	OTHER = 1,    /* beside the upstream of kafi */
	WAIT_MS = BACKGROUND_WAIT_MS,
	POLL_MS = 20,
};

static const char document[] =
	"{\"version\":\"r1\",\"routes\":{\"r-1\":{\"host\":\"huvo.example\","
	"\"prefix\":\"/\",\"kind\":\"unsafe\",\"timeout_s\":10,"
	"\"target_latency_s\":1,\"priority\":0,\"service\":\"huvo\","
	"\"max_attempts\":1},\"r-2\":{\"host\":\"kafi.example\","
	"\"prefix\":\"/\",\"kind\":\"unsafe\",\"timeout_s\":12,"
	"\"target_latency_s\":1,\"priority\":0,\"service\":\"kafi\","
	"\"max_attempts\":1}},\"services\":{\"huvo\":{\"health_path\":"
	"\"/healthz\",\"max_connections\":50},\"kafi\":{\"health_path\":"
	"\"/healthz\",\"max_connections\":50}}}";

/* The first line belongs to [platform], the last section of the cluster. */
static const char settings[] = "timeout_ms = 1000\n"
			       "[call]\nlinger_ms = 300\ndrain_ms = 20000\n";

static struct cluster cluster;

/* Sends a POST through @node. @deadline: header, or NULL for none. */
static long post_call(uint32_t node, const char *service, const char *deadline)
{
	struct fetch fetch = { .method = "POST",
			       .body = "{}",
			       .headers = { deadline } };
	char host[32];
	long status;

	snprintf(host, sizeof(host), "%s.example", service);
	cluster_call(&cluster, node, host, &fetch, "/one");
	status = fetch.status;
	fetch_finish(&fetch);
	return status;
}

static void wait_call(uint32_t node, const char *service, long wanted)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	while (post_call(node, service, NULL) != wanted) {
		cr_assert_lt(clock_monotonic_us(), until_us, "%s never %ld",
			     service, wanted);
		sleep_ms(POLL_MS);
	}
}

static const char *used_settings = settings;

static void start(void)
{
	const struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "huvo", "kafi" },
		.profile = "default",
		.settings = used_settings,
		.target_platform = true,
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_write_document(&cluster, document));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	wait_call(OTHER, "huvo", 200);
	wait_call(STOPPING, "kafi", 200);
}

static void stop(void)
{
	cluster_stop(&cluster);
}

/* Guards against an unsafe request in progress beside a stopping node that
 * fails because a call that it makes is refused. */
Test(nested, a_request_in_progress_makes_its_calls_during_a_stop, .init = start,
     .fini = stop, .timeout = 120)
{
	struct background_call outer;

	background_begin(&outer, &cluster, OTHER, "huvo.example",
			 "/slow?service_us=5000000", "outer");
	cr_assert(upstream_wait_stat(&cluster, STOPPING, "running", 1));
	process_signal(&cluster.nodes[STOPPING].process, SIGTERM);
	/* Without a deadline, the limit of a call is later than that of the
	 * request in progress: it is a client's. */
	wait_call(STOPPING, "kafi", 503);
	cr_expect_eq(post_call(STOPPING, "kafi", "X-Deadline-Ms: 2000"), 200);
	cr_expect_eq(post_call(STOPPING, "kafi", NULL), 503);
	cr_assert(background_wait(&outer));
	cr_expect_eq(outer.fetch.status, 200, "%ld", outer.fetch.status);
	background_finish(&outer);
	cr_assert(process_wait(&cluster.nodes[STOPPING].process, WAIT_MS));
	cr_expect_eq(cluster.nodes[STOPPING].process.exit_status, 0);
}

/* Guards against clients' new work at a stopping node beside which nothing is
 * in progress. */
Test(nested, without_a_request_in_progress_no_call_is_taken, .init = start,
     .fini = stop, .timeout = 120)
{
	struct background_call own;

	/* The caller's side has work in progress, the upstream has none. */
	background_begin(&own, &cluster, STOPPING, "kafi.example",
			 "/slow?service_us=5000000", "own");
	cr_assert(upstream_wait_stat(&cluster, OTHER, "running", 1));
	process_signal(&cluster.nodes[STOPPING].process, SIGTERM);
	wait_call(STOPPING, "kafi", 503);
	cr_expect_eq(post_call(STOPPING, "kafi", "X-Deadline-Ms: 2000"), 503);
	cr_assert(background_wait(&own));
	cr_expect_eq(own.fetch.status, 200, "%ld", own.fetch.status);
	background_finish(&own);
}

static void start_with_grace_of_six(void)
{
	used_settings =
		"timeout_ms = 1000\n[call]\nlinger_ms = 2300\nkeep_upstream_ms = 2000\ndrain_ms = 2700\n";
	start();
}

/* Guards against a refusal of a nested call whose deadline is later than the
 * end of the drain, as that of the request that made it. */
Test(nested, an_unsafe_nested_call_with_the_deadline_of_its_parent,
     .init = start_with_grace_of_six, .fini = stop, .timeout = 120)
{
	struct background_call outer;
	int i;

	background_begin(&outer, &cluster, OTHER, "huvo.example",
			 "/slow?service_us=4000000", "outer");
	cr_assert(upstream_wait_stat(&cluster, STOPPING, "running", 1));
	process_signal(&cluster.nodes[STOPPING].process, SIGTERM);
	for (i = 0; i < 6; i++) {
		sleep_ms(500);
		cr_expect_eq(post_call(STOPPING, "kafi", "X-Deadline-Ms: 6000"),
			     200, "at %d ms", (i + 1) * 500);
	}
	cr_assert(background_wait(&outer));
	cr_expect_eq(outer.fetch.status, 200, "%ld", outer.fetch.status);
	background_finish(&outer);
}
