#include <criterion/criterion.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "route/fixture.h"

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
};

/* How the first endpoint differs from the others. */
enum oddity {
	NONE,
	LIES,
	SLOW,
	FAILS,
	ERRORS,	    /* answers six of ten with an error, at once */
	ALL_ERRORS, /* all of them do */
	ALL_COLD,   /* all of them, for the first second */
};

struct call {
	struct endpoint *endpoint;
	uint32_t caller;
	uint32_t place;
	int64_t began_us;
	int64_t ends_us;
	enum endpoint_result result;
};

/* Callers with a router each, and endpoints that queue in order of arrival:
 * a slot is the time until which it is taken. */
struct fleet {
	struct router routers[CALLERS_MAX];
	uint32_t callers;
	int64_t slot_until_us[ENDPOINTS][SLOTS];
	struct call calls[IN_FLIGHT_MAX];
	uint32_t call_count;
	struct random random;
	enum oddity oddity;
	bool blind;	   /* the baseline: any endpoint, at random */
	bool takes_errors; /* an error counts as an answer like any other */
	bool reports;	   /* each answer tells of all requests there */
	double error_rate[ENDPOINTS];
	int64_t now_us;
	uint32_t sent[ENDPOINTS];
	uint32_t refused;
	uint32_t failed;
	uint32_t errors;
	double latencies_us[CALLS];
	uint32_t answered;
};

static double service_us(struct fleet *fleet, uint32_t place)
{
	double factor = 0.5 + random_share(&fleet->random);

	if (fleet->oddity == SLOW && !place)
		factor *= 5;
	if (fleet->oddity == ALL_COLD && fleet->now_us < S)
		factor *= 3;
	return SERVICE_US * factor;
}

static uint32_t busy_until(const struct fleet *fleet, uint32_t place)
{
	uint32_t first = 0;
	uint32_t i;

	for (i = 1; i < SLOTS; i++) {
		if (fleet->slot_until_us[place][i] <
		    fleet->slot_until_us[place][first])
			first = i;
	}
	return first;
}

static uint32_t calls_at(const struct fleet *fleet, uint32_t place)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < fleet->call_count; i++)
		count += fleet->calls[i].place == place;
	return count;
}

static bool answers_error(struct fleet *fleet, uint32_t place)
{
	bool odd = fleet->oddity == ALL_ERRORS ||
		   (fleet->oddity == ERRORS && !place);

	return odd && random_share(&fleet->random) < 0.6;
}

static void send_to(struct fleet *fleet, struct call *call)
{
	uint32_t there = calls_at(fleet, call->place);
	uint32_t slot = busy_until(fleet, call->place);
	int64_t *until_us = &fleet->slot_until_us[call->place][slot];

	fleet->sent[call->place]++;
	call->result = ENDPOINT_ANSWERED;
	call->ends_us = fleet->now_us + MS;
	if (fleet->oddity == FAILS && !call->place) {
		call->result = ENDPOINT_FAILED;
		return;
	}
	if (answers_error(fleet, call->place)) {
		call->result = ENDPOINT_ERROR;
		return;
	}
	if (there >= SLOTS + QUEUE_MAX) {
		call->result = ENDPOINT_REFUSED;
		return;
	}
	if (*until_us < fleet->now_us)
		*until_us = fleet->now_us;
	*until_us += (int64_t)service_us(fleet, call->place);
	call->ends_us = *until_us + MS;
}

static struct endpoint *pick_blind(struct fleet *fleet, struct route_match *m)
{
	struct endpoint *endpoint =
		m->pool->endpoints[random_below(&fleet->random, ENDPOINTS)];

	endpoint_hold(endpoint);
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
	call.endpoint = fleet->blind ? pick_blind(fleet, &match)
				     : router_pick(router, &pick);
	call.place = (uint32_t)(call.endpoint->record.instance[0] - 'a');
	send_to(fleet, &call);
	cr_assert_lt(fleet->call_count, IN_FLIGHT_MAX);
	fleet->calls[fleet->call_count++] = call;
}

/* What an answer or refusal tells as it leaves, its own call included. */
static double told_load(const struct fleet *fleet, const struct call *call)
{
	if (call->result == ENDPOINT_FAILED)
		return -1;
	if (fleet->oddity == LIES && !call->place)
		return 0;
	return (double)(calls_at(fleet, call->place) + 1) / SLOTS;
}

