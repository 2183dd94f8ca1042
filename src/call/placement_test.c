#include "call/placement.h"

#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "route/fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, ATTEMPTS = 6 };

static struct config *config;
static struct router router;
static struct route_match match;

static void setup(void)
{
	static const char *const names[] = { "a", "b", "c", "d", "e" };
	size_t i;

	config = fixture_config(1, "p");
	router_init(&router, "here", 1);
	router_set_config(&router, config);
	for (i = 0; i < COUNT(names); i++) {
		struct record record = fixture_record(
			names[i], i < 4 ? "here" : "there", "s", "p");

		router_set_record(&router, &record, true, 0);
	}
	cr_assert_eq(router_match(&router, "s", "GET", "/r", &match),
		     ROUTE_FOUND);
}

static void teardown(void)
{
	router_finish(&router);
	config_unref(config);
}

/* A pass that begins or ends at the wrong attempt would send bodies to other
 * data centres for nothing, or search a free slot for a late request. */
Test(placement, passes_of_a_request_that_every_gate_refuses, .init = setup,
     .fini = teardown)
{
	static const struct {
		const char *name;
		int64_t due_us;
		bool seeks_free_slot;
		enum placement_pass passes[ATTEMPTS]; /* of each attempt */
		bool is_local[ATTEMPTS];
		uint32_t attempt_count;
	} cases[] = {
		{ "a free slot first, own data centre only",
		  100 * MS,
		  true,
		  { PLACEMENT_FREE_SLOT, PLACEMENT_FREE_SLOT,
		    PLACEMENT_FREE_SLOT, PLACEMENT_IN_TIME, PLACEMENT_IN_TIME,
		    PLACEMENT_IN_TIME },
		  { true, true, true, true, true, false },
		  ATTEMPTS },
		{ "switched off",
		  100 * MS,
		  false,
		  { PLACEMENT_IN_TIME, PLACEMENT_IN_TIME, PLACEMENT_IN_TIME,
		    PLACEMENT_IN_TIME, PLACEMENT_LATE },
		  { true, true, true, true, false },
		  5 },
		{ "already late", 1, true, { PLACEMENT_LATE }, { true }, 1 },
	};
	size_t i;
	uint32_t j;

	for (i = 0; i < COUNT(cases); i++) {
		struct placement placement;

		placement_init(&placement, cases[i].due_us,
			       cases[i].seeks_free_slot);
		for (j = 0; j < cases[i].attempt_count; j++) {
			struct endpoint *endpoint = placement_pick(
				&placement, &router, &match, j, MS);

			cr_assert_not_null(endpoint, "%s, attempt %u",
					   cases[i].name, j);
			cr_expect_eq(placement.pass, cases[i].passes[j],
				     "%s, attempt %u: %s", cases[i].name, j,
				     placement_pass_name(placement.pass));
			cr_expect_eq(endpoint->local, cases[i].is_local[j],
				     "%s, attempt %u", cases[i].name, j);
			cr_expect_eq(placement.wait_max_us > 0,
				     placement.pass == PLACEMENT_FREE_SLOT,
				     "%s, attempt %u", cases[i].name, j);
			placement_tried(&placement, endpoint);
			placement_gate_full(&placement);
			endpoint_done(&router, endpoint, ENDPOINT_REFUSED, 1.5,
				      MS, MS);
		}
		placement_finish(&placement, &router);
	}
}

Test(placement, waits_at_the_endpoint_that_reported_the_least_load,
     .init = setup, .fini = teardown)
{
	struct endpoint *least = NULL;
	struct placement placement;
	struct endpoint *endpoint;
	double load = 3;
	uint32_t j;

	placement_init(&placement, 100 * MS, true);
	for (j = 0; j < 3; j++) {
		endpoint = placement_pick(&placement, &router, &match, j, MS);
		cr_assert_not_null(endpoint);
		placement_tried(&placement, endpoint);
		load -= 0.5;
		least = endpoint;
		endpoint_done(&router, endpoint, ENDPOINT_REFUSED, load, MS,
			      MS);
	}
	endpoint = placement_pick(&placement, &router, &match, j, MS);
	cr_expect_eq(endpoint, least);
	endpoint_done(&router, endpoint, ENDPOINT_CANCELLED, -1, 0, MS);
	placement_finish(&placement, &router);
}

/* Retries that stay with a new version would give the version more than its
 * share, or fail requests that other versions could answer. */
Test(placement, at_most_one_attempt_goes_to_a_version_on_trial, .init = setup,
     .fini = teardown)
{
	static const struct {
		const char *name;
		double share;
		bool is_new[3]; /* of each attempt */
	} cases[] = {
		{ "not the turn of the new version",
		  0,
		  { false, false, false } },
		{ "turn of the new version", 0.999, { true, false, false } },
		{ "all requests go to the new version",
		  1,
		  { true, true, true } },
	};
	struct record record = fixture_record("new", "here", "s", "p");
	size_t i;
	uint32_t attempt;

	snprintf(record.version, sizeof(record.version), "v2");
	router_set_record(&router, &record, true, 0);
	for (i = 0; i < COUNT(cases); i++) {
		struct split split = { .target = "v2",
				       .share = cases[i].share };
		struct placement placement;

		router_set_split(&router, "s", &split);
		match.pool->split.credit = 0.5;
		placement_init(&placement, 0, false);
		for (attempt = 0; attempt < COUNT(cases[i].is_new); attempt++) {
			struct endpoint *endpoint = placement_pick(
				&placement, &router, &match, attempt, 0);

			cr_assert(endpoint);
			cr_expect_eq(!strcmp(endpoint->record.version, "v2"),
				     cases[i].is_new[attempt], "%s: attempt %u",
				     cases[i].name, attempt);
			placement_tried(&placement, endpoint);
			endpoint_done(&router, endpoint, ENDPOINT_REFUSED, 0.5,
				      0, 0);
		}
		placement_finish(&placement, &router);
	}
}
