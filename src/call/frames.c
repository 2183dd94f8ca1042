#include "call/frames.h"

#include <string.h>

enum {
	MILLI = 1000,
	MILLI_VALUE_MAX = 1000 * MILLI,
	BODY_MAX_BYTES = 1 << 30,
	REQUEST_FIELDS = 17,
	/* Field at the end of a request that has a rank; nodes of earlier
	 * versions know none. */
	RANK_FIELDS = 1,
	ANSWER_FIELDS = 9,
	REFUSAL_FIELDS = 5,
	/* Fields at the end of an answer or a refusal, absent where the speed
	 * is unknown. */
	SPEED_FIELDS = 2,
	PART_FIELDS = 2,
};

static void encode_milli(struct encoder *encoder, double value)
{
	double milli = value * MILLI;

	if (milli < 0)
		milli = 0;
	if (milli > MILLI_VALUE_MAX)
		milli = MILLI_VALUE_MAX;
	encode_uint(encoder, (uint64_t)milli);
}

static bool decode_milli(const msgpack_object *object, double *value,
			 const char *what, struct error *err)
{
	uint64_t milli;

	if (!decode_uint(object, MILLI_VALUE_MAX, &milli, what, err))
		return false;
	*value = (double)milli / MILLI;
	return true;
}

static bool decode_share(const msgpack_object *object, double *value,
			 const char *what, struct error *err)
{
	if (!decode_milli(object, value, what, err))
		return false;
	if (*value <= 1)
		return true;
	error_set(err, ERROR_PROTOCOL, "%s is greater than 1", what);
	return false;
}

static void encode_call_bytes(struct encoder *encoder,
			      const struct call_bytes *bytes)
{
	encode_bytes(encoder, bytes->data, bytes->size);
}

static bool decode_call_bytes(const msgpack_object *object, size_t maximum,
			      struct call_bytes *bytes, const char *what,
			      struct error *err)
{
	if (!decode_bytes(object, &bytes->data, &bytes->size, what, err))
		return false;
	if (bytes->size <= maximum)
		return true;
	error_set(err, ERROR_PROTOCOL, "%s is too long", what);
	return false;
}

static bool has_rank(const struct call_request *request)
{
	return request->context.rank > TENANT_PRIORITY_NONE;
}

static void encode_request(struct encoder *encoder,
			   const struct call_request *request)
{
	const struct call_context *context = &request->context;

	encode_uint(encoder,
		    request->wait_us > 0 ? (uint64_t)request->wait_us : 0);
	encode_milli(encoder, context->weight);
	encode_uint(encoder, context->attempts);
	encode_uint(encoder, context->hops);
	encode_text(encoder, context->tenant);
	encode_text(encoder, context->kind);
	encode_text(encoder, context->request_id);
	encode_bool(encoder, request->repeatable);
	encode_uint(encoder, request->queue_max);
	encode_text(encoder, request->service);
	encode_text(encoder, request->method);
	encode_call_bytes(encoder, &request->target);
	encode_call_bytes(encoder, &request->headers);
	encode_uint(encoder, request->body_size);
	encode_call_bytes(encoder, &request->part);
	encode_uint(encoder,
		    request->due_us > 0 ? (uint64_t)request->due_us : 0);
	encode_uint(encoder, (uint64_t)request->wait_max_us);
	if (has_rank(request))
		encode_uint(encoder, (uint64_t)context->rank);
}

/* Accepts only complete pairs of "name\0value\0" with names that are not empty,
 * so that readers may use strlen() on them. */
static bool check_headers(const struct call_bytes *headers, struct error *err)
{
	const uint8_t *at = headers->data;
	const uint8_t *end = at + headers->size;
	uint32_t texts = 0;

	while (at < end) {
		const uint8_t *stop = memchr(at, '\0', (size_t)(end - at));

		if (!stop || (texts % 2 == 0 && stop == at))
			break;
		texts++;
		at = stop + 1;
	}
	if (at == end && texts % 2 == 0 && texts / 2 <= CALL_HEADERS_MAX)
		return true;
	error_set(err, ERROR_PROTOCOL, "headers are not well-formed");
	return false;
}

