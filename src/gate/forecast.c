#include "gate/forecast.h"

#include <math.h>
#include <string.h>

#include <utlist.h>

#include "gate/scheduler.h"

/* Weight of one sample in the moving averages. */
#define SERVICE_WEIGHT (1.0 / 8)

/* Mean deviations kept free before a deadline: a request that is started on
 * its average time comes late every other time, and its slot is lost. Where
 * weights go strictly by rank, a late answer still counts for something. */
#define SPREADS 1.5
#define SPREADS_STRICT 0.5

/* Time over which longer service times become the best that is known. */
enum { BEST_RISE_US = 30 * 1000 * 1000 };
enum { LONG_AVERAGE_SAMPLES = 64 };
enum { STALE_US = 2 * 1000 * 1000, STALE_HALVINGS_MAX = 20 };

/*
 * Of an average over many requests: the shortest ones of a class, and the
 * least of an average over few, say little about what is usual for it. Where
 * service times vary much, a healthy upstream would look twice as slow; and
 * while the best rose from there, any trial would seem to gain.
 */
static void learn_best(struct gate_class *class, int64_t now_us)
{
	double gap = class->long_average_us - class->best_us;
	double rise = (double)(now_us - class->sample_at_us) / BEST_RISE_US;

	if (class->samples < LONG_AVERAGE_SAMPLES)
		return;
	if (class->best_us <= 0) {
		class->best_us = class->long_average_us;
		return;
	}
	class->best_us += gap < 0 || rise > 1 ? gap : gap * rise;
}

static void learn_service(struct gate_class *class, double sample,
			  int64_t now_us)
{
	double gap = sample - class->service_us;

	if (class->samples < LONG_AVERAGE_SAMPLES)
		class->samples++;
	class->long_average_us +=
		(sample - class->long_average_us) / class->samples;
	if (!class->sample_at_us) {
		class->service_us = sample;
		return;
	}
	class->service_us += gap * SERVICE_WEIGHT;
	class->spread_us += (fabs(gap) - class->spread_us) * SERVICE_WEIGHT;
	learn_best(class, now_us);
}

/* Classes of one kind differ in weight only: the upstream takes as long. */
static void learn_kind(struct gate *gate, const char *kind, double sample,
		       int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		struct gate_class *class = &gate->classes[i];

		if (strcmp(class->kind, kind) != 0)
			continue;
		learn_service(class, sample, now_us);
		class->sample_at_us = now_us ? now_us : 1;
	}
}

void forecast_add_sample(struct gate *gate, struct gate_class *class,
			 int64_t service_us, int64_t now_us)
{
	double sample = service_us > 0 ? (double)service_us : 1;

	if (gate->service_us <= 0)
		gate->service_us = sample;
	gate->service_us += (sample - gate->service_us) * SERVICE_WEIGHT;
	learn_kind(gate, class->kind, sample, now_us);
}

void forecast_add_lower_bound(struct gate *gate, struct gate_class *class,
			      int64_t least_us, int64_t now_us)
{
	if ((double)least_us > class->service_us)
		forecast_add_sample(gate, class, least_us, now_us);
}

/*
 * An estimate that nothing feeds fades. A class whose requests are all
 * refused as late would never run again, and so never show that the upstream
 * has become fast enough for it: one would see refusals that do not end after
 * the cause is over.
 */
static double fade(const struct gate_class *class, int64_t now_us)
{
	int64_t halvings = (now_us - class->sample_at_us) / STALE_US;

	if (halvings <= 0)
		return 1;
	if (halvings > STALE_HALVINGS_MAX)
		halvings = STALE_HALVINGS_MAX;
	return 1.0 / (double)(1 << halvings);
}

double forecast_service_us(const struct gate *gate,
			   const struct gate_class *class, int64_t now_us)
{
	if (!class->sample_at_us)
		return gate->service_us;
	return class->service_us * fade(class, now_us);
}

int64_t forecast_start_by_us(const struct gate *gate,
			     const struct gate_request *request, int64_t now_us)
{
	const struct gate_class *class = &gate->classes[request->class_index];

	double service_us = forecast_service_us(gate, class, now_us);
	double margin_us = class->spread_us * fade(class, now_us);

	return request->deadline_us -
	       (int64_t)(service_us +
			 (gate->options.strict ? SPREADS_STRICT : SPREADS) *
				 margin_us);
}

/* When a running request was expected to end as it began. */
static int64_t due_us(const struct gate_request *request)
{
	return request->started_us + (int64_t)request->charged_us;
}

int64_t forecast_free_us(const struct gate *gate, int64_t now_us)
{
	const struct gate_request *request;
	int64_t free_us = INT64_MAX;

	if (gate->running_count < gate_limit(gate, now_us))
		return now_us;
	DL_FOREACH(gate->running, request) {
		int64_t end_us = due_us(request);

		if (end_us < now_us)
			end_us = now_us + (now_us - end_us);
		if (end_us < free_us)
			free_us = end_us;
	}
	return free_us;
}

