#include "rollout/judge.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "os/clock.h"

/* A kind with a smaller share of the requests is not waited for: the number of
 * its answers does not delay the roll-out. */
#define MIN_KIND_SHARE 0.05

enum { INSTANCES_INITIAL = 16 };

void judge_init(struct judge *judge)
{
	memset(judge, 0, sizeof(*judge));
}

void judge_finish(struct judge *judge)
{
	free(judge->instances);
	memset(judge, 0, sizeof(*judge));
}

/* Kinds beyond REQUEST_STATS_KINDS_MAX are scored in the last entry. */
static struct score_kind *kind_get(struct judge *judge, uint64_t kind)
{
	uint32_t i;

	for (i = 0; i < judge->kind_count; i++)
		if (judge->kinds[i].kind == kind)
			return &judge->kinds[i];
	if (judge->kind_count == REQUEST_STATS_KINDS_MAX)
		return &judge->kinds[REQUEST_STATS_KINDS_MAX - 1];
	judge->kinds[judge->kind_count].kind = kind;
	return &judge->kinds[judge->kind_count++];
}

static struct judge_instance *find_instance(struct judge *judge,
					    uint64_t instance)
{
	uint32_t i;

	for (i = 0; i < judge->instance_count; i++)
		if (judge->instances[i].instance == instance)
			return &judge->instances[i];
	return NULL;
}

static void grow(struct judge *judge)
{
	judge->instance_capacity = judge->instance_capacity
					   ? judge->instance_capacity * 2
					   : INSTANCES_INITIAL;
	judge->instances =
		realloc(judge->instances,
			judge->instance_capacity * sizeof(*judge->instances));
	if (!judge->instances)
		abort();
}

/* Returns NULL if the instance is new and JUDGE_INSTANCES_MAX are known. */
static struct judge_instance *get_instance(struct judge *judge,
					   uint64_t instance)
{
	struct judge_instance *found = find_instance(judge, instance);

	if (found || judge->instance_count == JUDGE_INSTANCES_MAX)
		return found;
	if (judge->instance_count == judge->instance_capacity)
		grow(judge);
	found = &judge->instances[judge->instance_count++];
	memset(found, 0, sizeof(*found));
	found->instance = instance;
	found->group = SCORE_GROUPS;
	return found;
}

/* Returns the counts of a kind at the previous report; zeros if the instance
 * has restarted its counts since then. */
static const struct request_stats_kind *
counts_before(const struct request_stats *before,
	      const struct request_stats *now, uint64_t kind)
{
	static const struct request_stats_kind none;
	const struct request_stats_kind *found = NULL;

	if (before->epoch == now->epoch)
		found = request_stats_find(before, kind);
	return found ? found : &none;
}

static void judge_instance(struct judge *judge, struct judge_instance *instance,
			   const struct request_stats *now)
{
	const struct request_stats before = instance->request_stats;
	uint32_t i;

	if (before.epoch != now->epoch)
		memset(instance->good_counted, 0,
		       sizeof(instance->good_counted));
	if (instance->group == SCORE_GROUPS && now->kind_count)
		instance->group = judge->grouped_count++ % SCORE_GROUPS;
	instance->request_stats = *now;
	for (i = 0; i < now->kind_count; i++) {
		uint64_t kind = now->kinds[i].kind;

		score_add_new(kind_get(judge, kind), instance->group,
			      &now->kinds[i], counts_before(&before, now, kind),
			      &instance->good_counted[i]);
	}
}

static void score_pending(struct judge *judge, int64_t delay_us, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < judge->instance_count; i++) {
		struct judge_instance *instance = &judge->instances[i];

		while (instance->pending_us &&
		       now_us - instance->pending_us >= delay_us) {
			judge_instance(judge, instance, &instance->pending);
			instance->pending = instance->latest;
			instance->pending_us = instance->latest_us;
			instance->latest_us = 0;
		}
	}
}

/* Returns true if a report arrives after a newer report. The counts only grow
 * within an epoch; an outdated report would count answers twice. */
static bool is_outdated(const struct request_stats *last,
			const struct request_stats *now)
{
	return last->epoch == now->epoch && now->started < last->started;
}

static void add_target_counts(struct judge_instance *instance,
			      const struct request_stats *now, int64_t now_us)
{
	if (is_outdated(&instance->request_stats, now) ||
	    (instance->pending_us && is_outdated(&instance->pending, now)) ||
	    (instance->latest_us && is_outdated(&instance->latest, now)))
		return;
	if (!instance->pending_us) {
		instance->pending = *now;
		instance->pending_us = now_us;
		return;
	}
	instance->latest = *now;
	instance->latest_us = now_us;
}