static bool check_target(const struct call_bytes *target, struct error *err)
{
	size_t i;

	if (!target->size || target->data[0] != '/')
		goto malformed;
	for (i = 0; i < target->size; i++)
		if (target->data[i] <= ' ' || target->data[i] == 0x7f)
			goto malformed;
	return true;
malformed:
	error_set(err, ERROR_PROTOCOL, "target is not well-formed");
	return false;
}

static bool check_first_part(uint64_t body_size, size_t part_size,
			     struct error *err)
{
	if (part_size <= body_size && (part_size || !body_size))
		return true;
	error_set(err, ERROR_PROTOCOL,
		  "size of the first part does not match the body size");
	return false;
}

static bool decode_time(const msgpack_object *f, int64_t *time_us,
			const char *what, struct error *err)
{
	uint64_t wide;

	if (!decode_uint(f, (uint64_t)CALL_DEADLINE_MAX_MS * 1000, &wide, what,
			 err))
		return false;
	*time_us = (int64_t)wide;
	return true;
}

static bool decode_context(const msgpack_object *f,
			   struct call_request *request, struct error *err)
{
	struct call_context *context = &request->context;

	return decode_time(&f[0], &request->wait_us, "wait", err) &&
	       decode_milli(&f[1], &context->weight, "weight", err) &&
	       decode_uint32(&f[2], CALL_ATTEMPTS_MAX, &context->attempts,
			     "attempts", err) &&
	       decode_uint32(&f[3], CALL_HOPS_MAX, &context->hops, "hops",
			     err) &&
	       decode_text(&f[4], context->tenant, sizeof(context->tenant),
			   "tenant", err) &&
	       decode_text(&f[5], context->kind, sizeof(context->kind), "kind",
			   err) &&
	       decode_text(&f[6], context->request_id,
			   sizeof(context->request_id), "request id", err);
}

static bool decode_rank(const msgpack_object *f, struct call_request *request,
			struct error *err)
{
	uint32_t rank;

	if (!decode_uint32(f, KIND_PRIORITY_MAX, &rank, "rank", err))
		return false;
	request->context.rank = rank;
	return true;
}

static bool decode_request(const msgpack_object *f,
			   struct call_request *request, struct error *err)
{
	return decode_time(&f[15], &request->due_us, "due time", err) &&
	       decode_time(&f[16], &request->wait_max_us, "maximum wait",
			   err) &&
	       decode_context(f, request, err) &&
	       decode_bool(&f[7], &request->repeatable, "repeatable", err) &&
	       decode_uint32(&f[8], UINT32_MAX, &request->queue_max, "queue",
			     err) &&
	       decode_text(&f[9], request->service, sizeof(request->service),
			   "service", err) &&
	       decode_text(&f[10], request->method, sizeof(request->method),
			   "method", err) &&
	       decode_call_bytes(&f[11], CALL_TARGET_SIZE - 1, &request->target,
				 "target", err) &&
	       check_target(&request->target, err) &&
	       decode_call_bytes(&f[12], CALL_HEADERS_MAX_BYTES,
				 &request->headers, "headers", err) &&
	       check_headers(&request->headers, err) &&
	       decode_uint(&f[13], BODY_MAX_BYTES, &request->body_size,
			   "body size", err) &&
	       decode_call_bytes(&f[14], CALL_PART_BYTES, &request->part,
				 "body", err) &&
	       check_first_part(request->body_size, request->part.size, err);
}

static bool has_speed(const struct speed_report *speed)
{
	return speed->usual_us || speed->work_pct;
}

static void encode_speed(struct encoder *encoder,
			 const struct speed_report *speed)
{
	if (!has_speed(speed))
		return;
	encode_uint(encoder, speed->usual_us);
	encode_uint(encoder, speed->work_pct);
}

/* @count: number of the fields at @f; 0 if they are absent */
static bool decode_speed(const msgpack_object *f, uint32_t count,
			 struct speed_report *speed, struct error *err)
{
	*speed = (struct speed_report){ 0 };
	if (!count)
		return true;
	return decode_uint32(&f[0], UINT32_MAX, &speed->usual_us, "usual time",
			     err) &&
	       decode_uint32(&f[1], PACE_WORK_PCT_MAX, &speed->work_pct, "pace",
			     err);
}

