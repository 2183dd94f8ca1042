#include <criterion/criterion.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "functional/background.h"
#include "functional/profile.h"
#include "os/clock.h"

enum { WAIT_MS = BACKGROUND_WAIT_MS, NODES = 3, POLL_MS = 20 };

/* The first two lines belong to [platform], the last section that the cluster
 * writes. A paused node receives no heartbeats: with the default
 * announce_ttl_ms, that alone would keep a late request from running. */
static const char settings[] = "timeout_ms = 300\ndeadline_ms = 1000\n"
			       "[membership]\nprobe_interval_ms = 100\n"
			       "probe_timeout_ms = 50\nsuspicion_ms = 300\n"
			       "[upstream]\nannounce_ttl_ms = 60000\n";

static struct cluster cluster;

/* Starts one data centre; node 0 serves alpha, node 1 serves beta, node 2
 * serves gamma. */
static void start(void)
{
	const struct cluster_options options = {
		.centres = 1,
		.nodes = NODES,
		.services = { "alpha", "beta", "gamma" },
		.profile = "default",
		.settings = settings,
	};

	cr_assert(cluster_start(&cluster, &options));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	cr_assert_eq(cluster_accept(&cluster, 0, "default", functional_profile),
		     1);
	cr_assert(cluster_wait_version(&cluster, -1, 1, WAIT_MS));
	cr_assert(cluster_wait_routes(&cluster, WAIT_MS));
}

static void stop(void)
{
	cluster_stop(&cluster);
}

static void assert_version_everywhere(uint64_t version)
{
	uint32_t i;

	cr_assert(cluster_wait_version(&cluster, -1, version, WAIT_MS));
	for (i = 0; i < NODES; i++)
		cr_assert_eq(cluster_version(&cluster, i), version);
}

/* Returns the profile of the tests with the comment @mark as its first line. */
static const char *profile_text(const char *mark)
{
	static char text[1024];

	snprintf(text, sizeof(text), "# %s\n%s", mark, functional_profile);
	return text;
}

static void put_draft(uint32_t i, const char *author, const char *text)
{
	char answer[1024];
	char path[128];

	snprintf(path, sizeof(path), "/v1/profiles/default/draft?author=%s",
		 author);
	cr_assert_eq(fetch_simple("PUT", cluster.nodes[i].operator_address,
				  path, text, answer, sizeof(answer)),
		     200, "%s", answer);
}

static long accept_by(uint32_t i, const char *author, const char *id)
{
	char answer[2048];
	char body[128];

	snprintf(body, sizeof(body), "{\"author\":\"%s\",\"id\":\"%s\"}",
		 author, id);
	return fetch_simple("POST", cluster.nodes[i].operator_address,
			    "/v1/profiles/default/accept", body, answer,
			    sizeof(answer));
}

/* Guards against a node that needs the platform to serve calls, or to get the
 * version in force after a restart, although its peers have it. */
Test(faults, a_node_restarts_while_the_platform_is_down, .init = start,
     .fini = stop, .timeout = 120)
{
	cr_assert(cluster_platform_faults(&cluster, "{\"down\":true}"));
	cr_assert(call_wait_status(&cluster, 0, "gamma", 200));
	process_kill(&cluster.nodes[1].process);
	cr_assert(call_wait_status(&cluster, 0, "gamma", 200));
	cr_assert(cluster_start_node(&cluster, 1));
	assert_version_everywhere(1);
	cr_assert(call_wait_status(&cluster, 1, "gamma", 200));
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
}

/* Guards against a lost answer of the platform that is taken for a failed
 * write: the retry with the same id would take effect twice. */
Test(faults, an_acceptance_without_an_answer_takes_effect_once, .init = start,
     .fini = stop, .timeout = 120)
{
	static const char no_faults[] = "{\"lose_answers\":0,\"lose_of\":\"\","
					"\"silent\":false,\"down\":false}";
	static const char *const cases[] = {
		"{\"lose_answers\":1}",
		"{\"lose_answers\":1,\"lose_of\":\"head\"}",
		"{\"lose_answers\":4}",
		"{\"lose_answers\":9,\"lose_of\":\"head\"}",
		"{\"silent\":true}",
		"{\"down\":true}",
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;
		char id[32];
		long status;

		snprintf(id, sizeof(id), "lost-%zu", i);
		put_draft(0, "anna", profile_text(id));
		cr_assert(cluster_platform_faults(&cluster, cases[i]));
		status = accept_by(0, "anna", id);
		cr_assert(status == 200 || status >= 500, "%s: %ld", cases[i],
			  status);
		cr_assert(cluster_platform_faults(&cluster, no_faults));
		while (status != 200 && clock_monotonic_us() < until_us) {
			status = accept_by(1, "anna", id);
			sleep_ms(POLL_MS);
		}
		cr_assert_eq(status, 200, "%s: %ld", cases[i], status);
		assert_version_everywhere(i + 2);
	}
}

static int64_t count_older_heads(void)
{
	int64_t count = 0;
	uint32_t i;

	for (i = 0; i < NODES; i++) {
		int64_t of_node =
			cluster_counter(&cluster, i, "config.older_heads");

		count += of_node > 0 ? of_node : 0;
	}
	return count;
}

/* Returns true if the log of node @i reports a version after a higher one. */
static bool version_decreased(uint32_t i)
{
	FILE *file = fopen(cluster.nodes[i].process.log_path, "re");
	unsigned long long before = 0;
	bool decreased = false;
	char line[1024];

	cr_assert_not_null(file);
	while (fgets(line, sizeof(line), file)) {
		const char *at = strstr(line, "\"version\":");
		unsigned long long version;

		if (!at || !strstr(line, "\"version_in_force\""))
			continue;
		version = strtoull(at + strlen("\"version\":"), NULL, 10);
		decreased |= version < before;
		before = version;
	}
	fclose(file);
	return decreased;
}

