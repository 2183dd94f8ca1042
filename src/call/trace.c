#include "call/trace.h"

#include <stdio.h>
#include <string.h>

#include "os/clock.h"

enum { ATTEMPT_TEXT_SIZE = 256 };

static int64_t age_ms(int64_t at_us, int64_t now_us)
{
	return at_us ? (now_us - at_us) / US_PER_MS : -1;
}

void trace_add_attempt(struct trace *trace, const struct endpoint *endpoint,
		       const struct trace_attempt *attempt, int64_t now_us)
{
	char text[ATTEMPT_TEXT_SIZE];
	int size = snprintf(
		text, sizeof(text),
		"%s%.63s %s take=%lld left=%lld load=%.2f@%lld in=%u fails=%u%s%s "
		"try=%llu %s",
		trace->size ? "; " : "", endpoint->record.instance,
		attempt->end, (long long)(attempt->took_us / US_PER_MS),
		(long long)(attempt->left_us / US_PER_MS), endpoint->load,
		(long long)age_ms(endpoint->load_at_us, now_us),
		endpoint->in_flight, endpoint->failures,
		endpoint->local ? "" : " far",
		endpoint->reachable ? "" : " unreachable",
		(unsigned long long)attempt->sequence,
		verdict_name(attempt->verdict));

	if (size < 0 || (size_t)size >= sizeof(text) ||
	    trace->size + (size_t)size >= sizeof(trace->text)) {
		trace->omitted++;
		return;
	}
	memcpy(trace->text + trace->size, text, (size_t)size + 1);
	trace->size += (size_t)size;
}
