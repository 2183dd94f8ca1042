#ifndef BASE_PACE_H
#define BASE_PACE_H

#include <stdint.h>

/**
 * DOC: pace
 *
 * How long work takes on a machine now, compared with its usual time, as its
 * upstream reports it. The figure may change several times a second, so that
 * its effect fades with its age.
 */

enum { PACE_WORK_PCT_MAX = 10000 };

/**
 * struct pace - the last report
 * @work_pct: time that work takes, in percent of the usual time; 0: unknown
 * @at_us: time of the report, in microseconds
 */
struct pace {
	uint32_t work_pct;
	int64_t at_us;
};

/** pace_set() - stores a report; a @work_pct of 0 keeps the last one. */
void pace_set(struct pace *pace, uint32_t work_pct, int64_t now_us);

/**
 * pace_factor() - returns the expected factor on the usual time of work
 *
 * Return: 1 if nothing was reported or the report is too old.
 */
double pace_factor(const struct pace *pace, int64_t now_us);

/** pace_work_pct() - returns pace_factor() in percent; 0 without a report. */
uint32_t pace_work_pct(const struct pace *pace, int64_t now_us);

#endif
