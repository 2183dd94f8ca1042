#include <criterion/criterion.h>
#include <stdio.h>
#include <string.h>

#include "gate/gate.h"

enum { MS = 1000, REQUESTS_MAX = 64 };

static struct gate gate;
static struct gate_request requests[REQUESTS_MAX];
static int64_t now_us;

/* A gate of one slot that has learned that each kind takes 100 ms. */
static void setup(void)
{
	const struct gate_options options = {
		.slots = 1, .queue_max = 100, .fair = true, .strict = true
	};
	int i;

	now_us = 1000 * 1000;
	gate_init(&gate, &options);
	gate_set_state(&gate, GATE_OPEN, 0);
	for (i = 0; i < 20; i++) {
		struct gate_request *request = &requests[0];

		memset(request, 0, sizeof(*request));
		snprintf(request->kind, sizeof(request->kind), "k");
		request->weight = i % 2 ? 100 : 10;
		request->deadline_us = now_us + 1000 * MS;
		cr_assert_eq(gate_offer(&gate, request, now_us), GATE_ADMITTED);
		now_us += 100 * MS;
		gate_done(&gate, request, GATE_OK, 100 * MS, now_us);
	}
}

static enum gate_decision offer(int place, double weight, int64_t left_ms)
{
	struct gate_request *request = &requests[place];

	memset(request, 0, sizeof(*request));
	snprintf(request->kind, sizeof(request->kind), "k");
	request->weight = weight;
	request->deadline_us = now_us + left_ms * MS;
	return gate_offer(&gate, request, now_us);
}

static int next_place(void)
{
	struct gate_request *request;

	cr_assert_null(gate_next_refused(&gate, now_us));
	request = gate_next(&gate, now_us);
	return request ? (int)(request - requests) : -1;
}

static void finish(int place)
{
	now_us += 100 * MS;
	gate_done(&gate, &requests[place], GATE_OK, 100 * MS, now_us);
}

Test(strict, rank_goes_before_order_and_deadline, .init = setup)
{
	cr_assert_eq(offer(1, 10, 2000), GATE_ADMITTED);
	cr_assert_eq(offer(2, 10, 900), GATE_QUEUED);
	cr_assert_eq(offer(3, 100, 2000), GATE_QUEUED);
	cr_assert_eq(offer(4, 100, 1500), GATE_QUEUED);
	finish(1);
	cr_expect_eq(next_place(), 4);
	finish(4);
	cr_expect_eq(next_place(), 3);
	finish(3);
	cr_expect_eq(next_place(), 2);
	finish(2);
	cr_expect_eq(next_place(), -1);
}

/*
 * Symptom: under overload nearly all answers come too late to be worth
 * anything, though the upstream is busy with nothing else.
 * Sequence: more comes than can be answered; each waits as long as it may.
 * Cause: requests let in that could no longer be answered in time, before
 * those that could.
 */
Test(strict, what_cannot_be_answered_in_time_is_refused_at_once, .init = setup)
{
	cr_assert_eq(offer(1, 10, 2000), GATE_ADMITTED);
	cr_assert_eq(offer(2, 10, 220), GATE_QUEUED);
	cr_expect_eq(offer(3, 10, 230), GATE_REFUSED);
	cr_expect_eq(requests[3].refusal, GATE_REFUSED_LATE);
	cr_expect_gt(requests[3].retry_after_ms, 0);
	/* It waits for nobody of a lower rank. */
	cr_expect_eq(offer(4, 100, 250), GATE_QUEUED);
	finish(1);
	cr_expect_eq(next_place(), 4);
	finish(4);
	/* The other one now cannot be met any more. */
	cr_expect_eq(gate_next_refused(&gate, now_us), &requests[2]);
	cr_expect_null(gate_next(&gate, now_us));
}

/* A kind's service time is known for all its weights. */
Test(strict, service_times_are_learned_for_the_kind, .init = setup)
{
	cr_assert_eq(offer(1, 10, 2000), GATE_ADMITTED);
	cr_expect_eq(offer(2, 5, 150), GATE_REFUSED);
	cr_expect_eq(offer(3, 5, 250), GATE_QUEUED);
	finish(1);
	cr_expect_eq(next_place(), 3);
	finish(3);
}

/*
 * Symptom: a request waits at one gate while others of its service are free; or
 * one that would start in a moment is sent away.
 * Sequence: the slot has 60 ms left to run; a request comes whose caller had
 * rather look elsewhere than wait for so long.
 * Cause: a gate that knows deadlines alone.
 */
Test(gate_strict, the_patience_of_a_request, .init = setup)
{
	static const struct {
		const char *name;
		int64_t wait_max_us;
		enum gate_decision answer;
		enum gate_refusal refusal;
	} cases[] = {
		{ "none of its own", 0, GATE_QUEUED, GATE_REFUSED_NONE },
		{ "longer than the wait", 80 * MS, GATE_QUEUED,
		  GATE_REFUSED_NONE },
		{ "shorter", 20 * MS, GATE_REFUSED, GATE_REFUSED_BUSY },
	};
	size_t i;

	cr_assert_eq(offer(0, 10, 1000), GATE_ADMITTED);
	now_us += 40 * MS;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct gate_request *request = &requests[1];

		memset(request, 0, sizeof(*request));
		snprintf(request->kind, sizeof(request->kind), "k");
		request->weight = 10;
		request->deadline_us = now_us + 1000 * MS;
		request->wait_max_us = cases[i].wait_max_us;
		cr_expect_eq(gate_offer(&gate, request, now_us),
			     cases[i].answer, "%s", cases[i].name);
		cr_expect_eq(request->refusal, cases[i].refusal, "%s",
			     cases[i].name);
		gate_cancel(&gate, request, now_us);
	}
	gate_cancel(&gate, &requests[0], now_us);
}
