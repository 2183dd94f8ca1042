#ifndef ROLLOUT_RECORD_H
#define ROLLOUT_RECORD_H

#include "rollout/rollout_defs.h"
#include "store/store_defs.h"

/**
 * DOC: rollout record
 *
 * How one node moves the record of a roll-out at the platform on: it reads
 * what it does not know, writes by compare-and-swap, and takes in what the
 * calls bring. An answer that was lost is settled by reading: the write took
 * effect, or it may yet, and then fails once another one has. Decision core.
 */

/** enum record_action - the call that is wanted. */
enum record_action { RECORD_NOTHING, RECORD_READ, RECORD_WRITE };

/**
 * struct record_call - see DOC
 * @action: of the call in flight
 * @written: what it writes
 */
struct record_call {
	enum record_action action;
	struct rollout written;
};

/**
 * record_next() - what to call now, if anything
 * @known: what this node knows of the roll-out
 * @wanted: phase that it should be in
 */
enum record_action record_next(const struct record_call *call,
			       const struct rollout *known,
			       enum rollout_phase wanted);

/** record_begin_read() - the call is sent. */
void record_begin_read(struct record_call *call);

/** record_begin_write() - a write of @rollout is sent. */
void record_begin_write(struct record_call *call,
			const struct rollout *rollout);

/**
 * record_was_read() - a read has ended
 * @known: its record_revision is brought up to date
 * @found: the record; NULL if it is about an earlier order, or unreadable
 *
 * Return: whether @found is to be merged into what the node knows.
 */
bool record_was_read(struct record_call *call, struct rollout *known,
		     const struct store_result *result,
		     const struct rollout *found);

/**
 * record_was_written() - a write has ended
 * @known: its record_revision is brought up to date
 *
 * Return: whether core->written took effect and is to be merged.
 */
bool record_was_written(struct record_call *call, struct rollout *known,
			const struct store_result *result);

#endif
