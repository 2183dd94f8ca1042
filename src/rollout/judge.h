#ifndef ROLLOUT_JUDGE_H
#define ROLLOUT_JUDGE_H

#include "rollout/score.h"

/**
 * DOC: rollout judge
 *
 * Whether a new version is bad, from what the nodes beside the instances of
 * the old and the new one report of their answers. Decision core: no sockets,
 * no clock.
 */

enum {
	JUDGE_INSTANCES_MAX = 4096,
	JUDGE_REASON_SIZE = 160,
};

/**
 * struct judge_report - what a node tells of the upstream beside it
 * @instance: hash of its name
 * @runs_target: it runs the new version
 * @busy: requests that run or wait there
 */
struct judge_report {
	uint64_t instance;
	bool runs_target;
	uint32_t busy;
	struct request_stats request_stats;
};

/**
 * struct judge_instance - an instance that has reported
 * @group: of the new version's instances, once it has answered; SCORE_GROUPS
 *	before
 * @epoch: of its counts
 * @first_us: when it first reported on them
 * @first_started: requests that it had been handed by then
 * @request_stats: as judged last
 * @pending: told after that, and not judged yet; the old version's instances
 *	may not have told yet what happened to all at the same time
 * @pending_us: since when; 0: nothing waits
 * @latest: told after @pending, at @latest_us; 0: nothing was
 * @good_counted: see score_add_new(), by place of the kind in @request_stats
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
 * @grouped_count: instances of the new version that have answered
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
 * struct judgement - what the reports amount to
 * @bad: the version is to be stopped
 * @pass: nothing speaks against it
 * @samples: answers of the new version, of that kind which has the fewest of
 *	those that make a twentieth of the old version's requests
 * @reason: for people, if @bad
 */
struct judgement {
	bool bad;
	bool pass;
	uint32_t samples;
	char reason[JUDGE_REASON_SIZE];
};

void judge_init(struct judge *judge);
void judge_finish(struct judge *judge);

/** judge_add_report() - a report has come. */
void judge_add_report(struct judge *judge, const struct judge_report *report,
		      int64_t now_us);

/**
 * judge_decide() - what is known by now
 * @delay_us: reports on the new version wait for so long before they count
 */
void judge_decide(struct judge *judge, int64_t delay_us, int64_t now_us,
		  struct judgement *judgement);

/** judge_count_reporting() - instances of one side that reported within
 * @age_us. */
uint32_t judge_count_reporting(const struct judge *judge, bool runs_target,
			       int64_t age_us, int64_t now_us);

/** judge_busy() - requests at instances of the old version. */
uint32_t judge_busy(const struct judge *judge);

/** judge_rate() - requests a second that reach all instances that reported; 0:
 * unknown. */
double judge_rate(const struct judge *judge);

#endif
