#ifndef BASE_LATENCY_H
#define BASE_LATENCY_H

#include <stdint.h>

/**
 * DOC: latency
 *
 * Latency histograms by metric, service and outcome. Their bucket bounds are
 * fixed, so that collectors can aggregate the histograms of all nodes. They are
 * process-wide and not thread-safe. Their number is bounded: once there are
 * LATENCY_SERIES_MAX histograms, further services are counted as "other".
 */

/** enum latency_metric - duration that a histogram measures. */
enum latency_metric {
	LATENCY_TOTAL,	  /* from the request to the end of the answer */
	LATENCY_ADDED,	  /* LATENCY_TOTAL without the time in the upstream */
	LATENCY_QUEUE,	  /* waiting in the queue of the gate */
	LATENCY_UPSTREAM, /* processing in the upstream */
	LATENCY_METRICS,
};

enum {
	LATENCY_BOUNDS = 13,
	LATENCY_SERIES_MAX = 512,
	LATENCY_SERVICE_SIZE = 64,
	LATENCY_OUTCOME_SIZE = 32,
};

/** latency_bounds_us - inclusive upper bounds of the buckets, ascending. */
extern const int64_t latency_bounds_us[LATENCY_BOUNDS];

/**
 * struct latency - one histogram
 * @metric: duration that the histogram measures
 * @service: name of the service; "" if the service is unknown
 * @outcome: name of the outcome of the requests
 * @counts: number of requests per bucket, not cumulative; the last bucket is
 *	for durations above all bounds
 * @count: number of requests in all buckets
 * @sum_us: sum of the durations in microseconds
 * @next: next histogram in the list of latency_first(), or NULL
 */
struct latency {
	enum latency_metric metric;
	char service[LATENCY_SERVICE_SIZE];
	char outcome[LATENCY_OUTCOME_SIZE];
	uint64_t counts[LATENCY_BOUNDS + 1];
	uint64_t count;
	int64_t sum_us;
	struct latency *next;
};

/**
 * latency_add() - count one request
 * @service: name of the service; "" if the service is unknown
 * @outcome: name of the outcome of the request
 * @took_us: duration in microseconds; a negative duration counts as zero
 */
void latency_add(enum latency_metric metric, const char *service,
		 const char *outcome, int64_t took_us);

/** latency_first() - head of the list of all histograms. */
const struct latency *latency_first(void);

#endif
