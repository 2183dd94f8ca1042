#ifndef RETRIES_CLIENT_H
#define RETRIES_CLIENT_H

#include "retries/retries_defs.h"

/**
 * DOC: retries client
 *
 * The part of one node in the shared retry budget of one service. It reports
 * its requests to the owner every two seconds, and failures at once. The answer
 * tells the chance of further retries. Without an answer the node keeps to the
 * share of its own failures, which no number of nodes can exceed. No I/O, no
 * clock.
 */

/**
 * struct retries_client - see DOC
 * @use: counts that are not reported yet
 * @chance: as told by the owner at @news_us; 0 for never
 * @wanted_us: time of the last retry that was wanted; 0 for none
 * @reported_us: time of the last report
 */
struct retries_client {
	struct retry_use use[RETRIES_ACCOUNTS];
	double chance[RETRIES_ACCOUNTS];
	int64_t news_us;
	int64_t started_us;
	int64_t wanted_us;
	int64_t reported_us;
};

void retries_client_init(struct retries_client *client, int64_t now_us);

/** retries_client_count() - adds what the budgets counted. */
void retries_client_count(struct retries_client *client,
			  const struct retry_use use[RETRIES_ACCOUNTS],
			  int64_t now_us);

/**
 * retries_client_report() - moves the counts into @use if a report is due
 *
 * Return: false if none is due.
 */
bool retries_client_report(struct retries_client *client,
			   struct retry_use use[RETRIES_ACCOUNTS],
			   int64_t now_us);

/** retries_client_heard() - the owner has told the chances. */
void retries_client_heard(struct retries_client *client,
			  const double chance[RETRIES_ACCOUNTS],
			  int64_t now_us);

/** retries_client_chance() - returns the chance of a retry, 0 to 1.
 * @share: retries allowed per first attempt
 */
double retries_client_chance(const struct retries_client *client,
			     enum retries_account account, double share,
			     int64_t now_us);

#endif
