#include <criterion/criterion.h>
#include <fcntl.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "base/log.h"
#include "base/log_line.h"

enum { READ_SIZE = 64 * 1024, MANY = 20000 };

static int reader;

/* A pipe whose reads return what one write() wrote. */
static void log_into_pipe(uint32_t rate_per_s, bool buffered)
{
	struct log_options options = { .level = LOG_INFO,
				       .data_centre = "dc",
				       .instance = "i",
				       .buffered = buffered,
				       .rate_per_s = rate_per_s };
	int ends[2];

	cr_assert_eq(pipe2(ends, O_DIRECT | O_NONBLOCK), 0);
	reader = ends[0];
	options.fd = ends[1];
	log_init(&options);
}

static ssize_t next_write(char text[READ_SIZE])
{
	ssize_t size = read(reader, text, READ_SIZE - 1);

	if (size > 0)
		text[size] = '\0';
	return size;
}

/*
 * Symptom: a collector, or a test, cannot read the first line of a process.
 * Sequence: its predecessor is killed while it writes a line to the same
 * file. Cause: the line was written in pieces, half of it stays behind.
 */
Test(log, a_line_is_written_in_one_piece)
{
	static char line[READ_SIZE];
	json_t *json;

	log_into_pipe(0, false);
	log_info("slice", "event", LOG_TEXT("name", "a \"quoted\"\n\x01 one"),
		 LOG_NUMBER("count", -3));
	cr_assert_gt(next_write(line), 0);
	cr_assert_eq(line[strlen(line) - 1], '\n');
	json = json_loads(line, 0, NULL);
	cr_assert_not_null(json, "%s", line);
	cr_assert_str_eq(json_string_value(json_object_get(json, "name")),
			 "a \"quoted\"\n\x01 one");
	cr_assert_eq(json_integer_value(json_object_get(json, "count")), -3);
	json_decref(json);
	cr_assert_lt(next_write(line), 0);
}

Test(log, numbers_are_written_as_they_are)
{
	static const struct {
		int64_t number;
		const char *text;
	} cases[] = {
		{ 0, "{\"n\":0" },
		{ 9, "{\"n\":9" },
		{ -10, "{\"n\":-10" },
		{ 1234567890123456789, "{\"n\":1234567890123456789" },
		{ INT64_MAX, "{\"n\":9223372036854775807" },
		{ INT64_MIN, "{\"n\":-9223372036854775808" },
	};
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		struct log_line line;

		log_line_begin(&line);
		log_line_number(&line, "n", cases[i].number);
		cr_expect_eq(line.size, strlen(cases[i].text));
		cr_expect_arr_eq(line.text, cases[i].text, line.size);
	}
}

Test(log, storms_are_limited_by_event)
{
	static char line[READ_SIZE];
	int lines = 0;
	int i;

	log_into_pipe(2, false);
	for (i = 0; i < 50; i++)
		log_info("slice", "storm");
	log_info("slice", "another");
	while (next_write(line) > 0)
		lines++;
	/* Two of the storm, twice that if a second passed meanwhile. */
	cr_assert_geq(lines, 3);
	cr_assert_leq(lines, 5);
}

Test(log, lines_below_the_level_and_texts_that_are_not_utf8)
{
	static const struct {
		const char *text;
		const char *written;
	} cases[] = {
		{ "\xff\xfe", "(not UTF-8)" }, { "\xc3\xa9", "\xc3\xa9" },
		{ "\xe2\x82", "(not UTF-8)" }, { "\xc0\x80", "(not UTF-8)" },
		{ "", "\"name\":\"\"" },
	};
	static char line[READ_SIZE];
	size_t i;

	log_into_pipe(0, false);
	log_debug("slice", "hidden");
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		log_info("slice", "event", LOG_TEXT("name", cases[i].text));
		cr_assert_gt(next_write(line), 0);
		cr_expect_not_null(strstr(line, cases[i].written), "%s", line);
	}
	cr_assert_lt(next_write(line), 0);
}

