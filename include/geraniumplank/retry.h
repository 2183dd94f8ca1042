#ifndef RETRY_H
#define RETRY_H

/**
 * DOC: retry
 *
 * Whether a failed attempt may be tried again: a struct retry_budget for each
 * service that is called, filled by first tries, and a struct retry_chain for
 * each request, whose tries are carried down a chain of calls in parts. The
 * caller owns both; nothing is allocated, and time is passed in.
 *
 *	retry_chain_init(&chain, 3, carried);
 *	retry_budget_deposit(&budget);
 *	do
 *		verdict = attempt(retry_chain_take(&chain));
 *	while (failed && retry_decide(&budget, &request) == RETRY_AGAIN);
 */

#ifdef __cplusplus
extern "C" {
#endif

#include "route/retry.h"

#ifdef __cplusplus
}
#endif

#endif
