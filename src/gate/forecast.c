#include "gate/forecast.h"

#include <math.h>
#include <string.h>

#include <utlist.h>

#include "gate/scheduler.h"

/* Weight of one sample in the moving averages over few requests. */
#define SERVICE_WEIGHT (1.0 / 8)

/* Margin before a deadline, in mean deviations of the service time. A request
 * that starts exactly its average service time before the deadline is late
 * about every other time, and its slot time is wasted. With strict priority the
 * margin is smaller, because a late answer is still of some use there. */
#define MARGIN_DEVIATIONS 1.5
#define MARGIN_DEVIATIONS_STRICT 0.5

/* Time over which best_us rises to a greater long_average_us. */
enum { BEST_RISE_US = 30 * 1000 * 1000 };
enum { LONG_AVERAGE_SAMPLES = 64 };
/* Samples that usual_us covers, and those from which on it is used. */
enum { USUAL_SAMPLES = 32, USUAL_SAMPLES_MIN = 8 };
/* An estimate without new samples is halved once per STALE_US. */
enum { STALE_US = 2 * 1000 * 1000, STALE_HALVINGS_MAX = 20 };

/*
 * Updates best_us from the average over many requests. The shortest requests
 * of a class, or the least average over few requests, are not representative:
 * if service times vary much, a healthy upstream would seem twice as slow as
 * its best, and while best_us rose again, any trial of a lower limit would seem
 * to succeed.
 */
static void update_best(struct gate_class *class, int64_t now_us)
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

static void update_service(struct gate_class *class, double sample,
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
	update_best(class, now_us);
}

/* Takes out of the sample what the present pace has added or saved. */
static void update_usual(const struct gate *gate, struct gate_class *class,
			 double sample, int64_t now_us)
{
	double usual = sample / pace_factor(&gate->pace, now_us);

	if (class->usual_samples < USUAL_SAMPLES)
		class->usual_samples++;
	class->usual_us += (usual - class->usual_us) / class->usual_samples;
}

/* Adds a sample to all classes of a kind: they differ in weight only, which
 * does not change the service time. */
static void add_kind_sample(struct gate *gate, const char *kind, double sample,
			    int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		struct gate_class *class = &gate->classes[i];

		if (strcmp(class->kind, kind) != 0)
			continue;
		update_service(class, sample, now_us);
		update_usual(gate, class, sample, now_us);
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
	add_kind_sample(gate, class->kind, sample, now_us);
}

void forecast_add_lower_bound(struct gate *gate, struct gate_class *class,
			      int64_t least_us, int64_t now_us)
{
	if ((double)least_us > class->service_us)
		forecast_add_sample(gate, class, least_us, now_us);
}

/*
 * Returns the factor by which an estimate decays without new samples. Otherwise
 * a class whose requests are all refused as late would never run again and
 * never show that the upstream has become fast enough: refusals would continue
 * after their cause is gone.
 */
static double decay_factor(const struct gate_class *class, int64_t now_us)
{
	int64_t halvings = (now_us - class->sample_at_us) / STALE_US;

	if (halvings <= 0)
		return 1;
	if (halvings > STALE_HALVINGS_MAX)
		halvings = STALE_HALVINGS_MAX;
	return 1.0 / (double)(1 << halvings);
}

double forecast_usual_us(const struct gate *gate,
			 const struct gate_class *class)
{
	if (!gate->pace.work_pct || class->usual_samples < USUAL_SAMPLES_MIN)
		return 0;
	return class->usual_us;
}

double forecast_service_us(const struct gate *gate,
			   const struct gate_class *class, int64_t now_us)
{
	double usual_us = forecast_usual_us(gate, class);

	if (!class->sample_at_us)
		return gate->service_us;
	if (usual_us > 0)
		return usual_us * pace_factor(&gate->pace, now_us) *
		       decay_factor(class, now_us);
	return class->service_us * decay_factor(class, now_us);
}

