#include "call/adaptive_timeout.h"

#include <math.h>

/* Weights of a sample and number of deviations of RFC 6298. */
#define MEAN_WEIGHT (1.0 / 8)
#define DEVIATION_WEIGHT (1.0 / 4)
#define DEVIATIONS 4

void adaptive_timeout_add_sample(struct adaptive_timeout *adaptive_timeout,
				 int64_t took_us)
{
	double gap_us = (double)took_us - adaptive_timeout->mean_us;

	if (!adaptive_timeout->samples) {
		adaptive_timeout->mean_us = (double)took_us;
		adaptive_timeout->deviation_us = (double)took_us / 2;
	} else {
		adaptive_timeout->deviation_us +=
			(fabs(gap_us) - adaptive_timeout->deviation_us) *
			DEVIATION_WEIGHT;
		adaptive_timeout->mean_us += gap_us * MEAN_WEIGHT;
	}
	if (adaptive_timeout->samples < UINT32_MAX)
		adaptive_timeout->samples++;
}

int64_t adaptive_timeout_us(const struct adaptive_timeout *adaptive_timeout,
			    int64_t min_us, int64_t max_us)
{
	double us = adaptive_timeout->mean_us +
		    DEVIATIONS * adaptive_timeout->deviation_us;

	if (!adaptive_timeout->samples || us > (double)max_us)
		return max_us;
	return us < (double)min_us ? min_us : (int64_t)us;
}
