#include <criterion/criterion.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gate/gate.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { MS = 1000, S = 1000 * MS, REQUESTS = 24 };

static const struct gate_options two_slots = {
	.slots = 2, .queue_max = 4, .cold_start_us = 0, .fair = true
};

/* One thing done at the gate; @who is an index into the requests. */
struct gate_step {
	enum {
		OFFER,
		DONE,
		CANCEL,
		NEXT,
		EXPIRED,
		STATE,
	} what;
	int64_t at_ms;
	uint32_t who;
	const char *tenant;
	double weight;
	int64_t deadline_ms;
	int expected; /* answer of an offer; state to set */
	enum gate_refusal refusal;
};

enum { NOBODY = 99 };

static void set_request(struct gate_request *request,
			const struct gate_step *step)
{
	memset(request, 0, sizeof(*request));
	snprintf(request->kind, KIND_NAME_SIZE, "kind");
	snprintf(request->tenant, TENANT_SIZE, "%s", step->tenant);
	request->weight = step->weight;
	request->queue_max = 3;
	request->deadline_us = step->deadline_ms * MS;
}

static void expect_got(const struct gate_request *requests,
		       const struct gate_request *got,
		       const struct gate_step *step, const char *name)
{
	uint32_t who = got ? (uint32_t)(got - requests) : NOBODY;

	cr_assert_eq(who, step->who, "%s at %ld ms: got %u", name,
		     (long)step->at_ms, who);
	if (got && step->what == EXPIRED) {
		cr_assert_eq(got->refusal, step->refusal, "%s: %s", name,
			     gate_refusal_name(got->refusal));
		cr_assert_gt(got->retry_after_ms, 0);
	}
}

static void take_step(struct gate *gate, struct gate_request *requests,
		      const struct gate_step *step, const char *name)
{
	int64_t now_us = step->at_ms * MS;
	struct gate_request *request = &requests[step->who % REQUESTS];

	switch (step->what) {
	case OFFER:
		set_request(request, step);
		cr_assert_eq((int)gate_offer(gate, request, now_us),
			     step->expected, "%s at %ld ms", name,
			     (long)step->at_ms);
		cr_assert_eq(request->refusal, step->refusal, "%s: %s", name,
			     gate_refusal_name(request->refusal));
		break;
	case DONE:
		gate_done(gate, request, GATE_OK, now_us - request->started_us,
			  now_us);
		break;
	case CANCEL:
		gate_cancel(gate, request, now_us);
		break;
	case NEXT:
		expect_got(requests, gate_next(gate, now_us), step, name);
		break;
	case EXPIRED:
		expect_got(requests, gate_next_refused(gate, now_us), step,
			   name);
		break;
	case STATE:
		gate_set_state(gate, (enum gate_state)step->expected, now_us);
		break;
	}
}

#define OFFERED(at, w, from, heavy, deadline, answer)                          \
	{                                                                      \
		.what = OFFER, .at_ms = (at), .who = (w), .tenant = (from),    \
		.weight = (heavy), .deadline_ms = (deadline),                  \
		.expected = (answer)                                           \
	}
#define TURNED(at, w, from, heavy, deadline, why)                              \
	{                                                                      \
		.what = OFFER, .at_ms = (at), .who = (w), .tenant = (from),    \
		.weight = (heavy), .deadline_ms = (deadline),                  \
		.expected = GATE_REFUSED, .refusal = (why)                     \
	}
#define STEP(does, at, w)                                                      \
	{                                                                      \
		.what = (does), .at_ms = (at), .who = (w)                      \
	}
#define GIVEN_UP(at, w, why)                                                   \
	{                                                                      \
		.what = EXPIRED, .at_ms = (at), .who = (w), .refusal = (why)   \
	}
#define BECOMES(at, state)                                                     \
	{                                                                      \
		.what = STATE, .at_ms = (at), .expected = (state)              \
	}

/* Two requests that run for 10 ms teach the gate how long one takes. */
#define WARM                                                                   \
	OFFERED(0, 0, "a", 1, 1000, GATE_ADMITTED),                            \
		OFFERED(0, 1, "a", 1, 1000, GATE_ADMITTED), STEP(DONE, 10, 0), \
		STEP(DONE, 10, 1),                                             \
		OFFERED(10, 0, "a", 1, 1000, GATE_ADMITTED),                   \
		OFFERED(10, 1, "a", 1, 1000, GATE_ADMITTED)

