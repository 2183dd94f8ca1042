#include "call/trace.h"

#include <stdio.h>
#include <string.h>

#include "os/clock.h"

enum { TRY_SIZE = 200 };

static int64_t age_ms(int64_t at_us, int64_t now_us)
{
	return at_us ? (now_us - at_us) / US_PER_MS : -1;
}

void trace_add_attempt(struct trace *trace, const struct endpoint *endpoint,
		       const char *end, int64_t took_us, int64_t left_us,
		       int64_t now_us)
{
	char text[TRY_SIZE];
	int size = snprintf(
		text, sizeof(text),
		"%s%.63s %s take=%lld left=%lld load=%.2f@%lld in=%u fails=%u%s%s",
		trace->size ? "; " : "", endpoint->record.instance, end,
		(long long)(took_us / US_PER_MS),
		(long long)(left_us / US_PER_MS), endpoint->load,
		(long long)age_ms(endpoint->load_at_us, now_us),
		endpoint->in_flight, endpoint->failures,
		endpoint->local ? "" : " far",
		endpoint->reachable ? "" : " unreachable");

	if (size < 0 || (size_t)size >= sizeof(text) ||
	    trace->size + (size_t)size >= sizeof(trace->text)) {
		trace->left_out++;
		return;
	}
	memcpy(trace->text + trace->size, text, (size_t)size + 1);
	trace->size += (size_t)size;
}
