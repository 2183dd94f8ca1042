#ifndef CALL_TRACE_H
#define CALL_TRACE_H

#include "call/call_defs.h"
#include "route/route.h"

/**
 * DOC: trace
 *
 * The attempts of a call as one text, for the log line of the call: for each
 * attempt the upstream, the end of the attempt, and the data that the upstream
 * was chosen by.
 *
 *	INSTANCE REASON take=MS left=MS load=L@AGE_MS in=N fails=N[ far]
 *		[ unreachable] try=N VERDICT; ...
 *
 * "take" is the duration of the attempt. "left" is the time left until the
 * call's deadline at the end of the attempt. "load" is the last load that the
 * upstream reported, with the age of the report, -1 without a report. "in" is
 * the number of calls of this node in flight there. "fails" is the number of
 * consecutive failures there. "far" marks an upstream in another data centre,
 * "unreachable" an upstream that membership has no contact with. "try" is the
 * number of the attempt, as in the lines of the node beside the upstream, and
 * "VERDICT" is the verdict on this attempt alone.
 */

enum { TRACE_SIZE = 768 };

/**
 * struct trace - the attempts of a call as text
 * @text: entries, separated by "; "
 * @size: bytes of @text, without the terminating NUL
 * @omitted: number of attempts that did not fit into @text
 */
struct trace {
	char text[TRACE_SIZE];
	size_t size;
	uint32_t omitted;
};

/**
 * struct trace_attempt - an ended attempt
 * @end: stable name of how the attempt ended
 * @verdict: verdict on this attempt
 * @sequence: number of the attempt
 * @took_us: duration of the attempt in microseconds
 * @left_us: microseconds left until the call's deadline
 */
struct trace_attempt {
	const char *end;
	enum verdict verdict;
	uint64_t sequence;
	int64_t took_us;
	int64_t left_us;
};

/**
 * trace_add_attempt() - append an ended attempt
 * @endpoint: endpoint of the attempt
 * @attempt: the attempt
 * @now_us: current time
 */
void trace_add_attempt(struct trace *trace, const struct endpoint *endpoint,
		       const struct trace_attempt *attempt, int64_t now_us);

#endif
