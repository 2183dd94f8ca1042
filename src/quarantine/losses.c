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

void losses_answered(struct losses *losses, int64_t started_us)
{
	if (!losses->count && !losses->crash_id)
		return;
	if (started_us > losses->last_us)
		losses_reset(losses);
}

bool losses_confirm(struct losses *losses, uint64_t crash_id, int64_t now_us)
{
	assert(crash_id);
	if (losses->crash_id)
		return false;
	losses->crash_id = crash_id;
	if (now_us - losses->last_us > LOSSES_AGE_MAX_US)
		losses->count = 0;
	return losses->count > 0;
}