/* What the node beside the endpoint has seen, with the answer that it is. */
static void report(struct fleet *fleet, const struct call *call)
{
	double *errors = &fleet->error_rate[call->place];
	struct endpoint_report report;

	*errors += ((call->result == ENDPOINT_ERROR) - *errors) / 16;
	report.error_rate = *errors;
	router_report(&fleet->routers[call->caller], call->endpoint, &report);
}

static void finish(struct fleet *fleet, uint32_t which)
{
	struct call call = fleet->calls[which];
	int64_t latency_us = fleet->now_us - call.began_us;

	fleet->calls[which] = fleet->calls[--fleet->call_count];
	if (fleet->reports)
		report(fleet, &call);
	endpoint_done(&fleet->routers[call.caller], call.endpoint, call.result,
		      told_load(fleet, &call), latency_us, fleet->now_us);
	fleet->refused += call.result == ENDPOINT_REFUSED;
	fleet->failed += call.result == ENDPOINT_FAILED;
	fleet->errors += call.result == ENDPOINT_ERROR;
	if (call.result == ENDPOINT_ANSWERED)
		fleet->latencies_us[fleet->answered++] = (double)latency_us;
}

static uint32_t next_to_end(const struct fleet *fleet)
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
		uint32_t which = next_to_end(fleet);

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
		fleet->routers[i].avoid_faulty_endpoints = !fleet->takes_errors;
		for (j = 0; j < ENDPOINTS; j++) {
			struct record record;

			name[0] = (char)('a' + j);
			record = fixture_record(name, "here", "s", "p");
			record.slots = SLOTS;
			if (fleet->oddity == ALL_COLD)
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

/*
 * Symptom: calls are slow or refused while most endpoints have room.
 * Sequence: one endpoint tells of no load whatever it has, is five times as
 * slow as the others, or fails all it gets; or all have just started.
 * Cause: a balancer that believes reports, or knows only counts, sends the
 * odd one as much as the others or more.
 */
Test(balance, odd_endpoints)
{
	static const struct {
		const char *name;
		double per_s; /* eight times four slots of 10 ms: 3200 */
		double first_share_most;
		double gain; /* of 99 in 100 over blind choice, at least */
		enum oddity oddity;
		uint32_t callers;
	} cases[] = {
		{ "all alike", 2200, 0.14, 1.2, NONE, 6 },
		{ "all alike, nearly full", 2900, 0.14, 1.5, NONE, 6 },
		{ "nearly full, many callers", 2900, 0.14, 1.3, NONE, 24 },
		{ "one lies about its load", 2200, 0.16, 1.1, LIES, 6 },
		{ "one lies, nearly full", 2900, 0.16, 1.4, LIES, 6 },
		{ "one lies, full, many callers", 2900, 0.16, 1.1, LIES, 24 },
		{ "one is slow but healthy", 2200, 0.05, 8, SLOW, 6 },
		{ "one is slow, many callers", 2200, 0.05, 8, SLOW, 24 },
		{ "one fails all", 2200, 0.01, 1.1, FAILS, 6 },
		{ "all cold at once", 2200, 0.14, 0.95, ALL_COLD, 6 },
	};
	struct fleet *fleet = malloc(sizeof(*fleet));
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		double p99_us, blind_us, first;

		*fleet = (struct fleet){ .oddity = cases[i].oddity,
					 .callers = cases[i].callers,
					 .blind = true };
		blind_us = run(fleet, cases[i].per_s, i);
		*fleet = (struct fleet){ .oddity = cases[i].oddity,
					 .callers = cases[i].callers };
		p99_us = run(fleet, cases[i].per_s, i);
		first = (double)fleet->sent[0] / CALLS;
		printf("%s: p99 %.1f ms, blind %.1f ms, first gets %.3f,"
		       " refused %u, failed %u\n",
		       cases[i].name, p99_us / MS, blind_us / MS, first,
		       fleet->refused, fleet->failed);
		cr_expect_leq(first, cases[i].first_share_most, "%s",
			      cases[i].name);
		cr_expect_geq(blind_us, p99_us * cases[i].gain, "%s",
			      cases[i].name);
	}
	free(fleet);
}

