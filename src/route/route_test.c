#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, S = 1000 * MS };

/*
 * Symptom: a request is routed to a service or by a profile that this node
 * does not have, or is refused although all is there.
 * Sequence: pools and versions come and go in any order.
 * Cause: a route that is published before what it points at, or after.
 */
Test(route, only_with_pool_and_profile)
{
	static const struct {
		const char *name;
		const char *config; /* profiles in force; NULL: none yet */
		const char *profile_a;
		const char *profile_b; /* of a second endpoint */
		const char *profile_c;
		enum upstream_state state;
		enum route_result miss;
		const char *path;
		const char *runs_under;
	} cases[] = {
		{ "found", "p", "p", NULL, NULL, UPSTREAM_SERVING, ROUTE_FOUND,
		  "/r", "p" },
		{ "no version yet", NULL, "p", NULL, NULL, UPSTREAM_SERVING,
		  ROUTE_NO_CONFIG, "/r", NULL },
		{ "no pool", "p", NULL, NULL, NULL, UPSTREAM_SERVING,
		  ROUTE_NO_SERVICE, "/r", NULL },
		{ "no upstream there", "p", "p", NULL, NULL, UPSTREAM_NONE,
		  ROUTE_NO_SERVICE, "/r", NULL },
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
			     cases[i].miss, "%s", cases[i].name);
		if (cases[i].miss == ROUTE_FOUND)
			cr_expect_str_eq(match.profile->name,
					 cases[i].runs_under);
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
	cr_assert_null(router.dropped);
	router_finish(&router);
	cr_assert_eq(one->references, 1);
	config_unref(one);
	config_unref(two);
}

/*
 * Symptom: calls run under a profile that is no longer in force.
 * Sequence: versions add and remove profiles before the one in use, so that
 * it moves in the list, or give it another text.
 * Cause: a pool is passed over as its profile seems to be the same.
 */
Test(route, follows_a_profile_that_moves)
{
	static const struct {
		const char *names;
		bool shared; /* of the version before */
		enum route_result miss;
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
			     versions[i].miss, "version %zu", i + 1);
		if (versions[i].miss == ROUTE_FOUND)
			cr_assert_eq(match.profile, entry->profile,
				     "version %zu", i + 1);
		if (before)
			config_unref(before);
		before = config;
	}
	config_unref(before);
	router_finish(&router);
}

/* What membership holds of an endpoint. */
enum standing { REACHED, SUSPECTED, UNREACHABLE };

/* What a pick is to choose from: one endpoint of each description. */
struct candidate {
	const char *instance; /* NULL ends the list */
	const char *data_centre;
	enum upstream_state state;
	enum standing standing;
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
	router_set_record(router, &record, candidate->standing != UNREACHABLE,
			  0);
	router_set_suspect(router, candidate->instance,
			   candidate->standing == SUSPECTED);
	endpoint = router_find(router, candidate->instance);
	endpoint_hold(endpoint);
	endpoint->in_flight++;
	endpoint_done(router, endpoint, candidate->last, candidate->load,
		      10 * MS, 10 * MS);
}

#define GOOD UPSTREAM_SERVING, REACHED, false, ENDPOINT_ANSWERED

Test(route, pick_goes_where_work_can_be_taken)
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
		{ "stays when there is as bad",
		  { { "a", "here", GOOD, 9 }, { "b", "there", GOOD, 9 } },
		  "a" },
		{ "not to one that is leaving",
		  { { "a", "here", UPSTREAM_LEAVING, REACHED, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 0 } },
		  "b" },
		{ "not to one that is starting",
		  { { "a", "here", UPSTREAM_STARTING, REACHED, false,
		      ENDPOINT_ANSWERED, 0 } },
		  NULL },
		{ "unreachable ones only if there is nothing else",
		  { { "a", "here", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 9 } },
		  "b" },
		{ "never none only because all are unreachable",
		  { { "a", "here", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_ANSWERED, 0 } },
		  "a" },
		{ "none if all are unreachable and have just failed",
		  { { "a", "here", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_FAILED, 0 },
		    { "b", "there", UPSTREAM_SERVING, UNREACHABLE, false,
		      ENDPOINT_FAILED, 0 } },
		  NULL },
		{ "another one after a try",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, true,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 9 } },
		  "b" },
		{ "elsewhere after a refusal",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_REFUSED, 0 },
		    { "b", "here", GOOD, 0.9 } },
		  "b" },
		{ "not elsewhere after a refusal by one that is just full",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_REFUSED, 1 },
		    { "b", "there", GOOD, 0 } },
		  "a" },
		{ "elsewhere after a failure",
		  { { "a", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_FAILED, 0 },
		    { "b", "here", GOOD, 0.9 } },
		  "b" },
		{ "not to one that others get no answer from",
		  { { "a", "here", UPSTREAM_SERVING, SUSPECTED, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "there", GOOD, 9 } },
		  "b" },
		{ "to one that failed before one that is suspected",
		  { { "a", "here", UPSTREAM_SERVING, SUSPECTED, false,
		      ENDPOINT_ANSWERED, 0 },
		    { "b", "here", UPSTREAM_SERVING, REACHED, false,
		      ENDPOINT_FAILED, 0 } },
		  "b" },
		{ "never none only because all are suspected",
		  { { "a", "here", UPSTREAM_SERVING, SUSPECTED, false,
		      ENDPOINT_ANSWERED, 0 } },
		  "a" },
		{ "never none only because all failed, refused goes first",
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

/*
 * Symptom: after a quiet night the first calls go to another data centre.
 * Sequence: the pool was overloaded in the evening; then nobody called.
 * Cause: what was usual then is taken for what is usual now.
 */
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

/*
 * Symptom: for the whole of a partition callers lose one request after the
 * other to a data centre that is out of reach.
 * Sequence: none is left in the own one; there are 50 upstreams elsewhere, to
 * which nothing gets through; membership has not judged that yet, or has.
 * Cause: what each attempt finds out is held against that one upstream only.
 */
Test(route, a_data_centre_out_of_reach_costs_few_attempts)
{
	enum { FAR = 50, CALLS = 200, GAP_US = 10 * MS };
	static const bool judged[] = { false, true };
	struct config *config = fixture_config(1, "p");
	size_t i, j;

	for (i = 0; i < COUNT(judged); i++) {
		struct router router;
		uint32_t sent = 0;

		router_init(&router, "here", 1);
		router_set_config(&router, config);
		for (j = 0; j < FAR; j++) {
			char name[8];
			struct record record;

			snprintf(name, sizeof(name), "f%zu", j);
			record = fixture_record(name, "there", "s", "p");
			router_set_record(&router, &record, !judged[i], 0);
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
		cr_expect_leq(sent, 12, "judged %d: %u of %d calls were lost",
			      judged[i], sent, CALLS);
		cr_expect_geq(sent, 2, "nobody finds out that it is back");
		router_finish(&router);
	}
	config_unref(config);
}

/*
 * Symptom: a request is held by a connection that does not open, though a gate
 * in reach would have told its caller at once when to come back.
 * Sequence: the upstream here has refused it; others are out of reach.
 * Cause: what has not been tried went before what can be reached.
 */
Test(route, out_of_reach_is_not_tried_for_an_answer_in_time)
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
