#ifndef CALL_FRAMES_H
#define CALL_FRAMES_H

#include "call/call_defs.h"
#include "wire/codec.h"
#include "wire/frame_types.h"

/**
 * DOC: call frames
 *
 * The messages between the two nodes of a call, typed, and their wire form.
 * All of them begin with the identity of the attempt, by which alone they
 * are matched; order means nothing but within the parts of one body.
 */

enum call_frame_type {
	FRAME_CALL = FRAME_RANGE_CALL + 0,
	FRAME_CALL_PART = FRAME_RANGE_CALL + 1,
	FRAME_ANSWER = FRAME_RANGE_CALL + 2,
	FRAME_ANSWER_PART = FRAME_RANGE_CALL + 3,
	FRAME_REFUSAL = FRAME_RANGE_CALL + 4,
	FRAME_CANCEL = FRAME_RANGE_CALL + 5,
	FRAME_QUERY = FRAME_RANGE_CALL + 6,
	FRAME_QUERY_RESULT = FRAME_RANGE_CALL + 7,
	FRAME_LEAVING = FRAME_RANGE_CALL + 8,
};

/** struct call_bytes - a run of bytes that somebody else owns. */
struct call_bytes {
	const uint8_t *data;
	size_t size;
};

/**
 * struct call_request - the head of a call and the first part of its body
 * @wait_us: time left until the deadline when it was sent
 * @due_us: time left until an answer is worth less; 0 if that does not count,
 *	or has come to pass
 * @patience_us: longest wait at the gate that is preferred to a refusal; 0:
 *	any that deadline and due time allow
 * @headers: "name\0value\0" for each field
 * @body_size: of the whole body; its end is reached with that many bytes
 */
struct call_request {
	struct call_terms terms;
	int64_t wait_us;
	int64_t due_us;
	int64_t patience_us;
	bool repeatable;
	uint32_t queue_max;
	char service[SERVICE_NAME_SIZE];
	char method[METHOD_SIZE];
	struct call_bytes target;
	struct call_bytes headers;
	uint64_t body_size;
	struct call_bytes part;
};

/** struct call_part - a later part of a body; @offset is its place in it. */
struct call_part {
	uint64_t offset;
	struct call_bytes part;
};

/**
 * struct call_answer - the head of an answer and the first part of its body
 * @service_us: how long the upstream took
 * @error_share: of the upstream's answers of late those of 5xx
 */
struct call_answer {
	uint32_t status;
	uint32_t service_us;
	double error_share;
	double load;
	struct call_bytes headers;
	uint64_t body_size;
	struct call_bytes part;
};

/** struct call_refusal - an end without an answer. */
struct call_refusal {
	struct call_outcome outcome;
	double load;
};

/** enum call_query_result - what is said of a request that was asked about. */
enum call_query_result {
	CALL_QUERY_RUNNING, /* the answer will come over this connection */
	CALL_QUERY_FORGOTTEN,
	CALL_QUERY_RESTARTED, /* another incarnation was meant */
	CALL_QUERY_ANSWER_LOST,
	CALL_QUERY_RESULTS,
};

/**
 * struct call_frame - one message
 * @incarnation: in FRAME_QUERY, of the node that the request was sent to
 * @reason: in FRAME_CANCEL; CALL_DEADLINE if the caller's time is over
 */
struct call_frame {
	enum call_frame_type type;
	struct call_id id;
	union {
		struct call_request request;
		struct call_part part;
		struct call_answer answer;
		struct call_refusal refusal;
		enum call_query_result query_result;
		uint64_t incarnation;
		enum call_reason reason;
	};
};

/**
 * call_frame_encode() - write a message
 *
 * Return: the frame, owned by the encoder until its next use.
 */
const void *call_frame_encode(struct encoder *encoder,
			      const struct call_frame *frame, size_t *size);

/**
 * call_frame_decode() - read a message; bytes point into @message
 * @err: ERROR_PROTOCOL
 */
bool call_frame_decode(struct call_frame *frame, const struct message *message,
		       struct error *err);

#endif
