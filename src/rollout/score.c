#include "rollout/score.h"

#include <math.h>
#include <string.h>

#include "os/clock.h"

/* Minimum baseline of the failure rate: no version is stopped for a failure
 * rate below this. */
#define FAILED_FLOOR 0.01
/* The failure rate of the old version times this is the baseline: instances of
 * one version differ by this factor. */
#define FAILED_FACTOR 1.5
/* Failure rate of a bad version: the baseline times BAD_FACTOR plus
 * FAILED_STEP. */
#define FAILED_STEP 0.05
#define BAD_FACTOR 1.5
/* An answer is slow beyond this quantile of the old version's times multiplied
 * by SLOW_FACTOR: instances of one version differ by about this factor. */
#define SLOW_QUANTILE 0.9
#define SLOW_FACTOR 1.8
/* Minimum baseline of the rate of slow answers, and its increase in a bad
 * version. */
#define SLOW_FLOOR 0.05
#define SLOW_STEP 0.2
/* Factors by which the counts of the old version's answers decay per second. */
#define RECENT_DECAY_FACTOR 0.05
#define LONG_TERM_DECAY_FACTOR 0.6
/* Maximum baseline of the rates of failures and of slow answers. */
#define BASELINE_MAX 0.55
/* Increase of the old version's rate of failures or of slow answers over its
 * average, above which the old version is not steady. */
#define UNSTEADY_STEP 0.05
/* The version is bad when the sums of its groups reach this value. For a
 * version that fails at the baseline rate, one sum in three thousand reaches
 * this value (e^-8, Wald's bound); most good versions fail far less often. */
#define BAD_SUM 8.0
/* Amount by which the sum of a group is shrunk: lower sums arise by chance. */
#define CHANCE_SUM 1.0
/* Maximum of the shrunk sum of a group. */
#define GROUP_SUM_MAX 5.0
/* The shrunk sums except the largest have this total: more than one group
 * shows a fault. */
#define MARGINAL_SUM 2.0
/* The sum of a single group reaches this value: the group is suspect. */
#define SUSPECT_SUM 4.0
/* Maximum of a sum, so that good answers reduce the sum soon after an instance
 * has recovered: a hundred of them do. */
#define SUM_MAX (BAD_SUM * 1.5)

enum {
	/* Minimum number of timed answers of the old version that define which
	 * answers are slow. */
	TIMED_MIN = 20,
	/* Time without answers of the old version after which its rates are not
	 * compared. */
	NO_ANSWERS_US = 1000 * 1000,
	/* A suspect group is treated as a faulty instance, not a faulty
	 * version, after this number of further answers of the other groups. */
	OTHERS_MIN = 10,
	/* Maximum time to wait for these answers, and number of bad answers
	 * that ends the wait early: a bad version must be out of use 5 s after
	 * its 50th bad answer. */
	SUSPECT_WAIT_US = 5000 * 1000,
	SUSPECT_BAD_MAX = 25,
};

static double ratio(double part, double whole)
{
	return whole > 0 ? part / whole : 0;
}

static double at_most(double value, double max)
{
	return value < max ? value : max;
}

static double at_least(double value, double min)
{
	return value > min ? value : min;
}

static void decay(struct score_counts *counts, double factor)
{
	uint32_t edge;

	counts->finished *= factor;
	counts->failed *= factor;
	counts->timed *= factor;
	for (edge = 0; edge < REQUEST_STATS_EDGES; edge++)
		counts->reached[edge] *= factor;
}

static void add_counts(struct score_counts *counts,
		       const struct request_stats_kind *now,
		       const struct request_stats_kind *before)
{
	uint32_t edge;

	counts->finished += now->finished - before->finished;
	counts->failed += now->failed - before->failed;
	counts->timed += now->timed - before->timed;
	for (edge = 0; edge < REQUEST_STATS_EDGES; edge++)
		counts->reached[edge] +=
			now->reached[edge] - before->reached[edge];
}

