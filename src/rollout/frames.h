#ifndef ROLLOUT_FRAMES_H
#define ROLLOUT_FRAMES_H

#include "rollout/judge.h"
#include "rollout/rollout_defs.h"
#include "wire/codec.h"
#include "wire/frame_types.h"

/**
 * DOC: rollout frames
 *
 * What nodes tell each other of roll-outs:
 *
 *	ROLLOUT_STATES [[service, target, order revision, over_ms, phase,
 *		share in millionths, elapsed_ms, record revision] ...]
 *	ROLLOUT_REPORT service, order revision, instance, runs the target,
 *		busy, epoch, started, [[kind, finished, failed, timed,
 *		reached 0, ...] ...]
 */

enum frame_rollout {
	FRAME_ROLLOUT_STATES = FRAME_RANGE_ROLLOUT,
	FRAME_ROLLOUT_REPORT,
};

enum { ROLLOUT_STATES_MAX = 1024 };

/** struct rollout_report - a report and what it is about. */
struct rollout_report {
	char service[SERVICE_NAME_SIZE];
	uint64_t order_revision;
	struct judge_report judge;
};

/** rollout_states_begin() - a frame of @count states, which are to follow. */
void rollout_states_begin(struct encoder *encoder, uint32_t count);

/** rollout_states_add() - @elapsed_ms: since the order, at this moment. */
void rollout_states_add(struct encoder *encoder, const struct rollout *rollout,
			int64_t elapsed_ms);

/**
 * rollout_states_decode() - the states of a frame, one by one
 * @index: which one
 *
 * Return: false with ERROR_PROTOCOL; false without an error behind the last.
 */
bool rollout_states_decode(const struct message *message, uint32_t index,
			   struct rollout *rollout, struct error *err);

void rollout_report_encode(struct encoder *encoder,
			   const struct rollout_report *report);

/** rollout_report_decode() - false with ERROR_PROTOCOL. */
bool rollout_report_decode(const struct message *message,
			   struct rollout_report *report, struct error *err);

#endif
