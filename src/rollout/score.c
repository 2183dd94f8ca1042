#include "rollout/score.h"

#include <math.h>
#include <string.h>

#include "os/clock.h"

/* Share of failures that no version is stopped for, whatever the old one's. */
#define FAILED_FLOOR 0.01
/* The old version's share, times this, is still usual: instances of one version
 * differ by as much. */
#define FAILED_FACTOR 1.5
/* A bad version fails by so much more at the least, and half as often again. */
#define FAILED_STEP 0.05
#define BAD_FACTOR 1.5
/* An answer is slow beyond this quantile of the old version's times, */
#define SLOW_QUANTILE 0.9
/* times this: instances of one version differ by about as much. */
#define SLOW_FACTOR 1.8
#define SLOW_FLOOR 0.05
#define SLOW_STEP 0.2
/* What is left of the old version's answers after a second. */
#define RECENT_DECAY_FACTOR 0.05
#define LONG_TERM_DECAY_FACTOR 0.6
/* More than this is not taken for usual. */
#define BASELINE_MAX 0.55
/* The old version fails, or is slow, by so much more often than ever. */
#define UNSTEADY_STEP 0.05
/* The version is bad when the sums of its groups reach this: of versions that
 * fail as often as is usual, one sum in three thousand would (e^-8, Wald's
 * bound), and most good ones fail far less often than the floor. */
#define BAD_SUM 8.0
/* Sums below this are chance. */
#define CHANCE_SUM 1.0
/* Of one group at most, while others are judged as well. */
#define GROUP_SUM_MAX 5.0
/* More than one group speaks against the version. */
#define MARGINAL_SUM 2.0
/* One group alone does. */
#define SUSPECT_SUM 4.0
/* A sum does not grow beyond this, so that an instance which has recovered is
 * cleared by a hundred good answers. */
#define SUM_MAX (BAD_SUM * 1.5)

enum {
	/* Times of fewer answers of the old version say nothing. */
	TIMED_MIN = 20,
	/* Instances report several times in it. */
	NO_ANSWERS_US = 1000 * 1000,
	/* One group alone at fault: so many more answers of the others show
	 * that it is an instance and not the version, */
	OTHERS_MIN = 10,
	/* and are waited for so long, unless the version fails too often
	 * meanwhile: 5 s after its 50th failure it must be out of use. */
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

/* The part of @good that comes before the bad answer numbered @i. */
static uint32_t good_before(uint32_t good, uint32_t bad, uint32_t i)
{
	return (uint32_t)((uint64_t)good * (i + 1) / bad) -
	       (uint32_t)((uint64_t)good * i / bad);
}

/* One step of a sum. In which order the answers came is not known; they are
 * taken as evenly mixed: with all good ones first, a hundred answers of a
 * version that fails as often as the other would condemn it. */
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
	/* One more that did well: of the first few answers none is usual. */
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

/* The first edge that is beyond what the old version's instances take, or
 * REQUEST_STATS_EDGES if too little is known of them. */
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
 * Requests that still run beyond the edge count as slow; when they end they are
 * among the timed ones, and would count once more as good. So the good ones
 * are those in excess of the most that were ever seen.
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
	/* Of a single one nobody can tell whether an instance or its version
	 * fails. */
	if (total->groups == 1)
		total->total = total->largest;
}

/*
 * One group alone is at fault. It may be an instance or the version: what the
 * others answer from then on tells, and until they have nothing goes on.
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

	/* One that gets no requests any more tells nothing. */
	if (now_us - kind->counted_us > NO_ANSWERS_US)
		return true;
	if (failure_rate(&kind->recent) >
	    failure_rate(&kind->all) + UNSTEADY_STEP)
		return false;
	return edge == REQUEST_STATS_EDGES ||
	       slow_rate(&kind->recent, edge) <=
		       slow_rate(&kind->all, edge) + UNSTEADY_STEP;
}
