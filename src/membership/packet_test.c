#include <criterion/criterion.h>
#include <string.h>

#include "membership/packet.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

enum { TYPE = 40, FIELDS = 16, LONG_TEXT_BYTES = 2000 };

static const struct record sound = {
	.instance = "side-1",
	.data_centre = "hall",
	.service = "huvo",
	.profile = "main",
	.version = "v1",
	.address = { .family = 4, .ip = { 10, 0, 0, 1 }, .port = 7000 },
	.incarnation = 5,
	.sequence = 6,
	.state = UPSTREAM_SERVING,
	.slots = 6,
	.serving_age_ms = 7,
	.fitness = 3,
	.upstream_start = 8,
};

/* Decodes the one field of the message in @encoder as an item. */
static bool decode(struct encoder *encoder, struct packet_item *item,
		   struct error *err)
{
	struct message message;
	const void *body;
	size_t size;
	bool valid;

	body = encoder_body(encoder, &size);
	cr_assert(message_decode(&message, body, size, err), "%s", err->text);
	cr_assert_eq(message.count, 1);
	valid = packet_item_decode(&message.fields[0], item, err);
	message_finish(&message);
	return valid;
}

/* Guards against a number of a peer that overflows in arithmetic, or that is
 * the index of nothing. */
Test(packet, records_with_odd_numbers_are_refused)
{
	static const struct {
		const char *name;
		int64_t serving_age_ms;
		uint64_t incarnation;
		uint64_t sequence;
		uint32_t slots;
		uint32_t state;
		uint8_t fitness;
		bool valid;
	} cases[] = {
		{ "sound", 7, 5, 6, 6, UPSTREAM_SERVING, 3, true },
		{ "an age that is negative", -7, 5, 6, 6, UPSTREAM_SERVING, 3,
		  true },
		{ "the least age", INT64_MIN, 5, 6, 6, UPSTREAM_SERVING, 3,
		  false },
		{ "the greatest age", INT64_MAX, 5, 6, 6, UPSTREAM_SERVING, 3,
		  false },
		{ "an age past 64 bits in microseconds", INT64_MAX / 1000, 5, 6,
		  6, UPSTREAM_SERVING, 3, false },
		{ "the greatest incarnation", 7, UINT64_MAX, 6, 6,
		  UPSTREAM_SERVING, 3, false },
		{ "the greatest sequence", 7, 5, UINT64_MAX, 6,
		  UPSTREAM_SERVING, 3, false },
		{ "slots", 7, 5, 6, UINT32_MAX, UPSTREAM_SERVING, 3, false },
		{ "a state", 7, 5, 6, 6, UPSTREAM_GONE + 1, 3, false },
		{ "fitness", 7, 5, 6, 6, UPSTREAM_SERVING, 255, false },
	};
	struct encoder encoder;
	size_t i;

	encoder_init(&encoder);
	for (i = 0; i < COUNT(cases); i++) {
		struct record record = sound;
		struct error err = ERROR_INIT;
		struct packet_item item;

		record.serving_age_ms = cases[i].serving_age_ms;
		record.incarnation = cases[i].incarnation;
		record.sequence = cases[i].sequence;
		record.slots = cases[i].slots;
		record.state = (enum upstream_state)cases[i].state;
		record.fitness = cases[i].fitness;
		encoder_begin(&encoder, TYPE, 1);
		packet_encode_record(&encoder, &record, MEMBER_ALIVE);
		cr_expect_eq(decode(&encoder, &item, &err), cases[i].valid,
			     "%s", cases[i].name);
		cr_expect_eq(err.code,
			     cases[i].valid ? ERROR_NONE : ERROR_PROTOCOL, "%s",
			     cases[i].name);
	}
	encoder_finish(&encoder);
}

enum odd_kind {
	ODD_NOTHING,
	ODD_NIL,
	ODD_NESTED,
	ODD_NEGATIVE,
	ODD_REAL,
	ODD_TEXT_LONG,
	ODD_TEXT_WITH_NUL,
	ODD_BYTES,
	ODD_KINDS,
};

static void encode_odd(struct encoder *encoder, enum odd_kind kind)
{
	static uint8_t bytes[LONG_TEXT_BYTES];
	int i;

	switch (kind) {
	case ODD_NIL:
		msgpack_pack_nil(&encoder->packer);
		return;
	case ODD_NESTED:
		for (i = 0; i < CODEC_MAX_DEPTH - 3; i++)
			encode_array(encoder, 1);
		encode_uint(encoder, 1);
		return;
	case ODD_NEGATIVE:
		encode_int(encoder, INT64_MIN);
		return;
	case ODD_REAL:
		msgpack_pack_double(&encoder->packer, 1e300);
		return;
	case ODD_TEXT_LONG:
		memset(bytes, 'a', sizeof(bytes));
		msgpack_pack_str_with_body(&encoder->packer, bytes,
					   sizeof(bytes));
		return;
	case ODD_TEXT_WITH_NUL:
		msgpack_pack_str_with_body(&encoder->packer, "a\0b", 3);
		return;
	case ODD_BYTES:
		encode_bytes(encoder, bytes, 5);
		return;
	case ODD_NOTHING:
	case ODD_KINDS:
		return;
	}
}

static void encode_sound(struct encoder *encoder, uint32_t field)
{
	const char *const texts[] = { "side-1", "hall", "huvo", "main" };

	if (field == 0)
		encode_uint(encoder, RUMOR_RECORD);
	else if (field >= 2 && field <= 5)
		encode_text(encoder, texts[field - 2]);
	else if (field == 6)
		encode_bytes(encoder, sound.address.ip, 4);
	else if (field == 14)
		encode_text(encoder, "v1");
	else
		encode_uint(encoder, 1);
}

/* Guards against a field of a peer that is read as a value of another type. */
Test(packet, each_field_of_a_record_has_its_type)
{
	struct encoder encoder;
	uint32_t field;
	uint32_t i;
	int kind;

	encoder_init(&encoder);
	for (kind = 0; kind < ODD_KINDS; kind++)
		for (field = 0; field < FIELDS; field++) {
			struct error err = ERROR_INIT;
			struct packet_item item;

			encoder_begin(&encoder, TYPE, 1);
			encode_array(&encoder, FIELDS);
			for (i = 0; i < FIELDS; i++)
				if (i == field && kind != ODD_NOTHING)
					encode_odd(&encoder,
						   (enum odd_kind)kind);
				else
					encode_sound(&encoder, i);
			cr_expect_eq(decode(&encoder, &item, &err),
				     kind == ODD_NOTHING, "kind %d, field %u",
				     kind, field);
		}
	encoder_finish(&encoder);
}