/* What is too long for a line is cut, and the line is still one. */
Test(log, a_line_has_a_bound)
{
	static char line[READ_SIZE];
	char text[LOG_LINE_SIZE * 2];
	json_t *json;

	memset(text, 'x', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	log_into_pipe(0, false);
	log_info("slice", "event", LOG_TEXT("name", text),
		 LOG_NUMBER("after", 5));
	cr_assert_gt(next_write(line), 0);
	cr_expect_lt(strlen(line), LOG_LINE_SIZE + 1);
	json = json_loads(line, 0, NULL);
	cr_assert_not_null(json, "%s", line);
	cr_expect_str_eq(json_string_value(json_object_get(json, "name")),
			 "(cut)");
	cr_expect_eq(json_integer_value(json_object_get(json, "after")), 5);
	json_decref(json);
}

static int count_lines(const char *text, const char *part)
{
	int count = 0;

	while ((text = strstr(text, part))) {
		count++;
		text += strlen(part);
	}
	return count;
}

/*
 * Symptom: calls stop because nobody reads the log.
 * Sequence: the collector hangs; the pipe to it fills; the process goes on
 * logging.
 * Cause: a write that waits for the reader. Here it costs lines only, the
 * ordinary ones first, and their number is told once the reader is back.
 */
Test(log, a_reader_that_stops_costs_lines_and_nothing_else)
{
	static char text[READ_SIZE];
	int ordinary = 0;
	int failed = 0;
	int told = 0;
	int i;

	log_into_pipe(0, true);
	for (i = 0; i < MANY; i++)
		log_request(i % 100 ? LOG_ORDINARY : LOG_OUTCOME, "call",
			    i % 100 ? "fine" : "failed", NULL, 0);
	cr_expect_gt(log_left_out(), 0);
	for (i = 0; i < MANY; i++) {
		log_flush(true);
		if (next_write(text) <= 0)
			break;
		ordinary += count_lines(text, "\"fine\"");
		failed += count_lines(text, "\"failed\"");
	}
	log_request(LOG_ORDINARY, "call", "after", NULL, 0);
	log_flush(true);
	while (next_write(text) > 0)
		told += count_lines(text, "\"lines_left_out\"");
	cr_expect_eq(failed, MANY / 100);
	cr_expect_gt(ordinary, 100);
	cr_expect_eq(told, 1);
}

Test(log, lines_about_requests_have_a_rate)
{
	struct log_options options = { .level = LOG_INFO,
				       .buffered = true,
				       .requests_per_s = 5 };
	int ends[2];
	static char text[READ_SIZE];
	int i;

	cr_assert_eq(pipe2(ends, O_NONBLOCK), 0);
	reader = ends[0];
	options.fd = ends[1];
	log_init(&options);
	for (i = 0; i < 50; i++)
		log_request(i % 2 ? LOG_ORDINARY : LOG_OUTCOME, "call",
			    i % 2 ? "fine" : "failed", NULL, 0);
	log_flush(true);
	cr_assert_gt(next_write(text), 0);
	cr_expect_leq(count_lines(text, "\"fine\""), 10);
	cr_expect_geq(count_lines(text, "\"failed\""), 5);
	cr_expect_geq(log_left_out(), 30);
}

/*
 * Symptom: the last line of a failed request is missing, though hundreds about
 * its attempts are there.
 * Sequence: an overload; each request is turned away by several upstreams.
 * Cause: one rate for all lines about what did not go well.
 */
Test(log, attempts_do_not_displace_outcomes)
{
	struct log_options options = { .level = LOG_INFO,
				       .buffered = true,
				       .requests_per_s = 5 };
	static char text[READ_SIZE];
	int ends[2];
	int i;

	cr_assert_eq(pipe2(ends, O_NONBLOCK), 0);
	reader = ends[0];
	options.fd = ends[1];
	log_init(&options);
	for (i = 0; i < 50; i++)
		log_request(LOG_ATTEMPT, "call", "turned_away", NULL, 0);
	log_request(LOG_OUTCOME, "call", "failed", NULL, 0);
	log_flush(true);
	cr_assert_gt(next_write(text), 0);
	cr_expect_eq(count_lines(text, "\"failed\""), 1);
}
