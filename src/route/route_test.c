#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, S = 1000 * MS };

/* A route must exist exactly while the node has both the pool and the profile,
 * in whichever order they are added. */
Test(route, a_route_needs_a_pool_and_a_profile)
{
	static const struct {
		const char *name;
		const char *config; /* profiles in force; NULL: none yet */
		const char *profile_a;
		const char *profile_b; /* of a second endpoint */
		const char *profile_c;
		enum upstream_state state;
		enum route_result result;
		const char *path;
		const char *expected_profile;
	} cases[] = {
		{ "found", "p", "p", NULL, NULL, UPSTREAM_SERVING, ROUTE_FOUND,
		  "/r", "p" },
		{ "no version yet", NULL, "p", NULL, NULL, UPSTREAM_SERVING,
		  ROUTE_NO_CONFIG, "/r", NULL },
		{ "no pool", "p", NULL, NULL, NULL, UPSTREAM_SERVING,
		  ROUTE_NO_SERVICE, "/r", NULL },
		{ "instance without an upstream", "p", "p", NULL, NULL,
		  UPSTREAM_NONE, ROUTE_NO_SERVICE, "/r", NULL },
		{ "node has left", "p", "p", NULL, NULL, UPSTREAM_GONE,
		  ROUTE_NO_SERVICE, "/r", NULL },
		{ "profile not in force", "q", "p", NULL, NULL,
		  UPSTREAM_SERVING, ROUTE_NO_PROFILE, "/r", NULL },
		{ "no kind", "p", "p", NULL, NULL, UPSTREAM_SERVING,
		  ROUTE_NO_KIND, "/x", NULL },
		{ "majority", "pq", "p", "q", "q", UPSTREAM_SERVING,
		  ROUTE_FOUND, "/r", "q" },
		{ "tie by name", "pq", "q", "p", NULL, UPSTREAM_SERVING,
		  ROUTE_FOUND, "/r", "p" },
		{ "none serves: majority of all", "pq", "q", "q", "p",
		  UPSTREAM_STARTING, ROUTE_FOUND, "/r", "q" },
	};
	size_t i, j;

	for (i = 0; i < COUNT(cases); i++) {
		const char *profiles[] = { cases[i].profile_a,
					   cases[i].profile_b,
					   cases[i].profile_c };
		const char *names[] = { "a", "b", "c" };
		struct config *config = NULL;
		struct route_match match = { 0 };
		struct router router;

		router_init(&router, "here", 1);
		if (cases[i].config) {
			config = fixture_config(1, cases[i].config);
			router_set_config(&router, config);
			config_unref(config);
		}
		for (j = 0; j < COUNT(names) && profiles[j]; j++) {
			struct record record = fixture_record(names[j], "here",
							      "s", profiles[j]);

			record.state = cases[i].state;
			router_set_record(&router, &record, true, 0);
		}
		cr_expect_eq(router_match(&router, "s", "GET", cases[i].path,
					  &match),
			     cases[i].result, "%s", cases[i].name);
		if (cases[i].result == ROUTE_FOUND)
			cr_expect_str_eq(match.profile->name,
					 cases[i].expected_profile);
		router_finish(&router);
	}
}

Test(route, follows_versions_and_keeps_endpoints)
{
	struct config *one = fixture_config(1, "p");
	struct config *two = fixture_config(2, "q");
	struct record record = fixture_record("a", "here", "s", "p");
	struct route_match match;
	struct endpoint *held;
	struct router router;

	router_init(&router, "here", 1);
	router_set_config(&router, one);
	router_set_record(&router, &record, true, 0);
	cr_assert_eq(router_match(&router, "s", "GET", "/r", &match),
		     ROUTE_FOUND);
	held = router_pick(&router, &(struct pick){ .match = &match });
	cr_assert_not_null(held);
	router_set_config(&router, two);
	cr_assert_eq(router_match(&router, "s", "GET", "/r", &match),
		     ROUTE_NO_PROFILE);
	cr_assert_eq(router_find(&router, "a"), held);
	router_drop_record(&router, "a");
	cr_assert_null(router_find(&router, "a"));
	cr_assert_eq(router_match(&router, "s", "GET", "/r", &match),
		     ROUTE_NO_SERVICE);
	endpoint_done(&router, held, ENDPOINT_ANSWERED, 0, MS, MS);
	cr_assert_null(router.removed_endpoints);
	router_finish(&router);
	cr_assert_eq(one->references, 1);
	config_unref(one);
	config_unref(two);
}

