#ifndef ROLLOUT_SCORE_H
#define ROLLOUT_SCORE_H

#include "rollout/evidence.h"

/**
 * DOC: rollout score
 *
 * How much the answers of one kind of request speak against a new version. Two
 * sums of log-likelihood ratios are kept, one for failures and one for slow
 * answers (CUSUM: E. S. Page, Continuous Inspection Schemes, Biometrika 41,
 * 1954). What is usual is taken from the old version's answers of the last
 * seconds, so a burst or a failing service behind both counts for neither.
 *
 * The instances of the new version are divided into a few groups with sums of
 * their own, which are cut and added (K. Liu, R. Zhang, Y. Mei, Scalable
 * SUM-Shrinkage Schemes for Distributed Monitoring Large-Scale Data Streams,
 * Statistica Sinica 29, 2019). One instance at fault is in one group only, and
 * so does not condemn the version that it runs. Groups and not instances, since
 * of a hundred instances each has too few answers to say anything.
 */

enum {
	/* Of three, two others can say that the third is at fault. */
	SCORE_GROUPS = 3,
};

/** enum score_sum - what a sum is about. */
enum score_sum { SCORE_FAILED, SCORE_SLOW, SCORE_SUMS };

/** struct score_counts - answers; earlier ones may count for less. */
struct score_counts {
	double finished;
	double failed;
	double timed;
	double reached[REQUEST_STATS_EDGES];
};

/**
 * struct score_group - answers of one group of the new version's instances
 * @sums: by enum score_sum
 * @bad: failures and slow ones of them
 */
struct score_group {
	double sums[SCORE_SUMS];
	uint32_t finished;
	uint32_t bad;
};

/**
 * struct score_suspect - a group that alone speaks against the version
 * @others: answers of the other groups when that began
 * @since_us: when; 0: there is none
 */
struct score_suspect {
	uint32_t group;
	uint32_t others;
	int64_t since_us;
};

/**
 * struct score_kind - one kind of request, at both versions
 * @recent: of the old version in the last few tenths of a second: a failing
 *	service behind both versions shows here as soon as in the new one
 * @long_term: of the last seconds
 * @all: of all time
 * @counted_us: when any were counted last; they do not fade while none come
 * @suspects: by enum score_sum
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

/** score_add_old() - the old version has answered; counts at and before. */
void score_add_old(struct score_kind *kind,
		   const struct request_stats_kind *now,
		   const struct request_stats_kind *before, int64_t now_us);

/**
 * score_add_new() - instances of one group of the new version have answered
 * @good: answers in time that were counted for the instance so far; brought up
 *	to date
 */
void score_add_new(struct score_kind *kind, uint32_t group,
		   const struct request_stats_kind *now,
		   const struct request_stats_kind *before, uint32_t *good);

/** enum score_verdict - what a sum amounts to. */
enum score_verdict {
	SCORE_PASS,
	SCORE_MARGINAL, /* something speaks against the version */
	SCORE_BAD,
};

/**
 * struct score_total - the sums of all groups
 * @total: cut and added
 * @largest: the largest, of @group
 * @finished: answers of all groups; @bad: of these, failed or slow
 * @others: answers of all groups but @group
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

/** score_decide() - what a sum of a kind amounts to at this moment. */
enum score_verdict score_decide(struct score_kind *kind, enum score_sum sum,
				int64_t now_us, struct score_total *total);

/**
 * score_old_is_steady() - whether the old version answers as it ever did
 *
 * If not, nobody can tell for the moment what the new one does by itself.
 */
bool score_old_is_steady(const struct score_kind *kind, int64_t now_us);

#endif
