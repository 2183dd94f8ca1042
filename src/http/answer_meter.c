#include "http/answer_meter.h"

#include <string.h>

#include "http/head.h"

void answer_meter_init(struct answer_meter *meter, uint64_t body_max,
		       struct answer_total *total)
{
	memset(meter, 0, sizeof(*meter));
	meter->body_max = body_max;
	meter->total = total;
}

void answer_meter_finish(struct answer_meter *meter)
{
	if (meter->total)
		meter->total->bytes -= meter->body_bytes;
	meter->body_bytes = 0;
}

static void begin_fields(struct answer_meter *meter)
{
	meter->fields = 0;
	meter->field_bytes = 0;
	meter->in_value = true;
}

void answer_meter_begin(struct answer_meter *meter)
{
	begin_fields(meter);
	answer_meter_finish(meter);
}

void answer_meter_head_end(struct answer_meter *meter)
{
	begin_fields(meter);
}

/* Return: false if @value is greater than @maximum. */
static bool check(struct answer_meter *meter, enum answer_limit limit,
		  uint64_t value, uint64_t maximum)
{
	if (value <= maximum)
		return true;
	meter->passed = limit;
	meter->maximum = maximum;
	return false;
}

static bool check_field_bytes(struct answer_meter *meter)
{
	return check(meter, ANSWER_LIMIT_FIELD_BYTES, meter->field_bytes,
		     HTTP_FIELDS_MAX_BYTES);
}

bool answer_meter_add_name(struct answer_meter *meter, size_t size)
{
	if (meter->in_value) {
		meter->in_value = false;
		meter->fields++;
		/* The terminating NULs of name and value. */
		meter->field_bytes += 2;
	}
	meter->field_bytes += size;
	return check(meter, ANSWER_LIMIT_FIELDS, meter->fields,
		     HTTP_FIELDS_MAX) &&
	       check_field_bytes(meter);
}

bool answer_meter_add_value(struct answer_meter *meter, size_t size)
{
	meter->in_value = true;
	meter->field_bytes += size;
	return check_field_bytes(meter);
}

bool answer_meter_add_body(struct answer_meter *meter, size_t size)
{
	meter->body_bytes += size;
	if (meter->total)
		meter->total->bytes += size;
	if (!check(meter, ANSWER_LIMIT_BODY_BYTES, meter->body_bytes,
		   meter->body_max))
		return false;
	return !meter->total ||
	       check(meter, ANSWER_LIMIT_TOTAL_BYTES, meter->total->bytes,
		     meter->total->bytes_max);
}

void answer_meter_add_read(struct answer_meter *meter, size_t size)
{
	meter->read_bytes += size;
}

bool answer_meter_check_read(struct answer_meter *meter)
{
	return check(meter, ANSWER_LIMIT_OTHER_BYTES,
		     meter->read_bytes - meter->body_bytes,
		     ANSWER_OTHER_MAX_BYTES +
			     ANSWER_OTHER_PER_BODY_BYTE * meter->body_bytes);
}

void answer_meter_head_expired(struct answer_meter *meter, int64_t maximum_ms)
{
	meter->passed = ANSWER_LIMIT_HEAD_MS;
	meter->maximum = (uint64_t)maximum_ms;
}

const char *answer_limit_name(enum answer_limit limit)
{
	switch (limit) {
	case ANSWER_LIMIT_NONE:
		break;
	case ANSWER_LIMIT_FIELDS:
		return "fields";
	case ANSWER_LIMIT_FIELD_BYTES:
		return "bytes of fields";
	case ANSWER_LIMIT_BODY_BYTES:
		return "bytes of body";
	case ANSWER_LIMIT_TOTAL_BYTES:
		return "bytes of all bodies";
	case ANSWER_LIMIT_OTHER_BYTES:
		return "bytes besides the body";
	case ANSWER_LIMIT_HEAD_MS:
		return "ms for the head";
	}
	return "none";
}
