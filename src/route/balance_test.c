#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "route/fixture.h"
#include "route/report.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum {
	MS = 1000,
	S = 1000 * MS,
	ENDPOINTS = 8,
	CALLERS_MAX = 24,
	SLOTS = 4,
	QUEUE_MAX = 16,
	SERVICE_US = 10 * MS,
	CALLS = 20000,
	IN_FLIGHT_MAX = 2048,
	LIMITED_CALLS = 6000,
};

/* Fault of the first endpoint, or of all of them. */
enum injected_fault {
	NONE,
	REPORTS_NO_LOAD,
	SLOW,
	FAILS,
	ERRORS,	    /* answers 60 % of the requests with an error at once */
	ALL_ERRORS, /* all endpoints answer such errors */
	ALL_COLD,   /* all endpoints are slow for the first second */
	LIMITED,    /* the first endpoint can use a hundredth of its slots */
};

struct call {
	struct endpoint *endpoint;
	uint32_t caller;
	uint32_t endpoint_index;
	int64_t began_us;
	int64_t ends_us;
	enum endpoint_result result;
};

/* Callers, each with its own router, and endpoints with slots and a queue in
 * order of arrival. A slot is stored as the time until which it is used. */
struct fleet {
	struct router routers[CALLERS_MAX];
	uint32_t callers;
	int64_t slot_until_us[ENDPOINTS][SLOTS];
	struct call calls[IN_FLIGHT_MAX];
	uint32_t call_count;
	struct random random;
	enum injected_fault injected_fault;
	bool random_choice;  /* baseline: a random endpoint for each call */
	bool ignores_errors; /* an error answer counts as a good answer */
	bool reports;	     /* answers carry an endpoint_report */
	double error_rate[ENDPOINTS];
	int64_t now_us;
	uint32_t sent[ENDPOINTS];
	uint32_t refused;
	uint32_t failed;
	uint32_t errors;
	double latencies_us[CALLS];
	uint32_t answered;
};

static double service_us(struct fleet *fleet, uint32_t endpoint_index)
{
	double factor = 0.5 + random_share(&fleet->random);

	if (fleet->injected_fault == SLOW && !endpoint_index)
		factor *= 5;
	if (fleet->injected_fault == ALL_COLD && fleet->now_us < S)
		factor *= 3;
	return SERVICE_US * factor;
}

static uint32_t next_free_slot(const struct fleet *fleet,
			       uint32_t endpoint_index)
{
	uint32_t first = 0;
	uint32_t i;

	for (i = 1; i < SLOTS; i++) {
		if (fleet->slot_until_us[endpoint_index][i] <
		    fleet->slot_until_us[endpoint_index][first])
			first = i;
	}
	return first;
}

static uint32_t calls_at(const struct fleet *fleet, uint32_t endpoint_index)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < fleet->call_count; i++)
		count += fleet->calls[i].endpoint_index == endpoint_index;
	return count;
}

static bool answers_error(struct fleet *fleet, uint32_t endpoint_index)
{
	bool faulty = fleet->injected_fault == ALL_ERRORS ||
		      (fleet->injected_fault == ERRORS && !endpoint_index);

	return faulty && random_share(&fleet->random) < 0.6;
}

static void send_to(struct fleet *fleet, struct call *call)
{
	uint32_t there = calls_at(fleet, call->endpoint_index);
	uint32_t slot = next_free_slot(fleet, call->endpoint_index);
	int64_t *until_us = &fleet->slot_until_us[call->endpoint_index][slot];

	fleet->sent[call->endpoint_index]++;
	call->result = ENDPOINT_ANSWERED;
	call->ends_us = fleet->now_us + MS;
	if (fleet->injected_fault == FAILS && !call->endpoint_index) {
		call->result = ENDPOINT_FAILED;
		return;
	}
	if (answers_error(fleet, call->endpoint_index)) {
		call->result = ENDPOINT_ERROR;
		return;
	}
	if (there >= SLOTS + QUEUE_MAX) {
		call->result = ENDPOINT_REFUSED;
		return;
	}
	if (*until_us < fleet->now_us)
		*until_us = fleet->now_us;
	*until_us += (int64_t)service_us(fleet, call->endpoint_index);
	call->ends_us = *until_us + MS;
}