static void add_old_counts(struct judge *judge, struct judge_instance *instance,
			   const struct request_stats *now, int64_t now_us)
{
	const struct request_stats before = instance->request_stats;
	uint32_t i;

	if (is_outdated(&before, now))
		return;
	instance->request_stats = *now;
	for (i = 0; i < now->kind_count; i++) {
		uint64_t kind = now->kinds[i].kind;

		score_add_old(kind_get(judge, kind), &now->kinds[i],
			      counts_before(&before, now, kind), now_us);
	}
}

/* Requests before the first report do not count for the rate: the time during
 * which they were started is not known. */
static void record_first_report(struct judge_instance *instance,
				const struct request_stats *request_stats,
				int64_t now_us)
{
	instance->epoch = request_stats->epoch;
	instance->first_us = now_us;
	instance->first_started = request_stats->started;
}

void judge_add_report(struct judge *judge, const struct judge_report *report,
		      int64_t now_us)
{
	struct judge_instance *instance = get_instance(judge, report->instance);

	if (!instance)
		return;
	if (!instance->reported_us ||
	    instance->epoch != report->request_stats.epoch)
		record_first_report(instance, &report->request_stats, now_us);
	instance->reported_us = now_us;
	instance->runs_target = report->runs_target;
	instance->busy = report->busy;
	if (report->runs_target)
		add_target_counts(instance, &report->request_stats, now_us);
	else
		add_old_counts(judge, instance, &report->request_stats, now_us);
}

static void format_reason(struct judgement *judgement,
			  const struct score_kind *kind, enum score_sum sum,
			  const struct score_total *total)
{
	snprintf(judgement->reason, sizeof(judgement->reason),
		 "%s, kind %016llx: score %.1f, largest group %.1f, "
		 "of %u groups, %u of %u answers bad",
		 sum == SCORE_FAILED ? "failures" : "slow answers",
		 (unsigned long long)kind->kind, total->total, total->largest,
		 total->groups, total->bad, total->finished);
}

static void decide_kind(struct score_kind *kind, int64_t now_us,
			struct judgement *judgement)
{
	struct score_total total;
	int sum;

	for (sum = 0; sum < SCORE_SUMS; sum++) {
		switch (score_decide(kind, (enum score_sum)sum, now_us,
				     &total)) {
		case SCORE_PASS:
			break;
		case SCORE_BAD:
			judgement->bad = true;
			format_reason(judgement, kind, (enum score_sum)sum,
				      &total);
			judgement->pass = false;
			break;
		case SCORE_MARGINAL:
			judgement->pass = false;
			break;
		}
	}
	if (!score_old_is_steady(kind, now_us))
		judgement->pass = false;
}

static uint32_t answers_of(const struct score_kind *kind)
{
	uint32_t answers = 0;
	uint32_t i;

	for (i = 0; i < SCORE_GROUPS; i++)
		answers += kind->groups[i].finished;
	return answers;
}

/* Returns the number of answers of the new version for the kind with the fewest
 * answers, among the kinds with at least MIN_KIND_SHARE of the requests. */
static uint32_t least_samples(const struct judge *judge)
{
	uint32_t least = UINT32_MAX;
	double total = 0;
	uint32_t i;

	for (i = 0; i < judge->kind_count; i++)
		total += judge->kinds[i].all.finished;
	for (i = 0; i < judge->kind_count; i++) {
		const struct score_kind *kind = &judge->kinds[i];

		if (kind->all.finished >= total * MIN_KIND_SHARE &&
		    answers_of(kind) < least)
			least = answers_of(kind);
	}
	return least == UINT32_MAX ? 0 : least;
}

void judge_decide(struct judge *judge, int64_t delay_us, int64_t now_us,
		  struct judgement *judgement)
{
	uint32_t i;

	score_pending(judge, delay_us, now_us);
	memset(judgement, 0, sizeof(*judgement));
	judgement->pass = true;
	for (i = 0; i < judge->kind_count; i++)
		decide_kind(&judge->kinds[i], now_us, judgement);
	judgement->samples = least_samples(judge);
}

uint32_t judge_count_reporting(const struct judge *judge, bool runs_target,
			       int64_t age_us, int64_t now_us)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < judge->instance_count; i++)
		count += judge->instances[i].runs_target == runs_target &&
			 now_us - judge->instances[i].reported_us <= age_us;
	return count;
}

uint32_t judge_busy(const struct judge *judge)
{
	uint32_t busy = 0;
	uint32_t i;

	for (i = 0; i < judge->instance_count; i++)
		if (!judge->instances[i].runs_target)
			busy += judge->instances[i].busy;
	return busy;
}

static double rate_of(const struct judge_instance *instance)
{
	int64_t span_us = instance->reported_us - instance->first_us;
	uint32_t started =
		instance->request_stats.started - instance->first_started;

	return span_us > 0 ? (double)started * US_PER_S / (double)span_us : 0;
}

double judge_rate(const struct judge *judge)
{
	double rate = 0;
	uint32_t i;

	for (i = 0; i < judge->instance_count; i++)
		rate += rate_of(&judge->instances[i]);
	return rate;
}