/* Guards against a node that reverts to an older version because the platform
 * returns an older head. */
Test(faults, an_older_head_is_not_followed, .init = start, .fini = stop,
     .timeout = 120)
{
	int64_t until_us = clock_monotonic_us() + WAIT_MS * US_PER_MS;

	cr_assert_eq(cluster_accept(&cluster, 0, "default", profile_text("2")),
		     2);
	assert_version_everywhere(2);
	cr_assert(cluster_platform_faults(&cluster, "{\"older\":true}"));
	/* The next reader may be a node that has not read before. */
	process_kill(&cluster.nodes[2].process);
	cr_assert(cluster_start_node(&cluster, 2));
	while (!count_older_heads() && clock_monotonic_us() < until_us)
		sleep_ms(POLL_MS);
	cr_assert_gt(count_older_heads(), 0);
	assert_version_everywhere(2);
	/* Detects a temporary return to the older version. */
	cr_assert_not(version_decreased(0));
	cr_assert_not(version_decreased(1));
	cr_assert(cluster_platform_faults(&cluster, "{\"older\":false}"));
	cr_assert_eq(cluster_accept(&cluster, 0, "default", profile_text("3")),
		     3);
	assert_version_everywhere(3);
}

struct operator_race {
	uint32_t node;
	const char *name;
	long status;
	pthread_t thread;
};

static void *accept_in_race(void *data)
{
	struct operator_race *race = data;

	race->status = accept_by(race->node, race->name, race->name);
	return NULL;
}

/* Guards against a lost update: two operators accept drafts of the same version
 * at the same time, and the second silently replaces the first. */
Test(faults, one_of_two_concurrent_operators_gets_a_conflict, .init = start,
     .fini = stop, .timeout = 120)
{
	struct operator_race races[] = { { .node = 0, .name = "anna" },
					 { .node = 1, .name = "ben" } };
	const char *winner;
	const char *loser;
	char answer[4096];
	char path[64];
	size_t i;

	for (i = 0; i < 2; i++)
		put_draft(races[i].node, races[i].name,
			  profile_text(races[i].name));
	for (i = 0; i < 2; i++)
		pthread_create(&races[i].thread, NULL, accept_in_race,
			       &races[i]);
	for (i = 0; i < 2; i++)
		pthread_join(races[i].thread, NULL);
	cr_assert_eq(races[0].status + races[1].status, 200 + 409, "%ld %ld",
		     races[0].status, races[1].status);
	winner = races[races[0].status == 200 ? 0 : 1].name;
	loser = races[races[0].status == 200 ? 1 : 0].name;
	assert_version_everywhere(2);
	fetch_simple("GET", cluster.nodes[2].operator_address,
		     "/v1/profiles/default", NULL, answer, sizeof(answer));
	cr_assert_not_null(strstr(answer, winner), "%s", answer);
	snprintf(path, sizeof(path), "/v1/profiles/default/draft?author=%s",
		 loser);
	cr_assert_eq(fetch_simple("GET", cluster.nodes[2].operator_address,
				  path, NULL, answer, sizeof(answer)),
		     200, "the draft stays: %s", answer);
}

/* Guards against a request that is not idempotent and runs twice: its node is
 * killed before the answer, so the only safe verdict is "may-have-run". */
Test(faults, a_call_to_a_killed_node_ends_as_may_have_run, .init = start,
     .fini = stop, .timeout = 120)
{
	struct background_call call;

	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
	background_begin(&call, &cluster, 0, "beta", "/seal?service_us=3000000",
			 "slow-seal");
	cr_assert(upstream_wait_stat(&cluster, 1, "running", 1));
	process_kill(&cluster.nodes[1].process);
	cr_assert(background_wait(&call));
	cr_assert_eq(call.fetch.status, 502);
	cr_assert_str_eq(call.fetch.verdict, "may-have-run");
	background_finish(&call);
	cr_assert(cluster_start_node(&cluster, 1));
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
	cr_assert_eq(upstream_run_count(&cluster, 1, "slow-seal"), 1);
}

/* Guards against a request with the verdict "not-run" that runs later: a paused
 * node resumes and reads the request from its socket. */
Test(faults, a_resumed_node_runs_no_call_reported_as_not_run, .init = start,
     .fini = stop, .timeout = 120)
{
	struct background_call call;
	int64_t runs;

	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
	process_signal(&cluster.nodes[1].process, SIGSTOP);
	background_begin(&call, &cluster, 0, "beta", "/seal", "paused-seal");
	cr_assert(background_wait(&call));
	cr_assert_gt(call.fetch.status, 500);
	/* Calls are refused once the node is known to be unreachable. */
	cr_assert(call_wait_status(&cluster, 0, "beta", 503));
	process_signal(&cluster.nodes[1].process, SIGCONT);
	cr_assert(call_wait_status(&cluster, 0, "beta", 200));
	cr_assert(cluster_wait_members(&cluster, NODES, WAIT_MS));
	runs = upstream_run_count(&cluster, 1, "paused-seal");
	cr_assert_leq(runs, 1);
	if (!strcmp(call.fetch.verdict, "not-run"))
		cr_assert_eq(runs, 0);
	else
		cr_assert_str_eq(call.fetch.verdict, "may-have-run");
	background_finish(&call);
}
