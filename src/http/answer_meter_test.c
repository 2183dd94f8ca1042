#include <criterion/criterion.h>

#include "http/answer_meter.h"
#include "http/head.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

enum { BODY_MAX_BYTES = 1000 };

enum piece {
	PIECE_NAME,
	PIECE_VALUE,
	PIECE_HEAD_END,
	PIECE_BODY,
	PIECE_NEXT_ANSWER,
	PIECE_READ, /* bytes of any kind */
};

/* A number of equal pieces. */
struct step {
	enum piece piece;
	uint32_t count;
	size_t size_bytes;
};

static bool add(struct answer_meter *meter, const struct step *step)
{
	switch (step->piece) {
	case PIECE_NAME:
		return answer_meter_add_name(meter, step->size_bytes) &&
		       answer_meter_add_value(meter, 0);
	case PIECE_VALUE:
		return answer_meter_add_value(meter, step->size_bytes);
	case PIECE_HEAD_END:
		answer_meter_head_end(meter);
		return true;
	case PIECE_BODY:
		return answer_meter_add_body(meter, step->size_bytes);
	case PIECE_NEXT_ANSWER:
		answer_meter_begin(meter);
		return true;
	case PIECE_READ:
		answer_meter_add_read(meter, step->size_bytes);
		return answer_meter_check_read(meter);
	}
	return false;
}

/* Guards against holding more of an answer than its bounds allow, and against
 * refusing an answer at its bounds. */
Test(answer_meter, bounds)
{
	static const struct {
		const char *name;
		struct step steps[5];
		enum answer_limit passed;
	} cases[] = {
		{ "fields at the limit",
		  { { PIECE_NAME, HTTP_FIELDS_MAX, 4 } },
		  ANSWER_LIMIT_NONE },
		{ "one field more",
		  { { PIECE_NAME, HTTP_FIELDS_MAX + 1, 4 } },
		  ANSWER_LIMIT_FIELDS },
		{ "a value at the limit",
		  { { PIECE_NAME, 1, 10 },
		    { PIECE_VALUE, 1, HTTP_FIELDS_MAX_BYTES - 12 } },
		  ANSWER_LIMIT_NONE },
		{ "one byte more",
		  { { PIECE_NAME, 1, 10 },
		    { PIECE_VALUE, 1, HTTP_FIELDS_MAX_BYTES - 11 } },
		  ANSWER_LIMIT_FIELD_BYTES },
		{ "a value in pieces",
		  { { PIECE_NAME, 1, 10 }, { PIECE_VALUE, 70, 1000 } },
		  ANSWER_LIMIT_FIELD_BYTES },
		{ "trailers at the limit",
		  { { PIECE_NAME, HTTP_FIELDS_MAX, 4 },
		    { PIECE_HEAD_END, 1, 0 },
		    { PIECE_NAME, HTTP_FIELDS_MAX, 4 } },
		  ANSWER_LIMIT_NONE },
		{ "one trailer more",
		  { { PIECE_HEAD_END, 1, 0 },
		    { PIECE_NAME, HTTP_FIELDS_MAX + 1, 4 } },
		  ANSWER_LIMIT_FIELDS },
		{ "a body at the limit",
		  { { PIECE_BODY, 10, 100 } },
		  ANSWER_LIMIT_NONE },
		{ "a longer body",
		  { { PIECE_BODY, 11, 100 } },
		  ANSWER_LIMIT_BODY_BYTES },
		{ "the next answer",
		  { { PIECE_NAME, HTTP_FIELDS_MAX, 4 },
		    { PIECE_HEAD_END, 1, 0 },
		    { PIECE_BODY, 10, 100 },
		    { PIECE_NEXT_ANSWER, 1, 0 },
		    { PIECE_BODY, 10, 100 } },
		  ANSWER_LIMIT_NONE },
		{ "other bytes at the limit",
		  { { PIECE_READ, ANSWER_OTHER_MAX_BYTES / 1024, 1024 } },
		  ANSWER_LIMIT_NONE },
		{ "more of other bytes",
		  { { PIECE_READ, ANSWER_OTHER_MAX_BYTES / 1024 + 1, 1024 } },
		  ANSWER_LIMIT_OTHER_BYTES },
		{ "other bytes of earlier answers",
		  { { PIECE_READ, 1, ANSWER_OTHER_MAX_BYTES },
		    { PIECE_NEXT_ANSWER, 1, 0 },
		    { PIECE_READ, 1, 1 } },
		  ANSWER_LIMIT_OTHER_BYTES },
		{ "small chunks",
		  { { PIECE_READ, 1, ANSWER_OTHER_MAX_BYTES },
		    { PIECE_BODY, 1, 1000 },
		    { PIECE_READ, 1000, ANSWER_OTHER_PER_BODY_BYTE + 1 } },
		  ANSWER_LIMIT_NONE },
	};
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		struct answer_meter meter;
		bool fits = true;
		size_t j;
		uint32_t k;

		answer_meter_init(&meter, BODY_MAX_BYTES, NULL);
		answer_meter_begin(&meter);
		for (j = 0; j < COUNT(cases[i].steps) && fits; j++)
			for (k = 0; k < cases[i].steps[j].count && fits; k++)
				fits = add(&meter, &cases[i].steps[j]);
		cr_expect_eq(fits, cases[i].passed == ANSWER_LIMIT_NONE, "%s",
			     cases[i].name);
		cr_expect_eq(meter.passed, cases[i].passed, "%s: %s",
			     cases[i].name, answer_limit_name(meter.passed));
	}
}

/* Guards against answers that together hold more than the process may, and
 * against a total that is never given back. */
Test(answer_meter, bodies_are_counted_together)
{
	enum { ANSWERS = 4 };
	struct answer_total total = { .bytes_max = 2 * BODY_MAX_BYTES };
	struct answer_meter meters[ANSWERS];
	int i;

	for (i = 0; i < ANSWERS; i++) {
		answer_meter_init(&meters[i], BODY_MAX_BYTES, &total);
		answer_meter_begin(&meters[i]);
		cr_expect_eq(answer_meter_add_body(&meters[i], BODY_MAX_BYTES),
			     i < 2, "answer %d", i);
		cr_expect_eq(meters[i].passed,
			     i < 2 ? ANSWER_LIMIT_NONE
				   : ANSWER_LIMIT_TOTAL_BYTES,
			     "answer %d", i);
	}
	for (i = 0; i < ANSWERS; i++)
		answer_meter_finish(&meters[i]);
	cr_expect_eq(total.bytes, 0);
	answer_meter_init(&meters[0], BODY_MAX_BYTES, &total);
	answer_meter_begin(&meters[0]);
	cr_expect(answer_meter_add_body(&meters[0], BODY_MAX_BYTES));
	answer_meter_begin(&meters[0]);
	cr_expect_eq(total.bytes, 0, "the next answer begins");
}
