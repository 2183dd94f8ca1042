#include "call/held_answer.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

#include "base/counter.h"
#include "base/log.h"
#include "call/head_of_line.h"
#include "call/outbound_call.h"
#include "os/clock.h"

static const char component[] = "call";

COUNTER(held_count, "call.answers_held",
	"Answers that waited for an earlier request on their connection");
COUNTER(late_count, "call.answers_held_late",
	"Answers that were ready in time and late after that wait");
COUNTER(lost_count, "call.answers_held_lost",
	"Answers whose caller hung up during that wait");
COUNTER(ended_count, "call.heads_ended",
	"Calls ended so that answers behind them leave in time");
HISTOGRAM(held_time, "call.held_us",
	  "Time of that wait, from the ready answer to its turn");

/* Least share of attempts at the upstreams of a head that find a free slot.
 * With a lower share nearly all gates are full. */
#define ROOM_SHARE_MIN 0.3

enum { HEADS_MAX = 32, STATUS_SERVER_ERROR = 500 };

/**
 * struct held_answer - an answer that waits for its turn
 * @caller: outbound side
 * @exchange: exchange with the caller
 * @check: timer of the next decision on the requests before it
 * @request_id: request that is answered
 * @ahead_id: earlier request of the connection that had no answer yet
 * @status: HTTP status of the upstream's answer; 0 without an answer
 * @value: what the answer is worth, and until when
 * @ready_us: when the answer was ready
 */
struct held_answer {
	struct caller *caller;
	struct http_exchange *exchange;
	struct timer check;
	struct head_of_line_held value;
	char request_id[REQUEST_ID_SIZE];
	char ahead_id[REQUEST_ID_SIZE];
	char service[SERVICE_NAME_SIZE];
	char kind[KIND_NAME_SIZE];
	char tenant[TENANT_SIZE];
	uint32_t status;
	int64_t ready_us;
};

/* Returns how late an answer is at a time, in microseconds. */
static int64_t late_at_us(const struct held_answer *held, int64_t at_us)
{
	int64_t due_us = held->value.due_us;

	return due_us && at_us > due_us ? at_us - due_us : 0;
}

static void count_turn(const struct held_answer *held, bool sent,
		       int64_t now_us)
{
	counter_add(&held_count, 1);
	histogram_add(&held_time, now_us - held->ready_us);
	if (!sent)
		counter_add(&lost_count, 1);
	else if (late_at_us(held, now_us) && !late_at_us(held, held->ready_us))
		counter_add(&late_count, 1);
}

static void turn_came(bool sent, void *data)
{
	struct held_answer *held = data;
	int64_t now_us = clock_monotonic_us();
	const struct log_field fields[] = {
		LOG_TEXT("request", held->request_id),
		LOG_TEXT("end", sent ? "sent" : "hung-up"),
		LOG_TEXT("ahead", held->ahead_id),
		LOG_TEXT("service", held->service),
		LOG_TEXT("kind", held->kind),
		LOG_TEXT("tenant", *held->tenant ? held->tenant : NULL),
		LOG_NUMBER("status", held->status),
		LOG_NUMBER("held_ms", (now_us - held->ready_us) / US_PER_MS),
		LOG_NUMBER("late_ms", late_at_us(held, now_us) / US_PER_MS),
		LOG_NUMBER("ready_late_ms",
			   late_at_us(held, held->ready_us) / US_PER_MS),
	};

	timer_cancel(held->caller->options.loop, &held->check);
	count_turn(held, sent, now_us);
	log_request(sent && !late_at_us(held, now_us) ? LOG_ORDINARY
						      : LOG_OUTCOME,
		    component, "answer_held", fields,
		    sizeof(fields) / sizeof(fields[0]));
	free(held);
}

static struct call *call_of(const struct caller *caller,
			    const struct http_exchange *exchange)
{
	struct call *call;

	DL_FOREACH(caller->calls, call)
		if (call->exchange == exchange)
			return call;
	return NULL;
}

