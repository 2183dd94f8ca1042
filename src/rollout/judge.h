#ifndef ROLLOUT_JUDGE_H
#define ROLLOUT_JUDGE_H

#include "rollout/score.h"

/**
 * DOC: rollout judge
 *
 * Decides whether a new version is bad, from the counts of answers that the
 * nodes beside the instances of the old and of the new version report. No
 * sockets, no clock.
 */

enum {
	JUDGE_INSTANCES_MAX = 4096,
	JUDGE_REASON_SIZE = 160,
};

/**
 * struct judge_report - report of a node on the upstream beside it
 * @instance: hash of the name of the instance
 * @runs_target: whether the instance runs the new version
 * @busy: number of requests that run or wait at the instance
 * @request_stats: counts of the answers of the instance
 */
struct judge_report {
	uint64_t instance;
	bool runs_target;
	uint32_t busy;
	struct request_stats request_stats;
};

/**
 * struct judge_instance - an instance that has reported
 * @instance: hash of the name of the instance
 * @runs_target: whether the instance runs the new version
 * @busy: number of requests that run or wait at the instance
 * @group: group of the instance among those of the new version; SCORE_GROUPS
 *	until the instance has answered a request
 * @reported_us: time of the last report
 * @epoch: epoch of the reported counts
 * @first_us: time of the first report of this epoch
 * @first_started: number of requests started according to that report
 * @request_stats: counts that were scored last
 * @pending: counts reported after @request_stats and not scored yet; the
 *	instances of the old version may not have reported yet an event that
 *	hit all instances at the same time
 * @pending_us: time of the report in @pending; 0 if there is none
 * @latest: latest counts reported after @pending
 * @latest_us: time of the report in @latest; 0 if there is none
 * @good_counted: number of good answers scored so far, by index of the kind in
 *	@request_stats; see score_add_new()
 */
struct judge_instance {
	uint64_t instance;
	bool runs_target;
	uint32_t busy;
	uint32_t group;
	int64_t reported_us;
	uint64_t epoch;
	int64_t first_us;
	uint32_t first_started;
	struct request_stats request_stats;
	struct request_stats pending;
	int64_t pending_us;
	struct request_stats latest;
	int64_t latest_us;
	uint32_t good_counted[REQUEST_STATS_KINDS_MAX];
};

/**
 * struct judge - see DOC
 * @instances: instances that have reported, allocated
 * @kinds: scores by kind of request; kinds beyond REQUEST_STATS_KINDS_MAX are
 *	scored in the last entry
 * @grouped_count: number of instances of the new version that have answered
 */
struct judge {
	struct judge_instance *instances;
	uint32_t instance_count;
	uint32_t instance_capacity;
	struct score_kind kinds[REQUEST_STATS_KINDS_MAX];
	uint32_t kind_count;
	uint32_t grouped_count;
};

/**
 * struct judgement - result of comparing the new version with the old version
 * @bad: the new version must be stopped
 * @pass: the reports show no sign that the new version is bad
 * @samples: number of answers of the new version for the kind with the fewest
 *	answers; only kinds with at least a twentieth of the old version's
 *	requests count
 * @reason: explanation for operators; set if @bad
 */
struct judgement {
	bool bad;
	bool pass;
	uint32_t samples;
	char reason[JUDGE_REASON_SIZE];
};

void judge_init(struct judge *judge);
void judge_finish(struct judge *judge);

/** judge_add_report() - Adds a report received at @now_us. */
void judge_add_report(struct judge *judge, const struct judge_report *report,
		      int64_t now_us);

/**
 * judge_decide() - Compares the versions by the reports received so far.
 * @delay_us: delay in microseconds before a report on the new version counts
 * @judgement: set to the result
 */
void judge_decide(struct judge *judge, int64_t delay_us, int64_t now_us,
		  struct judgement *judgement);

/**
 * judge_count_reporting() - Returns the number of instances that report.
 * @runs_target: whether to count instances of the new or of the old version
 * @age_us: maximum age in microseconds of the last report of an instance
 */
uint32_t judge_count_reporting(const struct judge *judge, bool runs_target,
			       int64_t age_us, int64_t now_us);

/**
 * judge_busy() - Returns the number of requests that run or wait at the
 * instances of the old version, according to their last reports.
 */
uint32_t judge_busy(const struct judge *judge);

/**
 * judge_rate() - Returns the requests per second that reach all instances that
 * have reported; 0 if the rate is not known.
 */
double judge_rate(const struct judge *judge);

#endif