static void encode_answer(struct encoder *encoder,
			  const struct call_answer *answer)
{
	encode_uint(encoder, answer->status);
	encode_milli(encoder, answer->load);
	encode_call_bytes(encoder, &answer->headers);
	encode_uint(encoder, answer->body_size);
	encode_call_bytes(encoder, &answer->part);
	encode_uint(encoder, answer->service_us);
	encode_milli(encoder, answer->error_rate);
	encode_milli(encoder, answer->usable_share);
	encode_uint(encoder, answer->leaving_start);
	encode_speed(encoder, &answer->speed);
}

static bool decode_answer(const msgpack_object *f, struct call_answer *answer,
			  struct error *err)
{
	return decode_uint32(&f[0], 999, &answer->status, "status", err) &&
	       decode_milli(&f[1], &answer->load, "load", err) &&
	       decode_call_bytes(&f[2], CALL_HEADERS_MAX_BYTES,
				 &answer->headers, "headers", err) &&
	       check_headers(&answer->headers, err) &&
	       decode_uint(&f[3], BODY_MAX_BYTES, &answer->body_size,
			   "body size", err) &&
	       decode_call_bytes(&f[4], CALL_PART_BYTES, &answer->part, "body",
				 err) &&
	       check_first_part(answer->body_size, answer->part.size, err) &&
	       decode_uint32(&f[5], UINT32_MAX, &answer->service_us,
			     "service time", err) &&
	       decode_share(&f[6], &answer->error_rate, "error rate", err) &&
	       decode_share(&f[7], &answer->usable_share, "usable share",
			    err) &&
	       decode_uint(&f[8], UINT64_MAX, &answer->leaving_start,
			   "start of the upstream", err);
}

static bool decode_part(const msgpack_object *f, struct call_part *part,
			struct error *err)
{
	return decode_uint(&f[0], BODY_MAX_BYTES, &part->offset, "offset",
			   err) &&
	       decode_call_bytes(&f[1], CALL_PART_BYTES, &part->part, "body",
				 err);
}

static bool decode_reason(const msgpack_object *field, enum call_reason *reason,
			  struct error *err)
{
	uint32_t number;

	if (!decode_uint32(field, CALL_REASONS - 1, &number, "reason", err))
		return false;
	*reason = (enum call_reason)number;
	return true;
}

static bool decode_refusal(const msgpack_object *f,
			   struct call_refusal *refusal, struct error *err)
{
	uint32_t verdict;

	if (!decode_uint32(&f[0], VERDICT_RAN, &verdict, "verdict", err) ||
	    !decode_reason(&f[1], &refusal->outcome.reason, err))
		return false;
	refusal->outcome.verdict = (enum verdict)verdict;
	return decode_uint32(&f[2], CALL_DEADLINE_MAX_MS,
			     &refusal->outcome.retry_after_ms, "retry after",
			     err) &&
	       decode_milli(&f[3], &refusal->load, "load", err) &&
	       decode_share(&f[4], &refusal->usable_share, "usable share", err);
}

static bool decode_query_result(const msgpack_object *f,
				enum call_query_result *query_result,
				struct error *err)
{
	uint32_t value;

	if (!decode_uint32(&f[0], CALL_QUERY_RESULTS - 1, &value,
			   "query result", err))
		return false;
	*query_result = (enum call_query_result)value;
	return true;
}

/* Returns the number of required fields of a frame type, without the attempt's
 * ID. */
static uint32_t field_count(enum call_frame_type type)
{
	switch (type) {
	case FRAME_CALL:
		return REQUEST_FIELDS;
	case FRAME_ANSWER:
		return ANSWER_FIELDS;
	case FRAME_CALL_PART:
	case FRAME_ANSWER_PART:
		return PART_FIELDS;
	case FRAME_REFUSAL:
		return REFUSAL_FIELDS;
	case FRAME_QUERY:
	case FRAME_QUERY_RESULT:
	case FRAME_CANCEL:
		return 1;
	case FRAME_LEAVING:
		return 0;
	}
	return 0;
}

/* Returns the number of optional fields that the frame carries. */
static uint32_t optional_count(const struct call_frame *frame)
{
	switch (frame->type) {
	case FRAME_CALL:
		return has_rank(&frame->request) ? RANK_FIELDS : 0;
	case FRAME_ANSWER:
		return has_speed(&frame->answer.speed) ? SPEED_FIELDS : 0;
	case FRAME_REFUSAL:
		return has_speed(&frame->refusal.speed) ? SPEED_FIELDS : 0;
	default:
		return 0;
	}
}

