#include "rollout/frames.h"

#include <criterion/criterion.h>
#include <string.h>

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

static void decode(struct message *message, struct encoder *encoder)
{
	struct error err = ERROR_INIT;
	size_t size;
	const void *body = encoder_body(encoder, &size);

	cr_assert(message_decode(message, body, size, &err), "%s", err.text);
}

Test(frames, states_are_decoded_as_encoded)
{
	static const struct rollout states[] = {
		{ { "one", "v2", 17, 16000 }, ROLLOUT_CANARY, 0.0325, 0, 40 },
		{ { "two", "v9", 18, 500 },
		  ROLLOUT_DONE,
		  0,
		  0,
		  ROLLOUT_REVISION_UNKNOWN },
	};
	struct error err = ERROR_INIT;
	struct encoder encoder;
	struct message message;
	struct rollout rollout;
	uint32_t i;

	encoder_init(&encoder);
	rollout_states_begin(&encoder, COUNT(states));
	for (i = 0; i < COUNT(states); i++)
		rollout_states_add(&encoder, &states[i], 1000 + i);
	decode(&message, &encoder);
	for (i = 0; i < COUNT(states); i++) {
		cr_assert(rollout_states_decode(&message, i, &rollout, &err));
		cr_expect_str_eq(rollout.order.service,
				 states[i].order.service);
		cr_expect_str_eq(rollout.order.target, states[i].order.target);
		cr_expect_eq(rollout.order.revision, states[i].order.revision);
		cr_expect_eq(rollout.order.over_ms, states[i].order.over_ms);
		cr_expect_eq(rollout.phase, states[i].phase);
		cr_expect_float_eq(rollout.share, states[i].share, 1e-6);
		cr_expect_eq(rollout.elapsed_ms, 1000 + i);
		cr_expect_eq(rollout.record_revision,
			     states[i].record_revision);
	}
	cr_expect_not(rollout_states_decode(&message, i, &rollout, &err));
	cr_expect_not(error_is_set(&err));
	message_finish(&message);
	encoder_finish(&encoder);
}

Test(frames, a_report_is_decoded_as_encoded)
{
	struct rollout_report report = { .service = "one",
					 .order_revision = 17 };
	struct rollout_report back;
	struct error err = ERROR_INIT;
	struct encoder encoder;
	struct message message;
	uint8_t edges = 0;
	uint32_t i;

	report.judge.instance = 99;
	report.judge.runs_target = true;
	report.judge.busy = 7;
	request_stats_init(&report.judge.request_stats, 12345);
	request_stats_add_started(&report.judge.request_stats);
	request_stats_add_elapsed(&report.judge.request_stats, 1, &edges,
				  20000);
	request_stats_add_finished(&report.judge.request_stats, 1, true, true);
	request_stats_add_finished(&report.judge.request_stats, 2, false,
				   false);
	encoder_init(&encoder);
	rollout_report_encode(&encoder, &report);
	decode(&message, &encoder);
	cr_assert(rollout_report_decode(&message, &back, &err), "%s", err.text);
	cr_expect_str_eq(back.service, "one");
	cr_expect_eq(back.order_revision, 17);
	cr_expect_eq(back.judge.instance, 99);
	cr_expect(back.judge.runs_target);
	cr_expect_eq(back.judge.busy, 7);
	cr_expect_eq(back.judge.request_stats.epoch, 12345);
	cr_expect_eq(back.judge.request_stats.started, 1);
	cr_assert_eq(back.judge.request_stats.kind_count, 2);
	for (i = 0; i < 2; i++)
		cr_expect_arr_eq(&back.judge.request_stats.kinds[i],
				 &report.judge.request_stats.kinds[i],
				 sizeof(struct request_stats_kind));
	message_finish(&message);
	encoder_finish(&encoder);
}

/* Guards against a read beyond the end of a frame from a node of another
 * version or a corrupted frame: fields are missing or have the wrong type. */
Test(frames, malformed_frames_are_refused)
{
	static const uint32_t counts[] = { 0, 1, 7, 8, 9 };
	struct encoder encoder;
	size_t i;
	uint32_t j;

	encoder_init(&encoder);
	for (i = 0; i < COUNT(counts); i++) {
		struct error err = ERROR_INIT;
		struct rollout_report report;
		struct rollout rollout;
		struct message message;

		encoder_begin(&encoder, FRAME_ROLLOUT_REPORT, counts[i]);
		for (j = 0; j < counts[i]; j++)
			encode_text(&encoder, "x");
		decode(&message, &encoder);
		cr_expect_not(rollout_report_decode(&message, &report, &err));
		cr_expect_eq(err.code, ERROR_PROTOCOL);
		err = (struct error)ERROR_INIT;
		cr_expect_not(
			rollout_states_decode(&message, 0, &rollout, &err));
		cr_expect_eq(err.code, ERROR_PROTOCOL);
		message_finish(&message);
	}
	encoder_finish(&encoder);
}

/* Guards against a time of a peer that overflows in microseconds. */
Test(frames, states_with_odd_times_are_refused)
{
	static const struct {
		int64_t over_ms;
		int64_t elapsed_ms;
		bool valid;
	} cases[] = {
		{ 16000, 1250, true },	     { INT64_MAX, 1250, false },
		{ INT64_MIN, 1250, false },  { 16000, INT64_MAX, false },
		{ 16000, INT64_MIN, false }, { 16000, INT64_MAX / 1000, false },
	};
	struct encoder encoder;
	size_t i;

	encoder_init(&encoder);
	for (i = 0; i < COUNT(cases); i++) {
		const struct rollout rollout = {
			.order = { "s", "v2", 7, cases[i].over_ms },
			.phase = ROLLOUT_CANARY,
		};
		struct error err = ERROR_INIT;
		struct message message;
		struct rollout back;

		rollout_states_begin(&encoder, 1);
		rollout_states_add(&encoder, &rollout, cases[i].elapsed_ms);
		decode(&message, &encoder);
		cr_expect_eq(rollout_states_decode(&message, 0, &back, &err),
			     cases[i].valid, "case %zu", i);
		cr_expect_eq(error_is_set(&err), !cases[i].valid, "case %zu",
			     i);
		message_finish(&message);
	}
	encoder_finish(&encoder);
}
