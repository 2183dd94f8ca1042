#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "base/latency.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static const struct latency *find(enum latency_metric metric,
				  const char *service, const char *outcome)
{
	const struct latency *latency;

	for (latency = latency_first(); latency; latency = latency->next)
		if (latency->metric == metric &&
		    !strcmp(latency->service, service) &&
		    !strcmp(latency->outcome, outcome))
			return latency;
	return NULL;
}

Test(latency, a_duration_is_counted_in_the_first_bucket_that_holds_it)
{
	static const struct {
		int64_t took_us;
		uint32_t bucket;
	} cases[] = {
		{ -5, 0 },  { 0, 0 },	     { 500, 0 },       { 501, 1 },
		{ 620, 1 }, { 2500000, 11 }, { 10000000, 12 }, { 10000001, 13 },
	};
	uint64_t expected[LATENCY_BOUNDS + 1] = { 0 };
	const struct latency *latency;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		latency_add(LATENCY_TOTAL, "seal", "2xx", cases[i].took_us);
		expected[cases[i].bucket]++;
	}
	latency = find(LATENCY_TOTAL, "seal", "2xx");
	cr_assert_not_null(latency);
	cr_expect_arr_eq(latency->counts, expected, sizeof(expected));
	cr_expect_eq(latency->count, COUNT(cases));
	cr_expect_eq(latency->sum_us, 22501622);
	cr_expect_null(find(LATENCY_ADDED, "seal", "2xx"));
}

/* The memory and the metrics of a node must not grow without bound when callers
 * keep naming new services. */
Test(latency, further_services_are_counted_together)
{
	const struct latency *latency;
	char service[32];
	uint32_t count = 0;
	int i;

	for (i = 0; i < LATENCY_SERIES_MAX * 2; i++) {
		snprintf(service, sizeof(service), "service-%d", i);
		latency_add(LATENCY_TOTAL, service, "2xx", 1000);
	}
	for (latency = latency_first(); latency; latency = latency->next)
		count++;
	cr_expect_eq(count, LATENCY_SERIES_MAX + 1);
	latency = find(LATENCY_TOTAL, "other", "2xx");
	cr_assert_not_null(latency);
	cr_expect_eq(latency->count, LATENCY_SERIES_MAX);
}
