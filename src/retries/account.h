#ifndef RETRIES_ACCOUNT_H
#define RETRIES_ACCOUNT_H

#include "retries/retries_defs.h"

/**
 * DOC: retries account
 *
 * A budget at its owner. First attempts that nodes report add to it, and the
 * retries that they made are taken off, so that retries made before the nodes
 * heard of the trouble are paid back. The chance follows from what the nodes
 * wanted of late. Nothing is saved beyond a fixed number of retries, however
 * many nodes report. No I/O, no clock.
 */

enum {
	/* Retries that all data centres together may save, unless the settings
	 * tell what the deployment bears. */
	RETRIES_SAVED_MAX = 60,
};

/**
 * struct retries_limits - what an account gets besides the share of the requests
 * @saved_max: retries that may be saved
 * @extra_per_s: retries in a second that are added whatever the requests
 */
struct retries_limits {
	double saved_max;
	double extra_per_s;
};

/**
 * retries_limits_set() - the part of one data centre
 * @slack: retries beyond the share that the deployment bears in @window_s; 0 if
 *	not known
 * @centres: number of data centres
 */
void retries_limits_set(struct retries_limits *limits, double slack,
			double window_s, uint32_t centres);

/**
 * struct retries_sum - an account
 * @tokens: retries saved; negative while too many were made
 * @extra_per_s: as last told, see struct retries_limits
 * @firsts, @wanted: of the last seconds, decayed
 * @at_us: time up to which @firsts and @wanted are decayed; 0 before the first
 *	report
 */
struct retries_sum {
	double share;
	double tokens;
	double extra_per_s;
	double firsts;
	double wanted;
	int64_t at_us;
};

void retries_sum_init(struct retries_sum *sum);

/**
 * retries_sum_add() - a node has reported
 * @share: retries allowed per first attempt
 */
void retries_sum_add(struct retries_sum *sum, const struct retry_use *use,
		     double share, const struct retries_limits *limits,
		     int64_t now_us);

/** retries_sum_chance() - returns the chance of a retry, 0 to 1. */
double retries_sum_chance(struct retries_sum *sum, int64_t now_us);

#endif