static struct endpoint *pick_random(struct fleet *fleet, struct route_match *m)
{
	struct endpoint *endpoint =
		m->pool->endpoints[random_below(&fleet->random, ENDPOINTS)];

	endpoint_ref(endpoint);
	endpoint->in_flight++;
	return endpoint;
}

static void begin(struct fleet *fleet)
{
	struct call call = { .caller = random_below(&fleet->random,
						    fleet->callers),
			     .began_us = fleet->now_us };
	struct router *router = &fleet->routers[call.caller];
	struct route_match match;
	struct pick pick = { .match = &match, .now_us = fleet->now_us };

	cr_assert_eq(router_match(router, "s", "GET", "/r", &match),
		     ROUTE_FOUND);
	call.endpoint = fleet->random_choice ? pick_random(fleet, &match)
					     : router_pick(router, &pick);
	call.endpoint_index =
		(uint32_t)(call.endpoint->record.instance[0] - 'a');
	send_to(fleet, &call);
	cr_assert_lt(fleet->call_count, IN_FLIGHT_MAX);
	fleet->calls[fleet->call_count++] = call;
}

/* Returns the load that an answer or refusal reports, its call included. */
static double reported_load(const struct fleet *fleet, const struct call *call)
{
	if (call->result == ENDPOINT_FAILED)
		return -1;
	if (fleet->injected_fault == REPORTS_NO_LOAD && !call->endpoint_index)
		return 0;
	return (double)(calls_at(fleet, call->endpoint_index) + 1) / SLOTS;
}

/* Reports the error rate that the node of the endpoint has counted, the answer
 * to this call included. */
static void report(struct fleet *fleet, const struct call *call)
{
	double *errors = &fleet->error_rate[call->endpoint_index];
	struct endpoint_report report;

	*errors += ((call->result == ENDPOINT_ERROR) - *errors) / 16;
	report.error_rate = *errors;
	router_set_error_rate(&fleet->routers[call->caller], call->endpoint,
			      &report);
}

/* The limit of the first endpoint ends after LIMITED_CALLS. */
static void report_usable_share(const struct fleet *fleet,
				const struct call *call)
{
	bool limited = fleet->injected_fault == LIMITED &&
		       !call->endpoint_index && fleet->answered < LIMITED_CALLS;

	endpoint_set_usable_share(call->endpoint, limited ? 0.01 : 1,
				  fleet->now_us);
}

static void finish(struct fleet *fleet, uint32_t which)
{
	struct call call = fleet->calls[which];
	int64_t latency_us = fleet->now_us - call.began_us;

	fleet->calls[which] = fleet->calls[--fleet->call_count];
	if (fleet->reports)
		report(fleet, &call);
	report_usable_share(fleet, &call);
	endpoint_done(&fleet->routers[call.caller], call.endpoint, call.result,
		      reported_load(fleet, &call), latency_us, fleet->now_us);
	fleet->refused += call.result == ENDPOINT_REFUSED;
	fleet->failed += call.result == ENDPOINT_FAILED;
	fleet->errors += call.result == ENDPOINT_ERROR;
	if (call.result == ENDPOINT_ANSWERED)
		fleet->latencies_us[fleet->answered++] = (double)latency_us;
}

static uint32_t next_ending_call(const struct fleet *fleet)
{
	uint32_t first = 0;
	uint32_t i;

	for (i = 1; i < fleet->call_count; i++) {
		if (fleet->calls[i].ends_us < fleet->calls[first].ends_us)
			first = i;
	}
	return first;
}

static void end_calls_until(struct fleet *fleet, int64_t until_us)
{
	while (fleet->call_count) {
		uint32_t which = next_ending_call(fleet);

		if (fleet->calls[which].ends_us > until_us)
			break;
		fleet->now_us = fleet->calls[which].ends_us;
		finish(fleet, which);
	}
	fleet->now_us = until_us;
}