int64_t forecast_give_up_us(const struct gate *gate,
			    const struct gate_request *request, int64_t now_us)
{
	int64_t start_by_us = forecast_start_by_us(gate, request, now_us);
	const struct gate_request *running;
	int64_t last_us = INT64_MIN;

	if (gate->running_count < gate_limit(gate, now_us))
		return start_by_us + 1;
	/* One that is late at a moment t frees its slot at 2 t - due; that is
	 * too late once t is past the middle of due and start_by. */
	DL_FOREACH(gate->running, running) {
		int64_t end_us = due_us(running);
		int64_t middle_us = end_us + (start_by_us - end_us) / 2;

		if (end_us <= start_by_us && middle_us > last_us)
			last_us = middle_us;
	}
	if (last_us == INT64_MIN)
		return now_us;
	return last_us + 1;
}

/* Slot time of what waits; for weighted requests without the background. */
static double waiting_work_us(const struct gate *gate, bool background,
			      int64_t now_us)
{
	double work_us = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (!class->waiting_count ||
		    (!background && class->weight <= 0))
			continue;
		work_us += class->waiting_count *
			   forecast_service_us(gate, class, now_us);
	}
	return work_us;
}

/* Share of the slots that a level gets while those that wait now compete. */
static double level_share(const struct gate *gate, uint32_t level_index)
{
	const struct gate_level *own = &gate->levels[level_index];
	double sum = own->weight;
	uint32_t i;

	if (own->weight <= 0)
		return 1;
	for (i = 0; i < gate->level_count; i++) {
		if (i != level_index && gate->levels[i].waiting_count)
			sum += gate->levels[i].weight;
	}
	return own->weight / sum;
}

/* Slot time of the same tenant's requests that go before in one class. */
static double flow_ahead_us(const struct gate *gate,
			    const struct gate_class *class,
			    const struct gate_request *request, int64_t now_us)
{
	const struct gate_request *other;
	uint32_t ahead = 0;

	DL_FOREACH(class->waiting, other) {
		if (other->deadline_us > request->deadline_us)
			break;
		ahead += other->tenant_index == request->tenant_index;
	}
	if (!ahead)
		return 0;
	return ahead * forecast_service_us(gate, class, now_us);
}

/* Slot time of all that waits in one level. */
static double level_work_us(const struct gate *gate, uint32_t level,
			    int64_t now_us)
{
	double work_us = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->level == level && class->waiting_count)
			work_us += class->waiting_count *
				   forecast_service_us(gate, class, now_us);
	}
	return work_us;
}

/* Slot time that goes before if the tenant and the level get no more than
 * their shares. The other tenants cannot go before with more than they have
 * waiting: one that sends much would otherwise be refused while the rest of
 * its level is idle. */
static double own_work_us(const struct gate *gate,
			  const struct gate_request *request, int64_t now_us)
{
	uint32_t level = gate->classes[request->class_index].level;
	struct scheduler_backlog backlog;
	double level_us;
	double work_us = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		if (gate->classes[i].level == level)
			work_us += flow_ahead_us(gate, &gate->classes[i],
						 request, now_us);
	}
	if (work_us <= 0)
		return 0;
	scheduler_count_backlog(gate, request, &backlog);
	work_us *= backlog.tenants;
	level_us = level_work_us(gate, level, now_us);
	return (work_us < level_us ? work_us : level_us) /
	       level_share(gate, level);
}

/* Slot time that goes before where the greatest claim always does. */
static double strict_work_us(const struct gate *gate,
			     const struct gate_request *request, int64_t now_us)
{
	const struct gate_class *own = &gate->classes[request->class_index];
	double own_claim = scheduler_priority(gate, own);
	double work_us = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];
		const struct gate_request *other;
		uint32_t ahead = 0;
		double claim;

		if (!class->waiting_count)
			continue;
		claim = scheduler_priority(gate, class);
		if (claim > own_claim)
			ahead = class->waiting_count;
		else if (claim == own_claim)
			DL_FOREACH(class->waiting, other)
				ahead += other->deadline_us <=
					 request->deadline_us;
		if (ahead)
			work_us += ahead *
				   forecast_service_us(gate, class, now_us);
	}
	return work_us;
}

double forecast_wait_us(const struct gate *gate,
			const struct gate_request *request, int64_t now_us)
{
	bool background = request->weight <= 0;
	double limit = gate_limit(gate, now_us);
	double free_us = (double)(forecast_free_us(gate, now_us) - now_us);
	double all_us;
	double own_us;

	if (gate->options.strict)
		return free_us + strict_work_us(gate, request, now_us) / limit;
	all_us = waiting_work_us(gate, background, now_us);
	own_us = own_work_us(gate, request, now_us);

	/* The share is a floor: what others leave over makes it faster. */
	return free_us + (own_us < all_us ? own_us : all_us) / limit;
}

int64_t forecast_retry_after_ms(const struct gate *gate, int64_t now_us)
{
	double work_us = waiting_work_us(gate, true, now_us);

	work_us += gate->service_us;
	return 1 + (int64_t)(work_us / gate_limit(gate, now_us) / 1000);
}
