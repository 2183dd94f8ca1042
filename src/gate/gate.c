#include "gate/gate.h"

#include <assert.h>
#include <string.h>

#include <utlist.h>

#include "gate/forecast.h"
#include "gate/scheduler.h"

/* Pace from which a machine counts as slow. */
#define SLOW_FACTOR 1.5

enum { CLOSED_RETRY_AFTER_MS = 1000, PEAK_DECAY_US = 10 * 1000 * 1000 };

void gate_init(struct gate *gate, const struct gate_options *options)
{
	memset(gate, 0, sizeof(*gate));
	gate->options = *options;
	limit_init(&gate->limit, options->slots, options->cold_start_us);
	rate_init(&gate->rate);
	gate->start_until_us = INT64_MAX;
}

void gate_finish(struct gate *gate)
{
	assert(!gate->running_count && !gate->waiting_count);
	assert(!gate->evicted);
}

void gate_set_slots(struct gate *gate, uint32_t slots)
{
	limit_set_slots(&gate->limit, slots);
}

void gate_clear_rate_limit(struct gate *gate)
{
	rate_clear(&gate->rate);
}

void gate_set_cold_start(struct gate *gate, int64_t cold_start_us)
{
	gate->limit.cold_start_us = cold_start_us;
}

static void refuse(struct gate *gate, struct gate_request *request,
		   enum gate_refusal refusal, int64_t now_us)
{
	request->refusal = refusal;
	gate->totals.refused[refusal]++;
	switch (refusal) {
	case GATE_REFUSED_CLOSED:
		request->retry_after_ms = CLOSED_RETRY_AFTER_MS;
		break;
	case GATE_REFUSED_LEAVING:
		request->retry_after_ms = 0;
		break;
	default:
		request->retry_after_ms = forecast_retry_after_ms(gate, now_us);
		break;
	}
}

static struct gate_class *class_of(struct gate *gate,
				   const struct gate_request *request)
{
	return &gate->classes[request->class_index];
}

/* Recent maximum of concurrent requests of weight > 0, which decays to 0. */
static double decayed_peak(const struct gate *gate, int64_t now_us)
{
	double decay = gate->limit.slots * (double)(now_us - gate->peak_at_us) /
		       PEAK_DECAY_US;

	return gate->peak > decay ? gate->peak - decay : 0;
}

static void update_peak(struct gate *gate, int64_t now_us)
{
	double running = gate->running_count - gate->background_count;

	if (running < decayed_peak(gate, now_us))
		return;
	gate->peak = running;
	gate->peak_at_us = now_us;
}

/*
 * Background requests leave slots free for weighted requests: as many as ran
 * concurrently of late, but at most half of the limit. Otherwise weighted
 * requests would find all slots taken and wait for a whole service time of a
 * long background request, although they start before all queued requests.
 * Without weighted requests, background requests may use all slots.
 */
static bool background_may_run(const struct gate *gate, int64_t now_us)
{
	double limit = gate_limit(gate, now_us);
	double kept_free = decayed_peak(gate, now_us);

	if (kept_free > limit / 2)
		kept_free = limit / 2;
	return gate->background_count < limit - kept_free;
}

/* Returns true if the limits of concurrency and of the rate allow a start. */
static bool may_start(const struct gate *gate, int64_t now_us)
{
	return gate->running_count < gate_limit(gate, now_us) &&
	       rate_ready_us(&gate->rate, now_us) <= now_us;
}

/* Returns the queued request that may start now, or NULL. */
static struct gate_request *choose(const struct gate *gate, int64_t now_us)
{
	bool background = !gate->options.fair ||
			  background_may_run(gate, now_us);

	if (gate->state == GATE_CLOSED || now_us >= gate->start_until_us ||
	    !may_start(gate, now_us))
		return NULL;
	return scheduler_choose(gate, background);
}

static void start(struct gate *gate, struct gate_request *request,
		  int64_t now_us)
{
	double estimate_us =
		forecast_service_us(gate, class_of(gate, request), now_us);

	scheduler_dequeue(gate, request);
	scheduler_start(gate, request, estimate_us);
	rate_take(&gate->rate, now_us);
	request->started_us = now_us;
	update_peak(gate, now_us);
}

static bool queue_full(const struct gate *gate,
		       const struct gate_request *request)
{
	const struct gate_class *class = &gate->classes[request->class_index];

	if (gate->waiting_count >= gate->options.queue_max)
		return true;
	return gate->options.fair && request->queue_max &&
	       class->waiting_count >= request->queue_max;
}