Test(gate, sessions)
{
	static const struct {
		const char *name;
		struct gate_step steps[REQUESTS];
	} cases[] = {
		{ "runs up to its slots, then queues",
		  { WARM, OFFERED(10, 2, "a", 1, 1000, GATE_QUEUED),
		    STEP(NEXT, 11, NOBODY), STEP(DONE, 20, 0),
		    STEP(NEXT, 20, 2), STEP(NEXT, 20, NOBODY) } },
		{ "heavier first, background last",
		  { WARM, OFFERED(10, 2, "a", 0, 1000, GATE_QUEUED),
		    OFFERED(10, 3, "a", 1, 1000, GATE_QUEUED),
		    OFFERED(10, 4, "a", 9, 1000, GATE_QUEUED),
		    STEP(DONE, 20, 0), STEP(DONE, 20, 1), STEP(NEXT, 20, 4),
		    STEP(NEXT, 20, 3), STEP(DONE, 30, 3), STEP(NEXT, 30, 2) } },
		{ "nearest deadline first within a tenant",
		  { WARM, OFFERED(10, 2, "a", 1, 900, GATE_QUEUED),
		    OFFERED(10, 3, "a", 1, 500, GATE_QUEUED), STEP(DONE, 20, 0),
		    STEP(NEXT, 20, 3) } },
		{ "refused at once if it cannot be met",
		  { WARM, OFFERED(10, 2, "a", 1, 1000, GATE_QUEUED),
		    TURNED(10, 3, "a", 1, 22, GATE_REFUSED_LATE) } },
		{ "given up as soon as it cannot be met, not at its deadline",
		  { WARM, OFFERED(10, 2, "a", 1, 40, GATE_QUEUED),
		    STEP(EXPIRED, 25, NOBODY),
		    GIVEN_UP(34, 2, GATE_REFUSED_LATE), STEP(DONE, 40, 0),
		    STEP(NEXT, 40, NOBODY) } },
		/* Symptom: callers of a service that hangs are told so only
		 * at their deadline, and have no time to go elsewhere.
		 * Sequence: the upstream stops to answer; calls wait.
		 * Cause: what usually takes 10 ms is taken to be always
		 * about to end. */
		{ "an upstream that hangs is not waited for to the end",
		  { WARM, OFFERED(10, 2, "a", 1, 500, GATE_QUEUED),
		    TURNED(200, 3, "a", 1, 300, GATE_REFUSED_LATE),
		    STEP(EXPIRED, 250, NOBODY),
		    GIVEN_UP(256, 2, GATE_REFUSED_LATE) } },
		{ "a full queue turns away the tenant with most waiting",
		  { WARM, OFFERED(10, 2, "a", 1, 900, GATE_QUEUED),
		    OFFERED(10, 3, "a", 1, 800, GATE_QUEUED),
		    OFFERED(10, 4, "a", 1, 700, GATE_QUEUED),
		    TURNED(10, 5, "a", 1, 600, GATE_REFUSED_FULL),
		    OFFERED(10, 6, "b", 1, 600, GATE_QUEUED),
		    GIVEN_UP(10, 2, GATE_REFUSED_SHARE), STEP(DONE, 20, 0),
		    STEP(NEXT, 20, 6) } },
		{ "a full queue turns away what is lighter",
		  { WARM, OFFERED(10, 2, "a", 1, 900, GATE_QUEUED),
		    OFFERED(10, 3, "a", 1, 800, GATE_QUEUED),
		    OFFERED(10, 4, "a", 1, 700, GATE_QUEUED),
		    OFFERED(10, 5, "b", 3, 600, GATE_QUEUED),
		    OFFERED(10, 6, "b", 3, 600, GATE_QUEUED),
		    STEP(CANCEL, 10, 4), GIVEN_UP(10, 2, GATE_REFUSED_SHARE),
		    STEP(EXPIRED, 10, NOBODY) } },
		{ "cancelled after it was turned away, it is not returned",
		  { WARM, OFFERED(10, 2, "a", 1, 900, GATE_QUEUED),
		    OFFERED(10, 3, "a", 1, 800, GATE_QUEUED),
		    OFFERED(10, 4, "a", 1, 700, GATE_QUEUED),
		    OFFERED(10, 5, "b", 1, 600, GATE_QUEUED),
		    STEP(CANCEL, 10, 2), STEP(EXPIRED, 10, NOBODY),
		    STEP(DONE, 20, 0), STEP(NEXT, 20, 5) } },
		{ "cancelled while it waits, it never runs",
		  { WARM, OFFERED(10, 2, "a", 1, 1000, GATE_QUEUED),
		    STEP(CANCEL, 15, 2), STEP(DONE, 20, 0),
		    STEP(NEXT, 20, NOBODY) } },
		{ "leaving: no new work, what waits runs",
		  { WARM, OFFERED(10, 2, "a", 1, 1000, GATE_QUEUED),
		    BECOMES(12, GATE_LEAVING),
		    TURNED(13, 3, "a", 1, 1000, GATE_REFUSED_LEAVING),
		    STEP(DONE, 20, 0), STEP(EXPIRED, 20, NOBODY),
		    STEP(NEXT, 20, 2) } },
		{ "closed: what waits is refused",
		  { WARM, OFFERED(10, 2, "a", 1, 1000, GATE_QUEUED),
		    BECOMES(12, GATE_CLOSED), STEP(NEXT, 12, NOBODY),
		    GIVEN_UP(12, 2, GATE_REFUSED_CLOSED) } },
	};
	struct gate_request requests[REQUESTS];
	struct gate gate;
	size_t i, j;

	for (i = 0; i < COUNT(cases); i++) {
		memset(requests, 0, sizeof(requests));
		gate_init(&gate, &two_slots);
		gate_set_state(&gate, GATE_OPEN, 0);
		for (j = 0; cases[i].steps[j].tenant ||
			    cases[i].steps[j].what != OFFER;
		     j++)
			take_step(&gate, requests, &cases[i].steps[j],
				  cases[i].name);
		for (j = 0; j < REQUESTS; j++)
			gate_cancel(&gate, &requests[j], S);
		cr_assert_eq(gate_load(&gate), 0, "%s", cases[i].name);
		gate_finish(&gate);
	}
}