/* A pool must not keep an old profile when a new version moves the profile to
 * another index or replaces it. */
Test(route, follows_a_profile_that_moves)
{
	static const struct {
		const char *names;
		bool shared; /* the profile object of the previous version */
		enum route_result result;
	} versions[] = {
		{ "p", false, ROUTE_FOUND },  { "ap", true, ROUTE_FOUND },
		{ "abp", true, ROUTE_FOUND }, { "abp", false, ROUTE_FOUND },
		{ "bp", true, ROUTE_FOUND },  { "b", true, ROUTE_NO_PROFILE },
		{ "bp", false, ROUTE_FOUND },
	};
	struct record record = fixture_record("a", "here", "s", "p");
	struct config *before = NULL;
	struct route_match match;
	struct router router;
	size_t i;

	router_init(&router, "here", 1);
	router_set_record(&router, &record, true, 0);
	for (i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
		struct config *config =
			fixture_config(i + 1, versions[i].names);
		uint32_t last = config->profile_count - 1;
		struct config_profile *entry = &config->profiles[last];

		if (versions[i].shared && config_find(before, "p") &&
		    config_find(config, "p")) {
			profile_free(entry->profile);
			entry->profile = profile_ref(
				before->profiles[before->profile_count - 1]
					.profile);
		}
		router_set_config(&router, config);
		cr_assert_eq(router_match(&router, "s", "GET", "/r", &match),
			     versions[i].result, "version %zu", i + 1);
		if (versions[i].result == ROUTE_FOUND)
			cr_assert_eq(match.profile, entry->profile,
				     "version %zu", i + 1);
		if (before)
			config_unref(before);
		before = config;
	}
	config_unref(before);
	router_finish(&router);
}

/* State of an endpoint according to membership. */
enum reachability { REACHED, SUSPECTED, UNREACHABLE };

/* Description of one endpoint that a pick can choose. */
struct candidate {
	const char *instance; /* NULL ends the list */
	const char *data_centre;
	enum upstream_state state;
	enum reachability reachability;
	bool tried;
	enum endpoint_result last;
	double load;
};

static void add_candidate(struct router *router,
			  const struct candidate *candidate)
{
	struct record record = fixture_record(candidate->instance,
					      candidate->data_centre, "s", "p");
	struct endpoint *endpoint;

	record.state = candidate->state;
	router_set_record(router, &record,
			  candidate->reachability != UNREACHABLE, 0);
	router_set_suspect(router, candidate->instance,
			   candidate->reachability == SUSPECTED);
	endpoint = router_find(router, candidate->instance);
	endpoint_ref(endpoint);
	endpoint->in_flight++;
	endpoint_done(router, endpoint, candidate->last, candidate->load,
		      10 * MS, 10 * MS);
}

#define GOOD UPSTREAM_SERVING, REACHED, false, ENDPOINT_ANSWERED