/* Returns why a request is refused instead of queued, or NONE. */
static enum gate_refusal refusal_of_wait(const struct gate *gate,
					 const struct gate_request *request,
					 int64_t now_us)
{
	double wait_us;
	double start_us;

	if (!gate->options.fair)
		return GATE_REFUSED_NONE;
	wait_us = forecast_wait_us(gate, request, now_us);
	if (request->wait_max_us && wait_us > (double)request->wait_max_us)
		return GATE_REFUSED_BUSY;
	start_us = (double)now_us + wait_us;
	if (start_us <= (double)forecast_start_by_us(gate, request, now_us))
		return GATE_REFUSED_NONE;
	return scheduler_exceeds_share(gate, request) ? GATE_REFUSED_SHARE
						      : GATE_REFUSED_LATE;
}

/* Evicts a request if the queue is full. Returns why @request is refused if
 * there is no request to evict, or NONE. */
static enum gate_refusal evict_if_full(struct gate *gate,
				       const struct gate_request *request,
				       int64_t now_us)
{
	struct gate_request *victim = NULL;

	if (!queue_full(gate, request))
		return GATE_REFUSED_NONE;
	if (gate->options.fair)
		victim = scheduler_victim(gate, request);
	if (!victim)
		return gate->options.fair &&
				       scheduler_exceeds_share(gate, request)
			       ? GATE_REFUSED_SHARE
			       : GATE_REFUSED_FULL;
	scheduler_dequeue(gate, victim);
	victim->phase = GATE_WAITING;
	refuse(gate, victim, GATE_REFUSED_SHARE, now_us);
	DL_APPEND(gate->evicted, victim);
	return GATE_REFUSED_NONE;
}

/* Returns why a queued request that cannot start in time is refused. */
static enum gate_refusal refusal_of_queued(const struct gate *gate)
{
	if (gate->state == GATE_CLOSED)
		return GATE_REFUSED_CLOSED;
	return gate->start_until_us < INT64_MAX ? GATE_REFUSED_LEAVING
						: GATE_REFUSED_LATE;
}

/* Returns the queued request of a class that starts last. */
static struct gate_request *last_of(const struct gate_class *class)
{
	return class->waiting ? class->waiting->prev : NULL;
}

/* Refuses queued requests of a class that cannot start in time, beginning with
 * the one that starts last: each refusal shortens the wait of the others. */
static void refuse_late(struct gate *gate, struct gate_class *class,
			int64_t now_us)
{
	struct gate_request *request;

	while ((request = last_of(class))) {
		double start_us =
			(double)now_us +
			forecast_queued_wait_us(gate, request, now_us);

		if (start_us <=
		    (double)forecast_start_by_us(gate, request, now_us))
			return;
		scheduler_dequeue(gate, request);
		request->phase = GATE_WAITING;
		refuse(gate, request, refusal_of_queued(gate), now_us);
		DL_APPEND(gate->evicted, request);
	}
}

static void begin_leaving(struct gate *gate, int64_t now_us)
{
	uint32_t i;

	if (!gate->options.start_after_leaving_us)
		return;
	gate->start_until_us = now_us + gate->options.start_after_leaving_us;
	for (i = 0; gate->options.fair && i < gate->class_count; i++)
		refuse_late(gate, &gate->classes[i], now_us);
}

void gate_set_state(struct gate *gate, enum gate_state state, int64_t since_us)
{
	bool leaving = gate->state == GATE_LEAVING;

	if (state == GATE_OPEN && gate->state == GATE_CLOSED)
		limit_start(&gate->limit, since_us);
	gate->state = state;
	if (state != GATE_LEAVING)
		gate->start_until_us = INT64_MAX;
	else if (!leaving)
		begin_leaving(gate, since_us);
}

void gate_set_rate_limit(struct gate *gate, double per_s, int64_t now_us)
{
	bool lower = !gate->rate.limited || per_s < gate->rate.per_s;
	uint32_t i;

	rate_set(&gate->rate, per_s, now_us);
	for (i = 0; lower && gate->options.fair && i < gate->class_count; i++)
		refuse_late(gate, &gate->classes[i], now_us);
}

static enum gate_refusal
try_enqueue(struct gate *gate, struct gate_request *request, int64_t now_us)
{
	enum gate_refusal refusal = refusal_of_wait(gate, request, now_us);

	if (refusal == GATE_REFUSED_NONE)
		refusal = evict_if_full(gate, request, now_us);
	if (refusal == GATE_REFUSED_NONE)
		scheduler_enqueue(gate, request);
	return refusal;
}

/* Returns whether a slot is free and no other request is queued. */
static bool can_start_now(struct gate *gate, struct gate_request *request,
			  int64_t now_us)
{
	bool weighted = !gate->options.fair || request->weight > 0;

	if (!may_start(gate, now_us) || request->deadline_us <= now_us)
		return false;
	if (!weighted && !background_may_run(gate, now_us))
		return false;
	return !gate->waiting_count;
}

