#include "rollout/record.h"

enum record_action record_next(const struct record_core *core,
			       const struct rollout *known,
			       enum rollout_phase wanted)
{
	if (core->action != RECORD_NOTHING)
		return RECORD_NOTHING;
	if (known->record_revision == ROLLOUT_REVISION_UNKNOWN)
		return RECORD_READ;
	return wanted > known->phase ? RECORD_WRITE : RECORD_NOTHING;
}

void record_begin_read(struct record_core *core)
{
	core->action = RECORD_READ;
}

void record_begin_write(struct record_core *core, const struct rollout *rollout)
{
	core->action = RECORD_WRITE;
	core->written = *rollout;
}

bool record_was_read(struct record_core *core, struct rollout *known,
		     const struct store_result *result,
		     const struct rollout *found)
{
	core->action = RECORD_NOTHING;
	if (result->reason == STORE_ABSENT) {
		known->record_revision = 0;
		return false;
	}
	if (result->outcome != STORE_TOOK_EFFECT)
		return false;
	/* It is about an order that this node has not heard of yet, and not its
	 * to write any more. */
	if (found && found->order.revision > known->order.revision)
		return false;
	known->record_revision = result->revision;
	return found != NULL;
}

bool record_was_written(struct record_core *core, struct rollout *known,
			const struct store_result *result)
{
	core->action = RECORD_NOTHING;
	if (result->outcome == STORE_TOOK_EFFECT) {
		core->written.record_revision = result->revision;
		return true;
	}
	/* Another node was faster, or the answer was lost: what stands there
	 * decides. */
	if (result->reason == STORE_CONFLICT ||
	    result->outcome == STORE_UNKNOWN)
		known->record_revision = ROLLOUT_REVISION_UNKNOWN;
	return false;
}