Test(route, pick_prefers_endpoints_that_can_accept_requests)
{
	static const struct {
		const char *name;
		struct candidate candidates[4];
		const char *picked; /* NULL: none */
	} cases[] = {
		{ "own data centre",
		  { { "a", "here", GOOD, 0.5 }, { "b", "there", GOOD, 0 } },
		  "a" },
		{ "spills when the wait here is longer",
		  { { "a", "here", GOOD, 9 }, { "b", "there", GOOD, 0 } },
		  "b" },
		{ "stays when the remote endpoint is as loaded",
		  { { "a", "here", GOOD, 9 }, { "b", "there", GOOD, 9 } },
		  "a" },
		{ "not to a leaving endpoint",
		  { { "a", "here", UPSTREAM_LEAVING, REACHED, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 0 } },
		  "b" },
		{ "not to a starting endpoint",
		  { { "a", "here", UPSTREAM_STARTING, REACHED, false,
		      ENDPOINT_ANSWERED, 0 } },
		  NULL },
		{ "an unreachable endpoint only if no other is left",
		  { { "a", "here", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 9 } },
		  "b" },
		{ "an unreachable endpoint if all are unreachable",
		  { { "a", "here", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_ANSWERED, 0 } },
		  "a" },
		{ "none if all are unreachable and have just failed",
		  { { "a", "here", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_FAILED, 0 },
		    { "b", "there", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_FAILED, 0 } },
		  NULL },
		{ "another endpoint after an attempt",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, true,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 9 } },
		  "b" },
		{ "another endpoint after a refusal",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_REFUSED, 0 },
		    { "b", "here", GOOD, 0.9 } },
		  "b" },
		{ "the same endpoint after a refusal by a full gate",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_REFUSED, 1 },
		    { "b", "there", GOOD, 0 } },
		  "a" },
		{ "another endpoint after a failure",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_FAILED, 0 },
		    { "b", "here", GOOD, 0.9 } },
		  "b" },
		{ "not to a suspect endpoint",
		  { { "a", "here", UPSTREAM_SERVING, SUSPECTED, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 9 } },
		  "b" },
		{ "a failed endpoint before a suspect one",
		  { { "a", "here", UPSTREAM_SERVING, SUSPECTED, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_FAILED, 0 } },
		  "b" },
		{ "a suspect endpoint if all are suspect",
		  { { "a", "here", UPSTREAM_SERVING, SUSPECTED, false,
		      ENDPOINT_ANSWERED, 0 } },
		  "a" },
		{ "after a failure and a refusal, the one that refused",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_FAILED, 0 },
		    { "b", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_REFUSED, 0 } },
		  "b" },
	};
	struct config *config = fixture_config(1, "p");
	size_t i, j;

	for (i = 0; i < COUNT(cases); i++) {
		struct route_match match;
		struct endpoint *tried[4];
		struct pick pick = { .match = &match,
				     .tried = tried,
				     .now_us = 11 * MS };
		struct endpoint *picked;
		struct router router;

		router_init(&router, "here", i);
		router_set_config(&router, config);
		for (j = 0; cases[i].candidates[j].instance; j++) {
			const struct candidate *c = &cases[i].candidates[j];

			add_candidate(&router, c);
			if (c->tried)
				tried[pick.tried_count++] =
					router_find(&router, c->instance);
		}
		cr_assert_eq(router_match(&router, "s", "GET", "/r", &match),
			     ROUTE_FOUND);
		picked = router_pick(&router, &pick);
		cr_expect_str_eq(picked ? picked->record.instance : "none",
				 cases[i].picked ? cases[i].picked : "none",
				 "%s", cases[i].name);
		if (picked)
			endpoint_done(&router, picked, ENDPOINT_CANCELLED, -1,
				      0, 0);
		router_finish(&router);
	}
	config_unref(config);
}

/* An old load average must decay: otherwise the first calls after a time
 * without calls spill to another data centre because of an earlier overload. */
Test(route, old_overload_is_forgotten)
{
	struct config *config = fixture_config(1, "p");
	const struct candidate here = { "a", "here", GOOD, 9 };
	const struct candidate there = { "b", "there", GOOD, 0 };
	struct route_match match;
	struct pick pick = { .match = &match, .now_us = 3600LL * S };
	struct endpoint *picked;
	struct router router;
	int i;

	router_init(&router, "here", 1);
	router_set_config(&router, config);
	config_unref(config);
	for (i = 0; i < 100; i++)
		add_candidate(&router, &here);
	add_candidate(&router, &there);
	cr_assert_eq(router_match(&router, "s", "GET", "/r", &match),
		     ROUTE_FOUND);
	picked = router_pick(&router, &pick);
	cr_assert_str_eq(picked->record.instance, "a");
	endpoint_done(&router, picked, ENDPOINT_CANCELLED, -1, 0, 0);
	router_finish(&router);
}

