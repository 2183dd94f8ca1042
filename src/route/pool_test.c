#include <criterion/criterion.h>
#include <ctype.h>
#include <stdio.h>
#include <string.h>

#include "base/random.h"
#include "route/fixture.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { INSTANCES = 8, RANDOM_SEQUENCES = 200, RANDOM_STEPS = 60 };

/* Instances a to h. A capital letter is an instance of another data centre. */
static const char letters[] = "abcdefgh";

static struct router router;
static bool present[INSTANCES];
static bool is_remote[INSTANCES];

static void set_record(uint32_t i, bool remote)
{
	const char name[] = { letters[i], 0 };
	struct record record =
		fixture_record(name, remote ? "there" : "here", "s", "p");

	router_set_record(&router, &record, true, 0);
	present[i] = true;
	is_remote[i] = remote;
}

static void drop_record(uint32_t i)
{
	const char name[] = { letters[i], 0 };

	router_drop_record(&router, name);
	present[i] = false;
}

static uint32_t count_expected(bool local_only)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		count += present[i] && !(local_only && is_remote[i]);
	return count;
}

/* The pool holds each present instance once, local ones first, at the index
 * that the endpoint names. */
static void check_pool(const char *sequence)
{
	const struct pool *pool;
	uint32_t i;

	HASH_FIND(by_service, router.pools, "s", 1, pool);
	if (!pool)
		return;
	cr_assert_eq(pool->count, count_expected(false), "%s: %u endpoints",
		     sequence, pool->count);
	cr_assert_eq(pool->local_count, count_expected(true), "%s: %u local",
		     sequence, pool->local_count);
	for (i = 0; i < pool->count; i++) {
		const struct endpoint *endpoint = pool->endpoints[i];

		cr_assert_eq(endpoint->pool_index, i,
			     "%s: the endpoint at %u names %u", sequence, i,
			     endpoint->pool_index);
		cr_assert_eq(endpoint->local, i < pool->local_count, "%s",
			     sequence);
		cr_assert_eq(router_find(&router, endpoint->record.instance),
			     endpoint, "%s", sequence);
	}
}

static void begin(void)
{
	memset(present, 0, sizeof(present));
	router_init(&router, "here", 1);
}

/* Letters set a record, or change its data centre; "-" drops the next one. */
static const char *const sequences[] = {
	"ab-a-b",	"ab-ac-b",	"ab-acd-b-c",	  "abc-b-a",
	"aB-a-B",	"aB-aC-B",	"ABc-c-A",	  "abAB-a",
	"abcABC-c-a-b", "aBcDe-c-a-ef", "aAa-a",	  "abBAa-b",
	"abcd-d-c-b-a", "abcd-a-b-c-d", "abc-ad-b-c-def", "AB-AC-B-C",
};

/*
 * Guards against a node that crashes: a pool that loses one endpoint or keeps
 * one that was freed, after an endpoint of a pool without remote endpoints was
 * removed.
 */
Test(pool, holds_each_present_instance_once)
{
	size_t i;

	for (i = 0; i < COUNT(sequences); i++) {
		const char *at;

		begin();
		for (at = sequences[i]; *at; at++) {
			bool drop = *at == '-';
			uint32_t instance;

			at += drop;
			instance = (uint32_t)(tolower((unsigned char)*at) -
					      letters[0]);
			if (drop)
				drop_record(instance);
			else
				set_record(instance,
					   isupper((unsigned char)*at));
			check_pool(sequences[i]);
		}
		router_finish(&router);
	}
}

Test(pool, holds_each_present_instance_once_at_random)
{
	uint64_t seed;
	int step;

	for (seed = 1; seed <= RANDOM_SEQUENCES; seed++) {
		struct random random;
		char name[32];

		random_init(&random, seed);
		snprintf(name, sizeof(name), "seed %llu",
			 (unsigned long long)seed);
		begin();
		for (step = 0; step < RANDOM_STEPS; step++) {
			uint32_t i = (uint32_t)random_below(&random, INSTANCES);

			if (present[i] && random_below(&random, 2))
				drop_record(i);
			else
				set_record(i, !random_below(&random, 4));
			check_pool(name);
		}
		router_finish(&router);
	}
}