static void set_up(struct fleet *fleet, struct config *config, uint64_t seed)
{
	char name[2] = "a";
	uint32_t i, j;

	random_init(&fleet->random, seed);
	for (i = 0; i < fleet->callers; i++) {
		router_init(&fleet->routers[i], "here", seed + i);
		router_set_config(&fleet->routers[i], config);
		fleet->routers[i].avoid_faulty_endpoints =
			!fleet->ignores_errors;
		for (j = 0; j < ENDPOINTS; j++) {
			struct record record;

			name[0] = (char)('a' + j);
			record = fixture_record(name, "here", "s", "p");
			record.slots = SLOTS;
			if (fleet->injected_fault == ALL_COLD)
				record.serving_age_ms = 0;
			router_set_record(&fleet->routers[i], &record, true, 0);
		}
	}
}

static int by_value(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static double run(struct fleet *fleet, double per_s, uint64_t seed)
{
	struct config *config = fixture_config(1, "p");
	uint32_t i;

	set_up(fleet, config, seed);
	for (i = 0; i < CALLS; i++) {
		double gap_s = -log(1 - random_share(&fleet->random)) / per_s;

		end_calls_until(fleet, fleet->now_us + (int64_t)(gap_s * 1e6));
		begin(fleet);
	}
	end_calls_until(fleet, INT64_MAX / 2);
	for (i = 0; i < fleet->callers; i++)
		router_finish(&fleet->routers[i]);
	config_unref(config);
	qsort(fleet->latencies_us, fleet->answered, sizeof(double), by_value);
	return fleet->latencies_us[fleet->answered * 99 / 100];
}

/* A balancer that trusts load reports, or uses only counts of calls, sends a
 * faulty endpoint as many requests as the others or more, and calls are slow or
 * refused although the other endpoints have free slots. */
Test(balance, faulty_endpoints)
{
	static const struct {
		const char *name;
		double per_s; /* the capacity is 3200: 8 * 4 slots of 10 ms */
		double first_share_max;
		double p99_gain_min; /* compared with the random choice */
		enum injected_fault injected_fault;
		uint32_t callers;
	} cases[] = {
		{ "all alike", 2200, 0.14, 1.2, NONE, 6 },
		{ "all alike, nearly full", 2900, 0.14, 1.5, NONE, 6 },
		{ "nearly full, many callers", 2900, 0.14, 1.3, NONE, 24 },
		{ "one reports no load", 2200, 0.16, 1.1, REPORTS_NO_LOAD, 6 },
		{ "no load reported, nearly full", 2900, 0.16, 1.4,
		  REPORTS_NO_LOAD, 6 },
		{ "no load reported, full, many callers", 2900, 0.16, 1.1,
		  REPORTS_NO_LOAD, 24 },
		{ "one is slow but healthy", 2200, 0.05, 8, SLOW, 6 },
		{ "one is slow, many callers", 2200, 0.05, 8, SLOW, 24 },
		{ "one fails all", 2200, 0.01, 1.1, FAILS, 6 },
		{ "all cold at once", 2200, 0.14, 0.95, ALL_COLD, 6 },
	};
	struct fleet *fleet = malloc(sizeof(*fleet));
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		double p99_us, random_p99_us, first;

		*fleet = (struct fleet){ .injected_fault =
						 cases[i].injected_fault,
					 .callers = cases[i].callers,
					 .random_choice = true };
		random_p99_us = run(fleet, cases[i].per_s, i);
		*fleet = (struct fleet){ .injected_fault =
						 cases[i].injected_fault,
					 .callers = cases[i].callers };
		p99_us = run(fleet, cases[i].per_s, i);
		first = (double)fleet->sent[0] / CALLS;
		printf("%s: p99 %.1f ms, random %.1f ms, first gets %.3f,"
		       " refused %u, failed %u\n",
		       cases[i].name, p99_us / MS, random_p99_us / MS, first,
		       fleet->refused, fleet->failed);
		cr_expect_leq(first, cases[i].first_share_max, "%s",
			      cases[i].name);
		cr_expect_geq(random_p99_us, p99_us * cases[i].p99_gain_min,
			      "%s", cases[i].name);
	}
	free(fleet);
}