const void *call_frame_encode(struct encoder *encoder,
			      const struct call_frame *frame, size_t *size)
{
	encoder_begin(encoder, (uint8_t)frame->type,
		      field_count(frame->type) + optional_count(frame) + 2);
	encode_uint(encoder, frame->id.incarnation);
	encode_uint(encoder, frame->id.sequence);
	switch (frame->type) {
	case FRAME_CALL:
		encode_request(encoder, &frame->request);
		break;
	case FRAME_ANSWER:
		encode_answer(encoder, &frame->answer);
		break;
	case FRAME_CALL_PART:
	case FRAME_ANSWER_PART:
		encode_uint(encoder, frame->part.offset);
		encode_call_bytes(encoder, &frame->part.part);
		break;
	case FRAME_REFUSAL:
		encode_uint(encoder, frame->refusal.outcome.verdict);
		encode_uint(encoder, frame->refusal.outcome.reason);
		encode_uint(encoder, frame->refusal.outcome.retry_after_ms);
		encode_milli(encoder, frame->refusal.load);
		encode_milli(encoder, frame->refusal.usable_share);
		encode_speed(encoder, &frame->refusal.speed);
		break;
	case FRAME_QUERY:
		encode_uint(encoder, frame->incarnation);
		break;
	case FRAME_QUERY_RESULT:
		encode_uint(encoder, frame->query_result);
		break;
	case FRAME_CANCEL:
		encode_uint(encoder, frame->reason);
		break;
	case FRAME_LEAVING:
		break;
	}
	return encoder_end(encoder, size);
}

/* Returns the number of optional fields that a frame type may carry. */
static uint32_t optional_max(enum call_frame_type type)
{
	switch (type) {
	case FRAME_CALL:
		return RANK_FIELDS;
	case FRAME_ANSWER:
	case FRAME_REFUSAL:
		return SPEED_FIELDS;
	default:
		return 0;
	}
}

/* Returns the number of optional fields in the message. */
static uint32_t count_optional(const struct message *message)
{
	enum call_frame_type type = (enum call_frame_type)message->type;
	uint32_t optional = optional_max(type);

	return message->count == field_count(type) + optional + 2 ? optional
								  : 0;
}

static bool known_type(uint8_t type)
{
	return type >= FRAME_CALL && type <= FRAME_LEAVING;
}

bool call_frame_decode(struct call_frame *frame, const struct message *message,
		       struct error *err)
{
	const msgpack_object *f = message->fields;
	uint32_t optional;

	if (!known_type(message->type)) {
		error_set(err, ERROR_PROTOCOL, "call frame of unknown type %u",
			  message->type);
		return false;
	}
	frame->type = (enum call_frame_type)message->type;
	optional = count_optional(message);
	if (!decode_count(message, field_count(frame->type) + optional + 2,
			  "call frame", err) ||
	    !decode_uint(&f[0], UINT64_MAX, &frame->id.incarnation,
			 "incarnation", err) ||
	    !decode_uint(&f[1], UINT64_MAX, &frame->id.sequence, "sequence",
			 err))
		return false;
	f += 2;
	switch (frame->type) {
	case FRAME_CALL:
		frame->request.context.rank = TENANT_PRIORITY_NONE;
		return decode_request(f, &frame->request, err) &&
		       (!optional ||
			decode_rank(&f[REQUEST_FIELDS], &frame->request, err));
	case FRAME_ANSWER:
		return decode_answer(f, &frame->answer, err) &&
		       decode_speed(&f[ANSWER_FIELDS], optional,
				    &frame->answer.speed, err);
	case FRAME_CALL_PART:
	case FRAME_ANSWER_PART:
		return decode_part(f, &frame->part, err);
	case FRAME_REFUSAL:
		return decode_refusal(f, &frame->refusal, err) &&
		       decode_speed(&f[REFUSAL_FIELDS], optional,
				    &frame->refusal.speed, err);
	case FRAME_QUERY:
		return decode_uint(&f[0], UINT64_MAX, &frame->incarnation,
				   "incarnation", err);
	case FRAME_QUERY_RESULT:
		return decode_query_result(f, &frame->query_result, err);
	case FRAME_CANCEL:
		return decode_reason(&f[0], &frame->reason, err);
	case FRAME_LEAVING:
		break;
	}
	return true;
}