Test(route, dump_lists_pools)
{
	struct record record = fixture_record("a", "here", "s", "p");
	struct router router;
	json_t *dump;

	router_init(&router, "here", 1);
	router_set_record(&router, &record, true, 0);
	dump = router_dump(&router, 0);
	cr_assert_not_null(dump);
	cr_assert_eq(json_array_size(json_object_get(dump, "pools")), 1);
	json_decref(dump);
	router_finish(&router);
}

static struct endpoint *pick_one(struct router *router, bool untried_only,
				 struct endpoint *const *tried,
				 uint32_t tried_count, int64_t now_us)
{
	struct route_match match;
	struct pick pick = { .match = &match,
			     .tried = tried,
			     .tried_count = tried_count,
			     .untried_only = untried_only,
			     .now_us = now_us };

	cr_assert_eq(router_match(router, "s", "GET", "/r", &match),
		     ROUTE_FOUND);
	return router_pick(router, &pick);
}

/* During a partition, a failed attempt must count against the whole unreachable
 * data centre, before and after membership has detected the partition. If it
 * counts against one endpoint only, callers lose a request to each of them. */
Test(route, an_unreachable_data_centre_costs_few_attempts)
{
	enum { REMOTE_ENDPOINTS = 50, CALLS = 200, GAP_US = 10 * MS };
	static const bool detected[] = { false, true };
	struct config *config = fixture_config(1, "p");
	size_t i, j;

	for (i = 0; i < COUNT(detected); i++) {
		struct router router;
		uint32_t sent = 0;

		router_init(&router, "here", 1);
		router_set_config(&router, config);
		for (j = 0; j < REMOTE_ENDPOINTS; j++) {
			char name[8];
			struct record record;

			snprintf(name, sizeof(name), "f%zu", j);
			record = fixture_record(name, "there", "s", "p");
			router_set_record(&router, &record, !detected[i], 0);
		}
		for (j = 0; j < CALLS; j++) {
			int64_t now_us = (int64_t)(j + 1) * GAP_US;
			struct endpoint *endpoint =
				pick_one(&router, false, NULL, 0, now_us);

			if (!endpoint)
				continue;
			sent++;
			endpoint_done(&router, endpoint, ENDPOINT_FAILED, -1, 0,
				      now_us);
		}
		cr_expect_leq(sent, 12, "detected %d: %u of %d calls were lost",
			      detected[i], sent, CALLS);
		cr_expect_geq(
			sent, 2,
			"no probe is sent, so a recovery is not detected");
		router_finish(&router);
	}
	config_unref(config);
}

/* A request that the local endpoint has refused must not be sent to an untried
 * but unreachable endpoint, where it would wait for a connection that does not
 * open: the local gate can tell the caller at once when to retry. */
Test(route, a_local_refusal_is_not_retried_at_unreachable_endpoints)
{
	struct config *config = fixture_config(1, "p");
	struct record here = fixture_record("a", "here", "s", "p");
	struct record there = fixture_record("b", "there", "s", "p");
	struct endpoint *tried[1];
	struct endpoint *endpoint;
	struct router router;

	router_init(&router, "here", 1);
	router_set_config(&router, config);
	router_set_record(&router, &here, true, 0);
	router_set_record(&router, &there, false, 0);
	tried[0] = router_find(&router, "a");
	cr_expect_null(pick_one(&router, true, tried, 1, MS));
	endpoint = pick_one(&router, false, tried, 1, MS);
	cr_assert_not_null(endpoint);
	cr_expect_str_eq(endpoint->record.instance, "a");
	endpoint_done(&router, endpoint, ENDPOINT_CANCELLED, -1, 0, MS);
	router_finish(&router);
	config_unref(config);
}
