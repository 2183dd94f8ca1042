#ifndef RETRY_H
#define RETRY_H

/**
 * DOC: retry
 *
 * Decides whether a failed attempt may be retried. A struct retry_budget for
 * each called service is filled by first attempts. A struct retry_chain for
 * each request divides the attempts of the request among the hops of a chain of
 * calls. The caller owns both and passes the current time in; no memory is
 * allocated.
 *
 *	retry_chain_init(&chain, 3, inherited);
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