static enum gate_refusal state_refusal(const struct gate *gate)
{
	switch (gate->state) {
	case GATE_CLOSED:
		return GATE_REFUSED_CLOSED;
	case GATE_LEAVING:
		return GATE_REFUSED_LEAVING;
	case GATE_OPEN:
		break;
	}
	return GATE_REFUSED_NONE;
}

/*
 * Returns why a request is not started although a slot is free. On a machine
 * that is slow now, its answer would come later than that of another machine.
 * Sign: answers that are late while nothing waits anywhere.
 */
static enum gate_refusal refusal_of_pace(const struct gate *gate,
					 const struct gate_request *request,
					 int64_t now_us)
{
	if (pace_factor(&gate->pace, now_us) < SLOW_FACTOR)
		return GATE_REFUSED_NONE;
	if (request->wait_max_us)
		return GATE_REFUSED_BUSY;
	return gate->options.fair && forecast_start_by_us(gate, request,
							  now_us) < now_us
		       ? GATE_REFUSED_LATE
		       : GATE_REFUSED_NONE;
}

enum gate_decision gate_offer(struct gate *gate, struct gate_request *request,
			      int64_t now_us)
{
	enum gate_refusal refusal = state_refusal(gate);

	request->phase = GATE_IDLE;
	request->arrived_us = now_us;
	request->refusal = GATE_REFUSED_NONE;
	request->retry_after_ms = 0;
	if (refusal != GATE_REFUSED_NONE) {
		refuse(gate, request, refusal, now_us);
		return GATE_REFUSED;
	}
	scheduler_classify(gate, request);
	refusal = refusal_of_pace(gate, request, now_us);
	if (refusal != GATE_REFUSED_NONE) {
		refuse(gate, request, refusal, now_us);
		return GATE_REFUSED;
	}
	if (can_start_now(gate, request, now_us)) {
		scheduler_enqueue(gate, request);
		start(gate, request, now_us);
		gate->totals.admitted++;
		return GATE_ADMITTED;
	}
	refusal = try_enqueue(gate, request, now_us);
	if (refusal != GATE_REFUSED_NONE) {
		refuse(gate, request, refusal, now_us);
		return GATE_REFUSED;
	}
	gate->totals.queued++;
	return GATE_QUEUED;
}

/*
 * With trust_slots the limit is not adjusted. If an upstream can run as many
 * requests as it announces slots, apparent signs of overload have other
 * causes: lost answers, random rejects, a few long requests. A limit that
 * follows these signs would leave slots unused while requests are refused.
 */
static void update_limit(struct gate *gate, enum gate_outcome outcome,
			 const struct limit_sample *sample)
{
	if (gate->options.trust_slots)
		return;
	switch (outcome) {
	case GATE_OK:
		limit_answered(&gate->limit, sample);
		break;
	case GATE_SHED:
		limit_shed(&gate->limit, sample);
		break;
	case GATE_FAILED:
		limit_failed(&gate->limit, sample);
		break;
	case GATE_TIMED_OUT:
		limit_timed_out(&gate->limit, sample);
		break;
	case GATE_CANCELLED:
	case GATE_OUTCOMES:
		break;
	}
}

static void update_estimates(struct gate *gate,
			     const struct gate_request *request,
			     enum gate_outcome outcome, int64_t service_us,
			     int64_t now_us)
{
	struct gate_class *class = class_of(gate, request);
	struct limit_sample sample = { .running = gate->running_count,
				       .started_us = request->started_us,
				       .now_us = now_us };

	if (class->best_us > 0)
		sample.slowdown = (double)service_us / class->best_us;
	if (outcome == GATE_OK)
		forecast_add_sample(gate, class, service_us, now_us);
	else if (outcome == GATE_TIMED_OUT)
		forecast_add_lower_bound(gate, class, service_us, now_us);
	update_limit(gate, outcome, &sample);
}

void gate_done(struct gate *gate, struct gate_request *request,
	       enum gate_outcome outcome, int64_t service_us, int64_t now_us)
{
	assert(request->phase == GATE_RUNNING);
	update_estimates(gate, request, outcome, service_us, now_us);
	scheduler_end(gate, request, (double)(now_us - request->started_us));
	gate->totals.ended[outcome]++;
}

static bool is_evicted(const struct gate_request *request)
{
	return request->phase == GATE_WAITING &&
	       request->refusal != GATE_REFUSED_NONE;
}