int64_t forecast_start_by_us(const struct gate *gate,
			     const struct gate_request *request, int64_t now_us)
{
	const struct gate_class *class = &gate->classes[request->class_index];

	double service_us = forecast_service_us(gate, class, now_us);
	double margin_us = class->spread_us * decay_factor(class, now_us);

	int64_t start_by_us =
		request->deadline_us -
		(int64_t)(service_us + (gate->options.strict
						? MARGIN_DEVIATIONS_STRICT
						: MARGIN_DEVIATIONS) *
					       margin_us);

	return start_by_us < gate->start_until_us ? start_by_us
						  : gate->start_until_us;
}

/* Returns the end of a running request, as estimated at its start. */
static int64_t estimated_end_us(const struct gate_request *request)
{
	return request->started_us + (int64_t)request->charged_us;
}

int64_t forecast_free_us(const struct gate *gate, int64_t now_us)
{
	const struct gate_request *request;
	int64_t free_us = INT64_MAX;

	int64_t ready_us = rate_ready_us(&gate->rate, now_us);

	if (gate->running_count < gate_limit(gate, now_us))
		return ready_us;
	DL_FOREACH(gate->running, request) {
		int64_t end_us = estimated_end_us(request);

		if (end_us < now_us)
			end_us = now_us + (now_us - end_us);
		if (end_us < free_us)
			free_us = end_us;
	}
	return free_us > ready_us ? free_us : ready_us;
}

int64_t forecast_give_up_us(const struct gate *gate,
			    const struct gate_request *request, int64_t now_us)
{
	int64_t start_by_us = forecast_start_by_us(gate, request, now_us);
	const struct gate_request *running;
	int64_t last_us = INT64_MIN;

	if (rate_ready_us(&gate->rate, now_us) > start_by_us)
		return now_us;
	if (gate->running_count < gate_limit(gate, now_us))
		return start_by_us + 1;
	/* A running request that is overdue at time t is expected to free its
	 * slot at 2 t - end_us, see forecast_free_us(). That is after
	 * start_by_us once t is past the middle of end_us and start_by_us. */
	DL_FOREACH(gate->running, running) {
		int64_t end_us = estimated_end_us(running);
		int64_t middle_us = end_us + (start_by_us - end_us) / 2;

		if (end_us <= start_by_us && middle_us > last_us)
			last_us = middle_us;
	}
	if (last_us == INT64_MIN)
		return now_us;
	return last_us + 1;
}

/*
 * Returns the expected slot time of a queued request, in microseconds. If the
 * rate limit lets requests start more slowly than the slots could run them, it
 * is the time for which the limit keeps one slot from starting another request.
 */
static double queued_work_us(const struct gate *gate,
			     const struct gate_class *class, int64_t now_us)
{
	double service_us = forecast_service_us(gate, class, now_us);
	double paced_us =
		rate_interval_us(&gate->rate) * gate_limit(gate, now_us);

	return service_us > paced_us ? service_us : paced_us;
}

/* Returns the expected slot time of all queued requests, in microseconds.
 * @background: whether requests of weight 0 are included */
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
			   queued_work_us(gate, class, now_us);
	}
	return work_us;
}

/* Returns the share of the slots that a level gets in competition with the
 * levels that have queued requests. */
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

/* Returns the expected slot time of the requests of the same tenant that start
 * before @request in one class, in microseconds. */
static double tenant_work_ahead_us(const struct gate *gate,
				   const struct gate_class *class,
				   const struct gate_request *request,
				   int64_t now_us)
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
	return ahead * queued_work_us(gate, class, now_us);
}

/* Returns the expected slot time of all queued requests of one level, in
 * microseconds. */
static double level_work_us(const struct gate *gate, uint32_t level,
			    int64_t now_us)
{
	double work_us = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];

		if (class->level == level && class->waiting_count)
			work_us += class->waiting_count *
				   queued_work_us(gate, class, now_us);
	}
	return work_us;
}

/* Returns the expected slot time that starts before @request, in microseconds,
 * if its tenant and its level get no more than their shares. The sum is bounded
 * by the requests queued in the level. Otherwise a tenant that sends many
 * requests would be refused while the other tenants of its level are idle. */
