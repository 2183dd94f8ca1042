#include "base/pace.h"

enum {
	/* A machine that is slowed down by others for about half a second. */
	PACE_AGE_US = 500 * 1000,
	USUAL_PCT = 100,
};

void pace_set(struct pace *pace, uint32_t work_pct, int64_t now_us)
{
	if (!work_pct)
		return;
	pace->work_pct = work_pct < PACE_WORK_PCT_MAX ? work_pct
						      : PACE_WORK_PCT_MAX;
	pace->at_us = now_us;
}

double pace_factor(const struct pace *pace, int64_t now_us)
{
	int64_t age_us = now_us - pace->at_us;
	double fresh;

	if (!pace->work_pct || age_us >= PACE_AGE_US)
		return 1;
	fresh = age_us > 0 ? 1 - (double)age_us / PACE_AGE_US : 1;
	return 1 + ((double)pace->work_pct / USUAL_PCT - 1) * fresh;
}

uint32_t pace_work_pct(const struct pace *pace, int64_t now_us)
{
	if (!pace->work_pct)
		return 0;
	return (uint32_t)(pace_factor(pace, now_us) * USUAL_PCT + 0.5);
}
