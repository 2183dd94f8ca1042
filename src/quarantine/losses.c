#include "quarantine/losses.h"

#include <assert.h>
#include <string.h>

void losses_reset(struct losses *losses)
{
	memset(losses, 0, sizeof(*losses));
}

uint64_t losses_add(struct losses *losses,
		    const struct fingerprint *fingerprint, int64_t now_us)
{
	if (losses->crash_id)
		return losses->crash_id;
	losses->last_us = now_us;
	if (losses->count < LOSSES_MAX)
		losses->lost[losses->count++] = *fingerprint;
	return 0;
}

void losses_add_aborted(struct losses *losses,
			const struct fingerprint *fingerprint, int64_t now_us)
{
	struct aborted_run *run =
		&losses->aborted[losses->aborted_next++ % LOSSES_ABORTED_MAX];

	run->fingerprint = *fingerprint;
	run->at_us = now_us;
}

void losses_answered(struct losses *losses, int64_t started_us)
{
	if (started_us <= losses->last_us)
		return;
	losses->count = 0;
	losses->crash_id = 0;
}

static void add_recently_aborted(struct losses *losses, int64_t now_us)
{
	uint32_t i;

	for (i = 0; i < LOSSES_ABORTED_MAX && losses->count < LOSSES_MAX; i++) {
		const struct aborted_run *run = &losses->aborted[i];

		if (run->at_us &&
		    now_us - run->at_us <= LOSSES_ABORTED_AGE_MAX_US)
			losses->lost[losses->count++] = run->fingerprint;
	}
}

bool losses_confirm(struct losses *losses, uint64_t crash_id, int64_t now_us)
{
	assert(crash_id);
	if (losses->crash_id)
		return false;
	losses->crash_id = crash_id;
	if (now_us - losses->last_us > LOSSES_AGE_MAX_US)
		losses->count = 0;
	add_recently_aborted(losses, now_us);
	return losses->count > 0;
}
