#ifndef CALL_PATIENCE_H
#define CALL_PATIENCE_H

#include <stdint.h>

/**
 * DOC: patience
 *
 * How long to wait for something that usually takes about as long each time,
 * here a connection to open: its average and four mean deviations, the rule
 * for retransmission timeouts of TCP (RFC 6298). A fixed time that suits ways
 * of 40 ms makes a caller next door to a dead node wait for half a second.
 * Decision core.
 */

/**
 * struct adaptive_timeout - what was learned; zero is a valid start
 * @mean_us: moving average of the times taken
 * @deviation_us: moving average of their distance from it
 */
struct adaptive_timeout {
	double mean_us;
	double deviation_us;
	uint32_t samples;
};

/** adaptive_timeout_add_sample() - it took @took_us this time. */
void adaptive_timeout_add_sample(struct adaptive_timeout *adaptive_timeout,
				 int64_t took_us);

/**
 * adaptive_timeout_us() - wait no longer than this
 * @least_us: and no less, as whoever answers may stand still for a while
 * @most_us: and no more; all there is until something was learned
 */
int64_t adaptive_timeout_us(const struct adaptive_timeout *adaptive_timeout,
			    int64_t least_us, int64_t most_us);

#endif
