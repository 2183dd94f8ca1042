#include "call/due_time.h"

#include <stdio.h>
#include <string.h>

enum {
	/* Time without an equally long deadline after which shorter ones count
	 * as first deadlines: the callers with longer ones are gone. */
	LONGEST_AGE_US = 10 * 1000 * 1000,
};

/* Returns the entry of the kind, or else the one to replace. */
static struct due_time_kind *find(struct due_times *due_times, const char *name,
				  int64_t timeout_us)
{
	struct due_time_kind *oldest = due_times->kinds;
	uint32_t i;

	for (i = 0; i < due_times->count; i++) {
		struct due_time_kind *kind = &due_times->kinds[i];

		if (kind->timeout_us == timeout_us && !strcmp(kind->name, name))
			return kind;
		if (kind->seen_us < oldest->seen_us)
			oldest = kind;
	}
	if (due_times->count < DUE_TIME_KINDS_MAX)
		oldest = &due_times->kinds[due_times->count++];
	snprintf(oldest->name, sizeof(oldest->name), "%s", name);
	oldest->timeout_us = timeout_us;
	oldest->longest_us = 0;
	return oldest;
}

int64_t due_time_waited_us(struct due_times *due_times, const char *kind,
			   int64_t timeout_us, int64_t left_us, int64_t now_us)
{
	struct due_time_kind *entry = find(due_times, kind, timeout_us);
	int64_t first_us;

	if (left_us >= entry->longest_us ||
	    now_us - entry->seen_us > LONGEST_AGE_US) {
		entry->longest_us = left_us;
		entry->seen_us = now_us;
	}
	first_us = entry->longest_us < timeout_us ? entry->longest_us
						  : timeout_us;
	return left_us < first_us ? first_us - left_us : 0;
}
