#ifndef CALL_CALL_LOG_H
#define CALL_CALL_LOG_H

#include <stdint.h>

#include "base/verdict.h"
#include "call/outbound_call.h"

/**
 * DOC: call_log
 *
 * The log line and the latencies of a call that has ended, beside its caller.
 */

/**
 * call_log_end() - write the log line of a call and count its time
 * @end: what ended it, such as CALL_ANSWERED or a reason
 * @status: HTTP status of the upstream's answer; 0 without an answer
 */
void call_log_end(const struct call *call, const char *end,
		  enum verdict verdict, uint32_t status);

#endif
