#ifndef CALL_TRACE_H
#define CALL_TRACE_H

#include "call/call_defs.h"
#include "route/route.h"

/**
 * DOC: trace
 *
 * What a call's tries met, as one text for its line in the log: for each try
 * the upstream, how it ended, and what the choice went by.
 *
 *	INSTANCE REASON take=MS left=MS load=L@AGE_MS in=N fails=N[ far]
 *		[ unreachable]; ...
 *
 * "left" is what the caller's time had left when the try ended, "load" is what
 * the upstream told last and how old that was, "in" the own calls there,
 * "fails" its failures in a row; "far" is another data centre, "unreachable"
 * that membership does not hear it.
 */

enum { TRACE_SIZE = 640 };

/** struct trace - the text so far; tries that have no room are counted. */
struct trace {
	char text[TRACE_SIZE];
	size_t size;
	uint32_t left_out;
};

/**
 * trace_add_attempt() - a try has ended
 * @end: stable name of how
 * @took_us: since it began
 * @left_us: until the call's deadline
 */
void trace_add_attempt(struct trace *trace, const struct endpoint *endpoint,
		       const char *end, int64_t took_us, int64_t left_us,
		       int64_t now_us);

#endif
