#ifndef ROLLOUT_FRAMES_H
#define ROLLOUT_FRAMES_H

#include "rollout/judge.h"
#include "rollout/rollout_defs.h"
#include "wire/codec.h"
#include "wire/frame_types.h"

/**
 * DOC: rollout frames
 *
 * Frames about roll-outs between nodes:
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

/** struct rollout_report - a report on an instance and its roll-out. */
struct rollout_report {
	char service[SERVICE_NAME_SIZE];
	uint64_t order_revision;
	struct judge_report judge;
};

/**
 * rollout_states_begin() - Begins a frame of @count states.
 *
 * @count calls of rollout_states_add() must follow.
 */
void rollout_states_begin(struct encoder *encoder, uint32_t count);

/**
 * rollout_states_add() - Appends a state to the frame.
 * @elapsed_ms: time since the order in ms, now
 */
void rollout_states_add(struct encoder *encoder, const struct rollout *rollout,
			int64_t elapsed_ms);

/**
 * rollout_states_decode() - Decodes one state of a frame.
 * @index: index of the state in the frame
 *
 * Return: true if the state was decoded; false with ERROR_PROTOCOL if the frame
 * is malformed; false without an error if @index is beyond the last state.
 */
bool rollout_states_decode(const struct message *message, uint32_t index,
			   struct rollout *rollout, struct error *err);

void rollout_report_encode(struct encoder *encoder,
			   const struct rollout_report *report);

/**
 * rollout_report_decode() - Decodes a report.
 *
 * Return: false with ERROR_PROTOCOL if the frame is malformed.
 */
bool rollout_report_decode(const struct message *message,
			   struct rollout_report *report, struct error *err);

#endif
