#include "rollout/frames.h"

#include <string.h>

#define MILLION 1000000.0

enum {
	STATES_FIELDS = 1,
	STATE_FIELDS = 8,
	REPORT_FIELDS = 8,
	KIND_FIXED_FIELDS = 4,
	KIND_FIELDS = KIND_FIXED_FIELDS + REQUEST_STATS_EDGES,
	SHARE_MAX = 1000000,
	BUSY_MAX = 1000000,
};

void rollout_states_begin(struct encoder *encoder, uint32_t count)
{
	encoder_begin(encoder, FRAME_ROLLOUT_STATES, STATES_FIELDS);
	encode_array(encoder, count);
}

void rollout_states_add(struct encoder *encoder, const struct rollout *rollout,
			int64_t elapsed_ms)
{
	encode_array(encoder, STATE_FIELDS);
	encode_text(encoder, rollout->order.service);
	encode_text(encoder, rollout->order.target);
	encode_uint(encoder, rollout->order.revision);
	encode_int(encoder, rollout->order.over_ms);
	encode_uint(encoder, rollout->phase);
	encode_uint(encoder, (uint64_t)(rollout->share * MILLION));
	encode_int(encoder, elapsed_ms);
	encode_uint(encoder, rollout->record_revision);
}

static bool decode_state(const msgpack_object *f, struct rollout *rollout,
			 struct error *err)
{
	struct rollout_order *order = &rollout->order;
	uint64_t phase;
	uint64_t share;

	memset(rollout, 0, sizeof(*rollout));
	if (!decode_text(&f[0], order->service, sizeof(order->service),
			 "service", err) ||
	    !decode_text(&f[1], order->target, sizeof(order->target), "target",
			 err) ||
	    !decode_uint(&f[2], UINT64_MAX, &order->revision, "order", err) ||
	    !decode_ms(&f[3], &order->over_ms, "time", err) ||
	    !decode_uint(&f[4], ROLLOUT_PHASES - 1, &phase, "phase", err) ||
	    !decode_uint(&f[5], SHARE_MAX, &share, "share", err) ||
	    !decode_ms(&f[6], &rollout->elapsed_ms, "elapsed", err) ||
	    !decode_uint(&f[7], UINT64_MAX, &rollout->record_revision, "record",
			 err))
		return false;
	rollout->phase = (enum rollout_phase)phase;
	rollout->share = (double)share / MILLION;
	return true;
}

bool rollout_states_decode(const struct message *message, uint32_t index,
			   struct rollout *rollout, struct error *err)
{
	const msgpack_object *list;
	const msgpack_object *fields;
	uint32_t count;
	uint32_t field_count;

	if (!decode_count(message, STATES_FIELDS, "states", err) ||
	    !decode_array(&message->fields[0], &list, &count, "states", err))
		return false;
	if (index >= count)
		return false;
	if (!decode_array(&list[index], &fields, &field_count, "state", err))
		return false;
	if (field_count == STATE_FIELDS)
		return decode_state(fields, rollout, err);
	error_set(err, ERROR_PROTOCOL, "state has a wrong number of fields: %u",
		  field_count);
	return false;
}

static void encode_kind(struct encoder *encoder,
			const struct request_stats_kind *kind)
{
	uint32_t edge;

	encode_array(encoder, KIND_FIELDS);
	encode_uint(encoder, kind->kind);
	encode_uint(encoder, kind->finished);
	encode_uint(encoder, kind->failed);
	encode_uint(encoder, kind->timed);
	for (edge = 0; edge < REQUEST_STATS_EDGES; edge++)
		encode_uint(encoder, kind->reached[edge]);
}

void rollout_report_encode(struct encoder *encoder,
			   const struct rollout_report *report)
{
	const struct request_stats *request_stats =
		&report->judge.request_stats;
	uint32_t i;

	encoder_begin(encoder, FRAME_ROLLOUT_REPORT, REPORT_FIELDS);
	encode_text(encoder, report->service);
	encode_uint(encoder, report->order_revision);
	encode_uint(encoder, report->judge.instance);
	encode_bool(encoder, report->judge.runs_target);
	encode_uint(encoder, report->judge.busy);
	encode_uint(encoder, request_stats->epoch);
	encode_uint(encoder, request_stats->started);
	encode_array(encoder, request_stats->kind_count);
	for (i = 0; i < request_stats->kind_count; i++)
		encode_kind(encoder, &request_stats->kinds[i]);
}

static bool decode_kind(const msgpack_object *object,
			struct request_stats_kind *kind, struct error *err)
{
	const msgpack_object *f;
	uint32_t count;
	uint32_t edge;

	if (!decode_array(object, &f, &count, "kind", err))
		return false;
	if (count != KIND_FIELDS) {
		error_set(err, ERROR_PROTOCOL,
			  "kind has a wrong number of fields: %u", count);
		return false;
	}
	if (!decode_uint(&f[0], UINT64_MAX, &kind->kind, "kind", err) ||
	    !decode_uint32(&f[1], UINT32_MAX, &kind->finished, "finished",
			   err) ||
	    !decode_uint32(&f[2], UINT32_MAX, &kind->failed, "failed", err) ||
	    !decode_uint32(&f[3], UINT32_MAX, &kind->timed, "timed", err))
		return false;
	for (edge = 0; edge < REQUEST_STATS_EDGES; edge++)
		if (!decode_uint32(&f[KIND_FIXED_FIELDS + edge], UINT32_MAX,
				   &kind->reached[edge], "reached", err))
			return false;
	return true;
}

static bool decode_kinds(const msgpack_object *object,
			 struct request_stats *request_stats, struct error *err)
{
	const msgpack_object *list;
	uint32_t i;

	if (!decode_array(object, &list, &request_stats->kind_count, "kinds",
			  err))
		return false;
	if (request_stats->kind_count > REQUEST_STATS_KINDS_MAX) {
		error_set(err, ERROR_PROTOCOL, "too many kinds: %u",
			  request_stats->kind_count);
		return false;
	}
	for (i = 0; i < request_stats->kind_count; i++)
		if (!decode_kind(&list[i], &request_stats->kinds[i], err))
			return false;
	return true;
}

bool rollout_report_decode(const struct message *message,
			   struct rollout_report *report, struct error *err)
{
	const msgpack_object *f = message->fields;
	struct judge_report *judge = &report->judge;
	uint64_t busy;

	memset(report, 0, sizeof(*report));
	if (!decode_count(message, REPORT_FIELDS, "report", err) ||
	    !decode_text(&f[0], report->service, sizeof(report->service),
			 "service", err) ||
	    !decode_uint(&f[1], UINT64_MAX, &report->order_revision, "order",
			 err) ||
	    !decode_uint(&f[2], UINT64_MAX, &judge->instance, "instance",
			 err) ||
	    !decode_bool(&f[3], &judge->runs_target, "runs_target", err) ||
	    !decode_uint(&f[4], BUSY_MAX, &busy, "busy", err) ||
	    !decode_uint(&f[5], UINT64_MAX, &judge->request_stats.epoch,
			 "epoch", err) ||
	    !decode_uint32(&f[6], UINT32_MAX, &judge->request_stats.started,
			   "started", err))
		return false;
	judge->busy = (uint32_t)busy;
	return decode_kinds(&f[7], &judge->request_stats, err);
}