static double loss_of(const struct call *call, int64_t now_us)
{
	const struct pool *pool = call->match.pool;
	const struct head_of_line_head head = {
		.repeatable = call->kind->repeatable,
		.repeated = call->may_be_repeat,
		.has_room = pool->free_slot_share >= ROOM_SHARE_MIN,
		.weight = call->parsed.context.weight,
		.started_us = call->started_us,
		.due_us = call->placement.due_us,
		.deadline_us = call->parsed.context.deadline_us,
	};

	return head_of_line_loss(&head, now_us);
}

/* Finds the calls before a held answer.
 * Return: the sum of the losses if they are ended; INFINITY if they cannot. */
static double find_heads(const struct held_answer *held, struct call **heads,
			 size_t *count, int64_t now_us)
{
	const struct http_exchange *ahead = NULL;
	double loss = 0;

	*count = 0;
	while ((ahead = http_exchange_ahead(held->exchange, ahead))) {
		struct call *call = call_of(held->caller, ahead);

		if (!call || *count == HEADS_MAX)
			return INFINITY;
		loss += loss_of(call, now_us);
		heads[(*count)++] = call;
	}
	return loss;
}

static void end_heads(struct call **heads, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		counter_add(&ended_count, 1);
		call_step_reason(heads[i], ATTEMPT_EVENT_GIVE_UP,
				 CALL_HOLDS_OTHERS);
	}
}

/* Each caller's repeat is a further run. */
static bool take_tokens(struct retry_budget *budget, size_t count)
{
	if (budget->tokens < (double)count)
		return false;
	budget->tokens -= (double)count;
	return true;
}

static void set_check(struct held_answer *held, int64_t now_us)
{
	int64_t at_us = head_of_line_check_us(&held->value, now_us);

	if (held->caller->options.end_heads && at_us != INT64_MAX)
		timer_set(held->caller->options.loop, &held->check, at_us);
}

static void check_expired(struct timer *timer, void *data)
{
	struct held_answer *held = data;
	int64_t now_us = clock_monotonic_us();
	struct call *heads[HEADS_MAX];
	size_t count;
	double loss = find_heads(held, heads, &count, now_us);

	if (!held->caller->options.end_heads)
		return;
	if (head_of_line_gain(&held->value, now_us) <= loss ||
	    !take_tokens(&held->caller->head_budget, count)) {
		set_check(held, now_us);
		return;
	}
	/* Frees the held answer, whose turn comes with the last of them. */
	end_heads(heads, count);
}

void held_answer_watch(const struct call *call, uint32_t status)
{
	const struct http_exchange *ahead =
		http_exchange_ahead(call->exchange, NULL);
	const char *id_name = call->caller->options.names->request_id;
	struct held_answer *held;
	const char *ahead_id;

	if (!ahead)
		return;
	held = calloc(1, sizeof(*held));
	if (!held)
		abort();
	ahead_id = id_name ? http_exchange_header(ahead, id_name) : NULL;
	snprintf(held->ahead_id, sizeof(held->ahead_id), "%s",
		 ahead_id ? ahead_id : "");
	memcpy(held->request_id, call->parsed.context.request_id,
	       sizeof(held->request_id));
	memcpy(held->service, call->parsed.service, sizeof(held->service));
	memcpy(held->kind, call->parsed.context.kind, sizeof(held->kind));
	if (call->match.tenant)
		memcpy(held->tenant, call->match.tenant->name,
		       sizeof(held->tenant));
	held->status = status;
	held->caller = call->caller;
	held->exchange = call->exchange;
	held->value.weight = call->parsed.context.weight;
	held->value.due_us = call->placement.due_us;
	held->value.deadline_us = call->parsed.context.deadline_us;
	held->ready_us = clock_monotonic_us();
	timer_init(&held->check, check_expired, held);
	if (status && status < STATUS_SERVER_ERROR)
		set_check(held, held->ready_us);
	http_exchange_on_turn(call->exchange, turn_came, held);
}