static double fair_work_ahead_us(const struct gate *gate,
				 const struct gate_request *request,
				 int64_t now_us)
{
	uint32_t level = gate->classes[request->class_index].level;
	struct scheduler_backlog backlog;
	double level_us;
	double work_us = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		if (gate->classes[i].level == level)
			work_us += tenant_work_ahead_us(gate, &gate->classes[i],
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

/**
 * struct peers - queued requests of the rank and priority of a request, which
 * share the slots by tenant
 * @all_us: slot time of all of them, in microseconds
 * @earlier_us: slot time of those with the deadline of the request or earlier
 * @own_us: slot time of those of @earlier_us that are of its tenant
 * @backlog: number by tenant
 */
struct peers {
	double all_us;
	double earlier_us;
	double own_us;
	struct scheduler_backlog backlog;
};

static void add_peer(struct peers *peers, const struct gate_request *request,
		     const struct gate_request *other, double work_us)
{
	if (!peers->backlog.counts[other->tenant_index]++)
		peers->backlog.tenants++;
	peers->all_us += work_us;
	if (other->deadline_us > request->deadline_us)
		return;
	peers->earlier_us += work_us;
	if (other->tenant_index == request->tenant_index)
		peers->own_us += work_us;
}

/* Returns the slot time of the peers that start before @request. A tenant waits
 * for an equal share of the others; otherwise the requests of a tenant that
 * sends few would be refused although they start first. */
static double peers_ahead_us(const struct peers *peers,
			     const struct gate_request *request)
{
	const struct scheduler_backlog *backlog = &peers->backlog;
	bool others = backlog->tenants > 1 ||
		      !backlog->counts[request->tenant_index];

	if (!others)
		return peers->earlier_us;
	return fmin(peers->own_us * backlog->tenants, peers->all_us);
}

/* Returns the expected slot time that starts before @request with strict
 * priority, in microseconds. */
static double strict_work_ahead_us(const struct gate *gate,
				   const struct gate_request *request,
				   int64_t now_us)
{
	const struct gate_class *own = &gate->classes[request->class_index];
	double own_priority = scheduler_priority(gate, own);
	uint32_t own_rank = scheduler_rank(request);
	struct peers peers = { 0 };
	double work_us = 0;
	uint32_t i;

	for (i = 0; i < gate->class_count; i++) {
		const struct gate_class *class = &gate->classes[i];
		const struct gate_request *other;
		double class_priority;
		double one_us;

		if (!class->waiting_count)
			continue;
		class_priority = scheduler_priority(gate, class);
		one_us = queued_work_us(gate, class, now_us);
		DL_FOREACH(class->waiting, other) {
			uint32_t rank = scheduler_rank(other);

			if (rank < own_rank ||
			    (rank == own_rank && class_priority > own_priority))
				work_us += one_us;
			else if (rank == own_rank &&
				 class_priority == own_priority)
				add_peer(&peers, request, other, one_us);
		}
	}
	return work_us + peers_ahead_us(&peers, request);
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
		return free_us +
		       strict_work_ahead_us(gate, request, now_us) / limit;
	all_us = waiting_work_us(gate, background, now_us);
	own_us = fair_work_ahead_us(gate, request, now_us);

	/* Shares that others leave unused shorten the wait. */
	return free_us + (own_us < all_us ? own_us : all_us) / limit;
}

/* forecast_wait_us() counts a request that is queued already as one that starts
 * before itself. */
double forecast_queued_wait_us(const struct gate *gate,
			       const struct gate_request *request,
			       int64_t now_us)
{
	const struct gate_class *class = &gate->classes[request->class_index];
	double own_us =
		queued_work_us(gate, class, now_us) / gate_limit(gate, now_us);
	double wait_us = forecast_wait_us(gate, request, now_us) - own_us;

	return wait_us > 0 ? wait_us : 0;
}

int64_t forecast_retry_after_ms(const struct gate *gate, int64_t now_us)
{
	double work_us = waiting_work_us(gate, true, now_us);

	work_us += fmax(gate->service_us, rate_interval_us(&gate->rate) *
						  gate_limit(gate, now_us));
	return 1 + (int64_t)(work_us / gate_limit(gate, now_us) / 1000);
}