void gate_cancel(struct gate *gate, struct gate_request *request,
		 int64_t now_us)
{
	switch (request->phase) {
	case GATE_RUNNING:
		gate_done(gate, request, GATE_CANCELLED, 0, now_us);
		break;
	case GATE_WAITING:
		if (is_evicted(request))
			DL_DELETE(gate->evicted, request);
		else
			scheduler_dequeue(gate, request);
		request->phase = GATE_IDLE;
		break;
	case GATE_IDLE:
		break;
	}
}

struct gate_request *gate_next(struct gate *gate, int64_t now_us)
{
	struct gate_request *request = choose(gate, now_us);

	if (request)
		start(gate, request, now_us);
	return request;
}

/* Returns when a queued request is to be refused. */
static int64_t refuse_at_us(const struct gate *gate,
			    const struct gate_request *request, int64_t now_us)
{
	if (gate->state == GATE_CLOSED)
		return now_us;
	if (!gate->options.fair)
		return request->deadline_us < gate->start_until_us
			       ? request->deadline_us
			       : gate->start_until_us;
	return forecast_give_up_us(gate, request, now_us);
}

/* Returns the queued request of a class that is the first to be refused: the
 * head, since the queue is ordered by deadline and all requests of a class have
 * the same expected service time. Without fairness the queue is ordered by
 * arrival, so all requests are compared. */
static struct gate_request *first_to_refuse(const struct gate *gate,
					    const struct gate_class *class)
{
	struct gate_request *first = class->waiting;
	struct gate_request *request;

	if (gate->options.fair)
		return first;
	DL_FOREACH(class->waiting, request) {
		if (request->deadline_us < first->deadline_us)
			first = request;
	}
	return first;
}

struct gate_request *gate_next_refused(struct gate *gate, int64_t now_us)
{
	struct gate_request *request = gate->evicted;
	uint32_t i;

	if (request) {
		DL_DELETE(gate->evicted, request);
		request->phase = GATE_IDLE;
		return request;
	}
	for (i = 0; i < gate->class_count; i++) {
		request = first_to_refuse(gate, &gate->classes[i]);
		if (!request || refuse_at_us(gate, request, now_us) > now_us)
			continue;
		scheduler_dequeue(gate, request);
		refuse(gate, request, refusal_of_queued(gate), now_us);
		return request;
	}
	return NULL;
}

int64_t gate_wake_us(const struct gate *gate, int64_t now_us)
{
	int64_t wake_us = INT64_MAX;
	uint32_t i;

	if (gate->evicted)
		return now_us;
	if (gate->waiting_count)
		wake_us = limit_step_us(&gate->limit, now_us);
	if (gate->waiting_count && gate->state != GATE_CLOSED &&
	    gate->running_count < gate_limit(gate, now_us)) {
		int64_t ready_us = rate_ready_us(&gate->rate, now_us);

		if (ready_us > now_us && ready_us < wake_us)
			wake_us = ready_us;
	}
	for (i = 0; i < gate->class_count; i++) {
		const struct gate_request *request =
			first_to_refuse(gate, &gate->classes[i]);
		int64_t at_us;

		if (!request)
			continue;
		at_us = refuse_at_us(gate, request, now_us);
		if (at_us < wake_us)
			wake_us = at_us;
	}
	return wake_us;
}

void gate_set_work_pct(struct gate *gate, uint32_t work_pct, int64_t now_us)
{
	pace_set(&gate->pace, work_pct, now_us);
}

uint32_t gate_work_pct(const struct gate *gate, int64_t now_us)
{
	return pace_work_pct(&gate->pace, now_us);
}

uint32_t gate_usual_us(const struct gate *gate, const char *kind)
{
	uint32_t i;

	for (i = 0; i < gate->class_count; i++)
		if (!strcmp(gate->classes[i].kind, kind))
			return (uint32_t)forecast_usual_us(gate,
							   &gate->classes[i]);
	return 0;
}

double gate_load(const struct gate *gate)
{
	return (double)(gate->running_count + gate->waiting_count) /
	       gate->limit.slots;
}

double gate_usable_share(const struct gate *gate)
{
	double interval_us = rate_interval_us(&gate->rate);
	double share;

	if (interval_us <= 0)
		return 1;
	share = gate->service_us / interval_us / gate->limit.slots;
	return share < 1 ? share : 1;
}

uint32_t gate_limit(const struct gate *gate, int64_t now_us)
{
	return limit_at(&gate->limit, now_us);
}

const char *gate_refusal_name(enum gate_refusal refusal)
{
	static const char *const names[] = { "none", "closed", "leaving",
					     "full", "late",   "share",
					     "busy" };

	return names[refusal];
}

const char *gate_state_name(enum gate_state state)
{
	static const char *const names[] = { "closed", "open", "leaving" };

	return names[state];
}
