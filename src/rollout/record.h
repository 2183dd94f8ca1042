#ifndef ROLLOUT_RECORD_H
#define ROLLOUT_RECORD_H

#include "rollout/rollout_defs.h"
#include "store/store_defs.h"

/**
 * DOC: rollout record
 *
 * State machine of the calls with which one node advances the record of a
 * roll-out at the platform: the node reads the record if its revision is not
 * known, and writes the record by compare-and-swap. If the answer to a write is
 * lost, the node reads the record again. A write that is still on its way then
 * fails once another write has taken effect. No sockets, no clock.
 */

/** enum record_action - the next call, or the call in flight. */
enum record_action { RECORD_NOTHING, RECORD_READ, RECORD_WRITE };

/**
 * struct record_call - the call on a record that is in flight
 * @action: kind of the call; RECORD_NOTHING if no call is in flight
 * @written: state that a write writes
 */
struct record_call {
	enum record_action action;
	struct rollout written;
};

/**
 * record_next() - Returns the call to send now.
 * @known: state of the roll-out that this node knows
 * @wanted: phase that the roll-out should be in
 *
 * Return: RECORD_NOTHING if a call is in flight or none is needed.
 */
enum record_action record_next(const struct record_call *call,
			       const struct rollout *known,
			       enum rollout_phase wanted);

/** record_begin_read() - Notes that a read is sent. */
void record_begin_read(struct record_call *call);

/** record_begin_write() - Notes that a write of @rollout is sent. */
void record_begin_write(struct record_call *call,
			const struct rollout *rollout);

/**
 * record_was_read() - Handles the result of a read.
 * @known: state that this node knows; its record_revision is updated
 * @found: the record; NULL if there is no record, or if the record is about an
 *	earlier order or cannot be parsed
 *
 * Return: true if @found must be merged into the state that the node knows.
 */
bool record_was_read(struct record_call *call, struct rollout *known,
		     const struct store_result *result,
		     const struct rollout *found);

/**
 * record_was_written() - Handles the result of a write.
 * @known: state that this node knows; its record_revision is updated
 *
 * Return: true if call->written took effect and must be merged.
 */
bool record_was_written(struct record_call *call, struct rollout *known,
			const struct store_result *result);

#endif