/*
 * Symptom: one request in ten fails while most upstreams answer all of theirs.
 * Sequence: an upstream answers more than half of its requests with an error,
 * at once; or all of a service do, because of what they call.
 * Cause: an error counts as an answer, and a quick one makes its upstream look
 * fast; or all are avoided, and requests go to whichever returns first.
 */
Test(balance, errors_are_no_answers)
{
	static const struct {
		const char *name;
		enum oddity oddity;
		uint32_t callers;
		double first_least, first_most; /* share that it gets */
		double errors_most;		/* over those without */
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

		*fleet = (struct fleet){ .oddity = cases[i].oddity,
					 .callers = cases[i].callers,
					 .takes_errors = true };
		run(fleet, 1500, i);
		errors_without = fleet->errors;
		*fleet = (struct fleet){ .oddity = cases[i].oddity,
					 .callers = cases[i].callers };
		run(fleet, 1500, i);
		first = (double)fleet->sent[0] / CALLS;
		printf("%s: %u errors, %u where they count as answers; first "
		       "gets %.3f\n",
		       cases[i].name, fleet->errors, errors_without, first);
		cr_expect_leq(first, cases[i].first_most, "%s", cases[i].name);
		cr_expect_geq(first, cases[i].first_least, "%s", cases[i].name);
		cr_expect_leq(fleet->errors,
			      cases[i].errors_most * errors_without, "%s",
			      cases[i].name);
	}
	free(fleet);
}

/*
 * Symptom: in a large fleet a faulty upstream goes on getting its share for
 * minutes.
 * Sequence: many callers with little load each; one upstream answers six of
 * ten with an error.
 * Cause: each caller has to see it for itself, from a few requests a minute.
 */
Test(balance, what_one_answer_tells_is_enough_for_all_callers)
{
	struct fleet *fleet = malloc(sizeof(*fleet));
	uint32_t without;
	uint64_t seed;

	for (seed = 1; seed <= 3; seed++) {
		*fleet = (struct fleet){ .oddity = ERRORS,
					 .callers = CALLERS_MAX };
		run(fleet, 400, seed);
		without = fleet->errors;
		*fleet = (struct fleet){ .oddity = ERRORS,
					 .callers = CALLERS_MAX,
					 .reports = true };
		run(fleet, 400, seed);
		printf("seed %lu: %u errors, %u without reports\n",
		       (unsigned long)seed, fleet->errors, without);
		cr_expect_lt(10 * fleet->errors, 9 * without);
	}
	free(fleet);
}

static void leave(struct fleet *fleet, uint32_t place)
{
	const char name[] = { (char)('a' + place), '\0' };
	struct record record = fixture_record(name, "here", "s", "p");
	uint32_t i;

	record.state = UPSTREAM_LEAVING;
	record.sequence++;
	for (i = 0; i < fleet->callers; i++)
		router_set_record(&fleet->routers[i], &record, true,
				  fleet->now_us);
}

/*
 * Symptom: an upstream that is leaving still gets work.
 * Sequence: it tells that it leaves while another one lies, is slow, fails
 * all, or all are cold.
 * Cause: a balancer that falls back on it as the last one without trouble.
 */
Test(balance, drain_during_each)
{
	struct fleet *fleet = malloc(sizeof(*fleet));
	struct config *config = fixture_config(1, "p");
	enum oddity oddity;
	uint32_t i;

	for (oddity = NONE; oddity <= ALL_COLD; oddity++) {
		uint32_t before;

		*fleet = (struct fleet){ .oddity = oddity, .callers = 6 };
		set_up(fleet, config, oddity);
		for (i = 0; i < 2000; i++) {
			end_calls_until(fleet, fleet->now_us + 400);
			begin(fleet);
			if (i == 1000) {
				leave(fleet, ENDPOINTS - 1);
				before = fleet->sent[ENDPOINTS - 1];
			}
		}
		cr_expect_gt(before, 0);
		cr_expect_eq(fleet->sent[ENDPOINTS - 1], before, "oddity %d",
			     (int)oddity);
		end_calls_until(fleet, INT64_MAX / 2);
		for (i = 0; i < fleet->callers; i++)
			router_finish(&fleet->routers[i]);
	}
	config_unref(config);
	free(fleet);
}
