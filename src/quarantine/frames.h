#ifndef QUARANTINE_FRAMES_H
#define QUARANTINE_FRAMES_H

#include "quarantine/table.h"
#include "wire/codec.h"
#include "wire/frame_types.h"

/**
 * DOC: quarantine frames
 *
 * Findings that nodes exchange:
 *
 *	QUARANTINE_FINDINGS [[hash, completions, age_ms, [crash id ...]] ...]
 */

enum frame_quarantine { FRAME_QUARANTINE_FINDINGS = FRAME_RANGE_QUARANTINE };

enum { QUARANTINE_FRAME_FINDINGS = 256 };

/**
 * quarantine_findings_begin() - begins a frame of @count findings
 *
 * @count calls of quarantine_findings_add() must follow.
 */
void quarantine_findings_begin(struct encoder *encoder, uint32_t count);

/** quarantine_findings_add() - appends a finding; @age_ms as of now. */
void quarantine_findings_add(struct encoder *encoder,
			     const struct quarantine_finding *finding,
			     int64_t age_ms);

/**
 * quarantine_findings_decode() - decodes one finding of a frame
 * @index: index of the finding in the frame
 *
 * Return: true if the finding was decoded; false with ERROR_PROTOCOL if the
 * frame is malformed; false without an error if @index is beyond the last one.
 */
bool quarantine_findings_decode(const struct message *message, uint32_t index,
				struct quarantine_finding *finding,
				int64_t *age_ms, struct error *err);

#endif