void score_add_old(struct score_kind *kind,
		   const struct request_stats_kind *now,
		   const struct request_stats_kind *before, int64_t now_us)
{
	double passed_s = (double)(now_us - kind->counted_us) / US_PER_S;

	if (now->finished == before->finished)
		return;
	kind->counted_us = now_us;
	decay(&kind->recent, pow(RECENT_DECAY_FACTOR, passed_s));
	decay(&kind->long_term, pow(LONG_TERM_DECAY_FACTOR, passed_s));
	add_counts(&kind->recent, now, before);
	add_counts(&kind->long_term, now, before);
	add_counts(&kind->all, now, before);
}

/* Returns the number of good answers before the bad answer number @i, if the
 * good answers are spread evenly. */
static uint32_t good_before(uint32_t good, uint32_t bad, uint32_t i)
{
	return (uint32_t)((uint64_t)good * (i + 1) / bad) -
	       (uint32_t)((uint64_t)good * i / bad);
}

/* Adds answers to a sum. The order of the answers is not known, so good and bad
 * answers are taken as evenly mixed. With all good answers first, a version
 * that fails as often as the old version would be condemned. */
static void add_answers(double *sum, double baseline, double bad_rate,
			uint32_t good, uint32_t bad)
{
	double good_llr = log((1 - bad_rate) / (1 - baseline));
	double bad_llr = log(bad_rate / baseline);
	uint32_t i;

	for (i = 0; i < bad; i++) {
		*sum += good_before(good, bad, i) * good_llr;
		*sum = at_least(*sum, 0);
		*sum = at_most(*sum + bad_llr, SUM_MAX);
	}
	if (!bad)
		*sum = at_least(*sum + good * good_llr, 0);
}

static double failure_rate(const struct score_counts *counts)
{
	/* One good answer is added, so that a few bad answers at the start do
	 * not give a rate of 1. */
	return ratio(counts->failed, counts->finished + 1);
}

static double slow_rate(const struct score_counts *counts, uint32_t edge)
{
	return ratio(counts->reached[edge], counts->timed + 1);
}

static void score_failed(const struct score_kind *kind,
			 struct score_group *group, uint32_t finished,
			 uint32_t failed)
{
	double share = at_least(failure_rate(&kind->recent),
				failure_rate(&kind->long_term));
	double baseline = at_most(at_least(share * FAILED_FACTOR, FAILED_FLOOR),
				  BASELINE_MAX);

	add_answers(&group->sums[SCORE_FAILED], baseline,
		    baseline * BAD_FACTOR + FAILED_STEP, finished - failed,
		    failed);
}

/* Returns the first edge beyond which an answer is slow, or REQUEST_STATS_EDGES
 * if the old version has too few timed answers or is too slow. */
static uint32_t slow_edge(const struct score_counts *counts)
{
	double beyond = counts->timed * (1 - SLOW_QUANTILE);
	uint32_t edge = 0;
	int64_t slow_us;

	if (counts->timed < TIMED_MIN)
		return REQUEST_STATS_EDGES;
	while (edge < REQUEST_STATS_EDGES && counts->reached[edge] > beyond)
		edge++;
	slow_us = (int64_t)((double)request_stats_edge_us(edge) * SLOW_FACTOR);
	while (edge < REQUEST_STATS_EDGES &&
	       request_stats_edge_us(edge) < slow_us)
		edge++;
	return edge;
}

/*
 * Returns the number of new good answers. A request that still runs beyond the
 * edge already counts as slow, so timed - reached underestimates the good
 * answers until the request ends and rises afterwards. Only the increase over
 * the highest value so far is counted, so that no answer counts twice.
 */
static uint32_t count_good(const struct request_stats_kind *now, uint32_t edge,
			   uint32_t *max)
{
	uint32_t before = *max;
	uint32_t good = now->timed > now->reached[edge]
				? now->timed - now->reached[edge]
				: 0;

	if (good <= before)
		return 0;
	*max = good;
	return good - before;
}

