#ifndef QUOTA_FRAMES_H
#define QUOTA_FRAMES_H

#include "quota/quota_defs.h"
#include "wire/codec.h"
#include "wire/frame_types.h"

/**
 * DOC: quota frames
 *
 *	QUOTA_ASK      group, sequence, elapsed_ms, members,
 *		       [[tenant, wanted, returned] ...]
 *	QUOTA_GRANT    group, sequence, [[tenant, granted, due_ms] ...]
 *	QUOTA_WANT     group, 0, [[tenant, millis, held_millis] ...]
 *	QUOTA_TRANSFER group, sequence, [[tenant, millis, 0] ...]
 *
 * The decoders refuse values that no node sends, with ERROR_PROTOCOL.
 */

enum frame_quota {
	FRAME_QUOTA_ASK = FRAME_RANGE_QUOTA,
	FRAME_QUOTA_GRANT,
	FRAME_QUOTA_WANT,
	FRAME_QUOTA_TRANSFER,
};

void quota_ask_encode(struct encoder *encoder, const struct quota_ask *ask);
bool quota_ask_decode(const struct message *message, struct quota_ask *ask,
		      struct error *err);

void quota_grant_encode(struct encoder *encoder,
			const struct quota_grant *grant);
bool quota_grant_decode(const struct message *message,
			struct quota_grant *grant, struct error *err);

/** quota_move_encode() - @type: FRAME_QUOTA_WANT or FRAME_QUOTA_TRANSFER. */
void quota_move_encode(struct encoder *encoder, enum frame_quota type,
		       const struct quota_move *move);
bool quota_move_decode(const struct message *message, struct quota_move *move,
		       struct error *err);

#endif