/*
 * Symptom: all upstreams of a service fail again right after they came back.
 * Sequence: they start together; everybody's waiting calls go to them.
 * Cause: an upstream with cold caches cannot take its full concurrency yet.
 */
Test(gate, cold_upstream_ramps_up)
{
	static const struct {
		int64_t since_ms;
		uint32_t limit;
	} cases[] = { { 0, 2 }, { 400, 4 }, { 800, 6 }, { 1000, 8 } };
	struct gate_options options = {
		.slots = 8, .queue_max = 4, .cold_start_us = S, .fair = true
	};
	struct gate gate;
	size_t i;

	gate_init(&gate, &options);
	gate_set_state(&gate, GATE_OPEN, 5 * S);
	for (i = 0; i < COUNT(cases); i++)
		cr_expect_eq(gate_limit(&gate, 5 * S + cases[i].since_ms * MS),
			     cases[i].limit, "after %ld ms",
			     (long)cases[i].since_ms);
	gate_finish(&gate);
}

/*
 * Symptom: a gate that serves very many tenants and kinds loses requests or
 * stops.
 * Sequence: more of them wait and run at once than it has places for; later
 * others come.
 * Cause: a place that is given to another while it is in use.
 */
Test(gate, more_tenants_and_kinds_than_places)
{
	enum { MANY = 2 * GATE_TENANTS_MAX, ROUNDS = 3 };
	const struct gate_options options = { .slots = 8,
					      .queue_max = MANY,
					      .fair = true };
	struct gate_request *requests = calloc(MANY, sizeof(*requests));
	struct gate_request *request;
	struct gate gate;
	int round, i;

	gate_init(&gate, &options);
	gate_set_state(&gate, GATE_OPEN, 0);
	for (round = 0; round < ROUNDS; round++) {
		int ended = 0;

		for (i = 0; i < MANY; i++) {
			request = &requests[i];
			memset(request, 0, sizeof(*request));
			snprintf(request->kind, KIND_NAME_SIZE, "kind-%d-%d",
				 round, i % 100);
			snprintf(request->tenant, TENANT_SIZE, "tenant-%d-%d",
				 round, i);
			request->weight = i % 80;
			request->deadline_us = 3600LL * S;
			gate_offer(&gate, request, round * S);
		}
		for (i = 0; ended < MANY; i = (i + 1) % MANY) {
			if (requests[i].phase == GATE_RUNNING) {
				gate_done(&gate, &requests[i], GATE_OK, MS,
					  round * S + MS);
				ended++;
			}
			while (gate_next(&gate, round * S + MS))
				;
		}
		cr_expect_eq(gate.running_count + gate.waiting_count, 0);
	}
	for (i = 0; i < GATE_CLASSES_MAX; i++)
		cr_expect_eq(gate.levels[i].running_count +
				     gate.levels[i].waiting_count,
			     0);
	gate_finish(&gate);
	free(requests);
}

Test(gate, dump_tells_what_runs_and_waits)
{
	struct gate_request requests[3];
	struct gate gate;
	json_t *dump;
	int i;

	gate_init(&gate, &two_slots);
	gate_set_state(&gate, GATE_OPEN, 0);
	for (i = 0; i < 3; i++) {
		struct gate_step step = { .tenant = "a",
					  .weight = 1,
					  .deadline_ms = 100 };

		set_request(&requests[i], &step);
		gate_offer(&gate, &requests[i], 0);
	}
	dump = gate_dump(&gate, 0);
	cr_assert_not_null(dump);
	cr_assert_eq(json_integer_value(json_object_get(dump, "running")), 2);
	cr_assert_eq(json_integer_value(json_object_get(dump, "waiting")), 1);
	json_decref(dump);
}
