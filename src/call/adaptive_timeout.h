#ifndef CALL_ADAPTIVE_TIMEOUT_H
#define CALL_ADAPTIVE_TIMEOUT_H

#include <stdint.h>

/**
 * DOC: adaptive timeout
 *
 * Timeout for opening a connection: the average time plus four mean deviations,
 * like the retransmission timeout of TCP (RFC 6298). A fixed timeout that suits
 * distant data centres would make callers wait too long for dead nodes nearby.
 * Decision core.
 */

/**
 * struct adaptive_timeout - timeout estimate; all zero is a valid start
 * @mean_us: moving average of the samples in microseconds
 * @deviation_us: moving average of their deviation from @mean_us
 * @samples: number of samples, saturating
 */
struct adaptive_timeout {
	double mean_us;
	double deviation_us;
	uint32_t samples;
};

/** adaptive_timeout_add_sample() - add one sample of @took_us. */
void adaptive_timeout_add_sample(struct adaptive_timeout *adaptive_timeout,
				 int64_t took_us);

/**
 * adaptive_timeout_us() - timeout in microseconds
 * @min_us: lower bound, since the peer may be paused for a short time
 * @max_us: upper bound; also the result while there are no samples
 */
int64_t adaptive_timeout_us(const struct adaptive_timeout *adaptive_timeout,
			    int64_t min_us, int64_t max_us);

#endif
