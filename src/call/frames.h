#ifndef CALL_FRAMES_H
#define CALL_FRAMES_H

#include "call/call_defs.h"
#include "route/speed.h"
#include "wire/codec.h"
#include "wire/frame_types.h"

/**
 * DOC: call frames
 *
 * Messages between the two nodes of a call and their wire encoding. Each
 * message begins with the ID of the attempt. Messages are matched by this ID
 * alone; their order matters only among the parts of one body.
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

/** struct call_bytes - a borrowed range of bytes. */
struct call_bytes {
	const uint8_t *data;
	size_t size;
};

/**
 * struct call_request - head of a request and first part of its body
 * @wait_us: time from sending the request to its deadline, in microseconds
 * @due_us: time from sending the request to the moment after which its answer
 *	loses value, in microseconds; 0 if there is no such moment or it has
 *	passed
 * @wait_max_us: longest wait at the gate before the request is refused, in
 *	microseconds; 0 sets no bound beyond @wait_us and @due_us
 * @repeatable: true if the request is idempotent
 * @queue_max: largest number of requests of this kind that may wait at the
 *	gate; 0 sets no bound
 * @headers: "name\0value\0" for each field
 * @body_size: size of the complete body, in bytes
 * @part: first part of the body; empty only if the body is empty
 */
struct call_request {
	struct call_context context;
	int64_t wait_us;
	int64_t due_us;
	int64_t wait_max_us;
	bool repeatable;
	uint32_t queue_max;
	char service[SERVICE_NAME_SIZE];
	char method[METHOD_SIZE];
	struct call_bytes target;
	struct call_bytes headers;
	uint64_t body_size;
	struct call_bytes part;
};

/**
 * struct call_part - a later part of a body
 * @offset: position of the part in the body, in bytes
 */
struct call_part {
	uint64_t offset;
	struct call_bytes part;
};

/**
 * struct call_answer - head of an answer and first part of its body
 * @service_us: time that the upstream took, in microseconds
 * @error_rate: fraction of 5xx among the recent answers of the upstream
 * @load: load of the gate beside the upstream
 * @usable_share: share of the slots that the rate limit of the upstream can
 *	keep busy; 1 without a limit
 * @leaving_start: incarnation of the upstream, see struct record, if the answer
 *	says that it leaves; otherwise 0
 * @speed: speed of the upstream; 0 where unknown
 * @headers: "name\0value\0" for each field
 * @body_size: size of the complete body, in bytes
 * @part: first part of the body; empty only if the body is empty
 */
struct call_answer {
	uint32_t status;
	uint32_t service_us;
	double error_rate;
	double load;
	double usable_share;
	uint64_t leaving_start;
	struct speed_report speed;
	struct call_bytes headers;
	uint64_t body_size;
	struct call_bytes part;
};

/**
 * struct call_refusal - end of an attempt without an answer
 * @load: load of the gate beside the upstream
 * @usable_share: see struct call_answer
 * @speed: see struct call_answer
 */
struct call_refusal {
	struct call_outcome outcome;
	double load;
	double usable_share;
	struct speed_report speed;
};

/** enum call_query_result - result of a query about an attempt. */
enum call_query_result {
	CALL_QUERY_RUNNING,	/* the answer follows on this connection */
	CALL_QUERY_FORGOTTEN,	/* the attempt may have been received */
	CALL_QUERY_RESTARTED,	/* the query names another incarnation */
	CALL_QUERY_ANSWER_LOST, /* the request ran, its answer is discarded */
	CALL_QUERY_RESULTS,
};

/**
 * struct call_frame - one message
 * @id: ID of the attempt
 * @part: content of FRAME_CALL_PART and FRAME_ANSWER_PART
 * @query_result: content of FRAME_QUERY_RESULT
 * @incarnation: content of FRAME_QUERY: incarnation of the node that the
 *	request was sent to
 * @reason: content of FRAME_CANCEL; CALL_DEADLINE if the deadline has passed
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
 * call_frame_encode() - encodes a message
 * @size: set to the size of the encoded frame, in bytes
 *
 * Return: the encoded frame; valid until the next use of @encoder, which owns
 * it.
 */
const void *call_frame_encode(struct encoder *encoder,
			      const struct call_frame *frame, size_t *size);

/**
 * call_frame_decode() - decodes and validates a message
 * @frame: result; its byte ranges point into @message
 * @err: set to ERROR_PROTOCOL if the message is malformed
 *
 * Return: true if the message is valid.
 */
bool call_frame_decode(struct call_frame *frame, const struct message *message,
		       struct error *err);

#endif
