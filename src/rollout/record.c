#include "rollout/record.h"

enum record_action record_next(const struct record_call *call,
			       const struct rollout *known,
			       enum rollout_phase wanted)
{
	if (call->action != RECORD_NOTHING)
		return RECORD_NOTHING;
	if (known->record_revision == ROLLOUT_REVISION_UNKNOWN)
		return RECORD_READ;
	return wanted > known->phase ? RECORD_WRITE : RECORD_NOTHING;
}

void record_begin_read(struct record_call *call)
{
	call->action = RECORD_READ;
}

void record_begin_write(struct record_call *call, const struct rollout *rollout)
{
	call->action = RECORD_WRITE;
	call->written = *rollout;
}

bool record_was_read(struct record_call *call, struct rollout *known,
		     const struct store_result *result,
		     const struct rollout *found)
{
	call->action = RECORD_NOTHING;
	if (result->reason == STORE_ABSENT) {
		known->record_revision = 0;
		return false;
	}
	if (result->outcome != STORE_TOOK_EFFECT)
		return false;
	/* The record is about a later order, which this node has not received
	 * yet. The node must not write over that record. */
	if (found && found->order.revision > known->order.revision)
		return false;
	known->record_revision = result->revision;
	return found != NULL;
}

bool record_was_written(struct record_call *call, struct rollout *known,
			const struct store_result *result)
{
	call->action = RECORD_NOTHING;
	if (result->outcome == STORE_TOOK_EFFECT) {
		call->written.record_revision = result->revision;
		return true;
	}
	/* Another node has changed the record, or the answer was lost: read the
	 * record again. */
	if (result->reason == STORE_CONFLICT ||
	    result->outcome == STORE_UNKNOWN)
		known->record_revision = ROLLOUT_REVISION_UNKNOWN;
	return false;
}
