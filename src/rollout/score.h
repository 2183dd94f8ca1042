#ifndef ROLLOUT_SCORE_H
#define ROLLOUT_SCORE_H

#include "rollout/request_stats.h"

/**
 * DOC: rollout score
 *
 * Scores the answers of one kind of request as evidence against a new version.
 * Two sums of log-likelihood ratios are kept, one for failures and one for slow
 * answers (CUSUM: E. S. Page, Continuous Inspection Schemes, Biometrika 41,
 * 1954). The baseline is the old version's answers of the last seconds, so that
 * a burst or a failing service behind both versions does not count against the
 * new version.
 *
 * The instances of the new version are divided into a few groups. Each group
 * has its own sums, which are shrunk and added (K. Liu, R. Zhang, Y. Mei,
 * Scalable SUM-Shrinkage Schemes for Distributed Monitoring Large-Scale Data
 * Streams, Statistica Sinica 29, 2019). A single faulty instance is in one
 * group only, and so does not condemn its version. The sums are kept for groups
 * rather than for instances because each of many instances has too few answers.
 */

enum {
	/* With three groups, two can show that the third is faulty. */
	SCORE_GROUPS = 3,
};

/** enum score_sum - kind of bad answers that a sum counts. */
enum score_sum { SCORE_FAILED, SCORE_SLOW, SCORE_SUMS };

/**
 * struct score_counts - counts of answers, as in struct request_stats_kind;
 * older answers may have a lower weight
 */
struct score_counts {
	double finished;
	double failed;
	double timed;
	double reached[REQUEST_STATS_EDGES];
};

/**
 * struct score_group - answers of one group of the new version's instances
 * @sums: sums of log-likelihood ratios, by enum score_sum
 * @finished: number of requests that have ended
 * @bad: number of failures and of slow answers
 */
struct score_group {
	double sums[SCORE_SUMS];
	uint32_t finished;
	uint32_t bad;
};

/**
 * struct score_suspect - the only group with a high sum
 * @group: index of the group
 * @others: number of answers of the other groups at @since_us
 * @since_us: time at which the group became suspect; 0 if no group is suspect
 */
struct score_suspect {
	uint32_t group;
	uint32_t others;
	int64_t since_us;
};

/**
 * struct score_kind - scores of one kind of request
 * @kind: hash of the name of the kind
 * @recent: answers of the old version with a fast decay: a failing service
 *	behind both versions shows here as soon as in the new version
 * @long_term: answers of the old version in the last seconds
 * @all: all answers of the old version, without decay
 * @counted_us: time at which answers of the old version were last counted; the
 *	counts do not decay while no answers arrive
 * @groups: groups of the instances of the new version
 * @suspects: suspect group, by enum score_sum
 */
struct score_kind {
	uint64_t kind;
	struct score_counts recent;
	struct score_counts long_term;
	struct score_counts all;
	int64_t counted_us;
	struct score_group groups[SCORE_GROUPS];
	struct score_suspect suspects[SCORE_SUMS];
};

/**
 * score_add_old() - Adds answers of an instance of the old version.
 * @now: counts of the instance now
 * @before: counts of the instance that were added before
 */
void score_add_old(struct score_kind *kind,
		   const struct request_stats_kind *now,
		   const struct request_stats_kind *before, int64_t now_us);

/**
 * score_add_new() - Adds answers of an instance of the new version.
 * @group: index of the group of the instance
 * @now: counts of the instance now
 * @before: counts of the instance that were added before
 * @good: number of answers in time counted for the instance so far; updated
 */
void score_add_new(struct score_kind *kind, uint32_t group,
		   const struct request_stats_kind *now,
		   const struct request_stats_kind *before, uint32_t *good);

/** enum score_verdict - verdict on the new version by one sum. */
enum score_verdict {
	SCORE_PASS,
	SCORE_MARGINAL, /* not enough evidence to stop the version */
	SCORE_BAD,
};

/**
 * struct score_total - the sums of all groups for one kind
 * @total: total of the shrunk sums of the groups; the sum itself if only one
 *	group has answered
 * @largest: largest sum, not shrunk
 * @group: index of the group with the largest sum
 * @groups: number of groups that have answered
 * @finished: number of answers of all groups
 * @bad: number of failed or slow answers of all groups
 * @others: number of answers of all groups except @group
 */
struct score_total {
	double total;
	double largest;
	uint32_t group;
	uint32_t groups;
	uint32_t finished;
	uint32_t bad;
	uint32_t others;
};

/**
 * score_decide() - Returns the verdict on the new version by one sum of a kind.
 * @total: set to the total of the sums
 */
enum score_verdict score_decide(struct score_kind *kind, enum score_sum sum,
				int64_t now_us, struct score_total *total);

/**
 * score_old_is_steady() - Returns true if the old version answers as usual.
 *
 * If the old version currently fails or is slow more often than on average, the
 * answers of the new version do not show whether the new version is at fault.
 * Also returns true if the old version has not answered for a second.
 */
bool score_old_is_steady(const struct score_kind *kind, int64_t now_us);

#endif
