#ifndef RETRIES_RETRIES_DEFS_H
#define RETRIES_RETRIES_DEFS_H

#include <stdbool.h>
#include <stdint.h>

#include "membership/record.h"
#include "route/retry.h"

/**
 * DOC: retries types
 *
 * The budget of the retries of a service over all nodes of a data centre, and
 * the messages between the nodes and its owner.
 */

/**
 * enum retries_account - budgets of a service
 * @RETRIES_ALL: all retries that may reach an upstream
 * @RETRIES_AFTER_ERROR: those after an answer with an error, which need both
 */
enum retries_account { RETRIES_ALL, RETRIES_AFTER_ERROR, RETRIES_ACCOUNTS };

enum { RETRIES_COUNT_MAX = 1000 * 1000, RETRIES_PERMILLE = 1000 };

/**
 * struct retries_report - what a node counted since its last report
 * @share_permille: retries allowed per first attempt, in thousandths
 */
struct retries_report {
	char service[SERVICE_NAME_SIZE];
	uint32_t share_permille[RETRIES_ACCOUNTS];
	struct retry_use use[RETRIES_ACCOUNTS];
};

/**
 * struct retries_news - from the owner
 * @chance_permille: probability with which a node may retry, in thousandths
 */
struct retries_news {
	char service[SERVICE_NAME_SIZE];
	uint32_t chance_permille[RETRIES_ACCOUNTS];
};

#endif
