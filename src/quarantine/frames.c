#include "quarantine/frames.h"

#include <string.h>

enum { FRAME_FIELDS = 1, FINDING_FIELDS = 4 };

static const int64_t age_max_ms = 7LL * 24 * 60 * 60 * 1000;

void quarantine_findings_begin(struct encoder *encoder, uint32_t count)
{
	encoder_begin(encoder, FRAME_QUARANTINE_FINDINGS, FRAME_FIELDS);
	encode_array(encoder, count);
}

void quarantine_findings_add(struct encoder *encoder,
			     const struct quarantine_finding *finding,
			     int64_t age_ms)
{
	uint32_t i;

	encode_array(encoder, FINDING_FIELDS);
	encode_uint(encoder, finding->hash);
	encode_uint(encoder, finding->completions);
	encode_uint(encoder, age_ms > 0 ? (uint64_t)age_ms : 0);
	encode_array(encoder, finding->crash_count);
	for (i = 0; i < finding->crash_count; i++)
		encode_uint(encoder, finding->crashes[i]);
}

static bool decode_crashes(const msgpack_object *object,
			   struct quarantine_finding *finding,
			   struct error *err)
{
	const msgpack_object *ids;
	uint64_t before = 0;
	uint32_t i;

	if (!decode_array(object, &ids, &finding->crash_count, "crashes", err))
		return false;
	if (finding->crash_count > QUARANTINE_CRASHES_MAX) {
		error_set(err, ERROR_PROTOCOL, "too many crashes: %u",
			  finding->crash_count);
		return false;
	}
	for (i = 0; i < finding->crash_count; i++) {
		if (!decode_uint(&ids[i], UINT64_MAX, &finding->crashes[i],
				 "crash", err))
			return false;
		if (finding->crashes[i] <= before) {
			error_set(err, ERROR_PROTOCOL,
				  "crashes are not in ascending order");
			return false;
		}
		before = finding->crashes[i];
	}
	return true;
}

static bool decode_finding(const msgpack_object *f,
			   struct quarantine_finding *finding, int64_t *age_ms,
			   struct error *err)
{
	uint64_t completions;
	uint64_t age;

	memset(finding, 0, sizeof(*finding));
	if (!decode_uint(&f[0], UINT64_MAX, &finding->hash, "hash", err) ||
	    !decode_uint(&f[1], UINT32_MAX, &completions, "completions", err) ||
	    !decode_uint(&f[2], (uint64_t)age_max_ms, &age, "age", err) ||
	    !decode_crashes(&f[3], finding, err))
		return false;
	finding->completions = (uint32_t)completions;
	*age_ms = (int64_t)age;
	return true;
}

bool quarantine_findings_decode(const struct message *message, uint32_t index,
				struct quarantine_finding *finding,
				int64_t *age_ms, struct error *err)
{
	const msgpack_object *list;
	const msgpack_object *fields;
	uint32_t count;
	uint32_t field_count;

	if (!decode_count(message, FRAME_FIELDS, "findings", err) ||
	    !decode_array(&message->fields[0], &list, &count, "findings", err))
		return false;
	if (index >= count)
		return false;
	if (!decode_array(&list[index], &fields, &field_count, "finding", err))
		return false;
	if (field_count == FINDING_FIELDS)
		return decode_finding(fields, finding, age_ms, err);
	error_set(err, ERROR_PROTOCOL,
		  "finding has a wrong number of fields: %u", field_count);
	return false;
}
