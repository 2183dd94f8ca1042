#ifndef WIRE_FRAME_TYPES_H
#define WIRE_FRAME_TYPES_H

/**
 * DOC: frame types
 *
 * Each component owns a range of sixteen types and defines its types within the
 * range. A number is never reused for another meaning.
 */
enum {
	FRAME_RANGE_WIRE = 0,
	FRAME_RANGE_SPREAD = 16,
	FRAME_RANGE_MEMBERSHIP = 32,
	FRAME_RANGE_CALL = 48,
	FRAME_RANGE_ROLLOUT = 64,
	FRAME_RANGE_QUARANTINE = 80,
	FRAME_RANGE_QUOTA = 96,
	FRAME_RANGE_RETRIES = 112,
	FRAME_TYPES = 128,
};

enum frame_wire {
	FRAME_HELLO = 1,
	FRAME_PROOF = 2,
	FRAME_CLOSE = 3,
	FRAME_PING = 4,
	FRAME_PONG = 5,
	FRAME_COMPRESSED = 6, /* contains another frame, compressed */
};

#endif
