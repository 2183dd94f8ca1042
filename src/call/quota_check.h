#ifndef CALL_QUOTA_CHECK_H
#define CALL_QUOTA_CHECK_H

#include "call/outbound_call.h"

/**
 * DOC: quota check
 *
 * A call of a tenant with a limit takes a token before its first attempt, or
 * waits for one for a part of the time that it has. Further attempts of the
 * call, and the calls that its upstream makes for it, take none. A call that
 * ends not run gives its token back.
 */

/**
 * quota_check_begin() - takes a token for a call
 *
 * Return: true if the call may begin its first attempt now; otherwise the first
 * attempt begins later, or the call has been refused and freed.
 */
bool quota_check_begin(struct call *call);

/** quota_check_not_run() - the call ended not run. */
void quota_check_not_run(struct call *call);

/** quota_check_finish() - ends the wait of a call that is being freed. */
void quota_check_finish(struct call *call);

#endif
