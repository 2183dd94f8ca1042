#include "route/leaving.h"

#include <criterion/criterion.h>

#include "route/fixture.h"

static struct config *config;
static struct router router;

static void setup(void)
{
	config = fixture_config(1, "p");
	router_init(&router, "here", 1);
	router_set_config(&router, config);
}

static void teardown(void)
{
	router_finish(&router);
	config_unref(config);
}

static void set_record(uint64_t incarnation, uint64_t upstream_start)
{
	struct record record = fixture_record("a", "here", "s", "p");

	record.incarnation = incarnation;
	record.upstream_start = upstream_start;
	router_set_record(&router, &record, true, 0);
}

static bool is_chosen(void)
{
	struct route_match match;
	const struct pick pick = { .match = &match };
	struct endpoint *endpoint = NULL;

	if (router_match(&router, "s", "GET", "/r", &match) == ROUTE_FOUND)
		endpoint = router_pick(&router, &pick);
	if (endpoint)
		endpoint_done(&router, endpoint, ENDPOINT_ANSWERED, 0, 0, 0);
	return endpoint != NULL;
}

/* A node beside an upstream that restarts reports the upstream as serving, and
 * a node that has left is removed and comes back: neither may bring back an
 * upstream that has told its leaving. */
Test(leaving_told, lasts_for_the_incarnation_of_the_upstream, .init = setup,
     .fini = teardown)
{
	set_record(1, 7);
	cr_expect(is_chosen());
	router_set_leaving(&router, 7);
	cr_expect_not(is_chosen());
	set_record(2, 7);
	cr_expect_not(is_chosen(), "after a restart of its node");
	router_drop_record(&router, "a");
	set_record(3, 7);
	cr_expect_not(is_chosen(), "after its node was removed");
	set_record(3, 8);
	cr_expect(is_chosen(), "the next incarnation");
	router_set_leaving(&router, 7);
	cr_expect(is_chosen(), "a late answer of the former incarnation");
}

/* Without a bound, replaced upstreams would use up the memory. */
Test(leaving_told, the_memory_is_bounded)
{
	static struct leaving_set leaving;
	uint64_t start;

	cr_expect_not(leaving_has(&leaving, 0));
	for (start = 1; start <= 3 * LEAVING_MAX; start++) {
		cr_expect(leaving_add(&leaving, start));
		cr_expect_not(leaving_add(&leaving, start));
	}
	for (start = 1; start <= 3 * LEAVING_MAX; start++)
		cr_expect_eq(leaving_has(&leaving, start),
			     start > 2 * LEAVING_MAX);
}