static void score_slow(const struct score_kind *kind, struct score_group *group,
		       const struct request_stats_kind *now,
		       const struct request_stats_kind *before, uint32_t *good)
{
	uint32_t edge = slow_edge(&kind->all);
	double share;
	double baseline;
	uint32_t slow;

	if (edge == REQUEST_STATS_EDGES)
		return;
	share = at_least(slow_rate(&kind->recent, edge),
			 slow_rate(&kind->long_term, edge));
	baseline = at_most(at_least(share, SLOW_FLOOR), BASELINE_MAX);
	slow = now->reached[edge] - before->reached[edge];
	group->bad += slow;
	add_answers(&group->sums[SCORE_SLOW], baseline, baseline + SLOW_STEP,
		    count_good(now, edge, good), slow);
}

void score_add_new(struct score_kind *kind, uint32_t group,
		   const struct request_stats_kind *now,
		   const struct request_stats_kind *before, uint32_t *good)
{
	struct score_group *counts = &kind->groups[group];
	uint32_t finished = now->finished - before->finished;
	uint32_t failed = now->failed - before->failed;

	counts->finished += finished;
	counts->bad += failed;
	score_failed(kind, counts, finished, failed);
	score_slow(kind, counts, now, before, good);
}

static double shrink(double sum)
{
	return at_most(at_least(sum - CHANCE_SUM, 0), GROUP_SUM_MAX);
}

static void sum_groups(const struct score_kind *kind, enum score_sum sum,
		       struct score_total *total)
{
	uint32_t i;

	memset(total, 0, sizeof(*total));
	for (i = 0; i < SCORE_GROUPS; i++) {
		const struct score_group *group = &kind->groups[i];

		total->groups += group->finished > 0;
		total->finished += group->finished;
		total->bad += group->bad;
		total->total += shrink(group->sums[sum]);
		if (group->sums[sum] <= total->largest)
			continue;
		total->largest = group->sums[sum];
		total->group = i;
	}
	total->others = total->finished - kind->groups[total->group].finished;
	/* With a single group there is no other group to show whether an
	 * instance or the version is faulty. */
	if (total->groups == 1)
		total->total = total->largest;
}

/*
 * Only one group has a high sum: either an instance or the version is faulty.
 * Further answers of the other groups show which. Until then the verdict is
 * SCORE_MARGINAL, so that the roll-out does not advance.
 */
static enum score_verdict decide_suspect(struct score_suspect *suspect,
					 const struct score_total *total,
					 int64_t now_us)
{
	if (!suspect->since_us || suspect->group != total->group) {
		suspect->group = total->group;
		suspect->others = total->others;
		suspect->since_us = now_us;
	}
	if (total->others >= suspect->others + OTHERS_MIN)
		return SCORE_PASS;
	if (total->largest < BAD_SUM)
		return SCORE_MARGINAL;
	if (now_us - suspect->since_us >= SUSPECT_WAIT_US ||
	    total->bad >= SUSPECT_BAD_MAX)
		return SCORE_BAD;
	return SCORE_MARGINAL;
}

enum score_verdict score_decide(struct score_kind *kind, enum score_sum sum,
				int64_t now_us, struct score_total *total)
{
	struct score_suspect *suspect = &kind->suspects[sum];

	sum_groups(kind, sum, total);
	if (total->total >= BAD_SUM)
		return SCORE_BAD;
	if (total->total - shrink(total->largest) >= MARGINAL_SUM)
		return SCORE_MARGINAL;
	if (total->largest >= SUSPECT_SUM)
		return decide_suspect(suspect, total, now_us);
	suspect->since_us = 0;
	return SCORE_PASS;
}

bool score_old_is_steady(const struct score_kind *kind, int64_t now_us)
{
	uint32_t edge = slow_edge(&kind->all);

	/* An old version without requests gives nothing to compare with. */
	if (now_us - kind->counted_us > NO_ANSWERS_US)
		return true;
	if (failure_rate(&kind->recent) >
	    failure_rate(&kind->all) + UNSTEADY_STEP)
		return false;
	return edge == REQUEST_STATS_EDGES ||
	       slow_rate(&kind->recent, edge) <=
		       slow_rate(&kind->all, edge) + UNSTEADY_STEP;
}
