#ifndef CALL_DUE_TIME_H
#define CALL_DUE_TIME_H

#include "call/call_defs.h"

/**
 * DOC: due time
 *
 * Estimates how long a caller has waited before it sent a request. A caller
 * that retries after a refusal sets a shorter deadline than at first, and the
 * due time of its request counts from its first attempt. The first deadline is
 * not part of the retry. It is estimated as the longest deadline that callers
 * have recently set for the kind, which is known only after the first request.
 */

enum { DUE_TIME_KINDS_MAX = 32 };

/**
 * struct due_time_kind - deadlines that callers set for one kind
 * @name: name of the kind
 * @timeout_us: its timeout; kinds of several profiles may have the same name
 * @longest_us: longest time that a caller had left, in microseconds
 * @seen_us: time at which a caller last had as much time left
 */
struct due_time_kind {
	char name[KIND_NAME_SIZE];
	int64_t timeout_us;
	int64_t longest_us;
	int64_t seen_us;
};

/**
 * struct due_times - deadlines by kind
 * @count: number of entries in @kinds; the entry seen longest ago is replaced
 *	when there are more kinds
 */
struct due_times {
	struct due_time_kind kinds[DUE_TIME_KINDS_MAX];
	uint32_t count;
};

/**
 * due_time_waited_us() - estimates how long the caller has waited
 * @timeout_us: timeout of the kind, in microseconds; no caller waits longer
 * @left_us: time until the deadline of the request, in microseconds
 *
 * Return: microseconds; 0 for a deadline as long as any other or longer than
 * the timeout.
 */
int64_t due_time_waited_us(struct due_times *due_times, const char *kind,
			   int64_t timeout_us, int64_t left_us, int64_t now_us);

#endif
