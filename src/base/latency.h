#ifndef BASE_LATENCY_H
#define BASE_LATENCY_H

#include <stdint.h>

/**
 * DOC: latency
 *
 * Latency histograms by service and outcome, with the fixed bounds that
 * collectors add up over nodes. Process-wide and single-threaded. Bounded:
 * past LATENCY_SERIES_MAX pairs of service and outcome, further services are
 * counted together as "other".
 */

/** enum latency_metric - which time of a request. */
enum latency_metric {
	LATENCY_TOTAL,	  /* from a caller's request to the end of its answer */
	LATENCY_ADDED,	  /* of that, what the upstream did not take */
	LATENCY_QUEUE,	  /* waiting at the gate of the upstream */
	LATENCY_UPSTREAM, /* at the upstream itself */
	LATENCY_METRICS,
};

enum {
	LATENCY_BOUNDS = 13,
	LATENCY_SERIES_MAX = 512,
	LATENCY_SERVICE_SIZE = 64,
	LATENCY_OUTCOME_SIZE = 32,
};

/** latency_bounds_us - upper ends of the buckets, ascending. */
extern const int64_t latency_bounds_us[LATENCY_BOUNDS];

/**
 * struct latency - one histogram
 * @counts: per bucket, not added up; the last one is above all bounds
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
 * @service: "" where none was found
 * @outcome: stable name of how it ended
 * @took_us: negative ones count as zero
 */
void latency_add(enum latency_metric metric, const char *service,
		 const char *outcome, int64_t took_us);

/** latency_first() - the list of all histograms, by @next. */
const struct latency *latency_first(void);

#endif