/* If errors count as answers, an endpoint that answers errors quickly looks
 * fast and receives more requests. If all endpoints answer errors, avoiding
 * them would send all requests to the one whose avoidance ends first. */
Test(balance, errors_do_not_count_as_answers)
{
	static const struct {
		const char *name;
		enum injected_fault injected_fault;
		uint32_t callers;
		double first_min, first_max; /* share of the first endpoint */
		double errors_max; /* relative to the run that ignores errors */
	} cases[] = {
		{ "one of eight", ERRORS, 6, 0, 0.04, 0.3 },
		{ "one of eight, many callers", ERRORS, 24, 0, 0.06, 0.5 },
		{ "all alike", ALL_ERRORS, 6, 0.10, 0.15, 1.05 },
	};
	struct fleet *fleet = malloc(sizeof(*fleet));
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		uint32_t errors_without;
		double first;

		*fleet = (struct fleet){ .injected_fault =
						 cases[i].injected_fault,
					 .callers = cases[i].callers,
					 .ignores_errors = true };
		run(fleet, 1500, i);
		errors_without = fleet->errors;
		*fleet = (struct fleet){ .injected_fault =
						 cases[i].injected_fault,
					 .callers = cases[i].callers };
		run(fleet, 1500, i);
		first = (double)fleet->sent[0] / CALLS;
		printf("%s: %u errors, %u where they count as answers; first "
		       "gets %.3f\n",
		       cases[i].name, fleet->errors, errors_without, first);
		cr_expect_leq(first, cases[i].first_max, "%s", cases[i].name);
		cr_expect_geq(first, cases[i].first_min, "%s", cases[i].name);
		cr_expect_leq(fleet->errors,
			      cases[i].errors_max * errors_without, "%s",
			      cases[i].name);
	}
	free(fleet);
}

/* Without reports, each of many callers with a low request rate must detect a
 * faulty upstream by itself, and the upstream keeps its share for minutes. */
Test(balance, reports_let_all_callers_avoid_a_faulty_upstream)
{
	struct fleet *fleet = malloc(sizeof(*fleet));
	uint32_t without;
	uint64_t seed;

	for (seed = 1; seed <= 3; seed++) {
		*fleet = (struct fleet){ .injected_fault = ERRORS,
					 .callers = CALLERS_MAX };
		run(fleet, 400, seed);
		without = fleet->errors;
		*fleet = (struct fleet){ .injected_fault = ERRORS,
					 .callers = CALLERS_MAX,
					 .reports = true };
		run(fleet, 400, seed);
		printf("seed %lu: %u errors, %u without reports\n",
		       (unsigned long)seed, fleet->errors, without);
		cr_expect_lt(10 * fleet->errors, 9 * without);
	}
	free(fleet);
}

static void leave(struct fleet *fleet, uint32_t endpoint_index)
{
	const char name[] = { (char)('a' + endpoint_index), '\0' };
	struct record record = fixture_record(name, "here", "s", "p");
	uint32_t i;

	record.state = UPSTREAM_LEAVING;
	record.sequence++;
	for (i = 0; i < fleet->callers; i++)
		router_set_record(&fleet->routers[i], &record, true,
				  fleet->now_us);
}

/* An upstream that is leaving must not receive requests, whichever fault the
 * other endpoints have at the time. */
Test(balance, a_leaving_upstream_gets_no_requests_in_any_fault)
{
	struct fleet *fleet = malloc(sizeof(*fleet));
	struct config *config = fixture_config(1, "p");
	enum injected_fault injected_fault;
	uint32_t i;

	for (injected_fault = NONE; injected_fault <= ALL_COLD;
	     injected_fault++) {
		uint32_t before;

		*fleet = (struct fleet){ .injected_fault = injected_fault,
					 .callers = 6 };
		set_up(fleet, config, injected_fault);
		for (i = 0; i < 2000; i++) {
			end_calls_until(fleet, fleet->now_us + 400);
			begin(fleet);
			if (i == 1000) {
				leave(fleet, ENDPOINTS - 1);
				before = fleet->sent[ENDPOINTS - 1];
			}
		}
		cr_expect_gt(before, 0);
		cr_expect_eq(fleet->sent[ENDPOINTS - 1], before, "fault %d",
			     (int)injected_fault);
		end_calls_until(fleet, INT64_MAX / 2);
		for (i = 0; i < fleet->callers; i++)
			router_finish(&fleet->routers[i]);
	}
	config_unref(config);
	free(fleet);
}

/* A limited upstream that gets its whole share would refuse most of it; one
 * that gets nothing could not show the end of its limit. */
Test(balance, a_limited_endpoint_gets_few_requests_until_its_limit_ends)
{
	struct fleet *fleet = malloc(sizeof(*fleet));
	struct config *config = fixture_config(1, "p");
	uint32_t sent_before;
	uint32_t i;

	*fleet = (struct fleet){ .injected_fault = LIMITED, .callers = 6 };
	set_up(fleet, config, 1);
	for (i = 0; i < LIMITED_CALLS; i++) {
		end_calls_until(fleet, fleet->now_us + MS);
		begin(fleet);
	}
	sent_before = fleet->sent[0];
	cr_expect_gt(sent_before, 0);
	cr_expect_leq(sent_before, LIMITED_CALLS / ENDPOINTS / 4, "%u",
		      sent_before);
	for (; i < 3 * LIMITED_CALLS; i++) {
		end_calls_until(fleet, fleet->now_us + MS);
		begin(fleet);
	}
	cr_expect_geq(fleet->sent[0] - sent_before,
		      2 * LIMITED_CALLS / ENDPOINTS / 2, "%u",
		      fleet->sent[0] - sent_before);
	end_calls_until(fleet, INT64_MAX / 2);
	for (i = 0; i < fleet->callers; i++)
		router_finish(&fleet->routers[i]);
	config_unref(config);
	free(fleet);
}

/* A call that waited for a limit would make its endpoint look slow for seconds
 * after the limit has ended. */
Test(balance, a_wait_for_a_limit_is_no_service_time)
{
	static const struct {
		const char *name;
		double usable_share; /* reported when the call ends */
		int64_t quiet_us;    /* time without a call before it */
	} cases[] = {
		{ "the limit holds", 0.01, 0 },
		{ "the limit has just ended", 1, 0 },
		{ "it holds, after a long time without reports", 0.01, 60 * S },
		{ "it ends after a long time without reports", 1, 60 * S },
	};
	struct config *config = fixture_config(1, "p");
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct record record = fixture_record("a", "here", "s", "p");
		struct endpoint *endpoint;
		struct router router;
		int64_t now_us = S;

		router_init(&router, "here", 1);
		router_set_config(&router, config);
		router_set_record(&router, &record, true, 0);
		endpoint = router_find(&router, "a");
		endpoint_pick_again(endpoint);
		endpoint_set_usable_share(endpoint, 1, now_us);
		endpoint_done(&router, endpoint, ENDPOINT_ANSWERED, 0,
			      SERVICE_US, now_us);
		endpoint = router_find(&router, "a");
		endpoint_pick_again(endpoint);
		endpoint_set_usable_share(endpoint, 0.01, now_us);
		endpoint_done(&router, endpoint, ENDPOINT_REFUSED, 0, MS,
			      now_us);
		now_us += cases[i].quiet_us;
		endpoint = router_find(&router, "a");
		endpoint_pick_again(endpoint);
		now_us += S;
		endpoint_set_usable_share(endpoint, cases[i].usable_share,
					  now_us);
		endpoint_done(&router, endpoint, ENDPOINT_ANSWERED, 0, S / 2,
			      now_us);
		cr_expect_eq(endpoint->service_us, SERVICE_US, "%s: %g us",
			     cases[i].name, endpoint->service_us);
		router_finish(&router);
	}
	config_unref(config);
}
